//! Provides the predicted times of a request over the targets of a shard.

use std::time::Duration;

use super::run_time_estimator::from_millis;
use super::target_load::TargetLoad;
use crate::request::TokenCost;

/// A `RunEstimate` is the predicted times of a request; zero without any target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunEstimate {
    /// The time to first token on the fastest target.
    pub first_token: Duration,
    /// The run time, the mean over the targets.
    pub run: Duration,
    /// The run time that a quarter of the targets keep. A request that is too long for
    /// slower ones is served by these.
    pub quick_run: Duration,
    /// How long the request holds a slot, on average over the slots that are in use: fast
    /// targets serve more requests, so the mean is the harmonic one. It is zero before the
    /// first run.
    pub work: Duration,
}

/// The part of the targets, as a divisor, whose run time is the quick one.
const QUICK_DIVISOR: usize = 4;

/// A `RunSums` is the sums over targets from which an estimate is made.
#[derive(Clone, Debug, Default)]
pub(in crate::pool_owner) struct RunSums {
    count: u32,
    first_ms: Option<f64>,
    run_ms: f64,
    slots: f64,
    slot_rate: f64,
    /// The run times at the targets that have completed a run.
    measured_ms: Vec<f64>,
}

impl RunSums {
    /// Add a target that works.
    pub(in crate::pool_owner) fn add(&mut self, load: &TargetLoad, cost: TokenCost) {
        let first_ms = load.first_ms(cost);
        let run_ms = load.run_ms(cost);
        self.count += 1;
        self.first_ms = Some(self.first_ms.map_or(first_ms, |least| least.min(first_ms)));
        self.run_ms += run_ms;
        if load.has_run() {
            self.measured_ms.push(run_ms);
            let slots = f64::from(load.target().slots.unwrap_or_default());
            self.slots += slots;
            self.slot_rate += slots / run_ms.max(1.0);
        }
    }

    /// Get the estimate.
    pub(in crate::pool_owner) fn estimate(mut self) -> RunEstimate {
        RunEstimate {
            first_token: self.first_ms.map_or(Duration::ZERO, from_millis),
            run: from_millis(self.run_ms / f64::from(self.count.max(1))),
            quick_run: self.quick_run(),
            work: match self.slot_rate > 0.0 {
                true => from_millis(self.slots / self.slot_rate),
                false => Duration::ZERO,
            },
        }
    }

    /// Get how many quarters of the targets, rounded up, are predicted to take longer than
    /// `longest_ms`.
    pub(in crate::pool_owner) fn slow_quarters(&self, longest_ms: f64) -> u8 {
        let runs = self.measured_ms.iter();
        let slow = runs.filter(|run_ms| **run_ms > longest_ms).count();
        (slow * 4).div_ceil(self.measured_ms.len().max(1)) as u8
    }

    fn quick_run(&mut self) -> Duration {
        let index = self.measured_ms.len().saturating_sub(1) / QUICK_DIVISOR;
        if self.measured_ms.is_empty() {
            return Duration::ZERO;
        }
        let (_, run_ms, _) = self
            .measured_ms
            .select_nth_unstable_by(index, f64::total_cmp);
        from_millis(*run_ms)
    }
}
