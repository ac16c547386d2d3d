//! Provides the pauses between attempts to connect.

use std::time::Duration;

use super::options::LinkOptions;

/// Doublings after which the longest pause is reached whatever the options
/// say; it keeps the shift in range.
const MAX_DOUBLINGS: u32 = 16;

/// A `Backoff` is the pause before the next attempt: it doubles with each
/// failure, and is drawn at random from its upper half. Without the draw all
/// hosts that lost the same peer would come back at the same moments.
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

    /// Begin anew after a link that lasted.
    pub(crate) fn reset(&mut self) {
        self.doublings = 0;
    }

    /// Get the next pause.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let doubled = self.min.saturating_mul(1 << self.doublings);
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        let half = doubled.min(self.max) / 2;
        half + half.mul_f64(rand::random::<f64>())
    }
}
