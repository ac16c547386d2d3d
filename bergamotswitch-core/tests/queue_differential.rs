//! Tests the queue and the router against reference implementations that scan
//! every request and every target.

mod owner_bench;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use bergamotswitch_core::pool_owner::back_off::BackOff;
use bergamotswitch_core::pool_owner::prefix_table::WarmTarget;
use bergamotswitch_core::pool_owner::queue::{Placement, QueuedRequest, RequestQueue};
use bergamotswitch_core::pool_owner::routing::{ReservedTargets, RouteQuery, TargetSet};
use bergamotswitch_core::pool_owner::target_load::TargetLoad;
use bergamotswitch_core::pool_owner::token_routing::choose;
use bergamotswitch_core::pool_owner::wait_plan::WaitPlan;
use bergamotswitch_draw::{TypeGenerator, any, for_each_of};
use owner_bench::*;

const SCALE: u128 = 1 << 20;

/// A `NaiveAccount` is an account's fair queuing state.
#[derive(Clone, Copy, Default)]
struct NaiveAccount {
    start: u128,
    share: u128,
}

/// A `NaiveQueue` is the reference queue, a plain list.
#[derive(Default)]
struct NaiveQueue {
    requests: Vec<QueuedRequest>,
    clocks: BTreeMap<Tier, u128>,
    accounts: BTreeMap<(Tier, String), NaiveAccount>,
}

/// Get the wait plan of a request without a time-to-first-token limit.
fn plan_until(deadline: Moment) -> WaitPlan {
    WaitPlan {
        on_time_until: Moment::NEVER,
        first_token_due: Moment::NEVER,
        give_up_at: deadline,
        run_until: deadline,
        sort_key: deadline,
    }
}

fn account_of(queued: &QueuedRequest) -> (Tier, String) {
    (queued.request.tier, queued.request.account.to_string())
}

fn rank_of(queued: &QueuedRequest) -> (Moment, u64) {
    (
        queued.plan.give_up_at,
        queued.request.attempt.request.sequence,
    )
}

impl NaiveQueue {
    fn has_queued(&self, account: &(Tier, String)) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|queued| account_of(queued) == *account)
    }

    fn push(&mut self, queued: QueuedRequest) {
        let key = account_of(&queued);
        let has_queued = self.has_queued(&key);
        let clock = self.clocks.get(&key.0).copied().unwrap_or(0);
        let account = self.accounts.entry(key).or_default();
        if !has_queued {
            account.start = account.start.max(clock);
        }
        account.share = u128::from(queued.request.share);
        self.requests.push(queued);
    }

    fn next(&self, blocked: &BTreeSet<Arc<Placement>>) -> Option<AttemptId> {
        let requests = self.requests.iter();
        let open = requests.filter(|queued| !blocked.contains(&queued.placement));
        let first = open.min_by_key(|queued| {
            let key = account_of(queued);
            (key.0, self.accounts[&key].start, key.1, rank_of(queued))
        });
        first.map(|queued| queued.request.attempt)
    }

    fn worst(&self) -> Option<AttemptId> {
        let lowest = self
            .requests
            .iter()
            .map(|queued| queued.request.tier)
            .max()?;
        let tier = self
            .requests
            .iter()
            .filter(|queued| queued.request.tier == lowest);
        let last = tier.max_by_key(|queued| {
            let key = account_of(queued);
            let own = self
                .requests
                .iter()
                .filter(|other| account_of(other) == key);
            let tokens: u64 = own.map(|other| other.request.cost.total()).sum();
            let excess = u128::from(tokens) * SCALE / self.accounts[&key].share;
            (excess, key.1, rank_of(queued))
        });
        last.map(|queued| queued.request.attempt)
    }

    fn take(&mut self, attempt: &AttemptId, served: bool) {
        let mut requests = self.requests.iter();
        let position = requests.position(|queued| queued.request.attempt == *attempt);
        let Some(position) = position else {
            return;
        };
        let queued = self.requests.remove(position);
        let key = account_of(&queued);
        let clock = self.clocks.entry(key.0).or_default();
        let account = self.accounts.get_mut(&key).expect("a known account");
        if served {
            *clock = (*clock).max(account.start);
            account.start += u128::from(queued.request.cost.total()) * SCALE / account.share;
        }
        if self
            .requests
            .iter()
            .any(|queued| queued.request.tier == key.0)
        {
            return;
        }
        // The tier's queue is empty, so its fair queuing state is reset.
        self.accounts.retain(|(tier, _), _| *tier != key.0);
        self.clocks.remove(&key.0);
    }
}

