//! Tests of a target that restarts under the same name.

mod owner_bench;

use owner_bench::*;

/// The number of slots used at a target without measurements.
const SLOTS: u32 = 2;

fn target_started_at(started_at_ms: u64) -> PoolTarget {
    PoolTarget {
        slots: Some(SLOTS),
        started_at_ms: Some(started_at_ms),
        ..target("t", "d", 100_000)
    }
}

fn bench() -> OwnerBench {
    OwnerBench::with_targets(OwnerOptions::default(), &[target_started_at(100)])
}

fn fill(bench: &mut OwnerBench, from: u64) -> Vec<Permit> {
    let numbers = from..from + u64::from(SLOTS);
    numbers
        .map(|number| bench.granted(&permit_request(number, 1, "a")))
        .collect()
}

fn restart(bench: &mut OwnerBench, started_at_ms: u64) -> Vec<OwnerAction> {
    bench.event(OwnerEvent::Targets(vec![target_started_at(started_at_ms)]))
}

// Guards against slots of a target's previous process that stay occupied until
// their requests reach their deadlines, while the restarted target is idle.
#[test]
fn slots_freed() {
    let mut bench = bench();
    let permits = fill(&mut bench, 1);
    assert!(granted_requests(&bench.request_permit(&permit_request(9, 1, "a"))).is_empty());
    // A registration with the same start time has no effect.
    assert!(granted_requests(&restart(&mut bench, 100)).is_empty());
    assert_eq!(granted_requests(&restart(&mut bench, 200)), [9]);
    // Late releases of permits for the previous process have no effect.
    let usage = usage(cost_of(50, 50), 100);
    for permit in &permits {
        bench.release(permit, ReleaseOutcome::Finished(usage));
    }
    assert_eq!(bench.target_view("t").permits, 1);
}

// Guards against applying the backoff of a target's previous process to the
// restarted target.
#[test]
fn back_off_cleared() {
    let mut bench = bench();
    let permit = bench.granted(&permit_request(1, 1, "a"));
    bench.release(&permit, ReleaseOutcome::Unreachable);
    assert!(granted_requests(&bench.request_permit(&permit_request(2, 1, "a"))).is_empty());
    assert_eq!(granted_requests(&restart(&mut bench, 200)), [2]);
}

// Guards against dropping a key claim together with the permit of a restarted
// target: a resubmission at another host would run the request a second time.
#[test]
fn key_claim_kept() {
    let mut bench = bench();
    let call = with_claim(
        permit_request(1, 1, "a"),
        77,
        incarnation_of("entry", 7),
        false,
    );
    bench.granted(&call);
    restart(&mut bench, 200);
    let copy = with_claim(
        permit_request(2, 1, "a"),
        77,
        incarnation_of("other", 8),
        false,
    );
    let actions = bench.request_permit(&copy);
    assert!(granted_requests(&actions).is_empty(), "{actions:?}");
    assert!(matches!(
        actions[..],
        [OwnerAction::Reply(_, OwnerReply::KeyHeld { .. })]
    ));
}

// A registration with an earlier start time, or without one, has no effect.
#[test]
fn older_start() {
    let mut bench = bench();
    fill(&mut bench, 1);
    bench.request_permit(&permit_request(9, 1, "a"));
    assert!(granted_requests(&restart(&mut bench, 50)).is_empty());
    let without_start = PoolTarget {
        started_at_ms: None,
        ..target_started_at(0)
    };
    let actions = bench.event(OwnerEvent::Targets(vec![without_start]));
    assert!(granted_requests(&actions).is_empty());
}
