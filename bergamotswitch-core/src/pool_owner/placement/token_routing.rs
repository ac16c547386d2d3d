//! Provides routing by tokens: choosing the target with the earliest predicted finish.

use crate::clock::Moment;
use crate::pool_owner::learning::back_off::ProbeAdmission;
use crate::pool_owner::learning::target_load::TargetLoad;

use super::routing::{ReservedTargets, Route, RouteQuery, TargetSet, allowed};

/// One target in this many, but at least one, is reserved for short requests:
/// if long requests ran on every target, short ones would have to wait for
/// their end.
const TARGETS_PER_RESERVE: usize = 8;

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
