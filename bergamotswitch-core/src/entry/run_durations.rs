//! Provides the durations of recent runs by rule, and an estimate of the longest
//! that the next run may take. It proves nothing.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::Submission;
use crate::rules::RuleName;

/// The number of recent runs that are kept per rule. It is small enough to
/// adapt within seconds to a change of the targets.
const WINDOW: usize = 64;

/// The minimum number of runs for an estimate. With fewer samples, one run in
/// ten would exceed the longest sample.
const MIN_SAMPLES: usize = 16;

/// The ratio up to which two output estimates count as similar. Callers
/// estimate short answers well and long ones badly.
const SIMILARITY_DIVISOR: u32 = 2;

/// The maximum number of rules. All records are dropped when it is exceeded.
const MAX_RULES: usize = 2_048;

/// The safety factor on the longest recent run, for calls without an estimate
/// of their output. Durations vary by orders of magnitude.
const DURATION_FACTOR: u32 = 4;

/// The safety factor on the longest recent time to the first chunk, which
/// depends on the target's queue and the prompt, and not on the length of the
/// answer.
const FIRST_CHUNK_FACTOR: u32 = 3;

/// The safety factor on the largest recent ratio of chunks to expected output.
const CHUNK_FACTOR: f64 = 2.0;

/// The smallest output estimate that is distinguished, in tokens. Runs with
/// smaller estimates produce as many chunks.
const MIN_EXPECTED_OUTPUT: u32 = 16;

/// The minimum number of chunks of a run from which a chunk interval is
/// derived. Fewer chunks arrive in one burst.
const MIN_INTERVAL_CHUNKS: u32 = 4;

/// The minimum number of runs with a chunk interval for an estimate by chunks.
const MIN_INTERVAL_RUNS: usize = 4;

/// The maximum age of the chunk count of a current run; it matches the interval
/// at which progress is reported.
const CHUNK_COUNT_MAX_AGE: Duration = Duration::from_millis(200);

/// A `RunTiming` is the timing of an ended or current run.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunTiming {
    pub(super) elapsed: Duration,
    /// The time to the first chunk, or the elapsed time if there is none.
    pub(super) first_chunk: Duration,
    /// The number of chunks of the answer.
    pub(super) chunks: u32,
    /// The estimated output, in tokens.
    pub(super) expected_output: u32,
}

impl RunTiming {
    /// Get the mean interval between chunks, or `None` for too few chunks.
    fn chunk_interval(&self) -> Option<Duration> {
        let rest = self.elapsed.saturating_sub(self.first_chunk);
        (self.chunks >= MIN_INTERVAL_CHUNKS).then(|| rest / (self.chunks - 1))
    }

    /// Get a lower bound for the chunk interval of a current run, whose chunk
    /// count may be slightly outdated.
    fn min_chunk_interval(&self) -> Duration {
        let rest = self
            .elapsed
            .saturating_sub(self.first_chunk + CHUNK_COUNT_MAX_AGE);
        rest / self.chunks.max(1)
    }

    /// Get the ratio of chunks to expected output tokens.
    fn chunks_per_token(&self) -> f64 {
        f64::from(self.chunks) / f64::from(self.expected_output.max(MIN_EXPECTED_OUTPUT))
    }
}

/// An `OutputEstimate` is a call's estimate of its output, in tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutputEstimate {
    expected: u32,
    most: Option<u32>,
}

impl OutputEstimate {
    pub(super) fn of(submission: &Submission) -> Self {
        OutputEstimate {
            expected: submission.cost.decode,
            most: submission.options.max_output_tokens,
        }
    }

    /// Get the maximum output, if it differs from the expected output. If they
    /// are equal, the expected output was not stated separately and says
    /// nothing about the length of the answer.
    fn distinct_max(self) -> Option<u32> {
        self.most.filter(|most| *most > self.expected)
    }
}

/// A `RunDurations` holds the timings of recent runs by rule, from dispatch to
/// the end of the run.
#[derive(Debug, Default)]
pub(super) struct RunDurations {
    recent: HashMap<RuleName, VecDeque<RunTiming>>,
}

