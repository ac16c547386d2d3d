//! Provides the handling of changes to a shard's targets.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::clock::Moment;
use crate::pool_owner::OwnerAction;
use crate::pool_owner::order::queue::Placement;
use crate::pool_owner::owner::{NO_TARGET_RETRY, ShardOwner};
use crate::refusal::RefusalReason;
use crate::target::{PoolTarget, TargetName};

use super::back_off::BackOff;
use super::target_load::TargetLoad;

impl ShardOwner {
    /// Apply the set of targets that accept new requests. In-flight requests on
    /// a removed target are counted until they end.
    pub(in crate::pool_owner) fn on_targets(
        &mut self,
        now: Moment,
        published: Vec<PoolTarget>,
        actions: &mut Vec<OwnerAction>,
    ) {
        self.targets_known = true;
        let names: BTreeSet<TargetName> =
            published.iter().map(|target| target.name.clone()).collect();
        for load in self.targets.values_mut() {
            load.start_draining();
        }
        for target in published {
            self.discard_previous_run(now, &target);
            match self.targets.get_mut(&target.name) {
                Some(load) => load.publish(target),
                None => self.add_target(now, target),
            }
        }
        let versions = self.targets.values().filter(|load| !load.is_draining());
        let versions = versions.map(|load| &load.target().version);
        self.streams.publish(now, versions);
        self.update_cached_targets(now);
        self.leaving.retain(|name, _| names.contains(name));
        self.targets
            .retain(|_, load| !load.is_draining() || load.permits() > 0);
        self.review_slots();
        self.refuse_unplaceable(actions);
    }

    /// Discard the state of a target's previous process if the target has
    /// restarted under the same name: its permits, speed, backoff and warm
    /// prefixes. Otherwise the slots of requests that died with the process
    /// would stay occupied until their deadlines, and the backoff would apply
    /// to a process that never failed. The requests stay with their entry
    /// hosts, which only know that they may have run.
    fn discard_previous_run(&mut self, now: Moment, target: &PoolTarget) {
        let known = self.targets.get(&target.name);
        let known = known.and_then(|load| load.target().started_at_ms);
        if !is_later(target.started_at_ms, known) {
            return;
        }
        self.targets.remove(&target.name);
        self.leaving.remove(&target.name);
        for permit in self.permits.remove_target(&target.name) {
            if let Some(claim) = &permit.claim {
                self.keys.hold(now, claim);
            }
        }
        self.prefixes.remove_target(&target.name);
        self.host_connections.drop_target(&target.name);
    }

    /// Add a target with the in-flight requests that are known to be there
    /// already.
    fn add_target(&mut self, now: Moment, target: PoolTarget) {
        let name = target.name.clone();
        let back_off = BackOff::new(self.opts.probe_base, self.opts.probe_max);
        let start = target.started_at_ms;
        let mut load = TargetLoad::new(target, back_off);
        load.set_slow_moment(self.paces.span());
        match self.leaving.get(&name) {
            Some(known) if is_later(start, *known) => {
                self.leaving.remove(&name);
            }
            Some(_) => load.mark_leaving(),
            None => {}
        }
        for permit in self.permits.iter().filter(|permit| permit.target == name) {
            load.add_permit(now, permit.cost.total(), permit.long);
        }
        self.targets.insert(name.clone(), load);
        self.limit_cold(now, &name);
    }

    /// Refuse the queued requests for which no target is left.
    pub(in crate::pool_owner) fn refuse_unplaceable(&mut self, actions: &mut Vec<OwnerAction>) {
        let placements = self.queue.placements();
        let unplaceable: Vec<Arc<Placement>> = placements
            .filter(|placement| self.is_unplaceable(placement))
            .cloned()
            .collect();
        if unplaceable.is_empty() {
            return;
        }
        let attempts = self
            .queue
            .find(|queued| unplaceable.contains(&queued.placement));
        for attempt in attempts {
            self.refuse_queued(&attempt, RefusalReason::NoTarget, NO_TARGET_RETRY, actions);
        }
    }
}

/// Get whether `start` is later than `known`. If either is missing, a restart
/// cannot be detected.
pub(in crate::pool_owner) fn is_later(start: Option<u64>, known: Option<u64>) -> bool {
    match (start, known) {
        (Some(start), Some(known)) => start > known,
        _ => false,
    }
}
