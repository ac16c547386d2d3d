//! Provides the injected faults and events: lost and duplicated messages, caller
//! disconnects, draining targets, preemption, pauses, crashes, stops and owner
//! changes.

use super::*;

impl EntrySimulation {
    /// Lose or duplicate a message in transit.
    pub(super) fn lose_or_duplicate(&mut self, a: u8, b: u8) {
        if self.in_transit.is_empty() {
            return;
        }
        let index = usize::from(a) % self.in_transit.len();
        match b % 2 {
            0 => {
                self.in_transit.remove(index);
            }
            _ => {
                let copy = self.in_transit[index].clone();
                self.in_transit.push(copy);
            }
        }
    }

    /// Inject a caller disconnect, a preemption, a change of a target's draining
    /// state, a late attempt event or a permit audit.
    pub(super) fn inject_event(&mut self, host: usize, b: u8, c: u8) {
        let running: Vec<AttemptId> = self.hosts[host].running.keys().copied().collect();
        match b % 8 {
            0..=2 => {
                let run = self.hosts[host].run.incarnation;
                let open = |id: &RequestId| id.incarnation == run;
                let requests = self.oracle.requests.iter();
                let live: Vec<RequestId> = requests
                    .filter(|(id, request)| open(id) && request.conclusions == 0)
                    .map(|(id, _)| *id)
                    .collect();
                let running_requests = running.iter().map(|attempt| attempt.request);
                let running_requests: Vec<RequestId> = running_requests.collect();
                let disconnected = match c % 4 {
                    0 => pick(&live, c),
                    _ => pick(&running_requests, c),
                };
                if let Some(id) = disconnected {
                    self.handle(host, EntryEvent::CallerDisconnected(id));
                }
            }
            3..=5 => {
                if let Some(attempt) = pick(&running, c) {
                    let permit = self.hosts[host].running[&attempt].permit.id;
                    let preempt = OwnerReply::Preempt { permit, attempt };
                    match c % 4 {
                        0 => self
                            .in_transit
                            .push(Message::ToHost(host, self.acting, preempt)),
                        _ => {
                            self.handle(host, EntryEvent::Reply(name(OWNERS[self.acting]), preempt))
                        }
                    }
                }
            }
            6 => {
                let target: TargetName = name(TARGETS[usize::from(c) % TARGETS.len()]);
                let draining = c & 64 != 0;
                match draining {
                    true => self.hosts[host].draining.insert(target.clone()),
                    false => self.hosts[host].draining.remove(&target),
                };
                self.handle(host, EntryEvent::TargetDraining(target, draining));
            }
            _ if c.is_multiple_of(2) => {
                // A late or duplicated event of an attempt that has ended.
                if let Some(attempt) = pick(&self.hosts[host].ended_attempts, c) {
                    let event = AttemptEvent::Finished(usage());
                    self.handle(host, EntryEvent::Attempt(attempt, event));
                }
            }
            _ => {
                let permits: Vec<PermitId> = self.grant_steps.keys().copied().collect();
                let shard = shard();
                let audit = OwnerReply::Audit { shard, permits };
                self.in_transit
                    .push(Message::ToHost(host, self.acting, audit));
            }
        }
    }

    /// Inject a crash, a planned stop, an owner change or a process pause.
    pub(super) fn inject_rare_event(&mut self, host: usize, b: u8, c: u8) {
        match b % 8 {
            0 => self.crash(host),
            1 => {
                self.hosts[host].stopping = true;
                self.handle(host, EntryEvent::Stop);
            }
            2 => {
                self.acting = 1 - self.acting;
                for host in 0..HOSTS.len() {
                    self.in_transit
                        .push(Message::OwnerChanged(host, self.acting));
                }
            }
            3..=5 => {
                let span = Duration::from_millis(u64::from(c) * 20);
                self.now = self.now.plus(span);
                self.hosts[host].resumed_at = self.step;
                self.handle(host, EntryEvent::ProcessResumed(span));
            }
            6 if self.hosts[host].stopping => {
                let time_left = Duration::from_millis(u64::from(c) * 100);
                let answer_deadline = self.now.plus(time_left);
                self.handle(host, EntryEvent::AnswerDeadline(answer_deadline));
            }
            // The grace period of the stop has expired.
            7 if self.hosts[host].stopping => {
                self.count("cut stops");
                self.handle(host, EntryEvent::GraceExpired);
                self.crash(host);
            }
            _ => {}
        }
    }

    /// Crash a host's process and start a new one. Dispatched attempts may still
    /// run in the engine, and the new process receives the messages in transit.
    fn crash(&mut self, host: usize) {
        self.count("crashes");
        let new_host = self.new_host(host);
        let crashed = std::mem::replace(&mut self.hosts[host], new_host);
        for (attempt, attempt_state) in crashed.running {
            self.record_run(attempt.request, attempt_state.ran);
            self.oracle.holder_terminated(attempt_state.permit.id);
        }
        self.in_transit
            .push(Message::OwnerChanged(host, self.acting));
    }
}
