//! Provides the reports by which hosts share what they know of crashes.

use serde::{Deserialize, Serialize};

use super::CrashSuspect;
use crate::target::TargetName;

/// A `BrokenRun` is a run that ended with the crash of its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenRun {
    /// The hash of the attempt, which identifies the run.
    pub run: u64,
    /// The target.
    pub target: TargetName,
    /// The time since the crash, in milliseconds.
    pub age_ms: u32,
}

/// A `CrashReport` is what the sender knows of the runs of one suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The suspect.
    pub suspect: CrashSuspect,
    /// Its broken runs since the last one that went well, in the order of their crashes.
    pub runs: Vec<BrokenRun>,
    /// The time since the last run that went well began to write, in milliseconds.
    pub answered_ms_ago: Option<u32>,
    /// The time since the last trial began, in milliseconds.
    pub tried_ms_ago: Option<u32>,
}
