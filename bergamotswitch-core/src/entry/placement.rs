//! Provides the selection of the shard on which a request may run, based on the
//! published pools and the draining targets.

use std::collections::{BTreeMap, BTreeSet};

use crate::contract::TargetContract;
use crate::failure_domain::DomainName;
use crate::pool::{PoolName, PoolShard, TargetPool};
use crate::rules::Verdict;
use crate::target::{PoolTarget, TargetName};

/// A `ShardQuery` selects the shard for a permit request.
#[derive(Debug)]
pub(super) struct ShardQuery<'a> {
    pub(super) pool: &'a PoolName,
    pub(super) verdict: &'a Verdict,
    /// Targets on which the request failed.
    pub(super) avoid: &'a [TargetName],
    /// A number that distributes requests over the shards of other domains.
    pub(super) spread: u64,
    /// The hash of the key, if the request must not run twice.
    pub(super) run_once_key: Option<u128>,
}

/// A `PoolMap` is this host's view of the pools.
#[derive(Debug, Default)]
pub(super) struct PoolMap {
    pools: BTreeMap<PoolName, TargetPool>,
    draining: BTreeSet<TargetName>,
    domain: Option<DomainName>,
}

impl PoolMap {
    /// Create an empty view for a host in this failure domain.
    pub(super) fn new(domain: Option<DomainName>) -> Self {
        PoolMap {
            domain,
            ..PoolMap::default()
        }
    }

    /// Replace the published pools.
    pub(super) fn set_pools(&mut self, pools: Vec<TargetPool>) {
        self.pools = pools
            .into_iter()
            .map(|pool| (pool.name.clone(), pool))
            .collect();
    }

    /// Set whether a target is draining.
    pub(super) fn set_draining(&mut self, target: TargetName, draining: bool) {
        match draining {
            true => self.draining.insert(target),
            false => self.draining.remove(&target),
        };
    }

    pub(super) fn is_draining(&self, target: &TargetName) -> bool {
        self.draining.contains(target)
    }

    /// Get the contract of a target. An unknown target guarantees nothing.
    pub(super) fn contract(&self, pool: &PoolName, target: &TargetName) -> TargetContract {
        let pool = self.pools.get(pool);
        let known = pool.and_then(|pool| pool.targets.iter().find(|each| each.name == *target));
        match known {
            Some(target) => target.contract,
            None => TargetContract::default(),
        }
    }

    /// Get the pools.
    pub(super) fn iter(&self) -> impl Iterator<Item = &TargetPool> {
        self.pools.values()
    }

    /// Get the targets of a pool.
    pub(super) fn targets_of(&self, pool: &PoolName) -> &[PoolTarget] {
        let pool = self.pools.get(pool);
        pool.map_or(&[], |pool| &pool.targets)
    }

    /// Get a target of any pool.
    pub(super) fn target(&self, target: &TargetName) -> Option<&PoolTarget> {
        let mut targets = self.pools.values().flat_map(|pool| &pool.targets);
        targets.find(|known| known.name == *target)
    }

    /// Get whether any pool has this target.
    pub(super) fn has_target(&self, target: &TargetName) -> bool {
        self.target(target).is_some()
    }

    /// Get whether a request may wait in the queue of a shard.
    pub(super) fn allows(&self, shard: &PoolShard, verdict: &Verdict) -> bool {
        self.shards(&shard.pool, verdict).contains(shard)
    }

    /// Get the shard for a permit request, or `None` if the rule allows none.
    pub(super) fn shard_for(&self, query: &ShardQuery) -> Option<PoolShard> {
        let shards = self.shards(query.pool, query.verdict);
        if let Some(home) = self.home_shard(&shards, query) {
            return Some(home.clone());
        }
        let usable: Vec<&PoolShard> = shards
            .iter()
            .filter(|shard| self.has_usable_target(shard, query.avoid))
            .collect();
        let local = usable
            .iter()
            .find(|shard| shard.domain.is_some() && shard.domain == self.domain);
        if let Some(shard) = local {
            return Some((*shard).clone());
        }
        if !usable.is_empty() {
            let index = query.spread % usable.len() as u64;
            return Some(usable[index as usize].clone());
        }
        // Every target failed or is draining. Try a failed target rather than
        // none.
        let local = shards.iter().find(|shard| shard.domain == self.domain);
        local.or(shards.first()).cloned()
    }

    /// Get the shard of a key that must not run twice, which is the same on
    /// every host. If each host used the shard of its own domain, two owners
    /// would each grant a permit for the key, and an unmarked resubmission at
    /// another host would run a second time.
    fn home_shard<'a>(&self, shards: &'a [PoolShard], query: &ShardQuery) -> Option<&'a PoolShard> {
        let key = query.run_once_key?;
        let count = u128::try_from(shards.len()).ok()?;
        let index = usize::try_from(key.checked_rem(count)?).ok()?;
        let home = shards.get(index)?;
        self.has_usable_target(home, query.avoid).then_some(home)
    }

    pub(super) fn shards_of(&self, name: &PoolName) -> Vec<PoolShard> {
        self.shards_in(name, &[])
    }

    /// Get the shards of a pool on which a rule allows a request to run.
    fn shards(&self, name: &PoolName, verdict: &Verdict) -> Vec<PoolShard> {
        self.shards_in(name, &verdict.domains)
    }

    /// Get the shards of a pool in the given failure domains, or all shards if
    /// none is given.
    fn shards_in(&self, name: &PoolName, allowed: &[DomainName]) -> Vec<PoolShard> {
        let unsharded = PoolShard {
            pool: name.clone(),
            domain: None,
        };
        let Some(pool) = self.pools.get(name) else {
            // The pools may not have been published yet; the owner decides.
            return vec![unsharded];
        };
        let allowed = |target: &&PoolTarget| allowed.is_empty() || allowed.contains(&target.domain);
        let domains: BTreeSet<&DomainName> = pool
            .targets
            .iter()
            .filter(allowed)
            .map(|target| &target.domain)
            .collect();
        match pool.shard_by_domain {
            true => domains
                .into_iter()
                .map(|domain| PoolShard {
                    pool: name.clone(),
                    domain: Some(domain.clone()),
                })
                .collect(),
            false if domains.is_empty() => Vec::new(),
            false => vec![unsharded],
        }
    }

    /// Get whether a shard has a target that neither failed nor is draining.
    fn has_usable_target(&self, shard: &PoolShard, avoid: &[TargetName]) -> bool {
        let Some(pool) = self.pools.get(&shard.pool) else {
            return true;
        };
        pool.targets
            .iter()
            .filter(|target| {
                shard.domain.is_none() || shard.domain.as_ref() == Some(&target.domain)
            })
            .any(|target| !avoid.contains(&target.name) && !self.is_draining(&target.name))
    }
}
