//! Provides the rate at which a shard's permits are released.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// The window over which releases are counted. Runs last up to some seconds: a
/// longer window would react to a burst too late, and a shorter one would be
/// too noisy.
const WINDOW: Duration = Duration::from_secs(1);

/// A `ReleaseRate` is the times of recent permit releases.
#[derive(Debug, Default)]
pub struct ReleaseRate {
    released: VecDeque<Moment>,
}

impl ReleaseRate {
    /// Record that a permit was released.
    pub fn record(&mut self, now: Moment) {
        self.released.push_back(now);
        while let Some(first) = self.released.front()
            && now.since(*first) > WINDOW
        {
            self.released.pop_front();
        }
    }

    /// Get the release rate over the window, in permits per second.
    pub fn per_second(&self, now: Moment) -> f64 {
        // The times are sorted. This is called for each new request, so a
        // binary search replaces counting the window's releases.
        let old = self.released.partition_point(|at| now.since(*at) > WINDOW);
        let recent = self.released.len() - old;
        recent as f64 / WINDOW.as_secs_f64()
    }
}
