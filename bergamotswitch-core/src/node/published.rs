//! Provides the application of published values to a host's state machines.

use super::NodeAction;
use super::core::NodeCore;
use crate::clock::Moment;
use crate::entry::EntryEvent;
use crate::evacuation::EvacuationList;
use crate::host::Standing;
use crate::link::LinkMessage;
use crate::membership::MembershipEvent;
use crate::revision::{
    EVACUATIONS_VALUE, HOSTS_VALUE, LIMITS_VALUE, POOLS_VALUE, PublishedValue, ROUTES_VALUE,
    RevisionAction, RevisionEvent, TARGETS_VALUE,
};

impl NodeCore {
    pub(super) fn perform_revision_action(&mut self, now: Moment, action: RevisionAction) {
        match action {
            RevisionAction::Read(name) => self.actions.push(NodeAction::Read(name)),
            RevisionAction::Watch(name, after) => self.actions.push(NodeAction::Watch(name, after)),
            RevisionAction::Send(host, message) => {
                let message = LinkMessage::Revision(message);
                self.actions.push(NodeAction::Send(host, message));
            }
            RevisionAction::Validate(value) => self.on_offer(now, value),
            RevisionAction::Link(host) => self.actions.push(NodeAction::Connect(host)),
            RevisionAction::LogIncident(incident, name) => {
                let text = format!("value={name}");
                self.actions.push(NodeAction::LogIncident(incident, text));
            }
            RevisionAction::LogRevision(incident, name, revision) => {
                let text = format!("value={name} revision={}", revision.0);
                self.actions.push(NodeAction::LogIncident(incident, text));
            }
        }
    }

    fn on_offer(&mut self, now: Moment, value: PublishedValue) {
        let evacuated = self.evacuated();
        let verdict = self.publication.apply(&value);
        let accepted = verdict.is_ok();
        let actions = self
            .revisions
            .record_verdict(now, &value.name, value.revision, verdict);
        self.queue_revision(actions);
        if accepted {
            self.on_published(now, &value, &evacuated);
        }
    }

    fn on_published(&mut self, now: Moment, value: &PublishedValue, evacuated: &EvacuationList) {
        let name = value.name.clone();
        if name.as_str() == HOSTS_VALUE {
            self.notify_hosts(now);
        }
        if name.as_str() == TARGETS_VALUE {
            self.register
                .adopt(now, value.revision, &self.publication.registered_targets);
        }
        if [POOLS_VALUE, ROUTES_VALUE, TARGETS_VALUE].contains(&name.as_str()) {
            let shards = self.publication.pools.shards();
            self.shard_use
                .warm(now, &self.publication.pools, &self.domain);
            self.kept_keys.retain(&shards);
            self.notify_membership(now, MembershipEvent::Shards(shards));
            let pools = self.publication.pools.pools().to_vec();
            self.notify_entry(now, EntryEvent::Pools(pools));
            self.notify_leaving(now);
        }
        if [ROUTES_VALUE, TARGETS_VALUE].contains(&name.as_str()) {
            self.review_warmth(now);
        }
        if name.as_str() == EVACUATIONS_VALUE {
            let list = self.evacuated();
            self.evacuations.adopt(value.revision, &list);
            self.apply_evacuations(now, evacuated);
        }
        if name.as_str() == ROUTES_VALUE {
            let rates = self.shards.quota_rates(&self.publication);
            self.notify_entry(now, EntryEvent::Quotas(rates));
        }
        if name.as_str() == LIMITS_VALUE {
            self.apply_limits(now);
        }
        let actions = self.shards.apply_publication(now, &self.publication);
        self.queue_owner(actions);
        self.watch_targets();
        self.actions.push(NodeAction::Published(name));
    }

    /// Apply the published limits to every state machine, without a restart: a limit that
    /// operators tighten in an overload has to bind the running hosts.
    fn apply_limits(&mut self, now: Moment) {
        let limits = &self.publication.limits;
        self.opts = std::mem::take(&mut self.opts).with_limits(limits);
        self.entry.set_opts(self.opts.entry.clone());
        self.shards.set_opts(&self.opts.owner);
        self.membership.set_opts(self.opts.membership.clone());
        self.revisions.set_opts(self.opts.revision.clone());
        self.on_tick(now);
    }

    /// Notify the entry side and the owners of the hosts that share the quotas.
    pub(super) fn apply_host_count(&mut self, now: Moment) {
        let sharing = self.publication.sharing_hosts();
        self.notify_entry(now, EntryEvent::Hosts(sharing));
        let actions = self.shards.apply_publication(now, &self.publication);
        self.queue_owner(actions);
    }

    /// Notify the state machines of the current hosts.
    pub(super) fn notify_hosts(&mut self, now: Moment) {
        let hosts = self.publication.hosts.clone();
        let sharing = self.publication.sharing_hosts();
        self.notify_entry(now, EntryEvent::Hosts(sharing));
        if self.publication.uses_routes {
            self.notify_entry(now, EntryEvent::TunnelHosts(hosts.hosts.clone()));
        }
        self.notify_membership(now, MembershipEvent::Hosts(hosts.clone()));
        self.notify_revisions(now, RevisionEvent::Hosts(hosts));
        self.notify_leaving(now);
    }

    pub(super) fn notify_leaving(&mut self, now: Moment) {
        for (target, standing) in self.publication.target_standings() {
            let leaving = standing == Standing::Leaving;
            self.notify_entry(now, EntryEvent::TargetDraining(target, leaving));
        }
    }
}
