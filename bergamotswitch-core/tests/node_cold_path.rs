//! The first request of a shard waits for no dial and no heartbeat interval.

mod entry_support;
mod node_support;

use std::collections::BTreeSet;

use entry_support::*;
use node_support::*;

/// So many that `me` is no candidate of the shards below.
const HOSTS: &[&str] = &[
    "me", "h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9", "h10", "h11", "h12",
];

/// Get a host in `north` that is linked to all others, of a pool with one
/// order for each failure domain.
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

/// Let time pass while all peers answer heartbeats; get who was sent some.
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

/// Answer the heartbeats that were sent; get the peers.
fn answer(node: &mut TestNode) -> Vec<HostName> {
    let mut peers = Vec::new();
    for action in std::mem::take(&mut node.actions) {
        if let NodeAction::Send(host, LinkMessage::Heartbeat(beat)) = action
            && beat.sequence > 0
        {
            node.message(host.as_str(), LinkMessage::Heartbeat(reply(beat.sequence)));
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
    let asks = node.count(|action| {
        matches!(
            action,
            NodeAction::Send(_, LinkMessage::ToOwner(OwnerMessage::Ask(_)))
        )
    });
    asks > 0
}

fn in_domain(domain: &str) -> Submission {
    let mut submission = submission();
    submission.verdict.domains = vec![name(domain)];
    submission
}

// Symptom: the first request of a shard takes half a second.
// Sequence: a host that is no candidate gets its first request of the day.
// Cause: it dials the owner and exchanges heartbeats only then.
#[test]
fn own_domain_warm() {
    let mut node = linked_node();
    answered(&mut node, Duration::from_secs(2));
    node.actions.clear();
    node.submit(in_domain("north"));
    assert!(asked(&node), "asks at once");
}

// Symptom: a caller that comes every few seconds waits for a dial each time.
// Sequence: a request of another domain's shard ends; the next one comes soon.
// Cause: the link to the owner was dropped when nothing waited any more.
#[test]
fn kept_in_use() {
    let mut node = linked_node();
    let idle = answered(&mut node, Duration::from_secs(3));
    let id = node.submit(in_domain("south"));
    let busy = answered(&mut node, Duration::from_secs(3));
    let owners: Vec<&HostName> = busy.difference(&idle).collect();
    assert_eq!(owners.len(), 1, "one more host is watched: {busy:?}");
    node.event(NodeEvent::CallerDisconnected(id));
    let later = answered(&mut node, Duration::from_secs(50));
    assert_eq!(later, busy);
    answered(&mut node, Duration::from_secs(15));
    assert_eq!(answered(&mut node, Duration::from_secs(5)), idle);
}

// Symptom: for half a second after a start no request finds its owner.
// Sequence: two candidates link; each one's heartbeat waits for the other's
// next one to be answered.
// Cause: candidates answer by their own heartbeats only.
#[test]
fn first_beat_answered() {
    let mut node = TestNode::serving(&["me", "peer"], json!({}));
    node.link_up("peer");
    let beats = |node: &TestNode, heard: u64| {
        node.count(|action| {
            matches!(action, NodeAction::Send(_, LinkMessage::Heartbeat(beat)) if beat.heard == heard)
        })
    };
    assert_eq!(beats(&node, 0), 1, "one goes out at once");
    for sequence in [1, 2] {
        let beat = Heartbeat {
            sequence,
            ..reply(0)
        };
        node.message("peer", LinkMessage::Heartbeat(beat));
    }
    assert_eq!(beats(&node, 1), 1, "the first is answered at once");
    assert_eq!(beats(&node, 2), 0, "the next by the next heartbeat");
}

// Symptom: a request that must not run twice runs again after a quick restart
// of its shard's owner.
// Sequence: the owner restarts before anyone suspects it; the request is sent
// again, unmarked, at another host.
// Cause: the new run was told of no keys, as the owner's name is the same.
#[test]
fn restarted_owner_retold() {
    let mut node = linked_node();
    answered(&mut node, Duration::from_secs(2));
    node.actions.clear();
    let mut alert = alert("a");
    alert.verdict.domains = vec![name("north")];
    node.submit(alert);
    let owner = node.actions.iter().find_map(|action| match action {
        NodeAction::Send(host, LinkMessage::ToOwner(OwnerMessage::Ask(_))) => Some(host.clone()),
        _ => None,
    });
    let owner = owner.expect("asked");
    node.actions.clear();
    let mut run = run(owner.as_str());
    run.incarnation = Incarnation(999);
    node.event(NodeEvent::Link(LinkEvent::Up(run)));
    // The key of a request that waits comes with its ask.
    let retold = node.count(|action| match action {
        NodeAction::Send(to, LinkMessage::ToOwner(message)) if *to == owner => match message {
            OwnerMessage::Retell { .. } => true,
            OwnerMessage::Ask(ask) => ask.claim.is_some(),
            _ => false,
        },
        _ => false,
    });
    assert_eq!(retold, 2, "{:?}", node.actions);
}
