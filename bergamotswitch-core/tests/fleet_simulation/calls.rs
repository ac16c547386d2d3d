//! Provides the simulated callers, which submit, forward and abandon requests, and
//! the planned stops of hosts.

use bergamotswitch_core::refusal::RunClaim;

use super::*;

const DEADLINE: Duration = Duration::from_secs(12);
const CALLER_LATENCY: Duration = Duration::from_millis(2);
/// The number of steps during which a caller retries with the same key.
const STEPS_PER_SERIES: u64 = 40;

impl FleetSimulation {
    pub(super) fn draw_submission(&mut self, a: u8, b: u8, c: u8) {
        let series = self.step / STEPS_PER_SERIES;
        let (identity, mut submission) = self.callers.draw(b, c, series);
        submission.deadline_in = DEADLINE;
        submission.verdict.tier = Tier(a / 4 % 3);
        // All keyed requests of a series go to one pool, as a key is only valid within
        // a pool.
        if submission.key.is_some() && series.is_multiple_of(4) {
            submission.pool = name("desk");
            submission.kind = PoolKind::Plain;
        }
        let host = usize::from(a) % HOSTS.len();
        self.post(
            CALLER_LATENCY,
            ScheduledTask::Submit(host, identity, Box::new(submission)),
        );
    }

    pub(super) fn submit(&mut self, host: usize, identity: CallerIdentity, submission: Submission) {
        let now = self.now;
        let host_state = &mut self.hosts[host];
        let address_expired = host_state
            .stopping_since
            .is_some_and(|at| now > at.plus(ADDRESS_LIFETIME));
        let Some(core) = host_state.core.as_mut().filter(|_| !address_expired) else {
            return self.count("no answer");
        };
        let (outcome, actions) = core.submit(now, submission.clone());
        match outcome {
            SubmitOutcome::Accepted(id) => {
                self.count("accepted");
                let run = self.hosts[host].run.clone();
                self.callers.record_holder(identity.clone(), run);
                self.oracle.accepted(id, identity, submission);
            }
            SubmitOutcome::Attached(id) => {
                self.count("attached");
                self.oracle.attached(id, &identity, submission.fingerprint);
                if self.hosts[host].dropped_answers.contains(&id) {
                    self.oracle.record_violation(Violation::ForeignAnswer);
                }
            }
            SubmitOutcome::Forward(holder) => self.forward(identity, submission, holder),
            SubmitOutcome::Refused(refusal) => {
                self.count("turned away");
                if refusal.claim() == RunClaim::NotRun {
                    self.oracle.claimed_not_run(&identity, &submission);
                }
            }
        }
        self.apply_actions(host, actions, &Cause::default());
    }

    /// Forward a request to the host incarnation that holds its key.
    pub(super) fn forward_to_holder(&mut self, id: RequestId, holder: HostIncarnation) {
        self.oracle.forwarded(id);
        if let Some(request) = self.oracle.requests.get(&id) {
            let (identity, submission) = (request.identity.clone(), request.submission.clone());
            self.forward(identity, submission, holder);
        }
    }

    fn forward(
        &mut self,
        identity: CallerIdentity,
        mut submission: Submission,
        to: HostIncarnation,
    ) {
        self.count("forwards");
        let host = host_index(to.host.as_str());
        submission.holder = Some(to);
        self.post(
            CALLER_LATENCY,
            ScheduledTask::Submit(host, identity, Box::new(submission)),
        );
    }

    pub(super) fn caller_leaves(&mut self, host: usize, b: u8) {
        let run = self.hosts[host].run.incarnation;
        let requests = self.oracle.requests.iter();
        let open: Vec<RequestId> = requests
            .filter(|(id, request)| id.incarnation == run && request.conclusions == 0)
            .map(|(id, _)| *id)
            .collect();
        if let Some(id) = pick(&open, b)
            && self.hosts[host].paused_queue.is_none()
        {
            self.count("callers left");
            self.handle(host, NodeEvent::CallerDisconnected(id));
        }
    }

    /// Begin the planned stop of a host.
    pub(super) fn stop(&mut self, host: usize) {
        let host_state = &self.hosts[host];
        let running = host_state.core.is_some() && host_state.paused_queue.is_none();
        if !running || host_state.stopping_since.is_some() {
            return;
        }
        self.count("stops");
        self.faults += 1;
        self.last_change_at = self.now;
        self.hosts[host].stopping_since = Some(self.now);
        let cause = Cause {
            delivery: None,
            stop: true,
        };
        self.handle_with(host, NodeEvent::Stop, &cause);
    }

    /// End a stopping process once it is idle and every published answer with its
    /// address has expired.
    pub(super) fn end_stop(&mut self, host: usize) {
        let host_state = &self.hosts[host];
        let (Some(core), Some(since)) = (&host_state.core, host_state.stopping_since) else {
            return;
        };
        if self.now <= since.plus(ADDRESS_LIFETIME) || !core.is_idle() {
            return;
        }
        let run = host_state.run.incarnation;
        let mut requests = self.oracle.requests.iter();
        let cut = requests.any(|(id, request)| id.incarnation == run && request.conclusions == 0);
        if cut || !host_state.running.is_empty() {
            self.oracle.record_violation(Violation::InterruptedByStop);
        }
        self.count("stops ended");
        self.end_process(host);
        self.post(Duration::from_millis(700), ScheduledTask::Start(host));
    }
}
