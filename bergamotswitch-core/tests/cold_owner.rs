//! Tests of an owner some of whose targets are cold.

mod owner_bench;

use bergamotswitch_core::cold_targets::ColdTarget;
use bergamotswitch_core::pool_owner::ColdTolerance;
use bergamotswitch_core::target::RequestRate;
use owner_bench::*;

/// What a cold target bears, how far it may be exceeded, and so what is allowed in any
/// second.
const RATE: f64 = 18.0;
const TOLERANCE: ColdTolerance = ColdTolerance {
    factor: 1.5,
    slack: 5.0,
};
const ALLOWED: usize = 32;

/// The step between two requests, in milliseconds: 200 requests a second.
const STEP_MS: u64 = 5;

fn bench(targets: &[&str]) -> OwnerBench {
    let options = OwnerOptions::default().with_cold_tolerance(TOLERANCE);
    let targets: Vec<PoolTarget> = targets
        .iter()
        .map(|name| PoolTarget {
            slots: Some(16),
            ..target(name, "north", 100_000)
        })
        .collect();
    let mut bench = OwnerBench::with_targets(options, &targets);
    bench.event(OwnerEvent::Hosts(vec![named("owner")]));
    bench
}

fn cold(bench: &mut OwnerBench, names: &[&str], per_second: f64, for_ms: u64) -> Vec<OwnerAction> {
    let rate = RequestRate::try_from(per_second).expect("a rate");
    let until = bench.now.plus(Duration::from_millis(for_ms));
    let limits = names
        .iter()
        .map(|name| (named(name), ColdTarget { rate, until }));
    let limits = limits.collect();
    bench.event(OwnerEvent::ColdTargets(limits))
}

/// End all runs whose permits were granted, and those that are granted instead; get their
/// targets.
fn finish_all(bench: &mut OwnerBench, mut actions: Vec<OwnerAction>) -> Vec<String> {
    let mut targets = Vec::new();
    while !permits(&actions).is_empty() {
        let granted = permits(&std::mem::take(&mut actions));
        for permit in granted {
            targets.push(permit.target.to_string());
            let finished = ReleaseOutcome::Finished(usage(cost_of(50, 50), 30));
            actions.extend(bench.release(&permit, finished));
        }
    }
    targets
}

/// Send requests for a time, each of which ends at once, and get when each target got one,
/// in milliseconds.
fn load(bench: &mut OwnerBench, first: u64, for_ms: u64) -> Vec<(u64, String)> {
    load_every(bench, first, for_ms, STEP_MS)
}

fn load_every(bench: &mut OwnerBench, first: u64, for_ms: u64, step_ms: u64) -> Vec<(u64, String)> {
    let mut arrivals = Vec::new();
    for number in 0..for_ms / step_ms {
        let request = permit_request(first + number, 1, "crew");
        let mut actions = bench.request_permit(&request);
        actions.extend(bench.tick_after(step_ms));
        let targets = finish_all(bench, actions);
        arrivals.extend(targets.into_iter().map(|target| (number * step_ms, target)));
    }
    arrivals
}

/// Get the most requests that one target got in any second.
fn most_in_a_second(arrivals: &[(u64, String)], target: &str) -> usize {
    let times = arrivals.iter().filter(|(_, name)| name == target);
    let times: Vec<u64> = times.map(|(at, _)| *at).collect();
    let counts = times.iter().enumerate().map(|(first, begin)| {
        let later = times[first..].iter();
        later.take_while(|at| **at < begin + 1_000).count()
    });
    counts.max().unwrap_or(0)
}

/// Guards against the usual load for a cold target, and against one that gets less than it
/// bears while work waits.
#[test]
fn within_bound() {
    let mut bench = bench(&["t1", "t2"]);
    load(&mut bench, 1, 1_000);
    cold(&mut bench, &["t1", "t2"], RATE, 4_000);
    let arrivals = load(&mut bench, 1_000, 3_900);
    for target in ["t1", "t2"] {
        let most = most_in_a_second(&arrivals, target);
        assert!(most <= ALLOWED, "{target} got {most} in a second");
        let all = arrivals.iter().filter(|(_, name)| name == target).count();
        assert!(all as f64 > 0.8 * RATE * 3.9, "{target} got {all}");
    }
}

