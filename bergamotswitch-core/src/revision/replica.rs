//! Provides the state machine that replicates published values.

use std::collections::BTreeMap;
use std::time::Duration;

use super::confirmation::Confirmations;
use super::options::RevisionOptions;
use super::peer::ReplicaPeer;
use super::relay::RelayPlan;
use super::service_reader::{Jitter, ReadBudget, ServiceCall};
use super::status::RevisionStatus;
use super::value_replica::ValueReplica;
use super::{
    HOSTS_VALUE, LIMITS_VALUE, PublishedValue, Revision, RevisionAction, RevisionEvent,
    RevisionMark, ValueName,
};
use crate::clock::Moment;
use crate::error::Findings;
use crate::failure_domain::DomainName;
use crate::host::{EntryHost, HostIncarnation, HostList, HostName};
use crate::incident::Incident;

/// How long a serving host may lag behind a newer revision that it knows of:
/// half of the two seconds within which a change has to be in force. Usually
/// the change arrives within milliseconds; without this tolerance the host
/// would refuse all callers until then.
const MAX_LAG: Duration = Duration::from_secs(1);

/// A `CatchUp` is the plan to request a value from a peer that has a newer
/// revision.
#[derive(Clone, Copy, Debug)]
pub(super) struct CatchUp {
    pub(super) at: Moment,
    pub(super) tries: usize,
    /// The missing revision, and since when this host has known of it.
    pub(super) lacks: Revision,
    pub(super) since: Moment,
}

/// A `RevisionReplica` is one host's replica of the published values.
#[derive(Debug)]
pub struct RevisionReplica {
    pub(super) own_name: HostName,
    pub(super) domain: DomainName,
    pub(super) opts: RevisionOptions,
    pub(super) values: BTreeMap<ValueName, ValueReplica>,
    pub(super) confirmations: Confirmations,
    pub(super) peers: BTreeMap<HostName, ReplicaPeer>,
    pub(super) links: BTreeMap<HostName, EntryHost>,
    pub(super) catch_ups: BTreeMap<ValueName, CatchUp>,
    /// When revisions are announced to the relays.
    pub(super) announce_at: Moment,
    pub(super) peer_confirmed: bool,
    /// Whether the host has been caught up since its start or its last
    /// pause.
    was_caught_up: bool,
    pub(super) jitter: Jitter,
    hosts: BTreeMap<HostName, EntryHost>,
    plan: RelayPlan,
    backups: Vec<HostName>,
    backup_round: usize,
    backup_at: Moment,
    calls: BTreeMap<ValueName, ServiceCall>,
    budget: ReadBudget,
    reads_issued: u64,
    /// Until when a starting host waits for a peer.
    startup_deadline: Moment,
    alone_logged: bool,
    /// When a host without a relay reads the service itself; never while it has
    /// a relay.
    fallback_read_at: Moment,
    wake_at: Moment,
}

impl RevisionReplica {
    /// Create the replica of a host that has just started.
    pub fn new(
        identity: HostIncarnation,
        domain: DomainName,
        opts: RevisionOptions,
        now: Moment,
    ) -> Self {
        let mut jitter = Jitter::new(identity.incarnation);
        let delay = opts.read_fallback + jitter.part_of(opts.read_fallback);
        let values = opts
            .values
            .iter()
            .map(|name| (name.clone(), ValueReplica::new(name.clone())));
        let carried = opts.carried.as_ref().map(|carried| &carried.value);
        let called = opts.values.iter().filter(|name| Some(*name) != carried);
        let calls = called.map(|name| (name.clone(), ServiceCall::default()));
        RevisionReplica {
            own_name: identity.host,
            domain,
            values: values.collect(),
            calls: calls.collect(),
            opts,
            confirmations: Confirmations::default(),
            peers: BTreeMap::new(),
            links: BTreeMap::new(),
            catch_ups: BTreeMap::new(),
            announce_at: Moment::NEVER,
            peer_confirmed: false,
            was_caught_up: false,
            jitter,
            hosts: BTreeMap::new(),
            plan: RelayPlan::default(),
            backups: Vec::new(),
            backup_round: 0,
            backup_at: Moment::NEVER,
            budget: ReadBudget::default(),
            reads_issued: 0,
            startup_deadline: now.plus(delay),
            alone_logged: false,
            fallback_read_at: now.plus(delay),
            wake_at: now,
        }
    }

    /// Set the options, except for the set of values, which stays.
    pub fn set_opts(&mut self, opts: RevisionOptions) {
        self.opts = opts;
    }

