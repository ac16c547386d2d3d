//! Provides the counting of what a host does while the shard's order is not
//! whole: admissions without an owner, and requests whose unmarked
//! resubmission could run twice.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::core::NodeCore;
use crate::clock::Moment;
use crate::entry::Submission;
use crate::host::HostName;
use crate::permit::OwnerReply;
use crate::pool::{PoolName, PoolShard};

/// A `NodeCounts` is what a host has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct NodeCounts {
    /// Permits given by this host's own fraction, without an owner.
    pub degraded_admissions: u64,
    /// Keyed requests that must not run twice, accepted while an unmarked
    /// resubmission of them could not have been recognized.
    pub unmarked_exposure: u64,
}

/// A `ObservedOwner` is the owner of a shard in this host's view.
#[derive(Debug)]
struct ObservedOwner {
    owner: HostName,
    /// When another host was the owner last.
    taken_over_at: Option<Moment>,
}

/// An `ExposureTracker` knows which shards changed hands a short time ago.
#[derive(Debug, Default)]
pub(super) struct ExposureTracker {
    shards: BTreeMap<PoolShard, ObservedOwner>,
    pub(super) counts: NodeCounts,
}

impl ExposureTracker {
    /// Take note of a shard's owner.
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

    /// Get the last owner of a shard in this host's view.
    pub(super) fn last_owner(&self, shard: &PoolShard) -> Option<&HostName> {
        self.shards.get(shard).map(|seen| &seen.owner)
    }

    /// Take note that a host's run has ended: its next one knows no keys.
    pub(super) fn record_run_end(&mut self, now: Moment, host: &HostName) {
        let owned = self.shards.values_mut().filter(|seen| seen.owner == *host);
        for seen in owned {
            seen.taken_over_at = Some(now);
        }
    }

    /// Get the shards that a host owns in this host's view.
    pub(super) fn owned_by(&self, host: &HostName) -> Vec<PoolShard> {
        let owned = self.shards.iter().filter(|(_, seen)| seen.owner == *host);
        owned.map(|(shard, _)| shard.clone()).collect()
    }

    /// Get whether an order of the pool was taken over within `retention`: its
    /// owner may not know the keys that its predecessor knew.
    fn is_recently_taken_over(&self, now: Moment, pool: &PoolName, retention: Duration) -> bool {
        let mut shards = self.shards.iter().filter(|(shard, _)| shard.pool == *pool);
        shards.any(|(_, seen)| {
            let taken = seen.taken_over_at;
            taken.is_some_and(|at| now < at.plus(retention))
        })
    }
}

impl NodeCore {
    /// Get whether an unmarked resubmission of a request, at another host, would
    /// run it twice. A marked one is refused in this time.
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

    /// Count a permit of a degraded order.
    pub(super) fn count_degraded(&mut self, reply: &OwnerReply) {
        if let OwnerReply::Granted { shard, .. } = reply
            && self.shards.is_degraded_shard(shard)
        {
            self.exposure.counts.degraded_admissions += 1;
        }
    }
}