/// A `QueueStep` is one random change of a queue.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum QueueStep {
    Push {
        tier: u8,
        account: u8,
        share: u8,
        cost: u16,
        deadline: u8,
        domain: u8,
    },
    Serve,
    ServeOpen(u8),
    Shed,
    Withdraw(u8),
    Expire(u8),
}

const DOMAINS: [&str; 3] = ["north", "south", "west"];

/// Run one step on both queues.
fn step_both(fast: &mut RequestQueue, naive: &mut NaiveQueue, number: u64, step: QueueStep) {
    let none = BTreeSet::new();
    match step {
        QueueStep::Push {
            tier,
            account,
            share,
            cost,
            deadline,
            domain,
        } => {
            let account = ["a", "b", "c", "d"][usize::from(account % 4)];
            let mut permit_request = permit_request(number, tier % 3, account);
            permit_request.share = 1 + u32::from(share % 5);
            permit_request.cost.prefill = u32::from(cost);
            permit_request.domains = vec![named(DOMAINS[usize::from(domain % 3)])];
            let queued = QueuedRequest {
                origin: None,
                earlier: Default::default(),
                host: named("entry"),
                plan: plan_until(Moment::from_millis(u64::from(deadline))),
                placement: Arc::new(Placement::of(&permit_request, false)),
                request: permit_request,
            };
            fast.push(Moment::START, queued.clone());
            naive.push(queued);
        }
        QueueStep::Serve => serve_both(fast, naive, &none),
        QueueStep::ServeOpen(domain) => {
            let blocked = placement_in(domain);
            serve_both(fast, naive, &BTreeSet::from([blocked]));
        }
        QueueStep::Shed => {
            let worst = fast.next_to_shed();
            assert_eq!(worst, naive.worst());
            if let Some(attempt) = worst {
                fast.remove(&attempt);
                naive.take(&attempt, false);
            }
        }
        QueueStep::Withdraw(sequence) => {
            let attempt = attempt_of(ENTRY_INCARNATION, u64::from(sequence));
            fast.remove(&attempt);
            naive.take(&attempt, false);
        }
        QueueStep::Expire(at) => {
            let now = Moment::from_millis(u64::from(at) / 8);
            while let Some(attempt) = fast.expired(now) {
                fast.remove(&attempt);
                naive.take(&attempt, false);
            }
            let late = naive
                .requests
                .iter()
                .filter(|queued| queued.plan.give_up_at <= now);
            assert_eq!(late.count(), 0);
        }
    }
}

fn placement_in(domain: u8) -> Arc<Placement> {
    let permit_request = with_domain(permit_request(0, 0, "a"), DOMAINS[usize::from(domain % 3)]);
    Arc::new(Placement::of(&permit_request, false))
}

fn serve_both(fast: &mut RequestQueue, naive: &mut NaiveQueue, blocked: &BTreeSet<Arc<Placement>>) {
    let next = fast.next(blocked).map(|queued| queued.request.attempt);
    assert_eq!(next, naive.next(blocked));
    if let Some(attempt) = next {
        fast.serve(&attempt);
        naive.take(&attempt, true);
    }
}

#[test]
fn same_order() {
    let steps = any::<Vec<QueueStep>>().with().len(0..300usize);
    for_each_of(&steps, 2_000, |steps| {
        let mut fast = RequestQueue::default();
        let mut naive = NaiveQueue::default();
        for (number, step) in steps.iter().enumerate() {
            step_both(&mut fast, &mut naive, number as u64, *step);
            assert_eq!(fast.len(), naive.requests.len());
            let tokens = naive
                .requests
                .iter()
                .map(|queued| queued.request.cost.total());
            assert_eq!(fast.tokens(), tokens.sum::<u64>());
        }
        while !fast.is_empty() {
            serve_both(&mut fast, &mut naive, &BTreeSet::new());
        }
        assert!(naive.requests.is_empty());
    });
}

/// A `TargetStep` is one random change of a target.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum TargetStep {
    AddPermit(TokenDraw),
    RecordUsage { target: u8, elapsed_ms: u16 },
    RecordFailure { target: u8 },
    RecordCacheHit { target: u8, cached: u8 },
    StartDraining { target: u8 },
    Publish { target: u8 },
    RemovePermit(TokenDraw),
    RecordSuccess { target: u8 },
    AdvanceTime { millis: u16 },
    Choose(RouteDraw),
}

