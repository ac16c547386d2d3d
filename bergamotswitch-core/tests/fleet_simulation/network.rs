//! Provides the simulated network: links, messages in transit, cuts and timeouts.

use super::*;

const LATENCY: Duration = Duration::from_millis(1);
const REDIAL: Duration = Duration::from_millis(500);
/// The time without answered pings after which both ends drop a link.
const LINK_TIMEOUT: Duration = Duration::from_secs(4);
/// The interval at which TCP retransmits what a cut path lost.
const RESEND: Duration = Duration::from_millis(200);

/// A `Delivery` is a message in transit over one link.
#[derive(Clone, Debug)]
pub struct Delivery {
    pub from: usize,
    pub to: usize,
    pub link: u64,
    pub run: HostIncarnation,
    pub sent_at: Moment,
    /// The grant, where the message carries a permit.
    pub(super) grant: Option<Grant>,
    pub message: LinkMessage,
}

#[derive(Debug, Default)]
pub struct Network {
    /// The links that are up, each with a unique number.
    pub links: BTreeMap<(usize, usize), u64>,
    pub cuts: BTreeSet<(usize, usize)>,
    count: u64,
}

fn ends(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl FleetSimulation {
    pub(super) fn send(&mut self, from: usize, to: usize, mut message: LinkMessage) {
        let Some(link) = self.network.links.get(&ends(from, to)).copied() else {
            return;
        };
        if let LinkMessage::ToOwner(OwnerMessage::PermitRequest(permit_request)) = &mut message {
            if self.opts.flip_tiers {
                permit_request.tier = Tier(7 - permit_request.tier.0);
            }
            permit_request.claim = permit_request
                .claim
                .take()
                .filter(|_| !self.opts.drop_claims);
        }
        let grant = match &message {
            LinkMessage::FromOwner(OwnerReply::Granted { shard, .. }) => {
                Some(self.current_grant(from, &shard.to_string()))
            }
            _ => None,
        };
        let delivery = Delivery {
            from,
            to,
            link,
            run: self.hosts[from].run.clone(),
            sent_at: self.now,
            grant,
            message,
        };
        self.post(LATENCY, ScheduledTask::Delivery(delivery));
    }

    pub(super) fn current_grant(&self, owner: usize, shard: &str) -> Grant {
        let ownership = (owner, format!("shard={shard}"));
        let term = self.ownership_changes.get(&ownership).map_or(0, Vec::len);
        Grant { owner, term }
    }

    pub(super) fn deliver(&mut self, delivery: Delivery) {
        if self.network.links.get(&ends(delivery.from, delivery.to)) != Some(&delivery.link) {
            return;
        }
        if self.network.cuts.contains(&(delivery.from, delivery.to)) {
            return self.post(RESEND, ScheduledTask::Delivery(delivery));
        }
        let event = LinkEvent::Message(delivery.run.clone(), delivery.message.clone());
        let cause = Cause {
            delivery: Some(delivery),
            stop: false,
        };
        let to = cause.delivery.as_ref().map_or(0, |delivery| delivery.to);
        self.handle_with(to, NodeEvent::Link(event), &cause);
    }

    pub(super) fn is_cut(&self, a: usize, b: usize) -> bool {
        self.network.cuts.contains(&(a, b)) || self.network.cuts.contains(&(b, a))
    }

    /// Establish the links that at least one end wants, and drop those that no end
    /// wants.
    pub(super) fn dial(&mut self) {
        for a in 0..HOSTS.len() {
            for b in a + 1..HOSTS.len() {
                let wanted = self.hosts[a].wanted.contains(&b) || self.hosts[b].wanted.contains(&a);
                let open = [a, b].iter().all(|host| {
                    let host = &self.hosts[*host];
                    host.core.is_some() && host.paused_queue.is_none()
                });
                let up = self.network.links.contains_key(&(a, b));
                match (up, wanted) {
                    (false, true) if open && !self.is_cut(a, b) => self.link_up(a, b),
                    (true, false) => self.link_down(a, b),
                    _ => {}
                }
            }
        }
        self.post(REDIAL, ScheduledTask::Dial);
    }

    fn link_up(&mut self, a: usize, b: usize) {
        self.network.count += 1;
        self.network.links.insert((a, b), self.network.count);
        self.notify_ends(a, b, LinkEvent::Up);
    }

    /// Drop a link together with its messages in transit.
    pub(super) fn link_down(&mut self, a: usize, b: usize) {
        if self.network.links.remove(&ends(a, b)).is_some() {
            self.notify_ends(a, b, LinkEvent::Down);
        }
    }

    fn notify_ends(&mut self, a: usize, b: usize, make_event: fn(HostIncarnation) -> LinkEvent) {
        for (end, peer) in [(a, b), (b, a)] {
            let event = make_event(self.hosts[peer].run.clone());
            let run = self.hosts[end].run.incarnation;
            self.post(LATENCY, ScheduledTask::Link(end, run, event));
        }
    }

    /// Cut each path in one direction for the time `span`.
    pub(super) fn cut(&mut self, cuts: Vec<(usize, usize)>, span: Duration) {
        self.faults += 1;
        for (a, b) in &cuts {
            self.network.cuts.insert((*a, *b));
            if let Some(link) = self.network.links.get(&ends(*a, *b)).copied() {
                self.post(LINK_TIMEOUT, ScheduledTask::LinkTimeout(*a, *b, link));
            }
        }
        self.last_network_fault_at = self.now;
        self.last_change_at = self.now;
        self.post(span, ScheduledTask::Heal(cuts));
    }

    pub(super) fn heal(&mut self, cuts: &[(usize, usize)]) {
        self.faults -= 1;
        for cut in cuts {
            self.network.cuts.remove(cut);
        }
        self.last_network_fault_at = self.now;
        self.last_change_at = self.now;
    }

    pub(super) fn expire_link(&mut self, a: usize, b: usize, link: u64) {
        if self.is_cut(a, b) && self.network.links.get(&ends(a, b)) == Some(&link) {
            self.link_down(a, b);
        }
    }
}
