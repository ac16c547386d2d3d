//! What callers are told of work that does not end in the grace.

mod stop_support;
mod users;

use bergamotswitch_standin::users_target::TargetMood;
use http::StatusCode;
use stop_support::*;
use users::Call;
use users::host_child::PlannedStop;

// Symptom: a caller hangs until the host is killed, and gets no answer.
// Sequence: SIGTERM with a call under way; 1 s before the end of the grace its
// target closes the connection; the call goes to a second target, which does
// not answer in time. Cause: what was sent once more was not held against what
// is left of the grace.
#[tokio::test]
async fn late_retry() {
    let grace = seconds(3.0);
    let mut site = start_site(8, grace).await;
    for desk in &site.desks {
        desk.expect(&[TargetMood::CloseAfter(seconds(2.0)), TargetMood::Mute]);
    }
    let call = Call::new("GET", "/status/1", "").with("deadline-ms", "12000");
    let result = send_until_running(&site, call, "again").await;
    let stop = PlannedStop::begin(site.hosts.remove(0).child, grace);
    let result = result.await.expect("call");
    assert!(result.is_failure(), "{result:?}");
    assert!(stop.end().await.is_clean());
    assert_eq!(runs_of(&site, "again"), 1);
}

// Symptom: a stream hangs until the host is killed. Sequence: SIGTERM with a
// stream under way; 1 s before the end of the grace its target breaks off, and
// another one is to make the 2 s that are missing. Cause: as above.
#[tokio::test]
async fn late_resumption() {
    let grace = seconds(3.0);
    let events = 40;
    let mut site = start_site(events, grace).await;
    warm_up(&site, "/draft/1", WARM_UP_RUNS).await;
    for engine in &site.engines {
        engine.expect(&[TargetMood::BreakAfter(20)]);
    }
    let call = stream_call("/draft/1", seconds(12.0));
    let result = send_until_running(&site, call, "broken").await;
    let stop = PlannedStop::begin(site.hosts.remove(0).child, grace);
    let result = result.await.expect("call");
    result.assert_cut(events);
    assert!(stop.end().await.is_clean());
    assert_eq!(runs_of(&site, "broken"), 1);
}

// Symptom: callers whose calls came before the signal get no answer at all when
// the grace is over. Sequence: SIGTERM with a stream of 6 s and a call that its
// target does not answer under way; the grace is 3 s. Cause: the process was
// killed with both; nothing ended them while it could still tell the callers.
#[tokio::test]
async fn overdue_told() {
    let grace = seconds(3.0);
    let events = 60;
    let mut site = start_site(events, grace).await;
    for desk in &site.desks {
        desk.expect(&[TargetMood::Mute]);
    }
    let stream = stream_call("/once/1", seconds(12.0));
    let stream = send_until_running(&site, stream, "stream").await;
    let call = send_until_running(&site, receipt_call(seconds(12.0)), "mute").await;
    let stop = PlannedStop::begin(site.hosts.remove(0).child, grace);
    let (stream, call) = (stream.await.expect("call"), call.await.expect("call"));
    stream.assert_cut(events);
    // It may have run, which 503 would deny.
    assert!(call.has_status(StatusCode::BAD_GATEWAY), "{call:?}");
    assert!(stop.end().await.is_clean());
    assert_eq!(runs_of(&site, "mute"), 1);
}
