//! Tests the event loop of a shard owner whose processor bears less than a burst asks.

mod loop_load;
mod owner_bench;

use loop_load::{HEARTBEAT_INTERVAL, LoopLoad, PhaseKind, ProcessorKind};

/// The part of what an unlimited processor serves on time that is served on time within
/// seconds of the end of a burst.
const RECOVERED_FRACTION: f64 = 0.9;

fn played(processor: ProcessorKind) -> LoopLoad {
    let mut load = LoopLoad::new(processor);
    load.run();
    load
}

// Guards against an owner that goes on with what a burst has left, while its callers leave.
#[test]
fn burst_over() {
    let on_time = |processor| {
        let recovered = played(processor).phase(PhaseKind::Recovered);
        recovered.on_time_fraction()
    };
    let slow = on_time(ProcessorKind::Slow);
    let unlimited = on_time(ProcessorKind::Unlimited);
    println!("on time after the burst: {slow:.2}, with an unlimited processor {unlimited:.2}");
    assert!(
        unlimited > 0.5,
        "the targets do not recover: {unlimited:.2}"
    );
    assert!(
        slow >= RECOVERED_FRACTION * unlimited,
        "{slow:.2} of {unlimited:.2}"
    );
}

// Guards against heartbeats that wait behind requests, so that peers take a busy owner for dead.
#[test]
fn heartbeats_in_burst() {
    let load = played(ProcessorKind::Slow);
    println!("heartbeats waited {:?} at most", load.heartbeat_delay);
    assert!(load.heartbeat_delay < HEARTBEAT_INTERVAL);
}
