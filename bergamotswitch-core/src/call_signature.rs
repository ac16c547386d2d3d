//! Provides the identity of calls that ask for the same work.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::client_account::AccountName;
use crate::entry::Submission;

/// A `CallSignature` identifies the calls of one client account that have the
/// same method, resource and body, whatever their ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallSignature(u128);

impl CallSignature {
    /// Get the signature of a submission.
    pub fn of(submission: &Submission) -> Self {
        CallSignature::new(&submission.account, submission.fingerprint)
    }

    /// Get the signature of the calls of an account with this hash of method,
    /// resource and body.
    pub fn new(account: &AccountName, fingerprint: u128) -> Self {
        let mut hash = Xxh3::new();
        hash.update(account.as_str().as_bytes());
        hash.update(b"\n");
        hash.update(&fingerprint.to_le_bytes());
        CallSignature(hash.digest128())
    }

    pub(crate) fn bits(self) -> u128 {
        self.0
    }
}

impl fmt::Display for CallSignature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
