//! Tests of which candidates act for a shard while hosts start, stand still and return.

mod fleet;

use fleet::*;

const STEP: Duration = Duration::from_millis(10);
/// How long two hosts may act for a shard while one hands it over to the other.
const HAND_OVER: Duration = Duration::from_secs(1);
/// Longer than the suspicion timeout, the failback delay and a handover.
const SETTLE: Duration = Duration::from_secs(12);
/// How long a shard may be without an owner: the suspicion timeout, and one heartbeat.
const TAKEOVER: Duration = Duration::from_millis(2_500);

/// Run the fleet for `span`, and get the longest times during which several hosts and
/// no host acted for the shard.
fn watch(fleet: &mut Fleet, span: Duration) -> [Duration; 2] {
    let mut longest = [Duration::ZERO; 2];
    let mut current = [Duration::ZERO; 2];
    for _ in 0..span.as_millis() / STEP.as_millis() {
        fleet.run(STEP);
        let count = running_owners(fleet).len();
        for (index, holds) in [count > 1, count == 0].into_iter().enumerate() {
            current[index] = match holds {
                true => current[index] + STEP,
                false => Duration::ZERO,
            };
            longest[index] = longest[index].max(current[index]);
        }
    }
    longest
}

/// Get the hosts that act for the shard and are not paused.
fn running_owners(fleet: &Fleet) -> Vec<HostName> {
    let mut owners = fleet.owners_of(&shard(0));
    owners.retain(|name| !fleet.is_paused(name));
    owners
}

fn restart(fleet: &mut Fleet, name: &HostName, count: usize) {
    let run = u128::from(fleet.now.as_micros());
    fleet.add(index_of(name), run, &[shard(0)], list(0..count));
    fleet.handle(name, MembershipEvent::Using(shard(0), true));
}

fn assert_settled(fleet: &Fleet, order: &[HostName], case: &str) {
    assert_eq!(fleet.owners_of(&shard(0)), order[..1], "{case}");
    for name in order {
        assert_eq!(
            fleet.view(name, &shard(0)).as_ref(),
            Some(&order[0]),
            "{case}"
        );
    }
}

// Guards against two owners for seconds: a candidate that starts acts at once, beside
// the one that took over from it.
#[test]
fn restarted_candidate() {
    for count in [3, 8] {
        for killed in 0..3 {
            for down_ms in (0..=5_000).step_by(200) {
                let case = format!("{count} hosts, candidate {killed} down for {down_ms} ms");
                let (mut fleet, order) = converged(count);
                fleet.kill(&order[killed]);
                fleet.run(Duration::from_millis(down_ms));
                restart(&mut fleet, &order[killed], count);
                let [several, none] = watch(&mut fleet, SETTLE);
                assert!(several <= HAND_OVER, "{case}: {several:?}");
                assert!(none <= TAKEOVER, "{case}: {none:?}");
                assert_settled(&fleet, &order, &case);
            }
        }
    }
}

// Guards against two owners for seconds: a first candidate that stood still goes on as
// owner, beside the one that took over from it.
#[test]
fn paused_candidate() {
    for count in [3, 8] {
        for lost in 0..2 {
            for paused_ms in (1_000..=5_000).step_by(100) {
                let case = format!("{count} hosts, {lost} lost, paused for {paused_ms} ms");
                let (mut fleet, order) = converged(count);
                for name in &order[..lost] {
                    fleet.kill(name);
                }
                fleet.run(SETTLE);
                let paused = &order[lost];
                fleet.pause(paused);
                let pause = Duration::from_millis(paused_ms);
                let [several, none] = watch(&mut fleet, pause);
                assert_eq!(several, Duration::ZERO, "{case}");
                assert!(none <= TAKEOVER, "{case}: {none:?}");
                fleet.resume(paused, pause);
                let [several, none] = watch(&mut fleet, SETTLE);
                assert!(several <= HAND_OVER, "{case}: {several:?}");
                assert!(none <= TAKEOVER, "{case}: {none:?}");
                assert_settled(&fleet, &order[lost..], &case);
            }
        }
    }
}

