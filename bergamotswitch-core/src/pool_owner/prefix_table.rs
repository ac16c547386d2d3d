//! Provides the table of warm prefixes: which target probably holds the
//! cache of which prompt beginning. It is a hint and nothing more.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::clock::Moment;
use crate::request::PrefixHash;
use crate::target::TargetName;

/// The most targets that are remembered for one prefix. Routing looks for one
/// warm target with room; a prefix that is warm everywhere tells it nothing.
const MAX_HINTS: usize = 4;

/// A `WarmTarget` is a target that probably holds a prompt's beginning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WarmTarget {
    /// The target.
    pub target: TargetName,
    /// How many of the prompt's blocks it holds.
    pub blocks: usize,
}

/// A `PrefixHint` says when a target was last known to hold a prefix.
#[derive(Clone, Debug)]
struct PrefixHint {
    target: TargetName,
    seen: Moment,
}

/// A `PrefixEntry` is all hints about one prefix.
#[derive(Debug, Default)]
struct PrefixEntry {
    stamp: u64,
    hints: Vec<PrefixHint>,
}

/// A `PrefixTable` is a bounded table of hints; the least recently touched
/// prefix goes first.
#[derive(Debug)]
pub struct PrefixTable {
    capacity: usize,
    lifetime: Duration,
    entries: HashMap<PrefixHash, PrefixEntry>,
    order: BTreeMap<u64, PrefixHash>,
    stamp: u64,
}

impl PrefixTable {
    /// Get an empty table.
    pub fn new(capacity: usize, lifetime: Duration) -> Self {
        PrefixTable {
            capacity,
            lifetime,
            entries: HashMap::new(),
            order: BTreeMap::new(),
            stamp: 0,
        }
    }

    /// Get the number of prefixes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Get whether no prefix is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Note that `target` holds `prefix`.
    pub fn learn(&mut self, now: Moment, target: &TargetName, prefix: PrefixHash) {
        if self.capacity == 0 {
            return;
        }
        self.stamp += 1;
        let entry = self.entries.entry(prefix).or_default();
        self.order.remove(&entry.stamp);
        entry.stamp = self.stamp;
        entry.hints.retain(|hint| hint.target != *target);
        if entry.hints.len() >= MAX_HINTS {
            // The oldest stands first.
            entry.hints.remove(0);
        }
        entry.hints.push(PrefixHint {
            target: target.clone(),
            seen: now,
        });
        self.order.insert(self.stamp, prefix);
        while self.entries.len() > self.capacity {
            self.drop_oldest();
        }
    }

    /// Note that `target` no longer holds `prefix`.
    pub fn forget(&mut self, target: &TargetName, prefix: PrefixHash) {
        let Some(entry) = self.entries.get_mut(&prefix) else {
            return;
        };
        entry.hints.retain(|hint| hint.target != *target);
        if entry.hints.is_empty() {
            self.order.remove(&entry.stamp);
            self.entries.remove(&prefix);
        }
    }

    /// Note that `target` holds nothing any more.
    pub fn forget_target(&mut self, target: &TargetName) {
        let order = &mut self.order;
        self.entries.retain(|_, entry| {
            entry.hints.retain(|hint| hint.target != *target);
            if entry.hints.is_empty() {
                order.remove(&entry.stamp);
            }
            !entry.hints.is_empty()
        });
    }

    /// Get the targets that hold a beginning of the prompt. A hash spans the
    /// prompt up to its block, so the longest known one decides.
    pub fn warm(&self, now: Moment, prefixes: &[PrefixHash]) -> Vec<WarmTarget> {
        let mut found: Vec<WarmTarget> = Vec::new();
        for (index, prefix) in prefixes.iter().enumerate().rev() {
            let Some(entry) = self.entries.get(prefix) else {
                continue;
            };
            let fresh = entry
                .hints
                .iter()
                .filter(|hint| now.since(hint.seen) < self.lifetime);
            for hint in fresh {
                if found.iter().any(|warm| warm.target == hint.target) {
                    continue;
                }
                found.push(WarmTarget {
                    target: hint.target.clone(),
                    blocks: index + 1,
                });
            }
        }
        found
    }

    fn drop_oldest(&mut self) {
        if let Some((_, prefix)) = self.order.pop_first() {
            self.entries.remove(&prefix);
        }
    }
}
