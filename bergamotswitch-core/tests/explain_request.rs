//! Tests of request explanations: the matching rule and the eligible targets.

use bergamotswitch_core::client_account::AccountName;
use bergamotswitch_core::explain::{Exclusion, RequestExplanation};
use bergamotswitch_core::failure_domain::DomainName;
use bergamotswitch_core::pool::PoolName;
use bergamotswitch_core::publication::{PoolList, Publication};
use bergamotswitch_core::rules::{RequestAttributes, RuleSet};
use serde_json::{Value, json};

fn publication(rules: Value) -> Publication {
    let target = |name: &str, domain: &str, port: u16| json!({"name": name, "domain": domain, "address": format!("10.0.0.1:{port}")});
    let targets = [
        target("e1", "north", 1),
        target("e2", "south", 2),
        target("e3", "north", 3),
    ];
    let pools = json!({"pools": [{"name": "p", "targets": targets}]});
    let hosts = json!({"hosts": [], "targets": [{"name": "e3", "standing": "leaving"}]});
    Publication {
        rules: RuleSet::try_from(&json!({ "rules": rules })).unwrap(),
        pools: PoolList::try_from(&pools).unwrap(),
        hosts: serde_json::from_value(hosts).unwrap(),
        ..Publication::default()
    }
}

fn explain(publication: &Publication, pool: &str) -> RequestExplanation {
    let attributes = RequestAttributes {
        pool: &PoolName::try_from(pool).unwrap(),
        account: &AccountName::try_from("a").unwrap(),
        work: None,
        path: "/",
        domain: &DomainName::try_from("north").unwrap(),
        prompt_tokens: 1,
        streaming: false,
    };
    RequestExplanation::of(publication, &attributes)
}

/// Get the reasons for exclusion of each target.
fn excluded(explanation: &RequestExplanation) -> Vec<Vec<Exclusion>> {
    let targets = explanation.targets.iter();
    targets.map(|target| target.excluded.clone()).collect()
}

#[test]
fn target_reasons() {
    let rules = json!([{"name": "r", "then": {"tier": 1, "domains": ["north"]}}]);
    let explanation = explain(&publication(rules), "p");
    let south = DomainName::try_from("south").unwrap();
    let expected = [
        vec![],
        vec![Exclusion::DomainNotAllowed(south)],
        vec![Exclusion::Leaving],
    ];
    assert_eq!(excluded(&explanation), expected);
    let displayed = "r: matches\n\
        rule r: tier 1, share 1, deadline 60000 ms, domains north\n\
        e1 (north): may run it\n\
        e2 (south): the rule does not allow failure domain south\n\
        e3 (north): the target is leaving\n";
    assert_eq!(explanation.to_string(), displayed);
    assert_eq!(
        serde_json::to_value(&explanation).unwrap()["verdict"]["deadline_ms"],
        json!(60_000)
    );
}

#[test]
fn unknown_names() {
    // Guards against a misspelled failure domain in a rule allowing all domains.
    let rules = json!([{"name": "r", "then": {"tier": 1, "domains": ["nort"]}}]);
    let explanation = explain(&publication(rules.clone()), "p");
    assert!(
        excluded(&explanation)
            .iter()
            .all(|reasons| !reasons.is_empty())
    );
    let unknown = explain(&publication(rules), "q");
    assert!(!unknown.pool_known && unknown.targets.is_empty());
}

#[test]
fn no_rule() {
    let rules = json!([{"name": "r", "when": {"pools": ["q"]}, "then": {"tier": 1}}]);
    let explanation = explain(&publication(rules), "p");
    assert_eq!(explanation.verdict, None);
    let no_rule = |reasons: &Vec<Exclusion>| reasons.contains(&Exclusion::NoRule);
    assert!(excluded(&explanation).iter().all(no_rule));
}
