//! Provides what a host thinks of one shard's candidates: who may act, who
//! acts in its view, and whom it has to watch for that.

use super::options::MembershipOptions;
use crate::clock::Moment;
use crate::host::HostName;

/// A `CandidateState` is what a host knows of one candidate of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CandidateState {
    /// Not yet known.
    Unknown,
    /// It cannot be reached, is stopping, or has said for long that it does not
    /// act.
    Unavailable,
    /// It said a moment ago that it does not act.
    Denied,
    /// It said so some time ago, and may be asked again where nobody else is.
    Retry,
    /// It answers, but not for long.
    Reachable,
    /// It has answered for so long that work may go back to it.
    Stable,
}

impl CandidateState {
    /// Get whether it answers.
    pub(super) fn is_usable(self) -> bool {
        matches!(self, CandidateState::Reachable | CandidateState::Stable)
    }
}

/// A `Candidate` is one candidate of a shard in the view of a host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) host: &'a HostName,
    pub(super) state: CandidateState,
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

/// An `OwnerView` is the acting owner in a host's view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum OwnerView {
    /// Nothing is known yet.
    #[default]
    Unknown,
    /// No candidate is reachable.
    NoHost,
    /// This candidate acts.
    Host(HostName),
}

impl OwnerView {
    /// Get the host, if there is one.
    pub(super) fn host(&self) -> Option<&HostName> {
        match self {
            OwnerView::Host(host) => Some(host),
            _ => None,
        }
    }
}

/// Get whether a candidate acts, given those before it.
///
/// Taking over asks for more than going on does: all before it have to be
/// out, and it goes on until one of them was reachable for long. With one
/// bound for both, a flapping link would move the owner at its own pace, and
/// each move makes all users ask anew.
pub(super) fn may_act(mut earlier: impl Iterator<Item = CandidateState>, acting: bool) -> bool {
    match acting {
        true => earlier.all(|state| state != CandidateState::Stable),
        false => earlier.all(|state| state == CandidateState::Unavailable),
    }
}

/// Get the acting owner after a change, given the one before it.
pub(super) fn choose(candidates: &[Candidate<'_>], current: &OwnerView) -> OwnerView {
    let first = candidates.iter().find(|c| !c.is_skipped());
    let kept = candidates
        .iter()
        .find(|c| Some(c.host) == current.host() && c.is_usable());
    match (first, kept) {
        // Work goes back to an earlier candidate only when it is steady.
        (Some(first), Some(_)) if first.state == CandidateState::Stable => {
            OwnerView::Host(first.host.clone())
        }
        (_, Some(kept)) => OwnerView::Host(kept.host.clone()),
        (Some(first), None) if first.is_usable() => OwnerView::Host(first.host.clone()),
        // The next one is being asked: that takes at most the suspicion time.
        (Some(_), None) => current.clone(),
        (None, None) => choose_denied(candidates),
    }
}

/// Get the owner's view where no candidate is left but such as said that they
/// do not act.
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
/// first that is not out, so that a later one is asked only when needed and a
/// return of an earlier one is seen.
pub(super) fn watched_by_user<'a>(candidates: &[Candidate<'a>]) -> Vec<&'a HostName> {
    let first = candidates.iter().position(|c| !c.is_skipped());
    let end = match first {
        Some(first) => first + 1,
        None => candidates.len(),
    };
    candidates[..end].iter().map(|c| c.host).collect()
}

/// A `Denial` is a peer's word that it does not act for a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Denial {
    pub(super) host: HostName,
    pub(super) shard: crate::pool::PoolShard,
    /// When the peer said so first.
    since: Moment,
    /// When the peer said so last.
    at: Moment,
    /// Until when others are asked in its place.
    pub(super) until: Moment,
    /// Whether it is asked again and has not said so once more.
    retrying: bool,
}

/// Denials are asked about again after this many suspicion times.
const DENIAL_RETENTION: u32 = 2;

impl Denial {
    /// Get a denial that came now, beside an earlier one of the same peer.
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

    /// Get whether it is this host's word on this shard.
    pub(super) fn matches(&self, host: &HostName, shard: &crate::pool::PoolShard) -> bool {
        self.host == *host && self.shard == *shard
    }

    /// Note that the peer is asked again.
    pub(super) fn retry(&mut self) {
        self.retrying = true;
    }

    /// Get what the peer counts as; `None` where it is asked again and has not
    /// denied since.
    ///
    /// Hosts notice an owner's death, or each other's start, some hundred
    /// milliseconds apart. Whoever notices first asks the next candidate, which
    /// does not act yet. Where no other is left to ask, it is therefore asked
    /// again with each heartbeat for one suspicion time. Taken for out at once,
    /// it would leave that host on its own for two of them: its requests would
    /// wait, or run by its own fraction, while the shard has an owner.
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

    fn retries_at(&self, opts: &MembershipOptions) -> Moment {
        self.at.plus(opts.heartbeat)
    }

    /// Get when the state changes next.
    pub(super) fn changes_at(&self, now: Moment, opts: &MembershipOptions) -> Moment {
        let changes = [
            self.retries_at(opts),
            self.since.plus(opts.suspect_after),
            self.until,
        ];
        let later = changes.into_iter().filter(|at| *at > now);
        later.min().unwrap_or(Moment::NEVER)
    }
}
