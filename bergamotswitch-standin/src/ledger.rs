//! Provides ledgers: which requests a target ran, so that tests can count
//! runs by identity.

use std::collections::VecDeque;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

/// The most runs that a ledger keeps; the oldest go first. Far above what any
/// test sends, so that a long demo stays bounded.
const MAX_RUNS: usize = 100_000;

/// A `RunOutcome` says how a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// It goes on.
    Running,
    /// It made its whole answer.
    Finished,
    /// It was cancelled on request.
    Cancelled,
    /// It ended without a whole answer.
    Broken,
}

/// A `RunRecord` is one run of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The `x-request-id` of the submission.
    pub request_id: String,
    /// The xxh3 of the body, 16 hex digits.
    pub body: String,
    /// When it started, in milliseconds since the stand-in did.
    pub started_ms: u64,
    /// How it ended.
    pub outcome: RunOutcome,
}

/// A `RunNumber` names a record of one ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunNumber(u64);

/// A `RunLedger` is what one target ran, oldest first.
#[derive(Clone, Debug)]
pub struct RunLedger {
    started: Instant,
    first: u64,
    runs: VecDeque<RunRecord>,
}

impl RunLedger {
    /// Get an empty ledger.
    pub(crate) fn new() -> Self {
        RunLedger {
            started: Instant::now(),
            first: 0,
            runs: VecDeque::new(),
        }
    }

    /// Record the start of a run.
    pub(crate) fn start(&mut self, request_id: &str, digest: u64) -> RunNumber {
        if self.runs.len() == MAX_RUNS {
            self.runs.pop_front();
            self.first += 1;
        }
        self.runs.push_back(RunRecord {
            request_id: request_id.to_owned(),
            body: format!("{digest:016x}"),
            started_ms: self.started.elapsed().as_millis() as u64,
            outcome: RunOutcome::Running,
        });
        RunNumber(self.first + self.runs.len() as u64 - 1)
    }

    /// Record the end of a run; the first outcome stays.
    pub(crate) fn end(&mut self, number: RunNumber, outcome: RunOutcome) {
        let index = number.0.checked_sub(self.first);
        let record = index.and_then(|index| self.runs.get_mut(index as usize));
        let Some(record) = record else { return };
        if record.outcome == RunOutcome::Running {
            record.outcome = outcome;
        }
    }

    /// Get all runs.
    pub fn runs(&self) -> impl Iterator<Item = &RunRecord> {
        self.runs.iter()
    }

    /// Get the runs of a request id.
    pub fn runs_of(&self, request_id: &str) -> Vec<&RunRecord> {
        let matching = |run: &&RunRecord| run.request_id == request_id;
        self.runs.iter().filter(matching).collect()
    }

    /// Get the runs of a body.
    pub fn runs_of_body(&self, body: &[u8]) -> Vec<&RunRecord> {
        let digest = format!("{:016x}", xxh3_64(body));
        let matching = |run: &&RunRecord| run.body == digest;
        self.runs.iter().filter(matching).collect()
    }

    /// Get the ledger as JSON.
    pub fn to_json(&self) -> Value {
        serde_json::json!({"runs": self.runs})
    }
}
