//! Provides what a host knows of the peers with which it spreads values.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Revision, RevisionMark, ValueName};
use crate::clock::Moment;

/// Marks that a peer sent before a value reached it are out of date; what was
/// sent is sent again only after this long.
const RESEND_AFTER: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct PeerMark {
    revision: Revision,
    announced: Revision,
    sent_at: Option<Moment>,
}

/// A `SpreadPeer` is a peer to which a link is up.
#[derive(Clone, Debug)]
pub(super) struct ReplicaPeer {
    marks: BTreeMap<ValueName, PeerMark>,
    /// When it was last heard, if ever.
    pub(super) heard_at: Option<Moment>,
    /// Until when it is told of changes because it asked.
    pub(super) subscribed_until: Moment,
    /// When it is next asked itself.
    pub(super) poll_at: Moment,
    /// Whether it was told all that this host has.
    pub(super) sent_all: bool,
    /// The value that the next question names.
    pub(super) next_mark: usize,
}

impl ReplicaPeer {
    /// Get a peer of which nothing is known.
    pub(super) fn new(now: Moment) -> Self {
        ReplicaPeer {
            marks: BTreeMap::new(),
            heard_at: None,
            subscribed_until: Moment::START,
            poll_at: now,
            sent_all: false,
            next_mark: 0,
        }
    }

    /// Get whether the peer was heard not longer ago than `span`.
    pub(super) fn is_heard(&self, now: Moment, span: Duration) -> bool {
        match self.heard_at {
            Some(heard_at) => now.since(heard_at) < span,
            None => false,
        }
    }

    /// Get the revision that the peer is known to have, if it said so.
    pub(super) fn known(&self, name: &ValueName) -> Option<Revision> {
        self.marks.get(name).map(|mark| mark.revision)
    }

    /// Take note of what the peer says to have.
    pub(super) fn record_mark(&mut self, now: Moment, mark: &RevisionMark) {
        let known = self.marks.entry(mark.name.clone()).or_default();
        let in_flight = known
            .sent_at
            .is_some_and(|sent_at| now.since(sent_at) < RESEND_AFTER);
        if mark.revision > known.revision || !in_flight {
            known.revision = mark.revision;
        }
    }

    /// Take note of what was sent to the peer.
    pub(super) fn record_sent(&mut self, now: Moment, name: &ValueName, revision: Revision) {
        let known = self.marks.entry(name.clone()).or_default();
        known.revision = revision;
        known.sent_at = Some(now);
    }

    /// Take note that the peer is told of a revision; get whether it is news.
    pub(super) fn announce(&mut self, name: &ValueName, revision: Revision) -> bool {
        let known = self.marks.entry(name.clone()).or_default();
        let is_new = known.revision < revision && known.announced < revision;
        if is_new {
            known.announced = revision;
        }
        is_new
    }

    /// Forget how fresh all this is, after a pause.
    pub(super) fn invalidate(&mut self, now: Moment) {
        self.heard_at = None;
        self.poll_at = now;
        self.sent_all = false;
    }
}
