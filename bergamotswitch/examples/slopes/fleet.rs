//! Provides a simulated fleet of `NodeCore`s in virtual time, with fixed
//! latencies for links, platform and targets. Traffic is counted in bytes as
//! encoded by the link codec.

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

use crate::event::{FleetEvent, ScheduledEvent};
use crate::fixtures::{
    DOMAINS, FleetSize, domain_of, host_name, incarnation_of, name, published, submission,
};

const LATENCY: Duration = Duration::from_millis(1);
const PLATFORM_LATENCY: Duration = Duration::from_millis(3);
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
const REDIAL_INTERVAL: Duration = Duration::from_millis(200);
/// The time that a target takes for an answer of 424 tokens.
const ANSWER_TIME: Duration = Duration::from_millis(17_400);
/// A wait for a permit that is longer than this counts as a long wait.
pub const LONG_WAIT: Duration = Duration::from_millis(100);
/// How long a link takes to detect a silent peer: the PING interval and timeout
/// of the default `LinkOptions`.
const LINK_TIMEOUT: Duration = Duration::from_secs(3);

/// A `Traffic` counts messages and their bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

/// A `FleetNode` is a running host with its traffic counters.
pub struct FleetNode {
    pub core: NodeCore,
    pub incarnation: HostIncarnation,
    dialing: BTreeSet<usize>,
    pending_reads: BTreeMap<ValueName, u64>,
    wake_at: Moment,
    pub sent: Traffic,
    pub received: Traffic,
    pub service_calls: u64,
}

