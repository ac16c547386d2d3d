//! Provides a single rule: its condition and its effect.

use std::fmt;
use std::time::Duration;

use super::{RequestAttributes, RuleName, Tier, Verdict, WorkKind};
use crate::client_account::AccountName;
use crate::failure_domain::DomainName;
use crate::pool::PoolName;

/// A `Rule` is a condition with the effect on the requests that match it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The name of the rule.
    pub name: RuleName,
    /// The condition under which the rule matches.
    pub when: RuleCondition,
    /// The effect on matching requests.
    pub then: RuleEffect,
}

/// A `RuleCondition` is the condition of a rule. An absent part matches every request;
/// a list matches if one of its elements does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleCondition {
    /// The pools.
    pub pools: Option<Vec<PoolName>>,
    /// The client accounts.
    pub accounts: Option<Vec<AccountName>>,
    /// The kinds of work as stated by the caller.
    pub work: Option<Vec<WorkKind>>,
    /// The path prefixes.
    pub paths: Option<Vec<String>>,
    /// The failure domains of the accepting host.
    pub domains: Option<Vec<DomainName>>,
    /// The minimum number of prompt tokens.
    pub min_prompt_tokens: Option<u32>,
    /// The maximum number of prompt tokens.
    pub max_prompt_tokens: Option<u32>,
    /// Whether the caller requests a streamed answer.
    pub streaming: Option<bool>,
}

/// A `RuleEffect` is the effect of a rule on matching requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleEffect {
    /// The tier.
    pub tier: Tier,
    /// The weight of the client account's share within the tier.
    pub share: u32,
    /// The failure domains where the request may run; all if empty.
    pub domains: Vec<DomainName>,
    /// Whether the request is dispatched at most once.
    pub dispatch_once: bool,
    /// Whether the request may run a second time.
    pub idempotent: bool,
    /// Whether requests of a higher tier may preempt the request's stream.
    pub preemptible: bool,
    /// The default deadline, from the arrival of the request.
    pub deadline: Duration,
}

/// A `ConditionPart` identifies one part of a rule's condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConditionPart {
    Pools,
    Accounts,
    Work,
    Paths,
    Domains,
    MinPromptTokens,
    MaxPromptTokens,
    Streaming,
}

impl ConditionPart {
    pub(super) const ALL: [ConditionPart; 8] = [
        ConditionPart::Pools,
        ConditionPart::Accounts,
        ConditionPart::Work,
        ConditionPart::Paths,
        ConditionPart::Domains,
        ConditionPart::MinPromptTokens,
        ConditionPart::MaxPromptTokens,
        ConditionPart::Streaming,
    ];
}

impl RuleCondition {
    /// Get whether the condition matches every request.
    pub fn matches_all(&self) -> bool {
        *self == RuleCondition::default()
    }

    /// Get the first part that does not match a request; `None` if all match.
    pub(super) fn first_failed_part(
        &self,
        attributes: &RequestAttributes<'_>,
    ) -> Option<ConditionPart> {
        ConditionPart::ALL
            .into_iter()
            .find(|part| !self.part_holds(*part, attributes))
    }

    fn part_holds(&self, part: ConditionPart, attributes: &RequestAttributes<'_>) -> bool {
        let tokens = attributes.prompt_tokens;
        match part {
            ConditionPart::Pools => matches_list(&self.pools, Some(attributes.pool)),
            ConditionPart::Accounts => matches_list(&self.accounts, Some(attributes.account)),
            ConditionPart::Work => matches_list(&self.work, attributes.work),
            ConditionPart::Paths => match &self.paths {
                Some(paths) => paths.iter().any(|path| attributes.path.starts_with(path)),
                None => true,
            },
            ConditionPart::Domains => matches_list(&self.domains, Some(attributes.domain)),
            ConditionPart::MinPromptTokens => self.min_prompt_tokens.is_none_or(|n| tokens >= n),
            ConditionPart::MaxPromptTokens => self.max_prompt_tokens.is_none_or(|n| tokens <= n),
            ConditionPart::Streaming => self.streaming.is_none_or(|s| s == attributes.streaming),
        }
    }
}

fn matches_list<T: PartialEq>(wanted: &Option<Vec<T>>, found: Option<&T>) -> bool {
    match (wanted, found) {
        (None, _) => true,
        (Some(wanted), Some(found)) => wanted.contains(found),
        (Some(_), None) => false,
    }
}

impl Rule {
    /// Get the verdict for matching requests.
    pub(super) fn verdict(&self) -> Verdict {
        Verdict {
            rule: self.name.clone(),
            tier: self.then.tier,
            share: self.then.share,
            domains: self.then.domains.clone(),
            dispatch_once: self.then.dispatch_once,
            idempotent: self.then.idempotent,
            preemptible: self.then.preemptible,
            deadline: self.then.deadline,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "rule {}: tier {}, share {}, deadline {} ms",
            self.rule,
            self.tier.0,
            self.share,
            self.deadline.as_millis()
        )?;
        let flags = [
            (self.dispatch_once, ", dispatched once"),
            (self.idempotent, ", idempotent"),
            (self.preemptible, ", preemptible"),
        ];
        for (_, text) in flags.iter().filter(|(holds, _)| *holds) {
            f.write_str(text)?;
        }
        if self.domains.is_empty() {
            return Ok(());
        }
        let domains: Vec<&str> = self.domains.iter().map(DomainName::as_str).collect();
        write!(f, ", domains {}", domains.join(" or "))
    }
}
