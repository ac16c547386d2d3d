//! Provides the reported status of published values.

use serde::Serialize;

use super::{Revision, ValueName};

/// A `RefusedRevision` is a revision that failed validation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RefusedRevision {
    /// The number of the revision.
    pub revision: Revision,
    /// The findings of the validation, with their locations.
    pub findings: Vec<String>,
}

/// A `ValueStatus` is the status of one value on a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ValueStatus {
    /// The name of the value.
    pub name: ValueName,
    /// The highest revision received.
    pub seen: Option<Revision>,
    /// The revision in force.
    pub in_force: Option<Revision>,
    /// The last revision that failed validation, unless a later one is in
    /// force.
    pub refused: Option<RefusedRevision>,
}

/// A `RevisionStatus` is the status of all values on a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RevisionStatus {
    /// The status of each value.
    pub values: Vec<ValueStatus>,
    /// Whether no peer has confirmed the revisions since the start or the last
    /// pause, in which case they may be stale.
    pub alone: bool,
    /// The number of reads and watches since the start.
    pub reads_issued: u64,
    /// Whether this host reads the service for its failure domain.
    pub is_reader: bool,
}
