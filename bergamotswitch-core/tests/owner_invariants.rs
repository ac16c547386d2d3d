//! Tests a shard owner on random events against a reference model that only counts
//! requests and permits.

mod owner_bench;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};

use bergamotswitch_draw::{TypeGenerator, any, for_each_of};
use owner_bench::*;

const DOMAINS: [&str; 2] = ["north", "south"];
const TARGETS: [&str; 4] = ["p", "q", "r", "s"];

/// A `PermitRequestDraw` is the random part of a permit request.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct PermitRequestDraw {
    run: u8,
    tier: u8,
    account: u8,
    cost: u16,
    deadline: u8,
    domain: u8,
    key: u8,
    resubmission: bool,
}

/// An `OwnerTurn` is a permit request followed by another random event.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct OwnerTurn {
    request: PermitRequestDraw,
    step: OwnerStep,
}

/// An `OwnerStep` is one random event.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum OwnerStep {
    PermitRequest(PermitRequestDraw),
    Repeat(u8),
    Withdraw(u8),
    Finish { index: u8, elapsed: u8 },
    Release { index: u8, outcome: u8 },
    AdvanceTime(u8),
    Targets(u8),
    Report { target: u8, tokens: u16, age: u8 },
    Prefix { target: u8, hash: u8, held: bool },
    HostTerminated(u8),
    NotHeld(u8),
}

/// A `HeldPermit` is a granted permit in the model.
struct HeldPermit {
    permit: Permit,
    tokens: u64,
}

/// An `OwnerModel` is the reference model, with which any correct owner agrees.
#[derive(Default)]
struct OwnerModel {
    waiting: BTreeMap<AttemptId, (PermitRequest, Moment)>,
    held: BTreeMap<PermitId, HeldPermit>,
    holders: BTreeMap<u128, Incarnation>,
    published: Vec<PoolTarget>,
    refused_at: Option<Moment>,
    answered: usize,
}

impl OwnerModel {
    /// Check the replies and apply them to the model.
    fn apply(&mut self, actions: &[OwnerAction]) {
        for reply in replies(actions) {
            match reply {
                OwnerReply::Granted { permit, .. } => self.apply_permit(permit),
                OwnerReply::Refused { attempt, .. } | OwnerReply::KeyHeld { attempt, .. } => {
                    let known = self.waiting.remove(&attempt);
                    assert!(known.is_some(), "reply without a queued request");
                    self.answered += 1;
                }
                _ => {}
            }
        }
    }

    fn apply_permit(&mut self, permit: Permit) {
        if let Some(held) = self.held.get(&permit.id) {
            assert_eq!(held.permit, permit, "the same permit is granted again");
            return;
        }
        let (permit_request, _) = self
            .waiting
            .remove(&permit.attempt)
            .expect("a queued request");
        let mut targets = self.published.iter();
        let target = targets.find(|target| target.name == permit.target);
        let target = target.expect("a published target");
        assert!(
            permit_request.domains.is_empty() || permit_request.domains.contains(&target.domain)
        );
        if let Some(claim) = &permit_request.claim {
            let holder = claim.holder.incarnation;
            let key_holder = *self.holders.entry(claim.key).or_insert(holder);
            assert_eq!(key_holder, holder, "two incarnations hold one key");
        }
        let tokens = permit_request.cost.total();
        self.held.insert(permit.id, HeldPermit { permit, tokens });
        self.answered += 1;
    }

    /// Check the owner's counts, and that nothing is queued or shed needlessly.
    fn check(&self, bench: &OwnerBench, actions: &[OwnerAction]) {
        let view = bench.view();
        let queued: usize = view.queued.iter().map(|tier| tier.requests).sum();
        assert_eq!(queued, self.waiting.len());
        assert_eq!(view.in_flight, self.held.len());
        for target in &view.targets {
            let on_target = self.held.values();
            let on_target = on_target.filter(|held| held.permit.target == target.name);
            let tokens: u64 = on_target.map(|held| held.tokens).sum();
            assert_eq!(target.outstanding_tokens, tokens);
        }
        let mut waiting = self.waiting.values();
        let late = waiting.any(|(_, deadline)| *deadline <= bench.now);
        assert!(!late, "a request is queued past its deadline");
        self.check_idle(bench);
        let shed = refusals(actions).iter().any(SeenRefusal::is_shed);
        assert!(!shed || queued > 0, "shed although nothing else is queued");
    }

