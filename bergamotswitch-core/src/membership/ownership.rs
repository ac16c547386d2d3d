//! Provides the decision whether this host acts as owner of a shard, based on what
//! the other candidates report about themselves.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::MembershipAction;
use super::machine::Membership;
use super::options::MembershipOptions;
use super::shard_view::CandidateState;
use crate::clock::Moment;
use crate::host::HostName;
use crate::link::ShardTerm;
use crate::pool::PoolShard;

/// The term of an owner that has not acted for long. A host that has just started may know
/// no other host yet, and must not supersede an owner that others follow.
const INITIAL_TERM: u64 = 0;

/// An `ActingTerm` is the term in which this host acts for a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ActingTerm {
    pub(super) number: u64,
    since: Moment,
}

impl ActingTerm {
    /// Get when the initial term ends, if it is one.
    fn ends_at(&self, opts: &MembershipOptions) -> Option<Moment> {
        (self.number == INITIAL_TERM).then(|| self.since.plus(opts.failback_after))
    }

    /// End the initial term of an owner that has acted for long enough.
    fn advance(mut self, now: Moment, opts: &MembershipOptions) -> Self {
        if self.ends_at(opts).is_some_and(|end| now >= end) {
            self.number = INITIAL_TERM + 1;
        }
        self
    }
}

/// A `Precedence` orders the owners of a shard: of several, the one with the highest term
/// continues, in the same term the candidate that is ranked first.
pub(super) type Precedence = (u64, Reverse<usize>);

/// A `ReportedOwnership` is what a candidate has reported about its ownership of a
/// shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportedOwnership {
    /// The candidate acts in this term.
    Acting(u64),
    /// The candidate does not act.
    Idle,
    /// The candidate has reported nothing. A reachable one belongs to an earlier
    /// release, in which a candidate acts unless an earlier one is available.
    Unreported,
}

/// A `RankedCandidate` is another candidate of a shard as seen by one of its candidates.
struct RankedCandidate {
    rank: usize,
    /// Whether it is ranked before this host.
    is_earlier: bool,
    state: CandidateState,
    /// Whether it answers the heartbeats of this host.
    is_answering: bool,
    ownership: ReportedOwnership,
}

impl RankedCandidate {
    /// Get whether this host may begin to act as far as this candidate is concerned.
    fn permits_takeover(&self) -> bool {
        match (self.state, self.ownership) {
            (CandidateState::Unavailable, _) => true,
            (state, _) if !state.is_usable() => false,
            (_, _) if self.is_earlier => false,
            // Ownership fails back to an earlier candidate once the path is stable.
            (state, ReportedOwnership::Acting(_)) => state == CandidateState::Stable,
            (_, ReportedOwnership::Idle | ReportedOwnership::Unreported) => true,
        }
    }

    fn is_acting(&self) -> bool {
        self.state.is_usable() && matches!(self.ownership, ReportedOwnership::Acting(_))
    }

    /// Get whether this candidate supersedes this host, whose ownership has the given
    /// precedence. One that does not answer may have taken over because the path fails in
    /// one direction.
    fn supersedes(&self, own: Precedence) -> bool {
        match self.ownership {
            _ if !self.state.is_usable() || !self.is_answering => false,
            ReportedOwnership::Acting(term) => (term, Reverse(self.rank)) > own,
            ReportedOwnership::Idle => false,
            ReportedOwnership::Unreported => {
                self.is_earlier && self.state == CandidateState::Stable
            }
        }
    }
}

impl Membership {
    /// Get what a peer has reported about its ownership of a shard.
    pub(super) fn reported_ownership(
        &self,
        shard: &PoolShard,
        host: &HostName,
    ) -> ReportedOwnership {
        let terms = self.peers.get(host).and_then(|peer| peer.terms.as_ref());
        match terms.map(|terms| terms.get(shard)) {
            Some(Some(term)) => ReportedOwnership::Acting(*term),
            Some(None) => ReportedOwnership::Idle,
            None => ReportedOwnership::Unreported,
        }
    }

    /// Get the term in which a host acts for a shard; `None` if it is not known to act.
    pub(super) fn term_of(&self, shard: &PoolShard, host: &HostName) -> Option<u64> {
        if *host == self.identity.host {
            return self.acting.get(shard).map(|acting| acting.number);
        }
        match self.reported_ownership(shard, host) {
            ReportedOwnership::Acting(term) => Some(term),
            ReportedOwnership::Idle | ReportedOwnership::Unreported => None,
        }
    }

    /// Record the shards that a peer acts for.
    pub(super) fn record_ownership(
        &mut self,
        host: &HostName,
        terms: Vec<ShardTerm>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        let terms = terms.into_iter().map(|acting| (acting.shard, acting.term));
        let terms: BTreeMap<PoolShard, u64> = terms.collect();
        for (shard, term) in &terms {
            let highest = self.highest_terms.entry(shard.clone()).or_default();
            *highest = (*highest).max(*term);
        }
        let former = peer.terms.replace(terms).unwrap_or_default();
        let terms = peer.terms.iter().flatten();
        for shard in self.acting.keys() {
            let mut claims = terms.clone().filter(|(claimed, _)| *claimed == shard);
            let claimed = claims.next().map(|(_, term)| term);
            if claimed == former.get(shard) {
                continue;
            }
            if claimed.is_some() {
                actions.push(MembershipAction::LogContest(host.clone(), shard.clone()));
            }
            actions.push(MembershipAction::Contested(shard.clone()));
        }
    }

