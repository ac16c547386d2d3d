//! Provides where a request may run: the shards of the published pools and
//! the targets that are leaving in this host's view.

use std::collections::{BTreeMap, BTreeSet};

use crate::contract::TargetContract;
use crate::failure_domain::DomainName;
use crate::pool::{PoolName, PoolShard, TargetPool};
use crate::rules::Verdict;
use crate::target::{PoolTarget, TargetName};

/// A `ShardQuery` is what decides the shard at which to ask for a request.
#[derive(Debug)]
pub(super) struct ShardQuery<'a> {
    pub(super) pool: &'a PoolName,
    pub(super) verdict: &'a Verdict,
    /// Targets that the request failed on.
    pub(super) avoid: &'a [TargetName],
    /// Spreads requests over foreign domains.
    pub(super) spread: u64,
    /// The hash of the key, where the request must not run twice.
    pub(super) run_once_key: Option<u128>,
}

/// A `PoolMap` is this host's view of the pools.
#[derive(Debug, Default)]
pub(super) struct PoolMap {
    pools: BTreeMap<PoolName, TargetPool>,
    leaving: BTreeSet<TargetName>,
    domain: Option<DomainName>,
}

impl PoolMap {
    /// Get an empty view of a host in this failure domain.
    pub(super) fn new(domain: Option<DomainName>) -> Self {
        PoolMap {
            domain,
            ..PoolMap::default()
        }
    }

    /// Take in the published pools.
    pub(super) fn set_pools(&mut self, pools: Vec<TargetPool>) {
        self.pools = pools
            .into_iter()
            .map(|pool| (pool.name.clone(), pool))
            .collect();
    }

    /// Note whether a target is leaving.
    pub(super) fn set_leaving(&mut self, target: TargetName, leaving: bool) {
        match leaving {
            true => self.leaving.insert(target),
            false => self.leaving.remove(&target),
        };
    }

    /// Get whether a target is leaving.
    pub(super) fn is_leaving(&self, target: &TargetName) -> bool {
        self.leaving.contains(target)
    }

    /// Get a target's contract; an unknown target promises nothing.
    pub(super) fn contract(&self, pool: &PoolName, target: &TargetName) -> TargetContract {
        let pool = self.pools.get(pool);
        let known = pool.and_then(|pool| pool.targets.iter().find(|each| each.name == *target));
        match known {
            Some(target) => target.contract,
            None => TargetContract::default(),
        }
    }

    /// Get whether a request may still wait at a shard.
    pub(super) fn allows(&self, shard: &PoolShard, verdict: &Verdict) -> bool {
        self.shards(&shard.pool, verdict).contains(shard)
    }

    /// Get the shard at which to ask, or `None` where the rule lets the
    /// request run nowhere.
    pub(super) fn shard_for(&self, shard_query: &ShardQuery) -> Option<PoolShard> {
        let shards = self.shards(shard_query.pool, shard_query.verdict);
        if let Some(home) = self.home_shard(&shards, shard_query) {
            return Some(home.clone());
        }
        let usable: Vec<&PoolShard> = shards
            .iter()
            .filter(|shard| self.has_usable_target(shard, shard_query.avoid))
            .collect();
        let own = usable
            .iter()
            .find(|shard| shard.domain.is_some() && shard.domain == self.domain);
        if let Some(shard) = own {
            return Some((*shard).clone());
        }
        if !usable.is_empty() {
            let index = shard_query.spread % usable.len() as u64;
            return Some(usable[index as usize].clone());
        }
        // Every target failed or leaves: a target that failed before is
        // better than none.
        let own = shards.iter().find(|shard| shard.domain == self.domain);
        own.or(shards.first()).cloned()
    }

    /// Get the shard of a key that must not run twice: the same one at every
    /// host. Were each host to ask in its own domain, two owners would each
    /// permit the key once, and an unmarked retry at another host would run it
    /// twice.
    fn home_shard<'a>(
        &self,
        shards: &'a [PoolShard],
        shard_query: &ShardQuery,
    ) -> Option<&'a PoolShard> {
        let key = shard_query.run_once_key?;
        let count = u128::try_from(shards.len()).ok()?;
        let index = usize::try_from(key.checked_rem(count)?).ok()?;
        let home = shards.get(index)?;
        self.has_usable_target(home, shard_query.avoid)
            .then_some(home)
    }

    /// Get all shards of a pool.
    pub(super) fn shards_of(&self, name: &PoolName) -> Vec<PoolShard> {
        self.shards_in(name, &[])
    }

    /// Get the shards where a rule lets a request of the pool run.
    fn shards(&self, name: &PoolName, verdict: &Verdict) -> Vec<PoolShard> {
        self.shards_in(name, &verdict.domains)
    }

    /// Get the shards of a pool in these failure domains, or in all where
    /// none is named.
    fn shards_in(&self, name: &PoolName, allowed: &[DomainName]) -> Vec<PoolShard> {
        let whole = PoolShard {
            pool: name.clone(),
            domain: None,
        };
        let Some(pool) = self.pools.get(name) else {
            // The pools may not have arrived yet; the owner will know.
            return vec![whole];
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
            false => vec![whole],
        }
    }

    /// Get whether a shard has a target that neither failed nor leaves.
    fn has_usable_target(&self, shard: &PoolShard, avoid: &[TargetName]) -> bool {
        let Some(pool) = self.pools.get(&shard.pool) else {
            return true;
        };
        pool.targets
            .iter()
            .filter(|target| {
                shard.domain.is_none() || shard.domain.as_ref() == Some(&target.domain)
            })
            .any(|target| !avoid.contains(&target.name) && !self.is_leaving(&target.name))
    }
}
