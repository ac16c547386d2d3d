//! Provides a simulated fleet of three hosts.

use std::collections::BTreeSet;

use super::*;

pub const HOSTS: &[&str] = &["me", "h1", "h2"];

/// A fleet of hosts with links that deliver messages without delay.
pub struct NodeNet {
    pub nodes: Vec<TestNode>,
    links: BTreeSet<(usize, usize)>,
    /// Pairs of hosts that cannot reach each other.
    pub cuts: BTreeSet<(usize, usize)>,
    /// The paused host.
    frozen: Option<usize>,
    held: Vec<(usize, LinkMessage)>,
    pub asked: Vec<HostName>,
    /// The dispatched attempts, each with its host.
    pub started: Vec<(usize, AttemptId)>,
    /// The conclusions of requests, each with its host.
    pub concluded: Vec<(usize, Conclusion)>,
}

impl NodeNet {
    pub fn start() -> Self {
        NodeNet::start_with("engine")
    }

    /// Start a fleet with a pool of this kind.
    pub fn start_with(kind: &str) -> Self {
        NodeNet::start_listed(kind, HOSTS)
    }

    /// Start a fleet whose host list may contain hosts that do not run.
    pub fn start_listed(kind: &str, listed: &[&str]) -> Self {
        // Each target has one token, so it runs one request at a time.
        let target = json!({"token_limit": 1});
        let nodes = HOSTS.iter();
        let nodes = nodes.map(|host| node_with_pool_kind(host, listed, target.clone(), kind));
        let mut net = NodeNet {
            nodes: nodes.collect(),
            links: BTreeSet::new(),
            cuts: BTreeSet::new(),
            frozen: None,
            held: Vec::new(),
            asked: Vec::new(),
            started: Vec::new(),
            concluded: Vec::new(),
        };
        net.advance(Duration::from_secs(8));
        net
    }

    pub fn advance(&mut self, span: Duration) {
        self.advance_except(None, span);
    }

    /// Pause a host while time passes for the others, then deliver the messages that it
    /// was sent.
    pub fn freeze(&mut self, host: usize, span: Duration) {
        self.advance_except(Some(host), span);
        self.nodes[host].now = self.nodes[host].now.plus(span);
        let held = std::mem::take(&mut self.held);
        for (from, message) in held {
            self.nodes[host].message(HOSTS[from], message);
        }
    }

    fn advance_except(&mut self, frozen: Option<usize>, span: Duration) {
        self.frozen = frozen;
        let step = Duration::from_millis(50);
        for _ in 0..span.as_millis() / step.as_millis() {
            let nodes = self.nodes.iter_mut().enumerate();
            for (_, node) in nodes.filter(|(at, _)| Some(*at) != frozen) {
                node.advance(step);
            }
            while self.deliver() {}
        }
        self.frozen = None;
    }

    fn deliver(&mut self) -> bool {
        let mut moved = false;
        for from in 0..self.nodes.len() {
            for action in std::mem::take(&mut self.nodes[from].actions) {
                moved = true;
                match action {
                    // A listed host that does not run.
                    NodeAction::Send(to, _) if !HOSTS.contains(&to.as_str()) => {}
                    NodeAction::Connect(to) if !HOSTS.contains(&to.name.as_str()) => {}
                    NodeAction::Send(to, message) => self.send(from, &to, message),
                    NodeAction::Connect(to) => self.connect(from, &to.name),
                    NodeAction::Start { attempt, .. } => self.started.push((from, attempt)),
                    NodeAction::Conclude(_, conclusion) => self.concluded.push((from, conclusion)),
                    _ => {}
                }
            }
        }
        moved
    }

    fn send(&mut self, from: usize, to: &HostName, message: LinkMessage) {
        if let LinkMessage::ToOwner(OwnerMessage::PermitRequest(_)) = &message {
            self.asked.push(to.clone());
        }
        let to = index(to);
        if Some(to) == self.frozen {
            self.held.push((from, message));
        } else if self.is_open(from, to) {
            self.nodes[to].message(HOSTS[from], message);
        }
    }

    fn is_open(&self, a: usize, b: usize) -> bool {
        !self.cuts.contains(&(a.min(b), a.max(b)))
    }

    fn connect(&mut self, from: usize, to: &HostName) {
        let to = index(to);
        if self.links.insert((from.min(to), from.max(to))) {
            self.nodes[from].link_up(HOSTS[to]);
            self.nodes[to].link_up(HOSTS[from]);
        }
    }

    /// Disconnect two hosts: their link closes, and unread messages are lost.
    pub fn cut(&mut self, a: usize, b: usize) {
        self.cuts.insert((a.min(b), a.max(b)));
        self.send_link_event(a, b, LinkEvent::Down);
    }

    /// Reconnect two hosts over a new link.
    pub fn heal(&mut self, a: usize, b: usize) {
        self.cuts.remove(&(a.min(b), a.max(b)));
        self.send_link_event(a, b, LinkEvent::Up);
    }

    fn send_link_event(&mut self, a: usize, b: usize, event: fn(HostIncarnation) -> LinkEvent) {
        self.nodes[a].event(NodeEvent::Link(event(run(HOSTS[b]))));
        self.nodes[b].event(NodeEvent::Link(event(run(HOSTS[a]))));
    }

    pub fn owners(&self) -> Vec<usize> {
        let owns = |node: &TestNode| node.core.view(node.now).owns.contains(&shard());
        let nodes = self.nodes.iter().enumerate();
        let owners = nodes.filter(|(_, node)| owns(node));
        owners.map(|(at, _)| at).collect()
    }
}

pub fn index(host: &HostName) -> usize {
    let found = HOSTS.iter().position(|name| *name == host.as_str());
    found.expect("a host of the fleet")
}
