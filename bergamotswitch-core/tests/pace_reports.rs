//! Tests of an entry host's reports of the paces that targets name in their answers.

mod entry_support;

use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::target::{MomentaryPace, NamedPace};
use entry_support::*;

fn dispatcher(slow_moment: Option<Duration>) -> TestDispatcher {
    TestDispatcher::new(EntryOptions::default().with_slow_moment(slow_moment))
}

fn used() -> TestDispatcher {
    dispatcher(Some(Duration::from_millis(400)))
}

fn named(hundredths: u32) -> NamedPace {
    NamedPace::Pace(MomentaryPace::try_from(hundredths).expect("a pace"))
}

/// Let a target name a pace in an answer, and get the paces that are reported with their
/// owners.
fn answer(entry: &mut TestDispatcher, target: &str, pace: NamedPace) -> Vec<(String, u32)> {
    let attempt = entry.begin(submission(), target);
    let actions = entry.attempt(attempt, AttemptEvent::PaceNamed(pace));
    entry.attempt(attempt, AttemptEvent::Finished(usage()));
    let reports = actions.iter().filter_map(|action| match action {
        EntryAction::Send(owner, OwnerMessage::TargetPaces { targets, .. }) => {
            Some((owner.to_string(), targets[0].pace.into()))
        }
        _ => None,
    });
    reports.collect()
}

/// Guards against decisions by an outdated pace: a change is reported at once, an equal pace
/// again after a while, since another host may have reported another one.
#[test]
fn changes_reported() {
    let mut entry = used();
    let sent = |hundredths| vec![(OWNER.to_owned(), hundredths)];
    assert_eq!(answer(&mut entry, "t0", named(250)), sent(250));
    assert_eq!(answer(&mut entry, "t0", named(260)), []);
    assert_eq!(answer(&mut entry, "t0", named(400)), sent(400));
    assert_eq!(answer(&mut entry, "t0", named(100)), sent(100));
    assert_eq!(answer(&mut entry, "t0", named(105)), []);
    assert_eq!(answer(&mut entry, "t2", named(250)), sent(250));
    entry.pass(Duration::from_millis(300));
    assert_eq!(answer(&mut entry, "t0", named(100)), sent(100));
}

/// Guards against a new owner that hears nothing of a slow target.
#[test]
fn owner_changes() {
    let mut entry = used();
    answer(&mut entry, "t0", named(250));
    let attempt = entry.begin(submission(), "t0");
    entry.event(EntryEvent::OwnerChanged(shard(), name("owner-2")));
    let actions = entry.attempt(attempt, AttemptEvent::PaceNamed(named(250)));
    assert!(matches!(
        &actions[..],
        [EntryAction::Send(owner, OwnerMessage::TargetPaces { .. })] if *owner == name("owner-2")
    ));
}

/// Guards against reports that take more room on links than a host has for control, and
/// against repeated ones that displace news.
#[test]
fn bounded_reports() {
    let mut entry = used();
    let mut sent = 0;
    for number in 0..4_000 {
        entry.now = entry.now.plus(Duration::from_millis(1));
        let pace = if number % 2 == 0 { 250 } else { 100 };
        sent += answer(&mut entry, "t0", named(pace)).len();
    }
    assert!((60..=16 + 4 * 16).contains(&sent), "{sent} reports in 4 s");
    assert!(entry.dispatcher.view().unsent_paces > 1_000);
    let mut entry = dispatcher(Some(Duration::from_millis(20)));
    for _ in 0..100 {
        entry.now = entry.now.plus(Duration::from_millis(10));
        answer(&mut entry, "t0", named(100));
    }
    assert!(entry.dispatcher.view().unsent_paces > 0);
    assert_eq!(answer(&mut entry, "t2", named(250)).len(), 1);
}

/// Guards against unreadable paces that are reported, and log lines for each of them.
#[test]
fn malformed_paces() {
    let mut entry = used();
    let mut lines = 0;
    for _ in 0..50 {
        let attempt = entry.begin(submission(), "t0");
        let actions = entry.attempt(attempt, AttemptEvent::PaceNamed(NamedPace::Malformed));
        entry.attempt(attempt, AttemptEvent::Finished(usage()));
        entry.pass(Duration::from_millis(300));
        let line = EntryAction::LogTargetNotice(Incident::PaceMalformed, name("t0"));
        lines += actions.iter().filter(|action| **action == line).count();
        assert_eq!(actions.len(), usize::from(actions.contains(&line)));
    }
    assert_eq!(entry.dispatcher.view().malformed_paces, 50);
    assert_eq!(lines, 2, "in 15 s");
}

/// Guards against messages to owners where the option is off.
#[test]
fn option_off() {
    let mut entry = dispatcher(None);
    assert_eq!(answer(&mut entry, "t0", named(250)), []);
    answer(&mut entry, "t0", NamedPace::Malformed);
    assert_eq!(entry.dispatcher.view().malformed_paces, 0);
}
