//! Tests of planned stops whose grace period is changed in the settings file.

mod stop_support;
mod users;

use std::time::Duration;

use stop_support::*;
use users::host_child::PlannedStop;

/// The event numbers of the log lines about a planned stop and reloaded settings.
const STOP_BEGUN: u32 = 101;
const SETTINGS_RELOADED: u32 = 105;

/// A `Reload` is a change of a host's grace period before or during its stop.
struct Reload {
    started_with: Duration,
    reloaded_to: Duration,
    /// Whether SIGTERM comes first.
    during: bool,
    /// The time from SIGTERM until the host is killed.
    killed_after: Duration,
}

/// Call for a stream that is longer than the rest of the grace period in force.
async fn call_after_reload(reload: Reload) {
    let events = 40;
    let mut site = start_site(events, reload.started_with).await;
    warm_up(&site, "/once/1", WARM_UP_RUNS).await;
    let host = site.hosts.remove(0);
    let (address, metrics) = (host.callers, host.metrics);
    if !reload.during {
        users::write_grace(&host.settings, reload.reloaded_to);
        host.child.signal("HUP");
        users::wait_logged(metrics, SETTINGS_RELOADED).await;
    }
    let stop = PlannedStop::begin(host.child, reload.killed_after);
    if reload.during {
        // The host also watches the file. Change it only once the stop has begun.
        users::wait_logged(metrics, STOP_BEGUN).await;
        users::write_grace(&host.settings, reload.reloaded_to);
        stop.signal("HUP");
        users::wait_logged(metrics, SETTINGS_RELOADED).await;
    }
    stop.wait_until(seconds(1.0)).await;
    let result = send_call(address, stream_call("/once/1", seconds(12.0)), "late").await;
    stop.end().await;
    result.assert_whole_or_refused(&site, events);
    assert!(result.is_served() || result.took < IMMEDIATE, "{result:?}");
}

// Guards against a stream that is cut off because the host ignores a shorter grace
// period that was reloaded before the stop.
#[tokio::test]
async fn reload_before() {
    call_after_reload(Reload {
        started_with: seconds(8.0),
        reloaded_to: seconds(3.0),
        during: false,
        killed_after: seconds(3.0),
    })
    .await;
}

// Guards against the same failure when the settings are reloaded after SIGTERM.
#[tokio::test]
async fn reload_during() {
    call_after_reload(Reload {
        started_with: seconds(8.0),
        reloaded_to: seconds(3.0),
        during: true,
        killed_after: seconds(3.0),
    })
    .await;
}

// Guards against a stream that is cut off because a stop in progress adopts a longer
// grace period, which applies only from the next start.
#[tokio::test]
async fn longer_grace() {
    call_after_reload(Reload {
        started_with: seconds(3.0),
        reloaded_to: seconds(20.0),
        during: true,
        killed_after: seconds(3.0),
    })
    .await;
}
