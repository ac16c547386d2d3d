//! Provides the client accounts of routes: their keys and quotas.

use serde::{Deserialize, Serialize};

use crate::client_account::KeyHash;
use crate::name::AccountName;
use crate::rules::Tier;

/// A `QuotaUnit` is what a quota counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaUnit {
    /// Calls.
    #[default]
    Calls,
    /// Tokens: prompt and longest output of a call.
    Tokens,
}

/// An `AccountQuota` is how much a client account may use on all hosts
/// together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountQuota {
    /// What it counts.
    pub unit: QuotaUnit,
    /// Units a second; 0 for no bound.
    pub rate: u64,
    /// Units that may come at once beyond the rate.
    pub burst: u64,
    /// The units of a call that says no tokens, where tokens are counted.
    pub plain_tokens: u32,
}

impl AccountQuota {
    /// Get the units of a call with these tokens, where it says any.
    pub fn units(&self, tokens: Option<u64>) -> u32 {
        match (self.unit, tokens) {
            (QuotaUnit::Calls, _) => 1,
            (QuotaUnit::Tokens, Some(tokens)) => u32::try_from(tokens).unwrap_or(u32::MAX),
            (QuotaUnit::Tokens, None) => self.plain_tokens,
        }
    }
}

/// A `KeyedAccount` is a client account with its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedAccount {
    /// The account.
    pub name: AccountName,
    /// The hashes of its keys. The keys themselves never travel on.
    pub key_hashes: Vec<KeyHash>,
    /// The tier of its calls; that of the route where absent.
    pub tier: Option<Tier>,
    /// What it may use.
    pub quota: AccountQuota,
}
