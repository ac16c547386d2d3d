//! Provides the handling of owners' replies.

use super::EntryDispatcher;
use crate::clock::Moment;
use crate::entry::EntryAction;
use crate::entry::attempt::{AttemptStage, RunningAttempt, WaitingAttempt, WaitingState};
use crate::entry::request_table::{LiveEntry, RequestRecord};
use crate::host::{HostIncarnation, HostName};
use crate::incident::Incident;
use crate::permit::{OwnerMessage, OwnerReply, Permit, PermitId, Release, ReleaseOutcome};
use crate::pool::PoolShard;
use crate::refusal::{RefusalReason, RetryReason};
use crate::request::AttemptId;
use std::collections::BTreeSet;
use std::time::Duration;

impl EntryDispatcher {
    /// Handle an owner's reply.
    pub(super) fn owner_replied(
        &mut self,
        now: Moment,
        host: HostName,
        reply: OwnerReply,
        actions: &mut Vec<EntryAction>,
    ) {
        match reply {
            OwnerReply::Granted { shard, permit } => {
                self.granted(now, host, shard, permit, actions);
            }
            OwnerReply::Refused {
                attempt,
                reason,
                retry_after_ms,
            } => {
                let retry_after = Duration::from_millis(retry_after_ms.into());
                self.owner_refused(now, &host, attempt, reason, retry_after, actions);
            }
            OwnerReply::KeyHeld { attempt, holder } => {
                self.on_key_held(now, attempt, holder, actions);
            }
            OwnerReply::Preempt { permit, attempt } => {
                self.preempt(now, permit, attempt, actions);
            }
            OwnerReply::Audit { shard, permits } => self.audit(host, shard, permits, actions),
            OwnerReply::ConfirmOwner { shard, round } => {
                self.confirm_owner(host, shard, round, actions);
            }
            OwnerReply::StreamVersion { attempt, version } => {
                self.set_stream_version(attempt, version);
            }
            // The membership module looks for the next owner.
            OwnerReply::NotOwner { .. } => {}
        }
    }

    /// Confirm to an owner that this host follows it. An owner that is not
    /// followed gets no answer.
    fn confirm_owner(
        &self,
        host: HostName,
        shard: PoolShard,
        round: u64,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.owners.get(&shard) == Some(&host) {
            let message = OwnerMessage::OwnerConfirmed { shard, round };
            actions.push(EntryAction::Send(host, message));
        }
    }

    fn granted(
        &mut self,
        now: Moment,
        host: HostName,
        shard: PoolShard,
        permit: Permit,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.holds_permit(&permit) {
            // This is a duplicate of the permit in use. Returning it would free
            // an occupied slot.
            return;
        }
        let Some(entry) = self.requests.take_attempt(permit.attempt) else {
            return match self.requests.take_replaced(permit.attempt) {
                Some(replaced) => self.replacement_granted(now, host, replaced, permit, actions),
                None => return_permit(host, shard, &permit, actions),
            };
        };
        let LiveEntry { record, stage } = entry;
        match stage {
            AttemptStage::Waiting(waiting) if waiting.requested_from.as_ref() == Some(&host) => {
                self.use_permit(now, record, waiting, permit, actions);
            }
            // The attempt runs under another permit, or the permit comes from a
            // former owner. Return the permit and leave the attempt as it is.
            stage => {
                self.requests.put(LiveEntry { record, stage });
                return_permit(host, shard, &permit, actions);
            }
        }
    }

    fn holds_permit(&self, permit: &Permit) -> bool {
        let entry = self.requests.get(permit.attempt.request);
        match entry.map(|entry| &entry.stage) {
            Some(AttemptStage::Running(running)) => running.permit.id == permit.id,
            Some(AttemptStage::Waiting(_)) | None => false,
        }
    }

    /// Dispatch an attempt under a permit, unless the permit is void.
    fn use_permit(
        &mut self,
        now: Moment,
        mut record: RequestRecord,
        waiting: WaitingAttempt,
        permit: Permit,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(owner) = waiting.requested_from else {
            return self.request_permit(now, record, waiting.state, actions);
        };
        if now >= record.deadline {
            return_permit(owner, record.shard.clone(), &permit, actions);
            let refusal = waiting.state.refuse(RefusalReason::DeadlinePassed);
            return self.refuse(now, record, refusal, actions);
        }
        if !self.may_run(now, &record, waiting.state.run_claim()) {
            return_permit(owner, record.shard.clone(), &permit, actions);
            let refusal =
                self.with_stop_retry_after(now, waiting.state.refuse(RefusalReason::Stopping));
            return self.refuse(now, record, refusal, actions);
        }
        if let Some(reason) = self.stream_refusal(now, &record, &permit.target) {
            return_permit(owner, record.shard.clone(), &permit, actions);
            let refusal = waiting.state.refuse(reason);
            let refusal = refusal.with_retry_after(self.options.retry_after);
            return self.refuse(now, record, refusal, actions);
        }
        let closed_until = self.notices.closed_until(now, &permit.target);
        if let Some(until) = closed_until
            && record.avoid.contains(&permit.target)
        {
            // The owner has no other target to grant.
            return_permit(owner, record.shard.clone(), &permit, actions);
            return self.refuse_closed(now, record, waiting.state, until, actions);
        }
        let draining = self.is_target_closed(now, &permit.target);
        let is_other_version = !self.fits_stream(&record, &permit.target);
        if draining || is_other_version || permit.lifetime_ms == 0 {
            return_permit(owner.clone(), record.shard.clone(), &permit, actions);
            if draining {
                // The owner's knowledge of the target may be outdated; it would grant
                // the same target again.
                self.report_leaving_target(&record.shard, owner, &permit.target, actions);
                record.avoid_target(&permit.target);
            }
            if is_other_version {
                record.avoid_target(&permit.target);
            }
            let reason = RetryReason::PermitVoid;
            return self.retry(now, record, waiting.state, reason, actions);
        }
        self.dispatch(now, record, waiting.state, owner, permit, actions);
    }

