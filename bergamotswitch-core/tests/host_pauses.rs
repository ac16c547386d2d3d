//! Tests of client account quotas when host processes are paused for a few seconds.

mod quota_fleet;

use bergamotswitch_core::entry::EntryOptions;
use bergamotswitch_core::refusal::RefusalReason;
use quota_fleet::*;

/// The units that an account may use in one window over all hosts.
const MAX_UNITS: f64 = ((RATE * 8 + BURST) as f64) * (1.0 + OVERAGE);

/// The calls of the `busy` account per step of 5 ms, at four times its quota.
const BUSY_CALLS: usize = 2;

/// The milliseconds between calls of the `calm` account, at half of its quota.
const CALM_INTERVAL_MS: u64 = 20;

/// Pauses that peers do not detect, that cause an owner change, and that the process
/// itself detects.
const PAUSES_MS: [u64; 5] = [500, 900, 1_400, 1_900, 3_000];

fn traffic(fleet: &mut QuotaFleet) {
    fleet.send("busy", BUSY_CALLS);
    if (fleet.now.as_micros() / 1_000).is_multiple_of(CALM_INTERVAL_MS) {
        fleet.send("calm", 1);
    }
}

fn assert_quotas(fleet: &QuotaFleet, case: &str) {
    let refused = fleet.refused("calm", RefusalReason::OverQuota);
    assert_eq!(refused, 0, "{case}: {:?}", fleet.ownership_changes);
    let (most, begin) = fleet.most_in_window("busy");
    assert!(
        most as f64 <= MAX_UNITS,
        "{case}: {most} of {MAX_UNITS} from {begin:?}, {:?}",
        fleet.ownership_changes
    );
}

/// Pause the process of a host and resume it.
fn pause_host(fleet: &mut QuotaFleet, index: usize, span_ms: u64) {
    fleet.pause(index);
    fleet.pass(Duration::from_millis(span_ms), traffic);
    fleet.resume(index);
    fleet.pass(Duration::from_secs(8), traffic);
}

// Guards against 429 for accounts within their quota when an owner is paused.
#[test]
fn paused_owner() {
    for span_ms in PAUSES_MS {
        let mut fleet = QuotaFleet::start(Duration::from_millis(5));
        fleet.pass(Duration::from_secs(4), traffic);
        let owner = fleet.owner();
        pause_host(&mut fleet, owner, span_ms);
        assert_quotas(&fleet, &format!("owner paused for {span_ms} ms"));
    }
}

// Guards against 429 for accounts within their quota when a host that owns no shard
// is paused.
#[test]
fn paused_entry() {
    for span_ms in PAUSES_MS {
        let mut fleet = QuotaFleet::start(Duration::from_millis(5));
        fleet.pass(Duration::from_secs(4), traffic);
        let entry = (fleet.owner() + 1) % HOSTS;
        pause_host(&mut fleet, entry, span_ms);
        assert_quotas(&fleet, &format!("host paused for {span_ms} ms"));
    }
}

// Guards against 429 for accounts within their quota when the host that has taken
// over a shard is paused as well.
#[test]
fn paused_successor() {
    for span_ms in PAUSES_MS {
        let mut fleet = QuotaFleet::start(Duration::from_millis(5));
        fleet.pass(Duration::from_secs(4), traffic);
        let first = fleet.owner();
        fleet.pause(first);
        fleet.pass(Duration::from_millis(1_400), traffic);
        let second = fleet.owner();
        fleet.resume(first);
        pause_host(&mut fleet, second, span_ms);
        assert_quotas(&fleet, &format!("successor paused for {span_ms} ms"));
    }
}

// Guards against refusing queued calls as overloaded, although slots become free in
// time, because their permits are requested again after the owner was paused.
#[test]
fn waiting_calls() {
    const CALLS: usize = 12;
    for span_ms in PAUSES_MS {
        let latency = Duration::from_millis(5);
        let mut fleet = QuotaFleet::start_with_targets((1, 2), latency, EntryOptions::default());
        fleet.fails_every = u64::MAX;
        // Without a recorded run time, an owner refuses calls by their size alone.
        fleet.send("calm", 2);
        fleet.pass(Duration::from_secs(1), |_| {});
        fleet.calls.clear();
        let owner = fleet.owner();
        fleet.pause(owner);
        for _ in 0..CALLS {
            fleet.send_avoiding(owner, "calm");
        }
        fleet.pass(Duration::from_millis(span_ms), |_| {});
        fleet.resume(owner);
        fleet.pass(Duration::from_secs(3), |_| {});
        let ran = fleet.calls.values().filter(|call| call.ran_at.is_some());
        assert_eq!(ran.count(), CALLS, "{span_ms} ms: {:?}", fleet.calls);
    }
}

// Guards against 429 for accounts within their quota after an owner crashed, and
// against use beyond the quota.
#[test]
fn lost_owner() {
    for back_ms in [300, 1_000, 5_000] {
        let mut fleet = QuotaFleet::start(Duration::from_millis(5));
        fleet.pass(Duration::from_secs(4), traffic);
        let owner = fleet.owner();
        fleet.end(owner);
        fleet.pass(Duration::from_millis(back_ms), traffic);
        fleet.restart(owner);
        fleet.pass(Duration::from_secs(8), traffic);
        assert_quotas(&fleet, &format!("owner back after {back_ms} ms"));
    }
}
