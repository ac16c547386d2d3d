//! Provides how a new owner that nobody hands over to learns what is left of its
//! quotas: from the hosts that ask it.
//!
//! Its buckets begin empty. Where the calls that waited for the silent owner all
//! come at once, accounts within their quota would be told that they are over
//! it, although nobody was let in meanwhile.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Moment;
use crate::host::HostName;
use crate::permit::QuotaLevel;

use super::owner::ShardOwner;

/// How long after it took over an owner takes in what hosts tell. Those that
/// come later have followed another one meanwhile.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// A `QuotaRecovery` is which hosts have told a new owner of their uses.
#[derive(Debug)]
pub(super) struct QuotaRecovery {
    began: Moment,
    told: BTreeSet<HostName>,
}

impl QuotaRecovery {
    pub(super) fn new(now: Moment) -> Self {
        QuotaRecovery {
            began: now,
            told: BTreeSet::new(),
        }
    }
}

impl ShardOwner {
    /// Take in what the callers of a host have used, once for each host.
    pub(super) fn on_quota_use(
        &mut self,
        now: Moment,
        host: HostName,
        hosts: u32,
        used: &[QuotaLevel],
    ) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let elapsed = now.since(recovery.began);
        if elapsed >= RECOVERY_TIME {
            self.recovery = None;
            return;
        }
        // An owner for this host alone keeps just its share of each quota.
        let hosts = match self.followers.is_empty() {
            true => 1,
            false => hosts,
        };
        if recovery.told.insert(host) {
            self.quotas.recover_share(now, elapsed, hosts, used);
        }
    }
}
