//! Tests of a stopping host's refusal counters.

mod users;

use std::net::SocketAddr;
use std::time::Duration;

use bergamotswitch_standin::gateway_target::ResponseMode;
use http::StatusCode;
use users::host_child::PlannedStop;
use users::{Call, Site, SiteOptions, until};

/// The grace period, and a time after which calls are no longer accepted.
const GRACE: Duration = Duration::from_secs(8);
const ACCEPT_ENDED: Duration = Duration::from_millis(4_500);
/// The number of refused calls.
const REFUSED: usize = 5;

/// Get a host's nonzero counters of refusals because of a stop.
async fn stop_refusals(metrics: SocketAddr) -> Vec<String> {
    let page = Call::get("/metrics").send(metrics).await.expect("metrics");
    let series = "bergamot_refusals_total{reason=\"stopping\",";
    let lines = page
        .text()
        .lines()
        .filter_map(|line| line.strip_prefix(series));
    let counted = lines.filter(|line| !line.ends_with(" 0"));
    counted.map(str::to_owned).collect()
}

// Guards against refusals of a stopping host that cannot be scraped, because the
// metrics listener closes when the host stops accepting callers.
#[tokio::test]
async fn turned_counted() {
    let mut site = Site::start_with(SiteOptions {
        hosts: 2,
        events: 90,
        gap: Duration::from_millis(100),
        timeout: Duration::from_secs(30),
        grace: GRACE,
        ..SiteOptions::default()
    })
    .await;
    for desk in &site.desks {
        desk.queue_responses(&[ResponseMode::NoResponse]);
    }
    let address = site.address();
    let held = Call::new("POST", "/receipt/1", "held").with("deadline-ms", "25000");
    let held = tokio::spawn(async move { drop(held.send(address).await) });
    until("the call runs", async || {
        site.desks.iter().any(|desk| !desk.calls().is_empty())
    })
    .await;
    let host = site.hosts.remove(0);
    let metrics = host.metrics;
    let stop = PlannedStop::begin(host.child, GRACE);
    stop.wait_until(Duration::from_millis(500)).await;
    for number in 0..REFUSED {
        // The duration of such a stream is not known yet.
        let call = Call::stream("/once/1", &format!("turned-{number}"));
        let answer = call.with("deadline-ms", "20000").send(address).await;
        let status = answer.expect("answer").status;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    }
    let expected = [format!("tier=\"0\"}} {REFUSED}")];
    assert_eq!(stop_refusals(metrics).await, expected);
    stop.wait_until(ACCEPT_ENDED).await;
    assert_eq!(stop_refusals(metrics).await, expected);
    assert!(stop.end().await.is_clean());
    held.await.expect("call");
}
