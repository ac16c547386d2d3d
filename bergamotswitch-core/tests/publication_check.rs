//! Tests of the validation of published values.

use bergamotswitch_core::client_account::KeyHash;
use bergamotswitch_core::error::Findings;
use bergamotswitch_core::publication::{FleetLimits, Publication, check_consistency};
use bergamotswitch_core::revision::{PublishedValue, Revision, ValueName};
use bergamotswitch_core::target::TargetName;
use serde_json::{Value, json};

fn value(name: &str, body: &Value) -> PublishedValue {
    PublishedValue {
        name: ValueName::try_from(name).unwrap(),
        revision: Revision(1),
        body: body.to_string(),
    }
}

fn apply(name: &str, body: &Value) -> Result<Publication, Findings> {
    let mut publication = Publication::default();
    publication.apply(&value(name, body)).map(|()| publication)
}

/// Check that the findings about a value are at these locations, in any order.
fn check_places(name: &str, body: &Value, expected: &str) {
    let findings = apply(name, body).expect_err("an invalid value");
    let prefix = format!("{name}:/");
    let mut places: Vec<&str> = findings
        .iter()
        .map(|f| f.place.strip_prefix(&prefix).unwrap())
        .collect();
    places.sort();
    assert_eq!(places, expected.split_whitespace().collect::<Vec<_>>());
}

fn good_values() -> Vec<(&'static str, Value)> {
    let target = json!({"name": "e1", "domain": "north", "address": "10.0.0.1:80"});
    let rules = json!({"rules": [{"name": "all", "then": {"tier": 3}}]});
    let accounts = json!({"accounts": [{"name": "a", "key_hash": "0a".repeat(32)}]});
    let pools = json!({"pools": [{"name": "p", "targets": [target]}]});
    let domains = json!({"domains": [{"name": "north", "region": "r"}]});
    let limits = json!({"link_key": "0123456789abcdef"});
    let hosts = json!({"hosts": [{"name": "h", "domain": "north", "caller_address": "10.0.0.2:1",
        "link_address": "10.0.0.2:2"}], "targets": [{"name": "e1", "standing": "leaving"}]});
    let names = ["rules", "accounts", "pools", "domains", "limits", "hosts"];
    let bodies = [rules, accounts, pools, domains, limits, hosts];
    names.into_iter().zip(bodies).collect()
}

fn good_publication() -> Publication {
    let mut publication = Publication::default();
    for (name, body) in good_values() {
        publication.apply(&value(name, &body)).unwrap();
    }
    publication
}

fn places(findings: &Findings) -> Vec<&str> {
    findings.iter().map(|f| f.place.as_str()).collect()
}

#[test]
fn all_findings() {
    // Guards against validation that stops at the first error.
    let body = json!({"pools": [
        {"name": "p", "kind": "motor", "targets": [
            {"name": "e 1", "domain": 7, "address": "host:80", "speed": 1},
            {"domain": "north", "address": "10.0.0.1:0", "expected_speed": 0,
             "contract": {"resumes": "yes"}},
        ]},
        {"name": "q", "targets": [], "a/b~c": true},
    ], "version": 2});
    check_places(
        "pools",
        &body,
        "pools/0/kind pools/0/targets/0/address pools/0/targets/0/domain \
        pools/0/targets/0/name pools/0/targets/0/speed pools/0/targets/1/address \
        pools/0/targets/1/contract/resumes pools/0/targets/1/expected_speed \
        pools/0/targets/1/name pools/1/a~1b~0c pools/1/targets version",
    );
}

