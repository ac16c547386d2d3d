//! Tests of which requests a host refuses after targets have crashed under others.

mod entry_support;

use bergamotswitch_core::host::Incarnation;
use bergamotswitch_core::quarantine::{
    Admission, CrashReport, CrashTable, RequestSuspects, TrialPrecedence,
};
use bergamotswitch_core::request::PartId;
use entry_support::*;

const BAD: u128 = 0xbad;
const COMMON: u128 = 0xc0;

/// Between two crashes.
const GAP: Duration = Duration::from_millis(400);

/// Get the submission of a request that is like no other, with these parts.
fn with_parts(number: u128, parts: &[u128]) -> Submission {
    Submission {
        fingerprint: number,
        parts: parts.iter().copied().map(PartId).collect(),
        ..submission()
    }
}

fn suspects(number: u128, parts: &[u128]) -> RequestSuspects {
    RequestSuspects::of(&with_parts(number, parts))
}

fn dispatcher() -> TestDispatcher {
    TestDispatcher::new(EntryOptions::default())
}

/// Run a request at each target in turn, deliver the events, and break it off.
fn crash_all(dispatcher: &mut TestDispatcher, parts: &[u128], events: &[(u64, AttemptEvent)]) {
    for number in 0..3 {
        let attempt = dispatcher.begin(with_parts(number, parts), &format!("t{number}"));
        for (wait_ms, event) in events {
            dispatcher.pass(Duration::from_millis(*wait_ms));
            dispatcher.attempt(attempt, *event);
        }
        dispatcher.attempt(attempt, AttemptEvent::Broken(usage()));
        dispatcher.event(EntryEvent::CallerDisconnected(attempt.request));
        dispatcher.pass(GAP);
    }
}

fn is_refused(dispatcher: &mut TestDispatcher, parts: &[u128]) -> bool {
    match dispatcher.submit(with_parts(99, parts)).0 {
        SubmitOutcome::Refused(refusal) => {
            assert_eq!(refusal.reason(), RefusalReason::Quarantined);
            true
        }
        _ => false,
    }
}

/// Guards against a part that is not blamed as its answers have begun: a head, or the first
/// events, prove nothing.
#[test]
fn begun_answers() {
    let begun = [
        (20, AttemptEvent::FirstToken),
        (100, AttemptEvent::Progress(4)),
    ];
    for events in [&begun[..0], &begun[..1], &begun[..]] {
        let mut dispatcher = dispatcher();
        crash_all(&mut dispatcher, &[COMMON, BAD], events);
        assert!(is_refused(&mut dispatcher, &[COMMON, BAD]), "{events:?}");
        assert!(!is_refused(&mut dispatcher, &[COMMON]), "{events:?}");
    }
}

/// Guards against a part that is blamed although targets had long been writing under it.
#[test]
fn long_answers() {
    let events = [
        (20, AttemptEvent::FirstToken),
        (1_500, AttemptEvent::Progress(400)),
    ];
    let mut dispatcher = dispatcher();
    crash_all(&mut dispatcher, &[COMMON, BAD], &events);
    assert!(!is_refused(&mut dispatcher, &[COMMON, BAD]));
}

/// Guards against a part that stays refused while an answer under it is being written.
#[test]
fn written_trial() {
    let mut dispatcher = dispatcher();
    crash_all(&mut dispatcher, &[COMMON, BAD], &[]);
    dispatcher.event(EntryEvent::OwnerChanged(shard(), name("entry-1")));
    dispatcher.pass(Duration::from_secs(31));
    let trial = first_attempt(dispatcher.accept(with_parts(50, &[COMMON, BAD])));
    assert!(is_refused(&mut dispatcher, &[COMMON, BAD]));
    let permit = dispatcher.permit(trial, "t0");
    dispatcher.event(EntryEvent::Reply(name("entry-1"), granted(&permit)));
    dispatcher.attempt(trial, AttemptEvent::FirstToken);
    dispatcher.pass(Duration::from_millis(1_200));
    assert!(is_refused(&mut dispatcher, &[COMMON, BAD]));
    dispatcher.attempt(trial, AttemptEvent::Progress(300));
    assert!(!is_refused(&mut dispatcher, &[COMMON, BAD]));
}

