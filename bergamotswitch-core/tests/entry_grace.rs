//! Tests of a planned stop whose process is killed at the end of its grace.

mod entry_support;

use bergamotswitch_core::refusal::RunClaim;
use entry_support::*;

/// What is left of the grace when the tests' stops begin.
const GRACE_LEFT: Duration = Duration::from_secs(7);
/// The time between two ticks.
const STEP: Duration = Duration::from_millis(100);
/// More runs than a host needs to tell anything of their lengths.
const MANY_RUNS: usize = 20;

/// Get a call that ends at its deadline, as those of the gateway do.
fn bounded(deadline: Duration) -> Submission {
    let mut submission = submission();
    submission.deadline_in = deadline;
    submission.streaming = true;
    submission.options.ends_at_deadline = true;
    submission
}

/// Get a call that may run once.
fn non_idempotent(deadline: Duration) -> Submission {
    let mut submission = bounded(deadline);
    submission.verdict.idempotent = false;
    submission
}

fn stop(desk: &mut TestDesk, left: Duration) -> Vec<EntryAction> {
    let whole_by = desk.now.plus(left);
    let mut actions = desk.event(EntryEvent::FinishBy(whole_by));
    actions.extend(desk.event(EntryEvent::Stop));
    actions
}

/// Let many runs take so long.
fn record_runs(desk: &mut TestDesk, span: Duration) {
    for _ in 0..MANY_RUNS {
        let attempt = desk.begin(submission(), "t0");
        desk.pass(span);
        desk.attempt(attempt, AttemptEvent::Finished(usage()));
    }
}

/// Let a run of a submission take so long, for so many chunks.
fn record_run(desk: &mut TestDesk, submission: Submission, span: Duration, chunks: u32) {
    let attempt = desk.begin(submission, "t0");
    desk.attempt(attempt, AttemptEvent::FirstToken);
    desk.pass(span);
    let usage = Usage {
        decode: chunks,
        ..usage()
    };
    desk.attempt(attempt, AttemptEvent::Finished(usage));
}

/// Get a call whose caller thinks that it needs so many tokens of at most 4,000.
fn with_estimate(expected: u32) -> Submission {
    let mut submission = submission();
    submission.cost.decode = expected;
    submission.options.max_output_tokens = Some(4_000);
    submission
}

/// Let runs of very different sizes go at one pace: 20 ms for each of their
/// chunks, which hold about 8 tokens.
fn record_mixed_runs(desk: &mut TestDesk) {
    for _ in 0..MANY_RUNS {
        record_run(desk, with_estimate(40), Duration::from_millis(100), 5);
    }
    for _ in 0..MANY_RUNS {
        record_run(desk, with_estimate(2_000), Duration::from_secs(5), 250);
    }
}

fn is_accepted(desk: &mut TestDesk) -> bool {
    matches!(desk.submit(submission()).0, SubmitOutcome::Accepted(_))
}

/// Get the claim of a submission that is turned away, and when it comes back.
fn refused_while_stopping(desk: &mut TestDesk, submission: Submission) -> (RunClaim, Duration) {
    match desk.submit(submission).0 {
        SubmitOutcome::Refused(refusal) => {
            assert_eq!(refusal.reason(), RefusalReason::Stopping);
            let retry_after = refusal.retry_after().expect("a retry delay");
            (refusal.claim(), retry_after)
        }
        other => panic!("not refused: {other:?}"),
    }
}

fn refusals(actions: &[EntryAction]) -> Vec<(RefusalReason, RunClaim)> {
    let refusal = |conclusion: Conclusion| match conclusion {
        Conclusion::Refused(refusal) => Some((refusal.reason(), refusal.claim())),
        _ => None,
    };
    conclusions(actions)
        .into_iter()
        .filter_map(refusal)
        .collect()
}