    /// Recompute the shards that this host acts for, and report changes to all linked
    /// peers.
    pub(super) fn update_acting(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        let mut acting = BTreeMap::new();
        for shard in &self.shards {
            if self.should_act(now, shard) {
                acting.insert(shard.clone(), self.current_term(now, shard));
            }
        }
        let former = std::mem::replace(&mut self.acting, acting);
        for ended in former.keys() {
            if !self.acting.contains_key(ended) {
                actions.push(MembershipAction::Act(ended.clone(), false));
            }
        }
        for (begun, acting) in &self.acting {
            let highest = self.highest_terms.entry(begun.clone()).or_default();
            *highest = (*highest).max(acting.number);
            if !former.contains_key(begun) {
                actions.push(MembershipAction::Act(begun.clone(), true));
            }
        }
        let report = self.ownership_report();
        if report != self.reported {
            self.reported = report;
            self.report_ownership(actions);
        }
    }

    /// Get the term in which this host acts for a shard from now on.
    fn current_term(&self, now: Moment, shard: &PoolShard) -> ActingTerm {
        match self.acting.get(shard) {
            Some(acting) => acting.advance(now, &self.opts),
            None => ActingTerm {
                number: self.next_term(now, shard),
                since: now,
            },
        }
    }

    /// Get when the next initial term ends.
    pub(super) fn next_term_end(&self) -> Option<Moment> {
        let acting = self.acting.values();
        acting.filter_map(|acting| acting.ends_at(&self.opts)).min()
    }

    /// Get the term of a new ownership. Only a failback begins a new term: a candidate
    /// that merely lost the path to the owner must not supersede it, or ownership would
    /// move with every flap of a link.
    fn next_term(&self, now: Moment, shard: &PoolShard) -> u64 {
        let reported = self.peers.values().filter_map(|peer| peer.terms.as_ref());
        let reported = reported.filter_map(|terms| terms.get(shard));
        let known = self.highest_terms.get(shard).into_iter().chain(reported);
        let highest = known.copied().max().unwrap_or(INITIAL_TERM);
        let others = self.other_candidates(now, shard).unwrap_or_default();
        match others.iter().any(RankedCandidate::is_acting) {
            true => highest.saturating_add(1),
            false => highest,
        }
    }

    fn report_ownership(&self, actions: &mut Vec<MembershipAction>) {
        let report = &self.reported;
        let linked = self.peers.iter().filter(|(_, peer)| peer.connected);
        for (host, _) in linked {
            actions.push(MembershipAction::SendOwnership(
                host.clone(),
                report.clone(),
            ));
        }
    }

    /// Get the shards that this host acts for, to be reported to peers.
    fn ownership_report(&self) -> Vec<ShardTerm> {
        let terms = self.acting.iter().map(|(shard, acting)| ShardTerm {
            shard: shard.clone(),
            term: acting.number,
        });
        terms.collect()
    }

    /// Get the host to which this host hands a shard over: the owner if it is another
    /// host, or the first other candidate that is available.
    pub fn successor_of(&self, now: Moment, shard: &PoolShard) -> Option<&HostName> {
        let own_name = &self.identity.host;
        let owner = self.owner_of(shard).filter(|owner| *owner != own_name);
        let mut others = self.candidates.get(shard)?.iter();
        owner.or_else(|| others.find(|host| self.state_of(now, shard, host).is_usable()))
    }

    fn should_act(&self, now: Moment, shard: &PoolShard) -> bool {
        let acting = self.acting.get(shard);
        if let Some(since) = self.stopping_since {
            return acting.is_some() && now < since.plus(self.opts.handover);
        }
        let (Some(rank), Some(others)) = (self.own_rank(shard), self.other_candidates(now, shard))
        else {
            return false;
        };
        match acting {
            Some(acting) => {
                let own = (acting.number, Reverse(rank));
                !others.iter().any(|other| other.supersedes(own))
            }
            None => others.iter().all(RankedCandidate::permits_takeover),
        }
    }

    fn own_rank(&self, shard: &PoolShard) -> Option<usize> {
        let mut hosts = self.candidates.get(shard)?.iter();
        hosts.position(|host| *host == self.identity.host)
    }

    /// Get the other candidates of a shard; `None` if this host is no candidate.
    fn other_candidates(&self, now: Moment, shard: &PoolShard) -> Option<Vec<RankedCandidate>> {
        let own_rank = self.own_rank(shard)?;
        let hosts = self.candidates.get(shard)?;
        let others = hosts
            .iter()
            .enumerate()
            .filter(|(rank, _)| *rank != own_rank);
        let ranked = others.map(|(rank, host)| RankedCandidate {
            rank,
            is_earlier: rank < own_rank,
            state: self.state_of(now, shard, host),
            is_answering: self.is_answering(now, host),
            ownership: self.reported_ownership(shard, host),
        });
        Some(ranked.collect())
    }

    fn is_answering(&self, now: Moment, host: &HostName) -> bool {
        let peer = self.peers.get(host);
        peer.is_some_and(|peer| peer.is_answering(now, &self.opts))
    }

    /// Cease to act where another candidate may have taken over during a pause. This host
    /// acts again unless another candidate reports that it does.
    pub(super) fn cease_after_pause(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        let mut acting = std::mem::take(&mut self.acting);
        acting.retain(|shard, _| {
            let others = self.other_candidates(now, shard).unwrap_or_default();
            let keeps = others.iter().all(RankedCandidate::permits_takeover);
            if !keeps {
                actions.push(MembershipAction::Act(shard.clone(), false));
            }
            keeps
        });
        self.acting = acting;
    }
}
