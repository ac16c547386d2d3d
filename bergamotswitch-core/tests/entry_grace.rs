//! Tests of a planned stop that is limited by a grace period.

mod entry_support;

use bergamotswitch_core::entry::NotSentReason;
use bergamotswitch_core::host::{EntryHost, Standing};
use bergamotswitch_core::refusal::RunClaim;
use entry_support::*;

/// The part of the grace period that is left when a planned stop begins.
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

fn stop(dispatcher: &mut TestDispatcher, left: Duration) -> Vec<EntryAction> {
    let answer_deadline = dispatcher.now.plus(left);
    let mut actions = dispatcher.event(EntryEvent::AnswerDeadline(answer_deadline));
    actions.extend(dispatcher.event(EntryEvent::Stop));
    actions
}

/// Record many runs of the given duration.
fn record_runs(dispatcher: &mut TestDispatcher, span: Duration) {
    for _ in 0..MANY_RUNS {
        let attempt = dispatcher.begin(submission(), "t0");
        dispatcher.pass(span);
        dispatcher.attempt(attempt, AttemptEvent::Finished(usage()));
    }
}

/// Record one run of the given duration and number of chunks.
fn record_run(
    dispatcher: &mut TestDispatcher,
    submission: Submission,
    span: Duration,
    chunks: u32,
) {
    let attempt = dispatcher.begin(submission, "t0");
    dispatcher.attempt(attempt, AttemptEvent::FirstToken);
    dispatcher.pass(span);
    let usage = Usage {
        decode: chunks,
        ..usage()
    };
    dispatcher.attempt(attempt, AttemptEvent::Finished(usage));
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
fn record_mixed_runs(dispatcher: &mut TestDispatcher) {
    for _ in 0..MANY_RUNS {
        record_run(dispatcher, with_estimate(40), Duration::from_millis(100), 5);
    }
    for _ in 0..MANY_RUNS {
        record_run(
            dispatcher,
            with_estimate(2_000),
            Duration::from_secs(5),
            250,
        );
    }
}

/// Begin a stream that may be resumed, and pass on its first event.
fn begin_stream(dispatcher: &mut TestDispatcher, call: Submission) -> AttemptId {
    let mut stream = call;
    stream.streaming = true;
    stream.options.resumable = true;
    let attempt = dispatcher.begin(stream, "t0");
    dispatcher.attempt(attempt, AttemptEvent::FirstToken);
    attempt
}

/// Break a stream off at its target, and get whether it goes on at another one.
/// Otherwise it has to be cut because of the planned stop.
fn goes_on(dispatcher: &mut TestDispatcher, attempt: AttemptId) -> bool {
    let actions = dispatcher.attempt(attempt, AttemptEvent::Broken(usage()));
    let cut = (RefusalReason::Stopping, RunClaim::Unknown);
    match refusals(&actions).as_slice() {
        [] => true,
        [refusal] => {
            assert_eq!(*refusal, cut);
            false
        }
        more => panic!("{more:?}"),
    }
}

/// Get the run claim and the retry delay of a submission that is refused
/// because of the planned stop.
fn refused_while_stopping(
    dispatcher: &mut TestDispatcher,
    submission: Submission,
) -> (RunClaim, Duration) {
    match dispatcher.submit(submission).0 {
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
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    stop(&mut dispatcher, GRACE_LEFT);
    dispatcher.pass(Duration::from_millis(3_200));
    let (claim, retry_after) =
        refused_while_stopping(&mut dispatcher, bounded(Duration::from_secs(12)));
    assert_eq!(claim, RunClaim::NotRun);
    assert!(retry_after < Duration::from_millis(500));
    // Calls that their deadline ends in time are still served.
    dispatcher.begin(bounded(Duration::from_secs(3)), "t0");
}

// Guards against starting a run of unknown duration during a planned stop.
#[test]
fn unknown_length() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    stop(&mut dispatcher, GRACE_LEFT);
    refused_while_stopping(&mut dispatcher, submission());
}

// Guards against starting a call because recent runs were short: the next one may
// take any time up to its deadline.
#[test]
fn short_runs() {
    for left in [GRACE_LEFT, GRACE_LEFT * 4] {
        let mut dispatcher = TestDispatcher::new(EntryOptions::default());
        record_runs(&mut dispatcher, Duration::from_millis(30));
        stop(&mut dispatcher, left);
        let (claim, retry_after) = refused_while_stopping(&mut dispatcher, submission());
        assert_eq!(claim, RunClaim::NotRun);
        assert!(retry_after < Duration::from_millis(500));
        let late = bounded(left + Duration::from_millis(1));
        refused_while_stopping(&mut dispatcher, late);
        dispatcher.begin(bounded(left), "t0");
    }
}

// Guards against starting a call whose own estimate of its output fits.
#[test]
fn short_estimates() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    record_mixed_runs(&mut dispatcher);
    stop(&mut dispatcher, GRACE_LEFT);
    refused_while_stopping(&mut dispatcher, with_estimate(40));
    let mut tiny = with_estimate(1);
    tiny.options.max_output_tokens = Some(2);
    refused_while_stopping(&mut dispatcher, tiny);
}