#[test]
fn rule_findings() {
    let body = json!({"rules": [
        {"name": "a", "when": {"pools": [], "paths": ["v1"], "min_prompt_tokens": 9,
            "max_prompt_tokens": 3, "model": "x"}, "then": {"tier": 8, "share": 0}},
        {"name": "a", "then": {"tier": 1, "dispatch_once": true, "idempotent": true}},
        {"name": "b", "then": {"tier": 1, "preemptible": true, "deadline_ms": 0.5}},
        {"name": "c", "then": {"share": 2, "domains": ["x y"]}},
        {"name": "d", "then": {"tier": 1, "preemptible": true}},
    ]});
    check_places(
        "rules",
        &body,
        "rules/0/then/share rules/0/then/tier rules/0/when/max_prompt_tokens \
        rules/0/when/model rules/0/when/paths/0 rules/0/when/pools rules/1/name \
        rules/1/then/idempotent rules/2/then/deadline_ms rules/3/then/domains/0 \
        rules/3/then/tier rules/4/then/preemptible",
    );
}

#[test]
fn repeated_targets() {
    // Guards against a target in two pools, whose owners would each grant all of
    // its slots.
    let body = json!({"pools": [
        {"name": "p", "targets": [{"name": "e1", "domain": "n", "address": "10.0.0.1:80"}]},
        {"name": "q", "targets": [{"name": "e1", "domain": "n", "address": "10.0.0.2:80"},
            {"name": "e2", "domain": "n", "address": "10.0.0.1:80"}]},
    ]});
    check_places(
        "pools",
        &body,
        "pools/1/targets/0/name pools/1/targets/1/address",
    );
}

#[test]
fn repeated_hosts() {
    let host = |name: &str, port: u16, link: u16| {
        json!({"name": name, "domain": "n", "caller_address": format!("10.0.0.1:{port}"),
            "link_address": format!("10.0.0.1:{link}")})
    };
    let body = json!({"hosts": [host("a", 1, 2), host("a", 3, 2), host("b", 2, 5)]});
    check_places(
        "hosts",
        &body,
        "hosts/1/link_address hosts/1/name hosts/2/caller_address",
    );
}

#[test]
fn equivalent_spellings() {
    // Guards against comparing addresses and key hashes as text, which misses
    // duplicates that are written differently.
    let target =
        |name: &str, address: &str| json!({"name": name, "domain": "n", "address": address});
    let body = json!({"pools": [{"name": "p", "targets": [
        target("e1", "[fd00::7]:80"), target("e2", "[fd00:0::7]:080"),
        target("e3", "10.0.0.1:80"), target("e4", "[::ffff:10.0.0.1]:80")]}]});
    check_places(
        "pools",
        &body,
        "pools/0/targets/1/address pools/0/targets/3/address",
    );
    let body = json!({"accounts": [{"name": "a", "key_hash": "0a".repeat(32)},
        {"name": "b", "key_hash": "0A".repeat(32)}, {"name": "c", "key_hash": "+a".repeat(32)}]});
    check_places("accounts", &body, "accounts/1/key_hash accounts/2/key_hash");
}

#[test]
fn unusable_addresses() {
    // Guards against publishing an unspecified address such as 0.0.0.0, with which
    // callers connect to themselves.
    let body = json!({"hosts": [{"name": "a", "domain": "n", "caller_address": "0.0.0.0:7101",
        "link_address": "[::]:7201"}]});
    check_places(
        "hosts",
        &body,
        "hosts/0/caller_address hosts/0/link_address",
    );
}

#[test]
fn any_text() {
    // Each text is the beginning of a valid value, possibly empty, with random text
    // appended.
    bergamotswitch_draw::for_each::<(u8, u8, String)>(2000, |(index, cut, text)| {
        let (name, body) = &good_values()[usize::from(index % 6)];
        let mut published = value(name, body);
        published.body.truncate(usize::from(cut / 2));
        published.body.push_str(text);
        let mut publication = Publication::default();
        match publication.apply(&published) {
            Ok(()) => assert!(serde_json::from_str::<Value>(&published.body).is_ok()),
            Err(findings) => assert!(!findings.is_empty()),
        }
    });
}

#[test]
fn repeated_fields() {
    // Guards against a repeated field, of which the parser would silently keep only
    // the last value.
    let mut publication = Publication::default();
    let mut published = value("rules", &json!({}));
    published.body = r#"{"rules":[{"name":"a","then":{"tier":0,"tier":5}}]}"#.to_owned();
    let findings = publication.apply(&published).unwrap_err();
    assert_eq!(places(&findings), ["rules:/rules/0/then/tier"]);
}

