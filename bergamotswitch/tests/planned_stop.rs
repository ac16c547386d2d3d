//! Tests of planned stops.

mod fleet;

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use fleet::caller::{Call, pause, send_all};
use fleet::{ALL_HOSTS, ENGINES, Fleet, WAIT_TIMEOUT, assert_ran_once, wait_revision, wait_view};
use serde_json::Value;

/// The maximum time of an immediate refusal, which waits for nothing.
const IMMEDIATE: Duration = Duration::from_secs(1);
/// The tokens of a report that takes an engine of Red Austral about 6 s.
const REPORT_TOKENS: u32 = 2_000;

/// Stop a host with streams in flight and requests in its queue.
async fn stop(fleet: &mut Fleet, stopping: usize) {
    fleet.publish_token_limit(600).await;
    // Resolved addresses expire long before the work ends: after that only the work
    // keeps the process running.
    let set_lifetime = |limits: &mut Value| limits["address_lifetime_ms"] = 3_000.into();
    let revision = fleet.publish("limits", set_lifetime).await;
    wait_revision(fleet.hosts[stopping].address(), "limits", revision).await;
    let host = fleet.hosts[stopping].address();
    let mut open = Call::report("long", 3_000).begin(host).await.expect("head");
    open.read_output().await;
    let calls = (0..60).map(|n| (Call::report(&format!("fall-{n}"), 300), host));
    let sent = tokio::spawn(send_all(calls.collect()));
    let waits = |view: &Value| view["desk"]["waiting"][1].as_u64() >= Some(10);
    assert!(wait_view(host, waits).await.is_some());

    fleet.hosts[stopping].signal("TERM");
    assert!(
        wait_view(host, |view| view["stopping"] == true)
            .await
            .is_some()
    );
    fleet.hosts[stopping].signal("TERM");
    while !fleet::metrics(host).await.contains("{number=\"102\"} 1") {
        pause().await;
    }
    // A caller that still uses a resolved address is served.
    let late = Call::report("late", 100).send(host).await;
    assert!(late.is_whole(), "{late:?}");
    let long = open.finish().await;
    assert!(long.is_whole());
    assert_eq!(long.output().split_whitespace().count(), 3_000);
    for answer in sent.await.expect("calls") {
        let answer = answer.expect("answer");
        assert!(answer.is_whole(), "{answer:?}");
    }
    let status = fleet.hosts[stopping].wait_end(WAIT_TIMEOUT).expect("ends");
    assert_eq!(status.code(), Some(0));
    let runs = fleet.runs().await;
    assert_eq!(runs.len(), 62);
    assert_ran_once(&runs);
    // The other hosts keep serving.
    let next = fleet.hosts[fleet.others(stopping)[0]].address();
    assert!(Call::report("after", 50).send(next).await.is_whole());
}

// Guards against answers that are cut off, or queued requests that are dropped, in a
// planned stop with a repeated SIGTERM.
#[tokio::test]
async fn entry_stops() {
    let mut fleet = Fleet::start("red-austral").await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    let entry = fleet.others(owner)[0];
    stop(&mut fleet, entry).await;
}

// Guards against requests that hang because a stopping owner drops its queue or does
// not notify the next candidate.
#[tokio::test]
async fn owner_stops() {
    let mut fleet = Fleet::start("red-austral").await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    stop(&mut fleet, owner).await;
    let others = fleet.others(owner);
    assert_ne!(fleet.wait_owner(ENGINES, &others).await, owner);
}

// Guards against a report that is accepted by a stopping host although it cannot end
// within the grace period. The caller must be refused at once and served by another
// host.
#[tokio::test]
async fn report_moved() {
    let grace = Duration::from_secs(8);
    let (mut fleet, ()) =
        Fleet::start_with("red-austral", |stage| fleet::set_grace(stage, grace)).await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    let others = fleet.others(owner);
    let stopping = fleet.hosts[others[0]].address();
    let other = fleet.hosts[others[1]].address();
    let before = Call::report("before", REPORT_TOKENS);
    assert!(before.send(stopping).await.is_whole());
    let stop = fleet.hosts.remove(others[0]).stop(grace);
    stop.wait_until(Duration::from_millis(3_500)).await;

    let sent_at = Instant::now();
    let late = Call::report("late", REPORT_TOKENS);
    let answer = late.send(stopping).await;
    assert_eq!(answer.code(), "stopping", "{answer:?}");
    assert_eq!(answer.ran(), "no", "{answer:?}");
    assert!(sent_at.elapsed() < IMMEDIATE, "{answer:?}");
    // The report has not run, so it is sent without the resubmission mark. Another host
    // could not tell whether a marked one has run.
    let answer = Call::report("late", REPORT_TOKENS).send(other).await;
    assert!(answer.is_whole(), "{answer:?}");
    stop.end().await;
    let runs = fleet.runs().await;
    assert_eq!(runs.len(), 2, "{runs:?}");
    assert_ran_once(&runs);
}

