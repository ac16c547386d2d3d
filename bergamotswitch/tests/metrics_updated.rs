//! Tests that a running fleet updates every documented metric.

mod fleet;

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Instant;

use fleet::caller::{Call, pause, send_all};
use fleet::{ALL_HOSTS, ENGINES, Fleet, WAIT_TIMEOUT};
use serde_json::json;

/// Metrics that a fleet of three hosts, all candidates for ownership, does not
/// update. Targets of the native interface name no rate limit and no pace, are not cold and stand in no
/// evacuated domain, and no routes are read; `target_rates`, `cold_targets`, `evacuations` and
/// `gateway_updates` cover these at the gateway. Promises need targets with slots, and connections are kept at the gateway alone:
/// `return_promises` of the core and `idle_connections` of the net crate cover these.
/// Tests of the core cover the next two; the others need an audit and a queue with
/// several tiers.
const UNTRIGGERED_METRICS: [&str; 15] = [
    "bergamot_routes_unreadable",
    "bergamot_limited_targets",
    "bergamot_return_promises_total",
    "bergamot_idle_connections",
    "bergamot_idle_connections_closed_total",
    "bergamot_target_connections_reused_total",
    "bergamot_slow_targets",
    "bergamot_malformed_paces_total",
    "bergamot_cold_targets",
    "bergamot_evacuated_domains",
    "bergamot_lost_paths",
    "bergamot_open_tunnels",
    "bergamot_degraded_admissions_total",
    "bergamot_reclaimed_permits_total",
    "bergamot_preemptions_total",
];

/// A metric that is counted only after an owner has failed.
const EXPOSURE_METRIC: &str = "bergamot_unmarked_resubmission_exposure_total";

/// Get the metric names in the table of `docs/API.md`.
fn documented_metrics() -> BTreeSet<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/API.md");
    let page = std::fs::read_to_string(path).expect("page");
    let rows = page.lines().filter(|line| line.starts_with("| `bergamot_"));
    let cells = rows.filter_map(|row| row.split('|').nth(1));
    let names = cells.flat_map(|cell| cell.split(','));
    names
        .map(|name| name.trim().trim_matches('`').to_owned())
        .collect()
}

/// Get whether any series of the metric is above zero.
fn is_above_zero(page: &str, name: &str) -> bool {
    let mut lines = page.lines().filter(|line| line.starts_with(name));
    lines.any(|line| {
        let value = line.rsplit(' ').next().and_then(|text| text.parse().ok());
        value.is_some_and(|value: f64| value > 0.0)
    })
}

// Guards against a metric that is registered and documented but never updated.
#[tokio::test]
async fn all_documented_metrics() {
    let mut fleet = Fleet::start("red-austral").await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    let user = fleet.hosts[fleet.others(owner)[0]].address();
    let other = fleet.hosts[fleet.others(owner)[1]].address();
    let mut missing = documented_metrics();
    assert!(missing.len() > 20, "{missing:?}");
    for name in UNTRIGGERED_METRICS {
        assert!(missing.remove(name), "{name} is not documented");
    }

    // A resubmission to another host is forwarded to the host that accepted the
    // request.
    let report = Call::report("fall", 50);
    let run = report.send(user).await.incarnation();
    let again = report
        .as_resubmission()
        .with_incarnation(&run)
        .send(other)
        .await;
    assert!(again.is_whole(), "{again:?}");
    // Some engines fail, so requests are retried on other targets.
    for number in 1..=6 {
        let engine = format!("{ENGINES}-{number:02}");
        fleet.set(&engine, json!({ "error": true })).await;
    }
    let dawns = (0..12).map(|n| (Call::dawn(&format!("dawn-{n}"), 20), user));
    send_all(dawns.collect()).await;
    fleet.set_engines(json!({ "error": false })).await;
    // A call whose answers are cut off at several targets is quarantined.
    fleet.set_engines(json!({ "truncate": true })).await;
    for _ in 0..6 {
        Call::dawn("cut", 30).send(user).await;
    }
    fleet.set_engines(json!({ "truncate": false })).await;
    // A truncated answer wastes its prompt tokens. Requests above the targets'
    // capacity are queued, and shed above the queue limit.
    fleet.publish_token_limit(600).await;
    let revision = fleet
        .publish("limits", |limits| {
            limits["queue_limit_requests"] = 20.into();
            limits["max_answer_bytes"] = 65_536.into();
        })
        .await;
    for host in &fleet.hosts {
        fleet::wait_revision(host.address(), "limits", revision).await;
    }
    let endless = Call::dawn("endless", 100_000).send(user).await;
    assert!(!endless.is_whole());
    let logs = (0..80).map(|n| (Call::sky_log(&format!("log-{n}"), 300), user));
    let _sent = tokio::spawn(send_all(logs.collect()));
    // After the owner has failed, its successor may not know every idempotency
    // key.
    let started_at = Instant::now();
    let mut killed = false;
    while !missing.is_empty() && started_at.elapsed() < WAIT_TIMEOUT {
        for number in ALL_HOSTS {
            if killed && number == owner {
                continue;
            }
            let page = fleet::metrics(fleet.hosts[number].address()).await;
            missing.retain(|name| !is_above_zero(&page, name));
        }
        let left = missing.iter().all(|name| name == EXPOSURE_METRIC);
        if left && !killed && !missing.is_empty() {
            killed = true;
            fleet.hosts[owner].kill();
        }
        if killed {
            let report = Call::report(&format!("new-{}", started_at.elapsed().as_nanos()), 5);
            tokio::spawn(async move { report.send(user).await });
        }
        pause().await;
    }
    assert!(missing.is_empty(), "metrics never updated: {missing:?}");
}
