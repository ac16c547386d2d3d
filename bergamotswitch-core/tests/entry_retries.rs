//! Tests of retries, which are limited in number and allowed only if the
//! request provably did not run or can be rerun safely.

mod entry_support;

use bergamotswitch_core::entry::NotSentReason;
use bergamotswitch_core::permit::ReleaseOutcome;
use bergamotswitch_core::refusal::{RetryReason, RunClaim, WasteCause};
use bergamotswitch_core::retry::RetryRate;
use entry_support::*;

const UNSENT: AttemptEvent = AttemptEvent::NotSent(NotSentReason::ConnectFailed);

/// Get the reason and claim of the only refusal among the actions.
fn refused(actions: &[EntryAction]) -> Option<(RefusalReason, RunClaim)> {
    match conclusions(actions).as_slice() {
        [Conclusion::Refused(refusal)] => Some((refusal.reason(), refusal.claim())),
        _ => None,
    }
}

/// Run one attempt of a submission on a target and get the resulting actions.
fn fail_once(submission: Submission, target: &str, events: &[AttemptEvent]) -> Vec<EntryAction> {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let attempt = dispatcher.begin(submission, target);
    let mut actions = Vec::new();
    for event in events {
        actions = dispatcher.attempt(attempt, *event);
    }
    actions
}

fn retried(actions: &[EntryAction], reason: RetryReason) -> bool {
    actions.contains(&EntryAction::CountRetry(reason)) && permit_requests(actions).len() == 1
}

#[test]
fn unsent_attempt() {
    let actions = fail_once(keyed_submission("k"), "t0", &[UNSENT]);
    assert!(retried(&actions, RetryReason::ConnectFailed));
    assert_eq!(permit_requests(&actions)[0].avoid, vec![name("t0")]);
    assert_eq!(releases(&actions)[0].outcome, ReleaseOutcome::Unreachable);
}

#[test]
fn refused_attempt() {
    // The contract of `t0` guarantees that a refused request did not run, that
    // of `t1` does not.
    let actions = fail_once(keyed_submission("k"), "t0", &[AttemptEvent::Refused]);
    assert!(retried(&actions, RetryReason::TargetRefused));
    let actions = fail_once(keyed_submission("k"), "t1", &[AttemptEvent::Refused]);
    let unknown = (RefusalReason::TargetFailed, RunClaim::Unknown);
    assert_eq!(refused(&actions), Some(unknown));
    let actions = fail_once(submission(), "t1", &[AttemptEvent::Refused]);
    assert!(retried(&actions, RetryReason::TargetRefused));
}

#[test]
fn broken_attempt() {
    let broken = AttemptEvent::Broken(usage());
    let actions = fail_once(submission(), "t0", &[broken]);
    assert!(retried(&actions, RetryReason::ConnectionBroke));
    let waste = EntryAction::CountWaste(Tier(1), WasteCause::Retry, 100);
    assert!(actions.contains(&waste));
    let actions = fail_once(keyed_submission("k"), "t0", &[broken]);
    let unknown = (RefusalReason::TargetFailed, RunClaim::Unknown);
    assert_eq!(refused(&actions), Some(unknown));
    let mut once = submission();
    once.verdict.dispatch_once = true;
    assert_eq!(refused(&fail_once(once, "t0", &[broken])), Some(unknown));
    // Output of another run must not follow output that the caller has
    // received.
    let mut stream = submission();
    stream.streaming = true;
    let actions = fail_once(stream, "t0", &[AttemptEvent::FirstToken, broken]);
    let truncated = (RefusalReason::AnswerTruncated, RunClaim::Unknown);
    assert_eq!(refused(&actions), Some(truncated));
}

#[test]
fn failed_attempt() {
    let actions = fail_once(submission(), "t0", &[AttemptEvent::Failed]);
    assert!(retried(&actions, RetryReason::TargetError));
    let actions = fail_once(keyed_submission("k"), "t0", &[AttemptEvent::Failed]);
    assert_eq!(conclusions(&actions), vec![Conclusion::TargetError]);
}

