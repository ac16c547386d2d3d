//! Provides the trace of a rule decision: the rules that were evaluated, and why they
//! did not match.

use std::fmt;

use serde::Serialize;

use super::rule::{ConditionPart, Rule};
use super::{RequestAttributes, RuleCondition, RuleName};

/// A `RuleTrace` is the result of each evaluated rule, up to and including the first
/// match.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RuleTrace {
    /// The evaluated rules in their order.
    pub steps: Vec<RuleStep>,
}

/// A `RuleStep` is the result of evaluating one rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RuleStep {
    /// The name of the rule.
    pub rule: RuleName,
    /// The first part of the condition that did not match; `None` if the rule matched.
    pub failed: Option<FailedCondition>,
}

/// A `FailedCondition` is a part of a rule's condition that a request does not match.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FailedCondition {
    /// The name of the field in the rule's `when` object.
    pub condition: &'static str,
    /// The value of the request.
    pub found: String,
    /// The value that the rule requires.
    pub wanted: String,
}

impl RuleTrace {
    /// Get the matching rule, if any.
    pub fn matched(&self) -> Option<&RuleName> {
        let last = self.steps.last()?;
        match last.failed {
            None => Some(&last.rule),
            Some(_) => None,
        }
    }
}

impl RuleStep {
    pub(super) fn of(rule: &Rule, attributes: &RequestAttributes<'_>) -> Self {
        let failed = rule.when.first_failed_part(attributes);
        RuleStep {
            rule: rule.name.clone(),
            failed: failed.map(|part| FailedCondition::of(part, &rule.when, attributes)),
        }
    }
}

impl FailedCondition {
    fn of(part: ConditionPart, when: &RuleCondition, attributes: &RequestAttributes<'_>) -> Self {
        match part {
            ConditionPart::Pools => failed_condition("pools", attributes.pool, any_of(&when.pools)),
            ConditionPart::Accounts => {
                failed_condition("accounts", attributes.account, any_of(&when.accounts))
            }
            ConditionPart::Work => match attributes.work {
                Some(work) => failed_condition("work", work, any_of(&when.work)),
                None => failed_condition("work", &"nothing", any_of(&when.work)),
            },
            ConditionPart::Paths => {
                failed_condition("paths", &attributes.path, any_of(&when.paths))
            }
            ConditionPart::Domains => {
                failed_condition("domains", attributes.domain, any_of(&when.domains))
            }
            ConditionPart::MinPromptTokens => failed_condition(
                "min_prompt_tokens",
                &attributes.prompt_tokens,
                bound("at least", when.min_prompt_tokens),
            ),
            ConditionPart::MaxPromptTokens => failed_condition(
                "max_prompt_tokens",
                &attributes.prompt_tokens,
                bound("at most", when.max_prompt_tokens),
            ),
            ConditionPart::Streaming => {
                let wanted = !attributes.streaming;
                failed_condition("streaming", &attributes.streaming, wanted.to_string())
            }
        }
    }
}

fn failed_condition(
    condition: &'static str,
    found: &dyn fmt::Display,
    wanted: String,
) -> FailedCondition {
    FailedCondition {
        condition,
        found: found.to_string(),
        wanted,
    }
}

fn any_of<T: fmt::Display>(wanted: &Option<Vec<T>>) -> String {
    let names: Vec<String> = wanted.iter().flatten().map(T::to_string).collect();
    names.join(" or ")
}

fn bound(word: &str, limit: Option<u32>) -> String {
    format!("{word} {}", limit.unwrap_or_default())
}

impl fmt::Display for RuleTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.steps {
            writeln!(f, "{step}")?;
        }
        match self.matched() {
            Some(_) => Ok(()),
            None => writeln!(f, "no rule matches"),
        }
    }
}

impl fmt::Display for RuleStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.failed {
            None => write!(f, "{}: matches", self.rule),
            Some(failed) => write!(f, "{}: {failed}", self.rule),
        }
    }
}

impl fmt::Display for FailedCondition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} is {}, wanted {}",
            self.condition, self.found, self.wanted
        )
    }
}
