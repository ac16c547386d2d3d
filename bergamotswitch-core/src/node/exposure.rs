//! Provides counters of degraded admissions, and of requests whose resubmission without
//! the resubmission header could run twice.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::core::NodeCore;
use crate::clock::Moment;
use crate::entry::Submission;
use crate::host::HostName;
use crate::permit::OwnerReply;
use crate::pool::{PoolName, PoolShard};

/// A `NodeCounts` is the counters of a host since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct NodeCounts {
    /// Permits granted in degraded mode from this host's fraction of the capacity,
    /// without an owner.
    pub degraded_admissions: u64,
    /// Accepted non-repeatable requests with an idempotency key for which a
    /// resubmission at another host, not marked as one, could not have been recognized.
    pub unmarked_exposure: u64,
}

/// An `ObservedOwner` is the owner of a shard as this host sees it.
#[derive(Debug)]
struct ObservedOwner {
    owner: HostName,
    /// When the shard was last taken over from another owner.
    taken_over_at: Option<Moment>,
}

/// An `ExposureTracker` tracks shard owners and detects recent changes of ownership.
#[derive(Debug, Default)]
pub(super) struct ExposureTracker {
    shards: BTreeMap<PoolShard, ObservedOwner>,
    pub(super) counts: NodeCounts,
}

impl ExposureTracker {
    /// Record the current owner of a shard.
    pub(super) fn record_owner(&mut self, now: Moment, shard: &PoolShard, owner: &HostName) {
        match self.shards.get_mut(shard) {
            Some(seen) if seen.owner == *owner => {}
            Some(seen) => {
                seen.owner = owner.clone();
                seen.taken_over_at = Some(now);
            }
            None => {
                let seen = ObservedOwner {
                    owner: owner.clone(),
                    taken_over_at: None,
                };
                self.shards.insert(shard.clone(), seen);
            }
        }
    }

    /// Get the last known owner of a shard.
    pub(super) fn last_owner(&self, shard: &PoolShard) -> Option<&HostName> {
        self.shards.get(shard).map(|seen| &seen.owner)
    }

    /// Record that a host's process has ended. A restarted owner has lost its keys,
    /// which counts as a takeover of its shards.
    pub(super) fn record_termination(&mut self, now: Moment, host: &HostName) {
        let owned = self.shards.values_mut().filter(|seen| seen.owner == *host);
        for seen in owned {
            seen.taken_over_at = Some(now);
        }
    }

    /// Get the shards that a host owns as this host sees it.
    pub(super) fn owned_by(&self, host: &HostName) -> Vec<PoolShard> {
        let owned = self.shards.iter().filter(|(_, seen)| seen.owner == *host);
        owned.map(|(shard, _)| shard.clone()).collect()
    }

    /// Get whether a shard of the pool was taken over within `retention`. Its new owner
    /// may lack keys that the previous owner held.
    fn is_recently_taken_over(&self, now: Moment, pool: &PoolName, retention: Duration) -> bool {
        let mut shards = self.shards.iter().filter(|(shard, _)| shard.pool == *pool);
        shards.any(|(_, seen)| {
            let taken = seen.taken_over_at;
            taken.is_some_and(|at| now < at.plus(retention))
        })
    }
}

impl NodeCore {
    /// Get whether a resubmission of the request at another host, not marked as one,
    /// could run it twice. A marked resubmission is refused during that time.
    pub(super) fn is_exposed(&self, now: Moment, submission: &Submission) -> bool {
        let verdict = &submission.verdict;
        let guarded = verdict.dispatch_once || !verdict.idempotent;
        let marked = submission.resubmission || submission.holder.is_some();
        if !guarded || marked || submission.key.is_none() {
            return false;
        }
        let retention = Duration::from_millis(self.publication.limits.key_retention_ms);
        let recent = self
            .exposure
            .is_recently_taken_over(now, &submission.pool, retention);
        recent || self.shards.is_degraded(&submission.pool)
    }

    /// Count a granted permit if its shard is in degraded mode.
    pub(super) fn count_degraded(&mut self, reply: &OwnerReply) {
        if let OwnerReply::Granted { shard, .. } = reply
            && self.shards.is_degraded_shard(shard)
        {
            self.exposure.counts.degraded_admissions += 1;
        }
    }
}
