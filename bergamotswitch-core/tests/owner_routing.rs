//! Tests how a shard owner chooses targets, limits their load and backs off from
//! failing ones.

mod owner_bench;

use std::collections::VecDeque;

use bergamotswitch_core::incident::Incident;
use owner_bench::*;

fn bench_of(targets: &[PoolTarget]) -> OwnerBench {
    OwnerBench::with_targets(OwnerOptions::default(), targets)
}

fn finished(cost: TokenCost, elapsed_ms: u32) -> ReleaseOutcome {
    ReleaseOutcome::Finished(usage(cost, elapsed_ms))
}

/// Run one request on the only target at `speed` tokens per second.
fn run_once(bench: &mut OwnerBench, request: u64, speed: u32) {
    let permit_request = with_cost(permit_request(request, 1, "a"), 500, 500);
    let permit = bench.granted(&permit_request);
    let elapsed_ms = 1_000_000 / speed;
    bench.now = bench.now.plus(Duration::from_millis(u64::from(elapsed_ms)));
    bench.release(&permit, finished(permit_request.cost, elapsed_ms));
}

/// Run the requests with these sequence numbers, one after another.
fn run_each(bench: &mut OwnerBench, requests: std::ops::Range<u64>, speed: u32) {
    for request in requests {
        run_once(bench, request, speed);
    }
}

fn backed_off(actions: &[OwnerAction]) -> usize {
    let incidents = actions.iter().filter(|action| {
        matches!(action, OwnerAction::LogIncident(incident, ..) if *incident == Incident::TargetBackedOff)
    });
    incidents.count()
}

#[test]
fn predicted_finish() {
    let mut slow = target("slow", "d", 10_000);
    slow.expected_speed = 300;
    let mut bench = bench_of(&[slow, target("swift", "d", 10_000)]);
    let chosen: Vec<Permit> = (0..8)
        .map(|n| bench.granted(&permit_request(n, 1, "a")))
        .collect();
    let names = chosen.iter().map(|permit| permit.target.as_str());
    let swift = names.filter(|name| *name == "swift");
    assert_eq!(
        swift.count(),
        6,
        "about three quarters go to the faster target"
    );
}

#[test]
fn tenfold_slowdown() {
    // Guards against speed estimates averaged over too long a time, which keep
    // sending requests to a target that has become ten times slower.
    let mut bench = bench_of(&[target("t", "d", 10_000)]);
    for (start, speed) in [(0, 1000), (100, 100), (200, 1000)] {
        run_each(&mut bench, start..start + 4, speed);
        let seen = bench.target_view("t").speed;
        let ratio = seen as f64 / f64::from(speed);
        assert!((0.6..=1.7).contains(&ratio), "{seen} at {speed}");
    }
}

#[test]
fn mixed_lengths() {
    // Guards against overestimating the speed of a loaded target: a sample of a
    // short request must not count the whole cost of the long ones that run beside
    // it.
    let mut bench = bench_of(&[target("a", "d", 200_000)]);
    for request in 0..10 {
        bench.granted(&with_cost(permit_request(request, 1, "a"), 5_000, 5_000));
    }
    for request in 10..20 {
        let short = permit_request(request, 1, "a");
        let permit = bench.granted(&short);
        bench.tick_after(1_100);
        bench.release(&permit, finished(short.cost, 1_100));
    }
    let seen = bench.target_view("a").speed;
    assert!((800..=1_200).contains(&seen), "{seen} tokens per second");
}

#[test]
fn stalled_target() {
    // Guards against requests that pile up on a stalled target because its speed is
    // only updated when requests finish.
    let mut slow = target("b", "d", 100_000);
    slow.expected_speed = 200;
    let mut bench = bench_of(&[target("a", "d", 100_000), slow]);
    let mut stuck = 0;
    let mut done = 0;
    let mut on_slow = VecDeque::new();
    for request in 0..200 {
        let permit_request = permit_request(request, 1, "a");
        let mut actions = bench.request_permit(&permit_request);
        actions.extend(bench.tick_after(100));
        // The slower target completes one request every half second.
        let granted_at = match request % 5 {
            4 => on_slow.pop_front(),
            _ => None,
        };
        if let Some((granted_at, permit)) = granted_at {
            let elapsed_ms = bench.now.since(granted_at).as_millis() as u32;
            actions.extend(bench.release(&permit, finished(permit_request.cost, elapsed_ms)));
            done += 1;
        }
        for permit in permits(&actions) {
            match permit.target.as_str() {
                "a" => stuck += 1,
                _ => on_slow.push_back((bench.now, permit)),
            }
        }
    }
    assert!(stuck <= 20, "{stuck} of 200 went to the stalled target");
    assert!(done >= 35, "the other target completed {done} of 40");
}

