//! Tests the promises to refused callers that return: whom they serve in a wave of
//! twice the room, and what failures leave of them.

mod owner_bench;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use bergamotswitch_core::call_signature::CallSignature;
use bergamotswitch_core::host::HostName;
use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::pool_owner::return_promises::{
    CLAIM_TOLERANCE, PromiseOptions, ReturnPromises, ReturningCaller,
};
use bergamotswitch_core::pool_owner::room_forecast::{RoomForecast, TierDemand};
use bergamotswitch_core::pool_owner::{PromiseState, SchedulingOptions};
use owner_bench::*;

const TARGETS: usize = 20;
const SLOTS: u32 = 8;

/// The usual load as a part of the room, and that of the wave.
const USUAL: f64 = 0.6;
const WAVE: f64 = 2.0;

/// When the wave begins and ends, and when the last new call is sent.
const WAVE_MS: std::ops::Range<u64> = 12_000..17_000;
const LAST_CALL_MS: u64 = 32_000;

/// A `CallKind` is the calls of one tier.
struct CallKind {
    /// The number of these calls in every ten.
    weight: u64,
    cost: TokenCost,
    first_token_limit_ms: u32,
    deadline_ms: u64,
}

fn kinds() -> [CallKind; 3] {
    let kind = |weight, prefill, decode, first_token_limit_ms, deadline_ms| CallKind {
        weight,
        cost: cost_of(prefill, decode),
        first_token_limit_ms,
        deadline_ms,
    };
    [
        kind(3, 6_600, 380, 800, 12_000),
        kind(3, 630, 290, 500, 10_000),
        kind(4, 1_800, 30, 600, 10_000),
    ]
}

fn kind_of(call: u64) -> usize {
    match call % 10 {
        0..3 => 0,
        3..6 => 1,
        _ => 2,
    }
}

/// Get how long the target of this number takes for a run, in milliseconds; the slowest
/// takes three times as long as the fastest.
fn run_ms(target: usize, cost: TokenCost) -> (u32, u32) {
    let slowdown = 2 + 4 * target as u32 / (TARGETS as u32 - 1);
    let first_token_ms = (40 + cost.prefill / 50) * slowdown / 4;
    (first_token_ms, first_token_ms + cost.decode * slowdown / 2)
}

/// Get the calls per second that keep all slots busy.
fn room_per_second() -> f64 {
    let kinds = kinds();
    let of_target = |target| {
        let total: f64 = kinds
            .iter()
            .map(|kind| kind.weight as f64 * f64::from(run_ms(target, kind.cost).1))
            .sum();
        f64::from(SLOTS) * 10_000.0 / total
    };
    (0..TARGETS).map(of_target).sum()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A quarter of the targets is lost in the wave.
    TargetsLost,
    /// Another owner takes over in the wave, with the promises if the handover was planned.
    OwnerChanged {
        planned: bool,
    },
    /// Every other caller returns at once, up to three times.
    Impatient,
    /// The calls have few different bodies.
    EqualCalls,
}

/// A `CallState` is what became of a call.
#[derive(Clone, Debug, Default)]
struct CallState {
    sent_ms: u64,
    tries: u32,
    promised: bool,
    served: bool,
    refused_at_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Send(u64),
    End(usize),
    Tick,
}

/// A `ReturnLoad` is a simulation of an owner, its targets, and callers who return once
/// as told.
struct ReturnLoad {
    bench: OwnerBench,
    opts: OwnerOptions,
    fault: Fault,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    number: u64,
    calls: Vec<CallState>,
    /// The call of each attempt, and when it was sent.
    attempts: HashMap<u64, (u64, u64)>,
    runs: Vec<(Permit, Usage)>,
    on_time: u64,
    /// The refusals, and those after more than an eighth of the first-token limit.
    refusals: u64,
    late_refusals: u64,
    promises_made: u64,
    events: usize,
}

/// A `LoadResult` is what callers got.
#[derive(Debug)]
struct LoadResult {
    served: usize,
    on_time: u64,
    returned: usize,
    refused_again: f64,
    promised: usize,
    kept: f64,
    late_refusals: f64,
    events: usize,
}

fn options(permille: u64) -> OwnerOptions {
    OwnerOptions::default().with_scheduling(SchedulingOptions {
        return_room: (permille > 0).then_some(permille as f64 / 1_000.0),
        ..SchedulingOptions::default()
    })
}

