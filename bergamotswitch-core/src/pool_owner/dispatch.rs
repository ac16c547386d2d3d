//! Provides the giving of permits in order, and shedding under overload.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::permit::{OwnerReply, Permit, PermitId};
use crate::refusal::RefusalReason;
use crate::request::AttemptId;
use crate::rules::Tier;

use super::OwnerAction;
use super::back_off::ProbeNeed;
use super::key_table::KeyVerdict;
use super::owner::ShardOwner;
use super::permit_table::GivenPermit;
use super::prefix_table::WarmTarget;
use super::queue::{Placement, QueuedAsk};
use super::routing::{ClosedTargets, Route, RouteQuery, allowed, choose};
use super::run_gauge::millis;
use super::target_load::TargetLoad;

/// The bounds of a "come back after": a caller must neither return at once
/// nor stay away after a burst that is long over.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(60);

/// How many times the time left to its deadline the queue before an ask may
/// take: the drain time is an estimate from engines that are not full, and an
/// ask that is kept in vain costs a place in the queue, no more.
const DRAIN_TOLERANCE: f64 = 2.0;

impl ShardOwner {
    /// Give permits in order until nothing that waits finds room.
    pub(super) fn dispatch(&mut self, now: Moment, actions: &mut Vec<OwnerAction>) {
        if !self.targets_known || self.queue.is_empty() {
            return;
        }
        if self.has_slots() {
            self.dispatch_slots(now, actions);
            return;
        }
        let mut blocked: BTreeSet<Arc<Placement>> = BTreeSet::new();
        let mut closed = ClosedTargets::default();
        // A closed shard has still use for an ask that may be a probe.
        let probing = self
            .targets
            .values()
            .any(|load| load.back_off().is_active());
        while let Some(queued) = self.queue.next(&blocked) {
            let warm = self.prefixes.warm(now, &queued.ask.prefixes);
            let query = query_of(queued, &warm);
            match choose(now, &self.targets, &closed, &query) {
                Some(route) => {
                    let late = self.is_too_late(now, queued, &route);
                    let attempt = queued.ask.attempt;
                    self.settle(now, &attempt, &route, late, &warm, actions);
                }
                None => {
                    blocked.insert(queued.placement.clone());
                    self.keep_room(now, queued, &mut closed);
                    if closed.is_all() && !probing {
                        return;
                    }
                }
            }
        }
    }

    /// Give the head of the queue the target that was chosen for it, or the
    /// answer that it needs none any more.
    pub(super) fn settle(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
        route: &Route,
        late: bool,
        warm: &[WarmTarget],
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(queued) = self.queue.get(attempt) else {
            return;
        };
        if self.is_key_lost(now, queued) {
            self.answer_key_known(now, attempt, actions);
            return;
        }
        if late {
            let retry_after = self.drain_time(now, queued.ask.tier);
            let reason = RefusalReason::DeadlinePassed;
            self.refuse_queued(attempt, reason, retry_after, actions);
            return;
        }
        self.grant(now, attempt, route, warm, actions);
    }

    /// Get whether the time left is too short for a run. Top-tier work is run
    /// all the same, the estimate may be wrong and it has the first claim.
    pub(super) fn is_too_late(&self, now: Moment, queued: &QueuedAsk, route: &Route) -> bool {
        if queued.ask.tier == Tier(0) {
            return false;
        }
        let load = self.targets.get(&route.target);
        let run_ms = load.map_or(0.0, |load| load.run_ms(queued.ask.cost));
        millis(queued.plan.run_until.since(now)) < run_ms
    }

    /// Get whether another run got the key while the ask waited. An ask can
    /// outlive the time or the number of remembered keys; a permit for it
    /// now would be a second run.
    fn is_key_lost(&self, now: Moment, queued: &QueuedAsk) -> bool {
        let claim = queued.ask.claim.as_ref();
        let verdict = claim.map(|claim| self.keys.check(now, claim));
        matches!(verdict, Some(KeyVerdict::HeldBy(_)))
    }

    fn answer_key_known(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(queued) = self.queue.remove(attempt) else {
            return;
        };
        self.quotas
            .keep(&queued.ask.account, queued.ask.quota_units);
        let claim = queued.ask.claim.as_ref();
        if let Some(KeyVerdict::HeldBy(holder)) = claim.map(|claim| self.keys.check(now, claim)) {
            self.counts.keys_known += 1;
            let attempt = *attempt;
            let reply = OwnerReply::KeyHeld { attempt, holder };
            actions.push(OwnerAction::Reply(queued.host, reply));
        }
    }

