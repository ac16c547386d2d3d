//! Measures a shard's owner whose targets say how many requests they serve at
//! once, while more comes than they can serve.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::permit::{
    Ask, OwnerMessage, OwnerReply, Permit, Release, ReleaseOutcome, Usage,
};
use bergamotswitch_core::pool_owner::{OwnerAction, OwnerEvent, OwnerOptions, ShardOwner};
use bergamotswitch_core::request::TokenCost;
use bergamotswitch_core::rules::Tier;

use crate::probe::cpu_nanos;
use crate::sheet::{SlopeSheet, at_sizes};
use crate::world::{account, ask, host_name, name, run_of, shard, targets};

/// The requests that each target serves at once.
const SLOTS: u32 = 11;

/// The tokens that a target holds at most.
const MEMORY: u32 = 700_000;

/// What comes, against what the targets serve: a burst as users see it.
const OVERLOAD: f64 = 1.7;

/// The time that is played.
const LENGTH: Duration = Duration::from_secs(8);

/// The hosts that ask, and the client accounts.
const HOSTS: usize = 60;
const ACCOUNTS: u64 = 16;

/// A `WorkKind` is a kind of work: how often it comes of ten, its tier and cost,
/// and the times that its caller allows.
struct WorkKind {
    often: u64,
    tier: u8,
    prefill: u32,
    decode: u32,
    patience_ms: u32,
    deadline_ms: u32,
}

const KINDS: [WorkKind; 3] = [
    WorkKind {
        often: 3,
        tier: 0,
        prefill: 6_670,
        decode: 378,
        patience_ms: 400,
        deadline_ms: 12_000,
    },
    WorkKind {
        often: 2,
        tier: 1,
        prefill: 690,
        decode: 288,
        patience_ms: 500,
        deadline_ms: 10_000,
    },
    WorkKind {
        often: 5,
        tier: 2,
        prefill: 1_860,
        decode: 27,
        patience_ms: 800,
        deadline_ms: 2_500,
    },
];

/// Get the kind of work of a request.
fn kind_of(sequence: u64) -> &'static WorkKind {
    let mut place = sequence % 10;
    for kind in &KINDS {
        if place < kind.often {
            return kind;
        }
        place -= kind.often;
    }
    &KINDS[0]
}

/// A `BurstBench` is an owner with its targets and callers in virtual time.
struct BurstBench {
    owner: ShardOwner,
    targets: usize,
    sequence: u64,
    events: u64,
    ends: BinaryHeap<Reverse<(Moment, u64, usize)>>,
    running: Vec<(Permit, TokenCost)>,
}

impl BurstBench {
    fn new(count: usize) -> Self {
        let opts = OwnerOptions::default();
        let mut owner = ShardOwner::new(run_of(2), shard(None), opts, Moment::START);
        let mut places = targets(count, MEMORY);
        for place in &mut places {
            place.slots = Some(SLOTS);
        }
        owner.handle(Moment::START, OwnerEvent::Targets(places));
        BurstBench {
            owner,
            targets: count,
            sequence: 0,
            events: 0,
            ends: BinaryHeap::new(),
            running: Vec::new(),
        }
    }

    /// Get what comes in a second: runs take some 0.9 s at the mean.
    fn per_second(&self) -> f64 {
        self.targets as f64 * f64::from(SLOTS) / 0.9 * OVERLOAD
    }

    fn next_ask(&mut self) -> Ask {
        self.sequence += 1;
        let kind = kind_of(self.sequence);
        let mut ask = ask(self.sequence, 0);
        ask.account = name(account((self.sequence.wrapping_mul(7) % ACCOUNTS) as usize));
        ask.tier = Tier(kind.tier);
        ask.cost = TokenCost {
            prefill: kind.prefill,
            decode: kind.decode,
        };
        ask.patience_ms = Some(kind.patience_ms);
        ask.deadline_ms = kind.deadline_ms;
        ask.prefixes.truncate(2);
        ask
    }

    fn tell(&mut self, now: Moment, message: OwnerMessage) {
        self.events += 1;
        let host = host_name(self.sequence as usize % HOSTS);
        let actions = self.owner.handle(now, OwnerEvent::Message(host, message));
        for action in actions {
            if let OwnerAction::Reply(_, OwnerReply::Granted { permit, .. }) = action {
                self.begin(now, permit);
            }
        }
    }

    /// Let a granted request run: targets differ fivefold in speed.
    fn begin(&mut self, now: Moment, permit: Permit) {
        let kind = kind_of(permit.attempt.request.sequence);
        let slow = 0.4 + (permit.target.as_str().len() as f64 + digit(&permit) * 0.16);
        let millis =
            (40.0 + f64::from(kind.prefill) * 0.02 + f64::from(kind.decode) * 4.0) * slow / 12.0;
        let end = now.plus(Duration::from_secs_f64(millis / 1_000.0));
        let cost = TokenCost {
            prefill: kind.prefill,
            decode: kind.decode,
        };
        self.ends
            .push(Reverse((end, self.sequence, self.running.len())));
        self.running.push((permit, cost));
    }

    fn end(&mut self, now: Moment, index: usize) {
        let (permit, cost) = self.running[index].clone();
        let usage = Usage {
            prefill: cost.prefill,
            cached: 0,
            decode: cost.decode,
            first_token_ms: 60 + cost.prefill / 50,
            elapsed_ms: 60 + cost.prefill / 50 + cost.decode * 4,
        };
        let release = Release {
            permit: permit.id,
            attempt: permit.attempt,
            outcome: ReleaseOutcome::Finished(usage),
        };
        let shard = shard(None);
        self.tell(now, OwnerMessage::Release { shard, release });
    }

    /// Play the burst; get the processor time of an event in microseconds.
    fn play(&mut self) -> f64 {
        let gap = Duration::from_secs_f64(1.0 / self.per_second());
        let end = Moment::START.plus(LENGTH);
        let mut next = Moment::START;
        let began = cpu_nanos();
        while next < end {
            while let Some(Reverse((at, _, index))) = self.ends.peek().copied()
                && at <= next
            {
                self.ends.pop();
                self.end(at, index);
            }
            let ask = self.next_ask();
            self.tell(next, OwnerMessage::Ask(Box::new(ask)));
            next = next.plus(gap);
        }
        (cpu_nanos() - began) as f64 / self.events as f64 / 1_000.0
    }
}

fn digit(permit: &Permit) -> f64 {
    let last = permit.target.as_str().bytes().last().unwrap_or(b'0');
    f64::from(last - b'0')
}

/// Measure.
pub fn measure(sheet: &SlopeSheet) {
    sheet.part("pool owner in a burst, processor time in microseconds");
    let points = at_sizes(&[18, 60, 150], |count| BurstBench::new(count).play());
    sheet.slope("event (ask or release), by targets", &points);
}
