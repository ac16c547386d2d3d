//! Provides the project's policy: a fleet of `NodeCore`s that exchange messages
//! over simulated links.

use std::collections::HashMap;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::{AttemptEvent, Conclusion, SubmitOutcome};
use bergamotswitch_core::host::{HostIncarnation, HostName, Incarnation};
use bergamotswitch_core::link::LinkEvent;
use bergamotswitch_core::node::{NodeAction, NodeCore, NodeEvent, NodeOptions};
use bergamotswitch_core::pool::PoolShard;
use bergamotswitch_core::refusal::RefusalReason;
use bergamotswitch_core::rendezvous;
use bergamotswitch_core::request::{AttemptId, PrefixHash, RequestId};
use bergamotswitch_core::revision::{LIMITS_VALUE, PublishedValue};
use bergamotswitch_core::target::{LoadReport, TargetName};

use crate::simulation::{PolicyCommand, TestPolicy};
use crate::traffic::{HOST_COUNT, OfferedRequest, TestDeployment};

struct NodeHost {
    incarnation: HostIncarnation,
    node: NodeCore,
    watches_targets: bool,
    linked: [bool; HOST_COUNT],
    alive: bool,
}

/// A `NodePolicy` is a fleet of hosts that run the production `NodeCore`.
pub struct NodePolicy {
    hosts: Vec<NodeHost>,
    names: Vec<HostName>,
    values: Vec<PublishedValue>,
    requests: HashMap<RequestId, usize>,
    /// Whether prefix hashes are sent to owners, for prefix-cache affinity.
    pub affinity: bool,
}

impl NodePolicy {
    pub fn new(deployment: &TestDeployment, opts: &NodeOptions) -> Self {
        let listed = &deployment.publication.hosts.hosts;
        let hosts = listed.iter().enumerate().map(|(index, host)| {
            let incarnation = HostIncarnation {
                host: host.name.clone(),
                incarnation: Incarnation(index as u128 + 1),
            };
            let node = NodeCore::new(
                incarnation.clone(),
                host.domain.clone(),
                opts.clone(),
                Moment::START,
            );
            NodeHost {
                incarnation,
                node,
                watches_targets: false,
                linked: [false; HOST_COUNT],
                alive: true,
            }
        });
        NodePolicy {
            hosts: hosts.collect(),
            names: listed.iter().map(|host| host.name.clone()).collect(),
            values: deployment.values.clone(),
            requests: HashMap::new(),
            affinity: true,
        }
    }

    /// Set the queue limit in the published limits.
    pub fn set_queue_limit(&mut self, millis: u64) {
        let limits = self.values.iter_mut();
        for value in limits.filter(|value| value.name.as_str() == LIMITS_VALUE) {
            let limit = format!("{{\"queue_limit_ms\":{millis},");
            value.body = value.body.replacen('{', &limit, 1);
        }
    }

    fn index_of(&self, name: &HostName) -> usize {
        self.names
            .iter()
            .position(|other| other == name)
            .expect("host not in the host list")
    }

    fn handle(&mut self, now: Moment, host: usize, event: NodeEvent) -> Vec<PolicyCommand> {
        let actions = self.hosts[host].node.handle(now, event);
        let mut commands = Vec::new();
        self.translate(now, host, actions, &mut commands);
        commands
    }

    fn translate(
        &mut self,
        now: Moment,
        host: usize,
        actions: Vec<NodeAction>,
        commands: &mut Vec<PolicyCommand>,
    ) {
        for action in actions {
            match action {
                NodeAction::Send(to, message) => {
                    let to = self.index_of(&to);
                    let event = LinkEvent::Message(self.hosts[host].incarnation.clone(), message);
                    commands.push(PolicyCommand::Link { to, event });
                }
                NodeAction::Connect(peer) => self.connect(host, &peer.name, commands),
                NodeAction::Read(name) => {
                    let found = self.values.iter().find(|value| value.name == name);
                    if let Some(value) = found.cloned() {
                        let more = self.hosts[host].node.handle(now, NodeEvent::Read(value));
                        self.translate(now, host, more, commands);
                    }
                }
                NodeAction::WatchTargets(targets) => {
                    self.hosts[host].watches_targets = !targets.is_empty();
                }
                NodeAction::Start {
                    attempt, target, ..
                } => {
                    let request = self.requests[&attempt.request];
                    commands.push(PolicyCommand::Start {
                        host,
                        attempt,
                        request,
                        target: target.name,
                    });
                }
                NodeAction::Abort { attempt, .. } => {
                    commands.push(PolicyCommand::Abort { attempt })
                }
                NodeAction::Conclude(id, conclusion) => {
                    // A refusal before the request got an ID is reported by
                    // `submit`.
                    if let Some(request) = self.requests.get(&id) {
                        let answered = conclusion == Conclusion::Answered;
                        commands.push(PolicyCommand::Conclude {
                            request: *request,
                            answered,
                        });
                    }
                }
                _ => {}
            }
        }
    }

