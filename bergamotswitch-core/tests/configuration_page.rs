//! Tests that `docs/CONFIGURATION.md` matches the code.

use std::path::Path;

use bergamotswitch_core::error::Findings;
use bergamotswitch_core::publication::{
    FleetLimits, LINK_KEY_LEN, Publication, SPEED_RANGE, TOKEN_LIMIT_RANGE,
};
use bergamotswitch_core::revision::{PublishedValue, Revision, ValueName};
use bergamotswitch_core::rules::{
    DEADLINE_RANGE, DEFAULT_DEADLINE_MS, DEFAULT_SHARE, PROMPT_TOKENS_RANGE, SHARE_RANGE,
    TIER_RANGE,
};
use bergamotswitch_core::settings::HostSettings;
use bergamotswitch_core::target::{DEFAULT_SPEED, DEFAULT_TOKEN_LIMIT};
use serde_json::{Value, json};

/// The name of an unknown field. The finding about it lists the known fields.
const PROBE: &str = "probe";

/// A `PageRow` is a row of a table in the page.
#[derive(Clone, Debug)]
struct PageRow {
    section: String,
    field: String,
    default: String,
    allowed: String,
    line: String,
}

fn page_rows() -> Vec<PageRow> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/CONFIGURATION.md");
    let page = std::fs::read_to_string(path).unwrap();
    let mut section = String::new();
    let mut rows = Vec::new();
    for line in page.lines() {
        if line.starts_with('#') {
            section = line.trim_start_matches('#').trim().replace('`', "");
        }
        if line.starts_with("| `") {
            let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
            rows.push(PageRow {
                section: section.clone(),
                field: cells[0].trim_matches('`').to_owned(),
                default: cells[1].to_owned(),
                allowed: cells[2].to_owned(),
                line: line.to_owned(),
            });
        }
    }
    rows
}

fn section(name: &str) -> Vec<PageRow> {
    let rows = page_rows().into_iter().filter(|row| row.section == name);
    rows.collect()
}

fn row(section_name: &str, field: &str) -> PageRow {
    let found = section(section_name)
        .into_iter()
        .find(|row| row.field == field);
    found.unwrap_or_else(|| panic!("no row {field} under {section_name}"))
}

fn refused(input: &str, body: &Value) -> Findings {
    if input == "settings" {
        return HostSettings::try_from_json(&body.to_string()).unwrap_err();
    }
    let value = PublishedValue {
        name: ValueName::try_from(input).unwrap(),
        revision: Revision(1),
        body: body.to_string(),
    };
    Publication::default().apply(&value).unwrap_err()
}

/// Get an object with `leaf` at a path such as `rules[].when`.
fn body_at(place: &str, leaf: &Value) -> Value {
    place
        .rsplit('.')
        .fold(leaf.clone(), |inner, part| match part.strip_suffix("[]") {
            Some(list) => json!({ list: [inner] }),
            None => json!({ part: inner }),
        })
}

/// The section of the page, the input and the path of the unknown field in it.
const PROBES: [(&str, &str, &str); 15] = [
    ("Host settings", "settings", "probe"),
    ("Gateway settings", "settings", "gateway.probe"),
    (
        "Scheduling settings",
        "settings",
        "gateway.scheduling.probe",
    ),
    ("Log settings", "settings", "log.probe"),
    ("Rule", "rules", "rules[].probe"),
    ("Condition (when)", "rules", "rules[].when.probe"),
    ("Effect (then)", "rules", "rules[].then.probe"),
    ("Client account", "accounts", "accounts[].probe"),
    ("Pool", "pools", "pools[].probe"),
    ("Target", "pools", "pools[].targets[].probe"),
    ("Contract", "pools", "pools[].targets[].contract.probe"),
    ("Failure domain", "domains", "domains[].probe"),
    ("limits", "limits", "probe"),
    ("Host", "hosts", "hosts[].probe"),
    ("Target standing", "hosts", "targets[].probe"),
];

#[test]
fn same_fields() {
    for (name, input, place) in PROBES {
        let findings = refused(input, &body_at(place, &json!(1)));
        let finding = findings.iter().find(|f| f.place.ends_with(PROBE)).unwrap();
        let known = finding.allowed.strip_prefix("one of the fields ").unwrap();
        let known: Vec<&str> = known.split(", ").collect();
        let rows = section(name);
        let documented: Vec<&str> = rows.iter().map(|row| row.field.as_str()).collect();
        assert_eq!(documented, known, "section {name}");
        // A field is documented as needed if and only if its absence is a finding.
        for row in &rows {
            let missing = finding.place.replace(PROBE, &row.field);
            let needed = findings
                .iter()
                .any(|f| f.place == missing && f.found == "nothing");
            assert_eq!(row.default == "needed", needed, "{}", row.line);
        }
    }
    let sections = PROBES.len();
    let mut documented: Vec<String> = page_rows().into_iter().map(|row| row.section).collect();
    documented.dedup();
    assert_eq!(
        documented.len(),
        sections,
        "a table without an entry in PROBES"
    );
}

