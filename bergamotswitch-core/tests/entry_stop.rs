//! Tests of a planned stop without a grace period.

mod entry_support;

use entry_support::*;

#[test]
fn idle_stop() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let actions = dispatcher.event(EntryEvent::Stop);
    assert_eq!(actions, vec![EntryAction::Stopped]);
    assert_eq!(dispatcher.event(EntryEvent::Tick), vec![]);
}

// Guards against a planned stop that ends running or waiting requests, or refuses
// those of callers with an old address answer.
#[test]
fn stop_under_work() {
    let mut dispatcher = TestDispatcher::new(EntryOptions::default());
    let running = dispatcher.begin(submission(), "t0");
    let waiting = first_attempt(dispatcher.accept(submission()));
    assert_eq!(dispatcher.event(EntryEvent::Stop), vec![]);
    let late = first_attempt(dispatcher.accept(submission()));
    for attempt in [waiting, late] {
        dispatcher.start(attempt, "t0");
    }
    for attempt in [running, waiting, late] {
        let actions = dispatcher.attempt(attempt, AttemptEvent::Finished(usage()));
        let stopped = actions.contains(&EntryAction::Stopped);
        assert_eq!(stopped, attempt == late);
    }
    // Another request makes the planned stop incomplete again.
    let last = dispatcher.accept(submission());
    assert!(
        !dispatcher
            .event(EntryEvent::Tick)
            .contains(&EntryAction::Stopped)
    );
    let actions = dispatcher.event(EntryEvent::CallerDisconnected(last));
    assert!(actions.contains(&EntryAction::Stopped));
}
