//! Provides a simulated fleet of three hosts whose processes are killed, restarted,
//! paused and stopped by plan, with links that keep their order.

use std::collections::{BTreeMap, BTreeSet};

use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::refusal::{Refusal, RunClaim};

use super::net::HOSTS;
use super::*;

/// The step of the clock, and the time that a message takes.
const STEP: Duration = Duration::from_millis(10);

/// How long an engine takes for a report.
const RUN_TIME: Duration = Duration::from_millis(50);

/// How long a link stays up without a sign of its other end: the interval and the
/// timeout of its pings.
const LINK_TIMEOUT: Duration = Duration::from_secs(3);

/// So many tokens that no request waits for another one.
const TOKEN_LIMIT: u32 = 65_536;

/// A `CallEnd` is what a caller got.
#[derive(Clone, Debug)]
pub enum CallEnd {
    Answered,
    Refused(Refusal),
    /// The process of its host ended.
    Broken,
}

/// A `Call` is one submission of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub name: String,
    pub host: usize,
    pub sent_at: Moment,
    submission: Submission,
    request: Option<RequestId>,
    pub end: Option<CallEnd>,
}

/// A `StartedRun` is a run that an engine was given.
#[derive(Clone, Debug)]
pub struct StartedRun {
    pub at: Moment,
    pub host: usize,
    pub name: String,
    pub request: RequestId,
}

/// What a process receives.
enum Input {
    Event(NodeEvent),
    /// The call of this index.
    Call(usize),
}

struct Delivery {
    due: Moment,
    to: usize,
    /// The process that receives it; the current one for a call.
    incarnation: Option<Incarnation>,
    input: Input,
}

struct FaultHost {
    run: HostIncarnation,
    /// The process, if it was not killed.
    node: Option<TestNode>,
    /// When the process was paused, and what it received since.
    paused: Option<(Moment, Vec<Input>)>,
    wanted: BTreeSet<usize>,
    acts: bool,
}

/// A fleet of hosts whose processes may be killed and paused.
pub struct FaultNet {
    names: Vec<&'static str>,
    pub now: Moment,
    hosts: Vec<FaultHost>,
    links: BTreeSet<(usize, usize)>,
    transit: Vec<Delivery>,
    processes: u128,
    pub calls: Vec<Call>,
    names_of_requests: BTreeMap<RequestId, String>,
    ended: BTreeMap<RequestId, CallEnd>,
    pub started: Vec<StartedRun>,
    /// Changes of the hosts that act for the shard.
    pub log: Vec<(Moment, String)>,
    overlap_since: Option<Moment>,
    /// The longest time for which two running hosts acted for the shard.
    pub longest_overlap: Duration,
}

/// Get all orders of the hosts, so that each place of a candidate meets each order of
/// events within a step.
pub fn orders() -> Vec<Vec<&'static str>> {
    let places = [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ];
    let order = |places: [usize; 3]| places.map(|place| HOSTS[place]).to_vec();
    places.into_iter().map(order).collect()
}

