//! Tests that the first request of a shard waits neither for a connection nor for a
//! heartbeat interval.

mod entry_support;
mod node_support;

use std::collections::BTreeSet;

use entry_support::*;
use node_support::*;

/// Enough hosts that `me` is no candidate of the shards below.
const HOSTS: &[&str] = &[
    "me", "h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9", "h10", "h11", "h12",
];

/// Get a host in `north` that is linked to all others, with a pool that has one shard
/// per failure domain.
fn linked_node() -> TestNode {
    let mut node = TestNode::serving(HOSTS, json!({}));
    let target = |name: &str, domain: &str, port: u16| {
        let address = format!("127.0.0.1:{port}");
        json!({"name": name, "domain": domain, "address": address})
    };
    let targets = [target("n0", "north", 7401), target("s0", "south", 7402)];
    let pool = json!({"name": "llm", "shard_by_domain": true, "targets": targets});
    node.publish("pools", json!({ "pools": [pool] }));
    for host in &HOSTS[1..] {
        node.link_up(host);
    }
    node
}

/// Advance the time while all peers answer heartbeats, and get the peers that were sent
/// some.
fn answered(node: &mut TestNode, span: Duration) -> BTreeSet<HostName> {
    let mut watched = BTreeSet::new();
    answer(node);
    let end = node.now.plus(span);
    while node.now < end {
        node.advance(Duration::from_millis(100));
        watched.extend(answer(node));
    }
    watched
}

/// Answer the heartbeats that were sent, and get the peers.
fn answer(node: &mut TestNode) -> Vec<HostName> {
    let mut peers = Vec::new();
    for action in std::mem::take(&mut node.actions) {
        if let NodeAction::Send(host, LinkMessage::Heartbeat(heartbeat)) = action
            && heartbeat.sequence > 0
        {
            node.message(
                host.as_str(),
                LinkMessage::Heartbeat(reply(heartbeat.sequence)),
            );
            peers.push(host);
        }
    }
    peers
}

fn reply(heard: u64) -> Heartbeat {
    Heartbeat {
        sequence: 0,
        heard,
        stopping: false,
        load_permille: 0,
    }
}

fn asked(node: &TestNode) -> bool {
    let permit_requests = node.count(|action| {
        matches!(
            action,
            NodeAction::Send(_, LinkMessage::ToOwner(OwnerMessage::PermitRequest(_)))
        )
    });
    permit_requests > 0
}

fn in_domain(domain: &str) -> Submission {
    let mut submission = submission();
    submission.verdict.domains = vec![name(domain)];
    submission
}

// Guards against a delay of the first request of a shard by a connection to its owner.
#[test]
fn own_domain_warm() {
    let mut node = linked_node();
    answered(&mut node, Duration::from_secs(2));
    node.actions.clear();
    node.submit(in_domain("north"));
    assert!(asked(&node), "the owner is asked at once");
}

// Guards against a new connection to the owner for each request of a shard that is used
// every few seconds.
#[test]
fn kept_in_use() {
    let mut node = linked_node();
    let idle = answered(&mut node, Duration::from_secs(3));
    let id = node.submit(in_domain("south"));
    let busy = answered(&mut node, Duration::from_secs(3));
    let owners: Vec<&HostName> = busy.difference(&idle).collect();
    assert_eq!(owners.len(), 1, "one more host is monitored: {busy:?}");
    node.event(NodeEvent::CallerDisconnected(id));
    let later = answered(&mut node, Duration::from_secs(50));
    assert_eq!(later, busy);
    answered(&mut node, Duration::from_secs(15));
    assert_eq!(answered(&mut node, Duration::from_secs(5)), idle);
}

// Guards against a delay after a start, when two candidates answer heartbeats only by
// their own next heartbeat.
#[test]
fn first_heartbeat_answered() {
    let mut node = TestNode::serving(&["me", "peer"], json!({}));
    node.link_up("peer");
    let heartbeats = |node: &TestNode, heard: u64| {
        node.count(|action| {
            matches!(action, NodeAction::Send(_, LinkMessage::Heartbeat(heartbeat)) if heartbeat.heard == heard)
        })
    };
    assert_eq!(heartbeats(&node, 0), 1, "one is sent at once");
    for sequence in [1, 2] {
        let heartbeat = Heartbeat {
            sequence,
            ..reply(0)
        };
        node.message("peer", LinkMessage::Heartbeat(heartbeat));
    }
    assert_eq!(heartbeats(&node, 1), 1, "the first is answered at once");
    assert_eq!(
        heartbeats(&node, 2),
        0,
        "the second is answered by the next heartbeat"
    );
}

// Guards against a second run of a non-repeatable request: its key is resent to an
// owner that restarted before it was suspected.
#[test]
fn restarted_owner_resynced() {
    let mut node = linked_node();
    answered(&mut node, Duration::from_secs(2));
    node.actions.clear();
    let mut alert = keyed_submission("a");
    alert.verdict.domains = vec![name("north")];
    node.submit(alert);
    let owner = node.actions.iter().find_map(|action| match action {
        NodeAction::Send(host, LinkMessage::ToOwner(OwnerMessage::PermitRequest(_))) => {
            Some(host.clone())
        }
        _ => None,
    });
    let owner = owner.expect("asked");
    node.actions.clear();
    let mut run = run(owner.as_str());
    run.incarnation = Incarnation(999);
    node.event(NodeEvent::Link(LinkEvent::Up(run)));
    // The key of a waiting request is part of its permit request.
    let resent = node.count(|action| match action {
        NodeAction::Send(to, LinkMessage::ToOwner(message)) if *to == owner => match message {
            OwnerMessage::Resync { .. } => true,
            OwnerMessage::PermitRequest(permit_request) => permit_request.claim.is_some(),
            _ => false,
        },
        _ => false,
    });
    assert_eq!(resent, 2, "{:?}", node.actions);
}
