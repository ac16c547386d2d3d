//! Provides a simulated fleet of whole hosts in virtual time, which discover each
//! other by gossip and enforce client account quotas and a pool's retry budget.

#![allow(dead_code)] // No test file uses all of these helpers.

mod crashes;
mod cuts;
mod domains;
mod notices;
mod rate_limits;
mod setup;
mod values;

use std::collections::{BTreeMap, BTreeSet};
pub use std::time::Duration;

pub use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::{
    AttemptEvent, Conclusion, EntryOptions, NotSentReason, SubmitOutcome,
};
use bergamotswitch_core::host::{HostIncarnation, Incarnation};
use bergamotswitch_core::link::{LinkEvent, LinkMessage};
use bergamotswitch_core::node::{NodeAction, NodeCore, NodeEvent};
use bergamotswitch_core::pool_owner::OwnerOptions;
use bergamotswitch_core::refusal::{Refusal, RefusalReason};
use bergamotswitch_core::request::{AttemptId, RequestId};
use bergamotswitch_core::revision::PublishedValue;
use bergamotswitch_core::roster::RosterMessage;
use bergamotswitch_core::target::NamedLimit;
pub use crashes::CrashRecord;
pub use cuts::CutWay;
use rate_limits::LimitHistory;
use setup::{host_entry, index_of, options, usage};
pub use setup::{name, shard};
use values::submission;

/// The number of hosts in the fleet.
pub const HOSTS: usize = 8;

/// The quota of each account: units per second, and units in a burst.
pub const RATE: u64 = 100_000;
pub const BURST: u64 = 100_000;

/// The quota window, the fraction by which use within it may exceed the quota, and
/// the part of that fraction which an owner grants for bursts.
pub const WINDOW: Duration = Duration::from_secs(8);
pub const OVERAGE: f64 = 0.25;
const BURST_PART: f64 = 0.75;

/// The units of one call.
pub const UNITS: u32 = 1_000;

const STEP: Duration = Duration::from_millis(5);
const DIAL_DELAY: Duration = Duration::from_millis(10);
const READ_TIME: Duration = Duration::from_millis(20);
const TARGETS: (usize, u32) = (4, 500);

/// By default, one in this many first attempts fails.
const FAILS_EVERY: u64 = 7;
const CONNECT_REFUSED_AFTER: Duration = Duration::from_millis(2);
const HEAD_TIME: Duration = Duration::from_millis(21);
const RUN_TIME: Duration = Duration::from_millis(150);

/// A `CallRecord` is the history of one call.
#[derive(Debug)]
pub struct CallRecord {
    /// The host to which it was sent.
    pub host: usize,
    pub account: &'static str,
    pub sent_at: Moment,
    /// When a target first ran it.
    pub ran_at: Option<Moment>,
    pub refusal: Option<RefusalReason>,
    pub refused_at: Option<Moment>,
    /// What the call asks for; calls with the same number are alike.
    pub work: u128,
    pub answered: bool,
}

/// A `FleetHost` is a host with its current process, if one is running.
struct FleetHost {
    core: Option<NodeCore>,
    run: HostIncarnation,
    started_at: Moment,
    wanted: BTreeSet<usize>,
    /// The deliveries that a paused process receives once it resumes.
    paused_queue: Option<Vec<Delivery>>,
}

