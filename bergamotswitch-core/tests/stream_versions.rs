//! Tests of a shard owner whose targets have several versions: resumable streams continue
//! only at the version that began them.

mod owner_bench;

use bergamotswitch_core::stream_table::{
    StreamEntry, StreamId, StreamOrigin, StreamTable, VersionStreams,
};
use bergamotswitch_core::target::{TargetName, TargetVersion};
use owner_bench::*;

const SLOTS: u32 = 2;

fn version(text: &str) -> TargetVersion {
    TargetVersion::from(text)
}

fn versioned(name: &str, text: &str) -> PoolTarget {
    PoolTarget {
        slots: Some(SLOTS),
        version: version(text),
        ..target(name, "d", 100_000)
    }
}

fn stream(number: u64) -> StreamId {
    StreamId::new(&named("a"), &format!("stream-{number}"))
}

fn mixed_bench() -> OwnerBench {
    let targets = [versioned("a", "v1"), versioned("b", "v2")];
    let mut bench = OwnerBench::with_targets(OwnerOptions::default(), &targets);
    bench.tick_after(5_000);
    bench
}

/// Request a permit for a stream.
fn request_stream(
    bench: &mut OwnerBench,
    request: &PermitRequest,
    origin: StreamOrigin,
) -> Vec<OwnerAction> {
    let mut actions = bench.message(OwnerMessage::Stream {
        shard: shard(),
        attempt: request.attempt,
        origin,
    });
    actions.extend(bench.request_permit(request));
    actions
}

fn resume(bench: &mut OwnerBench, request: u64, origin: u64) -> Vec<OwnerAction> {
    let origin = StreamOrigin::Unknown(Some(stream(origin)));
    request_stream(bench, &permit_request(request, 1, "a"), origin)
}

fn report(bench: &mut OwnerBench, text: Option<&str>, number: u64) -> Vec<OwnerAction> {
    let streams = vec![StreamEntry {
        id: stream(number),
        is_begun: true,
        seconds_left: 60,
    }];
    bench.message(OwnerMessage::StreamVersions {
        shard: shard(),
        streams: vec![VersionStreams {
            version: text.map(version),
            seconds_left: 60,
            streams,
        }],
    })
}

fn reasons(actions: &[OwnerAction]) -> Vec<RefusalReason> {
    let refusals = refusals(actions).into_iter();
    refusals.map(|refusal| refusal.reason).collect()
}

/// Guards against a permit for another version than the one that began a stream, also while
/// that one is full and others are not.
#[test]
fn own_version() {
    let mut bench = mixed_bench();
    for number in 0..4 {
        let request = permit_request(number, 1, "a");
        let origin = StreamOrigin::Unbegun(stream(number));
        let begun = permits(&request_stream(&mut bench, &request, origin));
        let first = begun.first().expect("a free slot").clone();
        bench.release(&first, ReleaseOutcome::Failed(usage(request.cost, 100)));
        bench.tick_after(10_000);
        let again = resume(&mut bench, 100 + number, number);
        let again = permits(&again);
        assert_eq!(again[0].target, first.target, "stream {number}");
        bench.release(
            &again[0],
            ReleaseOutcome::Finished(usage(request.cost, 100)),
        );
    }
    let held: Vec<Permit> = (0..u64::from(SLOTS))
        .flat_map(|number| {
            let begun = StreamOrigin::Begun(Some(stream(50 + number)), version("v1"));
            permits(&request_stream(
                &mut bench,
                &permit_request(200 + number, 1, "a"),
                begun,
            ))
        })
        .collect();
    assert_eq!(held.len(), SLOTS as usize);
    let begun = StreamOrigin::Begun(Some(stream(60)), version("v1"));
    let waiting = request_stream(&mut bench, &permit_request(300, 1, "a"), begun);
    assert_eq!(permits(&waiting), []);
    let freed = bench.release(
        &held[0],
        ReleaseOutcome::Finished(usage(cost_of(50, 50), 100)),
    );
    assert_eq!(permits(&freed)[0].target, named("a"));
}

