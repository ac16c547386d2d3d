//! Tests of client account quotas while hosts are restarted in turn.

mod quota_fleet;

use bergamotswitch_core::refusal::RefusalReason;
use quota_fleet::*;

/// The units that an account may use in one window over all hosts. The additional
/// tolerance for calls of other pools is left out, as there is only one pool.
const MAX_UNITS: f64 = ((RATE * 8 + BURST) as f64) * (1.0 + OVERAGE);

/// The calls of the `busy` account per step of 5 ms, at four times its quota.
const BUSY_CALLS: usize = 2;

/// The milliseconds between calls of the `calm` account, at half of its quota.
const CALM_INTERVAL_MS: u64 = 20;

fn traffic(fleet: &mut QuotaFleet) {
    fleet.send("busy", BUSY_CALLS);
    if (fleet.now.as_micros() / 1_000).is_multiple_of(CALM_INTERVAL_MS) {
        fleet.send("calm", 1);
    }
}

fn assert_within_quota(fleet: &QuotaFleet, case: &str) {
    let (most, begin) = fleet.most_in_window("busy");
    let changes = &fleet.ownership_changes;
    assert!(
        most as f64 <= MAX_UNITS,
        "{case}: {most} of {MAX_UNITS} from {begin:?}, {changes:?}"
    );
    let least = (RATE * 8) as f64 * 0.9;
    assert!(most as f64 >= least, "{case}: only {most}");
}

/// Assert that an account within its quota is rarely refused as over it.
fn assert_rarely_refused(fleet: &QuotaFleet, case: &str) {
    let refused = fleet.refused("calm", RefusalReason::OverQuota);
    let calls = fleet.calls.values();
    let sent = calls.filter(|call| call.account == "calm").count();
    assert!(refused * 100 <= sent, "{case}: {refused} of {sent}");
}

fn restart_in_turn(fleet: &mut QuotaFleet, restarts: usize) {
    for _ in 0..restarts {
        let owner = fleet.owner();
        fleet.stop(owner);
        fleet.pass(Duration::from_millis(800), traffic);
        fleet.end(owner);
        fleet.pass(Duration::from_millis(300), traffic);
        fleet.restart(owner);
        fleet.pass(Duration::from_millis(3_500), traffic);
    }
}

// Guards against use beyond the quota when a restarted owner takes its shard back:
// while it and the acting owner overlap, the token buckets of both refill, so the
// account must not get a second quota and burst from them.
#[test]
fn owner_returns() {
    for latency_ms in [1, 20, 60] {
        let mut fleet = QuotaFleet::start(Duration::from_millis(latency_ms));
        fleet.pass(Duration::from_secs(3), traffic);
        restart_in_turn(&mut fleet, 6);
        let case = format!("link latency {latency_ms} ms");
        assert_within_quota(&fleet, &case);
        assert_rarely_refused(&fleet, &case);
    }
}

// Guards against use beyond the quota when a slow host learns of an owner change
// late, so that two owners get permit requests meanwhile.
#[test]
fn slow_hosts() {
    for slow in 0..HOSTS {
        let mut fleet = QuotaFleet::start(Duration::from_millis(5));
        fleet.slow(slow, Duration::from_millis(120));
        fleet.pass(Duration::from_secs(3), traffic);
        restart_in_turn(&mut fleet, 3);
        let case = format!("host {slow} slow");
        assert_within_quota(&fleet, &case);
        assert_rarely_refused(&fleet, &case);
    }
}

// Guards against use beyond the quota when overlapping restarts change the owner of
// a shard several times within one window.
#[test]
fn rolling_restart() {
    for gap_ms in [400, 1_300, 2_500] {
        let mut fleet = QuotaFleet::start(Duration::from_millis(10));
        fleet.pass(Duration::from_secs(3), traffic);
        for _ in 0..4 {
            let owner = fleet.owner();
            fleet.stop(owner);
            fleet.pass(Duration::from_millis(gap_ms), traffic);
            fleet.end(owner);
            fleet.pass(Duration::from_millis(100), traffic);
            fleet.restart(owner);
        }
        fleet.pass(Duration::from_secs(10), traffic);
        let case = format!("{gap_ms} ms apart");
        assert_within_quota(&fleet, &case);
        assert_rarely_refused(&fleet, &case);
    }
}

// Guards against refusing the burst of an idle account after an owner change: the
// new owner must take over the bucket levels of the former one.
#[test]
fn burst_after_handover() {
    const BURST_CALLS: usize = 80;
    for wait_ms in [100, 1_000, 3_600] {
        let mut fleet = QuotaFleet::start(Duration::from_millis(5));
        fleet.pass(Duration::from_secs(3), traffic);
        let owner = fleet.owner();
        fleet.stop(owner);
        fleet.pass(Duration::from_millis(wait_ms.min(800)), traffic);
        fleet.end(owner);
        fleet.restart(owner);
        fleet.pass(Duration::from_millis(wait_ms - wait_ms.min(800)), traffic);
        fleet.send("late", BURST_CALLS);
        fleet.pass(Duration::from_secs(1), traffic);
        let refused = fleet.refused("late", RefusalReason::OverQuota);
        assert_eq!(
            refused, 0,
            "{wait_ms} ms after the stop, {:?}",
            fleet.ownership_changes
        );
        let (most, _) = fleet.most_in_window("busy");
        assert!(most as f64 <= MAX_UNITS, "{most}");
    }
}
