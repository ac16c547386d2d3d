//! Provides whole hosts' decisions side by side in virtual time: messages
//! take a millisecond, the platform answers in three, targets in seventeen
//! seconds. What is sent is counted as the link codec writes it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::{AttemptEvent, Conclusion, Submission, SubmitOutcome};
use bergamotswitch_core::host::{HostIncarnation, HostName};
use bergamotswitch_core::link::{LinkEvent, LinkMessage};
use bergamotswitch_core::node::{NodeAction, NodeCore, NodeEvent, NodeOptions};
use bergamotswitch_core::permit::Usage;
use bergamotswitch_core::request::{AttemptId, RequestId};
use bergamotswitch_core::revision::{PublishedValue, Revision, ValueName};
use bergamotswitch_net::link::codec::encoded_len;
use bergamotswitch_net::link::counters::MessageKind;
use serde_json::Value;

use crate::parcel::{Parcel, Queued};
use crate::world::{DOMAINS, FleetSize, domain_of, host_name, name, published, run_of, submission};

const LATENCY: Duration = Duration::from_millis(1);
const PLATFORM_TIME: Duration = Duration::from_millis(3);
const WATCH_TIME: Duration = Duration::from_secs(30);
const REDIAL: Duration = Duration::from_millis(200);
/// 424 tokens, 41 ms each.
const ANSWER_TIME: Duration = Duration::from_millis(17_400);
/// A longer wait for a permit is counted.
pub const LATE: Duration = Duration::from_millis(100);
/// How long the links take to find a silent peer: a PING's interval and its
/// timeout, the defaults of `LinkOptions`.
const LINK_SILENCE: Duration = Duration::from_secs(3);

/// A `Traffic` is what was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

/// A `FleetNode` is one host.
pub struct FleetNode {
    pub core: NodeCore,
    pub run: HostIncarnation,
    dialing: BTreeSet<usize>,
    calls: BTreeMap<ValueName, u64>,
    wake_at: Moment,
    pub sent: Traffic,
    pub received: Traffic,
    pub service_calls: u64,
}

/// A `BenchFleet` is hosts, links and a platform.
pub struct BenchFleet {
    pub size: FleetSize,
    pub now: Moment,
    pub nodes: Vec<Option<FleetNode>>,
    pub kinds: BTreeMap<MessageKind, Traffic>,
    /// Messages of requests that crossed a region's border, and all of them.
    pub crossed: u64,
    pub on_path: u64,
    /// Dispatches to a target of another region, and all of them.
    pub far: u64,
    pub dispatched: u64,
    /// Requests that ended without an answer.
    pub refused: u64,
    /// The longest time from acceptance to dispatch, and how many took long.
    pub longest_wait: Duration,
    pub late: u64,
    pub accepted_at: HashMap<RequestId, Moment>,
    submitted: u64,
    names: HashMap<HostName, usize>,
    pub service: BTreeMap<ValueName, PublishedValue>,
    pub links: BTreeSet<(usize, usize)>,
    parcels: BinaryHeap<Reverse<Queued>>,
    counter: u64,
    /// Which region each host stands in, as far as links are cut.
    sides: Vec<usize>,
    request_gap: Option<Duration>,
    /// Whether requests carry a key and must not run twice.
    pub keyed: bool,
    pub in_force_at: BTreeMap<ValueName, Moment>,
}

impl BenchFleet {
    pub fn start(size: FleetSize) -> Self {
        let mut fleet = BenchFleet {
            size,
            now: Moment::START,
            nodes: (0..size.hosts).map(|_| None).collect(),
            kinds: BTreeMap::new(),
            crossed: 0,
            on_path: 0,
            far: 0,
            dispatched: 0,
            refused: 0,
            longest_wait: Duration::ZERO,
            late: 0,
            accepted_at: HashMap::new(),
            submitted: 0,
            names: (0..size.hosts)
                .map(|index| (host_name(index), index))
                .collect(),
            service: BTreeMap::new(),
            links: BTreeSet::new(),
            parcels: BinaryHeap::new(),
            counter: 0,
            sides: vec![0; size.hosts],
            request_gap: None,
            keyed: false,
            in_force_at: BTreeMap::new(),
        };
        for (value, body) in size.values(0) {
            fleet.publish(value, 1, &body);
        }
        fleet.post(REDIAL, Parcel::Redial);
        for index in 0..size.hosts {
            fleet.boot(index, 0);
        }
        fleet
    }

