//! Provides the rate of events of the last moments, such as the releases of permits.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// An `EventRate` is the times of the events within a window.
#[derive(Debug)]
pub struct EventRate {
    window: Duration,
    times: VecDeque<Moment>,
}

impl EventRate {
    /// Create the rate of events over a window.
    pub fn over(window: Duration) -> Self {
        EventRate {
            window,
            times: VecDeque::new(),
        }
    }

    /// Record an event.
    pub fn record(&mut self, now: Moment) {
        self.times.push_back(now);
        while let Some(first) = self.times.front()
            && now.since(*first) > self.window
        {
            self.times.pop_front();
        }
    }

    /// Get the number of events within the window.
    pub fn count(&self, now: Moment) -> usize {
        // The times are sorted. This is called for each new request, so a binary
        // search replaces counting.
        let old = self
            .times
            .partition_point(|at| now.since(*at) > self.window);
        self.times.len() - old
    }

    /// Get the rate over the window, in events per second.
    pub fn per_second(&self, now: Moment) -> f64 {
        self.count(now) as f64 / self.window.as_secs_f64()
    }
}
