//! Provides what a host hears of targets from the store and of hosts from
//! other hosts, and how old its knowledge of keys is.

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
    /// Get when news is due without an event.
    pub(super) fn next_news(&self) -> Moment {
        let round = self
            .roster
            .as_ref()
            .map_or(Moment::NEVER, |roster| roster.next_wake());
        round.min(self.register.next_due())
    }

    /// Do what is due, and tell the others this host's state.
    pub(super) fn review_news(&mut self, now: Moment) {
        if self.register.drop_expired(now) {
            self.publish_targets(now);
        }
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
        self.take_hosts(now);
    }

    pub(super) fn on_gossip(&mut self, now: Moment, message: RosterMessage) {
        let Some(roster) = &mut self.roster else {
            return;
        };
        let answers = roster.handle(now, message);
        self.send_gossip(answers);
        self.take_hosts(now);
    }

    pub(super) fn on_seeds(&mut self, seeds: Vec<std::net::SocketAddr>) {
        if let Some(roster) = &mut self.roster {
            roster.set_seeds(seeds);
        }
    }

    pub(super) fn wake_roster(&mut self, now: Moment) {
        if let Some(roster) = &mut self.roster {
            roster.resume(now);
        }
    }

    /// Get the hosts that take callers, as far as this one has heard.
    pub fn ready_hosts(&self, now: Moment) -> Vec<EntryHost> {
        let roster = self.roster.as_ref();
        roster.map_or_else(Vec::new, |roster| roster.ready_hosts(now))
    }

    pub(super) fn on_read_failed(&mut self, now: Moment, name: ValueName) {
        if name.as_str() == TARGETS_VALUE {
            self.register.record_failure();
        }
        self.tell_book(now, RevisionEvent::ReadFailed(name));
    }

    pub(super) fn on_target_news(&mut self, now: Moment, news: TargetUpdate) {
        match self.register.apply(now, news) {
            true => self.publish_targets(now),
            false => {
                let name = value_name(TARGETS_VALUE);
                self.tell_book(now, RevisionEvent::Unchanged(name));
            }
        }
    }

    /// Get whether keys may be relied on: not where the newest routes may have
    /// been published, without a key, too long ago for this host to have heard.
    pub fn trusts_keys(&self, now: Moment) -> bool {
        let Some(bound) = self.opts.key_trust else {
            return true;
        };
        let age = self.book.confirmed_age(now, &value_name(ROUTES_VALUE));
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
        self.tell_book(now, RevisionEvent::Read(value));
    }

    fn send_gossip(&mut self, sent: Vec<RosterAction>) {
        self.actions
            .extend(sent.into_iter().map(NodeAction::Gossip));
    }

    /// Take up the hosts that are counted on, where they have changed.
    fn take_hosts(&mut self, now: Moment) {
        let Some(roster) = &mut self.roster else {
            return;
        };
        let Some(hosts) = roster.changed_hosts(now) else {
            return;
        };
        self.publication.hosts = HostList {
            targets: std::mem::take(&mut self.publication.hosts.targets),
            ..hosts
        };
        self.tell_hosts(now);
        let actions = self.shards.retarget(now, &self.publication);
        self.queue_owner(actions);
        self.actions
            .push(NodeAction::Published(value_name(HOSTS_VALUE)));
    }
}
