//! Provides the choice among targets whose batches are known.
//!
//! Targets of one pool differ fivefold in speed. A fresh ask goes where its
//! answer can still begin in time, to the one of those that should end first;
//! where they are all full it waits for them as long as it is fresh, and
//! leaves the slow ones to asks that bear them. An ask that is late already
//! goes wherever there is room.

use crate::clock::Moment;
use crate::request::TokenCost;

use super::back_off::ProbeNeed;
use super::queue::Placement;
use super::routing::{ClosedTargets, Route, RouteQuery, TargetSet, in_domains};
use super::target_load::TargetLoad;

/// The requests that a target gets before it was seen to end one. Targets
/// that nobody knows look like the fastest; a slow one would fill up with
/// requests before its first one ends.
const UNKNOWN_PERMITS: usize = 2;

/// The least time for which waiting for a fast target is worth while, in
/// milliseconds.
const MIN_WAIT_MS: f64 = 5.0;

/// An `AskTimes` is the time that an ask has, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct AskTimes {
    /// In which its answer is on time; none where it is late already.
    pub(super) aim_left: Option<f64>,
    /// In which its run has to end.
    pub(super) run_left: f64,
    /// How sure its end has to be, as a multiple of the predicted time.
    pub(super) sureness: f64,
}

impl AskTimes {
    /// Get whether a run at a target should end in time.
    pub(super) fn is_feasible(&self, load: &TargetLoad, cost: TokenCost) -> bool {
        load.run_ms(cost) * self.sureness <= self.run_left
    }

    /// Get whether an answer of a target can begin in time.
    fn is_timely(&self, load: &TargetLoad, cost: TokenCost) -> bool {
        self.aim_left
            .is_some_and(|left| load.first_ms(cost) <= left)
    }
}

/// An `OpenTarget` is a target that may take a request now.
#[derive(Clone, Copy, Debug)]
struct OpenTarget<'a> {
    load: &'a TargetLoad,
    need: ProbeNeed,
}

/// A `SlotView` is the targets of a shard as the asks of one moment see them.
///
/// Under overload most events find no free slot, or one. An owner that looked at
/// each target for each kind of ask would fall behind in a burst, and hold up
/// every answer of the shard; so those that have a slot are looked for first.
#[derive(Debug)]
pub(super) struct SlotView<'a> {
    targets: &'a TargetSet,
    open: Vec<OpenTarget<'a>>,
}

impl<'a> SlotView<'a> {
    /// Get the view of targets of which `closed` are kept for earlier asks.
    pub(super) fn new(now: Moment, targets: &'a TargetSet, closed: &ClosedTargets) -> Self {
        let live = targets.values().filter(|load| !load.is_leaving());
        let open = live.filter_map(|load| {
            let need = load.back_off().need(now);
            let open = match need {
                ProbeNeed::None => {
                    let has_room = load.may_fit(now) && load.is_explored(UNKNOWN_PERMITS);
                    has_room && !closed.contains(&load.target().name)
                }
                ProbeNeed::Risky | ProbeNeed::Any => true,
                ProbeNeed::Wait => false,
            };
            open.then_some(OpenTarget { load, need })
        });
        SlotView {
            targets,
            open: open.collect(),
        }
    }

    /// Get whether no target may take any request.
    pub(super) fn is_full(&self) -> bool {
        self.open.is_empty()
    }

    /// Get the best target that has room; `None` where the ask has to wait for
    /// one. Where no target should end its run in time, the best one is named
    /// all the same, and the caller sees that it is of no use.
    pub(super) fn choose(
        &self,
        now: Moment,
        query: &RouteQuery<'_>,
        times: AskTimes,
    ) -> Option<Route> {
        let mut best: Option<((bool, f64, usize), &TargetLoad)> = None;
        for open in self.candidates(query.placement) {
            if !self.may_take(now, open, query) {
                continue;
            }
            let load = open.load;
            let timely = times.is_timely(load, query.cost);
            let rank = (!timely, load.run_ms(query.cost), load.permits());
            if best.is_none_or(|(best, _)| rank < best) {
                best = Some((rank, load));
            }
        }
        let ((late, run_ms, _), load) = best?;
        if self.is_worth_waiting(query, times, late, load) {
            return None;
        }
        Some(Route {
            target: load.target().name.clone(),
            finish_micros: (run_ms * 1_000.0) as u64,
        })
    }

    /// Get whether the best target with room is so much worse than one without
    /// that the ask had better wait.
    fn is_worth_waiting(
        &self,
        query: &RouteQuery<'_>,
        times: AskTimes,
        late: bool,
        best: &TargetLoad,
    ) -> bool {
        let cost = query.cost;
        let is_fresh = times.aim_left.is_some_and(|left| left > MIN_WAIT_MS);
        if late && is_fresh {
            // An open target that is timely would have been the best.
            let timely = |load: &TargetLoad| load.is_known() && times.is_timely(load, cost);
            if self.any_usable(query.placement, timely) {
                return true;
            }
        }
        let feasible = |load: &TargetLoad| times.is_feasible(load, cost);
        !feasible(best) && self.any_usable(query.placement, feasible)
    }

    /// Close the targets that a waiting ask waits for to those after it.
    pub(super) fn close_for(
        &mut self,
        placement: &Placement,
        cost: TokenCost,
        times: AskTimes,
        closed: &mut ClosedTargets,
    ) {
        let kept = |load: &TargetLoad| match times.aim_left {
            // Those that would be too late for it are free for others.
            Some(_) => times.is_timely(load, cost),
            None => true,
        };
        let avoids = self.avoids(placement);
        self.open.retain(|open| {
            let allowed = may_go(open.load, placement, avoids);
            let closes = allowed && open.need == ProbeNeed::None && kept(open.load);
            if closes {
                closed.close(&open.load.target().name);
            }
            !closes
        });
    }

    /// Get whether a target has room for this very request.
    fn may_take(&self, now: Moment, open: &OpenTarget<'_>, query: &RouteQuery<'_>) -> bool {
        match open.need {
            ProbeNeed::None => open.load.fits(now, query.cost.total()),
            need => query.may_probe(need, self.any_healthy(query.placement)),
        }
    }

    /// Get the open targets where `placement` may go.
    fn candidates(&self, placement: &Placement) -> impl Iterator<Item = &OpenTarget<'a>> {
        let avoids = self.avoids(placement);
        let open = self.open.iter();
        open.filter(move |open| may_go(open.load, placement, avoids))
    }

    /// Get whether the targets to avoid are avoided: they come back where no
    /// other is left.
    fn avoids(&self, placement: &Placement) -> bool {
        !placement.avoid.is_empty()
            && in_domains(self.targets, placement)
                .any(|load| !placement.avoid.contains(&load.target().name))
    }

    /// Get whether some target where `placement` may go, open or not, is such
    /// a one and does not stand still.
    fn any_usable(&self, placement: &Placement, is_such: impl Fn(&TargetLoad) -> bool) -> bool {
        let avoids = self.avoids(placement);
        in_domains(self.targets, placement).any(|load| {
            let usable = may_go(load, placement, avoids) && !load.back_off().is_active();
            usable && is_such(load)
        })
    }

    fn any_healthy(&self, placement: &Placement) -> bool {
        self.any_usable(placement, |_| true)
    }
}

/// Get whether `placement` may go to a target, where it avoids some or does not.
fn may_go(load: &TargetLoad, placement: &Placement, avoids: bool) -> bool {
    let target = load.target();
    placement.allows(&target.domain) && !(avoids && placement.avoid.contains(&target.name))
}
