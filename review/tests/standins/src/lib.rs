//! Provides small stand-ins for the platform's store, workers and clients, and runs the hosts
//! of the project as separate processes on loopback addresses.

pub mod client;
pub mod http;
pub mod record;
pub mod site;
pub mod store;
pub mod worker;

use std::time::{Duration, Instant};

/// The exit code if the rule held.
pub const HELD: i32 = 0;
/// The exit code if the rule was broken.
pub const BROKEN: i32 = 1;
/// The exit code if the case could not run.
pub const NOT_RUN: i32 = 2;

/// Get whether the case plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Wait until a condition is true, or until the timeout.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Stop the process if it takes longer than a case may.
pub fn start_watchdog(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        eprintln!("the case took too long");
        site::kill_all_hosts();
        std::process::exit(NOT_RUN);
    });
}