    /// Keep room for an ask that has to wait from all asks after it.
    fn keep_room(&self, now: Moment, queued: &QueuedAsk, closed: &mut ClosedTargets) {
        let candidates = allowed(&self.targets, &queued.placement);
        let working = candidates
            .into_iter()
            .filter(|load| load.back_off().need(now) == ProbeNeed::None);
        let tokens = queued.ask.cost.total();
        if queued.placement.is_anywhere() {
            closed.close_all();
            return;
        }
        if !queued.placement.long {
            for load in working {
                closed.close(&load.target().name);
            }
            return;
        }
        // A long ask that only waits for long ones leaves the room kept for
        // short ones to them. One that waits for room drains one target: to
        // drain all would idle the whole shard for it.
        let mut open = working.filter(|load| !closed.contains(&load.target().name));
        let fits = open.clone().any(|load| load.fits(now, tokens));
        if fits {
            return;
        }
        let first = open.by_ref().min_by_key(|load| {
            let over = (load.backlog(now) + tokens).saturating_sub(load.limit(now));
            (over as f64 * 1e6 / load.speed(now)) as u64
        });
        if let Some(load) = first {
            closed.close(&load.target().name);
        }
    }

    fn grant(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
        route: &Route,
        warm: &[WarmTarget],
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(queued) = self.queue.serve(attempt) else {
            return;
        };
        self.quotas
            .keep(&queued.ask.account, queued.ask.quota_units);
        let Some(load) = self.targets.get_mut(&route.target) else {
            return;
        };
        self.queue.note_fate(now, queued.ask.tier, true);
        self.sequence += 1;
        let id = PermitId {
            owner: self.me.incarnation,
            sequence: self.sequence,
        };
        let ask = queued.ask;
        let tokens = ask.cost.total();
        load.back_off_mut().start_probe(id);
        let crowd = load.crowd();
        load.occupy(now, tokens, queued.placement.long);
        let ahead = load.ahead_of(now, tokens);
        let warm_blocks = warm.iter().find(|warm| warm.target == route.target);
        let warm_blocks = warm_blocks.map_or(0, |warm| warm.blocks);
        for prefix in &ask.prefixes {
            self.prefixes.learn(now, &route.target, *prefix);
        }
        if let Some(claim) = &ask.claim {
            self.keys.grant(now, claim);
        }
        let permit = GivenPermit {
            id,
            host: queued.host.clone(),
            attempt: *attempt,
            target: route.target.clone(),
            tier: ask.tier,
            account: ask.account,
            cost: ask.cost,
            long: queued.placement.long,
            preemptible: ask.preemptible,
            claim: ask.claim,
            warm_blocks,
            prefixes: ask.prefixes,
            granted_at: now,
            ahead,
            crowd,
            finish_at: now.plus(Duration::from_micros(route.finish_micros)),
            preempted_at: None,
            audit_at: now.plus(self.opts.audit_after),
        };
        if let Some(load) = self.targets.get_mut(&route.target) {
            load.expect(permit.due_work());
        }
        self.counts.granted += 1;
        let reply = self.granted_reply(&permit);
        actions.push(OwnerAction::Reply(queued.host, reply));
        self.permits.insert(permit);
    }

    /// Get the reply that carries a permit.
    pub(super) fn granted_reply(&self, permit: &GivenPermit) -> OwnerReply {
        let lifetime = self.opts.permit_lifetime.as_millis();
        OwnerReply::Granted {
            shard: self.shard.clone(),
            permit: Permit {
                id: permit.id,
                attempt: permit.attempt,
                target: permit.target.clone(),
                lifetime_ms: u32::try_from(lifetime).unwrap_or(u32::MAX),
            },
        }
    }

    /// Shed until the queue is inside its bounds, after an ask of `tier`; get
    /// whether anything was shed.
    pub(super) fn shed(&mut self, now: Moment, tier: Tier, actions: &mut Vec<OwnerAction>) -> bool {
        let mut shed = false;
        while self.is_overfull(now) {
            let Some(attempt) = self.queue.worst() else {
                return shed;
            };
            let Some(queued) = self.queue.get(&attempt) else {
                return shed;
            };
            let reason = match queued.ask.tier > tier {
                true => RefusalReason::ShedForHigherTier,
                false => RefusalReason::Overloaded,
            };
            let retry_after = self.drain_time(now, queued.ask.tier);
            self.refuse_queued(&attempt, reason, retry_after, actions);
            shed = true;
        }
        shed
    }

