//! Provides the lookup of routes and client accounts.

use std::collections::HashMap;

use super::{KeyedAccount, PoolSpec, Route, RouteConfig};
use crate::client_account::KeyHash;
use crate::error::Findings;
use crate::name::{AccountName, PoolName};
use crate::revision::ROUTES_VALUE;

/// A `RouteTable` is an index of routes by host name and path, and of client accounts
/// by API key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    config: RouteConfig,
    by_host: HashMap<String, HashMap<String, usize>>,
    by_key: HashMap<KeyHash, usize>,
}

impl RouteTable {
    /// Create the table of a configuration.
    pub fn new(config: RouteConfig) -> Self {
        let mut by_host: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.path_prefix.clone(), index);
        }
        let mut by_key = HashMap::new();
        for (index, account) in config.accounts.iter().enumerate() {
            for hash in &account.key_hashes {
                by_key.insert(hash.clone(), index);
            }
        }
        RouteTable {
            config,
            by_host,
            by_key,
        }
    }

    /// Try to parse a table from the published JSON text.
    ///
    /// # Errors
    ///
    /// Returns the errors in the text.
    pub fn try_from_json(text: &str) -> Result<Self, Findings> {
        match serde_json::from_str::<RouteConfig>(text) {
            Ok(config) => Ok(RouteTable::new(config)),
            Err(error) => {
                let mut findings = Findings::new();
                findings.add(format!("{ROUTES_VALUE}:"), error.to_string(), "routes");
                Err(findings)
            }
        }
    }

    /// Get the configuration.
    pub fn config(&self) -> &RouteConfig {
        &self.config
    }

    /// Get the route of a call: the one of its host name with the longest matching path
    /// prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.by_host.get(host)?;
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(index) = prefixes.get(&rest[..=slash]) {
                return self.config.routes.get(*index);
            }
            rest = &rest[..slash];
        }
        None
    }

    /// Get whether calls to non-public routes need an API key.
    pub fn has_accounts(&self) -> bool {
        !self.config.accounts.is_empty()
    }

    /// Get the account that holds an API key. The lookup is by the hash of the key, so
    /// its duration reveals nothing about the stored keys.
    pub fn account_of_key(&self, key: &str) -> Option<&KeyedAccount> {
        let index = self.by_key.get(&KeyHash::of(key))?;
        self.config.accounts.get(*index)
    }

    /// Get an account by its name.
    pub fn account(&self, name: &AccountName) -> Option<&KeyedAccount> {
        let mut accounts = self.config.accounts.iter();
        accounts.find(|account| account.name == *name)
    }

    /// Get the longest time that a call to a pool may take, in milliseconds.
    pub fn longest_call_ms(&self, pool: &PoolName) -> u64 {
        let leads_to_pool = |route: &&Route| route.splits.iter().any(|split| split.pool == *pool);
        let routes = self.config.routes.iter().filter(leads_to_pool);
        routes.map(|route| route.timeout_ms).max().unwrap_or(0)
    }

    /// Get the published configuration of a pool.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolSpec> {
        self.config.pools.iter().find(|pool| pool.name == *name)
    }
}
