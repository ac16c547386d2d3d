//! Provides a simulation of whole hosts: four node cores with an unreliable
//! network, an unreliable platform and unreliable targets.

mod calls;
mod engines;
mod faults;
mod network;
mod platform;

use std::collections::{BTreeMap, BTreeSet};

use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::link::{LinkEvent, LinkMessage};
use bergamotswitch_core::node::{NodeAction, NodeCore, NodeEvent, NodeOptions};
use bergamotswitch_core::revision::{Revision, RevisionOptions, ValueName};

use crate::entry_support::*;
use crate::oracle::callers::Callers;
use crate::oracle::{CallerIdentity, Coverage, Oracle, Violation, pick};
use engines::TargetMode;
use network::{Delivery, Network};
use platform::Platform;

pub const HOSTS: [&str; 4] = ["h0", "h1", "h2", "h3"];
pub const TARGETS: [&str; 4] = ["t0", "t1", "t2", "s0"];
const TICK: Duration = Duration::from_millis(200);
/// The published lifetime of an address answer, which is the shortest duration of a
/// planned stop.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(10);
/// The longest time until a published value is in force.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(9);
/// The longest time until a leaving target gets no new work, in a fleet without
/// recent faults.
const DRAIN_WITHIN: Duration = Duration::from_secs(3);
/// The time after a fault by which every host reads from a responsive relay again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// A `FleetEvent` is one randomly drawn step of a run: the first byte selects the
/// kind, the others its parameters.
pub type FleetEvent = [u8; 4];

/// A `FleetOptions` configures a simulation and the defects injected into it.
#[derive(Clone, Debug, Default)]
pub struct FleetOptions {
    pub entry: EntryOptions,
    pub revision: RevisionOptions,
    /// Whether permit requests between hosts have their tiers reversed.
    pub flip_tiers: bool,
    /// Whether permit requests between hosts lose their key claims.
    pub drop_claims: bool,
}

/// A `ScheduledTask` is something that happens at a set time.
#[derive(Clone, Debug)]
enum ScheduledTask {
    Tick(usize, Incarnation),
    Delivery(Delivery),
    Link(usize, Incarnation, LinkEvent),
    Attempt(usize, Incarnation, AttemptId, AttemptEvent),
    Answer(usize, Incarnation, platform::ServiceCall),
    Submit(usize, CallerIdentity, Box<Submission>),
    Start(usize),
    Resume(usize, Moment),
    Heal(Vec<(usize, usize)>),
    LinkTimeout(usize, usize, u64),
    ServiceBack,
    Dial,
}

impl ScheduledTask {
    /// Get the host whose process receives the task, if any.
    fn receiver(&self) -> Option<usize> {
        match self {
            ScheduledTask::Delivery(delivery) => Some(delivery.to),
            ScheduledTask::Tick(host, _)
            | ScheduledTask::Link(host, ..)
            | ScheduledTask::Attempt(host, ..)
            | ScheduledTask::Answer(host, ..)
            | ScheduledTask::Submit(host, ..) => Some(*host),
            _ => None,
        }
    }
}

struct FleetHost {
    run: HostIncarnation,
    core: Option<NodeCore>,
    /// The tasks that a paused process receives once it resumes.
    paused_queue: Option<Vec<ScheduledTask>>,
    paused_at: Moment,
    resumed_at: Moment,
    running_since: Moment,
    stopping_since: Option<Moment>,
    wanted: BTreeSet<usize>,
    calls: BTreeMap<ValueName, u64>,
    in_force: BTreeMap<ValueName, Revision>,
    running: BTreeSet<AttemptId>,
    dropped_answers: BTreeSet<RequestId>,
}

