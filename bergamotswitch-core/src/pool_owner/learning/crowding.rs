//! Provides by how much a target slows down when it is nearly full.
//!
//! It answers a load on targets of which some slow down with their last slots, so that a
//! request is better off at another target that has more room.

use std::time::Duration;

use crate::clock::Moment;

/// The utilization from which a target counts as nearly full.
const NEARLY_FULL: f64 = 0.85;

/// The part of a run during which the target was nearly full, from which the run counts as
/// crowded, and up to which it counts as one with room. Others tell too little.
const CROWDED_PART: f64 = 0.75;
const ROOMY_PART: f64 = 0.25;

/// The weight of a new sample once there are many; the means cover about 30 runs.
const SAMPLE_WEIGHT: f64 = 0.03;

/// The number of runs of either kind before which nothing is assumed.
const MIN_RUNS: f64 = 10.0;

/// The standard errors by which the learned slowdown is reduced: run times vary by more
/// than most targets slow down, and a slowdown that is none costs capacity.
const DOUBT: f64 = 2.0;

/// The maximum slowdown, on a logarithmic scale: a factor of four.
const MAX_LOG: f64 = 1.386;

/// A `RunMean` is a mean of the logarithms of run times, relative to the expected ones.
#[derive(Clone, Copy, Debug, Default)]
struct RunMean {
    log: f64,
    variance: f64,
    runs: f64,
}

impl RunMean {
    fn add(&mut self, log: f64) {
        self.runs += 1.0;
        let weight = SAMPLE_WEIGHT.max(1.0 / self.runs);
        let off = log - self.log;
        self.log += off * weight;
        self.variance = (1.0 - weight) * (self.variance + off * off * weight);
    }

    /// Get the square of the standard error of the mean.
    fn squared_error(&self) -> f64 {
        self.variance * SAMPLE_WEIGHT.max(1.0 / self.runs)
    }
}

/// A `CrowdingEstimator` is the slowdown of a target when it is nearly full. Without runs
/// of both kinds it can't be told from the target's speed, and there is none.
#[derive(Debug, Default)]
pub(in crate::pool_owner) struct CrowdingEstimator {
    roomy: RunMean,
    crowded: RunMean,
    /// The logarithm of the factor at a nearly full target; cached, since it is read for
    /// each request and target.
    full_log: f64,
    /// For how long the target has been nearly full in total, without the present time.
    full_time: Duration,
    /// Since when it is nearly full.
    full_since: Option<Moment>,
}

impl CrowdingEstimator {
    /// Record that the utilization has changed.
    pub(in crate::pool_owner) fn set_utilization(&mut self, now: Moment, utilization: f64) {
        self.full_time = self.full_time(now);
        self.full_since = (utilization >= NEARLY_FULL).then_some(now);
    }

    /// Get for how long the target has been nearly full in total.
    pub(in crate::pool_owner) fn full_time(&self, now: Moment) -> Duration {
        let present = self.full_since.map(|since| now.since(since));
        self.full_time + present.unwrap_or_default()
    }

    /// Record a run that took `ratio` times as long as expected without crowding.
    /// `crowded_part` is the part of it during which the target was nearly full.
    pub(in crate::pool_owner) fn record(&mut self, crowded_part: f64, ratio: f64) {
        if ratio <= 0.0 {
            return;
        }
        if crowded_part >= CROWDED_PART {
            self.crowded.add(ratio.ln());
        } else if crowded_part <= ROOMY_PART {
            self.roomy.add(ratio.ln());
        }
        self.full_log = self.learned_log();
    }

    /// Get the factor by which a run took longer, of which this part was crowded.
    pub(in crate::pool_owner) fn part_factor(&self, crowded_part: f64) -> f64 {
        match crowded_part > 0.0 {
            true => self.factor(1.0).powf(crowded_part),
            false => 1.0,
        }
    }

    /// Get the factor by which runs take longer at this utilization, 1.0 or more.
    pub(in crate::pool_owner) fn factor(&self, utilization: f64) -> f64 {
        match utilization >= NEARLY_FULL && self.full_log > 0.0 {
            true => self.full_log.exp(),
            false => 1.0,
        }
    }

    /// Get the logarithm of the factor at a nearly full target.
    fn learned_log(&self) -> f64 {
        if self.roomy.runs.min(self.crowded.runs) < MIN_RUNS {
            return 0.0;
        }
        let error = (self.roomy.squared_error() + self.crowded.squared_error()).sqrt();
        let log = self.crowded.log - self.roomy.log - DOUBT * error;
        log.clamp(0.0, MAX_LOG)
    }
}
