//! Provides what a host reports of its published values.

use serde::Serialize;

use super::{Revision, ValueName};

/// A `RefusedRevision` is a revision that was checked and refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RefusedRevision {
    /// The revision.
    pub revision: Revision,
    /// What was found, with the places.
    pub findings: Vec<String>,
}

/// A `ValueStatus` is what a host has of one value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ValueStatus {
    /// The value's name.
    pub name: ValueName,
    /// The highest revision seen.
    pub seen: Option<Revision>,
    /// The revision in force.
    pub in_force: Option<Revision>,
    /// The last revision refused, while no later one is in force.
    pub refused: Option<RefusedRevision>,
}

/// A `RevisionStatus` is what a host has of all values.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RevisionStatus {
    /// The values.
    pub values: Vec<ValueStatus>,
    /// Whether no peer has vouched for the revisions since the start or the
    /// last pause: the service alone may be stale.
    pub alone: bool,
    /// The reads and watches issued since the start.
    pub reads_issued: u64,
    /// Whether this host reads the service for its failure domain.
    pub is_reader: bool,
}
