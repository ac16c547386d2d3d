//! Provides the pools that are built from registered targets.

use std::collections::BTreeMap;

use crate::contract::TargetContract;
use crate::pool::{PoolKind, PoolName, TargetPool};
use crate::route::{PoolSpec, RouteTable};
use crate::target::{DEFAULT_SPEED, PoolTarget};
use crate::target_list::{TargetEntry, TargetList};

use super::PoolList;

/// The token limit of a plain service's target, which is bounded only by its
/// slots.
const PLAIN_TOKEN_LIMIT: u32 = u32::MAX;

/// The contract of registered targets, which report with a refusal that the call
/// was not executed.
const REGISTERED_CONTRACT: TargetContract = TargetContract {
    checks_fencing: false,
    resumes: false,
    cancels: false,
    refusal_means_not_run: true,
    moves_cache: false,
};

/// Get the pools of the registered targets in the order of their names.
/// Registrations for a pool that the routes do not list are ignored, so that
/// writers to the store cannot create an unbounded number of pools, each with an
/// owner and a queue.
pub(super) fn pools(list: &TargetList, routes: &RouteTable) -> PoolList {
    let mut pools: BTreeMap<&PoolName, Vec<PoolTarget>> = BTreeMap::new();
    for entry in &list.targets {
        let Some(spec) = routes.pool(&entry.pool) else {
            continue;
        };
        let targets = pools.entry(&entry.pool).or_default();
        targets.push(pool_target(entry, spec));
    }
    let pools = pools.into_iter().map(|(name, targets)| TargetPool {
        name: name.clone(),
        kind: pool_kind(routes.pool(name)),
        shard_by_domain: false,
        targets,
    });
    PoolList::new(pools.collect())
}

fn pool_kind(spec: Option<&PoolSpec>) -> PoolKind {
    match spec.and_then(|spec| spec.engine) {
        Some(_) => PoolKind::Engine,
        None => PoolKind::Plain,
    }
}

fn pool_target(entry: &TargetEntry, spec: &PoolSpec) -> PoolTarget {
    let engine = spec.engine;
    PoolTarget {
        name: entry.name.clone(),
        domain: entry.domain.clone(),
        address: entry.address,
        contract: REGISTERED_CONTRACT,
        expected_speed: DEFAULT_SPEED,
        token_limit: engine.map_or(PLAIN_TOKEN_LIMIT, |engine| engine.cache_tokens),
        slots: Some(entry.slots.max(1)),
        started_at_ms: entry.started_at_ms,
        version: entry.version.clone(),
    }
}
