//! Tests of network partitions between hosts while callers and targets can reach all
//! of them.

mod fleet;

use fleet::caller::{Call, pause, send_all};
use fleet::relay::{Flow, Relay};
use fleet::{
    ALL_HOSTS, ENGINES, Fleet, RevisionWatch, assert_ran_once, owns, rewrite, view, wait_revision,
    wait_view,
};
use serde_json::Value;

/// Start a fleet in which all links between hosts go through relays.
async fn start() -> (Fleet, Vec<Relay>) {
    Fleet::start_with("red-austral", |stage| {
        let at = |port: u16| (stage.address(), port).into();
        let relay = |number: u16| {
            let (published, real) = (7251 + number, 7201 + number);
            let hosts = stage.directory().join("hosts.json");
            rewrite(&hosts, &format!(":{real}"), &format!(":{published}"));
            Relay::start(at(published), at(real))
        };
        (0..3).map(relay).collect()
    })
    .await
}

async fn partition(fleet: &Fleet, relays: &[Relay], flow: Flow) {
    let watch = RevisionWatch::start(fleet, "rules");
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    fleet.publish_token_limit(1_200).await;
    let send = |prefix: &str| {
        let call = |n: usize| {
            let host = fleet.hosts[n % 3].address();
            (Call::report(&format!("{prefix}-{n}"), 200), host)
        };
        tokio::spawn(send_all((0..60).map(call).collect()))
    };
    let burst = send("burst");
    while fleet.runs().await.len() < 15 {
        pause().await;
    }
    for relay in relays {
        relay.set(flow);
    }
    // Each host continues on its own, in degraded mode or as owner.
    for number in fleet.others(owner) {
        let host = fleet.hosts[number].address();
        let alone = |view: &Value| owns(view, ENGINES) || view["degraded"].as_u64() > Some(0);
        assert!(wait_view(host, alone).await.is_some(), "host {number}");
    }
    let partitioned = send("parted");
    // A caller that names the incarnation of the holder is served through any host.
    let call = Call::report("named", 400);
    let mut open = call.begin(fleet.hosts[0].address()).await.expect("head");
    open.read_output().await;
    let again = call
        .as_resubmission()
        .with_incarnation(&open.answer.incarnation());
    let named = again.send(fleet.hosts[1].address()).await;
    let revision = fleet.publish("rules", |_| ()).await;
    for host in &fleet.hosts {
        wait_revision(host.address(), "rules", revision).await;
    }
    for relay in relays {
        relay.set(Flow::Both);
    }
    let healed = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    assert_eq!(healed, owner);
    let after = send("after");
    for sent in [burst, partitioned, after] {
        for answer in sent.await.expect("calls") {
            let answer = answer.expect("answer");
            assert!(answer.is_whole(), "{answer:?}");
        }
    }
    let runs = fleet.runs().await;
    open.finish().await.assert_own_output(&runs, 400);
    assert!(named.is_whole());
    assert_eq!(runs.len(), 181);
    assert_ran_once(&runs);
    for host in &fleet.hosts {
        let healthy = |view: &Value| view["degraded"] == 0;
        assert!(wait_view(host.address(), healthy).await.is_some());
        assert_eq!(view(host.address()).await["ready"], true);
    }
    watch.check().await;
}

// Guards against requests that hang or run twice while all links between hosts are
// blocked, and against published values that spread through links only.
#[tokio::test]
async fn links_blocked() {
    let (fleet, relays) = start().await;
    partition(&fleet, &relays, Flow::Blocked).await;
}

// Guards against the same failures when links are blocked in one direction only,
// where a host still receives from its peer.
#[tokio::test]
async fn one_way_links() {
    let (fleet, relays) = start().await;
    partition(&fleet, &relays, Flow::ToTarget).await;
}
