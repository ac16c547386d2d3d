//! Tests of a graceful shutdown without a grace period.

mod entry_support;

use entry_support::*;

#[test]
fn idle_stop() {
    let mut desk = TestDesk::new(EntryOptions::default());
    let actions = desk.event(EntryEvent::Stop);
    assert_eq!(actions, vec![EntryAction::Stopped]);
    assert_eq!(desk.event(EntryEvent::Tick), vec![]);
}

// Guards against a shutdown that ends running or waiting requests, or refuses
// those of callers with an old address answer.
#[test]
fn stop_under_work() {
    let mut desk = TestDesk::new(EntryOptions::default());
    let running = desk.begin(submission(), "t0");
    let waiting = first_attempt(desk.accept(submission()));
    assert_eq!(desk.event(EntryEvent::Stop), vec![]);
    let late = first_attempt(desk.accept(submission()));
    for attempt in [waiting, late] {
        desk.start(attempt, "t0");
    }
    for attempt in [running, waiting, late] {
        let actions = desk.attempt(attempt, AttemptEvent::Finished(usage()));
        let stopped = actions.contains(&EntryAction::Stopped);
        assert_eq!(stopped, attempt == late);
    }
    // Another request makes the shutdown incomplete again.
    let last = desk.accept(submission());
    assert!(!desk.event(EntryEvent::Tick).contains(&EntryAction::Stopped));
    let actions = desk.event(EntryEvent::CallerLeft(last));
    assert!(actions.contains(&EntryAction::Stopped));
}
