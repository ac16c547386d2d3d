//! Tests of targets that are cold, at the gateway.

mod users;

use std::time::{Duration, Instant};

use bergamotswitch_standin::gateway_target::GatewayTargetStandin;
use http::StatusCode;
use users::{COLD_ALLOWED, Call, HostProcess, Site, SiteOptions, start_host_with, wait_metric};

/// How long after its registration a state is known to all hosts.
const HEARD: Duration = Duration::from_millis(300);

/// How long targets stay cold.
const COLD: Duration = Duration::from_secs(4);

const SECOND: Duration = Duration::from_secs(1);

async fn site(hosts: usize) -> Site {
    Site::start_with(SiteOptions {
        hosts,
        ..SiteOptions::default()
    })
    .await
}

/// Register these targets as cold.
fn turn_cold(site: &Site, service: &str, targets: &[&GatewayTargetStandin]) {
    for target in targets {
        target.turn_cold(COLD, None);
        site.register(service, target, "ready");
    }
}

/// Send 160 calls a second for this long, and get how many were sent, and answered with 200.
async fn send(hosts: &[&HostProcess], path: &str, name: &str, span: Duration) -> (usize, usize) {
    let started = Instant::now();
    let mut tasks = Vec::new();
    while started.elapsed() < span {
        let number = tasks.len();
        let id = format!("{name}-{number}");
        let call = match path.starts_with("/draft/") {
            true => Call::stream(path, &id),
            false => Call::new("GET", path, &id),
        };
        let callers = hosts[number % hosts.len()].callers;
        tasks.push(tokio::spawn(call.send(callers)));
        tokio::time::sleep(Duration::from_micros(6_250)).await;
    }
    let sent = tasks.len();
    let mut served = 0;
    for task in tasks {
        let answer = task.await.expect("a task");
        served += usize::from(answer.is_ok_and(|answer| answer.status == StatusCode::OK));
    }
    (sent, served)
}

/// Get the most calls that a target ran in any second between two moments.
fn most_in_a_second(target: &GatewayTargetStandin, from: Instant, until: Instant) -> usize {
    let calls = target.calls();
    let times: Vec<Instant> = calls
        .iter()
        .filter(|call| call.ran && call.received_at >= from && call.received_at < until)
        .map(|call| call.received_at)
        .collect();
    let counts = times.iter().enumerate().map(|(first, begin)| {
        let later = times[first..].iter();
        later.take_while(|at| **at < *begin + SECOND).count()
    });
    counts.max().unwrap_or(0)
}

fn assert_bound(target: &GatewayTargetStandin, from: Instant, until: Instant) {
    let most = most_in_a_second(target, from, until);
    let name = target.name();
    assert!(most <= COLD_ALLOWED, "{name} got {most} in a second");
}

/// Guards against the usual load for a target that turns cold while it serves.
#[tokio::test]
async fn turns_cold() {
    let site = site(3).await;
    let hosts: Vec<&HostProcess> = site.hosts.iter().collect();
    send(&hosts, "/status/1", "before", SECOND).await;
    let cold = &site.desks[0];
    let from = Instant::now();
    turn_cold(&site, "desk", &[cold]);
    wait_metric(site.hosts[0].metrics, "bergamot_cold_targets 1").await;
    let (sent, served) = send(&hosts, "/status/1", "cold", Duration::from_secs(3)).await;
    assert_bound(cold, from + HEARD, from + COLD);
    assert!(
        served * 20 > sent * 19,
        "{served} of {sent} served beside a warm target"
    );
}

/// Guards against streams for engines that are all cold, and against callers that wait in
/// vain.
#[tokio::test]
async fn all_cold() {
    let site = site(3).await;
    let hosts: Vec<&HostProcess> = site.hosts.iter().collect();
    send(&hosts, "/draft/1", "before", SECOND).await;
    let engines: Vec<&GatewayTargetStandin> = site.engines.iter().collect();
    let from = Instant::now();
    turn_cold(&site, "drafting", &engines);
    let (_, served) = send(&hosts, "/draft/1", "cold", Duration::from_secs(3)).await;
    for engine in engines {
        assert_bound(engine, from + HEARD, from + COLD);
    }
    assert!(served > 30, "{served}");
    tokio::time::sleep(SECOND).await;
    let warm = Instant::now();
    send(&hosts, "/draft/1", "warm", SECOND).await;
    let engines = site.engines.iter();
    let used: usize = engines
        .map(|engine| most_in_a_second(engine, warm, Instant::now()))
        .sum();
    assert!(used > 2 * COLD_ALLOWED, "held back when warm: {used}");
}

/// Guards against a bound that is spent whole by the next owner, and by hosts without one.
#[tokio::test]
async fn owner_killed() {
    let mut site = site(3).await;
    let cold: Vec<&GatewayTargetStandin> = site.desks.iter().collect();
    let from = Instant::now();
    turn_cold(&site, "desk", &cold);
    // One of the three owns the shard; each is killed in one of three rounds.
    for number in 0..3 {
        let hosts: Vec<&HostProcess> = site.hosts.iter().collect();
        send(&hosts, "/status/1", &format!("round-{number}"), SECOND).await;
        site.hosts[number].child.try_signal("KILL");
        while site.hosts[number].child.exit_status().is_none() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        site.hosts[number].child.restart();
    }
    for desk in &site.desks {
        assert_bound(desk, from + HEARD, from + COLD);
    }
}

/// Guards against a host that starts while targets are cold and learns it too late.
#[tokio::test]
async fn host_starts() {
    let site = site(2).await;
    let cold: Vec<&GatewayTargetStandin> = site.desks.iter().collect();
    let from = Instant::now();
    turn_cold(&site, "desk", &cold);
    let seed = Some(site.hosts[0].link);
    let grace = SiteOptions::default().grace;
    let new = start_host_with(2, seed, site.store.address(), grace);
    while !new.is_ready().await {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let hosts = [&site.hosts[0], &new];
    let left = COLD.saturating_sub(from.elapsed());
    send(&hosts, "/status/1", "started", left).await;
    for desk in cold {
        assert_bound(desk, from + HEARD, from + COLD);
    }
}