// Guards against a run that is preempted while its host stops, and cannot start
// again.
#[test]
fn preempted_run() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let attempt = first_attempt(dispatcher.accept(submission()));
    let permit = dispatcher.start(attempt, "t0");
    stop(&mut dispatcher, GRACE_LEFT);
    let actions = dispatcher.reply(OwnerReply::Preempt {
        permit: permit.id,
        attempt,
    });
    assert_eq!(actions, vec![]);
    let actions = dispatcher.attempt(attempt, AttemptEvent::Finished(usage()));
    assert_eq!(conclusions(&actions), vec![Conclusion::Answered]);
}

#[test]
fn known_lengths() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    record_runs(&mut dispatcher, Duration::from_millis(200));
    let fitting = begin_stream(&mut dispatcher, submission());
    let late = begin_stream(&mut dispatcher, submission());
    stop(&mut dispatcher, GRACE_LEFT);
    assert!(goes_on(&mut dispatcher, fitting));
    // Recent runs no longer fit into what is left now.
    dispatcher.pass(GRACE_LEFT - Duration::from_millis(300));
    assert!(!goes_on(&mut dispatcher, late));
}

// Guards against truncated answers of requests that were already waiting when
// the planned stop began and get a permit late.
#[test]
fn late_permit() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let attempt = first_attempt(dispatcher.accept(bounded(Duration::from_secs(6))));
    stop(&mut dispatcher, GRACE_LEFT);
    let retried = dispatcher.begin(bounded(Duration::from_secs(5)), "t0");
    // The first target refuses it; its deadline is unchanged.
    dispatcher.attempt(retried, AttemptEvent::Refused);
    dispatcher.start(attempt, "t0");
    let mut slow = TestDispatcher::new(EntryOptions::default());
    record_runs(&mut slow, Duration::from_millis(500));
    let broken = begin_stream(&mut slow, submission());
    stop(&mut slow, GRACE_LEFT);
    let actions = slow.attempt(broken, AttemptEvent::Broken(usage()));
    let attempt = permit_requests(&actions)[0].attempt;
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
    let expected = (RefusalReason::Stopping, RunClaim::Unknown);
    assert_eq!(refusals(&actions), vec![expected]);
}

// Guards against waiting requests that are refused only when a permit arrives,
// instead of while another host could still serve them.
#[test]
fn waiting_work() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    dispatcher.accept(bounded(Duration::from_secs(12)));
    let fitting = first_attempt(dispatcher.accept(bounded(Duration::from_secs(6))));
    let expected = (RefusalReason::Stopping, RunClaim::NotRun);
    assert_eq!(refusals(&stop(&mut dispatcher, GRACE_LEFT)), vec![expected]);
    dispatcher.start(fitting, "t0");
}

// Guards against a retry that cannot finish before the process is killed. As
// the first attempt may have run, the claim is "unknown".
#[test]
fn second_attempt() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let attempt = dispatcher.begin(submission(), "t0");
    stop(&mut dispatcher, GRACE_LEFT);
    let mut actions = dispatcher.attempt(attempt, AttemptEvent::Broken(usage()));
    actions.extend(dispatcher.pass(Duration::from_millis(100)));
    let expected = (RefusalReason::Stopping, RunClaim::Unknown);
    assert_eq!(refusals(&actions), vec![expected]);
}

// Guards against a process that is killed with open requests: callers would get
// no answer, owners no permits, and the log no entry.
#[test]
fn grace_expired() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    dispatcher.begin(non_idempotent(Duration::from_secs(20)), "t0");
    dispatcher.begin(bounded(Duration::from_secs(20)), "t0");
    stop(&mut dispatcher, GRACE_LEFT);
    dispatcher.pass(GRACE_LEFT);
    let actions = dispatcher.event(EntryEvent::GraceExpired);
    let expected = (RefusalReason::Stopping, RunClaim::Unknown);
    assert_eq!(refusals(&actions), vec![expected, expected]);
    assert_eq!(releases(&actions).len(), 2);
    assert!(actions.contains(&EntryAction::Stopped));
}

