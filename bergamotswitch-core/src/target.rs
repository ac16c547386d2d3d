//! Provides targets: the engines and plain services that run requests.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::contract::TargetContract;
use crate::failure_domain::DomainName;
pub use crate::name::TargetName;

/// A `PoolTarget` is one instance that runs requests of its pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolTarget {
    /// The target's name, unique over all pools.
    pub name: TargetName,
    /// The failure domain in which the target stands.
    pub domain: DomainName,
    /// Where the target listens (HTTP/1.1).
    pub address: SocketAddr,
    /// What the target honours.
    #[serde(default)]
    pub contract: TargetContract,
    /// A first guess at its speed in output tokens per second over all its
    /// streams; measurement replaces it. Hardware generations differ.
    #[serde(default = "default_speed")]
    pub expected_speed: u32,
    /// The most tokens (prompt and output) that it may hold at once.
    #[serde(default = "default_token_limit")]
    pub token_limit: u32,
    /// The requests that it serves at once, where it says so.
    #[serde(default)]
    pub slots: Option<u32>,
    /// When it started, where it says so: a later start is another run, of which
    /// nothing is known.
    #[serde(default)]
    pub started_at_ms: Option<u64>,
}

/// The speed of a target that says none, in tokens per second.
pub const DEFAULT_SPEED: u32 = 1_000;
/// The token limit of a target that says none.
pub const DEFAULT_TOKEN_LIMIT: u32 = 65_536;

const fn default_speed() -> u32 {
    DEFAULT_SPEED
}

const fn default_token_limit() -> u32 {
    DEFAULT_TOKEN_LIMIT
}

/// A `LoadReport` is what a target says of its own load. It is old on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in its batch.
    pub running: u32,
    /// Requests queued inside it.
    pub waiting: u32,
    /// Tokens (prompt and output still expected) of both.
    pub outstanding_tokens: u64,
    /// The age of the report on arrival, in milliseconds, as far as known.
    pub age_ms: u32,
}
