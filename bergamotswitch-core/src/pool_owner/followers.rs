//! Provides the set of entry hosts that use a shard owner, and from it the
//! owner's portion of each quota.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::host::HostName;

/// An `OwnerFollowers` is the set of entry hosts that send their permit
/// requests to one owner.
///
/// Two hosts may own a shard at the same time: a restarted candidate with
/// precedence acts at once, while entry hosts stay with the current owner until
/// that candidate has responded for a while. If both granted whole quotas, an
/// account could use its quota twice. Since an entry host uses one owner at a
/// time, each owner grants the portion of the hosts that use it, and the
/// portions of all owners add up to one quota.
#[derive(Debug, Default)]
pub(super) struct OwnerFollowers {
    hosts: BTreeSet<HostName>,
    /// The hosts that may use another owner, with the time until which that is
    /// assumed.
    absent: BTreeMap<HostName, Moment>,
    /// When the first of these hosts is counted even if it sends nothing.
    first_until: Moment,
    /// Until when received messages may have been sent before this process was
    /// suspended.
    stale_until: Moment,
    stopping: bool,
}

/// How long after a suspension the messages that queued up during it may
/// arrive.
const STALE_TIME: Duration = Duration::from_millis(200);

impl OwnerFollowers {
    /// Set the hosts of the fleet that aren't stopping. New ones may use
    /// another owner, except for `me`.
    pub(super) fn set_hosts(
        &mut self,
        now: Moment,
        me: &HostName,
        hosts: Vec<HostName>,
        settle: Duration,
    ) {
        let hosts: BTreeSet<HostName> = hosts.into_iter().collect();
        self.absent.retain(|host, _| hosts.contains(host));
        let added = hosts.difference(&self.hosts).filter(|host| *host != me);
        let until = now.plus(settle);
        self.absent.extend(added.map(|host| (host.clone(), until)));
        self.hosts = hosts;
        self.find_first();
    }

    /// Record that a host uses this owner. Messages that queued up while this
    /// process was suspended are ignored, since the host may use another owner
    /// by now.
    pub(super) fn note(&mut self, now: Moment, host: &HostName) {
        if !self.absent.is_empty() && now >= self.stale_until {
            self.absent.remove(host);
        }
    }

    /// Record that a host's process has terminated: its next one may use
    /// another owner.
    pub(super) fn lose(&mut self, now: Moment, host: &HostName, settle: Duration) {
        if self.hosts.contains(host) {
            self.absent.insert(host.clone(), now.plus(settle));
            self.find_first();
        }
    }

    /// Record that every host except this one may use another owner.
    pub(super) fn lose_all(&mut self, now: Moment, me: &HostName, settle: Duration) {
        let until = now.plus(settle);
        let others = self.hosts.iter().filter(|host| *host != me);
        self.absent = others.map(|host| (host.clone(), until)).collect();
        self.stale_until = now.plus(STALE_TIME);
        self.find_first();
    }

    /// Get whether the set of hosts is empty: this owner serves its own host
    /// only.
    pub(super) fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Count all hosts at once: the previous owner stops or doesn't respond, so
    /// all of them use this one.
    pub(super) fn take_over(&mut self) {
        self.absent.clear();
        self.find_first();
    }

    /// Grant nothing from now on but what is left in the token buckets, since
    /// the next owner's buckets begin to fill.
    pub(super) fn stop(&mut self) {
        self.stopping = true;
    }

    /// Get the portion of each quota that this owner grants, from 0 to 1.
    ///
    /// A host that sends nothing is counted after a timeout: it may have no
    /// requests, and by then there is no second owner that it could use.
    pub(super) fn part(&mut self, now: Moment) -> f64 {
        if now >= self.first_until {
            self.absent.retain(|_, until| now < *until);
            self.find_first();
        }
        match (self.stopping, self.hosts.len()) {
            (true, _) => 0.0,
            (false, 0) => 1.0,
            (false, all) => (all - self.absent.len()) as f64 / all as f64,
        }
    }

    fn find_first(&mut self) {
        let first = self.absent.values().min();
        self.first_until = first.copied().unwrap_or(Moment::NEVER);
    }
}
