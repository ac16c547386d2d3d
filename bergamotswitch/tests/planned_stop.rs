//! Planned stops.

mod fleet;

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use fleet::caller::{Call, pause, send_all};
use fleet::{ALL_HOSTS, ENGINES, Fleet, WAIT_TIMEOUT, assert_ran_once, wait_revision, wait_view};
use serde_json::Value;

/// By when a caller has been turned away that is turned away at once: it is
/// told without waiting for anything, so this allows for a busy machine alone.
const IMMEDIATE: Duration = Duration::from_secs(1);
/// The tokens of a report that an engine of Red Austral writes in some 6 s.
const REPORT_TOKENS: u32 = 2_000;

/// Stop a host with streams in flight and work that waits in it.
async fn stop(fleet: &mut Fleet, stopping: usize) {
    fleet.publish_token_limit(600).await;
    // Addresses lapse long before the work ends: after that nothing but the
    // work itself keeps the process up.
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
    // A caller that still holds an address answer is served as before.
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
    // The others go on without it.
    let next = fleet.hosts[fleet.others(stopping)[0]].address();
    assert!(Call::report("after", 50).send(next).await.is_whole());
}

// Symptom: a planned stop cut answers off. Sequence: SIGTERM, and once more,
// while streams run and requests wait. Cause: a timer that ends the process,
// a second signal taken for "now", or waiting work dropped.
#[tokio::test]
async fn entry_stops() {
    let mut fleet = Fleet::start("red-austral").await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    let entry = fleet.others(owner)[0];
    stop(&mut fleet, entry).await;
}

// Symptom: requests hang while an owner stops. Sequence: SIGTERM to the host
// that orders the shard of the very requests that wait. Cause: candidacy left
// without telling the next candidate, or the queue dropped with it.
#[tokio::test]
async fn owner_stops() {
    let mut fleet = Fleet::start("red-austral").await;
    let owner = fleet.wait_owner(ENGINES, &ALL_HOSTS).await;
    stop(&mut fleet, owner).await;
    let others = fleet.others(owner);
    assert_ne!(fleet.wait_owner(ENGINES, &others).await, owner);
}

// Symptom: a long report is cut and its caller cannot know whether it ran.
// Sequence: a host gets SIGTERM, takes a report of 6 s when 4.5 s of its grace
// are left, and is killed at the end of the grace. Cause: a stopping host took
// all work for as long as its address had been handed out for.
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
    // It was told that it has not run, so it is sent anew and not marked as a
    // copy: of a marked one another host cannot know what became.
    let answer = Call::report("late", REPORT_TOKENS).send(other).await;
    assert!(answer.is_whole(), "{answer:?}");
    stop.end().await;
    let runs = fleet.runs().await;
    assert_eq!(runs.len(), 2, "{runs:?}");
    assert_ran_once(&runs);
}

/// Ask a stopping host for a report that fits in the grace that it was started
/// with, and not in the one that its settings file names since.
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

/// Change the grace in a host's settings file.
fn write_grace(path: &Path, grace: Duration) {
    let text = std::fs::read_to_string(path).expect("settings file");
    let mut settings: Value = serde_json::from_str(&text).expect("JSON");
    settings["grace_s"] = grace.as_secs_f64().into();
    // Whole at any moment for a host that watches it.
    let draft = path.with_extension("draft");
    std::fs::write(&draft, settings.to_string()).expect("settings file");
    std::fs::rename(&draft, path).expect("settings file");
}

/// Wait until a host has read its changed settings.
async fn wait_reloaded(host: SocketAddr) {
    while !fleet::metrics(host).await.contains("{number=\"105\"} 1") {
        pause().await;
    }
}

// Symptom: a report is cut by a planned stop that is shorter than the host thinks.
// Sequence: the settings file names a shorter grace; SIGHUP, SIGTERM; a report that
// fits in the old grace is taken. Cause: only the settings of the start were
// looked at.
#[tokio::test]
async fn reload_before_stop() {
    send_after_reload(false).await;
}

// Symptom, sequence and cause: as above, where SIGTERM comes first.
#[tokio::test]
async fn reload_during_stop() {
    send_after_reload(true).await;
}

// Symptom: requests at other hosts wait or fail while one host is stopped.
// Sequence: the owner of the shard gets SIGTERM and stays until the end of its
// grace with a report that is longer; the other hosts are asked all the while.
// Cause: candidacy or permits kept by a host that grants nothing.
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
