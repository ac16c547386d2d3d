//! Tests the counts of how requests of each size end at an owner.

mod owner_bench;

use bergamotswitch_core::pool_owner::size_ends::SizeEnds;
use owner_bench::*;

/// Get the counts of the size class of a request.
fn ends_of(bench: &OwnerBench, least_output: u32) -> SizeEnds {
    let view = bench.view();
    let sizes = view.sizes.iter();
    let mut found = sizes.filter(|view| view.size.least_output() == least_output);
    found.next().map(|view| view.ends).unwrap_or_default()
}

fn sized_request(sequence: u64, decode: u32) -> PermitRequest {
    let mut request = permit_request(sequence, 0, "account");
    request.cost = cost_of(100, decode);
    request
}

fn one_slot() -> OwnerBench {
    let targets = [PoolTarget {
        slots: Some(1),
        ..target("engine", "d", 700_000)
    }];
    OwnerBench::with_targets(OwnerOptions::default(), &targets)
}

#[test]
fn counts_ends() {
    let mut bench = one_slot();
    let actions = bench.message(OwnerMessage::PermitRequest(Box::new(sized_request(1, 50))));
    let permit = permits(&actions).remove(0);
    let waiting = sized_request(2, 3_000);
    bench.message(OwnerMessage::PermitRequest(Box::new(waiting.clone())));
    bench.message(OwnerMessage::Withdraw {
        shard: shard(),
        attempt: waiting.attempt,
    });
    let usage = Usage {
        decode: 70,
        elapsed_ms: 900,
        ..Usage::default()
    };
    bench.release(&permit, ReleaseOutcome::Finished(usage));
    let small = ends_of(&bench, 0);
    assert_eq!((small.granted, small.finished, small.withdrawn), (1, 1, 0));
    assert_eq!(
        (small.expected_output, small.output, small.run_ms),
        (50, 70, 900)
    );
    assert_eq!(ends_of(&bench, 2_048).withdrawn, 1);
}

#[test]
fn unserved_logged() {
    let mut bench = one_slot();
    bench.message(OwnerMessage::PermitRequest(Box::new(sized_request(1, 50))));
    let lines = |actions: &[OwnerAction]| {
        let lines = actions.iter();
        lines
            .filter(|action| matches!(action, OwnerAction::LogSize(..)))
            .count()
    };
    bench.now = bench.now.plus(Duration::from_secs(8));
    assert_eq!(lines(&bench.event(OwnerEvent::Tick)), 0);
    let waiting = sized_request(2, 3_000);
    bench.message(OwnerMessage::PermitRequest(Box::new(waiting.clone())));
    bench.message(OwnerMessage::Withdraw {
        shard: shard(),
        attempt: waiting.attempt,
    });
    bench.now = bench.now.plus(Duration::from_secs(4));
    assert_eq!(lines(&bench.event(OwnerEvent::Tick)), 2);
    bench.now = bench.now.plus(Duration::from_secs(4));
    assert_eq!(lines(&bench.event(OwnerEvent::Tick)), 0);
}