// Guards against a failure after a run that is passed on although its status denies the run.
#[test]
fn withheld_failure() {
    let withheld = AttemptEvent::FailureWithheld;
    let actions = fail_once(submission(), "t0", &[withheld]);
    assert!(retried(&actions, RetryReason::TargetError));
    let unknown = (RefusalReason::TargetFailed, RunClaim::Unknown);
    let actions = fail_once(keyed_submission("k"), "t0", &[withheld]);
    assert_eq!(refused(&actions), Some(unknown));
    let options = EntryOptions::default().with_attempts_per_request(2);
    let mut dispatcher = TestDispatcher::new(options);
    let attempt = dispatcher.begin(submission(), "t0");
    let actions = dispatcher.attempt(attempt, withheld);
    let second = permit_requests(&actions)[0].attempt;
    dispatcher.start(second, "t1");
    let actions = dispatcher.attempt(second, withheld);
    assert_eq!(refused(&actions), Some(unknown));
}

// Guards against the claim "not run" after a first attempt that may have run:
// the proof that a later attempt did not run does not cover it.
#[test]
fn earlier_attempt() {
    let options = EntryOptions::default().with_attempts_per_request(2);
    let mut dispatcher = TestDispatcher::new(options);
    let attempt = dispatcher.begin(submission(), "t0");
    let actions = dispatcher.attempt(attempt, AttemptEvent::Broken(usage()));
    let second = permit_requests(&actions)[0].attempt;
    dispatcher.start(second, "t1");
    let actions = dispatcher.attempt(second, UNSENT);
    let unknown = (RefusalReason::RetriesExhausted, RunClaim::Unknown);
    assert_eq!(refused(&actions), Some(unknown));
}

#[test]
fn freed_key() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default().with_attempts_per_request(1));
    let attempt = dispatcher.begin(keyed_submission("k"), "t0");
    let actions = dispatcher.attempt(attempt, UNSENT);
    let not_run = (RefusalReason::RetriesExhausted, RunClaim::NotRun);
    assert_eq!(refused(&actions), Some(not_run));
    // A request that did not run may be submitted again, also if it names the
    // incarnation that refused it.
    let mut again = keyed_submission("k");
    again.holder = Some(run_of("entry-1", 1));
    assert_ne!(dispatcher.accept(again), attempt.request);
}

#[test]
fn preempted_attempt() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let attempt = first_attempt(dispatcher.accept(submission()));
    let permit = dispatcher.start(attempt, "t0");
    let preempt = |permit, attempt| OwnerReply::Preempt { permit, attempt };
    let actions = dispatcher.reply(preempt(permit.id, attempt));
    assert!(retried(&actions, RetryReason::Preempted));
    let waste = EntryAction::CountWaste(Tier(1), WasteCause::Preemption, 100);
    assert!(actions.contains(&waste));
    // Events of the aborted attempt are ignored.
    let late = dispatcher.attempt(attempt, AttemptEvent::Finished(usage()));
    assert_eq!(late, vec![]);

    let attempt = first_attempt(dispatcher.accept(keyed_submission("k")));
    let permit = dispatcher.start(attempt, "t0");
    assert_eq!(dispatcher.reply(preempt(permit.id, attempt)), vec![]);

    let mut stream = submission();
    stream.streaming = true;
    let attempt = first_attempt(dispatcher.accept(stream));
    let permit = dispatcher.start(attempt, "t0");
    dispatcher.attempt(attempt, AttemptEvent::FirstToken);
    assert_eq!(dispatcher.reply(preempt(permit.id, attempt)), vec![]);
}

