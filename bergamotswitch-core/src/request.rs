//! Provides the identity, the caller key and the cost estimate of a request.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::host::Incarnation;

/// A `RequestId` identifies a request by the host incarnation that accepted it.
/// Only that incarnation may dispatch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The accepting host's incarnation.
    pub incarnation: Incarnation,
    /// The sequence number of the request at that host.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.incarnation, self.sequence)
    }
}

/// An `AttemptId` identifies one attempt to run a request, which has one permit
/// request, at most one permit and at most one dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u16,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.attempt)
    }
}

/// The maximum length of a caller key in bytes.
pub const MAX_KEY_LEN: usize = 128;

/// A `CallerKey` is an idempotency key chosen by the caller, unique within its
/// client account. The HTTP field is `Idempotency-Key`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CallerKey(String);

/// A `KeyError` is the error for a text that is not a valid caller key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyError;

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a key has 1 to {MAX_KEY_LEN} visible ASCII characters")
    }
}

impl std::error::Error for KeyError {}

impl CallerKey {
    /// Get the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for CallerKey {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, KeyError> {
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_KEY_LEN || !visible {
            return Err(KeyError);
        }
        Ok(CallerKey(text))
    }
}

impl From<CallerKey> for String {
    fn from(key: CallerKey) -> String {
        key.0
    }
}

/// A `TokenCost` is the estimated cost of a request, in tokens. A plain call
/// costs one prompt token and one output token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenCost {
    /// Prompt tokens.
    pub prefill: u32,
    /// Output tokens.
    pub decode: u32,
}

impl TokenCost {
    /// Get the total number of tokens.
    pub fn total(self) -> u64 {
        u64::from(self.prefill) + u64::from(self.decode)
    }
}

/// A `PrefixHash` is the xxh3 of a prompt up to the end of a block. A request
/// carries one for each block, shortest prefix first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PrefixHash(pub u64);

impl PrefixHash {
    /// Get the hash that stands for a part of a prompt whose text is not known.
    pub fn of_part(part: PartId) -> Self {
        PrefixHash(xxh3_64(&part.0.to_le_bytes()))
    }
}

/// A `PartId` is the id of a part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartId(pub u128);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// The size of a prefix block in bytes of prompt text.
pub const PREFIX_BLOCK_BYTES: usize = 1024;

/// The maximum number of prefix hashes in a permit request. Further blocks of a
/// longer prompt are not hashed.
pub const MAX_PREFIX_HASHES: usize = 16;
