//! Provides how long recent runs took, by rule.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::rules::RuleName;

/// How many runs of a rule are remembered: one run in so many is longer than
/// all that are, and a host that serves ten a second follows a change of its
/// targets within some seconds.
const REMEMBERED: usize = 64;

/// The least runs that tell anything: a few short ones say nothing of the long
/// ones.
const TELLING: usize = 16;

/// The most rules that are remembered; beyond, all begin anew. A fleet has some
/// hundred.
const MAX_RULES: usize = 2_048;

/// A `RunLengths` is how long recent runs took, from dispatch to their end. Runs
/// that were broken off count too: they would have taken longer still.
#[derive(Debug, Default)]
pub(super) struct RunLengths {
    recent: HashMap<RuleName, VecDeque<Duration>>,
}

impl RunLengths {
    /// Take in how long a run took.
    pub(super) fn note(&mut self, rule: &RuleName, span: Duration) {
        if !self.recent.contains_key(rule) && self.recent.len() >= MAX_RULES {
            self.recent.clear();
        }
        let spans = self.recent.entry(rule.clone()).or_default();
        if spans.len() == REMEMBERED {
            spans.pop_front();
        }
        spans.push_back(span);
    }

    /// Get how long nine in ten of the recent runs took at most; `None` where too
    /// few were seen.
    pub(super) fn most(&self, rule: &RuleName) -> Option<Duration> {
        let spans = self.recent.get(rule)?;
        if spans.len() < TELLING {
            return None;
        }
        let mut sorted: Vec<Duration> = spans.iter().copied().collect();
        sorted.sort();
        sorted.get(spans.len() * 9 / 10).copied()
    }

    /// Get the longest of the recent runs; `None` where too few were seen.
    pub(super) fn longest(&self, rule: &RuleName) -> Option<Duration> {
        let spans = self.recent.get(rule)?;
        match spans.len() < TELLING {
            true => None,
            false => spans.iter().max().copied(),
        }
    }
}
