//! Calls that must not run twice, while it is in doubt who orders their shard.

mod entry_support;
mod node_support;

use bergamotswitch_core::refusal::RunClaim;
use bergamotswitch_core::rendezvous;
use entry_support::*;
use node_support::net::*;

/// Longer than a new owner takes to be sure that it is the only one.
const SETTLE: Duration = Duration::from_secs(4);

/// Get the hosts in the order in which they may own the shard.
fn candidates() -> [usize; 3] {
    let names: Vec<HostName> = HOSTS.iter().map(|host| name(host)).collect();
    let ranked = rendezvous::rank(&shard(), names.iter());
    std::array::from_fn(|place| index(&ranked[place]))
}

fn cut(net: &mut NodeNet, a: usize, b: usize) {
    net.cuts.insert((a.min(b), a.max(b)));
}

// Symptom: ten alerts with one key each, sent to all hosts at once, ran twice in
// all ten rounds.
// Sequence: the path between two hosts fails, a third one reaches both; the
// second candidate misses the first and orders the shard beside it.
// Cause: each of them knew its own keys alone, and took that for all.
#[test]
fn two_owners() {
    let mut net = NodeNet::start_with("plain");
    let [first, second, third] = candidates();
    cut(&mut net, first, second);
    net.advance(Duration::from_secs(3));
    assert_eq!(net.owners().len(), 2, "both order the shard");
    for round in 0..10 {
        for host in [first, second, third] {
            net.nodes[host].submit(alert(&format!("alert-{round}")));
        }
        net.advance(Duration::from_millis(100));
    }
    net.advance(SETTLE);
    assert_eq!(net.started.len(), 4, "one run a target: {:?}", net.started);
    let at_second = net.started.iter().filter(|(host, _)| *host == second);
    assert_eq!(at_second.count(), 0);
    // Heals: what waited at the second one is known to the first.
    net.cuts.clear();
    net.advance(Duration::from_secs(10));
    assert_eq!(net.owners(), [first]);
    assert_eq!(net.started.len(), 4, "{:?}", net.started);
}

// Symptom: an alert runs twice while no host reaches another. Sequence: all
// paths fail; each host orders the shard, or admits by its own fraction.
// Cause: as before. What cannot be known to run once does not run, and its
// caller is told so.
#[test]
fn lone_hosts() {
    let mut net = NodeNet::start_with("plain");
    for (a, b) in [(0, 1), (0, 2), (1, 2)] {
        cut(&mut net, a, b);
    }
    net.advance(Duration::from_secs(8));
    for host in 0..HOSTS.len() {
        net.nodes[host].submit(alert("alert"));
        net.nodes[host].submit(submission());
    }
    net.advance(DEADLINE + Duration::from_secs(1));
    // What may be repeated runs everywhere.
    assert_eq!(net.started.len(), HOSTS.len(), "{:?}", net.started);
    let refused = net
        .concluded
        .iter()
        .filter(|(_, conclusion)| match conclusion {
            Conclusion::Refused(refusal) => refusal.claim() == RunClaim::NotRun,
            _ => false,
        });
    assert_eq!(refused.count(), HOSTS.len(), "{:?}", net.concluded);
}

// An alert in good health waits for nothing, and for a bounded time after the
// owner's death: it is noticed after two to two and a half seconds, and the next
// owner is sure some two and a half later.
#[test]
fn bounded_wait() {
    let mut net = NodeNet::start_with("plain");
    let [first, second, third] = candidates();
    net.nodes[third].submit(alert("calm"));
    net.advance(Duration::from_millis(50));
    assert_eq!(net.started.len(), 1, "at once");
    cut(&mut net, first, second);
    cut(&mut net, first, third);
    net.nodes[third].submit(alert("after"));
    net.advance(Duration::from_secs(6));
    assert_eq!(net.started.len(), 2, "{:?}", net.started);
    // Its copy at the second host is known there.
    net.nodes[second].submit(alert("after"));
    net.nodes[second].submit(alert("calm"));
    net.advance(Duration::from_secs(1));
    assert_eq!(net.started.len(), 2, "{:?}", net.started);
}

// Symptom: alerts at a host that has slept get no answer any more. Sequence: the
// shard's owner sleeps for some seconds; its stand-in gives way; the others
// follow it again. Cause: it never became sure again.
#[test]
fn woken_owner() {
    let mut net = NodeNet::start_with("plain");
    let [first, second, _] = candidates();
    net.nodes[first].submit(alert("before"));
    net.advance(Duration::from_millis(50));
    net.freeze(first, Duration::from_secs(6));
    assert!(net.owners().contains(&second));
    net.nodes[first].submit(alert("woken"));
    net.nodes[second].submit(alert("meanwhile"));
    net.advance(Duration::from_secs(9));
    assert_eq!(net.owners(), [first]);
    assert_eq!(net.started.len(), 3, "{:?}", net.started);
}
