//! Reports of failed targets in a fleet of many shards.

mod entry_support;
mod node_support;

use bergamotswitch_core::permit::FailedTarget;
use entry_support::*;
use node_support::net::*;
use node_support::*;

/// As many shards as reports are kept of.
const SHARDS: usize = 64;
/// The time between two reports.
const STEP: Duration = Duration::from_millis(5);
/// Longer than it takes to find an owner silent, shorter than reports are kept.
const TAKEOVER: Duration = Duration::from_secs(3);

fn report(shard: PoolShard) -> LinkMessage {
    LinkMessage::ToOwner(OwnerMessage::FailedTargets {
        shard,
        targets: vec![FailedTarget {
            target: name("t0"),
            started_at_ms: None,
            probe_in_ms: 10_000,
        }],
    })
}

fn other_shard(number: usize) -> PoolShard {
    PoolShard {
        pool: name(&format!("pool-{number}")),
        domain: None,
    }
}

/// Get whether the first target is backed off in the view of those who have taken
/// over from an owner.
fn is_backed_off(net: &NodeNet, former: usize) -> bool {
    let mut owners = net.owners();
    owners.retain(|owner| *owner != former);
    assert!(!owners.is_empty(), "nobody took over");
    owners.iter().all(|owner| {
        let node = &net.nodes[*owner];
        node.core.view(node.now).shards[0].targets[0].backed_off
    })
}

/// Let all hosts hear reports, the first of the test's shard, and lose its owner.
fn after_reports(reports: &[LinkMessage]) -> bool {
    let mut net = NodeNet::start();
    let owner = net.owners()[0];
    let others = (0..HOSTS.len()).filter(|host| *host != owner);
    for host in others.clone() {
        for message in reports {
            net.nodes[host].message(HOSTS[owner], message.clone());
            net.nodes[host].advance(STEP);
        }
        net.cut(owner, host);
    }
    net.advance(TAKEOVER);
    is_backed_off(&net, owner)
}

// Guards against a wave of refusals after a change of owner: the reports of all
// shards were dropped when one was told again.
#[test]
fn renewed_report() {
    let mut reports = vec![report(shard())];
    reports.extend((1..SHARDS).map(|number| report(other_shard(number))));
    assert!(after_reports(&reports));
    reports.push(report(other_shard(1)));
    assert!(after_reports(&reports));
}

// Guards against the same by a report of one shard more: the oldest gives way.
#[test]
fn further_report() {
    let mut reports = vec![report(other_shard(0)), report(shard())];
    reports.extend((1..SHARDS).map(|number| report(other_shard(number))));
    assert!(after_reports(&reports));
}
