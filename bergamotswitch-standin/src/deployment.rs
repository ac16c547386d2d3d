//! Provides the parts of the published `pools` value that stand-ins read.

use std::net::SocketAddr;

use serde::Deserialize;

/// A `TargetContract` is the set of optional capabilities that a target
/// supports; a missing member means unsupported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct TargetContract {
    /// Whether the target rejects requests with an outdated fencing token.
    pub checks_fencing: bool,
    /// Whether a stream can be resumed by id and offset without a second run.
    pub resumes: bool,
    /// Whether a stream can be cancelled.
    pub cancels: bool,
    /// Whether a refusal (429 or 503) guarantees that the request was not run.
    pub refusal_means_not_run: bool,
    /// Whether the target exports and imports KV cache.
    pub moves_cache: bool,
}

/// A `PoolKind` is the protocol that the targets of a pool speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// The protocol of model engines, with streams and cache events.
    #[default]
    Engine,
    /// Plain HTTP requests and responses.
    Plain,
}

/// A `PoolTarget` is a published target for which a stand-in is started.
#[derive(Clone, Debug, Deserialize)]
pub struct PoolTarget {
    /// The name of the target.
    pub name: String,
    /// The address on which the target listens.
    pub address: SocketAddr,
    /// The capabilities of the target.
    #[serde(default)]
    pub contract: TargetContract,
    /// The output tokens per second over all streams of the target.
    #[serde(default = "default_speed")]
    pub expected_speed: u32,
    /// The maximum number of tokens, prompt and output, in the target's batch.
    #[serde(default = "default_token_limit")]
    pub token_limit: u32,
}

/// A `TargetPool` is a group of targets with the same protocol.
#[derive(Clone, Debug, Deserialize)]
pub struct TargetPool {
    /// The protocol of the targets.
    #[serde(default)]
    pub kind: PoolKind,
    /// The targets of the pool.
    pub targets: Vec<PoolTarget>,
}

/// A `PublishedPools` is the content of the published value `pools`.
#[derive(Clone, Debug, Deserialize)]
pub struct PublishedPools {
    /// All published pools.
    pub pools: Vec<TargetPool>,
}

const fn default_speed() -> u32 {
    1_000
}

const fn default_token_limit() -> u32 {
    65_536
}