// Guards against truncated answers while most hosts stop together: one recent
// run in ten takes longer than the grace period, so the run must not start.
#[test]
fn few_other_hosts() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    for _ in 0..MANY_RUNS {
        record_run(&mut dispatcher, submission(), Duration::from_millis(100), 1);
    }
    for _ in 0..MANY_RUNS / 10 {
        record_run(&mut dispatcher, submission(), Duration::from_secs(8), 1);
    }
    stop(&mut dispatcher, GRACE_LEFT);
    refused_while_stopping(&mut dispatcher, submission());
    let back_at = dispatcher.now.plus(Duration::from_secs(5));
    dispatcher.event(EntryEvent::HostsAvailableAt(Some(back_at)));
    dispatcher.pass(Duration::from_millis(1_100));
    // The caller is told to retry when enough hosts accept requests again.
    let (claim, retry_after) = refused_while_stopping(&mut dispatcher, submission());
    assert_eq!(claim, RunClaim::NotRun);
    let wait = back_at.since(dispatcher.now);
    assert!(
        wait <= retry_after && retry_after <= wait * 5 / 4,
        "{retry_after:?}"
    );
    dispatcher.event(EntryEvent::HostsAvailableAt(None));
    let (_, retry_after) = refused_while_stopping(&mut dispatcher, submission());
    assert!(retry_after < Duration::from_millis(500));
}

// Guards against cutting short streams that fit, because other calls of the same
// rule run much longer.
#[test]
fn output_estimate() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    record_mixed_runs(&mut dispatcher);
    let fitting = begin_stream(&mut dispatcher, with_estimate(40));
    let long = begin_stream(&mut dispatcher, with_estimate(2_000));
    // A call that states only its maximum output, or no output at all, has no
    // usable estimate.
    let mut max_only = with_estimate(40);
    max_only.options.max_output_tokens = Some(40);
    let max_only = begin_stream(&mut dispatcher, max_only);
    let mut unnamed = with_estimate(40);
    unnamed.options.max_output_tokens = None;
    let unnamed = begin_stream(&mut dispatcher, unnamed);
    stop(&mut dispatcher, GRACE_LEFT);
    assert!(goes_on(&mut dispatcher, fitting));
    assert!(!goes_on(&mut dispatcher, long));
    assert!(!goes_on(&mut dispatcher, max_only));
    assert!(!goes_on(&mut dispatcher, unnamed));
}

// Guards against ignoring the chunk interval of runs in flight when a target
// has become slow.
#[test]
fn slow_target() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    record_mixed_runs(&mut dispatcher);
    let attempt = dispatcher.begin(with_estimate(40), "t0");
    dispatcher.attempt(attempt, AttemptEvent::FirstToken);
    dispatcher.pass(Duration::from_secs(4));
    dispatcher.attempt(attempt, AttemptEvent::Progress(4));
    let broken = begin_stream(&mut dispatcher, with_estimate(40));
    stop(&mut dispatcher, GRACE_LEFT);
    assert!(!goes_on(&mut dispatcher, broken));
}

// Guards against relying on estimates that recent runs have exceeded.
#[test]
fn underestimated_output() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    record_mixed_runs(&mut dispatcher);
    record_run(
        &mut dispatcher,
        with_estimate(40),
        Duration::from_secs(4),
        200,
    );
    let broken = begin_stream(&mut dispatcher, with_estimate(40));
    // The maximum output limits a call regardless of its estimate.
    let mut tiny = with_estimate(20);
    tiny.options.max_output_tokens = Some(21);
    let tiny = begin_stream(&mut dispatcher, tiny);
    stop(&mut dispatcher, GRACE_LEFT);
    assert!(!goes_on(&mut dispatcher, broken));
    assert!(goes_on(&mut dispatcher, tiny));
}

