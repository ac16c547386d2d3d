//! Provides one host's view of the candidates of a shard: which one acts, and which
//! ones to watch.

use std::cmp::Reverse;

use super::options::MembershipOptions;
use crate::clock::Moment;
use crate::host::HostName;

/// A `CandidateState` is the state of one candidate of a shard as seen by a
/// host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CandidateState {
    /// The state is not known yet.
    Unknown,
    /// The candidate is unreachable, is stopping, or has denied ownership for
    /// long.
    Unavailable,
    /// The candidate has just denied ownership.
    Denied,
    /// The candidate denied ownership some time ago and may be tried again if
    /// there is no other one.
    Retry,
    /// The candidate is reachable, but not for long enough to be stable.
    Reachable,
    /// The candidate has been reachable for long enough that ownership may fail
    /// back to it.
    Stable,
}

impl CandidateState {
    /// Get whether the candidate is reachable.
    pub(super) fn is_usable(self) -> bool {
        matches!(self, CandidateState::Reachable | CandidateState::Stable)
    }
}

/// A `Candidate` is one candidate of a shard as seen by a host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) host: &'a HostName,
    pub(super) state: CandidateState,
    /// The term in which it reports to act.
    pub(super) term: Option<u64>,
}

impl Candidate<'_> {
    fn is_skipped(&self) -> bool {
        matches!(
            self.state,
            CandidateState::Unavailable | CandidateState::Denied | CandidateState::Retry
        )
    }

    fn is_usable(&self) -> bool {
        self.state.is_usable()
    }
}

/// An `OwnerView` is the acting owner of a shard as seen by a host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum OwnerView {
    /// The owner is not known yet.
    #[default]
    Unknown,
    /// No candidate is reachable.
    NoHost,
    /// This candidate is the acting owner.
    Host(HostName),
}

impl OwnerView {
    /// Get the acting owner, if there is one.
    pub(super) fn host(&self) -> Option<&HostName> {
        match self {
            OwnerView::Host(host) => Some(host),
            _ => None,
        }
    }
}

/// Get the acting owner, given the previous one.
pub(super) fn choose(candidates: &[Candidate<'_>], current: &OwnerView) -> OwnerView {
    if let Some(acting) = reported_owner(candidates, current) {
        return OwnerView::Host(acting.host.clone());
    }
    let first = candidates.iter().find(|c| !c.is_skipped());
    let kept = candidates
        .iter()
        .find(|c| Some(c.host) == current.host() && c.is_usable());
    match (first, kept) {
        // Ownership fails back to an earlier candidate only once that is
        // stable.
        (Some(first), Some(_)) if first.state == CandidateState::Stable => {
            OwnerView::Host(first.host.clone())
        }
        (_, Some(kept)) => OwnerView::Host(kept.host.clone()),
        (Some(first), None) if first.is_usable() => OwnerView::Host(first.host.clone()),
        // The state of the next candidate is known after the suspicion timeout
        // at the latest.
        (Some(_), None) => current.clone(),
        (None, None) => choose_denied(candidates),
    }
}

/// Get the reachable candidate that reports to act. Of several, it is the current owner,
/// which ceases once another one supersedes it; else the one that supersedes the others.
fn reported_owner<'a>(
    candidates: &'a [Candidate<'a>],
    current: &OwnerView,
) -> Option<&'a Candidate<'a>> {
    let acting = candidates.iter().enumerate().filter_map(|(rank, c)| {
        let term = c.term.filter(|_| c.is_usable())?;
        Some((Some(c.host) == current.host(), (term, Reverse(rank)), c))
    });
    let chosen = acting.max_by_key(|(is_current, precedence, _)| (*is_current, *precedence));
    chosen.map(|(_, _, c)| c)
}

/// Get the owner where every remaining candidate has denied ownership.
fn choose_denied(candidates: &[Candidate<'_>]) -> OwnerView {
    let in_state = |state| candidates.iter().find(move |c| c.state == state);
    match (
        in_state(CandidateState::Retry),
        in_state(CandidateState::Denied),
    ) {
        (Some(retry), _) => OwnerView::Host(retry.host.clone()),
        (None, Some(_)) => OwnerView::Unknown,
        (None, None) => OwnerView::NoHost,
    }
}

/// Get the candidates that a user of the shard has to watch: all up to the
/// first that is not skipped. Later ones are contacted only when needed, and
/// the recovery of an earlier one is detected.
pub(super) fn watched_by_user<'a>(candidates: &[Candidate<'a>]) -> Vec<&'a HostName> {
    let first = candidates.iter().position(|c| !c.is_skipped());
    let end = match first {
        Some(first) => first + 1,
        None => candidates.len(),
    };
    candidates[..end].iter().map(|c| c.host).collect()
}

