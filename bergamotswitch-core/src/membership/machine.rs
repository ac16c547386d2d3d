//! Provides the state machine of membership.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::candidates::candidates;
use super::options::MembershipOptions;
use super::ownership::ActingTerm;
use super::peer::{PathChange, Peer, PeerView};
use super::shard_view::{Denial, OwnerView};
use super::{KeyQuorum, MembershipAction, MembershipEvent};
use crate::clock::Moment;
use crate::host::{EntryHost, HostIncarnation, HostList, HostName, Standing};
use crate::incident::Incident;
use crate::link::{Heartbeat, ShardTerm};
use crate::pool::PoolShard;

/// A `Membership` is one host's view of its peers and of the owners of shards.
#[derive(Debug)]
pub struct Membership {
    pub(super) identity: HostIncarnation,
    pub(super) opts: MembershipOptions,
    pub(super) hosts: BTreeMap<HostName, EntryHost>,
    pub(super) live_count: usize,
    pub(super) shards: BTreeSet<PoolShard>,
    pub(super) used_shards: BTreeSet<PoolShard>,
    pub(super) candidates: BTreeMap<PoolShard, Vec<HostName>>,
    pub(super) peers: BTreeMap<HostName, Peer>,
    pub(super) links: BTreeMap<HostName, EntryHost>,
    pub(super) denials: Vec<Denial>,
    /// The shards that this host acts for, with their terms.
    pub(super) acting: BTreeMap<PoolShard, ActingTerm>,
    /// The shards last reported to peers.
    pub(super) reported: Vec<ShardTerm>,
    /// The highest known term of each shard.
    pub(super) highest_terms: BTreeMap<PoolShard, u64>,
    pub(super) owners: BTreeMap<PoolShard, OwnerView>,
    pub(super) load_permille: u16,
    pub(super) stop_requested: bool,
    pub(super) stopping_since: Option<Moment>,
    /// When this process last went on after a pause.
    resumed_at: Moment,
    /// Whether acting shards, owners and watches have to be recomputed.
    pub(super) changed: bool,
    /// When they have to be recomputed without an event.
    pub(super) recheck_at: Moment,
    pub(super) wake_at: Moment,
}

impl Membership {
    /// Create the view of a host that has just started.
    pub fn new(identity: HostIncarnation, opts: MembershipOptions, _now: Moment) -> Self {
        Membership {
            identity,
            opts,
            hosts: BTreeMap::new(),
            live_count: 0,
            shards: BTreeSet::new(),
            used_shards: BTreeSet::new(),
            candidates: BTreeMap::new(),
            peers: BTreeMap::new(),
            links: BTreeMap::new(),
            denials: Vec::new(),
            acting: BTreeMap::new(),
            reported: Vec::new(),
            highest_terms: BTreeMap::new(),
            owners: BTreeMap::new(),
            load_permille: 0,
            stop_requested: false,
            stopping_since: None,
            resumed_at: Moment::START,
            changed: false,
            recheck_at: Moment::NEVER,
            wake_at: Moment::NEVER,
        }
    }

    /// Set the options. Acting shards, owners and watches are recomputed at the
    /// next event.
    pub fn set_opts(&mut self, opts: MembershipOptions) {
        self.changed |= opts != self.opts;
        self.opts = opts;
    }

