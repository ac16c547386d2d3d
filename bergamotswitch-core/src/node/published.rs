//! Provides the taking up of published values by a host's machines.

use super::NodeAction;
use super::core::NodeCore;
use crate::clock::Moment;
use crate::entry::EntryEvent;
use crate::host::Standing;
use crate::link::LinkMessage;
use crate::membership::MembershipEvent;
use crate::revision::{
    HOSTS_VALUE, LIMITS_VALUE, POOLS_VALUE, PublishedValue, ROUTES_VALUE, RevisionAction,
    RevisionEvent, TARGETS_VALUE,
};

impl NodeCore {
    pub(super) fn do_revision(&mut self, now: Moment, action: RevisionAction) {
        match action {
            RevisionAction::Read(name) => self.actions.push(NodeAction::Read(name)),
            RevisionAction::Watch(name, after) => self.actions.push(NodeAction::Watch(name, after)),
            RevisionAction::Send(host, message) => {
                let message = LinkMessage::Revision(message);
                self.actions.push(NodeAction::Send(host, message));
            }
            RevisionAction::Offer(value) => self.on_offer(now, value),
            RevisionAction::Link(host) => self.actions.push(NodeAction::Connect(host)),
            RevisionAction::Note(incident, name) => {
                let text = format!("value={name}");
                self.actions.push(NodeAction::Note(incident, text));
            }
        }
    }

    fn on_offer(&mut self, now: Moment, value: PublishedValue) {
        let verdict = self.publication.apply(&value);
        let good = verdict.is_ok();
        let actions = self.book.settle(now, &value.name, value.revision, verdict);
        self.queue_revision(actions);
        if good {
            self.on_published(now, &value);
        }
    }

    fn on_published(&mut self, now: Moment, value: &PublishedValue) {
        let name = value.name.clone();
        if name.as_str() == HOSTS_VALUE {
            self.tell_hosts(now);
        }
        if name.as_str() == TARGETS_VALUE {
            self.register
                .adopt(value.revision, &self.publication.registered_targets);
        }
        if [POOLS_VALUE, ROUTES_VALUE, TARGETS_VALUE].contains(&name.as_str()) {
            let shards = self.publication.pools.shards();
            self.shard_use
                .warm(now, &self.publication.pools, &self.domain);
            self.tell_membership(now, MembershipEvent::Shards(shards));
            let pools = self.publication.pools.pools().to_vec();
            self.tell_desk(now, EntryEvent::Pools(pools));
            self.tell_leaving(now);
        }
        if name.as_str() == ROUTES_VALUE {
            let rates = self.shards.quota_rates(&self.publication);
            self.tell_desk(now, EntryEvent::Quotas(rates));
        }
        if name.as_str() == LIMITS_VALUE {
            self.apply_limits(now);
        }
        let actions = self.shards.retarget(now, &self.publication);
        self.queue_owner(actions);
        self.watch_targets();
        self.actions.push(NodeAction::Published(name));
    }

    /// Put the published limits in force in every machine. Left to a restart,
    /// a limit that operators tighten in an overload would bind no host.
    fn apply_limits(&mut self, now: Moment) {
        let limits = &self.publication.limits;
        self.opts = std::mem::take(&mut self.opts).with_limits(limits);
        self.desk.set_opts(self.opts.entry.clone());
        self.shards.set_opts(&self.opts.owner);
        self.membership.set_opts(self.opts.membership.clone());
        self.book.set_opts(self.opts.revision.clone());
        self.on_tick(now);
    }

    /// Tell the machines which hosts there are.
    pub(super) fn tell_hosts(&mut self, now: Moment) {
        let hosts = self.publication.hosts.clone();
        self.tell_desk(now, EntryEvent::Hosts(hosts.hosts.len()));
        self.tell_membership(now, MembershipEvent::Hosts(hosts.clone()));
        self.tell_book(now, RevisionEvent::Hosts(hosts));
        self.tell_leaving(now);
    }

    fn tell_leaving(&mut self, now: Moment) {
        for (target, standing) in self.publication.target_standings() {
            let leaving = standing == Standing::Leaving;
            self.tell_desk(now, EntryEvent::TargetLeaving(target, leaving));
        }
    }
}
