//! Tests of targets that are taken out of service.

mod fleet;

use std::time::{Duration, Instant};

use fleet::caller::{Call, pause, send_all};
use fleet::{ALL_HOSTS, ENGINES, Fleet, wait_revision};
use serde_json::json;

/// The time after which a leaving target gets no new requests.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(3);

// Guards against new requests for a target that is marked as leaving, also after the
// shard's owner dies, and against running ones that are cut off.
#[tokio::test]
async fn no_new_work() {
    let mut fleet = Fleet::start("red-austral").await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    let entries = fleet.others(owner);
    let entry = fleet.hosts[entries[0]].address();
    let mut open = Call::report("long", 4_000)
        .begin(entry)
        .await
        .expect("head");
    open.read_output().await;
    let target = fleet.runs().await[0].target.clone();
    let calls = |prefix: &str, count: usize| {
        let call = |n: usize| {
            let host = fleet.hosts[entries[n % 2]].address();
            (Call::report(&format!("{prefix}-{n}"), 200), host)
        };
        (0..count).map(call).collect::<Vec<_>>()
    };
    let before = tokio::spawn(send_all(calls("before", 80)));
    let marked = Instant::now();
    let leaving = json!([{ "name": target, "standing": "leaving" }]);
    let revision = fleet
        .publish("hosts", |hosts| hosts["targets"] = leaving)
        .await;
    for host in &fleet.hosts {
        wait_revision(host.address(), "hosts", revision).await;
    }
    assert!(marked.elapsed() < LEAVING_TIMEOUT, "{:?}", marked.elapsed());
    // A permit that was granted just before may still be in transit.
    while marked.elapsed() < LEAVING_TIMEOUT {
        pause().await;
    }
    let at_target = |runs: &[fleet::Run]| runs.iter().filter(|run| run.target == target).count();
    let known = at_target(&fleet.runs().await);
    let after = tokio::spawn(send_all(calls("after", 80)));
    let total = fleet.runs().await.len();
    while fleet.runs().await.len() < total + 10 {
        pause().await;
    }
    fleet.hosts[owner].kill();
    for sent in [before, after] {
        for answer in sent.await.expect("calls") {
            assert!(answer.as_ref().is_some_and(|a| a.is_whole()), "{answer:?}");
        }
    }
    let long = open.finish().await;
    let runs = fleet.runs().await;
    assert_eq!(at_target(&runs), known, "new work at {target}");
    assert_eq!(runs.len(), 161);
    long.assert_own_output(&runs, 4_000);
}
