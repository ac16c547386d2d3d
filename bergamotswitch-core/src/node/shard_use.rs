//! Provides the tracking of the shards that a host uses.

use std::collections::BTreeMap;
use std::time::Duration;

use super::core::NodeCore;
use crate::clock::Moment;
use crate::failure_domain::DomainName;
use crate::membership::MembershipEvent;
use crate::pool::PoolShard;
use crate::publication::PoolList;

/// How long a shard stays in use after its last request. It avoids a reconnect and an
/// exchange of heartbeats with its owner after short idle times.
const IDLE_RETENTION: Duration = Duration::from_secs(60);

/// The maximum number of shards whose owners are monitored before the first request. Of
/// nine models in eight failure domains, a host monitors the nine of its own domain.
const MAX_WARM_SHARDS: usize = 16;

/// A `ShardUse` is the shards for which a host has, recently had, or expects requests.
#[derive(Debug, Default)]
pub(super) struct ShardUse {
    used_until: BTreeMap<PoolShard, Moment>,
    warm: Vec<PoolShard>,
}

impl ShardUse {
    /// Set the shards to keep in use permanently: those of this failure domain, and
    /// those of pools that have one shard for all domains.
    pub(super) fn warm(&mut self, now: Moment, pools: &PoolList, domain: &DomainName) {
        let mut near = pools.shards();
        // End the use of removed shards, which have no owner to monitor.
        for (shard, until) in &mut self.used_until {
            if !near.contains(shard) {
                *until = now;
            }
        }
        near.retain(|shard| is_near(shard, domain));
        near.truncate(MAX_WARM_SHARDS);
        self.warm = near;
    }

    /// Record the shards that have requests now, and get the changes of use.
    pub(super) fn review(&mut self, now: Moment, working: Vec<PoolShard>) -> Vec<UseChange> {
        let mut changes = Vec::new();
        for shard in working.iter().chain(&self.warm) {
            let until = now.plus(IDLE_RETENTION);
            match self.used_until.get_mut(shard) {
                Some(known) => *known = until,
                None => {
                    self.used_until.insert(shard.clone(), until);
                    changes.push(UseChange::begins(shard));
                }
            }
        }
        let ended = self.used_until.iter().filter(|(_, until)| **until <= now);
        let ended: Vec<PoolShard> = ended.map(|(shard, _)| shard.clone()).collect();
        for shard in ended {
            self.used_until.remove(&shard);
            changes.push(UseChange { shard, used: false });
        }
        changes
    }
}

fn is_near(shard: &PoolShard, domain: &DomainName) -> bool {
    shard.domain.as_ref().is_none_or(|found| found == domain)
}

/// Get whether the hosts of a failure domain keep a shard in use permanently.
pub(super) fn is_warm(shard: &PoolShard, domain: &DomainName, pools: &PoolList) -> bool {
    let shards = pools.shards();
    let mut near = shards.iter().filter(|shard| is_near(shard, domain));
    near.position(|near| near == shard)
        .is_some_and(|position| position < MAX_WARM_SHARDS)
}

/// A `UseChange` is the start or end of a shard's use.
#[derive(Debug)]
pub(super) struct UseChange {
    shard: PoolShard,
    used: bool,
}

impl UseChange {
    fn begins(shard: &PoolShard) -> Self {
        UseChange {
            shard: shard.clone(),
            used: true,
        }
    }
}

impl NodeCore {
    /// Notify membership of changes in the shards that this host uses.
    pub(super) fn track_use(&mut self, now: Moment) {
        let working = self.entry.used_shards();
        for change in self.shard_use.review(now, working) {
            let event = MembershipEvent::Using(change.shard, change.used);
            self.notify_membership(now, event);
        }
    }
}
