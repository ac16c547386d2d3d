//! The list of registered targets over reads, changes and outages.

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::host::Standing;
use bergamotswitch_core::target_list::{TargetChange, TargetEntry, TargetNews, TargetRegister};

fn entry(name: &str) -> TargetEntry {
    TargetEntry {
        name: name.to_owned().try_into().expect("name"),
        pool: "pool".to_owned().try_into().expect("name"),
        domain: "hall".to_owned().try_into().expect("name"),
        address: ([10, 0, 0, 1], 80).into(),
        slots: 4,
        standing: Standing::Live,
        warming_ms: 0,
    }
}

fn whole(names: &[&str], as_of: u64) -> TargetNews {
    TargetNews::Whole {
        entries: names.iter().map(|name| entry(name)).collect(),
        as_of,
    }
}

fn gone(name: &str, revision: u64) -> TargetNews {
    let name = name.to_owned().try_into().expect("name");
    TargetNews::Changes {
        changes: vec![(revision, TargetChange::Gone(name))],
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
    assert!(register.take(at(0), whole(&["a", "b"], 10)));
    assert!(!register.take(at(1), whole(&["a", "b"], 12)));
    assert!(register.take(at(2), gone("a", 13)));
    assert_eq!(names(&register), ["b"]);
    // An answer that was overtaken changes nothing.
    assert!(!register.take(at(3), whole(&["a", "b"], 11)));
    let late = TargetNews::Changes {
        changes: vec![(9, TargetChange::Set(entry("c")))],
        as_of: 12,
    };
    assert!(!register.take(at(4), late));
    assert_eq!(names(&register), ["b"]);
}

// Symptom: every request is refused just after an outage of the store.
// Sequence: no heartbeat reaches the store while it is away, so the entries of
// all targets lapse; they are back within two seconds of its return. Cause: a
// lapsed entry was taken for a target that is gone.
#[test]
fn lapsed_entries() {
    let mut register = TargetRegister::default();
    register.take(at(0), whole(&["a", "b"], 10));
    register.note_failure();
    assert!(!register.take(at(5_000), whole(&[], 14)));
    assert_eq!(names(&register), ["a", "b"]);
    // One is back, the other one is not.
    let back = TargetNews::Changes {
        changes: vec![(15, TargetChange::Set(entry("a")))],
        as_of: 15,
    };
    register.take(at(6_000), back);
    let before = register.revision();
    assert!(!register.drop_lapsed(at(7_000)));
    assert!(register.drop_lapsed(at(7_300)));
    assert_eq!(names(&register), ["a"]);
    assert!(register.revision() > before);
}

// A list that a peer read counts where it is newer, and never where it is not.
#[test]
fn adopted_list() {
    let mut reader = TargetRegister::default();
    reader.take(at(0), whole(&["a", "b"], 10));
    let mut other = TargetRegister::default();
    other.adopt(reader.revision(), &reader.list());
    assert_eq!(names(&other), ["a", "b"]);
    other.take(at(1), gone("a", 11));
    other.adopt(reader.revision(), &reader.list());
    assert_eq!(names(&other), ["b"]);
}
