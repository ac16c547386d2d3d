//! Tests of rules that operators publish, in sequence, concurrently and with faults.

mod fleet;

use std::time::{Duration, Instant};

use fleet::caller::Call;
use fleet::relay::{Flow, Relay};
use fleet::{
    Fleet, RevisionWatch, in_force, rewrite, settings_paths, view, wait_revision, wait_view,
};
use serde_json::{Value, json};

/// The required time until a change is in force at all hosts.
const CHANGE_BOUND: Duration = Duration::from_secs(9);

/// Remove the last rule, which matches all remaining requests.
fn remove_fallback(rules: &mut Value) {
    rules["rules"].as_array_mut().expect("rules").pop();
}

fn unnamed(key: &str) -> Call {
    Call {
        work: "unnamed",
        ..Call::dawn(key, 5)
    }
}

// Guards against hosts with different rules after two publications in quick
// succession: the higher revision has to win, not the last one to arrive.
#[tokio::test]
async fn two_publications() {
    let fleet = Fleet::start("red-austral").await;
    let watch = RevisionWatch::start(&fleet, "rules");
    fleet.publish("rules", remove_fallback).await;
    let second = fleet.publish("rules", |_| ()).await;
    let third = fleet.publish("rules", remove_fallback).await;
    assert!(third > second);
    for host in &fleet.hosts {
        wait_revision(host.address(), "rules", third).await;
        let answer = unnamed("after").send(host.address()).await;
        assert_eq!(answer.code(), "no-rule", "{answer:?}");
        assert_eq!(answer.ran(), "no");
    }
    watch.check().await;
}

// Guards against hosts that apply an invalid revision, reject it with different
// findings, or do not apply a valid one that follows it.
#[tokio::test]
async fn invalid_revision() {
    let fleet = Fleet::start("red-austral").await;
    let watch = RevisionWatch::start(&fleet, "rules");
    let bad = fleet
        .publish("rules", |rules| {
            remove_fallback(rules);
            rules["rules"][0]["then"]["tier"] = json!(99);
            rules["rules"][1]["when"]["moon"] = json!("full");
        })
        .await;
    let mut findings = Vec::new();
    for host in &fleet.hosts {
        let refused = |view: &Value| refused(view)["revision"] == bad;
        let view = wait_view(host.address(), refused).await.expect("refused");
        assert!(in_force(&view, "rules") < bad);
        findings.push(self::refused(&view)["findings"].clone());
        let answer = unnamed("bad").send(host.address()).await;
        assert!(answer.is_whole(), "{answer:?}");
    }
    assert_eq!(
        findings[0].as_array().map(Vec::len),
        Some(2),
        "{findings:?}"
    );
    assert!(findings.iter().all(|found| *found == findings[0]));
    let good = fleet.publish("rules", remove_fallback).await;
    for host in &fleet.hosts {
        wait_revision(host.address(), "rules", good).await;
        assert!(refused(&view(host.address()).await).is_null());
    }
    watch.check().await;
}

fn refused(view: &Value) -> Value {
    let values = view["revisions"]["values"].as_array().expect("values");
    let rules = values.iter().find(|value| value["name"] == "rules");
    rules.map_or(Value::Null, |rules| rules["refused"].clone())
}

// Guards against a change that is in force at some hosts only, when only one host
// can reach the configuration service.
#[tokio::test]
async fn one_reader() {
    let (fleet, relays) = Fleet::start_with("red-austral", |stage| {
        let at = |port: u16| (stage.address(), port).into();
        let relay = |number: u16, path: &std::path::PathBuf| {
            rewrite(path, ":7301", &format!(":{}", 7311 + number));
            Relay::start(at(7311 + number), at(7301))
        };
        let paths = settings_paths(stage);
        (0..)
            .zip(&paths)
            .map(|(n, path)| relay(n, path))
            .collect::<Vec<_>>()
    })
    .await;
    let watch = RevisionWatch::start(&fleet, "rules");
    for reader in 0..relays.len() {
        for (number, relay) in relays.iter().enumerate() {
            relay.set(if number == reader {
                Flow::Both
            } else {
                Flow::Blocked
            });
        }
        let published = Instant::now();
        let revision = fleet.publish("rules", remove_fallback).await;
        for host in &fleet.hosts {
            wait_revision(host.address(), "rules", revision).await;
        }
        let taken = published.elapsed();
        println!("only host {reader} connected: in force everywhere after {taken:?}");
        assert!(taken < CHANGE_BOUND, "{taken:?}");
    }
    watch.check().await;
}
