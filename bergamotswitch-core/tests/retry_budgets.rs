//! Tests of the retry budget of a pool over all hosts of a fleet.

mod quota_fleet;

use bergamotswitch_core::entry::EntryOptions;
use bergamotswitch_core::retry::RetryRate;
use quota_fleet::*;

/// The allowed ratio of retries to requests in one window, and the window.
const RATIO: f64 = 0.2;
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// The part of the ratio that is earned by first attempts.
const EARNED: f64 = 0.7;

/// Start a fleet without failing runs.
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

/// Assert that the retries of each window are within the ratio plus the slack,
/// where the requests are counted in that window, in the one before it or in
/// the one that starts half a window earlier. Get the largest number of retries
/// in one window.
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

// Guards against savings per host that do not depend on the slack and the number
// of hosts: after a healthy period, all targets fail while hosts are restarted
// in turn.
#[test]
fn saved_retries() {
    const SLACK: f64 = 56.0;
    let mut fleet = start(SLACK);
    fleet.pass(Duration::from_secs(20), steady);
    fleet.all_fail = true;
    restart_in_turn(&mut fleet, steady);
    let most = assert_within_ratio(&fleet, SLACK, "saved retries");
    // The budget is also used: half of the ratio for 2,000 requests.
    assert!(most >= 200, "only {most}");
}

// Guards against new processes that each start with retries of their own, while
// hosts of a pool with little traffic are restarted in turn.
#[test]
fn restarted_hosts() {
    const SLACK: f64 = 8.0;
    let mut fleet = start(SLACK);
    fleet.pass(Duration::from_secs(20), quiet);
    fleet.all_fail = true;
    restart_in_turn(&mut fleet, quiet);
    assert_within_ratio(&fleet, SLACK, "restarted hosts");
}
