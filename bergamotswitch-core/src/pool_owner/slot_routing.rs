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

/// Get whether an answer of a target that takes `crowd` more can begin in the
/// time left.
pub(super) fn is_timely(load: &TargetLoad, cost: TokenCost, left: Duration) -> bool {
    load.first_time(cost) <= left
}

/// Get the best target that has room, for an ask whose answer is on time for
/// `left` more; `None` where it has to wait. Late asks have no time left to
/// keep.
pub(super) fn choose_slot(
    now: Moment,
    candidates: &[&TargetLoad],
    closed: &ClosedTargets,
    query: &RouteQuery<'_>,
    left: Option<Duration>,
) -> Option<Route> {
    let healthy = candidates.iter().any(|load| !load.back_off().is_active());
    let mut best: Option<(bool, Duration, usize, &TargetLoad)> = None;
    let mut waits_for_timely = false;
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
        if !has_room || !open {
            waits_for_timely |= timely && load.is_known();
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
    Some(Route {
        target: load.target().name.clone(),
        finish_micros: run.as_micros() as u64,
    })
}
