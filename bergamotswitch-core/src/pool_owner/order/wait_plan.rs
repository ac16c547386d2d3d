//! Provides how long a permit request waits, and in which order.
//!
//! A request may have a time-to-first-token limit. While the limit can be met
//! the request is on time; after that it is late, and is served after all
//! requests of its tier and account that are on time: it loses little by
//! waiting longer, while each slot given to it would make another request late.
//! It is refused after a multiple of the limit, or when its run could no longer
//! end before the deadline.

use std::time::Duration;

use crate::clock::Moment;
use crate::permit::PermitRequest;
use crate::request::AttemptId;

/// The network delay from a permit to the arrival of its request at the target,
/// and back to the caller.
const NETWORK_DELAY: Duration = Duration::from_millis(12);

/// The multiple of its time-to-first-token limit for which a request waits at
/// most.
pub(crate) const MAX_WAIT_FACTOR: u32 = 3;

/// A `WaitPlan` is how long a request waits, and its sort key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitPlan {
    /// Until when the request is on time: the fastest target could still meet
    /// its time-to-first-token limit.
    pub on_time_until: Moment,
    /// When the first token is due; [`Moment::NEVER`] without a
    /// time-to-first-token limit.
    pub first_token_due: Moment,
    /// When the request is refused if it is still queued.
    pub give_up_at: Moment,
    /// The deadline for the end of the run.
    pub run_until: Moment,
    /// The sort key among requests that are on time, and among late ones.
    pub sort_key: Moment,
}

/// The retry-after time of requests refused under overload, as a percentage of
/// their remaining time; callers honour at most a third of that time. The
/// predicted drain time is too short for this: the callers would return within
/// the same burst.
const RETRY_AFTER_PERCENT: u32 = 32;

/// The step by which consecutive request numbers are spread over the range.
const SPREAD_STEP: u64 = 17;

/// The maximum reduction of the retry-after time, in percent, so that callers
/// of one burst do not return together.
const SPREAD_PERCENT: u64 = 40;

impl WaitPlan {
    /// Create the plan of a request that arrives now, with its predicted time to
    /// first token `first` and its predicted run time `run`.
    pub fn new(now: Moment, request: &PermitRequest, first: Duration, run: Duration) -> Self {
        let left = Duration::from_millis(u64::from(request.deadline_ms));
        let run_until = now.plus(left);
        let Some(first_answer_ms) = request.first_answer_ms else {
            return WaitPlan {
                on_time_until: Moment::NEVER,
                first_token_due: Moment::NEVER,
                give_up_at: run_until,
                run_until,
                sort_key: run_until,
            };
        };
        let first_token_limit = Duration::from_millis(u64::from(first_answer_ms));
        let waited = Duration::from_millis(u64::from(request.waited_ms));
        // A request that is sent again, to another owner or after an
        // interruption, keeps its original limits.
        let first_token_limit_left = first_token_limit.saturating_sub(waited);
        let max_wait_left = (first_token_limit * MAX_WAIT_FACTOR).saturating_sub(waited);
        let last_start = left.saturating_sub(run);
        WaitPlan {
            on_time_until: now.plus(first_token_limit_left.saturating_sub(first + NETWORK_DELAY)),
            first_token_due: now.plus(first_token_limit_left.saturating_sub(NETWORK_DELAY)),
            give_up_at: now.plus(last_start.min(max_wait_left)),
            run_until,
            sort_key: now.plus(first_token_limit_left),
        }
    }

    /// Let the request wait as long as its run may end in time. The caller of a refused
    /// request that has returned is late already.
    pub fn until_last_start(self, run: Duration) -> Self {
        let run = run.as_micros() as u64;
        WaitPlan {
            give_up_at: Moment::from_micros(self.run_until.as_micros().saturating_sub(run)),
            ..self
        }
    }

    /// Get the retry-after time of a request that is refused now.
    pub fn retry_after(&self, now: Moment, attempt: &AttemptId) -> Duration {
        spread_retry_after(self.run_until.since(now), attempt.request.sequence)
    }
}

/// Get the retry-after time of a request that has `left` until its deadline, spread by
/// the request's number.
pub fn spread_retry_after(left: Duration, number: u64) -> Duration {
    let spread = number.wrapping_mul(SPREAD_STEP) % SPREAD_PERCENT;
    let percent = RETRY_AFTER_PERCENT * (100 - spread as u32) / 100;
    left * percent / 100
}
