//! Tests of hosts whose process is suspended for seconds and resumes with outdated
//! state.

mod fleet;

use std::time::Duration;

use fleet::caller::{Call, pause, send_all};
use fleet::{ALL_HOSTS, ENGINES, Fleet, assert_ran_once, owns, view, wait_view};
use serde_json::Value;

/// Longer than the suspicion timeout and the lifetime of a permit together.
const PAUSE: Duration = Duration::from_secs(6);

/// Suspend a host in the middle of a burst to all hosts, and resume it.
async fn suspend(fleet: &Fleet, suspended: usize) {
    fleet.publish_token_limit(600).await;
    let send = |numbers: std::ops::Range<usize>, hosts: &[usize]| {
        let call = |n: usize| {
            let host = fleet.hosts[hosts[n % hosts.len()]].address();
            (Call::report(&format!("fall-{n}"), 200), host)
        };
        tokio::spawn(send_all(numbers.map(call).collect()))
    };
    let burst = send(0..90, &ALL_HOSTS);
    while fleet.runs().await.len() < 20 {
        pause().await;
    }
    fleet.hosts[suspended].signal("STOP");
    let running = fleet.others(suspended);
    let meanwhile = send(90..120, &running);
    // The suspended process cannot be polled, so wait for the length of the pause.
    tokio::time::sleep(PAUSE).await;
    fleet.hosts[suspended].signal("CONT");
    for sent in [burst, meanwhile] {
        for answer in sent.await.expect("calls") {
            let answer = answer.expect("answer");
            assert!(answer.is_whole(), "{answer:?}");
            assert_eq!(answer.output().split_whitespace().count(), 200);
        }
    }
    let runs = fleet.runs().await;
    assert_ran_once(&runs);
    assert_eq!(runs.len(), 120);
}

fn has_logged_pause(metrics: &str) -> bool {
    let count = metrics
        .lines()
        .find_map(|line| line.strip_prefix("bergamot_incidents_total{number=\"104\"} "));
    count.is_some_and(|count| count != "0")
}

// Guards against reports that run twice or hang because a suspended owner resumes,
// after the next candidate has taken over, and acts on outdated permits and permit
// requests.
#[tokio::test]
async fn owner_frozen() {
    let fleet = Fleet::start("red-austral").await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    suspend(&fleet, owner).await;
    let host = fleet.hosts[owner].address();
    assert!(has_logged_pause(&fleet::metrics(host).await));
    // The first candidate takes its shard back, and no other host keeps it.
    let back = wait_view(host, |view: &Value| owns(view, ENGINES)).await;
    assert!(back.is_some());
    assert_eq!(fleet.wait_owner(ENGINES, &ALL_HOSTS).await, owner);
    for other in fleet.others(owner) {
        assert!(!owns(&view(fleet.hosts[other].address()).await, ENGINES));
    }
}

// Guards against a report that runs twice because a suspended entry host resumes and
// uses permits that have expired, for slots that are now held by others.
#[tokio::test]
async fn entry_frozen() {
    let fleet = Fleet::start("red-austral").await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    let suspended = fleet.others(owner)[0];
    suspend(&fleet, suspended).await;
    assert!(has_logged_pause(
        &fleet::metrics(fleet.hosts[suspended].address()).await
    ));
    // No slot stays occupied by an unused permit.
    let owner = fleet.hosts[owner].address();
    let empty = |view: &Value| {
        let shards = view["shards"].as_array().expect("shards");
        let engines = shards.iter().find(|s| s["shard"]["pool"] == ENGINES);
        engines.is_some_and(|shard| shard["in_flight"] == 0)
    };
    assert!(wait_view(owner, empty).await.is_some());
}

// Guards against a stream that is truncated or run again because its entry host is
// suspended in the middle.
#[tokio::test]
async fn stream_suspended() {
    let fleet = Fleet::start("red-austral").await;
    let host = &fleet.hosts[0];
    let mut open = Call::report("fall-1", 1_500).begin(host.address()).await;
    open.as_mut().expect("head").read_output().await;
    host.signal("STOP");
    tokio::time::sleep(PAUSE).await;
    host.signal("CONT");
    let answer = open.expect("head").finish().await;
    assert!(answer.is_whole());
    assert_eq!(answer.output().split_whitespace().count(), 1_500);
    assert_eq!(fleet.runs().await.len(), 1);
}
