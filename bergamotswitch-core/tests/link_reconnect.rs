//! Tests of a link between an entry host and an owner that closes and is opened
//! again.

mod entry_support;
mod node_bench;

use bergamotswitch_core::entry::AttemptEvent;
use entry_support::*;
use node_bench::net::*;
use node_bench::*;

/// The number of requests that the pool serves concurrently.
const SLOTS: usize = 4;
/// Shorter than the suspicion timeout.
const OUTAGE: Duration = Duration::from_millis(200);
/// The time within which the owner knows the permits of its entry hosts again.
const SYNC_TIME: Duration = Duration::from_millis(200);

fn permits(net: &NodeNet, owner: usize) -> usize {
    let node = &net.nodes[owner];
    node.core.view(node.now).shards[0].in_flight
}

/// Finish the attempts that a host started.
fn finish(net: &mut NodeNet, host: usize) {
    let started = std::mem::take(&mut net.started);
    for (_, attempt) in started.into_iter().filter(|(at, _)| *at == host) {
        let finished = AttemptEvent::Finished(usage());
        net.nodes[host].event(NodeEvent::Attempt(attempt, finished));
    }
}

// Guards against permits that stay in use until the owner's audit because their
// release was sent into a closed link.
#[test]
fn lost_releases() {
    let mut net = NodeNet::start();
    let owner = net.owners()[0];
    let entry = (owner + 1) % HOSTS.len();
    for _ in 0..SLOTS {
        net.nodes[entry].submit(submission());
    }
    net.pass(SYNC_TIME);
    assert_eq!(permits(&net, owner), SLOTS);
    net.cut(entry, owner);
    finish(&mut net, entry);
    net.pass(OUTAGE);
    assert_eq!(permits(&net, owner), SLOTS, "no release arrived");
    net.heal(entry, owner);
    net.pass(SYNC_TIME);
    assert_eq!(net.owners(), [owner], "the owner has not changed");
    assert_eq!(permits(&net, owner), 0);
}

// Guards against queued requests that wait for their retry because they were
// sent into a closed link.
#[test]
fn lost_requests() {
    let mut net = NodeNet::start();
    let owner = net.owners()[0];
    let entry = (owner + 1) % HOSTS.len();
    net.cut(entry, owner);
    net.nodes[entry].submit(submission());
    net.pass(OUTAGE);
    assert!(net.started.is_empty());
    net.heal(entry, owner);
    net.pass(SYNC_TIME);
    assert_eq!(net.started.len(), 1);
}

// Guards against running requests that are taken for lost when a link is
// reopened: a permit freed then would put a second request on an occupied slot.
#[test]
fn kept_permits() {
    let mut net = NodeNet::start();
    let owner = net.owners()[0];
    let entry = (owner + 1) % HOSTS.len();
    for _ in 0..SLOTS + 1 {
        net.nodes[entry].submit(submission());
    }
    net.pass(SYNC_TIME);
    net.cut(entry, owner);
    net.pass(OUTAGE);
    net.heal(entry, owner);
    net.pass(SYNC_TIME);
    assert_eq!(permits(&net, owner), SLOTS);
    assert_eq!(net.started.len(), SLOTS);
    finish(&mut net, entry);
    net.pass(SYNC_TIME);
    assert_eq!(net.started.len(), 1, "the queued request");
}
