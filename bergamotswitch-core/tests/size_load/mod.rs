//! Provides a load simulation in virtual time for the owner of a shard whose requests
//! differ a hundredfold in length, are estimated with large errors, and run on targets
//! of different speeds. Refused callers return once, and callers that get no answer
//! leave.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::ops::Range;

use bergamotswitch_core::call_signature::CallSignature;
use bergamotswitch_core::pool_owner::SchedulingOptions;

use crate::owner_bench::*;

/// The time before the counted load during which targets are measured.
pub const WARM_UP_MS: u64 = 4_000;

const TARGETS: usize = 30;
const SLOTS: u32 = 11;
const TARGET_TOKENS: u32 = 524_034;

/// The time multiples of the targets at the usual load, taken in turn.
const SLOWNESS: [f64; 3] = [1.0 / 0.55, 1.0, 1.0 / 2.8];

/// The tokens of one event of a stream, and the time for each at a full target.
const EVENT_TOKENS: f64 = 7.0;
const TOKEN_MS: f64 = 6.5;

/// The standard deviation of the logarithm of an estimate's error.
const ESTIMATE_SPREAD: f64 = 0.5;

/// The number of client accounts; a few send most of the requests.
const ACCOUNTS: f64 = 16.0;

/// A `SizedKind` is the requests of one tier.
#[derive(Clone, Copy, Debug)]
pub struct SizedKind {
    pub per_second: f64,
    pub prompt: f64,
    /// The median and the maximum number of events of a stream.
    pub median_events: f64,
    pub most_events: f64,
    pub first_token_limit_ms: u32,
    pub deadline_ms: u64,
}

/// Get the kinds by tier: long answers, short answers and checks.
pub fn kinds() -> [SizedKind; 3] {
    let kind = |per_second, prompt, median_events, most_events| SizedKind {
        per_second,
        prompt,
        median_events,
        most_events,
        first_token_limit_ms: 800,
        deadline_ms: 15_000,
    };
    [
        kind(78.0, 6_600.0, 17.7, 550.0),
        SizedKind {
            first_token_limit_ms: 600,
            deadline_ms: 12_000,

            ..kind(102.0, 690.0, 13.5, 420.0)
        },
        SizedKind {
            first_token_limit_ms: 1_200,
            deadline_ms: 3_000,

            ..kind(147.0, 1_860.0, 1.6, 32.0)
        },
    ]
}

/// A `SizePlan` is the parameters of a load.
#[derive(Clone, Debug)]
pub struct SizePlan {
    pub seed: u64,
    pub end_ms: u64,
    /// The multiples of the usual request rates by tier, each for a span of time.
    pub bursts: Vec<(Range<u64>, [f64; 3])>,
    /// When every second target of each speed takes four times as long.
    pub slow: Range<u64>,
    pub return_room: Option<f64>,
}

/// A `SizedCall` is one call of the load and what became of it.
#[derive(Clone, Debug)]
pub struct SizedCall {
    tier: usize,
    account: u64,
    sent_ms: u64,
    events: f64,
    /// The estimate of its output in tokens.
    estimate: f64,
    tries: u32,
    pub served: bool,
    pub on_time: bool,
}

impl SizedCall {
    /// Get the size by which calls of a kind are compared.
    fn size(&self) -> f64 {
        kinds()[self.tier].prompt + 10.0 * EVENT_TOKENS * self.events
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Send(usize),
    /// The caller of an attempt leaves if its answer has not begun.
    Leave(u64),
    End(usize),
    Tick,
}

#[derive(Clone, Debug)]
struct SizedRun {
    attempt: u64,
    permit: Permit,
    began_ms: u64,
    first_ms: u64,
    ends_ms: u64,
    stops_ms: u64,
    ended: bool,
}

/// A `SizeLoad` is a simulation of an owner, its targets and its callers.
pub struct SizeLoad {
    plan: SizePlan,
    bench: OwnerBench,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    number: u64,
    draw: u64,
    pub calls: Vec<SizedCall>,
    /// The call of each attempt that is open, when it was sent, and its run.
    attempts: HashMap<u64, (usize, u64, Option<usize>)>,
    runs: Vec<SizedRun>,
}

impl SizeLoad {
    pub fn new(plan: SizePlan) -> Self {
        let opts = OwnerOptions::default().with_scheduling(SchedulingOptions {
            account_share_half_life: Some(Duration::from_secs(4)),
            return_room: plan.return_room,
            ..SchedulingOptions::default()
        });
        let targets = (0..TARGETS).map(|number| PoolTarget {
            slots: Some(SLOTS),
            ..target(&format!("engine-{number:02}"), "d", TARGET_TOKENS)
        });
        let targets: Vec<PoolTarget> = targets.collect();
        let mut load = SizeLoad {
            bench: OwnerBench::with_targets(opts, &targets),
            steps: BinaryHeap::new(),
            number: 0,
            draw: plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            calls: Vec::new(),
            attempts: HashMap::new(),
            runs: Vec::new(),
            plan,
        };
        for tier in 0..kinds().len() {
            load.plan_calls(tier);
        }
        for tick in 0..(load.plan.end_ms + 16_000) / 10 {
            load.schedule(tick * 10, Step::Tick);
        }
        load
    }