    /// Start a run of a host.
    pub fn boot(&mut self, index: usize, run: u128) {
        let mut me = run_of(index);
        me.incarnation.0 += run << 32;
        let domain = name(domain_of(index));
        let core = NodeCore::new(me.clone(), domain, NodeOptions::default(), self.now);
        self.nodes[index] = Some(FleetNode {
            core,
            run: me,
            dialing: BTreeSet::new(),
            calls: BTreeMap::new(),
            wake_at: Moment::NEVER,
            sent: Traffic::default(),
            received: Traffic::default(),
            service_calls: 0,
        });
        self.tell(index, NodeEvent::Tick);
    }

    /// End a run: its links break at once, or fall silent with the host.
    pub fn kill(&mut self, index: usize, silent: bool) {
        let Some(node) = self.nodes[index].take() else {
            return;
        };
        let after = if silent { LINK_SILENCE } else { LATENCY };
        for (a, b) in self.links.clone() {
            if a == index || b == index {
                self.links.remove(&(a, b));
                let other = if a == index { b } else { a };
                self.post(after, Parcel::LinkDown(other, node.run.clone()));
            }
        }
    }

    /// Cut every link between two regions, or mend all.
    pub fn part_regions(&mut self, parted: bool) {
        self.sides = (0..self.size.hosts)
            .map(|index| if parted { region_of(index) } else { 0 })
            .collect();
        for (a, b) in self.links.clone() {
            if self.sides[a] == self.sides[b] {
                continue;
            }
            self.links.remove(&(a, b));
            let runs = [(a, b), (b, a)].map(|(at, of)| (at, self.run(of)));
            for (at, run) in runs {
                if let Some(run) = run {
                    self.post(LINK_SILENCE, Parcel::LinkDown(at, run));
                }
            }
        }
    }

    fn run(&self, index: usize) -> Option<HostIncarnation> {
        self.nodes[index].as_ref().map(|node| node.run.clone())
    }

