//! Tests of updates at the gateway: members, routes, keys and target registrations.

#[path = "fleet/relay.rs"]
mod relay;
mod users;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bergamotswitch_standin::gateway_target::{GatewayTargetStandin, ResponseMode};
use bergamotswitch_standin::kv_store::StoreMode;
use http::StatusCode;
use relay::Relay;
use serde_json::json;
use users::{Call, HOST, KEY, REVOKE_MS, Site, until};

async fn status(site: &Site, path: &str, id: &str, key: &str) -> StatusCode {
    let call = Call::new("GET", path, id).with("authorization", &format!("Bearer {key}"));
    call.send(site.address()).await.expect("answer").status
}

#[tokio::test]
async fn membership_changes() {
    let mut site = Site::start(3).await;
    // A host that goes down is removed after a timeout, and one that stops at once.
    site.hosts[2].child.kill();
    until("the killed host is removed", async || {
        site.hosts[0].resolved_addresses().await.len() == 2
    })
    .await;
    site.hosts[1].child.signal("TERM");
    until("the stopping host is removed", async || {
        let own = site.hosts[0].callers.to_string();
        site.hosts[0].resolved_addresses().await == [own]
    })
    .await;
    assert!(!site.hosts[1].is_ready().await);
    let answer = Call::new("GET", "/status/1", "late")
        .send(site.hosts[1].callers)
        .await
        .expect("a stopping host still serves");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.field("connection"), "close");
}

#[tokio::test]
async fn changed_routes() {
    let mut site = Site::start(2).await;
    assert_eq!(
        status(&site, "/new/1", "r-1", KEY).await,
        StatusCode::NOT_FOUND
    );
    site.publish(&[KEY], &["/new/"]);
    until("the new route is in force", async || {
        status(&site, "/new/1", "r-2", KEY).await == StatusCode::OK
    })
    .await;
    site.publish(&["another-key"], &["/new/"]);
    until("the old key is refused", async || {
        status(&site, "/new/1", "r-3", KEY).await == StatusCode::UNAUTHORIZED
    })
    .await;
    assert_eq!(
        status(&site, "/new/1", "r-4", "another-key").await,
        StatusCode::OK
    );
}

// Guards against a revoked key that is accepted indefinitely: the store does not
// answer, so the host cannot learn of a revocation and must not rely on the last
// known keys.
#[tokio::test]
async fn unresponsive_store() {
    let site = Site::start(2).await;
    site.store.set_mode(StoreMode::NoResponse);
    tokio::time::sleep(Duration::from_millis(REVOKE_MS + 100)).await;
    for path in ["/status/1", "/nowhere/1"] {
        let found = status(&site, path, "r-1", KEY).await;
        assert_eq!(found, StatusCode::SERVICE_UNAVAILABLE, "{path}");
    }
    let public = Call::new("GET", "/open/1", "r-2").without("authorization");
    let answer = public.send(site.address()).await.expect("answer");
    assert_eq!(answer.status, StatusCode::OK);
    site.store.set_mode(StoreMode::Normal);
    until("keys are accepted again", async || {
        status(&site, "/status/1", "r-3", KEY).await == StatusCode::OK
    })
    .await;
}

