//! Provides a simulated network of membership state machines in virtual time.
#![allow(dead_code)] // No test file uses all of these helpers.

pub use std::collections::{BTreeMap, BTreeSet};
pub use std::time::Duration;

pub use bergamotswitch_core::clock::Moment;
pub use bergamotswitch_core::host::{
    EntryHost, HostIncarnation, HostList, HostName, Incarnation, Standing,
};
pub use bergamotswitch_core::link::{Heartbeat, ShardTerm};
pub use bergamotswitch_core::membership::{
    Membership, MembershipAction, MembershipEvent, MembershipOptions,
};
pub use bergamotswitch_core::pool::PoolShard;
use bergamotswitch_core::rendezvous;

const LATENCY: Duration = Duration::from_millis(1);
const REDIAL: Duration = Duration::from_millis(200);

pub fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

pub fn host(index: usize) -> HostName {
    HostName::try_from(format!("host-{index}")).unwrap()
}

pub fn entry(index: usize) -> EntryHost {
    EntryHost {
        capacity: 0,
        name: host(index),
        domain: format!("domain-{}", index % 8).try_into().unwrap(),
        caller_address: ([10, 1, (index / 250) as u8, (index % 250) as u8], 80).into(),
        link_address: ([10, 1, (index / 250) as u8, (index % 250) as u8], 81).into(),
        standing: Standing::Live,
    }
}

pub fn list(indexes: impl IntoIterator<Item = usize>) -> HostList {
    HostList {
        hosts: indexes.into_iter().map(entry).collect(),
        targets: Vec::new(),
    }
}

pub fn shard(pool: usize) -> PoolShard {
    PoolShard {
        pool: format!("pool-{pool}").try_into().unwrap(),
        domain: None,
    }
}

/// Get the index of a host by its name.
pub fn index_of(name: &HostName) -> usize {
    name.as_str().trim_start_matches("host-").parse().unwrap()
}

/// Get the hosts in their order as candidates of the shard.
pub fn order(count: usize) -> Vec<HostName> {
    let names: Vec<_> = (0..count).map(host).collect();
    rendezvous::rank(&shard(0), names.iter())
}

/// Start a fleet that uses one shard, and run it until all hosts know the owner. Get
/// its hosts in their order as candidates.
pub fn converged(count: usize) -> (Fleet, Vec<HostName>) {
    converged_with(count, BTreeSet::new())
}

/// Start a fleet as `converged` does, with some hosts of an earlier release.
pub fn converged_with(count: usize, earlier_release: BTreeSet<HostName>) -> (Fleet, Vec<HostName>) {
    let mut fleet = Fleet::start_with(count, &[shard(0)], earlier_release);
    fleet.handle_all(MembershipEvent::Using(shard(0), true));
    fleet.run(secs(10));
    (fleet, order(count))
}

pub struct Node {
    pub membership: Membership,
    pub run: HostIncarnation,
    pub dialing: BTreeSet<HostName>,
    pub terminated: Vec<HostName>,
    pub log_actions: Vec<MembershipAction>,
    pub owner_changes: usize,
    /// How often the host found no candidate reachable.
    pub ownerless_reports: usize,
    pub acting_changes: usize,
    pub sent: usize,
    pub received: usize,
    paused: bool,
    wake_at: Moment,
}

#[derive(Clone, Debug)]
enum Payload {
    Heartbeat(Heartbeat),
    Ownership(Vec<ShardTerm>),
}

#[derive(Clone, Debug)]
struct Delivery {
    from: HostName,
    to: HostName,
    run: Incarnation,
    payload: Payload,
}

#[derive(Default)]
pub struct Fleet {
    pub now: Moment,
    pub nodes: BTreeMap<HostName, Node>,
    pub cuts: BTreeSet<(HostName, HostName)>,
    /// The hosts of an earlier release, which do not report the shards they act for.
    pub earlier_release: BTreeSet<HostName>,
    links: BTreeSet<(HostName, HostName)>,
    deliveries: BTreeMap<(Moment, u64), Delivery>,
    wakes: BTreeSet<(Moment, HostName)>,
    counter: u64,
    redial_at: Moment,
}

impl Fleet {
    /// Start `count` hosts that have the same host list and shards.
    pub fn start(count: usize, shards: &[PoolShard]) -> Self {
        Fleet::start_with(count, shards, BTreeSet::new())
    }

