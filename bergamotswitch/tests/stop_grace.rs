//! Tests of planned stops in which the grace period ends before the work does.

mod stop_support;
mod users;

use std::time::Duration;

use bergamotswitch_standin::gateway_target::ResponseMode;
use stop_support::*;
use tokio::task::JoinHandle;
use users::host_child::PlannedStop;
use users::{Site, SiteOptions, pause};

/// Call a stopping host for a stream that is longer than the rest of its grace period,
/// and assert that the stream is whole or refused.
async fn call_late(grace: Duration, sent_after: Duration, events: u32) {
    let mut site = start_site(events, grace).await;
    warm_up(&site, "/once/1", WARM_UP_RUNS).await;
    let address = site.address();
    let stop = PlannedStop::begin(site.hosts.remove(0).child, grace);
    stop.wait_until(sent_after).await;
    let call = stream_call("/once/1", EVENT_GAP * events + seconds(6.0));
    let result = send_call(address, call, "late").await;
    stop.end().await;
    result.assert_whole_or_refused(&site, events);
    assert!(result.is_served() || result.took < IMMEDIATE, "{result:?}");
}

// Guards against a stream that is cut off because a stopping host accepts it
// although it cannot end within the grace period.
#[tokio::test]
async fn taken_late() {
    call_late(seconds(8.0), seconds(3.5), 60).await;
}

// Guards against the same failure when the grace period is shorter than the time in
// which a stopping host accepts calls.
#[tokio::test]
async fn short_grace() {
    call_late(seconds(3.0), seconds(1.0), 40).await;
}

// Guards against the same failure with a long grace period and a longer stream.
#[tokio::test]
async fn long_grace() {
    call_late(seconds(12.0), seconds(3.5), 95).await;
}

// Guards against refusals of calls whose deadline is within the rest of the grace
// period.
#[tokio::test]
async fn short_calls() {
    for (grace, sent_after) in [(8.0, 3.5), (3.0, 1.0)] {
        let mut site = start_site(8, seconds(grace)).await;
        let address = site.address();
        let stop = PlannedStop::begin(site.hosts.remove(0).child, seconds(grace));
        stop.wait_until(seconds(sent_after)).await;
        let result = send_call(address, receipt_call(seconds(1.0)), "short").await;
        assert!(result.is_served(), "{result:?}");
        assert_eq!(runs_of(&site, "short"), 1);
        stop.end().await;
    }
}

// Guards against a stream that is cut off because a stopping host takes it for as
// short as the recent ones of its route.
#[tokio::test]
async fn unlike_recent() {
    let grace = seconds(8.0);
    let events = 60;
    let mut site = start_site(8, grace).await;
    warm_up(&site, "/once/1", WARM_UP_RUNS).await;
    let address = site.address();
    let stop = PlannedStop::begin(site.hosts.remove(0).child, grace);
    let path = format!("/once/1?events={events}");
    let mut retries = Vec::new();
    for (id, sent_after) in [("early", 0.5), ("late", 3.1)] {
        stop.wait_until(seconds(sent_after)).await;
        let call = stream_call(&path, seconds(10.0));
        let result = send_call(address, call.clone(), id).await;
        assert!(result.is_refused(), "{result:?}");
        assert!(result.took < IMMEDIATE, "{result:?}");
        result.assert_refusal(&site);
        retries.extend(send_many(site.address(), &call, id, 1));
    }
    for result in join_results(retries).await {
        assert!(result.is_served(), "{result:?}");
        result.assert_whole_or_refused(&site, events);
    }
    assert!(stop.end().await.is_clean());
}

// Guards against a call whose deadline is shortly after the last answers of its
// stopping host.
#[tokio::test]
async fn near_deadline() {
    let grace = seconds(8.0);
    let mut site = start_site(8, grace).await;
    warm_up(&site, "/once/1", WARM_UP_RUNS).await;
    let address = site.address();
    let stop = PlannedStop::begin(site.hosts.remove(0).child, grace);
    stop.wait_until(seconds(3.9)).await;
    let call = stream_call("/once/1?events=60", seconds(4.0));
    let result = send_call(address, call, "late").await;
    assert!(result.is_refused(), "{result:?}");
    result.assert_refusal(&site);
    assert!(stop.end().await.is_clean());
}

// Guards against an idle host that is killed because it accepts calls for longer
// than its grace period.
#[tokio::test]
async fn idle_end() {
    let grace = seconds(3.0);
    let mut site = start_site(8, grace).await;
    let stop = PlannedStop::begin(site.hosts.remove(0).child, grace);
    assert!(stop.end().await.is_clean());
}

// Guards against calls that wait or fail at other hosts while a stopping owner stays
// until the end of its grace period.
#[tokio::test]
async fn others_served() {
    let grace = seconds(3.0);
    let options = SiteOptions {
        hosts: 3,
        grace,
        ..SiteOptions::default()
    };
    let mut site = Site::start_with(options).await;
    for held in ["held-1", "held-2"] {
        for desk in &site.desks {
            desk.replace_responses(&[ResponseMode::NoResponse]);
        }
        let result = send_until_running(&site, receipt_call(seconds(12.0)), held).await;
        for desk in &site.desks {
            desk.replace_responses(&[]);
        }
        let stop = PlannedStop::begin(site.hosts.remove(0).child, grace);
        call_others(&site, held, &result).await;
        stop.end().await;
    }
}

/// Send calls to all hosts of a site in turn until a call at another host has ended.
async fn call_others(site: &Site, name: &str, held: &JoinHandle<CallResult>) {
    let mut count = 0;
    while !held.is_finished() {
        for host in &site.hosts {
            count += 1;
            let calls = [
                receipt_call(seconds(2.0)),
                stream_call("/once/1", seconds(2.0)),
            ];
            for (number, call) in calls.into_iter().enumerate() {
                let id = format!("{name}-{count}-{number}");
                let result = send_call(host.callers, call, &id).await;
                assert!(result.is_served(), "{result:?}");
                assert_eq!(runs_of(site, &id), 1);
            }
        }
        pause().await;
    }
    assert!(count > 0);
}

// Guards against a stream that is cut off because a stopping host accepts work of
// unknown duration.
#[tokio::test]
async fn unknown_duration() {
    let grace = seconds(8.0);
    let mut site = start_site(90, grace).await;
    let address = site.address();
    let stop = PlannedStop::begin(site.hosts.remove(0).child, grace);
    stop.wait_until(seconds(0.5)).await;
    let result = send_call(address, stream_call("/once/1", seconds(12.0)), "first").await;
    stop.end().await;
    assert!(result.is_refused(), "{result:?}");
    assert!(result.took < IMMEDIATE, "{result:?}");
    result.assert_refusal(&site);
}

// Guards against calls that wait until their deadline at the only host of a site.
// When it stops, no host can grant permits for its shards.
#[tokio::test]
async fn sole_host() {
    let grace = seconds(3.0);
    let options = SiteOptions {
        grace,
        ..SiteOptions::default()
    };
    let mut site = Site::start_with(options).await;
    let address = site.address();
    let stop = PlannedStop::begin(site.hosts.remove(0).child, grace);
    stop.wait_until(seconds(1.0)).await;
    let result = send_call(address, receipt_call(seconds(1.5)), "short").await;
    stop.end().await;
    assert!(result.took < IMMEDIATE, "{result:?}");
    result.assert_served_or_refused(&site);
}
