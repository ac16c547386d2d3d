//! Tests of planned stops with calls that wait for a target.

mod stop_support;
mod users;

use stop_support::*;
use users::Site;
use users::host_child::PlannedStop;

/// The number of queued calls, and of the events of their streams.
const QUEUED_CALLS: usize = 120;
const QUEUED_EVENTS: u32 = 5;

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

/// Queue far more calls with this deadline than fit into a grace period of 6 s, stop
/// their host, and get their results.
async fn queue_many(deadline: f64) -> (Site, Vec<CallResult>) {
    let grace = seconds(6.0);
    let mut site = start_small_site(QUEUED_EVENTS, grace).await;
    warm_up(&site, "/once/1", 16).await;
    let call = stream_call("/once/1", seconds(deadline));
    let calls = send_many(site.address(), &call, "waiting", QUEUED_CALLS);
    tokio::time::sleep(seconds(0.2)).await;
    let stop = PlannedStop::begin(site.hosts.remove(0).child, grace);
    let all = join_results(calls).await;
    assert!(stop.end().await.is_clean());
    (site, all)
}

fn served_count(all: &[CallResult]) -> usize {
    all.iter().filter(|result| result.is_served()).count()
}

// Guards against queued calls that are begun although only a guess says that they end
// in time, and against refusals that come too late for a retry elsewhere.
#[tokio::test]
async fn waiting_unproven() {
    let (site, all) = queue_many(12.0).await;
    for result in &all {
        result.assert_whole_or_refused(&site, QUEUED_EVENTS);
        assert!(
            result.is_served() || result.took < seconds(0.2) + IMMEDIATE,
            "{result:?}"
        );
    }
    let served = served_count(&all);
    assert!((8..all.len()).contains(&served), "{served} served");
}

// Guards against queued calls that are turned away although their deadline ends them
// within the grace period.
#[tokio::test]
async fn waiting_expires() {
    let (site, all) = queue_many(5.0).await;
    for result in &all {
        let is_whole = result.is_served() && result.text() == whole_stream(QUEUED_EVENTS);
        let unrun = result.is_failure() && runs_of(&site, &result.id) == 0;
        assert!(is_whole || unrun, "{result:?}");
        assert!(result.took < seconds(6.0), "{result:?}");
    }
    let served = served_count(&all);
    assert!((16..all.len()).contains(&served), "{served} served");
}
