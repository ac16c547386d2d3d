//! Tests of changes of the settings file, and of its signal, while a host starts.

mod users;

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::Value;
use users::host_child::HostChild;
use users::{HostAddresses, WAIT_TIMEOUT, host_settings, settings_path, write_settings};

/// The event number of the log line about reloaded settings.
const SETTINGS_RELOADED: u32 = 105;

/// Start a host that waits for its settings, and run `meanwhile` before it gets them. The
/// file then holds `later`.
async fn start_held(
    addresses: HostAddresses,
    settings: &Value,
    later: &Value,
    meanwhile: impl FnOnce(&HostChild),
) -> HostChild {
    let path = settings_path(addresses);
    let _ = std::fs::remove_file(&path);
    let made = Command::new("mkfifo").arg(&path).status();
    assert!(made.expect("mkfifo").success());
    let mut child = HostChild::start(path.clone());
    // Opening waits until the host reads.
    let mut pipe = std::fs::OpenOptions::new()
        .write(true)
        .open(&path)
        .expect("the host reads its settings");
    meanwhile(&child);
    write_settings(Path::new(&path), later);
    // The host may have ended.
    let _ = std::io::Write::write_all(&mut pipe, settings.to_string().as_bytes());
    drop(pipe);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !child.has_started() {
        let status = child.exit_status();
        assert!(status.is_none(), "{status:?}: {}", child.last_lines());
        assert!(Instant::now() < deadline, "the host did not start");
        users::pause().await;
    }
    child
}

/// Get the settings of a host without other hosts and with an unreachable store.
fn settings(addresses: HostAddresses, grace: Duration) -> Value {
    let store = SocketAddr::from(([127, 0, 0, 1], 9));
    host_settings(addresses, 0, None, store, grace)
}

// Guards against a host that ends because its settings file changes while it starts.
#[tokio::test]
async fn early_hangup() {
    let addresses = HostAddresses::free();
    let settings = settings(addresses, Duration::from_secs(8));
    let mut child = start_held(addresses, &settings, &settings, |child| {
        child.signal("HUP");
    })
    .await;
    assert_eq!(child.exit_status(), None);
}

// Guards against a grace period that is never applied because the settings file changed
// while the host started.
#[tokio::test]
async fn early_change() {
    let addresses = HostAddresses::free();
    let [first, later] = [8, 3].map(|grace| settings(addresses, Duration::from_secs(grace)));
    let _child = start_held(addresses, &first, &later, |_| {}).await;
    users::wait_logged(addresses.metrics, SETTINGS_RELOADED).await;
}