    fn connect(&mut self, host: usize, peer: &HostName, commands: &mut Vec<PolicyCommand>) {
        let to = self.index_of(peer);
        if self.hosts[host].linked[to] || !self.hosts[to].alive {
            return;
        }
        self.hosts[host].linked[to] = true;
        self.hosts[to].linked[host] = true;
        let (local, remote) = (
            self.hosts[host].incarnation.clone(),
            self.hosts[to].incarnation.clone(),
        );
        commands.push(PolicyCommand::Link {
            to,
            event: LinkEvent::Up(local),
        });
        commands.push(PolicyCommand::Link {
            to: host,
            event: LinkEvent::Up(remote),
        });
    }
}

impl TestPolicy for NodePolicy {
    fn start(&mut self, now: Moment) -> Vec<PolicyCommand> {
        (0..HOST_COUNT)
            .flat_map(|host| self.handle(now, host, NodeEvent::Tick))
            .collect()
    }

    fn submit(
        &mut self,
        now: Moment,
        index: usize,
        request: &OfferedRequest,
    ) -> Vec<PolicyCommand> {
        let mut submission = request.submission.clone();
        if !self.affinity {
            submission.prefixes.clear();
        }
        let (outcome, actions) = self.hosts[request.host].node.submit(now, submission);
        let mut commands = Vec::new();
        match outcome {
            SubmitOutcome::Accepted(id) => {
                self.requests.insert(id, index);
            }
            SubmitOutcome::Refused(refusal) => {
                let ready = refusal.reason() != RefusalReason::NotReady;
                assert!(ready, "host not ready when the load starts");
                commands.push(PolicyCommand::Conclude {
                    request: index,
                    answered: false,
                });
            }
            other => panic!("unexpected outcome of a request without a key: {other:?}"),
        }
        self.translate(now, request.host, actions, &mut commands);
        commands
    }

    fn attempt(
        &mut self,
        now: Moment,
        host: usize,
        id: AttemptId,
        event: AttemptEvent,
    ) -> Vec<PolicyCommand> {
        self.handle(now, host, NodeEvent::Attempt(id, event))
    }

    fn load(&mut self, now: Moment, target: &TargetName, report: LoadReport) -> Vec<PolicyCommand> {
        let watching_hosts: Vec<usize> = self.watching_hosts();
        let event = NodeEvent::Load(target.clone(), report);
        watching_hosts
            .into_iter()
            .flat_map(|host| self.handle(now, host, event.clone()))
            .collect()
    }

    fn prefix(
        &mut self,
        now: Moment,
        target: &TargetName,
        prefix: PrefixHash,
        cached: bool,
    ) -> Vec<PolicyCommand> {
        if !self.affinity {
            return Vec::new();
        }
        let event = NodeEvent::Prefix(target.clone(), prefix, cached);
        let watching_hosts: Vec<usize> = self.watching_hosts();
        watching_hosts
            .into_iter()
            .flat_map(|host| self.handle(now, host, event.clone()))
            .collect()
    }

    fn link(&mut self, now: Moment, host: usize, event: LinkEvent) -> Vec<PolicyCommand> {
        self.handle(now, host, NodeEvent::Link(event))
    }

    fn tick(&mut self, now: Moment, host: usize) -> Vec<PolicyCommand> {
        self.handle(now, host, NodeEvent::Tick)
    }

    fn wake(&self, host: usize) -> Moment {
        self.hosts[host].node.next_wake()
    }

    fn kill(&mut self, host: usize, silent: bool) -> Vec<PolicyCommand> {
        self.hosts[host].alive = false;
        self.hosts[host].watches_targets = false;
        if silent {
            return Vec::new();
        }
        let incarnation = self.hosts[host].incarnation.clone();
        let linked = self.hosts[host].linked;
        let peers = (0..HOST_COUNT).filter(|peer| linked[*peer]);
        peers
            .map(|to| PolicyCommand::Link {
                to,
                event: LinkEvent::Down(incarnation.clone()),
            })
            .collect()
    }
}

impl NodePolicy {
    fn watching_hosts(&self) -> Vec<usize> {
        (0..HOST_COUNT)
            .filter(|host| self.hosts[*host].watches_targets)
            .collect()
    }
}

/// Get the index of the host that owns the shard of the engine pool.
pub fn owner_index(deployment: &TestDeployment) -> usize {
    let shard = PoolShard {
        pool: deployment.engines.name.clone(),
        domain: None,
    };
    let names: Vec<HostName> = deployment
        .publication
        .hosts
        .hosts
        .iter()
        .map(|host| host.name.clone())
        .collect();
    let owner = rendezvous::rank(&shard, names.iter()).remove(0);
    names
        .iter()
        .position(|name| *name == owner)
        .expect("ranked host not in the host list")
}