// Symptom: a caller's connection closes in the middle of its answer, eight
// seconds after its host got SIGTERM. Sequence: the host takes a long request
// 3.2 s after the signal, its run needs five seconds, and the process is killed
// at the end of its grace. Cause: whether work could end in time was not asked.
#[test]
fn long_work() {
    let mut desk = TestDesk::new(EntryOptions::default());
    stop(&mut desk, GRACE_LEFT);
    desk.pass(Duration::from_millis(3_200));
    let (claim, retry_after) = refused_while_stopping(&mut desk, bounded(Duration::from_secs(12)));
    assert_eq!(claim, RunClaim::NotRun);
    assert!(retry_after < Duration::from_millis(500));
    // What its deadline ends in time is served as before.
    desk.begin(bounded(Duration::from_secs(3)), "t0");
}

// Symptom: as above, for work without a deadline that ends it. Sequence: a stop
// begins at a host that saw too few runs. Cause: that nobody can tell a length
// was taken for a short one.
#[test]
fn unknown_length() {
    let mut desk = TestDesk::new(EntryOptions::default());
    stop(&mut desk, GRACE_LEFT);
    refused_while_stopping(&mut desk, submission());
}

#[test]
fn known_lengths() {
    let mut desk = TestDesk::new(EntryOptions::default());
    record_runs(&mut desk, Duration::from_millis(200));
    stop(&mut desk, GRACE_LEFT);
    desk.begin(submission(), "t0");
    // Recent runs tell no bound that is as small as what is left now.
    desk.pass(GRACE_LEFT - Duration::from_millis(300));
    refused_while_stopping(&mut desk, submission());
}

// Symptom: a request that waited at a stopping host is cut off. Sequence: it
// waiting for a place while the grace runs out; a permit comes late. Cause: only
// callers were turned away, not what they had left with the host.
#[test]
fn late_permit() {
    let mut desk = TestDesk::new(EntryOptions::default());
    let attempt = first_attempt(desk.accept(bounded(Duration::from_secs(6))));
    stop(&mut desk, GRACE_LEFT);
    let retried = desk.begin(bounded(Duration::from_secs(5)), "t0");
    // It failed at its first target, and its deadline is where it was.
    desk.attempt(retried, AttemptEvent::Refused);
    desk.start(attempt, "t0");
    let mut slow = TestDesk::new(EntryOptions::default());
    record_runs(&mut slow, Duration::from_millis(500));
    let attempt = first_attempt(slow.accept(submission()));
    stop(&mut slow, GRACE_LEFT);
    // Runs take two seconds at most; the next tick would find too little left.
    for _ in 0..49 {
        assert_eq!(refusals(&slow.pass(STEP)), vec![]);
    }
    slow.now = slow.now.plus(STEP * 2);
    let permit = slow.permit(attempt, "t0");
    let actions = slow.grant(&permit);
    assert_eq!(starts(&actions), vec![]);
    assert_eq!(releases(&actions).len(), 1);
    let expected = (RefusalReason::Stopping, RunClaim::NotRun);
    assert_eq!(refusals(&actions), vec![expected]);
}

// Symptom: as above, with no permit at all. Cause: waiting work was looked at
// only with its permit; its caller could have been served elsewhere meanwhile.
#[test]
fn waiting_work() {
    let mut desk = TestDesk::new(EntryOptions::default());
    desk.accept(bounded(Duration::from_secs(12)));
    let fitting = first_attempt(desk.accept(bounded(Duration::from_secs(6))));
    let expected = (RefusalReason::Stopping, RunClaim::NotRun);
    assert_eq!(refusals(&stop(&mut desk, GRACE_LEFT)), vec![expected]);
    desk.start(fitting, "t0");
}

// Symptom: a call that failed at its first target hangs until the process is
// killed. Sequence: the stop has little time left when the first target fails.
// Cause: another attempt began whatever it needs. It may have run, and is told
// so.
#[test]
fn second_attempt() {
    let mut desk = TestDesk::new(EntryOptions::default());
    let attempt = desk.begin(submission(), "t0");
    stop(&mut desk, GRACE_LEFT);
    let mut actions = desk.attempt(attempt, AttemptEvent::Broken(usage()));
    actions.extend(desk.pass(Duration::from_millis(100)));
    let expected = (RefusalReason::Stopping, RunClaim::Unknown);
    assert_eq!(refusals(&actions), vec![expected]);
}