    /// Dispatch the current attempt of a request under a permit.
    pub(super) fn dispatch(
        &mut self,
        now: Moment,
        mut record: RequestRecord,
        state: WaitingState,
        owner: HostName,
        permit: Permit,
        actions: &mut Vec<EntryAction>,
    ) {
        if record.dispatches == 0 {
            self.budget(now, &record).earn(now);
            self.record_quota_use(now, &record);
            let tier = record.submission.verdict.tier;
            let waited = now.since(record.accepted_at);
            actions.push(EntryAction::CountWait(tier, waited));
        }
        record.dispatches = record.dispatches.saturating_add(1);
        self.counts.dispatched += 1;
        // The state changes to dispatched before the action is emitted, so the
        // request can no longer be reported as "not run".
        let running = RunningAttempt {
            state: state.dispatch(),
            paths: vec![self.paths.choose(now, &permit.target)],
            version: self.published_version(&permit.target),
            permit,
            granted_by: owner,
            started_at: now,
            first_token_at: None,
            decoded: 0,
            limit_named: false,
            brittle_named: false,
            rest_asked: false,
            is_recorded_sound: false,
            replacement: None,
        };
        actions.push(self.start_action(&running));
        self.put_back(record, running);
    }

    /// Record the quota units of a request, to be reported to the next owner of
    /// its shard.
    fn record_quota_use(&mut self, now: Moment, record: &RequestRecord) {
        let submission = &record.submission;
        self.quota_use.record(
            now,
            &record.shard,
            &submission.account,
            submission.options.quota_units,
            self.host_count,
        );
    }

    fn owner_refused(
        &mut self,
        now: Moment,
        host: &HostName,
        attempt: AttemptId,
        reason: RefusalReason,
        retry_after: Duration,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(entry) = self.requests.take_attempt(attempt) else {
            return self.replacement_refused(now, host, attempt);
        };
        match entry.stage {
            AttemptStage::Waiting(waiting) if waiting.requested_from.as_ref() == Some(host) => {
                let refusal = waiting.state.refuse(reason).with_retry_after(retry_after);
                self.refuse(now, entry.record, refusal, actions);
            }
            stage => self.requests.put(LiveEntry { stage, ..entry }),
        }
    }

    /// Handle the reply that another host incarnation holds the key. The
    /// request does not run here.
    fn on_key_held(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        holder: HostIncarnation,
        actions: &mut Vec<EntryAction>,
    ) {
        if holder == self.identity {
            return;
        }
        let Some(entry) = self.requests.take_attempt(attempt) else {
            return;
        };
        match entry.stage {
            AttemptStage::Waiting(waiting) if holder.host == self.identity.host => {
                actions.push(EntryAction::LogIncident(
                    Incident::RequestLost,
                    entry.record.id,
                ));
                let refusal = waiting.state.refuse(RefusalReason::Lost);
                self.refuse(now, entry.record, refusal, actions);
            }
            AttemptStage::Waiting(waiting) if !self.may_forward() => {
                actions.push(EntryAction::LogIncident(
                    Incident::RequestLost,
                    entry.record.id,
                ));
                let refusal = waiting.state.refuse(RefusalReason::OutcomeUnknown);
                self.refuse(now, entry.record, refusal, actions);
            }
            AttemptStage::Waiting(_) => {
                if let Some(key) = &entry.record.key {
                    self.keys.remove(key);
                }
                actions.push(EntryAction::Forward(entry.record.id, holder));
            }
            stage => self.requests.put(LiveEntry { stage, ..entry }),
        }
    }

    fn audit(
        &self,
        host: HostName,
        shard: PoolShard,
        permits: Vec<PermitId>,
        actions: &mut Vec<EntryAction>,
    ) {
        let held: BTreeSet<PermitId> = self
            .requests
            .iter()
            .filter_map(|entry| match &entry.stage {
                AttemptStage::Running(running) => Some(running.permit.id),
                AttemptStage::Waiting(_) => None,
            })
            .collect();
        let permits: Vec<PermitId> = permits
            .into_iter()
            .filter(|permit| !held.contains(permit))
            .collect();
        if permits.is_empty() {
            return;
        }
        let message = OwnerMessage::NotHeld { shard, permits };
        actions.push(EntryAction::Send(host, message));
    }
}

/// Return an unused permit to its owner.
pub(super) fn return_permit(
    host: HostName,
    shard: PoolShard,
    permit: &Permit,
    actions: &mut Vec<EntryAction>,
) {
    let release = Release {
        permit: permit.id,
        attempt: permit.attempt,
        outcome: ReleaseOutcome::Unused,
    };
    let message = OwnerMessage::Release { shard, release };
    actions.push(EntryAction::Send(host, message));
}
