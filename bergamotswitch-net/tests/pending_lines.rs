//! Which log lines are kept where more come than the log takes.

use std::collections::BTreeMap;

use bergamotswitch_core::incident::{Incident, Level};
use bergamotswitch_net::pending_lines::{LineKind, PendingLines};

/// More lines than one interval takes of any kind.
const LINE_COUNT: usize = 400;
/// The bytes of a line about a request's end.
const LINE_BYTES: usize = 450;
/// What may wait at the most, the line that goes beyond it included.
const MAX_BYTES: usize = 1024 * 1024 + LINE_BYTES;

fn add(lines: &mut PendingLines, incident: Incident) {
    let kind = LineKind {
        level: match incident.level() {
            Level::Info => log::Level::Info,
            Level::Warn => log::Level::Warn,
            Level::Error => log::Level::Error,
        },
        event: Some(incident.number()),
    };
    let text = format!("{:<width$}", incident.number(), width = LINE_BYTES - 1);
    let written = lines.add(kind, |bytes| {
        bytes.extend_from_slice(text.as_bytes());
        Ok(())
    });
    written.expect("written");
}

/// Take the lines, counted by their numbers, and those left out.
fn take_counts(lines: &mut PendingLines) -> (BTreeMap<u16, u64>, BTreeMap<u16, u64>) {
    let (bytes, dropped) = lines.take();
    let mut kept = BTreeMap::new();
    for line in String::from_utf8(bytes).expect("text").lines() {
        let number = line.trim().parse().expect("number");
        *kept.entry(number).or_default() += 1;
    }
    (kept, dropped)
}

// Symptom: the log of a crowded second has no line that says why. Sequence: more
// lines about calls than an interval takes, then a warning, an error and a step of
// a planned stop. Cause: one bound for all kinds.
#[test]
fn priority_lines_kept() {
    let mut lines = PendingLines::default();
    for _ in 0..LINE_COUNT {
        add(&mut lines, Incident::RequestEnded);
    }
    let priority = [
        Incident::TargetBackedOff,
        Incident::RequestLost,
        Incident::StopBegun,
    ];
    for incident in priority {
        add(&mut lines, incident);
    }
    let (kept, dropped) = take_counts(&mut lines);
    assert_eq!(kept, [(101, 1), (201, 1), (206, 50), (302, 1)].into());
    assert_eq!(dropped, [(206, 350)].into());
}

#[test]
fn warning_burst() {
    let mut lines = PendingLines::default();
    for _ in 0..LINE_COUNT {
        add(&mut lines, Incident::DegradedAdmission);
        add(&mut lines, Incident::RequestEnded);
    }
    let (kept, dropped) = take_counts(&mut lines);
    assert_eq!(kept, [(205, 50), (206, 50)].into());
    assert_eq!(dropped, [(205, 350), (206, 350)].into());
    // The next interval begins anew.
    add(&mut lines, Incident::RequestEnded);
    assert_eq!(
        take_counts(&mut lines),
        ([(206, 1)].into(), BTreeMap::new())
    );
    assert!(lines.is_empty());
}

// Symptom: the log names some of the requests that a host ended. Sequence: the
// grace is nearly over, and each open request has two lines at once. Cause: bounds
// that are there for what else runs.
#[test]
fn termination_lines() {
    let mut lines = PendingLines::default();
    add(&mut lines, Incident::GraceEnding);
    for _ in 0..LINE_COUNT {
        add(&mut lines, Incident::RequestOpen);
    }
    assert_eq!(
        take_counts(&mut lines),
        ([(109, 1), (207, 400)].into(), BTreeMap::new())
    );
    // Those of the requests' ends may come an interval later.
    for _ in 0..LINE_COUNT {
        add(&mut lines, Incident::RequestEnded);
    }
    assert_eq!(
        take_counts(&mut lines),
        ([(206, 400)].into(), BTreeMap::new())
    );
}

// Symptom: a host's memory grows until it is killed. Sequence: nothing is written
// for long. Cause: a bound on lines alone, or none at the end.
#[test]
fn bounded_bytes() {
    let mut lines = PendingLines::default();
    add(&mut lines, Incident::GraceEnding);
    for _ in 0..10 * LINE_COUNT {
        add(&mut lines, Incident::RequestOpen);
    }
    let (bytes, dropped) = lines.take();
    assert!(bytes.len() <= MAX_BYTES, "{}", bytes.len());
    assert!(dropped[&207] > 0);
}
