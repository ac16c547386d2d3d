//! Provides the release, audit and takeover of permits.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Moment;
use crate::host::{HostName, Incarnation};
use crate::incident::Incident;
use crate::permit::{InFlightWork, KeyClaim, OwnerReply, PermitId, Release, ReleaseOutcome, Usage};
use crate::pool_owner::owner::ShardOwner;
use crate::pool_owner::placement::permit_table::GrantedPermit;
use crate::pool_owner::{FailureReport, OwnerAction};
use crate::request::AttemptId;
use crate::target::TargetName;

use super::run_time_estimator::RunSample;

impl ShardOwner {
    pub(in crate::pool_owner) fn on_release(
        &mut self,
        now: Moment,
        release: &Release,
        actions: &mut Vec<OwnerAction>,
    ) {
        let known = self.permits.get(&release.permit);
        if known.is_none_or(|permit| permit.attempt != release.attempt) {
            return;
        }
        let Some(permit) = self.release_permit(now, &release.permit) else {
            return;
        };
        if let Some(claim) = &permit.claim {
            // The key is kept for one retention time from the end of the run.
            self.keys.hold(now, claim);
        }
        let not_executed = matches!(
            release.outcome,
            ReleaseOutcome::Unused | ReleaseOutcome::Unreachable | ReleaseOutcome::Refused
        );
        if not_executed {
            self.remove_prefix_hints(&permit);
        }
        self.sizes.record_run(&permit, &release.outcome);
        self.settle_use(now, &permit, &release.outcome);
        self.record_connection(now, &permit, &release.outcome);
        match &release.outcome {
            ReleaseOutcome::Unused => self.clear_probe(&permit),
            ReleaseOutcome::Finished(usage) => {
                self.review_limit(now, &permit);
                self.on_finished(now, &permit, usage);
            }
            outcome @ (ReleaseOutcome::Unreachable | ReleaseOutcome::Failed(_)) => {
                self.on_failure(now, &permit, outcome, actions);
            }
            ReleaseOutcome::Refused => self.on_target_refused(now, &permit, actions),
            ReleaseOutcome::Stopped(usage) => {
                self.size_floor
                    .record_unfinished(permit.tier, permit.mean_run);
                self.record_usage(now, &permit, usage);
                self.clear_probe(&permit);
            }
        }
        self.remove_if_drained(&permit.target);
    }

    /// Take over the work that an entry host holds under permits of previous
    /// owners.
    pub(in crate::pool_owner) fn on_resync(
        &mut self,
        now: Moment,
        host: HostName,
        held: Vec<InFlightWork>,
        claims: &[KeyClaim],
        actions: &mut Vec<OwnerAction>,
    ) {
        for claim in claims {
            if self.keys.hold_reported(now, claim) {
                self.answer_duplicates(claim, actions);
            }
        }
        // The host has used another owner meanwhile, and releases that it sent
        // in that time may have been lost. Without an early audit their slots
        // would stay occupied until the regular one.
        let named: BTreeSet<PermitId> = held.iter().map(|work| work.permit).collect();
        self.permits.schedule_audits_except(now, &host, &named);
        for work in held {
            self.adopt_work(now, host.clone(), work);
        }
    }

    /// Answer the queued requests whose key another run holds.
    fn answer_duplicates(&mut self, reported: &KeyClaim, actions: &mut Vec<OwnerAction>) {
        let is_duplicate =
            |claim: &KeyClaim| claim.key == reported.key && claim.holder != reported.holder;
        let duplicates = self
            .queue
            .find(|queued| queued.request.claim.as_ref().is_some_and(is_duplicate));
        for attempt in duplicates {
            if let Some(queued) = self.queue.remove(&attempt) {
                self.release_unused(&queued.request);
                self.reply_key_held(queued.host, attempt, reported.holder.clone(), actions);
            }
        }
    }

