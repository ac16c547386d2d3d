//! Tests of a configuration service that is down, serves stale data, or alternates
//! between old and new data.

mod fleet;

use fleet::caller::Call;
use fleet::{Fleet, RevisionWatch, wait_revision, wait_view};
use serde_json::{Value, json};

async fn wait_all(fleet: &Fleet, revision: u64) {
    for host in &fleet.hosts {
        wait_revision(host.address(), "rules", revision).await;
    }
}

async fn serve_all(fleet: &Fleet, key: &str) {
    for (number, host) in fleet.hosts.iter().enumerate() {
        let answer = Call::report(&format!("{key}-{number}"), 20)
            .send(host.address())
            .await;
        assert!(answer.is_whole(), "{answer:?}");
    }
}

// Guards against rules that return to an earlier revision because a restarting host
// trusts a stale configuration service without asking its peers.
#[tokio::test]
async fn stale_service() {
    let mut fleet = Fleet::start("red-austral").await;
    let watch = RevisionWatch::start(&fleet, "rules");
    let old = fleet.publish("rules", |_| ()).await;
    let new = fleet.publish("rules", |_| ()).await;
    wait_all(&fleet, new).await;
    fleet.set("configuration", json!({ "stale": old })).await;
    for number in 0..fleet.hosts.len() {
        fleet.hosts[number].kill();
        fleet.hosts[number].restart();
        let host = fleet.hosts[number].address();
        assert!(
            wait_view(host, |view| view["ready"] == true)
                .await
                .is_some()
        );
        wait_revision(host, "rules", new).await;
    }
    serve_all(&fleet, "stale").await;
    fleet
        .set("configuration", json!({ "flapping": true }))
        .await;
    let newest = fleet.publish("rules", |_| ()).await;
    wait_all(&fleet, newest).await;
    fleet.hosts[0].kill();
    fleet.hosts[0].restart();
    let host = fleet.hosts[0].address();
    assert!(
        wait_view(host, |view| view["ready"] == true)
            .await
            .is_some()
    );
    wait_all(&fleet, newest).await;
    watch.check().await;
}

// Guards against refused callers during an outage of the configuration service and
// the host list, and against a change that is lost after it.
#[tokio::test]
async fn platform_down() {
    let mut fleet = Fleet::start("red-austral").await;
    let watch = RevisionWatch::start(&fleet, "rules");
    for source in ["configuration", "host-list"] {
        fleet.set(source, json!({ "outage": "refused" })).await;
    }
    let revision = fleet.publish("rules", |_| ()).await;
    serve_all(&fleet, "down").await;
    fleet.hosts[2].kill();
    for number in 0..2 {
        let answer = Call::report(&format!("dead-{number}"), 20);
        let answer = answer.send(fleet.hosts[number].address()).await;
        assert!(answer.is_whole(), "{answer:?}");
    }
    fleet.hosts[2].restart();
    for source in ["configuration", "host-list"] {
        fleet.set(source, json!({ "outage": "off" })).await;
    }
    let ready = |view: &Value| view["ready"] == true;
    assert!(wait_view(fleet.hosts[2].address(), ready).await.is_some());
    wait_all(&fleet, revision).await;
    serve_all(&fleet, "back").await;
    watch.check().await;
}