impl FleetHost {
    fn new(run: HostIncarnation, core: Option<NodeCore>, now: Moment) -> Self {
        FleetHost {
            run,
            core,
            paused_queue: None,
            paused_at: Moment::START,
            resumed_at: Moment::START,
            running_since: now,
            stopping_since: None,
            wanted: BTreeSet::new(),
            calls: BTreeMap::new(),
            in_force: BTreeMap::new(),
            running: BTreeSet::new(),
            dropped_answers: BTreeSet::new(),
        }
    }
}

/// A `Grant` is the owner that granted a permit, and its ownership term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Grant {
    owner: usize,
    term: usize,
}

/// A `Cause` is what led to the actions being applied, as far as checks need it.
#[derive(Clone, Debug, Default)]
struct Cause {
    delivery: Option<Delivery>,
    stop: bool,
}

#[derive(Default)]
pub struct FleetSimulation {
    opts: FleetOptions,
    pub now: Moment,
    hosts: Vec<FleetHost>,
    network: Network,
    platform: Platform,
    modes: [TargetMode; 4],
    callers: Callers,
    pub oracle: Oracle,
    pub coverage: Coverage,
    tasks: BTreeMap<(Moment, u64), ScheduledTask>,
    counter: u64,
    runs: u128,
    step: u64,
    /// The times at which each host acquired or released ownership of a shard, or
    /// entered degraded admission for it.
    ownership_changes: BTreeMap<(usize, String), Vec<Moment>>,
    acting: BTreeSet<(usize, String)>,
    grants: BTreeMap<RequestId, Grant>,
    faults: usize,
    /// When a process, a network path or the service last failed or recovered.
    last_change_at: Moment,
    /// When messages between hosts were last lost, delayed or cut off.
    last_network_fault_at: Moment,
    service_since: Moment,
}

impl FleetSimulation {
    pub fn new(opts: FleetOptions) -> Self {
        let mut simulation = FleetSimulation {
            opts,
            now: Moment::from_millis(1_000),
            platform: Platform::start(),
            ..FleetSimulation::default()
        };
        for (index, host) in HOSTS.iter().enumerate() {
            let stopped = FleetHost::new(run_of(host, 0), None, simulation.now);
            simulation.hosts.push(stopped);
            simulation.start(index);
        }
        simulation.post(Duration::ZERO, ScheduledTask::Dial);
        simulation.advance(Duration::from_secs(6));
        simulation
    }

    /// Start a new process of a host, without any state.
    fn start(&mut self, host: usize) {
        self.runs += 1;
        let run = run_of(HOSTS[host], self.runs * 7_919);
        let opts = NodeOptions {
            entry: self.opts.entry.clone(),
            revision: self.opts.revision.clone(),
            ..NodeOptions::default()
        };
        let domain = name(platform::DOMAINS[host % 2]);
        let core = NodeCore::new(run.clone(), domain, opts, self.now);
        self.hosts[host] = FleetHost::new(run.clone(), Some(core), self.now);
        self.last_change_at = self.now;
        self.post(Duration::ZERO, ScheduledTask::Tick(host, run.incarnation));
    }

    fn count(&mut self, what: &'static str) {
        *self.coverage.entry(what).or_default() += 1;
    }

    fn post(&mut self, after: Duration, task: ScheduledTask) {
        self.counter += 1;
        let at = self.now.plus(after);
        self.tasks.insert((at, self.counter), task);
    }

    /// Advance the clock and run the tasks that become due.
    fn advance(&mut self, span: Duration) {
        let end = self.now.plus(span);
        while let Some(next) = self.tasks.first_entry() {
            if next.key().0 > end {
                break;
            }
            let ((at, _), task) = next.remove_entry();
            self.now = self.now.max(at);
            self.run_task(task);
        }
        self.now = end;
    }

