//! Provides the options of a roster.

use std::time::Duration;

/// The time between two rounds. News reaches all of 81 hosts in about four
/// rounds of two messages each.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// The hosts told in each round.
const FANOUT: usize = 2;

/// The time without newer news of a host after which it is not counted on.
/// Six rounds: of 81 hosts each hears of each other within about four.
const SILENT_AFTER: Duration = Duration::from_millis(2_000);

/// The time after which a silent host is forgotten. Until then it is told
/// now and then, so that two halves of a fleet find each other again after a
/// cut even where all seeds are gone.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// The time from its start after which a host that heard of no other takes
/// itself for alone: five rounds to all seeds.
const ALONE_AFTER: Duration = Duration::from_millis(1_500);

/// A `RosterOptions` is the set of bounds of a roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterOptions {
    pub(super) round_interval: Duration,
    pub(super) fanout: usize,
    pub(super) silent_after: Duration,
    pub(super) forget_after: Duration,
    pub(super) alone_after: Duration,
}

impl Default for RosterOptions {
    fn default() -> Self {
        RosterOptions {
            round_interval: ROUND_INTERVAL,
            fanout: FANOUT,
            silent_after: SILENT_AFTER,
            forget_after: FORGET_AFTER,
            alone_after: ALONE_AFTER,
        }
    }
}

impl RosterOptions {
    /// Set the time between two rounds.
    pub fn with_round_interval(mut self, span: Duration) -> Self {
        self.round_interval = span;
        self
    }

    /// Set the time after which a silent host is not counted on.
    pub fn with_silent_after(mut self, span: Duration) -> Self {
        self.silent_after = span;
        self
    }
}
