//! Provides the duration of slow moments, learned over all targets of a shard.

use std::time::Duration;

use super::slow_moments::MomentProgress;

/// The weight of the prior, in moments.
const PRIOR_MOMENTS: f64 = 8.0;

/// The number of observed moments from which earlier ones fade, so that a change is
/// followed.
const MAX_MOMENTS: f64 = 64.0;

/// The bounds of the learned duration. A shorter moment is over before a decision takes
/// effect; a longer one is followed by the run times.
const SPAN_RANGE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(60));

/// A `MomentSpan` is the expected duration of a slow moment: the time that targets were
/// observed as slow per moment that ended, beginning with the prior. Moments that have not
/// ended yet thereby count as well.
#[derive(Debug)]
pub(in crate::pool_owner) struct MomentSpan {
    prior: Duration,
    slow_seconds: f64,
    ended: f64,
}

impl MomentSpan {
    /// Create the expected duration without observations.
    pub(in crate::pool_owner) fn new(prior: Duration) -> Self {
        MomentSpan {
            prior,
            slow_seconds: 0.0,
            ended: 0.0,
        }
    }

    /// Record what a report of a target tells.
    pub(in crate::pool_owner) fn record(&mut self, progress: MomentProgress) {
        self.slow_seconds += progress.slow_for.as_secs_f64();
        self.ended += f64::from(u8::from(progress.has_ended));
        if self.ended > MAX_MOMENTS {
            self.slow_seconds /= 2.0;
            self.ended /= 2.0;
        }
    }

    /// Get the expected duration.
    pub(in crate::pool_owner) fn get(&self) -> Duration {
        let slow = self.prior.as_secs_f64() * PRIOR_MOMENTS + self.slow_seconds;
        let mean = Duration::from_secs_f64(slow / (PRIOR_MOMENTS + self.ended));
        mean.clamp(SPAN_RANGE.0, SPAN_RANGE.1)
    }
}
