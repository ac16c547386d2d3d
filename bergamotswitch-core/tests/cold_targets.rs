//! Tests of targets that are cold, over all hosts of a fleet.

mod quota_fleet;

use bergamotswitch_core::entry::EntryOptions;
use quota_fleet::*;

const TARGETS: usize = 6;
const SLOTS: u32 = 16;

/// How long after its publication a state is known to all hosts.
const TOLD: Duration = Duration::from_millis(150);

const ALL: [usize; TARGETS] = [0, 1, 2, 3, 4, 5];

fn start() -> QuotaFleet {
    let latency = Duration::from_millis(5);
    let mut fleet =
        QuotaFleet::start_with_targets((TARGETS, SLOTS), latency, EntryOptions::default());
    fleet.fails_every = u64::MAX;
    fleet
}

/// Send 200 calls a second, of accounts within their quotas.
fn load(fleet: &mut QuotaFleet) {
    let number = fleet.now.as_micros() / 5_000;
    let account = ["busy", "calm", "late"][number as usize % 3];
    fleet.send(account, 1);
}

/// Turn targets cold while calls come, and get from when on all hosts know it.
fn turn_cold(fleet: &mut QuotaFleet, targets: &[usize]) -> Moment {
    fleet.publish_cold(targets, 3_000);
    fleet.pass(TOLD, load);
    fleet.now
}

/// Guards against cold targets that get the usual load, and against callers that are refused
/// beside warm targets with room.
#[test]
fn some_cold() {
    let mut fleet = start();
    fleet.pass(Duration::from_secs(3), load);
    let refused = fleet.refused_calls();
    let told = turn_cold(&mut fleet, &[0, 1]);
    fleet.pass(Duration::from_millis(2_800), load);
    fleet.assert_cold_bound(&[0, 1], told, "some");
    assert_eq!(
        fleet.refused_calls(),
        refused,
        "refused beside warm targets"
    );
}

/// Guards against a bound that each owner or new owner spends whole.
#[test]
fn owner_lost() {
    for delay in [100, 600, 1_500] {
        let mut fleet = start();
        fleet.pass(Duration::from_secs(3), load);
        let told = turn_cold(&mut fleet, &ALL);
        fleet.pass(Duration::from_millis(delay), load);
        let owner = fleet.owner();
        fleet.end(owner);
        fleet.pass(Duration::from_millis(2_700 - delay), load);
        fleet.assert_cold_bound(&ALL, told, &format!("killed after {delay} ms"));
    }
}

/// Guards against an owner that stands still, and grants on beside the next one when it
/// wakes.
#[test]
fn owner_paused() {
    for pause in [400, 900, 1_600] {
        let mut fleet = start();
        fleet.pass(Duration::from_secs(3), load);
        let told = turn_cold(&mut fleet, &ALL);
        fleet.pass(Duration::from_millis(300), load);
        let owner = fleet.owner();
        fleet.pause(owner);
        fleet.pass(Duration::from_millis(pause), load);
        fleet.resume(owner);
        fleet.pass(Duration::from_millis(2_400 - pause), load);
        fleet.assert_cold_bound(&ALL, told, &format!("paused for {pause} ms"));
    }
}

/// Guards against permits that a host collects while it stands still and uses at once.
#[test]
fn host_paused() {
    for pause in [300, 900] {
        let mut fleet = start();
        fleet.pass(Duration::from_secs(3), load);
        let told = turn_cold(&mut fleet, &ALL);
        let owner = fleet.owner();
        let paused = [(owner + 1) % HOSTS, (owner + 2) % HOSTS];
        paused.iter().for_each(|host| fleet.pause(*host));
        fleet.pass(Duration::from_millis(pause), load);
        paused.iter().for_each(|host| fleet.resume(*host));
        fleet.pass(Duration::from_millis(1_500), load);
        fleet.assert_cold_bound(&ALL, told, &format!("paused for {pause} ms"));
    }
}

/// Guards against a host that starts while targets are cold and does not know it.
#[test]
fn hosts_started() {
    let mut fleet = start();
    let owner = fleet.owner();
    let restarted = [(owner + 1) % HOSTS, owner];
    fleet.pass(Duration::from_secs(3), load);
    let told = turn_cold(&mut fleet, &ALL);
    for host in restarted {
        fleet.end(host);
        fleet.restart(host);
        fleet.pass(Duration::from_millis(700), load);
    }
    fleet.pass(Duration::from_millis(1_200), load);
    fleet.assert_cold_bound(&ALL, told, "restarted");
}

/// Guards against targets that are held back after their cold time, and against registrations
/// that are read again and make them cold anew.
#[test]
fn warm_at_once() {
    let mut fleet = start();
    fleet.pass(Duration::from_secs(3), load);
    turn_cold(&mut fleet, &ALL);
    fleet.pass(Duration::from_millis(1_000), load);
    // Another target's registration changes; the cold ones are read again.
    fleet.publish_cold(&[], 0);
    fleet.pass(Duration::from_millis(2_100), load);
    let refused = fleet.refused_calls();
    fleet.pass(Duration::from_secs(3), load);
    assert!(fleet.refused_calls() - refused < 10, "held back when warm");
    let served: usize = ALL
        .iter()
        .map(|at| fleet.arrivals_at(&format!("t{at}"), Duration::from_secs(2)))
        .sum();
    assert!(served > 350, "{served}");
}

/// Guards against callers who wait in vain while all targets are cold.
#[test]
fn refused_in_time() {
    let mut fleet = start();
    fleet.pass(Duration::from_secs(3), load);
    turn_cold(&mut fleet, &ALL);
    fleet.pass(Duration::from_millis(2_800), load);
    assert_eq!(fleet.late_refusals(Duration::from_millis(2_500)), 0);
    let served: usize = ALL
        .iter()
        .map(|at| fleet.arrivals_at(&format!("t{at}"), Duration::from_millis(2_500)))
        .sum();
    let possible = 2.5 * 18.0 * TARGETS as f64;
    assert!(served as f64 > 0.8 * possible, "{served} of {possible}");
}