// Symptom: a killed process tells nothing of what it held: callers see closed
// connections, owners miss permits, logs have no line. Cause: the end of the
// grace was left to the kill.
#[test]
fn grace_expired() {
    let mut desk = TestDesk::new(EntryOptions::default());
    desk.begin(non_idempotent(Duration::from_secs(20)), "t0");
    desk.begin(bounded(Duration::from_secs(20)), "t0");
    stop(&mut desk, GRACE_LEFT);
    desk.pass(GRACE_LEFT);
    let actions = desk.event(EntryEvent::GraceExpired);
    let expected = (RefusalReason::Stopping, RunClaim::Unknown);
    assert_eq!(refusals(&actions), vec![expected, expected]);
    assert_eq!(releases(&actions).len(), 2);
    assert!(actions.contains(&EntryAction::Stopped));
}

// Symptom: an answer that was asked for 1.1 s after the signal is cut at the end
// of the grace. Sequence: nearly all hosts stop together; runs of the call's rule
// take 0.1 s nine times in ten and eight seconds else; it is asked for in the first
// third of the grace. Cause: a host that few others could stand in for took what
// nine in ten recent runs would fit, and so cut one in ten of what it took.
#[test]
fn few_other_hosts() {
    let mut desk = TestDesk::new(EntryOptions::default());
    for _ in 0..MANY_RUNS {
        record_run(&mut desk, submission(), Duration::from_millis(100), 1);
    }
    for _ in 0..MANY_RUNS / 10 {
        record_run(&mut desk, submission(), Duration::from_secs(8), 1);
    }
    stop(&mut desk, GRACE_LEFT);
    refused_while_stopping(&mut desk, submission());
    let back_at = desk.now.plus(Duration::from_secs(5));
    desk.event(EntryEvent::HostsAvailableAt(Some(back_at)));
    desk.pass(Duration::from_millis(1_100));
    // The caller comes back when hosts are back that can take it.
    let (claim, retry_after) = refused_while_stopping(&mut desk, submission());
    assert_eq!(claim, RunClaim::NotRun);
    let wait = back_at.since(desk.now);
    assert!(
        wait <= retry_after && retry_after <= wait * 5 / 4,
        "{retry_after:?}"
    );
    desk.event(EntryEvent::HostsAvailableAt(None));
    let (_, retry_after) = refused_while_stopping(&mut desk, submission());
    assert!(retry_after < Duration::from_millis(500));
}

// Symptom: callers are turned away whom a stopping host could have served.
// Sequence: answers of a rule are 40 to 2,000 tokens long, and their callers say
// about how long; SIGTERM; a short one is asked for. Cause: all work of a rule was
// taken for as long as its longest.
#[test]
fn output_estimate() {
    let mut desk = TestDesk::new(EntryOptions::default());
    record_mixed_runs(&mut desk);
    stop(&mut desk, GRACE_LEFT);
    desk.begin(with_estimate(40), "t0");
    refused_while_stopping(&mut desk, with_estimate(2_000));
    // One that names only its most tells nothing of its own length, and one that
    // names nothing still less.
    let mut max_only = with_estimate(40);
    max_only.options.max_output_tokens = Some(40);
    refused_while_stopping(&mut desk, max_only);
    let mut unnamed = with_estimate(40);
    unnamed.options.max_output_tokens = None;
    refused_while_stopping(&mut desk, unnamed);
}

// Symptom: an answer that was taken as a short one is cut. Sequence: a target
// becomes slow; the runs that have ended were fast. Cause: the pace of runs under
// way was not asked.
#[test]
fn slow_target() {
    let mut desk = TestDesk::new(EntryOptions::default());
    record_mixed_runs(&mut desk);
    let attempt = desk.begin(with_estimate(40), "t0");
    desk.attempt(attempt, AttemptEvent::FirstToken);
    desk.pass(Duration::from_secs(4));
    desk.attempt(attempt, AttemptEvent::Progress(4));
    stop(&mut desk, GRACE_LEFT);
    refused_while_stopping(&mut desk, with_estimate(40));
}

