//! Provides how long recent runs took, by rule.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::rules::RuleName;

/// How many runs of a rule are remembered: a host that serves ten a second
/// follows a change of its targets within some seconds.
const WINDOW: usize = 64;

/// The least runs that tell anything: the longest of fewer is shorter than one
/// run in ten.
const MIN_SAMPLES: usize = 16;

/// The most rules that are remembered; beyond, all begin anew. A fleet has some
/// hundred.
const MAX_RULES: usize = 2_048;

/// A `RunSpan` is how long a run took, and how much output it was thought to
/// need.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunSpan {
    pub(super) span: Duration,
    pub(super) output: u32,
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

    /// Get the longest of the recent runs; `None` where too few were seen. For a
    /// call that is thought to need more output than all of them it is as many
    /// times longer: a host that had seen short answers alone would otherwise
    /// take an answer thirty times as long for one of these, and cut it.
    pub(super) fn longest(&self, rule: &RuleName, output: u32) -> Option<Duration> {
        let runs = self.telling(rule)?;
        let span = runs.iter().map(|run| run.span).max()?;
        Some(span.mul_f64(growth(runs, output)))
    }

    /// Get how long nine in ten of the recent runs took at most; `None` where too
    /// few were seen. A call that needs more output counts as above.
    pub(super) fn ninth_decile(&self, rule: &RuleName, output: u32) -> Option<Duration> {
        let runs = self.telling(rule)?;
        let mut spans: Vec<Duration> = runs.iter().map(|run| run.span).collect();
        spans.sort();
        let span = spans.get(runs.len() * 9 / 10)?;
        Some(span.mul_f64(growth(runs, output)))
    }

    fn telling(&self, rule: &RuleName) -> Option<&VecDeque<RunSpan>> {
        let runs = self.recent.get(rule)?;
        (runs.len() >= MIN_SAMPLES).then_some(runs)
    }
}

/// Get how many times more output a call is thought to need than any of the
/// runs, at least 1.
fn growth(runs: &VecDeque<RunSpan>, output: u32) -> f64 {
    let most = runs.iter().map(|run| run.output).max().unwrap_or(0);
    (f64::from(output) / f64::from(most.max(1))).max(1.0)
}
