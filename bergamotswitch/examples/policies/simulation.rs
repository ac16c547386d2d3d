//! Provides a discrete-event simulation of a policy, its engines and its
//! requests. Times are in microseconds of virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::link::LinkEvent;
use bergamotswitch_core::request::{AttemptId, PrefixHash};
use bergamotswitch_core::target::{LoadReport, PoolTarget, TargetName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::engine::{EngineRun, EngineUpdate, FakeEngine};
use crate::traffic::{Fault, HOST_COUNT, OfferedRequest, TestDeployment, TestScenario};

/// The one-way network delay between two machines.
const NETWORK_DELAY: u64 = 1_000;

/// How often the load of a target is read.
const LOAD_INTERVAL: u64 = 250_000;

/// How old a load report is on arrival.
const LOAD_DELAY: u64 = 500_000;

/// The age that a load report states, which is less than its actual age.
const LOAD_AGE_MS: u32 = 400;

/// The delay of a prefix-cache event.
const CACHE_EVENT_DELAY: u64 = 2_000_000;

/// The percentage of prefix-cache events that are lost.
const CACHE_EVENT_LOSS_PERCENT: u32 = 30;

/// How long a run may continue after the end of its load.
const MAX_DRAIN: u64 = 900_000_000;

/// A `PolicyCommand` is an action that a policy requests from the simulation.
pub enum PolicyCommand {
    Start {
        host: usize,
        attempt: AttemptId,
        request: usize,
        target: TargetName,
    },
    Abort {
        attempt: AttemptId,
    },
    Conclude {
        request: usize,
        answered: bool,
    },
    Link {
        to: usize,
        event: LinkEvent,
    },
}

/// A `TestPolicy` is a scheduling policy that runs on a fleet of hosts.
pub trait TestPolicy {
    fn start(&mut self, now: Moment) -> Vec<PolicyCommand>;
    fn submit(&mut self, now: Moment, index: usize, request: &OfferedRequest)
    -> Vec<PolicyCommand>;
    fn attempt(
        &mut self,
        now: Moment,
        host: usize,
        id: AttemptId,
        event: AttemptEvent,
    ) -> Vec<PolicyCommand>;
    fn load(&mut self, now: Moment, target: &TargetName, report: LoadReport) -> Vec<PolicyCommand>;
    fn prefix(
        &mut self,
        now: Moment,
        target: &TargetName,
        prefix: PrefixHash,
        cached: bool,
    ) -> Vec<PolicyCommand>;
    fn link(&mut self, now: Moment, host: usize, event: LinkEvent) -> Vec<PolicyCommand>;
    fn tick(&mut self, now: Moment, host: usize) -> Vec<PolicyCommand>;
    fn wake(&self, host: usize) -> Moment;
    /// Stop a host. Get the commands that report the closed links to its peers;
    /// there are none if the host fails silently.
    fn kill(&mut self, host: usize, silent: bool) -> Vec<PolicyCommand>;
}

enum Event {
    Arrive(usize),
    Attempt(usize, AttemptId, AttemptEvent),
    Admit(usize, Box<EngineRun>),
    Cancel(usize, AttemptId),
    StepEnd(usize, Vec<EngineUpdate>),
    ReadLoads,
    Load(usize, LoadReport),
    Prefix(usize, PrefixHash, bool),
    Link(usize, Box<LinkEvent>),
    Tick(usize),
    Slow(usize, f64),
    Hedge(AttemptId),
    Kill(usize, bool),
}

/// A `RequestOutcome` is the result of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestOutcome {
    pub first_token: Option<u64>,
    pub answered_at: Option<u64>,
    pub concluded: bool,
    /// Prompt tokens processed in all runs of the request.
    pub prefilled: u64,
    /// Prompt tokens processed in the run that was completed.
    pub useful: u64,
    pub runs: u32,
}

/// A `RunRecord` is the requests of a run with their outcomes.
pub struct RunRecord {
    pub offered: Vec<OfferedRequest>,
    pub outcomes: Vec<RequestOutcome>,
    pub dead_host: Option<usize>,
    pub killed_at: u64,
    /// When a top-tier request was first dispatched after the host failure.
    pub top_tier_resumed_at: Option<u64>,
}

struct Dispatch {
    host: usize,
    engine: usize,
    request: usize,
    output_started: bool,
}

