//! Provides what befalls the world: lost and doubled messages, leaving
//! callers and targets, preemption, pauses, crashes, stops, owner changes.

use super::*;

impl World {
    /// Lose a message, or have it come twice.
    pub(super) fn disturb(&mut self, a: u8, b: u8) {
        if self.transit.is_empty() {
            return;
        }
        let index = usize::from(a) % self.transit.len();
        match b % 2 {
            0 => {
                self.transit.remove(index);
            }
            _ => {
                let copy = self.transit[index].clone();
                self.transit.push(copy);
            }
        }
    }

    pub(super) fn befall(&mut self, host: usize, b: u8, c: u8) {
        let flights: Vec<AttemptId> = self.hosts[host].flights.keys().copied().collect();
        match b % 8 {
            0..=2 => {
                let run = self.hosts[host].run.incarnation;
                let open = |id: &RequestId| id.incarnation == run;
                let fates = self.oracle.requests.iter();
                let live: Vec<RequestId> = fates
                    .filter(|(id, fate)| open(id) && fate.conclusions == 0)
                    .map(|(id, _)| *id)
                    .collect();
                let flying = flights.iter().map(|attempt| attempt.request);
                let flying: Vec<RequestId> = flying.collect();
                let left = match c % 4 {
                    0 => pick(&live, c),
                    _ => pick(&flying, c),
                };
                if let Some(id) = left {
                    self.handle(host, EntryEvent::CallerLeft(id));
                }
            }
            3..=5 => {
                if let Some(attempt) = pick(&flights, c) {
                    let permit = self.hosts[host].flights[&attempt].permit.id;
                    let preempt = OwnerReply::Preempt { permit, attempt };
                    match c % 4 {
                        0 => self
                            .transit
                            .push(Letter::ToHost(host, self.acting, preempt)),
                        _ => {
                            self.handle(host, EntryEvent::Reply(name(OWNERS[self.acting]), preempt))
                        }
                    }
                }
            }
            6 => {
                let target: TargetName = name(TARGETS[usize::from(c) % TARGETS.len()]);
                let leaving = c & 64 != 0;
                match leaving {
                    true => self.hosts[host].leaving.insert(target.clone()),
                    false => self.hosts[host].leaving.remove(&target),
                };
                self.handle(host, EntryEvent::TargetDraining(target, leaving));
            }
            _ if c.is_multiple_of(2) => {
                // News of an attempt that is over, late or doubled.
                if let Some(attempt) = pick(&self.hosts[host].ended, c) {
                    let event = AttemptEvent::Finished(usage());
                    self.handle(host, EntryEvent::Attempt(attempt, event));
                }
            }
            _ => {
                let permits: Vec<PermitId> = self.permit_steps.keys().copied().collect();
                let shard = shard();
                let audit = OwnerReply::Audit { shard, permits };
                self.transit.push(Letter::ToHost(host, self.acting, audit));
            }
        }
    }

    pub(super) fn befall_rarely(&mut self, host: usize, b: u8, c: u8) {
        match b % 8 {
            0 => self.crash(host),
            1 => {
                self.hosts[host].stopping = true;
                self.handle(host, EntryEvent::Stop);
            }
            2 => {
                self.acting = 1 - self.acting;
                for host in 0..HOSTS.len() {
                    self.transit.push(Letter::OwnerIs(host, self.acting));
                }
            }
            3..=5 => {
                let span = Duration::from_millis(u64::from(c) * 20);
                self.now = self.now.plus(span);
                self.hosts[host].woke_at = self.step;
                self.handle(host, EntryEvent::ProcessPaused(span));
            }
            6 if self.hosts[host].stopping => {
                let left = Duration::from_millis(u64::from(c) * 100);
                let whole_by = self.now.plus(left);
                self.handle(host, EntryEvent::FinishBy(whole_by));
            }
            // The grace of a stop is over.
            7 if self.hosts[host].stopping => {
                self.count("cut stops");
                self.handle(host, EntryEvent::GraceExpired);
                self.crash(host);
            }
            _ => {}
        }
    }

    /// A process dies; what it had dispatched may run on in the engine. Its
    /// successor gets the messages that were meant for it.
    fn crash(&mut self, host: usize) {
        self.count("crashes");
        let fresh = self.fresh_host(host);
        let gone = std::mem::replace(&mut self.hosts[host], fresh);
        for (attempt, flight) in gone.flights {
            self.run_once_more(attempt.request, flight.ran);
            self.oracle.holder_terminated(flight.permit.id);
        }
        self.transit.push(Letter::OwnerIs(host, self.acting));
    }
}
