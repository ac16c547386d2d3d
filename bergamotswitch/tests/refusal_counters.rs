//! Tests of the refusal counters, by reason and tier.

mod fleet;

use std::time::Duration;

use bergamotswitch::command::client;
use bergamotswitch::command::demo::calls::DEPLOYMENTS;
use fleet::caller::Call;
use fleet::{ALL_HOSTS, ENGINES, Fleet};
use serde_json::json;

// Guards against a refusal that is counted without the tier that the rule assigned
// to the request.
#[tokio::test]
async fn tier_counted() {
    let fleet = Fleet::start("red-austral").await;
    for number in 1..=3 {
        let target = format!("red-app-{number}");
        fleet.set(&target, json!({ "reject": true })).await;
    }
    let host = fleet.hosts[0].address();
    let call = DEPLOYMENTS[0].repeatable_service();
    let outcome = call.send(host, "refused").await.expect("an answer");
    assert_eq!(outcome.refusal.as_deref(), Some("retries-exhausted"));
    let page = client::get(host, "/metrics").await.expect("metrics");
    let page = String::from_utf8_lossy(&page.body);
    let series = "bergamot_refusals_total{reason=\"retries-exhausted\",tier=";
    let counted: Vec<&str> = page
        .lines()
        .filter_map(|line| line.strip_prefix(series))
        .filter(|line| !line.ends_with(" 0"))
        .collect();
    assert_eq!(counted, [format!("\"{}\"}} 1", call.tier)]);
}

/// The tokens of a report that takes an engine of Red Austral about 6 s.
const REPORT_TOKENS: u32 = 2_000;

// Guards against refusals of a stopping host that are not counted.
#[tokio::test]
async fn stop_counted() {
    let grace = Duration::from_secs(8);
    let (mut fleet, ()) =
        Fleet::start_with("red-austral", |stage| fleet::set_grace(stage, grace)).await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    let others = fleet.others(owner);
    let host = fleet.hosts[others[0]].address();
    let before = Call::report("before", REPORT_TOKENS);
    assert!(before.send(host).await.is_whole());
    let mut open = Call::report("open", REPORT_TOKENS)
        .begin(host)
        .await
        .expect("head");
    open.read_output().await;
    let stop = fleet.hosts.remove(others[0]).stop(grace);
    stop.wait_until(Duration::from_millis(3_500)).await;
    let late = Call::report("late", REPORT_TOKENS).send(host).await;
    assert_eq!(late.code(), "stopping", "{late:?}");
    let page = fleet::metrics(host).await;
    let series = "bergamot_refusals_total{reason=\"stopping\",tier=";
    let lines = page.lines().filter_map(|line| line.strip_prefix(series));
    let counted: Vec<&str> = lines.filter(|line| !line.ends_with(" 0")).collect();
    assert_eq!(counted, ["\"1\"} 1"], "{page}");
    stop.end().await;
}
