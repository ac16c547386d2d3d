//! Tests the preference for targets to which the asking host has an idle connection.

mod connection_fleet;
mod owner_bench;

use bergamotswitch_core::pool_owner::SchedulingOptions;
use bergamotswitch_core::pool_owner::host_connections::HostConnections;
use connection_fleet::*;
use owner_bench::*;

const TOLERANCE: f64 = 0.2;

/// A small owner with two targets of one slot each.
fn bench(tolerance: Option<f64>, slots: u32) -> OwnerBench {
    let scheduling = SchedulingOptions {
        idle_connection_tolerance: tolerance,
        ..SchedulingOptions::default()
    };
    let opts = OwnerOptions::default().with_scheduling(scheduling);
    OwnerBench::with_targets(opts.with_connection_keep(KEEP), &targets(slots, None))
}

fn targets(slots: u32, started_at_ms: Option<u64>) -> Vec<PoolTarget> {
    let names = ["a", "b", "c", "d"].into_iter();
    let targets = names.map(|name| PoolTarget {
        slots: Some(slots),
        started_at_ms,
        ..target(name, "x", 700_000)
    });
    targets.collect()
}

fn call(bench: &mut OwnerBench, host: &str, number: u64) -> Permit {
    let request = Box::new(permit_request(number, 1, "account"));
    let message = OwnerMessage::PermitRequest(request);
    let actions = bench.event(OwnerEvent::Message(named(host), message));
    permits(&actions)[0].clone()
}

fn finish(bench: &mut OwnerBench, permit: &Permit) {
    bench.tick_after(100);
    bench.release(
        permit,
        ReleaseOutcome::Finished(usage(cost_of(50, 50), 100)),
    );
}

/// Let every target complete a run of the same time.
fn measure(bench: &mut OwnerBench) {
    let permits: Vec<Permit> = (900..904)
        .map(|number| call(bench, "other", number))
        .collect();
    permits.iter().for_each(|permit| finish(bench, permit));
}

/// Get the likely number of idle connections, of reused and of opened ones.
fn seen(bench: &OwnerBench) -> (usize, u64, u64) {
    let view = bench.view().connections.expect("the option is on");
    (view.idle, view.reused, view.opened)
}

/// Get the new connections with the preference as a fraction of those without, and what
/// happened to the callers.
fn compare(load: f64, target_keep: Duration) -> (f64, FleetTotals, FleetTotals) {
    let plan = FleetPlan {
        target_keep,
        ..FleetPlan::new(load, None)
    };
    let without = ConnectionFleet::new(plan).run();
    let plan = FleetPlan {
        tolerance: Some(TOLERANCE),
        ..plan
    };
    let with = ConnectionFleet::new(plan).run();
    println!("{load} {target_keep:?} without {without:?}\nwith {with:?}");
    let fraction = with.opened_fraction() / without.opened_fraction();
    println!("{fraction:.2} of {:.3}", without.opened_fraction());
    (fraction, without, with)
}

/// Check that run times grow by less than 1% and that callers get the same worth.
fn assert_unharmed(without: &FleetTotals, with: &FleetTotals) {
    let ((measured, expected), (was_measured, was_expected)) =
        (with.slowdowns(), without.slowdowns());
    assert!(measured < 1.01 * was_measured, "{measured} {was_measured}");
    assert!(expected < 1.01 * was_expected, "{expected} {was_expected}");
    assert!(with.worth > 0.995 * without.worth, "{with:?} {without:?}");
}

// Guards against hosts that meet every target anew while most slots are free.
#[test]
fn light_load() {
    for load in [0.3, 0.6] {
        let (fraction, without, with) = compare(load, NEVER_CLOSED);
        assert!(
            without.opened_fraction() > 0.3,
            "the load opens connections"
        );
        assert!(fraction <= 0.6, "{fraction}");
        assert_unharmed(&without, &with);
    }
}

// Guards against a preference that costs callers something when slots are scarce.
#[test]
fn overload_unharmed() {
    let (_, without, with) = compare(1.5, NEVER_CLOSED);
    assert_unharmed(&without, &with);
}

// Guards against new connections for most calls when slots are scarce.
#[test]
fn overload_reuse() {
    let (fraction, ..) = compare(1.5, NEVER_CLOSED);
    assert!(fraction <= 0.6, "{fraction}");
}