    /// Handle one event and get the resulting actions.
    pub fn handle(&mut self, now: Moment, event: RevisionEvent) -> Vec<RevisionAction> {
        let mut actions = Vec::new();
        match event {
            RevisionEvent::Read(value) => self.handle_read(now, value, &mut actions),
            RevisionEvent::Unchanged(name) => self.handle_unchanged(now, &name, true),
            RevisionEvent::UnchangedAt(name, revision) => {
                // Revision 0 stands for none, which confirms nothing.
                let is_newest = revision > Revision::default() && revision >= self.seen(&name);
                self.handle_unchanged(now, &name, is_newest);
            }
            RevisionEvent::ReadFailed(name) => self.handle_failure(now, name, &mut actions),
            RevisionEvent::Peer(host, message) => {
                self.handle_message(now, host, message, &mut actions);
            }
            RevisionEvent::PeerUp(host) => {
                self.peers.insert(host, ReplicaPeer::new(now));
            }
            RevisionEvent::PeerDown(host) => {
                self.peers.remove(&host);
            }
            RevisionEvent::Hosts(list) => self.handle_hosts(list),
            RevisionEvent::Tick => {}
            RevisionEvent::ProcessResumed(_) => self.invalidate(now),
        }
        self.reconcile(now, &mut actions);
        actions
    }

    /// Record the result of the validation of a value.
    pub fn record_verdict(
        &mut self,
        now: Moment,
        name: &ValueName,
        revision: Revision,
        verdict: Result<(), Findings>,
    ) -> Vec<RevisionAction> {
        let incident = match verdict {
            Ok(()) => Incident::RevisionAdopted,
            Err(_) => Incident::RevisionRefused,
        };
        let mut actions = Vec::new();
        let recorded = match self.values.get_mut(name) {
            Some(replica) => replica.record_verdict(revision, verdict),
            None => false,
        };
        if recorded {
            actions.push(RevisionAction::LogRevision(
                incident,
                name.clone(),
                revision,
            ));
        }
        self.reconcile(now, &mut actions);
        actions
    }

    /// Get the time of the next tick.
    pub fn next_wake(&self) -> Moment {
        self.wake_at
    }

    /// Get the revisions in force.
    pub fn in_force(&self) -> Vec<RevisionMark> {
        self.values
            .iter()
            .filter_map(|(name, replica)| {
                Some(RevisionMark {
                    name: name.clone(),
                    revision: replica.in_force()?,
                })
            })
            .collect()
    }

    /// Get the status of the values for reporting.
    pub fn status(&self) -> RevisionStatus {
        RevisionStatus {
            values: self.values.values().map(ValueReplica::status).collect(),
            alone: !self.peer_confirmed,
            reads_issued: self.reads_issued,
            is_reader: self.plan.is_reader,
        }
    }

    /// Get whether the replica follows this value.
    pub fn follows(&self, name: &ValueName) -> bool {
        self.values.contains_key(name)
    }

    /// Get whether a link to a peer is needed for propagating values.
    pub fn wants_link(&self, host: &HostName) -> bool {
        self.links.contains_key(host)
    }

    /// Get whether the host may serve: a peer has confirmed its revisions and
    /// no peer is known to be ahead, or no peer answered in time. A host that
    /// was caught up before may lag for a moment, as it does whenever a peer
    /// announces a change before the change arrives.
    pub fn is_caught_up(&self, now: Moment) -> bool {
        if !self.peer_confirmed {
            return now >= self.startup_deadline;
        }
        let is_tolerated = |plan: &CatchUp| self.was_caught_up && now.since(plan.since) < MAX_LAG;
        self.catch_ups.values().all(is_tolerated)
    }

    fn handle_read(
        &mut self,
        now: Moment,
        value: PublishedValue,
        actions: &mut Vec<RevisionAction>,
    ) {
        let Some(call) = self.calls.get_mut(&value.name) else {
            // A value without calls of its own.
            return self.accept_value(now, value, actions);
        };
        // A stale replica of the service answers at once, every time. Calls
        // without a backoff would use up the read budget.
        if value.revision < call.beyond {
            if call.fail(now, &self.opts, &mut self.jitter) {
                actions.push(RevisionAction::LogIncident(
                    Incident::RevisionStale,
                    value.name,
                ));
            }
            return;
        }
        let revision = value.revision;
        self.confirm_by_call(&value.name, revision);
        if let Some(call) = self.calls.get_mut(&value.name) {
            call.succeed(now);
        }
        self.accept_value(now, value, actions);
    }

