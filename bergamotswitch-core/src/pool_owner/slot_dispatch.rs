//! Provides the giving of permits where targets say how many requests they
//! serve at once.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::clock::Moment;
use crate::request::AttemptId;

use super::OwnerAction;
use super::dispatch::query_of;
use super::owner::ShardOwner;
use super::prefix_table::WarmTarget;
use super::queue::{Placement, QueuedAsk};
use super::routing::{ClosedTargets, Route};
use super::run_gauge::millis;
use super::slot_routing::{AskTimes, SlotView};

/// How sure a run's end before its deadline has to be, as a multiple of
/// its predicted time. Callers' guesses at their outputs are right at the median
/// and off by half as often as not: a run that should just end in time fails
/// every second time. Alone, a small chance is worth the place; while others
/// wait, a run of ten seconds for nothing costs eight of them theirs.
const SURENESS_ALONE: f64 = 0.6;
const SURENESS_CROWDED: f64 = 1.5;

/// A `SlotStep` is the next ask in order for which a target was chosen.
struct SlotStep {
    attempt: AttemptId,
    route: Route,
    /// Whether its run should not end in time there.
    late: bool,
    warm: Vec<WarmTarget>,
}

impl ShardOwner {
    /// Give permits in order until nothing that waits finds a place.
    pub(super) fn dispatch_slots(&mut self, now: Moment, actions: &mut Vec<OwnerAction>) {
        let mut blocked = BTreeSet::new();
        let mut closed = ClosedTargets::default();
        while let Some(step) = self.next_slot(now, &mut blocked, &mut closed) {
            let SlotStep {
                attempt,
                route,
                late,
                warm,
            } = step;
            self.settle(now, &attempt, &route, late, &warm, actions);
        }
    }

    /// Get the next ask in order that has a target. Those before it wait, and
    /// what they wait for is closed to those after them.
    fn next_slot(
        &self,
        now: Moment,
        blocked: &mut BTreeSet<Arc<Placement>>,
        closed: &mut ClosedTargets,
    ) -> Option<SlotStep> {
        let mut view = SlotView::new(now, &self.targets, closed);
        while !view.is_full() {
            let queued = self.queue.next(blocked)?;
            let warm = self.prefixes.warm(now, &queued.ask.prefixes);
            let query = query_of(queued, &warm);
            let times = self.times_of(now, queued);
            if let Some(route) = view.choose(now, &query, times) {
                return Some(SlotStep {
                    attempt: queued.ask.attempt,
                    late: self.is_late_at(now, queued, &route, times),
                    route,
                    warm,
                });
            }
            blocked.insert(queued.placement.clone());
            view.close_for(&queued.placement, query.cost, times, closed);
        }
        None
    }

    /// Get whether a run at the chosen target should not end in time.
    fn is_late_at(&self, now: Moment, queued: &QueuedAsk, route: &Route, times: AskTimes) -> bool {
        if queued.ask.first_answer_ms.is_none() {
            return self.is_too_late(now, queued, route);
        }
        let load = self.targets.get(&route.target);
        load.is_some_and(|load| !times.is_feasible(load, queued.ask.cost))
    }

    /// Get the time that an ask has.
    fn times_of(&self, now: Moment, queued: &QueuedAsk) -> AskTimes {
        // An ask without an aim is neither fresh nor late.
        let fresh = queued.placement.aim_ms.is_some();
        AskTimes {
            aim_left: fresh.then(|| millis(queued.plan.aim_at.since(now))),
            run_left: millis(queued.plan.run_until.since(now)),
            sureness: match self.queue.len() {
                0 | 1 => SURENESS_ALONE,
                _ => SURENESS_CROWDED,
            },
        }
    }
}
