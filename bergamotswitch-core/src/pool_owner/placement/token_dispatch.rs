//! Provides the granting of permits if the slots of some targets are unknown.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::clock::Moment;
use crate::pool_owner::OwnerAction;
use crate::pool_owner::learning::back_off::ProbeAdmission;
use crate::pool_owner::order::queue::{Placement, QueuedRequest};
use crate::pool_owner::owner::ShardOwner;

use super::dispatch::route_query;
use super::routing::{ReservedTargets, allowed};
use super::token_routing::choose;

impl ShardOwner {
    /// Grant permits in queue order until no queued request fits any target.
    pub(super) fn dispatch_tokens(&mut self, now: Moment, actions: &mut Vec<OwnerAction>) {
        let mut blocked: BTreeSet<Arc<Placement>> = BTreeSet::new();
        let mut reserved = ReservedTargets::default();
        // Even if all targets are reserved, a later request may serve as a
        // probe.
        let probing = self
            .targets
            .values()
            .any(|load| load.back_off().is_active());
        while let Some(queued) = self.queue.next(&blocked) {
            let warm = self.prefixes.warm(now, &queued.request.prefixes);
            let query = route_query(queued, &warm);
            match choose(now, &self.targets, &reserved, &query) {
                Some(route) => {
                    let late = self.is_too_late(now, queued, &route);
                    let attempt = queued.request.attempt;
                    self.grant_or_refuse(now, &attempt, &route, late, &warm, actions);
                }
                None => {
                    blocked.insert(queued.placement.clone());
                    self.reserve_capacity(now, queued, &mut reserved);
                    if reserved.is_all() && !probing {
                        return;
                    }
                }
            }
        }
    }

    /// Reserve targets for a request that does not fit now, so that requests
    /// behind it do not take the capacity that it waits for.
    fn reserve_capacity(
        &self,
        now: Moment,
        queued: &QueuedRequest,
        reserved: &mut ReservedTargets,
    ) {
        let candidates = allowed(&self.targets, &queued.placement);
        let working = candidates
            .into_iter()
            .filter(|load| load.back_off().admission(now) == ProbeAdmission::Unrestricted);
        let tokens = queued.request.cost.total();
        if queued.placement.is_unrestricted() {
            reserved.reserve_all();
            return;
        }
        if !queued.placement.long {
            for load in working {
                reserved.reserve(&load.target().name);
            }
            return;
        }
        // If the request only waits for the capacity open to long requests,
        // short ones may still use the rest. If it waits for capacity as such,
        // one target is drained for it: draining all of them would leave the
        // whole shard idle.
        let mut open = working.filter(|load| !reserved.contains(&load.target().name));
        let fits = open.clone().any(|load| load.fits(now, tokens));
        if fits {
            return;
        }
        let first = open.by_ref().min_by_key(|load| {
            let over = (load.backlog(now) + tokens).saturating_sub(load.limit(now));
            (over as f64 * 1e6 / load.speed(now)) as u64
        });
        if let Some(load) = first {
            reserved.reserve(&load.target().name);
        }
    }
}
