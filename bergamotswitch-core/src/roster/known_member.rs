//! Provides what a roster knows of another host.

use std::time::Duration;

use super::MemberRecord;
use crate::clock::Moment;

/// A `KnownMember` is what this host knows of another.
#[derive(Debug)]
pub(super) struct KnownMember {
    pub(super) record: MemberRecord,
    /// When newer news of it came last.
    pub(super) heard_at: Moment,
    /// How much of this host's own sleep counted for it since then.
    pub(super) discounted: Duration,
    /// When it was first heard to stop; absent once it takes callers again.
    pub(super) leaving_since: Option<Moment>,
}

impl KnownMember {
    /// Take in when it began to stop, from its state as told now.
    pub(super) fn update_leaving(&mut self, now: Moment) {
        let flags = self.record.flags;
        match (flags.leaving, flags.ready) {
            (true, _) => self.leaving_since = self.leaving_since.or(Some(now)),
            (false, true) => self.leaving_since = None,
            // It starts: it is not back yet.
            (false, false) => {}
        }
    }

    /// Take note of newer news of it.
    pub(super) fn record_heard(&mut self, now: Moment) {
        self.heard_at = now;
        self.discounted = Duration::ZERO;
    }

    /// Leave out what this host slept of the time in which nothing was heard, for
    /// `most` of it at most.
    pub(super) fn discount(&mut self, now: Moment, suspended: Duration, limit: Duration) {
        let discounted = suspended.min(limit.saturating_sub(self.discounted));
        self.discounted += discounted;
        self.heard_at = self.heard_at.plus(discounted).min(now);
    }
}
