//! Provides a load in virtual time on the targets of an owner, some of which are slow for a
//! moment in turn.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bergamotswitch_core::permit::TargetPace;
use bergamotswitch_core::pool_owner::SchedulingOptions;
use bergamotswitch_core::target::MomentaryPace;

use crate::owner_bench::*;

const SLOTS: u32 = 8;
const TARGETS: usize = 30;
const TURN_MS: u64 = 600;
const SLOW_FACTOR: f64 = 2.5;
const DURATION_MS: u64 = 14_000;
const WARM_UP_MS: u64 = 3_000;
const SWING_SECONDS: f64 = 5.0;

/// The share of ten, the prompt, the output, the limit of the first token and the deadline
/// of the requests of each tier.
const CLASSES: [(u64, u32, u32, u32, u32); 3] = [
    (3, 6_610, 378, 480, 12_000),
    (2, 628, 288, 240, 10_000),
    (5, 1_800, 27, 240, 2_500),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LoadEvent {
    Request,
    Head(usize),
    End(usize),
    Tick,
}

struct Run {
    permit: Permit,
    usage: Usage,
}

/// A `PaceLoad` is an owner with its targets and callers.
struct PaceLoad {
    /// The load as a fraction of the capacity.
    load: f64,
    bench: OwnerBench,
    events: BinaryHeap<Reverse<(Moment, u64, LoadEvent)>>,
    order: u64,
    draws: u64,
    requests: Vec<(Moment, usize)>,
    runs: Vec<Run>,
    on_time: u32,
}

/// Play a load, a fraction of the capacity, and get the number of answers that began and ended
/// on time; `is_used` says whether the owner uses the paces.
pub fn answers_on_time(load: f64, seed: u64, is_used: bool) -> u32 {
    let mut load = PaceLoad::new(load, seed, is_used);
    load.run();
    load.on_time
}

fn work_ms(tier: usize) -> (f64, f64) {
    let (_, prefill, decode, ..) = CLASSES[tier];
    let first = 40.0 + f64::from(prefill) / 50.0;
    (first, first + f64::from(decode) * 2.0)
}

/// Get the usual time at a target as a multiple of the mean: the slowest one takes five times
/// as long as the fastest.
fn slowness(target: usize) -> f64 {
    0.5 + 2.0 * (target * 7 % TARGETS) as f64 / (TARGETS - 1) as f64
}

impl PaceLoad {
    fn new(load: f64, seed: u64, is_used: bool) -> Self {
        let scheduling = SchedulingOptions {
            slow_moment: is_used.then_some(Duration::from_millis(400)),
            ..SchedulingOptions::default()
        };
        let targets: Vec<PoolTarget> = (0..TARGETS)
            .map(|number| {
                let mut target = target(&format!("t{number:02}"), "d", 700_000);
                target.slots = Some(SLOTS);
                target
            })
            .collect();
        let opts = OwnerOptions::default().with_scheduling(scheduling);
        PaceLoad {
            bench: OwnerBench::with_targets(opts, &targets),
            draws: seed.wrapping_mul(0x9E37_79B9) + 1,
            load,
            events: BinaryHeap::new(),
            order: 0,
            requests: vec![(Moment::START, 0)],
            runs: Vec::new(),
            on_time: 0,
        }
    }

    /// Get the pace of a target, a multiple of its usual time.
    fn pace(target: usize, at_ms: f64) -> f64 {
        let turn = (at_ms / TURN_MS as f64) as usize;
        match (target * 13 + turn * 7) % 20 < 3 {
            true => SLOW_FACTOR,
            false => 1.0,
        }
    }

    /// Get when work that begins at `start_ms` is done.
    fn done_at(target: usize, start_ms: f64, mut work_ms: f64) -> f64 {
        let mut at = start_ms;
        loop {
            let pace = Self::pace(target, at);
            let turn_end = ((at / TURN_MS as f64).floor() + 1.0) * TURN_MS as f64;
            let end = at + work_ms * pace;
            if end <= turn_end {
                return end;
            }
            work_ms -= (turn_end - at) / pace;
            at = turn_end + 1e-6;
        }
    }

    fn draw(&mut self) -> f64 {
        let next = self.draws.wrapping_mul(6_364_136_223_846_793_005);
        self.draws = next.wrapping_add(1_442_695_040_888_963_407);
        (self.draws >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn push(&mut self, at: Moment, event: LoadEvent) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    /// Get the mean time between two requests. The load swings by half.
    fn gap_ms(&self) -> f64 {
        let mean = (0..3).map(|tier| work_ms(tier).1 * CLASSES[tier].0 as f64 / 10.0);
        let mean: f64 = mean.sum();
        let slots = (0..TARGETS).map(|target| f64::from(SLOTS) / slowness(target));
        let usual = 0.85 + 0.15 / SLOW_FACTOR;
        let phase = self.bench.now.as_micros() as f64 / 1e6 / SWING_SECONDS;
        let swing = 1.0 + 0.5 * (phase * std::f64::consts::TAU).sin();
        mean / (slots.sum::<f64>() * usual * self.load * swing)
    }

    fn run(&mut self) {
        let end = self.bench.now.plus(Duration::from_millis(DURATION_MS));
        self.push(self.bench.now, LoadEvent::Request);
        self.push(self.bench.now, LoadEvent::Tick);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                return;
            }
            self.bench.now = at;
            match event {
                LoadEvent::Request => self.request(),
                LoadEvent::Head(run) => self.report(run),
                LoadEvent::End(run) => self.end(run),
                LoadEvent::Tick => {
                    let actions = self.bench.event(OwnerEvent::Tick);
                    self.start_all(&actions);
                    self.push(at.plus(Duration::from_millis(100)), LoadEvent::Tick);
                }
            }
        }
    }

    fn is_counted(at: Moment) -> bool {
        at.since(Moment::START) >= Duration::from_millis(1_000 + WARM_UP_MS)
    }

    fn request(&mut self) {
        let now = self.bench.now;
        let gap = -self.gap_ms() * (1.0 - self.draw()).ln();
        self.push(
            now.plus(Duration::from_secs_f64(gap / 1_000.0)),
            LoadEvent::Request,
        );
        let tier = match (self.draw() * 10.0) as u64 {
            0..3 => 0,
            3..5 => 1,
            _ => 2,
        };
        let (_, prefill, decode, limit, deadline) = CLASSES[tier];
        let number = self.requests.len() as u64;
        let account = format!("account-{}", number % 16);
        let request = permit_request(number, tier as u8, &account);
        let mut request = with_deadline(with_cost(request, prefill, decode), deadline);
        request.first_answer_ms = Some(limit);
        self.requests.push((now, tier));
        let actions = self.bench.request_permit(&request);
        self.start_all(&actions);
    }

    fn start_all(&mut self, actions: &[OwnerAction]) {
        for permit in permits(actions) {
            self.start(permit);
        }
    }

    fn start(&mut self, permit: Permit) {
        let now = self.bench.now;
        let (at, tier) = self.requests[permit.attempt.request.sequence as usize];
        let (_, prefill, decode, limit, deadline) = CLASSES[tier];
        let target = number_of(&permit);
        let start_ms = now.as_micros() as f64 / 1_000.0;
        let (first, whole) = work_ms(tier);
        let first_at = Self::done_at(target, start_ms, first * slowness(target));
        let end_at = Self::done_at(target, start_ms, whole * slowness(target));
        let waited = now.since(at).as_secs_f64() * 1_000.0;
        let usage = Usage {
            prefill,
            cached: 0,
            decode,
            first_token_ms: (first_at - start_ms) as u32,
            elapsed_ms: (end_at - start_ms) as u32,
        };
        let on_time = waited + f64::from(usage.first_token_ms) <= f64::from(limit)
            && waited + f64::from(usage.elapsed_ms) <= f64::from(deadline);
        self.on_time += u32::from(on_time && Self::is_counted(at));
        let run = self.runs.len();
        self.runs.push(Run { permit, usage });
        let moment = |ms: f64| Moment::from_micros((ms * 1_000.0) as u64);
        self.push(moment(first_at), LoadEvent::Head(run));
        self.push(moment(end_at), LoadEvent::End(run));
    }

    /// Report the pace in the head of an answer.
    fn report(&mut self, run: usize) {
        let target = number_of(&self.runs[run].permit);
        let pace = Self::pace(target, self.bench.now.as_micros() as f64 / 1_000.0);
        let pace = TargetPace {
            target: self.runs[run].permit.target.clone(),
            pace: MomentaryPace::try_from((pace * 100.0) as u32).expect("a pace"),
            age_ms: 0,
        };
        let actions = self.bench.message(OwnerMessage::TargetPaces {
            shard: shard(),
            targets: vec![pace],
        });
        self.start_all(&actions);
    }

    fn end(&mut self, run: usize) {
        let Run { permit, usage, .. } = &self.runs[run];
        let (permit, usage) = (permit.clone(), *usage);
        let actions = self.bench.release(&permit, ReleaseOutcome::Finished(usage));
        self.start_all(&actions);
    }
}

fn number_of(permit: &Permit) -> usize {
    permit.target.as_str()[1..].parse().expect("a number")
}