// Guards against applying the accuracy of small output estimates to a large
// one.
#[test]
fn large_estimate() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    for _ in 0..MANY_RUNS {
        record_run(
            &mut dispatcher,
            with_estimate(40),
            Duration::from_millis(100),
            5,
        );
    }
    for _ in 0..MANY_RUNS / 10 {
        record_run(
            &mut dispatcher,
            with_estimate(400),
            Duration::from_secs(1),
            50,
        );
    }
    let small = begin_stream(&mut dispatcher, with_estimate(40));
    let large = begin_stream(&mut dispatcher, with_estimate(400));
    // The maximum output still limits the call.
    let mut bounded = with_estimate(400);
    bounded.options.max_output_tokens = Some(401);
    let bounded = begin_stream(&mut dispatcher, bounded);
    stop(&mut dispatcher, GRACE_LEFT);
    assert!(goes_on(&mut dispatcher, small));
    assert!(!goes_on(&mut dispatcher, large));
    dispatcher.event(EntryEvent::AnswerDeadline(
        dispatcher.now.plus(GRACE_LEFT * 2),
    ));
    assert!(goes_on(&mut dispatcher, bounded));
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
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    for _ in 0..MANY_RUNS {
        record_run(
            &mut dispatcher,
            of_rule("other", 400),
            Duration::from_secs(1),
            50,
        );
        record_run(
            &mut dispatcher,
            of_rule("rule", 40),
            Duration::from_millis(100),
            5,
        );
    }
    let known = begin_stream(&mut dispatcher, of_rule("other", 400));
    let unknown = begin_stream(&mut dispatcher, of_rule("rule", 400));
    stop(&mut dispatcher, GRACE_LEFT);
    assert!(goes_on(&mut dispatcher, known));
    assert!(!goes_on(&mut dispatcher, unknown));
}

// Guards against relying on an estimate after too few runs.
#[test]
fn too_few_runs() {
    for runs in [0, 1, 8, 15] {
        let mut dispatcher = TestDispatcher::new(EntryOptions::default());
        for _ in 0..runs {
            record_run(
                &mut dispatcher,
                with_estimate(40),
                Duration::from_millis(100),
                5,
            );
        }
        let broken = begin_stream(&mut dispatcher, with_estimate(40));
        stop(&mut dispatcher, GRACE_LEFT);
        assert!(!goes_on(&mut dispatcher, broken));
    }
}

// Guards against truncated runs when several callers underestimate their output
// by a factor of three.
#[test]
fn wrong_estimates() {
    for wrong in [1, 4, MANY_RUNS] {
        let mut dispatcher = TestDispatcher::new(EntryOptions::default());
        for _ in 0..MANY_RUNS {
            record_run(
                &mut dispatcher,
                with_estimate(400),
                Duration::from_secs(1),
                50,
            );
        }
        for _ in 0..wrong {
            record_run(
                &mut dispatcher,
                with_estimate(400),
                Duration::from_secs(3),
                150,
            );
        }
        let first = begin_stream(&mut dispatcher, with_estimate(400));
        let second = begin_stream(&mut dispatcher, with_estimate(400));
        // The bound leaves room for an estimate that is wrong by twice as much
        // again.
        stop(&mut dispatcher, Duration::from_secs(5));
        assert!(!goes_on(&mut dispatcher, first));
        dispatcher.event(EntryEvent::AnswerDeadline(dispatcher.now.plus(GRACE_LEFT)));
        assert!(goes_on(&mut dispatcher, second));
    }
}

// Guards against short aborted or failed runs that displace complete runs from
// the window and lower the bound.
#[test]
fn aborted_runs() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    record_runs(&mut dispatcher, Duration::from_secs(3));
    for _ in 0..64 {
        let id = dispatcher.accept(submission());
        dispatcher.start(first_attempt(id), "t0");
        dispatcher.pass(Duration::from_millis(1));
        dispatcher.event(EntryEvent::CallerDisconnected(id));
    }
    for _ in 0..64 {
        let id = dispatcher.accept(submission());
        dispatcher.start(first_attempt(id), "t0");
        dispatcher.attempt(first_attempt(id), AttemptEvent::Failed);
        dispatcher.event(EntryEvent::CallerDisconnected(id));
    }
    let broken = begin_stream(&mut dispatcher, submission());
    stop(&mut dispatcher, Duration::from_secs(2));
    assert!(!goes_on(&mut dispatcher, broken));
}

// Guards against a bound from ended runs alone when all targets have become
// slow just before the planned stop.
#[test]
fn runs_in_flight() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    record_runs(&mut dispatcher, Duration::from_millis(100));
    dispatcher.begin(submission(), "t0");
    dispatcher.pass(Duration::from_secs(10));
    let broken = begin_stream(&mut dispatcher, submission());
    stop(&mut dispatcher, Duration::from_secs(2));
    assert!(!goes_on(&mut dispatcher, broken));
}