// Guards against harm by targets that close idle connections earlier than the owner
// assumes.
#[test]
fn early_close() {
    let (fraction, without, with) = compare(0.3, Duration::from_secs(2));
    assert!(fraction <= 0.8, "{fraction}");
    assert_unharmed(&without, &with);
}

// Guards against two calls at once over one connection, and connections that outlive
// their time or a failure.
#[test]
fn one_call_each() {
    let mut bench = bench(Some(TOLERANCE), 5);
    measure(&mut bench);
    let first = call(&mut bench, "host", 1);
    finish(&mut bench, &first);
    let again = call(&mut bench, "host", 2);
    assert_eq!(again.target, first.target);
    assert_eq!(seen(&bench), (4, 1, 5));
    let second = call(&mut bench, "host", 3);
    assert_eq!(second.target, first.target, "of the host's stable subset");
    assert_eq!(seen(&bench), (4, 1, 6), "its connection is in use");
    bench.release(&again, ReleaseOutcome::Failed(Usage::default()));
    finish(&mut bench, &second);
    assert_eq!(seen(&bench).0, 5);
    bench.tick_after(8_000);
    call(&mut bench, "host", 4);
    assert_eq!(seen(&bench).2, 7, "expired");
}

// Guards against a request that waits for a connection, or gets a slow target for it.
#[test]
fn slot_at_once() {
    let mut bench = bench(Some(TOLERANCE), 1);
    measure(&mut bench);
    let first = call(&mut bench, "host", 1);
    finish(&mut bench, &first);
    let taken: Vec<Permit> = (2..6)
        .map(|number| call(&mut bench, "host", number))
        .collect();
    assert_eq!(taken[0].target, first.target);
    assert_eq!(seen(&bench).1, 1, "the others are used at once");
    // The target with the connection becomes slower than the tolerance allows.
    taken[1..]
        .iter()
        .for_each(|permit| finish(&mut bench, permit));
    bench.tick_after(900);
    let slow = usage(cost_of(50, 50), 2_000);
    bench.release(&taken[0], ReleaseOutcome::Finished(slow));
    assert_ne!(call(&mut bench, "host", 6).target, first.target);
}

// Guards against connections that a restart, a lost host or an unreachable target ended.
#[test]
fn restarts_forgotten() {
    let mut bench = bench(Some(TOLERANCE), 5);
    bench.event(OwnerEvent::Targets(targets(5, Some(1))));
    measure(&mut bench);
    assert_eq!(seen(&bench).0, 4);
    let permit = call(&mut bench, "host", 1);
    finish(&mut bench, &permit);
    bench.event(OwnerEvent::HostTerminated(named("host"), ENTRY_INCARNATION));
    assert_eq!(seen(&bench).0, 4, "those of the lost host");
    let permit = call(&mut bench, "other", 2);
    bench.release(&permit, ReleaseOutcome::Unreachable);
    assert_eq!(seen(&bench).0, 3, "those to the unreachable target");
    bench.event(OwnerEvent::Targets(targets(5, Some(2))));
    assert_eq!(seen(&bench).0, 0, "those to restarted targets");
}

// Guards against a subset that changes with the owner, and is the same for all hosts.
#[test]
fn stable_subset() {
    let first_of = |host: &str| {
        let mut bench = bench(Some(TOLERANCE), 5);
        measure(&mut bench);
        call(&mut bench, host, 1).target
    };
    let hosts = (0..20).map(|number| format!("host-{number}"));
    let firsts: Vec<_> = hosts
        .map(|host| (first_of(&host), first_of(&host)))
        .collect();
    assert!(firsts.iter().all(|(first, again)| first == again));
    let distinct: std::collections::BTreeSet<_> = firsts.iter().map(|(first, _)| first).collect();
    assert_eq!(distinct.len(), 4);
}

// Guards against memory that grows with the number of hosts and targets.
#[test]
fn bounded_records() {
    let mut connections = HostConnections::new(KEEP, 100);
    let now = Moment::from_millis(1_000);
    for number in 0..300 {
        let (host, target) = (
            named(&format!("h{}", number / 3)),
            named(&format!("t{number}")),
        );
        connections.record_idle(now, &host, &target);
    }
    assert_eq!(connections.len(), 100);
    assert!(connections.has_idle(now, &named("h99"), &named("t299")));
    assert!(!connections.has_idle(now, &named("h0"), &named("t0")));
}
