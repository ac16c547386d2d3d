//! Provides the state machine of membership.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::candidates::candidates;
use super::options::MembershipOptions;
use super::peer::{PathChange, Peer, PeerView};
use super::shard_view::{Denial, OwnerView};
use super::{KeyQuorum, MembershipAction, MembershipEvent};
use crate::clock::Moment;
use crate::host::{EntryHost, HostIncarnation, HostList, HostName, Standing};
use crate::incident::Incident;
use crate::link::Heartbeat;
use crate::pool::PoolShard;

/// A `Membership` is one host's view of the hosts that it works with.
#[derive(Debug)]
pub struct Membership {
    pub(super) me: HostIncarnation,
    pub(super) opts: MembershipOptions,
    pub(super) hosts: BTreeMap<HostName, EntryHost>,
    pub(super) live_count: usize,
    pub(super) shards: BTreeSet<PoolShard>,
    pub(super) used_shards: BTreeSet<PoolShard>,
    pub(super) candidates: BTreeMap<PoolShard, Vec<HostName>>,
    pub(super) peers: BTreeMap<HostName, Peer>,
    pub(super) links: BTreeMap<HostName, EntryHost>,
    pub(super) denials: Vec<Denial>,
    pub(super) acting: BTreeSet<PoolShard>,
    /// The shards among them that an earlier candidate may have taken over while
    /// this process suspended.
    pub(super) unconfirmed: BTreeSet<PoolShard>,
    pub(super) owners: BTreeMap<PoolShard, OwnerView>,
    pub(super) load_permille: u16,
    pub(super) stop_requested: bool,
    pub(super) stopping_since: Option<Moment>,
    /// Whether acting, owners and watches have to be looked at again.
    pub(super) changed: bool,
    /// When time alone changes them.
    pub(super) recheck_at: Moment,
    pub(super) wake_at: Moment,
}

impl Membership {
    /// Get the view of a host that has just started.
    pub fn new(me: HostIncarnation, opts: MembershipOptions, _now: Moment) -> Self {
        Membership {
            me,
            opts,
            hosts: BTreeMap::new(),
            live_count: 0,
            shards: BTreeSet::new(),
            used_shards: BTreeSet::new(),
            candidates: BTreeMap::new(),
            peers: BTreeMap::new(),
            links: BTreeMap::new(),
            denials: Vec::new(),
            acting: BTreeSet::new(),
            unconfirmed: BTreeSet::new(),
            owners: BTreeMap::new(),
            load_permille: 0,
            stop_requested: false,
            stopping_since: None,
            changed: false,
            recheck_at: Moment::NEVER,
            wake_at: Moment::NEVER,
        }
    }

    /// Put other time bounds in force; the next event looks at everything anew.
    pub fn set_opts(&mut self, opts: MembershipOptions) {
        self.changed |= opts != self.opts;
        self.opts = opts;
    }