#[test]
fn slow_recovery() {
    // Guards against a recovered target that stays idle: without requests its speed
    // is not measured, so the estimate must recover with time.
    let mut bench = bench_of(&[target("a", "d", 100_000)]);
    run_each(&mut bench, 0..4, 100);
    let before = bench.target_view("a").speed;
    bench.tick_after(120_000);
    let after = bench.target_view("a").speed;
    assert!(before < 200 && after > 700, "{before} then {after}");
}

#[test]
fn warm_prefix() {
    let mut bench = bench_of(&[target("a", "d", 10_000), target("b", "d", 10_000)]);
    let log = with_cost(
        with_prefixes(permit_request(1, 1, "a"), &[11, 12, 13]),
        900,
        10,
    );
    let first = bench.granted(&log);
    let mut next = log.clone();
    next.attempt = attempt_of(ENTRY_INCARNATION, 2);
    bench.release(&first, finished(log.cost, 900));
    bench.granted(&permit_request(3, 1, "other"));
    let second = bench.granted(&next);
    assert_eq!(second.target, first.target);
    // A late cache event reports the eviction, so the hint is removed.
    let outcome = finished(next.cost, 900);
    bench.release(&second, outcome);
    bench.granted(&with_cost(permit_request(4, 1, "other"), 100, 100));
    for hash in [11, 12, 13] {
        let hash = PrefixHash(hash);
        bench.event(OwnerEvent::Prefix(first.target.clone(), hash, false));
    }
    assert_eq!(bench.view().prefixes, 0);
}

#[test]
fn unused_prefix() {
    // The hint of a request that never reached the target is removed.
    let mut bench = bench_of(&[target("a", "d", 10_000)]);
    let permit = bench.granted(&with_prefixes(permit_request(1, 1, "a"), &[11, 12]));
    assert_eq!(bench.view().prefixes, 2);
    bench.release(&permit, ReleaseOutcome::Unused);
    assert_eq!(bench.view().prefixes, 0);
}

#[test]
fn ineffective_cache() {
    // Guards against requests queued on one target for a prefix cache that is too
    // small to save anything: the measured hit ratio must correct the hints.
    let mut bench = bench_of(&[target("a", "d", 100_000), target("b", "d", 100_000)]);
    let log = with_cost(with_prefixes(permit_request(0, 1, "a"), &[11]), 1_000, 10);
    let mut next = 0;
    let mut together = |bench: &mut OwnerBench| {
        let mut permits = Vec::new();
        for _ in 0..2 {
            next += 1;
            let mut permit_request = log.clone();
            permit_request.attempt = attempt_of(ENTRY_INCARNATION, next);
            permits.push(bench.granted(&permit_request));
        }
        for permit in &permits {
            bench.release(permit, finished(log.cost, 1_000));
        }
        permits[0].target == permits[1].target
    };
    together(&mut bench);
    let mut spread = 0;
    for _ in 0..10 {
        spread += usize::from(!together(&mut bench));
    }
    assert!(spread >= 8, "{spread} of 10 pairs used both targets");
}

#[test]
fn probe_eligibility() {
    // Guards against requests that must not run twice being used to probe a failing
    // target.
    let mut bench = bench_of(&[target("a", "d", 10_000), target("b", "d", 10_000)]);
    let first = bench.granted(&permit_request(1, 1, "a"));
    assert_eq!(first.target.as_str(), "a");
    bench.release(&first, ReleaseOutcome::Unreachable);
    bench.tick_after(600);
    for request in 10..14 {
        let holder = incarnation_of("entry", 7);
        let keyed = with_claim(
            permit_request(request, 1, "a"),
            u128::from(request),
            holder,
            false,
        );
        assert_eq!(bench.granted(&keyed).target.as_str(), "b");
    }
    assert_eq!(
        bench.granted(&permit_request(20, 1, "a")).target.as_str(),
        "a"
    );
    let second = bench.granted(&permit_request(21, 1, "a"));
    assert_eq!(second.target.as_str(), "b", "one probe");
}

