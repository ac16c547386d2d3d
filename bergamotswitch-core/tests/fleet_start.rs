//! Tests of the start of a fleet whose hosts all start at once.

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

// Guards against a delayed start when all hosts start together: the link key is part
// of the limits, so these must be read before a host waits for its peers over links.
#[test]
fn key_read_first() {
    let reads = first_reads();
    assert!(reads.iter().any(|name| name == LIMITS_VALUE), "{reads:?}");
    assert!(reads.iter().any(|name| name == HOSTS_VALUE), "{reads:?}");
    assert_eq!(
        reads.len(),
        2,
        "other values must wait for peers: {reads:?}"
    );
}
