//! Tests of a graceful shutdown that is limited by a grace period.

mod entry_support;

use bergamotswitch_core::refusal::RunClaim;
use entry_support::*;

/// The part of the grace period that is left when a shutdown begins.
const GRACE_LEFT: Duration = Duration::from_secs(7);
/// The interval between ticks.
const STEP: Duration = Duration::from_millis(100);
/// More runs than are needed for an estimate of their durations.
const MANY_RUNS: usize = 20;

/// Get a call that ends at its deadline, like a call of the gateway.
fn bounded(deadline: Duration) -> Submission {
    let mut submission = submission();
    submission.deadline_in = deadline;
    submission.streaming = true;
    submission.options.ends_at_deadline = true;
    submission
}

/// Get a call that must not be rerun.
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

/// Record many runs of the given duration.
fn record_runs(desk: &mut TestDesk, span: Duration) {
    for _ in 0..MANY_RUNS {
        let attempt = desk.begin(submission(), "t0");
        desk.pass(span);
        desk.attempt(attempt, AttemptEvent::Finished(usage()));
    }
}

/// Record one run of the given duration and number of chunks.
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

/// Get a call with an estimate of its output and a maximum of 4,000 tokens.
fn with_estimate(expected: u32) -> Submission {
    let mut submission = submission();
    submission.cost.decode = expected;
    submission.options.max_output_tokens = Some(4_000);
    submission
}

/// Record runs of very different output at the same chunk interval of 20 ms,
/// with about 8 tokens per chunk.
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

/// Get the run claim and the retry delay of a submission that is refused
/// because of the shutdown.
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

// Guards against truncated answers: a stopping host must not start a run that
// cannot finish before the process is killed.
#[test]
fn long_work() {
    let mut desk = TestDesk::new(EntryOptions::default());
    stop(&mut desk, GRACE_LEFT);
    desk.pass(Duration::from_millis(3_200));
    let (claim, retry_after) = refused_while_stopping(&mut desk, bounded(Duration::from_secs(12)));
    assert_eq!(claim, RunClaim::NotRun);
    assert!(retry_after < Duration::from_millis(500));
    // Calls that their deadline ends in time are still served.
    desk.begin(bounded(Duration::from_secs(3)), "t0");
}

// Guards against starting a run of unknown duration during a shutdown.
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
    // Recent runs no longer fit into what is left now.
    desk.pass(GRACE_LEFT - Duration::from_millis(300));
    refused_while_stopping(&mut desk, submission());
}

// Guards against truncated answers of requests that were already waiting when
// the shutdown began and get a permit late.
#[test]
fn late_permit() {
    let mut desk = TestDesk::new(EntryOptions::default());
    let attempt = first_attempt(desk.accept(bounded(Duration::from_secs(6))));
    stop(&mut desk, GRACE_LEFT);
    let retried = desk.begin(bounded(Duration::from_secs(5)), "t0");
    // The first target refuses it; its deadline is unchanged.
    desk.attempt(retried, AttemptEvent::Refused);
    desk.start(attempt, "t0");
    let mut slow = TestDesk::new(EntryOptions::default());
    record_runs(&mut slow, Duration::from_millis(500));
    let attempt = first_attempt(slow.accept(submission()));
    stop(&mut slow, GRACE_LEFT);
    // Runs have a bound of two seconds; the next tick would find too little
    // left.
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

// Guards against waiting requests that are refused only when a permit arrives,
// instead of while another host could still serve them.
#[test]
fn waiting_work() {
    let mut desk = TestDesk::new(EntryOptions::default());
    desk.accept(bounded(Duration::from_secs(12)));
    let fitting = first_attempt(desk.accept(bounded(Duration::from_secs(6))));
    let expected = (RefusalReason::Stopping, RunClaim::NotRun);
    assert_eq!(refusals(&stop(&mut desk, GRACE_LEFT)), vec![expected]);
    desk.start(fitting, "t0");
}

// Guards against a retry that cannot finish before the process is killed. As
// the first attempt may have run, the claim is "unknown".
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

// Guards against a process that is killed with open requests: callers would get
// no answer, owners no permits, and the log no entry.
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

// Guards against truncated answers while most hosts stop together: one recent
// run in ten takes longer than the grace period, so the run must not start.
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
    // The caller is told to retry when enough hosts accept requests again.
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

// Guards against refusing short calls that fit, because other calls of the same
// rule run much longer.
#[test]
fn output_estimate() {
    let mut desk = TestDesk::new(EntryOptions::default());
    record_mixed_runs(&mut desk);
    stop(&mut desk, GRACE_LEFT);
    desk.begin(with_estimate(40), "t0");
    refused_while_stopping(&mut desk, with_estimate(2_000));
    // A call that states only its maximum output, or no output at all, has no
    // usable estimate.
    let mut max_only = with_estimate(40);
    max_only.options.max_output_tokens = Some(40);
    refused_while_stopping(&mut desk, max_only);
    let mut unnamed = with_estimate(40);
    unnamed.options.max_output_tokens = None;
    refused_while_stopping(&mut desk, unnamed);
}

// Guards against ignoring the chunk interval of runs in flight when a target
// has become slow.
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

// Guards against relying on estimates that recent runs have exceeded.
#[test]
fn underestimated_output() {
    let mut desk = TestDesk::new(EntryOptions::default());
    record_mixed_runs(&mut desk);
    record_run(&mut desk, with_estimate(40), Duration::from_secs(4), 200);
    stop(&mut desk, GRACE_LEFT);
    refused_while_stopping(&mut desk, with_estimate(40));
    // The maximum output limits a call regardless of its estimate.
    let mut tiny = with_estimate(20);
    tiny.options.max_output_tokens = Some(21);
    desk.begin(tiny, "t0");
}

// Guards against applying the accuracy of small output estimates to a large
// one.
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
    // The maximum output still limits the call.
    let mut bounded = with_estimate(400);
    bounded.options.max_output_tokens = Some(401);
    desk.event(EntryEvent::FinishBy(desk.now.plus(GRACE_LEFT * 2)));
    desk.begin(bounded, "t0");
}

