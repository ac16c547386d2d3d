//! Provides targets, the model engines and plain services that run requests.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::contract::TargetContract;
use crate::failure_domain::DomainName;
pub use crate::name::TargetName;

/// A `PoolTarget` is one instance that runs the requests to a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolTarget {
    /// The target's name, unique across all pools.
    pub name: TargetName,
    /// The failure domain that contains the target.
    pub domain: DomainName,
    /// The address at which the target listens (HTTP/1.1).
    pub address: SocketAddr,
    /// The optional capabilities that the target supports.
    #[serde(default)]
    pub contract: TargetContract,
    /// The target's initial speed estimate in output tokens per second over all
    /// streams, used until measurements replace it.
    #[serde(default = "default_speed")]
    pub expected_speed: u32,
    /// The maximum number of tokens (prompt and output) in flight at the target.
    #[serde(default = "default_token_limit")]
    pub token_limit: u32,
    /// The number of concurrent requests that the target reports to serve, if any.
    #[serde(default)]
    pub slots: Option<u32>,
    /// The start time that the target reports, if any. After a later start, no
    /// state of the earlier process applies.
    #[serde(default)]
    pub started_at_ms: Option<u64>,
    /// The version of the target's software.
    #[serde(default)]
    pub version: TargetVersion,
}

/// A `TargetVersion` is the version of a target's software, which has no order. It is empty
/// if the target states none. Streams do not continue at another version.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetVersion(Arc<str>);

impl TargetVersion {
    /// Get the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for TargetVersion {
    fn from(text: &str) -> Self {
        TargetVersion(text.into())
    }
}

impl fmt::Display for TargetVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The default speed estimate of a target, in tokens per second.
pub const DEFAULT_SPEED: u32 = 1_000;
/// The default token limit of a target.
pub const DEFAULT_TOKEN_LIMIT: u32 = 65_536;

const fn default_speed() -> u32 {
    DEFAULT_SPEED
}

const fn default_token_limit() -> u32 {
    DEFAULT_TOKEN_LIMIT
}

/// A `LoadReport` is a target's report of its own load, which is already out of
/// date on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of requests in the target's batch.
    pub running: u32,
    /// The number of requests queued inside the target.
    pub waiting: u32,
    /// The tokens of these requests (prompt and expected output).
    pub outstanding_tokens: u64,
    /// The known age of the report on arrival, in milliseconds.
    pub age_ms: u32,
}

/// A `MomentaryPace` is how long work takes at a target at this moment, in hundredths of
/// the usual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub struct MomentaryPace(u16);

/// A `PaceError` is returned for a pace outside of [`MomentaryPace::RANGE`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceError;

impl fmt::Display for PaceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (min, max) = (MomentaryPace::RANGE.start(), MomentaryPace::RANGE.end());
        write!(f, "a pace is {min} to {max} hundredths of the usual time")
    }
}

impl std::error::Error for PaceError {}

impl MomentaryPace {
    /// The paces that are taken for true, in hundredths of the usual time.
    pub const RANGE: std::ops::RangeInclusive<u32> = 10..=10_000;

    /// The paces that count as the usual one: run times vary by more.
    const USUAL: std::ops::RangeInclusive<u16> = 90..=110;

    /// Get whether work takes about as long as usual.
    pub fn is_usual(self) -> bool {
        Self::USUAL.contains(&self.0)
    }

    /// Get the factor by which work takes longer than usual.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl TryFrom<u32> for MomentaryPace {
    type Error = PaceError;

    fn try_from(hundredths: u32) -> Result<Self, PaceError> {
        match MomentaryPace::RANGE.contains(&hundredths) {
            true => Ok(MomentaryPace(hundredths as u16)),
            false => Err(PaceError),
        }
    }
}

/// A `NamedPace` is the pace that a target names in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedPace {
    /// Work takes this long.
    Pace(MomentaryPace),
    /// The target names a pace that could not be read.
    Malformed,
}

impl From<MomentaryPace> for u32 {
    fn from(pace: MomentaryPace) -> u32 {
        u32::from(pace.0)
    }
}

/// A `RequestRate` is a number of requests per second, kept in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestRate(u32);

/// A `RateError` is returned for a rate that is negative, infinite or no number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateError;

impl RequestRate {
    /// Get the rate in requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RateError;

    fn try_from(per_second: f64) -> Result<Self, RateError> {
        match per_second.is_finite() && per_second >= 0.0 {
            true => Ok(RequestRate((per_second * 1_000.0) as u32)),
            false => Err(RateError),
        }
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

/// A `NamedLimit` is the limit of the request rate that a target names in an answer,
/// for all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedLimit {
    /// The target accepts this rate.
    Rate(RequestRate),
    /// The target names a limit that could not be read.
    Unreadable,
}