/// A `TokenDraw` is the random part of a change of a target's tokens.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct TokenDraw {
    target: u8,
    tokens: u16,
    long: bool,
}

/// A `RouteDraw` is the random part of a route query.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct RouteDraw {
    prefill: u16,
    domain: u8,
    long: bool,
    warm: u8,
    avoid: u8,
    probe_eligible: bool,
    failed_before: bool,
}

const TARGETS: [&str; 5] = ["p", "q", "r", "s", "t"];

fn routed_targets() -> TargetSet {
    let named = TARGETS.iter().enumerate().map(|(index, name)| {
        let mut target = target(name, DOMAINS[index % 2], 40_000);
        target.expected_speed = 200 + 300 * index as u32;
        let back_off = BackOff::new(Duration::from_millis(500), Duration::from_secs(30));
        (target.name.clone(), TargetLoad::new(target, back_off))
    });
    named.collect()
}

/// Choose a target without shortcuts: filter all targets, then compare the rest.
fn naive_choice(now: Moment, targets: &TargetSet, query: &RouteQuery<'_>) -> Option<String> {
    use bergamotswitch_core::pool_owner::back_off::ProbeAdmission;
    let mut allowed: Vec<&TargetLoad> = Vec::new();
    for load in targets.values() {
        let domains = &query.placement.domains;
        if !load.is_draining() && (domains.is_empty() || domains.contains(&load.target().domain)) {
            allowed.push(load);
        }
    }
    let avoided = |load: &&TargetLoad| query.placement.avoid.contains(&load.target().name);
    if !allowed.iter().all(avoided) {
        allowed.retain(|load| !avoided(load));
    }
    let all_failing = allowed.iter().all(|load| load.back_off().is_active());
    let with_long = allowed.iter().filter(|load| load.has_long()).count();
    let spare = allowed.len() - with_long;
    let mut best: Option<(f64, u64, String)> = None;
    for load in &allowed {
        let tokens = query.cost.total();
        let usable = match load.back_off().admission(now) {
            ProbeAdmission::Unrestricted => {
                load.permits() == 0 || load.backlog(now) + tokens <= load.limit(now)
            }
            ProbeAdmission::EligibleProbe => {
                (query.probe_eligible && !query.failed_before) || all_failing
            }
            ProbeAdmission::AnyProbe => !query.failed_before || all_failing,
            ProbeAdmission::Blocked => false,
        };
        let adds_long = !load.has_long() && allowed.len() > 1;
        let exhausts_reserve = adds_long && spare <= allowed.len().div_ceil(8);
        let long_fits = load.fits_long(now, tokens) && !exhausts_reserve;
        if !usable || (query.placement.long && !long_fits) {
            continue;
        }
        let mut own = tokens;
        for warm in query.warm {
            if warm.target == load.target().name {
                let warm = u64::from(query.cost.prefill) * warm.blocks as u64 / query.blocks as u64;
                own -= (warm as f64 * load.cache_hit_ratio()).floor() as u64;
            }
        }
        let micros = ((load.backlog(now) + own) as f64 * 1e6 / load.speed(now)).floor();
        let name = load.target().name.to_string();
        let found = (micros, load.outstanding(), name);
        if best.as_ref().is_none_or(|best| found < *best) {
            best = Some(found);
        }
    }
    best.map(|(_, _, name)| name)
}

