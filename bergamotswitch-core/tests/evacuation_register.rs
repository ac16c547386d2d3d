//! Tests of the register of evacuated failure domains.

use std::collections::BTreeSet;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::evacuation::{
    EvacuationChange, EvacuationList, EvacuationRegister, EvacuationUpdate,
};
use bergamotswitch_core::failure_domain::DomainName;
use bergamotswitch_core::target_list::StorePosition;

fn domain(text: &str) -> DomainName {
    text.to_owned().try_into().expect("a name")
}

fn domains(names: &[&str]) -> BTreeSet<DomainName> {
    names.iter().copied().map(domain).collect()
}

fn snapshot(era: u64, revision: u64, names: &[&str]) -> EvacuationUpdate {
    EvacuationUpdate::Snapshot {
        domains: domains(names),
        as_of: StorePosition::new(era, revision),
    }
}

fn change(revision: u64, change: EvacuationChange) -> EvacuationUpdate {
    let position = StorePosition::new(0, revision);
    EvacuationUpdate::Changes {
        changes: vec![(position, change)],
        as_of: position,
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Guards against a domain that stays in use, or out of use, after a change.
#[test]
fn begun_and_ended() {
    let mut register = EvacuationRegister::default();
    assert!(register.apply(at(0), snapshot(0, 5, &[])));
    let begun = EvacuationChange::Begun(domain("hall"));
    assert!(register.apply(at(2), change(7, begun.clone())));
    assert_eq!(register.list().domains, domains(&["hall"]));
    assert!(!register.apply(at(3), change(9, begun)));
    assert!(register.apply(at(4), change(10, EvacuationChange::Ended(domain("hall")))));
    assert_eq!(register.list().domains, domains(&[]));
}

/// Guards against an evacuation that outlives its end because the store compacted the
/// change, and against a delayed read that brings it back.
#[test]
fn compacted_end() {
    let mut register = EvacuationRegister::default();
    register.apply(at(0), snapshot(0, 5, &["hall", "yard"]));
    let before = register.revision();
    assert!(register.apply(at(1), snapshot(0, 9, &["yard"])));
    assert!(register.revision() > before);
    assert!(!register.apply(at(2), snapshot(0, 7, &["hall", "yard"])));
    assert_eq!(register.list().domains, domains(&["yard"]));
}

/// Guards against an evacuation that ends because the store came back from a copy that lacks
/// it, and against one that never ends for that reason.
#[test]
fn restored_store() {
    let mut register = EvacuationRegister::default();
    register.apply(at(0), snapshot(0, 50, &["hall", "yard"]));
    let before = register.revision();
    register.apply(at(100), snapshot(1, 40, &["yard"]));
    assert_eq!(register.list().domains, domains(&["hall", "yard"]));
    assert!(register.revision() > before);
    assert!(!register.drop_kept(at(1_000)));
    assert!(register.next_due() <= at(2_500));
    let kept = register.revision();
    assert!(register.drop_kept(at(2_500)));
    assert_eq!(register.list().domains, domains(&["yard"]));
    assert!(register.revision() > kept);
}

/// Guards against a peer's list that is older than the own read of the same domains, and
/// would replace it where that is not published.
#[test]
fn same_again() {
    let mut register = EvacuationRegister::default();
    register.apply(at(0), snapshot(0, 5, &["hall"]));
    let mut peer = EvacuationRegister::default();
    peer.apply(at(1), snapshot(0, 7, &[]));
    assert!(register.apply(at(2), snapshot(0, 9, &["hall"])));
    assert!(register.revision() > peer.revision());
    register.adopt(peer.revision(), &peer.list());
    assert_eq!(register.list().domains, domains(&["hall"]));
}

/// Guards against a host that reads the store late and undoes what a peer has told it.
#[test]
fn adopted_list() {
    let mut reader = EvacuationRegister::default();
    reader.apply(at(0), snapshot(0, 20, &["hall"]));
    let list = EvacuationList {
        domains: domains(&["hall"]),
    };
    let mut register = EvacuationRegister::default();
    register.adopt(reader.revision(), &list);
    assert!(!register.apply(at(1), snapshot(0, 10, &[])));
    assert_eq!(register.list(), list);
    assert_eq!(register.revision(), reader.revision());
}
