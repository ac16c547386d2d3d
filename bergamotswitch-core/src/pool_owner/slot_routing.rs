//! Provides the choice among targets whose batches are known.
//!
//! Targets of one pool differ fivefold in speed. A fresh ask goes where its
//! answer can still begin in time, to the one of those that should end first;
//! where they are all full it waits for them as long as it is fresh, and
//! leaves the slow ones to asks that bear them. An ask that is late already
//! goes wherever there is room.

use std::time::Duration;

use crate::clock::Moment;
use crate::request::TokenCost;

use super::back_off::ProbeNeed;
use super::routing::{ClosedTargets, Route, RouteQuery};
use super::target_load::TargetLoad;

/// The requests that a target gets before it was seen to end one. Targets
/// that nobody knows look like the fastest; a slow one would fill up with
/// requests before its first one ends.
const UNKNOWN_PERMITS: usize = 2;

/// The least time for which waiting for a fast target is worth while.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// An `AskTimes` is the time that an ask has.
#[derive(Clone, Copy, Debug)]
pub(super) struct AskTimes {
    /// In which its answer is on time; none where it is late already.
    pub(super) aim_left: Option<Duration>,
    /// In which its run has to end.
    pub(super) run_left: Duration,
    /// How sure its end has to be, as hundredths of the predicted time.
    pub(super) sureness: u32,
}

impl AskTimes {
    /// Get whether a run at a target should end in time.
    pub(super) fn is_feasible(&self, load: &TargetLoad, cost: TokenCost) -> bool {
        load.run_time(cost) * self.sureness / 100 <= self.run_left
    }
}

/// Get whether an answer of a target that takes `crowd` more can begin in the
/// time left.
pub(super) fn is_timely(load: &TargetLoad, cost: TokenCost, left: Duration) -> bool {
    load.first_time(cost) <= left
}

/// Get the best target that has room; `None` where the ask has to wait for
/// one. Where no target should end its run in time, the best one is named all
/// the same, and the caller sees that it is of no use.
pub(super) fn choose_slot(
    now: Moment,
    candidates: &[&TargetLoad],
    closed: &ClosedTargets,
    query: &RouteQuery<'_>,
    times: AskTimes,
) -> Option<Route> {
    let left = times.aim_left;
    let healthy = candidates.iter().any(|load| !load.back_off().is_active());
    let mut best: Option<(bool, Duration, usize, &TargetLoad)> = None;
    let mut waits_for_timely = false;
    let mut waits_for_feasible = false;
    for load in candidates.iter().copied() {
        let probing = match load.back_off().need(now) {
            ProbeNeed::None => false,
            ProbeNeed::Risky if query.riskable || !healthy => true,
            ProbeNeed::Any => true,
            ProbeNeed::Risky | ProbeNeed::Wait => continue,
        };
        let timely = left.is_some_and(|left| is_timely(load, query.cost, left));
        let has_room = match probing {
            true => true,
            false => load.fits(now, query.cost.total()) && load.is_explored(UNKNOWN_PERMITS),
        };
        let open = probing || !closed.contains(&load.target().name);
        let feasible = times.is_feasible(load, query.cost);
        if !has_room || !open {
            waits_for_timely |= timely && load.is_known();
            waits_for_feasible |= feasible;
            continue;
        }
        let rank = (!timely, load.run_time(query.cost), load.permits());
        if best.is_none_or(|best| rank < (best.0, best.1, best.2)) {
            best = Some((rank.0, rank.1, rank.2, load));
        }
    }
    let (late, run, _, load) = best?;
    let is_fresh = left.is_some_and(|left| left > MIN_WAIT);
    if late && is_fresh && waits_for_timely {
        return None;
    }
    if waits_for_feasible && !times.is_feasible(load, query.cost) {
        return None;
    }
    Some(Route {
        target: load.target().name.clone(),
        finish_micros: run.as_micros() as u64,
    })
}