    fn handle_unchanged(&mut self, now: Moment, name: &ValueName, is_newest: bool) {
        if is_newest {
            self.confirm_by_call(name, self.seen(name));
        }
        if let Some(call) = self.calls.get_mut(name) {
            call.succeed(now);
        }
    }

    fn handle_failure(&mut self, now: Moment, name: ValueName, actions: &mut Vec<RevisionAction>) {
        let call = match self.calls.get_mut(&name) {
            Some(call) => call,
            None => return,
        };
        if call.fail(now, &self.opts, &mut self.jitter) {
            actions.push(RevisionAction::LogIncident(
                Incident::ServiceUnreachable,
                name,
            ));
        }
    }

    fn handle_hosts(&mut self, list: HostList) {
        self.hosts = list
            .hosts
            .into_iter()
            .map(|host| (host.name.clone(), host))
            .collect();
        self.plan = RelayPlan::new(&self.own_name, &self.domain, &self.hosts, &self.opts);
        // A host that has left the list must not serve as a backup relay.
        let hosts = &self.hosts;
        self.backups.retain(|host| hosts.contains_key(host));
    }

    /// Invalidate the state after a pause: the peers may be ahead, and
    /// pending calls may be lost with their connections.
    fn invalidate(&mut self, now: Moment) {
        self.peer_confirmed = false;
        self.was_caught_up = false;
        self.alone_logged = true;
        let delay = self.opts.read_fallback;
        self.startup_deadline = now.plus(delay).plus(self.jitter.part_of(delay));
        for peer in self.peers.values_mut() {
            peer.invalidate(now);
        }
        for call in self.calls.values_mut() {
            call.restart(now);
        }
    }

    fn reconcile(&mut self, now: Moment, actions: &mut Vec<RevisionAction>) {
        self.update_relays(now);
        self.update_links(actions);
        self.poll_relays(now, actions);
        self.announce(now, actions);
        self.catch_up(now, actions);
        self.poll_confirmed(now, actions);
        self.log_alone(now, actions);
        self.call_service(now, actions);
        // The first message of a peer may contain the mark of only one value.
        let startup_done = self.peer_confirmed && now >= self.startup_deadline;
        self.was_caught_up |= startup_done && self.catch_ups.is_empty();
        self.wake_at = self.find_wake(now);
    }

    fn has_responsive_relay(&self, now: Moment) -> bool {
        let heard = |host: &HostName| match self.peers.get(host) {
            Some(peer) => peer.is_heard(now, self.opts.silent_after),
            None => false,
        };
        self.plan.relays.iter().any(heard)
    }

    /// Rely on the relays while one of them answers. Backup relays only deliver
    /// changes: they may depend on this host themselves, so a host with only
    /// backups also reads the service.
    fn update_relays(&mut self, now: Moment) {
        if self.has_responsive_relay(now) {
            self.fallback_read_at = Moment::NEVER;
            self.backup_at = Moment::NEVER;
            self.backups.clear();
            return;
        }
        if self.fallback_read_at == Moment::NEVER {
            let delay = self.opts.read_fallback;
            self.fallback_read_at = now.plus(delay).plus(self.jitter.part_of(delay));
        }
        if self.backup_at == Moment::NEVER {
            self.backup_at = self.fallback_read_at;
        }
        if now < self.backup_at {
            return;
        }
        self.backup_at = now.plus(self.opts.silent_after);
        self.backups = self.next_backups();
    }

    fn next_backups(&mut self) -> Vec<HostName> {
        let others = self.hosts.keys().filter(|host| **host != self.own_name);
        let ranked = crate::rendezvous::rank_by_key(self.own_name.as_str().as_bytes(), others);
        if ranked.is_empty() {
            return Vec::new();
        }
        let round = self.backup_round;
        self.backup_round += 1;
        let position = round * 2 % ranked.len();
        ranked.into_iter().cycle().skip(position).take(2).collect()
    }

    fn update_links(&mut self, actions: &mut Vec<RevisionAction>) {
        let mut links = BTreeMap::new();
        for host in self.plan.relays.iter().chain(&self.backups) {
            let entry = match self.hosts.get(host) {
                Some(entry) => entry,
                None => continue,
            };
            if self.links.get(host) != Some(entry) && !links.contains_key(host) {
                actions.push(RevisionAction::Link(entry.clone()));
            }
            links.insert(host.clone(), entry.clone());
        }
        self.links = links;
    }

