//! Provides the hosts that are no longer heard although they did not announce a stop.
//!
//! A host that is cut off from the others finds them all silent, and so do they find it. Each
//! side may have an owner of every shard, so none may take over the other's part of a quota
//! before that side is likely to have ended.

use std::collections::BTreeSet;
use std::time::Duration;

use super::core::NodeCore;
use crate::clock::Moment;
use crate::host::{HostList, HostName, Standing};

/// How long a minority of the hosts counts as cut off once it falls silent.
const MINORITY_RETENTION: Duration = Duration::from_secs(10);

/// How long a majority counts as cut off: it is less likely that all of them have ended.
const MAJORITY_RETENTION: Duration = Duration::from_secs(60);

/// Get how long silent hosts count as cut off, if this many of all hosts are heard.
pub(super) fn absence_retention(heard: usize, all: usize) -> Duration {
    match heard * 2 >= all {
        true => MINORITY_RETENTION,
        false => MAJORITY_RETENTION,
    }
}

impl NodeCore {
    /// Update the missing hosts from the list that was in force until now.
    pub(super) fn update_missing_hosts(&mut self, now: Moment, former: &HostList) {
        let publication = &mut self.publication;
        let listed = publication.hosts.hosts.iter();
        let listed: BTreeSet<&HostName> = listed.map(|host| &host.name).collect();
        let missing = &mut publication.missing_hosts;
        missing.retain(|host, _| !listed.contains(host));
        let live = former.hosts.iter();
        let live = live.filter(|host| host.standing == Standing::Live);
        for host in live.filter(|host| !listed.contains(&host.name)) {
            missing.entry(host.name.clone()).or_insert(now);
        }
    }

    /// Forget the missing hosts that are likely to have ended.
    pub(super) fn expire_missing_hosts(&mut self, now: Moment) {
        let publication = &mut self.publication;
        let all = publication.sharing_hosts();
        let retention = absence_retention(publication.hosts.hosts.len(), all);
        let missing = &mut publication.missing_hosts;
        let count = missing.len();
        missing.retain(|_, since| now < since.plus(retention));
        if missing.len() < count {
            self.apply_host_count(now);
        }
    }
}
