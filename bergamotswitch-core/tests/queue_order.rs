//! Tests the queue order, shedding and preemption of a shard owner.

mod owner_bench;

use owner_bench::*;

/// Get an owner of one target that runs one request of 100 tokens at a time, and
/// the permit of request 0, which runs on it.
fn busy_bench(opts: OwnerOptions) -> (OwnerBench, Permit) {
    let mut bench = OwnerBench::with_targets(opts, &[target("t", "d", 100)]);
    let permit = bench.granted(&permit_request(0, 0, "filler"));
    (bench, permit)
}

/// Serve all queued requests one at a time and get their order.
fn order_of(bench: &mut OwnerBench, first: Permit) -> Vec<u64> {
    let mut order = Vec::new();
    let mut current = first;
    loop {
        let actions = bench.release(&current, ReleaseOutcome::Unused);
        let Some(permit) = permits(&actions).first().cloned() else {
            return order;
        };
        order.push(permit.attempt.request.sequence);
        current = permit;
    }
}

#[test]
fn strict_tiers() {
    let (mut bench, first) = busy_bench(OwnerOptions::default());
    for (request, tier) in [(1, 2), (2, 0), (3, 1), (4, 0)] {
        bench.request_permit(&permit_request(request, tier, "a"));
    }
    assert_eq!(order_of(&mut bench, first), [2, 4, 3, 1]);
}

#[test]
fn earliest_deadline() {
    let (mut bench, first) = busy_bench(OwnerOptions::default());
    for (request, deadline_ms) in [(1, 30_000), (2, 10_000), (3, 20_000)] {
        bench.request_permit(&with_deadline(permit_request(request, 1, "a"), deadline_ms));
    }
    assert_eq!(order_of(&mut bench, first), [2, 3, 1]);
}

#[test]
fn small_account() {
    // Guards against a small account that waits behind the whole backlog of a large
    // one in the same tier.
    let (mut bench, first) = busy_bench(OwnerOptions::default());
    for request in 1..=50 {
        bench.request_permit(&permit_request(request, 1, "large"));
    }
    bench.request_permit(&permit_request(99, 1, "small"));
    let order = order_of(&mut bench, first);
    let position = order.iter().position(|request| *request == 99);
    assert!(position.is_some_and(|position| position <= 1), "{order:?}");
}

#[test]
fn weighted_shares() {
    let (mut bench, first) = busy_bench(OwnerOptions::default());
    for request in 0..40 {
        let mut heavy = permit_request(100 + request, 1, "heavy");
        heavy.share = 3;
        bench.request_permit(&heavy);
        bench.request_permit(&permit_request(200 + request, 1, "light"));
    }
    let order = order_of(&mut bench, first);
    let heavy = order[..40].iter().filter(|request| **request < 200);
    let heavy = heavy.count();
    assert!(
        (29..=31).contains(&heavy),
        "expected three quarters, got {heavy} of 40"
    );
    assert_eq!(order.len(), 80, "the other account uses the unused share");
}

#[test]
fn repeated_permit_request() {
    let (mut bench, first) = busy_bench(OwnerOptions::default());
    bench.request_permit(&permit_request(1, 1, "a"));
    assert!(bench.request_permit(&permit_request(1, 1, "a")).is_empty());
    assert_eq!(bench.view().queued[0].requests, 1);
    let again = permits(&bench.request_permit(&permit_request(0, 0, "filler")));
    assert_eq!(again, [first]);
    assert_eq!(bench.view().in_flight, 1);
}

#[test]
fn withdrawn_permit_request() {
    let (mut bench, first) = busy_bench(OwnerOptions::default());
    bench.request_permit(&permit_request(1, 1, "a"));
    bench.message(withdrawal(attempt_of(ENTRY_INCARNATION, 1)));
    assert!(order_of(&mut bench, first).is_empty());
    assert!(bench.view().queued.is_empty());
}

#[test]
fn deadline_passed() {
    let (mut bench, _first) = busy_bench(OwnerOptions::default());
    bench.request_permit(&with_deadline(permit_request(1, 1, "a"), 500));
    let wake = bench.owner.next_wake();
    assert!(wake <= bench.now.plus(Duration::from_millis(500)));
    assert!(refusals(&bench.tick_after(499)).is_empty());
    let refused = refusals(&bench.tick_after(1));
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].reason, RefusalReason::DeadlinePassed);
}

