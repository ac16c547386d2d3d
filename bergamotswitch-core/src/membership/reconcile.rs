//! Provides the recomputation of the membership state after each event: the
//! reachability of peers, the shards this host acts for, the owners of the
//! shards it uses, and the peers it watches.

use std::collections::BTreeMap;

use super::MembershipAction;
use super::machine::Membership;
use super::ownership::ReportedOwnership;
use super::peer::{PathChange, WatchRate};
use super::shard_view::{self, Candidate, CandidateState, Denial, OwnerView};
use crate::clock::Moment;
use crate::host::{EntryHost, HostName, Standing};
use crate::incident::Incident;
use crate::link::Heartbeat;
use crate::pool::PoolShard;

impl Membership {
    pub(super) fn reconcile(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        self.check_peers(now, actions);
        if self.changed || now >= self.recheck_at {
            self.changed = false;
            self.update_denials(now);
            self.drop_terminated(now, actions);
            self.update_acting(now, actions);
            // Watches depend on the chosen owners: when an owner is
            // unreachable, the next candidate has to be watched. A change of
            // the watches triggers another recomputation.
            self.update_owners(now, actions);
            self.update_watches(now, actions);
            self.recheck_at = self.find_recheck(now);
        }
        self.send_heartbeats(now, actions);
        self.wake_at = self.find_wake();
    }

    fn check_peers(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        for (host, peer) in &mut self.peers {
            if peer.check_timeout(now, &self.opts) == Some(PathChange::Unreachable) {
                self.changed = true;
                actions.push(MembershipAction::LogIncident(
                    Incident::PeerUnreachable,
                    host.clone(),
                ));
            }
        }
    }

    /// Drop peers that were removed from the host list and have been
    /// unreachable for long. Unreachability alone never counts as termination:
    /// behind a partition a host's requests keep running, and slots reclaimed
    /// from it would be used twice.
    fn drop_terminated(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        let termination_after = self.opts.termination_after;
        let hosts = &self.hosts;
        self.peers.retain(|name, peer| {
            if !is_delisted(hosts, name) {
                return true;
            }
            match peer.incarnation {
                Some(incarnation) if peer.has_been(false, now, termination_after) => {
                    actions.push(MembershipAction::HostTerminated(name.clone(), incarnation));
                    false
                }
                Some(_) => true,
                None => false,
            }
        });
    }

    pub(super) fn state_of(
        &self,
        now: Moment,
        shard: &PoolShard,
        host: &HostName,
    ) -> CandidateState {
        if *host == self.identity.host {
            return match self.acting.contains_key(shard) {
                true => CandidateState::Stable,
                false => CandidateState::Unavailable,
            };
        }
        match self.peers.get(host) {
            None => CandidateState::Unknown,
            Some(peer) if peer.stopping => CandidateState::Unavailable,
            Some(peer) if peer.is_stable(now, &self.opts) => CandidateState::Stable,
            Some(peer) => match peer.reachable {
                Some(true) => CandidateState::Reachable,
                Some(false) => CandidateState::Unavailable,
                None => CandidateState::Unknown,
            },
        }
    }

