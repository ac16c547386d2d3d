//! Tests of resumable streams while targets of several software versions serve: a stream
//! goes on only at the version that began it.

mod users;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bergamotswitch_standin::gateway_target::{GatewayTargetStandin, ResponseMode, event_text};
use http::StatusCode;
use http_body_util::BodyExt;
use users::{Answer, Call, Site, SiteOptions};

/// The number of events after which a stream breaks off or is left by its caller.
const EVENTS_BEFORE_BREAK: u32 = 3;

/// The time within which a call that cannot go on has its answer.
const PROMPT: Duration = Duration::from_millis(500);

/// Until hosts that have just started know that their keys are the newest, and their owner
/// waits no longer for reports of the others.
const SETTLED: Duration = Duration::from_secs(2);

/// Until the first candidate has taken the shard back from the host that started first, which
/// it does after five seconds, and waits no longer for reports.
const OWNER_SETTLED: Duration = Duration::from_secs(7);

async fn mixed_site(hosts: usize) -> Site {
    let site = Site::start_with(SiteOptions {
        hosts,
        engine_versions: vec!["v1", "v2", "v1", "v2"],
        events: 8,
        ..SiteOptions::default()
    })
    .await;
    tokio::time::sleep(SETTLED).await;
    site
}

/// Get the text of the events from `first` to `last`.
fn events(first: u32, last: u32) -> String {
    (first..=last).map(event_text).collect()
}

/// Get the versions whose targets ran any of these calls.
fn versions_of(engines: &[GatewayTargetStandin], ids: &[&str]) -> BTreeSet<String> {
    let ran = |engine: &&GatewayTargetStandin| {
        let calls = engine.calls();
        let mut calls = calls.iter();
        calls.any(|call| call.ran && ids.contains(&call.field("request-id")))
    };
    engines.iter().filter(ran).map(|e| e.version()).collect()
}

fn run_count(engines: &[GatewayTargetStandin], id: &str) -> usize {
    let calls = engines.iter().flat_map(|engine| engine.calls());
    calls
        .filter(|call| call.ran && call.field("request-id") == id)
        .count()
}

/// Begin a stream and leave it after some events.
async fn begin_and_leave(address: SocketAddr, id: &str) {
    let call = Call::stream("/draft/1", id).with("prompt-prefix", &prompt_of(id));
    let response = call.open(address).await;
    let response = response.expect("answer");
    assert_eq!(response.status(), StatusCode::OK, "{id}: {response:?}");
    let mut body = response.into_body();
    let mut text = String::new();
    while text.len() < events(1, EVENTS_BEFORE_BREAK).len() {
        let frame = body.frame().await.expect("piece").expect("piece");
        let bytes = frame.into_data().unwrap_or_default();
        text.push_str(std::str::from_utf8(&bytes).expect("text"));
    }
}

/// Get the parts of a stream's prompt: a shared one and its own.
fn prompt_of(stream: &str) -> String {
    let own: String = stream.bytes().map(|byte| format!("{byte:02x}")).collect();
    let own = &own[own.len().saturating_sub(32)..];
    match own {
        "" => "5c1e:60,0:400".to_owned(),
        own => format!("5c1e:60,{own}:400"),
    }
}

fn resumption(id: &str, origin: &str) -> Call {
    Call::stream("/draft/1", id)
        .with("prompt-prefix", &prompt_of(origin))
        .with("last-event-id", &EVENTS_BEFORE_BREAK.to_string())
        .with("resumes", origin)
}

async fn take_up(address: SocketAddr, id: &str, origin: &str) -> Answer {
    resumption(id, origin).send(address).await.expect("answer")
}

fn assert_rest(answer: &Answer) {
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert!(answer.whole, "{answer:?}");
    assert_eq!(answer.text(), events(EVENTS_BEFORE_BREAK + 1, 8));
}

/// Guards against an answer whose stream goes on at another version after a break.
#[tokio::test]
async fn broken_off() {
    let site = mixed_site(1).await;
    for number in 0..12 {
        // Whole streams between those that break off refill the retry budget.
        for whole in 0..2 {
            let call = Call::stream("/draft/0", &format!("whole-{number}-{whole}"));
            call.send(site.address()).await.expect("answer");
        }
        for engine in &site.engines {
            engine.replace_responses(&[ResponseMode::TruncateAfter(EVENTS_BEFORE_BREAK)]);
        }
        let id = format!("broken-{number}");
        // Calls of one path would be quarantined for crashing their targets.
        let call = Call::stream(&format!("/draft/{number}"), &id);
        let answer = call.send(site.address()).await.expect("answer");
        assert_eq!(answer.text(), events(1, 2 * EVENTS_BEFORE_BREAK), "{id}");
        assert_eq!(versions_of(&site.engines, &[&id]).len(), 1, "{id}");
        assert_eq!(run_count(&site.engines, &id), 2, "{id}");
        for engine in &site.engines {
            engine.replace_responses(&[]);
        }
    }
}

