//! Tests of planned stops with calls that wait for a target.

mod stop_support;
mod users;

use stop_support::*;
use users::host_child::PlannedStop;

// Guards against streams that are cut off because a stopping host starts queued
// calls that cannot end within the rest of the grace period.
#[tokio::test]
async fn waiting_refused() {
    let grace = seconds(8.0);
    let events = 50;
    let mut site = start_small_site(events, grace).await;
    warm_up(&site, "/draft/1", 3).await;
    let address = site.address();
    // Eight streams run concurrently, so the others would run from 5 s to 10 s.
    let calls = send_many(
        address,
        &stream_call("/once/1", seconds(12.0)),
        "waiting",
        14,
    );
    tokio::time::sleep(seconds(0.5)).await;
    assert!(calls.iter().all(|call| !call.is_finished()));
    let stop = PlannedStop::begin(site.hosts.remove(0).child, grace);
    let all = join_results(calls).await;
    let end = stop.end().await;
    for result in &all {
        result.assert_whole_or_refused(&site, events);
    }
    let served = all.iter().filter(|result| result.is_served()).count();
    assert!(served >= 8, "{served} served");
    assert!(end.is_clean());
}

// Guards against the same failure with far more queued calls than fit into the grace
// period, and against refusals that come too late for a retry elsewhere.
#[tokio::test]
async fn waiting_expires() {
    let grace = seconds(6.0);
    let events = 5;
    let mut site = start_small_site(events, grace).await;
    warm_up(&site, "/once/1", 16).await;
    let calls = send_many(
        site.address(),
        &stream_call("/once/1", seconds(12.0)),
        "waiting",
        120,
    );
    tokio::time::sleep(seconds(0.2)).await;
    let stop = PlannedStop::begin(site.hosts.remove(0).child, grace);
    let all = join_results(calls).await;
    assert!(stop.end().await.is_clean());
    for result in &all {
        result.assert_whole_or_refused(&site, events);
        assert!(
            result.is_served() || result.took < grace - seconds(1.0),
            "{result:?}"
        );
    }
    let served = all.iter().filter(|result| result.is_served()).count();
    assert!((16..all.len()).contains(&served), "{served} served");
}
