//! Provides the discovery of targets from the store and of hosts by gossip, and the age
//! check of API keys.

use super::NodeAction;
use super::core::NodeCore;
use crate::clock::Moment;
use crate::host::{EntryHost, HostList};
use crate::name::ValueName;
use crate::revision::{
    HOSTS_VALUE, PublishedValue, ROUTES_VALUE, RevisionEvent, TARGETS_VALUE, value_name,
};
use crate::roster::{MemberFlags, RosterAction, RosterMessage};
use crate::target_list::TargetUpdate;

impl NodeCore {
    /// Get when the next timer of the roster or the target register is due.
    pub(super) fn next_discovery(&self) -> Moment {
        let round = self
            .roster
            .as_ref()
            .map_or(Moment::NEVER, |roster| roster.next_wake());
        round
            .min(self.register.next_due())
            .min(self.evacuations.next_due())
    }

    /// Drop expired targets and run the gossip round that is due, with this host's
    /// current state.
    pub(super) fn review_discovery(&mut self, now: Moment) {
        if self.register.drop_expired(now) {
            self.publish_targets(now);
        }
        self.review_evacuations(now);
        let flags = MemberFlags {
            ready: self.is_ready(now),
            leaving: self.stopping,
        };
        let Some(roster) = &mut self.roster else {
            return;
        };
        roster.set_flags(now, flags);
        let sent = roster.tick(now);
        self.send_gossip(sent);
        self.apply_host_changes(now);
    }

    pub(super) fn on_gossip(&mut self, now: Moment, message: RosterMessage) {
        let Some(roster) = &mut self.roster else {
            return;
        };
        let answers = roster.handle(now, message);
        self.send_gossip(answers);
        self.apply_host_changes(now);
    }

    pub(super) fn on_seeds(&mut self, seeds: Vec<std::net::SocketAddr>) {
        if let Some(roster) = &mut self.roster {
            roster.set_seeds(seeds);
        }
    }

    pub(super) fn notify_roster_of_pause(&mut self, now: Moment) {
        if let Some(roster) = &mut self.roster {
            roster.resume(now);
        }
    }

    /// Get the hosts that accept requests, as known to this host.
    pub fn ready_hosts(&self, now: Moment) -> Vec<EntryHost> {
        let roster = self.roster.as_ref();
        roster.map_or_else(Vec::new, |roster| roster.ready_hosts(now))
    }

    pub(super) fn on_read_failed(&mut self, now: Moment, name: ValueName) {
        if name.as_str() == TARGETS_VALUE {
            self.register.record_failure();
        }
        self.notify_revisions(now, RevisionEvent::ReadFailed(name));
    }

    pub(super) fn on_target_update(&mut self, now: Moment, update: TargetUpdate) {
        match self.register.apply(now, update) {
            true => self.publish_targets(now),
            false => {
                let name = value_name(TARGETS_VALUE);
                self.notify_revisions(now, RevisionEvent::Unchanged(name));
            }
        }
    }

    /// Get whether API keys may be accepted: the routes were confirmed to be current
    /// recently enough that a revoked key would be known.
    pub fn trusts_keys(&self, now: Moment) -> bool {
        let Some(bound) = self.opts.key_trust else {
            return true;
        };
        let age = self.revisions.confirmed_age(now, &value_name(ROUTES_VALUE));
        age.is_some_and(|age| age <= bound)
    }

    fn publish_targets(&mut self, now: Moment) {
        let Ok(body) = serde_json::to_string(&self.register.list()) else {
            return;
        };
        let value = PublishedValue {
            name: value_name(TARGETS_VALUE),
            revision: self.register.revision(),
            body,
        };
        self.notify_revisions(now, RevisionEvent::Read(value));
    }

    fn send_gossip(&mut self, sent: Vec<RosterAction>) {
        self.actions
            .extend(sent.into_iter().map(NodeAction::Gossip));
    }

    /// Apply changes of the discovered hosts to the publication.
    fn apply_host_changes(&mut self, now: Moment) {
        let Some(roster) = &mut self.roster else {
            return;
        };
        let Some(hosts) = roster.changed_hosts(now) else {
            return;
        };
        let former = std::mem::take(&mut self.publication.hosts);
        self.publication.hosts = HostList {
            targets: former.targets.clone(),
            ..hosts
        };
        self.update_missing_hosts(now, &former);
        self.notify_hosts(now);
        let actions = self.shards.apply_publication(now, &self.publication);
        self.queue_owner(actions);
        self.actions
            .push(NodeAction::Published(value_name(HOSTS_VALUE)));
    }
}
