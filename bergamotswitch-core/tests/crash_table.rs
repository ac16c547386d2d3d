//! Tests of the record of calls whose runs broke.

use std::time::Duration;

use bergamotswitch_core::call_signature::CallSignature;
use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::host::Incarnation;
use bergamotswitch_core::quarantine::{Admission, CrashTable, RequestSuspects, TrialPrecedence};
use bergamotswitch_core::request::{AttemptId, RequestId};

fn signature(work: u128) -> CallSignature {
    CallSignature::new(&"crew".to_owned().try_into().expect("name"), work)
}

fn suspects(work: u128) -> RequestSuspects {
    signature(work).into()
}

fn secs(count: u64) -> Moment {
    Moment::from_millis(count * 1_000)
}

fn crash(table: &mut CrashTable, at: Moment, work: u128, target: &str, sequence: u64) {
    let request = RequestId {
        incarnation: Incarnation(1),
        sequence,
    };
    let attempt = AttemptId {
        request,
        attempt: 0,
    };
    let target = target.to_owned().try_into().expect("name");
    table.record_crash(at, &suspects(work), attempt, &target);
}

fn quarantined(work: u128) -> CrashTable {
    let mut table = CrashTable::default();
    for number in 0..3 {
        crash(
            &mut table,
            secs(10 + number),
            work,
            &format!("t{number}"),
            number,
        );
    }
    assert!(table.is_quarantined(&suspects(work)));
    table
}

/// Guards against copies of one call on one crashing target that count as several
/// crashes.
#[test]
fn one_crash() {
    let mut table = CrashTable::default();
    for number in 0..12 {
        crash(&mut table, secs(10), 1, "t1", number);
    }
    assert!(!table.is_quarantined(&suspects(1)));
}

/// Guards against a target that comes back under its name and whose later crashes are
/// taken for the first one.
#[test]
fn same_target() {
    let mut table = CrashTable::default();
    for number in 0..3 {
        crash(&mut table, secs(10 + 3 * number), 1, "t1", number);
    }
    assert!(table.is_quarantined(&suspects(1)));
}

/// Guards against reports that count a crash again, also when they arrive late.
#[test]
fn repeated_reports() {
    let mut first = CrashTable::default();
    crash(&mut first, secs(10), 1, "t1", 1);
    crash(&mut first, secs(11), 1, "t2", 2);
    let reports = first.reports(secs(11));
    let mut second = CrashTable::default();
    for at in [1, 2, 30] {
        second.merge(secs(at), &reports);
    }
    assert!(!second.is_quarantined(&suspects(1)));
    assert_eq!(second.take_unsent(secs(30)).len(), 1);
    second.merge(secs(31), &reports);
    assert!(second.take_unsent(secs(31)).is_empty(), "reports circulate");
}

/// Guards against crashes on different hosts that do not add up.
#[test]
fn merged_reports() {
    let tables = [0, 1, 2].map(|number| {
        let mut table = CrashTable::default();
        crash(
            &mut table,
            secs(10 + number),
            1,
            &format!("t{number}"),
            number,
        );
        table
    });
    let reports: Vec<_> = tables
        .iter()
        .flat_map(|table| table.reports(secs(12)))
        .collect();
    let mut owner = CrashTable::default();
    owner.merge(secs(1), &reports);
    assert!(owner.is_quarantined(&suspects(1)));
}

/// Guards against a caller whose many different bodies displace a quarantined call
/// or grow the record without a limit.
#[test]
fn endless_bodies() {
    let mut table = quarantined(1);
    for work in 0..5_000 {
        crash(&mut table, secs(20), 1_000 + work, "t9", work as u64);
    }
    assert!(table.len() <= 1_024, "{} calls", table.len());
    assert!(table.is_quarantined(&suspects(1)));
    let reports = table.reports(secs(21));
    assert!(reports.len() <= 64, "{} reports", reports.len());
    assert_eq!(reports[0].suspect, signature(1).into());
}

/// Guards against an answer that does not end a quarantine, and against older reports
/// that bring it back.
#[test]
fn answered_call() {
    let mut table = quarantined(1);
    let stale = table.reports(secs(13));
    table.record_sound(secs(60), secs(60), suspects(1).iter());
    assert!(!table.is_quarantined(&suspects(1)));
    for mut report in stale {
        for run in &mut report.runs {
            run.age_ms += 48_000;
        }
        table.merge(secs(61), &[report]);
    }
    assert!(!table.is_quarantined(&suspects(1)));
}

/// Guards against more than one trial at a time, and against trials that follow each
/// other as quickly after each failure.
#[test]
fn spaced_trials() {
    let mut table = quarantined(1);
    let mut admit = |at| table.admit(secs(at), &suspects(1), TrialPrecedence::Owner);
    assert_eq!(admit(13), Err(Duration::from_secs(29)));
    assert_eq!(admit(42), Ok(Admission::Trial));
    assert!(admit(43).is_err());
    crash(&mut table, secs(44), 1, "t3", 9);
    let mut admit = |at| table.admit(secs(at), &suspects(1), TrialPrecedence::Owner);
    assert_eq!(admit(45), Err(Duration::from_secs(119)));
    assert_eq!(admit(164), Ok(Admission::Trial));
}

/// Guards against a trial that every host runs at the same time.
#[test]
fn shared_trial() {
    let mut owner = quarantined(1);
    let precedence = TrialPrecedence::Owner;
    let trial = owner.admit(secs(42), &suspects(1), precedence);
    assert_eq!(trial, Ok(Admission::Trial));
    let mut other = CrashTable::default();
    for pending in owner.take_unsent(secs(42)) {
        other.merge(secs(5), &[pending.report]);
    }
    let late = other.admit(secs(50), &suspects(1), TrialPrecedence::Other(7));
    assert!(late.is_err());
}

/// Guards against reports that are lost because more calls changed than fit into a
/// message, and against reports on single crashes that go to all hosts.
#[test]
fn many_reports() {
    let mut table = CrashTable::default();
    for work in 0..100 {
        crash(&mut table, secs(10), work, "t1", work as u64);
    }
    crash(&mut table, secs(14), 7, "t2", 200);
    let first = table.take_unsent(secs(15));
    assert_eq!(first[0].report.suspect, signature(7).into());
    assert!(first[0].is_for_all);
    assert!(!first[1].is_for_all);
    let second = table.take_unsent(secs(15));
    assert_eq!(first.len() + second.len(), 100);
    assert!(table.take_unsent(secs(15)).is_empty());
}

/// Guards against a call that is remembered for ever.
#[test]
fn expired_call() {
    let mut table = quarantined(1);
    table.expire(secs(12 + 599));
    assert_eq!(table.len(), 1);
    table.expire(secs(12 + 600));
    assert_eq!(table.len(), 0);
}
