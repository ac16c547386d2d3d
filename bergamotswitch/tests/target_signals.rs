//! Tests of what targets say of themselves in their answers, at the gateway.

mod users;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bergamotswitch_standin::gateway_target::GatewayTargetStandin;
use http::StatusCode;
use users::{Answer, Call, Site};

/// The number of callers at each host that send calls one after another.
const CALLERS: usize = 4;

/// Send calls to both hosts for this long, each named after its host.
async fn send_for(site: &Site, span: Duration, name: &str) -> Vec<Answer> {
    let callers = (0..2 * CALLERS).map(|number| {
        let host = number % 2;
        let (address, name) = (site.hosts[host].callers, format!("{host}-{name}-{number}"));
        tokio::spawn(send_series(address, span, name))
    });
    let callers: Vec<_> = callers.collect();
    let mut answers = Vec::new();
    for caller in callers {
        answers.extend(caller.await.expect("a caller"));
    }
    answers
}

async fn send_series(address: SocketAddr, span: Duration, name: String) -> Vec<Answer> {
    let started = Instant::now();
    let mut answers = Vec::new();
    while started.elapsed() < span {
        let call = Call::new("GET", "/status/1", &format!("{name}-{}", answers.len()));
        answers.push(call.send(address).await.expect("answer"));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    answers
}

/// Get when the calls of a host arrived at a target.
fn arrivals(target: &GatewayTargetStandin, host: usize) -> Vec<Instant> {
    let calls = target.calls();
    let prefix = format!("{host}-");
    let calls = calls.iter();
    let own = calls.filter(|call| call.field("request-id").starts_with(&prefix));
    own.map(|call| call.received_at).collect()
}

/// Guards against calls to a target that has said in an answer that it leaves.
#[tokio::test]
async fn leaving_target() {
    let site = Site::start(2).await;
    let leaving = &site.desks[0];
    send_for(&site, Duration::from_millis(500), "before").await;
    leaving.set_leaving(true);
    let since = Instant::now();
    let answers = send_for(&site, Duration::from_secs(4), "after").await;
    assert!(answers.iter().all(|answer| answer.status == StatusCode::OK));
    for host in 0..2 {
        let told = arrivals(leaving, host).into_iter().find(|at| *at > since);
        let told = told.expect("an answer that says so");
        let late = arrivals(leaving, host);
        let late = late
            .iter()
            .filter(|at| **at > told + Duration::from_secs(2));
        assert_eq!(late.count(), 0, "host {host}");
    }
}

/// Guards against calls to a target that has asked for rest.
#[tokio::test]
async fn resting_target() {
    let site = Site::start(2).await;
    let resting = &site.desks[0];
    send_for(&site, Duration::from_millis(500), "before").await;
    resting.set_rest(Some("2.5"));
    let since = Instant::now();
    let answers = send_for(&site, Duration::from_millis(2_400), "during").await;
    assert!(answers.iter().all(|answer| answer.status == StatusCode::OK));
    for host in 0..2 {
        let mut seen = arrivals(resting, host).into_iter().filter(|at| *at > since);
        let told = seen.next().expect("a call that was turned away");
        let late = seen.filter(|at| *at > told + Duration::from_millis(500));
        assert!(late.count() <= 2, "host {host}");
    }
    resting.set_rest(None);
    let before = resting.calls().len();
    send_for(&site, Duration::from_secs(1), "later").await;
    assert!(resting.calls().len() > before, "used again");
}

/// Guards against calls that wait or go round when all targets ask for rest.
#[tokio::test]
async fn all_resting() {
    let site = Site::start(2).await;
    for desk in &site.desks {
        desk.set_rest(Some("2"));
    }
    send_for(&site, Duration::from_millis(500), "first").await;
    let before: usize = site.desks.iter().map(|desk| desk.calls().len()).sum();
    let answers = send_for(&site, Duration::from_secs(1), "during").await;
    let after: usize = site.desks.iter().map(|desk| desk.calls().len()).sum();
    assert!(after - before <= 8, "{}", after - before);
    for answer in &answers {
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        let wait: f64 = answer.field("retry-after").parse().expect("a wait");
        assert!(wait > 0.05 && wait <= 2.1, "{wait}");
    }
    for desk in &site.desks {
        desk.set_rest(None);
    }
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let answers = send_for(&site, Duration::from_millis(500), "later").await;
    assert!(answers.iter().all(|answer| answer.status == StatusCode::OK));
}
