//! Provides routing: choosing the target with the earliest predicted finish.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Moment;
use crate::request::TokenCost;
use crate::rules::Tier;
use crate::target::TargetName;

use super::back_off::ProbeAdmission;
use super::prefix_table::WarmTarget;
use super::queue::Placement;
use super::target_load::TargetLoad;

/// One target in this many, but at least one, is reserved for short requests:
/// if long requests ran on every target, short ones would have to wait for
/// their end.
const TARGETS_PER_RESERVE: usize = 8;

/// A `RouteQuery` is the properties of a request that routing uses.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Where the request may be sent.
    pub placement: &'a Placement,
    /// The estimated cost.
    pub cost: TokenCost,
    /// The tier.
    pub tier: Tier,
    /// The number of hashed blocks of its prompt.
    pub blocks: usize,
    /// Which targets have how many of these blocks cached.
    pub warm: &'a [WarmTarget],
    /// Whether the request may be the probe of a target that is backed off.
    pub probe_eligible: bool,
    /// Whether the request has failed on a target before; if so, it is not used
    /// as a probe while other targets work.
    pub failed_before: bool,
}

impl RouteQuery<'_> {
    /// Get whether the request may be sent to a target in this backoff state;
    /// `any_works` says whether another allowed target works.
    pub(super) fn may_probe(&self, admission: ProbeAdmission, any_works: bool) -> bool {
        match admission {
            ProbeAdmission::Unrestricted => true,
            ProbeAdmission::EligibleProbe => {
                !any_works || (self.probe_eligible && !self.failed_before)
            }
            ProbeAdmission::AnyProbe => !any_works || !self.failed_before,
            ProbeAdmission::Blocked => false,
        }
    }
}

/// A `Route` is a chosen target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The target.
    pub target: TargetName,
    /// The predicted time until the work ends, in microseconds.
    pub finish_micros: u64,
}

/// A `ReservedTargets` is the targets reserved for requests earlier in the
/// queue.
///
/// Without reservations, small requests of lower tiers would take each bit of
/// capacity as it is released, and a larger request of a higher tier would
/// never fit.
#[derive(Debug, Default)]
pub struct ReservedTargets {
    all: bool,
    names: BTreeSet<TargetName>,
}

impl ReservedTargets {
    /// Reserve `target` for an earlier request.
    pub fn reserve(&mut self, target: &TargetName) {
        self.names.insert(target.clone());
    }

    /// Reserve every target for an earlier request.
    pub fn reserve_all(&mut self) {
        self.all = true;
    }

    /// Get whether every target is reserved.
    pub fn is_all(&self) -> bool {
        self.all
    }

    /// Get whether `target` is reserved.
    pub fn contains(&self, target: &TargetName) -> bool {
        self.all || self.names.contains(target)
    }
}

/// A `TargetSet` is the targets of a shard.
pub type TargetSet = BTreeMap<TargetName, TargetLoad>;

/// Get the targets that `placement` allows. Targets to avoid are included only
/// if no other one is allowed; the failure domains are never extended.
pub fn allowed<'a>(targets: &'a TargetSet, placement: &Placement) -> Vec<&'a TargetLoad> {
    let allowed: Vec<&TargetLoad> = in_domains(targets, placement).collect();
    if placement.avoid.is_empty() {
        return allowed;
    }
    let preferred: Vec<&TargetLoad> = allowed
        .iter()
        .copied()
        .filter(|load| !placement.avoid.contains(&load.target().name))
        .collect();
    match preferred.is_empty() {
        true => allowed,
        false => preferred,
    }
}

/// Get the targets in the failure domains of `placement` that accept new
/// requests.
pub(super) fn in_domains<'a>(
    targets: &'a TargetSet,
    placement: &Placement,
) -> impl Iterator<Item = &'a TargetLoad> {
    let live = targets.values().filter(|load| !load.is_draining());
    live.filter(|load| placement.allows(load.target()))
}

/// Get the predicted time until a request would finish at a target, in
/// microseconds: the target's backlog and the request's own tokens, less those
/// saved by a warm prefix, at the measured speed.
pub fn predict(now: Moment, load: &TargetLoad, query: &RouteQuery<'_>) -> u64 {
    let name = &load.target().name;
    let warm = query.warm.iter().find(|warm| warm.target == *name);
    let saved = match warm {
        Some(warm) if query.blocks > 0 => {
            let blocks = warm.blocks.min(query.blocks) as u64;
            let warm = u64::from(query.cost.prefill) * blocks / query.blocks as u64;
            (warm as f64 * load.cache_hit_ratio()) as u64
        }
        _ => 0,
    };
    let own = query.cost.total() - saved;
    if load.target().slots.is_some() {
        // Such a target serves all its slots concurrently, so its backlog
        // does not delay a new request; recent run times show its speed.
        return (load.run_ms(query.cost) * 1_000.0) as u64;
    }
    let tokens = load.backlog(now) + own;
    (tokens as f64 * 1e6 / load.speed(now)) as u64
}

/// Get the target with the earliest predicted finish that has capacity; `None`
/// if the request has to wait.
pub fn choose(
    now: Moment,
    targets: &TargetSet,
    reserved: &ReservedTargets,
    query: &RouteQuery<'_>,
) -> Option<Route> {
    let candidates = allowed(targets, query.placement);
    let healthy = candidates.iter().any(|load| !load.back_off().is_active());
    let tokens = query.cost.total();
    let mut best: Option<(u64, u64, &TargetLoad)> = None;
    for load in candidates.iter().copied() {
        if !load.is_pace_open(now) {
            continue;
        }
        let open = match load.back_off().admission(now) {
            ProbeAdmission::Unrestricted if reserved.contains(&load.target().name) => false,
            ProbeAdmission::Unrestricted => load.fits(now, tokens),
            admission => query.may_probe(admission, healthy),
        };
        if !open {
            continue;
        }
        if query.placement.long && !leaves_capacity(now, &candidates, load, tokens) {
            continue;
        }
        let finish = predict(now, load, query);
        let rank = (finish, load.outstanding());
        if best.is_none_or(|(finish, outstanding, _)| rank < (finish, outstanding)) {
            best = Some((rank.0, rank.1, load));
        }
    }
    let (finish_micros, _, load) = best?;
    Some(Route {
        target: load.target().name.clone(),
        finish_micros,
    })
}

/// Get whether there is still capacity for short requests if a long one is sent
/// to `load`.
fn leaves_capacity(
    now: Moment,
    candidates: &[&TargetLoad],
    load: &TargetLoad,
    tokens: u64,
) -> bool {
    if !load.fits_long(now, tokens) {
        return false;
    }
    if load.has_long() || candidates.len() < 2 {
        return true;
    }
    let reserve = candidates.len().div_ceil(TARGETS_PER_RESERVE);
    let with_long = candidates.iter().filter(|load| load.has_long()).count();
    with_long + reserve < candidates.len()
}