#[test]
fn hidden_secrets() {
    // Guards against findings that leak a secret into logs, such as a key that was
    // published instead of its hash.
    let key = "observatory-secret";
    let accounts = json!({"accounts": [{"name": "a", "key_hash": key}]});
    let findings = apply("accounts", &accounts).unwrap_err();
    assert!(!findings.to_string().contains(key), "{findings}");
    let findings = apply("limits", &json!({"link_key": "short-secret"})).unwrap_err();
    assert!(!findings.to_string().contains("short-secret"), "{findings}");
    let limits = apply("limits", &json!({"link_key": "0123456789abcdef"}));
    let limits = limits.unwrap().limits;
    assert!(!format!("{limits:?}").contains("0123456789abcdef"));
}

#[test]
fn untouched_on_error() {
    let mut publication = good_publication();
    let before = publication.clone();
    for (name, mut body) in good_values() {
        body["surplus"] = json!(1);
        assert!(publication.apply(&value(name, &body)).is_err());
        assert_eq!(publication, before);
    }
    assert!(publication.apply(&value("colours", &json!({}))).is_err());
    let mut broken = value("rules", &json!({}));
    broken.body = "{".to_owned();
    assert!(publication.apply(&broken).is_err());
    assert_eq!(publication, before);
}

#[test]
fn any_order() {
    // Guards against validation that depends on other values: hosts that receive the
    // values in different orders would disagree about a revision.
    bergamotswitch_draw::for_each::<[u8; 6]>(200, |keys| {
        let mut order: Vec<usize> = (0..6).collect();
        order.sort_by_key(|index| keys[*index]);
        let mut publication = Publication::default();
        for index in order {
            let (name, body) = &good_values()[index];
            publication.apply(&value(name, body)).unwrap();
        }
        assert_eq!(publication.missing(), Vec::<&str>::new());
        assert!(check_consistency(&publication).is_empty());
    });
}

#[test]
fn broken_nodes() {
    // If one node of a valid value is replaced, the value is still valid or there is
    // a finding at, above or below that node.
    let values = good_values();
    let replacements = json!([null, -1, "é /~", [], {}, 1e300]);
    bergamotswitch_draw::for_each::<(u8, u8, u8)>(2000, |(v, n, r)| {
        let (name, mut body) = values[*v as usize % values.len()].clone();
        let mut pointers = Vec::new();
        collect_pointers(&body, String::new(), &mut pointers);
        let pointer = &pointers[*n as usize % pointers.len()];
        *body.pointer_mut(pointer).unwrap() = replacements[*r as usize % 6].clone();
        if let Err(findings) = apply(name, &body) {
            let broken = format!("{name}:{pointer}");
            let near = |place: &str| place.starts_with(&broken) || broken.starts_with(place);
            assert!(!findings.is_empty());
            assert!(
                findings.iter().any(|f| near(&f.place)),
                "{broken}: {findings}"
            );
        }
    });
}

fn collect_pointers(node: &Value, pointer: String, pointers: &mut Vec<String>) {
    match node {
        Value::Object(map) => map
            .iter()
            .for_each(|(key, child)| collect_pointers(child, format!("{pointer}/{key}"), pointers)),
        Value::Array(list) => list
            .iter()
            .enumerate()
            .for_each(|(i, child)| collect_pointers(child, format!("{pointer}/{i}"), pointers)),
        _ => {}
    }
    pointers.push(pointer);
}

#[test]
fn missing_values() {
    let mut publication = Publication::default();
    assert_eq!(
        publication.missing(),
        ["rules", "accounts", "pools", "hosts"]
    );
    for (name, body) in good_values() {
        publication.apply(&value(name, &body)).unwrap();
    }
    assert!(publication.missing().is_empty());
}