    fn view<'a>(
        &self,
        now: Moment,
        shard: &PoolShard,
        hosts: &'a [HostName],
    ) -> Vec<Candidate<'a>> {
        hosts
            .iter()
            .map(|host| Candidate {
                host,
                state: self.lookup_state(now, shard, host),
                term: self.term_of(shard, host),
            })
            .collect()
    }

    /// Get a candidate's state for the lookup of an owner. A candidate that
    /// denied ownership is skipped for a while. A denial is no reason to act in
    /// its place while the path to it works: it takes over itself once it
    /// detects the failure of the earlier candidate, and two owners would then
    /// dispatch for the shard, each without the other's keys. Nor is it one while
    /// the state of the path is not known, as after a pause of this process.
    fn lookup_state(&self, now: Moment, shard: &PoolShard, host: &HostName) -> CandidateState {
        let mut denials = self.denials.iter();
        let denial = denials.find(|denial| denial.matches(host, shard));
        let denied = match self.is_idle(shard, host) {
            true => denial.map(|denial| denial.idle_state(now, &self.opts)),
            false => denial.and_then(|denial| denial.state(now, &self.opts)),
        };
        let state = self.state_of(now, shard, host);
        match (denied, state) {
            _ if state.is_usable() && self.term_of(shard, host).is_some() => state,
            (Some(denied), CandidateState::Reachable | CandidateState::Stable) => denied,
            (Some(_), CandidateState::Unknown) => CandidateState::Denied,
            (Some(_), _) => CandidateState::Unavailable,
            (None, state) => state,
        }
    }

    fn is_idle(&self, shard: &PoolShard, host: &HostName) -> bool {
        self.reported_ownership(shard, host) == ReportedOwnership::Idle
    }

    /// Count a candidate that reports that it does not act as one that denies
    /// ownership, for as long as it does.
    fn update_denials(&mut self, now: Moment) {
        let mut denials = std::mem::take(&mut self.denials);
        denials.retain(|denial| now < denial.until || self.is_idle(&denial.shard, &denial.host));
        for shard in &self.used_shards {
            for host in self.candidates.get(shard).into_iter().flatten() {
                let is_known = denials.iter().any(|denial| denial.matches(host, shard));
                if !is_known && self.is_idle(shard, host) {
                    let denial = Denial::new(now, host.clone(), shard.clone(), None, &self.opts);
                    denials.push(denial);
                }
            }
        }
        denials.retain(|denial| self.term_of(&denial.shard, &denial.host).is_none());
        self.denials = denials;
    }

    /// Restart the denials for each shard whose owner has been lost. A peer that denied
    /// ownership while that owner was alive may act by now, or will once it detects the
    /// loss as well.
    fn restart_denials(&mut self, now: Moment) {
        let mut denials = std::mem::take(&mut self.denials);
        for denial in &mut denials {
            let lost = self.lost_owner(now, &denial.shard);
            if lost.is_some_and(|lost| *lost != denial.host) {
                denial.restart(now);
            }
        }
        self.denials = denials;
    }

    /// Get the last known owner of a shard if it is no longer available.
    fn lost_owner(&self, now: Moment, shard: &PoolShard) -> Option<&HostName> {
        let owner = self.owners.get(shard).and_then(OwnerView::host)?;
        let is_candidate = self.candidates.get(shard)?.contains(owner);
        let is_available = self.state_of(now, shard, owner) != CandidateState::Unavailable
            && !self.is_idle(shard, owner);
        (!is_candidate || !is_available).then_some(owner)
    }

    fn update_owners(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        self.restart_denials(now);
        let mut owners = BTreeMap::new();
        for shard in &self.used_shards {
            let before = self.owners.get(shard).cloned().unwrap_or_default();
            let after = self.choose_owner(now, shard, &before);
            if after != before && after != OwnerView::Unknown {
                let host = after.host().cloned();
                actions.push(MembershipAction::OwnerChanged(shard.clone(), host));
            }
            owners.insert(shard.clone(), after);
        }
        self.owners = owners;
        for denial in &mut self.denials {
            let owner = self.owners.get(&denial.shard).and_then(OwnerView::host);
            let is_retry = denial.state(now, &self.opts) == Some(CandidateState::Retry);
            if is_retry && owner == Some(&denial.host) {
                denial.retry();
            }
        }
    }

    fn choose_owner(&self, now: Moment, shard: &PoolShard, before: &OwnerView) -> OwnerView {
        let hosts = match self.candidates.get(shard) {
            Some(hosts) => hosts,
            None => return OwnerView::NoHost,
        };
        let after = shard_view::choose(&self.view(now, shard, hosts), before);
        // This host has ceased to act, and the state of another candidate is not known
        // yet. That candidate may have taken over while this process was paused.
        match after.host() == Some(&self.identity.host) && !self.acting.contains_key(shard) {
            true => OwnerView::Unknown,
            false => after,
        }
    }

    fn update_watches(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        let wanted = self.wanted_watches(now);
        for (host, peer) in &mut self.peers {
            let rate = wanted.get(host).copied();
            self.changed |= peer.watched != rate;
            peer.watch(now, rate);
        }
        for (host, rate) in &wanted {
            let peer = self.peers.entry(host.clone()).or_default();
            peer.watch(now, Some(*rate));
            let entry = match self.hosts.get(host) {
                Some(entry) => entry,
                None => continue,
            };
            if self.links.get(host) != Some(entry) {
                self.links.insert(host.clone(), entry.clone());
                actions.push(MembershipAction::Connect(entry.clone()));
            }
        }
        // A stopping host keeps its links, since its peers still have to be
        // notified. The links close with the process.
        if self.stopping_since.is_some() {
            return;
        }
        self.links.retain(|host, _| {
            let keep = wanted.contains_key(host);
            if !keep {
                actions.push(MembershipAction::Disconnect(host.clone()));
            }
            keep
        });
    }

    fn wanted_watches(&self, now: Moment) -> BTreeMap<HostName, WatchRate> {
        let mut wanted = BTreeMap::new();
        for (name, peer) in &self.peers {
            if peer.incarnation.is_some() && is_delisted(&self.hosts, name) {
                wanted.insert(name.clone(), WatchRate::User);
            }
        }
        for shard in &self.used_shards {
            let hosts = match self.candidates.get(shard) {
                Some(hosts) => hosts,
                None => continue,
            };
            let owner = self.owners.get(shard).and_then(OwnerView::host);
            let owner = hosts.iter().find(|host| Some(*host) == owner);
            let view = self.view(now, shard, hosts);
            for host in shard_view::watched_by_user(&view).into_iter().chain(owner) {
                wanted.insert(host.clone(), WatchRate::User);
            }
        }
        for shard in &self.shards {
            let hosts = match self.candidates.get(shard) {
                Some(hosts) if hosts.contains(&self.identity.host) => hosts,
                _ => continue,
            };
            for host in hosts {
                wanted.insert(host.clone(), WatchRate::Candidate);
            }
        }
        wanted.remove(&self.identity.host);
        wanted
    }

    fn send_heartbeats(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        let user_interval = self.opts.user_interval(self.live_count);
        let stopping = self.stopping_since.is_some();
        for (host, peer) in &mut self.peers {
            let counters = match peer.next_heartbeat(now, &self.opts, user_interval) {
                Some(counters) => counters,
                None => continue,
            };
            let heartbeat = Heartbeat {
                sequence: counters.sequence,
                heard: counters.heard,
                stopping,
                load_permille: self.load_permille,
            };
            // Earlier reports may be lost with the path.
            if peer.reachable != Some(true) {
                actions.push(MembershipAction::SendOwnership(
                    host.clone(),
                    self.reported.clone(),
                ));
            }
            actions.push(MembershipAction::Send(host.clone(), heartbeat));
        }
    }

    fn find_wake(&self) -> Moment {
        let user_interval = self.opts.user_interval(self.live_count);
        let wakes = self
            .peers
            .values()
            .map(|peer| peer.wake_at(&self.opts, user_interval));
        wakes.min().unwrap_or(Moment::NEVER).min(self.recheck_at)
    }

    fn find_recheck(&self, now: Moment) -> Moment {
        let peers = self
            .peers
            .values()
            .map(|peer| peer.changes_at(now, &self.opts));
        let denials = self.denials.iter();
        let denials = denials.map(|denial| denial.changes_at(now, &self.opts));
        let handover = self
            .stopping_since
            .map(|since| since.plus(self.opts.handover))
            .filter(|at| *at > now);
        let terms = self.next_term_end().filter(|at| *at > now);
        let next = peers.chain(denials).chain(handover).chain(terms).min();
        next.unwrap_or(Moment::NEVER)
    }
}

/// Get whether a host is missing from the host list or marked as leaving.
fn is_delisted(hosts: &BTreeMap<HostName, EntryHost>, name: &HostName) -> bool {
    match hosts.get(name) {
        Some(host) => host.standing == Standing::Leaving,
        None => true,
    }
}