    fn log_alone(&mut self, now: Moment, actions: &mut Vec<RevisionAction>) {
        if self.peer_confirmed || self.alone_logged || now < self.startup_deadline {
            return;
        }
        self.alone_logged = true;
        if let Some(name) = self.opts.values.first() {
            let log = RevisionAction::LogIncident(Incident::StartedWithoutPeer, name.clone());
            actions.push(log);
        }
    }

    /// Get when the pending call for a value was sent.
    pub(super) fn call_sent_at(&self, name: &ValueName) -> Option<Moment> {
        self.calls.get(name)?.pending_since
    }

    /// Get the time from which the value may be read.
    fn read_allowed_at(&self, name: &ValueName) -> Moment {
        // Without the host list and the link key in the limits there is no peer
        // to wait for: hosts that start together would reject each other's
        // links until each timed out and started alone.
        let bootstraps = [HOSTS_VALUE, LIMITS_VALUE].contains(&name.as_str());
        let missing = self.seen(name) == Revision::default();
        if bootstraps && missing {
            return Moment::START;
        }
        let startup_at = match self.peer_confirmed || self.alone_logged {
            true => Moment::START,
            false => self.startup_deadline,
        };
        let fallback_at = match self.lacks_carried(name) {
            true => self.startup_deadline.plus(self.opts.read_fallback),
            false => self.fallback_read_at,
        };
        match self.plan.is_reader {
            true => startup_at,
            false => startup_at.max(fallback_at),
        }
    }

    /// Get whether the peers tell this value but not the one that its calls carry: they are
    /// of an earlier release.
    fn lacks_carried(&self, name: &ValueName) -> bool {
        let carried = self.opts.carried.as_ref();
        let carried = carried.filter(|carried| carried.carrier == *name);
        carried.is_some_and(|carried| {
            let told = self.seen(name) != Revision::default();
            let lacks = self.seen(&carried.value) == Revision::default();
            told && lacks
        })
    }

    fn call_service(&mut self, now: Moment, actions: &mut Vec<RevisionAction>) {
        for name in self.call_order() {
            if self.budget.allowed_at(&self.opts) > now {
                return;
            }
            if self.read_allowed_at(&name) > now {
                continue;
            }
            let seen = self.seen(&name);
            match self.calls.get_mut(&name) {
                Some(call) if call.due_at(&self.opts) <= now => call.begin(now, seen),
                _ => continue,
            }
            self.budget.spend(now, &self.opts);
            self.reads_issued += 1;
            actions.push(match seen == Revision::default() {
                true => RevisionAction::Read(name),
                false => RevisionAction::Watch(name, seen),
            });
        }
    }

    /// Get the values in the order in which they are called. An outage uses up
    /// the read budget; if the values were called by name, the first ones would
    /// be due again before the last one was called, and its change would take
    /// effect long after the service recovers.
    fn call_order(&self) -> Vec<ValueName> {
        let mut names = self.opts.values.clone();
        names.sort_by_key(|name| self.calls.get(name).map(ServiceCall::priority));
        names
    }

    fn next_call(&self) -> Moment {
        let allowed_at = self.budget.allowed_at(&self.opts);
        let due = self.calls.iter().map(|(name, call)| {
            let due_at = call.due_at(&self.opts).max(self.read_allowed_at(name));
            due_at.max(allowed_at)
        });
        due.min().unwrap_or(Moment::NEVER)
    }

    /// Get when the last relay that still answers becomes silent.
    fn relays_silent_at(&self) -> Moment {
        let heard = |host: &HostName| self.peers.get(host)?.heard_at;
        let last = self.plan.relays.iter().filter_map(heard).max();
        match last {
            Some(heard_at) => heard_at.plus(self.opts.silent_after),
            None => Moment::NEVER,
        }
    }

    fn find_wake(&self, now: Moment) -> Moment {
        let alone_at = match self.peer_confirmed || self.alone_logged {
            true => Moment::NEVER,
            false => self.startup_deadline,
        };
        let relays_silent_at = Some(self.relays_silent_at()).filter(|at| *at > now);
        self.next_call()
            .min(alone_at)
            .min(relays_silent_at.unwrap_or(Moment::NEVER))
            .min(self.backup_at)
            .min(self.confirmations.next_poll())
            .min(self.next_send())
            .max(now.plus(Duration::from_micros(1)))
    }
}
