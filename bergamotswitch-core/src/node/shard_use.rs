//! Provides the memory of which shards a host has use for.

use std::collections::BTreeMap;
use std::time::Duration;

use super::core::NodeCore;
use crate::clock::Moment;
use crate::failure_domain::DomainName;
use crate::membership::MembershipEvent;
use crate::pool::PoolShard;
use crate::publication::PoolList;

/// How long a shard stays in use after its last work. A caller's next request
/// mostly comes within it; without it each pause would end with a dial and an
/// exchange of heartbeats.
const KEPT_IN_USE: Duration = Duration::from_secs(60);

/// The most shards whose owners are watched before any work. With nine models
/// in eight failure domains a host warms the nine of its own domain, of 72.
const MAX_WARM_SHARDS: usize = 16;

/// A `ShardUse` is the shards that a host has, had or expects work for.
#[derive(Debug, Default)]
pub(super) struct ShardUse {
    used_until: BTreeMap<PoolShard, Moment>,
    warm: Vec<PoolShard>,
}

impl ShardUse {
    /// Expect work for the shards that callers of this failure domain use:
    /// those of the domain, and those of pools with one order for all.
    pub(super) fn warm(&mut self, now: Moment, pools: &PoolList, domain: &DomainName) {
        let mut near = pools.shards();
        // A shard that is no more has no owner to watch.
        for (shard, until) in &mut self.used_until {
            if !near.contains(shard) {
                *until = now;
            }
        }
        near.retain(|shard| shard.domain.as_ref().is_none_or(|found| found == domain));
        near.truncate(MAX_WARM_SHARDS);
        self.warm = near;
    }

    /// Take note of the shards with work now; get what has changed.
    pub(super) fn review(&mut self, now: Moment, working: Vec<PoolShard>) -> Vec<UseChange> {
        let mut changes = Vec::new();
        for shard in working.iter().chain(&self.warm) {
            let until = now.plus(KEPT_IN_USE);
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

/// A `UseChange` is that a host begins or ceases to have use for a shard.
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
    /// Tell membership which shards this host has use for, on change.
    pub(super) fn track_use(&mut self, now: Moment) {
        let working = self.desk.used_shards();
        for change in self.shard_use.review(now, working) {
            let event = MembershipEvent::Using(change.shard, change.used);
            self.tell_membership(now, event);
        }
    }
}