    /// Check that nothing is queued while every target is idle and healthy.
    fn check_idle(&self, bench: &OwnerBench) {
        let recent = |at: Moment| bench.now.since(at).as_millis() < 100;
        let paused = self.refused_at.is_some_and(recent);
        let view = bench.view();
        let live = view.targets.iter().filter(|target| !target.leaving);
        let is_idle = |target: &TargetView| target.permits == 0 && !target.backed_off;
        let idle = live.clone().all(is_idle);
        if !paused && idle && live.count() > 0 {
            assert!(
                self.waiting.is_empty(),
                "requests are queued although all targets are idle"
            );
        }
    }

    fn held_at(&self, index: u8) -> Option<Permit> {
        let count = self.held.len();
        let held = self.held.values().nth(usize::from(index) % count.max(1))?;
        Some(held.permit.clone())
    }
}

/// Get the permit request of a draw.
fn permit_request_of(number: u64, draw: PermitRequestDraw) -> PermitRequest {
    let run = u128::from(draw.run % 3);
    let mut permit_request = permit_request(
        number,
        draw.tier % 3,
        ["a", "b", "c"][usize::from(draw.account % 3)],
    );
    permit_request.attempt = attempt_of(Incarnation(run), number);
    permit_request = with_cost(permit_request, u32::from(draw.cost % 4_000), 20);
    permit_request.prefixes = vec![PrefixHash(u64::from(draw.cost % 7))];
    permit_request.deadline_ms = 100 + 100 * u32::from(draw.deadline);
    permit_request.preemptible = draw.account.is_multiple_of(2);
    if let Some(name) = DOMAINS.get(usize::from(draw.domain % 4)) {
        permit_request.domains = vec![named(name)];
    }
    if draw.key < 40 {
        permit_request = with_claim(
            permit_request,
            u128::from(draw.key % 8),
            incarnation_of("entry", run),
            draw.resubmission,
        );
    }
    permit_request
}

/// Get the event of a step, and apply it to the model.
fn event_of(model: &mut OwnerModel, now: Moment, number: u64, step: OwnerStep) -> OwnerEvent {
    let from_entry = |message| OwnerEvent::Message(named("entry"), message);
    let index_of = |index: u8, count: usize| usize::from(index) % count.max(1);
    match step {
        OwnerStep::PermitRequest(draw) => {
            let permit_request = permit_request_of(number, draw);
            let span = Duration::from_millis(u64::from(permit_request.deadline_ms));
            let entry = (permit_request.clone(), now.plus(span));
            model.waiting.insert(permit_request.attempt, entry);
            from_entry(OwnerMessage::PermitRequest(Box::new(permit_request)))
        }
        OwnerStep::Repeat(index) => {
            let count = model.waiting.len();
            match model.waiting.values().nth(index_of(index, count)) {
                Some((permit_request, _)) => from_entry(OwnerMessage::PermitRequest(Box::new(
                    permit_request.clone(),
                ))),
                None => OwnerEvent::Tick,
            }
        }
        OwnerStep::Withdraw(index) => {
            let count = model.waiting.len();
            let attempt = model.waiting.keys().nth(index_of(index, count)).copied();
            let Some(attempt) = attempt else {
                return OwnerEvent::Tick;
            };
            model.waiting.remove(&attempt);
            from_entry(withdrawal(attempt))
        }
        OwnerStep::Finish { index, elapsed } => {
            let cost = cost_of(50, 50);
            let usage = usage(cost, u32::from(elapsed));
            release_of(model, index, ReleaseOutcome::Finished(usage))
        }
        OwnerStep::Release { index, outcome } => {
            let outcome = match outcome % 5 {
                0 => ReleaseOutcome::Unused,
                1 => ReleaseOutcome::Unreachable,
                2 => ReleaseOutcome::Refused,
                3 => ReleaseOutcome::Failed(Usage::default()),
                _ => ReleaseOutcome::Stopped(Usage::default()),
            };
            if outcome == ReleaseOutcome::Refused {
                model.refused_at = Some(now);
            }
            release_of(model, index, outcome)
        }
        OwnerStep::AdvanceTime(_) => OwnerEvent::Tick,
        OwnerStep::Targets(mask) => {
            model.published = targets_of(mask);
            OwnerEvent::Targets(model.published.clone())
        }
        OwnerStep::Report {
            target,
            tokens,
            age,
        } => OwnerEvent::Load(
            named(TARGETS[usize::from(target % 4)]),
            load_report(1, 0, u64::from(tokens), u32::from(age) * 10),
        ),
        OwnerStep::Prefix { target, hash, held } => OwnerEvent::Prefix(
            named(TARGETS[usize::from(target % 4)]),
            PrefixHash(u64::from(hash % 7)),
            held,
        ),
        OwnerStep::HostTerminated(run) => {
            let run = Incarnation(u128::from(run % 3));
            let waiting = &mut model.waiting;
            waiting.retain(|attempt, _| attempt.request.incarnation != run);
            let held = &mut model.held;
            held.retain(|_, held| held.permit.attempt.request.incarnation != run);
            OwnerEvent::HostTerminated(named("entry"), run)
        }
        OwnerStep::NotHeld(index) => {
            let permit = model.held_at(index);
            let permits: Vec<PermitId> = permit.iter().map(|permit| permit.id).collect();
            for id in &permits {
                model.held.remove(id);
            }
            from_entry(not_held(permits))
        }
    }
}