/// Guards against a part that no one may try again because a trial ended before it ran.
#[test]
fn trial_without_run() {
    let mut dispatcher = dispatcher();
    crash_all(&mut dispatcher, &[COMMON, BAD], &[]);
    dispatcher.event(EntryEvent::OwnerChanged(shard(), name("entry-1")));
    dispatcher.pass(Duration::from_secs(31));
    let trial = dispatcher.accept(with_parts(50, &[COMMON, BAD]));
    assert!(is_refused(&mut dispatcher, &[COMMON, BAD]));
    dispatcher.event(EntryEvent::CallerDisconnected(trial));
    assert!(!is_refused(&mut dispatcher, &[COMMON, BAD]));
}

/// Guards against a request that waits for a target when its part is contained.
#[test]
fn waiting_request() {
    let mut dispatcher = dispatcher();
    let attempts: Vec<AttemptId> = (0..3)
        .map(|number| {
            let parts = [COMMON, BAD];
            dispatcher.begin(with_parts(number, &parts), &format!("t{number}"))
        })
        .collect();
    dispatcher.accept(with_parts(50, &[COMMON, BAD]));
    dispatcher.accept(with_parts(51, &[COMMON]));
    let mut ended = Vec::new();
    for attempt in attempts {
        ended = dispatcher.attempt(attempt, AttemptEvent::Broken(usage()));
        dispatcher.pass(GAP);
    }
    let quarantined = |conclusion: &&Conclusion| match conclusion {
        Conclusion::Refused(refusal) => refusal.reason() == RefusalReason::Quarantined,
        _ => false,
    };
    // The two broken attempts whose retries waited, the third, and the one that waited.
    assert_eq!(conclusions(&ended).iter().filter(quarantined).count(), 4);
}

fn table_with_crash(number: u64) -> CrashTable {
    let mut table = CrashTable::default();
    let attempt = AttemptId {
        request: RequestId {
            incarnation: Incarnation(u128::from(number)),
            sequence: 1,
        },
        attempt: 0,
    };
    let suspects = suspects(number.into(), &[COMMON, BAD]);
    let at = Moment::from_millis(10_000 + 300 * number);
    table.record_crash(at, &suspects, attempt, &name(&format!("t{number}")));
    table
}

