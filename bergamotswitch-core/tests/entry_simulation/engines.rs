//! Provides the simulated engines, which run, refuse or fail attempts.

use bergamotswitch_core::entry::NotSentReason;

use super::*;

impl EntrySimulation {
    pub(super) fn start(&mut self, host: usize, attempt: AttemptId, permit: Permit) {
        self.count("dispatches");
        self.oracle.dispatched(attempt.request);
        let host_state = &mut self.hosts[host];
        if host_state.draining.contains(&permit.target) {
            self.oracle.record_violation(Violation::DrainingTarget);
        }
        if self.grant_steps[&permit.id] < host_state.resumed_at {
            self.oracle.record_violation(Violation::StalePermit);
        }
        let attempt_state = RunningAttempt { permit, ran: false };
        if host_state.running.insert(attempt, attempt_state).is_some() {
            self.oracle.record_violation(Violation::DispatchOnce);
        }
    }

    pub(super) fn abort(&mut self, host: usize, attempt: AttemptId, stop: bool) {
        if stop {
            self.oracle.record_violation(Violation::InterruptedByStop);
        }
        self.count("aborts");
        if let Some(attempt_state) = self.hosts[host].running.remove(&attempt) {
            self.record_run(attempt.request, attempt_state.ran);
            self.hosts[host].ended_attempts.push(attempt);
        }
    }

    /// Record a run at the oracle unless it is `recorded` already.
    pub(super) fn record_run(&mut self, id: RequestId, recorded: bool) {
        if !recorded {
            self.oracle.ran(id);
        }
    }

    pub(super) fn finish_all(&mut self) {
        for host in 0..HOSTS.len() {
            let running: Vec<AttemptId> = self.hosts[host].running.keys().copied().collect();
            for attempt in running {
                self.apply_engine_event(host, attempt, AttemptEvent::Finished(usage()));
            }
        }
    }

    /// Report an event of one of the host's running attempts.
    pub(super) fn advance_attempt(&mut self, host: usize, b: u8, c: u8) {
        let running: Vec<AttemptId> = self.hosts[host].running.keys().copied().collect();
        let Some(attempt) = pick(&running, b) else {
            return;
        };
        let event = match c % 13 {
            0 => AttemptEvent::NotSent(NotSentReason::ConnectFailed),
            1 => AttemptEvent::NotSent(NotSentReason::TargetUnavailable),
            2 | 3 => AttemptEvent::Refused,
            4 => AttemptEvent::Failed,
            5 | 6 => AttemptEvent::FirstToken,
            7 => AttemptEvent::Progress(5),
            8 => AttemptEvent::Resumed,
            9 | 10 => AttemptEvent::Broken(usage()),
            11 => AttemptEvent::Stalled,
            _ => AttemptEvent::Finished(usage()),
        };
        self.apply_engine_event(host, attempt, event);
    }

    /// Record what the engine did at the oracle, then report the event to the host.
    fn apply_engine_event(&mut self, host: usize, attempt: AttemptId, event: AttemptEvent) {
        let Some(attempt_state) = self.hosts[host].running.get_mut(&attempt) else {
            return;
        };
        let id = attempt.request;
        let ran = attempt_state.ran;
        let refusal_means_not_run = attempt_state.permit.target.as_str() != "t1";
        match event {
            AttemptEvent::LimitNamed(_)
            | AttemptEvent::LeavingNamed
            | AttemptEvent::RestAsked(_)
            | AttemptEvent::BrittleNamed(_)
            | AttemptEvent::PaceNamed(_)
            | AttemptEvent::Connected => {
                return self.handle(host, EntryEvent::Attempt(attempt, event));
            }
            AttemptEvent::FirstToken
            | AttemptEvent::Progress(_)
            | AttemptEvent::Resumed
            | AttemptEvent::Stalled => {
                attempt_state.ran = true;
                self.record_run(id, ran);
                return self.handle(host, EntryEvent::Attempt(attempt, event));
            }
            // An attempt whose answer has started can no longer be unsent or refused.
            AttemptEvent::NotSent(_) | AttemptEvent::Refused if ran => return,
            AttemptEvent::NotSent(_) => self.oracle.proven_not_run(id),
            AttemptEvent::Refused if refusal_means_not_run => self.oracle.proven_not_run(id),
            AttemptEvent::Finished(_) => {
                self.record_run(id, ran);
                self.oracle.finished(id);
            }
            AttemptEvent::Refused
            | AttemptEvent::Failed
            | AttemptEvent::FailureWithheld
            | AttemptEvent::Broken(_)
            | AttemptEvent::TunnelBroken(_) => {
                self.record_run(id, ran);
            }
        }
        self.hosts[host].running.remove(&attempt);
        self.hosts[host].ended_attempts.push(attempt);
        self.handle(host, EntryEvent::Attempt(attempt, event));
    }
}
