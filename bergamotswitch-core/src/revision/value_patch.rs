//! Provides the difference between two JSON texts as a JSON Patch.
//!
//! `json_patch::diff` compares arrays by index: removing an entry from the
//! middle of the host list would change every later entry, and the patch would
//! be larger than the list. So arrays are aligned here by their equal elements.
//! The patch format and its application come from `json_patch`.

use std::collections::HashSet;

use json_patch::jsonptr::PointerBuf;
use json_patch::{AddOperation, Patch, PatchOperation, RemoveOperation, ReplaceOperation};
use serde_json::{Map, Value};
use xxhash_rust::xxh3::xxh3_64;

/// Get the canonical form of a JSON text: sorted keys, no whitespace.
pub(super) fn canonical(text: &str) -> Option<String> {
    let value: Value = serde_json::from_str(text).ok()?;
    serde_json::to_string(&value).ok()
}

/// Get the checksum of a canonical text.
pub(super) fn checksum(canonical: &str) -> u64 {
    xxh3_64(canonical.as_bytes())
}

/// Get the patch from one JSON text to another, as JSON text.
pub(super) fn diff(from: &str, to: &str) -> Option<String> {
    let from: Value = serde_json::from_str(from).ok()?;
    let to: Value = serde_json::from_str(to).ok()?;
    let mut diff = JsonDiff::default();
    diff.compare(&from, &to);
    serde_json::to_string(&Patch(diff.operations)).ok()
}

/// Get the canonical text that results from a patch; `None` if the patch does
/// not apply or the checksum does not match.
pub(super) fn apply(from: &str, patch: &str, expected: u64) -> Option<String> {
    let mut value: Value = serde_json::from_str(from).ok()?;
    let patch: Patch = serde_json::from_str(patch).ok()?;
    json_patch::patch(&mut value, &patch).ok()?;
    let text = serde_json::to_string(&value).ok()?;
    match checksum(&text) == expected {
        true => Some(text),
        false => None,
    }
}

#[derive(Default)]
struct JsonDiff {
    pointer: PointerBuf,
    operations: Vec<PatchOperation>,
}

impl JsonDiff {
    fn compare(&mut self, from: &Value, to: &Value) {
        match (from, to) {
            _ if from == to => {}
            (Value::Object(from), Value::Object(to)) => self.compare_objects(from, to),
            (Value::Array(from), Value::Array(to)) => self.compare_arrays(from, to),
            _ => self.replace(to),
        }
    }

    fn compare_objects(&mut self, from: &Map<String, Value>, to: &Map<String, Value>) {
        for key in from.keys().filter(|key| !to.contains_key(*key)) {
            self.pointer.push_back(key);
            self.remove();
            self.pointer.pop_back();
        }
        for (key, value) in to {
            self.pointer.push_back(key);
            match from.get(key) {
                Some(earlier) => self.compare(earlier, value),
                None => self.add(value),
            }
            self.pointer.pop_back();
        }
    }

    /// Walk both arrays in parallel. Each step makes the element at the current
    /// index right, so the result is correct whichever step is taken; checking
    /// which elements the other array lacks only keeps the patch short.
    fn compare_arrays(&mut self, from: &[Value], to: &[Value]) {
        let from_hashes: Vec<u64> = from.iter().map(hash).collect();
        let to_hashes: Vec<u64> = to.iter().map(hash).collect();
        let from_set: HashSet<u64> = from_hashes.iter().copied().collect();
        let to_set: HashSet<u64> = to_hashes.iter().copied().collect();
        let (mut old, mut new) = (0, 0);
        while old < from.len() || new < to.len() {
            self.pointer.push_back(new);
            let dropped = old < from.len() && !to_set.contains(&from_hashes[old]);
            let added = new < to.len() && !from_set.contains(&to_hashes[new]);
            let both = old < from.len() && new < to.len();
            if both && dropped == added {
                self.compare(&from[old], &to[new]);
                old += 1;
                new += 1;
            } else if dropped || new == to.len() {
                self.remove();
                old += 1;
            } else {
                self.add(&to[new]);
                new += 1;
            }
            self.pointer.pop_back();
        }
    }

    fn add(&mut self, value: &Value) {
        self.operations.push(PatchOperation::Add(AddOperation {
            path: self.pointer.clone(),
            value: value.clone(),
        }));
    }

    fn remove(&mut self) {
        self.operations
            .push(PatchOperation::Remove(RemoveOperation {
                path: self.pointer.clone(),
            }));
    }

    fn replace(&mut self, value: &Value) {
        self.operations
            .push(PatchOperation::Replace(ReplaceOperation {
                path: self.pointer.clone(),
                value: value.clone(),
            }));
    }
}

fn hash(value: &Value) -> u64 {
    xxh3_64(value.to_string().as_bytes())
}
