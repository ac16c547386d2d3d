//! Provides the simulated targets, which run, refuse, fail or do not answer attempts,
//! and the checks made at each dispatch.

use bergamotswitch_core::entry::NotSentReason;

use super::*;

/// A `TargetMode` is how a target currently responds to attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetMode {
    #[default]
    Healthy,
    Slow,
    Silent,
    Refusing,
    Unreachable,
    Failing,
}

impl FleetSimulation {
    pub(super) fn set_mode(&mut self, target: u8, mode: u8) {
        let modes = [
            TargetMode::Healthy,
            TargetMode::Healthy,
            TargetMode::Slow,
            TargetMode::Silent,
            TargetMode::Refusing,
            TargetMode::Unreachable,
            TargetMode::Failing,
        ];
        self.modes[usize::from(target) % 4] = modes[usize::from(mode) % modes.len()];
    }

    pub(super) fn dispatch(
        &mut self,
        host: usize,
        attempt: AttemptId,
        target: &PoolTarget,
        cause: &Cause,
    ) {
        self.count("dispatches");
        let index = TARGETS
            .iter()
            .position(|name| *name == target.name.as_str());
        let index = index.expect("a target of this simulation");
        self.check_leaving(index);
        let grant = self.check_permit(host, attempt, cause);
        self.exempt_known_gap(attempt.request, grant);
        self.grants.insert(attempt.request, grant);
        self.oracle.dispatched(attempt.request);
        if !self.hosts[host].running.insert(attempt) {
            self.oracle.record_violation(Violation::DispatchOnce);
        }
        self.run(host, attempt, index, target.contract.refusal_means_not_run);
    }

    /// Record the run at the oracle, then schedule the attempt's events by the mode
    /// of the target.
    fn run(&mut self, host: usize, attempt: AttemptId, target: usize, refusal_means_not_run: bool) {
        let id = attempt.request;
        let mode = self.modes[target];
        let not_run = mode == TargetMode::Unreachable
            || (mode == TargetMode::Refusing && refusal_means_not_run);
        match not_run {
            true => self.oracle.proven_not_run(id),
            false => self.oracle.ran(id),
        }
        let finish_ms = 40 + 37 * (id.sequence % 16);
        let broken = AttemptEvent::Broken(usage());
        let finished = AttemptEvent::Finished(usage());
        let script: &[(u64, AttemptEvent)] = match mode {
            TargetMode::Unreachable => &[(3, AttemptEvent::NotSent(NotSentReason::ConnectFailed))],
            TargetMode::Refusing => &[(3, AttemptEvent::Refused)],
            TargetMode::Failing => &[(60, AttemptEvent::Failed)],
            TargetMode::Silent if id.sequence.is_multiple_of(2) => &[(4_000, broken)],
            TargetMode::Silent => &[(500, AttemptEvent::FirstToken), (4_000, broken)],
            TargetMode::Slow => &[
                (1_000, AttemptEvent::FirstToken),
                (3_000, AttemptEvent::Progress(5)),
                (4_000, AttemptEvent::Stalled),
                (5_000, AttemptEvent::Resumed),
                (7_000, finished),
            ],
            TargetMode::Healthy => &[(30, AttemptEvent::FirstToken), (finish_ms, finished)],
        };
        let run = self.hosts[host].run.incarnation;
        for (after, event) in script {
            let task = ScheduledTask::Attempt(host, run, attempt, *event);
            self.post(Duration::from_millis(*after), task);
        }
    }

    /// Report an attempt event to its host. An event of an attempt that has ended is
    /// late and must have no effect.
    pub(super) fn apply_attempt_event(
        &mut self,
        host: usize,
        attempt: AttemptId,
        event: AttemptEvent,
    ) {
        let is_progress = matches!(
            event,
            AttemptEvent::FirstToken
                | AttemptEvent::Progress(_)
                | AttemptEvent::Resumed
                | AttemptEvent::LimitNamed(_)
                | AttemptEvent::LeavingNamed
                | AttemptEvent::BrittleNamed(_)
                | AttemptEvent::PaceNamed(_)
                | AttemptEvent::RestAsked(_)
                | AttemptEvent::Stalled
        );
        let known = match is_progress {
            true => self.hosts[host].running.contains(&attempt),
            false => self.hosts[host].running.remove(&attempt),
        };
        if !known {
            self.count("late events");
        }
        if known && matches!(event, AttemptEvent::Finished(_)) {
            self.oracle.finished(attempt.request);
        }
        self.handle(host, NodeEvent::Attempt(attempt, event));
    }

