//! Tests of the handover of shards between hosts, and of steering callers away from a
//! loaded host.

mod entry_support;
mod node_support;

use bergamotswitch_core::address::{AddressQuery, CallerHash};
use bergamotswitch_core::call_signature::CallSignature;
use bergamotswitch_core::permit::ReturnPromise;
use bergamotswitch_core::rendezvous;
use entry_support::*;
use node_support::net::*;
use node_support::*;

// Guards against requests that wait for seconds because the next candidate or the
// requesting host learns too late that the owner stops.
#[test]
fn stopping_owner() {
    let mut net = NodeNet::start();
    let owner = net.owners()[0];
    let user = (owner + 1) % HOSTS.len();
    for _ in 0..6 {
        net.nodes[user].submit(submission());
    }
    net.advance(Duration::from_millis(100));
    net.asked.clear();
    net.nodes[owner].event(NodeEvent::Stop);
    net.advance(Duration::from_millis(100));
    let next = net.owners().into_iter().find(|at| *at != owner);
    let next = next.expect("another owner at once");
    if next != user {
        assert_eq!(net.asked.iter().filter(|to| index(to) == next).count(), 2);
    }
    let queued = |net: &NodeNet| {
        let node = &net.nodes[next];
        let view = &node.core.view(node.now).shards[0];
        view.queued.iter().map(|tier| tier.requests).sum::<usize>()
    };
    assert_eq!(
        queued(&net),
        2,
        "pending permit requests move to the new owner"
    );
    net.advance(Duration::from_millis(1_100));
    assert_eq!(
        net.owners(),
        [next],
        "the stopping host no longer owns the shard"
    );
}

// Guards against permit requests that wait for their retry interval after an owner gave
// way to an earlier candidate: it notifies the hosts with queued ones.
#[test]
fn ceasing_owner_notifies() {
    let hosts: Vec<HostName> = HOSTS.iter().map(|host| name(host)).collect();
    let ranked = rendezvous::rank(&shard(), hosts.iter());
    let [first, requester, acting] = ranked.as_slice() else {
        panic!("{ranked:?}");
    };
    let mut node = node_with_hosts(acting.as_str(), HOSTS, json!({"token_limit": 1}));
    node.advance(Duration::from_secs(8));
    assert_eq!(node.core.view(node.now).owns, [shard()]);
    for host in [first, requester] {
        node.link_up(host.as_str());
    }
    for _ in 0..6 {
        node.submit(submission());
    }
    let permit_request = OwnerMessage::PermitRequest(Box::new(node_support::permit_request_of(
        requester.as_str(),
    )));
    node.message(requester.as_str(), LinkMessage::ToOwner(permit_request));
    let mut notified = Vec::new();
    let owns = |node: &TestNode| !node.core.view(node.now).owns.is_empty();
    for _ in 0..100 {
        for action in std::mem::take(&mut node.actions) {
            match action {
                NodeAction::Send(host, LinkMessage::Heartbeat(heartbeat))
                    if heartbeat.sequence > 0 =>
                {
                    let heard = heartbeat.sequence;
                    let reply = Heartbeat {
                        sequence: 0,
                        heard,
                        ..heartbeat
                    };
                    node.message(host.as_str(), LinkMessage::Heartbeat(reply));
                }
                NodeAction::Send(host, LinkMessage::FromOwner(OwnerReply::NotOwner { .. })) => {
                    notified.push(host);
                }
                _ => {}
            }
        }
        node.advance(Duration::from_millis(100));
    }
    assert!(!owns(&node), "an earlier candidate has returned");
    assert!(notified.iter().eq([requester]), "{notified:?}");
}

// Guards against a host that is overloaded but named first to callers, because its load
// is not reported.
#[test]
fn loaded_host_last() {
    let mut node = TestNode::serving(&["me", "h1"], json!({}));
    node.link_up("h1");
    node.send_heartbeat("h1", 0);
    node.event(NodeEvent::HostLoad(950));
    for number in 0..20 {
        let query = AddressQuery {
            account: name(&format!("account-{number}")),
            caller: CallerHash::default(),
            domain: None,
        };
        assert_eq!(node.core.address(&query).hosts[0].host, "h1");
    }
    node.actions.clear();
    node.advance(Duration::from_secs(1));
    let loads = |action: &NodeAction| match action {
        NodeAction::Send(_, LinkMessage::Heartbeat(heartbeat)) => heartbeat.load_permille == 950,
        _ => false,
    };
    assert!(node.count(loads) > 0);
}

// Guards against promises to refused callers that are lost with an owner that stops.
#[test]
fn promises_handed_over() {
    let mut net = NodeNet::start();
    for node in &mut net.nodes {
        node.publish("limits", json!({"return_room_permille": 500}));
    }
    let owner = net.owners()[0];
    let promise = ReturnPromise {
        signature: CallSignature::new(&name("crew"), 1),
        tier: Tier(1),
        account: name("crew"),
        due_in_ms: 2_000,
        expires_in_ms: 3_000,
    };
    let message = OwnerMessage::Promises {
        shard: shard(),
        promises: vec![promise],
    };
    let sender = HOSTS[(owner + 1) % HOSTS.len()];
    net.nodes[owner].message(sender, LinkMessage::ToOwner(message));
    let promised = |net: &NodeNet, at: usize| {
        let node = &net.nodes[at];
        node.core.view(node.now).shards[0].promised
    };
    assert_eq!(promised(&net, owner), 1);
    net.nodes[owner].event(NodeEvent::Stop);
    net.advance(Duration::from_millis(100));
    let next = net.owners().into_iter().find(|at| *at != owner);
    assert_eq!(promised(&net, next.expect("another owner")), 1);
}
