//! Provides a host's decision logic with a simulated clock, and one pool of four
//! targets.

// Each test file uses a part of this module.
#![allow(dead_code)]

pub mod fault_net;
pub mod net;

pub use bergamotswitch_core::link::{Heartbeat, LinkEvent, LinkMessage};
pub use bergamotswitch_core::node::{NodeAction, NodeCore, NodeEvent, NodeOptions};
pub use bergamotswitch_core::revision::{PublishedValue, Revision, ValueName};
pub use serde_json::{Value, json};

use crate::entry_support::*;

/// Longer than a starting host waits for peers.
const START: Duration = Duration::from_secs(6);

pub struct TestNode {
    pub core: NodeCore,
    pub now: Moment,
    pub actions: Vec<NodeAction>,
    revision: u64,
}

pub fn run(host: &str) -> HostIncarnation {
    let bytes = host.bytes().map(u128::from);
    HostIncarnation {
        host: host.to_owned().try_into().expect("name"),
        incarnation: Incarnation(bytes.fold(0, |number, byte| number * 256 + byte)),
    }
}

fn host_entry(index: usize, name: &str) -> Value {
    json!({
        "name": name,
        "domain": "north",
        "caller_address": format!("127.0.0.1:{}", 7100 + index),
        "link_address": format!("127.0.0.1:{}", 7200 + index),
    })
}

fn target_entry(index: usize, fields: &Value) -> Value {
    let address = format!("127.0.0.1:{}", 7400 + index);
    let mut entry = json!({"name": format!("t{index}"), "domain": "north", "address": address});
    for (key, value) in fields.as_object().into_iter().flatten() {
        entry[key] = value.clone();
    }
    entry
}

/// Get a host that has just adopted the fleet's published values.
pub fn node_with_hosts(host: &str, hosts: &[&str], target: Value) -> TestNode {
    node_with_pool_kind(host, hosts, target, "engine")
}

/// Get a host that has just adopted the published values of a fleet with a pool of this
/// kind.
pub fn node_with_pool_kind(host: &str, hosts: &[&str], target: Value, kind: &str) -> TestNode {
    let mut node = TestNode::new(host);
    node.adopt(hosts, &target, kind);
    node
}

/// Get a new process of a host that has just adopted the published values of a fleet
/// with an engine pool.
pub fn node_started_at(
    now: Moment,
    run: HostIncarnation,
    hosts: &[&str],
    target: &Value,
) -> TestNode {
    let mut node = TestNode::of_run(run, now);
    node.adopt(hosts, target, "engine");
    node
}

/// Get a permit request of a peer for the shard of the test pool.
pub fn permit_request_of(peer: &str) -> PermitRequest {
    let request = RequestId {
        incarnation: run(peer).incarnation,
        sequence: 1_000,
    };
    let submission = submission();
    PermitRequest {
        quota_units: 0,
        first_answer_ms: None,
        attempt: AttemptId {
            request,
            attempt: 0,
        },
        shard: shard(),
        tier: submission.verdict.tier,
        account: submission.account,
        share: 1,
        cost: submission.cost,
        prefixes: Vec::new(),
        deadline_ms: 30_000,
        waited_ms: 0,
        domains: Vec::new(),
        avoid: Vec::new(),
        preemptible: false,
        claim: None,
    }
}

impl TestNode {
    /// Get a ready host named `me` with the default limits.
    pub fn serving(hosts: &[&str], target: Value) -> Self {
        let mut node = node_with_hosts("me", hosts, target);
        node.advance(START);
        assert!(node.core.is_ready(node.now));
        node.actions.clear();
        node
    }

    fn new(host: &str) -> Self {
        TestNode::of_run(run(host), Moment::START)
    }

    fn of_run(run: HostIncarnation, now: Moment) -> Self {
        let domain = "north".to_owned().try_into().expect("name");
        let core = NodeCore::new(run, domain, NodeOptions::default(), now);
        TestNode {
            core,
            now,
            actions: Vec::new(),
            revision: 0,
        }
    }