    fn run_task(&mut self, task: ScheduledTask) {
        if let Some(host) = task.receiver()
            && let Some(paused_queue) = &mut self.hosts[host].paused_queue
        {
            return paused_queue.push(task);
        }
        match task {
            ScheduledTask::Tick(host, run) => self.tick(host, run),
            ScheduledTask::Delivery(delivery) => self.deliver(delivery),
            ScheduledTask::Link(host, run, event) if self.is_run(host, run) => {
                self.handle(host, NodeEvent::Link(event));
            }
            ScheduledTask::Attempt(host, run, attempt, event) if self.is_run(host, run) => {
                self.apply_attempt_event(host, attempt, event);
            }
            ScheduledTask::Answer(host, run, call) if self.is_run(host, run) => {
                self.answer(host, call)
            }
            ScheduledTask::Link(..) | ScheduledTask::Attempt(..) | ScheduledTask::Answer(..) => {}
            ScheduledTask::Submit(host, identity, submission) => {
                self.submit(host, identity, *submission)
            }
            ScheduledTask::Start(host) => {
                self.faults -= 1;
                self.start(host);
            }
            ScheduledTask::Resume(host, since) => self.resume(host, since),
            ScheduledTask::Heal(cuts) => self.heal(&cuts),
            ScheduledTask::LinkTimeout(a, b, link) => self.expire_link(a, b, link),
            ScheduledTask::ServiceBack => self.service_back(),
            ScheduledTask::Dial => self.dial(),
        }
    }

    fn is_run(&self, host: usize, run: Incarnation) -> bool {
        self.hosts[host].core.is_some() && self.hosts[host].run.incarnation == run
    }

    fn tick(&mut self, host: usize, run: Incarnation) {
        if !self.is_run(host, run) {
            return;
        }
        self.handle(host, NodeEvent::Tick);
        self.post(TICK, ScheduledTask::Tick(host, run));
        self.end_stop(host);
    }

    fn handle(&mut self, host: usize, event: NodeEvent) {
        self.handle_with(host, event, &Cause::default());
    }

    fn handle_with(&mut self, host: usize, event: NodeEvent, cause: &Cause) {
        let now = self.now;
        if let Some(core) = &mut self.hosts[host].core {
            let actions = core.handle(now, event);
            self.apply_actions(host, actions, cause);
        }
    }

    fn apply_actions(&mut self, host: usize, actions: Vec<NodeAction>, cause: &Cause) {
        for action in actions {
            match action {
                NodeAction::Send(to, message) => {
                    if let LinkMessage::FromOwner(OwnerReply::Refused {
                        attempt, reason, ..
                    }) = &message
                    {
                        self.check_shed_order(host, attempt.request, *reason);
                    }
                    self.send(host, host_index(to.as_str()), message);
                }
                NodeAction::Connect(entry) => {
                    let peer = host_index(entry.name.as_str());
                    self.hosts[host].wanted.insert(peer);
                }
                NodeAction::Disconnect(peer) => {
                    self.hosts[host].wanted.remove(&host_index(peer.as_str()));
                }
                NodeAction::Read(value) => self.call(host, value, None),
                NodeAction::Watch(value, after) => self.call(host, value, Some(after)),
                NodeAction::Published(_) => self.record_in_force(host),
                NodeAction::Start {
                    attempt, target, ..
                } => self.dispatch(host, attempt, &target, cause),
                NodeAction::Abort { attempt, .. } => self.abort(host, attempt, cause),
                NodeAction::Conclude(id, conclusion) => {
                    self.conclude(host, id, &conclusion, cause);
                }
                NodeAction::DropAnswer(id) => {
                    self.hosts[host].dropped_answers.insert(id);
                }
                NodeAction::Forward(id, holder) => self.forward_to_holder(id, holder),
                NodeAction::LogIncident(incident, text) => {
                    self.record_incident(host, incident, &text)
                }
                NodeAction::CountRetry(_) => self.count("retries"),
                NodeAction::WatchTargets(_)
                | NodeAction::ReadCaches(_)
                | NodeAction::Gossip(_)
                | NodeAction::CountRefusal(..)
                | NodeAction::CountWait(..)
                | NodeAction::CountWaste(..)
                | NodeAction::CountEnd { .. }
                | NodeAction::Stopped => {}
            }
        }
    }

