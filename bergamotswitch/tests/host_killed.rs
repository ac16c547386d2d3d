//! Tests of hosts that are killed while they hold requests.

mod fleet;

use std::time::{Duration, Instant};

use fleet::caller::{Answer, Call, pause, send_all};
use fleet::{ALL_HOSTS, ENGINES, Fleet, WAIT_TIMEOUT, assert_ran_once};
use serde_json::json;

fn assert_lost(answer: &Answer) {
    assert_eq!(answer.code(), "lost", "{answer:?}");
    assert_eq!(answer.ran(), "unknown", "{answer:?}");
}

// Guards against a second dispatch of a report whose entry host dies in the middle
// of the stream. The caller resubmits it to all hosts, with and without the old
// incarnation and the resubmission mark.
#[tokio::test]
async fn stream_lost() {
    let mut fleet = Fleet::start("red-austral").await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    let (victim, other) = (fleet.others(owner)[0], fleet.others(owner)[1]);
    let host = fleet.hosts[victim].address();
    let call = Call::report("fall-1", 2_000);
    let mut open = call.begin(host).await.expect("head");
    open.read_output().await;
    let run = open.answer.incarnation();
    fleet.hosts[victim].kill();
    let answer = open.finish().await;
    assert!(!answer.is_whole(), "{answer:?}");

    let resent = call.as_resubmission().with_incarnation(&run);
    for to in [other, owner] {
        assert_lost(&resent.send(fleet.hosts[to].address()).await);
        // Neither marked as a resubmission nor with an incarnation: only the shard's
        // owner knows the key.
        let answer = call.send(fleet.hosts[to].address()).await;
        assert!(
            !answer.is_whole() && answer.ran() == "unknown",
            "{answer:?}"
        );
    }
    fleet.hosts[victim].restart();
    let ready = fleet::wait_view(host, |view| view["ready"] == true).await;
    assert!(ready.is_some());
    assert_lost(&resent.send(host).await);
    let answer = call.as_resubmission().send(host).await;
    assert!(
        !answer.is_whole() && answer.ran() == "unknown",
        "{answer:?}"
    );

    let runs = fleet.runs().await;
    assert_eq!(runs.len(), 1, "{runs:?}");
}

// Guards against a wrong "not run", or a second run, for reports that were queued at
// a host that dies. No other host knows which of them had been dispatched.
#[tokio::test]
async fn waiting_lost() {
    let mut fleet = Fleet::start("red-austral").await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    let (victim, other) = (fleet.others(owner)[0], fleet.others(owner)[1]);
    let host = fleet.hosts[victim].address();
    fleet.publish_token_limit(600).await;
    fleet.set_engines(json!({ "slow": 20 })).await;
    let run = fleet::view(host).await["run"]
        .as_str()
        .expect("run")
        .to_owned();
    let calls: Vec<Call> = (0..60)
        .map(|n| Call::report(&format!("fall-{n}"), 500).with_incarnation(&run))
        .collect();
    let waiting = |view: &serde_json::Value| view["desk"]["waiting"][1].as_u64() >= Some(20);
    let sent = calls.iter().map(|call| (call.clone(), host)).collect();
    let sent = tokio::spawn(send_all(sent));

    assert!(fleet::wait_view(host, waiting).await.is_some());
    fleet.hosts[victim].kill();
    let first = sent.await.expect("calls");

    let to = fleet.hosts[other].address();
    let again = calls
        .iter()
        .map(|call| (call.as_resubmission(), to))
        .collect();
    let second = send_all(again).await;
    for (first, second) in first.iter().zip(&second) {
        let whole = first.as_ref().is_some_and(Answer::is_whole);
        assert!(!whole, "{first:?}");
        assert_lost(second.as_ref().expect("answer"));
    }
    assert_ran_once(&fleet.runs().await);
}

// Guards against requests that hang at live hosts because their permit requests were
// lost with a shard's owner and not sent to the next candidate.
#[tokio::test]
async fn owner_lost() {
    let mut fleet = Fleet::start("red-austral").await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    let living = fleet.others(owner);
    fleet.publish_token_limit(600).await;
    let calls: Vec<_> = (0..60)
        .map(|n| {
            let host = fleet.hosts[living[n % 2]].address();
            (Call::report(&format!("burst-{n}"), 300), host)
        })
        .collect();
    let sent = tokio::spawn(send_all(calls));
    while fleet.runs().await.len() < 20 {
        pause().await;
    }
    fleet.hosts[owner].kill();
    let (killed, before) = (Instant::now(), fleet.runs().await.len());
    while fleet.runs().await.len() <= before {
        assert!(killed.elapsed() < WAIT_TIMEOUT);
        pause().await;
    }
    println!("owner killed: next dispatch after {:?}", killed.elapsed());
    for answer in sent.await.expect("calls") {
        let answer = answer.expect("answer");
        assert!(answer.is_whole(), "{answer:?}");
        assert_eq!(answer.output().split_whitespace().count(), 300);
    }
    assert!(killed.elapsed() < WAIT_TIMEOUT + Duration::from_secs(10));
    let runs = fleet.runs().await;
    assert_eq!(runs.len(), 60);
    assert_ran_once(&runs);
    let next = fleet.wait_owner(ENGINES, &living).await;
    assert_ne!(next, owner);
}
