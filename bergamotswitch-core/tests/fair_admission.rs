//! Tests fair admission between the client accounts of a tier under overload.

mod account_load;
mod owner_bench;

use account_load::{AccountLoad, LoadPlan, RequestKind, TierLoad};
use bergamotswitch_core::link::LinkMessage;
use bergamotswitch_core::pool_owner::SchedulingOptions;
use bergamotswitch_core::pool_owner::account_shares::{AccountShares, UseCharge};
use owner_bench::*;

const HALF_LIFE: Duration = Duration::from_secs(1);

fn options(fair: bool) -> OwnerOptions {
    OwnerOptions::default().with_scheduling(SchedulingOptions {
        account_share_half_life: fair.then_some(HALF_LIFE),
        ..SchedulingOptions::default()
    })
}

const REPORT: RequestKind = kind(6_610, 380, 800, 12_000);
const EXPLANATION: RequestKind = kind(628, 290, 400, 10_000);
const DIGEST: RequestKind = kind(3_600, 100, 150, 2_500);
const CHECK: RequestKind = kind(1_800, 20, 150, 2_500);

const fn kind(
    prefill: u32,
    decode: u32,
    first_token_limit_ms: u32,
    deadline_ms: u32,
) -> RequestKind {
    RequestKind {
        cost: TokenCost { prefill, decode },
        first_token_limit_ms,
        deadline_ms,
    }
}

/// The accounts that send ten times as much as the others.
const FLOODING: [usize; 2] = [3, 11];

/// Get a load of four tiers in two bursts of about twice the capacity, in which two of
/// sixteen accounts send ten times as much as the others.
fn bursts(fair: bool) -> LoadPlan {
    let tier = |tier, part, kinds: &[RequestKind]| TierLoad {
        tier,
        part,
        kinds: kinds.to_vec(),
    };
    let mut parts = vec![1; 16];
    for account in FLOODING {
        parts[account] = 10;
    }
    LoadPlan {
        options: options(fair),
        targets: 100,
        slots: 5,
        tiers: vec![
            tier(0, 1, &[REPORT]),
            tier(4, 2, &[REPORT, EXPLANATION]),
            tier(5, 3, &[EXPLANATION, REPORT]),
            tier(6, 6, &[CHECK, DIGEST]),
        ],
        accounts: vec![(0, parts)],
        per_second: vec![
            900, 1_200, 1_200, 2_400, 2_400, 2_400, 2_400, 1_200, 1_200, 1_200, 2_100, 2_100,
            2_100, 1_200, 1_200, 1_200,
        ],
    }
}

fn run(plan: LoadPlan) -> AccountLoad {
    let mut load = AccountLoad::new(plan);
    load.run();
    load
}

fn lowest(ratios: &[f64]) -> f64 {
    ratios.iter().copied().fold(f64::INFINITY, f64::min)
}

// Guards against refusals by arrival: a flooding account gets twice its share, and the
// others half of theirs.
#[test]
fn flood_in_bursts() {
    let (unfair, fair) = (run(bursts(false)), run(bursts(true)));
    for result in fair.results() {
        println!("{result:.3?}");
        assert!(result.lacking <= 0.05, "{result:.3?}");
        assert!(lowest(&result.ratios) >= 0.85, "{result:.3?}");
    }
    let mut results = unfair.results().into_iter();
    let unfair_tier = results.find(|tier| tier.lacking > 0.2 && lowest(&tier.ratios) < 0.7);
    assert!(unfair_tier.is_some(), "the load is too light");
    // As many requests are served, within the differences of placement.
    assert!(fair.served() * 100 >= unfair.served() * 99);
    assert!(fair.refusals[&RefusalReason::AboveShare] > 0);
}

// Guards against a limit of the queue, instead of the free slots, as reason to refuse the
// requests of a large account.
#[test]
fn free_slots_used() {
    let mut plan = bursts(true);
    plan.per_second = vec![600; 8];
    assert_eq!(run(plan).refusals.get(&RefusalReason::AboveShare), None);
}

/// Get an owner with four targets of two slots, measured by one run each of 100 ms.
fn bench() -> OwnerBench {
    let targets = ["a", "b", "c", "d"].map(|name| {
        let mut target = target(name, "d", 700_000);
        target.slots = Some(2);
        target
    });
    let mut bench = OwnerBench::with_targets(options(true), &targets);
    for sequence in 9_000..9_004 {
        let permit = bench.granted(&permit_request(sequence, 1, "warm-up"));
        bench.now = bench.now.plus(Duration::from_millis(100));
        finish(&mut bench, &permit);
    }
    bench.now = bench.now.plus(Duration::from_secs(30));
    bench
}

fn finish(bench: &mut OwnerBench, permit: &Permit) -> Vec<OwnerAction> {
    bench.release(
        permit,
        ReleaseOutcome::Finished(usage(cost_of(50, 50), 100)),
    )
}