enum Delivery {
    Call(usize, &'static str, u128, Moment),
    Message(usize, usize, LinkMessage),
    Gossip(usize, Box<RosterMessage>),
    Value(usize, PublishedValue),
    Attempt(usize, AttemptId, AttemptEvent),
}

impl Delivery {
    /// Get the host whose process receives the delivery.
    fn receiver(&self) -> usize {
        match self {
            Delivery::Message(_, to, _)
            | Delivery::Call(to, ..)
            | Delivery::Gossip(to, _)
            | Delivery::Value(to, _)
            | Delivery::Attempt(to, ..) => *to,
        }
    }
}

/// A `QuotaFleet` is a simulated fleet with its network, targets and callers.
pub struct QuotaFleet {
    pub now: Moment,
    pub calls: BTreeMap<RequestId, CallRecord>,
    /// When each host acquired (`true`) or released the ownership of the shard.
    pub ownership_changes: Vec<(Moment, usize, bool)>,
    /// When calls were retried at a target.
    pub retries: Vec<Moment>,
    /// One in this many first attempts fails and is retried.
    pub fails_every: u64,
    /// Whether all attempts fail.
    pub all_fail: bool,
    /// The hosts without a path to the targets, and what their connections meet.
    pub cut: BTreeSet<usize>,
    cut_way: CutWay,
    /// The hosts that are cut off from the other hosts.
    isolated: BTreeSet<usize>,
    /// The targets that say that they leave, and those that ask for rest.
    pub leaving: BTreeSet<String>,
    pub resting: BTreeMap<String, Duration>,
    notices: notices::NoticeHistory,
    /// The hosts whose tunnels were used, and when.
    pub tunnel_runs: Vec<(Moment, usize)>,
    /// The targets that refuse connections, and when attempts failed to connect.
    pub unreachable: BTreeSet<String>,
    pub connect_failures: Vec<Moment>,
    /// The work that crashes each target that runs it.
    pub crashing: BTreeSet<u128>,
    /// The parts of prompts that crash each target that runs them.
    pub crashing_parts: BTreeSet<u128>,
    /// The shared parts of the prompts of works.
    pub parts: BTreeMap<u128, Vec<u128>>,
    /// The account that last sent each work.
    accounts: BTreeMap<u128, &'static str>,
    pub crashes: Vec<CrashRecord>,
    /// Whether crashed targets fall silent and leave their connections open.
    pub silent_crashes: bool,
    /// The runs that ended with their target.
    lost_runs: BTreeSet<(usize, AttemptId)>,
    /// When attempts at crashing work reached a target.
    pub arrivals: Vec<(Moment, u128)>,
    /// The refusals of calls that were not accepted.
    pub early_refusals: Vec<(Moment, u128, Refusal)>,
    /// The limits that targets name in their answers, in requests per second.
    pub rate_limits: BTreeMap<String, NamedLimit>,
    limit_history: LimitHistory,
    /// The targets that need half of the usual time for a run.
    pub fast: BTreeSet<String>,
    in_flight: BTreeMap<String, BTreeSet<(usize, AttemptId)>>,
    due_crashes: BTreeMap<(Moment, u64), (String, u128)>,
    down_until: BTreeMap<String, Moment>,
    targets: (usize, u32),
    domains: domains::DomainState,
    served: BTreeMap<String, usize>,
    entry: EntryOptions,
    owner: OwnerOptions,
    hosts: Vec<FleetHost>,
    links: BTreeSet<(usize, usize)>,
    deliveries: BTreeMap<(Moment, u64), (Incarnation, Delivery)>,
    count: u64,
    latency: Duration,
    /// The delay of each host's processing, in addition to the latency.
    processing_delays: [Duration; HOSTS],
    next_host: usize,
}

impl QuotaFleet {
    /// Start a fleet with this link latency, and run it until it is ready.
    pub fn start(latency: Duration) -> Self {
        Self::start_with(latency, EntryOptions::default())
    }

    /// Start a fleet with these options of the entry side.
    pub fn start_with(latency: Duration, entry: EntryOptions) -> Self {
        Self::start_with_targets(TARGETS, latency, entry)
    }

    /// Start a fleet with this number of targets and of slots per target.
    pub fn start_with_targets(
        targets: (usize, u32),
        latency: Duration,
        entry: EntryOptions,
    ) -> Self {
        Self::start_with_owners(targets, latency, entry, OwnerOptions::default())
    }

