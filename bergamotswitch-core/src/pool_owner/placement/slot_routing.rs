//! Provides the choice among targets that publish their slots.
//!
//! Targets of one pool may differ several times in speed. A request that can
//! still be answered on time is sent to a target that can meet its
//! time-to-first-token limit, to the one with the shortest predicted run. If
//! all of these are full, it waits for them while it is on time and leaves
//! slower targets to other requests. A late request is sent to any target with
//! capacity.

use std::collections::BTreeMap;

use crate::clock::Moment;
use crate::pool_owner::learning::back_off::ProbeAdmission;
use crate::pool_owner::learning::target_load::TargetLoad;
use crate::pool_owner::order::queue::Placement;
use crate::request::TokenCost;
use crate::rules::Tier;
use crate::target::TargetVersion;

use super::connection_reuse::HostPreference;
use super::routing::{ReservedTargets, Route, RouteQuery, TargetSet, in_domains};

/// The maximum number of permits for a target before its first completed run.
/// Without samples a target seems the fastest; a slow one would fill up before
/// its first run ends.
const UNMEASURED_PERMITS: usize = 2;

/// The minimum remaining time, in milliseconds, for which waiting for a faster
/// target is worthwhile.
const MIN_WAIT_MS: f64 = 5.0;

/// A `RequestTimes` is the time limits of a request, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(in crate::pool_owner) struct RequestTimes {
    /// The time left until its first token is due; `None` if the request is
    /// late or has no such limit.
    pub(in crate::pool_owner) first_token_left: Option<f64>,
    /// The time left until its deadline.
    pub(in crate::pool_owner) run_left: f64,
    /// The safety factor by which predicted run times are multiplied.
    pub(in crate::pool_owner) safety_factor: f64,
}

impl RequestTimes {
    /// Get whether a run at a target is predicted to end before the deadline.
    pub(in crate::pool_owner) fn is_feasible(&self, load: &TargetLoad, cost: TokenCost) -> bool {
        load.run_ms(cost) * self.safety_factor <= self.run_left
    }

    /// Get whether the first token of a target is predicted to be on time.
    fn is_on_time(&self, load: &TargetLoad, cost: TokenCost) -> bool {
        self.first_token_left
            .is_some_and(|left| load.first_ms(cost) <= left)
    }
}

/// A `WantedVersions` is the versions for which streams wait that have begun there, with
/// the highest tier of these streams.
pub(in crate::pool_owner) type WantedVersions = BTreeMap<TargetVersion, Tier>;

/// A `TargetRank` is whether a target is too late for a request, the predicted run there
/// in milliseconds, and the target's permits.
pub(in crate::pool_owner) type TargetRank = (bool, f64, usize);

/// An `OpenTarget` is a target that may accept a request now.
#[derive(Clone, Copy, Debug)]
struct OpenTarget<'a> {
    load: &'a TargetLoad,
    admission: ProbeAdmission,
}

/// A `SlotView` is the targets of a shard during one dispatch pass.
///
/// Under overload most events find at most one free slot. Evaluating each
/// target for each kind of request would be too slow in a burst, so targets
/// without a free slot are filtered out first.
#[derive(Debug)]
pub(in crate::pool_owner) struct SlotView<'a> {
    targets: &'a TargetSet,
    open: Vec<OpenTarget<'a>>,
    wanted: WantedVersions,
    preference: Option<HostPreference<'a>>,
}