    /// Start a fleet with some hosts of an earlier release.
    pub fn start_with(
        count: usize,
        shards: &[PoolShard],
        earlier_release: BTreeSet<HostName>,
    ) -> Self {
        let mut fleet = Fleet {
            earlier_release,
            ..Fleet::default()
        };
        for index in 0..count {
            fleet.add(index, 1, shards, list(0..count));
        }
        fleet
    }

    pub fn add(&mut self, index: usize, run: u128, shards: &[PoolShard], list: HostList) {
        let run = HostIncarnation {
            host: host(index),
            incarnation: Incarnation(run * 1000 + index as u128),
        };
        let node = Node {
            membership: Membership::new(run.clone(), MembershipOptions::default(), self.now),
            run,
            dialing: BTreeSet::new(),
            terminated: Vec::new(),
            log_actions: Vec::new(),
            owner_changes: 0,
            ownerless_reports: 0,
            acting_changes: 0,
            sent: 0,
            received: 0,
            paused: false,
            wake_at: Moment::NEVER,
        };
        self.nodes.insert(host(index), node);
        self.handle(&host(index), MembershipEvent::Shards(shards.to_vec()));
        self.handle(&host(index), MembershipEvent::Hosts(list));
    }

    pub fn handle(&mut self, name: &HostName, event: MembershipEvent) {
        let now = self.now;
        let node = self.nodes.get_mut(name).unwrap();
        let mut sent = Vec::new();
        for action in node.membership.handle(now, event) {
            match action {
                MembershipAction::Connect(entry) => {
                    node.dialing.insert(entry.name);
                }
                MembershipAction::Disconnect(peer) => {
                    node.dialing.remove(&peer);
                }
                MembershipAction::Send(to, heartbeat) => {
                    node.sent += 1;
                    sent.push((to, Payload::Heartbeat(heartbeat)));
                }
                MembershipAction::SendOwnership(to, _)
                    if [name, &to]
                        .iter()
                        .any(|end| self.earlier_release.contains(*end)) => {}
                MembershipAction::SendOwnership(to, terms) => {
                    node.sent += 1;
                    sent.push((to, Payload::Ownership(terms)));
                }
                MembershipAction::OwnerChanged(_, owner) => {
                    node.owner_changes += 1;
                    node.ownerless_reports += usize::from(owner.is_none());
                }
                MembershipAction::Act(..) => node.acting_changes += 1,
                MembershipAction::HeardAgain(_) | MembershipAction::Contested(..) => {}
                MembershipAction::HostTerminated(host, _) => node.terminated.push(host),
                action @ (MembershipAction::LogIncident(..)
                | MembershipAction::LogContest(..)
                | MembershipAction::LogDenial(..)) => {
                    node.log_actions.push(action);
                }
            }
        }
        let run = node.run.incarnation;
        for (to, payload) in sent {
            self.counter += 1;
            let delivery = Delivery {
                from: name.clone(),
                to,
                run,
                payload,
            };
            self.deliveries
                .insert((now.plus(LATENCY), self.counter), delivery);
        }
        self.schedule_wake(name);
    }

    fn schedule_wake(&mut self, name: &HostName) {
        let node = self.nodes.get_mut(name).unwrap();
        self.wakes.remove(&(node.wake_at, name.clone()));
        node.wake_at = node.membership.next_wake();
        if !node.paused {
            self.wakes.insert((node.wake_at, name.clone()));
        }
    }