/// A `BenchFleet` is a simulated fleet of hosts with their links and the platform.
pub struct BenchFleet {
    pub size: FleetSize,
    pub now: Moment,
    pub nodes: Vec<Option<FleetNode>>,
    pub kinds: BTreeMap<MessageKind, Traffic>,
    /// Request-path messages between hosts of different regions.
    pub cross_region_messages: u64,
    /// All asks, permits and releases sent.
    pub request_path_messages: u64,
    /// Dispatches to a target in another region than the entry host.
    pub cross_region_dispatches: u64,
    pub dispatched: u64,
    /// Requests that ended with a refusal.
    pub refused: u64,
    /// The longest time from acceptance to dispatch.
    pub longest_wait: Duration,
    /// Requests that waited longer than [`LONG_WAIT`] for their dispatch.
    pub long_waits: u64,
    pub accepted_at: HashMap<RequestId, Moment>,
    submitted: u64,
    host_indices: HashMap<HostName, usize>,
    pub published_values: BTreeMap<ValueName, PublishedValue>,
    pub links: BTreeSet<(usize, usize)>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    /// The network partition of each host. Hosts have links only within one.
    partitions: Vec<usize>,
    request_interval: Option<Duration>,
    /// Whether requests have an idempotency key and are dispatched only once.
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
            cross_region_messages: 0,
            request_path_messages: 0,
            cross_region_dispatches: 0,
            dispatched: 0,
            refused: 0,
            longest_wait: Duration::ZERO,
            long_waits: 0,
            accepted_at: HashMap::new(),
            submitted: 0,
            host_indices: (0..size.hosts)
                .map(|index| (host_name(index), index))
                .collect(),
            published_values: BTreeMap::new(),
            links: BTreeSet::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            partitions: vec![0; size.hosts],
            request_interval: None,
            keyed: false,
            in_force_at: BTreeMap::new(),
        };
        for (value, body) in size.values(0) {
            fleet.publish(value, 1, &body);
        }
        fleet.schedule(REDIAL_INTERVAL, FleetEvent::Redial);
        for index in 0..size.hosts {
            fleet.boot(index, 0);
        }
        fleet
    }

    /// Start a host. `restart` makes its incarnation differ from earlier ones.
    pub fn boot(&mut self, index: usize, restart: u128) {
        let mut incarnation = incarnation_of(index);
        incarnation.incarnation.0 += restart << 32;
        let domain = name(domain_of(index));
        let core = NodeCore::new(
            incarnation.clone(),
            domain,
            NodeOptions::default(),
            self.now,
        );
        self.nodes[index] = Some(FleetNode {
            core,
            incarnation,
            dialing: BTreeSet::new(),
            pending_reads: BTreeMap::new(),
            wake_at: Moment::NEVER,
            sent: Traffic::default(),
            received: Traffic::default(),
            service_calls: 0,
        });
        self.deliver(index, NodeEvent::Tick);
    }

    /// Stop a host. Its peers detect the closed links immediately, or after
    /// [`LINK_TIMEOUT`] if `silent`.
    pub fn kill(&mut self, index: usize, silent: bool) {
        let Some(node) = self.nodes[index].take() else {
            return;
        };
        let after = if silent { LINK_TIMEOUT } else { LATENCY };
        for (a, b) in self.links.clone() {
            if a == index || b == index {
                self.links.remove(&(a, b));
                let other = if a == index { b } else { a };
                self.schedule(after, FleetEvent::LinkDown(other, node.incarnation.clone()));
            }
        }
    }

    /// Partition the network between the regions, or heal the partition.
    pub fn set_partitioned(&mut self, partitioned: bool) {
        self.partitions = (0..self.size.hosts)
            .map(|index| if partitioned { region_of(index) } else { 0 })
            .collect();
        for (a, b) in self.links.clone() {
            if self.partitions[a] == self.partitions[b] {
                continue;
            }
            self.links.remove(&(a, b));
            let incarnations = [(a, b), (b, a)].map(|(at, of)| (at, self.incarnation(of)));
            for (at, incarnation) in incarnations {
                if let Some(incarnation) = incarnation {
                    self.schedule(LINK_TIMEOUT, FleetEvent::LinkDown(at, incarnation));
                }
            }
        }
    }

    fn incarnation(&self, index: usize) -> Option<HostIncarnation> {
        self.nodes[index]
            .as_ref()
            .map(|node| node.incarnation.clone())
    }

    pub fn publish(&mut self, value: &str, revision: u64, body: &Value) {
        let value = published(value, revision, body);
        self.in_force_at.remove(&value.name);
        let name = value.name.clone();
        self.published_values.insert(name.clone(), value);
        // Answers the pending watches of the value.
        let mut waiting = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let read_id = node.as_ref().and_then(|node| node.pending_reads.get(&name));
            waiting.extend(read_id.map(|read_id| (index, *read_id)));
        }
        for (index, read_id) in waiting {
            let event = FleetEvent::Answer(index, read_id, name.clone(), None);
            self.schedule(PLATFORM_LATENCY, event);
        }
    }

    /// Set the time between two requests of each host, or stop the requests.
    pub fn set_request_interval(&mut self, interval: Option<Duration>) {
        let starting = self.request_interval.is_none();
        self.request_interval = interval;
        let Some(interval) = interval.filter(|_| starting) else {
            return;
        };
        for index in 0..self.size.hosts {
            let first = interval * index as u32 / self.size.hosts as u32;
            self.schedule(first, FleetEvent::Submit(index));
        }
    }

    /// Submit a request for a pool to a host.
    fn submit(&mut self, index: usize, pool: usize) {
        self.submitted += 1;
        let number = self.submitted;
        let key = self
            .keyed
            .then(|| format!("summary-2026-12-02-{number:08}"));
        let submission = Submission {
            pool: name(format!("drafting-lm-{pool}")),
            fingerprint: u128::from(number),
            ..submission(number, key)
        };
        let now = self.now;
        if let Some(node) = &mut self.nodes[index] {
            let (outcome, actions) = node.core.submit(now, submission);
            if let SubmitOutcome::Accepted(id) = outcome {
                self.accepted_at.insert(id, now);
            }
            self.execute(index, actions);
            self.schedule_wake(index);
        }
    }

    fn schedule(&mut self, after: Duration, event: FleetEvent) {
        self.sequence += 1;
        let scheduled = ScheduledEvent(self.now.plus(after), self.sequence, event);
        self.events.push(Reverse(scheduled));
    }

    fn deliver(&mut self, index: usize, event: NodeEvent) {
        let now = self.now;
        if let Some(node) = &mut self.nodes[index] {
            let actions = node.core.handle(now, event);
            self.execute(index, actions);
            self.schedule_wake(index);
        }
    }

    fn schedule_wake(&mut self, index: usize) {
        if let Some(node) = &mut self.nodes[index] {
            let wake = node.core.next_wake();
            if wake < node.wake_at || node.wake_at <= self.now {
                node.wake_at = wake.max(self.now.plus(Duration::from_micros(1)));
                let after = node.wake_at.since(self.now);
                self.schedule(after, FleetEvent::Wake(index));
            }
        }
    }

    fn execute(&mut self, index: usize, actions: Vec<NodeAction>) {
        for action in actions {
            match action {
                NodeAction::Send(host, message) => self.send(index, &host, message),
                NodeAction::Connect(entry) => {
                    let peer = self.host_indices[&entry.name];
                    self.node(index).dialing.insert(peer);
                }
                NodeAction::Disconnect(host) => {
                    let peer = self.host_indices[&host];
                    self.node(index).dialing.remove(&peer);
                }
                NodeAction::Read(value) => self.start_read(index, value, None),
                NodeAction::Watch(value, after) => self.start_read(index, value, Some(after)),
                NodeAction::Published(value) => {
                    self.in_force_at.insert(value, self.now);
                }
                NodeAction::Start {
                    attempt, target, ..
                } => {
                    let target_region = region_named(target.domain.as_str());
                    self.dispatched += 1;
                    self.cross_region_dispatches += u64::from(target_region != region_of(index));
                    self.start_attempt(index, attempt);
                }
                NodeAction::Conclude(_, Conclusion::Refused(_)) => self.refused += 1,
                _ => {}
            }
        }
    }

    fn node(&mut self, index: usize) -> &mut FleetNode {
        self.nodes[index].as_mut().expect("host not running")
    }

    fn start_attempt(&mut self, index: usize, attempt: AttemptId) {
        let incarnation = self.node(index).incarnation.incarnation;
        let usage = Usage {
            prefill: 1_000,
            cached: 0,
            decode: 424,
            first_token_ms: 400,
            elapsed_ms: ANSWER_TIME.as_millis() as u32,
        };
        let end = AttemptEvent::Finished(usage);
        self.schedule(
            ANSWER_TIME,
            FleetEvent::Attempt(index, incarnation, attempt, end),
        );
        if let Some(accepted_at) = self.accepted_at.remove(&attempt.request) {
            let wait = self.now.since(accepted_at);
            self.longest_wait = self.longest_wait.max(wait);
            self.long_waits += u64::from(wait > LONG_WAIT);
        }
    }

    fn send(&mut self, index: usize, host: &HostName, message: LinkMessage) {
        let peer = self.host_indices[host];
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
            self.request_path_messages += 1;
            self.cross_region_messages += u64::from(region_of(index) != region_of(peer));
        }
        if let Some(node) = &mut self.nodes[peer] {
            count(&mut node.received, bytes);
        }
        self.schedule(LATENCY, FleetEvent::Message(index, peer, Box::new(message)));
    }

    fn start_read(&mut self, index: usize, value: ValueName, known_revision: Option<Revision>) {
        self.sequence += 1;
        let read_id = self.sequence;
        let node = self.node(index);
        node.service_calls += 1;
        node.pending_reads.insert(value.clone(), read_id);
        let current = self
            .published_values
            .get(&value)
            .map(|value| value.revision);
        let wait = match known_revision {
            Some(known_revision) if current <= Some(known_revision) => WATCH_TIMEOUT,
            _ => PLATFORM_LATENCY,
        };
        self.schedule(
            wait,
            FleetEvent::Answer(index, read_id, value, known_revision),
        );
    }

    fn update_links(&mut self) {
        let mut wanted_links = BTreeSet::new();
        for (index, node) in self.nodes.iter().enumerate() {
            for peer in node.iter().flat_map(|node| &node.dialing) {
                let reachable =
                    self.nodes[*peer].is_some() && self.partitions[index] == self.partitions[*peer];
                if reachable {
                    wanted_links.insert((index.min(*peer), index.max(*peer)));
                }
            }
        }
        let closed: Vec<_> = self.links.difference(&wanted_links).copied().collect();
        let opened: Vec<_> = wanted_links.difference(&self.links).copied().collect();
        for (a, b) in closed {
            self.links.remove(&(a, b));
            for (at, of) in [(a, b), (b, a)] {
                if let Some(incarnation) = self.incarnation(of) {
                    self.deliver(at, NodeEvent::Link(LinkEvent::Down(incarnation)));
                }
            }
        }
        for (a, b) in opened {
            self.links.insert((a, b));
            for (at, of) in [(a, b), (b, a)] {
                if let Some(incarnation) = self.incarnation(of) {
                    self.deliver(at, NodeEvent::Link(LinkEvent::Up(incarnation)));
                }
            }
        }
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now.plus(span);
        while let Some(Reverse(ScheduledEvent(at, ..))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse(ScheduledEvent(at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Wake(index) => {
                let due = self.nodes[index].as_ref().map(|node| node.wake_at);
                if due == Some(self.now) {
                    self.deliver(index, NodeEvent::Tick);
                }
            }
            FleetEvent::Redial => {
                self.update_links();
                self.schedule(REDIAL_INTERVAL, FleetEvent::Redial);
            }
            FleetEvent::Message(from, to, message) => {
                let linked = self.links.contains(&(from.min(to), from.max(to)));
                if let Some(incarnation) = self.incarnation(from).filter(|_| linked) {
                    self.deliver(
                        to,
                        NodeEvent::Link(LinkEvent::Message(incarnation, *message)),
                    );
                }
            }
            FleetEvent::Answer(index, read_id, value, known_revision) => {
                self.answer(index, read_id, value, known_revision)
            }
            FleetEvent::Attempt(index, incarnation, attempt, event) => {
                if self
                    .incarnation(index)
                    .is_some_and(|current| current.incarnation == incarnation)
                {
                    self.deliver(index, NodeEvent::Attempt(attempt, event));
                }
            }
            FleetEvent::LinkDown(index, incarnation) => {
                self.deliver(index, NodeEvent::Link(LinkEvent::Down(incarnation)))
            }
            FleetEvent::Submit(index) => {
                if let Some(interval) = self.request_interval {
                    let pool = self.submitted as usize % self.size.pools;
                    self.submit(index, pool);
                    self.schedule(interval, FleetEvent::Submit(index));
                }
            }
        }
    }

    fn answer(
        &mut self,
        index: usize,
        read_id: u64,
        value: ValueName,
        known_revision: Option<Revision>,
    ) {
        let Some(node) = &mut self.nodes[index] else {
            return;
        };
        if node.pending_reads.get(&value) != Some(&read_id) {
            return;
        }
        node.pending_reads.remove(&value);
        let event = match self.published_values.get(&value) {
            Some(current) if Some(current.revision) > known_revision => {
                NodeEvent::Read(current.clone())
            }
            _ => NodeEvent::Unchanged(value),
        };
        self.deliver(index, event);
    }
}

fn count(traffic: &mut Traffic, bytes: u64) {
    traffic.messages += 1;
    traffic.bytes += bytes;
}

/// Get a number that identifies the region of a host.
pub fn region_of(index: usize) -> usize {
    region_named(domain_of(index))
}

fn region_named(domain: &str) -> usize {
    let region = DOMAINS.iter().find(|known| known.0 == domain);
    let region = region.map(|known| known.1);
    let first = DOMAINS.iter().position(|known| Some(known.1) == region);
    first.unwrap_or(0)
}
