//! Provides routes: the mapping of a gateway's calls from host name and path to pools,
//! with the client accounts that may use them and the limits of calls.

mod account;
mod table;

use serde::{Deserialize, Serialize};

pub use account::{AccountQuota, KeyedAccount, QuotaUnit};
pub use table::RouteTable;

use crate::name::{PoolName, RuleName};
use crate::rules::Tier;
use crate::target::RequestRate;

/// A `CallSemantics` states how often a call of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallSemantics {
    /// A call that may run more than once.
    Idempotent,
    /// A call that runs at most once.
    NonIdempotent,
    /// An event stream that another target can resume after the last forwarded event.
    ResumableStream,
    /// An event stream that runs at most once.
    SingleStream,
}

impl CallSemantics {
    /// Get whether the call may run a second time.
    pub fn may_rerun(self) -> bool {
        matches!(
            self,
            CallSemantics::Idempotent | CallSemantics::ResumableStream
        )
    }

    /// Get whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(
            self,
            CallSemantics::ResumableStream | CallSemantics::SingleStream
        )
    }
}

/// A `PoolSplit` is the share of a route's calls that goes to one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSplit {
    /// The pool.
    pub pool: PoolName,
    /// The weight of the pool among the pools of the route.
    pub weight: u32,
}

/// A `Route` maps calls to one host name and path prefix to pools.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route, used as rule name in verdicts and logs.
    pub name: RuleName,
    /// The host name in the request.
    pub host: String,
    /// The path prefix of the calls; it starts and ends with a slash.
    pub path_prefix: String,
    /// Whether a call may run more than once.
    pub work: CallSemantics,
    /// The maximum time from receipt of the call to the end of the answer, in
    /// milliseconds.
    pub timeout_ms: u64,
    /// The time within which the answer, or the first event of a stream, counts as on
    /// time, in milliseconds.
    pub first_answer_ms: u64,
    /// The maximum number of targets that may run one call.
    pub max_runs: u16,
    /// The tier of its calls, unless the client account has one.
    pub tier: Tier,
    /// Whether calls need no API key.
    pub public: bool,
    /// The pools that serve the calls; at least one.
    pub splits: Vec<PoolSplit>,
}

impl Route {
    /// Get the pool for the call with this sequence number, distributed by weight.
    pub fn pool_for(&self, number: u64) -> Option<&PoolName> {
        let total: u64 = self
            .splits
            .iter()
            .map(|split| u64::from(split.weight))
            .sum();
        let mut place = number.checked_rem(total)?;
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if place < weight {
                return Some(&split.pool);
            }
            place -= weight;
        }
        None
    }
}

/// An `EngineSpec` is the published capacity of a pool's engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// The maximum batch size of one engine, in requests.
    pub slots: u32,
    /// The cache capacity of one engine, in tokens.
    pub cache_tokens: u32,
}

/// A `ColdSpec` is what the targets of a pool bear while they are cold, which they are after
/// a start and at times later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdSpec {
    /// How long a target is cold after its start, in milliseconds.
    pub start_ms: u64,
    /// The rate of requests that a cold target bears from all hosts together; if absent, the
    /// rate is not limited.
    pub rate: Option<RequestRate>,
}

/// A `PoolSpec` is the published configuration of a pool, without its targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// The pool.
    pub name: PoolName,
    /// The maximum number of connections to one target from all hosts together.
    pub connection_limit: u32,
    /// The capacity of its engines; absent if the targets are plain services.
    pub engine: Option<EngineSpec>,
    /// What its cold targets bear. Hosts of earlier releases do not publish it.
    #[serde(default)]
    pub cold: ColdSpec,
}

/// A `CallerLimits` is the size and time limits of a gateway's calls and client
/// connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum header size of a call, in bytes.
    pub max_header_bytes: u32,
    /// The maximum body size of a call, in bytes.
    pub max_body_bytes: u64,
    /// The timeout for receiving the header of a call, in milliseconds.
    pub header_timeout_ms: u64,
    /// The idle timeout of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Get the limits that apply until routes are published: common server defaults.
    fn default() -> Self {
        CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A `RouteConfig` is the published gateway configuration: routes, client accounts,
/// pools and limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// The operators' version number of the configuration, for logs.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The client accounts; if empty, calls need no API key.
    pub accounts: Vec<KeyedAccount>,
    /// The pools.
    pub pools: Vec<PoolSpec>,
    /// The limits of calls.
    pub limits: CallerLimits,
}
