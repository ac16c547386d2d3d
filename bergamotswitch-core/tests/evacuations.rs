//! Tests of evacuated failure domains, over all hosts of a fleet.

mod quota_fleet;

use bergamotswitch_core::entry::EntryOptions;
use bergamotswitch_core::refusal::RefusalReason;
use quota_fleet::*;

const TARGETS: usize = 6;
/// The slots of each target: enough in all domains, and too few in two of three.
const SLOTS: u32 = 16;
const FEW_SLOTS: u32 = 5;

/// The targets of `domain-0`.
const DOMAIN_0: [usize; 2] = [0, 3];

/// How long after its publication a state is known to all hosts.
const TOLD: Duration = Duration::from_millis(200);

fn start(slots: u32) -> QuotaFleet {
    let latency = Duration::from_millis(5);
    let mut fleet =
        QuotaFleet::start_with_targets((TARGETS, slots), latency, EntryOptions::default());
    fleet.fails_every = u64::MAX;
    fleet.pass(Duration::from_secs(3), load);
    fleet
}

/// Send 200 calls a second, of accounts within their quotas.
fn load(fleet: &mut QuotaFleet) {
    let number = fleet.now.as_micros() / 5_000;
    let account = ["busy", "calm", "late"][number as usize % 3];
    fleet.send(account, 1);
}

fn evacuate(fleet: &mut QuotaFleet, domains: &[&str]) -> Moment {
    fleet.publish_evacuated(domains);
    fleet.pass(TOLD, load);
    fleet.now
}

fn arrivals(fleet: &QuotaFleet, targets: &[usize], since: Moment) -> usize {
    let times = targets
        .iter()
        .map(|at| fleet.arrival_times(&format!("t{at}"), since));
    times.map(|times| times.len()).sum()
}

/// Guards against requests for an evacuated domain, and against callers that are refused
/// beside the others.
#[test]
fn one_domain() {
    let mut fleet = start(SLOTS);
    let told = evacuate(&mut fleet, &["domain-0"]);
    fleet.pass(Duration::from_secs(4), load);
    assert_eq!(arrivals(&fleet, &DOMAIN_0, told), 0);
    assert!(arrivals(&fleet, &[1, 2, 4, 5], told) > 700);
    assert_eq!(fleet.refused_calls(), 0);
}

/// Guards against an owner that takes over, or a host that starts, and uses an evacuated
/// domain.
#[test]
fn hosts_replaced() {
    let mut fleet = start(SLOTS);
    let told = evacuate(&mut fleet, &["domain-0"]);
    for _ in 0..2 {
        let owner = fleet.owner();
        fleet.end(owner);
        fleet.pass(Duration::from_secs(3), load);
        fleet.restart(owner);
        fleet.pass(Duration::from_secs(3), load);
    }
    for host in 0..HOSTS {
        fleet.end(host);
    }
    for host in 0..HOSTS {
        fleet.restart(host);
    }
    fleet.pass(Duration::from_secs(6), load);
    assert_eq!(arrivals(&fleet, &DOMAIN_0, told), 0);
}

/// Guards against a paused owner that wakes and uses the domain, whose evacuation it has not
/// heard.
#[test]
fn owner_paused() {
    let mut fleet = start(SLOTS);
    let owner = fleet.owner();
    fleet.pause(owner);
    fleet.pass(Duration::from_millis(100), load);
    fleet.publish_evacuated(&["domain-0"]);
    fleet.pass(Duration::from_secs(3), load);
    fleet.resume(owner);
    fleet.pass(TOLD, load);
    let told = fleet.now;
    fleet.pass(Duration::from_secs(4), load);
    assert_eq!(arrivals(&fleet, &DOMAIN_0, told), 0);
}

/// Guards against a domain that stays out of use when it is taken back, and against targets
/// there that turned cold meanwhile and get the usual load.
#[test]
fn taken_back() {
    let mut fleet = start(FEW_SLOTS);
    evacuate(&mut fleet, &["domain-0"]);
    fleet.pass(Duration::from_secs(3), load);
    let ended = fleet.now;
    evacuate(&mut fleet, &[]);
    fleet.pass(Duration::from_millis(2_700), load);
    fleet.assert_cold_bound(&DOMAIN_0, ended, "taken back");
    assert!(arrivals(&fleet, &DOMAIN_0, ended) > 40);
    fleet.pass(Duration::from_secs(4), load);
    let used = arrivals(&fleet, &DOMAIN_0, ended);
    assert!(used > 200, "{used}");
}

/// Guards against callers that wait for a pool all of whose domains are evacuated.
#[test]
fn all_domains() {
    let mut fleet = start(SLOTS);
    let told = evacuate(
        &mut fleet,
        &["domain-0", "domain-1", "domain-2", "domain-9"],
    );
    fleet.pass(Duration::from_secs(2), load);
    assert_eq!(arrivals(&fleet, &[0, 1, 2, 3, 4, 5], told), 0);
    let refused =
        ["busy", "calm", "late"].map(|account| fleet.refused(account, RefusalReason::NoTarget));
    assert!(refused.iter().sum::<usize>() > 350, "{refused:?}");
    assert_eq!(fleet.late_refusals(Duration::from_millis(500)), 0);
    evacuate(&mut fleet, &[]);
    let back = fleet.now;
    fleet.pass(Duration::from_secs(2), load);
    assert!(arrivals(&fleet, &[0, 1, 2, 3, 4, 5], back) > 150);
}
