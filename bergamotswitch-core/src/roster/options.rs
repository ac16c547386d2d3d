//! Provides the options of a roster.

use std::time::Duration;

/// The interval between two rounds. An update reaches all of 81 hosts in about
/// four rounds of two messages each.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// The number of recipients in each round.
const FANOUT: usize = 2;

/// The time without an update after which a host does not count as live: a
/// base, plus a part for each doubling of the fleet, since updates need more
/// rounds in a larger one. This gives 2.3 s for 8 hosts, 4 s for 81 and 5.1 s
/// for 380; with 2 s, a fleet of 81 kept losing hosts that were running.
const SILENT_BASE: Duration = Duration::from_millis(800);
const SILENT_PER_DOUBLING: Duration = Duration::from_millis(500);

/// The time after which a silent host is forgotten. Until then it is contacted
/// occasionally, so that two halves of a fleet find each other after a
/// partition even if all seeds are down.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// The time from its start after which a host that knows no other one considers
/// itself alone: five rounds to all seeds.
const ALONE_AFTER: Duration = Duration::from_millis(1_500);

/// A `RosterOptions` is the set of timeouts and limits of a roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterOptions {
    pub(super) round_interval: Duration,
    pub(super) fanout: usize,
    pub(super) silent_base: Duration,
    pub(super) silent_per_doubling: Duration,
    pub(super) forget_after: Duration,
    pub(super) alone_after: Duration,
}

impl Default for RosterOptions {
    fn default() -> Self {
        RosterOptions {
            round_interval: ROUND_INTERVAL,
            fanout: FANOUT,
            silent_base: SILENT_BASE,
            silent_per_doubling: SILENT_PER_DOUBLING,
            forget_after: FORGET_AFTER,
            alone_after: ALONE_AFTER,
        }
    }
}

impl RosterOptions {
    /// Set the interval between two rounds.
    pub fn with_round_interval(mut self, span: Duration) -> Self {
        self.round_interval = span;
        self
    }

    /// Get the time after which a silent host does not count as live, in a
    /// fleet of `hosts` hosts.
    pub(super) fn silent_after(&self, hosts: usize) -> Duration {
        let doublings = (hosts.max(1) as f64).log2();
        self.silent_base + self.silent_per_doubling.mul_f64(doublings)
    }
}