// Symptom and sequence: as above. Cause: callers' estimates that had become too
// small were believed.
#[test]
fn underestimated_output() {
    let mut desk = TestDesk::new(EntryOptions::default());
    record_mixed_runs(&mut desk);
    record_run(&mut desk, with_estimate(40), Duration::from_secs(4), 200);
    stop(&mut desk, GRACE_LEFT);
    refused_while_stopping(&mut desk, with_estimate(40));
    // The most that a call may make bounds it whatever it is thought to need.
    let mut tiny = with_estimate(20);
    tiny.options.max_output_tokens = Some(21);
    desk.begin(tiny, "t0");
}

// Symptom: an answer of 6.6 s that was asked for 1.1 s after the signal is cut.
// Sequence: nearly all runs of the rule are short, with right estimates; a caller
// asks for ten times as much, by an estimate that is a third of what it takes.
// Cause: what became of small guesses was believed of a large one.
#[test]
fn large_estimate() {
    let mut desk = TestDesk::new(EntryOptions::default());
    for _ in 0..MANY_RUNS {
        record_run(&mut desk, with_estimate(40), Duration::from_millis(100), 5);
    }
    for _ in 0..MANY_RUNS / 10 {
        record_run(&mut desk, with_estimate(400), Duration::from_secs(1), 50);
    }
    stop(&mut desk, GRACE_LEFT);
    desk.begin(with_estimate(40), "t0");
    refused_while_stopping(&mut desk, with_estimate(400));
    // The most that it may make bounds it all the same.
    let mut bounded = with_estimate(400);
    bounded.options.max_output_tokens = Some(401);
    desk.event(EntryEvent::FinishBy(desk.now.plus(GRACE_LEFT * 2)));
    desk.begin(bounded, "t0");
}

/// Get a call as above of another rule.
fn of_rule(rule: &str, expected: u32) -> Submission {
    let mut submission = with_estimate(expected);
    submission.verdict.rule = name(rule);
    submission
}

// Guards against a guess that is believed because those of another rule were right.
#[test]
fn estimates_by_rule() {
    let mut desk = TestDesk::new(EntryOptions::default());
    for _ in 0..MANY_RUNS {
        record_run(&mut desk, of_rule("other", 400), Duration::from_secs(1), 50);
        record_run(
            &mut desk,
            of_rule("rule", 40),
            Duration::from_millis(100),
            5,
        );
    }
    stop(&mut desk, GRACE_LEFT);
    desk.begin(of_rule("other", 400), "t0");
    refused_while_stopping(&mut desk, of_rule("rule", 400));
}

// Guards against a guess that is believed by a host that has seen few runs.
#[test]
fn too_few_runs() {
    for runs in [0, 1, 8, 15] {
        let mut desk = TestDesk::new(EntryOptions::default());
        for _ in 0..runs {
            record_run(&mut desk, with_estimate(40), Duration::from_millis(100), 5);
        }
        stop(&mut desk, GRACE_LEFT);
        refused_while_stopping(&mut desk, with_estimate(40));
    }
}

// Guards against runs that are cut where several callers guess a third of what
// their answers take.
#[test]
fn wrong_estimates() {
    for wrong in [1, 4, MANY_RUNS] {
        let mut desk = TestDesk::new(EntryOptions::default());
        for _ in 0..MANY_RUNS {
            record_run(&mut desk, with_estimate(400), Duration::from_secs(1), 50);
        }
        for _ in 0..wrong {
            record_run(&mut desk, with_estimate(400), Duration::from_secs(3), 150);
        }
        // Three seconds and the first piece's time would do; it may be twice
        // as wrong retry_after.
        stop(&mut desk, Duration::from_secs(5));
        refused_while_stopping(&mut desk, with_estimate(400));
        desk.event(EntryEvent::FinishBy(desk.now.plus(GRACE_LEFT)));
        desk.begin(with_estimate(400), "t0");
    }
}

