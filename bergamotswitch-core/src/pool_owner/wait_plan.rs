//! Provides how long an ask waits, and in which order.
//!
//! An ask with patience has an aim: its answer should begin within it. While
//! it can still be on time it is fresh; after that it is late, and goes behind
//! all fresh ones of its tier and account: one that is late already loses
//! little by waiting on, and each place given to it would make a fresh one
//! late too. It is given up when it has waited for some times its patience, or
//! when a run could not end in time any more.

use std::time::Duration;

use crate::clock::Moment;
use crate::permit::Ask;
use crate::request::AttemptId;

/// The time from a permit to the arrival of its request at the target, and
/// from there back to the caller.
const WAY: Duration = Duration::from_millis(12);

/// How many times its patience an ask waits at most.
const LATE_PATIENCE: u32 = 3;

/// A `WaitPlan` is how long an ask waits, and in which order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitPlan {
    /// Until when it is fresh: the fastest target could still be in time.
    pub fresh_until: Moment,
    /// When its answer should have begun; never where there is no aim.
    pub aim_at: Moment,
    /// Until when it waits.
    pub give_up_at: Moment,
    /// Until when its answer is of use.
    pub run_until: Moment,
    /// Its place among fresh asks, and among late ones.
    pub order: Moment,
}

/// The part of the time left after which a caller should come back to a shard
/// that is overloaded, in hundredths. Callers honour up to a third. Overload
/// lasts for seconds; told the time in which the queue drains, a fraction of a
/// second, callers came back into the same burst and were refused again.
const COME_BACK_PERCENT: u32 = 32;

/// Spreads the numbers of requests, which are dealt in order, over the range.
const SPREAD_STEP: u64 = 17;

/// How much earlier some are told to come back, in hundredths: those that a
/// burst brought together must not return together.
const SPREAD_PERCENT: u64 = 40;

impl WaitPlan {
    /// Get the plan of an ask that came now, whose answer could begin within
    /// `first` and whose run should take `run`.
    pub fn new(now: Moment, ask: &Ask, first: Duration, run: Duration) -> Self {
        let left = Duration::from_millis(u64::from(ask.deadline_ms));
        let run_until = now.plus(left);
        let Some(first_answer_ms) = ask.first_answer_ms else {
            return WaitPlan {
                fresh_until: Moment::NEVER,
                aim_at: Moment::NEVER,
                give_up_at: run_until,
                run_until,
                order: run_until,
            };
        };
        let patience = Duration::from_millis(u64::from(first_answer_ms));
        let waited = Duration::from_millis(u64::from(ask.waited_ms));
        // An ask that comes anew, to another owner or after a pause, has waited
        // before; its bounds stay where they were.
        let in_time = patience.saturating_sub(waited);
        let in_reach = (patience * LATE_PATIENCE).saturating_sub(waited);
        let last_start = left.saturating_sub(run);
        WaitPlan {
            fresh_until: now.plus(in_time.saturating_sub(first + WAY)),
            aim_at: now.plus(in_time.saturating_sub(WAY)),
            give_up_at: now.plus(last_start.min(in_reach)),
            run_until,
            order: now.plus(in_time),
        }
    }

    /// Get when the caller of an ask that is refused now should come back.
    pub fn come_back_in(&self, now: Moment, attempt: &AttemptId) -> Duration {
        let left = self.run_until.since(now);
        let spread = attempt.request.sequence.wrapping_mul(SPREAD_STEP) % SPREAD_PERCENT;
        let percent = COME_BACK_PERCENT * (100 - spread as u32) / 100;
        left * percent / 100
    }
}
