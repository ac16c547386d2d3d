//! Provides the rate at which a shard's permits are released.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// The window over which releases are counted. Runs last up to some seconds: a
/// longer window would react to a burst too late, and a shorter one would be
/// too noisy.
const SPAN: Duration = Duration::from_secs(1);

/// A `ReleasePace` is the times of recent permit releases.
#[derive(Debug, Default)]
pub struct ReleasePace {
    released: VecDeque<Moment>,
}

impl ReleasePace {
    /// Record that a permit was released.
    pub fn note(&mut self, now: Moment) {
        self.released.push_back(now);
        while let Some(first) = self.released.front()
            && now.since(*first) > SPAN
        {
            self.released.pop_front();
        }
    }

    /// Get the release rate over the window, in permits per second.
    pub fn per_second(&self, now: Moment) -> f64 {
        // The times are sorted. This is called for each new request, so a
        // binary search replaces counting the window's releases.
        let old = self.released.partition_point(|at| now.since(*at) > SPAN);
        let late = self.released.len() - old;
        late as f64 / SPAN.as_secs_f64()
    }
}
