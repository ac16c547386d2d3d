//! Provides the recovery of quota levels by an owner that takes over without a
//! handover, from the usage reports of entry hosts.
//!
//! Its buckets start empty. Without these reports, accounts within their quotas
//! would be refused when the requests that waited for the unresponsive owner
//! arrive all at once.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Moment;
use crate::host::HostName;
use crate::permit::QuotaLevel;
use crate::pool_owner::owner::ShardOwner;

/// How long after its start an owner accepts usage reports. Hosts that report
/// later have used another owner meanwhile.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// A `QuotaRecovery` is the set of entry hosts that have reported their usage
/// to a new owner.
#[derive(Debug)]
pub(in crate::pool_owner) struct QuotaRecovery {
    started_at: Moment,
    reported: BTreeSet<HostName>,
}

impl QuotaRecovery {
    pub(in crate::pool_owner) fn new(now: Moment) -> Self {
        QuotaRecovery {
            started_at: now,
            reported: BTreeSet::new(),
        }
    }
}

impl ShardOwner {
    /// Apply the quota usage of an entry host's callers, once for each host.
    pub(in crate::pool_owner) fn on_quota_use(
        &mut self,
        now: Moment,
        host: HostName,
        hosts: u32,
        used: &[QuotaLevel],
    ) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let elapsed = now.since(recovery.started_at);
        if elapsed >= RECOVERY_TIME {
            self.recovery = None;
            return;
        }
        // An owner that serves its own host only enforces that host's share of
        // each quota.
        let hosts = match self.attached_hosts.is_empty() {
            true => 1,
            false => hosts,
        };
        if recovery.reported.insert(host) {
            self.quotas.recover_share(now, elapsed, hosts, used);
        }
    }
}