#[test]
fn probe_after_failure() {
    // Guards against one request that uses up its retries as the probe of several
    // failed targets while others work.
    let dead = [target("a", "d", 10_000), target("b", "d", 10_000)];
    let live = ["c", "d", "e"].map(|name| target(name, "d", 10_000));
    let mut bench = bench_of(&[&dead[..], &live[..]].concat());
    for (request, dead) in (1..).zip(&dead) {
        let permit = bench.granted(&permit_request(request, 1, "a"));
        assert_eq!(permit.target, dead.name);
        bench.release(&permit, ReleaseOutcome::Unreachable);
    }
    // Probes by any request are also due by then.
    bench.tick_after(10_000);
    let probe = bench.granted(&permit_request(10, 1, "a"));
    assert_eq!(probe.target.as_str(), "a");
    bench.release(&probe, ReleaseOutcome::Unreachable);
    let mut again = permit_request(10, 1, "a");
    again.attempt.attempt = 1;
    again.avoid = vec![probe.target];
    assert_eq!(bench.granted(&again).target.as_str(), "c");
}

#[test]
fn all_failing() {
    // Guards against a backoff that never ends when the only target of a pool has
    // recovered.
    let mut bench = bench_of(&[target("a", "d", 10_000)]);
    let first = bench.granted(&permit_request(1, 0, "a"));
    bench.release(&first, ReleaseOutcome::Unreachable);
    assert!(permits(&bench.request_permit(&permit_request(2, 0, "a"))).is_empty());
    let actions = bench.tick_after(500);
    assert_eq!(granted_requests(&actions), [2]);
    let probe = permits(&actions)[0].clone();
    assert!(permits(&bench.request_permit(&permit_request(3, 0, "a"))).is_empty());
    let actions = bench.release(&probe, finished(permit_request(2, 0, "a").cost, 100));
    assert_eq!(granted_requests(&actions), [3]);
    assert!(!bench.target_view("a").backed_off);
}

#[test]
fn two_owners() {
    // Guards against a target that two owners overload during a partition: each
    // must take the load reported by the target into account.
    let pair = [0, 1].map(|_| bench_of(&[target("a", "d", 1_000)]));
    let mut held: [Vec<Permit>; 2] = [Vec::new(), Vec::new()];
    let mut pair = pair;
    let mut request = 0;
    for _round in 0..200 {
        for (bench, held) in pair.iter_mut().zip(&mut held) {
            request += 1;
            held.extend(permits(
                &bench.request_permit(&permit_request(request, 1, "a")),
            ));
            held.extend(permits(&bench.tick_after(100)));
        }
        let total = 100 * (held[0].len() + held[1].len()) as u64;
        assert!(total <= 2_000, "{total} tokens on a limit of 1000");
        let report = load_report(1, 0, total, 0);
        for (bench, held) in pair.iter_mut().zip(&mut held) {
            bench.event(OwnerEvent::Load(named("a"), report));
            if held.len() > 1 {
                let permit = held.remove(0);
                bench.release(&permit, ReleaseOutcome::Unused);
            }
        }
    }
    let total = 100 * (held[0].len() + held[1].len());
    assert!(total <= 1_200, "{total} tokens once both see the reports");
}

#[test]
fn allowed_domains() {
    // Guards against requests sent outside the failure domains that their rule
    // allows when these have no target left.
    let targets = [target("a", "north", 10_000), target("b", "south", 10_000)];
    let mut bench = bench_of(&targets);
    let mut north = with_domain(permit_request(1, 1, "a"), "north");
    assert_eq!(bench.granted(&north).target.as_str(), "a");
    bench.event(OwnerEvent::Targets(vec![targets[1].clone()]));
    north.attempt = attempt_of(ENTRY_INCARNATION, 2);
    let refused = refusals(&bench.request_permit(&north));
    assert_eq!(refused[0].reason, RefusalReason::NoTarget);
    assert_eq!(
        bench.target_view("a").permits,
        1,
        "requests in flight are still counted"
    );
}