#[test]
fn tier_shedding() {
    // Guards against refusing requests of a high tier because the queue is full of
    // requests of a lower one.
    let opts = OwnerOptions::default().with_max_requests(3);
    let (mut bench, _first) = busy_bench(opts);
    for request in 1..=3 {
        assert!(refusals(&bench.request_permit(&permit_request(request, 2, "bulk"))).is_empty());
    }
    let refused = refusals(&bench.request_permit(&permit_request(4, 2, "bulk")));
    assert_eq!(refused[0].reason, RefusalReason::Overloaded);
    for request in 5..=7 {
        let refused = refusals(&bench.request_permit(&permit_request(request, 0, "dawn")));
        assert_eq!(refused.len(), 1);
        assert_eq!(refused[0].reason, RefusalReason::ShedForHigherTier);
        assert!(refused[0].request < 5);
    }
    let refused = refusals(&bench.request_permit(&permit_request(8, 1, "other")));
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].request, 8);
    assert_eq!(refused[0].reason, RefusalReason::Overloaded);
    let waiting = bench.view().queued;
    assert_eq!(waiting.len(), 1);
    assert_eq!(waiting[0].requests, 3);
}

#[test]
fn account_over_share() {
    let opts = OwnerOptions::default().with_max_requests(4);
    let (mut bench, _first) = busy_bench(opts);
    for request in 1..=4 {
        bench.request_permit(&with_deadline(
            permit_request(request, 1, "large"),
            10_000 + request as u32,
        ));
    }
    let refused = refusals(&bench.request_permit(&permit_request(5, 1, "small")));
    assert_eq!(refused.len(), 1);
    assert_eq!(
        refused[0].request, 4,
        "latest deadline of the large account"
    );
}

#[test]
fn retry_after_estimate() {
    // 100 tokens are in flight and 1000 are queued, at 1000 tokens per second.
    let opts = OwnerOptions::default().with_max_wait(Duration::from_secs(1));
    let (mut bench, _first) = busy_bench(opts);
    for request in 1..=10 {
        assert!(refusals(&bench.request_permit(&permit_request(request, 1, "a"))).is_empty());
    }
    let refused = refusals(&bench.request_permit(&permit_request(11, 1, "a")));
    assert_eq!(refused.len(), 1);
    let seconds = f64::from(refused[0].retry_after_ms) / 1000.0;
    assert!((1.0..=1.3).contains(&seconds), "{refused:?}");
}

#[test]
fn long_deadlines() {
    // Guards against shedding requests that may wait for hours: the queue limit must
    // depend on the deadlines.
    let mut bench = OwnerBench::with_targets(OwnerOptions::default(), &[target("t", "d", 100)]);
    bench.granted(&permit_request(0, 5, "a"));
    for request in 1..=40 {
        let log = with_deadline(
            with_cost(permit_request(request, 5, "a"), 500, 500),
            4 * 3_600_000,
        );
        assert!(refusals(&bench.request_permit(&log)).is_empty());
    }
    let brief = with_deadline(permit_request(41, 6, "a"), 5_000);
    let refused = refusals(&bench.request_permit(&brief));
    let numbers: Vec<u64> = refused.iter().map(|refusal| refusal.request).collect();
    assert_eq!(numbers, [41]);
}

#[test]
fn too_late_to_finish() {
    // Guards against running requests that cannot finish before their deadline, which
    // wastes the capacity of the tier.
    let opts = OwnerOptions::default();
    let mut bench = OwnerBench::with_targets(opts, &[target("t", "d", 100)]);
    let finished = |permit_request: &PermitRequest| {
        ReleaseOutcome::Finished(usage(permit_request.cost, 1_000))
    };
    let first = permit_request(1, 1, "a");
    let permit = bench.granted(&first);
    bench.release(&permit, finished(&first));
    let running = permit_request(2, 1, "a");
    let permit = bench.granted(&running);
    for (request, tier) in [(3, 1), (4, 0)] {
        bench.request_permit(&with_deadline(permit_request(request, tier, "a"), 500));
    }
    let actions = bench.release(&permit, finished(&running));
    assert_eq!(
        granted_requests(&actions),
        [4],
        "the top tier is run nevertheless"
    );
    let top = permits(&actions)[0].clone();
    let actions = bench.release(&top, ReleaseOutcome::Unused);
    let refused = refusals(&actions);
    assert_eq!(refused[0].request, 3);
    assert_eq!(refused[0].reason, RefusalReason::DeadlinePassed);
}