#[test]
fn same_limits() {
    let rows = section("limits");
    let (min, max) = (LINK_KEY_LEN.start(), LINK_KEY_LEN.end());
    assert_eq!(rows[0].allowed, format!("{min} to {max} bytes of text"));
    for (row, limit) in rows[1..].iter().zip(FleetLimits::TABLE) {
        let expected = format!(
            "| `{}` | {} | {} to {} | {} | {} |",
            limit.name, limit.default, limit.min, limit.max, limit.unit, limit.text
        );
        assert_eq!(row.line, expected);
    }
}

#[test]
fn same_numbers() {
    let range =
        |range: std::ops::RangeInclusive<u64>| format!("{} to {}", range.start(), range.end());
    let (prompt_tokens, tokens) = (PROMPT_TOKENS_RANGE, TOKEN_LIMIT_RANGE);
    let expected = [
        ("Effect (then)", "tier", TIER_RANGE),
        ("Effect (then)", "share", SHARE_RANGE),
        ("Effect (then)", "deadline_ms", DEADLINE_RANGE),
        ("Target", "expected_speed", SPEED_RANGE),
        ("Target", "token_limit", tokens),
        (
            "Condition (when)",
            "min_prompt_tokens",
            prompt_tokens.clone(),
        ),
        ("Condition (when)", "max_prompt_tokens", prompt_tokens),
    ];
    for (section, field, allowed) in expected {
        let row = row(section, field);
        assert!(row.allowed.starts_with(&range(allowed)), "{}", row.line);
    }
    let defaults = [
        ("Effect (then)", "share", DEFAULT_SHARE),
        ("Effect (then)", "deadline_ms", DEFAULT_DEADLINE_MS),
        ("Target", "expected_speed", DEFAULT_SPEED.into()),
        ("Target", "token_limit", DEFAULT_TOKEN_LIMIT.into()),
    ];
    for (section, field, default) in defaults {
        let row = row(section, field);
        assert_eq!(row.default, default.to_string(), "{}", row.line);
    }
}

#[test]
fn same_choices() {
    // The page lists the same allowed values as the finding about an invalid one.
    let cases = [
        ("Log settings", "settings", "log.format"),
        ("Log settings", "settings", "log.level"),
        ("Pool", "pools", "pools[].kind"),
        ("Host", "hosts", "hosts[].standing"),
        ("Target standing", "hosts", "targets[].standing"),
        ("Pool", "pools", "pools[].shard_by_domain"),
    ];
    for (section, input, place) in cases {
        let findings = refused(input, &body_at(place, &json!("wrong")));
        let field = place.rsplit('.').next().unwrap();
        let place = format!("/{field}");
        let finding = findings.iter().find(|f| f.place.ends_with(&place)).unwrap();
        assert_eq!(row(section, field).allowed, finding.allowed);
    }
}

#[test]
fn same_defaults() {
    let settings = json!({"name": "h", "domain": "d", "caller_address": "127.0.0.1:0",
        "link_address": "127.0.0.1:0", "configuration_services": ["127.0.0.1:1"],
        "host_lists": ["127.0.0.1:2"]});
    let settings = HostSettings::try_from_json(&settings.to_string()).unwrap();
    let log = serde_json::to_value(settings.log).unwrap();
    let rules = json!({"rules": [{"name": "r", "then": {"tier": 0}}]});
    let rules = bergamotswitch_core::rules::RuleSet::try_from(&rules).unwrap();
    let then = &rules.rules()[0].then;
    let pools = json!({"pools": [{"name": "p", "targets":
        [{"name": "t", "domain": "d", "address": "127.0.0.1:1"}]}]});
    let pools = bergamotswitch_core::publication::PoolList::try_from(&pools).unwrap();
    let pool = serde_json::to_value(&pools.pools()[0]).unwrap();
    let contract = &pool["targets"][0]["contract"];
    let mut expected = vec![
        ("Log settings", "format", log["format"].clone()),
        ("Log settings", "level", log["level"].clone()),
        ("Effect (then)", "dispatch_once", json!(then.dispatch_once)),
        ("Effect (then)", "idempotent", json!(then.idempotent)),
        ("Effect (then)", "preemptible", json!(then.preemptible)),
        ("Pool", "kind", pool["kind"].clone()),
        ("Pool", "shard_by_domain", pool["shard_by_domain"].clone()),
    ];
    for (promise, default) in contract.as_object().unwrap() {
        expected.push(("Contract", promise, default.clone()));
    }
    for (section, field, default) in expected {
        let default = default.to_string().replace('"', "");
        assert_eq!(row(section, field).default, default, "{section}, {field}");
    }
}