fn targets(count: usize) -> Vec<PoolTarget> {
    let all = (0..count).map(|number| PoolTarget {
        slots: Some(SLOTS),
        ..target(&format!("engine-{number:02}"), "d", 700_000)
    });
    all.collect()
}

fn signature_of(call: u64) -> CallSignature {
    CallSignature::new(&named("account"), u128::from(call))
}

impl ReturnLoad {
    fn new(permille: u64, fault: Fault) -> Self {
        let opts = options(permille);
        let mut load = ReturnLoad {
            bench: OwnerBench::with_targets(opts.clone(), &targets(TARGETS)),
            opts,
            fault,
            steps: BinaryHeap::new(),
            number: 0,
            calls: Vec::new(),
            attempts: HashMap::new(),
            runs: Vec::new(),
            on_time: 0,
            refusals: 0,
            late_refusals: 0,
            promises_made: 0,
            events: 0,
        };
        load.plan_calls();
        load
    }

    fn plan_calls(&mut self) {
        let room = room_per_second();
        let (mut at, mut call) = (0.0, 0);
        while at < LAST_CALL_MS as f64 {
            let in_wave = WAVE_MS.contains(&(at as u64));
            let part = if in_wave { WAVE } else { USUAL };
            self.schedule(at as u64, Step::Send(call));
            self.calls.push(CallState {
                sent_ms: at as u64,
                ..CallState::default()
            });
            call += 1;
            at += 1_000.0 / (room * part);
        }
        for tick in 0..(LAST_CALL_MS + 14_000) / 5 {
            self.schedule(tick * 5, Step::Tick);
        }
    }

    fn schedule(&mut self, at_ms: u64, step: Step) {
        self.number += 1;
        self.steps.push(Reverse((at_ms, self.number, step)));
    }

    fn run(mut self) -> LoadResult {
        let mut fault_at = Some(WAVE_MS.start + 2_000);
        while let Some(Reverse((at_ms, _, step))) = self.steps.pop() {
            self.bench.now = Moment::from_millis(1_000 + at_ms);
            if fault_at.is_some_and(|fault_at| at_ms >= fault_at) {
                fault_at = None;
                self.apply_fault(at_ms);
            }
            self.events += 1;
            match step {
                Step::Send(call) => self.send(at_ms, call),
                Step::End(run) => {
                    let (permit, usage) = self.runs[run].clone();
                    let actions = self.bench.release(&permit, ReleaseOutcome::Finished(usage));
                    self.apply(at_ms, actions);
                }
                Step::Tick => {
                    let actions = self.bench.event(OwnerEvent::Tick);
                    self.apply(at_ms, actions);
                }
            }
        }
        self.result()
    }

    fn apply_fault(&mut self, at_ms: u64) {
        match self.fault {
            Fault::TargetsLost => {
                let left = targets(TARGETS * 3 / 4);
                let actions = self.bench.event(OwnerEvent::Targets(left));
                self.apply(at_ms, actions);
            }
            Fault::OwnerChanged { planned } => self.change_owner(at_ms, planned),
            Fault::None | Fault::Impatient | Fault::EqualCalls => {}
        }
    }

    /// Let a new owner take over. Entry hosts report their runs and send their waiting
    /// permit requests again.
    fn change_owner(&mut self, at_ms: u64, planned: bool) {
        let promises = self.bench.owner.promise_report(self.bench.now);
        let now = self.bench.now;
        let identity = incarnation_of("next", 2);
        self.bench.owner = ShardOwner::new(identity, shard(), self.opts.clone(), now);
        self.bench.event(OwnerEvent::Targets(targets(TARGETS)));
        let mut waiting: BTreeMap<u64, (u64, u64)> = self.attempts.clone().into_iter().collect();
        let held = self.runs.iter().map(|(permit, _)| {
            let sequence = permit.attempt.request.sequence;
            in_flight_work(permit.clone(), &self.request(sequence, at_ms))
        });
        let running: Vec<InFlightWork> = held.collect();
        for work in &running {
            waiting.remove(&work.attempt.request.sequence);
        }
        let ended = self.steps.iter().map(|Reverse((_, _, step))| *step);
        let open: std::collections::BTreeSet<Step> = ended.collect();
        let held = running.into_iter().enumerate();
        let held = held.filter(|(run, _)| open.contains(&Step::End(*run)));
        let message = OwnerMessage::Resync {
            shard: shard(),
            held: held.map(|(_, work)| work).collect(),
            claims: Vec::new(),
        };
        self.bench.message(message);
        if planned {
            let shard = shard();
            self.bench
                .message(OwnerMessage::Promises { shard, promises });
        }
        for sequence in waiting.keys() {
            self.request_permit(at_ms, *sequence);
        }
    }

