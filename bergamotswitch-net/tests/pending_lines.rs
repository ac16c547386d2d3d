//! Tests of which log lines are dropped when more arrive than the buffer accepts.

use std::collections::BTreeMap;

use bergamotswitch_core::incident::{Incident, Level};
use bergamotswitch_net::pending_lines::{LineKind, PendingLines};

/// The number of lines in a burst, above the limit of an interval for any kind.
const LINE_COUNT: usize = 400;
/// The size in bytes of a line about the end of a request.
const LINE_BYTES: usize = 450;
/// The maximum buffer size, including the line that reaches the limit.
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

/// Take the buffered lines and get their counts and those of dropped lines by event
/// number.
fn take_counts(lines: &mut PendingLines) -> (BTreeMap<u16, u64>, BTreeMap<u16, u64>) {
    let (bytes, dropped) = lines.take();
    let mut accepted = BTreeMap::new();
    for line in String::from_utf8(bytes).expect("text").lines() {
        let number = line.trim().parse().expect("number");
        *accepted.entry(number).or_default() += 1;
    }
    (accepted, dropped)
}

// Guards against a burst of lines about calls that displaces warnings, errors and
// lines about a planned stop.
#[test]
fn priority_lines_accepted() {
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
    let (accepted, dropped) = take_counts(&mut lines);
    assert_eq!(accepted, [(101, 1), (201, 1), (206, 50), (302, 1)].into());
    assert_eq!(dropped, [(206, 350)].into());
}

#[test]
fn warning_burst() {
    let mut lines = PendingLines::default();
    for _ in 0..LINE_COUNT {
        add(&mut lines, Incident::DegradedAdmission);
        add(&mut lines, Incident::RequestEnded);
    }
    let (accepted, dropped) = take_counts(&mut lines);
    assert_eq!(accepted, [(205, 50), (206, 50)].into());
    assert_eq!(dropped, [(205, 350), (206, 350)].into());
    // The limits apply to each interval separately.
    add(&mut lines, Incident::RequestEnded);
    assert_eq!(
        take_counts(&mut lines),
        ([(206, 1)].into(), BTreeMap::new())
    );
    assert!(lines.is_empty());
}

// Guards against missing lines about requests that a host terminates at the end of
// the grace period, when all are logged at once.
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
    // The lines about the ends of the requests may follow an interval later.
    for _ in 0..LINE_COUNT {
        add(&mut lines, Incident::RequestEnded);
    }
    assert_eq!(
        take_counts(&mut lines),
        ([(206, 400)].into(), BTreeMap::new())
    );
}

// Guards against unbounded memory use while no lines are written out, also after the
// end of the grace period.
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
