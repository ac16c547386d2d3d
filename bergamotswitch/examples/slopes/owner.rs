//! Measures the memory and CPU time of a shard owner.

use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::host::HostName;
use bergamotswitch_core::permit::{
    OwnerMessage, OwnerReply, Permit, PermitRequest, Release, ReleaseOutcome, Usage,
};
use bergamotswitch_core::pool_owner::key_table::KeyTable;
use bergamotswitch_core::pool_owner::{OwnerAction, OwnerEvent, OwnerOptions, ShardOwner};
use bergamotswitch_core::target::LoadReport;

use crate::fixtures::{ask, claim, host_name, incarnation_of, name, prefixes, shard, targets};
use crate::probe::{cpu_micros_per_call, memory_growth};
use crate::report::{SlopeReport, measure_at_sizes};

/// A token limit that is high enough for no request to wait.
const AMPLE_TOKENS: u32 = 4_000_000_000;

/// An `OwnerBench` drives a `ShardOwner` with its own clock.
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
            owner: ShardOwner::new(incarnation_of(2), shard(None), opts, now),
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

    fn submit(&mut self, ask: PermitRequest) -> Vec<Permit> {
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

    /// Ask for a permit and release one of those in flight, so that the number of
    /// queued requests stays the same.
    fn cycle_request(&mut self, in_flight: &mut Vec<Permit>, accounts: usize) {
        let ask = self.next_ask(accounts);
        let mut granted = self.submit(ask);
        if let Some(first) = in_flight.pop() {
            granted.extend(self.release(&first));
        }
        in_flight.extend(granted);
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

/// Measure the CPU time of requests and load reports.
pub fn measure(report: &SlopeReport) {
    report.section("shard owner, CPU time in microseconds");
    let target_counts = [18, 75, 150, 300, 600];
    let points = measure_at_sizes(&target_counts, |count| {
        let mut bench = OwnerBench::new(count, AMPLE_TOKENS);
        let mut in_flight = Vec::new();
        cpu_micros_per_call(|| bench.cycle_request(&mut in_flight, 280))
    });
    report.slope(
        "request (ask, permit, release), spare capacity, by targets",
        &points,
    );
    let points = measure_at_sizes(&target_counts, |count| {
        let mut bench = OwnerBench::new(count, AMPLE_TOKENS);
        // Fills the cost history with short requests, compared with which the
        // measured requests are long.
        let mut in_flight = Vec::new();
        for _ in 0..400 {
            let ask = bench.next_ask(280);
            in_flight.extend(bench.submit(ask));
        }
        cpu_micros_per_call(|| {
            let mut ask = bench.next_ask(280);
            ask.cost.prefill = 100_000;
            let granted = bench.submit(ask);
            for permit in &granted {
                bench.release(permit);
            }
            granted.len()
        })
    });
    report.slope("long request, spare capacity, by targets", &points);
    let points = measure_at_sizes(&[100, 1_000, 4_000, 8_000], |count| {
        let mut bench = OwnerBench::new(67, AMPLE_TOKENS);
        let mut in_flight = Vec::new();
        for _ in 0..count {
            let ask = bench.next_ask(280);
            in_flight.extend(bench.submit(ask));
        }
        in_flight.reverse();
        cpu_micros_per_call(|| bench.cycle_request(&mut in_flight, 280))
    });
    report.slope("request, 67 targets, by permits in flight", &points);
    let points = measure_at_sizes(&[0, 1_000, 5_000, 20_000], |count| {
        let mut bench = OwnerBench::new(67, 8_192);
        let mut in_flight = fill_targets(&mut bench, 280);
        for _ in 0..count {
            let ask = bench.next_ask(280);
            bench.submit(ask);
        }
        cpu_micros_per_call(|| bench.cycle_request(&mut in_flight, 280))
    });
    report.slope("request, 67 full targets, by waiting requests", &points);
    let points = measure_at_sizes(&[5, 50, 100, 280], |count| {
        let mut bench = OwnerBench::new(67, 8_192);
        let mut in_flight = fill_targets(&mut bench, count);
        for _ in 0..5_000 {
            let ask = bench.next_ask(count);
            bench.submit(ask);
        }
        cpu_micros_per_call(|| bench.cycle_request(&mut in_flight, count))
    });
    report.slope(
        "request, 67 full targets, 5,000 waiting, by accounts",
        &points,
    );
    let points = measure_at_sizes(&target_counts, |count| {
        let mut bench = OwnerBench::new(count, AMPLE_TOKENS);
        let load = LoadReport {
            running: 10,
            waiting: 0,
            outstanding_tokens: 5_000,
            age_ms: 300,
        };
        cpu_micros_per_call(|| bench.event(OwnerEvent::Load(name("drafting-lm-007"), load)))
    });
    report.slope("load report, by targets", &points);
}

fn fill_targets(bench: &mut OwnerBench, accounts: usize) -> Vec<Permit> {
    let mut in_flight = Vec::new();
    loop {
        let ask = bench.next_ask(accounts);
        let granted = bench.submit(ask);
        if granted.is_empty() {
            in_flight.reverse();
            return in_flight;
        }
        in_flight.extend(granted);
    }
}

/// Measure the memory of queues, permits, keys and prefixes.
pub fn measure_memory(report: &SlopeReport) {
    report.section("shard owner, memory in bytes");
    let sizes = [5_000, 10_000, 20_000, 40_000];
    let mut saturated = Box::new(OwnerBench::new(67, 8_192));
    fill_targets(&mut saturated, 280);
    let points = memory_growth(&sizes, || {
        let ask = saturated.next_ask(280);
        saturated.submit(ask);
    });
    report.slope("waiting requests", &points);
    let mut ample = Box::new(OwnerBench::new(67, AMPLE_TOKENS));
    let points = memory_growth(&sizes, || {
        let ask = ample.next_ask(280);
        ample.submit(ask);
    });
    report.slope("permits in flight, with four prefixes each", &points);
    let retention = Duration::from_secs(900);
    let mut table = Box::new(KeyTable::new(Moment::START, retention, 1_000_000));
    let mut key = 0;
    let points = memory_growth(&[50_000, 100_000, 150_000, 200_000], || {
        key += 1;
        table.grant(Moment::START, &claim(key));
    });
    report.slope("idempotency keys", &points);
    let mut prefixed = Box::new(OwnerBench::new(67, AMPLE_TOKENS));
    let mut seed = 0;
    let points = memory_growth(&[8_000, 16_000, 32_000, 64_000], || {
        seed += 1;
        let target = name(format!("drafting-lm-{:03}", seed % 67));
        prefixed.event(OwnerEvent::Prefix(target, prefixes(seed, 1)[0], true));
    });
    report.slope("prefixes", &points);
    // Freed memory would be reused and hide the growth of later measurements.
    Box::leak(saturated);
    Box::leak(ample);
    Box::leak(table);
    Box::leak(prefixed);
}
