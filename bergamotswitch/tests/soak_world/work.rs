//! How long callers' work takes, as a target's stream makes it.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use super::callers::DEADLINE;
use super::{EVENT_GAP, EVENTS};
use crate::users::SiteOptions;

/// The longest time that routes let a call take in runs with long work: no
/// deadline of a caller is later.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(30);
/// One caller in so many asks for long streams alone; the other ones find
/// places at the targets beside them.
const LONG_CALLER_ONE_IN: u64 = 4;
/// How long a long stream takes.
const LONG_STREAM_MS: std::ops::Range<u64> = 1_000..7_000;
/// How much more time its caller has: with the longest, it waits beyond the
/// grace of a host that is stopped meanwhile.
const DEADLINE_SLACK_S: [u64; 3] = [1, 5, 20];
/// The tokens in an event, and the bound and the estimate that a caller names,
/// in percent of what is made: the estimate is right at the median alone.
const EVENT_TOKENS: u32 = 5;
const TOKEN_LIMIT_PERCENT: std::ops::Range<u32> = 100..300;
const HINT_PERCENT: std::ops::Range<u32> = 30..170;

/// Get the times of a site with long work.
pub fn site_options(grace: Duration) -> SiteOptions {
    SiteOptions {
        timeout: ROUTE_TIMEOUT,
        grace,
        ..SiteOptions::default()
    }
}

/// A `CallWork` is how much a call asks for, and how long its caller waits.
#[derive(Clone, Copy, Debug)]
pub struct CallWork {
    /// The events of its stream.
    pub events: u32,
    /// The tokens that it may make, and its caller's estimate.
    pub max_tokens: u32,
    pub hinted_tokens: u32,
    pub deadline: Duration,
}

impl CallWork {
    /// A short call, or one that is no stream.
    pub const SHORT: CallWork = CallWork {
        events: EVENTS,
        max_tokens: 80,
        hinted_tokens: 40,
        deadline: DEADLINE,
    };

    /// Draw what a caller asks for.
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

    /// Get what a call's path asks its target for: nothing, where the target
    /// makes so many events anyway.
    pub fn query(&self) -> String {
        match self.events {
            EVENTS => String::new(),
            events => format!("?events={events}"),
        }
    }

    /// Get the least time that a target works on it.
    pub fn length(&self) -> Duration {
        EVENT_GAP * self.events
    }
}
