//! Provides the retry budget, which limits the load added by retries.

use std::time::Duration;

use crate::clock::Moment;

/// One retry in thousandths, the unit of the budget. Integers keep it exact.
const ONE_RETRY: u64 = 1_000;

/// The divisor of what the first attempts of the last window earned, up to
/// which a budget may save. This limits the retries of a window to a third more
/// than is earned in it.
const SAVED_DIVISOR: u64 = 3;

/// The number of parts of a host's share of the slack: two may be saved, one is
/// refilled in each window, and a new process starts with one, or with one
/// retry if that is more.
const SHARE_PARTS: u64 = 4;
const SAVED_SHARE: u64 = 2;

/// The maximum share of the slack per host, in thousandths. A host that has not
/// discovered the others yet would otherwise take the whole slack.
const MAX_SHARE: u64 = 8 * ONE_RETRY;

/// The maximum number of saved reconnects. A host does not need to connect to
/// every failed target of a large pool.
const MAX_RECONNECTS: u32 = 32;

/// The number of slots into which a window is divided for counting.
const SLOTS: usize = 10;

/// A `RetryRate` is the refill rate of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRate {
    /// Retries earned by each first attempt, in thousandths.
    pub permille: u32,
    /// Additional retries that all hosts together may make in one window.
    pub slack: u32,
    /// The length of the window.
    pub window: Duration,
}

impl Default for RetryRate {
    /// One retry for ten first attempts covers single failing targets, and
    /// limits the additional load on a pool that is down to a tenth.
    fn default() -> Self {
        RetryRate {
            permille: 100,
            slack: 48,
            window: Duration::from_secs(10),
        }
    }
}

/// A `RecentCount` is a sliding count of the first attempts in the last window.
/// It omits the oldest part of the window rather than exceed it.
#[derive(Clone, Debug, Default)]
struct RecentCount {
    slots: [u32; SLOTS],
    /// The number of the newest slot, counted from the start of the clock.
    newest: u64,
}

impl RecentCount {
    fn advance(&mut self, now: Moment, window: Duration) {
        let slot = (window / SLOTS as u32).as_micros().max(1);
        let number = (now.since(Moment::START).as_micros() / slot) as u64;
        let passed = number.saturating_sub(self.newest).min(SLOTS as u64);
        for step in 1..=passed {
            let slot = (number - passed + step) % SLOTS as u64;
            self.slots[slot as usize] = 0;
        }
        self.newest = self.newest.max(number);
    }

    fn record(&mut self) {
        let slot = (self.newest % SLOTS as u64) as usize;
        self.slots[slot] = self.slots[slot].saturating_add(1);
    }

    fn total(&self) -> u64 {
        self.slots.iter().map(|count| u64::from(*count)).sum()
    }
}

/// A `RetryBudget` is one host's share of the retries of a pool. It prevents
/// retry storms, in which a pool that is down is kept down by the load of
/// retries.
///
/// The number of retries of all hosts in a window follows from what they saved
/// before it and what they earn in it. A host may therefore save only its share
/// of the slack and a part of what it earned recently. A constant limit per
/// host would grow with the fleet.
///
/// An attempt that reached no target put no load on any. If it cost a retry, a
/// few failed targets could exhaust the retries of a pool whose other targets
/// are idle. Answers that begin therefore earn reconnects, which are spent
/// first. A pool without answers earns none.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rate: RetryRate,
    hosts: u64,
    saved: u64,
    reconnects: u32,
    refilled_at: Moment,
    recent: RecentCount,
}

impl RetryBudget {
    /// Create the budget of one of `hosts` hosts.
    pub fn new(rate: RetryRate, hosts: usize, now: Moment) -> Self {
        let mut budget = RetryBudget {
            rate,
            hosts: hosts.max(1) as u64,
            saved: 0,
            reconnects: 0,
            refilled_at: now,
            recent: RecentCount::default(),
        };
        // A fraction of a retry could not be spent, so on a large fleet the
        // first failure after each start would not be retried.
        let initial = (budget.share() / SHARE_PARTS).max(ONE_RETRY);
        budget.saved = initial.min(budget.saved_share());
        budget
    }

    /// Set the rate. Savings are kept as far as the new rate allows.
    pub fn set_rate(&mut self, rate: RetryRate) {
        self.rate = rate;
    }

    /// Set the number of hosts that share the slack.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1) as u64;
    }

    /// Earn the fraction of a retry that belongs to one first attempt.
    pub fn earn(&mut self, now: Moment) {
        self.refill(now);
        self.recent.record();
        self.add(u64::from(self.rate.permille));
    }

    /// Try to spend one retry and get whether one was left.
    pub fn try_spend(&mut self, now: Moment) -> bool {
        self.refill(now);
        if self.saved < ONE_RETRY {
            return false;
        }
        self.saved -= ONE_RETRY;
        true
    }

    /// Return a retry that was spent and did not reach a target.
    pub fn refund(&mut self) {
        self.add(ONE_RETRY);
    }

    /// Earn one reconnect for an answer that begins.
    pub fn earn_reconnect(&mut self) {
        self.reconnects = (self.reconnects + 1).min(MAX_RECONNECTS);
    }

    /// Try to spend one reconnect and get whether one was left.
    pub fn try_reconnect(&mut self) -> bool {
        let had_one = self.reconnects > 0;
        self.reconnects = self.reconnects.saturating_sub(1);
        had_one
    }

    /// Get the number of whole retries left.
    pub fn left(&self) -> u64 {
        self.saved / ONE_RETRY
    }

    /// Get this host's share of the slack, in thousandths.
    fn share(&self) -> u64 {
        let share = u64::from(self.rate.slack) * ONE_RETRY / self.hosts;
        share.min(MAX_SHARE)
    }

    /// Get the part of the share that may be saved, in thousandths.
    fn saved_share(&self) -> u64 {
        self.share() * SAVED_SHARE / SHARE_PARTS
    }

    fn add(&mut self, thousandths: u64) {
        let recent = self.recent.total() * u64::from(self.rate.permille);
        let most = self.saved_share() + recent / SAVED_DIVISOR;
        self.saved = (self.saved + thousandths).min(most);
    }

    /// Add what is refilled over time, so that failures of a pool with little
    /// traffic can be retried, and drop savings above the limit.
    fn refill(&mut self, now: Moment) {
        self.recent.advance(now, self.rate.window);
        let window = self.rate.window.as_micros().max(1);
        let span = now.since(self.refilled_at).as_micros();
        let part = u128::from(self.share() / SHARE_PARTS);
        let gain = u64::try_from(span * part / window).unwrap_or(u64::MAX / 2);
        // A gain of less than a thousandth is carried over.
        if gain > 0 {
            self.refilled_at = now;
        }
        self.add(gain);
    }
}
