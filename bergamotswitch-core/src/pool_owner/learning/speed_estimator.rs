//! Provides the estimation of a target's speed.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Moment;
use crate::permit::PermitId;

use super::slow_moments::SlowMoments;

/// The weight of a new sample, on a logarithmic scale, so that increases and
/// decreases are followed equally fast.
const SAMPLE_WEIGHT: f64 = 0.5;

/// The half-life of the weight of a measured speed. A target measured as slow
/// gets no requests and so no new samples; without decay its recovery would
/// never be noticed.
const SPEED_HALF_LIFE: Duration = Duration::from_secs(30);

/// The weight of the first sample against the published speed.
const FIRST_WEIGHT: f64 = 0.75;

/// The index of the request, by predicted end, that is checked for slowdown.
/// The first ones may be overdue because of a lost release or a wrong estimate.
const SLOWDOWN_CHECK_INDEX: usize = 2;

/// The multiple of its predicted time after which a request counts as overdue.
const OVERDUE_TOLERANCE: f64 = 2.0;

/// The minimum time after which a request is overdue, to allow for scheduling
/// delays on a busy host.
const OVERDUE_FLOOR: Duration = Duration::from_millis(200);

/// An `ExpectedEnd` is the predicted end of a request under a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExpectedEnd {
    /// When the request is predicted to end.
    pub finish_at: Moment,
    /// When the permit was granted.
    pub granted_at: Moment,
    /// The permit.
    pub permit: PermitId,
}

/// A `SpeedEstimator` is the estimated speed of a target.
#[derive(Debug)]
pub struct SpeedEstimator {
    published: f64,
    speed: f64,
    measured_at: Option<Moment>,
    expected_ends: BTreeSet<ExpectedEnd>,
}

impl SpeedEstimator {
    /// Create the estimator of a target with this published speed in tokens per
    /// second.
    pub fn new(published: u32) -> Self {
        let published = f64::from(published.max(1));
        SpeedEstimator {
            published,
            speed: published,
            measured_at: None,
            expected_ends: BTreeSet::new(),
        }
    }

    /// Set the published speed.
    pub fn publish(&mut self, published: u32) {
        self.published = f64::from(published.max(1));
        if self.measured_at.is_none() {
            self.speed = self.published;
        }
    }

    /// Get the predicted speed in tokens per second, without a slow moment.
    pub fn speed(&self, now: Moment, moments: Option<&SlowMoments>) -> f64 {
        self.measured_speed(now) * self.slowdown(now, moments)
    }

    /// Add a request that is expected to end.
    pub fn add_expected_end(&mut self, end: ExpectedEnd) {
        self.expected_ends.insert(end);
    }

    /// Remove a request that is no longer expected to end.
    pub fn remove_expected_end(&mut self, end: &ExpectedEnd) {
        self.expected_ends.remove(end);
    }

    /// Get the factor, at most 1, by which overdue requests reduce the measured
    /// speed.
    ///
    /// A stalled engine completes nothing and so gives no samples: without this
    /// factor it would keep its speed and its limit, and get more requests. Time that
    /// the target's slow moments explain does not count.
    pub fn slowdown(&self, now: Moment, moments: Option<&SlowMoments>) -> f64 {
        let index = SLOWDOWN_CHECK_INDEX.min(self.expected_ends.len().saturating_sub(1));
        let Some(end) = self.expected_ends.iter().nth(index) else {
            return 1.0;
        };
        let age = now.since(end.granted_at);
        let predicted = end.finish_at.since(end.granted_at).as_secs_f64();
        let allowed = (predicted * OVERDUE_TOLERANCE).max(OVERDUE_FLOOR.as_secs_f64());
        if age.as_secs_f64() <= allowed {
            return 1.0;
        }
        let explained = moments.map_or(1.0, |moments| moments.run_factor(now, age));
        let usual_age = age.as_secs_f64() / explained.max(1.0);
        (allowed / usual_age).min(1.0)
    }

    /// Get the measured speed, which decays towards the published one.
    fn measured_speed(&self, now: Moment) -> f64 {
        let Some(measured_at) = self.measured_at else {
            return self.speed;
        };
        // Only a published speed above the measured one is approached: a good
        // measurement stays valid, and a wrong published value must not
        // override it.
        if self.published <= self.speed {
            return self.speed;
        }
        let weight = decay(now.since(measured_at), SPEED_HALF_LIFE);
        blend(self.published, self.speed, weight)
    }

    /// Record a sample: `tokens` were processed in `span`.
    pub fn record(&mut self, now: Moment, tokens: f64, span: Duration) {
        let sample = (tokens / span.as_secs_f64()).max(1.0);
        let weight = match self.measured_at {
            Some(_) => SAMPLE_WEIGHT,
            None => FIRST_WEIGHT,
        };
        self.speed = blend(self.speed, sample, weight);
        self.measured_at = Some(now);
    }
}

/// Get the weighted geometric mean of two speeds; `weight` is that of the
/// second.
fn blend(first: f64, second: f64, weight: f64) -> f64 {
    (first.log2() * (1.0 - weight) + second.log2() * weight).exp2()
}

/// Get the weight that is left after `age`, from 1 downwards.
pub(in crate::pool_owner) fn decay(age: Duration, half_life: Duration) -> f64 {
    let halves = age.as_secs_f64() / half_life.as_secs_f64();
    (-halves).exp2()
}