// Guards against a bound from recent short answers for a call that expects much
// more output.
#[test]
fn larger_call() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    record_runs(&mut dispatcher, Duration::from_millis(130));
    let usual = begin_stream(&mut dispatcher, submission());
    let mut large = submission();
    large.cost.decode *= 30;
    let large = begin_stream(&mut dispatcher, large);
    stop(&mut dispatcher, Duration::from_secs(4));
    assert!(goes_on(&mut dispatcher, usual));
    assert!(!goes_on(&mut dispatcher, large));
}

// Guards against replacing the target's error by a refusal when a retry can no
// longer start.
#[test]
fn error_kept() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let attempt = dispatcher.begin(submission(), "t0");
    stop(&mut dispatcher, GRACE_LEFT);
    let actions = dispatcher.attempt(attempt, AttemptEvent::Failed);
    assert_eq!(conclusions(&actions), vec![Conclusion::TargetError]);
}

// Guards against forwarding a resubmission whose answer would be truncated at
// this host. Whether the request runs at the other host is not known here.
#[test]
fn forwarded_copy() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    stop(&mut dispatcher, GRACE_LEFT);
    let mut copy = keyed_submission("key");
    copy.holder = Some(run_of("entry-2", 2));
    match dispatcher.submit(copy).0 {
        SubmitOutcome::Refused(refusal) => assert_eq!(refusal.claim(), RunClaim::Unknown),
        other => panic!("not refused: {other:?}"),
    }
}

// Guards against a planned stop that never ends because callers keep submitting
// short calls after their address lease has expired.
#[test]
fn admission_closed() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    dispatcher.event(EntryEvent::Stop);
    let waiting = first_attempt(dispatcher.accept(submission()));
    dispatcher.event(EntryEvent::AdmissionClosed);
    refused_while_stopping(&mut dispatcher, submission());
    dispatcher.start(waiting, "t0");
}

// Guards against refusing or aborting requests in a planned stop without a grace
// period.
#[test]
fn no_grace_period() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    dispatcher.event(EntryEvent::AnswerDeadline(Moment::NEVER));
    dispatcher.event(EntryEvent::Stop);
    dispatcher.begin(submission(), "t0");
    assert_eq!(dispatcher.pass(Duration::from_secs(20)), vec![]);
}

// Guards against an accepted call that ends without an answer because its first run
// failed while its host stops, although it cannot be refused as "not run".
#[test]
fn failed_first_run() {
    for event in [AttemptEvent::Broken(usage()), AttemptEvent::Failed] {
        let mut dispatcher = TestDispatcher::new(EntryOptions::default());
        record_runs(&mut dispatcher, Duration::from_millis(30));
        let attempt = dispatcher.begin(submission(), "t0");
        stop(&mut dispatcher, GRACE_LEFT);
        let actions = dispatcher.attempt(attempt, event);
        assert_eq!(conclusions(&actions), vec![], "{event:?}");
        assert_eq!(permit_requests(&actions).len(), 1, "{event:?}");
    }
}

// Guards against an accepted call that ends without an answer because its run was
// preempted just before its host stops.
#[test]
fn preempted_before() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    record_runs(&mut dispatcher, Duration::from_millis(30));
    let attempt = first_attempt(dispatcher.accept(submission()));
    let permit = dispatcher.start(attempt, "t0");
    let actions = dispatcher.reply(OwnerReply::Preempt {
        permit: permit.id,
        attempt,
    });
    let again = permit_requests(&actions)[0].attempt;
    let actions = stop(&mut dispatcher, GRACE_LEFT);
    assert_eq!(conclusions(&actions), vec![]);
    dispatcher.start(again, "t1");
}

/// Get a host that may reach targets for another one.
fn tunnel_host(host: &str) -> EntryHost {
    EntryHost {
        name: name(host),
        domain: name("a"),
        caller_address: "127.0.0.1:1".parse().expect("a valid address"),
        link_address: "127.0.0.1:2".parse().expect("a valid address"),
        capacity: 0,
        standing: Standing::Live,
    }
}

// Guards against a call that has not run and is begun on another path although its
// deadline does not end it in time.
#[test]
fn next_path() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    dispatcher.event(EntryEvent::TunnelHosts(vec![tunnel_host("entry-2")]));
    let attempt = dispatcher.begin(non_idempotent(Duration::from_secs(20)), "t0");
    stop(&mut dispatcher, GRACE_LEFT);
    let failed = AttemptEvent::NotSent(NotSentReason::ConnectFailed);
    let actions = dispatcher.attempt(attempt, failed);
    assert_eq!(starts(&actions), vec![]);
    let expected = (RefusalReason::Stopping, RunClaim::NotRun);
    assert_eq!(refusals(&actions), vec![expected]);
}
