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

/// Guesses are alike that are at least so large a part of each other: callers
/// are right about short answers and wrong about long ones.
const ALIKE_PARTS: u32 = 2;

/// The most rules that are remembered; beyond, all begin anew. A fleet has some
/// hundred.
const MAX_RULES: usize = 2_048;

/// How many times the longest of recent runs is taken for a bound where a call
/// tells nothing of its own length: lengths vary hundredfold.
const LENGTH_FACTOR: u32 = 4;

/// How many times the longest of recent times to the first piece is taken for a
/// bound: it is a target's queue and prompt, whatever the call says of its answer.
const FIRST_FACTOR: u32 = 3;

/// How many times the most pieces of recent runs, for the output that was guessed,
/// are taken for a bound.
const PIECES_FACTOR: f64 = 2.0;

/// The least output that is told apart, in tokens: of smaller guesses the runs
/// take as many pieces.
const LEAST_GUESS: u32 = 16;

/// The least pieces from which a run tells its pace: fewer come in one burst.
const PACE_PIECES: u32 = 4;

/// The least runs from which the pace of the next one is told.
const PACE_RUNS: usize = 4;

/// How old the count of pieces of a run under way may be: targets' answers
/// report it as often.
const PIECES_AGE: Duration = Duration::from_millis(200);

/// A `RunSpan` is how long a run took, or has taken so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunSpan {
    pub(super) span: Duration,
    /// To its first piece; all of it where none has come.
    pub(super) first: Duration,
    /// The pieces of its answer.
    pub(super) pieces: u32,
    /// The output that it was thought to need, in tokens.
    pub(super) output: u32,
}

impl RunSpan {
    /// Get the time for each piece after the first, where there were enough.
    fn pace(&self) -> Option<Duration> {
        let rest = self.span.saturating_sub(self.first);
        (self.pieces >= PACE_PIECES).then(|| rest / (self.pieces - 1))
    }

    /// Get the least time for each piece of a run under way, whose pieces of the
    /// last moment are not counted yet.
    fn pace_so_far(&self) -> Duration {
        let rest = self.span.saturating_sub(self.first + PIECES_AGE);
        rest / self.pieces.max(1)
    }

    /// Get its pieces for each token that was thought of.
    fn growth(&self) -> f64 {
        f64::from(self.pieces) / f64::from(self.output.max(LEAST_GUESS))
    }
}

/// A `CallSize` is what a call says of its output, in tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallSize {
    likely: u32,
    most: Option<u32>,
}

impl CallSize {
    /// Get the size of a submission.
    pub(super) fn of(submission: &Submission) -> Self {
        CallSize {
            likely: submission.cost.decode,
            most: submission.options.max_output_tokens,
        }
    }

    /// Get the most output where it is told apart from the likely one; else
    /// nothing says how long this answer will be among the others.
    fn most_beside_guess(self) -> Option<u32> {
        self.most.filter(|most| *most > self.likely)
    }
}

/// A `RunLengths` is how long recent runs took, from dispatch to their end.
#[derive(Debug, Default)]
pub(super) struct RunLengths {
    recent: HashMap<RuleName, VecDeque<RunSpan>>,
}

impl RunLengths {
    /// Take in how long a run took to its whole answer.
    pub(super) fn note(&mut self, rule: &RuleName, run: RunSpan) {
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
    pub(super) fn note_broken(&mut self, rule: &RuleName, run: RunSpan) {
        let runs = self.recent.get(rule).into_iter().flatten();
        let longest = runs.map(|run| run.span).max();
        if longest.is_some_and(|longest| run.span > longest) {
            self.note(rule, run);
        }
    }

    /// Get how long a run of a call may take beside those under way: targets
    /// that have just become slow end none. `None` where too few runs were seen.
    pub(super) fn bound(
        &self,
        rule: &RuleName,
        size: CallSize,
        under_way: &[RunSpan],
    ) -> Option<Duration> {
        let runs = self.recent.get(rule)?;
        if runs.len() < MIN_SAMPLES {
            return None;
        }
        let most = size.most_beside_guess();
        let by_pieces = most.and_then(|most| piece_bound(runs, under_way, size.likely, most));
        let by_length = || length_bound(runs, under_way, size.likely);
        Some(by_pieces.unwrap_or_else(by_length))
    }
}

/// Get the bound of a call that tells its likely output: its pieces, at the
/// slowest pace. Lengths vary hundredfold, pace and what comes of guesses hardly;
/// without it all work of a rule would be taken for as long as its longest.
/// Where few guesses as large as this one were put to the test, the most that it
/// may make is its bound: a host that had seen short answers alone would take a
/// long one for what its caller thinks, and cut it.
fn piece_bound(
    runs: &VecDeque<RunSpan>,
    under_way: &[RunSpan],
    likely: u32,
    most: u32,
) -> Option<Duration> {
    let ended: Vec<Duration> = runs.iter().filter_map(RunSpan::pace).collect();
    if ended.len() < PACE_RUNS {
        return None;
    }
    let so_far = under_way.iter().map(RunSpan::pace_so_far);
    let pace = ended.into_iter().chain(so_far).max()?;
    let all = || runs.iter().chain(under_way);
    let first = all().map(|run| run.first).max()?;
    // Each piece holds a token or more.
    let most = f64::from(most);
    let pieces = match has_alike(runs, likely) {
        true => {
            let growth = all().map(RunSpan::growth).fold(0.0, f64::max);
            (f64::from(likely.max(LEAST_GUESS)) * growth * PIECES_FACTOR).min(most)
        }
        false => most,
    };
    Some(first * FIRST_FACTOR + pace.mul_f64(pieces))
}

/// Get whether enough guesses about as large as this one, or larger, were put to
/// the test.
fn has_alike(runs: &VecDeque<RunSpan>, likely: u32) -> bool {
    let least = likely.max(LEAST_GUESS) / ALIKE_PARTS;
    let alike = runs.iter().filter(|run| run.output >= least);
    alike.count() >= MIN_SAMPLES
}

/// Get the bound of any call. One that is thought to need more output than all
/// recent runs is as many times longer: a host that had seen short answers alone
/// would otherwise take an answer thirty times as long for one of these, and cut it.
fn length_bound(runs: &VecDeque<RunSpan>, under_way: &[RunSpan], likely: u32) -> Duration {
    let longest = runs.iter().map(|run| run.span).max().unwrap_or_default();
    let most = runs.iter().map(|run| run.output).max().unwrap_or(0);
    let growth = (f64::from(likely) / f64::from(most.max(1))).max(1.0);
    let ages = under_way.iter().map(|run| run.span);
    ages.fold(longest.mul_f64(growth), Duration::max) * LENGTH_FACTOR
}
