//! Measures the memory and CPU time of the entry dispatcher.

use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::{
    AttemptEvent, EntryAction, EntryDispatcher, EntryEvent, EntryOptions, SubmitOutcome,
};
use bergamotswitch_core::host::HostName;
use bergamotswitch_core::permit::{OwnerMessage, OwnerReply, Permit, PermitId, Usage};
use bergamotswitch_core::request::{AttemptId, RequestId};
use bergamotswitch_net::answer::{AnswerPart, AnswerWriter};

use crate::fixtures::{host_name, incarnation_of, name, pool, shard, submission, targets};
use crate::probe::{cpu_micros_per_call, memory_growth};
use crate::report::{SlopeReport, measure_at_sizes};

const USAGE: Usage = Usage {
    prefill: 1_000,
    cached: 0,
    decode: 424,
    first_token_ms: 400,
    elapsed_ms: 17_000,
};

/// An `EntryBench` drives an `EntryDispatcher` with its own clock and a fixed
/// owner.
struct EntryBench {
    dispatcher: EntryDispatcher,
    now: Moment,
    sequence: u64,
    owner: HostName,
}

impl EntryBench {
    fn new(target_count: usize) -> Self {
        let opts = EntryOptions::default()
            .with_permit_resend_interval(Duration::from_secs(1_000))
            .with_max_kept_answers(1_000_000);
        let mut bench = EntryBench {
            dispatcher: EntryDispatcher::new(incarnation_of(1), opts),
            now: Moment::from_millis(1_000),
            sequence: 0,
            owner: host_name(2),
        };
        let pools = vec![pool(targets(target_count, 262_144))];
        bench.event(EntryEvent::Pools(pools));
        bench.event(EntryEvent::OwnerChanged(shard(None), bench.owner.clone()));
        bench
    }

    fn event(&mut self, event: EntryEvent) -> Vec<EntryAction> {
        self.now = self.now.plus(Duration::from_micros(20));
        self.dispatcher.handle(self.now, event)
    }

    /// Submit a request. Get its ID and the attempt for which a permit is asked.
    fn submit(&mut self, with_key: bool) -> (RequestId, AttemptId) {
        self.sequence += 1;
        let key = with_key.then(|| format!("summary-2026-12-02-{:08}", self.sequence));
        let (outcome, actions) = self
            .dispatcher
            .submit(self.now, submission(self.sequence, key));
        let SubmitOutcome::Accepted(id) = outcome else {
            panic!("request not accepted: {outcome:?}");
        };
        let attempt = actions.iter().find_map(|action| match action {
            EntryAction::Send(_, OwnerMessage::PermitRequest(ask)) => Some(ask.attempt),
            _ => None,
        });
        (id, attempt.expect("no permit asked for"))
    }

    fn grant(&mut self, attempt: AttemptId) {
        let permit = Permit {
            id: PermitId {
                owner: incarnation_of(2).incarnation,
                sequence: attempt.request.sequence,
            },
            attempt,
            target: name("drafting-lm-007"),
            lifetime_ms: 2_000,
        };
        let granted = OwnerReply::Granted {
            shard: shard(None),
            permit,
        };
        self.event(EntryEvent::Reply(self.owner.clone(), granted));
    }

    fn finish(&mut self, attempt: AttemptId) {
        self.event(EntryEvent::Attempt(attempt, AttemptEvent::FirstToken));
        self.event(EntryEvent::Attempt(attempt, AttemptEvent::Finished(USAGE)));
    }

    fn complete_request(&mut self) {
        let (_, attempt) = self.submit(false);
        self.grant(attempt);
        self.finish(attempt);
    }

    fn start_request(&mut self) -> AttemptId {
        let (_, attempt) = self.submit(false);
        self.grant(attempt);
        attempt
    }
}

/// Get the answer of an engine as a stream with one event per token.
fn answer() -> AnswerWriter {
    let answer = AnswerWriter::new();
    answer.push(AnswerPart::Head {
        fields: http::HeaderMap::new(),
        status: 200,
        content_type: "text/event-stream".to_owned(),
    });
    for token in 0..USAGE.decode {
        let event = serde_json::json!({
            "id": "cmpl-000000000000", "object": "text_completion",
            "created": 1_764_000_000, "model": "drafting-lm-1",
            "choices": [{"index": 0, "text": format!(" word{token}"), "finish_reason": null}],
        });
        answer.push(AnswerPart::Data(event.to_string().into()));
    }
    answer.push(AnswerPart::End);
    answer
}

/// Measure the memory of requests, outcomes and answers.
pub fn measure_memory(report: &SlopeReport) {
    report.section("entry host, memory in bytes");
    let sizes = [5_000, 10_000, 20_000, 40_000];
    let mut bench = Box::new(EntryBench::new(67));
    let points = memory_growth(&sizes, || {
        bench.submit(false);
    });
    report.slope("waiting requests, without body", &points);
    let mut completed = Box::new(EntryBench::new(67));
    let points = memory_growth(&sizes, || {
        let (_, attempt) = completed.submit(true);
        completed.grant(attempt);
        completed.finish(attempt);
    });
    report.slope(
        "kept outcomes with idempotency keys, without answer",
        &points,
    );
    let mut answers = Vec::new();
    let points = memory_growth(&[100, 200, 400, 800], || answers.push(answer()));
    report.slope("complete answers of 424 tokens, as events", &points);
    // Freed memory would be reused and hide the growth of later measurements.
    std::mem::forget(answers);
    Box::leak(bench);
    Box::leak(completed);
}

/// Measure the CPU time of requests.
pub fn measure(report: &SlopeReport) {
    report.section("entry host, CPU time in microseconds");
    let points = measure_at_sizes(&[18, 75, 150, 300, 600], |count| {
        let mut bench = EntryBench::new(count);
        cpu_micros_per_call(|| bench.complete_request())
    });
    report.slope(
        "request from submission to end, by targets in its pool",
        &points,
    );
    let points = measure_at_sizes(&[10, 100, 1_000, 5_000], |count| {
        let mut bench = EntryBench::new(67);
        for _ in 0..count {
            bench.start_request();
        }
        cpu_micros_per_call(|| bench.complete_request())
    });
    report.slope("request, 67 targets, by requests in flight", &points);
    let points = measure_at_sizes(&[10, 100, 1_000, 5_000], |count| {
        let mut bench = EntryBench::new(67);
        for _ in 0..count {
            bench.submit(false);
        }
        cpu_micros_per_call(|| bench.complete_request())
    });
    report.slope("request, 67 targets, by waiting requests", &points);
    let points = measure_at_sizes(&[10, 100, 1_000, 5_000], |count| {
        let mut bench = EntryBench::new(67);
        for _ in 0..count {
            bench.start_request();
        }
        cpu_micros_per_call(|| bench.dispatcher.used_shards())
    });
    report.slope(
        "shards in use (for each event), by requests in flight",
        &points,
    );
}