    pub(super) fn abort(&mut self, host: usize, attempt: AttemptId, cause: &Cause) {
        self.count("aborts");
        if cause.stop {
            self.oracle.record_violation(Violation::InterruptedByStop);
        }
        self.hosts[host].running.remove(&attempt);
    }

    /// Check that the target has not been listed as leaving for longer than hosts
    /// need to learn of it.
    fn check_leaving(&mut self, target: usize) {
        let Some((leaving, at)) = self.platform.leaving else {
            return;
        };
        let settled = self.faults == 0 && self.last_change_at.plus(RECOVERY_TIME) <= at;
        if settled && self.now > at.plus(DRAIN_WITHIN) {
            self.count("past a leaving target");
            if leaving == target {
                self.oracle.record_violation(Violation::DrainingTarget);
            }
        }
    }

    /// Check that the permit was not sent before the host's last pause, and get the
    /// ownership term that it was granted in.
    fn check_permit(&mut self, host: usize, attempt: AttemptId, cause: &Cause) -> Grant {
        if let Some(delivery) = &cause.delivery
            && let LinkMessage::FromOwner(OwnerReply::Granted { permit, .. }) = &delivery.message
            && let Some(grant) = delivery.grant
            && permit.attempt == attempt
        {
            if delivery.sent_at < self.hosts[host].resumed_at {
                self.oracle.record_violation(Violation::StalePermit);
            }
            return grant;
        }
        self.current_grant(host, self.shard_of(attempt.request))
    }

    fn shard_of(&self, id: RequestId) -> &str {
        let request = self.oracle.requests.get(&id);
        request.map_or("", |request| request.submission.pool.as_str())
    }

    /// Exempt a duplicate run of a key where it is a known gap of the design: a
    /// resubmission that is not marked as one and does not name the incarnation
    /// that ran the request before, after a partition, a takeover or a crash of
    /// both holder and owner.
    fn exempt_known_gap(&mut self, id: RequestId, grant: Grant) {
        let Some(request) = self.oracle.requests.get(&id) else {
            return;
        };
        let repeatable =
            request.submission.verdict.idempotent && !request.submission.verdict.dispatch_once;
        if request.submission.resubmission || repeatable {
            return;
        }
        let named = request
            .submission
            .holder
            .as_ref()
            .map(|run| run.incarnation);
        for earlier in self.oracle.earlier_runs(id) {
            let first = self.grants.get(&earlier).copied();
            let Some(first) = first.filter(|first| *first != grant) else {
                continue;
            };
            if named == Some(earlier.incarnation) {
                return;
            }
            let gap_reason = self.gap_reason(earlier, first, grant);
            self.count(gap_reason);
            if gap_reason != "gap: untold" {
                self.oracle.exempt(id);
            }
            return;
        }
    }

    /// Get the reason why the owner of the current grant does not know of an earlier
    /// run.
    fn gap_reason(&self, earlier: RequestId, first: Grant, grant: Grant) -> &'static str {
        let shard = format!("shard={}", self.shard_of(earlier));
        let changes = |grant: Grant| &self.ownership_changes[&(grant.owner, shard.clone())];
        let first_term_end = changes(first).get(first.term).copied();
        let term_start = changes(grant).get(grant.term.wrapping_sub(1)).copied();
        let term_start = term_start.unwrap_or_default();
        let holder_lives = (0..self.hosts.len()).any(|at| self.is_run(at, earlier.incarnation));
        if !holder_lives && first_term_end.is_some() {
            return "gap: double death";
        }
        let had_network_fault = self.last_network_fault_at > Moment::START;
        if had_network_fault && self.last_network_fault_at.plus(RECOVERY_TIME) >= term_start {
            return "gap: partition";
        }
        let mut acting = self.acting.iter();
        let other = acting.any(|(at, about)| *at != grant.owner && *about == shard);
        if other || first_term_end.is_none_or(|end| end > term_start) {
            return "gap: two owners";
        }
        // Until then a host may not have detected that its owner crashed.
        let noticed = |at: &Moment| self.now.since(*at) > Duration::from_secs(3);
        let mut changes_of_shard = self
            .ownership_changes
            .iter()
            .filter(|((_, about), _)| *about == shard);
        if !changes_of_shard.all(|(_, changes)| changes.iter().all(noticed)) {
            return "gap: takeover";
        }
        "gap: untold"
    }
}
