//! Tests of streams whose targets fall silent: a run is given up only for another one that
//! can start.

mod entry_support;

use bergamotswitch_core::permit::ReleaseOutcome;
use bergamotswitch_core::retry::RetryRate;
use entry_support::*;

/// Get a stream that may run at two targets.
fn resumable_stream() -> Submission {
    let mut stream = submission();
    stream.streaming = true;
    stream.options.resumable = true;
    stream.options.max_runs = Some(2);
    stream
}

/// Begin a stream at `t0` that falls silent, and get its attempt and the one that was
/// requested to replace it.
fn stalled_stream(dispatcher: &mut TestDispatcher) -> (AttemptId, AttemptId) {
    let first = dispatcher.begin(resumable_stream(), "t0");
    dispatcher.attempt(first, AttemptEvent::FirstToken);
    let actions = dispatcher.attempt(first, AttemptEvent::Stalled);
    let requests = permit_requests(&actions);
    assert_eq!(requests.len(), 1, "{actions:?}");
    (first, requests[0].attempt)
}

fn aborted(attempt: AttemptId) -> EntryAction {
    EntryAction::Abort {
        attempt,
        cancel: true,
    }
}

// Guards against a begun stream that is cut because the owner refuses another run while
// its target is silent.
#[test]
fn refused_replacement() {
    let reasons = [
        RefusalReason::DeadlinePassed,
        RefusalReason::AboveShare,
        RefusalReason::Overloaded,
    ];
    for reason in reasons {
        let mut dispatcher = TestDispatcher::new(EntryOptions::default());
        let (first, second) = stalled_stream(&mut dispatcher);
        let actions = dispatcher.reply(refused_for(reason, second));
        assert_eq!(conclusions(&actions), vec![], "{reason:?}");
        dispatcher.attempt(first, AttemptEvent::Progress(5));
        let actions = dispatcher.attempt(first, AttemptEvent::Finished(usage()));
        assert_eq!(conclusions(&actions), vec![Conclusion::Answered]);
    }
}

// Guards against a run that is stopped before another one has a permit.
#[test]
fn replaced_when_granted() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let first = dispatcher.begin(resumable_stream(), "t0");
    dispatcher.attempt(first, AttemptEvent::FirstToken);
    let actions = dispatcher.attempt(first, AttemptEvent::Stalled);
    assert!(!actions.contains(&aborted(first)), "{actions:?}");
    assert_eq!(releases(&actions), vec![]);
    let requests = permit_requests(&actions);
    assert_eq!(requests[0].avoid, vec![name("t0")]);
    let second = requests[0].attempt;
    let permit = dispatcher.permit(second, "t1");
    let actions = dispatcher.grant(&permit);
    assert!(actions.contains(&aborted(first)), "{actions:?}");
    assert_eq!(starts(&actions), vec![second]);
    let outcomes: Vec<ReleaseOutcome> = releases(&actions).iter().map(|r| r.outcome).collect();
    assert!(matches!(outcomes[..], [ReleaseOutcome::Failed(_)]));
    let actions = dispatcher.attempt(second, AttemptEvent::Finished(usage()));
    assert_eq!(conclusions(&actions), vec![Conclusion::Answered]);
}

