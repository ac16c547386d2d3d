//! The list of registered targets over reads, changes and outages.

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::host::Standing;
use bergamotswitch_core::target_list::{TargetChange, TargetEntry, TargetRegister, TargetUpdate};

fn entry(name: &str) -> TargetEntry {
    TargetEntry {
        name: name.to_owned().try_into().expect("name"),
        pool: "pool".to_owned().try_into().expect("name"),
        domain: "hall".to_owned().try_into().expect("name"),
        address: ([10, 0, 0, 1], 80).into(),
        slots: 4,
        standing: Standing::Live,
        warming_ms: 0,
        started_at_ms: None,
    }
}

fn snapshot(names: &[&str], as_of: u64) -> TargetUpdate {
    TargetUpdate::Snapshot {
        entries: names.iter().map(|name| entry(name)).collect(),
        unreadable: Vec::new(),
        as_of,
    }
}

fn removed(name: &str, revision: u64) -> TargetUpdate {
    let name = name.to_owned().try_into().expect("name");
    TargetUpdate::Changes {
        changes: vec![(revision, TargetChange::Removed(name))],
        as_of: revision,
    }
}

fn names(register: &TargetRegister) -> Vec<String> {
    let targets = register.list().targets;
    targets.iter().map(|entry| entry.name.to_string()).collect()
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn reads_and_changes() {
    let mut register = TargetRegister::default();
    assert!(register.apply(at(0), snapshot(&["a", "b"], 10)));
    assert!(!register.apply(at(1), snapshot(&["a", "b"], 12)));
    assert!(register.apply(at(2), removed("a", 13)));
    assert_eq!(names(&register), ["b"]);
    // An answer that was overtaken changes nothing.
    assert!(!register.apply(at(3), snapshot(&["a", "b"], 11)));
    let late_update = TargetUpdate::Changes {
        changes: vec![(9, TargetChange::Set(entry("c")))],
        as_of: 12,
    };
    assert!(!register.apply(at(4), late_update));
    assert_eq!(names(&register), ["b"]);
}

// Symptom: every request is refused just after an outage of the store.
// Sequence: no heartbeat reaches the store while it is away, so the entries of
// all targets lapse; they are back within two seconds of its return. Cause: a
// lapsed entry was taken for a target that is gone.
#[test]
fn expired_entries() {
    let mut register = TargetRegister::default();
    register.apply(at(0), snapshot(&["a", "b"], 10));
    register.record_failure();
    assert!(!register.apply(at(5_000), snapshot(&[], 14)));
    assert_eq!(names(&register), ["a", "b"]);
    // One is back, the other one is not.
    let recovered = TargetUpdate::Changes {
        changes: vec![(15, TargetChange::Set(entry("a")))],
        as_of: 15,
    };
    register.apply(at(6_000), recovered);
    let before = register.revision();
    assert!(!register.drop_expired(at(7_000)));
    assert!(register.drop_expired(at(7_300)));
    assert_eq!(names(&register), ["a"]);
    assert!(register.revision() > before);
}

// A list that a peer read counts where it is newer, and never where it is not.
#[test]
fn adopted_list() {
    let mut reader = TargetRegister::default();
    reader.apply(at(0), snapshot(&["a", "b"], 10));
    let mut other = TargetRegister::default();
    other.adopt(reader.revision(), &reader.list());
    assert_eq!(names(&other), ["a", "b"]);
    other.apply(at(1), removed("a", 11));
    other.adopt(reader.revision(), &reader.list());
    assert_eq!(names(&other), ["b"]);
}

fn started(name: &str, start: u64, port: u16) -> TargetEntry {
    TargetEntry {
        started_at_ms: Some(start),
        address: ([10, 0, 0, 1], port).into(),
        ..entry(name)
    }
}

fn changed(change: TargetChange, revision: u64) -> TargetUpdate {
    TargetUpdate::Changes {
        changes: vec![(revision, change)],
        as_of: revision,
    }
}

fn unreadable(name: &str) -> TargetChange {
    TargetChange::Unreadable(name.to_owned().try_into().expect("name"))
}

fn ports(register: &TargetRegister) -> Vec<u16> {
    let targets = register.list().targets;
    targets.iter().map(|entry| entry.address.port()).collect()
}

// Symptom: calls go to an address at which nobody listens any more. Sequence: a
// target starts again under its name and registers; a registration of its
// former run arrives late. Cause: whatever came last was taken for newest.
#[test]
fn late_registration() {
    let mut register = TargetRegister::default();
    register.apply(at(0), changed(TargetChange::Set(started("a", 100, 80)), 10));
    register.apply(at(1), changed(TargetChange::Set(started("a", 200, 81)), 11));
    assert!(!register.apply(at(2), changed(TargetChange::Set(started("a", 100, 80)), 12)));
    assert_eq!(ports(&register), [81]);
    assert_eq!(register.list().targets[0].started_at_ms, Some(200));
    // A count of writes that begins anew is no sign of age, a start is.
    assert!(register.apply(at(3), changed(TargetChange::Set(started("a", 300, 82)), 13)));
    assert_eq!(ports(&register), [82]);
}

// Symptom: calls go on to a target whose entry somebody wrote over. Sequence:
// the entry is good, then no registration; it is told by a change, or by a read
// of all. Cause: what could not be read was passed over, and the entry from
// before stayed.
#[test]
fn overwritten_entry() {
    let mut register = TargetRegister::default();
    register.apply(at(0), snapshot(&["a", "b"], 10));
    assert!(register.apply(at(1), changed(unreadable("a"), 11)));
    assert_eq!(names(&register), ["b"]);
    let update = TargetUpdate::Snapshot {
        entries: Vec::new(),
        unreadable: vec!["b".to_owned().try_into().expect("name")],
        as_of: 12,
    };
    // Just after an outage, when entries that are gone are still counted on.
    register.record_failure();
    assert!(register.apply(at(2), update));
    assert!(names(&register).is_empty());
    // Its target writes again.
    register.apply(at(3), changed(TargetChange::Set(entry("a")), 13));
    assert_eq!(names(&register), ["a"]);
}

// Symptom: the former run of a target is counted on again. Sequence: its entry
// tells a start, is written over by another writer, and then a registration of
// a former run, or one without a start, takes its place. Cause: the start was
// forgotten with the entry.
#[test]
fn start_time_kept() {
    let mut register = TargetRegister::default();
    register.apply(at(0), changed(TargetChange::Set(started("a", 200, 81)), 10));
    register.apply(at(1), changed(unreadable("a"), 11));
    register.apply(at(2), changed(TargetChange::Set(started("a", 100, 80)), 12));
    assert!(names(&register).is_empty());
    register.apply(at(3), changed(TargetChange::Set(started("a", 200, 81)), 13));
    assert_eq!(ports(&register), [81]);
    // One that told its start always does: this is another writer.
    register.apply(at(4), changed(TargetChange::Set(entry("a")), 14));
    assert!(names(&register).is_empty());
    register.apply(at(5), removed("a", 15));
    register.apply(at(6), changed(TargetChange::Set(entry("a")), 16));
    assert_eq!(names(&register), ["a"]);
}
