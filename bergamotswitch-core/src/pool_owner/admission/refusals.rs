//! Provides the refusal of permit requests.

use std::time::Duration;

use crate::clock::Moment;
use crate::host::{HostIncarnation, HostName};
use crate::permit::{OwnerReply, PermitRequest};
use crate::pool_owner::OwnerAction;
use crate::pool_owner::learning::size_ends::RequestEnd;
use crate::pool_owner::order::wait_plan::spread_retry_after;
use crate::pool_owner::owner::ShardOwner;
use crate::refusal::RefusalReason;
use crate::request::AttemptId;

impl ShardOwner {
    /// Refuse the queued requests whose waiting time is over.
    pub(in crate::pool_owner) fn expire_requests(
        &mut self,
        now: Moment,
        actions: &mut Vec<OwnerAction>,
    ) {
        while let Some(attempt) = self.queue.expired(now) {
            let queued = self.queue.get(&attempt);
            let reason = match queued.is_some_and(|queued| now < queued.plan.run_until) {
                true if queued.is_some_and(|queued| self.lacks_version(&queued.placement)) => {
                    RefusalReason::VersionGone
                }
                true => RefusalReason::Overloaded,
                false => RefusalReason::DeadlinePassed,
            };
            self.refuse_for_capacity(now, &attempt, reason, actions);
        }
    }

    /// Refuse a queued request for want of room. The caller returns by the forecast, or
    /// else when the queue has drained.
    pub(in crate::pool_owner) fn refuse_for_capacity(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
        reason: RefusalReason,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(queued) = self.queue.get(attempt) else {
            return;
        };
        let retry_after = match self.forecasts_return(queued, reason) {
            true => Duration::ZERO,
            false => self.drain_time(now, queued.request.tier),
        };
        self.refuse_queued(attempt, reason, retry_after, actions);
    }

    /// Refuse a queued request. It was not run under a permit of this owner.
    pub(in crate::pool_owner) fn refuse_queued(
        &mut self,
        attempt: &AttemptId,
        reason: RefusalReason,
        retry_after: Duration,
        actions: &mut Vec<OwnerAction>,
    ) {
        let is_new = self.queue.queued_for(self.now, attempt).is_zero();
        if let Some(queued) = self.queue.remove(attempt) {
            let end = match is_new {
                true => RequestEnd::RefusedAtOnce,
                false => RequestEnd::RefusedLater,
            };
            let request = &queued.request;
            self.sizes.record(self.now, request.tier, request.cost, end);
            self.release_unused(request);
            self.queue
                .record_outcome(self.now, queued.request.tier, false);
            let promised = self.promise_return(self.now, &queued, reason);
            let retry_after = match (promised, queued.request.first_answer_ms) {
                (Some(promised), _) => promised,
                (None, Some(_)) => queued.plan.retry_after(self.now, attempt).max(retry_after),
                (None, None) => retry_after,
            };
            self.refuse(queued.host, *attempt, reason, retry_after, actions);
        }
    }

    /// Refuse a permit request that waited for the event loop for too long, at less
    /// cost than a request that was queued.
    pub(in crate::pool_owner) fn refuse_overdue(
        &mut self,
        now: Moment,
        host: &HostName,
        request: &PermitRequest,
    ) -> Vec<OwnerAction> {
        if let Some(actions) = self.answer_copy(now, host, &request.attempt) {
            return actions;
        }
        let mut actions = Vec::new();
        self.stream_requests.take(host, &request.attempt);
        self.record_refused_arrival(now, host, request);
        self.queue.record_outcome(now, request.tier, false);
        let end = RequestEnd::RefusedAtOnce;
        self.sizes.record(now, request.tier, request.cost, end);
        let left = Duration::from_millis(u64::from(request.deadline_ms));
        let retry_after = spread_retry_after(left, request.attempt.request.sequence);
        let reason = RefusalReason::Overloaded;
        self.refuse(
            host.clone(),
            request.attempt,
            reason,
            retry_after,
            &mut actions,
        );
        actions
    }

    pub(in crate::pool_owner) fn refuse(
        &mut self,
        host: HostName,
        attempt: AttemptId,
        reason: RefusalReason,
        retry_after: Duration,
        actions: &mut Vec<OwnerAction>,
    ) {
        *self.counts.refusals.entry(reason).or_default() += 1;
        let retry_after_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
        let reply = OwnerReply::Refused {
            attempt,
            reason,
            retry_after_ms,
        };
        actions.push(OwnerAction::Reply(host, reply));
    }

    /// Reply that another run holds the request's key.
    pub(in crate::pool_owner) fn reply_key_held(
        &mut self,
        host: HostName,
        attempt: AttemptId,
        holder: HostIncarnation,
        actions: &mut Vec<OwnerAction>,
    ) {
        self.counts.keys_known += 1;
        let reply = OwnerReply::KeyHeld { attempt, holder };
        actions.push(OwnerAction::Reply(host, reply));
    }

    /// Release the key and the quota units of a request that got no permit.
    pub(in crate::pool_owner) fn release_unused(&mut self, request: &PermitRequest) {
        if let Some(claim) = &request.claim {
            self.keys.release_unused(claim);
        }
        let units = request.quota_units;
        self.quotas.refund(self.now, &request.account, units);
    }
}