/// Guards against a guess at a stream that nobody knows, and against a new owner that
/// refuses one before the hosts have reported.
#[test]
fn unknown_stream() {
    let mut settled = mixed_bench();
    let refused = resume(&mut settled, 1, 1);
    assert_eq!(reasons(&refused), [RefusalReason::StreamUnknown]);
    let targets = [versioned("a", "v1"), versioned("b", "v2")];
    let mut new = OwnerBench::with_targets(OwnerOptions::default(), &targets);
    assert_eq!(replies(&resume(&mut new, 1, 1)), []);
    assert_eq!(replies(&resume(&mut new, 2, 2)), []);
    let known = report(&mut new, Some("v2"), 1);
    assert_eq!(permits(&known)[0].target, named("b"));
    assert_eq!(
        reasons(&new.tick_after(2_000)),
        [RefusalReason::StreamUnknown]
    );
    let nameless = StreamOrigin::Unknown(None);
    let refused = request_stream(&mut new, &permit_request(3, 1, "a"), nameless);
    assert_eq!(reasons(&refused), [RefusalReason::StreamUnknown]);
}

/// Guards against a stream that continues although its target changed the version while
/// the stream began.
#[test]
fn ambiguous_stream() {
    let mut bench = mixed_bench();
    report(&mut bench, Some("v1"), 1);
    report(&mut bench, None, 1);
    let refused = resume(&mut bench, 1, 1);
    assert_eq!(reasons(&refused), [RefusalReason::StreamUnknown]);
}

/// Guards against a guess by a version that alone is left, while another one may still have
/// streams that are away.
#[test]
fn former_version() {
    let mut bench = mixed_bench();
    bench.event(OwnerEvent::Targets(vec![versioned("b", "v2")]));
    let refused = resume(&mut bench, 1, 1);
    assert_eq!(reasons(&refused), [RefusalReason::StreamUnknown]);
    bench.tick_after(61_000);
    assert_eq!(permits(&resume(&mut bench, 2, 2))[0].target, named("b"));
}

/// Guards against a stream that is refused at once although its crashed target starts again,
/// and against one that waits without end for a version that is gone.
#[test]
fn gone_version() {
    let mut bench = mixed_bench();
    report(&mut bench, Some("v1"), 1);
    report(&mut bench, Some("v1"), 2);
    bench.event(OwnerEvent::Targets(vec![versioned("b", "v2")]));
    assert_eq!(permits(&resume(&mut bench, 1, 1)), []);
    bench.tick_after(1_000);
    let targets = vec![versioned("b", "v2"), versioned("c", "v1")];
    let back = bench.event(OwnerEvent::Targets(targets));
    assert_eq!(permits(&back)[0].target, named("c"));
    bench.event(OwnerEvent::Targets(vec![versioned("b", "v2")]));
    assert_eq!(
        replies(&resume(&mut bench, 2, 2)).len(),
        1,
        "its version alone"
    );
    assert_eq!(
        reasons(&bench.tick_after(2_500)),
        [RefusalReason::VersionGone]
    );
}

/// Guards against a record that counts for a stream's version although a later attempt
/// began the stream elsewhere.
#[test]
fn later_attempt() {
    let mut table = StreamTable::default();
    let now = Moment::from_millis(1_000);
    let span = Duration::from_secs(5);
    table.record(now, stream(1), Some(version("v1")), false, span);
    assert_eq!(table.begun_version(stream(1)), None);
    table.record(now, stream(1), Some(version("v2")), true, span);
    assert_eq!(table.begun_version(stream(1)), Some(&version("v2")));
    table.record(now, stream(1), Some(version("v1")), false, span);
    let report = table.report_of(now, &[stream(1)]);
    assert_eq!(report[0].version, Some(version("v2")));
    table.expire(now.plus(Duration::from_secs(70)));
    assert!(table.is_empty());
}

/// A `Share` counts streams and those that got a permit.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    asked: u32,
    granted: u32,
}

impl Share {
    fn part(self) -> f64 {
        f64::from(self.granted) / f64::from(self.asked)
    }
}

