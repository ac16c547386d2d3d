//! Provides the state of one peer: its incarnation, and whether both directions
//! of the path to it work.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::Serialize;

use super::options::MembershipOptions;
use crate::clock::Moment;
use crate::host::{HostName, Incarnation};
use crate::link::Heartbeat;
use crate::pool::PoolShard;

/// The number of earlier incarnations that are remembered, so that a delayed
/// link of one of them is not taken for a newer incarnation.
const RETIRED_INCARNATIONS: usize = 4;

/// The time within which heartbeats arrive and are answered over a path that works, in
/// heartbeat intervals.
const ANSWER_HEARTBEATS: u32 = 2;

/// A `PeerView` is the state of one peer as reported to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PeerView {
    /// The name of the peer.
    pub host: HostName,
    /// The last incarnation of the peer that connected.
    pub incarnation: Option<Incarnation>,
    /// Whether both directions of the path work; absent if the peer is not
    /// watched or its state is not known yet.
    pub reachable: Option<bool>,
    /// Whether the peer has announced that it is stopping.
    pub stopping: bool,
    /// The load that the peer reported, in thousandths of its capacity.
    pub load_permille: u16,
}

/// A `WatchRate` is the reason for watching a peer, which determines the
/// heartbeat interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WatchRate {
    /// This host uses a shard that the peer may own, or waits for the
    /// termination of a peer that was removed from the host list.
    User,
    /// Both hosts are candidates of the same shard.
    Candidate,
}

/// A `PathChange` is a transition of a peer's reachability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PathChange {
    /// Both directions of the path work again.
    Reachable,
    /// At least one direction of the path has failed.
    Unreachable,
}

/// A `PeerState` is the part of a peer's state that determines owners and
/// watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PeerState {
    reachable: Option<bool>,
    stopping: bool,
}

/// A `HeartbeatCounters` is the pair of counters in a heartbeat to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HeartbeatCounters {
    pub(super) sequence: u64,
    pub(super) heard: u64,
}

/// A `Peer` is the state of one peer.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    pub(super) incarnation: Option<Incarnation>,
    retired: VecDeque<Incarnation>,
    pub(super) connected: bool,
    /// Whether the next heartbeat of the peer is answered at once: the first one over a
    /// link, or after a silence.
    answers_next: bool,
    pub(super) watched: Option<WatchRate>,
    pub(super) stopping: bool,
    pub(super) load_permille: u16,
    /// The shards that the peer acts for, with their terms; `None` if it has not
    /// reported them, as before the first message, or by an earlier release.
    pub(super) terms: Option<BTreeMap<PoolShard, u64>>,
    pub(super) reachable: Option<bool>,
    /// When `reachable` last changed.
    pub(super) since: Moment,
    /// When the last heartbeat of the peer was received.
    heard_at: Moment,
    /// Since when an answer is outstanding: when the oldest unanswered
    /// heartbeat was sent, or when the link or the watch changed.
    unanswered_since: Option<Moment>,
    /// When the last heartbeat was sent to the peer.
    sent_at: Option<Moment>,
    sequence: u64,
    /// The highest sequence of this host that the peer has acknowledged.
    answered: u64,
    /// The last sequence received from the peer.
    heard: u64,
}

impl Peer {
    /// Start, change or end the watch.
    pub(super) fn watch(&mut self, now: Moment, rate: Option<WatchRate>) {
        if self.watched.is_none() != rate.is_none() {
            self.reset_path(now);
        }
        self.watched = rate;
    }

    /// Reset the reachability of the path, which has to be confirmed again.
    pub(super) fn reset_path(&mut self, now: Moment) {
        self.reachable = None;
        self.since = now;
        self.unanswered_since = Some(now);
        self.sent_at = None;
        // Heartbeats that were queued in a socket while this process was
        // paused acknowledge old sequences; only an acknowledgement of a
        // later one counts.
        self.answered = self.sequence;
    }

    /// Get whether an incarnation has already been replaced.
    pub(super) fn is_retired(&self, incarnation: Incarnation) -> bool {
        self.retired.contains(&incarnation)
    }

    /// Record that a link came up. Get the incarnation that was replaced, if
    /// there was another one.
    pub(super) fn link_up(&mut self, now: Moment, incarnation: Incarnation) -> Option<Incarnation> {
        self.connected = true;
        self.answers_next = true;
        self.sent_at = None;
        let earlier = self.incarnation.replace(incarnation);
        let replaced = match earlier {
            Some(earlier) if earlier != incarnation => earlier,
            _ => return None,
        };
        // The counters belong to the previous incarnation.
        self.sequence = 0;
        self.answered = 0;
        self.heard = 0;
        self.stopping = false;
        self.terms = None;
        self.reset_path(now);
        self.retired.push_back(replaced);
        if self.retired.len() > RETIRED_INCARNATIONS {
            self.retired.pop_front();
        }
        Some(replaced)
    }

    /// Record that the link went down.
    pub(super) fn link_down(&mut self, now: Moment) {
        self.connected = false;
        self.unanswered_since.get_or_insert(now);
    }

