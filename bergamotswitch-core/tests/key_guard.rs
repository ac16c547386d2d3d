//! Tests of keyed requests that must not run twice while the ownership of their shard
//! is uncertain.

mod entry_support;
mod node_support;

use bergamotswitch_core::refusal::RunClaim;
use bergamotswitch_core::rendezvous;
use entry_support::*;
use node_support::net::*;

/// Longer than a new owner needs for a stable quorum.
const SETTLE: Duration = Duration::from_secs(4);

/// Get the hosts in their order as candidates for the shard.
fn candidates() -> [usize; 3] {
    let names: Vec<HostName> = HOSTS.iter().map(|host| name(host)).collect();
    let ranked = rendezvous::rank(&shard(), names.iter());
    std::array::from_fn(|place| index(&ranked[place]))
}

fn cut(net: &mut NodeNet, a: usize, b: usize) {
    net.cuts.insert((a.min(b), a.max(b)));
}

// Guards against a second run of keyed requests while two candidates that cannot reach
// each other both act as owner.
#[test]
fn two_owners() {
    let mut net = NodeNet::start_with("plain");
    let [first, second, third] = candidates();
    cut(&mut net, first, second);
    net.advance(Duration::from_secs(3));
    assert_eq!(net.owners().len(), 2, "both act as owner");
    for round in 0..10 {
        for host in [first, second, third] {
            net.nodes[host].submit(keyed_submission(&format!("alert-{round}")));
        }
        net.advance(Duration::from_millis(100));
    }
    net.advance(SETTLE);
    assert_eq!(
        net.started.len(),
        4,
        "one run per target: {:?}",
        net.started
    );
    let at_second = net.started.iter().filter(|(host, _)| *host == second);
    assert_eq!(at_second.count(), 0);
    // After the partition, requests held at the second owner are recognized by the
    // first.
    net.cuts.clear();
    net.advance(Duration::from_secs(10));
    assert_eq!(net.owners(), [first]);
    assert_eq!(net.started.len(), 4, "{:?}", net.started);
}

// Guards against a second run of keyed requests while no host reaches another: they are
// refused as not run.
#[test]
fn isolated_hosts() {
    let mut net = NodeNet::start_with("plain");
    for (a, b) in [(0, 1), (0, 2), (1, 2)] {
        cut(&mut net, a, b);
    }
    net.advance(Duration::from_secs(8));
    for host in 0..HOSTS.len() {
        net.nodes[host].submit(keyed_submission("alert"));
        net.nodes[host].submit(submission());
    }
    net.advance(DEADLINE + Duration::from_secs(1));
    // Repeatable requests run on every host.
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

// A keyed request starts at once in a healthy fleet, and within six seconds after the
// loss of the owner.
#[test]
fn bounded_wait() {
    let mut net = NodeNet::start_with("plain");
    let [first, second, third] = candidates();
    net.nodes[third].submit(keyed_submission("calm"));
    net.advance(Duration::from_millis(50));
    assert_eq!(net.started.len(), 1, "starts at once");
    cut(&mut net, first, second);
    cut(&mut net, first, third);
    net.nodes[third].submit(keyed_submission("after"));
    net.advance(Duration::from_secs(6));
    assert_eq!(net.started.len(), 2, "{:?}", net.started);
    // The second host recognizes resubmissions by their keys.
    net.nodes[second].submit(keyed_submission("after"));
    net.nodes[second].submit(keyed_submission("calm"));
    net.advance(Duration::from_secs(1));
    assert_eq!(net.started.len(), 2, "{:?}", net.started);
}

// Guards against an owner that never regains its quorum after a pause of its process.
#[test]
fn paused_owner() {
    let mut net = NodeNet::start_with("plain");
    let [first, second, _] = candidates();
    net.nodes[first].submit(keyed_submission("before"));
    net.advance(Duration::from_millis(50));
    net.freeze(first, Duration::from_secs(6));
    assert!(net.owners().contains(&second));
    net.nodes[first].submit(keyed_submission("woken"));
    net.nodes[second].submit(keyed_submission("meanwhile"));
    net.advance(Duration::from_secs(9));
    assert_eq!(net.owners(), [first]);
    assert_eq!(net.started.len(), 3, "{:?}", net.started);
}

// Guards against a second run of an alert whose key is known to a listed host that has not
// connected yet: a new owner waits for such a host as long as for a connected one.
#[test]
fn unconnected_host() {
    let is_ranked_last = |extra: &str| {
        let names: Vec<HostName> = HOSTS
            .iter()
            .chain([&extra])
            .map(|host| name(host))
            .collect();
        rendezvous::rank(&shard(), names.iter()).last() == Some(&name(extra))
    };
    let mut extra = (3..100).map(|number| format!("h{number}"));
    let extra = extra.find(|extra| is_ranked_last(extra)).expect("a name");
    let listed: Vec<&str> = HOSTS.iter().copied().chain([extra.as_str()]).collect();
    let mut net = NodeNet::start_listed("plain", &listed);
    let [first, second, third] = candidates();
    net.advance(Duration::from_secs(8));
    cut(&mut net, first, second);
    cut(&mut net, first, third);
    net.advance(Duration::from_secs(3));
    assert_eq!(net.owners().len(), 2, "the second candidate has taken over");
    net.nodes[third].submit(keyed_submission("alert"));
    // Reports are awaited for seven seconds, then the majority has to be stable.
    net.advance(Duration::from_secs(6));
    assert_eq!(net.started.len(), 0, "{:?}", net.started);
    net.advance(Duration::from_secs(4));
    assert_eq!(net.started.len(), 1, "{:?}", net.started);
}
