//! Provides the estimation of a target's run times from recent runs.

use std::time::Duration;

use crate::permit::Usage;
use crate::request::TokenCost;

/// The weight of a new sample once there are many; the mean covers about seven
/// runs.
const SAMPLE_WEIGHT: f64 = 0.15;

/// The fixed cost of a run before its prompt is processed, in prompt tokens.
const BASE_TOKENS: f64 = 4_500.0;

/// The time to first token at an idle target as a fraction of that at a full
/// one.
const IDLE_FRACTION: f64 = 0.4;

/// A `RunTimeEstimator` is the estimated run times of a target, from recent
/// completed runs.
///
/// Targets of one pool may differ several times in speed. Without these
/// estimates, requests under overload would be dispatched just before their
/// deadlines, end too late, and waste the processing of their prompts.
#[derive(Debug, Default)]
pub struct RunTimeEstimator {
    means: Option<RunMeans>,
    samples: u32,
}

/// A `RunSample` is the data of one completed run.
#[derive(Clone, Copy, Debug)]
pub struct RunSample<'a> {
    /// The estimated cost.
    pub cost: TokenCost,
    /// The reported usage.
    pub usage: &'a Usage,
    /// The target's utilization when the run began, 1 when full.
    pub utilization: f64,
    /// The part of the run during which the target was nearly full.
    pub crowded_part: f64,
}

#[derive(Clone, Copy, Debug)]
struct RunMeans {
    /// The time to first token at a full target, for a prompt of `prompt`
    /// tokens.
    first_ms: f64,
    prompt: f64,
    token_ms: f64,
    run_ms: f64,
    /// The actual output as a fraction of the estimated output.
    output_fraction: f64,
}

impl RunTimeEstimator {
    /// Get whether a run has been recorded.
    pub fn has_run(&self) -> bool {
        self.means.is_some()
    }

    /// Get the mean run time in milliseconds.
    pub fn mean_run_ms(&self) -> Option<f64> {
        self.means.map(|means| means.run_ms)
    }

    /// Record a completed run.
    pub fn record(&mut self, sample: &RunSample<'_>) {
        let usage = sample.usage;
        if usage.decode == 0 {
            return;
        }
        let decoding = usage.elapsed_ms.saturating_sub(usage.first_token_ms);
        let new = RunMeans {
            first_ms: f64::from(usage.first_token_ms) / first_token_factor(sample.utilization),
            prompt: f64::from(sample.cost.prefill),
            token_ms: f64::from(decoding) / f64::from(usage.decode),
            run_ms: f64::from(usage.elapsed_ms),
            output_fraction: f64::from(usage.decode) / f64::from(sample.cost.decode.max(1)),
        };
        self.samples = self.samples.saturating_add(1);
        let Some(means) = &mut self.means else {
            self.means = Some(new);
            return;
        };
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        update_mean(&mut means.first_ms, new.first_ms, weight);
        update_mean(&mut means.prompt, new.prompt, weight);
        update_mean(&mut means.token_ms, new.token_ms, weight);
        update_mean(&mut means.run_ms, new.run_ms, weight);
        update_mean(
            &mut means.output_fraction,
            new.output_fraction.min(1.0),
            weight,
        );
    }

    /// Get the predicted time to first token in milliseconds at a target of
    /// this utilization; zero without samples.
    pub fn first_ms(&self, cost: TokenCost, utilization: f64) -> f64 {
        let Some(means) = self.means else {
            return 0.0;
        };
        let prompt = BASE_TOKENS + f64::from(cost.prefill);
        let factor = prompt / (BASE_TOKENS + means.prompt) * first_token_factor(utilization);
        means.first_ms * factor
    }

    /// Get the expected duration of a completed run, in milliseconds, given its actual
    /// output; `None` without samples.
    pub fn expected_run_ms(&self, sample: &RunSample<'_>) -> Option<f64> {
        let means = self.means?;
        let output_ms = f64::from(sample.usage.decode) * means.token_ms;
        Some(self.first_ms(sample.cost, sample.utilization) + output_ms)
    }

    /// Get the predicted run time in milliseconds at a full target; zero
    /// without samples.
    pub fn expected_ms(&self, cost: TokenCost) -> f64 {
        let Some(means) = self.means else {
            return 0.0;
        };
        let output = f64::from(cost.decode) * means.output_fraction;
        self.first_ms(cost, 1.0) + output * means.token_ms
    }
}

/// Get a duration in milliseconds.
pub(in crate::pool_owner) fn as_millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

/// Get the duration of this many milliseconds.
pub(in crate::pool_owner) fn from_millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1_000.0)
}

/// Get the time to first token at this utilization as a fraction of that at a
/// full target.
fn first_token_factor(utilization: f64) -> f64 {
    IDLE_FRACTION + (1.0 - IDLE_FRACTION) * utilization.clamp(0.0, 1.0)
}

fn update_mean(mean: &mut f64, sample: f64, weight: f64) {
    *mean += (sample - *mean) * weight;
}
