//! Provides a simulation around entry dispatchers: three hosts that crash and
//! pause, two alternating owners, engines, and messages in any order.

mod engines;
mod faults;
mod owners;

use std::collections::{BTreeMap, BTreeSet};

use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::target::TargetName;

use crate::entry_support::*;
use crate::oracle::callers::Callers;
use crate::oracle::{CallerIdentity, Coverage, Oracle, Violation, pick};

const OWNERS: [&str; 2] = ["owner-1", "owner-2"];
const HOSTS: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
const TARGETS: [&str; 3] = ["t0", "t1", "t2"];
const SETTLE_ROUNDS: usize = 60;

/// A `SimulationEvent` is one randomly drawn step of a run: the first byte selects
/// the kind, the others its parameters.
pub type SimulationEvent = [u8; 4];

#[derive(Clone, Debug)]
enum Message {
    ToOwner(usize, usize, OwnerMessage),
    ToHost(usize, usize, OwnerReply),
    OwnerChanged(usize, usize),
}

#[derive(Debug)]
struct RunningAttempt {
    permit: Permit,
    ran: bool,
}

struct SimulatedHost {
    run: HostIncarnation,
    dispatcher: EntryDispatcher,
    running: BTreeMap<AttemptId, RunningAttempt>,
    ended_attempts: Vec<AttemptId>,
    draining: BTreeSet<TargetName>,
    resumed_at: u64,
    stopping: bool,
    stopped: bool,
}

#[derive(Default)]
struct FakeOwner {
    pending: BTreeMap<AttemptId, (usize, PermitRequest)>,
    granted: BTreeMap<AttemptId, Permit>,
}

#[derive(Default)]
pub struct EntrySimulation {
    options: EntryOptions,
    hosts: Vec<SimulatedHost>,
    owners: [FakeOwner; 2],
    acting: usize,
    /// The holder of each key, kept across owner changes. The loss of an owner
    /// together with a key's holder is a known gap and not simulated here.
    keys: BTreeMap<u128, HostIncarnation>,
    callers: Callers,
    grant_steps: BTreeMap<PermitId, u64>,
    in_transit: Vec<Message>,
    pub oracle: Oracle,
    pub coverage: Coverage,
    now: Moment,
    pub step: u64,
    runs: u128,
}

impl EntrySimulation {
    pub fn new(options: EntryOptions) -> Self {
        let mut simulation = EntrySimulation {
            options: options.with_max_kept_answers(4),
            now: Moment::from_millis(1_000),
            ..EntrySimulation::default()
        };
        for host in 0..HOSTS.len() {
            let new_host = simulation.new_host(host);
            simulation.hosts.push(new_host);
            simulation.handle(host, EntryEvent::OwnerChanged(shard(), name(OWNERS[0])));
        }
        simulation
    }

    fn new_host(&mut self, host: usize) -> SimulatedHost {
        self.runs += 1;
        let run = run_of(HOSTS[host], self.runs);
        let mut dispatcher = EntryDispatcher::new(run.clone(), self.options.clone());
        dispatcher.handle(self.now, EntryEvent::Pools(vec![pool(false)]));
        SimulatedHost {
            run,
            dispatcher,
            running: BTreeMap::new(),
            ended_attempts: Vec::new(),
            draining: BTreeSet::new(),
            resumed_at: 0,
            stopping: false,
            stopped: false,
        }
    }

    fn count(&mut self, what: &'static str) {
        *self.coverage.entry(what).or_default() += 1;
    }

    /// Apply one step and check every invariant.
    pub fn apply(&mut self, event: SimulationEvent) -> Result<(), Violation> {
        let [what, a, b, c] = event;
        self.step += 1;
        self.now = self.now.plus(Duration::from_millis(u64::from(c) % 40));
        let host = usize::from(a) % HOSTS.len();
        match what % 16 {
            0..=2 => self.submit(host, b, c),
            3..=6 => self.deliver_some(a, b),
            7 => self.lose_or_duplicate(a, b),
            8..=9 => self.grant_one(a, b, c),
            10..=11 => self.advance_attempt(host, b, c),
            12..=13 => self.inject_event(host, b, c),
            14 => self.inject_rare_event(host, b, c),
            _ => self.advance(Duration::from_millis(u64::from(c) * 10)),
        }
        self.oracle.check()
    }

    /// Deliver and finish everything, then check the invariants of an idle system.
    pub fn settle(&mut self) -> Result<(), Violation> {
        for host in 0..HOSTS.len() {
            self.in_transit
                .push(Message::OwnerChanged(host, self.acting));
        }
        for _ in 0..SETTLE_ROUNDS {
            while !self.in_transit.is_empty() {
                self.deliver(0);
            }
            self.grant_all();
            self.finish_all();
            self.advance(Duration::from_millis(500));
            self.oracle.check()?;
        }
        self.advance(DEADLINE);
        self.finish_all();
        while !self.in_transit.is_empty() {
            self.deliver(0);
        }
        self.finish_all();
        if self.hosts.iter().any(|host| host.stopping && !host.stopped) {
            self.oracle.record_violation(Violation::InterruptedByStop);
        }
        let alive: Vec<_> = self.hosts.iter().map(|host| host.run.incarnation).collect();
        self.oracle.check_quiescent(&alive)
    }

