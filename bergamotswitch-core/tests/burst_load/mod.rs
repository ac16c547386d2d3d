//! Provides a load simulation in virtual time for the owner of a shard whose
//! targets of different speeds publish their number of slots.

// Each test file uses only some of the items.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bergamotswitch_core::call_signature::CallSignature;

use crate::owner_bench::*;

/// The token limit of a target.
const TOKEN_LIMIT: u32 = 700_000;

/// The time during which the owner measures the targets' speed, while each target
/// gets at most two requests. It is left out of the counts.
pub const WARM_UP: Duration = Duration::from_secs(2);
const ACCOUNTS: u64 = 16;

/// A `RequestClass` is the share, the cost and the time limits of the requests of
/// one tier.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The number of requests of this class in every ten.
    pub weight: u64,
    pub cost: TokenCost,
    /// The time after arrival within which the answer should begin.
    pub first_token_limit_ms: u32,
    pub deadline_ms: u32,
}

/// A `LoadPlan` is the parameters of a load simulation.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub targets: usize,
    /// The number of requests that a target serves concurrently.
    pub slots: u32,
    pub per_second: u64,
    pub duration: Duration,
    /// The request classes by tier; their weights add up to ten.
    pub classes: Vec<RequestClass>,
    /// Whether entry hosts announce the signatures of calls.
    pub signatures: bool,
}

impl LoadPlan {
    fn tier_of(&self, sequence: u64) -> usize {
        let mut position = sequence % 10;
        for (tier, class) in self.classes.iter().enumerate() {
            if position < class.weight {
                return tier;
            }
            position -= class.weight;
        }
        0
    }
}

/// A `TierCount` is the request counts of one tier after the warm-up.
#[derive(Clone, Copy, Debug, Default)]
pub struct TierCount {
    pub submitted: u64,
    pub served: u64,
    /// The served requests whose answer began within the limit of their class.
    pub on_time: u64,
}

impl TierCount {
    pub fn served_fraction(&self) -> f64 {
        self.served as f64 / self.submitted.max(1) as f64
    }
}

/// A `RunningRequest` is a request that runs on a target.
#[derive(Clone, Debug)]
struct RunningRequest {
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
    submitted_at: Vec<Moment>,
    ends: BinaryHeap<Reverse<(Moment, usize)>>,
    running: Vec<RunningRequest>,
}

impl BurstLoad {
    pub fn new(plan: LoadPlan) -> Self {
        BurstLoad::with_options(plan, OwnerOptions::default())
    }

    pub fn with_options(plan: LoadPlan, opts: OwnerOptions) -> Self {
        let mut owner = ShardOwner::new(incarnation_of("owner", 1), shard(), opts, Moment::START);
        let targets = (0..plan.targets).map(|number| {
            let mut target = target(&format!("engine-{number:02}"), "d", TOKEN_LIMIT);
            target.slots = Some(plan.slots);
            target
        });
        owner.handle(Moment::START, OwnerEvent::Targets(targets.collect()));
        BurstLoad {
            tiers: vec![TierCount::default(); plan.classes.len()],
            plan,
            owner,
            events: 0,
            submitted_at: vec![Moment::START],
            ends: BinaryHeap::new(),
            running: Vec::new(),
        }
    }

    fn send(&mut self, now: Moment, message: OwnerMessage) {
        self.events += 1;
        let event = OwnerEvent::Message(named("entry"), message);
        for permit in permits(&self.owner.handle(now, event)) {
            self.start(now, permit);
        }
    }

    /// Start a granted request. The slowest target takes five times as long as the
    /// fastest.
    fn start(&mut self, now: Moment, permit: Permit) {
        let sequence = permit.attempt.request.sequence;
        let tier = self.plan.tier_of(sequence);
        let class = &self.plan.classes[tier];
        let cost = class.cost;
        let last = permit.target.as_str().bytes().last().expect("a name");
        let slowdown = 4 + u32::from(last - b'0') * 16 / 9;
        let first_token_ms = (40 + cost.prefill / 50) * slowdown / 8;
        let usage = Usage {
            prefill: cost.prefill,
            cached: 0,
            decode: cost.decode,
            first_token_ms,
            elapsed_ms: first_token_ms + cost.decode * slowdown / 2,
        };
        let waited = now.since(self.submitted_at[sequence as usize]).as_millis() as u32;
        self.tiers[tier].served += 1;
        self.tiers[tier].on_time +=
            u64::from(waited + first_token_ms <= class.first_token_limit_ms);
        let end = now.plus(Duration::from_millis(u64::from(usage.elapsed_ms)));
        self.ends.push(Reverse((end, self.running.len())));
        self.running.push(RunningRequest { permit, usage });
    }

    fn request_permit(&mut self, now: Moment, sequence: u64) {
        let tier = self.plan.tier_of(sequence);
        self.tiers[tier].submitted += 1;
        self.submitted_at.push(now);
        let class = &self.plan.classes[tier];
        let account = format!("account-{}", sequence.wrapping_mul(7) % ACCOUNTS);
        let mut permit_request = permit_request(sequence, tier as u8, &account);
        permit_request.cost = class.cost;
        permit_request.first_answer_ms = Some(class.first_token_limit_ms);
        permit_request.deadline_ms = class.deadline_ms;
        if self.plan.signatures {
            let announced = OwnerMessage::Signature {
                shard: shard(),
                attempt: permit_request.attempt,
                signature: CallSignature::new(&permit_request.account, u128::from(sequence)),
            };
            self.send(now, announced);
        }
        self.send(now, OwnerMessage::PermitRequest(Box::new(permit_request)));
    }

    /// Run the simulation to its end.
    pub fn run(&mut self) {
        let gap = Duration::from_micros(1_000_000 / self.plan.per_second);
        let end = Moment::START.plus(self.plan.duration);
        let mut next = Moment::START;
        let mut sequence = 0;
        while next < end {
            while let Some(Reverse((at, index))) = self.ends.peek().copied()
                && at <= next
            {
                self.ends.pop();
                let RunningRequest { permit, usage } = self.running[index].clone();
                self.send(at, released(&permit, ReleaseOutcome::Finished(usage)));
            }
            if next < Moment::START.plus(WARM_UP) {
                self.tiers.fill(TierCount::default());
            }
            sequence += 1;
            self.request_permit(next, sequence);
            next = next.plus(gap);
        }
    }
}
