//! Hosts whose processes sleep for seconds and wake up believing old facts.

mod fleet;

use std::time::Duration;

use fleet::caller::{Call, pause, send_all};
use fleet::{ALL_HOSTS, ENGINES, Fleet, assert_ran_once, owns, view, wait_view};
use serde_json::Value;

/// Longer than the suspicion time and a permit's life together.
const PAUSE: Duration = Duration::from_secs(6);

/// Freeze a host in the middle of a burst to all hosts and let it wake up.
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
    // The sleep is the fault itself: nothing can be polled of a stopped
    // process, and what others do meanwhile is looked at below.
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

// Symptom: a report ran twice, or waits for ever, after a pause of the owner.
// Sequence: the shard's owner sleeps in the middle of a burst; the next
// candidate takes over; the sleeper wakes, still owner in its own view, with
// permits and asks of before. Cause: acting on facts as old as the pause.
#[tokio::test]
async fn owner_frozen() {
    let fleet = Fleet::start("red-austral").await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    suspend(&fleet, owner).await;
    let host = fleet.hosts[owner].address();
    assert!(has_logged_pause(&fleet::metrics(host).await));
    // The first candidate gets its shard back, and nobody else keeps it.
    let back = wait_view(host, |view: &Value| owns(view, ENGINES)).await;
    assert!(back.is_some());
    assert_eq!(fleet.wait_owner(ENGINES, &ALL_HOSTS).await, owner);
    for other in fleet.others(owner) {
        assert!(!owns(&view(fleet.hosts[other].address()).await, ENGINES));
    }
}

// Symptom: a report ran twice after a pause of its entry host. Sequence: a
// host that is no owner sleeps with asks under way and permits in its socket
// buffers, and wakes when those permits are long void. Cause: a permit used
// after its time, on a slot that others have by now.
#[tokio::test]
async fn entry_frozen() {
    let fleet = Fleet::start("red-austral").await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    let suspended = fleet.others(owner)[0];
    suspend(&fleet, suspended).await;
    assert!(has_logged_pause(
        &fleet::metrics(fleet.hosts[suspended].address()).await
    ));
    // No slot stays taken by a permit that was never used.
    let owner = fleet.hosts[owner].address();
    let empty = |view: &Value| {
        let shards = view["shards"].as_array().expect("shards");
        let engines = shards.iter().find(|s| s["shard"]["pool"] == ENGINES);
        engines.is_some_and(|shard| shard["in_flight"] == 0)
    };
    assert!(wait_view(owner, empty).await.is_some());
}

// Symptom: a stream that its caller took for whole was not. Sequence: the
// entry host sleeps in the middle of a stream and wakes. Cause: what came
// while it slept was dropped, or the stream was taken for broken and run
// again.
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
