//! Tests of client account quotas when a host is cut off from the other hosts, while callers and
//! targets reach it.

mod quota_fleet;

use bergamotswitch_core::refusal::RefusalReason;
use quota_fleet::*;

/// The units that an account may use in one window over all hosts.
const MAX_UNITS: f64 = ((RATE * 8 + BURST) as f64) * (1.0 + OVERAGE);

/// The calls of the `busy` account per step of 5 ms, at eight times its quota.
const HOT_CALLS: usize = 4;

/// The milliseconds between calls of the `calm` account, at half of its quota.
const CALM_INTERVAL_MS: u64 = 20;

fn calm_traffic(fleet: &mut QuotaFleet) {
    if (fleet.now.as_micros() / 1_000).is_multiple_of(CALM_INTERVAL_MS) {
        fleet.send("calm", 1);
    }
}

fn traffic(fleet: &mut QuotaFleet) {
    fleet.send("busy", HOT_CALLS);
    calm_traffic(fleet);
}

/// Cut a host off while an account sends many times its quota, from `hot_ms` after the cut if
/// that is not negative.
fn play(cut: usize, hot_ms: i64, cut_ms: u64) -> QuotaFleet {
    let mut fleet = QuotaFleet::start_with_targets((4, 2_000), LATENCY, Default::default());
    fleet.pass(Duration::from_secs(4), calm_traffic);
    let early = Duration::from_millis(hot_ms.min(0).unsigned_abs());
    fleet.pass(early, traffic);
    fleet.isolate(cut);
    let late = Duration::from_millis(hot_ms.max(0) as u64);
    fleet.pass(late, calm_traffic);
    fleet.pass(Duration::from_millis(cut_ms) - late, traffic);
    fleet.rejoin();
    fleet.pass(Duration::from_millis(1_500), traffic);
    fleet.pass(Duration::from_secs(10), calm_traffic);
    fleet
}

const LATENCY: Duration = Duration::from_millis(5);

/// Guards against a second quota that is granted on the other side of a cut.
#[test]
fn hot_account() {
    for cut in 0..HOSTS {
        for (hot_ms, cut_ms) in [
            (-1_600, 4_000),
            (-1_600, 5_500),
            (1_000, 12_000),
            (3_000, 15_000),
        ] {
            let fleet = play(cut, hot_ms, cut_ms);
            let (most, begin) = fleet.most_in_window("busy");
            let changes = &fleet.ownership_changes;
            assert!(
                most as f64 <= MAX_UNITS,
                "host {cut} cut for {cut_ms} ms, hot from {hot_ms} ms on: {most} of {MAX_UNITS} \
                 from {begin:?}, {changes:?}"
            );
        }
    }
}

/// Guards against refusing an account within its quota while a host is cut off.
#[test]
fn calm_account() {
    for cut in 0..HOSTS {
        let fleet = play(cut, -1_600, 5_500);
        let refused = fleet.refused("calm", RefusalReason::OverQuota);
        let changes = &fleet.ownership_changes;
        assert_eq!(refused, 0, "host {cut}: {changes:?}");
    }
}