    fn record_incident(&mut self, host: usize, incident: Incident, text: &str) {
        match incident {
            Incident::OwnershipTaken
            | Incident::OwnershipReleased
            | Incident::DegradedAdmission => {
                let ownership = (host, text.to_owned());
                self.record_ownership_change(ownership.clone());
                if incident == Incident::OwnershipTaken {
                    self.count("takeovers");
                    self.acting.insert(ownership.clone());
                }
                if incident == Incident::OwnershipReleased {
                    self.acting.remove(&ownership);
                }
                if incident == Incident::DegradedAdmission {
                    self.count("degraded");
                }
            }
            Incident::RequestLost => self.count("lost requests"),
            Incident::PauseDetected => self.count("pauses noticed"),
            Incident::RevisionRefused => self.count("revisions refused"),
            Incident::RevisionStale => self.count("stale reads"),
            _ => {}
        }
    }

    fn record_ownership_change(&mut self, ownership: (usize, String)) {
        self.ownership_changes
            .entry(ownership)
            .or_default()
            .push(self.now);
    }

    fn conclude(&mut self, host: usize, id: RequestId, conclusion: &Conclusion, cause: &Cause) {
        if let Conclusion::Refused(refusal) = conclusion {
            // A refusal by a peer was checked when the peer sent it.
            if cause.delivery.is_none() {
                self.check_shed_order(host, id, refusal.reason());
            }
            let shed = [RefusalReason::Overloaded, RefusalReason::ShedForHigherTier];
            if shed.contains(&refusal.reason()) {
                self.count("shed");
            }
        }
        if *conclusion == Conclusion::Answered {
            self.count("answered");
        }
        self.oracle.concluded(id, conclusion);
    }

    /// Check that no request is shed while its owner has work of a lower tier queued.
    fn check_shed_order(&mut self, owner: usize, id: RequestId, reason: RefusalReason) {
        if !matches!(
            reason,
            RefusalReason::Overloaded | RefusalReason::ShedForHigherTier
        ) {
            return;
        }
        let Some(request) = self.oracle.requests.get(&id) else {
            return;
        };
        let (pool, tier) = (&request.submission.pool, request.submission.verdict.tier);
        let Some(core) = &self.hosts[owner].core else {
            return;
        };
        let shards = core.view(self.now).shards;
        let own = shards.iter().filter(|view| view.shard.pool == *pool);
        let mut queued = own.flat_map(|view| &view.queued);
        if queued.any(|kept| kept.tier > tier && kept.requests > 0) {
            self.oracle.record_violation(Violation::ShedOrder);
        }
    }

    /// Apply one step and check every invariant.
    pub fn apply(&mut self, event: FleetEvent) -> Result<(), Violation> {
        self.step += 1;
        self.inject_event(event);
        self.advance(Duration::from_millis(u64::from(event[3]) * 2));
        self.check()
    }

    fn check(&mut self) -> Result<(), Violation> {
        self.check_in_force();
        self.oracle.check()
    }

    /// End the faults, let the system recover, and check the invariants of an idle
    /// system.
    pub fn settle(&mut self) -> Result<(), Violation> {
        self.end_faults();
        for round in 0..40u8 {
            self.advance(Duration::from_millis(500));
            // Once the fleet has recovered, a target leaves and the rules change
            // under load.
            if round == 26 {
                self.publish_final_changes();
            }
            if round >= 26 {
                self.draw_submission(round, round.wrapping_mul(37), round);
            }
            self.check()?;
        }
        self.advance(Duration::from_secs(15));
        self.check()?;
        let alive: Vec<_> = self.hosts.iter().map(|host| host.run.incarnation).collect();
        self.oracle.check_quiescent(&alive)
    }
}

/// Get the index of a host.
fn host_index(name: &str) -> usize {
    let found = HOSTS.iter().position(|host| *host == name);
    found.expect("a host of this simulation")
}