/// Send requests of 100 ms with a time-to-first-token limit of 100 ms, and get what
/// follows.
fn send(bench: &mut OwnerBench, numbers: std::ops::Range<u64>, account: &str) -> Vec<OwnerAction> {
    let mut actions = Vec::new();
    for number in numbers {
        let mut request = permit_request(number, 1, account);
        request.first_answer_ms = Some(100);
        actions.extend(bench.request_permit(&request));
    }
    actions
}

/// End the running requests and those that follow them, for this many rounds.
fn serve(bench: &mut OwnerBench, running: &mut Vec<Permit>, rounds: usize, served: &mut Vec<u64>) {
    for _ in 0..rounds {
        bench.now = bench.now.plus(Duration::from_millis(25));
        for permit in std::mem::take(running) {
            let granted = permits(&finish(bench, &permit));
            served.extend(granted_numbers(&granted));
            running.extend(granted);
        }
    }
}

fn granted_numbers(permits: &[Permit]) -> Vec<u64> {
    let numbers = permits.iter().map(|permit| permit.attempt.request.sequence);
    numbers.collect()
}

// Guards against a queue that a flood has filled: the last request of the flood makes
// room for another account, and its caller is told at once.
#[test]
fn flood_makes_room() {
    let mut bench = bench();
    let flood = send(&mut bench, 0..100, "flood");
    let refused = refusals(&flood);
    assert!(!refused.is_empty());
    assert!(
        refused
            .iter()
            .all(|refusal| refusal.reason != RefusalReason::DeadlinePassed)
    );
    let actions = send(&mut bench, 1_000..1_001, "small");
    let refused = refusals(&actions);
    assert_eq!(refused.len(), 1, "{actions:?}");
    assert!(refused[0].request < 100, "the small account is refused");
    assert_eq!(refused[0].reason, RefusalReason::AboveShare);
}

// Guards against a flood that pauses until the queue is empty and then counts as new:
// of two accounts that send as much from then on, it is the one that is refused.
#[test]
fn paused_flood() {
    let mut bench = bench();
    let mut running = permits(&send(&mut bench, 0..32, "flood"));
    serve(&mut bench, &mut running, 5, &mut Vec::new());
    assert!(running.is_empty() && bench.view().queued.is_empty());
    bench.now = bench.now.plus(Duration::from_millis(100));
    let mut refused = Vec::new();
    for number in 0..20 {
        for (first, account) in [(100, "flood"), (200, "small")] {
            let first = first + number;
            refused.extend(refusals(&send(&mut bench, first..first + 1, account)));
        }
    }
    assert!(!refused.is_empty());
    assert!(
        refused.iter().all(|refusal| refusal.request < 200),
        "{refused:?}"
    );
}

// Guards against credit for idle time: an account that begins to send while another one
// keeps the slots full gets half of them, not all.
#[test]
fn no_idle_credit() {
    let mut bench = bench();
    let mut running = Vec::new();
    let mut served = Vec::new();
    for second in 0..40 {
        let first = second * 8;
        running.extend(permits(&send(&mut bench, first..first + 8, "early")));
        serve(&mut bench, &mut running, 1, &mut served);
    }
    served.clear();
    for second in 40..44 {
        let first = second * 8;
        running.extend(permits(&send(&mut bench, first..first + 8, "early")));
        let first = first + 10_000;
        running.extend(permits(&send(&mut bench, first..first + 8, "new")));
        serve(&mut bench, &mut running, 1, &mut served);
    }
    let new = served.iter().filter(|number| **number >= 10_000).count();
    assert!(new * 10 >= served.len() * 3, "{served:?}");
    assert!(new * 10 <= served.len() * 7, "{served:?}");
}

// Guards against an account with few long requests that is pushed back by the short ones
// of a flood.
#[test]
fn long_request_served() {
    let mut bench = bench();
    let mut running = permits(&send(&mut bench, 0..60, "flood"));
    let mut request = with_cost(permit_request(500, 1, "long"), 50, 1_000);
    request.first_answer_ms = Some(100);
    let actions = bench.request_permit(&request);
    assert!(
        refusals(&actions)
            .iter()
            .all(|refusal| refusal.request < 60)
    );
    let mut served = Vec::new();
    serve(&mut bench, &mut running, 2, &mut served);
    assert!(served.contains(&500), "{served:?}");
}

// Guards against weights that do not count: an account of weight 3 gets three times the
// slots of one of weight 1.
#[test]
fn weights_count() {
    let mut bench = bench();
    let mut running = Vec::new();
    let mut served = Vec::new();
    for round in 0..20 {
        for number in round * 8..round * 8 + 8 {
            let mut heavy = permit_request(number, 1, "heavy");
            heavy.share = 3;
            let light = permit_request(10_000 + number, 1, "light");
            for request in [heavy, light] {
                running.extend(permits(&bench.request_permit(&request)));
            }
        }
        serve(&mut bench, &mut running, 1, &mut served);
    }
    let light = served.iter().filter(|number| **number >= 10_000).count();
    let fraction = light as f64 / served.len() as f64;
    assert!((0.2..0.3).contains(&fraction), "{fraction:.2}");
}