    /// Start a fleet with these options of the owners, in addition.
    pub fn start_with_owners(
        targets: (usize, u32),
        latency: Duration,
        entry: EntryOptions,
        owner: OwnerOptions,
    ) -> Self {
        let mut fleet = QuotaFleet {
            now: Moment::START,
            calls: BTreeMap::new(),
            ownership_changes: Vec::new(),
            retries: Vec::new(),
            fails_every: FAILS_EVERY,
            all_fail: false,
            targets,
            domains: domains::DomainState::default(),
            cut: BTreeSet::new(),
            cut_way: CutWay::Silent,
            isolated: BTreeSet::new(),
            leaving: BTreeSet::new(),
            resting: BTreeMap::new(),
            notices: notices::NoticeHistory::default(),
            tunnel_runs: Vec::new(),
            unreachable: BTreeSet::new(),
            connect_failures: Vec::new(),
            crashing: BTreeSet::new(),
            crashing_parts: BTreeSet::new(),
            parts: BTreeMap::new(),
            accounts: BTreeMap::new(),
            crashes: Vec::new(),
            silent_crashes: false,
            lost_runs: BTreeSet::new(),
            arrivals: Vec::new(),
            early_refusals: Vec::new(),
            rate_limits: BTreeMap::new(),
            limit_history: LimitHistory::default(),
            fast: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            due_crashes: BTreeMap::new(),
            down_until: BTreeMap::new(),
            served: BTreeMap::new(),
            entry,
            owner,
            hosts: Vec::new(),
            links: BTreeSet::new(),
            deliveries: BTreeMap::new(),
            count: 0,
            latency,
            processing_delays: [Duration::ZERO; HOSTS],
            next_host: 0,
        };
        for index in 0..HOSTS {
            let host = fleet.new_process(index);
            fleet.hosts.push(host);
        }
        fleet.pass(Duration::from_secs(12), |_| {});
        fleet
    }

    fn new_process(&mut self, index: usize) -> FleetHost {
        self.count += 1;
        let entry = host_entry(index);
        let run = HostIncarnation {
            host: entry.name,
            incarnation: Incarnation(u128::from(self.count)),
        };
        // The monotonic clock of a process starts at zero.
        let core = NodeCore::new(
            run.clone(),
            entry.domain,
            options(index, self.now, self.entry.clone(), self.owner.clone()),
            Moment::START,
        );
        FleetHost {
            core: Some(core),
            run,
            started_at: self.now,
            wanted: BTreeSet::new(),
            paused_queue: None,
        }
    }

    /// Advance the clock, and call `each` after every step.
    pub fn pass(&mut self, span: Duration, mut each: impl FnMut(&mut Self)) {
        let end = self.now.plus(span);
        while self.now < end {
            self.now = self.now.plus(STEP);
            self.dial();
            self.crash_due_targets();
            self.deliver();
            for index in 0..HOSTS {
                self.tick(index);
            }
            each(self);
        }
    }

    fn tick(&mut self, index: usize) {
        let local_now = self.process_time(index);
        let host = &self.hosts[index];
        let due = host
            .core
            .as_ref()
            .is_some_and(|core| core.next_wake() <= local_now);
        if due && host.paused_queue.is_none() {
            self.handle(index, NodeEvent::Tick);
        }
    }

    /// Pause a host's process and queue all deliveries to it.
    pub fn pause(&mut self, index: usize) {
        self.hosts[index].paused_queue = Some(Vec::new());
    }

    /// Resume a host's process and pass it the queued deliveries.
    pub fn resume(&mut self, index: usize) {
        self.limit_history.excuse(index);
        let run = self.hosts[index].run.incarnation;
        for delivery in self.hosts[index].paused_queue.take().unwrap_or_default() {
            self.deliver_to_process(run, delivery);
        }
    }

    /// Get the owner of the shard. If several hosts own it, it is the latest to acquire
    /// it.
    pub fn owner(&self) -> usize {
        let owns = |index: &usize| {
            let core = self.hosts[*index].core.as_ref();
            core.is_some_and(|core| core.view(self.process_time(*index)).owns.contains(&shard()))
        };
        let owners: Vec<usize> = (0..HOSTS).filter(owns).collect();
        let acquired = self.ownership_changes.iter().rev().filter(|turn| turn.2);
        let mut acquired = acquired.map(|turn| turn.1);
        acquired
            .find(|index| owners.contains(index))
            .expect("an owner")
    }

    /// Delay a host's processing of all deliveries.
    pub fn slow(&mut self, index: usize, lag: Duration) {
        self.processing_delays[index] = lag;
    }

