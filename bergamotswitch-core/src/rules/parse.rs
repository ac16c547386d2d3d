//! Provides the parsing of published rules.

use std::ops::RangeInclusive;
use std::time::Duration;

use serde_json::Value;

use super::{Rule, RuleCondition, RuleEffect, RuleSet, TIER_COUNT, Tier};
use crate::error::Findings;
use crate::publication::duplicates::refuse_duplicate_names;
use crate::publication::json_node::{JsonNode, ReadJson, read_value};
use crate::publication::object_reader::ObjectReader;
use crate::revision::RULES_VALUE;

/// The allowed tiers.
pub const TIER_RANGE: RangeInclusive<u64> = 0..=TIER_COUNT as u64 - 1;
/// The allowed weights of an account's share.
pub const SHARE_RANGE: RangeInclusive<u64> = 1..=1_000;
/// The default weight of an account's share.
pub const DEFAULT_SHARE: u64 = 1;
/// The allowed deadlines in milliseconds, up to one day.
pub const DEADLINE_RANGE: RangeInclusive<u64> = 1..=86_400_000;
/// The default deadline in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 60_000;
/// The allowed prompt token counts.
pub const PROMPT_TOKENS_RANGE: RangeInclusive<u64> = 0..=u32::MAX as u64;

impl TryFrom<&Value> for RuleSet {
    type Error = Findings;

    fn try_from(value: &Value) -> Result<Self, Findings> {
        read_value(RULES_VALUE, value)
    }
}

impl ReadJson for RuleSet {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let rules = object.required("rules");
        object.finish();
        let elements = node.field("rules").map(|list| list.elements());
        refuse_duplicate_names(&elements.unwrap_or_default(), findings);
        Some(RuleSet { rules: rules? })
    }
}

impl ReadJson for Rule {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let name = object.required("name");
        let when = object.or_default("when");
        let then = object.required("then");
        object.finish();
        Some(Rule {
            name: name?,
            when: when?,
            then: then?,
        })
    }
}

impl ReadJson for RuleCondition {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let pools = object.optional("pools");
        let accounts = object.optional("accounts");
        let work = object.optional("work");
        let paths = object.optional::<Vec<PathPrefix>>("paths");
        let domains = object.optional("domains");
        let min = object.number("min_prompt_tokens", &PROMPT_TOKENS_RANGE);
        let max = object.number("max_prompt_tokens", &PROMPT_TOKENS_RANGE);
        let streaming = object.optional("streaming");
        object.finish();
        let (min, max) = (min?.map(|n| n as u32), max?.map(|n| n as u32));
        check_bounds(node, min, max, findings);
        let paths = paths?.map(|list| list.into_iter().map(|path| path.0).collect());
        Some(RuleCondition {
            pools: pools?,
            accounts: accounts?,
            work: work?,
            paths,
            domains: domains?,
            min_prompt_tokens: min,
            max_prompt_tokens: max,
            streaming: streaming?,
        })
    }
}

fn check_bounds(node: &JsonNode<'_>, min: Option<u32>, max: Option<u32>, findings: &mut Findings) {
    if let (Some(min), Some(max)) = (min, max)
        && min > max
    {
        findings.add(
            format!("{}/max_prompt_tokens", node.place()),
            max.to_string(),
            format!("at least min_prompt_tokens, {min}"),
        );
    }
}

struct PathPrefix(String);

impl ReadJson for PathPrefix {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        match node.text() {
            Some(text) if text.starts_with('/') => Some(PathPrefix(text.to_owned())),
            _ => {
                node.refuse(findings, "a path prefix that starts with /");
                None
            }
        }
    }
}

impl ReadJson for RuleEffect {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let tier = object.required("tier");
        let share = object.number("share", &SHARE_RANGE);
        let domains = object.or_default("domains");
        let dispatch_once = object.or_default("dispatch_once");
        let idempotent = object.or_default("idempotent");
        let preemptible = object.or_default("preemptible");
        let deadline = object.number("deadline_ms", &DEADLINE_RANGE);
        object.finish();
        let deadline_ms = deadline?.unwrap_or(DEFAULT_DEADLINE_MS);
        let effect = RuleEffect {
            tier: tier?,
            share: share?.unwrap_or(DEFAULT_SHARE) as u32,
            domains: domains?,
            dispatch_once: dispatch_once?,
            idempotent: idempotent?,
            preemptible: preemptible?,
            deadline: Duration::from_millis(deadline_ms),
        };
        check_flags(node, &effect, findings);
        Some(effect)
    }
}

impl ReadJson for Tier {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        node.number(&TIER_RANGE, findings)
            .map(|number| Tier(number as u8))
    }
}

/// Add findings for flags that contradict each other. Neither takes precedence: a wrong
/// choice would cause a second run or a lost request.
fn check_flags(node: &JsonNode<'_>, effect: &RuleEffect, findings: &mut Findings) {
    if effect.dispatch_once && effect.idempotent {
        findings.add(
            format!("{}/idempotent", node.place()),
            "true together with dispatch_once",
            "false: a request that is dispatched at most once never runs again",
        );
    }
    if effect.preemptible && !effect.idempotent {
        findings.add(
            format!("{}/preemptible", node.place()),
            "true without idempotent",
            "false: a preempted stream runs again, so it must be idempotent",
        );
    }
}
