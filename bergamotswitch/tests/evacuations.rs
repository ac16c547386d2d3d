//! Tests of evacuated failure domains, at the gateway.

mod users;

use std::time::{Duration, Instant};

use bergamotswitch_standin::gateway_target::GatewayTargetStandin;
use http::StatusCode;
use serde_json::json;
use users::{
    Answer, COLD_ALLOWED, Call, Site, SiteOptions, start_host_with, until, wait_logged, wait_metric,
};

/// The time after which an evacuated domain gets no new calls.
const EVACUATE_BOUND: Duration = Duration::from_secs(5);

/// How long after a change of the store all hosts know it, in health.
const HEARD: Duration = Duration::from_millis(300);

const EVACUATED: &str = "op/evacuate/hall-2";

/// Start a site whose second desk and engine stand in a domain of their own.
async fn site(hosts: usize) -> Site {
    let site = Site::start_with(SiteOptions {
        hosts,
        ..SiteOptions::default()
    })
    .await;
    site.desks[1].set_zone("hall-2");
    site.engines[1].set_zone("hall-2");
    site.register("desk", &site.desks[1], "ready");
    site.register("drafting", &site.engines[1], "ready");
    tokio::time::sleep(HEARD).await;
    site
}

/// Send calls to all hosts for this long, and get the answers.
async fn send(site: &Site, path: &'static str, name: &str, span: Duration) -> Vec<Answer> {
    let started = Instant::now();
    let mut tasks = Vec::new();
    while started.elapsed() < span {
        for host in &site.hosts {
            let id = format!("{name}-{}", tasks.len());
            let call = match path.starts_with("/draft/") {
                true => Call::stream(path, &id),
                false => Call::new("GET", path, &id),
            };
            tasks.push(tokio::spawn(call.send(host.callers)));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await.expect("a task").expect("answer"));
    }
    answers
}

fn calls_since(target: &GatewayTargetStandin, since: Instant) -> usize {
    let calls = target.calls();
    let calls = calls.iter().filter(|call| call.received_at >= since);
    calls.count()
}

fn assert_all_ok(answers: &[Answer]) {
    let failed = answers
        .iter()
        .find(|answer| answer.status != StatusCode::OK);
    let failed = failed.map(|answer| (answer.status, answer.text()));
    assert_eq!(failed, None);
}

/// Assert that calls are served in the end. Hosts that have just started refuse those with a
/// key until they know it to be the newest.
fn assert_last_ok(answers: &[Answer]) {
    let last = answers.last().expect("an answer");
    assert_eq!(last.status, StatusCode::OK, "{}", last.text());
}

/// Guards against calls for an evacuated domain, and against one that stays out of use after
/// it was taken back while the store dropped its history.
#[tokio::test]
async fn evacuated_and_back() {
    let site = site(3).await;
    site.store.put(EVACUATED, &json!({}));
    tokio::time::sleep(HEARD).await;
    let since = Instant::now();
    assert_all_ok(&send(&site, "/status/1", "away", Duration::from_secs(1)).await);
    assert_eq!(calls_since(&site.desks[1], since), 0);
    for host in &site.hosts {
        wait_logged(host.metrics, 716).await;
        wait_metric(host.metrics, "bergamot_evacuated_domains 1").await;
    }
    site.store.remove(EVACUATED);
    site.store.compact();
    let back = Instant::now();
    until("the domain is used", async || {
        send(&site, "/status/1", "back", Duration::from_millis(100)).await;
        calls_since(&site.desks[1], back) > 0
    })
    .await;
    assert!(
        back.elapsed() < Duration::from_secs(4),
        "{:?}",
        back.elapsed()
    );
}