/// Guards against resumed streams that starve behind new ones at the two targets of their
/// version, while all other targets take new work.
#[test]
fn resumed_under_load() {
    const RUN_MS: u64 = 400;
    const STEP_MS: u64 = 10;
    const STEPS: u64 = 500;
    const RESUMED: u64 = 40;
    let mut targets: Vec<PoolTarget> = (0..10).map(|n| versioned(&format!("n{n}"), "v2")).collect();
    targets.extend([versioned("o0", "v1"), versioned("o1", "v1")]);
    let mut bench = OwnerBench::with_targets(OwnerOptions::default(), &targets);
    bench.tick_after(5_000);
    let (mut new, mut resumed) = (Share::default(), Share::default());
    let mut running: Vec<(u64, Permit)> = Vec::new();
    let mut number = 1_000;
    for step in 0..STEPS {
        let mut actions = bench.tick_after(STEP_MS);
        let due = running.iter().position(|(end, _)| *end > step);
        for (_, permit) in running.drain(..due.unwrap_or(running.len())) {
            let outcome = ReleaseOutcome::Finished(usage(cost_of(50, 50), RUN_MS as u32));
            actions.extend(bench.release(&permit, outcome));
        }
        // Twice as many new streams as all targets run.
        let mut requests: Vec<(u64, StreamOrigin)> = Vec::new();
        for _ in 0..u64::from(step % 5 != 0) {
            number += 1;
            requests.push((number, StreamOrigin::Unbegun(stream(number))));
            new.asked += 1;
        }
        if (100..100 + RESUMED).contains(&step) {
            let origin = StreamOrigin::Begun(Some(stream(step)), version("v1"));
            requests.push((step, origin));
            resumed.asked += 1;
        }
        for (sequence, origin) in requests {
            let mut request = with_deadline(permit_request(sequence, 1, "a"), 3_000);
            request.first_answer_ms = Some(800);
            actions.extend(request_stream(&mut bench, &request, origin));
        }
        for permit in permits(&actions) {
            let is_new = permit.attempt.request.sequence > 1_000;
            let share = if is_new { &mut new } else { &mut resumed };
            share.granted += 1;
            let is_old = permit.target.as_str().starts_with('o');
            assert!(is_new || is_old, "{permit:?}");
            running.push((step + RUN_MS / STEP_MS, permit));
        }
    }
    assert!(new.part() < 0.9, "no load: {new:?}");
    assert!(
        resumed.part() * 2.0 >= new.part(),
        "new {new:?}, resumed {resumed:?}"
    );
}

/// Get an owner of an hour ago that has watched its targets since.
fn settled_bench(targets: &[PoolTarget]) -> OwnerBench {
    let mut bench = OwnerBench::with_targets(OwnerOptions::default(), targets);
    bench.tick_after(3_600_000);
    bench
}

/// Get an owner that has just started and has waited for the reports of other hosts.
fn started_bench(targets: &[PoolTarget]) -> OwnerBench {
    let mut bench = OwnerBench::with_targets(OwnerOptions::default(), targets);
    bench.tick_after(2_000);
    bench
}

const OWN_PART: u64 = 7;

/// Resume a stream whose own part of the prompt is known.
fn resume_with_part(bench: &mut OwnerBench, request: u64) -> Vec<OwnerAction> {
    let origin = StreamOrigin::Unknown(Some(stream(request)));
    let request = with_prefixes(permit_request(request, 1, "a"), &[OWN_PART]);
    request_stream(bench, &request, origin)
}

fn asked(actions: &[OwnerAction]) -> Vec<TargetName> {
    let asked = actions.iter().filter_map(|action| match action {
        OwnerAction::ReadCaches(_, targets) => Some(targets.iter().map(|t| t.name.clone())),
        _ => None,
    });
    asked.flatten().collect()
}

fn answer(bench: &mut OwnerBench, target: &str, parts: Option<&[u64]>) -> Vec<OwnerAction> {
    let parts = parts.map(|parts| parts.iter().copied().map(PrefixHash).collect());
    bench.event(OwnerEvent::CacheRead(named(target), parts))
}