/// Get a call with an output estimate for the given rule.
fn of_rule(rule: &str, expected: u32) -> Submission {
    let mut submission = with_estimate(expected);
    submission.verdict.rule = name(rule);
    submission
}

// Guards against relying on an estimate because those of another rule were
// right.
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

// Guards against relying on an estimate after too few runs.
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

// Guards against truncated runs when several callers underestimate their output
// by a factor of three.
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
        // The bound leaves room for an estimate that is wrong by twice as much
        // again.
        stop(&mut desk, Duration::from_secs(5));
        refused_while_stopping(&mut desk, with_estimate(400));
        desk.event(EntryEvent::FinishBy(desk.now.plus(GRACE_LEFT)));
        desk.begin(with_estimate(400), "t0");
    }
}

// Guards against short aborted or failed runs that displace complete runs from
// the window and lower the bound.
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

// Guards against a bound from ended runs alone when all targets have become
// slow just before the shutdown.
#[test]
fn runs_in_flight() {
    let mut desk = TestDesk::new(EntryOptions::default());
    record_runs(&mut desk, Duration::from_millis(100));
    desk.begin(submission(), "t0");
    desk.pass(Duration::from_secs(10));
    stop(&mut desk, Duration::from_secs(2));
    assert!(!is_accepted(&mut desk));
}

// Guards against a bound from recent short answers for a call that expects much
// more output.
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

// Guards against replacing the target's error by a refusal when a retry can no
// longer start.
#[test]
fn error_kept() {
    let mut desk = TestDesk::new(EntryOptions::default());
    let attempt = desk.begin(submission(), "t0");
    stop(&mut desk, GRACE_LEFT);
    let actions = desk.attempt(attempt, AttemptEvent::Failed);
    assert_eq!(conclusions(&actions), vec![Conclusion::TargetError]);
}

// Guards against forwarding a resubmission whose answer would be truncated at
// this host. Whether the request runs at the other host is not known here.
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

// Guards against a shutdown that never ends because callers keep submitting
// short calls after their address lease has expired.
#[test]
fn admission_closed() {
    let mut desk = TestDesk::new(EntryOptions::default());
    desk.event(EntryEvent::Stop);
    let waiting = first_attempt(desk.accept(submission()));
    desk.event(EntryEvent::AdmissionClosed);
    refused_while_stopping(&mut desk, submission());
    desk.start(waiting, "t0");
}

// Guards against refusing or aborting requests in a shutdown without a grace
// period.
#[test]
fn no_grace_period() {
    let mut desk = TestDesk::new(EntryOptions::default());
    desk.event(EntryEvent::FinishBy(Moment::NEVER));
    desk.event(EntryEvent::Stop);
    desk.begin(submission(), "t0");
    assert_eq!(desk.pass(Duration::from_secs(20)), vec![]);
}
