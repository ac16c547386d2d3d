//! Provides routes: how a gateway's callers reach pools by host name and path,
//! which client accounts may use them, and what bounds their calls.

mod account;
mod table;

use serde::{Deserialize, Serialize};

pub use account::{AccountQuota, KeyedAccount, QuotaUnit};
pub use table::RouteTable;

use crate::name::{PoolName, RuleName};
use crate::rules::Tier;

/// A `CallSemantics` says what may be repeated of a route's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallSemantics {
    /// A call that may run more than once.
    Idempotent,
    /// A call that runs at most once.
    NonIdempotent,
    /// A stream of events that another target may carry on after the last
    /// event that was passed on.
    ResumableStream,
    /// A stream of events that runs at most once.
    SingleStream,
}

impl CallSemantics {
    /// Get whether a second run would do no harm.
    pub fn may_rerun(self) -> bool {
        matches!(
            self,
            CallSemantics::Idempotent | CallSemantics::ResumableStream
        )
    }

    /// Get whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(
            self,
            CallSemantics::ResumableStream | CallSemantics::SingleStream
        )
    }
}

/// A `PoolSplit` is the part of a route's calls that goes to one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSplit {
    /// The pool.
    pub pool: PoolName,
    /// Its weight among the route's pools.
    pub weight: u32,
}

/// A `Route` leads the calls of one host name and path to pools.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name; verdicts and logs carry it as the rule's name.
    pub name: RuleName,
    /// The host name that callers send.
    pub host: String,
    /// What a call's path begins with; it begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub work: CallSemantics,
    /// The longest time from reception to the end of the answer, in
    /// milliseconds.
    pub timeout_ms: u64,
    /// The time in which an answer (of a stream: its first event) is on time,
    /// in milliseconds.
    pub first_answer_ms: u64,
    /// The most targets that may run one call.
    pub max_runs: u16,
    /// The tier of its calls, where the client account has none.
    pub tier: Tier,
    /// Whether calls need no key.
    pub public: bool,
    /// Where the calls go; at least one pool.
    pub splits: Vec<PoolSplit>,
}

impl Route {
    /// Get the pool for a call with this number, evenly spread by weight.
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

/// An `EngineSpec` is what is known of a pool's engines before any was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// The requests in one engine's batch.
    pub slots: u32,
    /// The tokens that one engine's memory holds.
    pub cache_tokens: u32,
}

/// A `PoolSpec` is what is published of a pool apart from its targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// The pool.
    pub name: PoolName,
    /// The connections that one target takes from all hosts together.
    pub connection_limit: u32,
    /// What its engines hold; absent where its targets are plain services.
    pub engine: Option<EngineSpec>,
}

/// A `CallerLimits` is what a gateway's callers may send, and how long they
/// may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The longest head of a call in bytes.
    pub max_header_bytes: u32,
    /// The longest body of a call in bytes.
    pub max_body_bytes: u64,
    /// How long a call's head may take, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// The bounds until routes are known: those that most servers ship with.
    fn default() -> Self {
        CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A `RouteConfig` is the published routes with all that belongs to them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// The operators' own number of the publication, for logs.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The client accounts; where there are none, calls need no key.
    pub accounts: Vec<KeyedAccount>,
    /// The pools.
    pub pools: Vec<PoolSpec>,
    /// What callers may send.
    pub limits: CallerLimits,
}
