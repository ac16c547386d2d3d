//! Measures the entry desk.

use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::{
    AttemptEvent, EntryAction, EntryDispatcher, EntryEvent, EntryOptions, SubmitOutcome,
};
use bergamotswitch_core::host::HostName;
use bergamotswitch_core::permit::{OwnerMessage, OwnerReply, Permit, PermitId, Usage};
use bergamotswitch_core::request::{AttemptId, RequestId};
use bergamotswitch_net::answer::{AnswerPart, AnswerWriter};

use crate::probe::{growth, micros_each};
use crate::sheet::{SlopeSheet, at_sizes};
use crate::world::{host_name, name, pool, run_of, shard, submission, targets};

const USAGE: Usage = Usage {
    prefill: 1_000,
    cached: 0,
    decode: 424,
    first_token_ms: 400,
    elapsed_ms: 17_000,
};

/// An `EntryBench` is a desk with a clock and an owner of its own.
struct EntryBench {
    desk: EntryDispatcher,
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
            desk: EntryDispatcher::new(run_of(1), opts),
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
        self.desk.handle(self.now, event)
    }

    /// Let a request come, up to its ask.
    fn submit(&mut self, keyed: bool) -> (RequestId, AttemptId) {
        self.sequence += 1;
        let key = keyed.then(|| format!("summary-2026-12-02-{:08}", self.sequence));
        let (reception, actions) = self.desk.submit(self.now, submission(self.sequence, key));
        let SubmitOutcome::Accepted(id) = reception else {
            panic!("an accepted request, not {reception:?}");
        };
        let asked = actions.iter().find_map(|action| match action {
            EntryAction::Send(_, OwnerMessage::PermitRequest(ask)) => Some(ask.attempt),
            _ => None,
        });
        (id, asked.expect("an ask"))
    }

    fn permit(&mut self, attempt: AttemptId) {
        let permit = Permit {
            id: PermitId {
                owner: run_of(2).incarnation,
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

    fn turn(&mut self) {
        let (_, attempt) = self.submit(false);
        self.permit(attempt);
        self.finish(attempt);
    }

    fn run_one(&mut self) -> AttemptId {
        let (_, attempt) = self.submit(false);
        self.permit(attempt);
        attempt
    }
}

/// Get an answer as an engine streams it, an event for each token.
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

/// Measure the memory.
pub fn measure_memory(sheet: &SlopeSheet) {
    sheet.part("entry host, memory in bytes");
    let sizes = [5_000, 10_000, 20_000, 40_000];
    let mut bench = Box::new(EntryBench::new(67));
    let points = growth(&sizes, || {
        bench.submit(false);
    });
    sheet.slope("requests that wait, without body", &points);
    let mut kept = Box::new(EntryBench::new(67));
    let points = growth(&sizes, || {
        let (_, attempt) = kept.submit(true);
        kept.permit(attempt);
        kept.finish(attempt);
    });
    sheet.slope("outcomes with their keys, without answer", &points);
    let mut answers = Vec::new();
    let points = growth(&[100, 200, 400, 800], || answers.push(answer()));
    sheet.slope("whole answers of 424 tokens, as events", &points);
    // Memory that is given back would be taken again unseen.
    std::mem::forget(answers);
    Box::leak(bench);
    Box::leak(kept);
}

/// Measure the processor time.
pub fn measure(sheet: &SlopeSheet) {
    sheet.part("entry host, processor time in microseconds");
    let points = at_sizes(&[18, 75, 150, 300, 600], |count| {
        let mut bench = EntryBench::new(count);
        micros_each(|| bench.turn())
    });
    sheet.slope(
        "request from submission to end, by targets of its pool",
        &points,
    );
    let points = at_sizes(&[10, 100, 1_000, 5_000], |count| {
        let mut bench = EntryBench::new(67);
        for _ in 0..count {
            bench.run_one();
        }
        micros_each(|| bench.turn())
    });
    sheet.slope("request, 67 targets, by requests in flight", &points);
    let points = at_sizes(&[10, 100, 1_000, 5_000], |count| {
        let mut bench = EntryBench::new(67);
        for _ in 0..count {
            bench.submit(false);
        }
        micros_each(|| bench.turn())
    });
    sheet.slope("request, 67 targets, by requests that wait", &points);
    let points = at_sizes(&[10, 100, 1_000, 5_000], |count| {
        let mut bench = EntryBench::new(67);
        for _ in 0..count {
            bench.run_one();
        }
        micros_each(|| bench.desk.used_shards())
    });
    sheet.slope(
        "shards in use (each event of a host), by requests in flight",
        &points,
    );
}
