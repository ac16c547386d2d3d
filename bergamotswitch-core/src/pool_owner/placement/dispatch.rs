//! Provides the granting of permits in queue order.

use std::time::Duration;

use crate::clock::Moment;
use crate::permit::{OwnerReply, Permit, PermitId};
use crate::pool_owner::OwnerAction;
use crate::pool_owner::admission::key_table::KeyVerdict;
use crate::pool_owner::learning::run_time_estimator::as_millis;
use crate::pool_owner::learning::size_ends::RequestEnd;
use crate::pool_owner::order::queue::QueuedRequest;
use crate::pool_owner::owner::ShardOwner;
use crate::refusal::RefusalReason;
use crate::request::AttemptId;
use crate::rules::Tier;

use super::permit_table::GrantedPermit;
use super::prefix_table::WarmTarget;
use super::routing::{Route, RouteQuery};

impl ShardOwner {
    /// Grant permits in queue order until no queued request fits any target.
    pub(in crate::pool_owner) fn dispatch(&mut self, now: Moment, actions: &mut Vec<OwnerAction>) {
        if !self.targets_known || self.queue.is_empty() {
            return;
        }
        if self.has_slots() {
            self.dispatch_slots(now, actions);
            return;
        }
        self.dispatch_tokens(now, actions);
    }

    /// Grant the selected request its target, or answer it without a run if its
    /// key is held elsewhere or `late` says that its deadline cannot be met.
    pub(in crate::pool_owner) fn grant_or_refuse(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
        route: &Route,
        late: bool,
        warm: &[WarmTarget],
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(queued) = self.queue.get(attempt) else {
            return;
        };
        if self.is_key_taken(now, queued) {
            self.refuse_held_key(now, attempt, actions);
            return;
        }
        if late {
            let retry_after = self.drain_time(now, queued.request.tier);
            let reason = RefusalReason::DeadlinePassed;
            self.refuse_queued(attempt, reason, retry_after, actions);
            return;
        }
        self.grant(now, attempt, route, warm, actions);
    }

    /// Get whether the predicted run time exceeds the time left until the
    /// deadline. Top-tier requests are run anyway, since the prediction may be
    /// wrong.
    pub(in crate::pool_owner) fn is_too_late(
        &self,
        now: Moment,
        queued: &QueuedRequest,
        route: &Route,
    ) -> bool {
        if queued.request.tier == Tier(0) {
            return false;
        }
        let load = self.targets.get(&route.target);
        let run_ms = load.map_or(0.0, |load| load.run_ms(queued.request.cost));
        as_millis(queued.plan.run_until.since(now)) < run_ms
    }

    /// Get whether another run claimed the key while the request was queued.
    /// The key's entry may have expired or been evicted meanwhile; granting a
    /// permit now would run the request twice.
    fn is_key_taken(&self, now: Moment, queued: &QueuedRequest) -> bool {
        let claim = queued.request.claim.as_ref();
        let verdict = claim.map(|claim| self.keys.check(now, claim));
        matches!(verdict, Some(KeyVerdict::HeldBy(_)))
    }

    fn refuse_held_key(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(queued) = self.queue.remove(attempt) else {
            return;
        };
        self.quotas
            .commit(&queued.request.account, queued.request.quota_units);
        let claim = queued.request.claim.as_ref();
        if let Some(KeyVerdict::HeldBy(holder)) = claim.map(|claim| self.keys.check(now, claim)) {
            self.counts.keys_known += 1;
            let attempt = *attempt;
            let reply = OwnerReply::KeyHeld { attempt, holder };
            actions.push(OwnerAction::Reply(queued.host, reply));
        }
    }

    fn grant(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
        route: &Route,
        warm: &[WarmTarget],
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some((queued, charge)) = self.queue.serve_at(now, attempt) else {
            return;
        };
        self.quotas
            .commit(&queued.request.account, queued.request.quota_units);
        let Some(load) = self.targets.get_mut(&route.target) else {
            return;
        };
        self.queue.record_outcome(now, queued.request.tier, true);
        self.sequence += 1;
        let id = PermitId {
            owner: self.identity.incarnation,
            sequence: self.sequence,
        };
        let request = queued.request;
        let tokens = request.cost.total();
        load.back_off_mut().start_probe(id);
        let utilization = load.utilization();
        let full_time = load.full_time(now);
        load.add_permit(now, tokens, queued.placement.long);
        load.take_pace(now);
        let tokens_ahead = load.tokens_ahead_of(now, tokens);
        let warm_blocks = warm.iter().find(|warm| warm.target == route.target);
        let warm_blocks = warm_blocks.map_or(0, |warm| warm.blocks);
        for prefix in &request.prefixes {
            self.prefixes.record(now, &route.target, *prefix);
        }
        if let Some(claim) = &request.claim {
            self.keys.grant(now, claim);
        }
        self.use_connection(now, &queued.host, &route.target);
        let permit = GrantedPermit {
            id,
            host: queued.host.clone(),
            attempt: *attempt,
            target: route.target.clone(),
            tier: request.tier,
            account: request.account,
            cost: request.cost,
            charge,
            long: queued.placement.long,
            preemptible: request.preemptible,
            claim: request.claim,
            warm_blocks,
            prefixes: request.prefixes,
            granted_at: now,
            tokens_ahead,
            utilization,
            full_time,
            limit_named: false,
            finish_at: now.plus(Duration::from_micros(route.finish_micros)),
            mean_run: queued.earlier.estimate.run,
            preempted_at: None,
            audit_at: now.plus(self.opts.audit_after),
        };
        if let Some(load) = self.targets.get_mut(&route.target) {
            load.add_expected_end(permit.expected_end());
        }
        self.counts.granted += 1;
        self.sizes
            .record(now, permit.tier, permit.cost, RequestEnd::Granted);
        self.size_floor
            .record_granted(now, permit.tier, permit.mean_run);
        self.record_started_work(now, permit.tier, queued.earlier.estimate.work);
        let reply = self.granted_reply(&permit);
        actions.push(OwnerAction::Reply(queued.host, reply));
        self.permits.insert(permit);
        if let Some(origin) = &queued.origin {
            let deadline_in = queued.plan.run_until.since(now);
            self.record_stream(now, origin, &route.target, deadline_in);
        }
    }

    /// Get the reply that carries a permit.
    pub(in crate::pool_owner) fn granted_reply(&self, permit: &GrantedPermit) -> OwnerReply {
        let lifetime = self.opts.permit_lifetime.as_millis();
        OwnerReply::Granted {
            shard: self.shard.clone(),
            permit: Permit {
                id: permit.id,
                attempt: permit.attempt,
                target: permit.target.clone(),
                lifetime_ms: u32::try_from(lifetime).unwrap_or(u32::MAX),
            },
        }
    }
}

/// Get the properties of a queued request that routing uses.
pub(in crate::pool_owner) fn route_query<'a>(
    queued: &'a QueuedRequest,
    warm: &'a [WarmTarget],
) -> RouteQuery<'a> {
    RouteQuery {
        placement: &queued.placement,
        cost: queued.request.cost,
        tier: queued.request.tier,
        blocks: queued.request.prefixes.len(),
        warm,
        // Top-tier requests and requests that must not run twice are not used as
        // probes.
        probe_eligible: queued.request.claim.is_none() && queued.request.tier > Tier(0),
        // Targets that fail together become due for a probe together. Probing
        // them all with the same request would exhaust its attempts although
        // other targets work.
        failed_before: !queued.request.avoid.is_empty(),
    }
}
