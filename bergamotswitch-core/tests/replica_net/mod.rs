//! Provides a simulated network of revision replicas and a configuration
//! service in virtual time.
#![allow(dead_code)] // Each test file uses a part of it.

pub use std::collections::{BTreeMap, BTreeSet};
pub use std::time::Duration;

pub use bergamotswitch_core::clock::Moment;
pub use bergamotswitch_core::error::Findings;
pub use bergamotswitch_core::host::{
    EntryHost, HostIncarnation, HostList, HostName, Incarnation, Standing,
};
pub use bergamotswitch_core::incident::Incident;
pub use bergamotswitch_core::revision::{
    HOSTS_VALUE, PublishedValue, RULES_VALUE, Revision, RevisionAction, RevisionEvent,
    RevisionMessage, RevisionOptions, RevisionReplica, ValueName,
};

const LATENCY: Duration = Duration::from_millis(1);
const SERVICE_TIME: Duration = Duration::from_millis(3);
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);

pub fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

pub fn host(index: usize) -> HostName {
    HostName::try_from(format!("host-{index}")).unwrap()
}

pub fn name(text: &str) -> ValueName {
    ValueName::try_from(text).unwrap()
}

pub fn published(value: &str, revision: u64, body: impl Into<String>) -> PublishedValue {
    PublishedValue {
        name: name(value),
        revision: Revision(revision),
        body: body.into(),
    }
}

pub fn entry(index: usize, domains: usize) -> EntryHost {
    EntryHost {
        capacity: 0,
        name: host(index),
        domain: format!("domain-{}", index % domains).try_into().unwrap(),
        caller_address: ([10, 1, (index / 250) as u8, (index % 250) as u8], 80).into(),
        link_address: ([10, 1, (index / 250) as u8, (index % 250) as u8], 81).into(),
        standing: Standing::Live,
    }
}

pub fn hosts_body(indexes: impl IntoIterator<Item = usize>, domains: usize) -> String {
    let list = HostList {
        hosts: indexes.into_iter().map(|i| entry(i, domains)).collect(),
        targets: Vec::new(),
    };
    serde_json::to_string(&list).unwrap()
}

/// Get a rules value with many rules, of which each revision changes one.
pub fn rules_body(revision: u64, rules: u64) -> String {
    let rules: Vec<_> = (0..rules)
        .map(|i| {
            let share = if i == revision % rules { revision } else { 0 };
            serde_json::json!({"name": format!("rule-{i}"), "tier": i % 3, "share": share})
        })
        .collect();
    serde_json::json!({"rules": rules, "bad": false}).to_string()
}

pub struct Node {
    pub replica: RevisionReplica,
    pub logs: Vec<(Incident, ValueName)>,
    pub in_force: BTreeMap<ValueName, (Revision, Moment, String)>,
    pub validations: Vec<(ValueName, Revision)>,
    pub reads: usize,
    pub messages: usize,
    pub bytes: usize,
    calls: BTreeMap<ValueName, u64>,
    wanted_links: BTreeSet<HostName>,
    paused: bool,
    wake_at: Moment,
}

enum Packet {
    Message(HostName, HostName, RevisionMessage),
    Answer(HostName, u64, ValueName, Option<Revision>, bool),
}

#[derive(Default)]
pub struct Net {
    pub now: Moment,
    pub nodes: BTreeMap<HostName, Node>,
    pub service: BTreeMap<ValueName, PublishedValue>,
    pub service_up: bool,
    pub no_service: BTreeSet<HostName>,
    pub partitions: BTreeMap<HostName, usize>,
    pub domains: usize,
    links: BTreeSet<(HostName, HostName)>,
    packets: BTreeMap<(Moment, u64), Packet>,
    wakes: BTreeSet<(Moment, HostName)>,
    counter: u64,
    reconnect_at: Moment,
}

