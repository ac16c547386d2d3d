//! Provides the median cost of recent requests, by which long requests are
//! distinguished from short ones.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// The number of samples kept.
const SAMPLE_LEN: usize = 256;

/// The number of samples below which no request counts as long.
const SAMPLE_MIN: usize = 8;

/// The minimum time between two samples. A burst of long requests would
/// otherwise raise the median at once and use the capacity reserved for short
/// ones.
const SAMPLE_SPACING: Duration = Duration::from_millis(100);

/// The multiple of the median cost above which a request counts as long.
const LONG_FACTOR: u64 = 8;

/// A `CostSample` is the costs of some recent requests, in tokens.
#[derive(Debug, Default)]
pub struct CostSample {
    recent: VecDeque<u64>,
    taken_at: Moment,
    median: Option<u64>,
}

impl CostSample {
    /// Add a request's tokens if the minimum time since the last sample has
    /// passed.
    pub fn add(&mut self, now: Moment, tokens: u64) {
        let enough = self.recent.len() >= SAMPLE_MIN;
        if enough && now.since(self.taken_at) < SAMPLE_SPACING {
            return;
        }
        self.taken_at = now;
        self.recent.push_back(tokens);
        if self.recent.len() > SAMPLE_LEN {
            self.recent.pop_front();
        }
        if self.recent.len() >= SAMPLE_MIN {
            let mut sorted: Vec<u64> = self.recent.iter().copied().collect();
            sorted.sort_unstable();
            self.median = sorted.get(sorted.len() / 2).copied();
        }
    }

    /// Get whether a request of `tokens` is long compared with recent ones.
    pub fn is_long(&self, tokens: u64) -> bool {
        match self.median {
            Some(median) => tokens > median.saturating_mul(LONG_FACTOR),
            None => false,
        }
    }
}