    fn request(&self, sequence: u64, at_ms: u64) -> PermitRequest {
        let (call, since_ms) = self.attempts[&sequence];
        let kind = &kinds()[kind_of(call)];
        let mut request = permit_request(sequence, kind_of(call) as u8, "account");
        request.cost = kind.cost;
        request.first_answer_ms = Some(kind.first_token_limit_ms);
        let sent_ms = self.calls[call as usize].sent_ms;
        request.deadline_ms = (sent_ms + kind.deadline_ms).saturating_sub(at_ms) as u32;
        request.waited_ms = (at_ms - since_ms) as u32;
        request
    }

    fn send(&mut self, at_ms: u64, call: u64) {
        self.calls[call as usize].tries += 1;
        self.number += 1;
        self.attempts.insert(self.number, (call, at_ms));
        self.request_permit(at_ms, self.number);
    }

    fn request_permit(&mut self, at_ms: u64, sequence: u64) {
        let request = self.request(sequence, at_ms);
        let host: HostName = named(["entry", "other"][(sequence % 2) as usize]);
        let signature = OwnerMessage::Signature {
            shard: shard(),
            attempt: request.attempt,
            signature: signature_of(match self.fault {
                Fault::EqualCalls => self.attempts[&sequence].0 % 50,
                _ => self.attempts[&sequence].0,
            }),
        };
        let actions = self
            .bench
            .event(OwnerEvent::Message(host.clone(), signature));
        self.apply(at_ms, actions);
        let message = OwnerMessage::PermitRequest(Box::new(request));
        let actions = self.bench.event(OwnerEvent::Message(host, message));
        self.apply(at_ms, actions);
    }

    fn apply(&mut self, at_ms: u64, actions: Vec<OwnerAction>) {
        for permit in permits(&actions) {
            self.start(at_ms, permit);
        }
        for refusal in refusals(&actions) {
            self.on_refused(at_ms, &refusal);
        }
    }

    fn start(&mut self, at_ms: u64, permit: Permit) {
        let sequence = permit.attempt.request.sequence;
        let (call, since_ms) = self
            .attempts
            .get(&sequence)
            .copied()
            .expect("a known attempt");
        let target: usize = permit.target.as_str()[7..].parse().expect("a number");
        let kind = &kinds()[kind_of(call)];
        let (first_token_ms, elapsed_ms) = run_ms(target, kind.cost);
        let usage = Usage {
            prefill: kind.cost.prefill,
            cached: 0,
            decode: kind.cost.decode,
            first_token_ms,
            elapsed_ms,
        };
        let state = &mut self.calls[call as usize];
        let ends_ms = at_ms + u64::from(elapsed_ms);
        state.served = ends_ms <= state.sent_ms + kind.deadline_ms;
        let first_at_ms = at_ms + u64::from(first_token_ms);
        if state.tries == 1 && first_at_ms <= since_ms + u64::from(kind.first_token_limit_ms) {
            self.on_time += 1;
        }
        self.schedule(ends_ms, Step::End(self.runs.len()));
        self.runs.push((permit, usage));
    }

    fn on_refused(&mut self, at_ms: u64, refusal: &SeenRefusal) {
        let (call, since_ms) = self.attempts.remove(&refusal.request).expect("an attempt");
        let kind = &kinds()[kind_of(call)];
        self.refusals += 1;
        let waited = at_ms - since_ms;
        self.late_refusals += u64::from(waited * 8 > u64::from(kind.first_token_limit_ms) + 40);
        let made = self.promises_made();
        let state = &mut self.calls[call as usize];
        state.refused_at_ms = at_ms;
        let is_impatient = self.fault == Fault::Impatient && call % 2 == 0;
        let left = (state.sent_ms + kind.deadline_ms).saturating_sub(at_ms);
        if is_impatient {
            if state.tries <= 3 {
                self.schedule(at_ms + 10, Step::Send(call));
            }
        } else if state.tries == 1 {
            // A caller that is told a time within a third of what it has left, with room.
            state.promised = made > self.promises_made;
            let after = u64::from(refusal.retry_after_ms).min(left / 3);
            self.schedule(at_ms + 4 + after, Step::Send(call));
        }
        self.promises_made = made;
    }