impl Net {
    pub fn start(count: usize, domains: usize) -> Self {
        let mut net = Net {
            service_up: true,
            domains,
            ..Net::default()
        };
        net.publish(HOSTS_VALUE, 1, hosts_body(0..count, domains));
        for other in ["domains", "pools", "accounts", "limits"] {
            net.publish(other, 1, "{}".into());
        }
        net.publish(RULES_VALUE, 1, rules_body(1, 200));
        for index in 0..count {
            net.add(index);
        }
        net
    }

    /// Start hosts and run until they are caught up.
    pub fn converged(count: usize, domains: usize) -> Self {
        let mut net = Net::start(count, domains);
        net.run(secs(20));
        net
    }

    /// Publish rules, then run the network for `span`.
    pub fn publish_rules(&mut self, revision: u64, span: Duration) {
        self.publish(RULES_VALUE, revision, rules_body(revision, 200));
        self.run(span);
    }

    pub fn add(&mut self, index: usize) {
        let run = HostIncarnation {
            host: host(index),
            incarnation: Incarnation(index as u128 + 1),
        };
        let domain = entry(index, self.domains).domain;
        let node = Node {
            replica: RevisionReplica::new(run, domain, RevisionOptions::default(), self.now),
            logs: Vec::new(),
            in_force: BTreeMap::new(),
            validations: Vec::new(),
            reads: 0,
            messages: 0,
            bytes: 0,
            calls: BTreeMap::new(),
            wanted_links: BTreeSet::new(),
            paused: false,
            wake_at: Moment::NEVER,
        };
        self.nodes.insert(host(index), node);
        self.schedule_wake(&host(index));
    }

    pub fn publish(&mut self, value: &str, revision: u64, body: String) {
        let value = published(value, revision, body);
        self.service.insert(value.name.clone(), value);
        self.wake_watches();
    }

    fn wake_watches(&mut self) {
        // Check each waiting watch against the new value.
        let waits = |packet: &Packet| matches!(packet, Packet::Answer(_, _, _, Some(_), _));
        let waiting = self.packets.iter().filter(|(_, packet)| waits(packet));
        let waiting: Vec<_> = waiting.map(|(key, _)| *key).collect();
        for key in waiting {
            if let Some(Packet::Answer(host, call, value, Some(beyond), false)) =
                self.packets.remove(&key)
            {
                let ready = self.service.get(&value).map(|v| v.revision) > Some(beyond);
                let (at, ready) = match ready {
                    true => (self.now.plus(SERVICE_TIME), true),
                    false => (key.0, false),
                };
                let packet = Packet::Answer(host, call, value, Some(beyond), ready);
                self.schedule(at, packet);
            }
        }
    }

    fn schedule(&mut self, at: Moment, packet: Packet) {
        self.counter += 1;
        self.packets.insert((at, self.counter), packet);
    }

    pub fn handle(&mut self, to: &HostName, event: RevisionEvent) {
        let now = self.now;
        let actions = self.nodes.get_mut(to).unwrap().replica.handle(now, event);
        self.execute(to, actions);
        self.schedule_wake(to);
    }

    fn schedule_wake(&mut self, host_name: &HostName) {
        let node = self.nodes.get_mut(host_name).unwrap();
        self.wakes.remove(&(node.wake_at, host_name.clone()));
        node.wake_at = node.replica.next_wake();
        if !node.paused {
            self.wakes.insert((node.wake_at, host_name.clone()));
        }
    }

    fn execute(&mut self, host_name: &HostName, actions: Vec<RevisionAction>) {
        for action in actions {
            let node = self.nodes.get_mut(host_name).unwrap();
            match action {
                RevisionAction::Read(value) => self.call(host_name, value, None),
                RevisionAction::Watch(value, beyond) => self.call(host_name, value, Some(beyond)),
                RevisionAction::Send(to, message) => {
                    node.messages += 1;
                    node.bytes += serde_json::to_string(&message).unwrap().len();
                    let at = self.now.plus(LATENCY);
                    self.schedule(at, Packet::Message(host_name.clone(), to, message));
                }
                RevisionAction::Validate(value) => self.validate(host_name, value),
                RevisionAction::Link(entry) => {
                    node.wanted_links.insert(entry.name);
                }
                RevisionAction::LogIncident(incident, value)
                | RevisionAction::LogRevision(incident, value, _) => {
                    node.logs.push((incident, value));
                }
            }
        }
    }

