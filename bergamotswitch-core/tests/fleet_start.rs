//! A fleet whose hosts all start at once.

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::failure_domain::DomainName;
use bergamotswitch_core::host::{HostIncarnation, HostName, Incarnation};
use bergamotswitch_core::revision::{
    HOSTS_VALUE, LIMITS_VALUE, RevisionAction, RevisionEvent, RevisionOptions, RevisionReplica,
};

fn first_reads() -> Vec<String> {
    let incarnation = HostIncarnation {
        host: HostName::try_from("entry-1").expect("name"),
        incarnation: Incarnation(7),
    };
    let domain = DomainName::try_from("north").expect("name");
    let mut replica = RevisionReplica::new(
        incarnation,
        domain,
        RevisionOptions::default(),
        Moment::START,
    );
    let actions = replica.handle(Moment::START, RevisionEvent::Tick);
    let reads = actions.iter().filter_map(|action| match action {
        RevisionAction::Read(name) => Some(name.as_str().to_owned()),
        _ => None,
    });
    reads.collect()
}

// Symptom: a fleet that starts together serves only after three seconds, and
// every host calls itself alone.
// Sequence: each host reads the host list, waits for a peer to vouch before
// it reads on, and refuses its peers' links because it has no key yet.
// Cause: the links' key stands in the limits, which were read only after the
// wait that needs the links.
#[test]
fn key_read_first() {
    let reads = first_reads();
    assert!(reads.iter().any(|name| name == LIMITS_VALUE), "{reads:?}");
    assert!(reads.iter().any(|name| name == HOSTS_VALUE), "{reads:?}");
    assert_eq!(reads.len(), 2, "the rest waits for peers: {reads:?}");
}