    fn promises_made(&self) -> u64 {
        let mut counts = self.bench.owner.promise_counts();
        let made = counts.find(|(state, _)| *state == PromiseState::Made);
        made.map_or(0, |(_, count)| count)
    }

    fn result(&self) -> LoadResult {
        let served = |calls: &[&CallState]| calls.iter().filter(|call| call.served).count();
        let all: Vec<&CallState> = self.calls.iter().collect();
        let returned: Vec<&CallState> = self.calls.iter().filter(|call| call.tries > 1).collect();
        let promised: Vec<&CallState> = self.calls.iter().filter(|call| call.promised).collect();
        let part = |count: usize, of: usize| count as f64 / of.max(1) as f64;
        LoadResult {
            served: served(&all),
            on_time: self.on_time,
            returned: returned.len(),
            refused_again: 1.0 - part(served(&returned), returned.len()),
            promised: promised.len(),
            kept: part(served(&promised), promised.len()),
            events: self.events,
            late_refusals: part(self.late_refusals as usize, self.refusals as usize),
        }
    }
}

/// The part of the room that the loads promise.
const ROOM_PERMILLE: u64 = 800;

/// Compare a load without promises to the same load with them.
fn compare(fault: Fault) -> (LoadResult, LoadResult) {
    let without = ReturnLoad::new(0, fault).run();
    let with = ReturnLoad::new(ROOM_PERMILLE, fault).run();
    println!("without {without:?}\nwith    {with:?}");
    assert!(with.refused_again < without.refused_again);
    (without, with)
}

// Guards against callers that are refused again and again in a wave, and against
// refusals after a long wait.
#[test]
fn wave_returns() {
    let (without, with) = compare(Fault::None);
    assert!(with.served >= without.served);
    assert!(with.kept >= 0.9);
    assert!(without.refused_again > 0.6);
    assert!(with.refused_again <= 0.35);
    assert!(with.promised * 2 > with.returned);
    assert!(without.late_refusals > 0.3);
    assert!(with.late_refusals < 0.1);
    // Callers that return as promised take places of new ones, but not too many.
    assert!(with.on_time * 100 >= without.on_time * 85);
}

// Guards against promises that are not kept when a quarter of the targets is lost after
// they were made.
#[test]
fn lost_targets() {
    let (without, with) = compare(Fault::TargetsLost);
    assert!(with.served >= without.served);
    assert!(with.kept >= 0.9);
    assert!(with.refused_again < without.refused_again * 0.7);
}

// Guards against promises that are lost in a planned handover.
#[test]
fn handed_over() {
    let (without, with) = compare(Fault::OwnerChanged { planned: true });
    assert!(with.served >= without.served);
    assert!(with.kept >= 0.9);
    assert!(with.refused_again < without.refused_again * 0.7);
}

// Guards against a load that is worse off than without promises when they are lost with
// their owner.
#[test]
fn lost_owner() {
    let (without, with) = compare(Fault::OwnerChanged { planned: false });
    // Single calls differ.
    assert!(with.served * 100 >= without.served * 99);
}

// Guards against impatient callers that take the places of those who return as told.
#[test]
fn impatient_callers() {
    let (without, with) = compare(Fault::Impatient);
    assert!(with.served >= without.served);
    assert!(with.kept >= 0.9);
}

// Guards against equal calls that are taken for one call that returns.
#[test]
fn equal_calls() {
    let (without, with) = compare(Fault::EqualCalls);
    assert!(with.served >= without.served);
    assert!(with.refused_again < without.refused_again * 0.7);
}

/// Get the CPU time used by this thread, in nanoseconds.
fn cpu_nanos() -> u64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("a Linux system");
    let first = text.split_whitespace().next().expect("a field");
    first.parse().expect("a number")
}

