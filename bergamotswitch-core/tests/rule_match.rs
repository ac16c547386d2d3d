//! Tests of rule matching, compared with a naive matcher on raw JSON.

use bergamotswitch_core::client_account::AccountName;
use bergamotswitch_core::failure_domain::DomainName;
use bergamotswitch_core::pool::PoolName;
use bergamotswitch_core::rules::{RequestAttributes, RuleSet, WorkKind};
use serde_json::{Value, json};

const NAMES: [&str; 3] = ["a", "b", "c"];
const PATHS: [&str; 3] = ["/v1/", "/v1/chat", "/"];

fn naive_match(when: &Value, attributes: &RequestAttributes<'_>) -> bool {
    let listed = |field: &str, found: Option<&str>| match when[field].as_array() {
        Some(list) => list.iter().any(|item| item.as_str() == found),
        None => true,
    };
    let tokens = u64::from(attributes.prompt_tokens);
    let number = |field: &str| when[field].as_u64();
    let streaming = when["streaming"].as_bool();
    let paths = when["paths"].as_array();
    listed("pools", Some(attributes.pool.as_str()))
        && listed("accounts", Some(attributes.account.as_str()))
        && listed("work", attributes.work.map(WorkKind::as_str))
        && listed("domains", Some(attributes.domain.as_str()))
        && paths.is_none_or(|list| {
            list.iter()
                .any(|path| attributes.path.starts_with(path.as_str().unwrap()))
        })
        && number("min_prompt_tokens").is_none_or(|min| min <= tokens)
        && number("max_prompt_tokens").is_none_or(|max| max >= tokens)
        && streaming.is_none_or(|wanted| wanted == attributes.streaming)
}

/// Get a condition in which each part is present if its bit is set.
fn condition(bits: u8, pick: u8) -> Value {
    let mut when = json!({});
    let name = NAMES[pick as usize % 3];
    for (bit, field) in ["pools", "accounts", "work", "domains"].iter().enumerate() {
        if bits & 1 << bit != 0 {
            when[field] = json!([name, NAMES[pick as usize / 3 % 3]]);
        }
    }
    if bits & 16 != 0 {
        when["paths"] = json!([PATHS[pick as usize / 9 % 3]]);
    }
    if bits & 32 != 0 {
        when["min_prompt_tokens"] = json!(pick % 8);
    }
    if bits & 64 != 0 {
        when["max_prompt_tokens"] = json!(pick % 8 + 2);
    }
    if bits & 128 != 0 {
        when["streaming"] = json!(pick.is_multiple_of(2));
    }
    when
}

fn rule_of((index, when): (usize, &Value)) -> Value {
    json!({"name": format!("r{index}"), "when": when, "then": {"tier": index % 8}})
}

#[test]
fn first_match() {
    type Input = (Vec<(u8, u8)>, [u8; 7]);
    bergamotswitch_draw::for_each::<Input>(4000, |(raw, draw)| {
        let conditions = raw.iter().map(|(bits, pick)| condition(*bits, *pick));
        let conditions: Vec<Value> = conditions.collect();
        if conditions.is_empty() {
            return;
        }
        let rules: Vec<Value> = conditions.iter().enumerate().map(rule_of).collect();
        let rule_set = RuleSet::try_from(&json!({ "rules": rules })).unwrap();
        let name = |index: usize| NAMES[draw[index] as usize % 3];
        let work = WorkKind::try_from(name(2)).unwrap();
        let attributes = RequestAttributes {
            pool: &PoolName::try_from(name(0)).unwrap(),
            account: &AccountName::try_from(name(1)).unwrap(),
            work: (draw[2] < 128).then_some(&work),
            path: ["/v1/chat/completions", "/v1/other", "/status"][draw[3] as usize % 3],
            domain: &DomainName::try_from(name(4)).unwrap(),
            prompt_tokens: u32::from(draw[5] % 10),
            streaming: draw[6].is_multiple_of(2),
        };
        let expected = conditions
            .iter()
            .position(|when| naive_match(when, &attributes));
        let found = rule_set
            .decide(&attributes)
            .map(|verdict| verdict.rule.to_string());
        assert_eq!(found, expected.map(|index| format!("r{index}")));
        // The trace agrees with the decision.
        let trace = rule_set.explain(&attributes);
        assert_eq!(trace.matched().map(ToString::to_string), found);
        let seen = expected.map_or(conditions.len(), |index| index + 1);
        assert_eq!(trace.steps.len(), seen);
    });
}

fn with_attributes<T>(evaluate: impl FnOnce(&RequestAttributes<'_>) -> T) -> T {
    evaluate(&RequestAttributes {
        pool: &PoolName::try_from("p").unwrap(),
        account: &AccountName::try_from("a").unwrap(),
        work: None,
        path: "/",
        domain: &DomainName::try_from("d").unwrap(),
        prompt_tokens: 20,
        streaming: false,
    })
}

#[test]
fn safe_defaults() {
    // Guards against defaults that allow a request to run twice.
    let rule_set =
        RuleSet::try_from(&json!({"rules": [{"name": "r", "then": {"tier": 2}}]})).unwrap();
    let verdict = with_attributes(|attributes| rule_set.decide(attributes)).unwrap();
    assert!(!verdict.idempotent && !verdict.preemptible && !verdict.dispatch_once);
    assert_eq!((verdict.share, verdict.deadline.as_millis()), (1, 60_000));
}

#[test]
fn displayed_reasons() {
    let rule_set = RuleSet::try_from(&json!({"rules": [
        {"name": "work", "when": {"work": ["dawn-report", "status"]}, "then": {"tier": 0}},
        {"name": "long", "when": {"min_prompt_tokens": 500}, "then": {"tier": 6}},
        {"name": "stream", "when": {"streaming": true}, "then": {"tier": 6}},
    ]}))
    .unwrap();
    assert_eq!(
        with_attributes(|attributes| rule_set.decide(attributes)),
        None
    );
    let displayed = "work: work is nothing, wanted dawn-report or status\n\
        long: min_prompt_tokens is 20, wanted at least 500\n\
        stream: streaming is false, wanted true\n\
        no rule matches\n";
    assert_eq!(
        with_attributes(|attributes| rule_set.explain(attributes)).to_string(),
        displayed
    );
}