    fn submit(&mut self, host: usize, b: u8, c: u8) {
        let (identity, submission) = self.callers.draw(b, c, 0);
        self.send_to(host, identity, submission);
    }

    fn send_to(&mut self, host: usize, identity: CallerIdentity, submission: Submission) {
        let dispatcher = &mut self.hosts[host].dispatcher;
        let (outcome, actions) = dispatcher.submit(self.now, submission.clone());
        match outcome {
            SubmitOutcome::Accepted(id) => {
                self.count("requests");
                self.hosts[host].stopped = false;
                let run = self.hosts[host].run.clone();
                self.callers.record_holder(identity.clone(), run);
                self.oracle.accepted(id, identity, submission);
            }
            SubmitOutcome::Attached(id) => {
                self.count("attached");
                let fingerprint = submission.fingerprint;
                self.oracle.attached(id, &identity, fingerprint);
            }
            SubmitOutcome::Forward(holder) => self.forward(identity, submission, holder),
            SubmitOutcome::Refused(_) => {}
        }
        self.apply_actions(host, actions, false);
    }

    fn forward(
        &mut self,
        identity: CallerIdentity,
        mut submission: Submission,
        holder: HostIncarnation,
    ) {
        let host = HOSTS.iter().position(|host| *host == holder.host.as_str());
        self.count("forwards");
        submission.holder = Some(holder);
        if let Some(host) = host {
            self.send_to(host, identity, submission);
        }
    }

    fn handle(&mut self, host: usize, event: EntryEvent) {
        let stop = event == EntryEvent::Stop;
        let actions = self.hosts[host].dispatcher.handle(self.now, event);
        self.apply_actions(host, actions, stop);
    }

    fn apply_actions(&mut self, host: usize, actions: Vec<EntryAction>, stop: bool) {
        for action in actions {
            match action {
                EntryAction::Send(owner, message) => {
                    self.send_to_owner(host, owner.as_str(), message)
                }
                EntryAction::Start {
                    attempt, permit, ..
                } => self.start(host, attempt, permit),
                EntryAction::Abort { attempt, .. } => self.abort(host, attempt, stop),
                EntryAction::Conclude(id, conclusion) => self.oracle.concluded(id, &conclusion),
                EntryAction::Forward(id, holder) => {
                    self.oracle.forwarded(id);
                    if let Some(request) = self.oracle.requests.get(&id) {
                        let identity = request.identity.clone();
                        let mut submission = request.submission.clone();
                        submission.resubmission = true;
                        self.forward(identity, submission, holder);
                    }
                }
                EntryAction::Stopped => self.stopped(host),
                EntryAction::CountRetry(_) => self.count("retries"),
                EntryAction::LogIncident(Incident::RequestLost, _) => self.count("lost"),
                EntryAction::DropAnswer(_)
                | EntryAction::LogStream(..)
                | EntryAction::LogIncident(..)
                | EntryAction::LogCrashes(..)
                | EntryAction::LogTargetLimit(..)
                | EntryAction::LogPathChange(_)
                | EntryAction::LogTargetNotice(..)
                | EntryAction::LogRest(..)
                | EntryAction::LogBrittle(..)
                | EntryAction::CountRefusal(..)
                | EntryAction::CountWait(..)
                | EntryAction::CountWaste(..)
                | EntryAction::CountEnd { .. } => {}
            }
        }
    }

    fn send_to_owner(&mut self, host: usize, owner: &str, message: OwnerMessage) {
        if let OwnerMessage::Release { release, .. } = &message {
            let running = &self.hosts[host].running;
            if running
                .values()
                .any(|attempt_state| attempt_state.permit.id == release.permit)
            {
                self.oracle.record_violation(Violation::PermitLeak);
            }
            self.oracle.released(release.permit, &release.outcome);
        }
        let owner = usize::from(owner == OWNERS[1]);
        self.in_transit.push(Message::ToOwner(host, owner, message));
    }

    fn stopped(&mut self, host: usize) {
        let host_state = &mut self.hosts[host];
        host_state.stopped = true;
        let run = host_state.run.incarnation;
        let open = |id: &RequestId| id.incarnation == run;
        let mut requests = self.oracle.requests.iter();
        if requests.any(|(id, request)| open(id) && request.conclusions == 0) {
            self.oracle.record_violation(Violation::InterruptedByStop);
        }
    }

    fn deliver_some(&mut self, a: u8, b: u8) {
        for _ in 0..=(b % 4) {
            if !self.in_transit.is_empty() {
                self.deliver(usize::from(a) % self.in_transit.len());
            }
        }
    }

    fn deliver(&mut self, index: usize) {
        match self.in_transit.remove(index) {
            Message::ToOwner(host, owner, message) => self.deliver_to_owner(host, owner, message),
            Message::ToHost(host, owner, reply) => {
                if let OwnerReply::Granted { permit, .. } = &reply {
                    self.oracle.permit_arrived(permit.id);
                }
                self.handle(host, EntryEvent::Reply(name(OWNERS[owner]), reply));
            }
            Message::OwnerChanged(host, owner) => {
                self.handle(host, EntryEvent::OwnerChanged(shard(), name(OWNERS[owner])));
            }
        }
    }

    fn advance(&mut self, span: Duration) {
        self.now = self.now.plus(span);
        for host in 0..HOSTS.len() {
            self.handle(host, EntryEvent::Tick);
        }
    }
}