/// Guards against an owner that has just started and takes the only version that it sees for
/// the one that began a stream.
#[test]
fn only_version_seen() {
    let targets = [versioned("a", "v2"), versioned("b", "v2")];
    let mut bench = started_bench(&targets);
    let actions = resume(&mut bench, 1, 1);
    assert_eq!(reasons(&actions), [RefusalReason::StreamUnknown]);
    let actions = resume_with_part(&mut bench, 2);
    assert_eq!(replies(&actions), []);
    assert_eq!(asked(&actions), [named("a"), named("b")]);
    assert_eq!(replies(&answer(&mut bench, "a", Some(&[1]))), []);
    let actions = answer(&mut bench, "b", Some(&[]));
    assert_eq!(reasons(&actions), [RefusalReason::StreamUnknown]);
    let mut settled = settled_bench(&targets);
    let actions = resume(&mut settled, 1, 1);
    assert_eq!(permits(&actions).len(), 1);
}

/// Guards against a new owner that refuses streams although another host has watched the
/// versions for long.
#[test]
fn watched_elsewhere() {
    let mut watching = StreamTable::default();
    let targets = [versioned("a", "v1")];
    let started = Moment::from_micros(0);
    watching.publish(started, targets.iter().map(|target| &target.version));
    let mut bench = started_bench(&targets);
    for (seconds, permitted) in [(1, 0), (3_600, 1)] {
        let now = started.plus(Duration::from_secs(seconds));
        for streams in watching.report(now) {
            let shard = shard();
            bench.message(OwnerMessage::StreamVersions { shard, streams });
        }
        let actions = resume(&mut bench, seconds, seconds);
        assert_eq!(permits(&actions).len(), permitted, "{seconds}");
    }
}

/// Guards against streams that do not go on, or go on at another version, when only their
/// targets know them.
#[test]
fn known_by_caches() {
    let targets = [
        versioned("a", "v1"),
        versioned("b", "v2"),
        versioned("c", "v2"),
    ];
    let held: &[u64] = &[1, OWN_PART];
    let none: &[u64] = &[];
    let cases = [
        ([Some(none), Some(held), Some(held)], Some("v2")),
        ([Some(held), Some(none), Some(none)], Some("v1")),
        ([Some(none), Some(held), None], Some("v2")),
        ([None, Some(held), Some(none)], None),
        ([Some(held), Some(held), Some(none)], None),
        ([Some(none), Some(none), Some(none)], None),
    ];
    for (answers, known) in cases {
        let mut bench = started_bench(&targets);
        let mut actions = resume_with_part(&mut bench, 1);
        for (target, parts) in targets.iter().zip(answers) {
            actions.extend(answer(&mut bench, target.name.as_str(), parts));
        }
        let granted: Vec<PoolTarget> = permits(&actions)
            .iter()
            .filter_map(|permit| targets.iter().find(|t| t.name == permit.target).cloned())
            .collect();
        let versions: Vec<TargetVersion> = granted.into_iter().map(|t| t.version).collect();
        let expected: Vec<TargetVersion> = known.map(version).into_iter().collect();
        assert_eq!(versions, expected, "{answers:?}");
        if known.is_none() {
            assert_eq!(reasons(&actions), [RefusalReason::StreamUnknown]);
        } else {
            let told = replies(&actions);
            let is_told = |reply: &OwnerReply| matches!(reply, OwnerReply::StreamVersion { .. });
            assert!(told.iter().any(is_told), "{told:?}");
        }
        // A second stream does not make the targets answer again at once.
        let mut second = resume_with_part(&mut bench, 2);
        assert_eq!(asked(&second), []);
        second.extend(bench.tick_after(1_000));
        assert_eq!(permits(&second).len(), usize::from(known.is_some()));
    }
}

/// Guards against a stream that waits for targets that do not answer.
#[test]
fn silent_caches() {
    let mut bench = started_bench(&[versioned("a", "v1"), versioned("b", "v2")]);
    let actions = resume_with_part(&mut bench, 1);
    assert_eq!(asked(&actions).len(), 2);
    answer(&mut bench, "a", Some(&[OWN_PART]));
    let actions = bench.tick_after(1_000);
    assert_eq!(reasons(&actions), [RefusalReason::StreamUnknown]);
}

/// The start of the owner's process in Unix milliseconds, and the longest call of its pool.
const PROCESS_START_MS: u64 = 1_700_000_000_000;
const LONGEST_CALL_MS: u64 = 15_000;