/// The bit of an attempt number that marks a hedge.
const HEDGE_FLAG: u16 = 1 << 15;

/// A `Simulation` is a policy with its engines and its event queue.
pub struct Simulation<'a> {
    now: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    policy: &'a mut dyn TestPolicy,
    engines: Vec<FakeEngine>,
    by_name: BTreeMap<TargetName, usize>,
    dispatches: HashMap<AttemptId, Dispatch>,
    wake_times: [u64; HOST_COUNT],
    rng: StdRng,
    open_requests: usize,
    record: RunRecord,
    /// The time without a first token after which an idempotent top-tier request
    /// is hedged.
    pub hedge_after: Option<u64>,
}

impl<'a> Simulation<'a> {
    pub fn new(
        deployment: &TestDeployment,
        scenario: &TestScenario,
        owner: usize,
        offered: Vec<OfferedRequest>,
        policy: &'a mut dyn TestPolicy,
    ) -> Self {
        let engines: Vec<FakeEngine> = targets(deployment)
            .map(|target| FakeEngine::new(target.clone(), batch_size(target)))
            .collect();
        let names = engines.iter().enumerate();
        let mut simulation = Simulation {
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            policy,
            by_name: names
                .map(|(i, engine)| (engine.target.name.clone(), i))
                .collect(),
            engines,
            dispatches: HashMap::new(),
            wake_times: [u64::MAX; HOST_COUNT],
            rng: StdRng::seed_from_u64(7),
            open_requests: offered.len(),
            hedge_after: None,
            record: RunRecord {
                outcomes: vec![RequestOutcome::default(); offered.len()],
                offered,
                dead_host: None,
                killed_at: 0,
                top_tier_resumed_at: None,
            },
        };
        for index in 0..simulation.record.offered.len() {
            let at = simulation.record.offered[index].at;
            simulation.push(at, Event::Arrive(index));
        }
        simulation.push(LOAD_INTERVAL, Event::ReadLoads);
        let (from, until) = scenario.middle();
        match scenario.fault {
            Fault::None => {}
            Fault::SlowEngine(engine) => {
                simulation.push(from, Event::Slow(engine, 10.0));
                simulation.push(until, Event::Slow(engine, 1.0));
            }
            Fault::OwnerDeath { silent } => {
                simulation.push((from + until) / 2, Event::Kill(owner, silent));
            }
        }
        simulation
    }

