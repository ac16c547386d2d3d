//! Provides one published value as a host holds it: what it has seen, what is
//! in force, and the changes that lead to it.

use std::collections::{BTreeMap, VecDeque};

use super::status::{RefusedRevision, ValueStatus};
use super::value_patch;
use super::{PublishedValue, Revision, RevisionMessage, ValueName};
use crate::error::Findings;

/// A `ValueReplica` is one published value as a host holds it.
#[derive(Debug)]
pub(super) struct ValueReplica {
    name: ValueName,
    seen: Option<PublishedValue>,
    in_force: Option<Revision>,
    refused: Option<RefusedRevision>,
    /// Earlier values, the latest last.
    bases: VecDeque<PublishedValue>,
    /// Changes to the value seen, by the revision they start from. `None`:
    /// the change would be no smaller than the value.
    changes: BTreeMap<Revision, Option<RevisionMessage>>,
}

impl ValueReplica {
    /// Get a book without a value.
    pub(super) fn new(name: ValueName) -> Self {
        ValueReplica {
            name,
            seen: None,
            in_force: None,
            refused: None,
            bases: VecDeque::new(),
            changes: BTreeMap::new(),
        }
    }

    /// Get the highest revision seen, 0 where none was.
    pub(super) fn seen(&self) -> Revision {
        match &self.seen {
            Some(value) => value.revision,
            None => Revision::default(),
        }
    }

    /// Get the value seen.
    pub(super) fn value(&self) -> Option<&PublishedValue> {
        self.seen.as_ref()
    }

    /// Get the revision in force.
    pub(super) fn in_force(&self) -> Option<Revision> {
        self.in_force
    }

    /// Get the text that the patch leads to from the value seen.
    pub(super) fn apply(&self, from: Revision, patch: &str, checksum: u64) -> Option<String> {
        let value = self.seen.as_ref().filter(|value| value.revision == from)?;
        value_patch::apply(&value.body, patch, checksum)
    }

    /// Take a value and get whether it is a higher revision.
    pub(super) fn take(&mut self, value: PublishedValue, kept_bases: usize) -> bool {
        // A stale replica, a host that slept or a fresh one offers a lower
        // revision. Taken, a rule that operators withdrew would be in force
        // again; so the revision seen only grows.
        if value.revision <= self.seen() {
            return false;
        }
        self.changes.clear();
        if let Some(earlier) = self.seen.replace(value) {
            self.bases.push_back(earlier);
        }
        while self.bases.len() > kept_bases {
            self.bases.pop_front();
        }
        true
    }

    /// Take the host's verdict and get whether it changes something.
    pub(super) fn record_verdict(
        &mut self,
        revision: Revision,
        verdict: Result<(), Findings>,
    ) -> bool {
        if Some(revision) <= self.in_force || revision > self.seen() {
            return false;
        }
        match verdict {
            Ok(()) => {
                self.in_force = Some(revision);
                let superseded = |refused: &RefusedRevision| refused.revision < revision;
                if self.refused.as_ref().is_some_and(superseded) {
                    self.refused = None;
                }
            }
            Err(findings) => {
                let findings = findings.iter().map(|finding| finding.to_string()).collect();
                self.refused = Some(RefusedRevision { revision, findings });
            }
        }
        true
    }

    /// Get the change from an earlier revision, where it is kept and the
    /// change is smaller than the value.
    pub(super) fn change_from(&mut self, from: Revision) -> Option<RevisionMessage> {
        if !self.changes.contains_key(&from) {
            let change = self.find_change(from);
            self.changes.insert(from, change);
        }
        self.changes.get(&from).cloned().flatten()
    }

    fn find_change(&self, from: Revision) -> Option<RevisionMessage> {
        let value = self.seen.as_ref()?;
        let base = self.bases.iter().find(|base| base.revision == from)?;
        let patch = value_patch::diff(&base.body, &value.body)?;
        if patch.len() >= value.body.len() {
            return None;
        }
        let canonical = value_patch::canonical(&value.body)?;
        Some(RevisionMessage::Change {
            name: self.name.clone(),
            from,
            to: value.revision,
            checksum: value_patch::checksum(&canonical),
            patch,
        })
    }

    /// Get what a host reports of the value.
    pub(super) fn status(&self) -> ValueStatus {
        ValueStatus {
            name: self.name.clone(),
            seen: self.seen.as_ref().map(|value| value.revision),
            in_force: self.in_force,
            refused: self.refused.clone(),
        }
    }
}
