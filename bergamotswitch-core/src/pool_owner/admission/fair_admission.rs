//! Provides fair admission between the client accounts of a tier: which request is
//! refused where there is not enough room.
//!
//! It answers a load in which a few accounts send several times what the others do.
//! The order of the queue is fair, but a refusal of whatever arrives while the queue is
//! full hits accounts by the number of their arrivals, and what is served is divided in
//! the same way. With fair admission, the request that is last in the fair order is
//! refused: the last one of the account whose recent use and queued work per weight is
//! the highest. A new request of an account below that takes its place.

use std::time::Duration;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::permit::{AccountUse, ReleaseOutcome};
use crate::pool_owner::OwnerAction;
use crate::pool_owner::order::queue::QueuedRequest;
use crate::pool_owner::owner::ShardOwner;
use crate::pool_owner::placement::permit_table::GrantedPermit;
use crate::refusal::RefusalReason;
use crate::request::{AttemptId, TokenCost};
use crate::rules::Tier;

/// By which factor a measured run may differ from the prediction for its target. A
/// single run that hung must not exclude its account.
const MAX_CORRECTION: f64 = 8.0;

/// Get whether a queued request must not be refused for want of room. A renewed request
/// was accepted by an owner before, and one with a promise has its place.
pub(in crate::pool_owner) fn is_exempt(queued: &QueuedRequest) -> bool {
    queued.request.is_renewed() || queued.promise().is_some()
}

impl ShardOwner {
    /// Refuse one request of the tier of a new one that finds too little room: the one
    /// that is last in the fair order, or the new one if the use of accounts is not
    /// remembered. Get whether one was refused.
    pub(in crate::pool_owner) fn refuse_for_room(
        &mut self,
        now: Moment,
        arrival: &AttemptId,
        actions: &mut Vec<OwnerAction>,
    ) -> bool {
        let Some(queued) = self.queue.get(arrival) else {
            return false;
        };
        let Some(refused) = self.request_to_refuse(now, queued) else {
            return false;
        };
        let reason = self.overload_reason(now, &refused);
        if reason == RefusalReason::AboveShare {
            self.log_above_share(now, &refused, actions);
        }
        self.refuse_for_capacity(now, &refused, reason, actions);
        true
    }

    /// Log that an account above its share is refused, at a bounded rate.
    fn log_above_share(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(queued) = self.queue.get(attempt) else {
            return;
        };
        let (tier, account) = (queued.request.tier, queued.request.account.clone());
        let shares = self.queue.shares.as_mut();
        if let Some(share) = shares.and_then(|shares| shares.share_to_log(now, tier, &account)) {
            actions.push(OwnerAction::LogShare(self.shard.clone(), share));
        }
    }

    /// Get the recent use of client accounts, to pass it to the next owner.
    pub fn account_use(&self, now: Moment) -> Vec<AccountUse> {
        let shares = self.queue.shares.as_ref();
        shares.map_or_else(Vec::new, |shares| shares.report(now))
    }

    /// Take over the use that the previous owner reported.
    pub(in crate::pool_owner) fn on_account_use(&mut self, now: Moment, accounts: &[AccountUse]) {
        if let Some(shares) = &mut self.queue.shares {
            shares.merge(now, accounts);
        }
    }

    /// Get the request to shed first because the queue exceeds its limits.
    pub(in crate::pool_owner) fn next_to_shed(&self, now: Moment) -> Option<AttemptId> {
        let tier = self.queue.lowest_tier()?;
        self.last_refusable(now, tier)
            .or_else(|| self.queue.next_to_shed())
    }

    /// Get the reason for the refusal of a queued request for want of room.
    pub(in crate::pool_owner) fn overload_reason(
        &self,
        now: Moment,
        attempt: &AttemptId,
    ) -> RefusalReason {
        match self.is_above_share(now, attempt) {
            true => RefusalReason::AboveShare,
            false => RefusalReason::Overloaded,
        }
    }