    pub fn run(mut self, scenario: &TestScenario) -> RunRecord {
        let end = scenario.load_end() + MAX_DRAIN;
        let commands = self.policy.start(Moment::START);
        self.execute(commands);
        for host in 0..HOST_COUNT {
            self.schedule_tick(host);
        }
        while let Some(Reverse((at, sequence))) = self.queue.pop() {
            if at > end || self.open_requests == 0 {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&sequence) {
                self.handle(event);
            }
        }
        self.record
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn handle(&mut self, event: Event) {
        let now = Moment::from_micros(self.now);
        match event {
            Event::Arrive(index) => self.arrive(now, index),
            Event::Attempt(host, id, event) => {
                if self.record.dead_host != Some(host) {
                    let commands = self.policy.attempt(now, host, id, event);
                    self.execute(commands);
                    self.schedule_tick(host);
                }
            }
            Event::Admit(engine, mut run) => {
                run.arrived_at = self.now;
                self.engines[engine].admit(*run);
                self.step(engine);
            }
            Event::Cancel(engine, attempt) => {
                if let Some(run) = self.engines[engine].cancel(attempt) {
                    self.record.outcomes[run.request].prefilled += u64::from(run.prefilled());
                }
            }
            Event::StepEnd(engine, updates) => {
                self.engines[engine].stepping = false;
                for update in updates {
                    self.handle_update(engine, update);
                }
                self.step(engine);
            }
            Event::ReadLoads => {
                for engine in 0..self.engines.len() {
                    let report = self.engines[engine].load();
                    self.push(self.now + LOAD_DELAY, Event::Load(engine, report));
                }
                self.push(self.now + LOAD_INTERVAL, Event::ReadLoads);
            }
            Event::Load(engine, mut report) => {
                report.age_ms = LOAD_AGE_MS;
                let name = self.engines[engine].target.name.clone();
                let commands = self.policy.load(now, &name, report);
                self.execute(commands);
            }
            Event::Prefix(engine, prefix, cached) => {
                let name = self.engines[engine].target.name.clone();
                let commands = self.policy.prefix(now, &name, prefix, cached);
                self.execute(commands);
            }
            Event::Link(host, event) => {
                if self.record.dead_host != Some(host) {
                    let commands = self.policy.link(now, host, *event);
                    self.execute(commands);
                    self.schedule_tick(host);
                }
            }
            Event::Tick(host) => {
                if self.record.dead_host != Some(host) && self.wake_times[host] == self.now {
                    self.wake_times[host] = u64::MAX;
                    let commands = self.policy.tick(now, host);
                    self.execute(commands);
                    self.schedule_tick(host);
                }
            }
            Event::Hedge(attempt) => self.hedge(attempt),
            Event::Slow(engine, factor) => self.engines[engine].slowdown = factor,
            Event::Kill(host, silent) => self.kill(host, silent),
        }
    }

    /// Submit a request. A caller whose host has failed uses the next one.
    fn arrive(&mut self, now: Moment, index: usize) {
        if self.record.dead_host == Some(self.record.offered[index].host) {
            let host = &mut self.record.offered[index].host;
            *host = (*host + 1) % HOST_COUNT;
        }
        let request = self.record.offered[index].clone();
        let commands = self.policy.submit(now, index, &request);
        self.execute(commands);
        self.schedule_tick(request.host);
    }

    fn kill(&mut self, host: usize, silent: bool) {
        self.record.dead_host = Some(host);
        self.record.killed_at = self.now;
        let commands = self.policy.kill(host, silent);
        self.execute(commands);
        for (index, request) in self.record.offered.iter().enumerate() {
            let outcome = &mut self.record.outcomes[index];
            if request.host == host && request.at <= self.now && !outcome.concluded {
                outcome.concluded = true;
                self.open_requests -= 1;
            }
        }
        if silent {
            // The connections stay open, so the engines continue their runs.
            return;
        }
        let on_host = self
            .dispatches
            .iter()
            .filter(|(_, dispatch)| dispatch.host == host);
        let mut cancelled: Vec<(AttemptId, usize)> = on_host
            .map(|(id, dispatch)| (*id, dispatch.engine))
            .collect();
        cancelled.sort();
        for (attempt, engine) in cancelled {
            self.push(self.now + NETWORK_DELAY, Event::Cancel(engine, attempt));
        }
    }

    fn step(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.stepping || engine.is_idle() {
            return;
        }
        engine.stepping = true;
        let (duration, updates) = engine.step(self.now);
        self.push(self.now + duration, Event::StepEnd(index, updates));
    }

    fn handle_update(&mut self, engine: usize, update: EngineUpdate) {
        match update {
            EngineUpdate::Attempt(mut run, event) => {
                if !self.resolve_hedge(&mut run.attempt, event) {
                    return;
                }
                self.push(
                    self.now + NETWORK_DELAY,
                    Event::Attempt(run.host, run.attempt, event),
                );
                if event == AttemptEvent::FirstToken {
                    let outcome = &mut self.record.outcomes[run.request];
                    outcome.first_token = Some(self.now + NETWORK_DELAY);
                }
            }
            EngineUpdate::Ended(mut run) => {
                self.dispatches.remove(&run.attempt);
                run.attempt.attempt &= !HEDGE_FLAG;
                let outcome = &mut self.record.outcomes[run.request];
                outcome.prefilled += u64::from(run.prefilled());
                outcome.useful = u64::from(run.prefilled());
                let event = AttemptEvent::Finished(run.usage(self.now));
                self.push(
                    self.now + NETWORK_DELAY,
                    Event::Attempt(run.host, run.attempt, event),
                );
            }
            EngineUpdate::Cached(prefix, cached) => {
                if self.rng.random_range(0..100) >= CACHE_EVENT_LOSS_PERCENT {
                    self.push(
                        self.now + CACHE_EVENT_DELAY,
                        Event::Prefix(engine, prefix, cached),
                    );
                }
            }
        }
    }

    /// Cancel a dispatched attempt at its engine.
    fn cancel_attempt(&mut self, attempt: AttemptId) {
        if let Some(dispatch) = self.dispatches.remove(&attempt) {
            self.push(
                self.now + NETWORK_DELAY,
                Event::Cancel(dispatch.engine, attempt),
            );
        }
    }

    /// Dispatch a hedge of an attempt to the least loaded other engine, by its
    /// current load.
    fn hedge(&mut self, attempt: AttemptId) {
        let Some(dispatch) = self
            .dispatches
            .get(&attempt)
            .filter(|dispatch| !dispatch.output_started)
        else {
            return;
        };
        let (host, request, first) = (dispatch.host, dispatch.request, dispatch.engine);
        let engines = self.engines.iter().enumerate();
        let others = engines.filter(|(i, e)| *i != first && e.target.expected_speed > 300);
        let least = others.min_by_key(|(_, engine)| engine.load().outstanding_tokens);
        let name = least.map(|(_, engine)| engine.target.name.clone());
        if let Some(name) = name {
            self.dispatch(host, hedge_of(attempt), request, &name);
        }
    }

    /// Get whether an attempt is still dispatched. At the first token, cancel the
    /// other run of a hedged attempt. Remove the hedge flag from `attempt`.
    fn resolve_hedge(&mut self, attempt: &mut AttemptId, event: AttemptEvent) -> bool {
        let Some(dispatch) = self.dispatches.get_mut(attempt) else {
            return false;
        };
        dispatch.output_started = true;
        if event == AttemptEvent::FirstToken {
            self.cancel_attempt(hedge_of(*attempt));
        }
        attempt.attempt &= !HEDGE_FLAG;
        true
    }

    fn schedule_tick(&mut self, host: usize) {
        let wake = self.policy.wake(host).as_micros();
        let wake = wake.max(self.now + 1_000);
        if wake < self.wake_times[host] {
            self.wake_times[host] = wake;
            self.push(wake, Event::Tick(host));
        }
    }

    fn execute(&mut self, commands: Vec<PolicyCommand>) {
        for command in commands {
            match command {
                PolicyCommand::Start {
                    host,
                    attempt,
                    request,
                    target,
                } => {
                    self.dispatch(host, attempt, request, &target);
                }
                PolicyCommand::Abort { attempt } => {
                    self.cancel_attempt(attempt);
                    self.cancel_attempt(hedge_of(attempt));
                }
                PolicyCommand::Conclude { request, answered } => {
                    let outcome = &mut self.record.outcomes[request];
                    if !outcome.concluded {
                        outcome.concluded = true;
                        self.open_requests -= 1;
                    }
                    if answered {
                        outcome.answered_at = Some(self.now);
                    }
                }
                PolicyCommand::Link { to, event } => {
                    self.push(self.now + NETWORK_DELAY, Event::Link(to, Box::new(event)));
                }
            }
        }
    }

    fn dispatch(&mut self, host: usize, attempt: AttemptId, request: usize, target: &TargetName) {
        let engine = self.by_name[target];
        let offered = &self.record.offered[request];
        let top = offered.submission.verdict.tier.0 == 0;
        let idempotent = offered.submission.verdict.idempotent;
        if top && self.record.dead_host.is_some() && self.record.top_tier_resumed_at.is_none() {
            self.record.top_tier_resumed_at = Some(self.now);
        }
        let mut run = EngineRun::new(attempt, host, request);
        run.prompt = offered.submission.cost.prefill;
        run.output = offered.output;
        run.blocks = offered.submission.prefixes.clone();
        self.record.outcomes[request].runs += 1;
        self.dispatches.insert(
            attempt,
            Dispatch {
                host,
                engine,
                request,
                output_started: false,
            },
        );
        self.push(
            self.now + NETWORK_DELAY,
            Event::Admit(engine, Box::new(run)),
        );
        if let Some(duration) = self.hedge_after
            && top
            && idempotent
            && attempt.attempt & HEDGE_FLAG == 0
        {
            self.push(self.now + duration, Event::Hedge(attempt));
        }
    }
}

fn hedge_of(attempt: AttemptId) -> AttemptId {
    AttemptId {
        attempt: attempt.attempt ^ HEDGE_FLAG,
        ..attempt
    }
}

/// Iterate over all targets of a deployment.
pub fn targets(deployment: &TestDeployment) -> impl Iterator<Item = &PoolTarget> {
    deployment
        .engines
        .targets
        .iter()
        .chain(&deployment.plain.targets)
}

/// Get the maximum batch size of a target, which grows with its speed.
pub fn batch_size(target: &PoolTarget) -> usize {
    match target.expected_speed {
        0..=300 => 8,
        301..=1000 => 16,
        1001..=2000 => 24,
        _ => 48,
    }
}