    /// Begin the planned stop of a host.
    pub fn stop(&mut self, index: usize) {
        self.handle(index, NodeEvent::Stop);
    }

    /// Terminate a host's process.
    pub fn end(&mut self, index: usize) {
        self.hosts[index].core = None;
        self.hosts[index].wanted.clear();
        let links: Vec<_> = self.links.iter().copied().collect();
        for (a, b) in links {
            if a == index || b == index {
                self.links.remove(&(a, b));
                let other = if a == index { b } else { a };
                let run = self.hosts[index].run.clone();
                self.handle(other, NodeEvent::Link(LinkEvent::Down(run)));
            }
        }
    }

    /// Start a new process of a host.
    pub fn restart(&mut self, index: usize) {
        self.limit_history.excuse(index);
        self.excuse_notices(index);
        self.hosts[index] = self.new_process(index);
    }

    /// Send calls of an account to the hosts that accept calls, in round-robin order.
    pub fn send(&mut self, account: &'static str, calls: usize) {
        for _ in 0..calls {
            self.send_work(account, 0);
        }
    }

    /// Send a call that asks for this work to the next host that accepts calls.
    pub fn send_work(&mut self, account: &'static str, work: u128) {
        for _ in 0..HOSTS {
            self.next_host = (self.next_host + 1) % HOSTS;
            let index = self.next_host;
            if let Some(paused_queue) = &mut self.hosts[index].paused_queue {
                paused_queue.push(Delivery::Call(index, account, work, self.now));
                return;
            }
            if self.submit(index, account, work, self.now) {
                return;
            }
        }
    }

    /// Send a call that asks for this work to the first host that accepts calls, from
    /// `index` on.
    pub fn send_work_to(&mut self, index: usize, account: &'static str, work: u128) {
        let next_host = std::mem::replace(&mut self.next_host, (index + HOSTS - 1) % HOSTS);
        self.send_work(account, work);
        self.next_host = next_host;
    }

    /// Send a call to the next host other than `index`.
    pub fn send_avoiding(&mut self, index: usize, account: &'static str) {
        if (self.next_host + 1) % HOSTS == index {
            self.next_host = index;
        }
        self.send_work(account, 0);
    }

    /// Submit a call to a host, and get whether the host accepted it.
    fn submit(&mut self, index: usize, account: &'static str, work: u128, sent_at: Moment) -> bool {
        let local_now = self.process_time(index);
        let core = self.hosts[index].core.as_mut();
        let Some(core) = core.filter(|core| core.is_ready(local_now)) else {
            return false;
        };
        self.accounts.insert(work, account);
        let parts = self.parts.get(&work).map_or(&[][..], Vec::as_slice);
        let (outcome, actions) = core.submit(local_now, submission(account, work, parts));
        let id = match outcome {
            SubmitOutcome::Accepted(id) => id,
            SubmitOutcome::Refused(refusal) if work > 0 => {
                self.early_refusals.push((self.now, work, refusal));
                self.apply_actions(index, actions);
                return true;
            }
            _ => {
                self.apply_actions(index, actions);
                return false;
            }
        };
        let record = CallRecord {
            host: index,
            account,
            sent_at,
            ran_at: None,
            refusal: None,
            refused_at: None,
            work,
            answered: false,
        };
        self.calls.insert(id, record);
        self.apply_actions(index, actions);
        true
    }

    /// Get the largest number of an account's units that were both sent and run within
    /// one window over all hosts, and the start of that window.
    pub fn most_in_window(&self, account: &str) -> (u64, Moment) {
        let calls = self.calls.values().filter(|call| call.account == account);
        let ran = calls.filter_map(|call| Some((call.sent_at, call.ran_at?)));
        let mut ran: Vec<(Moment, Moment)> = ran.collect();
        ran.sort();
        let sums = ran.iter().enumerate().map(|(first, (begin, _))| {
            let end = begin.plus(WINDOW);
            let later = ran[first..].iter().take_while(|(sent, _)| *sent <= end);
            let inside = later.filter(|(_, at)| *at <= end).count();
            (inside as u64 * u64::from(UNITS), *begin)
        });
        sums.max_by_key(|(sum, _)| *sum)
            .unwrap_or((0, Moment::START))
    }