    /// Get a repeatable number between 0 and 1.
    fn uniform(&mut self) -> f64 {
        self.draw ^= self.draw << 13;
        self.draw ^= self.draw >> 7;
        self.draw ^= self.draw << 17;
        (self.draw >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.uniform()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.uniform()).cos()
    }

    fn rate_at(&self, tier: usize, at_ms: u64) -> f64 {
        let bursts = self.plan.bursts.iter();
        let factors = bursts.filter(|(span, _)| span.contains(&at_ms));
        factors.fold(kinds()[tier].per_second, |rate, (_, burst)| {
            rate * burst[tier]
        })
    }

    fn plan_calls(&mut self, tier: usize) {
        let kind = kinds()[tier];
        let mut at = 0.0;
        while at < self.plan.end_ms as f64 {
            let rate = self.rate_at(tier, at as u64);
            at -= 1_000.0 / rate * (1.0 - self.uniform()).ln();
            let events = kind.median_events * (1.5 * self.normal()).exp();
            let events = events.ceil().min(kind.most_events);
            let error = (ESTIMATE_SPREAD * self.normal()).exp();
            self.schedule(at as u64, Step::Send(self.calls.len()));
            let account = (ACCOUNTS * self.uniform().powi(2)) as u64;
            self.calls.push(SizedCall {
                tier,
                account,
                sent_ms: at as u64,
                events,
                estimate: (events * EVENT_TOKENS * error).ceil(),
                tries: 0,
                served: false,
                on_time: false,
            });
        }
    }

    fn schedule(&mut self, at_ms: u64, step: Step) {
        self.number += 1;
        self.steps.push(Reverse((at_ms, self.number, step)));
    }

    /// Run the load to its end.
    pub fn run(mut self) -> Self {
        while let Some(Reverse((at_ms, _, step))) = self.steps.pop() {
            self.bench.now = Moment::from_millis(1_000 + at_ms);
            match step {
                Step::Send(call) => self.send(at_ms, call),
                Step::Leave(attempt) => self.leave(at_ms, attempt),
                Step::End(run) => self.end(at_ms, run),
                Step::Tick => {
                    let actions = self.bench.event(OwnerEvent::Tick);
                    self.apply(at_ms, actions);
                }
            }
        }
        self
    }

    fn send(&mut self, at_ms: u64, index: usize) {
        self.calls[index].tries += 1;
        let call = self.calls[index].clone();
        let kind = kinds()[call.tier];
        self.number += 1;
        let sequence = self.number;
        self.attempts.insert(sequence, (index, at_ms, None));
        let account = format!("account-{}", call.account);
        let mut request = permit_request(sequence, call.tier as u8, &account);
        request.cost = cost_of(kind.prompt as u32, call.estimate as u32);
        request.first_answer_ms = Some(kind.first_token_limit_ms);
        request.deadline_ms = (call.sent_ms + kind.deadline_ms - at_ms) as u32;
        let signature = OwnerMessage::Signature {
            shard: shard(),
            attempt: request.attempt,
            signature: CallSignature::new(&request.account, index as u128),
        };
        let patience = u64::from(kind.first_token_limit_ms * 4).max(2_000);
        self.schedule(at_ms + patience, Step::Leave(sequence));
        self.bench.message(signature);
        let actions = self
            .bench
            .message(OwnerMessage::PermitRequest(Box::new(request)));
        self.apply(at_ms, actions);
    }

    fn leave(&mut self, at_ms: u64, attempt: u64) {
        let Some((_, _, run)) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(run) = run else {
            self.attempts.remove(&attempt);
            let id = permit_request(attempt, 0, "account").attempt;
            let actions = self.bench.message(withdrawal(id));
            return self.apply(at_ms, actions);
        };
        if self.runs[run].began_ms + self.runs[run].first_ms > at_ms {
            self.stop(at_ms, run);
        }
    }

