//! Provides the state of another host in the roster.

use std::time::Duration;

use super::MemberRecord;
use crate::clock::Moment;

/// A `KnownMember` is the state of another host as known to this one.
#[derive(Debug)]
pub(super) struct KnownMember {
    pub(super) record: MemberRecord,
    /// When the last update about the host arrived.
    pub(super) heard_at: Moment,
    /// How much of this host's own pauses has been discounted since then.
    pub(super) discounted: Duration,
    /// When the host was first reported as leaving; absent once it accepts
    /// callers again.
    pub(super) leaving_since: Option<Moment>,
}

impl KnownMember {
    /// Update `leaving_since` from the host's current flags.
    pub(super) fn update_leaving(&mut self, now: Moment) {
        let flags = self.record.flags;
        match (flags.leaving, flags.ready) {
            (true, _) => self.leaving_since = self.leaving_since.or(Some(now)),
            (false, true) => self.leaving_since = None,
            // A starting host has not returned yet.
            (false, false) => {}
        }
    }

    /// Record that an update arrived.
    pub(super) fn record_heard(&mut self, now: Moment) {
        self.heard_at = now;
        self.discounted = Duration::ZERO;
    }

    /// Exclude a pause of this host from the time without an update, up to
    /// `limit` in total.
    pub(super) fn discount(&mut self, now: Moment, paused_for: Duration, limit: Duration) {
        let discounted = paused_for.min(limit.saturating_sub(self.discounted));
        self.discounted += discounted;
        self.heard_at = self.heard_at.plus(discounted).min(now);
    }
}