// Guards against two owners after the loss of a candidate while another one stands
// still, and against a shard that nobody acts for after it resumes.
#[test]
fn paused_successor() {
    for paused in 1..3 {
        for paused_ms in (1_000..=5_000).step_by(100) {
            for killed_after_ms in [0, 300, 900, 1_800] {
                let case = format!("candidate {paused}, {paused_ms} ms, {killed_after_ms} ms");
                let (mut fleet, order) = converged(3);
                let pause = Duration::from_millis(paused_ms);
                let killed_after = Duration::from_millis(killed_after_ms).min(pause);
                fleet.pause(&order[paused]);
                fleet.run(killed_after);
                fleet.kill(&order[0]);
                let [several, _] = watch(&mut fleet, pause - killed_after);
                assert_eq!(several, Duration::ZERO, "{case}");
                fleet.resume(&order[paused], pause);
                let [several, none] = watch(&mut fleet, SETTLE);
                assert!(several <= HAND_OVER, "{case}: {several:?}");
                assert!(none <= TAKEOVER * 2, "{case}: {none:?}");
                assert_settled(&fleet, &order[1..], &case);
            }
        }
    }
}

// Guards against a fleet that waits for reports of ownership after all of its hosts
// were lost: a host that starts alone, and hosts that start one after the other.
#[test]
fn all_restarted() {
    for gap_ms in [0, 50, 400, 1_500, 3_000] {
        let (mut fleet, order) = converged(8);
        for name in &order {
            fleet.kill(name);
        }
        fleet.run(secs(1));
        for name in order.iter().rev() {
            restart(&mut fleet, name, 8);
            fleet.run(Duration::from_millis(gap_ms));
        }
        let [several, none] = watch(&mut fleet, SETTLE);
        assert!(several <= HAND_OVER, "{gap_ms} ms apart: {several:?}");
        assert!(none <= TAKEOVER, "{gap_ms} ms apart: {none:?}");
        assert_settled(&fleet, &order, &format!("{gap_ms} ms apart"));
    }
}

// Guards against a fleet of two releases without an owner, or with two for good, while
// its hosts are replaced one by one.
#[test]
fn mixed_releases() {
    for bits in 0..8_usize {
        for killed in 0..3 {
            let order = order(3);
            let earlier = (0..3).filter(|rank| bits & (1 << rank) != 0);
            let earlier = earlier.map(|rank| order[rank].clone()).collect();
            let case = format!("{earlier:?} of the earlier release, candidate {killed}");
            let (mut fleet, _) = converged_with(3, earlier);
            assert_settled(&fleet, &order, &case);
            fleet.kill(&order[killed]);
            fleet.run(secs(4));
            assert_eq!(fleet.owners_of(&shard(0)).len(), 1, "{case}");
            restart(&mut fleet, &order[killed], 3);
            let [_, none] = watch(&mut fleet, SETTLE);
            assert!(none <= TAKEOVER, "{case}: {none:?}");
            assert_settled(&fleet, &order, &case);
        }
    }
}

// Guards against owners that alternate, or act side by side for good: a host that has
// started knows no other one at first, and the owner has been replaced several times.
#[test]
fn lone_start() {
    for failbacks in [0, 1, 3] {
        for lone_ms in [0, 300, 3_000, 8_000] {
            let case = format!("{failbacks} failbacks, alone for {lone_ms} ms");
            let (mut fleet, order) = converged(8);
            for _ in 0..failbacks {
                fleet.kill(&order[0]);
                fleet.run(secs(4));
                restart(&mut fleet, &order[0], 8);
                fleet.run(SETTLE);
            }
            fleet.kill(&order[0]);
            fleet.run(secs(4));
            let index = index_of(&order[0]);
            let run = u128::from(fleet.now.as_micros());
            fleet.add(index, run, &[shard(0)], list([index]));
            fleet.handle(&order[0], MembershipEvent::Using(shard(0), true));
            fleet.run(Duration::from_millis(lone_ms));
            fleet.handle(&order[0], MembershipEvent::Hosts(list(0..8)));
            let [several, none] = watch(&mut fleet, SETTLE);
            assert!(several <= HAND_OVER, "{case}: {several:?}");
            assert!(none <= TAKEOVER, "{case}: {none:?}");
            assert_settled(&fleet, &order, &case);
        }
    }
}

// Guards against owners that alternate after a partition in which ownership has moved
// several times on one side.
#[test]
fn healed_partition() {
    for failbacks in [0, 1, 3] {
        let (mut fleet, order) = converged(8);
        fleet.partition(|name| *name == order[0]);
        fleet.run(secs(6));
        for _ in 0..failbacks {
            fleet.kill(&order[1]);
            fleet.run(secs(4));
            restart(&mut fleet, &order[1], 8);
            fleet.run(SETTLE);
        }
        fleet.cuts.clear();
        let [several, none] = watch(&mut fleet, SETTLE);
        // The path is confirmed within a heartbeat of the end of the partition.
        assert!(several <= HAND_OVER, "{failbacks} failbacks: {several:?}");
        assert!(none <= TAKEOVER, "{failbacks} failbacks: {none:?}");
        assert_settled(&fleet, &order, &format!("{failbacks} failbacks"));
    }
}