impl<'a> SlotView<'a> {
    /// Create the view of `targets`, without those in `reserved`, which are kept
    /// for earlier requests.
    pub(in crate::pool_owner) fn new(
        now: Moment,
        targets: &'a TargetSet,
        reserved: &ReservedTargets,
        wanted: WantedVersions,
    ) -> Self {
        let live = targets.values().filter(|load| !load.is_draining());
        let open = live.filter_map(|load| {
            if !load.is_pace_open(now) {
                return None;
            }
            let admission = load.back_off().admission(now);
            let open = match admission {
                ProbeAdmission::Unrestricted => {
                    let has_capacity =
                        load.may_fit(now) && load.within_unmeasured_limit(UNMEASURED_PERMITS);
                    has_capacity && !reserved.contains(&load.target().name)
                }
                ProbeAdmission::EligibleProbe | ProbeAdmission::AnyProbe => true,
                ProbeAdmission::Blocked => false,
            };
            open.then_some(OpenTarget { load, admission })
        });
        SlotView {
            targets,
            open: open.collect(),
            wanted,
            preference: None,
        }
    }

    /// Set which of several equally good targets suits the host of the next request.
    pub(in crate::pool_owner) fn set_preference(&mut self, preference: Option<HostPreference<'a>>) {
        self.preference = preference;
    }

    /// Get whether no target may accept any request.
    pub(in crate::pool_owner) fn is_full(&self) -> bool {
        self.open.is_empty()
    }

    /// Get the best target with capacity; `None` if the request has to wait. If
    /// no target is predicted to meet the deadline, the best one is returned
    /// all the same, and the caller has to check it.
    pub(in crate::pool_owner) fn choose(
        &self,
        now: Moment,
        query: &RouteQuery<'_>,
        times: RequestTimes,
    ) -> Option<Route> {
        let mut best: Option<(TargetRank, &TargetLoad)> = None;
        for (rank, load) in self.ranked(now, query, times) {
            if best.is_none_or(|(best, _)| rank < best) {
                best = Some((rank, load));
            }
        }
        let ((late, run_ms, _), load) = self.prefer(best?, now, query, times);
        if self.is_worth_waiting(query, times, late, load) {
            return None;
        }
        Some(Route::new(&load.target().name, run_ms))
    }

    /// Get the targets that may take the request, with their ranks; the lowest is the
    /// best.
    fn ranked(
        &self,
        now: Moment,
        query: &RouteQuery<'_>,
        times: RequestTimes,
    ) -> impl Iterator<Item = (TargetRank, &'a TargetLoad)> {
        let leaves_wanted = self.leaves_wanted(query);
        let candidates = self.candidates(query.placement);
        let takers = candidates.filter(move |open| {
            let left = leaves_wanted && is_wanted(&self.wanted, open.load, query.tier);
            !left && self.may_take(now, open, query)
        });
        takers.map(move |open| {
            let load = open.load;
            let on_time = times.is_on_time(load, query.cost);
            ((!on_time, load.run_ms(query.cost), load.permits()), load)
        })
    }

