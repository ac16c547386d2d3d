//! Provides the backoff between connection attempts.

use std::time::Duration;

use super::options::LinkOptions;

/// The maximum number of doublings, which keeps the shift in range.
const MAX_DOUBLINGS: u32 = 16;

/// A `Backoff` is an exponential backoff with jitter: the upper bound of the delay
/// doubles with each attempt, and the delay is drawn from the upper half of the
/// range. Without jitter, all hosts that lost the same peer would reconnect at once.
#[derive(Debug)]
pub(crate) struct Backoff {
    min: Duration,
    max: Duration,
    doublings: u32,
}

impl Backoff {
    pub(crate) fn new(opts: &LinkOptions) -> Self {
        Backoff {
            min: opts.backoff_min,
            max: opts.backoff_max,
            doublings: 0,
        }
    }

    /// Reset the delay to its minimum.
    pub(crate) fn reset(&mut self) {
        self.doublings = 0;
    }

    /// Get the delay before the next attempt.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let doubled = self.min.saturating_mul(1 << self.doublings);
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        let half = doubled.min(self.max) / 2;
        half + half.mul_f64(rand::random::<f64>())
    }
}