    pub fn publish(&mut self, value: &str, revision: u64, body: &Value) {
        let value = published(value, revision, body);
        self.in_force_at.remove(&value.name);
        let name = value.name.clone();
        self.service.insert(name.clone(), value);
        // Waiting watches are answered at once.
        let mut waiting = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let call = node.as_ref().and_then(|node| node.calls.get(&name));
            waiting.extend(call.map(|call| (index, *call)));
        }
        for (index, call) in waiting {
            let parcel = Parcel::Answer(index, call, name.clone(), None);
            self.post(PLATFORM_TIME, parcel);
        }
    }

    /// Let each host get a request each `gap`.
    pub fn set_request_gap(&mut self, gap: Option<Duration>) {
        let began = self.request_gap.is_none();
        self.request_gap = gap;
        let Some(gap) = gap.filter(|_| began) else {
            return;
        };
        for index in 0..self.size.hosts {
            let first = gap * index as u32 / self.size.hosts as u32;
            self.post(first, Parcel::Submit(index));
        }
    }

    /// Let a host get one request for a pool.
    fn submit(&mut self, index: usize, pool: usize) {
        self.submitted += 1;
        let number = self.submitted;
        let key = self
            .keyed
            .then(|| format!("summary-2026-12-02-{number:08}"));
        let wanted = Submission {
            pool: name(format!("drafting-lm-{pool}")),
            fingerprint: u128::from(number),
            ..submission(number, key)
        };
        let now = self.now;
        if let Some(node) = &mut self.nodes[index] {
            let (reception, actions) = node.core.submit(now, wanted);
            if let SubmitOutcome::Accepted(id) = reception {
                self.accepted_at.insert(id, now);
            }
            self.carry_out(index, actions);
            self.note_wake(index);
        }
    }

    fn post(&mut self, after: Duration, parcel: Parcel) {
        self.counter += 1;
        let queued = Queued(self.now.plus(after), self.counter, parcel);
        self.parcels.push(Reverse(queued));
    }

    fn tell(&mut self, index: usize, event: NodeEvent) {
        let now = self.now;
        if let Some(node) = &mut self.nodes[index] {
            let actions = node.core.handle(now, event);
            self.carry_out(index, actions);
            self.note_wake(index);
        }
    }

    fn note_wake(&mut self, index: usize) {
        if let Some(node) = &mut self.nodes[index] {
            let wake = node.core.next_wake();
            if wake < node.wake_at || node.wake_at <= self.now {
                node.wake_at = wake.max(self.now.plus(Duration::from_micros(1)));
                let after = node.wake_at.since(self.now);
                self.post(after, Parcel::Wake(index));
            }
        }
    }

    fn carry_out(&mut self, index: usize, actions: Vec<NodeAction>) {
        for action in actions {
            match action {
                NodeAction::Send(host, message) => self.send(index, &host, message),
                NodeAction::Connect(entry) => {
                    let peer = self.names[&entry.name];
                    self.node(index).dialing.insert(peer);
                }
                NodeAction::Disconnect(host) => {
                    let peer = self.names[&host];
                    self.node(index).dialing.remove(&peer);
                }
                NodeAction::Read(value) => self.call(index, value, None),
                NodeAction::Watch(value, after) => self.call(index, value, Some(after)),
                NodeAction::Published(value) => {
                    self.in_force_at.insert(value, self.now);
                }
                NodeAction::Start {
                    attempt, target, ..
                } => {
                    let there = region_named(target.domain.as_str());
                    self.dispatched += 1;
                    self.far += u64::from(there != region_of(index));
                    self.start_attempt(index, attempt);
                }
                NodeAction::Conclude(_, Conclusion::Refused(_)) => self.refused += 1,
                _ => {}
            }
        }
    }

    fn node(&mut self, index: usize) -> &mut FleetNode {
        self.nodes[index].as_mut().expect("a host that runs")
    }

    fn start_attempt(&mut self, index: usize, attempt: AttemptId) {
        let run = self.node(index).run.incarnation;
        let usage = Usage {
            prefill: 1_000,
            cached: 0,
            decode: 424,
            first_token_ms: 400,
            elapsed_ms: ANSWER_TIME.as_millis() as u32,
        };
        let end = AttemptEvent::Finished(usage);
        self.post(ANSWER_TIME, Parcel::Attempt(index, run, attempt, end));
        if let Some(accepted_at) = self.accepted_at.remove(&attempt.request) {
            let wait = self.now.since(accepted_at);
            self.longest_wait = self.longest_wait.max(wait);
            self.late += u64::from(wait > LATE);
        }
    }

    fn send(&mut self, index: usize, host: &HostName, message: LinkMessage) {
        let peer = self.names[host];
        if !self.links.contains(&(index.min(peer), index.max(peer))) {
            return;
        }
        let bytes = encoded_len(&message) as u64;
        let kind = MessageKind::of(&message);
        count(self.kinds.entry(kind).or_default(), bytes);
        count(&mut self.node(index).sent, bytes);
        if matches!(
            kind,
            MessageKind::Ask | MessageKind::Granted | MessageKind::Release
        ) {
            self.on_path += 1;
            self.crossed += u64::from(region_of(index) != region_of(peer));
        }
        if let Some(node) = &mut self.nodes[peer] {
            count(&mut node.received, bytes);
        }
        self.post(LATENCY, Parcel::Message(index, peer, Box::new(message)));
    }

    fn call(&mut self, index: usize, value: ValueName, beyond: Option<Revision>) {
        self.counter += 1;
        let call = self.counter;
        let node = self.node(index);
        node.service_calls += 1;
        node.calls.insert(value.clone(), call);
        let current = self.service.get(&value).map(|value| value.revision);
        let wait = match beyond {
            Some(beyond) if current <= Some(beyond) => WATCH_TIME,
            _ => PLATFORM_TIME,
        };
        self.post(wait, Parcel::Answer(index, call, value, beyond));
    }

    fn dial(&mut self) {
        let mut wanted = BTreeSet::new();
        for (index, node) in self.nodes.iter().enumerate() {
            for peer in node.iter().flat_map(|node| &node.dialing) {
                let open = self.nodes[*peer].is_some() && self.sides[index] == self.sides[*peer];
                if open {
                    wanted.insert((index.min(*peer), index.max(*peer)));
                }
            }
        }
        let unwanted: Vec<_> = self.links.difference(&wanted).copied().collect();
        let fresh: Vec<_> = wanted.difference(&self.links).copied().collect();
        for (a, b) in unwanted {
            self.links.remove(&(a, b));
            for (at, of) in [(a, b), (b, a)] {
                if let Some(run) = self.run(of) {
                    self.tell(at, NodeEvent::Link(LinkEvent::Down(run)));
                }
            }
        }
        for (a, b) in fresh {
            self.links.insert((a, b));
            for (at, of) in [(a, b), (b, a)] {
                if let Some(run) = self.run(of) {
                    self.tell(at, NodeEvent::Link(LinkEvent::Up(run)));
                }
            }
        }
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now.plus(span);
        while let Some(Reverse(Queued(at, ..))) = self.parcels.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse(Queued(at, _, parcel))) = self.parcels.pop() else {
                break;
            };
            self.now = at;
            self.take(parcel);
        }
        self.now = end;
    }

    fn take(&mut self, parcel: Parcel) {
        match parcel {
            Parcel::Wake(index) => {
                let due = self.nodes[index].as_ref().map(|node| node.wake_at);
                if due == Some(self.now) {
                    self.tell(index, NodeEvent::Tick);
                }
            }
            Parcel::Redial => {
                self.dial();
                self.post(REDIAL, Parcel::Redial);
            }
            Parcel::Message(from, to, message) => {
                let linked = self.links.contains(&(from.min(to), from.max(to)));
                if let Some(run) = self.run(from).filter(|_| linked) {
                    self.tell(to, NodeEvent::Link(LinkEvent::Message(run, *message)));
                }
            }
            Parcel::Answer(index, call, value, beyond) => self.answer(index, call, value, beyond),
            Parcel::Attempt(index, run, attempt, event) => {
                if self.run(index).is_some_and(|me| me.incarnation == run) {
                    self.tell(index, NodeEvent::Attempt(attempt, event));
                }
            }
            Parcel::LinkDown(index, run) => self.tell(index, NodeEvent::Link(LinkEvent::Down(run))),
            Parcel::Submit(index) => {
                if let Some(gap) = self.request_gap {
                    let pool = self.submitted as usize % self.size.pools;
                    self.submit(index, pool);
                    self.post(gap, Parcel::Submit(index));
                }
            }
        }
    }

    fn answer(&mut self, index: usize, call: u64, value: ValueName, beyond: Option<Revision>) {
        let Some(node) = &mut self.nodes[index] else {
            return;
        };
        if node.calls.get(&value) != Some(&call) {
            return;
        }
        node.calls.remove(&value);
        let event = match self.service.get(&value) {
            Some(current) if Some(current.revision) > beyond => NodeEvent::Read(current.clone()),
            _ => NodeEvent::Unchanged(value),
        };
        self.tell(index, event);
    }
}

fn count(traffic: &mut Traffic, bytes: u64) {
    traffic.messages += 1;
    traffic.bytes += bytes;
}

/// Get the number of the region in which a host stands.
pub fn region_of(index: usize) -> usize {
    region_named(domain_of(index))
}

fn region_named(domain: &str) -> usize {
    let region = DOMAINS.iter().find(|known| known.0 == domain);
    let region = region.map(|known| known.1);
    let first = DOMAINS.iter().position(|known| Some(known.1) == region);
    first.unwrap_or(0)
}