    /// Get the target that suits the request's host most, among those as good as the
    /// best one.
    fn prefer(
        &self,
        best: (TargetRank, &'a TargetLoad),
        now: Moment,
        query: &RouteQuery<'_>,
        times: RequestTimes,
    ) -> (TargetRank, &'a TargetLoad) {
        let Some(preference) = &self.preference else {
            return best;
        };
        let ranked = self.ranked(now, query, times);
        let equal = ranked.filter(|(rank, _)| preference.is_equal(rank, &best.0));
        let preferred = equal.min_by_key(|(_, load)| preference.rank(now, &load.target().name));
        preferred.unwrap_or(best)
    }

    /// Get whether a request leaves the targets of wanted versions to the streams that
    /// continue only there: it may run at another target.
    fn leaves_wanted(&self, query: &RouteQuery<'_>) -> bool {
        let is_bound = query.placement.version.is_some();
        let is_other = |load: &TargetLoad| !is_wanted(&self.wanted, load, query.tier);
        !is_bound && !self.wanted.is_empty() && self.any_usable(query.placement, is_other)
    }

    /// Get whether waiting for a full target is better than the best target
    /// with capacity.
    fn is_worth_waiting(
        &self,
        query: &RouteQuery<'_>,
        times: RequestTimes,
        late: bool,
        best: &TargetLoad,
    ) -> bool {
        let cost = query.cost;
        let can_wait = times
            .first_token_left
            .is_some_and(|left| left > MIN_WAIT_MS);
        if late && can_wait {
            // If an open target met the limit, it would be the best one.
            let on_time = |load: &TargetLoad| {
                let is_known = load.has_run() && !load.is_rate_limited();
                is_known && times.is_on_time(load, cost)
            };
            if self.any_usable(query.placement, on_time) {
                return true;
            }
        }
        let feasible = |load: &TargetLoad| !load.is_rate_limited() && times.is_feasible(load, cost);
        !times.is_feasible(best, cost) && self.any_usable(query.placement, feasible)
    }

    /// Reserve the targets that a queued request waits for.
    pub(in crate::pool_owner) fn reserve_for(
        &mut self,
        query: &RouteQuery<'_>,
        times: RequestTimes,
        reserved: &mut ReservedTargets,
    ) {
        let placement = query.placement;
        let leaves_wanted = self.leaves_wanted(query);
        let wanted = &self.wanted;
        // Targets that would be too late or too slow for the request stay available to
        // others.
        let kept = |load: &TargetLoad| {
            let on_time = times.first_token_left.is_none() || times.is_on_time(load, query.cost);
            on_time && times.is_feasible(load, query.cost)
        };
        let excludes_avoided = self.excludes_avoided(placement);
        self.open.retain(|open| {
            let left = leaves_wanted && is_wanted(wanted, open.load, query.tier);
            let allowed = !left && is_allowed(open.load, placement, excludes_avoided);
            let reserves =
                allowed && open.admission == ProbeAdmission::Unrestricted && kept(open.load);
            if reserves {
                reserved.reserve(&open.load.target().name);
            }
            !reserves
        });
    }

    /// Get whether a target has capacity for this request.
    fn may_take(&self, now: Moment, open: &OpenTarget<'_>, query: &RouteQuery<'_>) -> bool {
        match open.admission {
            ProbeAdmission::Unrestricted => open.load.fits(now, query.cost.total()),
            admission => query.may_probe(admission, self.any_healthy(query.placement)),
        }
    }

    /// Get the open targets that `placement` allows.
    fn candidates(&self, placement: &Placement) -> impl Iterator<Item = &OpenTarget<'a>> {
        let excludes_avoided = self.excludes_avoided(placement);
        let open = self.open.iter();
        open.filter(move |open| is_allowed(open.load, placement, excludes_avoided))
    }

    /// Get whether the targets to avoid are excluded: they are allowed only if
    /// there is no other one.
    fn excludes_avoided(&self, placement: &Placement) -> bool {
        !placement.avoid.is_empty()
            && in_domains(self.targets, placement)
                .any(|load| !placement.avoid.contains(&load.target().name))
    }

    /// Get whether an allowed target, open or not, meets the condition and
    /// is not backed off.
    fn any_usable(&self, placement: &Placement, condition: impl Fn(&TargetLoad) -> bool) -> bool {
        let excludes_avoided = self.excludes_avoided(placement);
        in_domains(self.targets, placement).any(|load| {
            let usable =
                is_allowed(load, placement, excludes_avoided) && !load.back_off().is_active();
            usable && condition(load)
        })
    }

    fn any_healthy(&self, placement: &Placement) -> bool {
        self.any_usable(placement, |_| true)
    }
}

/// Get whether a stream of `tier` or a higher one waits for the version of a target.
fn is_wanted(wanted: &WantedVersions, load: &TargetLoad, tier: Tier) -> bool {
    let wanted = wanted.get(&load.target().version);
    wanted.is_some_and(|wanted| *wanted <= tier)
}

/// Get whether `placement` allows a target; `excludes_avoided` says whether
/// targets to avoid are excluded.
fn is_allowed(load: &TargetLoad, placement: &Placement, excludes_avoided: bool) -> bool {
    let target = load.target();
    placement.allows(target) && !(excludes_avoided && placement.avoid.contains(&target.name))
}
