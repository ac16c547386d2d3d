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
    pub hinted_tokens: u32,
    pub deadline: Duration,
}

impl CallWork {
    /// The work of a short stream, or of a call without a stream.
    pub const SHORT: CallWork = CallWork {
        events: EVENTS,
        max_tokens: 80,
        hinted_tokens: 40,
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
            hinted_tokens: tokens * rng.random_range(HINT_PERCENT) / 100,
            deadline: length + Duration::from_secs(slack),
        }
    }

    /// Get the query string that asks the target for a number of events, empty for
    /// the target's default.
    pub fn query(&self) -> String {
        match self.events {
            EVENTS => String::new(),
            events => format!("?events={events}"),
        }
    }

    /// Get the least time that a target takes to send the stream.
    pub fn length(&self) -> Duration {
        EVENT_GAP * self.events
    }
}
