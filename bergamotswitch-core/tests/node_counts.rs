//! Tests of the counters of degraded admissions, resubmission exposure and refusals.

mod entry_support;
mod node_support;

use bergamotswitch_core::node::NodeCounts;
use bergamotswitch_core::rendezvous;
use entry_support::*;
use node_support::*;

const HOSTS: &[&str] = &["h1", "h2", "h3", "h4", "h5"];

/// Get a host that is not a candidate of the pool's shard.
fn non_candidate() -> TestNode {
    let hosts: Vec<HostName> = HOSTS.iter().map(|host| name(host)).collect();
    let ranked = rendezvous::rank(&shard(), hosts.iter());
    node_with_hosts(ranked[4].as_str(), HOSTS, json!({}))
}

// Guards against uncounted admissions and keys while no candidate of the shard is
// reachable.
#[test]
fn degraded_counted() {
    let mut node = non_candidate();
    node.advance(Duration::from_secs(10));
    node.start(submission());
    node.start(keyed_submission("a"));
    let mut marked = keyed_submission("b");
    marked.resubmission = true;
    node.submit(marked);
    let counts = node.core.view(node.now).counts;
    assert_eq!(counts.unmarked_exposure, 1, "only the unmarked request");
    assert!(counts.degraded_admissions >= 2, "{counts:?}");
}

#[test]
fn owned_shard_uncounted() {
    let mut node = TestNode::serving(&["me"], json!({}));
    node.start(keyed_submission("a"));
    let counts = node.core.view(node.now).counts;
    assert_eq!(counts, NodeCounts::default());
}

// Guards against refusals of accepted requests that are counted without their tier.
#[test]
fn refusals_by_tier() {
    let mut node = TestNode::serving(&["me"], json!({"token_limit": 1}));
    for _ in 0..6 {
        node.submit(submission());
    }
    let tier = submission().verdict.tier;
    let waits = |action: &NodeAction| matches!(action, NodeAction::CountWait(found, span) if *found == tier && span.is_zero());
    assert_eq!(node.count(waits), 4, "one per target, without delay");
    node.advance(Duration::from_secs(40));
    let reason = RefusalReason::DeadlinePassed;
    let refused = node.count(|action| *action == NodeAction::CountRefusal(tier, reason));
    let concluded = node.count(|action| {
        matches!(action, NodeAction::Conclude(_, Conclusion::Refused(refusal)) if refusal.reason() == reason)
    });
    assert_eq!((refused, concluded), (2, 2));
}
