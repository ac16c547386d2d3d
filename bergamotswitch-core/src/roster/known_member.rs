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
    pub(super) excused: Duration,
    /// When it was first heard to stop; absent once it takes callers again.
    pub(super) left_at: Option<Moment>,
}

impl KnownMember {
    /// Take in when it began to stop, from its state as told now.
    pub(super) fn note_leaving(&mut self, now: Moment) {
        let flags = self.record.flags;
        match (flags.leaving, flags.ready) {
            (true, _) => self.left_at = self.left_at.or(Some(now)),
            (false, true) => self.left_at = None,
            // It starts: it is not back yet.
            (false, false) => {}
        }
    }

    /// Take note of newer news of it.
    pub(super) fn hear(&mut self, now: Moment) {
        self.heard_at = now;
        self.excused = Duration::ZERO;
    }

    /// Leave out what this host slept of the time in which nothing was heard, for
    /// `most` of it at most.
    pub(super) fn excuse(&mut self, now: Moment, slept: Duration, most: Duration) {
        let excused = slept.min(most.saturating_sub(self.excused));
        self.excused += excused;
        self.heard_at = self.heard_at.plus(excused).min(now);
    }
}
