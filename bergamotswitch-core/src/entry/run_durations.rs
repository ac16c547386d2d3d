//! Provides how long recent runs took, by rule, and how long another one may
//! take.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::Submission;
use crate::rules::RuleName;

/// How many runs of a rule are remembered: a host that serves ten a second
/// follows a change of its targets within some seconds.
const WINDOW: usize = 64;

/// The least runs that tell anything: the longest of fewer is shorter than one
/// run in ten.
const MIN_SAMPLES: usize = 16;

/// Guesses are similar that are at least so large a part of each other: callers
/// are right about short answers and wrong about long ones.
const SIMILARITY_DIVISOR: u32 = 2;

/// The most rules that are remembered; beyond, all begin anew. A fleet has some
/// hundred.
const MAX_RULES: usize = 2_048;

/// How many times the longest of recent runs is taken for a bound where a call
/// tells nothing of its own length: lengths vary hundredfold.
const DURATION_FACTOR: u32 = 4;

/// How many times the longest of recent times to the first piece is taken for a
/// bound: it is a target's queue and prompt, whatever the call says of its answer.
const FIRST_CHUNK_FACTOR: u32 = 3;

/// How many times the most chunks of recent runs, for the output that was guessed,
/// are taken for a bound.
const CHUNK_FACTOR: f64 = 2.0;

/// The least output that is told apart, in tokens: of smaller guesses the runs
/// take as many chunks.
const MIN_EXPECTED_OUTPUT: u32 = 16;

/// The least chunks from which a run tells its pace: fewer come in one burst.
const MIN_PACE_CHUNKS: u32 = 4;

/// The least runs from which the pace of the next one is told.
const MIN_PACE_RUNS: usize = 4;

/// How old the count of chunks of a run under way may be: targets' answers
/// report it as often.
const CHUNK_COUNT_MAX_AGE: Duration = Duration::from_millis(200);

/// A `RunTiming` is how long a run took, or has taken so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunTiming {
    pub(super) elapsed: Duration,
    /// To its first piece; all of it where none has come.
    pub(super) first_chunk: Duration,
    /// The chunks of its answer.
    pub(super) chunks: u32,
    /// The output that it was thought to need, in tokens.
    pub(super) expected_output: u32,
}

impl RunTiming {
    /// Get the time for each piece after the first, where there were enough.
    fn chunk_interval(&self) -> Option<Duration> {
        let rest = self.elapsed.saturating_sub(self.first_chunk);
        (self.chunks >= MIN_PACE_CHUNKS).then(|| rest / (self.chunks - 1))
    }

    /// Get the least time for each piece of a run under way, whose chunks of the
    /// last moment are not counted yet.
    fn min_chunk_interval(&self) -> Duration {
        let rest = self
            .elapsed
            .saturating_sub(self.first_chunk + CHUNK_COUNT_MAX_AGE);
        rest / self.chunks.max(1)
    }

    /// Get its chunks for each token that was thought of.
    fn chunks_per_token(&self) -> f64 {
        f64::from(self.chunks) / f64::from(self.expected_output.max(MIN_EXPECTED_OUTPUT))
    }
}

/// A `OutputEstimate` is what a call says of its output, in tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutputEstimate {
    expected: u32,
    most: Option<u32>,
}

impl OutputEstimate {
    /// Get the estimate of a submission.
    pub(super) fn of(submission: &Submission) -> Self {
        OutputEstimate {
            expected: submission.cost.decode,
            most: submission.options.max_output_tokens,
        }
    }

    /// Get the most output where it is told apart from the expected one; else
    /// nothing says how long this answer will be among the others.
    fn distinct_max(self) -> Option<u32> {
        self.most.filter(|most| *most > self.expected)
    }
}

/// A `RunDurations` is how long recent runs took, from dispatch to their end.
#[derive(Debug, Default)]
pub(super) struct RunDurations {
    recent: HashMap<RuleName, VecDeque<RunTiming>>,
}

impl RunDurations {
    /// Take in how long a run took to its whole answer.
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

    /// Take in how long a run had taken when it was broken off. It tells of a
    /// longer run, or nothing: failures that come at once would otherwise fill
    /// the window and push the whole runs out.
    pub(super) fn record_aborted(&mut self, rule: &RuleName, run: RunTiming) {
        let runs = self.recent.get(rule).into_iter().flatten();
        let longest = runs.map(|run| run.elapsed).max();
        if longest.is_some_and(|longest| run.elapsed > longest) {
            self.record(rule, run);
        }
    }

    /// Get how long a run of a call may take beside those under way: targets
    /// that have just become slow end none. `None` where too few runs were seen.
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

/// Get the bound of a call that tells its expected output: its chunks, at the
/// slowest pace. Lengths vary hundredfold, pace and what comes of guesses hardly;
/// without it all work of a rule would be taken for as long as its longest.
/// Where few guesses as large as this one were put to the test, the most that it
/// may make is its bound: a host that had seen short answers alone would take a
/// long one for what its caller thinks, and cut it.
fn chunk_bound(
    runs: &VecDeque<RunTiming>,
    in_flight: &[RunTiming],
    expected: u32,
    most: u32,
) -> Option<Duration> {
    let ended: Vec<Duration> = runs.iter().filter_map(RunTiming::chunk_interval).collect();
    if ended.len() < MIN_PACE_RUNS {
        return None;
    }
    let so_far = in_flight.iter().map(RunTiming::min_chunk_interval);
    let pace = ended.into_iter().chain(so_far).max()?;
    let all = || runs.iter().chain(in_flight);
    let first = all().map(|run| run.first_chunk).max()?;
    // Each piece holds a token or more.
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

/// Get whether enough guesses about as large as this one, or larger, were put to
/// the test.
fn has_similar(runs: &VecDeque<RunTiming>, expected: u32) -> bool {
    let least = expected.max(MIN_EXPECTED_OUTPUT) / SIMILARITY_DIVISOR;
    let similar = runs.iter().filter(|run| run.expected_output >= least);
    similar.count() >= MIN_SAMPLES
}

/// Get the bound of any call. One that is thought to need more output than all
/// recent runs is as many times longer: a host that had seen short answers alone
/// would otherwise take an answer thirty times as long for one of these, and cut it.
fn duration_bound(runs: &VecDeque<RunTiming>, in_flight: &[RunTiming], expected: u32) -> Duration {
    let longest = runs.iter().map(|run| run.elapsed).max().unwrap_or_default();
    let most = runs
        .iter()
        .map(|run| run.expected_output)
        .max()
        .unwrap_or(0);
    let chunks_per_token = (f64::from(expected) / f64::from(most.max(1))).max(1.0);
    let ages = in_flight.iter().map(|run| run.elapsed);
    ages.fold(longest.mul_f64(chunks_per_token), Duration::max) * DURATION_FACTOR
}
