//! Provides preemption: stopping lower-tier streams for top-tier requests that
//! would miss their deadlines otherwise.

use std::cmp::Reverse;
use std::time::Duration;

use crate::clock::Moment;
use crate::permit::{OwnerReply, PermitId};
use crate::pool_owner::OwnerAction;
use crate::pool_owner::learning::target_load::TargetLoad;
use crate::pool_owner::owner::ShardOwner;
use crate::pool_owner::placement::permit_table::GrantedPermit;
use crate::pool_owner::placement::routing::allowed;
use crate::rules::Tier;

use super::queue::QueuedRequest;

/// The tier for which streams are preempted.
const TOP_TIER: Tier = Tier(0);

/// The interval at which the queue is checked for requests at risk: a check
/// iterates over the permits, and a burst causes thousands of events per
/// second.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How long a holder has to stop a stream before it is asked again.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// The fraction of its age, as a divisor, for which overdue work is predicted
/// to continue.
const OVERDUE_DIVISOR: u32 = 4;

impl ShardOwner {
    /// Preempt streams for top-tier requests at risk, a few at a time.
    pub(in crate::pool_owner) fn preempt(&mut self, now: Moment, actions: &mut Vec<OwnerAction>) {
        let is_waiting = self.queue.by_deadline(TOP_TIER).next().is_some();
        // A check iterates over all permits for each target; it is skipped if
        // no stream may be preempted, since it would take noticeable processor
        // time in a burst.
        let stoppable = self.permits.preemptible_count() > 0;
        if !is_waiting || !stoppable || now < self.preempt_check_at {
            return;
        }
        self.preempt_check_at = now.plus(CHECK_INTERVAL);
        let max = self.opts.max_preemptions;
        let mut victims: Vec<PermitId> = Vec::new();
        let pending = self.permits.iter().filter(|permit| is_pending(now, permit));
        // Each stream that is being stopped already frees a slot for one
        // request.
        let stopping = pending.count();
        let first = self.queue.by_deadline(TOP_TIER).take(max);
        let at_risk = first.filter(|queued| self.is_at_risk(now, queued));
        for queued in at_risk.skip(stopping) {
            if let Some(victim) = self.victim(now, queued, &victims) {
                victims.push(victim);
            }
        }
        for victim in victims {
            self.stop(now, &victim, actions);
        }
    }

    fn stop(&mut self, now: Moment, victim: &PermitId, actions: &mut Vec<OwnerAction>) {
        let Some(permit) = self.permits.get(victim) else {
            return;
        };
        let reply = OwnerReply::Preempt {
            permit: permit.id,
            attempt: permit.attempt,
        };
        actions.push(OwnerAction::Reply(permit.host.clone(), reply));
        self.permits.mark_preempted(victim, now);
        self.counts.preempted += 1;
    }

    /// Get whether a request misses its deadline if it waits for a slot, and
    /// would meet it if it got one now.
    fn is_at_risk(&self, now: Moment, queued: &QueuedRequest) -> bool {
        let tokens = queued.request.cost.total();
        let left = queued.plan.run_until.since(now);
        let mut feasible = false;
        let targets = allowed(&self.targets, &queued.placement);
        let working = targets
            .into_iter()
            .filter(|load| !load.back_off().is_active());
        for load in working {
            let run = run_time(now, load, tokens);
            if run > left {
                continue;
            }
            feasible = true;
            if self.time_until_fits(now, load, tokens) + run <= left {
                return false;
            }
        }
        feasible
    }

    /// Get the predicted time until a request of `tokens` fits a target.
    fn time_until_fits(&self, now: Moment, load: &TargetLoad, tokens: u64) -> Duration {
        // A queued request that fits is held back for another reason, which
        // preemption would not change.
        if load.fits(now, tokens) {
            return Duration::ZERO;
        }
        let name = &load.target().name;
        let held = self.permits.iter().filter(|permit| permit.target == *name);
        let mut ends: Vec<(Duration, u64)> = held
            .map(|permit| (time_left(now, permit), permit.cost.total()))
            .collect();
        ends.sort();
        let mut backlog = load.backlog(now);
        let mut last = Duration::ZERO;
        for (span, freed) in ends {
            last = span;
            backlog = backlog.saturating_sub(freed);
            if backlog + tokens <= load.limit(now) {
                return span;
            }
        }
        // A target without permits of this owner accepts any single request.
        last
    }

    /// Get the permit to preempt for a request: of the lowest tier, preferably
    /// one that frees enough tokens, with the least work lost.
    fn victim(&self, now: Moment, queued: &QueuedRequest, taken: &[PermitId]) -> Option<PermitId> {
        let tokens = queued.request.cost.total();
        let targets = allowed(&self.targets, &queued.placement);
        let usable = self.permits.iter().filter(|permit| {
            let stoppable = permit.preemptible && permit.tier > TOP_TIER;
            let free = !is_pending(now, permit) && !taken.contains(&permit.id);
            stoppable && free
        });
        let ranked = usable.filter_map(|permit| {
            let mut loads = targets.iter();
            let load = loads.find(|load| load.target().name == permit.target)?;
            let after = load.backlog(now).saturating_sub(permit.cost.total());
            let enough = load.permits() == 1 || after + tokens <= load.limit(now);
            let lost = work_done(now, permit);
            Some((Reverse(permit.tier), !enough, lost, permit.id))
        });
        ranked.min().map(|(_, _, _, id)| id)
    }
}

/// Get the predicted run time of `tokens` at a target beside the streams that
/// run there.
fn run_time(now: Moment, load: &TargetLoad, tokens: u64) -> Duration {
    let tokens_ahead = load.tokens_ahead_of(now, tokens).max(tokens);
    Duration::from_secs_f64(tokens_ahead as f64 / load.speed(now))
}

/// Get whether a holder was recently asked to stop a stream.
fn is_pending(now: Moment, permit: &GrantedPermit) -> bool {
    let preempted_at = permit.preempted_at;
    preempted_at.is_some_and(|at| now.since(at) < STOP_TIMEOUT)
}

/// Get the predicted time until a request ends.
fn time_left(now: Moment, permit: &GrantedPermit) -> Duration {
    if now < permit.finish_at {
        return permit.finish_at.since(now);
    }
    // An overdue request may end at any time. If it were predicted to end now,
    // a shortage of slots would go unnoticed as long as it runs.
    now.since(permit.granted_at) / OVERDUE_DIVISOR
}

/// Get the predicted number of a request's tokens that have been processed.
fn work_done(now: Moment, permit: &GrantedPermit) -> u64 {
    let span = permit.finish_at.since(permit.granted_at).as_micros();
    let age = now.since(permit.granted_at).as_micros();
    let tokens = u128::from(permit.cost.total());
    if age >= span {
        return permit.cost.total();
    }
    (tokens * age / span) as u64
}
