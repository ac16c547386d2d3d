//! A burst at the owner of a large shard: who is served, and the processor
//! time that it takes.

mod burst_load;
mod owner_bench;

use burst_load::{BurstLoad, LoadPlan, WorkKind};
use owner_bench::*;

/// The processor time that an event may take on the mean, in microseconds. It
/// was 36.0 when each event looked at all targets for each kind of ask, and is
/// 11.7 since (this test in the tests' build, 8 cores, other load beside it).
const EVENT_MICROS: f64 = 24.0;

/// The runs of which the fastest counts: other load on the machine only adds.
const RUNS: usize = 3;

/// Get a load of which the targets serve some 700 of 1,250 requests a second.
fn plan() -> LoadPlan {
    let kind = |often, prefill, decode, aim_ms, deadline_ms| WorkKind {
        often,
        cost: cost_of(prefill, decode),
        aim_ms,
        deadline_ms,
    };
    LoadPlan {
        targets: 60,
        slots: 11,
        per_second: 1_250,
        length: Duration::from_secs(6),
        kinds: vec![
            kind(3, 6_670, 378, 400, 12_000),
            kind(2, 690, 288, 500, 10_000),
            kind(5, 1_860, 27, 800, 2_500),
        ],
    }
}

/// Play the load; get the processor time of an event in microseconds.
fn event_micros() -> f64 {
    let mut burst = BurstLoad::new(plan());
    let began = cpu_nanos();
    burst.play();
    (cpu_nanos() - began) as f64 / burst.events as f64 / 1_000.0
}

/// Get the processor time of this thread so far, in nanoseconds.
fn cpu_nanos() -> u64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("a Linux system");
    let first = text.split_whitespace().next().expect("a field");
    first.parse().expect("a number")
}

// Symptom: at 62 hosts nearly half of the requests of a burst fail, most of
// them held until their callers give up; none does without accounting of
// processor time. Sequence: more comes than 60 engines serve; each ask and each
// release makes the one owner look at every engine for every kind of ask that
// waits; its host of half a core falls seconds behind, and permits come when
// nobody waits for them any more. Cause: work for each event that grows with
// the engines, although a full shard has no place, or one, to give.
#[test]
fn cheap_events() {
    let micros = (0..RUNS).map(|_| event_micros());
    let least = micros.min_by(f64::total_cmp).expect("a run");
    println!("an event takes {least:.1} us");
    assert!(least < EVENT_MICROS, "{least:.1} us");
}

// Two thirds more than fits: what is most urgent is served all the same.
#[test]
fn urgent_first() {
    let mut burst = BurstLoad::new(plan());
    burst.play();
    let served = |tier: usize| burst.tiers[tier].served_part();
    assert!(served(0) > 0.95, "{}", served(0));
    assert!(served(2) < served(0), "{}", served(2));
}