#[test]
fn draining_target() {
    let targets = [target("a", "d", 100), target("b", "d", 100)];
    let mut bench = bench_of(&targets);
    let first = bench.granted(&permit_request(1, 1, "a"));
    bench.granted(&permit_request(2, 1, "a"));
    bench.request_permit(&permit_request(3, 1, "a"));
    bench.event(OwnerEvent::Targets(vec![targets[1].clone()]));
    assert_eq!(first.target.as_str(), "a");
    assert!(permits(&bench.release(&first, ReleaseOutcome::Unused)).is_empty());
    assert_eq!(
        bench.view().targets.len(),
        1,
        "removed with its last permit"
    );
}

#[test]
fn blocked_domain() {
    // Guards against requests for a full failure domain that block those for
    // others.
    let mut bench = bench_of(&[target("a", "north", 100), target("b", "south", 100)]);
    for request in 0..300 {
        let north = with_domain(permit_request(request, 0, "a"), "north");
        bench.request_permit(&north);
    }
    let south = with_domain(permit_request(900, 2, "b"), "south");
    assert_eq!(bench.granted(&south).target.as_str(), "b");
}

#[test]
fn capacity_for_short() {
    // Guards against long requests that occupy the whole capacity, so that short
    // ones have to wait for their end on every target.
    let targets = [target("a", "d", 20_000), target("b", "d", 20_000)];
    let mut bench = bench_of(&targets);
    for request in 0..16 {
        let permit = bench.granted(&permit_request(request, 1, "a"));
        bench.release(&permit, ReleaseOutcome::Unused);
    }
    let mut long_targets = Vec::new();
    for request in 100..120 {
        let long = with_cost(permit_request(request, 1, "b"), 4_000, 1_000);
        long_targets.extend(permits(&bench.request_permit(&long)));
    }
    let count = long_targets.len();
    assert_eq!(count, 3, "three quarters of one of two targets");
    bench.granted(&permit_request(200, 2, "a"));
}

#[test]
fn oversized_request() {
    let mut bench = bench_of(&[target("a", "d", 100)]);
    let permit = bench.granted(&with_cost(permit_request(1, 1, "a"), 5_000, 5_000));
    assert!(permits(&bench.request_permit(&permit_request(2, 1, "a"))).is_empty());
    let actions = bench.release(&permit, ReleaseOutcome::Unused);
    assert_eq!(granted_requests(&actions), [2]);
}

#[test]
fn adaptive_limit() {
    let mut bench = bench_of(&[target("a", "d", 16_000)]);
    run_each(&mut bench, 0..4, 1000);
    run_each(&mut bench, 10..40, 50);
    let shrunk = bench.target_view("a").limit;
    run_each(&mut bench, 50..80, 1000);
    let regrown = bench.target_view("a").limit;
    assert!(shrunk <= 4_000, "{shrunk}");
    assert!(shrunk >= 1_000, "below the minimum limit: {shrunk}");
    assert_eq!(regrown, 16_000);
}

#[test]
fn short_answer_limit() {
    // Guards against the limit of a healthy target falling to its minimum because
    // the time per token of very short answers is used as the best one.
    let mut bench = bench_of(&[target("a", "d", 16_000)]);
    for request in 0..20 {
        let tag = with_cost(permit_request(2 * request, 1, "a"), 250, 3);
        let permit = bench.granted(&tag);
        bench.release(&permit, finished(tag.cost, 300));
        run_once(&mut bench, 2 * request + 1, 50);
    }
    assert_eq!(bench.target_view("a").limit, 16_000);
}

#[test]
fn failing_target() {
    // Guards against a target that gets every request because it fails immediately
    // and so appears to be the fastest.
    let names = ["a", "b", "c"];
    let targets = names.map(|name| target(name, "d", 10_000));
    let mut bench = bench_of(&targets);
    let mut failed = 0;
    let mut back_offs = 0;
    for request in 0..600 {
        let permit_request = permit_request(request, 1, "a");
        let permit = bench.granted(&permit_request);
        bench.tick_after(100);
        let outcome = match permit.target.as_str() {
            "a" => ReleaseOutcome::Unreachable,
            _ => finished(permit_request.cost, 100),
        };
        failed += usize::from(outcome == ReleaseOutcome::Unreachable);
        back_offs += backed_off(&bench.release(&permit, outcome));
    }
    assert_eq!(back_offs, 1);
    assert!((3..=9).contains(&failed), "{failed} of 600 in a minute");
    let mut recovered = false;
    for request in 1_000..1_400 {
        let permit_request = permit_request(request, 1, "a");
        let permit = bench.granted(&permit_request);
        bench.tick_after(100);
        recovered |= permit.target.as_str() == "a";
        bench.release(&permit, finished(permit_request.cost, 100));
    }
    assert!(recovered, "no probe found that the target has recovered");
    assert!(!bench.target_view("a").backed_off);
}

