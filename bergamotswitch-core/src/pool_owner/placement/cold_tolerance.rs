//! Provides how far requests to a cold target may exceed the rate that it bears.

use crate::target::RequestRate;

/// The part of the allowance beyond the rate that owners grant as a burst. The rest is for
/// requests that arrive closer together than they were granted.
const BURST_PART: f64 = 0.25;

/// A `ColdTolerance` is how many requests a cold target may get in any second: the rate that
/// it bears times a factor, and a number of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// The factor of the rate.
    pub factor: f64,
    /// The requests beyond that.
    pub slack: f64,
}

impl Default for ColdTolerance {
    /// Get the tolerance that allows nothing beyond the rate.
    fn default() -> Self {
        ColdTolerance {
            factor: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdTolerance {
    /// Get the rate at which requests are granted, per second.
    pub(in crate::pool_owner) fn per_second(self, rate: RequestRate) -> f64 {
        rate.per_second().min(self.in_one_second(rate))
    }

    /// Get how many requests may be granted at once after a pause.
    pub(in crate::pool_owner) fn burst(self, rate: RequestRate) -> f64 {
        (self.in_one_second(rate) - self.per_second(rate)) * BURST_PART
    }

    fn in_one_second(self, rate: RequestRate) -> f64 {
        rate.per_second() * self.factor + self.slack
    }
}
