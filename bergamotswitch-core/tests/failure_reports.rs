//! Tests of failures of a target that entry hosts report to a shard's owner.

mod owner_bench;

use owner_bench::*;

fn bench() -> OwnerBench {
    let targets = ["a", "b", "c", "d"].map(|name| target(name, "d", 100_000));
    OwnerBench::with_targets(OwnerOptions::default(), &targets)
}

/// Grant a request to the host, and let it report the outcome. Get the target.
fn run(bench: &mut OwnerBench, host: &str, sequence: u64, outcome: ReleaseOutcome) -> String {
    let request = permit_request(sequence, 1, "a");
    let message = OwnerMessage::PermitRequest(Box::new(request));
    let actions = bench.event(OwnerEvent::Message(named(host), message));
    let permit = permits(&actions).remove(0);
    let message = released(&permit, outcome);
    bench.event(OwnerEvent::Message(named(host), message));
    permit.target.to_string()
}

/// Let a host report this outcome of so many runs at each of four targets in turn.
fn report(bench: &mut OwnerBench, host: &str, first: u64, outcomes: &[ReleaseOutcome]) {
    for (number, outcome) in (first..).zip(outcomes) {
        run(bench, host, number, *outcome);
        bench.now = bench.now.plus(Duration::from_millis(10));
    }
}

fn backed_off(bench: &OwnerBench) -> usize {
    let targets = bench.view().targets;
    targets.iter().filter(|view| view.backed_off).count()
}

fn done() -> ReleaseOutcome {
    ReleaseOutcome::Finished(Usage {
        prefill: 50,
        decode: 50,
        elapsed_ms: 20,
        ..Usage::default()
    })
}

/// Let a host finish runs until each target has had one.
fn finish_everywhere(bench: &mut OwnerBench, host: &str, first: u64) {
    let mut seen = std::collections::BTreeSet::new();
    let held: Vec<Permit> = (first..first + 40)
        .filter_map(|sequence| {
            let request = permit_request(sequence, 1, "a");
            let message = OwnerMessage::PermitRequest(Box::new(request));
            let actions = bench.event(OwnerEvent::Message(named(host), message));
            permits(&actions).pop()
        })
        .collect();
    bench.now = bench.now.plus(Duration::from_millis(20));
    for permit in held {
        seen.insert(permit.target.clone());
        let message = released(&permit, done());
        bench.event(OwnerEvent::Message(named(host), message));
    }
    assert_eq!(seen.len(), 4);
}

/// Guards against a target that all hosts lose because one host does not reach it.
#[test]
fn one_host() {
    for outcome in [
        ReleaseOutcome::Unreachable,
        ReleaseOutcome::Failed(Usage::default()),
    ] {
        let mut bench = bench();
        finish_everywhere(&mut bench, "sound", 1);
        report(&mut bench, "cut", 100, &[outcome; 12]);
        assert_eq!(backed_off(&bench), 0, "{outcome:?}");
    }
}

/// Guards against a failed target that stays in use although two hosts report it.
#[test]
fn two_hosts() {
    let mut bench = bench();
    finish_everywhere(&mut bench, "sound", 1);
    report(&mut bench, "one", 100, &[ReleaseOutcome::Unreachable]);
    assert_eq!(backed_off(&bench), 0);
    report(&mut bench, "two", 200, &[ReleaseOutcome::Unreachable]);
    assert_eq!(backed_off(&bench), 1);
}

/// Guards against a failed target that stays in use because the only host that uses it
/// is not believed.
#[test]
fn sole_host() {
    let mut bench = bench();
    finish_everywhere(&mut bench, "sole", 1);
    report(&mut bench, "sole", 100, &[ReleaseOutcome::Unreachable]);
    assert_eq!(backed_off(&bench), 1);
}

/// Guards against a failed target that stays in use because another host reached it
/// long ago.
#[test]
fn old_success() {
    let mut bench = bench();
    finish_everywhere(&mut bench, "sound", 1);
    bench.tick_after(3_000);
    report(&mut bench, "other", 100, &[ReleaseOutcome::Unreachable]);
    assert_eq!(backed_off(&bench), 1);
}
