//! Rules that operators publish, in order, against each other, with faults.

mod fleet;

use std::time::{Duration, Instant};

use fleet::caller::Call;
use fleet::relay::{Flow, Relay};
use fleet::{
    Fleet, RevisionWatch, in_force, rewrite, settings_paths, view, wait_revision, wait_view,
};
use serde_json::{Value, json};

/// The users' bound for a change to be in force everywhere.
const CHANGE_BOUND: Duration = Duration::from_secs(9);

/// Leave out the last rule, which matches anything else.
fn remove_fallback(rules: &mut Value) {
    rules["rules"].as_array_mut().expect("rules").pop();
}

fn unnamed(key: &str) -> Call {
    Call {
        work: "unnamed",
        ..Call::dawn(key, 5)
    }
}

// Symptom: hosts act by different rules after two operators published at
// about the same time. Sequence: one publication follows another before the
// first is in force everywhere. Cause: the one that arrived last won, not the
// one with the higher revision.
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

// Symptom: some hosts act by a faulty revision, or one that was published
// after it is never taken. Sequence: an operator publishes a faulty value,
// and then a good one. Cause: hosts that judge alone and differently, or that
// stop at what they refused.
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

// Symptom: a change is in force at some hosts only. Sequence: all hosts but
// one lose the configuration service, their connections to it silent; rules
// are published. Cause: each host relied on its own reads.
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
        println!("reader {reader} alone: in force everywhere after {taken:?}");
        assert!(taken < CHANGE_BOUND, "{taken:?}");
    }
    watch.check().await;
}