#[test]
fn bad_requests() {
    // Guards against backing off most targets of a pool because of one client
    // account's bad requests, which fail on every target.
    let names = ["a", "b", "c", "e"];
    let targets = names.map(|name| target(name, "d", 10_000));
    let mut bench = bench_of(&targets);
    for request in 0..40 {
        let permit = bench.granted(&permit_request(request, 1, "bad"));
        bench.release(&permit, ReleaseOutcome::Failed(Usage::default()));
    }
    let views = bench.view().targets;
    let active = views.iter().filter(|view| view.backed_off).count();
    assert!(active <= 2, "{active} of 4 backed off");
}

#[test]
fn full_target() {
    let mut bench = bench_of(&[target("a", "d", 10_000), target("b", "d", 10_000)]);
    let held: Vec<Permit> = (0..20)
        .map(|n| bench.granted(&permit_request(n, 1, "a")))
        .collect();
    let on_a = held.iter().filter(|permit| permit.target.as_str() == "a");
    let mut on_a = on_a.cloned().collect::<Vec<Permit>>();
    let refused = on_a.pop().expect("a permit for a");
    let actions = bench.release(&refused, ReleaseOutcome::Refused);
    assert_eq!(backed_off(&actions), 0);
    let view = bench.target_view("a");
    assert_eq!(view.limit, view.outstanding_tokens);
    assert_eq!(
        bench.granted(&permit_request(50, 1, "a")).target.as_str(),
        "b"
    );
}

#[test]
fn batch_size() {
    // Guards against requests queued inside a target that has capacity in tokens
    // but whose batch is full.
    let mut bench = bench_of(&[target("a", "d", 100_000)]);
    let mut held: Vec<Permit> = (0..8)
        .map(|n| bench.granted(&permit_request(n, 1, "a")))
        .collect();
    let mut report = load_report(4, 4, 800, 0);
    bench.event(OwnerEvent::Load(named("a"), report));
    assert!(permits(&bench.request_permit(&permit_request(10, 1, "a"))).is_empty());
    for _ in 0..3 {
        let permit = held.pop().expect("a permit");
        assert!(permits(&bench.release(&permit, ReleaseOutcome::Unused)).is_empty());
    }
    let permit = held.pop().expect("a permit");
    let actions = bench.release(&permit, ReleaseOutcome::Unused);
    assert_eq!(
        granted_requests(&actions),
        [10],
        "one request is queued at the target"
    );
    report.waiting = 0;
    bench.event(OwnerEvent::Load(named("a"), report));
    assert_eq!(
        permits(&bench.request_permit(&permit_request(11, 1, "a"))).len(),
        1,
        "the limit increases"
    );
    assert!(
        permits(&bench.request_permit(&permit_request(12, 1, "a"))).is_empty(),
        "by one only"
    );
}

#[test]
fn stale_report() {
    // Guards against attributing requests that ended after a load report was made
    // to another owner: a report is compared with the load at its own time.
    let mut bench = bench_of(&[target("a", "d", 10_000)]);
    let permit = bench.granted(&with_cost(permit_request(1, 1, "a"), 500, 500));
    bench.tick_after(1_000);
    bench.release(&permit, ReleaseOutcome::Unused);
    bench.tick_after(1_000);
    let mut report = load_report(1, 0, 1_000, 1_500);
    bench.event(OwnerEvent::Load(named("a"), report));
    assert_eq!(bench.target_view("a").foreign_tokens, 0);
    report.outstanding_tokens = 5_000;
    report.age_ms = 0;
    bench.event(OwnerEvent::Load(named("a"), report));
    assert_eq!(bench.target_view("a").foreign_tokens, 5_000);
    bench.tick_after(20_000);
    assert!(bench.target_view("a").foreign_tokens < 10, "it decays");
}