/// Run one step on the targets, compare the chosen target with the reference, and
/// get whether one was found.
fn step_targets(now: &mut Moment, targets: &mut TargetSet, number: u64, step: TargetStep) -> bool {
    let name = |index: u8| named(TARGETS[usize::from(index) % TARGETS.len()]);
    let permit = PermitId {
        owner: ENTRY_INCARNATION,
        sequence: number,
    };
    let mut change = |index: u8, act: &mut dyn FnMut(&mut TargetLoad)| {
        if let Some(load) = targets.get_mut(&name(index)) {
            act(load);
        }
    };
    match step {
        TargetStep::AddPermit(draw) => change(draw.target, &mut |load| {
            load.add_permit(*now, u64::from(draw.tokens), draw.long)
        }),
        TargetStep::RecordUsage { target, elapsed_ms } => {
            let cost = cost_of(100, 100);
            let usage: Usage = usage(cost, u32::from(elapsed_ms));
            change(target, &mut |load| {
                load.record_usage(*now, 1_000, cost, &usage)
            });
        }
        TargetStep::RecordFailure { target } => change(target, &mut |load| {
            load.back_off_mut().record_failure(*now, permit, *now, true);
        }),
        TargetStep::RecordCacheHit { target, cached } => {
            change(target, &mut |load| {
                load.record_cache_hit(255, u32::from(cached))
            });
        }
        TargetStep::Publish { target } => change(target, &mut |load| {
            let published = load.target().clone();
            load.publish(published);
        }),
        TargetStep::RemovePermit(draw) => change(draw.target, &mut |load| {
            load.remove_permit(*now, u64::from(draw.tokens), draw.long);
        }),
        TargetStep::RecordSuccess { target } => change(target, &mut |load| {
            load.back_off_mut().record_success(permit, *now);
        }),
        TargetStep::StartDraining { target } => change(target, &mut TargetLoad::start_draining),
        TargetStep::AdvanceTime { millis } => {
            *now = now.plus(Duration::from_millis(u64::from(millis)));
        }
        TargetStep::Choose(draw) => {
            let mut permit_request: PermitRequest = permit_request(number, 1, "a");
            permit_request.domains = match draw.domain % 3 {
                2 => Vec::new(),
                drawn => vec![named(DOMAINS[usize::from(drawn)])],
            };
            permit_request.avoid = vec![name(draw.avoid)];
            let warm = [WarmTarget {
                target: name(draw.warm),
                blocks: 1 + usize::from(draw.warm % 4),
            }];
            let query = RouteQuery {
                tier: permit_request.tier,
                placement: &Placement::of(&permit_request, draw.long),
                cost: cost_of(u32::from(draw.prefill), 50),
                blocks: 4,
                warm: &warm,
                probe_eligible: draw.probe_eligible,
                failed_before: draw.failed_before,
            };
            let fast = choose(*now, targets, &ReservedTargets::default(), &query);
            let fast = fast.map(|route| route.target.to_string());
            assert_eq!(fast, naive_choice(*now, targets, &query));
            return fast.is_some();
        }
    }
    false
}

#[test]
fn same_target() {
    let found = AtomicUsize::new(0);
    let steps = any::<Vec<TargetStep>>().with().len(0..300usize);
    for_each_of(&steps, 2_000, |steps| {
        let mut now = Moment::from_millis(1_000);
        let mut targets = routed_targets();
        for (number, step) in steps.iter().enumerate() {
            let chosen = step_targets(&mut now, &mut targets, number as u64, *step);
            found.fetch_add(usize::from(chosen), Ordering::Relaxed);
        }
    });
    let found = found.into_inner();
    println!("{found} targets chosen");
    assert!(found > 2_000, "{found} targets chosen");
}

/// Get the shortest measured time for 200 permit requests and grants while
/// `waiting` requests are queued.
fn grant_time(waiting: u64) -> Duration {
    let opts = OwnerOptions::default().with_max_wait(Duration::from_secs(1_000_000));
    let mut bench = OwnerBench::with_targets(opts, &[target("t", "d", 100)]);
    let mut permit = bench.granted(&permit_request(0, 1, "a"));
    for request in 1..=waiting {
        bench.request_permit(&permit_request(
            request,
            1,
            ["a", "b", "c", "d"][request as usize % 4],
        ));
    }
    let mut request = waiting;
    let mut shortest = Duration::MAX;
    for _ in 0..10 {
        let started = Instant::now();
        for _ in 0..200 {
            request += 1;
            bench.request_permit(&permit_request(request, 1, "a"));
            let actions = bench.release(&permit, ReleaseOutcome::Unused);
            permit = permits(&actions)[0].clone();
        }
        shortest = shortest.min(started.elapsed());
    }
    shortest
}

#[test]
fn queue_scaling() {
    // Scanning a queue that is a hundred times as long would take a hundred times
    // as long. The bound allows for other load on the machine.
    let short = grant_time(100);
    let long = grant_time(10_000);
    println!("200 permit requests and grants: {short:?} at 100 queued, {long:?} at 10,000");
    assert!(long < short * 10, "{long:?} at 10,000, {short:?} at 100");
}