// Symptom: answers are cut at the end of a grace although recent runs fit it.
// Sequence: whole runs take three seconds; a target fails 64 times at once, or
// as many callers leave; a stop begins with two seconds left. Cause: runs that
// were broken off were taken for short ones and pushed the whole ones out.
#[test]
fn aborted_runs() {
    let mut desk = TestDesk::new(EntryOptions::default());
    record_runs(&mut desk, Duration::from_secs(3));
    for _ in 0..64 {
        let id = desk.accept(submission());
        desk.start(first_attempt(id), "t0");
        desk.pass(Duration::from_millis(1));
        desk.event(EntryEvent::CallerLeft(id));
    }
    for _ in 0..64 {
        let id = desk.accept(submission());
        desk.start(first_attempt(id), "t0");
        desk.attempt(first_attempt(id), AttemptEvent::Failed);
        desk.event(EntryEvent::CallerLeft(id));
    }
    stop(&mut desk, Duration::from_secs(2));
    assert!(!is_accepted(&mut desk));
}

// Symptom: as above. Sequence: all targets become slow just before the stop;
// runs of a tenth of a second last for ten. Cause: only runs that had ended told
// of their lengths.
#[test]
fn runs_in_flight() {
    let mut desk = TestDesk::new(EntryOptions::default());
    record_runs(&mut desk, Duration::from_millis(100));
    desk.begin(submission(), "t0");
    desk.pass(Duration::from_secs(10));
    stop(&mut desk, Duration::from_secs(2));
    assert!(!is_accepted(&mut desk));
}

// Symptom: an answer of five seconds is cut at a host whose answers took a tenth
// of a second so far. Sequence: it is asked for 3.5 s after the signal and is
// thought to need thirty times their output. Cause: the longest recent run
// bounded it whatever it was thought to need itself.
#[test]
fn larger_call() {
    let mut desk = TestDesk::new(EntryOptions::default());
    record_runs(&mut desk, Duration::from_millis(130));
    stop(&mut desk, Duration::from_secs(4));
    assert!(is_accepted(&mut desk));
    let mut large = submission();
    large.cost.decode *= 30;
    refused_while_stopping(&mut desk, large);
}

// Symptom: a caller gets "may have run" in place of its target's own error.
// Sequence: the error comes at a stopping host with too little left for another
// attempt. Cause: the error was dropped for an attempt that could not begin.
#[test]
fn error_kept() {
    let mut desk = TestDesk::new(EntryOptions::default());
    let attempt = desk.begin(submission(), "t0");
    stop(&mut desk, GRACE_LEFT);
    let actions = desk.attempt(attempt, AttemptEvent::Failed);
    assert_eq!(conclusions(&actions), vec![Conclusion::TargetError]);
}

// Symptom: an answer that is passed on from another host is cut at the end of
// the grace. Sequence: a copy for that host comes to one that stops. Cause: it
// was handed over whatever its answer may take. Whether it runs there is not
// known here.
#[test]
fn forwarded_copy() {
    let mut desk = TestDesk::new(EntryOptions::default());
    stop(&mut desk, GRACE_LEFT);
    let mut copy = alert("key");
    copy.holder = Some(run_of("entry-2", 2));
    match desk.submit(copy).0 {
        SubmitOutcome::Refused(refusal) => assert_eq!(refusal.claim(), RunClaim::Unknown),
        other => panic!("not refused: {other:?}"),
    }
}

// Symptom: a stop under load never ends. Sequence: callers go on sending short
// calls beyond the time for which they may keep the address. Cause: they were
// taken until nothing ran.
#[test]
fn admission_closed() {
    let mut desk = TestDesk::new(EntryOptions::default());
    desk.event(EntryEvent::Stop);
    let waiting = first_attempt(desk.accept(submission()));
    desk.event(EntryEvent::AdmissionClosed);
    refused_while_stopping(&mut desk, submission());
    desk.start(waiting, "t0");
}

// Symptom: a stop that nothing bounds turns callers away, or cuts them. Cause:
// a bound taken for granted.
#[test]
fn no_grace_period() {
    let mut desk = TestDesk::new(EntryOptions::default());
    desk.event(EntryEvent::FinishBy(Moment::NEVER));
    desk.event(EntryEvent::Stop);
    desk.begin(submission(), "t0");
    assert_eq!(desk.pass(Duration::from_secs(20)), vec![]);
}