#[test]
fn leaving_target() {
    let publication = apply("hosts", &good_values()[5].1).unwrap();
    assert!(publication.target_is_leaving(&TargetName::try_from("e1").unwrap()));
    assert!(!publication.target_is_leaving(&TargetName::try_from("e2").unwrap()));
}

#[test]
fn key_lookup() {
    let hash = |key: &str| String::from(KeyHash::of(key));
    let body = json!({"accounts": [{"name": "a", "key_hash": hash("ka")},
        {"name": "b", "key_hash": hash("kb")}]});
    let accounts = apply("accounts", &body).unwrap().accounts;
    let name = |key: &str| {
        let account = accounts.authenticate(key);
        account.map(|account| account.name.as_str())
    };
    assert_eq!(name("ka"), Some("a"));
    assert_eq!(name("kb"), Some("b"));
    assert_eq!(name(""), None);
    let twice = json!({"accounts": [{"name": "a", "key_hash": hash("k")},
        {"name": "b", "key_hash": hash("k")}]});
    check_places("accounts", &twice, "accounts/1/key_hash");
}

#[test]
fn shard_split() {
    let targets = json!([{"name": "e1", "domain": "b", "address": "10.0.0.1:1"},
        {"name": "e2", "domain": "a", "address": "10.0.0.1:2"},
        {"name": "e3", "domain": "b", "address": "10.0.0.1:3"}]);
    let mut body = json!({"pools": [{"name": "p", "targets": targets}]});
    let domains = |body: &Value| -> Vec<Option<String>> {
        let shards = apply("pools", body).unwrap().pools.shards();
        let domains = shards.into_iter().map(|s| s.domain.map(String::from));
        domains.collect()
    };
    assert_eq!(domains(&body), [None]);
    body["pools"][0]["shard_by_domain"] = json!(true);
    assert_eq!(domains(&body), [Some("a".to_owned()), Some("b".to_owned())]);
}

#[test]
fn cross_references() {
    let mut publication = good_publication();
    let rules = json!({"rules": [
        {"name": "a", "when": {"pools": ["p", "x"], "accounts": ["y"], "domains": ["z"]},
         "then": {"tier": 0, "domains": ["north", "w"]}},
        {"name": "b", "then": {"tier": 1}},
        {"name": "c", "when": {"pools": ["p"]}, "then": {"tier": 1}},
    ]});
    publication.apply(&value("rules", &rules)).unwrap();
    let domains = json!({"domains": [{"name": "south", "region": "r"}]});
    publication.apply(&value("domains", &domains)).unwrap();
    let found = check_consistency(&publication);
    let expected = "rules:/rules/0/when/pools/1 rules:/rules/0/when/accounts/0 \
        rules:/rules/0/when/domains/0 rules:/rules/0/then/domains/0 rules:/rules/0/then/domains/1 \
        rules:/rules/2 pools:/pools/0/targets/0/domain hosts:/hosts/0/domain";
    let expected: Vec<&str> = expected.split_whitespace().collect();
    assert_eq!(places(&found), expected);
}

#[test]
fn limit_ranges() {
    let refused = |name: &str, number: u64| match apply("limits", &json!({ name: number })) {
        Ok(_) => false,
        Err(findings) => findings
            .iter()
            .any(|f| f.allowed.starts_with("a whole number")),
    };
    for limit in FleetLimits::TABLE {
        assert!(
            (limit.min..=limit.max).contains(&limit.default),
            "{}",
            limit.name
        );
        assert!(!refused(limit.name, limit.min), "{}", limit.name);
        assert!(!refused(limit.name, limit.max), "{}", limit.name);
        assert!(refused(limit.name, limit.max + 1), "{}", limit.name);
        assert!(
            limit.min == 0 || refused(limit.name, limit.min - 1),
            "{}",
            limit.name
        );
    }
    let together = json!({"heartbeat_ms": 1500, "key_retention_ms": 10_000});
    check_places("limits", &together, "key_retention_ms suspect_after_ms");
    assert_eq!(
        apply("limits", &json!({})).unwrap().limits,
        FleetLimits::default()
    );
}