    fn call(&mut self, host_name: &HostName, value: ValueName, beyond: Option<Revision>) {
        self.counter += 1;
        let call = self.counter;
        let node = self.nodes.get_mut(host_name).unwrap();
        node.reads += 1;
        node.calls.insert(value.clone(), call);
        let current = self.service.get(&value).map(|v| v.revision);
        let wait = match beyond {
            Some(beyond) if self.reaches_service(host_name) && current == Some(beyond) => {
                WATCH_TIMEOUT
            }
            _ => SERVICE_TIME,
        };
        let ready = wait == SERVICE_TIME;
        let at = self.now.plus(wait);
        self.schedule(
            at,
            Packet::Answer(host_name.clone(), call, value, beyond, ready),
        );
    }

    fn reaches_service(&self, host_name: &HostName) -> bool {
        self.service_up && !self.no_service.contains(host_name)
    }

    /// Validate a value; one marked bad is refused.
    fn validate(&mut self, host_name: &HostName, value: PublishedValue) {
        let node = self.nodes.get_mut(host_name).unwrap();
        node.validations.push((value.name.clone(), value.revision));
        let mut findings = Findings::new();
        if value.body.contains("\"bad\":true") {
            findings.add("/bad", "true", "false");
        }
        let verdict = findings.into_result(());
        if verdict.is_ok() {
            let earlier = node.in_force.get(&value.name).map(|held| held.0);
            assert!(earlier < Some(value.revision), "went back");
            let held = (value.revision, self.now, value.body.clone());
            node.in_force.insert(value.name.clone(), held);
        }
        let good = verdict.is_ok();
        let replica = &mut node.replica;
        let actions = replica.record_verdict(self.now, &value.name, value.revision, verdict);
        self.execute(host_name, actions);
        if good && value.name.as_str() == HOSTS_VALUE {
            let list = serde_json::from_str(&value.body).unwrap();
            self.handle(host_name, RevisionEvent::Hosts(list));
        }
    }

    fn answer(&mut self, host_name: HostName, call: u64, value: ValueName, ready: bool) {
        let reaches = self.reaches_service(&host_name);
        let node = match self.nodes.get_mut(&host_name) {
            Some(node) if node.calls.get(&value) == Some(&call) => node,
            _ => return,
        };
        node.calls.remove(&value);
        let event = match (reaches, ready, self.service.get(&value)) {
            (true, true, Some(value)) => RevisionEvent::Read(value.clone()),
            (true, false, _) => RevisionEvent::Unchanged(value),
            _ => RevisionEvent::ReadFailed(value),
        };
        self.handle(&host_name, event);
    }

    pub fn kill(&mut self, host_name: &HostName) {
        if let Some(node) = self.nodes.remove(host_name) {
            self.wakes.remove(&(node.wake_at, host_name.clone()));
        }
        for (a, b) in self.links.clone() {
            if a != *host_name && b != *host_name {
                continue;
            }
            self.links.remove(&(a.clone(), b.clone()));
            let other = if a == *host_name { b } else { a };
            self.handle(&other, RevisionEvent::PeerDown(host_name.clone()));
        }
    }

    pub fn pause(&mut self, host_name: &HostName) {
        self.nodes.get_mut(host_name).unwrap().paused = true;
        self.schedule_wake(host_name);
    }

    pub fn resume(&mut self, host_name: &HostName, paused_for: Duration) {
        self.nodes.get_mut(host_name).unwrap().paused = false;
        self.handle(host_name, RevisionEvent::ProcessResumed(paused_for));
    }

