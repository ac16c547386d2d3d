//! Provides what requests have in common that may crash the targets that run them.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::call_signature::CallSignature;
use crate::entry::Submission;
use crate::request::PartId;

/// A `CrashSuspect` identifies what may crash targets: all calls of one signature, all
/// requests to a pool with one part in their prompts, or those of one client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashSuspect(u128);

impl CrashSuspect {
    /// Get the suspect of all requests to the submission's pool that have a part.
    fn of_part(submission: &Submission, part: PartId) -> Self {
        CrashSuspect::new(&[b"part", submission.pool.as_str().as_bytes()], part)
    }

    /// Get the suspect of the requests of the submission's account that have a part.
    fn of_account_part(submission: &Submission, part: PartId) -> Self {
        let account = submission.account.as_str().as_bytes();
        let pool = submission.pool.as_str().as_bytes();
        CrashSuspect::new(&[b"account-part", account, pool], part)
    }

    fn new(scope: &[&[u8]], part: PartId) -> Self {
        let mut hash = Xxh3::new();
        for name in scope {
            hash.update(name);
            hash.update(b"\n");
        }
        hash.update(&part.0.to_le_bytes());
        CrashSuspect(hash.digest128())
    }

    pub(super) fn low_bits(self) -> u64 {
        self.0 as u64
    }
}

impl From<CallSignature> for CrashSuspect {
    fn from(signature: CallSignature) -> Self {
        CrashSuspect(signature.bits())
    }
}

impl fmt::Display for CrashSuspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A `PartSuspect` is a part of a prompt with the suspects that stand for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PartSuspect {
    part: PartId,
    of_all: CrashSuspect,
    of_account: CrashSuspect,
}

/// A `RequestSuspects` is all that a request has in common with others and that may crash
/// targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSuspects {
    call: CrashSuspect,
    parts: Vec<PartSuspect>,
}

impl RequestSuspects {
    /// Get the suspects of a submission.
    pub fn of(submission: &Submission) -> Self {
        let parts = submission.parts.iter().map(|part| PartSuspect {
            part: *part,
            of_all: CrashSuspect::of_part(submission, *part),
            of_account: CrashSuspect::of_account_part(submission, *part),
        });
        RequestSuspects {
            call: CallSignature::of(submission).into(),
            parts: parts.collect(),
        }
    }

    /// Get the suspect that stands for the call as a whole.
    pub fn call(&self) -> Self {
        RequestSuspects {
            call: self.call,
            parts: Vec::new(),
        }
    }

    /// Get all suspects, each with its part of the prompt if it stands for one.
    pub fn iter(&self) -> impl Iterator<Item = (CrashSuspect, Option<PartId>)> {
        let call = std::iter::once((self.call, None));
        call.chain(self.parts())
    }

    /// Get the suspects that stand for parts of the prompt.
    pub fn parts(&self) -> impl Iterator<Item = (CrashSuspect, Option<PartId>)> {
        self.parts.iter().flat_map(|suspect| {
            let part = Some(suspect.part);
            [(suspect.of_all, part), (suspect.of_account, part)]
        })
    }

    /// Get whether a suspect stands for the call as a whole.
    pub(super) fn is_call(&self, suspect: CrashSuspect) -> bool {
        self.call == suspect
    }

    /// Get whether a suspect is among these.
    pub fn contains(&self, suspect: CrashSuspect) -> bool {
        self.iter().any(|(known, _)| known == suspect)
    }
}

impl From<CallSignature> for RequestSuspects {
    fn from(signature: CallSignature) -> Self {
        RequestSuspects {
            call: signature.into(),
            parts: Vec::new(),
        }
    }
}