/// A `Denial` is a peer's report that it does not act for a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Denial {
    pub(super) host: HostName,
    pub(super) shard: crate::pool::PoolShard,
    /// When the peer first denied ownership.
    since: Moment,
    /// When the peer last denied ownership.
    at: Moment,
    /// When the denial expires.
    pub(super) until: Moment,
    /// Whether the peer is being tried again and has not denied ownership
    /// since.
    retrying: bool,
}

/// A denial expires after this many suspicion timeouts.
const DENIAL_RETENTION: u32 = 2;

/// The fraction of a heartbeat interval within which a new owner's report arrives.
const REPORT_FRACTION: u32 = 4;

impl Denial {
    /// Create a denial received now, given an earlier one of the same peer.
    pub(super) fn new(
        now: Moment,
        host: HostName,
        shard: crate::pool::PoolShard,
        earlier: Option<&Denial>,
        opts: &MembershipOptions,
    ) -> Self {
        let span = opts.suspect_after.saturating_mul(DENIAL_RETENTION);
        Denial {
            host,
            shard,
            since: earlier.map_or(now, |earlier| earlier.since),
            at: now,
            until: now.plus(span),
            retrying: false,
        }
    }

    /// Get whether this is the denial of the given host for the given shard.
    pub(super) fn matches(&self, host: &HostName, shard: &crate::pool::PoolShard) -> bool {
        self.host == *host && self.shard == *shard
    }

    /// Count the denial as a new one from `now` on, except that the peer may be tried
    /// again at once.
    pub(super) fn restart(&mut self, now: Moment) {
        self.since = now;
    }

    /// Record that the peer is being tried again.
    pub(super) fn retry(&mut self) {
        self.retrying = true;
    }

    /// Get the state of the peer; `None` if it is being tried again and has not
    /// denied ownership since.
    ///
    /// Hosts detect the failure of an owner, or each other's start, at slightly
    /// different times. The first to detect it contacts the next candidate,
    /// which does not act yet. If there is no other candidate, that one is
    /// therefore retried at each heartbeat for one suspicion timeout. If it
    /// counted as unavailable at once, the host would have no owner for two
    /// timeouts: its requests would wait, or run on its own fraction of the
    /// capacity, while the shard has an owner.
    pub(super) fn state(&self, now: Moment, opts: &MembershipOptions) -> Option<CandidateState> {
        if self.retrying {
            return None;
        }
        let waits = now < self.since.plus(opts.suspect_after);
        Some(match (waits, now < self.retries_at(opts)) {
            (true, true) => CandidateState::Denied,
            (true, false) => CandidateState::Retry,
            (false, _) => CandidateState::Unavailable,
        })
    }

    /// Get the state of a peer that reports that it does not act. It needs no other
    /// attempt, because it reports when it begins to.
    pub(super) fn idle_state(&self, now: Moment, opts: &MembershipOptions) -> CandidateState {
        match now < self.idle_until(opts) {
            true => CandidateState::Denied,
            false => CandidateState::Unavailable,
        }
    }

    /// Get until when an idle peer may still be about to act: it detects the loss of the
    /// owner within the suspicion timeout, and its report takes a moment.
    fn idle_until(&self, opts: &MembershipOptions) -> Moment {
        let report_time = opts.heartbeat / REPORT_FRACTION;
        self.since.plus(opts.suspect_after + report_time)
    }

    fn retries_at(&self, opts: &MembershipOptions) -> Moment {
        self.at.plus(opts.heartbeat)
    }

    /// Get when the state changes next.
    pub(super) fn changes_at(&self, now: Moment, opts: &MembershipOptions) -> Moment {
        let changes = [
            self.retries_at(opts),
            self.since.plus(opts.suspect_after),
            self.idle_until(opts),
            self.until,
        ];
        let later = changes.into_iter().filter(|at| *at > now);
        later.min().unwrap_or(Moment::NEVER)
    }
}
