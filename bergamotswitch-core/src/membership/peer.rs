//! Provides what a host knows of one peer: its run, and whether both
//! directions of the path work.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;

use super::options::MembershipOptions;
use crate::clock::Moment;
use crate::host::{HostName, Incarnation};
use crate::link::Heartbeat;

/// Earlier runs that are remembered, so that a link of one of them, paused
/// and late, is not taken for a newer run.
const RETIRED_RUNS: usize = 4;

/// A `PeerView` is what a host knows of one peer, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PeerView {
    /// The peer.
    pub host: HostName,
    /// The last run of it that was linked.
    pub incarnation: Option<Incarnation>,
    /// Whether both directions work; absent where not watched or not known.
    pub reachable: Option<bool>,
    /// Whether it said that it is stopping.
    pub stopping: bool,
    /// How busy it said to be, in thousandths of what it can carry.
    pub load_permille: u16,
}

/// A `WatchRate` is why a peer is watched, and so how often it is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WatchRate {
    /// This host uses a shard that the peer may own, or waits for the end of
    /// a peer that the list dropped.
    User,
    /// Both are candidates of a shard.
    Candidate,
}

/// A `PathChange` is a change of a peer's reachability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PathChange {
    /// Both directions work again.
    Reachable,
    /// At least one direction does not work.
    Unreachable,
}

/// A `PeerState` is what owners and watches are chosen by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PeerState {
    reachable: Option<bool>,
    stopping: bool,
}

/// A `HeartbeatCounters` is the counters of a heartbeat that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HeartbeatCounters {
    pub(super) sequence: u64,
    pub(super) heard: u64,
}

/// A `Peer` is what a host knows of one peer.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    pub(super) incarnation: Option<Incarnation>,
    retired: VecDeque<Incarnation>,
    pub(super) connected: bool,
    /// Whether no heartbeat came over the link yet.
    awaiting_first: bool,
    pub(super) watched: Option<WatchRate>,
    pub(super) stopping: bool,
    pub(super) load_permille: u16,
    pub(super) reachable: Option<bool>,
    /// Since when `reachable` has its value.
    pub(super) since: Moment,
    /// When the oldest heartbeat without an answer was sent or due.
    unanswered_since: Option<Moment>,
    /// The last heartbeat sent to the peer.
    sent_at: Option<Moment>,
    sequence: u64,
    /// The highest sequence of this host that the peer said to have heard.
    answered: u64,
    /// The highest sequence heard from the peer.
    heard: u64,
}

impl Peer {
    /// Begin, change or end the watch.
    pub(super) fn watch(&mut self, now: Moment, rate: Option<WatchRate>) {
        if self.watched.is_none() != rate.is_none() {
            self.reset_path(now);
        }
        self.watched = rate;
    }

    /// Forget what was believed of the path: it has to be confirmed anew.
    pub(super) fn reset_path(&mut self, now: Moment) {
        self.reachable = None;
        self.since = now;
        self.unanswered_since = Some(now);
        self.sent_at = None;
        // Heartbeats that waited in a socket while this process suspended answer
        // older ones; only an answer to a later one proves anything now.
        self.answered = self.sequence;
    }

    /// Get whether the run is an earlier one, late.
    pub(super) fn is_retired(&self, run: Incarnation) -> bool {
        self.retired.contains(&run)
    }

    /// Take note of a link; get the run that is gone, if it is another one.
    pub(super) fn link_up(&mut self, now: Moment, run: Incarnation) -> Option<Incarnation> {
        self.connected = true;
        self.awaiting_first = true;
        self.sent_at = None;
        let earlier = self.incarnation.replace(run);
        let replaced = match earlier {
            Some(earlier) if earlier != run => earlier,
            _ => return None,
        };
        // The numbers of the earlier run say nothing of this one.
        self.sequence = 0;
        self.answered = 0;
        self.heard = 0;
        self.stopping = false;
        self.reset_path(now);
        self.retired.push_back(replaced);
        if self.retired.len() > RETIRED_RUNS {
            self.retired.pop_front();
        }
        Some(replaced)
    }

    /// Take note that the link is gone.
    pub(super) fn link_down(&mut self, now: Moment) {
        self.connected = false;
        self.unanswered_since.get_or_insert(now);
    }

    /// Take note of the peer's heartbeat.
    pub(super) fn record_heartbeat(
        &mut self,
        now: Moment,
        heartbeat: &Heartbeat,
    ) -> Option<PathChange> {
        self.heard = self.heard.max(heartbeat.sequence);
        self.stopping = heartbeat.stopping;
        self.load_permille = heartbeat.load_permille;
        // Heartbeats that come while the peer's count of ours stands still
        // mean a path cut one way: the peer suspects this host, and would act
        // in its place while this host still counts on the peer. So only an
        // advance of the count proves the path, and both sides notice.
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

    /// Take note of the time.
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

    /// Get when this peer next needs a look.
    pub(super) fn wake_at(&self, opts: &MembershipOptions, user_interval: Duration) -> Moment {
        let due_at = self.due_at(opts, user_interval);
        self.suspect_at(opts).min(due_at)
    }

    /// Get when time alone next changes what this peer counts as.
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

    /// Get what owners and watches are chosen by.
    pub(super) fn state(&self) -> PeerState {
        PeerState {
            reachable: self.reachable,
            stopping: self.stopping,
        }
    }

    /// Get the heartbeat that is due, if one is.
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

    /// Get what an answer to the heartbeat has to say, if it needs one. A
    /// peer that is itself sent heartbeats at the full rate needs none but for
    /// the first one over a link: without that answer no request could go to a
    /// new owner before the next heartbeat. An answer (sequence 0) is never
    /// answered: two hosts would go on forever.
    pub(super) fn answer(&mut self, heartbeat: &Heartbeat) -> Option<u64> {
        let first = std::mem::take(&mut self.awaiting_first);
        let mutual = self.connected && self.watched == Some(WatchRate::Candidate) && !first;
        match heartbeat.sequence {
            0 => None,
            _ if mutual => None,
            _ => Some(self.heard),
        }
    }

    /// Get the highest sequence heard.
    pub(super) fn heard(&self) -> u64 {
        self.heard
    }

    /// Get whether the peer's reachability was `state` all the time for `span`.
    pub(super) fn has_been(&self, state: bool, now: Moment, span: Duration) -> bool {
        self.reachable == Some(state) && now >= self.since.plus(span)
    }
}
