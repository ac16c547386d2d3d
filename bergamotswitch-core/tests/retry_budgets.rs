//! The retry budget of a pool over all hosts of a fleet.

mod quota_fleet;

use bergamotswitch_core::entry::EntryOptions;
use bergamotswitch_core::retry::RetryRate;
use quota_fleet::*;

/// The retries for each request that the users bear in one window, and the
/// window.
const RATIO: f64 = 0.2;
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// The part of the ratio that hosts earn.
const EARNED: f64 = 0.7;

/// Start a fleet whose runs go well.
fn start(slack: f64) -> QuotaFleet {
    let entry = EntryOptions::default().with_retry_rate(RetryRate {
        permille: (RATIO * EARNED * 1_000.0) as u32,
        slack: slack as u32,
        window: RETRY_WINDOW,
    });
    let mut fleet = QuotaFleet::start_with(Duration::from_millis(5), entry);
    fleet.fails_every = u64::MAX;
    fleet
}

fn count_between(moments: &[Moment], from: Moment, to: Moment) -> usize {
    let first = moments.partition_point(|at| *at < from);
    let last = moments.partition_point(|at| *at < to);
    last.saturating_sub(first)
}

fn earlier(moment: Moment, span: Duration) -> Moment {
    let since = moment.since(Moment::START);
    Moment::START.plus(since.saturating_sub(span))
}

/// Assert that no window has more retries than the users bear: the ratio of
/// the requests in it, in the one before it or in the one half a window before
/// it, and the slack. Get the most retries in one window.
fn assert_within_ratio(fleet: &QuotaFleet, slack: f64, case: &str) -> usize {
    let mut sent: Vec<Moment> = fleet.calls.values().map(|call| call.sent_at).collect();
    sent.sort();
    let mut most = 0;
    for begin in &fleet.retries {
        let end = begin.plus(RETRY_WINDOW);
        let retries = count_between(&fleet.retries, *begin, end);
        let windows = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW];
        let requests =
            windows.map(|span| count_between(&sent, earlier(*begin, span), earlier(end, span)));
        let requests = requests.into_iter().max().unwrap_or(0);
        let allowed = requests as f64 * RATIO + slack;
        assert!(
            retries as f64 <= allowed,
            "{case}: {retries} retries from {begin:?}, {allowed} allowed"
        );
        most = most.max(retries);
    }
    most
}

fn restart_in_turn(fleet: &mut QuotaFleet, traffic: impl Fn(&mut QuotaFleet)) {
    for host in 0..HOSTS {
        fleet.stop(host);
        fleet.pass(Duration::from_millis(600), &traffic);
        fleet.end(host);
        fleet.pass(Duration::from_millis(200), &traffic);
        fleet.restart(host);
        fleet.pass(Duration::from_millis(700), &traffic);
    }
}

fn steady(fleet: &mut QuotaFleet) {
    fleet.send("free", 1);
}

fn quiet(fleet: &mut QuotaFleet) {
    let millis = fleet.now.as_micros() / 1_000;
    if millis.is_multiple_of(200) {
        fleet.send("free", 1);
    }
}

// Symptom: targets that all fail get far more repeats than the users bear.
// Sequence: a pool is well for a while, and each host saves up retries; then
// all its targets fail at once, and hosts are stopped and started in turn.
// Cause: what a host may save was a constant, whatever the slack of the
// settings and the number of the hosts.
#[test]
fn saved_retries() {
    const SLACK: f64 = 56.0;
    let mut fleet = start(SLACK);
    fleet.pass(Duration::from_secs(20), steady);
    fleet.all_fail = true;
    restart_in_turn(&mut fleet, steady);
    let most = assert_within_ratio(&fleet, SLACK, "saved retries");
    // What the users bear is used, too: half of the ratio of 2,000 requests.
    assert!(most >= 200, "only {most}");
}

// Symptom: a quiet pool gets more repeats than the users bear while hosts are
// stopped and started in turn. Cause: each new process began with retries of
// its own.
#[test]
fn restarted_hosts() {
    const SLACK: f64 = 8.0;
    let mut fleet = start(SLACK);
    fleet.pass(Duration::from_secs(20), quiet);
    fleet.all_fail = true;
    restart_in_turn(&mut fleet, quiet);
    assert_within_ratio(&fleet, SLACK, "restarted hosts");
}
