//! Provides the ledger of a target: a record of every run of a request, by
//! which tests detect duplicate and lost executions.

use std::collections::VecDeque;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

/// The maximum number of runs in a ledger; the oldest are evicted first. It only
/// bounds the memory of long demos: tests send far fewer requests.
const MAX_RUNS: usize = 100_000;

/// A `RunOutcome` is the state of a run or how it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// The run has not ended yet.
    Running,
    /// The run produced its complete answer.
    Finished,
    /// The run was cancelled on request.
    Cancelled,
    /// The run ended without a complete answer.
    Broken,
}

/// A `RunRecord` is the record of one run of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The request id from the `x-request-id` header of the submission.
    pub request_id: String,
    /// The xxh3 hash of the request body in 16 hex digits.
    pub body: String,
    /// The start of the run in milliseconds since the start of the stand-in.
    pub started_ms: u64,
    /// The outcome of the run.
    pub outcome: RunOutcome,
}

/// A `RunNumber` is the number of a record in its ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunNumber(u64);

/// A `RunLedger` is the list of the runs of one target, oldest first.
#[derive(Clone, Debug)]
pub struct RunLedger {
    started: Instant,
    first: u64,
    runs: VecDeque<RunRecord>,
}

impl RunLedger {
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

    /// Record the end of a run; only the first outcome is kept.
    pub(crate) fn end(&mut self, number: RunNumber, outcome: RunOutcome) {
        let index = number.0.checked_sub(self.first);
        let record = index.and_then(|index| self.runs.get_mut(index as usize));
        let Some(record) = record else { return };
        if record.outcome == RunOutcome::Running {
            record.outcome = outcome;
        }
    }

    /// Get all recorded runs, oldest first.
    pub fn runs(&self) -> impl Iterator<Item = &RunRecord> {
        self.runs.iter()
    }

    /// Get the runs with a request id.
    pub fn runs_of(&self, request_id: &str) -> Vec<&RunRecord> {
        let matching = |run: &&RunRecord| run.request_id == request_id;
        self.runs.iter().filter(matching).collect()
    }

    /// Get the runs with a request body.
    pub fn runs_of_body(&self, body: &[u8]) -> Vec<&RunRecord> {
        let digest = format!("{:016x}", xxh3_64(body));
        let matching = |run: &&RunRecord| run.body == digest;
        self.runs.iter().filter(matching).collect()
    }

    /// Get the ledger as a JSON object with the member `runs`.
    pub fn to_json(&self) -> Value {
        serde_json::json!({"runs": self.runs})
    }
}