/// Guards against a stream that goes on at another version when its caller takes it up
/// at a second host and, naming the same first try, at a third one.
#[tokio::test]
async fn taken_up_elsewhere() {
    let site = mixed_site(3).await;
    for number in 0..12 {
        let host = |step: usize| site.hosts[(number + step) % 3].callers;
        let ids = [0, 1, 2].map(|step| format!("elsewhere-{number}-{step}"));
        begin_and_leave(host(0), &ids[0]).await;
        let second = resumption(&ids[1], &ids[0]).open(host(1)).await;
        let mut body = second.expect("answer").into_body();
        body.frame().await.expect("piece").expect("piece");
        drop(body);
        assert_rest(&take_up(host(2), &ids[2], &ids[0]).await);
        let ids = ids.each_ref().map(String::as_str);
        assert_eq!(versions_of(&site.engines, &ids).len(), 1, "{ids:?}");
    }
}

/// Guards against a stream that goes on at another version, or not at all, after the kill
/// of a host that ran it or that granted its permit.
#[tokio::test]
async fn killed_hosts() {
    for killed in 0..3 {
        let site = mixed_site(3).await;
        let ids = (0..12).map(|number| format!("killed-{killed}-{number}"));
        let ids: Vec<String> = ids.collect();
        for (number, id) in ids.iter().enumerate() {
            begin_and_leave(site.hosts[number % 3].callers, id).await;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        site.hosts[killed].child.signal("KILL");
        for (number, id) in ids.iter().enumerate() {
            let host = (killed + 1 + number % 2) % 3;
            let again = format!("{id}-again");
            let answer = take_up(site.hosts[host].callers, &again, id).await;
            assert_rest(&answer);
            let versions = versions_of(&site.engines, &[id, &again]);
            assert_eq!(versions.len(), 1, "{id}");
        }
    }
}

/// Guards against a stream that goes on at a target that was born again under its name
/// with another version, or at another target while none of its version is left.
#[tokio::test]
async fn reborn_target() {
    let site = Site::start_with(SiteOptions {
        engine_versions: vec!["v1", "v2"],
        ..SiteOptions::default()
    })
    .await;
    for number in 0..4 {
        begin_and_leave(site.address(), &format!("reborn-{number}")).await;
    }
    site.engines[0].restart();
    site.engines[0].set_version("v3");
    site.register("drafting", &site.engines[0], "ready");
    tokio::time::sleep(PROMPT).await;
    let mut refused = 0;
    for number in 0..4 {
        let origin = format!("reborn-{number}");
        let again = format!("{origin}-again");
        let began_at_first = site.engines[0]
            .calls()
            .iter()
            .any(|call| call.field("request-id") == origin);
        let answer = take_up(site.address(), &again, &origin).await;
        if !began_at_first {
            assert_rest(&answer);
            continue;
        }
        refused += 1;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(run_count(&site.engines, &again), 0);
        assert!(!answer.field("retry-after").is_empty(), "{answer:?}");
    }
    assert!(refused > 0, "a stream that began at the first target");
}

/// Guards against a guess where nobody knows which version began a stream: the caller is
/// told at once that it did not run.
#[tokio::test]
async fn unknown_origin() {
    let site = mixed_site(2).await;
    tokio::time::sleep(OWNER_SETTLED).await;
    begin_and_leave(site.hosts[0].callers, "known").await;
    let none = resumption("none", "x").without("resumes");
    let calls = [
        ("unknown", resumption("unknown", "never-sent")),
        ("empty", resumption("empty", "")),
        ("none", none),
    ];
    for (id, call) in calls {
        let started = std::time::Instant::now();
        let answer = call.send(site.hosts[1].callers).await.expect("answer");
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{id}");
        assert!(started.elapsed() < PROMPT, "{id} {:?}", started.elapsed());
        assert_eq!(run_count(&site.engines, id), 0, "{id}");
    }
    assert_rest(&take_up(site.hosts[1].callers, "again", "known").await);
}

/// Begin streams, kill all hosts at once and start them again.
async fn begin_and_kill_all(site: &mut Site, streams: usize) {
    for number in 0..streams {
        let host = site.hosts[number % site.hosts.len()].callers;
        begin_and_leave(host, &format!("lost-{number}")).await;
    }
    for host in &site.hosts {
        host.child.signal("KILL");
    }
    for host in &mut site.hosts {
        host.wait_end().await;
        host.child.restart();
    }
    site.wait_all_ready().await;
    tokio::time::sleep(SETTLED).await;
}

/// Guards against streams that go on at another version, or not at all, after the loss of all
/// hosts.
#[tokio::test]
async fn all_hosts_killed() {
    for versions in [vec!["v1", "v2", "v1", "v2"], vec!["v1", "v1"]] {
        let mut site = Site::start_with(SiteOptions {
            hosts: 3,
            engine_versions: versions,
            ..SiteOptions::default()
        })
        .await;
        tokio::time::sleep(SETTLED).await;
        begin_and_kill_all(&mut site, 12).await;
        for number in 0..12 {
            let ids = [0, 1].map(|step| format!("again-{number}-{step}"));
            let origin = format!("lost-{number}");
            let call = resumption(&ids[0], &origin).with("prompt-prefix", &prompt_of(&origin));
            let response = call.open(site.hosts[number % 3].callers).await;
            let mut body = response.expect("answer").into_body();
            body.frame().await.expect("piece").expect("piece");
            drop(body);
            assert_rest(&take_up(site.hosts[(number + 1) % 3].callers, &ids[1], &origin).await);
            let ids = [origin.as_str(), ids[0].as_str(), ids[1].as_str()];
            assert_eq!(versions_of(&site.engines, &ids).len(), 1, "{ids:?}");
        }
    }
}

/// Guards against streams that go on at the only version that hosts see which have all just
/// started, after the version that began them has left.
#[tokio::test]
async fn version_left() {
    let mut site = mixed_site(3).await;
    begin_and_kill_all(&mut site, 12).await;
    for engine in site
        .engines
        .iter()
        .filter(|engine| engine.version() == "v1")
    {
        site.store.remove(&format!("servers/{}", engine.name()));
    }
    tokio::time::sleep(PROMPT).await;
    let (mut resumed, mut refused) = (0, 0);
    for number in 0..12 {
        let origin = format!("lost-{number}");
        let again = format!("again-{number}");
        let answer = take_up(site.hosts[number % 3].callers, &again, &origin).await;
        match versions_of(&site.engines, &[&origin]).contains("v1") {
            true => {
                refused += 1;
                assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
                assert!(!answer.field("retry-after").is_empty(), "{answer:?}");
                assert_eq!(run_count(&site.engines, &again), 0);
            }
            false => {
                resumed += 1;
                assert_rest(&answer);
            }
        }
    }
    assert!(resumed > 0 && refused > 0, "{resumed} {refused}");
}

/// Guards against streams that go on at the version that holds their sessions' parts, after the
/// loss of all hosts and a restart of the targets that ran them.
#[tokio::test]
async fn restarted_target() {
    let mut site = mixed_site(3).await;
    let of_version = |site: &Site, version: &str| -> Vec<usize> {
        let engines = site.engines.iter().enumerate();
        let engines = engines.filter(|(_, engine)| engine.version() == version);
        engines.map(|(index, _)| index).collect()
    };
    let (old, new) = (of_version(&site, "v1"), of_version(&site, "v2"));
    for number in 0..12 {
        let prompt = prompt_of(&format!("lost-{number}"));
        let earlier = Call::stream("/draft/1", &format!("early-{number}"));
        let earlier = earlier.with("prompt-prefix", &prompt);
        let answer = earlier.send(site.engines[old[0]].address()).await;
        assert_eq!(answer.expect("answer").status, StatusCode::OK);
    }
    for index in &old {
        let name = site.engines[*index].name();
        site.store.remove(&format!("servers/{name}"));
    }
    tokio::time::sleep(PROMPT).await;
    for number in 0..12 {
        let host = site.hosts[number % site.hosts.len()].callers;
        begin_and_leave(host, &format!("lost-{number}")).await;
    }
    for host in &site.hosts {
        host.child.signal("KILL");
    }
    for host in &mut site.hosts {
        host.wait_end().await;
    }
    for index in &new {
        site.engines[*index].restart();
    }
    for engine in &site.engines {
        site.register("drafting", engine, "ready");
    }
    for host in &mut site.hosts {
        host.child.restart();
    }
    site.wait_all_ready().await;
    tokio::time::sleep(SETTLED).await;
    for number in 0..12 {
        let origin = format!("lost-{number}");
        let again = format!("again-{number}");
        let answer = take_up(site.hosts[number % 3].callers, &again, &origin).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
        assert_eq!(run_count(&site.engines, &again), 0);
    }
}