// Guards against promises that cost an owner more CPU time per event than the load of
// `burst_cost` may, the simulation itself included.
#[test]
fn event_cpu_time() {
    let micros = (0..3).map(|_| {
        let load = ReturnLoad::new(ROOM_PERMILLE, Fault::None);
        let started = cpu_nanos();
        let events = load.run().events;
        (cpu_nanos() - started) as f64 / events as f64 / 1_000.0
    });
    let fastest = micros.min_by(f64::total_cmp).expect("a run");
    println!("{fastest:.1} us of CPU time per event");
    assert!(fastest < 24.0, "{fastest:.1} us");
}

const LATEST: Moment = Moment::from_millis(3_000);

fn promises(max_promises: usize) -> ReturnPromises {
    let room = 0.5;
    ReturnPromises::new(PromiseOptions { room, max_promises })
}

fn caller(number: u64, tier: u8) -> ReturningCaller {
    ReturningCaller {
        signature: signature_of(number),
        tier: Tier(tier),
        account: named("account"),
        least_room: Duration::from_millis(500),
        work: Duration::from_millis(500),
        wait: Duration::ZERO,
    }
}

/// Get the forecast of 10 slots, all of which new requests of tier 1 keep busy.
fn busy() -> RoomForecast {
    let demand = TierDemand {
        tier: Tier(1),
        arriving: 10.0,
        usual: 10.0,
        starting: 0.0,
        queued: Duration::ZERO,
    };
    RoomForecast::new(10.0, vec![demand])
}

fn reserve(promises: &mut ReturnPromises, number: u64, tier: u8) -> Option<Moment> {
    promises.reserve(Moment::START, &busy(), &caller(number, tier), LATEST)
}

// Guards against promises beyond the part of the room that may be promised, in total or
// at one time, and against lower tiers that are promised what a higher one takes, or
// that keep a higher one from a promise.
#[test]
fn room_bounds() {
    let mut promises = promises(1_000);
    assert_eq!(reserve(&mut promises, 0, 2), None);
    let due: Vec<Moment> = (1..1_000)
        .map_while(|number| reserve(&mut promises, number, 1))
        .collect();
    assert!((25..=30).contains(&due.len()), "{} promises", due.len());
    for start in 0..25 {
        let span = Moment::from_millis(start * 100)..Moment::from_millis(start * 100 + 500);
        let inside = due.iter().filter(|due| span.contains(due)).count();
        assert!(inside <= 6, "{inside} runs of half a second in 5 slots");
    }
    assert!(due.iter().all(|due| *due <= LATEST));
    assert!(reserve(&mut promises, 2_000, 0).is_some());
}

// Guards against a promise that is redeemed early, twice or by another call, and against
// equal calls of which only one is admitted.
#[test]
fn claimed_once() {
    let mut promises = promises(1_000);
    let due = reserve(&mut promises, 1, 1).expect("a promise");
    let mut again = |millis| {
        let now = Moment::from_millis(millis);
        promises.reserve(now, &busy(), &caller(1, 1), LATEST)
    };
    let equal = again(200).expect("a promise");
    again(210);
    assert_eq!(
        promises.len(),
        2,
        "a caller that is back at once has no more"
    );
    let early = Moment::from_millis(500);
    assert_eq!(promises.claim(early, signature_of(1)), None);
    assert_eq!(promises.claim(due, signature_of(2)), None);
    let latest = due.max(equal);
    let claims = (0..3).filter(|_| promises.claim(latest, signature_of(1)).is_some());
    assert_eq!(claims.count(), 2);
}

// Guards against promises that nobody claims and that keep their places, and against a
// table that grows without bound.
#[test]
fn expired_promises() {
    let mut promises = promises(3);
    let due: Vec<Option<Moment>> = (0..4).map(|n| reserve(&mut promises, n, 1)).collect();
    assert_eq!(due[3], None);
    let last = due.iter().flatten().max().expect("a promise");
    let end = last.plus(CLAIM_TOLERANCE);
    assert_eq!(promises.expire(end), 3);
    assert_eq!(promises.claim(end, signature_of(0)), None);
    assert!(promises.is_empty() && reserve(&mut promises, 5, 1).is_some());
}

