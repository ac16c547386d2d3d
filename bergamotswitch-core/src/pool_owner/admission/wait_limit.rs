//! Provides the longest predicted wait with which a request stays in the queue.
//!
//! Without promises to returning callers it is the time after which a request gives up.
//! With them it is the time that still lets the request begin on time, which answers
//! overload that lasts: a longer queue serves no more requests, but all of them late,
//! and callers that are refused after a wait have little time left to return. The
//! prediction is checked again after a part of the first-token limit, so that wrong ones
//! end in an early refusal.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Moment;
use crate::pool_owner::OwnerAction;
use crate::pool_owner::order::queue::QueuedRequest;
use crate::pool_owner::owner::ShardOwner;
use crate::refusal::RefusalReason;
use crate::request::AttemptId;
use crate::rules::Tier;

/// The part of its first-token limit, as a divisor, after which the predicted wait of a
/// request is checked again. Callers hardly notice a refusal within it.
const CHECK_DIVISOR: u32 = 8;

/// A `WaitChecks` is the requests whose predicted wait is checked again, by tier.
#[derive(Debug, Default)]
pub(in crate::pool_owner) struct WaitChecks {
    tiers: BTreeMap<Tier, VecDeque<(Moment, AttemptId)>>,
}

impl WaitChecks {
    /// Get when the next check is due.
    pub(in crate::pool_owner) fn next(&self) -> Option<Moment> {
        let firsts = self.tiers.values().filter_map(VecDeque::front);
        firsts.map(|(at, _)| *at).min()
    }

    /// Take a request whose check is due.
    fn take_due(&mut self, now: Moment) -> Option<AttemptId> {
        let mut firsts = self.tiers.values_mut();
        let due = firsts.find(|checks| checks.front().is_some_and(|(at, _)| *at <= now))?;
        due.pop_front().map(|(_, attempt)| attempt)
    }

    fn unchecked(&self, tier: Tier) -> impl Iterator<Item = &AttemptId> {
        let checks = self.tiers.get(&tier).into_iter().flatten();
        checks.map(|(_, attempt)| attempt)
    }
}

impl ShardOwner {
    /// Get the longest predicted wait with which a new request stays in the queue.
    pub(in crate::pool_owner) fn wait_limit(
        &self,
        now: Moment,
        queued: &QueuedRequest,
    ) -> Duration {
        let give_up = queued.plan.give_up_at.since(now);
        let has_limit = queued.plan.on_time_until != Moment::NEVER;
        if !self.makes_promises() || !has_limit || self.has_free_slot(now) {
            return give_up;
        }
        // The prediction does not include requests of higher tiers that arrive later.
        let left = queued.plan.on_time_until.since(now);
        left.mul_f64(self.left_by_higher(now, queued.request.tier))
            .min(give_up)
    }

    /// Get whether requests of `tier` are kept because lower-tier ones are queued, which
    /// are shed first. Where promises are made, this holds for the top tier alone: the
    /// floors of the lower tiers keep some of their requests queued at any time, and no
    /// request begins earlier without the ones behind it.
    pub(in crate::pool_owner) fn is_kept_for_lower(&self, tier: Tier) -> bool {
        self.queue.has_below(tier) && (!self.makes_promises() || self.queue.is_top(tier))
    }

    /// Get whether a target accepts a request of some kind now.
    fn has_free_slot(&self, now: Moment) -> bool {
        let working = self.targets.values();
        let mut working =
            working.filter(|load| !load.back_off().is_active() && !load.is_draining());
        working.any(|load| load.may_fit(now))
    }

    /// Schedule the check of a queued request's wait.
    pub(in crate::pool_owner) fn schedule_wait_check(&mut self, now: Moment, attempt: AttemptId) {
        if !self.makes_promises() {
            return;
        }
        let Some(queued) = self.queue.get(&attempt) else {
            return;
        };
        let Some(limit_ms) = queued.request.first_answer_ms else {
            return;
        };
        if queued.promise().is_some() || queued.request.is_renewed() {
            return;
        }
        let limit = Duration::from_millis(u64::from(limit_ms));
        let at = now.plus(limit / CHECK_DIVISOR);
        let checks = self
            .wait_checks
            .tiers
            .entry(queued.request.tier)
            .or_default();
        checks.push_back((at, attempt));
    }

    /// Refuse the requests whose wait turns out to be longer than predicted.
    pub(in crate::pool_owner) fn check_waits(
        &mut self,
        now: Moment,
        actions: &mut Vec<OwnerAction>,
    ) {
        while let Some(attempt) = self.wait_checks.take_due(now) {
            let Some(queued) = self.queue.get(&attempt) else {
                continue;
            };
            let tier = queued.request.tier;
            if self.is_kept_for_lower(tier) || self.queue.is_below_floor(tier) {
                continue;
            }
            // Requests that are not checked yet arrived later.
            let unchecked = self.wait_checks.unchecked(tier);
            let later = unchecked.filter(|later| self.queue.get(later).is_some());
            let ahead = self.queue.requests_through(tier) - later.count();
            let limit = self.wait_limit(now, queued);
            if self
                .predicted_wait(now, ahead)
                .is_some_and(|wait| wait > limit)
            {
                let reason = RefusalReason::Overloaded;
                self.refuse_for_capacity(now, &attempt, reason, actions);
            }
        }
    }
}
