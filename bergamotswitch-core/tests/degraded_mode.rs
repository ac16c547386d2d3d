//! Tests of when a host that has lost the owner of a shard admits requests on its own.

mod fleet;

use fleet::*;

/// Long enough that the loss of an owner is detected and the next candidate acts.
const TAKEOVER: Duration = Duration::from_secs(8);

fn ownerless_reports(fleet: &Fleet, name: &HostName) -> usize {
    fleet.nodes[name].ownerless_reports
}

/// Run the fleet for `span`. Deny ownership of the shard to each host that considers a
/// candidate the owner that does not act.
fn run_with_denials(fleet: &mut Fleet, span: Duration) {
    let step = Duration::from_millis(50);
    for _ in 0..span.as_millis() / step.as_millis() {
        fleet.run(step);
        let owners = fleet.owners_of(&shard(0));
        for name in fleet.nodes.keys().cloned().collect::<Vec<_>>() {
            let owner = fleet.view(&name, &shard(0));
            let asked = owner.filter(|owner| *owner != name && !owners.contains(owner));
            if let Some(owner) = asked.filter(|owner| fleet.nodes.contains_key(owner)) {
                fleet.handle(&name, MembershipEvent::NotOwner(owner, shard(0)));
            }
        }
    }
}

/// The ways in which a fleet loses an owner.
const LOSSES: [fn(&mut Fleet, &HostName); 2] = [
    |fleet, owner| fleet.kill(owner),
    |fleet, owner| fleet.handle(owner, MembershipEvent::Stop),
];

// Guards against a host that admits requests on its own after the loss of an owner,
// because the next owner denied ownership while the former one was alive.
#[test]
fn earlier_denial() {
    for lose in LOSSES {
        for count in [3, 8] {
            for age_ms in (0..5_000).step_by(100) {
                for asking in 2..count.min(5) {
                    let (mut fleet, order) = converged(count);
                    let (next, asking) = (&order[1], &order[asking]);
                    fleet.handle(asking, MembershipEvent::NotOwner(next.clone(), shard(0)));
                    fleet.run(Duration::from_millis(age_ms));
                    lose(&mut fleet, &order[0]);
                    run_with_denials(&mut fleet, TAKEOVER);
                    assert_eq!(fleet.view(asking, &shard(0)).as_ref(), Some(next));
                    let reports = ownerless_reports(&fleet, asking);
                    assert_eq!(reports, 0, "{count} hosts, denied {age_ms} ms before");
                }
            }
        }
    }
}

// Guards against a host that admits requests on its own because the only candidate left
// has denied ownership and is not yet watched.
#[test]
fn two_stops() {
    let (mut fleet, order) = converged(8);
    let (next, asking) = (&order[2], &order[4]);
    fleet.handle(asking, MembershipEvent::NotOwner(next.clone(), shard(0)));
    for name in &order[..2] {
        fleet.handle(name, MembershipEvent::Stop);
    }
    run_with_denials(&mut fleet, TAKEOVER);
    assert_eq!(ownerless_reports(&fleet, asking), 0);
    assert_eq!(fleet.view(asking, &shard(0)).as_ref(), Some(next));
}

// Guards against a host that waits for an owner forever: it cannot reach the owner, and
// the other candidates, which can, keep denying ownership.
#[test]
fn cut_from_owner() {
    let (mut fleet, order) = converged(8);
    let (owner, asking) = (&order[0], &order[4]);
    fleet.cut(asking, owner);
    fleet.cut(owner, asking);
    // Users send heartbeats every 500 ms and suspect a peer after 2 s; denials count
    // for another 2 s.
    run_with_denials(&mut fleet, Duration::from_millis(4_700));
    assert_eq!(ownerless_reports(&fleet, asking), 1);
    assert_eq!(fleet.view(asking, &shard(0)), None);
}

// Guards against a host that waits for an owner although all candidates are lost.
#[test]
fn all_lost() {
    let (mut fleet, order) = converged(8);
    let asking = &order[4];
    fleet.handle(
        asking,
        MembershipEvent::NotOwner(order[1].clone(), shard(0)),
    );
    for name in &order[..3] {
        fleet.kill(name);
    }
    // The second and the third candidate are watched only once the one before is lost.
    run_with_denials(&mut fleet, Duration::from_millis(7_200));
    assert_eq!(ownerless_reports(&fleet, asking), 1);
}

// Guards against a host that counts its own pause as time for which all candidates deny
// ownership, and admits requests on its own when it wakes.
#[test]
fn denied_before_pause() {
    for asking in [2, 4] {
        for paused_ms in (1_000..6_000).step_by(250) {
            let (mut fleet, order) = converged(8);
            let asking = &order[asking];
            for candidate in order[..3].iter().filter(|name| *name != asking) {
                fleet.handle(
                    asking,
                    MembershipEvent::NotOwner(candidate.clone(), shard(0)),
                );
            }
            fleet.pause(asking);
            fleet.run(Duration::from_millis(paused_ms));
            fleet.resume(asking, Duration::from_millis(paused_ms));
            run_with_denials(&mut fleet, TAKEOVER);
            assert_eq!(ownerless_reports(&fleet, asking), 0, "{paused_ms} ms");
            assert_eq!(fleet.view(asking, &shard(0)).as_ref(), Some(&order[0]));
        }
    }
}

// Guards against a host that gives up a shard after its own pause and admits requests
// on its own, although the host that took the shard over runs.
#[test]
fn own_pause() {
    for paused_ms in [1_100, 1_900, 2_200, 5_000] {
        for age_ms in [0, 700, 1_500, 3_500] {
            let (mut fleet, order) = converged(3);
            let [first, paused, last] = order.as_slice() else {
                panic!("three hosts");
            };
            fleet.kill(first);
            fleet.run(secs(4));
            assert_eq!(fleet.view(paused, &shard(0)).as_ref(), Some(paused));
            fleet.handle(paused, MembershipEvent::NotOwner(last.clone(), shard(0)));
            fleet.run(Duration::from_millis(age_ms));
            fleet.pause(paused);
            fleet.run(Duration::from_millis(paused_ms / 2));
            // The first candidate acts as soon as it has started.
            fleet.add(index_of(first), 2, &[shard(0)], list(0..3));
            fleet.handle(first, MembershipEvent::Using(shard(0), true));
            fleet.run(Duration::from_millis(paused_ms / 2));
            fleet.resume(paused, Duration::from_millis(paused_ms));
            run_with_denials(&mut fleet, TAKEOVER);
            let reports = ownerless_reports(&fleet, paused);
            assert_eq!(
                reports, 0,
                "paused for {paused_ms} ms, denied {age_ms} ms before"
            );
        }
    }
}