    fn adopt_work(&mut self, now: Moment, host: HostName, work: InFlightWork) {
        if self.permits.get(&work.permit).is_some() {
            return;
        }
        self.drop_queued(&work.attempt);
        let long = self.costs.is_long(work.cost.total());
        let mut full_time = Duration::ZERO;
        if let Some(load) = self.targets.get_mut(&work.target) {
            full_time = load.full_time(now);
            load.add_permit(now, work.cost.total(), long);
        }
        self.permits.insert(GrantedPermit {
            id: work.permit,
            host,
            attempt: work.attempt,
            target: work.target,
            tier: work.tier,
            account: work.account,
            cost: work.cost,
            // Charged by the previous owner, which hands over the use of accounts.
            charge: None,
            long,
            preemptible: work.preemptible,
            claim: None,
            prefixes: Vec::new(),
            warm_blocks: 0,
            granted_at: now,
            // Without the backlog at its start, the request gives no speed
            // sample.
            tokens_ahead: 0,
            utilization: 1.0,
            full_time,
            // The answer may have been reported to the previous owner.
            limit_named: true,
            finish_at: now,
            mean_run: Duration::ZERO,
            preempted_at: None,
            audit_at: now.plus(self.opts.audit_after),
        });
    }

    /// Reclaim the permits that a host, asked by an audit, does not hold.
    pub(in crate::pool_owner) fn on_not_held(
        &mut self,
        now: Moment,
        host: &HostName,
        permits: &[PermitId],
        actions: &mut Vec<OwnerAction>,
    ) {
        for id in permits {
            let known = self.permits.get(id);
            if known.is_none_or(|permit| permit.host != *host) {
                continue;
            }
            let Some(permit) = self.release_permit(now, id) else {
                continue;
            };
            self.clear_probe(&permit);
            self.counts.reclaimed += 1;
            self.remove_if_drained(&permit.target);
            actions.push(self.incident_action(Incident::PermitReclaimed, &permit.target));
        }
    }

    /// Drop the queued requests and free the permits of an incarnation of an
    /// entry host that has terminated. Its keys stay claimed, since the outcome of its
    /// requests is not known.
    pub(in crate::pool_owner) fn drop_incarnation(
        &mut self,
        now: Moment,
        incarnation: Incarnation,
    ) {
        self.stream_requests.drop_incarnation(incarnation);
        self.returning.drop_incarnation(incarnation);
        for attempt in self.queue.of_incarnation(incarnation) {
            self.drop_queued(&attempt);
        }
        for id in self.permits.of_incarnation(incarnation) {
            if let Some(permit) = self.release_permit(now, &id) {
                self.clear_probe(&permit);
                self.remove_if_drained(&permit.target);
            }
        }
    }

    /// Drop a queued request that may have run elsewhere.
    fn drop_queued(&mut self, attempt: &AttemptId) {
        if let Some(queued) = self.queue.remove(attempt) {
            let request = queued.request;
            self.quotas.commit(&request.account, request.quota_units);
        }
    }

    /// Ask the holders of old permits whether they still hold them. A slot is
    /// never freed by a timeout alone, since the request may still be running.
    pub(in crate::pool_owner) fn audit(&mut self, now: Moment, actions: &mut Vec<OwnerAction>) {
        let next = now.plus(self.opts.audit_after);
        for (host, permits) in self.permits.due_audits(now, next) {
            let shard = self.shard.clone();
            let reply = OwnerReply::Audit { shard, permits };
            actions.push(OwnerAction::Reply(host, reply));
        }
    }

    fn release_permit(&mut self, now: Moment, id: &PermitId) -> Option<GrantedPermit> {
        let permit = self.permits.remove(id)?;
        self.release_rate.record(now);
        if let Some(load) = self.targets.get_mut(&permit.target) {
            load.remove_permit(now, permit.cost.total(), permit.long);
            load.remove_expected_end(&permit.expected_end());
        }
        Some(permit)
    }

