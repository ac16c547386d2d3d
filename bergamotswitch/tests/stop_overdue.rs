//! Tests of the answers to calls that do not end within the grace period.

mod stop_support;
mod users;

use bergamotswitch_standin::gateway_target::ResponseMode;
use http::StatusCode;
use stop_support::*;
use users::Call;
use users::host_child::PlannedStop;

// Guards against a retry during a planned stop that cannot end within the rest of
// the grace period.
#[tokio::test]
async fn late_retry() {
    let grace = seconds(3.0);
    let mut site = start_site(8, grace).await;
    for desk in &site.desks {
        desk.queue_responses(&[
            ResponseMode::CloseAfter(seconds(2.0)),
            ResponseMode::NoResponse,
        ]);
    }
    let call = Call::new("GET", "/status/1", "").with("deadline-ms", "12000");
    let result = send_until_running(&site, call, "again").await;
    let stop = PlannedStop::begin(site.hosts.remove(0).child, grace);
    let result = result.await.expect("call");
    assert!(result.is_failure(), "{result:?}");
    assert!(stop.end().await.is_clean());
    assert_eq!(runs_of(&site, "again"), 1);
}

// Guards against a stream that is resumed during a planned stop although it cannot
// end within the rest of the grace period.
#[tokio::test]
async fn late_resumption() {
    let grace = seconds(3.0);
    let events = 40;
    let mut site = start_site(events, grace).await;
    warm_up(&site, "/draft/1", WARM_UP_RUNS).await;
    for engine in &site.engines {
        engine.queue_responses(&[ResponseMode::TruncateAfter(20)]);
    }
    let call = stream_call("/draft/1", seconds(12.0));
    let result = send_until_running(&site, call, "broken").await;
    let stop = PlannedStop::begin(site.hosts.remove(0).child, grace);
    let result = result.await.expect("call");
    result.assert_cut(events);
    assert!(stop.end().await.is_clean());
    assert_eq!(runs_of(&site, "broken"), 1);
}

// Guards against callers without an answer when the grace period ends during their
// calls: the host has to end the calls before it is killed.
#[tokio::test]
async fn overdue_told() {
    let grace = seconds(3.0);
    let events = 60;
    let mut site = start_site(events, grace).await;
    for desk in &site.desks {
        desk.queue_responses(&[ResponseMode::NoResponse]);
    }
    let stream = stream_call("/once/1", seconds(12.0));
    let stream = send_until_running(&site, stream, "stream").await;
    let call = send_until_running(&site, receipt_call(seconds(12.0)), "mute").await;
    let stop = PlannedStop::begin(site.hosts.remove(0).child, grace);
    let (stream, call) = (stream.await.expect("call"), call.await.expect("call"));
    stream.assert_cut(events);
    // The call may have run, so 503 would be wrong.
    assert!(call.has_status(StatusCode::BAD_GATEWAY), "{call:?}");
    assert!(stop.end().await.is_clean());
    assert_eq!(runs_of(&site, "mute"), 1);
}