    fn end(&mut self, at_ms: u64, run: usize) {
        let SizedRun {
            ends_ms, stops_ms, ..
        } = self.runs[run];
        if ends_ms > stops_ms {
            return self.stop(at_ms, run);
        }
        self.finish(at_ms, run, true);
    }

    fn stop(&mut self, at_ms: u64, run: usize) {
        self.finish(at_ms, run, false);
    }

    fn finish(&mut self, at_ms: u64, index: usize, whole: bool) {
        if std::mem::replace(&mut self.runs[index].ended, true) {
            return;
        }
        let run = self.runs[index].clone();
        let Some((call, sent_ms, _)) = self.attempts.remove(&run.attempt) else {
            return;
        };
        let part = (at_ms - run.began_ms) as f64 / (run.ends_ms - run.began_ms).max(1) as f64;
        let call = &mut self.calls[call];
        let kind = kinds()[call.tier];
        let usage = Usage {
            decode: (call.events * part.min(1.0)) as u32,
            first_token_ms: run.first_ms as u32,
            elapsed_ms: (at_ms - run.began_ms) as u32,
            ..Usage::default()
        };
        let limit = u64::from(kind.first_token_limit_ms);
        call.served = whole;
        call.on_time = whole && call.tries == 1 && run.began_ms + run.first_ms <= sent_ms + limit;
        let outcome = match whole {
            true => ReleaseOutcome::Finished(usage),
            false => ReleaseOutcome::Stopped(usage),
        };
        let actions = self.bench.release(&run.permit, outcome);
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
        let attempt = permit.attempt.request.sequence;
        let (index, _, run) = self.attempts.get_mut(&attempt).expect("an open attempt");
        *run = Some(self.runs.len());
        let call = &self.calls[*index];
        let kind = kinds()[call.tier];
        let number: usize = permit.target.as_str()[7..].parse().expect("a number");
        let is_slow = number.is_multiple_of(2) && self.plan.slow.contains(&at_ms);
        let slowness = SLOWNESS[number / 2 % 3] * if is_slow { 4.0 } else { 1.0 };
        let first_ms = (31.0 + kind.prompt / 112.0) * slowness;
        let decode_ms = call.events * EVENT_TOKENS * TOKEN_MS * slowness;
        let ends_ms = at_ms + (first_ms + decode_ms) as u64;
        let stops_ms = call.sent_ms + kind.deadline_ms;
        self.schedule(ends_ms.min(stops_ms), Step::End(self.runs.len()));
        self.runs.push(SizedRun {
            attempt,
            permit,
            began_ms: at_ms,
            first_ms: first_ms as u64,
            ends_ms,
            stops_ms,
            ended: false,
        });
    }

    fn on_refused(&mut self, at_ms: u64, refusal: &SeenRefusal) {
        let attempt = self.attempts.remove(&refusal.request);
        let (index, _, _) = attempt.expect("an open attempt");
        let call = &self.calls[index];
        let deadline_ms = call.sent_ms + kinds()[call.tier].deadline_ms;
        let after = u64::from(refusal.retry_after_ms);
        if call.tries == 1 && after <= deadline_ms.saturating_sub(at_ms) / 3 {
            self.schedule(at_ms + 6 + after, Step::Send(index));
        }
    }

    /// Get the counted calls of a tier, the largest first.
    pub fn by_size(&self, tier: usize) -> Vec<&SizedCall> {
        let calls = self.calls.iter();
        let counted = calls.filter(|call| call.tier == tier && call.sent_ms >= WARM_UP_MS);
        let mut counted: Vec<&SizedCall> = counted.collect();
        counted.sort_by(|a, b| b.size().total_cmp(&a.size()));
        counted
    }

    /// Get the part of its worth that a tier earned: by size, a tenth of it if late.
    pub fn earned(&self, tier: usize) -> f64 {
        let calls = self.by_size(tier);
        let mean = calls.iter().map(|call| call.size()).sum::<f64>() / calls.len() as f64;
        let worth = |call: &SizedCall| (0.3 + 0.7 * call.size() / mean).min(4.0);
        let earned = |call: &SizedCall| match (call.on_time, call.served) {
            (true, _) => worth(call),
            (false, true) => worth(call) / 10.0,
            (false, false) => 0.0,
        };
        let owed: f64 = calls.iter().map(|call| worth(call)).sum();
        calls.iter().map(|call| earned(call)).sum::<f64>() / owed
    }
}

/// Get the part of the calls that were served.
pub fn served(calls: &[&SizedCall]) -> f64 {
    let served = calls.iter().filter(|call| call.served).count();
    served as f64 / calls.len().max(1) as f64
}
