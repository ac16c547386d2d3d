//! Provides the published pools as far as stand-ins need them.

use std::net::SocketAddr;

use serde::Deserialize;

/// A `TargetContract` says what a target honours; what is absent it does not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct TargetContract {
    /// It refuses an order that carries an older fencing number.
    pub checks_fencing: bool,
    /// It resumes a stream by its id and offset without a second run.
    pub resumes: bool,
    /// It stops a stream on request.
    pub cancels: bool,
    /// A refusal (429 or 503) proves that the request was not run.
    pub refusal_means_not_run: bool,
    /// It exports and imports KV cache.
    pub moves_cache: bool,
}

/// A `PoolKind` says how a pool's targets are spoken to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines.
    #[default]
    Engine,
    /// Plain services.
    Plain,
}

/// A `PoolTarget` is one target to stand in for.
#[derive(Clone, Debug, Deserialize)]
pub struct PoolTarget {
    /// The target's name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it honours.
    #[serde(default)]
    pub contract: TargetContract,
    /// Its output tokens per second over all its streams.
    #[serde(default = "default_speed")]
    pub expected_speed: u32,
    /// The most tokens (prompt and output) that its batch holds.
    #[serde(default = "default_token_limit")]
    pub token_limit: u32,
}

/// A `TargetPool` is a group of targets.
#[derive(Clone, Debug, Deserialize)]
pub struct TargetPool {
    /// How its targets are spoken to.
    #[serde(default)]
    pub kind: PoolKind,
    /// Its targets.
    pub targets: Vec<PoolTarget>,
}

/// A `PublishedPools` is the value `pools`.
#[derive(Clone, Debug, Deserialize)]
pub struct PublishedPools {
    /// The pools.
    pub pools: Vec<TargetPool>,
}

const fn default_speed() -> u32 {
    1_000
}

const fn default_token_limit() -> u32 {
    65_536
}
