//! Provides the table of warm prefixes: which targets probably have which
//! prompt prefixes cached. Its contents are only hints.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::clock::Moment;
use crate::request::PrefixHash;
use crate::target::TargetName;

/// The maximum number of targets kept per prefix. Routing needs one warm target
/// with capacity; a prefix that is cached on every target does not influence the
/// choice.
const MAX_HINTS: usize = 4;

/// A `WarmTarget` is a target that probably has a prefix of the prompt cached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WarmTarget {
    /// The target.
    pub target: TargetName,
    /// The number of the prompt's blocks that it has cached.
    pub blocks: usize,
}

/// A `PrefixHint` is when a target was last known to hold a prefix.
#[derive(Clone, Debug)]
struct PrefixHint {
    target: TargetName,
    seen_at: Moment,
}

/// A `PrefixEntry` is the hints about one prefix.
#[derive(Debug, Default)]
struct PrefixEntry {
    stamp: u64,
    hints: Vec<PrefixHint>,
}

/// A `PrefixTable` is a bounded table of warm-prefix hints with
/// least-recently-used eviction.
#[derive(Debug)]
pub struct PrefixTable {
    capacity: usize,
    lifetime: Duration,
    entries: HashMap<PrefixHash, PrefixEntry>,
    order: BTreeMap<u64, PrefixHash>,
    stamp: u64,
}

impl PrefixTable {
    /// Create an empty table.
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

    /// Get whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Record that `target` holds `prefix`.
    pub fn record(&mut self, now: Moment, target: &TargetName, prefix: PrefixHash) {
        if self.capacity == 0 {
            return;
        }
        self.stamp += 1;
        let entry = self.entries.entry(prefix).or_default();
        self.order.remove(&entry.stamp);
        entry.stamp = self.stamp;
        entry.hints.retain(|hint| hint.target != *target);
        if entry.hints.len() >= MAX_HINTS {
            // The hints are ordered by age, oldest first.
            entry.hints.remove(0);
        }
        entry.hints.push(PrefixHint {
            target: target.clone(),
            seen_at: now,
        });
        self.order.insert(self.stamp, prefix);
        while self.entries.len() > self.capacity {
            self.evict_oldest();
        }
    }

    /// Record that `target` no longer holds `prefix`.
    pub fn remove(&mut self, target: &TargetName, prefix: PrefixHash) {
        let Some(entry) = self.entries.get_mut(&prefix) else {
            return;
        };
        entry.hints.retain(|hint| hint.target != *target);
        if entry.hints.is_empty() {
            self.order.remove(&entry.stamp);
            self.entries.remove(&prefix);
        }
    }

    /// Record that `target` no longer holds any prefix.
    pub fn remove_target(&mut self, target: &TargetName) {
        let order = &mut self.order;
        self.entries.retain(|_, entry| {
            entry.hints.retain(|hint| hint.target != *target);
            if entry.hints.is_empty() {
                order.remove(&entry.stamp);
            }
            !entry.hints.is_empty()
        });
    }

    /// Get the targets that hold a prefix of the prompt, with the longest one
    /// that each holds. Each hash covers the prompt from its beginning to the
    /// end of a block.
    pub fn warm(&self, now: Moment, prefixes: &[PrefixHash]) -> Vec<WarmTarget> {
        let mut found: Vec<WarmTarget> = Vec::new();
        for (index, prefix) in prefixes.iter().enumerate().rev() {
            let Some(entry) = self.entries.get(prefix) else {
                continue;
            };
            let fresh = entry
                .hints
                .iter()
                .filter(|hint| now.since(hint.seen_at) < self.lifetime);
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

    fn evict_oldest(&mut self) {
        if let Some((_, prefix)) = self.order.pop_first() {
            self.entries.remove(&prefix);
        }
    }
}
