//! Provides the granting of permits for targets that publish their slots.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::clock::Moment;
use crate::permit::PermitRequest;
use crate::pool_owner::OwnerAction;
use crate::pool_owner::learning::run_time_estimator::as_millis;
use crate::pool_owner::order::queue::{Placement, QueuedRequest};
use crate::pool_owner::owner::ShardOwner;
use crate::request::AttemptId;

use super::dispatch::route_query;
use super::prefix_table::WarmTarget;
use super::routing::{ReservedTargets, Route};
use super::slot_routing::{RequestTimes, SlotView};

/// The safety factors by which a predicted run time is multiplied before it is
/// compared with the time left. Output lengths are rough estimates, so runs
/// that are predicted to end just in time often fail. A request alone in the
/// queue may take that risk; while others wait, a failed run would take the
/// slot from several of them.
const SAFETY_FACTOR_ALONE: f64 = 0.6;
const SAFETY_FACTOR_CONTENDED: f64 = 1.5;

/// Get the longest predicted run, in milliseconds, with which a new request is sent to a
/// target while others wait.
pub(in crate::pool_owner) fn longest_run_ms(request: &PermitRequest) -> f64 {
    f64::from(request.deadline_ms) / SAFETY_FACTOR_CONTENDED
}

/// A `SlotChoice` is the next request in order with the target chosen for it.
struct SlotChoice {
    attempt: AttemptId,
    route: Route,
    /// Whether the run is predicted to miss its deadline there.
    late: bool,
    warm: Vec<WarmTarget>,
}

impl ShardOwner {
    /// Grant permits in queue order until no queued request finds a slot.
    pub(in crate::pool_owner) fn dispatch_slots(
        &mut self,
        now: Moment,
        actions: &mut Vec<OwnerAction>,
    ) {
        let mut blocked = BTreeSet::new();
        let mut reserved = ReservedTargets::default();
        while let Some(choice) = self.next_choice(now, &mut blocked, &mut reserved) {
            let SlotChoice {
                attempt,
                route,
                late,
                warm,
            } = choice;
            self.grant_or_refuse(now, &attempt, &route, late, &warm, actions);
        }
    }

    /// Get the next request in order for which there is a target. The requests
    /// before it wait, and the targets they wait for are reserved for them.
    fn next_choice(
        &self,
        now: Moment,
        blocked: &mut BTreeSet<Arc<Placement>>,
        reserved: &mut ReservedTargets,
    ) -> Option<SlotChoice> {
        let wanted = self.queue.wanted_versions();
        let mut view = SlotView::new(now, &self.targets, reserved, wanted);
        while !view.is_full() {
            let queued = self.queue.next(blocked)?;
            let warm = self.prefixes.warm(now, &queued.request.prefixes);
            let query = route_query(queued, &warm);
            let times = self.request_times(now, queued);
            view.set_preference(self.host_preference(&queued.host));
            if let Some(route) = view.choose(now, &query, times) {
                return Some(SlotChoice {
                    attempt: queued.request.attempt,
                    late: self.misses_deadline_at(now, queued, &route, times),
                    route,
                    warm,
                });
            }
            blocked.insert(queued.placement.clone());
            view.reserve_for(&query, times, reserved);
        }
        None
    }

    /// Get whether a run at the chosen target is predicted to miss its
    /// deadline.
    fn misses_deadline_at(
        &self,
        now: Moment,
        queued: &QueuedRequest,
        route: &Route,
        times: RequestTimes,
    ) -> bool {
        if queued.request.first_answer_ms.is_none() {
            return self.is_too_late(now, queued, route);
        }
        let load = self.targets.get(&route.target);
        load.is_some_and(|load| !times.is_feasible(load, queued.request.cost))
    }

    /// Get the time limits of a queued request.
    fn request_times(&self, now: Moment, queued: &QueuedRequest) -> RequestTimes {
        // The placement of a late request has no limit either.
        let has_limit = queued.placement.first_token_limit_ms.is_some();
        RequestTimes {
            first_token_left: has_limit.then(|| as_millis(queued.plan.first_token_due.since(now))),
            run_left: as_millis(queued.plan.run_until.since(now)),
            safety_factor: match self.queue.len() {
                0 | 1 => SAFETY_FACTOR_ALONE,
                _ => SAFETY_FACTOR_CONTENDED,
            },
        }
    }
}