fn release_of(model: &mut OwnerModel, index: u8, outcome: ReleaseOutcome) -> OwnerEvent {
    let Some(permit) = model.held_at(index) else {
        return OwnerEvent::Tick;
    };
    model.held.remove(&permit.id);
    OwnerEvent::Message(named("entry"), released(&permit, outcome))
}

fn targets_of(mask: u8) -> Vec<PoolTarget> {
    let named = TARGETS.iter().enumerate();
    let chosen = named.filter(|(index, _)| mask & (1 << index) != 0);
    let targets = chosen.map(|(index, name)| target(name, DOMAINS[index % 2], 5_000));
    targets.collect()
}

/// An `OwnerRun` is an owner under test and its model.
struct OwnerRun {
    bench: OwnerBench,
    model: OwnerModel,
    number: u64,
}

impl OwnerRun {
    fn step(&mut self, step: OwnerStep) {
        if let OwnerStep::AdvanceTime(millis) = step {
            let span = Duration::from_millis(u64::from(millis));
            self.bench.now = self.bench.now.plus(span);
        }
        self.number += 1;
        let model = &mut self.model;
        let event = event_of(model, self.bench.now, self.number, step);
        let waiting = model.waiting.values();
        let before: Vec<PermitRequest> = waiting
            .map(|(permit_request, _)| permit_request.clone())
            .collect();
        let actions = self.bench.event(event);
        model.apply(&actions);
        model.check(&self.bench, &actions);
        check_shed_order(model, &before, &actions);
    }
}

fn run_turns(turns: &[OwnerTurn]) -> usize {
    let opts = OwnerOptions::default().with_max_requests(6);
    let mut run = OwnerRun {
        bench: OwnerBench::new(opts),
        model: OwnerModel::default(),
        number: 0,
    };
    run.step(OwnerStep::Targets(7));
    for turn in turns {
        run.step(OwnerStep::PermitRequest(turn.request));
        run.step(turn.step);
    }
    run.model.answered
}

/// Check that no request was shed in favor of one of a lower tier.
fn check_shed_order(model: &OwnerModel, before: &[PermitRequest], actions: &[OwnerAction]) {
    for refusal in refusals(actions) {
        let mut permit_requests = before.iter();
        let permit_request = permit_requests
            .find(|permit_request| permit_request.attempt.request.sequence == refusal.request);
        let (true, Some(permit_request)) = (refusal.is_shed(), permit_request) else {
            continue;
        };
        let mut kept = model.waiting.values();
        assert!(
            kept.all(|(kept, _)| kept.tier <= permit_request.tier),
            "{refusal:?}"
        );
        assert!(refusal.retry_after_ms >= 100);
    }
}

#[test]
fn random_events() {
    let answered = AtomicUsize::new(0);
    let turns = any::<Vec<OwnerTurn>>().with().len(0..300usize);
    for_each_of(&turns, 2_000, |turns| {
        answered.fetch_add(run_turns(turns), Ordering::Relaxed);
    });
    let answered = answered.into_inner();
    println!("{answered} permit requests answered");
    assert!(answered > 50_000, "{answered} permit requests answered");
}