// Guards against a planned handover after which a flood counts as new.
#[test]
fn use_handed_over() {
    let mut first = bench();
    let mut running = permits(&send(&mut first, 0..32, "flood"));
    serve(&mut first, &mut running, 4, &mut Vec::new());
    let mut next = bench();
    next.now = first.now;
    let accounts = first.owner.account_use(first.now);
    assert!(!accounts.is_empty());
    let shard = shard();
    next.message(OwnerMessage::AccountUse { shard, accounts });
    let shares = |bench: &OwnerBench| {
        let shares = bench.view().account_shares.into_iter();
        let mut flood = shares.filter(|share| share.account == named("flood"));
        flood.next().map(|share| share.used_ms)
    };
    let (left, taken) = (
        shares(&first).expect("known"),
        shares(&next).expect("known"),
    );
    assert!(
        taken * 10 >= left * 9 && taken <= left * 11 / 10,
        "{left} {taken}"
    );
}

// Guards against a host of the previous release that does not know the reason.
#[test]
fn older_peers() {
    let refused = |reason| {
        LinkMessage::FromOwner(OwnerReply::Refused {
            attempt: attempt_of(ENTRY_INCARNATION, 1),
            reason,
            retry_after_ms: 100,
        })
    };
    let message = refused(RefusalReason::AboveShare);
    assert_eq!(*message.for_message_set(10), message);
    assert_eq!(
        *message.for_message_set(9),
        refused(RefusalReason::Overloaded)
    );
}

const TIER: Tier = Tier(3);

fn ledger() -> AccountShares {
    AccountShares::new(HALF_LIFE, 100)
}

/// Get the moment this many half-lives after the start.
fn after(half_lives: u32) -> Moment {
    Moment::START.plus(HALF_LIFE * half_lives)
}

// Guards against use of one account that is measured wrongly: estimates that are too low
// or too high gain nothing, and a refund erases no other run.
#[test]
fn estimates_corrected() {
    let mut shares = ledger();
    let account = named("a");
    let charge = UseCharge {
        estimate: 1.0,
        charged_at: after(0),
    };
    shares.charge(after(0), TIER, &account, 1.0);
    shares.charge(after(0), TIER, &account, 1.0);
    shares.settle(after(1), TIER, &account, charge, 0.0);
    let used = |shares: &AccountShares| shares.share(after(1), TIER, &account).expect("used").used;
    assert!((used(&shares) - 0.5).abs() < 1e-6);
    shares.settle(after(1), TIER, &account, charge, 3.0);
    assert!((used(&shares) - 2.5).abs() < 1e-6);
}

// Guards against shares that are not max-min: what an account does not ask for goes to
// the others by their weights.
#[test]
fn max_min_shares() {
    let mut shares = ledger();
    for (name, weight, demand, used) in [("a", 1, 1.0, 1.0), ("b", 1, 9.0, 4.0), ("c", 2, 9.0, 4.0)]
    {
        shares.record_demand(after(0), TIER, &named(name), weight, demand);
        shares.charge(after(0), TIER, &named(name), used);
    }
    let share = |name| {
        shares
            .share(after(0), TIER, &named(name))
            .expect("used")
            .share
    };
    assert!((share("a") - 1.0).abs() < 1e-6);
    assert!((share("b") - 8.0 / 3.0).abs() < 1e-6);
    assert!((share("c") - 16.0 / 3.0).abs() < 1e-6);
    assert!((shares.ratio(after(0), TIER, &named("b")) - 1.5).abs() < 1e-6);
    assert_eq!(shares.ratio(after(0), TIER, &named("c")), 1.0);
}

// Guards against a table that grows with each account that ever sent a request, and that
// forgets the flood when it is full.
#[test]
fn table_bounded() {
    let mut shares = ledger();
    let flood = named("flood");
    for number in 0..1_000 {
        let account = named(&format!("account-{number}"));
        shares.record_demand(after(0), TIER, &account, 1, 0.1);
        shares.record_demand(after(0), TIER, &flood, 1, 0.1);
        shares.charge(after(0), TIER, &flood, 0.1);
        assert!(shares.len() <= 100);
    }
    assert!(shares.ratio(after(0), TIER, &flood) > 1.0);
    // Decades later, sums neither overflow nor lose their precision.
    let late = after(1_000_000_000);
    shares.charge(late, TIER, &flood, 1.0);
    let used = shares.share(late, TIER, &flood).expect("used").used;
    assert!((used - 1.0).abs() < 1e-4, "{used}");
}