/// Get the attempts whose permit requests are withdrawn at a host.
fn withdrawn(actions: &[EntryAction], owner: &str) -> Vec<AttemptId> {
    let attempt = |action: &EntryAction| match action {
        EntryAction::Send(host, OwnerMessage::Withdraw { attempt, .. })
            if *host == name::<HostName>(owner) =>
        {
            Some(*attempt)
        }
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

/// Assert that a permit is returned unused, and that its attempt does not start.
fn assert_returned(actions: &[EntryAction], attempt: AttemptId) {
    assert_eq!(starts(actions), vec![]);
    let released = releases(actions);
    assert_eq!(released.len(), 1, "{actions:?}");
    assert_eq!(released[0].attempt, attempt);
    assert_eq!(released[0].outcome, ReleaseOutcome::Unused);
}

// Guards against a second run of a stream whose target went on before the permit came.
#[test]
fn output_before_permit() {
    for output in [AttemptEvent::FirstToken, AttemptEvent::Progress(5)] {
        let mut dispatcher = TestDispatcher::new(EntryOptions::default());
        let (first, second) = stalled_stream(&mut dispatcher);
        let actions = dispatcher.attempt(first, output);
        assert_eq!(withdrawn(&actions, OWNER), vec![second]);
        let permit = dispatcher.permit(second, "t1");
        assert_returned(&dispatcher.grant(&permit), second);
        // Another silence uses another attempt, so that the late permit can't be used.
        let actions = dispatcher.attempt(first, AttemptEvent::Stalled);
        let third = permit_requests(&actions)[0].attempt;
        assert_ne!(third, second);
        let permit = dispatcher.permit(third, "t1");
        assert_eq!(starts(&dispatcher.grant(&permit)), vec![third]);
    }
}

// Guards against a silent run that is replaced by one at the same target.
#[test]
fn same_target_granted() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let (first, second) = stalled_stream(&mut dispatcher);
    let permit = dispatcher.permit(second, "t0");
    assert_returned(&dispatcher.grant(&permit), second);
    let actions = dispatcher.attempt(first, AttemptEvent::Finished(usage()));
    assert_eq!(conclusions(&actions), vec![Conclusion::Answered]);
}

// Guards against a permit request that stays with its owner after the silent run has ended.
#[test]
fn ended_before_permit() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let (first, second) = stalled_stream(&mut dispatcher);
    let actions = dispatcher.attempt(first, AttemptEvent::Finished(usage()));
    assert_eq!(withdrawn(&actions, OWNER), vec![second]);
    assert_eq!(conclusions(&actions), vec![Conclusion::Answered]);

    let (first, second) = stalled_stream(&mut dispatcher);
    let actions = dispatcher.attempt(first, AttemptEvent::Broken(usage()));
    assert_eq!(withdrawn(&actions, OWNER), vec![second]);
    let third = permit_requests(&actions)[0].attempt;
    assert!(third != first && third != second);

    let (_, second) = stalled_stream(&mut dispatcher);
    let request = second.request;
    let actions = dispatcher.event(EntryEvent::CallerDisconnected(request));
    assert_eq!(withdrawn(&actions, OWNER), vec![second]);
}

// Guards against a stalled stream that is not replaced because its owner changed.
#[test]
fn owner_changes() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let (_, second) = stalled_stream(&mut dispatcher);
    let actions = dispatcher.event(EntryEvent::OwnerChanged(shard(), name("owner-2")));
    assert_eq!(permit_requests(&actions)[0].attempt, second);
    // The former owner's permit is of no use.
    let permit = dispatcher.permit(second, "t1");
    assert_returned(&dispatcher.grant(&permit), second);
    let reply = EntryEvent::Reply(name("owner-2"), granted(&dispatcher.permit(second, "t1")));
    assert_eq!(starts(&dispatcher.event(reply)), vec![second]);
}

// Guards against a replacement under a permit from before a pause of the process.
#[test]
fn permit_before_pause() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let (_, second) = stalled_stream(&mut dispatcher);
    dispatcher.now = dispatcher.now.plus(Duration::from_secs(5));
    let permit = dispatcher.permit(second, "t1");
    let actions = dispatcher.grant(&permit);
    assert_eq!(starts(&actions), vec![]);
    assert_eq!(withdrawn(&actions, OWNER), vec![second]);
}

// Guards against a retry budget that is used up by replacements that never started.
#[test]
fn retries_returned() {
    let rate = RetryRate {
        permille: 0,
        slack: 4,
        ..RetryRate::default()
    };
    let options = EntryOptions::default().with_retry_rate(rate);
    let mut dispatcher = TestDispatcher::new(options);
    for _ in 0..10 {
        let (first, second) = stalled_stream(&mut dispatcher);
        dispatcher.reply(refused_for(RefusalReason::Overloaded, second));
        dispatcher.attempt(first, AttemptEvent::Finished(usage()));
    }
    let (_, second) = stalled_stream(&mut dispatcher);
    dispatcher.start(second, "t1");
}

// Guards against replacements beyond the retry budget.
#[test]
fn no_retries_left() {
    let rate = RetryRate {
        permille: 0,
        slack: 0,
        ..RetryRate::default()
    };
    let options = EntryOptions::default().with_retry_rate(rate);
    let mut dispatcher = TestDispatcher::new(options);
    let first = dispatcher.begin(resumable_stream(), "t0");
    dispatcher.attempt(first, AttemptEvent::FirstToken);
    let actions = dispatcher.attempt(first, AttemptEvent::Stalled);
    assert_eq!(actions, vec![]);
}