fn started(target: PoolTarget, before_ms: u64) -> PoolTarget {
    PoolTarget {
        started_at_ms: Some(PROCESS_START_MS - before_ms),
        ..target
    }
}

/// Resume a stream whose caller asks for this time more, and whose own part the target of
/// version v1 holds alone.
fn resume_held_at_v1(bench: &mut OwnerBench, left_ms: u32) -> Vec<OwnerAction> {
    let request = with_prefixes(permit_request(1, 1, "a"), &[OWN_PART]);
    let request = with_deadline(request, left_ms);
    let origin = StreamOrigin::Unknown(Some(stream(1)));
    let mut actions = request_stream(bench, &request, origin);
    actions.extend(answer(bench, "a", Some(&[OWN_PART])));
    actions.extend(answer(bench, "b", Some(&[])));
    actions
}

/// Guards against a stream that goes on at the version that holds its session's part, after
/// the target that ran it has restarted.
#[test]
fn restarted_target() {
    let cases = [
        (60_000, 5_000, true),
        (8_000, 5_000, true),
        (6_000, 5_000, false),
        (6_000, 7_000, true),
        (1_000, 15_000, false),
    ];
    for (running_ms, left_ms, is_resumed) in cases {
        let held = started(versioned("a", "v1"), 60_000);
        let restarted = started(versioned("b", "v2"), running_ms);
        let mut bench = started_bench(&[held, restarted]);
        bench
            .owner
            .set_call_times(Some(PROCESS_START_MS), LONGEST_CALL_MS);
        let actions = resume_held_at_v1(&mut bench, left_ms);
        let case = format!("running for {running_ms} ms, {left_ms} ms left");
        assert_eq!(permits(&actions).len(), usize::from(is_resumed), "{case}");
        let refused = reasons(&actions).contains(&RefusalReason::StreamUnknown);
        assert_eq!(refused, !is_resumed, "{case}");
    }
}

/// Guards against a stream that goes on at the version that holds its session's part, after
/// the target that ran it has ended, restarted or left before it told what it held.
#[test]
fn ended_target() {
    let held = started(versioned("a", "v1"), 60_000);
    let ran = started(versioned("b", "v2"), 60_000);
    let restarted = PoolTarget {
        started_at_ms: Some(PROCESS_START_MS + 1),
        ..ran.clone()
    };
    for left in [vec![held.clone()], vec![held.clone(), restarted]] {
        let mut bench = started_bench(&[held.clone(), ran.clone()]);
        bench.event(OwnerEvent::Targets(left));
        let actions = resume_held_at_v1(&mut bench, 5_000);
        assert_eq!(permits(&actions), []);
        assert_eq!(reasons(&actions), [RefusalReason::StreamUnknown]);
    }
    let mut bench = OwnerBench::new(OwnerOptions::default());
    bench.event(OwnerEvent::DepartingTargets(vec![ran]));
    bench.event(OwnerEvent::Targets(vec![held]));
    bench.tick_after(2_000);
    let request = with_prefixes(permit_request(1, 1, "a"), &[OWN_PART]);
    let origin = StreamOrigin::Unknown(Some(stream(1)));
    let mut actions = request_stream(&mut bench, &request, origin);
    assert_eq!(asked(&actions).len(), 2);
    actions.extend(answer(&mut bench, "a", Some(&[OWN_PART])));
    actions.extend(bench.tick_after(1_000));
    assert_eq!(reasons(&actions), [RefusalReason::StreamUnknown]);
}

/// Guards against a target whose end hides what it held, since it was asked too late.
#[test]
fn early_read() {
    let targets = [versioned("a", "v1"), versioned("b", "v2")];
    let mut bench = OwnerBench::with_targets(OwnerOptions::default(), &targets);
    assert_eq!(asked(&bench.tick_after(200)), []);
    assert_eq!(asked(&bench.tick_after(200)).len(), 2);
    answer(&mut bench, "a", Some(&[OWN_PART]));
    answer(&mut bench, "b", Some(&[]));
    bench.event(OwnerEvent::Targets(targets[..1].to_vec()));
    let actions = resume_with_part(&mut bench, 1);
    assert_eq!(permits(&actions).len(), 1);
}
