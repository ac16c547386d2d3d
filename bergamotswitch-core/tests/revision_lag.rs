//! Tests of whether a host serves while a peer has a newer revision of a value.

mod replica_net;

use bergamotswitch_core::revision::RevisionMark;
use replica_net::*;

/// The interval between two changes, and their number, which stays within the
/// burst of the readers' budget.
const CHANGE_INTERVAL: Duration = Duration::from_millis(50);
const CHANGES: u64 = 10;
/// The interval at which the hosts are checked.
const STEP: Duration = Duration::from_millis(5);
/// A revision that a peer announces but never sends.
const UNSENT: u64 = 1_000;

fn caught_up(net: &Net, host: &HostName) -> bool {
    net.nodes[host].replica.is_caught_up(net.now)
}

/// Get a host that receives changes only from other hosts.
fn non_reader(net: &Net) -> HostName {
    let readers = net.readers();
    let mut hosts = net.nodes.keys();
    hosts
        .find(|host| !readers.contains(host))
        .cloned()
        .expect("a host that is not a reader")
}

/// Let the readers announce a revision to a host.
fn announce(net: &mut Net, to: &HostName, revision: u64) {
    let mark = RevisionMark {
        name: name(RULES_VALUE),
        revision: Revision(revision),
    };
    for reader in net.readers() {
        // Messages of readers without a link to the host are ignored.
        let message = RevisionMessage::Marks(vec![mark.clone()]);
        net.handle(to, RevisionEvent::Peer(reader, message));
    }
}

// Guards against a serving host that refuses callers as not ready whenever a
// peer announces a change before the change arrives.
#[test]
fn announced_before_change() {
    let mut net = Net::converged(8, 2);
    let host = non_reader(&net);
    for revision in 2..2 + CHANGES {
        net.publish_rules(revision, Duration::ZERO);
        announce(&mut net, &host, revision);
        let until = net.now.plus(CHANGE_INTERVAL);
        while net.now < until {
            assert!(caught_up(&net, &host), "revision {revision}");
            net.run(STEP);
        }
    }
    net.run(secs(2));
    let last = CHANGES + 1;
    assert_eq!(net.in_force_range(RULES_VALUE), (last, last));
}

// Guards against a host that keeps serving with withdrawn rules although it has
// known for long that its peers have a newer revision.
#[test]
fn long_lag() {
    let mut net = Net::converged(8, 2);
    let host = non_reader(&net);
    let tolerated = Duration::from_millis(900);
    let begun = net.now;
    while net.now < begun.plus(secs(2)) {
        announce(&mut net, &host, UNSENT);
        net.run(STEP);
        let waited = net.now.since(begun);
        assert!(caught_up(&net, &host) || waited > tolerated, "{waited:?}");
    }
    assert!(!caught_up(&net, &host));
}

// Guards against a paused host that serves on resuming because it was caught
// up before.
#[test]
fn lag_after_pause() {
    let mut net = Net::converged(8, 2);
    let host = non_reader(&net);
    net.pause(&host);
    net.run(secs(5));
    net.resume(&host, secs(5));
    announce(&mut net, &host, UNSENT);
    assert!(!caught_up(&net, &host));
}