impl FaultNet {
    /// Start a fleet with an engine pool, and wait until the first candidate acts.
    pub fn start(names: &[&'static str]) -> Self {
        let mut net = FaultNet {
            names: names.to_vec(),
            now: Moment::START,
            hosts: Vec::new(),
            links: BTreeSet::new(),
            transit: Vec::new(),
            processes: 0,
            calls: Vec::new(),
            names_of_requests: BTreeMap::new(),
            ended: BTreeMap::new(),
            started: Vec::new(),
            log: Vec::new(),
            overlap_since: None,
            longest_overlap: Duration::ZERO,
        };
        for host in 0..names.len() {
            let process = net.new_process(host);
            net.hosts.push(process);
        }
        net.advance(Duration::from_secs(12));
        assert_eq!(net.acting(), [net.candidates()[0]], "{:?}", net.log);
        net.longest_overlap = Duration::ZERO;
        net
    }

    /// Get the hosts in their order as candidates for the shard.
    pub fn candidates(&self) -> [usize; 3] {
        let names: Vec<HostName> = self.names.iter().map(|host| name(host)).collect();
        let ranked = bergamotswitch_core::rendezvous::rank(&shard(), names.iter());
        std::array::from_fn(|place| self.index(&ranked[place]))
    }

    fn index(&self, host: &HostName) -> usize {
        let found = self.names.iter().position(|name| *name == host.as_str());
        found.expect("a host of the fleet")
    }

    fn new_process(&mut self, host: usize) -> FaultHost {
        self.processes += 1;
        let run = run_of(self.names[host], self.processes);
        let target = json!({"token_limit": TOKEN_LIMIT});
        FaultHost {
            node: Some(node_started_at(self.now, run.clone(), &self.names, &target)),
            run,
            paused: None,
            wanted: BTreeSet::new(),
            acts: false,
        }
    }

    fn is_running(&self, host: usize) -> bool {
        self.hosts[host].node.is_some() && self.hosts[host].paused.is_none()
    }

    /// Get the running hosts that act for the shard.
    pub fn acting(&self) -> Vec<usize> {
        let hosts = 0..self.hosts.len();
        hosts
            .filter(|host| self.is_running(*host) && self.hosts[*host].acts)
            .collect()
    }

    /// Kill the process of a host.
    pub fn kill(&mut self, host: usize) {
        self.log(format!("{host} killed"));
        for peer in 0..self.hosts.len() {
            self.close_link(host, peer);
        }
        let killed = &mut self.hosts[host];
        killed.node = None;
        killed.paused = None;
        killed.acts = false;
        let incarnation = killed.run.incarnation;
        let is_open = |call: &&mut Call| {
            call.end.is_none()
                && call.host == host
                && call.request.is_none_or(|id| id.incarnation == incarnation)
        };
        for call in self.calls.iter_mut().filter(is_open) {
            call.end = Some(CallEnd::Broken);
        }
        self.watch_overlap();
    }

    /// Start a new process of a host that was killed.
    pub fn restart(&mut self, host: usize) {
        self.log(format!("{host} restarted"));
        self.hosts[host] = self.new_process(host);
    }

    /// Pause the process of a host.
    pub fn pause(&mut self, host: usize) {
        self.log(format!("{host} paused"));
        self.hosts[host].paused = Some((self.now, Vec::new()));
        self.watch_overlap();
    }

    /// Wake the process of a host: it handles a tick before or after what it received.
    pub fn resume(&mut self, host: usize, tick_first: bool) {
        self.log(format!("{host} woke"));
        let Some((_, received)) = self.hosts[host].paused.take() else {
            return;
        };
        if let Some(node) = &mut self.hosts[host].node {
            node.now = self.now;
        }
        if tick_first {
            self.handle(host, NodeEvent::Tick);
        }
        for input in received {
            self.receive(host, input);
        }
        self.handle(host, NodeEvent::Tick);
    }

    /// Give a host an event of its planned stop.
    pub fn tell(&mut self, host: usize, event: NodeEvent) {
        self.log(format!("{host} told {event:?}"));
        self.handle(host, event);
    }

    pub fn is_idle(&self, host: usize) -> bool {
        let node = self.hosts[host].node.as_ref();
        node.is_none_or(|node| node.core.is_idle())
    }

    /// Send a call to a host.
    pub fn submit(&mut self, host: usize, name: &str, submission: Submission) {
        self.calls.push(Call {
            name: name.to_owned(),
            host,
            sent_at: self.now,
            submission,
            request: None,
            end: None,
        });
        self.bring(host, Input::Call(self.calls.len() - 1));
    }

    pub fn advance(&mut self, span: Duration) {
        for _ in 0..span.as_millis() / STEP.as_millis() {
            self.step();
        }
    }

    /// Pass time until each call has ended.
    pub fn settle(&mut self) {
        let end = self.now.plus(DEADLINE + Duration::from_secs(2));
        while self.now < end && self.calls.iter().any(|call| call.end.is_none()) {
            self.step();
        }
        self.watch_overlap();
    }

    fn step(&mut self) {
        self.now = self.now.plus(STEP);
        self.expire_links();
        self.dial();
        for host in 0..self.hosts.len() {
            if !self.is_running(host) {
                continue;
            }
            if let Some(node) = &mut self.hosts[host].node {
                while node.core.next_wake() < self.now {
                    node.now = node.now.max(node.core.next_wake());
                    node.event(NodeEvent::Tick);
                }
                node.now = self.now;
            }
            self.perform(host);
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.transit)
            .into_iter()
            .partition(|delivery| delivery.due <= now);
        self.transit = later;
        for delivery in due {
            let current = self.hosts[delivery.to].run.incarnation;
            if delivery.incarnation.is_none_or(|run| run == current) {
                self.bring(delivery.to, delivery.input);
            }
        }
    }

    /// Bring an input to a host, whose process may be paused or gone.
    fn bring(&mut self, host: usize, input: Input) {
        if let Some((_, received)) = &mut self.hosts[host].paused {
            return received.push(input);
        }
        if self.hosts[host].node.is_some() {
            return self.receive(host, input);
        }
        if let Input::Call(call) = input {
            self.calls[call].end = Some(CallEnd::Broken);
        }
    }

    fn receive(&mut self, host: usize, input: Input) {
        match input {
            Input::Event(event) => self.handle(host, event),
            Input::Call(call) => self.take_call(host, call),
        }
    }

    fn handle(&mut self, host: usize, event: NodeEvent) {
        if let Some(node) = &mut self.hosts[host].node {
            node.event(event);
        }
        self.perform(host);
    }

    fn take_call(&mut self, host: usize, call: usize) {
        let submission = self.calls[call].submission.clone();
        let Some(node) = &mut self.hosts[host].node else {
            return;
        };
        let (outcome, actions) = node.core.submit(node.now, submission);
        node.actions.extend(actions);
        match outcome {
            SubmitOutcome::Accepted(id) => {
                let name = self.calls[call].name.clone();
                self.names_of_requests.insert(id, name);
                self.calls[call].request = Some(id);
            }
            SubmitOutcome::Attached(id) => {
                self.calls[call].request = Some(id);
                self.calls[call].end = self.ended.get(&id).cloned();
            }
            SubmitOutcome::Forward(holder) => self.forward(call, holder),
            SubmitOutcome::Refused(refusal) => {
                self.calls[call].end = Some(CallEnd::Refused(refusal));
            }
        }
        self.perform(host);
    }

    fn forward(&mut self, call: usize, holder: HostIncarnation) {
        let to = self.index(&holder.host);
        self.calls[call].host = to;
        self.calls[call].request = None;
        self.calls[call].submission.holder = Some(holder);
        self.post(STEP, to, None, Input::Call(call));
    }

    fn post(&mut self, after: Duration, to: usize, incarnation: Option<Incarnation>, input: Input) {
        let due = self.now.plus(after);
        self.transit.push(Delivery {
            due,
            to,
            incarnation,
            input,
        });
    }

    fn post_event(&mut self, after: Duration, to: usize, event: NodeEvent) {
        let incarnation = Some(self.hosts[to].run.incarnation);
        self.post(after, to, incarnation, Input::Event(event));
    }

    /// Perform the actions of a host.
    fn perform(&mut self, host: usize) {
        let Some(node) = &mut self.hosts[host].node else {
            return;
        };
        for action in std::mem::take(&mut node.actions) {
            match action {
                NodeAction::Send(to, message) => self.send(host, &to, message),
                NodeAction::Connect(entry) => {
                    let peer = self.index(&entry.name);
                    self.hosts[host].wanted.insert(peer);
                }
                NodeAction::Disconnect(peer) => {
                    let peer = self.index(&peer);
                    self.hosts[host].wanted.remove(&peer);
                }
                NodeAction::Start { attempt, .. } => self.run_engine(host, attempt),
                NodeAction::Conclude(id, conclusion) => self.conclude(id, conclusion),
                NodeAction::Forward(id, holder) => {
                    let calls = 0..self.calls.len();
                    for call in calls
                        .filter(|call| self.calls[*call].request == Some(id))
                        .collect::<Vec<_>>()
                    {
                        self.forward(call, holder.clone());
                    }
                }
                NodeAction::LogIncident(incident, text) => self.note(host, incident, &text),
                _ => {}
            }
        }
    }

    fn run_engine(&mut self, host: usize, attempt: AttemptId) {
        let request = attempt.request;
        let name = self.names_of_requests[&request].clone();
        self.started.push(StartedRun {
            at: self.now,
            host,
            name,
            request,
        });
        let finished = NodeEvent::Attempt(attempt, AttemptEvent::Finished(usage()));
        self.post_event(RUN_TIME, host, finished);
        self.post_event(RUN_TIME, host, NodeEvent::AnswerSize(request, 100));
    }

    fn conclude(&mut self, id: RequestId, conclusion: Conclusion) {
        let end = match conclusion {
            Conclusion::Answered | Conclusion::TargetError => CallEnd::Answered,
            Conclusion::Refused(refusal) => CallEnd::Refused(refusal),
        };
        let calls = self.calls.iter_mut();
        for call in calls.filter(|call| call.request == Some(id) && call.end.is_none()) {
            call.end = Some(end.clone());
        }
        self.ended.insert(id, end);
    }

    fn note(&mut self, host: usize, incident: Incident, text: &str) {
        match incident {
            Incident::OwnershipTaken => self.hosts[host].acts = true,
            Incident::OwnershipReleased => self.hosts[host].acts = false,
            _ => {}
        }
        self.log(format!("{host} {incident:?} {text}"));
        self.watch_overlap();
    }

    fn log(&mut self, text: String) {
        self.log.push((self.now, text));
    }

    fn watch_overlap(&mut self) {
        let since = match self.acting().len() > 1 {
            true => Some(self.overlap_since.unwrap_or(self.now)),
            false => None,
        };
        if let Some(began) = self.overlap_since {
            self.longest_overlap = self.longest_overlap.max(self.now.since(began));
        }
        self.overlap_since = since;
    }

    fn send(&mut self, from: usize, to: &HostName, message: LinkMessage) {
        let to = self.index(to);
        if self.links.contains(&(from.min(to), from.max(to))) {
            let from = self.hosts[from].run.clone();
            self.post_event(STEP, to, NodeEvent::Link(LinkEvent::Message(from, message)));
        }
    }

    /// Open the links that at least one end wants.
    fn dial(&mut self) {
        for a in 0..self.hosts.len() {
            for b in a + 1..self.hosts.len() {
                let wanted = self.hosts[a].wanted.contains(&b) || self.hosts[b].wanted.contains(&a);
                let open = self.is_running(a) && self.is_running(b);
                if wanted && open && self.links.insert((a, b)) {
                    self.notify_ends(a, b, LinkEvent::Up);
                }
            }
        }
    }

    /// Close the links whose other end has given no sign for long. What the other end
    /// received before stays in its socket.
    fn expire_links(&mut self) {
        for host in 0..self.hosts.len() {
            let silent = self.hosts[host].paused.as_ref();
            if silent.is_some_and(|(since, _)| self.now.since(*since) >= LINK_TIMEOUT) {
                for peer in 0..self.hosts.len() {
                    self.close_link(host, peer);
                }
            }
        }
    }

    fn close_link(&mut self, a: usize, b: usize) {
        if self.links.remove(&(a.min(b), a.max(b))) {
            self.notify_ends(a, b, LinkEvent::Down);
        }
    }

    /// Notify both ends, behind what was sent over the link.
    fn notify_ends(&mut self, a: usize, b: usize, event: fn(HostIncarnation) -> LinkEvent) {
        for (end, peer) in [(a, b), (b, a)] {
            let event = event(self.hosts[peer].run.clone());
            self.post_event(STEP, end, NodeEvent::Link(event));
        }
    }

    /// Get the names of the calls that did not run exactly once, with their runs.
    pub fn not_once(&self) -> Vec<(String, Vec<(usize, Moment)>)> {
        let mut runs: BTreeMap<&str, Vec<(usize, Moment)>> = BTreeMap::new();
        for call in &self.calls {
            runs.entry(&call.name).or_default();
        }
        for run in &self.started {
            runs.entry(&run.name).or_default().push((run.host, run.at));
        }
        let wrong = runs.into_iter().filter(|(_, runs)| runs.len() != 1);
        wrong.map(|(name, runs)| (name.to_owned(), runs)).collect()
    }

    /// Get the calls that were told that they have not run, although the run that they
    /// asked for has begun.
    pub fn false_claims(&self) -> Vec<&Call> {
        let is_false = |call: &&Call| match &call.end {
            Some(CallEnd::Refused(refusal)) if refusal.claim() == RunClaim::NotRun => {
                let named = call.submission.holder.as_ref().map(|run| run.incarnation);
                self.started.iter().any(|run| {
                    Some(run.request) == call.request
                        || (run.name == call.name && Some(run.request.incarnation) == named)
                })
            }
            _ => false,
        };
        self.calls.iter().filter(is_false).collect()
    }

    /// Get the calls without an end.
    pub fn unended(&self) -> Vec<&Call> {
        let calls = self.calls.iter();
        calls.filter(|call| call.end.is_none()).collect()
    }
}