/// Send a permit request after the signature of its call.
fn request_signed(bench: &mut OwnerBench, request: &PermitRequest, call: u64) -> Vec<OwnerAction> {
    bench.message(OwnerMessage::Signature {
        shard: shard(),
        attempt: request.attempt,
        signature: signature_of(call),
    });
    bench.request_permit(request)
}

/// Get an owner of one slot, which is in use, with a queue of two requests, the permit in
/// use, and the refusal of a third request.
fn full_bench() -> (OwnerBench, Permit, SeenRefusal) {
    let targets = [PoolTarget {
        slots: Some(1),
        ..target("engine", "d", 100_000)
    }];
    let mut bench = OwnerBench::with_targets(options(1_000).with_max_requests(2), &targets);
    let first = bench.granted(&permit_request(1, 2, "a"));
    bench.tick_after(100);
    let usage = usage(cost_of(50, 50), 100);
    bench.release(&first, ReleaseOutcome::Finished(usage));
    let running = bench.granted(&permit_request(2, 2, "a"));
    let refused = (3..=5).flat_map(|number| {
        let request = permit_request(number, 2, "a");
        refusals(&request_signed(&mut bench, &request, number))
    });
    let refused: Vec<SeenRefusal> = refused.collect();
    assert_eq!(refused.len(), 1, "{refused:?}");
    (bench, running, refused[0].clone())
}

fn counted(bench: &OwnerBench, wanted: PromiseState) -> u64 {
    let mut counts = bench.owner.promise_counts();
    counts
        .find(|(state, _)| *state == wanted)
        .map_or(0, |(_, count)| count)
}

// Guards against a caller that returns as told and is shed for newcomers of its tier, or
// served after them; and against one that keeps a higher tier out, or is refused without
// a trace.
#[test]
fn redeemed_order() {
    let (mut bench, running, refusal) = full_bench();
    bench.tick_after(u64::from(refusal.retry_after_ms) + 1);
    let returned = permit_request(6, 2, "a");
    let shed = refusals(&request_signed(&mut bench, &returned, refusal.request));
    assert!(shed.len() == 1 && shed[0].request != 6, "{shed:?}");
    assert_eq!(counted(&bench, PromiseState::Claimed), 1);
    let actions = bench.release(&running, ReleaseOutcome::Unused);
    assert_eq!(granted_requests(&actions), [6]);

    let (mut bench, _, refusal) = full_bench();
    bench.tick_after(u64::from(refusal.retry_after_ms) + 1);
    request_signed(&mut bench, &returned, refusal.request);
    for number in 7..=8 {
        bench.request_permit(&permit_request(number, 0, "a"));
    }
    assert_eq!(counted(&bench, PromiseState::BrokenHigherTier), 1);
    let is_logged = |action: &OwnerAction| {
        matches!(
            action,
            OwnerAction::LogIncident(Incident::PromisesBroken, ..)
        )
    };
    assert!(bench.tick_after(1).iter().any(is_logged));
    assert!(!bench.tick_after(1).iter().any(is_logged));
}

// Guards against a request that was queued because it would begin on time and that is
// refused only after a long wait when half of the targets are lost.
#[test]
fn early_check() {
    let slot = |name| PoolTarget {
        slots: Some(1),
        ..target(name, "d", 100_000)
    };
    let mut bench = OwnerBench::with_targets(options(500), &[slot("a"), slot("b")]);
    let limited = |number| PermitRequest {
        first_answer_ms: Some(2_000),
        ..permit_request(number, 0, "a")
    };
    for number in [1, 3, 5] {
        let runs = [number, number + 1].map(|number| bench.granted(&limited(number)));
        bench.tick_after(400);
        for run in runs {
            let usage = usage(cost_of(50, 50), 400);
            bench.release(&run, ReleaseOutcome::Finished(usage));
        }
    }
    let queued = (11..=22).flat_map(|number| refusals(&bench.request_permit(&limited(number))));
    assert_eq!(queued.count(), 0);
    bench.event(OwnerEvent::Targets(vec![slot("a")]));
    assert_eq!(refusals(&bench.tick_after(200)), []);
    let refused = refusals(&bench.tick_after(60));
    assert!(!refused.is_empty());
    let kept = 10 - refused.len();
    assert!(kept > 0, "those that begin on time are kept");
}
