//! Tests of overload: more work than the engines can complete in time.

mod fleet;

use std::time::{Duration, Instant};

use fleet::caller::{Call, pause, send_all};
use fleet::{Fleet, WAIT_TIMEOUT, wait_view};
use serde_json::{Value, json};
use tokio::task::JoinSet;

/// The maximum drain time of a shard's queue. The default of hours would admit every
/// sky log of the test.
const QUEUE_MILLIS: u64 = 30_000;

/// The tokens of a long sky log. A hundred of these logs exceed the maximum drain time
/// of a shard's queue.
const LONG_LOG_TOKENS: u32 = 30_000;

// Guards against load shedding that refuses dawn reports while sky logs stay queued,
// and against a request that is refused as not run although it has run.
#[tokio::test]
async fn tiers_and_claims() {
    let fleet = Fleet::start("red-austral").await;
    fleet.publish_queue_limit(QUEUE_MILLIS).await;
    // An engine can run one dawn report, so that dawn reports are queued as well while
    // more sky logs arrive.
    fleet.publish_token_limit(700).await;
    let mut sent = JoinSet::new();
    let send_logs = |sent: &mut JoinSet<_>, numbers: std::ops::Range<usize>| {
        for n in numbers {
            let host = fleet.hosts[n % 3].address();
            let call = Call::sky_log(&format!("night-{n}"), LONG_LOG_TOKENS);
            sent.spawn(async move { call.try_send(host).await });
        }
    };
    send_logs(&mut sent, 0..100);
    let mut refused = Vec::new();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while refused.len() < 5 && Instant::now() < deadline {
        if let Some(answer) = sent.join_next().await {
            refused.push(answer.expect("call").expect("answer"));
        }
    }
    let dawn = (0..16).map(|n| {
        let host = fleet.hosts[n % 3].address();
        let mut call = Call::dawn(&format!("dawn-{n}"), 400);
        // Sky logs are preempted for work that would miss its deadline.
        call.deadline_ms = Some(12_000);
        (call, host)
    });
    let dawn = tokio::spawn(send_all(dawn.collect()));
    let queued = |view: &Value| view["desk"]["waiting"][0].as_u64() >= Some(2);
    let waiting = wait_view(fleet.hosts[0].address(), queued).await;
    assert!(waiting.is_some(), "no dawn report waits");
    send_logs(&mut sent, 100..200);
    let answers = dawn.await.expect("calls");
    let runs = fleet.runs().await;
    for answer in answers {
        answer.expect("answer").assert_own_output(&runs, 400);
    }
    while let Ok(Some(answer)) =
        tokio::time::timeout(Duration::from_millis(200), sent.join_next()).await
    {
        refused.push(answer.expect("call").expect("answer"));
    }
    println!("sky logs refused: {}", refused.len());
    for answer in &refused {
        assert!(!answer.is_whole(), "{answer:?}");
        let id = format!("{}-", answer.request().expect("accepted"));
        // A log that was preempted for a dawn report and shed later has run.
        let ran = runs.iter().any(|run| run.request.starts_with(&id));
        assert_eq!(
            answer.ran(),
            if ran { "unknown" } else { "no" },
            "{answer:?}"
        );
    }
}

// Guards against a request that is reported as not run because a target refused it,
// although the target's contract allows a refusal after a run.
#[tokio::test]
async fn refusing_targets() {
    let fleet = Fleet::start("red-austral").await;
    fleet.set_engines(json!({ "refuse": 429 })).await;
    let calls = (0..60).map(|n| {
        let host = fleet.hosts[n % 3].address();
        (Call::report(&format!("fall-{n}"), 40), host)
    });
    let answers = send_all(calls.collect()).await;
    pause().await;
    let runs = fleet.runs().await;
    let mut claims = [0, 0];
    for answer in answers {
        let answer = answer.expect("answer");
        assert!(!answer.is_whole(), "{answer:?}");
        let id = format!("{}-", answer.request().expect("accepted"));
        let ran = runs.iter().any(|run| run.request.starts_with(&id));
        match answer.ran().as_str() {
            "no" => claims[0] += 1,
            _ => claims[1] += 1,
        }
        assert!(!(ran && answer.ran() == "no"), "{answer:?}");
    }
    // Both kinds of engines were used.
    assert!(claims.iter().all(|count| *count > 0), "{claims:?}");
    fleet::assert_ran_once(&runs);
}
