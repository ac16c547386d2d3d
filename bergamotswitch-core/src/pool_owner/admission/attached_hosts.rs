//! Provides the set of entry hosts that use a shard owner, and from it the
//! owner's portion of each quota.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::host::HostName;

/// An `AttachedHosts` is the set of entry hosts that send their permit
/// requests to one owner.
///
/// Two hosts may own a shard at the same time: a restarted candidate with
/// precedence acts at once, while entry hosts stay with the current owner until
/// that candidate has responded for a while. If both granted whole quotas, an
/// account could use its quota twice. Since an entry host uses one owner at a
/// time, each owner grants the portion of the hosts that use it, and the
/// portions of all owners add up to one quota. The same holds while hosts are cut off from
/// each other and an owner acts on each side.
#[derive(Debug, Default)]
pub(in crate::pool_owner) struct AttachedHosts {
    hosts: BTreeSet<HostName>,
    /// The hosts that may use another owner, with the time until which that is
    /// assumed.
    detached: BTreeMap<HostName, Moment>,
    /// The hosts that this one no longer hears, which may use another owner for as long.
    silent: BTreeSet<HostName>,
    /// When the first of these hosts is counted even if it sends nothing.
    first_expiry: Moment,
    /// Until when received messages may have been sent before this process was
    /// paused.
    stale_until: Moment,
    stopping: bool,
}

/// How long after a pause the messages that queued up during it may
/// arrive.
const STALE_MESSAGE_TIME: Duration = Duration::from_millis(200);

impl AttachedHosts {
    /// Set the hosts of the fleet that are not stopping. New ones may use
    /// another owner, except for `own_name`.
    pub(in crate::pool_owner) fn set_hosts(
        &mut self,
        now: Moment,
        own_name: &HostName,
        hosts: Vec<HostName>,
        overlap: Duration,
    ) {
        let hosts: BTreeSet<HostName> = hosts.into_iter().collect();
        self.detached.retain(|host, _| hosts.contains(host));
        self.silent.retain(|host| hosts.contains(host));
        let added = hosts
            .difference(&self.hosts)
            .filter(|host| *host != own_name);
        let until = now.plus(overlap);
        self.detached
            .extend(added.map(|host| (host.clone(), until)));
        self.hosts = hosts;
        self.update_first_expiry();
    }

    /// Record that a host uses this owner. Messages that queued up while this
    /// process was paused are ignored, since the host may use another owner
    /// by now.
    pub(in crate::pool_owner) fn attach(&mut self, now: Moment, host: &HostName) {
        if now >= self.stale_until {
            self.detached.remove(host);
            self.silent.remove(host);
        }
    }

    /// Set the hosts that this one no longer hears; get whether there are new ones. Those
    /// that it hears again may still use another owner.
    pub(in crate::pool_owner) fn set_silent(
        &mut self,
        now: Moment,
        silent: BTreeSet<HostName>,
        overlap: Duration,
    ) -> bool {
        let until = now.plus(overlap);
        let heard = self.silent.difference(&silent).cloned();
        let heard: Vec<HostName> = heard.collect();
        self.detached
            .extend(heard.into_iter().map(|host| (host, until)));
        self.update_first_expiry();
        let former = std::mem::replace(&mut self.silent, silent);
        !self.silent.is_subset(&former)
    }

    /// Record that a host's process has terminated: its next one may use
    /// another owner.
    pub(in crate::pool_owner) fn detach(
        &mut self,
        now: Moment,
        host: &HostName,
        overlap: Duration,
    ) {
        if self.hosts.contains(host) {
            self.detached.insert(host.clone(), now.plus(overlap));
            self.update_first_expiry();
        }
    }

    /// Record that every host except this one may use another owner.
    pub(in crate::pool_owner) fn detach_others(
        &mut self,
        now: Moment,
        own_name: &HostName,
        overlap: Duration,
    ) {
        let until = now.plus(overlap);
        let others = self.hosts.iter().filter(|host| *host != own_name);
        self.detached = others.map(|host| (host.clone(), until)).collect();
        self.stale_until = now.plus(STALE_MESSAGE_TIME);
        self.update_first_expiry();
    }

    /// Get whether the set of hosts is empty: this owner serves its own host
    /// only.
    pub(in crate::pool_owner) fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Count all hosts that this one hears as its users at once: the previous owner stops
    /// or does not respond, so all of them use this one.
    pub(in crate::pool_owner) fn attach_all(&mut self) {
        self.detached.clear();
        self.update_first_expiry();
    }

    /// Grant nothing from now on but what is left in the token buckets, since
    /// the next owner's buckets begin to fill.
    pub(in crate::pool_owner) fn stop(&mut self) {
        self.stopping = true;
    }

    /// Get the portion of each quota that this owner grants, from 0 to 1.
    ///
    /// A host that sends nothing is counted after a timeout: it may have no
    /// requests, and by then there is no second owner that it could use.
    pub(in crate::pool_owner) fn quota_portion(&mut self, now: Moment) -> f64 {
        if now >= self.first_expiry {
            self.detached.retain(|_, until| now < *until);
            self.update_first_expiry();
        }
        let elsewhere = self
            .detached
            .keys()
            .filter(|host| !self.silent.contains(*host));
        let elsewhere = elsewhere.count() + self.silent.len();
        match (self.stopping, self.hosts.len()) {
            (true, _) => 0.0,
            (false, 0) => 1.0,
            (false, all) => all.saturating_sub(elsewhere) as f64 / all as f64,
        }
    }

    fn update_first_expiry(&mut self) {
        let first = self.detached.values().min();
        self.first_expiry = first.copied().unwrap_or(Moment::NEVER);
    }
}