    /// Publish the values of a fleet with one pool of four targets.
    fn adopt(&mut self, hosts: &[&str], target: &Value, kind: &str) {
        let hosts = hosts.iter().enumerate();
        let hosts: Vec<Value> = hosts.map(|(index, name)| host_entry(index, name)).collect();
        let targets: Vec<Value> = (0..4).map(|index| target_entry(index, target)).collect();
        let pool = json!({"name": "llm", "kind": kind, "targets": targets});
        let key_hash = "0".repeat(64);
        self.publish("hosts", json!({ "hosts": hosts }));
        self.publish("pools", json!({ "pools": [pool] }));
        self.publish(
            "rules",
            json!({"rules": [{"name": "all", "then": {"tier": 1}}]}),
        );
        self.publish(
            "accounts",
            json!({"accounts": [{"name": "crew", "key_hash": key_hash}]}),
        );
    }

    pub fn publish(&mut self, name: &str, body: Value) {
        self.revision += 1;
        let value = PublishedValue {
            name: ValueName::try_from(name).expect("name"),
            revision: Revision(self.revision),
            body: body.to_string(),
        };
        self.event(NodeEvent::Read(value));
        let revisions = self.core.view(self.now).revisions;
        let standing = revisions
            .values
            .iter()
            .find(|value| value.name.as_str() == name);
        let in_force = standing.and_then(|value| value.in_force);
        assert_eq!(in_force, Some(Revision(self.revision)), "{name}");
    }

    pub fn event(&mut self, event: NodeEvent) {
        let actions = self.core.handle(self.now, event);
        self.actions.extend(actions);
    }

    pub fn link_up(&mut self, peer: &str) {
        self.event(NodeEvent::Link(LinkEvent::Up(run(peer))));
    }

    pub fn message(&mut self, peer: &str, message: LinkMessage) {
        self.event(NodeEvent::Link(LinkEvent::Message(run(peer), message)));
    }

    pub fn send_heartbeat(&mut self, peer: &str, load_permille: u16) {
        let heartbeat = Heartbeat {
            sequence: 1,
            heard: 1,
            stopping: false,
            load_permille,
        };
        self.message(peer, LinkMessage::Heartbeat(heartbeat));
    }

    pub fn advance(&mut self, span: Duration) {
        let end = self.now.plus(span);
        while self.core.next_wake() < end {
            self.now = self.now.max(self.core.next_wake());
            self.event(NodeEvent::Tick);
        }
        self.now = end;
        self.event(NodeEvent::Tick);
    }

    pub fn submit(&mut self, submission: Submission) -> RequestId {
        let (outcome, actions) = self.core.submit(self.now, submission);
        self.actions.extend(actions);
        match outcome {
            SubmitOutcome::Accepted(id) => id,
            other => panic!("not accepted: {other:?}"),
        }
    }

    /// Submit a request and get the attempt that is dispatched.
    pub fn start(&mut self, submission: Submission) -> AttemptId {
        let id = self.submit(submission);
        self.started(id).expect("dispatched")
    }

    /// Get the last dispatched attempt of a request.
    pub fn started(&self, id: RequestId) -> Option<AttemptId> {
        self.actions.iter().rev().find_map(|action| match action {
            NodeAction::Start { attempt, .. } if attempt.request == id => Some(*attempt),
            _ => None,
        })
    }

    /// Submit a request and complete it with an answer of this size.
    pub fn answer(&mut self, submission: Submission, bytes: u64) -> RequestId {
        let attempt = self.start(submission);
        let usage = Usage {
            prefill: 100,
            ..Usage::default()
        };
        self.event(NodeEvent::Attempt(attempt, AttemptEvent::Finished(usage)));
        self.event(NodeEvent::AnswerSize(attempt.request, bytes));
        attempt.request
    }

    pub fn count(&self, matches: impl Fn(&NodeAction) -> bool) -> u64 {
        self.actions.iter().filter(|action| matches(action)).count() as u64
    }
}
