//! Provides a lower bound for the time at which a signal was sent.

use crate::clock::Moment;

/// A `SignalWatch` is the record of a process's looks for a signal. A process that was
/// suspended or behind finds a signal only long after it was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalWatch {
    proven_at: Moment,
    looked_at: Moment,
}

impl SignalWatch {
    /// Record a look that has found no signal. One that was sent between the look and
    /// its record is found only by the next look, so this proves the look before.
    pub fn record_look(&mut self, now: Moment) {
        self.proven_at = self.looked_at;
        self.looked_at = now;
    }

    /// Get the latest time that is proven to be before the signal.
    pub fn sent_after(&self) -> Moment {
        self.proven_at
    }
}