    pub fn handle_all(&mut self, event: MembershipEvent) {
        for name in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.handle(&name, event.clone());
        }
    }

    pub fn kill(&mut self, name: &HostName) {
        let node = self.nodes.remove(name).unwrap();
        self.wakes.remove(&(node.wake_at, name.clone()));
        let run = node.run;
        let links: Vec<_> = self.links.iter().cloned().collect();
        for (a, b) in links {
            if a != *name && b != *name {
                continue;
            }
            self.links.remove(&(a.clone(), b.clone()));
            let other = if a == *name { b } else { a };
            self.handle(&other, MembershipEvent::LinkDown(run.clone()));
        }
    }

    /// Close the links of a paused host, which does not notice.
    pub fn close_links(&mut self, name: &HostName) {
        let run = self.nodes[name].run.clone();
        let links = std::mem::take(&mut self.links);
        let (closed, open) = links.into_iter().partition(|(a, b)| a == name || b == name);
        self.links = open;
        let closed: BTreeSet<(HostName, HostName)> = closed;
        for (a, b) in closed {
            let other = if a == *name { b } else { a };
            self.handle(&other, MembershipEvent::LinkDown(run.clone()));
        }
    }

    pub fn pause(&mut self, name: &HostName) {
        self.nodes.get_mut(name).unwrap().paused = true;
        self.schedule_wake(name);
    }

    pub fn resume(&mut self, name: &HostName, slept: Duration) {
        self.nodes.get_mut(name).unwrap().paused = false;
        self.handle(name, MembershipEvent::ProcessResumed(slept));
    }

    pub fn is_paused(&self, name: &HostName) -> bool {
        self.nodes[name].paused
    }

    pub fn cut(&mut self, from: &HostName, to: &HostName) {
        self.cuts.insert((from.clone(), to.clone()));
    }

    /// Partition the hosts: cut all paths between the two sides.
    pub fn partition(&mut self, side: impl Fn(&HostName) -> bool) {
        let names: Vec<_> = self.nodes.keys().cloned().collect();
        for a in &names {
            for b in names.iter().filter(|b| side(a) != side(b)) {
                self.cut(a, b);
            }
        }
    }

    fn is_cut(&self, a: &HostName, b: &HostName) -> bool {
        self.cuts.contains(&(a.clone(), b.clone()))
    }

    fn dial(&mut self) {
        let mut wanted = BTreeSet::new();
        for (name, node) in self.nodes.iter().filter(|(_, node)| !node.paused) {
            for peer in &node.dialing {
                let pair = (name.min(peer).clone(), name.max(peer).clone());
                let open = self.nodes.get(peer).is_some_and(|peer| !peer.paused);
                let cut = self.is_cut(name, peer) || self.is_cut(peer, name);
                if open && !cut && !self.links.contains(&pair) {
                    wanted.insert(pair);
                }
            }
        }
        for (a, b) in wanted {
            let run_a = self.nodes[&a].run.clone();
            let run_b = self.nodes[&b].run.clone();
            self.links.insert((a.clone(), b.clone()));
            self.handle(&a, MembershipEvent::LinkUp(run_b));
            self.handle(&b, MembershipEvent::LinkUp(run_a));
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let pair = (
            delivery.from.clone().min(delivery.to.clone()),
            delivery.from.clone().max(delivery.to.clone()),
        );
        if self.is_cut(&delivery.from, &delivery.to) || !self.links.contains(&pair) {
            return;
        }
        let sender = self.nodes.get(&delivery.from);
        if sender.is_none_or(|sender| sender.run.incarnation != delivery.run) {
            return;
        }
        let open = match self.nodes.get_mut(&delivery.to) {
            Some(node) => {
                node.received += 1;
                !node.paused
            }
            None => false,
        };
        match open {
            true => {
                let event = match delivery.payload {
                    Payload::Heartbeat(heartbeat) => {
                        MembershipEvent::Heartbeat(delivery.from, heartbeat)
                    }
                    Payload::Ownership(terms) => MembershipEvent::Ownership(delivery.from, terms),
                };
                self.handle(&delivery.to, event);
            }
            // Messages to a paused process wait in its socket.
            false if self.nodes.contains_key(&delivery.to) => {
                self.counter += 1;
                let at = self.now.plus(Duration::from_millis(5));
                self.deliveries.insert((at, self.counter), delivery);
            }
            false => {}
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now.plus(span);
        loop {
            let delivery_at = self.deliveries.keys().next().map(|key| key.0);
            let wake = self.wakes.first().cloned();
            let wake_at = wake.as_ref().map_or(Moment::NEVER, |wake| wake.0);
            let delivery_at = delivery_at.unwrap_or(Moment::NEVER);
            let at = wake_at.min(delivery_at).min(self.redial_at);
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            if self.redial_at == at {
                self.redial_at = self.now.plus(REDIAL);
                self.dial();
            } else if delivery_at == at {
                let delivery = self.deliveries.pop_first().unwrap().1;
                self.deliver(delivery);
            } else if let Some((_, name)) = wake {
                self.handle(&name, MembershipEvent::Tick);
            }
        }
        self.now = end;
    }

    pub fn owners_of(&self, shard: &PoolShard) -> Vec<HostName> {
        let acts = |node: &Node| node.membership.acting_shards().contains(shard);
        let owners = self.nodes.iter().filter(|(_, node)| acts(node));
        owners.map(|(name, _)| name.clone()).collect()
    }

    pub fn view(&self, name: &HostName, shard: &PoolShard) -> Option<HostName> {
        self.nodes[name].membership.owner_of(shard).cloned()
    }
}
