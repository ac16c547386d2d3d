//! Measures a shard's owner.

use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::host::HostName;
use bergamotswitch_core::permit::{
    OwnerMessage, OwnerReply, Permit, PermitRequest, Release, ReleaseOutcome, Usage,
};
use bergamotswitch_core::pool_owner::key_table::KeyTable;
use bergamotswitch_core::pool_owner::{OwnerAction, OwnerEvent, OwnerOptions, ShardOwner};
use bergamotswitch_core::target::LoadReport;

use crate::probe::{growth, micros_each};
use crate::sheet::{SlopeSheet, at_sizes};
use crate::world::{ask, claim, host_name, name, prefixes, run_of, shard, targets};

/// Room for so many tokens that nothing waits.
const ROOMY: u32 = 4_000_000_000;

/// A `OwnerBench` is an owner with a clock of its own.
struct OwnerBench {
    owner: ShardOwner,
    now: Moment,
    sequence: u64,
    entry: HostName,
}

impl OwnerBench {
    fn new(target_count: usize, limit: u32) -> Self {
        let opts = OwnerOptions::default()
            .with_max_wait(Duration::from_secs(1_000_000))
            .with_audit_after(Duration::from_secs(1_000_000));
        let now = Moment::from_millis(1_000);
        let mut bench = OwnerBench {
            owner: ShardOwner::new(run_of(2), shard(None), opts, now),
            now,
            sequence: 0,
            entry: host_name(1),
        };
        bench.event(OwnerEvent::Targets(targets(target_count, limit)));
        bench
    }

    fn event(&mut self, event: OwnerEvent) -> Vec<OwnerAction> {
        self.now = self.now.plus(Duration::from_micros(100));
        self.owner.handle(self.now, event)
    }

    fn message(&mut self, message: OwnerMessage) -> Vec<OwnerAction> {
        self.event(OwnerEvent::Message(self.entry.clone(), message))
    }

    fn next_ask(&mut self, accounts: usize) -> PermitRequest {
        self.sequence += 1;
        let mut ask = ask(self.sequence, self.sequence as usize % accounts);
        ask.deadline_ms = u32::MAX;
        ask
    }

    fn put(&mut self, ask: PermitRequest) -> Vec<Permit> {
        permits(self.message(OwnerMessage::PermitRequest(Box::new(ask))))
    }

    fn release(&mut self, permit: &Permit) -> Vec<Permit> {
        let release = Release {
            permit: permit.id,
            attempt: permit.attempt,
            outcome: ReleaseOutcome::Finished(Usage {
                prefill: 1_000,
                cached: 0,
                decode: 424,
                first_token_ms: 400,
                elapsed_ms: 1_000,
            }),
        };
        permits(self.message(OwnerMessage::Release {
            shard: shard(None),
            release,
        }))
    }

    /// Let a request come and end, with `waiting` others queued all along.
    fn turn(&mut self, held: &mut Vec<Permit>, accounts: usize) {
        let ask = self.next_ask(accounts);
        let mut fresh = self.put(ask);
        if let Some(first) = held.pop() {
            fresh.extend(self.release(&first));
        }
        held.extend(fresh);
    }
}

fn permits(actions: Vec<OwnerAction>) -> Vec<Permit> {
    actions
        .into_iter()
        .filter_map(|action| match action {
            OwnerAction::Reply(_, OwnerReply::Granted { permit, .. }) => Some(permit),
            _ => None,
        })
        .collect()
}