    /// Record a heartbeat of the peer.
    pub(super) fn record_heartbeat(
        &mut self,
        now: Moment,
        heartbeat: &Heartbeat,
        opts: &MembershipOptions,
    ) -> Option<PathChange> {
        // An answer has no sequence. A lower one than before comes from a peer that
        // has forgotten this host meanwhile and counts from the start again.
        if heartbeat.sequence > 0 {
            self.heard = heartbeat.sequence;
        }
        let limit = opts.heartbeat.saturating_mul(ANSWER_HEARTBEATS);
        self.answers_next |= now >= self.heard_at.plus(limit);
        self.heard_at = now;
        self.stopping = heartbeat.stopping;
        self.load_permille = heartbeat.load_permille;
        // Heartbeats that do not acknowledge new ones of this host indicate a
        // path that has failed in one direction: the peer suspects this host
        // and would act in its place while this host still relies on the peer.
        // So only a new acknowledgement confirms the path, and both sides
        // detect the failure.
        let advanced = heartbeat.heard > self.answered && heartbeat.heard <= self.sequence;
        if !advanced {
            return None;
        }
        self.answered = heartbeat.heard;
        self.unanswered_since = None;
        if self.watched.is_none() || self.reachable == Some(true) {
            return None;
        }
        let recovered = self.reachable == Some(false);
        self.reachable = Some(true);
        self.since = now;
        match recovered {
            true => Some(PathChange::Reachable),
            false => None,
        }
    }

    /// Check the suspicion timeout and get the change, if the peer has become
    /// unreachable.
    pub(super) fn check_timeout(
        &mut self,
        now: Moment,
        opts: &MembershipOptions,
    ) -> Option<PathChange> {
        if now < self.suspect_at(opts) {
            return None;
        }
        self.reachable = Some(false);
        self.since = now;
        Some(PathChange::Unreachable)
    }

    fn suspect_at(&self, opts: &MembershipOptions) -> Moment {
        if self.watched.is_none() || self.reachable == Some(false) {
            return Moment::NEVER;
        }
        match self.unanswered_since {
            Some(since) => since.plus(opts.suspect_after),
            None => Moment::NEVER,
        }
    }

    /// Get when the next heartbeat is due.
    fn due_at(&self, opts: &MembershipOptions, user_interval: Duration) -> Moment {
        if !self.connected {
            return Moment::NEVER;
        }
        let rate = match self.watched {
            Some(rate) => rate,
            None => return Moment::NEVER,
        };
        let sent_at = match self.sent_at {
            Some(sent_at) => sent_at,
            None => return Moment::START,
        };
        let answered = self.unanswered_since.is_none();
        match rate {
            WatchRate::User if answered => sent_at.plus(user_interval),
            _ => sent_at.plus(opts.heartbeat),
        }
    }

    /// Get when the peer next needs a heartbeat or a check of the timeout.
    pub(super) fn wake_at(&self, opts: &MembershipOptions, user_interval: Duration) -> Moment {
        let due_at = self.due_at(opts, user_interval);
        self.suspect_at(opts).min(due_at)
    }

    /// Get when the peer becomes stable or terminated if nothing else happens.
    pub(super) fn changes_at(&self, now: Moment, opts: &MembershipOptions) -> Moment {
        let changes_at = match self.reachable {
            Some(true) => self.since.plus(opts.failback_after),
            Some(false) => self.since.plus(opts.termination_after),
            None => Moment::NEVER,
        };
        match changes_at > now {
            true => changes_at,
            false => Moment::NEVER,
        }
    }

    /// Get the state that determines owners and watches.
    pub(super) fn state(&self) -> PeerState {
        PeerState {
            reachable: self.reachable,
            stopping: self.stopping,
        }
    }

    /// Get the counters of the next heartbeat and record it as sent, if one is
    /// due.
    pub(super) fn next_heartbeat(
        &mut self,
        now: Moment,
        opts: &MembershipOptions,
        user_interval: Duration,
    ) -> Option<HeartbeatCounters> {
        if now < self.due_at(opts, user_interval) {
            return None;
        }
        self.sequence += 1;
        self.sent_at = Some(now);
        self.unanswered_since.get_or_insert(now);
        Some(HeartbeatCounters {
            sequence: self.sequence,
            heard: self.heard,
        })
    }

    /// Get the sequence to acknowledge in an immediate answer to the heartbeat,
    /// if one is needed. A peer that receives heartbeats at the regular
    /// interval needs one only for the first heartbeat over a link or after a
    /// silence; without it no request could go to a new owner before the next
    /// heartbeat. An answer (sequence 0) is never answered, which would loop
    /// forever.
    pub(super) fn answer(&mut self, heartbeat: &Heartbeat) -> Option<u64> {
        if heartbeat.sequence == 0 {
            return None;
        }
        let answers = std::mem::take(&mut self.answers_next);
        let is_mutual = self.connected && self.watched == Some(WatchRate::Candidate);
        (answers || !is_mutual).then_some(self.heard)
    }

    /// Get when the last heartbeat of the peer was received.
    pub(super) fn heard_at(&self) -> Moment {
        self.heard_at
    }

    /// Get the last sequence received.
    pub(super) fn heard(&self) -> u64 {
        self.heard
    }

    /// Get whether the peer is unreachable and has not sent a heartbeat since it became so.
    /// A peer that resumes after a pause sends heartbeats before both directions of the
    /// path are confirmed.
    pub(super) fn is_lost(&self) -> bool {
        self.reachable == Some(false) && self.heard_at < self.since
    }

    /// Get whether the peer has been reachable for long enough that ownership may fail
    /// back, and still answers. A link that has just failed again is not stable.
    pub(super) fn is_stable(&self, now: Moment, opts: &MembershipOptions) -> bool {
        self.has_been(true, now, opts.failback_after) && self.is_answering(now, opts)
    }

    /// Get whether heartbeats to the peer are answered without delay.
    pub(super) fn is_answering(&self, now: Moment, opts: &MembershipOptions) -> bool {
        let limit = opts.heartbeat.saturating_mul(ANSWER_HEARTBEATS);
        self.unanswered_since
            .is_none_or(|since| now < since.plus(limit))
    }

    /// Get whether the peer's reachability has been `state` for at least
    /// `span`.
    pub(super) fn has_been(&self, state: bool, now: Moment, span: Duration) -> bool {
        self.reachable == Some(state) && now >= self.since.plus(span)
    }
}