impl RunDurations {
    /// Record a run with a complete answer.
    pub(super) fn record(&mut self, rule: &RuleName, run: RunTiming) {
        let Some(runs) = self.recent.get_mut(rule) else {
            if self.recent.len() >= MAX_RULES {
                self.recent.clear();
            }
            self.recent.insert(rule.clone(), VecDeque::from([run]));
            return;
        };
        if runs.len() == WINDOW {
            runs.pop_front();
        }
        runs.push_back(run);
    }

    /// Record a run that was aborted or failed, if it lasted longer than all
    /// recent runs. A burst of early failures would otherwise displace the
    /// complete runs.
    pub(super) fn record_aborted(&mut self, rule: &RuleName, run: RunTiming) {
        let runs = self.recent.get(rule).into_iter().flatten();
        let longest = runs.map(|run| run.elapsed).max();
        if longest.is_some_and(|longest| run.elapsed > longest) {
            self.record(rule, run);
        }
    }

    /// Get an upper bound for the duration of a run, or `None` if too few runs
    /// were recorded. Current runs are taken into account because targets that
    /// have just become slow complete none.
    pub(super) fn bound(
        &self,
        rule: &RuleName,
        estimate: OutputEstimate,
        in_flight: &[RunTiming],
    ) -> Option<Duration> {
        let runs = self.recent.get(rule)?;
        if runs.len() < MIN_SAMPLES {
            return None;
        }
        let most = estimate.distinct_max();
        let by_chunks = most.and_then(|most| chunk_bound(runs, in_flight, estimate.expected, most));
        let by_duration = || duration_bound(runs, in_flight, estimate.expected);
        Some(by_chunks.unwrap_or_else(by_duration))
    }
}

/// Get the bound for a call with an output estimate: the expected number of
/// chunks at the largest recent chunk interval. Unlike durations, chunk
/// intervals and the errors of estimates vary little within a rule. If too few
/// runs had a similar estimate, the maximum output is used instead, as errors
/// of small estimates do not apply to large ones.
fn chunk_bound(
    runs: &VecDeque<RunTiming>,
    in_flight: &[RunTiming],
    expected: u32,
    most: u32,
) -> Option<Duration> {
    let ended: Vec<Duration> = runs.iter().filter_map(RunTiming::chunk_interval).collect();
    if ended.len() < MIN_INTERVAL_RUNS {
        return None;
    }
    let current = in_flight.iter().map(RunTiming::min_chunk_interval);
    let pace = ended.into_iter().chain(current).max()?;
    let all = || runs.iter().chain(in_flight);
    let first = all().map(|run| run.first_chunk).max()?;
    // Each chunk holds at least one token.
    let most = f64::from(most);
    let chunks = match has_similar(runs, expected) {
        true => {
            let chunks_per_token = all().map(RunTiming::chunks_per_token).fold(0.0, f64::max);
            (f64::from(expected.max(MIN_EXPECTED_OUTPUT)) * chunks_per_token * CHUNK_FACTOR)
                .min(most)
        }
        false => most,
    };
    Some(first * FIRST_CHUNK_FACTOR + pace.mul_f64(chunks))
}

/// Get whether enough recent runs had an estimate about as large as this one,
/// or larger.
fn has_similar(runs: &VecDeque<RunTiming>, expected: u32) -> bool {
    let least = expected.max(MIN_EXPECTED_OUTPUT) / SIMILARITY_DIVISOR;
    let similar = runs.iter().filter(|run| run.expected_output >= least);
    similar.count() >= MIN_SAMPLES
}

/// Get the bound for a call without a usable output estimate. It is scaled up
/// if the call expects more output than all recent runs, so that a long answer
/// is not mistaken for a short one.
fn duration_bound(runs: &VecDeque<RunTiming>, in_flight: &[RunTiming], expected: u32) -> Duration {
    let longest = runs.iter().map(|run| run.elapsed).max().unwrap_or_default();
    let most = runs
        .iter()
        .map(|run| run.expected_output)
        .max()
        .unwrap_or(0);
    let scale = (f64::from(expected) / f64::from(most.max(1))).max(1.0);
    let ages = in_flight.iter().map(|run| run.elapsed);
    ages.fold(longest.mul_f64(scale), Duration::max) * DURATION_FACTOR
}