// Guards against aborting a stalled stream when no other run may follow.
#[test]
fn silent_stream() {
    let mut stream = submission();
    stream.streaming = true;
    stream.options.resumable = true;
    stream.options.max_runs = Some(2);
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let first = dispatcher.begin(stream, "t0");
    dispatcher.attempt(first, AttemptEvent::FirstToken);
    let actions = dispatcher.attempt(first, AttemptEvent::Stalled);
    let second = permit_requests(&actions)[0].attempt;
    let aborted = |attempt| EntryAction::Abort {
        attempt,
        cancel: true,
    };
    assert!(!actions.contains(&aborted(first)));
    let permit = dispatcher.permit(second, "t1");
    let actions = dispatcher.grant(&permit);
    assert!(actions.contains(&aborted(first)));
    assert!(actions.contains(&EntryAction::CountRetry(RetryReason::ConnectionBroke)));
    assert_eq!(starts(&actions), vec![second]);
    // No further run is allowed, so the stalled one continues.
    assert_eq!(dispatcher.attempt(second, AttemptEvent::Stalled), vec![]);
    let actions = dispatcher.attempt(second, AttemptEvent::Finished(usage()));
    assert_eq!(conclusions(&actions), vec![Conclusion::Answered]);
}

#[test]
fn no_late_retry() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let attempt = dispatcher.begin(submission(), "t0");
    dispatcher.now = dispatcher.now.plus(DEADLINE);
    let actions = dispatcher.attempt(attempt, UNSENT);
    let late = (RefusalReason::DeadlinePassed, RunClaim::NotRun);
    assert_eq!(refused(&actions), Some(late));
}

// Guards against using up attempts and retries on targets that cannot be
// reached, while other targets are idle.
#[test]
fn unreachable_targets() {
    const UNREACHABLE: usize = 5;
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    for _ in 0..UNREACHABLE {
        let attempt = dispatcher.begin(submission(), "t0");
        dispatcher.attempt(attempt, AttemptEvent::Finished(usage()));
    }
    let mut attempt = dispatcher.begin(submission(), "t0");
    for _ in 0..UNREACHABLE {
        let actions = dispatcher.attempt(attempt, UNSENT);
        attempt = permit_requests(&actions)
            .first()
            .expect("asked again")
            .attempt;
        dispatcher.start(attempt, "t0");
    }
    let actions = dispatcher.attempt(attempt, AttemptEvent::Finished(usage()));
    assert_eq!(conclusions(&actions), vec![Conclusion::Answered]);
}

// Guards against a budget that starts with less than one retry on a large
// fleet, so that the first failure after a start is not retried.
#[test]
fn first_retry() {
    const HOSTS: usize = 195;
    let rate = RetryRate {
        slack: 430,
        ..RetryRate::default()
    };
    let mut dispatcher = TestDispatcher::new(EntryOptions::default().with_retry_rate(rate));
    dispatcher.event(EntryEvent::Hosts(HOSTS));
    let attempt = dispatcher.begin(submission(), "t0");
    let actions = dispatcher.attempt(attempt, AttemptEvent::Failed);
    assert!(retried(&actions, RetryReason::TargetError));
}

// Guards against a retry storm that keeps a failed pool down.
#[test]
fn pool_down() {
    const REQUESTS: usize = 2_000;
    // A quarter of the slack is available at the start, and another one is
    // refilled during the test.
    let rate = RetryRate {
        slack: 8,
        ..RetryRate::default()
    };
    let mut dispatcher = TestDispatcher::new(EntryOptions::default().with_retry_rate(rate));
    let mut attempts = 0;
    for _ in 0..REQUESTS {
        dispatcher.now = dispatcher.now.plus(Duration::from_millis(5));
        let (_, mut actions) = dispatcher.submit(submission());
        while let Some(permit_request) = permit_requests(&actions).first() {
            dispatcher.start(permit_request.attempt, "t0");
            attempts += 1;
            actions = dispatcher.attempt(permit_request.attempt, UNSENT);
        }
        let last = refused(&actions);
        let not_run = (RefusalReason::RetriesExhausted, RunClaim::NotRun);
        assert_eq!(last, Some(not_run));
    }
    let earned = REQUESTS * rate.permille as usize / 1_000;
    let bound = REQUESTS + earned + rate.slack as usize / 2;
    println!("{attempts} attempts for {REQUESTS} requests, bound {bound}");
    assert!(attempts <= bound);
    assert!(attempts > REQUESTS);
    assert_eq!(dispatcher.event(EntryEvent::Tick), vec![]);
}
