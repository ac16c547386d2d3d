//! Provides the ordered when-then rules; the first match decides a request's
//! tier, its account's share and where it may run.

mod parse;
mod rule;
mod trace;

use std::time::Duration;

use serde::{Deserialize, Serialize, Serializer};

use crate::failure_domain::DomainName;
pub use crate::name::{RuleName, WorkKind};
pub use parse::{
    DEADLINE_RANGE, DEFAULT_DEADLINE_MS, DEFAULT_SHARE, PROMPT_TOKENS_RANGE, SHARE_RANGE,
    TIER_RANGE,
};
pub use rule::{Rule, RuleCondition, RuleEffect};
pub use trace::{FailedCondition, RuleStep, RuleTrace};

/// A `Tier` is a request's rank. 0 is the most urgent; a request of a lower
/// tier (a greater number) is shed before one of a higher tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tier(pub u8);

/// The number of tiers that a configuration's rules may use.
pub const TIER_COUNT: usize = 8;

/// The ranks of routes inside the rank of a client account that has its own.
const RANKS_PER_ACCOUNT: u8 = 4;

/// The number of tiers that a gateway's calls may have.
pub const GATEWAY_TIER_COUNT: usize = 16;

impl Tier {
    /// Get the tier of a call whose account may have a rank of its own. That
    /// one decides; among the calls of accounts of one rank, the route does.
    /// Were the account's rank the whole tier, the longest and most urgent
    /// calls of an account would find room last, behind all its short ones.
    pub fn of_call(account: Option<Tier>, route: Tier) -> Tier {
        let Some(account) = account else {
            return route;
        };
        let inside = route.0.min(RANKS_PER_ACCOUNT - 1);
        let rank = account.0.saturating_mul(RANKS_PER_ACCOUNT) + inside;
        Tier(rank.min(GATEWAY_TIER_COUNT as u8 - 1))
    }
}

/// A `Verdict` is what the first matching rule says of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// The rule.
    pub rule: RuleName,
    /// The request's tier.
    pub tier: Tier,
    /// The weight of the client account's share inside the tier, at least 1.
    pub share: u32,
    /// The failure domains where the request may run, in no order; every one
    /// where empty.
    pub domains: Vec<DomainName>,
    /// Whether the request is dispatched at most once.
    pub dispatch_once: bool,
    /// Whether a second run would do no harm.
    pub idempotent: bool,
    /// Whether higher-tier work may stop the request's stream.
    pub preemptible: bool,
    /// How long after its arrival the answer is of use, unless the caller
    /// says less.
    #[serde(rename = "deadline_ms", serialize_with = "serialize_millis")]
    pub deadline: Duration,
}

fn serialize_millis<S: Serializer>(span: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(span.as_millis() as u64)
}

/// A `RequestFacts` is what rules may look at.
#[derive(Clone, Copy, Debug)]
pub struct RequestFacts<'a> {
    /// The pool.
    pub pool: &'a crate::pool::PoolName,
    /// The client account.
    pub account: &'a crate::client_account::AccountName,
    /// The caller's word for what the request is for.
    pub work: Option<&'a WorkKind>,
    /// The path of the call, such as `/v1/chat/completions`.
    pub path: &'a str,
    /// The failure domain of the accepting host.
    pub domain: &'a DomainName,
    /// The estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Whether the caller wants a stream.
    pub streaming: bool,
}

/// A `RuleSet` is the published rules in their order. It is made from the
/// published JSON by `TryFrom`, which reports every fault.
///
/// What a rule does not say is decided for the case that a second run does
/// harm: a request is neither idempotent nor preemptible unless its rule says
/// so, which means that it is sent again only where it provably did not run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleSet {
    rules: Vec<Rule>,
}

impl RuleSet {
    /// Get the rules in their order.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// Get what the first matching rule says; `None` where no rule matches.
    pub fn decide(&self, facts: &RequestFacts<'_>) -> Option<Verdict> {
        self.rules
            .iter()
            .find(|rule| rule.when.first_failed_part(facts).is_none())
            .map(Rule::verdict)
    }

    /// Get what each rule says of a request, up to the first match.
    pub fn explain(&self, facts: &RequestFacts<'_>) -> RuleTrace {
        let mut trace = RuleTrace::default();
        for rule in &self.rules {
            let step = RuleStep::of(rule, facts);
            let matched = step.failed.is_none();
            trace.steps.push(step);
            if matched {
                break;
            }
        }
        trace
    }
}