/// Guards against a begun stream that is cut by an evacuation, and against one that breaks
/// and is sent back there.
#[tokio::test]
async fn begun_streams() {
    let site = site(1).await;
    let engine = &site.engines[1];
    let calls = (0..6).map(|number| {
        let call = Call::stream("/draft/1?events=60", &format!("long-{number}"));
        tokio::spawn(call.send(site.address()))
    });
    let calls: Vec<_> = calls.collect();
    until("a stream there", async || !engine.calls().is_empty()).await;
    site.store.put(EVACUATED, &json!({}));
    tokio::time::sleep(HEARD).await;
    let since = Instant::now();
    engine.crash(Duration::from_millis(200));
    for call in calls {
        let answer = call.await.expect("a task").expect("answer");
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.whole);
    }
    assert_eq!(calls_since(engine, since), 0);
}

/// Guards against a host that starts after the evacuation and does not know it when its
/// first call comes.
#[tokio::test]
async fn host_starts() {
    let mut site = site(2).await;
    site.store.put(EVACUATED, &json!({}));
    tokio::time::sleep(HEARD).await;
    let since = Instant::now();
    let seed = Some(site.hosts[0].link);
    let grace = SiteOptions::default().grace;
    let host = start_host_with(2, seed, site.store.address(), grace);
    until("it is ready", async || host.is_ready().await).await;
    site.hosts.push(host);
    assert_last_ok(&send(&site, "/status/1", "new", Duration::from_secs(3)).await);
    assert_eq!(calls_since(&site.desks[1], since), 0);
}

/// Guards against hosts that all start anew with nothing known, while a domain is evacuated.
#[tokio::test]
async fn all_killed() {
    let mut site = site(3).await;
    site.store.put(EVACUATED, &json!({}));
    tokio::time::sleep(HEARD).await;
    let since = Instant::now();
    for host in &mut site.hosts {
        host.child.try_signal("KILL");
        while host.child.exit_status().is_none() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        host.child.restart();
    }
    site.wait_all_ready().await;
    assert_last_ok(&send(&site, "/status/1", "anew", Duration::from_secs(3)).await);
    assert_eq!(calls_since(&site.desks[1], since), 0);
}

/// Guards against callers that wait when all domains of a service are evacuated, and against
/// a refusal of what has run.
#[tokio::test]
async fn all_domains() {
    let site = site(2).await;
    site.store.put(EVACUATED, &json!({}));
    site.store.put("op/evacuate/hall-1", &json!({}));
    tokio::time::sleep(HEARD).await;
    let since = Instant::now();
    let answers = send(&site, "/status/1", "none", Duration::from_millis(500)).await;
    assert!(
        since.elapsed() < Duration::from_secs(2),
        "{:?}",
        since.elapsed()
    );
    for answer in &answers {
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(!answer.field("retry-after").is_empty());
    }
    for desk in &site.desks {
        assert_eq!(calls_since(desk, since), 0);
    }
}

/// Guards against an evacuation that ends because the store came back from a copy without it,
/// and against targets that are cold when their domain is taken back and get the usual load.
#[tokio::test]
async fn restored_store() {
    let site = site(3).await;
    let copy = site.store.copy();
    site.store.put(EVACUATED, &json!({}));
    tokio::time::sleep(HEARD).await;
    let since = Instant::now();
    site.store.restore(copy);
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.store.put(EVACUATED, &json!({}));
    send(&site, "/status/1", "restored", Duration::from_secs(3)).await;
    assert_eq!(calls_since(&site.desks[1], since), 0);
    site.store.remove(EVACUATED);
    let back = Instant::now();
    send(&site, "/status/1", "back", Duration::from_secs(1)).await;
    let used = calls_since(&site.desks[1], back);
    assert!(used <= COLD_ALLOWED, "{used}");
}

/// Guards against an evacuation that is missed by hosts that do not reach the store in its
/// time, but the others.
#[tokio::test]
async fn paused_host() {
    let site = site(3).await;
    site.hosts[1].child.try_signal("STOP");
    site.store.put(EVACUATED, &json!({}));
    let begun = Instant::now();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    site.hosts[1].child.try_signal("CONT");
    tokio::time::sleep(EVACUATE_BOUND.saturating_sub(begun.elapsed())).await;
    let since = Instant::now();
    send(&site, "/status/1", "woken", Duration::from_secs(1)).await;
    assert_eq!(calls_since(&site.desks[1], since), 0);
}
