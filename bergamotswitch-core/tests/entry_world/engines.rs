//! Provides the engines' side of the world: what they run, refuse and break.

use bergamotswitch_core::entry::NotSentReason;

use super::*;

impl World {
    pub(super) fn start(&mut self, host: usize, attempt: AttemptId, permit: Permit) {
        self.count("dispatches");
        self.oracle.dispatched(attempt.request);
        let here = &mut self.hosts[host];
        if here.leaving.contains(&permit.target) {
            self.oracle.record_violation(Violation::DrainingTarget);
        }
        if self.permit_steps[&permit.id] < here.woke_at {
            self.oracle.record_violation(Violation::StalePermit);
        }
        let flight = Flight { permit, ran: false };
        if here.flights.insert(attempt, flight).is_some() {
            self.oracle.record_violation(Violation::DispatchOnce);
        }
    }

    pub(super) fn abort(&mut self, host: usize, attempt: AttemptId, stop: bool) {
        if stop {
            self.oracle.record_violation(Violation::InterruptedByStop);
        }
        self.count("aborts");
        if let Some(flight) = self.hosts[host].flights.remove(&attempt) {
            self.run_once_more(attempt.request, flight.ran);
            self.hosts[host].ended.push(attempt);
        }
    }

    pub(super) fn run_once_more(&mut self, id: RequestId, counted: bool) {
        if !counted {
            self.oracle.ran(id);
        }
    }

    pub(super) fn finish_all(&mut self) {
        for host in 0..HOSTS.len() {
            let flights: Vec<AttemptId> = self.hosts[host].flights.keys().copied().collect();
            for attempt in flights {
                self.engine_does(host, attempt, AttemptEvent::Finished(usage()));
            }
        }
    }

    pub(super) fn move_flight(&mut self, host: usize, b: u8, c: u8) {
        let flights: Vec<AttemptId> = self.hosts[host].flights.keys().copied().collect();
        let Some(attempt) = pick(&flights, b) else {
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
        self.engine_does(host, attempt, event);
    }

    /// The engine's own ledger is written before the host hears of it.
    fn engine_does(&mut self, host: usize, attempt: AttemptId, event: AttemptEvent) {
        let Some(flight) = self.hosts[host].flights.get_mut(&attempt) else {
            return;
        };
        let id = attempt.request;
        let ran = flight.ran;
        let promises = flight.permit.target.as_str() != "t1";
        match event {
            AttemptEvent::FirstToken
            | AttemptEvent::Progress(_)
            | AttemptEvent::Resumed
            | AttemptEvent::Stalled => {
                flight.ran = true;
                self.run_once_more(id, ran);
                return self.handle(host, EntryEvent::Attempt(attempt, event));
            }
            // What has begun to answer can't be unsent or refused any more.
            AttemptEvent::NotSent(_) | AttemptEvent::Refused if ran => return,
            AttemptEvent::NotSent(_) => self.oracle.proven_not_run(id),
            AttemptEvent::Refused if promises => self.oracle.proven_not_run(id),
            AttemptEvent::Finished(_) => {
                self.run_once_more(id, ran);
                self.oracle.finished(id);
            }
            AttemptEvent::Refused | AttemptEvent::Failed | AttemptEvent::Broken(_) => {
                self.run_once_more(id, ran);
            }
        }
        self.hosts[host].flights.remove(&attempt);
        self.hosts[host].ended.push(attempt);
        self.handle(host, EntryEvent::Attempt(attempt, event));
    }
}