/// Send a report to a stopping host. The report fits into the grace period at the
/// host's start, but not into that of the settings reloaded before or `during` the stop.
async fn send_after_reload(during: bool) {
    let (started_with, reloaded_to) = (Duration::from_secs(20), Duration::from_secs(8));
    let (mut fleet, paths) = Fleet::start_with("red-austral", |stage| {
        fleet::set_grace(stage, started_with);
        fleet::settings_paths(stage)
    })
    .await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    let others = fleet.others(owner);
    let address = fleet.hosts[others[0]].address();
    let before = Call::report("before", REPORT_TOKENS);
    assert!(before.send(address).await.is_whole());
    let host = fleet.hosts.remove(others[0]);
    write_grace(&paths[others[0]], reloaded_to);
    if !during {
        host.signal("HUP");
        wait_reloaded(address).await;
    }
    let stop = host.stop(reloaded_to);
    if during {
        stop.signal("HUP");
        wait_reloaded(address).await;
    }
    stop.wait_until(Duration::from_millis(3_500)).await;
    let sent_at = Instant::now();
    let late = Call::report("late", REPORT_TOKENS).send(address).await;
    assert_eq!(late.code(), "stopping", "{late:?}");
    assert_eq!(late.ran(), "no", "{late:?}");
    assert!(sent_at.elapsed() < IMMEDIATE, "{late:?}");
    assert!(stop.end().await.is_clean());
    assert_eq!(fleet.runs().await.len(), 1);
}

/// Change the grace period in a host's settings file.
fn write_grace(path: &Path, grace: Duration) {
    let text = std::fs::read_to_string(path).expect("settings file");
    let mut settings: Value = serde_json::from_str(&text).expect("JSON");
    settings["grace_s"] = grace.as_secs_f64().into();
    // Replace the file atomically, since the host may be watching it.
    let draft = path.with_extension("draft");
    std::fs::write(&draft, settings.to_string()).expect("settings file");
    std::fs::rename(&draft, path).expect("settings file");
}

/// Wait until a host has reloaded its settings.
async fn wait_reloaded(host: SocketAddr) {
    while !fleet::metrics(host).await.contains("{number=\"105\"} 1") {
        pause().await;
    }
}

// Guards against a report that is cut off because the host ignores a shorter grace
// period that was reloaded before the stop.
#[tokio::test]
async fn reload_before_stop() {
    send_after_reload(false).await;
}

// Guards against the same failure when the settings are reloaded after SIGTERM.
#[tokio::test]
async fn reload_during_stop() {
    send_after_reload(true).await;
}

// Guards against requests that wait or fail at other hosts while a stopping owner
// stays until the end of its grace period.
#[tokio::test]
async fn owner_overdue() {
    let grace = Duration::from_secs(4);
    let (mut fleet, ()) =
        Fleet::start_with("red-austral", |stage| fleet::set_grace(stage, grace)).await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    let stopping = fleet.hosts[owner].address();
    let long = Call::report("long", REPORT_TOKENS);
    let mut open = long.begin(stopping).await.expect("head");
    open.read_output().await;
    let stop = fleet.hosts.remove(owner).stop(grace);
    let cut = tokio::spawn(open.finish());
    let mut count = 0;
    while !cut.is_finished() {
        for host in &fleet.hosts {
            count += 1;
            let call = Call::report(&format!("other-{count}"), 50);
            let answer = call.send(host.address()).await;
            assert!(answer.is_whole(), "{answer:?}");
        }
    }
    assert!(count > 1);
    assert!(!cut.await.expect("call").is_whole());
    stop.end().await;
    let runs = fleet.runs().await;
    assert_eq!(runs.len(), count + 1);
    assert_ran_once(&runs);
}
