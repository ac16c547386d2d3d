//! Tests of the age of a host's knowledge that its routes are the newest.

mod replica_net;

use bergamotswitch_core::revision::ROUTES_VALUE;
use replica_net::*;

fn routes_replica() -> RevisionReplica {
    let identity = HostIncarnation {
        host: host(0),
        incarnation: Incarnation(1),
    };
    let opts = RevisionOptions::default()
        .with_values(vec![name(ROUTES_VALUE)])
        .with_read_fallback(Duration::ZERO)
        .with_confirm_interval(Duration::from_millis(500));
    let domain = "domain-0".to_owned().try_into().unwrap();
    RevisionReplica::new(identity, domain, opts, Moment::START)
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn confirmed(queried_at: Moment, revision: u64, age_ms: u32) -> RevisionEvent {
    let message = RevisionMessage::Confirmed {
        name: name(ROUTES_VALUE),
        queried_at,
        revision: Revision(revision),
        age_ms,
    };
    RevisionEvent::Peer(host(1), message)
}

/// Create a replica that has read revision 5 by a call sent at 100 ms.
fn replica_after_read() -> RevisionReplica {
    let mut replica = routes_replica();
    replica.handle(at(100), RevisionEvent::Tick);
    let value = published(ROUTES_VALUE, 5, "{}");
    replica.handle(at(900), RevisionEvent::Read(value));
    replica.record_verdict(at(900), &name(ROUTES_VALUE), Revision(5), Ok(()));
    replica.handle(at(900), RevisionEvent::PeerUp(host(1)));
    replica
}

fn age_ms(replica: &RevisionReplica, now: Moment) -> Option<u128> {
    let age = replica.confirmed_age(now, &name(ROUTES_VALUE));
    age.map(|age| age.as_millis())
}

// Guards against a revoked key that works for too long because the age of a
// delayed read is counted from the arrival of the answer.
#[test]
fn slow_answer() {
    let replica = replica_after_read();
    assert_eq!(age_ms(&replica, at(1_000)), Some(900));
}

// Guards against the same fault with a delayed answer of a peer: the time of
// the query counts, less the age in the answer.
#[test]
fn slow_peer() {
    let mut replica = replica_after_read();
    replica.handle(at(4_000), confirmed(at(1_500), 5, 300));
    assert_eq!(age_ms(&replica, at(4_000)), Some(2_800));
    // An older confirmation changes nothing.
    replica.handle(at(4_100), confirmed(at(1_000), 5, 300));
    assert_eq!(age_ms(&replica, at(4_100)), Some(2_900));
}

// A peer with newer routes confirms nothing about those held here.
#[test]
fn newer_peer() {
    let mut replica = replica_after_read();
    replica.handle(at(2_000), confirmed(at(1_900), 6, 0));
    assert_eq!(age_ms(&replica, at(2_000)), Some(1_900));
}

#[test]
fn never_read() {
    let replica = routes_replica();
    assert_eq!(age_ms(&replica, at(5_000)), None);
}

// Guards against a newly started host that accepts a revoked key because a
// confirmation from before its start is counted as one at its start.
#[test]
fn before_own_start() {
    let mut replica = routes_replica();
    replica.handle(at(50), RevisionEvent::PeerUp(host(1)));
    let whole = RevisionMessage::Whole(published(ROUTES_VALUE, 5, "{}"));
    replica.handle(at(100), RevisionEvent::Peer(host(1), whole));
    replica.record_verdict(at(100), &name(ROUTES_VALUE), Revision(5), Ok(()));
    replica.handle(at(1_000), confirmed(at(900), 5, 3_300));
    assert_eq!(age_ms(&replica, at(1_000)), Some(3_400));
    // A more recent confirmation counts at once, even if it dates from before
    // the start of the process.
    replica.handle(at(1_200), confirmed(at(1_100), 5, 1_500));
    assert_eq!(age_ms(&replica, at(1_200)), Some(1_600));
}
