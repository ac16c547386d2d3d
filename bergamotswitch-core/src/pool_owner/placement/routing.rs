//! Provides what both ways of routing use: the properties of a request, the targets
//! that it may use and those reserved for earlier requests.

use std::collections::{BTreeMap, BTreeSet};

use crate::pool_owner::learning::back_off::ProbeAdmission;
use crate::pool_owner::learning::target_load::TargetLoad;
use crate::pool_owner::order::queue::Placement;
use crate::request::TokenCost;
use crate::rules::Tier;
use crate::target::TargetName;

use super::prefix_table::WarmTarget;

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
    pub(in crate::pool_owner) fn may_probe(
        &self,
        admission: ProbeAdmission,
        any_works: bool,
    ) -> bool {
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

impl Route {
    /// Create the route to a target with this predicted run in milliseconds.
    pub(in crate::pool_owner) fn new(target: &TargetName, run_ms: f64) -> Self {
        Route {
            target: target.clone(),
            finish_micros: (run_ms * 1_000.0) as u64,
        }
    }
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
pub(in crate::pool_owner) fn in_domains<'a>(
    targets: &'a TargetSet,
    placement: &Placement,
) -> impl Iterator<Item = &'a TargetLoad> {
    let live = targets.values().filter(|load| !load.is_draining());
    live.filter(|load| placement.allows(load.target()))
}