/// Measure.
pub fn measure(sheet: &SlopeSheet) {
    sheet.part("pool owner, processor time in microseconds");
    let target_counts = [18, 75, 150, 300, 600];
    let points = at_sizes(&target_counts, |count| {
        let mut bench = OwnerBench::new(count, ROOMY);
        let mut held = Vec::new();
        micros_each(|| bench.turn(&mut held, 280))
    });
    sheet.slope(
        "request (ask, permit, release) with room, by targets",
        &points,
    );
    let points = at_sizes(&target_counts, |count| {
        let mut bench = OwnerBench::new(count, ROOMY);
        // One request of a hundred is long, so that the others are short.
        let mut held = Vec::new();
        for _ in 0..400 {
            let ask = bench.next_ask(280);
            held.extend(bench.put(ask));
        }
        micros_each(|| {
            let mut ask = bench.next_ask(280);
            ask.cost.prefill = 100_000;
            let fresh = bench.put(ask);
            for permit in &fresh {
                bench.release(permit);
            }
            fresh.len()
        })
    });
    sheet.slope("long request with room, by targets", &points);
    let points = at_sizes(&[100, 1_000, 4_000, 8_000], |count| {
        let mut bench = OwnerBench::new(67, ROOMY);
        let mut held = Vec::new();
        for _ in 0..count {
            let ask = bench.next_ask(280);
            held.extend(bench.put(ask));
        }
        held.reverse();
        micros_each(|| bench.turn(&mut held, 280))
    });
    sheet.slope("request, 67 targets, by permits in flight", &points);
    let points = at_sizes(&[0, 1_000, 5_000, 20_000], |count| {
        let mut bench = OwnerBench::new(67, 8_192);
        let mut held = fill(&mut bench, 280);
        for _ in 0..count {
            let ask = bench.next_ask(280);
            bench.put(ask);
        }
        micros_each(|| bench.turn(&mut held, 280))
    });
    sheet.slope("request, 67 full targets, by requests that wait", &points);
    let points = at_sizes(&[5, 50, 100, 280], |count| {
        let mut bench = OwnerBench::new(67, 8_192);
        let mut held = fill(&mut bench, count);
        for _ in 0..5_000 {
            let ask = bench.next_ask(count);
            bench.put(ask);
        }
        micros_each(|| bench.turn(&mut held, count))
    });
    sheet.slope("request, 67 full targets, 5,000 wait, by accounts", &points);
    let points = at_sizes(&target_counts, |count| {
        let mut bench = OwnerBench::new(count, ROOMY);
        let report = LoadReport {
            running: 10,
            waiting: 0,
            outstanding_tokens: 5_000,
            age_ms: 300,
        };
        micros_each(|| bench.event(OwnerEvent::Load(name("drafting-lm-007"), report)))
    });
    sheet.slope("load report, by targets", &points);
}

fn fill(bench: &mut OwnerBench, accounts: usize) -> Vec<Permit> {
    let mut held = Vec::new();
    loop {
        let ask = bench.next_ask(accounts);
        let fresh = bench.put(ask);
        if fresh.is_empty() {
            held.reverse();
            return held;
        }
        held.extend(fresh);
    }
}

/// Measure the memory.
pub fn measure_memory(sheet: &SlopeSheet) {
    sheet.part("pool owner, memory in bytes");
    let sizes = [5_000, 10_000, 20_000, 40_000];
    let mut full = Box::new(OwnerBench::new(67, 8_192));
    fill(&mut full, 280);
    let points = growth(&sizes, || {
        let ask = full.next_ask(280);
        full.put(ask);
    });
    sheet.slope("requests that wait", &points);
    let mut roomy = Box::new(OwnerBench::new(67, ROOMY));
    let points = growth(&sizes, || {
        let ask = roomy.next_ask(280);
        roomy.put(ask);
    });
    sheet.slope("permits in flight, with four prefixes each", &points);
    let retention = Duration::from_secs(900);
    let mut table = Box::new(KeyTable::new(Moment::START, retention, 1_000_000));
    let mut key = 0;
    let points = growth(&[50_000, 100_000, 150_000, 200_000], || {
        key += 1;
        table.grant(Moment::START, &claim(key));
    });
    sheet.slope("keys", &points);
    let mut hinted = Box::new(OwnerBench::new(67, ROOMY));
    let mut seed = 0;
    let points = growth(&[8_000, 16_000, 32_000, 64_000], || {
        seed += 1;
        let target = name(format!("drafting-lm-{:03}", seed % 67));
        hinted.event(OwnerEvent::Prefix(target, prefixes(seed, 1)[0], true));
    });
    sheet.slope("prefixes", &points);
    // Memory that is given back would be taken again unseen.
    Box::leak(full);
    Box::leak(roomy);
    Box::leak(table);
    Box::leak(hinted);
}
