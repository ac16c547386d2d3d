//! Planned stops with calls that wait for a target.

mod stop_support;
mod users;

use stop_support::*;
use users::host_child::PlannedStop;

// Symptom: answers are cut although they were asked for long before the signal
// or right after it. Sequence: all targets are full, calls wait in the host;
// SIGTERM; a place gets free when less is left of the grace than a run takes;
// the run begins and is cut. Cause: what waited was started whenever a place
// got free.
#[tokio::test]
async fn waiting_refused() {
    let grace = seconds(8.0);
    let events = 50;
    let mut site = start_small_site(events, grace).await;
    warm_up(&site, "/draft/1", 3).await;
    let address = site.address();
    // Eight run at once, so that the others would run from 5 s to 10 s.
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

// Symptom: as above. Sequence: streams take 0.5 s, a host that knows so has far
// more of them than fit in its grace; SIGTERM; what waits is started as long as
// it ends in time. Cause: as above, or calls told too late to go elsewhere.
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
