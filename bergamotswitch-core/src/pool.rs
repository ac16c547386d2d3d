//! Provides target pools and the shards into which they are divided.

use serde::{Deserialize, Serialize};

use crate::failure_domain::DomainName;
pub use crate::name::PoolName;
use crate::target::PoolTarget;

/// A `PoolKind` is the protocol that a pool's targets speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines that serve streamed chat and text completions.
    #[default]
    Engine,
    /// Plain services that answer each request with a single response.
    Plain,
}

/// A `TargetPool` is a group of targets that serve the same model or service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetPool {
    /// The pool's name; for engines, the name of the model.
    pub name: PoolName,
    /// The protocol that the pool's targets speak.
    #[serde(default)]
    pub kind: PoolKind,
    /// Whether the targets of each failure domain form a separate shard.
    #[serde(default)]
    pub shard_by_domain: bool,
    /// The pool's targets.
    pub targets: Vec<PoolTarget>,
}

/// A `PoolShard` is the part of a pool that is scheduled by one owner host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PoolShard {
    /// The pool.
    pub pool: PoolName,
    /// The failure domain of the shard's targets; all domains if absent.
    pub domain: Option<DomainName>,
}

impl std::fmt::Display for PoolShard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.domain {
            Some(domain) => write!(f, "{}@{domain}", self.pool),
            None => write!(f, "{}", self.pool),
        }
    }
}