    pub(in crate::pool_owner) fn remove_if_drained(&mut self, target: &TargetName) {
        let load = self.targets.get(target);
        if load.is_some_and(|load| load.is_draining() && load.permits() == 0) {
            self.targets.remove(target);
            self.review_slots();
        }
    }

    fn clear_probe(&mut self, permit: &GrantedPermit) {
        if let Some(load) = self.targets.get_mut(&permit.target) {
            load.back_off_mut().clear_probe(permit.id);
        }
    }

    fn record_usage(&mut self, now: Moment, permit: &GrantedPermit, usage: &Usage) {
        if permit.tokens_ahead == 0 {
            return;
        }
        if let Some(load) = self.targets.get_mut(&permit.target) {
            load.record_usage(now, permit.tokens_ahead, permit.cost, usage);
        }
    }

    fn on_finished(&mut self, now: Moment, permit: &GrantedPermit, usage: &Usage) {
        self.record_usage(now, permit, usage);
        if let Some(load) = self.targets.get_mut(&permit.target) {
            let sample = RunSample {
                cost: permit.cost,
                usage,
                utilization: permit.utilization,
                crowded_part: load.crowded_part(now, permit.full_time, usage),
            };
            load.record_run(now, &sample);
            load.reports_mut().record_success(now, &permit.host);
            load.back_off_mut()
                .record_success(permit.id, permit.granted_at);
            load.record_cache_hit(permit.expected_cached(), usage.cached);
        }
        for prefix in &permit.prefixes {
            self.prefixes.record(now, &permit.target, *prefix);
        }
    }

    /// Remove the prefix hints that were recorded for a request that never
    /// reached the target.
    fn remove_prefix_hints(&mut self, permit: &GrantedPermit) {
        for prefix in permit.prefixes.iter().skip(permit.warm_blocks) {
            self.prefixes.remove(&permit.target, *prefix);
        }
    }

    /// Handle a target's refusal. A refusal by a loaded target means that it is
    /// full; a refusal by an idle one counts as a failure.
    fn on_target_refused(
        &mut self,
        now: Moment,
        permit: &GrantedPermit,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(load) = self.targets.get_mut(&permit.target) else {
            return;
        };
        load.pause(now);
        if !load.has_backlog(now) {
            self.on_failure(now, permit, &ReleaseOutcome::Refused, actions);
            return;
        }
        load.record_full(now);
        load.back_off_mut().clear_probe(permit.id);
    }

    fn on_failure(
        &mut self,
        now: Moment,
        permit: &GrantedPermit,
        outcome: &ReleaseOutcome,
        actions: &mut Vec<OwnerAction>,
    ) {
        let certain = *outcome == ReleaseOutcome::Unreachable;
        // An error after dispatch may be the request's own fault. One client
        // account that sends bad requests must not get all targets backed off,
        // so such errors back off at most half of them.
        let too_many = self.would_exceed_back_off_limit();
        let Some(load) = self.targets.get_mut(&permit.target) else {
            return;
        };
        let is_credible = load.reports_mut().record_failure(now, &permit.host);
        let back_off = load.back_off_mut();
        let is_ignored = !is_credible || (!certain && too_many);
        if is_ignored && !back_off.is_active() {
            back_off.clear_probe(permit.id);
            return;
        }
        if back_off.record_failure(now, permit.id, permit.granted_at, certain) {
            let report = FailureReport {
                host: permit.host.clone(),
                outcome: outcome.label(),
            };
            let (shard, target) = (self.shard.clone(), permit.target.clone());
            let incident = Incident::TargetBackedOff;
            let action = OwnerAction::LogIncident(incident, shard, Some(target), Some(report));
            actions.push(action);
        }
    }

    pub(in crate::pool_owner) fn incident_action(
        &self,
        incident: Incident,
        target: &TargetName,
    ) -> OwnerAction {
        OwnerAction::LogIncident(incident, self.shard.clone(), Some(target.clone()), None)
    }
}
