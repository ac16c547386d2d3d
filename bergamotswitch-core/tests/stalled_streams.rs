//! Tests of streams whose targets fall silent: a run is given up only for another one that
//! can start.

mod entry_support;

use bergamotswitch_core::permit::ReleaseOutcome;
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
