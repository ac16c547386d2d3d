//! Provides a load simulation in virtual time for the owner of a shard whose
//! targets of different speeds publish their number of slots.

// Each test file uses only some of the items.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::owner_bench::*;

/// The token limit of a target.
const MEMORY: u32 = 700_000;

/// The time during which the owner measures the targets' speed, while each target
/// gets at most two requests. It is left out of the counts.
pub const WARM_UP: Duration = Duration::from_secs(2);
const ACCOUNTS: u64 = 16;

/// A `WorkKind` is the share, the cost and the time limits of the requests of
/// one tier.
#[derive(Clone, Debug)]
pub struct WorkKind {
    /// The number of requests of this class in every ten.
    pub often: u64,
    pub cost: TokenCost,
    /// The time after arrival within which the answer should begin.
    pub aim_ms: u32,
    pub deadline_ms: u32,
}

/// A `LoadPlan` is the parameters of a load simulation.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub targets: usize,
    /// The number of requests that a target serves concurrently.
    pub slots: u32,
    pub per_second: u64,
    pub length: Duration,
    /// The request classes by tier; their weights add up to ten.
    pub kinds: Vec<WorkKind>,
}

impl LoadPlan {
    fn tier_of(&self, sequence: u64) -> usize {
        let mut place = sequence % 10;
        for (tier, kind) in self.kinds.iter().enumerate() {
            if place < kind.often {
                return tier;
            }
            place -= kind.often;
        }
        0
    }
}

/// A `TierCount` is the request counts of one tier after the warm-up.
#[derive(Clone, Copy, Debug, Default)]
pub struct TierCount {
    pub asked: u64,
    pub served: u64,
    /// The served requests whose answer began within the limit of their class.
    pub timely: u64,
}

impl TierCount {
    pub fn served_part(&self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

/// A `RunningAsk` is a request that runs on a target.
#[derive(Clone, Debug)]
struct RunningAsk {
    permit: Permit,
    usage: Usage,
}

/// A `BurstLoad` is a simulation of an owner with its targets and callers in
/// virtual time.
pub struct BurstLoad {
    plan: LoadPlan,
    owner: ShardOwner,
    pub events: u64,
    pub tiers: Vec<TierCount>,
    asked_at: Vec<Moment>,
    ends: BinaryHeap<Reverse<(Moment, usize)>>,
    running: Vec<RunningAsk>,
}

impl BurstLoad {
    pub fn new(plan: LoadPlan) -> Self {
        let opts = OwnerOptions::default();
        let mut owner = ShardOwner::new(incarnation_of("owner", 1), shard(), opts, Moment::START);
        let places = (0..plan.targets).map(|number| {
            let mut place = target(&format!("engine-{number:02}"), "d", MEMORY);
            place.slots = Some(plan.slots);
            place
        });
        owner.handle(Moment::START, OwnerEvent::Targets(places.collect()));
        BurstLoad {
            tiers: vec![TierCount::default(); plan.kinds.len()],
            plan,
            owner,
            events: 0,
            asked_at: vec![Moment::START],
            ends: BinaryHeap::new(),
            running: Vec::new(),
        }
    }

    fn tell(&mut self, now: Moment, message: OwnerMessage) {
        self.events += 1;
        let event = OwnerEvent::Message(named("entry"), message);
        for permit in permits(&self.owner.handle(now, event)) {
            self.begin(now, permit);
        }
    }

    /// Start a granted request. The slowest target takes five times as long as the
    /// fastest.
    fn begin(&mut self, now: Moment, permit: Permit) {
        let sequence = permit.attempt.request.sequence;
        let tier = self.plan.tier_of(sequence);
        let kind = &self.plan.kinds[tier];
        let cost = kind.cost;
        let last = permit.target.as_str().bytes().last().expect("a name");
        let slow = 4 + u32::from(last - b'0') * 16 / 9;
        let first_token_ms = (40 + cost.prefill / 50) * slow / 8;
        let usage = Usage {
            prefill: cost.prefill,
            cached: 0,
            decode: cost.decode,
            first_token_ms,
            elapsed_ms: first_token_ms + cost.decode * slow / 2,
        };
        let waited = now.since(self.asked_at[sequence as usize]).as_millis() as u32;
        self.tiers[tier].served += 1;
        self.tiers[tier].timely += u64::from(waited + first_token_ms <= kind.aim_ms);
        let end = now.plus(Duration::from_millis(u64::from(usage.elapsed_ms)));
        self.ends.push(Reverse((end, self.running.len())));
        self.running.push(RunningAsk { permit, usage });
    }

    fn ask(&mut self, now: Moment, sequence: u64) {
        let tier = self.plan.tier_of(sequence);
        self.tiers[tier].asked += 1;
        self.asked_at.push(now);
        let kind = &self.plan.kinds[tier];
        let account = format!("account-{}", sequence.wrapping_mul(7) % ACCOUNTS);
        let mut ask = ask(sequence, tier as u8, &account);
        ask.cost = kind.cost;
        ask.first_answer_ms = Some(kind.aim_ms);
        ask.deadline_ms = kind.deadline_ms;
        self.tell(now, OwnerMessage::Ask(Box::new(ask)));
    }

    /// Run the simulation to its end.
    pub fn play(&mut self) {
        let gap = Duration::from_micros(1_000_000 / self.plan.per_second);
        let end = Moment::START.plus(self.plan.length);
        let mut next = Moment::START;
        let mut sequence = 0;
        while next < end {
            while let Some(Reverse((at, index))) = self.ends.peek().copied()
                && at <= next
            {
                self.ends.pop();
                let RunningAsk { permit, usage } = self.running[index].clone();
                self.tell(at, released(&permit, ReleaseOutcome::Finished(usage)));
            }
            if next < Moment::START.plus(WARM_UP) {
                self.tiers.fill(TierCount::default());
            }
            sequence += 1;
            self.ask(next, sequence);
            next = next.plus(gap);
        }
    }
}
