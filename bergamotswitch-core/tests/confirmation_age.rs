//! Since when a host knows its routes to be the newest.

mod replica_net;

use bergamotswitch_core::revision::ROUTES_VALUE;
use replica_net::*;

fn routes_replica() -> RevisionReplica {
    let me = HostIncarnation {
        host: host(0),
        incarnation: Incarnation(1),
    };
    let opts = RevisionOptions::default()
        .with_values(vec![name(ROUTES_VALUE)])
        .with_read_fallback(Duration::ZERO)
        .with_confirm_interval(Duration::from_millis(500));
    let domain = "domain-0".to_owned().try_into().unwrap();
    RevisionReplica::new(me, domain, opts, Moment::START)
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn confirmed(asked_at: Moment, revision: u64, age_ms: u32) -> RevisionEvent {
    let message = RevisionMessage::Confirmed {
        name: name(ROUTES_VALUE),
        asked_at,
        revision: Revision(revision),
        age_ms,
    };
    RevisionEvent::Peer(host(1), message)
}

/// Get a book that has read revision 5 by a call sent at 100 ms.
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

// Symptom: a key works longer after its revocation than it may. Sequence: the
// answer to a read is delayed; the key is revoked after the store answered.
// Cause: the age was counted from the answer's arrival.
#[test]
fn slow_answer() {
    let replica = replica_after_read();
    assert_eq!(age_ms(&replica, at(1_000)), Some(900));
}

// The same by way of a peer: what counts is the time of the question, less the
// age that the peer tells, however late the answer comes.
#[test]
fn slow_peer() {
    let mut replica = replica_after_read();
    replica.handle(at(4_000), confirmed(at(1_500), 5, 300));
    assert_eq!(age_ms(&replica, at(4_000)), Some(2_800));
    // An older word changes nothing.
    replica.handle(at(4_100), confirmed(at(1_000), 5, 300));
    assert_eq!(age_ms(&replica, at(4_100)), Some(2_900));
}

// A peer that acts by newer routes confirms nothing of those that are here.
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

// Symptom: a host that has just started serves calls with a key that was taken
// away four seconds before. Sequence: the store falls silent, the key is taken
// away, its peers rely on keys no longer; the host starts, gets the earlier
// routes from them and asks when they were the newest. Cause: the moment that
// they tell lies before its own start, and was taken for the start.
#[test]
fn before_own_start() {
    let mut replica = routes_replica();
    replica.handle(at(50), RevisionEvent::PeerUp(host(1)));
    let whole = RevisionMessage::Whole(published(ROUTES_VALUE, 5, "{}"));
    replica.handle(at(100), RevisionEvent::Peer(host(1), whole));
    replica.record_verdict(at(100), &name(ROUTES_VALUE), Revision(5), Ok(()));
    replica.handle(at(1_000), confirmed(at(900), 5, 3_300));
    assert_eq!(age_ms(&replica, at(1_000)), Some(3_400));
    // A younger word counts at once, also where it is older than the process.
    replica.handle(at(1_200), confirmed(at(1_100), 5, 1_500));
    assert_eq!(age_ms(&replica, at(1_200)), Some(1_600));
}
