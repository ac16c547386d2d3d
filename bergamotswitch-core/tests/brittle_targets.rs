//! Tests of targets that say that they fall over if they turn many requests away.

mod owner_bench;

use bergamotswitch_core::permit::BrittleTarget;
use owner_bench::*;

const SLOTS: u32 = 6;

/// Start an owner of one target of plain calls.
fn bench() -> OwnerBench {
    let mut plain = target("a", "d", u32::MAX);
    plain.slots = Some(SLOTS);
    let mut bench = OwnerBench::with_targets(OwnerOptions::default(), &[plain]);
    let first = bench.granted(&call(1));
    bench.now = bench.now.plus(Duration::from_millis(30));
    let usage = Usage {
        elapsed_ms: 30,
        first_token_ms: 30,
        ..usage(cost_of(1, 1), 30)
    };
    bench.release(&first, ReleaseOutcome::Finished(usage));
    bench
}

fn call(number: u64) -> PermitRequest {
    with_cost(permit_request(number, 1, "a"), 1, 1)
}

fn set_brittle(bench: &mut OwnerBench, refusals_per_second: Option<u32>) {
    let brittle = BrittleTarget {
        target: named("a"),
        refusals_per_second,
    };
    bench.message(OwnerMessage::BrittleTargets {
        shard: shard(),
        targets: vec![brittle],
    });
}

/// Request more permits than there are slots, and get those granted.
fn fill(bench: &mut OwnerBench) -> Vec<Permit> {
    let requests = 10..20;
    let actions = requests.flat_map(|number| bench.request_permit(&call(number)));
    permits(&actions.collect::<Vec<_>>())
}

/// Guards against requests that wait at a brittle target, which may let fewer wait than
/// before and turns them away.
#[test]
fn nothing_waits() {
    let mut sturdy = bench();
    assert!(fill(&mut sturdy).len() > SLOTS as usize);
    let mut brittle = bench();
    set_brittle(&mut brittle, Some(3));
    assert_eq!(fill(&mut brittle).len(), SLOTS as usize);
}

/// Guards against a target that stays brittle for its owner although it said otherwise.
#[test]
fn brittleness_ends() {
    let mut bench = bench();
    set_brittle(&mut bench, Some(3));
    set_brittle(&mut bench, None);
    assert!(fill(&mut bench).len() > SLOTS as usize);
}

/// Guards against a brittle target that gets requests on and on while it turns them away.
#[test]
fn refusals_limited() {
    for limit in [0, 1, 2, 4] {
        let mut bench = bench();
        set_brittle(&mut bench, Some(limit));
        let held = fill(&mut bench);
        let refused = (limit as usize / 2).max(1);
        for permit in &held[..refused] {
            bench.release(permit, ReleaseOutcome::Refused);
        }
        for _ in 0..9 {
            assert!(permits(&bench.tick_after(100)).is_empty(), "limit {limit}");
        }
        assert!(!permits(&bench.tick_after(200)).is_empty(), "limit {limit}");
    }
}