fn reports_of(table: &mut CrashTable, now: Moment) -> Vec<CrashReport> {
    let pending = table.take_unsent(now).into_iter();
    pending.map(|pending| pending.report).collect()
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Guards against crashes seen by a host each that do not add up, and against those that a
/// later answer at another host does not clear.
#[test]
fn spread_evidence() {
    let mut reports: Vec<CrashReport> = Vec::new();
    for number in 0..5 {
        reports.extend(table_with_crash(number).reports(at(11_500)));
    }
    let mut owner = CrashTable::default();
    owner.merge(at(1_500), &reports);
    assert!(owner.is_quarantined(&suspects(9, &[COMMON, BAD])));
    let mut other = CrashTable::default();
    let sound = suspects(8, &[COMMON]);
    other.record_sound(at(51_600), at(51_550), sound.iter());
    other.merge(at(51_500), &reports);
    let told = reports_of(&mut other, at(51_700));
    owner.merge(at(1_700), &told);
    assert!(!owner.is_quarantined(&sound));
    assert!(owner.is_quarantined(&suspects(9, &[COMMON, BAD])));
}

/// Guards against reports of a common part that hosts send each other without end as each
/// has seen a later answer.
#[test]
fn no_echo() {
    let mut first = table_with_crash(0);
    first.merge(at(10_900), &table_with_crash(1).reports(at(10_900)));
    let sound = suspects(8, &[COMMON]);
    let mut second = CrashTable::default();
    second.merge(at(10_900), &first.reports(at(10_900)));
    second.take_unsent(at(10_900));
    first.record_sound(at(11_000), at(10_950), sound.iter());
    second.record_sound(at(11_050), at(11_000), sound.iter());
    let mut sent = 0;
    for round in 0..10 {
        let now = at(11_100 + 100 * round);
        let told = reports_of(&mut first, now);
        second.merge(now, &told);
        let echo = reports_of(&mut second, now);
        first.merge(now, &echo);
        sent += usize::from(round >= 2) * (told.len() + echo.len());
        first.record_sound(now, now, sound.iter());
        second.record_sound(now, now, sound.iter());
    }
    assert_eq!(sent, 0);
}

/// Guards against many invented parts that push the guilty one out of the record, or take
/// any amount of memory.
#[test]
fn invented_parts() {
    let mut table = CrashTable::default();
    for number in 0..5 {
        table.merge(at(10_000), &table_with_crash(number).reports(at(11_500)));
    }
    for number in 0..500_u64 {
        let parts: Vec<u128> = (0..64).map(|part| u128::from(number * 64 + part)).collect();
        let attempt = AttemptId {
            request: RequestId {
                incarnation: Incarnation(7),
                sequence: number,
            },
            attempt: 0,
        };
        let suspects = suspects(number.into(), &parts);
        table.record_crash(at(20_000 + number), &suspects, attempt, &name("t9"));
    }
    assert!(table.len() <= 1_024, "{}", table.len());
    let bad = suspects(9, &[COMMON, BAD]);
    assert!(table.is_quarantined(&bad));
    let trial = table.admit(at(60_000), &bad, TrialPrecedence::Owner);
    assert_eq!(trial, Ok(Admission::Trial));
}

/// Get an attempt that no other crash belongs to.
fn attempt_of(number: u64) -> AttemptId {
    AttemptId {
        request: RequestId {
            incarnation: Incarnation(3),
            sequence: number,
        },
        attempt: 0,
    }
}

/// Guards against a part that is blamed for crashes that another part caused, because these
/// are more than a report holds.
#[test]
fn many_crashes() {
    const BYSTANDER: u128 = 0xb5;
    let mut table = CrashTable::default();
    let mut other = CrashTable::default();
    for number in 0..40 {
        let now = at(10_000 + 100 * number);
        let target = name(&format!("t{number}"));
        let bad = suspects(number.into(), &[BAD]);
        table.record_crash(now, &bad, attempt_of(number), &target);
        if (12..17).contains(&number) {
            let beside = suspects(1_000 + u128::from(number), &[BYSTANDER]);
            table.record_crash(now, &beside, attempt_of(1_000 + number), &target);
        }
        other.merge(now, &reports_of(&mut table, now));
    }
    let mut started = CrashTable::default();
    started.merge(at(500), &table.reports(at(14_000)));
    for table in [&table, &other, &started] {
        assert!(table.is_quarantined(&suspects(2_000, &[BAD])));
        assert!(!table.is_quarantined(&suspects(2_000, &[BYSTANDER])));
    }
}

/// Guards against a part that is blamed by mistake and stays so for long: its first trial
/// comes soon, and is no request that may crash a target by another part.
#[test]
fn early_trial() {
    const BESIDE: u128 = 0xbe;
    let mut table = CrashTable::default();
    for number in 0..4 {
        let suspects = suspects(number.into(), &[BAD + u128::from(number), BESIDE]);
        let target = name(&format!("t{number}"));
        table.record_crash(
            at(10_000 + 200 * number),
            &suspects,
            attempt_of(number),
            &target,
        );
    }
    let doubtful = suspects(20, &[BAD + 20, BESIDE]);
    let sound = suspects(21, &[BESIDE]);
    assert!(table.is_quarantined(&doubtful) && table.is_quarantined(&sound));
    assert!(
        table
            .admit(at(11_000), &sound, TrialPrecedence::Owner)
            .is_err()
    );
    assert!(
        table
            .admit(at(13_000), &doubtful, TrialPrecedence::Owner)
            .is_err()
    );
    let trial = table.admit(at(13_000), &sound, TrialPrecedence::Owner);
    assert_eq!(trial, Ok(Admission::Trial));
    table.record_sound(at(13_100), at(13_050), sound.iter());
    assert!(!table.is_quarantined(&doubtful) && !table.is_quarantined(&sound));
}