/// Guards against a target that is held back after it has warmed up.
#[test]
fn warm_again() {
    let mut bench = bench(&["t1"]);
    load(&mut bench, 1, 500);
    cold(&mut bench, &["t1"], RATE, 1_000);
    load(&mut bench, 1_000, 995);
    let warmed = bench.tick_after(10);
    let logs_warm = |action: &OwnerAction| matches!(action, OwnerAction::LogIncident(incident, ..) if incident.number() == 715);
    assert!(warmed.iter().any(logs_warm), "{warmed:?}");
    finish_all(&mut bench, warmed);
    let arrivals = load(&mut bench, 2_000, 1_000);
    assert!(arrivals.len() > 150, "{}", arrivals.len());
}

/// Guards against a missing event 715 for a target whose registration shows it warm before its
/// time is over.
#[test]
fn shown_warm() {
    let mut bench = bench(&["t1", "t2"]);
    cold(&mut bench, &["t1"], RATE, 4_000);
    bench.tick_after(100);
    let warmed = cold(&mut bench, &[], RATE, 0);
    let is_warm = |action: &&OwnerAction| matches!(action, OwnerAction::LogIncident(incident, _, Some(name), _) if incident.number() == 715 && name.as_str() == "t1");
    assert_eq!(warmed.iter().filter(is_warm).count(), 1, "{warmed:?}");
    let again = cold(&mut bench, &[], RATE, 0);
    assert_eq!(again.iter().filter(is_warm).count(), 0, "{again:?}");
}

/// Guards against a target that turned cold shortly before its owner learns it, and gets
/// what it bears in addition to the usual load of that time.
#[test]
fn learned_late() {
    const LAG_MS: u64 = 200;
    const USUAL_STEP_MS: u64 = 10;
    let mut bench = bench(&["t1"]);
    load_every(&mut bench, 1, 1_000, USUAL_STEP_MS);
    let mut arrivals = load_every(&mut bench, 1_000, LAG_MS, USUAL_STEP_MS);
    cold(&mut bench, &["t1"], RATE, 4_000);
    let later = load_every(&mut bench, 2_000, 1_500, USUAL_STEP_MS).into_iter();
    arrivals.extend(later.map(|(at, name)| (at + LAG_MS, name)));
    let most = most_in_a_second(&arrivals, "t1");
    assert!(most <= ALLOWED, "{most}");
    // The owner holds the target back only for a moment.
    assert!(arrivals.len() > 30, "{}", arrivals.len());
}

/// Guards against targets that are new to the owner and get the usual load before it is told
/// that they are cold.
#[test]
fn new_and_cold() {
    let mut bench = bench(&["t1"]);
    cold(&mut bench, &["t2"], RATE, 3_000);
    let added = PoolTarget {
        slots: Some(16),
        ..target("t2", "north", 100_000)
    };
    bench.event(OwnerEvent::Targets(vec![added]));
    let arrivals = load(&mut bench, 1, 2_900);
    let most = most_in_a_second(&arrivals, "t2");
    assert!(most <= ALLOWED, "{most}");
}

/// Guards against hosts without an owner that each send a cold target a request.
#[test]
fn owner_of_one_host() {
    let mut bench = bench(&["t1", "t2"]);
    bench.event(OwnerEvent::Hosts(Vec::new()));
    cold(&mut bench, &["t1"], RATE, 3_000);
    let arrivals = load(&mut bench, 1, 2_900);
    assert_eq!(most_in_a_second(&arrivals, "t1"), 0);
    assert!(most_in_a_second(&arrivals, "t2") > 100);
}

/// Guards against work that waits for targets that bear nothing, and against a caller who is
/// sent away for longer than they are cold.
#[test]
fn all_closed() {
    let mut bench = bench(&["t1", "t2"]);
    load(&mut bench, 1, 500);
    cold(&mut bench, &["t1", "t2"], 0.0, 2_000);
    let mut refused = Vec::new();
    for number in 0..20 {
        let request = PermitRequest {
            first_answer_ms: Some(200),
            deadline_ms: 500,
            ..permit_request(5_000 + number, 1, "crew")
        };
        let actions = bench.request_permit(&request);
        assert!(permits(&actions).is_empty());
        let times = refusals(&actions).into_iter();
        refused.extend(times.map(|refusal| refusal.retry_after_ms));
    }
    assert_eq!(refused.len(), 20, "kept waiting");
    let longest = refused.iter().max().expect("a refusal");
    assert!(*longest <= 2_000, "{longest}");
}
