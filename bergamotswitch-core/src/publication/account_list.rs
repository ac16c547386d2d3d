//! Provides the published client accounts.

use std::ops::RangeInclusive;

use serde_json::Value;

use super::duplicates::{fields, refuse_duplicate_names, refuse_duplicates};
use super::json_node::{JsonNode, ReadJson, read_value};
use super::object_reader::ObjectReader;
use crate::client_account::{AccountName, ClientAccount, KeyHash};
use crate::error::Findings;
use crate::revision::ACCOUNTS_VALUE;

/// The allowed weights of an account.
const WEIGHT_RANGE: RangeInclusive<u64> = 1..=1_000_000;

/// An `AccountList` is the list of published client accounts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AccountList {
    accounts: Vec<ClientAccount>,
}

impl AccountList {
    /// Get the accounts in published order.
    pub fn accounts(&self) -> &[ClientAccount] {
        &self.accounts
    }

    /// Get the account with this name.
    pub fn account(&self, name: &AccountName) -> Option<&ClientAccount> {
        self.accounts.iter().find(|account| account.name == *name)
    }

    /// Get the account that a bearer key belongs to. Compares the key's hash with
    /// those of all accounts, each in constant time, so that the response time
    /// reveals nothing about the published hashes.
    pub fn authenticate(&self, key: &str) -> Option<&ClientAccount> {
        let hash = KeyHash::of(key);
        let mut found = None;
        for account in &self.accounts {
            if account.key_hash.same(&hash) {
                found = Some(account);
            }
        }
        found
    }
}

impl TryFrom<&Value> for AccountList {
    type Error = Findings;

    fn try_from(value: &Value) -> Result<Self, Findings> {
        read_value(ACCOUNTS_VALUE, value)
    }
}

impl ReadJson for AccountList {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let accounts = object.required("accounts");
        object.finish();
        let elements = node.field("accounts").map(|list| list.elements());
        let elements = elements.unwrap_or_default();
        refuse_duplicate_names(&elements, findings);
        // A key shared by two accounts could not be attributed to either.
        let hash_text = |node: &JsonNode<'_>| node.text().map(str::to_ascii_lowercase);
        refuse_duplicates(&fields(&elements, "key_hash"), hash_text, findings);
        Some(AccountList {
            accounts: accounts?,
        })
    }
}

impl ReadJson for ClientAccount {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let name = object.required("name");
        let key_hash = object.required("key_hash");
        let weight = object.number("weight", &WEIGHT_RANGE);
        object.finish();
        Some(ClientAccount {
            name: name?,
            key_hash: key_hash?,
            weight: weight?.map(|weight| weight as u32),
        })
    }
}

impl ReadJson for KeyHash {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let text = node.text().unwrap_or_default();
        match KeyHash::try_from(text.to_owned()) {
            Ok(hash) => Some(hash),
            Err(error) => {
                // The value may be the key itself, published by mistake.
                node.refuse_redacted(findings, error.to_string());
                None
            }
        }
    }
}
