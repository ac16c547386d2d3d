//! Tests routing and queuing for targets that publish their number of slots.

mod owner_bench;

use owner_bench::*;

const FIRST_TOKEN_LIMIT_MS: u32 = 400;

fn slot_target(name: &str, slots: u32) -> PoolTarget {
    let mut target = target(name, "d", 1_000_000);
    target.slots = Some(slots);
    target
}

fn limited_permit_request(sequence: u64, output: u32) -> PermitRequest {
    let mut permit_request = with_cost(permit_request(sequence, 1, "a"), 500, output);
    permit_request.first_answer_ms = Some(FIRST_TOKEN_LIMIT_MS);
    permit_request.deadline_ms = 10_000;
    permit_request
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// A `SlotBench` is the owner of targets with a known number of slots.
struct SlotBench {
    owner: ShardOwner,
}

impl SlotBench {
    fn new(targets: &[PoolTarget]) -> Self {
        let opts = OwnerOptions::default();
        let mut owner = ShardOwner::new(incarnation_of("owner", 1), shard(), opts, Moment::START);
        owner.handle(Moment::START, OwnerEvent::Targets(targets.to_vec()));
        SlotBench { owner }
    }

    fn send(&mut self, now: Moment, message: OwnerMessage) -> Vec<OwnerReply> {
        let event = OwnerEvent::Message(named("entry"), message);
        replies(self.owner.handle(now, event))
    }

    fn request_permit(&mut self, now: Moment, permit_request: PermitRequest) -> Vec<OwnerReply> {
        self.send(now, OwnerMessage::PermitRequest(Box::new(permit_request)))
    }

    /// Run a request on the target that is chosen, with these times to the first
    /// token and per output token.
    fn run_request(&mut self, now: Moment, number: u64, first_ms: u32, token_ms: u32) -> String {
        let granted = self.request_permit(now, limited_permit_request(number, 10));
        let [OwnerReply::Granted { permit, .. }] = granted.as_slice() else {
            panic!("not granted: {granted:?}");
        };
        self.send(now, finished(permit, first_ms, token_ms));
        permit.target.to_string()
    }

    /// Run requests so that the owner measures `fast` as fast and the other targets
    /// as slow.
    fn measure_targets(&mut self, fast: &str) {
        for number in 1_000..1_012 {
            // The targets are used in turn until each has completed some runs.
            let granted = self.request_permit(at(1), limited_permit_request(number, 10));
            let [OwnerReply::Granted { permit, .. }] = granted.as_slice() else {
                panic!("not granted: {granted:?}");
            };
            let slow = permit.target.as_str() != fast;
            let (first, token) = if slow { (1_000, 60) } else { (60, 4) };
            self.send(at(1), finished(permit, first, token));
        }
    }
}

/// Get the release of a finished request with these times to the first token and
/// per output token.
fn finished(permit: &Permit, first_ms: u32, token_ms: u32) -> OwnerMessage {
    let usage = Usage {
        prefill: 500,
        cached: 0,
        decode: 10,
        first_token_ms: first_ms,
        elapsed_ms: first_ms + 10 * token_ms,
    };
    released(permit, ReleaseOutcome::Finished(usage))
}

fn replies(actions: Vec<OwnerAction>) -> Vec<OwnerReply> {
    let replies = actions.into_iter().filter_map(|action| match action {
        OwnerAction::Reply(_, reply) => Some(reply),
        OwnerAction::LogIncident(..)
        | OwnerAction::LogShare(..)
        | OwnerAction::LogSize(..)
        | OwnerAction::ReadCaches(..) => None,
    });
    replies.collect()
}

fn targets(replies: &[OwnerReply]) -> Vec<String> {
    let targets = replies.iter().filter_map(|reply| match reply {
        OwnerReply::Granted { permit, .. } => Some(permit.target.to_string()),
        _ => None,
    });
    targets.collect()
}

// Guards against filling a slow target before its speed has been measured.
#[test]
fn unmeasured_targets() {
    let mut bench = SlotBench::new(&[slot_target("one", 10), slot_target("two", 10)]);
    let mut granted = Vec::new();
    for number in 0..8 {
        granted.extend(targets(
            &bench.request_permit(at(1), limited_permit_request(number, 10)),
        ));
    }
    assert_eq!(granted.len(), 4, "{granted:?}");
}

// Guards against late answers because a request takes a free slot of a slow target
// when a slot of a fast one would be released in time.
#[test]
fn waits_for_fast() {
    let mut bench = SlotBench::new(&[slot_target("fast", 2), slot_target("slow", 2)]);
    bench.measure_targets("fast");
    let first = bench.request_permit(at(10), limited_permit_request(1, 10));
    let second = bench.request_permit(at(10), limited_permit_request(2, 10));
    assert_eq!(targets(&first), ["fast"]);
    assert_eq!(targets(&second), ["fast"]);
    let third = bench.request_permit(at(10), limited_permit_request(3, 10));
    assert_eq!(third, []);
    // A slot of the fast target is released while the request can be on time.
    let [OwnerReply::Granted { permit, .. }] = first.as_slice() else {
        panic!("not granted");
    };
    let release = released(permit, ReleaseOutcome::Unused);
    assert_eq!(targets(&bench.send(at(50), release)), ["fast"]);
    // No slot is released for the next one, which takes the slow target once late.
    assert_eq!(
        bench.request_permit(at(60), limited_permit_request(4, 10)),
        []
    );
    let ticked = replies(bench.owner.handle(at(500), OwnerEvent::Tick));
    assert_eq!(targets(&ticked), ["slow"]);
}

// Guards against requests that could be on time but wait behind late ones.
#[test]
fn on_time_first() {
    let mut bench = SlotBench::new(&[slot_target("only", 1)]);
    bench.run_request(at(1), 100, 60, 4);
    let running = bench.request_permit(at(10), limited_permit_request(1, 10));
    let [OwnerReply::Granted { permit, .. }] = running.as_slice() else {
        panic!("not granted");
    };
    assert_eq!(
        bench.request_permit(at(20), limited_permit_request(2, 10)),
        []
    );
    assert_eq!(
        bench.request_permit(at(500), limited_permit_request(3, 10)),
        []
    );
    let release = released(permit, ReleaseOutcome::Unused);
    let [OwnerReply::Granted { permit, .. }] = &bench.send(at(510), release)[..] else {
        panic!("no request was granted");
    };
    assert_eq!(permit.attempt.request.sequence, 3);
}

// Guards against starting requests that cannot finish before their deadline while
// others are queued.
#[test]
fn unfinishable_request() {
    let mut bench = SlotBench::new(&[slot_target("only", 1)]);
    bench.run_request(at(1), 100, 60, 4);
    let running = bench.request_permit(at(10), limited_permit_request(1, 10));
    let [OwnerReply::Granted { permit, .. }] = running.as_slice() else {
        panic!("not granted");
    };
    // 2,400 tokens at 4 ms each take just under the deadline of ten seconds, too
    // close for the accuracy of the estimates.
    bench.request_permit(at(11), limited_permit_request(2, 2_400));
    bench.request_permit(at(12), limited_permit_request(3, 10));
    let release = released(permit, ReleaseOutcome::Unused);
    let next = bench.send(at(20), release);
    let refused = next.iter().any(|reply| {
        matches!(reply, OwnerReply::Refused { attempt, reason, .. }
            if attempt.request.sequence == 2 && *reason == RefusalReason::DeadlinePassed)
    });
    assert!(refused, "{next:?}");
    assert_eq!(targets(&next), ["only"]);
}

// Guards against free slots of a slow target that stay empty behind a request that is
// too long for it.
#[test]
fn long_request_ahead() {
    let mut bench = SlotBench::new(&[slot_target("fast", 1), slot_target("slow", 1)]);
    for number in 1_000..1_012 {
        let granted = bench.request_permit(at(1), limited_permit_request(number, 10));
        let [OwnerReply::Granted { permit, .. }] = granted.as_slice() else {
            panic!("not granted: {granted:?}");
        };
        let is_slow = permit.target.as_str() == "slow";
        let (first_ms, token_ms) = if is_slow { (100, 20) } else { (60, 4) };
        bench.send(at(1), finished(permit, first_ms, token_ms));
    }
    bench.request_permit(at(10), limited_permit_request(1, 10));
    let on_slow = bench.request_permit(at(10), limited_permit_request(2, 10));
    let [OwnerReply::Granted { permit, .. }] = on_slow.as_slice() else {
        panic!("not granted: {on_slow:?}");
    };
    assert_eq!(permit.target.as_str(), "slow");
    // 400 tokens at 20 ms each are too close to the deadline of ten seconds.
    bench.request_permit(at(11), limited_permit_request(3, 400));
    bench.request_permit(at(12), limited_permit_request(4, 10));
    let next = bench.send(at(20), released(permit, ReleaseOutcome::Unused));
    let granted = next.iter().filter_map(|reply| match reply {
        OwnerReply::Granted { permit, .. } => Some(permit.attempt.request.sequence),
        _ => None,
    });
    assert_eq!(granted.collect::<Vec<u64>>(), [4], "{next:?}");
}

// Guards against refused callers that retry during the same overload: the retry
// delay is about a third of the deadline, with jitter.
#[test]
fn retry_after_spread() {
    let mut bench = SlotBench::new(&[slot_target("only", 1)]);
    bench.run_request(at(1), 100, 60, 4);
    bench.request_permit(at(10), limited_permit_request(1, 10));
    let mut delays = Vec::new();
    let mut refused = Vec::new();
    for number in 2..40 {
        refused.extend(bench.request_permit(at(20), limited_permit_request(number, 10)));
    }
    refused.extend(replies(bench.owner.handle(at(3_000), OwnerEvent::Tick)));
    for reply in refused {
        if let OwnerReply::Refused { retry_after_ms, .. } = reply {
            delays.push(retry_after_ms);
        }
    }
    delays.sort_unstable();
    assert!(delays.len() > 20, "{}", delays.len());
    assert!(delays[0] >= 1_000, "{delays:?}");
    assert!(delays[delays.len() - 1] <= 3_400, "{delays:?}");
    assert!(delays[delays.len() - 1] - delays[0] >= 500, "{delays:?}");
}
