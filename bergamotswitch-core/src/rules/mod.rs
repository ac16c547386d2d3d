//! Provides the ordered rules for requests: the first matching rule determines the
//! tier, the account's share and the allowed failure domains.

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

/// A `Tier` is the priority of a request. 0 is the most urgent; under overload,
/// requests with greater tier numbers are shed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tier(pub u8);

/// The number of tiers that published rules may use.
pub const TIER_COUNT: usize = 8;

/// The number of route tiers within each account tier.
const RANKS_PER_ACCOUNT: u8 = 4;

/// The number of tiers of a gateway's calls.
pub const GATEWAY_TIER_COUNT: usize = 16;

impl Tier {
    /// Get the tier of a gateway call. The account's tier takes precedence if it has
    /// one; the route's tier orders the calls within it, so that urgent calls of an
    /// account do not wait behind its other calls.
    pub fn of_call(account: Option<Tier>, route: Tier) -> Tier {
        let Some(account) = account else {
            return route;
        };
        let inside = route.0.min(RANKS_PER_ACCOUNT - 1);
        let rank = account.0.saturating_mul(RANKS_PER_ACCOUNT) + inside;
        Tier(rank.min(GATEWAY_TIER_COUNT as u8 - 1))
    }
}

/// A `Verdict` is the decision of the first matching rule for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// The name of the rule.
    pub rule: RuleName,
    /// The request's tier.
    pub tier: Tier,
    /// The weight of the client account's share within the tier, at least 1.
    pub share: u32,
    /// The failure domains where the request may run, in no order; all if empty.
    pub domains: Vec<DomainName>,
    /// Whether the request is dispatched at most once.
    pub dispatch_once: bool,
    /// Whether the request may run a second time.
    pub idempotent: bool,
    /// Whether requests of a higher tier may preempt the request's stream.
    pub preemptible: bool,
    /// The default deadline, from the arrival of the request. The caller may set a
    /// shorter one.
    #[serde(rename = "deadline_ms", serialize_with = "serialize_millis")]
    pub deadline: Duration,
}

fn serialize_millis<S: Serializer>(span: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(span.as_millis() as u64)
}

/// A `RequestAttributes` is the attributes of a request that rules can match.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttributes<'a> {
    /// The pool.
    pub pool: &'a crate::pool::PoolName,
    /// The client account.
    pub account: &'a crate::client_account::AccountName,
    /// The kind of work as stated by the caller.
    pub work: Option<&'a WorkKind>,
    /// The path of the call, such as `/v1/chat/completions`.
    pub path: &'a str,
    /// The failure domain of the accepting host.
    pub domain: &'a DomainName,
    /// The estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Whether the caller requests a streamed answer.
    pub streaming: bool,
}

/// A `RuleSet` is the ordered list of published rules. It is parsed from the published
/// JSON by `TryFrom`, which reports every error.
///
/// Defaults are safe for requests that must not run twice: a request is idempotent or
/// preemptible only if its rule says so. Any other request is retried only if it
/// provably did not run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleSet {
    rules: Vec<Rule>,
}

impl RuleSet {
    /// Get the rules in their order.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// Get the decision of the first matching rule; `None` if no rule matches.
    pub fn decide(&self, attributes: &RequestAttributes<'_>) -> Option<Verdict> {
        self.rules
            .iter()
            .find(|rule| rule.when.first_failed_part(attributes).is_none())
            .map(Rule::verdict)
    }

    /// Get the result of each rule for a request, up to and including the first match.
    pub fn explain(&self, attributes: &RequestAttributes<'_>) -> RuleTrace {
        let mut trace = RuleTrace::default();
        for rule in &self.rules {
            let step = RuleStep::of(rule, attributes);
            let matched = step.failed.is_none();
            trace.steps.push(step);
            if matched {
                break;
            }
        }
        trace
    }
}
