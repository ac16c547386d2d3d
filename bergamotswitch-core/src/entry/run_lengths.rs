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

/// A `RunLengths` is how long recent runs took, from dispatch to their end.
#[derive(Debug, Default)]
pub(super) struct RunLengths {
    recent: HashMap<RuleName, VecDeque<Duration>>,
}

impl RunLengths {
    /// Take in how long a run took to its whole answer.
    pub(super) fn note(&mut self, rule: &RuleName, span: Duration) {
        if !self.recent.contains_key(rule) && self.recent.len() >= MAX_RULES {
            self.recent.clear();
        }
        let spans = self.recent.entry(rule.clone()).or_default();
        if spans.len() == WINDOW {
            spans.pop_front();
        }
        spans.push_back(span);
    }

    /// Take in how long a run had taken when it was broken off. It tells of a
    /// longer run, or nothing: failures that come at once would otherwise fill
    /// the window and push the whole runs out.
    pub(super) fn note_broken(&mut self, rule: &RuleName, span: Duration) {
        let spans = self.recent.get(rule).into_iter().flatten();
        if spans.max().is_some_and(|longest| span > *longest) {
            self.note(rule, span);
        }
    }

    /// Get the longest of the recent runs; `None` where too few were seen.
    pub(super) fn longest(&self, rule: &RuleName) -> Option<Duration> {
        self.telling(rule)?.iter().max().copied()
    }

    /// Get how long nine in ten of the recent runs took at most; `None` where too
    /// few were seen.
    pub(super) fn ninth_decile(&self, rule: &RuleName) -> Option<Duration> {
        let spans = self.telling(rule)?;
        let mut sorted: Vec<Duration> = spans.iter().copied().collect();
        sorted.sort();
        sorted.get(spans.len() * 9 / 10).copied()
    }

    fn telling(&self, rule: &RuleName) -> Option<&VecDeque<Duration>> {
        let spans = self.recent.get(rule)?;
        (spans.len() >= MIN_SAMPLES).then_some(spans)
    }
}
