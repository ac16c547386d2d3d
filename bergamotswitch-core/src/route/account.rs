//! Provides the client accounts of a gateway: their API keys and quotas.

use serde::{Deserialize, Serialize};

use crate::client_account::KeyHash;
use crate::name::AccountName;
use crate::rules::Tier;

/// A `QuotaUnit` is the unit in which a quota is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaUnit {
    /// Calls.
    #[default]
    Calls,
    /// Tokens: those of the prompt plus the maximum output of a call.
    Tokens,
}

/// An `AccountQuota` is the rate limit of a client account across all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountQuota {
    /// The unit of the quota.
    pub unit: QuotaUnit,
    /// Units per second; 0 for unlimited.
    pub rate: u64,
    /// Units that may be used at once beyond the rate.
    pub burst: u64,
    /// The units charged for a call that states no token count, if tokens are counted.
    pub plain_tokens: u32,
}

impl AccountQuota {
    /// Get the units to charge for a call with this token count, if it states one.
    pub fn units(&self, tokens: Option<u64>) -> u32 {
        match (self.unit, tokens) {
            (QuotaUnit::Calls, _) => 1,
            (QuotaUnit::Tokens, Some(tokens)) => u32::try_from(tokens).unwrap_or(u32::MAX),
            (QuotaUnit::Tokens, None) => self.plain_tokens,
        }
    }
}

/// A `KeyedAccount` is a client account with its API keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedAccount {
    /// The name of the account.
    pub name: AccountName,
    /// The name that the operators gave it, if that is not a valid name here. Hosts of
    /// earlier releases do not publish it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stated_name: Option<String>,
    /// The hashes of its API keys. The keys themselves are not stored or forwarded.
    pub key_hashes: Vec<KeyHash>,
    /// The tier of its calls; the route's tier applies if absent.
    pub tier: Option<Tier>,
    /// The quota of the account.
    pub quota: AccountQuota,
}

impl KeyedAccount {
    /// Get the name by which targets know the account.
    pub fn outer_name(&self) -> &str {
        self.stated_name.as_deref().unwrap_or(self.name.as_str())
    }
}
