//! A link between an entry host and an owner closes, and another one opens.

mod entry_support;
mod node_support;

use bergamotswitch_core::entry::AttemptEvent;
use entry_support::*;
use node_support::net::*;
use node_support::*;

/// The requests that the pool serves at once.
const SLOTS: usize = 4;
/// Shorter than what makes a host suspect another one.
const OUTAGE: Duration = Duration::from_millis(200);
/// Within this time the owner knows again what its entry hosts hold.
const PROMPTLY: Duration = Duration::from_millis(200);

fn permits(net: &NodeNet, owner: usize) -> usize {
    let node = &net.nodes[owner];
    node.core.view(node.now).shards[0].in_flight
}

/// Let the runs that a host began end well.
fn finish(net: &mut NodeNet, host: usize) {
    let started = std::mem::take(&mut net.started);
    for (_, attempt) in started.into_iter().filter(|(at, _)| *at == host) {
        let finished = AttemptEvent::Finished(usage());
        net.nodes[host].event(NodeEvent::Attempt(attempt, finished));
    }
}

// Symptom: callers wait for half a minute although targets are idle, after one
// host has slept for some seconds. Sequence: its peers close its links while it
// sleeps; its runs end, and what it gives back goes into closed links; it links
// again to the owner that it followed before. Cause: nobody looked at what was
// lost with the link; the owner counted those permits until their audit.
#[test]
fn lost_releases() {
    let mut net = NodeNet::start();
    let owner = net.owners()[0];
    let entry = (owner + 1) % HOSTS.len();
    for _ in 0..SLOTS {
        net.nodes[entry].submit(submission());
    }
    net.advance(PROMPTLY);
    assert_eq!(permits(&net, owner), SLOTS);
    net.cut(entry, owner);
    finish(&mut net, entry);
    net.advance(OUTAGE);
    assert_eq!(permits(&net, owner), SLOTS, "nothing got through");
    net.heal(entry, owner);
    net.advance(PROMPTLY);
    assert_eq!(net.owners(), [owner], "nobody took over");
    assert_eq!(permits(&net, owner), 0);
}

// Symptom: as above, for calls that wait: they stand still for the time after
// which they are asked for again. Sequence: their asks are sent into a link that
// has closed. Cause: as above.
#[test]
fn lost_asks() {
    let mut net = NodeNet::start();
    let owner = net.owners()[0];
    let entry = (owner + 1) % HOSTS.len();
    net.cut(entry, owner);
    net.nodes[entry].submit(submission());
    net.advance(OUTAGE);
    assert!(net.started.is_empty());
    net.heal(entry, owner);
    net.advance(PROMPTLY);
    assert_eq!(net.started.len(), 1);
}

// Symptom: none; what runs must not be taken for lost. Sequence: the link closes
// and opens while all runs go on. A permit freed then would be a second run on a
// slot that is taken.
#[test]
fn kept_permits() {
    let mut net = NodeNet::start();
    let owner = net.owners()[0];
    let entry = (owner + 1) % HOSTS.len();
    for _ in 0..SLOTS + 1 {
        net.nodes[entry].submit(submission());
    }
    net.advance(PROMPTLY);
    net.cut(entry, owner);
    net.advance(OUTAGE);
    net.heal(entry, owner);
    net.advance(PROMPTLY);
    assert_eq!(permits(&net, owner), SLOTS);
    assert_eq!(net.started.len(), SLOTS);
    finish(&mut net, entry);
    net.advance(PROMPTLY);
    assert_eq!(net.started.len(), 1, "the one that waited");
}