#[test]
fn lower_tier_preemption() {
    // Guards against a request of the top tier missing its deadline behind long
    // requests of lower tiers, since targets do not support priorities.
    let targets = [target("a", "d", 10_000), target("b", "d", 10_000)];
    let mut bench = OwnerBench::with_targets(OwnerOptions::default(), &targets);
    let mut bulk = with_cost(permit_request(1, 2, "bulk"), 5_000, 5_000);
    bulk.preemptible = true;
    let low = bench.granted(&bulk);
    let mut firm = with_cost(permit_request(2, 1, "firm"), 5_000, 5_000);
    firm.preemptible = true;
    bench.granted(&firm);
    bench.tick_after(100);
    let report = with_deadline(permit_request(3, 0, "dawn"), 2_000);
    let actions = bench.request_permit(&report);
    assert_eq!(
        preempted(&actions),
        [low.id],
        "the lowest tier is preempted first"
    );
    assert!(preempted(&bench.tick_after(100)).is_empty(), "only once");
    let stopped = ReleaseOutcome::Stopped(usage(bulk.cost, 0));
    let actions = bench.release(&low, stopped);
    assert_eq!(granted_requests(&actions), [3]);
}

#[test]
fn no_backfill() {
    // Guards against a large request of the top tier that never fits because small
    // ones of a lower tier take the capacity as it is released.
    let mut bench = OwnerBench::with_targets(OwnerOptions::default(), &[target("t", "d", 300)]);
    let held: Vec<Permit> = (0..3)
        .map(|n| bench.granted(&permit_request(n, 1, "a")))
        .collect();
    let small = with_domain(permit_request(4, 2, "b"), "d");
    bench.request_permit(&small);
    bench.request_permit(&with_cost(permit_request(3, 0, "dawn"), 150, 50));
    let actions = bench.release(&held[0], ReleaseOutcome::Unused);
    assert!(
        granted_requests(&actions).is_empty(),
        "the capacity is reserved"
    );
    let actions = bench.release(&held[1], ReleaseOutcome::Unused);
    assert_eq!(granted_requests(&actions), [3]);
}

#[test]
fn no_needless_preemption() {
    let targets = [target("a", "d", 10_000)];
    let mut bench = OwnerBench::with_targets(OwnerOptions::default(), &targets);
    let mut bulk = with_cost(permit_request(1, 2, "bulk"), 5_000, 5_000);
    bulk.preemptible = true;
    bench.granted(&bulk);
    // The request has twenty seconds left, and the running one ends in ten.
    let report = with_deadline(permit_request(3, 0, "dawn"), 20_000);
    assert!(preempted(&bench.request_permit(&report)).is_empty());
}

// Guards against refusing a queued request as overloaded because its host was paused
// and requests its permit again: the runs in flight have taken longer than predicted
// meanwhile.
#[test]
fn requested_again() {
    const WAITED: Duration = Duration::from_secs(5);
    let mut bench = OwnerBench::with_targets(OwnerOptions::default(), &[target("t", "d", 100)]);
    let limited = |sequence| PermitRequest {
        first_answer_ms: Some(5_000),
        ..permit_request(sequence, 0, "a")
    };
    bench.granted(&limited(0));
    for sequence in 1..=16 {
        assert!(refusals(&bench.request_permit(&limited(sequence))).is_empty());
    }
    bench.tick_after(WAITED.as_millis() as u64);
    for sequence in 1..=16 {
        let mut again = limited(sequence);
        bench.message(withdrawal(again.attempt));
        again.attempt.attempt = 1;
        again.waited_ms = WAITED.as_millis() as u32;
        again.deadline_ms -= again.waited_ms;
        let refused = refusals(&bench.request_permit(&again));
        assert!(refused.is_empty(), "request {sequence}: {refused:?}");
    }
    // A new request would come last, and is refused at once.
    assert_eq!(refusals(&bench.request_permit(&limited(17))).len(), 1);
}
