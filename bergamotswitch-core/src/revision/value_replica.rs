//! Provides a host's replica of one published value: the revision received, the
//! revision in force, and patches from earlier revisions.

use std::collections::{BTreeMap, VecDeque};

use super::status::{RefusedRevision, ValueStatus};
use super::value_patch;
use super::{PublishedValue, Revision, RevisionMessage, ValueName};
use crate::error::Findings;

/// A `ValueReplica` is a host's replica of one published value.
#[derive(Debug)]
pub(super) struct ValueReplica {
    name: ValueName,
    seen: Option<PublishedValue>,
    in_force: Option<Revision>,
    refused: Option<RefusedRevision>,
    /// Earlier values, the latest last.
    bases: VecDeque<PublishedValue>,
    /// Changes that lead to the current value, by the revision they start from;
    /// `None` if the change would be no smaller than the value.
    changes: BTreeMap<Revision, Option<RevisionMessage>>,
}

impl ValueReplica {
    /// Create a replica without a value.
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

    /// Get the highest revision received, 0 if there is none.
    pub(super) fn seen(&self) -> Revision {
        match &self.seen {
            Some(value) => value.revision,
            None => Revision::default(),
        }
    }

    /// Get the value of the highest revision received.
    pub(super) fn value(&self) -> Option<&PublishedValue> {
        self.seen.as_ref()
    }

    /// Get the revision in force.
    pub(super) fn in_force(&self) -> Option<Revision> {
        self.in_force
    }

    /// Get the text that results from applying the patch to the current value.
    pub(super) fn apply(&self, from: Revision, patch: &str, checksum: u64) -> Option<String> {
        let value = self.seen.as_ref().filter(|value| value.revision == from)?;
        value_patch::apply(&value.body, patch, checksum)
    }

    /// Store a value if its revision is higher. Get whether it was stored.
    pub(super) fn take(&mut self, value: PublishedValue, kept_bases: usize) -> bool {
        // A stale service replica, or a host that was paused or has just
        // started, may offer a lower revision. Accepting it would put withdrawn
        // rules back in force.
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

    /// Record the result of a validation. Get whether it changes the status.
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

    /// Get the change from an earlier revision, if that is kept and the change
    /// is smaller than the value.
    pub(super) fn change_from(&mut self, from: Revision) -> Option<RevisionMessage> {
        if !self.changes.contains_key(&from) {
            let change = self.find_change(from);
            self.changes.insert(from, change);
        }
        self.changes.get(&from).cloned().flatten()
    }

    /// Keep a change that leads from an earlier revision to the current value.
    pub(super) fn keep_change(&mut self, from: Revision, change: RevisionMessage) {
        self.changes.insert(from, Some(change));
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

    /// Get the status of the value for reporting.
    pub(super) fn status(&self) -> ValueStatus {
        ValueStatus {
            name: self.name.clone(),
            seen: self.seen.as_ref().map(|value| value.revision),
            in_force: self.in_force,
            refused: self.refused.clone(),
        }
    }
}
