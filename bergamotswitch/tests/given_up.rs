//! Tests that a caller is notified at once when the system gives up its request.

mod fleet;

use std::time::{Duration, Instant};

use fleet::caller::{Answer, Call, send_all};
use fleet::{Fleet, Run};
use serde_json::json;

/// Far below the time that the queued work takes.
const IMMEDIATE: Duration = Duration::from_secs(5);

fn assert_not_run(answer: &Answer, runs: &[Run]) {
    assert_eq!(answer.ran(), "no", "{answer:?}");
    let id = format!("{}-", answer.request().expect("accepted"));
    assert!(!runs.iter().any(|run| run.request.starts_with(&id)));
}

// Guards against a request that waits for a free slot beyond its own deadline.
#[tokio::test]
async fn passed_deadline() {
    let fleet = Fleet::start("red-austral").await;
    fleet.publish_token_limit(600).await;
    fleet.set_engines(json!({ "slow": 50 })).await;
    let long = (0..36).map(|n| {
        let host = fleet.hosts[n % 3].address();
        (Call::report(&format!("long-{n}"), 500), host)
    });
    let long = tokio::spawn(send_all(long.collect()));
    while fleet.runs().await.len() < 18 {
        fleet::caller::pause().await;
    }
    let sent = Instant::now();
    let hasty = (0..12).map(|n| {
        let mut call = Call::report(&format!("hasty-{n}"), 500);
        call.deadline_ms = Some(700);
        (call, fleet.hosts[n % 3].address())
    });
    let answers = send_all(hasty.collect()).await;
    assert!(sent.elapsed() < IMMEDIATE, "{:?}", sent.elapsed());
    let runs = fleet.runs().await;
    for answer in answers {
        let answer = answer.expect("answer");
        assert_eq!(answer.code(), "deadline-passed", "{answer:?}");
        assert_not_run(&answer, &runs);
    }
    long.abort();
}

// Guards against retries without a limit while every target refuses connections.
#[tokio::test]
async fn refused_connections() {
    let fleet = Fleet::start("red-austral").await;
    fleet.set_engines(json!({ "reject": true })).await;
    let sent = Instant::now();
    let calls = (0..12).map(|n| {
        let host = fleet.hosts[n % 3].address();
        (Call::report(&format!("fall-{n}"), 50), host)
    });
    let answers = send_all(calls.collect()).await;
    println!("all engines closed: refused after {:?}", sent.elapsed());
    let runs = fleet.runs().await;
    assert_eq!(runs.len(), 0);
    for answer in answers {
        assert_not_run(&answer.expect("answer"), &runs);
    }
    // Calls are served again once the engines accept connections.
    fleet.set_engines(json!({ "reject": false })).await;
    let answer = Call::report("after", 50)
        .send(fleet.hosts[0].address())
        .await;
    assert!(answer.is_whole(), "{answer:?}");
}
