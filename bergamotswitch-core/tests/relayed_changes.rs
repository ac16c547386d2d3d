//! Tests the change that a host passes on.

mod replica_net;

use bergamotswitch_core::revision::RevisionMark;
use replica_net::*;

const ORIGIN: usize = 1;
const READER: usize = 2;

/// Get a replica that has the first revision of the rules, and a reader that has it too.
fn relay() -> RevisionReplica {
    let identity = HostIncarnation {
        host: host(0),
        incarnation: Incarnation(1),
    };
    let domain = "domain-0".try_into().expect("a valid name");
    let options = RevisionOptions::default();
    let mut replica = RevisionReplica::new(identity, domain, options, Moment::START);
    replica.handle(Moment::START, RevisionEvent::PeerUp(host(ORIGIN)));
    replica.handle(Moment::START, RevisionEvent::PeerUp(host(READER)));
    let first = published(RULES_VALUE, 1, rules_body(1, 20));
    receive(&mut replica, ORIGIN, RevisionMessage::Whole(first));
    let mark = RevisionMark {
        name: name(RULES_VALUE),
        revision: Revision(1),
    };
    receive(&mut replica, READER, RevisionMessage::Marks(vec![mark]));
    replica
}

/// Let a replica receive a message, and get the change that it sends to the reader.
fn receive(
    replica: &mut RevisionReplica,
    from: usize,
    message: RevisionMessage,
) -> Option<RevisionMessage> {
    let event = RevisionEvent::Peer(host(from), message);
    let actions = replica.handle(Moment::START, event);
    actions.into_iter().find_map(|action| match action {
        RevisionAction::Send(to, message @ RevisionMessage::Change { .. }) => {
            (to == host(READER)).then_some(message)
        }
        _ => None,
    })
}

// Guards against a relay that compares two large values for a change that it was sent.
#[test]
fn received_change() {
    let second = published(RULES_VALUE, 2, rules_body(2, 20));
    let change = receive(&mut relay(), ORIGIN, RevisionMessage::Whole(second));
    let Some(RevisionMessage::Change {
        name,
        from,
        to,
        checksum,
        patch,
    }) = change
    else {
        panic!("no change is sent");
    };
    let received = RevisionMessage::Change {
        name,
        from,
        to,
        checksum,
        patch: format!(" {patch}"),
    };
    let passed_on = receive(&mut relay(), ORIGIN, received.clone());
    assert_eq!(passed_on, Some(received));
}
