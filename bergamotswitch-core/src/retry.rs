//! Provides the retry budget: a bound on how much load retries add.

use std::time::Duration;

use crate::clock::Moment;

/// Thousandths of one retry; whole numbers keep the budget exact.
const ONE_RETRY: u64 = 1_000;

/// What may be saved up for each first attempt of the last window: one part in
/// so many of what it earned. What is spent in a window is a third more than
/// what is earned in it at most.
const SAVED_DIVISOR: u64 = 3;

/// The parts of a host's share of the slack: two may be saved up, one comes in
/// each window, and a new process begins with one, or with one whole retry.
const SHARE_PARTS: u64 = 4;
const SAVED_SHARE: u64 = 2;

/// The most that a host's share of the slack may be, in thousandths. Alone in
/// its own view at first, a host would take the whole slack for its share.
const MAX_SHARE: u64 = 8 * ONE_RETRY;

/// The most reconnects that are saved up: a host meets the dead targets of a
/// large pool one after the other, and no host needs to meet all of them.
const MAX_RECONNECTS: u32 = 32;

/// The parts of a window in which first attempts are counted.
const SLOTS: usize = 10;

/// A `RetryRate` says how fast a budget fills.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRate {
    /// Retries earned by each first attempt, in thousandths.
    pub permille: u32,
    /// Retries that all hosts together may make beyond those in one window.
    pub slack: u32,
    /// The window.
    pub window: Duration,
}

impl Default for RetryRate {
    /// One retry in ten first attempts: enough for single failing targets,
    /// and a pool that is wholly down sees a tenth more load, not a multiple.
    /// The slack lets each of eight hosts save up three more.
    fn default() -> Self {
        RetryRate {
            permille: 100,
            slack: 48,
            window: Duration::from_secs(10),
        }
    }
}

/// A `RecentCount` is how many first attempts there were in the last window.
/// It leaves out a part of the window rather than count more than that.
#[derive(Clone, Debug, Default)]
struct RecentCount {
    slots: [u32; SLOTS],
    /// The number of the newest slot since the clock's start.
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

/// A `RetryBudget` is one host's part of a pool's retries. Without it, every
/// request to a pool that is down would be tried several times, and the load
/// would keep the pool down; one would notice it as attempts that far exceed
/// requests.
///
/// What all hosts together retry in a window follows from what they saved up
/// before it and earn in it. So a host may save up its share of the slack and a
/// part of what it earned lately; a constant for each host would grow with the
/// fleet.
///
/// An attempt that reached no target has put no load on any. Where it cost a
/// retry, a few dead targets would use up the retries of a pool whose other
/// targets stand idle, and one would see refusals of requests that nobody ran.
/// So answers that begin earn reconnects, which are spent first: a pool that
/// answers nobody earns none.
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
    /// Get the budget of one of so many hosts.
    pub fn new(rate: RetryRate, hosts: usize, now: Moment) -> Self {
        let mut budget = RetryBudget {
            rate,
            hosts: hosts.max(1) as u64,
            saved: 0,
            reconnects: 0,
            refilled_at: now,
            recent: RecentCount::default(),
        };
        // Less than a whole retry would be none: on a large fleet the first
        // failure after each start would be its caller's.
        let initial = (budget.share() / SHARE_PARTS).max(ONE_RETRY);
        budget.saved = initial.min(budget.saved_share());
        budget
    }

    /// Put another rate in force; what was saved stays, as far as it allows.
    pub fn set_rate(&mut self, rate: RetryRate) {
        self.rate = rate;
    }

    /// Share the slack among so many hosts from now on.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1) as u64;
    }

    /// Earn the fraction of one first attempt.
    pub fn earn(&mut self, now: Moment) {
        self.refill(now);
        self.recent.record();
        self.add(u64::from(self.rate.permille));
    }

    /// Try to spend one retry; get whether there was one.
    pub fn try_spend(&mut self, now: Moment) -> bool {
        self.refill(now);
        if self.saved < ONE_RETRY {
            return false;
        }
        self.saved -= ONE_RETRY;
        true
    }

    /// Earn a reconnect by an answer.
    pub fn earn_reconnect(&mut self) {
        self.reconnects = (self.reconnects + 1).min(MAX_RECONNECTS);
    }

    /// Try to spend one reconnect; get whether there was one.
    pub fn try_reconnect(&mut self) -> bool {
        let had_one = self.reconnects > 0;
        self.reconnects = self.reconnects.saturating_sub(1);
        had_one
    }

    /// Get the whole retries left.
    pub fn left(&self) -> u64 {
        self.saved / ONE_RETRY
    }

    /// Get this host's share of the slack, in thousandths.
    fn share(&self) -> u64 {
        let share = u64::from(self.rate.slack) * ONE_RETRY / self.hosts;
        share.min(MAX_SHARE)
    }

    /// Get what may be saved up of this host's share, in thousandths.
    fn saved_share(&self) -> u64 {
        self.share() * SAVED_SHARE / SHARE_PARTS
    }

    fn add(&mut self, thousandths: u64) {
        let recent = self.recent.total() * u64::from(self.rate.permille);
        let most = self.saved_share() + recent / SAVED_DIVISOR;
        self.saved = (self.saved + thousandths).min(most);
    }

    /// Let in what time gives back, so that a quiet pool's failures can be
    /// retried, and drop what may not be kept any longer.
    fn refill(&mut self, now: Moment) {
        self.recent.advance(now, self.rate.window);
        let window = self.rate.window.as_micros().max(1);
        let span = now.since(self.refilled_at).as_micros();
        let part = u128::from(self.share() / SHARE_PARTS);
        let gain = u64::try_from(span * part / window).unwrap_or(u64::MAX / 2);
        // What is less than a thousandth waits until it is one.
        if gain > 0 {
            self.refilled_at = now;
        }
        self.add(gain);
    }
}
