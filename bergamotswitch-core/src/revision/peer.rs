//! Provides the state of the peers with which a host exchanges values.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Revision, RevisionMark, ValueName};
use crate::clock::Moment;

/// Marks that a peer sent before it received a value are out of date, so a
/// value is sent again only after this time.
const RESEND_AFTER: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct PeerMark {
    revision: Revision,
    announced: Revision,
    sent_at: Option<Moment>,
}

/// A `ReplicaPeer` is the state of a peer with a link that is up.
#[derive(Clone, Debug)]
pub(super) struct ReplicaPeer {
    marks: BTreeMap<ValueName, PeerMark>,
    /// When the last message of the peer arrived.
    pub(super) heard_at: Option<Moment>,
    /// Until when changes are sent to the peer, because it polled this host.
    pub(super) subscribed_until: Moment,
    /// When the peer is polled next.
    pub(super) poll_at: Moment,
    /// Whether the peer was sent the marks of all values.
    pub(super) sent_all: bool,
    /// The index of the value named in the last poll.
    pub(super) polled_index: usize,
}

impl ReplicaPeer {
    /// Create the state of a newly linked peer.
    pub(super) fn new(now: Moment) -> Self {
        ReplicaPeer {
            marks: BTreeMap::new(),
            heard_at: None,
            subscribed_until: Moment::START,
            poll_at: now,
            sent_all: false,
            polled_index: 0,
        }
    }

    /// Get whether a message of the peer arrived within the last `span`.
    pub(super) fn is_heard(&self, now: Moment, span: Duration) -> bool {
        match self.heard_at {
            Some(heard_at) => now.since(heard_at) < span,
            None => false,
        }
    }

    /// Get the revision that the peer has, as far as known.
    pub(super) fn known(&self, name: &ValueName) -> Option<Revision> {
        self.marks.get(name).map(|mark| mark.revision)
    }

    /// Record a revision that the peer reported.
    pub(super) fn record_mark(&mut self, now: Moment, mark: &RevisionMark) {
        let known = self.marks.entry(mark.name.clone()).or_default();
        let in_flight = known
            .sent_at
            .is_some_and(|sent_at| now.since(sent_at) < RESEND_AFTER);
        if mark.revision > known.revision || !in_flight {
            known.revision = mark.revision;
        }
    }

    /// Record that a revision was sent to the peer.
    pub(super) fn record_sent(&mut self, now: Moment, name: &ValueName, revision: Revision) {
        let known = self.marks.entry(name.clone()).or_default();
        known.revision = revision;
        known.sent_at = Some(now);
    }

    /// Record that a revision is announced to the peer. Get whether the
    /// announcement is needed.
    pub(super) fn announce(&mut self, name: &ValueName, revision: Revision) -> bool {
        let known = self.marks.entry(name.clone()).or_default();
        let is_new = known.revision < revision && known.announced < revision;
        if is_new {
            known.announced = revision;
        }
        is_new
    }

    /// Invalidate the state after a pause.
    pub(super) fn invalidate(&mut self, now: Moment) {
        self.heard_at = None;
        self.poll_at = now;
        self.sent_all = false;
    }
}