    /// Get the number of an account's calls refused for this reason.
    pub fn refused(&self, account: &str, reason: RefusalReason) -> usize {
        let calls = self.calls.values().filter(|call| call.account == account);
        calls.filter(|call| call.refusal == Some(reason)).count()
    }

    /// Get the number of attempts that a target ran.
    pub fn served_by(&self, target: &str) -> usize {
        self.served.get(target).copied().unwrap_or(0)
    }

    fn process_time(&self, index: usize) -> Moment {
        Moment::START.plus(self.now.since(self.hosts[index].started_at))
    }

    fn post(&mut self, to: usize, span: Duration, delivery: Delivery) {
        self.count += 1;
        let run = self.hosts[to].run.incarnation;
        let at = self.now.plus(span).plus(self.processing_delays[to]);
        self.deliveries.insert((at, self.count), (run, delivery));
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.deliveries.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (run, delivery) = entry.remove();
            let host = &mut self.hosts[delivery.receiver()];
            match &mut host.paused_queue {
                Some(paused_queue) if host.run.incarnation == run => paused_queue.push(delivery),
                _ => self.deliver_to_process(run, delivery),
            }
        }
    }

    fn deliver_to_process(&mut self, run: Incarnation, delivery: Delivery) {
        let (to, event) = match delivery {
            Delivery::Call(to, account, work, sent_at) => {
                self.submit(to, account, work, sent_at);
                return;
            }
            Delivery::Message(from, to, message) => {
                if !self.links.contains(&(from.min(to), from.max(to))) {
                    return;
                }
                let from = self.hosts[from].run.clone();
                (to, NodeEvent::Link(LinkEvent::Message(from, message)))
            }
            Delivery::Gossip(to, message) => (to, NodeEvent::Gossip(message)),
            Delivery::Value(to, value) => (to, NodeEvent::Read(value)),
            Delivery::Attempt(to, attempt, AttemptEvent::Finished(_))
                if self.lost_runs.contains(&(to, attempt)) =>
            {
                return;
            }
            Delivery::Attempt(to, attempt, event) => {
                self.record_attempt_event(to, attempt, &event);
                (to, NodeEvent::Attempt(attempt, event))
            }
        };
        if self.hosts[to].run.incarnation == run {
            self.handle(to, event);
        }
    }

    fn handle(&mut self, index: usize, event: NodeEvent) {
        let local_now = self.process_time(index);
        let Some(core) = self.hosts[index].core.as_mut() else {
            return;
        };
        let actions = core.handle(local_now, event);
        self.apply_actions(index, actions);
    }

    fn dial(&mut self) {
        for a in 0..HOSTS {
            for b in a + 1..HOSTS {
                let wanted = self.hosts[a].wanted.contains(&b) || self.hosts[b].wanted.contains(&a);
                let runs = |at: usize| {
                    let age = self.now.since(self.hosts[at].started_at);
                    let host = &self.hosts[at];
                    host.core.is_some() && host.paused_queue.is_none() && age >= DIAL_DELAY
                };
                if wanted && runs(a) && runs(b) && self.links.insert((a, b)) {
                    for (end, peer) in [(a, b), (b, a)] {
                        let run = self.hosts[peer].run.clone();
                        self.handle(end, NodeEvent::Link(LinkEvent::Up(run)));
                    }
                }
            }
        }
    }

    /// Close the link between two hosts; a paused one does not notice.
    fn disconnect(&mut self, index: usize, peer: usize) {
        self.hosts[index].wanted.remove(&peer);
        if !self.links.remove(&(index.min(peer), index.max(peer))) {
            return;
        }
        for (end, other) in [(index, peer), (peer, index)] {
            if self.hosts[end].paused_queue.is_none() {
                let run = self.hosts[other].run.clone();
                self.handle(end, NodeEvent::Link(LinkEvent::Down(run)));
            }
        }
    }

