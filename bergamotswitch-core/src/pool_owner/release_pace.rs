//! Provides the pace at which a shard's slots come free.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// The span over which releases are counted. Runs last up to some seconds; a
/// longer span would follow a burst too late, a shorter one be all chance.
const SPAN: Duration = Duration::from_secs(1);

/// A `ReleasePace` counts the permits that came back lately.
#[derive(Debug, Default)]
pub struct ReleasePace {
    released: VecDeque<Moment>,
}

impl ReleasePace {
    /// Note that a permit came back.
    pub fn note(&mut self, now: Moment) {
        self.released.push_back(now);
        while let Some(first) = self.released.front()
            && now.since(*first) > SPAN
        {
            self.released.pop_front();
        }
    }

    /// Get the permits a second that came back lately.
    pub fn per_second(&self, now: Moment) -> f64 {
        // They are in the order of time: an owner asks with each new ask, and
        // a walk over a second's releases would cost more than the answer.
        let old = self.released.partition_point(|at| now.since(*at) > SPAN);
        let late = self.released.len() - old;
        late as f64 / SPAN.as_secs_f64()
    }
}
