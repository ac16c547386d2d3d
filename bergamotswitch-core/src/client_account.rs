//! Provides client accounts and the hashes of their bearer keys.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

pub use crate::name::AccountName;

/// A `KeyHash` is the SHA-256 of a bearer key, written as 64 hex digits. The
/// configuration holds this hash, never the key itself.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

/// A `KeyHashError` is returned for a text that is not a key hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyHashError;

impl fmt::Display for KeyHashError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a key hash is the SHA-256 of the key in 64 hex digits")
    }
}

impl std::error::Error for KeyHashError {}

impl KeyHash {
    /// Get the hash of `key`.
    pub fn of(key: &str) -> Self {
        KeyHash(Sha256::digest(key.as_bytes()).into())
    }

    /// Get whether this is the hash of `key`, in constant time: a comparison
    /// that stops at the first difference would leak the length of the match.
    pub fn matches(&self, key: &str) -> bool {
        self.same(&KeyHash::of(key))
    }

    /// Get whether both hashes are equal, in constant time.
    pub fn same(&self, other: &KeyHash) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

impl TryFrom<String> for KeyHash {
    type Error = KeyHashError;

    fn try_from(text: String) -> Result<Self, KeyHashError> {
        // `from_str_radix` also accepts a leading sign.
        let all_digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 64 || !all_digits {
            return Err(KeyHashError);
        }
        let mut bytes = [0u8; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| KeyHashError)?;
        }
        Ok(KeyHash(bytes))
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> String {
        hash.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

/// A `ClientAccount` is a customer that sends requests, identified by its
/// bearer key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// The account's name.
    pub name: AccountName,
    /// The hash of the account's bearer key.
    pub key_hash: KeyHash,
    /// The weight of the account's share of a tier under overload; 1 if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
}