    fn apply_actions(&mut self, index: usize, actions: Vec<NodeAction>) {
        for action in actions {
            match action {
                NodeAction::Send(to, message) => {
                    let to = index_of(&to);
                    if self.is_lost(index, to) {
                        continue;
                    }
                    let delivery = Delivery::Message(index, to, message);
                    self.post(to, self.latency, delivery);
                }
                NodeAction::Gossip(action) => self.gossip(index, action.to, action.message),
                NodeAction::Connect(host) => {
                    self.hosts[index].wanted.insert(index_of(&host.name));
                }
                NodeAction::Disconnect(host) => self.disconnect(index, index_of(&host)),
                NodeAction::Read(value) => {
                    let value = self.published(&value);
                    self.post(index, READ_TIME, Delivery::Value(index, value));
                }
                NodeAction::Start {
                    attempt,
                    path,
                    connect_within,
                    ..
                } if !self.is_path_open(index, &path) => {
                    self.fail_on_cut_path(index, attempt, connect_within);
                }
                NodeAction::Start {
                    attempt, target, ..
                } if self.is_unreachable(target.name.as_str()) => {
                    self.refuse_connection(index, attempt)
                }
                NodeAction::Start {
                    attempt,
                    target,
                    path,
                    ..
                } => {
                    self.report_connected(index, attempt, &path);
                    *self.served.entry(target.name.to_string()).or_default() += 1;
                    self.run(index, attempt, target.name.as_str());
                }
                NodeAction::Conclude(id, Conclusion::Refused(refusal)) => {
                    if let Some(call) = self.calls.get_mut(&id) {
                        call.refusal = Some(refusal.reason());
                        call.refused_at = Some(self.now);
                    }
                }
                NodeAction::Conclude(id, Conclusion::Answered) => {
                    if let Some(call) = self.calls.get_mut(&id) {
                        call.answered = true;
                    }
                }
                NodeAction::LogIncident(incident, text) => {
                    self.record_incident(index, incident.number(), &text)
                }
                _ => {}
            }
        }
    }

    fn gossip(&mut self, from: usize, to: std::net::SocketAddr, message: RosterMessage) {
        let mut hosts = 0..HOSTS;
        let to = hosts.find(|index| host_entry(*index).link_address == to);
        let to = to.expect("a host of the fleet");
        if self.is_lost(from, to) {
            return;
        }
        self.post(to, self.latency, Delivery::Gossip(to, Box::new(message)));
    }

    /// Fail an attempt because its target refuses the connection.
    fn refuse_connection(&mut self, index: usize, attempt: AttemptId) {
        self.connect_failures.push(self.now);
        let event = AttemptEvent::NotSent(NotSentReason::ConnectFailed);
        let end = Delivery::Attempt(index, attempt, event);
        self.post(index, CONNECT_REFUSED_AFTER, end);
    }

    fn run(&mut self, index: usize, attempt: AttemptId, target: &str) {
        self.record_arrival(index, attempt, target);
        self.name_limit(index, attempt, target);
        if let Some(refusal) = self.say_notices(index, attempt, target) {
            let end = Delivery::Attempt(index, attempt, refusal);
            return self.post(index, HEAD_TIME, end);
        }
        if let Some(call) = self.calls.get_mut(&attempt.request) {
            call.ran_at.get_or_insert(self.now);
        }
        if attempt.attempt > 0 {
            self.retries.push(self.now);
        }
        let fails =
            attempt.request.sequence.is_multiple_of(self.fails_every) && attempt.attempt == 0;
        let run_time = match self.fast.contains(target) {
            true => RUN_TIME / 2,
            false => RUN_TIME,
        };
        let event = match fails || self.all_fail {
            true => AttemptEvent::Failed,
            false => AttemptEvent::Finished(usage(run_time)),
        };
        let end = Delivery::Attempt(index, attempt, event);
        self.post(index, run_time, end);
    }

    fn record_incident(&mut self, index: usize, number: u16, text: &str) {
        if text == format!("shard={}", shard()) && (number == 300 || number == 301) {
            self.ownership_changes
                .push((self.now, index, number == 300));
        }
    }
}
