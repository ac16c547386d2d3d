//! Tests of requests that callers submit again.

mod fleet;

use fleet::caller::{Call, send_all};
use fleet::{ALL_HOSTS, ENGINES, Fleet, wait_view};
use serde_json::Value;

// Guards against a second run, or an incomplete answer, when a caller's connection
// breaks in the middle of a stream and the caller resubmits the report to all hosts
// concurrently.
#[tokio::test]
async fn broken_caller() {
    let fleet = Fleet::start("red-austral").await;
    let call = Call::report("fall-1", 1_500);
    let mut open = call.begin(fleet.hosts[0].address()).await.expect("head");
    open.read_output().await;
    let run = open.answer.incarnation();
    drop(open);
    let again = call.as_resubmission().with_incarnation(&run);
    let resent = fleet.hosts.iter().flat_map(|host| {
        let calls = [again.clone(), again.clone(), call.clone()];
        calls.map(|call| (call, host.address()))
    });
    let answers = send_all(resent.collect()).await;
    let runs = fleet.runs().await;
    for answer in answers {
        let answer = answer.expect("answer");
        answer.assert_output_of(&runs[0], 1_500);
        assert_eq!(answer.incarnation(), run);
    }
    assert_eq!(runs.len(), 1, "{runs:?}");
    // The answer is retained and sent again after the request has ended.
    let kept = again.send(fleet.hosts[1].address()).await;
    kept.assert_output_of(&runs[0], 1_500);
    assert_eq!(fleet.runs().await.len(), 1);
}

// Guards against duplicate runs when a caller submits the same request to all hosts
// concurrently, without naming an incarnation.
#[tokio::test]
async fn concurrent_submissions() {
    let fleet = Fleet::start("red-austral").await;
    for round in 0..10 {
        let calls = fleet.hosts.iter().flat_map(|host| {
            let alert = Call::alert(&format!("alert-{round}"));
            let report = Call::report(&format!("fall-{round}"), 30);
            [(alert, host.address()), (report, host.address())]
        });
        for answer in send_all(calls.collect()).await {
            let answer = answer.expect("answer");
            assert!(answer.is_whole(), "{answer:?}");
        }
    }
    let runs = fleet.runs().await;
    assert_eq!(runs.len(), 20, "{runs:?}");
    fleet::assert_ran_once(&runs);
}

// Guards against a second run after the shard's owner dies: the new owner must learn
// the request keys from the hosts that hold the requests.
#[tokio::test]
async fn owner_forgets() {
    let mut fleet = Fleet::start("red-austral").await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    let others = fleet.others(owner);
    let call = Call::report("fall-1", 50);
    let first = call.send(fleet.hosts[others[0]].address()).await;
    let runs = fleet.runs().await;
    first.assert_output_of(&runs[0], 50);
    fleet.hosts[owner].kill();
    // The next owner knows the key once the holder has reported it.
    let knows = |view: &Value| {
        let shards = view["shards"].as_array().expect("shards");
        let engines = shards.iter().find(|s| s["shard"]["pool"] == ENGINES);
        engines.is_some_and(|shard| shard["keys"] == 1)
    };
    let next = fleet.wait_owner(ENGINES, &others).await;
    let reported = wait_view(fleet.hosts[next].address(), knows).await;
    assert!(reported.is_some());
    let second = call.send(fleet.hosts[others[1]].address()).await;
    assert_eq!(fleet.runs().await.len(), 1, "{second:?}");
    second.assert_output_of(&runs[0], 50);
}
