//! Planned stops whose grace is changed in the settings file.

mod stop_support;
mod users;

use std::time::Duration;

use stop_support::*;
use users::host_child::PlannedStop;

/// The numbers of the log lines about a planned stop and reloaded settings.
const STOP_BEGUN: u32 = 101;
const SETTINGS_RELOADED: u32 = 105;

/// A host whose settings file is changed before or during its stop.
struct Reload {
    started_with: Duration,
    reloaded_to: Duration,
    /// Whether the signal to stop comes first.
    during: bool,
    /// When it is killed.
    killed_after: Duration,
}

/// Ask for a stream that is longer than what is left of the grace in force.
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
        // The host looks at the file without a signal, too.
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

// Symptom: a stream is cut by a planned stop that is shorter than the host
// thinks. Sequence: the settings file names a shorter grace; SIGHUP, SIGTERM; a
// stream that fits in the old grace is taken. Cause: only the settings of the
// start were looked at.
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

// Symptom, sequence and cause: as above, where SIGTERM comes first.
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

// Symptom: a stream is cut that was taken after the grace had been made longer.
// Sequence: SIGTERM; the settings file names a longer grace, for the next start;
// the kill comes when it was due at the signal. Cause: a stop that was under way
// took the longer grace for its own.
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