    /// Handle one event and get the resulting actions.
    pub fn handle(&mut self, now: Moment, event: MembershipEvent) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        // Detect a pause of this process at its first event afterwards.
        // Otherwise the next tick would find every peer unreachable, and this
        // host would take over shards that others own.
        self.invalidate_after_pause(now, now.since(self.wake_at), &mut actions);
        // Most heartbeats and ticks change nothing.
        self.changed |= !matches!(
            event,
            MembershipEvent::Heartbeat(..) | MembershipEvent::Traffic(_) | MembershipEvent::Tick
        );
        match event {
            MembershipEvent::Hosts(list) => self.handle_hosts(now, list, &mut actions),
            MembershipEvent::Shards(shards) => {
                self.shards = shards.into_iter().collect();
                self.highest_terms
                    .retain(|shard, _| self.shards.contains(shard));
                self.rank_candidates();
            }
            MembershipEvent::Using(shard, used) => self.handle_use(shard, used),
            MembershipEvent::LinkUp(remote) => self.handle_link_up(now, remote, &mut actions),
            MembershipEvent::LinkDown(remote) => self.handle_link_down(now, &remote),
            MembershipEvent::Heartbeat(host, heartbeat) => {
                self.handle_heartbeat(now, host, &heartbeat, &mut actions)
            }
            MembershipEvent::Ownership(host, terms) => {
                self.record_ownership(&host, terms, &mut actions)
            }
            // Only heartbeats confirm both directions of a path; other traffic
            // may keep flowing one way.
            MembershipEvent::Traffic(_) => return actions,
            MembershipEvent::NotOwner(host, shard) => {
                self.handle_denial(now, host, shard, &mut actions)
            }
            MembershipEvent::Load(permille) => self.load_permille = permille,
            MembershipEvent::Stop => {
                self.stop_requested = true;
                self.begin_stop(now, &mut actions);
            }
            MembershipEvent::Tick => {}
            MembershipEvent::ProcessResumed(paused_for) => {
                self.invalidate_after_pause(now, paused_for, &mut actions)
            }
        }
        self.reconcile(now, &mut actions);
        actions
    }

    /// Get the time of the next tick.
    pub fn next_wake(&self) -> Moment {
        self.wake_at
    }

    /// Get the state of each peer.
    pub fn peers(&self) -> Vec<PeerView> {
        self.peers
            .iter()
            .map(|(host, peer)| PeerView {
                host: host.clone(),
                incarnation: peer.incarnation,
                reachable: peer.reachable,
                stopping: peer.stopping,
                load_permille: peer.load_permille,
            })
            .collect()
    }

    /// Get the hosts to which a link is up.
    pub fn connected_hosts(&self) -> impl Iterator<Item = &HostName> {
        let connected = self.peers.iter().filter(|(_, peer)| peer.connected);
        connected.map(|(host, _)| host)
    }

    /// Get the acting owner of a shard that this host uses or acts for.
    pub fn owner_of(&self, shard: &PoolShard) -> Option<&HostName> {
        if self.acting.contains_key(shard) && !self.used_shards.contains(shard) {
            return Some(&self.identity.host);
        }
        self.owners.get(shard).and_then(OwnerView::host)
    }

    /// Get the interval between two heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        self.opts.heartbeat
    }

    /// Get the suspicion timeout: how long a peer may leave heartbeats
    /// unanswered before another host may take over from it.
    pub fn suspect_after(&self) -> Duration {
        self.opts.suspect_after
    }

    /// Get whether a host has announced that it is stopping.
    pub fn is_stopping(&self, host: &HostName) -> bool {
        self.peers.get(host).is_some_and(|peer| peer.stopping)
    }

    /// Get whether a watched host is unreachable.
    pub fn is_unreachable(&self, host: &HostName) -> bool {
        let peer = self.peers.get(host);
        peer.is_some_and(|peer| peer.reachable == Some(false))
    }

    /// Get whether this host has received no heartbeat of another one for so long, as of a
    /// time from which on it would have received some, that a user of its shards may have
    /// turned to another owner.
    pub fn is_silent(&self, now: Moment, host: &HostName, since: Moment) -> bool {
        let limit = self.opts.user_interval(self.live_count) + self.opts.suspect_after;
        let heard_at = self.peers.get(host).map_or(Moment::START, Peer::heard_at);
        now >= heard_at.max(since).max(self.resumed_at).plus(limit)
    }

    /// Get the hosts that have to respond before an owner of the shard starts a
    /// request with an idempotency key.
    pub fn key_quorum(&self, shard: &PoolShard) -> KeyQuorum {
        let candidates = self.candidates.get(shard).cloned().unwrap_or_default();
        let is_lost = |host: &EntryHost| self.peers.get(&host.name).is_some_and(Peer::is_lost);
        let awaited = self.live_hosts().filter(|host| !is_lost(host));
        let awaited: Vec<HostName> = awaited.map(|host| host.name.clone()).collect();
        let is_linked = |host: &&HostName| self.peers.get(*host).is_some_and(|peer| peer.connected);
        KeyQuorum {
            candidates,
            linked: awaited.iter().filter(is_linked).cloned().collect(),
            awaited,
            connect_time: self.opts.suspect_after + self.opts.user_interval(self.live_count),
        }
    }

    /// Get the shards for which this host acts as owner.
    pub fn acting_shards(&self) -> Vec<PoolShard> {
        self.acting.keys().cloned().collect()
    }

    fn handle_hosts(&mut self, now: Moment, list: HostList, actions: &mut Vec<MembershipAction>) {
        self.hosts = list
            .hosts
            .into_iter()
            .map(|host| (host.name.clone(), host))
            .collect();
        self.live_count = self.live_hosts().count();
        let leaving = match self.hosts.get(&self.identity.host) {
            Some(host) => host.standing == Standing::Leaving,
            None => false,
        };
        match leaving || self.stop_requested {
            true => self.begin_stop(now, actions),
            false => self.stopping_since = None,
        }
        self.rank_candidates();
    }

    fn handle_use(&mut self, shard: PoolShard, used: bool) {
        match used {
            true => {
                let ranked = self.rank(&shard);
                self.candidates.insert(shard.clone(), ranked);
                self.used_shards.insert(shard);
            }
            false => {
                self.used_shards.remove(&shard);
                self.owners.remove(&shard);
            }
        }
    }

    fn handle_link_up(
        &mut self,
        now: Moment,
        remote: HostIncarnation,
        actions: &mut Vec<MembershipAction>,
    ) {
        if remote.host == self.identity.host {
            return;
        }
        let peer = self.peers.entry(remote.host.clone()).or_default();
        // An incarnation that has been replaced may resume after a pause and
        // connect again. If it were taken for the newer one, the live
        // incarnation would be reported as terminated, and the slots it uses
        // would be granted twice.
        if peer.is_retired(remote.incarnation) {
            return;
        }
        let replaced = peer.link_up(now, remote.incarnation);
        let report = self.reported.clone();
        actions.push(MembershipAction::SendOwnership(remote.host.clone(), report));
        if let Some(replaced) = replaced {
            self.denials.retain(|denial| denial.host != remote.host);
            self.clear_owner(&remote.host);
            actions.push(MembershipAction::HostTerminated(remote.host, replaced));
        }
    }

    /// Clear the views in which a host owns shards, so that its new incarnation
    /// is reported as a new owner. The new incarnation knows neither the
    /// requests nor the keys that this host registered with the previous one,
    /// and would grant them a second time.
    fn clear_owner(&mut self, host: &HostName) {
        for owner in self.owners.values_mut() {
            if owner.host() == Some(host) {
                *owner = OwnerView::Unknown;
            }
        }
    }

    fn handle_link_down(&mut self, now: Moment, remote: &HostIncarnation) {
        match self.peers.get_mut(&remote.host) {
            Some(peer) if peer.incarnation == Some(remote.incarnation) => peer.link_down(now),
            _ => {}
        }
    }

    fn handle_heartbeat(
        &mut self,
        now: Moment,
        host: HostName,
        heartbeat: &Heartbeat,
        actions: &mut Vec<MembershipAction>,
    ) {
        let peer = match self.peers.get_mut(&host) {
            Some(peer) => peer,
            None => return,
        };
        let before = peer.state();
        let was_late = !peer.is_answering(now, &self.opts);
        let was_lost = peer.is_lost();
        let change = peer.record_heartbeat(now, heartbeat, &self.opts);
        let is_back = was_late && peer.is_answering(now, &self.opts);
        self.changed |= is_back || peer.state() != before;
        let answer = peer.answer(heartbeat);
        // A candidate that was paused detects the loss of the owner later than this host.
        if is_back {
            let denials = self.denials.iter_mut();
            denials
                .filter(|denial| denial.host == host)
                .for_each(|denial| denial.restart(now));
        }
        if was_lost {
            actions.push(MembershipAction::HeardAgain(host.clone()));
        }
        if change == Some(PathChange::Reachable) {
            actions.push(MembershipAction::LogIncident(
                Incident::PeerReachable,
                host.clone(),
            ));
        }
        if let Some(heard) = answer {
            let heartbeat = self.build_heartbeat(0, heard);
            actions.push(MembershipAction::Send(host, heartbeat));
        }
    }

    fn handle_denial(
        &mut self,
        now: Moment,
        host: HostName,
        shard: PoolShard,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut denials = self.denials.iter();
        let index = denials.position(|denial| denial.matches(&host, &shard));
        let earlier = index.map(|index| self.denials.swap_remove(index));
        if earlier.is_none() {
            actions.push(MembershipAction::LogDenial(host.clone(), shard.clone()));
        }
        let denial = Denial::new(now, host, shard, earlier.as_ref(), &self.opts);
        self.denials.push(denial);
    }

    /// Begin a planned stop and notify all linked peers at once, so that the
    /// next candidate takes over and users switch to it before this host ceases
    /// to act.
    fn begin_stop(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(now);
        self.rank_candidates();
        for (host, peer) in &self.peers {
            if peer.connected {
                let heartbeat = self.build_heartbeat(0, peer.heard());
                actions.push(MembershipAction::Send(host.clone(), heartbeat));
            }
        }
    }

    /// Invalidate the view after a pause long enough for others to suspect
    /// this host.
    ///
    /// A paused owner would otherwise still act for shards that another
    /// candidate took over, or find all peers unreachable and take over their
    /// shards; two owners would grant the same slots. Each path has to be
    /// confirmed again, and this host ceases to act until the other candidates
    /// have answered. After a pause shorter than the suspicion timeout no other
    /// host can have taken over, so it keeps acting; otherwise its shards would
    /// have no owner meanwhile.
    fn invalidate_after_pause(
        &mut self,
        now: Moment,
        paused_for: Duration,
        actions: &mut Vec<MembershipAction>,
    ) {
        if paused_for < self.opts.suspect_after / 2 {
            return;
        }
        self.changed = true;
        self.resumed_at = now;
        for peer in self.peers.values_mut() {
            peer.reset_path(now);
        }
        // A denial from before the pause may be outdated, and its time has passed
        // without another attempt.
        self.denials.clear();
        if paused_for >= self.opts.suspect_after {
            self.cease_after_pause(now, actions);
        }
    }

    fn live_hosts(&self) -> impl Iterator<Item = &EntryHost> {
        self.hosts
            .values()
            .filter(|host| host.standing == Standing::Live)
    }

    fn rank(&self, shard: &PoolShard) -> Vec<HostName> {
        let mut ranked = candidates(shard, self.live_hosts());
        if self.stopping_since.is_some() {
            ranked.retain(|host| *host != self.identity.host);
        }
        ranked
    }

    fn rank_candidates(&mut self) {
        let shards = self.shards.union(&self.used_shards);
        let ranked = shards.map(|shard| (shard.clone(), self.rank(shard)));
        self.candidates = ranked.collect();
    }

    fn build_heartbeat(&self, sequence: u64, heard: u64) -> Heartbeat {
        Heartbeat {
            sequence,
            heard,
            stopping: self.stopping_since.is_some(),
            load_permille: self.load_permille,
        }
    }
}
