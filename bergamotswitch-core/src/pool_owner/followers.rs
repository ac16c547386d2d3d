//! Provides the count of the hosts that follow an owner, and with it the part
//! of each quota that the owner may give out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::host::HostName;

/// An `OwnerFollowers` is which of the fleet's hosts ask one owner.
///
/// Two hosts may order one shard side by side: an earlier candidate starts
/// again and acts at once, while the others stay with the later one until the
/// earlier one has answered for a while. Were each to give out whole quotas, an
/// account would get a second full quota through the host that has just
/// started, and find a burst there when the others turn to it; one would see it
/// use more than its quota in a window around the start. A host asks one owner
/// at a time. So each owner gives out the part that falls to the hosts that ask
/// it, and the parts of all owners make one quota.
#[derive(Debug, Default)]
pub(super) struct OwnerFollowers {
    hosts: BTreeSet<HostName>,
    /// The hosts that may ask another owner, and until when.
    absent: BTreeMap<HostName, Moment>,
    /// When the first of them is counted although it has said nothing.
    first_until: Moment,
    /// Until when messages may be older than a sleep of this process.
    stale_until: Moment,
    stopping: bool,
}

/// How long after a sleep the messages that waited meanwhile are taken in.
const STALE_TIME: Duration = Duration::from_millis(200);

impl OwnerFollowers {
    /// Take the hosts of the fleet that do not stop. One that was not among
    /// them before may ask another owner, apart from `me`.
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

    /// Take note that a host asks this owner. What waited while this process
    /// slept says nothing of whom the host asks now.
    pub(super) fn note(&mut self, now: Moment, host: &HostName) {
        if !self.absent.is_empty() && now >= self.stale_until {
            self.absent.remove(host);
        }
    }

    /// Take note that a host's run is gone: its next one may ask another owner.
    pub(super) fn lose(&mut self, now: Moment, host: &HostName, settle: Duration) {
        if self.hosts.contains(host) {
            self.absent.insert(host.clone(), now.plus(settle));
            self.find_first();
        }
    }

    /// Take note that all hosts but this one may ask another owner.
    pub(super) fn lose_all(&mut self, now: Moment, me: &HostName, settle: Duration) {
        let until = now.plus(settle);
        let others = self.hosts.iter().filter(|host| *host != me);
        self.absent = others.map(|host| (host.clone(), until)).collect();
        self.stale_until = now.plus(STALE_TIME);
        self.find_first();
    }

    /// Get whether there are no hosts but the owner's own.
    pub(super) fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Count on all hosts at once: the owner before stops or is silent, so all
    /// turn to this one.
    pub(super) fn take_over(&mut self) {
        self.absent.clear();
        self.find_first();
    }

    /// Give out nothing from now on but what lies in the buckets: the next
    /// owner's begin to fill.
    pub(super) fn stop(&mut self) {
        self.stopping = true;
    }

    /// Get the part of each quota that this owner gives out.
    ///
    /// A host that says nothing is counted in the end: it may have no work, and
    /// by then no second owner can be left that it asks.
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