    /// Get the request that is refused because a new one finds too little room: the new
    /// one, the last one of an account that is further behind, or none. Requests of an
    /// account within its share are kept: the tier served as much recently, and whether
    /// one is refused must not depend on the moment at which it arrives.
    fn request_to_refuse(&self, now: Moment, arrival: &QueuedRequest) -> Option<AttemptId> {
        let request = &arrival.request;
        let (tier, account) = (request.tier, &request.account);
        let is_within = |account: &AccountName| {
            self.queue
                .is_within_share(now, tier, account, Duration::ZERO)
        };
        let own = self.queue.account_behind(now, tier, account);
        let own = own.unwrap_or(f64::INFINITY);
        let last = self.queue.furthest_behind(now, tier);
        let last = last.filter(|last| last.behind > own && !is_within(&last.account));
        let last = last.and_then(|last| {
            self.queue
                .last_of(tier, &last.account, |queued| !is_exempt(queued))
        });
        match last {
            None if is_within(account) => None,
            last => Some(last.unwrap_or(request.attempt)),
        }
    }

    fn last_refusable(&self, now: Moment, tier: Tier) -> Option<AttemptId> {
        let last = self.queue.furthest_behind(now, tier)?;
        self.queue
            .last_of(tier, &last.account, |queued| !is_exempt(queued))
    }

    /// Get whether the account of a queued request is above its share even without this
    /// request.
    fn is_above_share(&self, now: Moment, attempt: &AttemptId) -> bool {
        let (Some(_), Some(queued)) = (&self.queue.shares, self.queue.get(attempt)) else {
            return false;
        };
        let request = &queued.request;
        let own = self.queue.slot_time(attempt);
        !self
            .queue
            .is_within_share(now, request.tier, &request.account, own)
    }

    /// Get the estimated time for which a request with the predicted run time `run` uses
    /// a slot of a mean target. Where the slots are not known, it is the time that its
    /// tokens take at the expected speed.
    pub(in crate::pool_owner) fn slot_time(&self, cost: TokenCost, run: Duration) -> Duration {
        if self.queue.shares.is_none() {
            return Duration::ZERO;
        }
        match run.is_zero() || !self.has_slots() {
            true => self.nominal_time(cost.total()),
            false => run,
        }
    }

    /// Get the time that tokens take at the mean expected speed of the targets.
    fn nominal_time(&self, tokens: u64) -> Duration {
        let speeds = self.targets.values();
        let speeds = speeds.map(|load| f64::from(load.target().expected_speed));
        let mean = speeds.sum::<f64>() / self.targets.len().max(1) as f64;
        Duration::from_secs_f64(tokens as f64 / mean.max(1.0))
    }

    /// Replace the charge of a permit with what its run has used.
    pub(in crate::pool_owner) fn settle_use(
        &mut self,
        now: Moment,
        permit: &GrantedPermit,
        outcome: &ReleaseOutcome,
    ) {
        let Some(charge) = permit.charge else {
            return;
        };
        let measured = charge.estimate * self.cost_factor(permit, outcome);
        self.queue
            .settle(now, permit.tier, &permit.account, charge, measured);
    }

    /// Get the measured cost of a run as a multiple of its estimate. The time is compared
    /// with the prediction for its target, so that an account is not charged for the
    /// slowness of the target that it was given.
    fn cost_factor(&self, permit: &GrantedPermit, outcome: &ReleaseOutcome) -> f64 {
        let usage = match outcome {
            ReleaseOutcome::Unused | ReleaseOutcome::Unreachable | ReleaseOutcome::Refused => {
                return 0.0;
            }
            ReleaseOutcome::Finished(usage)
            | ReleaseOutcome::Failed(usage)
            | ReleaseOutcome::Stopped(usage) => usage,
        };
        let load = self.targets.get(&permit.target);
        let expected_ms = load.map_or(0.0, |load| load.run_ms(permit.cost));
        let factor = match self.has_slots() && expected_ms > 0.0 {
            true => f64::from(usage.elapsed_ms) / expected_ms,
            false => {
                let done =
                    u64::from(usage.prefill.saturating_sub(usage.cached)) + u64::from(usage.decode);
                done as f64 / permit.cost.total().max(1) as f64
            }
        };
        factor.min(MAX_CORRECTION)
    }
}
