//! Provides the times that runs take at a target, from recent ones.

use std::time::Duration;

use crate::permit::Usage;
use crate::request::TokenCost;

/// The weight of a new sample once there are many: some seven runs are
/// remembered.
const SAMPLE_WEIGHT: f64 = 0.15;

/// What a run costs before its prompt is read, as prompt tokens: engines take
/// some 34 ms to begin, in which they read 4,000 to 5,000.
const BASE_TOKENS: f64 = 4_500.0;

/// The part of the time to the first output that an empty target takes as
/// well, against a full one.
const EMPTY_PART: f64 = 0.4;

/// A `RunGauge` is what recent whole answers of a target took.
///
/// Targets of one pool differ fivefold in speed. Under overload, work in the
/// order of deadlines is dispatched just before its deadline; each run then
/// ends too late, and its prompt was processed for nothing. One sees goodput
/// of a tier near zero at full load.
#[derive(Debug, Default)]
pub struct RunGauge {
    means: Option<RunMeans>,
    samples: u32,
}

/// A `RunSample` is what one run took.
#[derive(Clone, Copy, Debug)]
pub struct RunSample<'a> {
    /// What it was thought to cost.
    pub cost: TokenCost,
    /// What it used.
    pub usage: &'a Usage,
    /// How full the target was when it began, 1 for full.
    pub crowd: f64,
}

#[derive(Clone, Copy, Debug)]
struct RunMeans {
    /// The time to the first output at a full target, for a prompt of
    /// `prompt` tokens.
    first_ms: f64,
    prompt: f64,
    token_ms: f64,
    run_ms: f64,
    /// The part of the estimated output that really comes.
    output_part: f64,
}

impl RunGauge {
    /// Get whether some run was seen.
    pub fn is_known(&self) -> bool {
        self.means.is_some()
    }

    /// Get how many milliseconds recent runs took.
    pub fn mean_run_ms(&self) -> Option<f64> {
        self.means.map(|means| means.run_ms)
    }

    /// Learn from a whole answer.
    pub fn learn(&mut self, sample: &RunSample<'_>) {
        let usage = sample.usage;
        if usage.decode == 0 {
            return;
        }
        let decoding = usage.elapsed_ms.saturating_sub(usage.first_token_ms);
        let new = RunMeans {
            first_ms: f64::from(usage.first_token_ms) / crowding(sample.crowd),
            prompt: f64::from(sample.cost.prefill),
            token_ms: f64::from(decoding) / f64::from(usage.decode),
            run_ms: f64::from(usage.elapsed_ms),
            output_part: f64::from(usage.decode) / f64::from(sample.cost.decode.max(1)),
        };
        self.samples = self.samples.saturating_add(1);
        let Some(means) = &mut self.means else {
            self.means = Some(new);
            return;
        };
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        follow(&mut means.first_ms, new.first_ms, weight);
        follow(&mut means.prompt, new.prompt, weight);
        follow(&mut means.token_ms, new.token_ms, weight);
        follow(&mut means.run_ms, new.run_ms, weight);
        follow(&mut means.output_part, new.output_part.min(1.0), weight);
    }

    /// Get how many milliseconds the first output of a run should take at a
    /// target that is so full; zero where nothing is known.
    pub fn first_ms(&self, cost: TokenCost, crowd: f64) -> f64 {
        let Some(means) = self.means else {
            return 0.0;
        };
        let prompt = BASE_TOKENS + f64::from(cost.prefill);
        let factor = prompt / (BASE_TOKENS + means.prompt) * crowding(crowd);
        means.first_ms * factor
    }

    /// Get how many milliseconds a run should take at a full target; zero
    /// where nothing is known.
    pub fn expected_ms(&self, cost: TokenCost) -> f64 {
        let Some(means) = self.means else {
            return 0.0;
        };
        let output = f64::from(cost.decode) * means.output_part;
        self.first_ms(cost, 1.0) + output * means.token_ms
    }
}

/// Get a span in milliseconds, as predicted times are.
pub(super) fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

/// Get the span of so many milliseconds.
pub(super) fn span_of(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1_000.0)
}

/// Get the part of a full target's time to the first output.
fn crowding(crowd: f64) -> f64 {
    EMPTY_PART + (1.0 - EMPTY_PART) * crowd.clamp(0.0, 1.0)
}

fn follow(mean: &mut f64, sample: f64, weight: f64) {
    *mean += (sample - *mean) * weight;
}