/// Wait until a host trusts no key, and check that it did not take longer than a key may work.
async fn wait_distrust(address: SocketAddr, since: Instant) {
    let bound = Duration::from_millis(REVOKE_MS);
    loop {
        let sent_at = Instant::now();
        let call = Call::new("POST", "/receipt/1", "r-1");
        let status = call.send(address).await.expect("answer").status;
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        let late = sent_at.duration_since(since);
        assert!(late <= bound, "{status} {late:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

// Guards against keys that are trusted for good although the newest routes could not be read:
// by a watch, by a read of all items, or by a host that starts later.
#[tokio::test]
async fn unreadable_routes() {
    for value in [json!({"version": "next"}), json!([]), json!("no object")] {
        let mut site = Site::start(3).await;
        let written_at = Instant::now();
        site.store.put("op/config", &value);
        site.hosts[2].child.kill();
        site.hosts[2].child.restart();
        wait_distrust(site.hosts[0].callers, written_at).await;
        wait_distrust(site.hosts[1].callers, written_at).await;
        site.store.compact();
        tokio::time::sleep(Duration::from_millis(REVOKE_MS)).await;
        until("a host that reads the store shows it", async || {
            let mut pages = Vec::new();
            for host in &site.hosts {
                pages.extend(Call::get("/metrics").send(host.metrics).await.ok());
            }
            let mut texts = pages.iter().map(|page| page.text());
            texts.any(|text| text.contains("bergamot_routes_unreadable 1"))
        })
        .await;
        for host in &site.hosts {
            let call = Call::new("POST", "/receipt/1", "r-2").send(host.callers);
            // A host that started meanwhile knows no routes, or has them from its peers.
            let status = call.await.map(|answer| answer.status);
            assert_eq!(status.ok(), Some(StatusCode::SERVICE_UNAVAILABLE));
        }
        site.publish(&[KEY], &[]);
        until("keys are accepted again", async || {
            status(&site, "/status/1", "r-3", KEY).await == StatusCode::OK
        })
        .await;
    }
}

// Guards against a revoked key that works on since a route of the same version has a name with
// other characters.
#[tokio::test]
async fn unusual_names() {
    let site = Site::start(2).await;
    let routes = [("drafts/2026", "/status/"), ("säule", "/receipt/")].map(|(name, prefix)| {
        json!({"name": name, "host": HOST, "pathPrefix": prefix, "kind": "safe",
               "timeoutMs": 2000, "targetLatencyMs": 500, "service": "desk", "maxAttempts": 2})
    });
    let config = json!({
        "version": 900, "routes": routes,
        "services": [{"name": "desk", "maxConnections": 100}],
        "tenants": [{"name": "company/säule", "apiKeys": ["another-key"]}],
    });
    site.store.put("op/config", &config);
    until("the old key is refused", async || {
        status(&site, "/status/1", "r-1", KEY).await == StatusCode::UNAUTHORIZED
    })
    .await;
    let found = status(&site, "/status/1", "r-2", "another-key").await;
    assert_eq!(found, StatusCode::OK);
    let calls = site.desks.iter().flat_map(|desk| desk.calls());
    let tenants: Vec<Vec<u8>> = calls
        .filter(|call| call.ran && call.field("request-id") == "r-2")
        .map(|call| call.headers["tenant"].as_bytes().to_vec())
        .collect();
    assert_eq!(tenants, ["company/säule".as_bytes()]);
}

// Guards against hosts that keep old routes for good, because they repeat a watch
// from a revision that the store has compacted away.
#[tokio::test]
async fn compacted_history() {
    let mut site = Site::start(1).await;
    site.store.set_mode(StoreMode::Unavailable);
    site.publish(&[KEY], &["/new/"]);
    site.store.compact();
    site.store.set_mode(StoreMode::Normal);
    until("the new route is in force", async || {
        status(&site, "/new/1", "r-1", KEY).await == StatusCode::OK
    })
    .await;
}

// Guards against new calls for a target that registers as draining, or whose entry
// is removed.
#[tokio::test]
async fn draining_target() {
    let site = Site::start(2).await;
    site.register("desk", &site.desks[0], "draining");
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let before = site.desks[0].calls().len();
    for number in 0..10 {
        let id = format!("r-{number}");
        assert_eq!(status(&site, "/status/1", &id, KEY).await, StatusCode::OK);
    }
    assert_eq!(site.desks[0].calls().len(), before);
    site.store.remove("servers/desk-2");
    until("no target is left", async || {
        status(&site, "/status/1", "r-last", KEY).await == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
}

// Guards against calls to an address that is no valid target, after another writer
// overwrites one target's entry and adds malformed ones, and against the loss of the
// valid targets.
#[tokio::test]
async fn foreign_entries() {
    let site = Site::start(2).await;
    let stray = GatewayTargetStandin::start("stray", 0, Duration::ZERO).await;
    let stray = stray.expect("target");
    let mut warming = stray.registration("desk", stray.address(), "warming");
    site.store.put("servers/stray-1", &warming);
    warming["state"] = "ready".into();
    warming["slots"] = "4".into();
    site.store.put("servers/stray-2", &warming);
    site.store.put_bytes("servers/stray-3", "\u{0}{".into());
    site.store
        .put_bytes("servers/desk-1", "{\"state\":\"ready\"}".into());
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let before = site.desks[0].calls().len();
    for number in 0..10 {
        let id = format!("r-{number}");
        assert_eq!(status(&site, "/status/1", &id, KEY).await, StatusCode::OK);
    }
    assert!(stray.calls().is_empty());
    assert_eq!(site.desks[0].calls().len(), before);
    // The target of the overwritten entry registers itself again.
    site.register("desk", &site.desks[0], "ready");
    site.store.remove("servers/desk-2");
    until("the first target is used again", async || {
        status(&site, "/status/1", "r-last", KEY).await == StatusCode::OK
            && site.desks[0].calls().len() > before
    })
    .await;
}

/// Start a site whose only desk is behind a relay.
/// Get items that are not in the store's format; `{key}` stands for the key.
fn odd_items() -> [(&'static str, String); 6] {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let with_value = |value: &str| format!(r#"{{"key":"{{key}}","rev":1,"value":{value}}}"#);
    [
        ("nested", with_value(&nested)),
        ("too large", with_value("1e999")),
        ("no key", r#"{"rev":1,"value":"YQ=="}"#.to_owned()),
        (
            "key of another type",
            r#"{"key":7,"rev":1,"value":"YQ=="}"#.to_owned(),
        ),
        (
            "no revision",
            r#"{"key":"{key}","value":"YQ=="}"#.to_owned(),
        ),
        ("no object", nested.clone()),
    ]
}

// Guards against one odd item of the store that keeps all others from being followed.
#[tokio::test]
async fn odd_items_beside_others() {
    let mut site = Site::start(2).await;
    for (number, (name, item)) in odd_items().into_iter().enumerate() {
        for prefix in ["servers", "op"] {
            let key = format!("{prefix}/odd-{number}");
            let item = item.replace("{key}", &key);
            site.store.put_raw(&key, item.into());
        }
        if number % 2 == 1 {
            // The next reads are full ones.
            site.store.compact();
        }
        let (used, other) = (number % 2, (number + 1) % 2);
        site.register("desk", &site.desks[used], "ready");
        site.register("desk", &site.desks[other], "draining");
        let key = format!("key-{number}");
        site.publish(&[&key], &[]);
        until(&format!("{name}: the changes are in force"), async || {
            uses_only(&site, &key, &site.desks[other]).await
        })
        .await;
    }
}

/// Get whether all hosts serve calls with a key, and send none to the target `left`.
async fn uses_only(site: &Site, key: &str, left: &GatewayTargetStandin) -> bool {
    let before = left.calls().len();
    for host in site.hosts.iter().chain(&site.hosts) {
        let call = Call::new("GET", "/status/1", "r-1");
        let call = call.with("authorization", &format!("Bearer {key}"));
        let answer = call.send(host.callers).await.expect("an answer");
        if answer.status != StatusCode::OK {
            return false;
        }
    }
    left.calls().len() == before
}

// Guards against an item without a readable key, or of an odd shape, that stands in the place
// of the routes while their keys are trusted on.
#[tokio::test]
async fn odd_routes_item() {
    let mut site = Site::start(2).await;
    let (_, nested) = odd_items()[0].clone();
    for item in [
        nested.replace("{key}", "op/config"),
        r#"{"rev":1}"#.to_owned(),
    ] {
        let since = Instant::now();
        site.store.put_raw("op/config", item.into());
        for host in &site.hosts {
            wait_distrust(host.callers, since).await;
        }
        site.publish(&[KEY], &[]);
        until("keys are accepted again", async || {
            status(&site, "/status/1", "r-3", KEY).await == StatusCode::OK
        })
        .await;
    }
}

async fn site_behind_relay() -> (Site, GatewayTargetStandin, Relay, SocketAddr) {
    let site = Site::start(2).await;
    let desk = GatewayTargetStandin::start("desk-3", 0, Duration::ZERO).await;
    let desk = desk.expect("target");
    let (relay, address) = Relay::start_on_free_port(desk.address());
    let entry = desk.registration("desk", address, "ready");
    site.store.put("servers/desk-3", &entry);
    for name in ["servers/desk-1", "servers/desk-2"] {
        site.store.remove(name);
    }
    until("the one target is known", async || {
        status(&site, "/status/1", "r-known", KEY).await == StatusCode::OK
            && !desk.calls().is_empty()
    })
    .await;
    (site, desk, relay, address)
}

/// Restart the target under its name, with its open connections stalled.
async fn restart_target(
    site: &Site,
    desk: &GatewayTargetStandin,
    relay: &Relay,
    address: SocketAddr,
) {
    relay.stall_open_connections();
    desk.replace_responses(&[]);
    desk.restart();
    let entry = desk.registration("desk", address, "ready");
    site.store.put("servers/desk-3", &entry);
    tokio::time::sleep(Duration::from_millis(300)).await;
}

async fn assert_answered_quickly(site: &Site) {
    for number in 0..4 {
        let id = format!("r-{number}");
        let begun = Instant::now();
        assert_eq!(status(site, "/status/1", &id, KEY).await, StatusCode::OK);
        assert!(begun.elapsed() < Duration::from_millis(500), "{id}");
    }
}

// Guards against calls that wait although their target is up: the slots of calls to
// its previous run must be released when the target restarts behind a network fault.
#[tokio::test]
async fn restarted_target() {
    let (site, desk, relay, address) = site_behind_relay().await;
    // Calls without an answer occupy all of its slots.
    desk.queue_responses(&vec![ResponseMode::NoResponse; 16]);
    let site_address = site.address();
    let stuck: Vec<_> = (0..16)
        .map(|number| {
            let call = Call::new("GET", "/status/1", &format!("stuck-{number}"));
            tokio::spawn(async move { call.send(site_address).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    restart_target(&site, &desk, &relay, address).await;
    assert_answered_quickly(&site).await;
    for call in stuck {
        call.abort();
    }
}

// Guards against the reuse of idle connections to a target that has restarted behind
// a network fault. Nothing closes them, so that calls on them would time out.
#[tokio::test]
async fn idle_connections() {
    let (site, desk, relay, address) = site_behind_relay().await;
    let calls = (0..4).map(|number| {
        let call = Call::new("GET", "/status/1", &format!("idle-{number}"));
        let site_address = site.address();
        tokio::spawn(async move { call.send(site_address).await })
    });
    for call in calls.collect::<Vec<_>>() {
        let answer = call.await.expect("no panic").expect("answer");
        assert_eq!(answer.status, StatusCode::OK);
    }
    restart_target(&site, &desk, &relay, address).await;
    assert_answered_quickly(&site).await;
}