    /// Refuse an ask that has just come where the others would take far longer
    /// than its deadline; get whether it was refused. Its caller would wait in
    /// vain. While lower-tier work is kept it stays: that goes first.
    pub(super) fn shed_hopeless(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
        actions: &mut Vec<OwnerAction>,
    ) -> bool {
        let Some(queued) = self.queue.get(attempt) else {
            return false;
        };
        let tier = queued.ask.tier;
        if let Some(wait) = self.slot_wait(now, tier) {
            let lower_kept = self.queue.asks_through(tier) < self.queue.len();
            if self.queue.is_owed(tier) || lower_kept || wait <= queued.plan.give_up_at.since(now) {
                return false;
            }
            let reason = RefusalReason::Overloaded;
            self.refuse_queued(attempt, reason, self.drain_time(now, tier), actions);
            return true;
        }
        let speed = self.shard_speed(now);
        if self.queue.tokens_through(tier) < self.queue.tokens() || speed == 0.0 {
            return false;
        }
        let others = self.queue.tokens() - queued.ask.cost.total();
        let useful = queued.plan.give_up_at.since(now).mul_f64(DRAIN_TOLERANCE);
        if others as f64 / speed <= useful.as_secs_f64() {
            return false;
        }
        let retry_after = self.drain_time(now, tier);
        let reason = RefusalReason::Overloaded;
        self.refuse_queued(attempt, reason, retry_after, actions);
        true
    }

    /// Get the predicted wait of a new ask of `tier`, where the targets say
    /// how many requests they serve at once: the permits that have to come
    /// back before it, at the pace at which they do.
    fn slot_wait(&self, now: Moment, tier: Tier) -> Option<Duration> {
        // Of targets that ended no run yet nothing can be predicted.
        let known = self.targets.values().all(TargetLoad::is_known);
        if !self.has_slots() || !known {
            return None;
        }
        let ahead = self.queue.asks_through(tier);
        // What came back lately tells of a shard that was busy all the while.
        // After a quiet second it would tell of the callers, and the first
        // calls of a burst would be refused before free targets.
        let running = self.targets.values();
        let expected: f64 = running.map(TargetLoad::release_rate).sum();
        let pace = self.pace.per_second(now).max(expected);
        (pace > 0.0).then(|| Duration::from_secs_f64(ahead as f64 / pace))
    }

    fn is_overfull(&self, now: Moment) -> bool {
        // One ask alone may wait whatever it costs.
        if self.queue.len() < 2 {
            return false;
        }
        if self.queue.len() > self.opts.max_asks {
            return true;
        }
        let speed = self.shard_speed(now);
        if speed == 0.0 {
            return false;
        }
        let seconds = self.queue.tokens() as f64 / speed;
        seconds > self.opts.max_wait.as_secs_f64()
    }

    /// Get the predicted time until the work in flight and the queued work of
    /// `tier` and higher ones is done.
    pub(super) fn drain_time(&self, now: Moment, tier: Tier) -> Duration {
        if let Some(wait) = self.slot_wait(now, tier) {
            return wait.clamp(RETRY_MIN, RETRY_MAX);
        }
        let speed = self.shard_speed(now);
        if speed == 0.0 {
            return RETRY_MAX;
        }
        let in_flight: u64 = self.targets.values().map(|load| load.backlog(now)).sum();
        let tokens = in_flight + self.queue.tokens_through(tier);
        let span = Duration::from_secs_f64(tokens as f64 / speed);
        span.clamp(RETRY_MIN, RETRY_MAX)
    }

    /// Get the speed of all targets that take work, in tokens per second.
    fn shard_speed(&self, now: Moment) -> f64 {
        let live = self.targets.values().filter(|load| !load.is_leaving());
        let working = live.clone().filter(|load| !load.back_off().is_active());
        let speed: f64 = working.map(|load| load.speed(now)).sum();
        if speed > 0.0 {
            return speed;
        }
        // All are backed off, maybe for half a second: the queue is not
        // thrown away for that.
        live.map(|load| load.speed(now)).sum()
    }
}

/// Get what routing looks at of an ask.
pub(super) fn query_of<'a>(queued: &'a QueuedAsk, warm: &'a [WarmTarget]) -> RouteQuery<'a> {
    RouteQuery {
        placement: &queued.placement,
        cost: queued.ask.cost,
        blocks: queued.ask.prefixes.len(),
        warm,
        // Top-tier work and work that must not run twice is no probe.
        riskable: queued.ask.claim.is_none() && queued.ask.tier > Tier(0),
        // Targets that fail together are due for a probe together, and would use
        // up one request's attempts beside others that work.
        spared: !queued.ask.avoid.is_empty(),
    }
}
