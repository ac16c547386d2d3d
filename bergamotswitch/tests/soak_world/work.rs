//! Provides the sizes, token estimates and deadlines of calls.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use super::callers::DEADLINE;
use super::{EVENT_GAP, EVENTS};
use crate::users::SiteOptions;

/// The route timeout in runs with long streams, which no caller's deadline exceeds.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(30);
/// One caller in this many asks only for long streams. It must be few enough to
/// leave free slots at the targets for the others.
const LONG_CALLER_ONE_IN: u64 = 4;
/// The duration of a long stream, in milliseconds.
const LONG_STREAM_MS: std::ops::Range<u64> = 1_000..7_000;
/// The time from the end of a long stream to its deadline, in seconds. With the
/// longest, the deadline is after the grace period of a stopping host.
const DEADLINE_SLACK_S: [u64; 3] = [1, 5, 20];
/// The number of tokens in an event.
const EVENT_TOKENS: u32 = 5;
/// The token limit that a caller sends, in percent of the actual token count.
const TOKEN_LIMIT_PERCENT: std::ops::Range<u32> = 100..300;
/// The token estimate that a caller sends, in percent of the actual token count.
const HINT_PERCENT: std::ops::Range<u32> = 30..170;

/// The deadlines of the usual calls of runs with rare long calls, in milliseconds.
const USUAL_DEADLINES_MS: [u64; 4] = [2_500, 4_000, 10_000, 10_000];
/// The duration of a rare long call, in milliseconds, and the time from its end to its
/// deadline.
const RARE_WORK_MS: std::ops::Range<u64> = 4_500..10_000;
const RARE_SLACK_MS: std::ops::Range<u64> = 500..10_000;
/// The most tokens that all callers name in runs with rare long calls.
const COMMON_TOKEN_LIMIT: u32 = 600;
/// The token estimates of rare long calls, far below their work.
const RARE_HINTS: [Option<u32>; 4] = [None, None, Some(5), Some(40)];
/// The slots of a target in these runs for each [`HOSTS_PER_SLOTS`] hosts.
const RARE_SLOTS: u32 = 24;
const HOSTS_PER_SLOTS: u32 = 8;

/// Get the options of a site whose callers rarely ask for long work.
pub fn rare_options(grace: Duration, hosts: usize) -> SiteOptions {
    SiteOptions {
        slots: RARE_SLOTS * (hosts as u32).div_ceil(HOSTS_PER_SLOTS),
        ..site_options(grace)
    }
}

/// Get the options of a site with long streams.
pub fn site_options(grace: Duration) -> SiteOptions {
    SiteOptions {
        timeout: ROUTE_TIMEOUT,
        grace,
        ..SiteOptions::default()
    }
}

/// A `CallWork` is the size of a call and its deadline.
#[derive(Clone, Copy, Debug)]
pub struct CallWork {
    /// The number of events in the stream.
    pub events: u32,
    /// The token limit that the caller sends.
    pub max_tokens: u32,
    /// The token estimate that the caller sends.
    pub hinted_tokens: Option<u32>,
    /// The time that a target takes for a call without a stream.
    pub plain_work: Duration,
    pub deadline: Duration,
}

impl CallWork {
    /// The work of a short stream, or of a call without a stream.
    pub const SHORT: CallWork = CallWork {
        events: EVENTS,
        max_tokens: 80,
        hinted_tokens: Some(40),
        plain_work: Duration::ZERO,
        deadline: DEADLINE,
    };

    /// Draw the work of a stream, always short for most callers.
    pub fn draw(rng: &mut StdRng, caller: u64) -> Self {
        if !caller.is_multiple_of(LONG_CALLER_ONE_IN) {
            return CallWork::SHORT;
        }
        let length = Duration::from_millis(rng.random_range(LONG_STREAM_MS));
        let events = (length.as_millis() / EVENT_GAP.as_millis()) as u32;
        let tokens = events * EVENT_TOKENS;
        let slack = DEADLINE_SLACK_S[rng.random_range(0..DEADLINE_SLACK_S.len())];
        CallWork {
            events,
            max_tokens: tokens * rng.random_range(TOKEN_LIMIT_PERCENT) / 100,
            hinted_tokens: Some(tokens * rng.random_range(HINT_PERCENT) / 100),
            plain_work: Duration::ZERO,
            deadline: length + Duration::from_secs(slack),
        }
    }

    /// Draw the work of a call that is short, like most of its route.
    pub fn draw_usual(rng: &mut StdRng) -> Self {
        let deadline = USUAL_DEADLINES_MS[rng.random_range(0..USUAL_DEADLINES_MS.len())];
        CallWork {
            max_tokens: COMMON_TOKEN_LIMIT,
            hinted_tokens: rng.random_bool(0.5).then_some(40),
            deadline: Duration::from_millis(deadline),
            ..CallWork::SHORT
        }
    }

    /// Draw the work of a call that is much longer than most of its route, although
    /// nothing that it names says so.
    pub fn draw_unlike(rng: &mut StdRng, is_stream: bool) -> Self {
        let length = Duration::from_millis(rng.random_range(RARE_WORK_MS));
        let slack = Duration::from_millis(rng.random_range(RARE_SLACK_MS));
        let hinted_tokens = RARE_HINTS[rng.random_range(0..RARE_HINTS.len())];
        let (events, plain_work) = match is_stream {
            true => (
                (length.as_millis() / EVENT_GAP.as_millis()) as u32,
                Duration::ZERO,
            ),
            false => (EVENTS, length),
        };
        CallWork {
            events,
            max_tokens: COMMON_TOKEN_LIMIT,
            hinted_tokens,
            plain_work,
            deadline: length + slack,
        }
    }

    /// Get the query string that asks the target for a number of events or a time,
    /// empty for the target's defaults.
    pub fn query(&self) -> String {
        if !self.plain_work.is_zero() {
            return format!("?work_ms={}", self.plain_work.as_millis());
        }
        match self.events {
            EVENTS => String::new(),
            events => format!("?events={events}"),
        }
    }

    /// Get the least time that a target takes for the answer.
    pub fn length(&self) -> Duration {
        EVENT_GAP * self.events + self.plain_work
    }
}