    fn is_cut(&self, a: &HostName, b: &HostName) -> bool {
        self.partitions.get(a) != self.partitions.get(b)
    }

    fn connect(&mut self) {
        let mut new_links = BTreeSet::new();
        for node in self.nodes.values_mut() {
            let replica = &node.replica;
            node.wanted_links.retain(|peer| replica.wants_link(peer));
        }
        for (a, node) in &self.nodes {
            for b in node.wanted_links.iter().filter(|b| !self.is_cut(a, b)) {
                let pair = (a.min(b).clone(), a.max(b).clone());
                if self.nodes.contains_key(b) && !self.links.contains(&pair) {
                    new_links.insert(pair);
                }
            }
        }
        for (a, b) in new_links {
            self.links.insert((a.clone(), b.clone()));
            self.handle(&a, RevisionEvent::PeerUp(b.clone()));
            self.handle(&b, RevisionEvent::PeerUp(a));
        }
    }

    fn deliver(&mut self, packet: Packet) {
        let to = match &packet {
            Packet::Message(_, to, _) | Packet::Answer(to, ..) => to.clone(),
        };
        match self.nodes.get(&to) {
            None => return,
            Some(node) if node.paused => {
                let at = self.now.plus(Duration::from_millis(50));
                return self.schedule(at, packet);
            }
            Some(_) => {}
        }
        match packet {
            Packet::Message(from, to, message) => {
                let pair = (from.clone().min(to.clone()), from.clone().max(to.clone()));
                if self.links.contains(&pair) && !self.is_cut(&from, &to) {
                    self.handle(&to, RevisionEvent::Peer(from, message));
                }
            }
            Packet::Answer(host_name, call, value, _, ready) => {
                self.answer(host_name, call, value, ready)
            }
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now.plus(span);
        loop {
            let wake = self.wakes.first().cloned();
            let wake_at = wake.as_ref().map_or(Moment::NEVER, |wake| wake.0);
            let packet_at = self.packets.keys().next().map_or(Moment::NEVER, |k| k.0);
            let at = wake_at.min(packet_at).min(self.reconnect_at);
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            if self.reconnect_at == at {
                self.reconnect_at = self.now.plus(RECONNECT_INTERVAL);
                self.connect();
            } else if packet_at == at {
                let packet = self.packets.pop_first().unwrap().1;
                self.deliver(packet);
            } else if let Some((_, host_name)) = wake {
                self.handle(&host_name, RevisionEvent::Tick);
            }
        }
        self.now = end;
    }

    pub fn in_force(&self, host_name: &HostName, value: &str) -> u64 {
        let held = self.nodes[host_name].in_force.get(&name(value));
        held.map_or(0, |held| held.0.0)
    }

    /// Get the lowest and the highest revision in force over all hosts.
    pub fn in_force_range(&self, value: &str) -> (u64, u64) {
        let all: Vec<_> = self
            .nodes
            .keys()
            .map(|host_name| self.in_force(host_name, value))
            .collect();
        (*all.iter().min().unwrap(), *all.iter().max().unwrap())
    }

    /// Get when a revision of the value last came into force on any host.
    pub fn last_in_force_at(&self, value: &str) -> Moment {
        let held = |node: &Node| node.in_force[&name(value)].1;
        self.nodes.values().map(held).max().unwrap()
    }

    pub fn readers(&self) -> Vec<HostName> {
        let reads = |node: &Node| node.replica.status().is_reader;
        let readers = self.nodes.iter().filter(|(_, node)| reads(node));
        readers.map(|(host_name, _)| host_name.clone()).collect()
    }

    pub fn reset_counts(&mut self) {
        for node in self.nodes.values_mut() {
            (node.reads, node.messages, node.bytes) = (0, 0, 0);
        }
    }

    pub fn log_count(&self, incident: Incident) -> usize {
        let logs = self.nodes.values().flat_map(|node| &node.logs);
        logs.filter(|log| log.0 == incident).count()
    }
}