    /// Take one event and get what is to be done.
    pub fn handle(&mut self, now: Moment, event: MembershipEvent) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        // A process that suspended learns it here at the latest. Otherwise the
        // first tick after the sleep would find every peer silent, and this
        // host would act for shards that others own.
        self.invalidate_after_suspension(now, now.since(self.wake_at), &mut actions);
        // Heartbeats and ticks are many and mostly change nothing.
        self.changed |= !matches!(
            event,
            MembershipEvent::Heartbeat(..) | MembershipEvent::Traffic(_) | MembershipEvent::Tick
        );
        match event {
            MembershipEvent::Hosts(list) => self.handle_hosts(now, list, &mut actions),
            MembershipEvent::Shards(shards) => {
                self.shards = shards.into_iter().collect();
                self.rank_candidates();
            }
            MembershipEvent::Using(shard, used) => self.handle_use(shard, used),
            MembershipEvent::LinkUp(run) => self.handle_link_up(now, run, &mut actions),
            MembershipEvent::LinkDown(run) => self.handle_link_down(now, &run),
            MembershipEvent::Heartbeat(host, heartbeat) => {
                self.handle_heartbeat(now, host, &heartbeat, &mut actions)
            }
            // Only heartbeats prove both directions; other traffic may flow
            // one way for long.
            MembershipEvent::Traffic(_) => return actions,
            MembershipEvent::NotOwner(host, shard) => self.handle_denial(now, host, shard),
            MembershipEvent::Load(permille) => self.load_permille = permille,
            MembershipEvent::Stop => {
                self.stop_requested = true;
                self.begin_stop(now, &mut actions);
            }
            MembershipEvent::Tick => {}
            MembershipEvent::Resumed(suspended) => {
                self.invalidate_after_suspension(now, suspended, &mut actions)
            }
        }
        self.reconcile(now, &mut actions);
        actions
    }

    /// Get when the next tick is due.
    pub fn next_wake(&self) -> Moment {
        self.wake_at
    }

    /// Get what is known of each peer.
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

    /// Get the acting owner of a shard that this host uses or acts for.
    pub fn owner_of(&self, shard: &PoolShard) -> Option<&HostName> {
        if self.acting.contains(shard) && !self.used_shards.contains(shard) {
            return Some(&self.me.host);
        }
        self.owners.get(shard).and_then(OwnerView::host)
    }

    /// Get the time between two heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        self.opts.heartbeat
    }

    /// Get the time without an answer after which another host may act in this
    /// one's place.
    pub fn suspect_after(&self) -> Duration {
        self.opts.suspect_after
    }

    /// Get whether a host has said that it stops.
    pub fn is_stopping(&self, host: &HostName) -> bool {
        self.peers.get(host).is_some_and(|peer| peer.stopping)
    }

    /// Get whether a host is silent.
    pub fn is_unreachable(&self, host: &HostName) -> bool {
        let peer = self.peers.get(host);
        peer.is_some_and(|peer| peer.reachable == Some(false))
    }

    /// Get the hosts whose word an owner of the shard needs before it runs what
    /// must not run twice.
    pub fn key_quorum(&self, shard: &PoolShard) -> KeyQuorum {
        let candidates = self.candidates.get(shard).cloned().unwrap_or_default();
        let is_lost = |host: &EntryHost| {
            let peer = self.peers.get(&host.name);
            peer.is_some_and(|peer| peer.reachable == Some(false))
        };
        let awaited = self.live_hosts().filter(|host| !is_lost(host));
        KeyQuorum {
            candidates,
            awaited: awaited.map(|host| host.name.clone()).collect(),
        }
    }

    /// Get the shards for which this host acts as owner.
    pub fn acting_shards(&self) -> Vec<PoolShard> {
        self.acting.iter().cloned().collect()
    }

    fn handle_hosts(&mut self, now: Moment, list: HostList, actions: &mut Vec<MembershipAction>) {
        self.hosts = list
            .hosts
            .into_iter()
            .map(|host| (host.name.clone(), host))
            .collect();
        self.live_count = self.live_hosts().count();
        let leaving = match self.hosts.get(&self.me.host) {
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
        run: HostIncarnation,
        actions: &mut Vec<MembershipAction>,
    ) {
        if run.host == self.me.host {
            return;
        }
        let peer = self.peers.entry(run.host.clone()).or_default();
        // A run that its successor has replaced may wake from a pause and
        // link again. Taken for the newer one, it would make the successor
        // count as gone, and the slots it uses would be given out twice.
        if peer.is_retired(run.incarnation) {
            return;
        }
        let replaced = peer.link_up(now, run.incarnation);
        if let Some(replaced) = replaced {
            self.denials.retain(|denial| denial.host != run.host);
            self.clear_owner(&run.host);
            actions.push(MembershipAction::HostTerminated(run.host, replaced));
        }
    }

    /// Forget that a host owns shards, so that its new run is announced as a
    /// new owner: it knows nothing of the work and the keys that this host
    /// told the earlier one, and would give them out a second time.
    fn clear_owner(&mut self, host: &HostName) {
        for owner in self.owners.values_mut() {
            if owner.host() == Some(host) {
                *owner = OwnerView::Unknown;
            }
        }
    }

    fn handle_link_down(&mut self, now: Moment, run: &HostIncarnation) {
        match self.peers.get_mut(&run.host) {
            Some(peer) if peer.incarnation == Some(run.incarnation) => peer.link_down(now),
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
        let change = peer.record_heartbeat(now, heartbeat);
        self.changed |= peer.state() != before;
        let answer = peer.answer(heartbeat);
        if change == Some(PathChange::Reachable) {
            actions.push(MembershipAction::Log(Incident::PeerReachable, host.clone()));
        }
        if let Some(heard) = answer {
            let heartbeat = self.build_heartbeat(0, heard);
            actions.push(MembershipAction::Send(host, heartbeat));
        }
    }

    fn handle_denial(&mut self, now: Moment, host: HostName, shard: PoolShard) {
        let mut denials = self.denials.iter();
        let place = denials.position(|denial| denial.matches(&host, &shard));
        let earlier = place.map(|place| self.denials.swap_remove(place));
        let denial = Denial::new(now, host, shard, earlier.as_ref(), &self.opts);
        self.denials.push(denial);
    }

    /// Tell all linked peers at once: the next candidate takes over and users
    /// turn to it before this host ceases to act.
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

    /// Distrust everything after a sleep long enough for others to suspect
    /// this host.
    ///
    /// What goes wrong: a paused owner wakes and still counts as owner of
    /// shards that another candidate took over, or finds all others silent
    /// and takes over theirs; two owners would hand out the same slots. One
    /// would notice it by targets that report more work than their owner
    /// counts. So it proves each path anew, and ceases to act wherever it is not
    /// first. After a sleep in which nobody can have taken over, it goes on
    /// until an earlier candidate answers: otherwise its shards would have no
    /// owner until all before it are found out anew.
    fn invalidate_after_suspension(
        &mut self,
        now: Moment,
        suspended: Duration,
        actions: &mut Vec<MembershipAction>,
    ) {
        if suspended < self.opts.suspect_after / 2 {
            return;
        }
        self.changed = true;
        for peer in self.peers.values_mut() {
            peer.reset_path(now);
        }
        if suspended < self.opts.suspect_after {
            self.unconfirmed.clone_from(&self.acting);
            return;
        }
        let (candidates, me) = (&self.candidates, &self.me.host);
        self.acting.retain(|shard| {
            let first = candidates.get(shard).and_then(|hosts| hosts.first());
            let keeps = first == Some(me);
            if !keeps {
                actions.push(MembershipAction::Act(shard.clone(), false));
            }
            keeps
        });
    }

    fn live_hosts(&self) -> impl Iterator<Item = &EntryHost> {
        self.hosts
            .values()
            .filter(|host| host.standing == Standing::Live)
    }

    fn rank(&self, shard: &PoolShard) -> Vec<HostName> {
        let mut ranked = candidates(shard, self.live_hosts());
        if self.stopping_since.is_some() {
            ranked.retain(|host| *host != self.me.host);
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
