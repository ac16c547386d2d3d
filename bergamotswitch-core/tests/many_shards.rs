//! Tests of failed-target reports in a fleet with many shards.

mod entry_support;
mod node_support;

use bergamotswitch_core::permit::FailedTarget;
use entry_support::*;
use node_support::net::*;
use node_support::*;

/// The number of shards for which reports are kept.
const SHARDS: usize = 64;
/// The interval between two reports.
const STEP: Duration = Duration::from_millis(5);
/// Longer than the detection of an unreachable owner, shorter than the retention of
/// reports.
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

/// Get whether the first target is backed off at every owner that has taken over from
/// the former one.
fn is_backed_off(net: &NodeNet, former: usize) -> bool {
    let mut owners = net.owners();
    owners.retain(|owner| *owner != former);
    assert!(!owners.is_empty(), "no host took over");
    owners.iter().all(|owner| {
        let node = &net.nodes[*owner];
        node.core.view(node.now).shards[0].targets[0].backed_off
    })
}

/// Deliver the reports to all other hosts and disconnect the owner; get whether its
/// successors back off the target.
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

// Guards against dropping the reports of all shards when one is updated at the limit.
#[test]
fn updated_report() {
    let mut reports = vec![report(shard())];
    reports.extend((1..SHARDS).map(|number| report(other_shard(number))));
    assert!(after_reports(&reports));
    reports.push(report(other_shard(1)));
    assert!(after_reports(&reports));
}

// Guards against dropping more than the oldest report when one shard exceeds the limit.
#[test]
fn report_beyond_limit() {
    let mut reports = vec![report(other_shard(0)), report(shard())];
    reports.extend((1..SHARDS).map(|number| report(other_shard(number))));
    assert!(after_reports(&reports));
}
