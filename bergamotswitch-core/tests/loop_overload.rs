//! Tests the event loop of a shard owner whose processor bears less than a burst asks.

mod loop_load;
mod owner_bench;

use loop_load::{LoopLoad, PhaseCount, PhaseKind};

/// The part of the requests served on time before a burst that is served on time again
/// within seconds of its end.
const RECOVERED_FRACTION: f64 = 0.9;

fn played() -> LoopLoad {
    let mut load = LoopLoad::new();
    load.run();
    load
}

// Guards against an owner that goes on with what a burst has left, while its callers leave.
#[test]
fn burst_over() {
    let load = played();
    let on_time = |phase| PhaseCount::on_time_fraction(load.phase(phase));
    let (before, after) = (on_time(PhaseKind::Before), on_time(PhaseKind::Recovered));
    println!("on time before {before:.2}, after {after:.2}");
    assert!(
        after >= RECOVERED_FRACTION * before,
        "{after:.2} of {before:.2}"
    );
}

// Guards against heartbeats that wait behind requests, so that peers take a busy owner for dead.
#[test]
fn heartbeats_in_burst() {
    let load = played();
    println!("heartbeats waited {:?} at most", load.heartbeat_delay);
    assert!(load.heartbeat_delay < loop_load::HEARTBEAT_INTERVAL);
}
