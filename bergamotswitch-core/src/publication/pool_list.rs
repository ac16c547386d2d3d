//! Provides the published pools and their targets.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use serde_json::Value;

use super::duplicates::{fields, refuse_duplicate_addresses, refuse_duplicate_names};
use super::json_node::{JsonNode, ReadJson, read_value};
use super::named_choice::read_choice;
use super::object_reader::ObjectReader;
use crate::contract::TargetContract;
use crate::error::Findings;
use crate::pool::{PoolKind, PoolName, PoolShard, TargetPool};
use crate::revision::POOLS_VALUE;
use crate::target::{DEFAULT_SPEED, DEFAULT_TOKEN_LIMIT, PoolTarget, TargetName, TargetVersion};

/// The allowed initial speed estimates of a target, in tokens per second.
pub const SPEED_RANGE: RangeInclusive<u64> = 1..=10_000_000;
/// The allowed token limits of a target.
pub const TOKEN_LIMIT_RANGE: RangeInclusive<u64> = 1..=1_000_000_000;

/// The allowed numbers of concurrent requests of a target.
pub const SLOT_RANGE: RangeInclusive<u64> = 1..=100_000;

/// A `PoolList` is the list of published pools.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolList {
    pools: Vec<TargetPool>,
}

/// A `TargetWithPool` is a target together with the pool that it belongs to.
#[derive(Clone, Copy, Debug)]
pub struct TargetWithPool<'a> {
    /// The pool.
    pub pool: &'a TargetPool,
    /// The target.
    pub target: &'a PoolTarget,
}

impl PoolList {
    /// Create a list of these pools.
    pub fn new(pools: Vec<TargetPool>) -> Self {
        PoolList { pools }
    }

    /// Get the pool with this name.
    pub fn pool(&self, name: &PoolName) -> Option<&TargetPool> {
        self.pools.iter().find(|pool| pool.name == *name)
    }

    /// Get the pools in published order.
    pub fn pools(&self) -> &[TargetPool] {
        &self.pools
    }

    /// Get the target with this name.
    pub fn target(&self, name: &TargetName) -> Option<&PoolTarget> {
        self.target_with_pool(name).map(|found| found.target)
    }

    /// Get the target with this name together with its pool.
    pub fn target_with_pool(&self, name: &TargetName) -> Option<TargetWithPool<'_>> {
        self.pools.iter().find_map(|pool| {
            let target = pool.targets.iter().find(|target| target.name == *name)?;
            Some(TargetWithPool { pool, target })
        })
    }

    /// Get the shards of all pools. A pool is one shard, or has a shard for each
    /// failure domain of its targets if it is sharded by domain.
    pub fn shards(&self) -> Vec<PoolShard> {
        self.pools.iter().flat_map(pool_shards).collect()
    }
}

fn pool_shards(pool: &TargetPool) -> Vec<PoolShard> {
    if !pool.shard_by_domain {
        return vec![PoolShard {
            pool: pool.name.clone(),
            domain: None,
        }];
    }
    let domains: BTreeSet<_> = pool.targets.iter().map(|target| &target.domain).collect();
    domains
        .into_iter()
        .map(|domain| PoolShard {
            pool: pool.name.clone(),
            domain: Some(domain.clone()),
        })
        .collect()
}

impl TryFrom<&Value> for PoolList {
    type Error = Findings;

    fn try_from(value: &Value) -> Result<Self, Findings> {
        read_value(POOLS_VALUE, value)
    }
}

impl ReadJson for PoolList {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let pools = object.required("pools");
        object.finish();
        refuse_duplicate_targets(node, findings);
        Some(PoolList { pools: pools? })
    }
}

/// Report duplicate names and addresses of targets, also across pools. Two pools
/// that share a target would each grant all of its slots.
fn refuse_duplicate_targets(node: &JsonNode<'_>, findings: &mut Findings) {
    let pools = node.field("pools").map(|list| list.elements());
    let pools = pools.unwrap_or_default();
    refuse_duplicate_names(&pools, findings);
    let targets: Vec<JsonNode<'_>> = pools
        .iter()
        .filter_map(|pool| pool.field("targets"))
        .flat_map(|list| list.elements())
        .collect();
    refuse_duplicate_names(&targets, findings);
    refuse_duplicate_addresses(&fields(&targets, "address"), findings);
}

impl ReadJson for TargetPool {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let name = object.required("name");
        let kind = object.or_default("kind");
        let shard_by_domain = object.or_default("shard_by_domain");
        let targets = object.required("targets");
        object.finish();
        Some(TargetPool {
            name: name?,
            kind: kind?,
            shard_by_domain: shard_by_domain?,
            targets: targets?,
        })
    }
}

impl ReadJson for PoolKind {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let choices = [("engine", PoolKind::Engine), ("plain", PoolKind::Plain)];
        read_choice(node, &choices, findings)
    }
}

impl ReadJson for PoolTarget {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let name = object.required("name");
        let domain = object.required("domain");
        let address = object.required::<super::host_list::ConnectAddress>("address");
        let contract = object.or_default("contract");
        let speed = object.number("expected_speed", &SPEED_RANGE);
        let limit = object.number("token_limit", &TOKEN_LIMIT_RANGE);
        let slots = object.number("slots", &SLOT_RANGE);
        object.finish();
        Some(PoolTarget {
            name: name?,
            domain: domain?,
            address: address?.0,
            contract: contract?,
            expected_speed: speed?.map_or(DEFAULT_SPEED, |speed| speed as u32),
            token_limit: limit?.map_or(DEFAULT_TOKEN_LIMIT, |limit| limit as u32),
            slots: slots?.map(|slots| slots as u32),
            started_at_ms: None,
            version: TargetVersion::default(),
        })
    }
}

impl ReadJson for TargetContract {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let checks_fencing = object.or_default("checks_fencing");
        let resumes = object.or_default("resumes");
        let cancels = object.or_default("cancels");
        let refusal_means_not_run = object.or_default("refusal_means_not_run");
        let moves_cache = object.or_default("moves_cache");
        object.finish();
        Some(TargetContract {
            checks_fencing: checks_fencing?,
            resumes: resumes?,
            cancels: cancels?,
            refusal_means_not_run: refusal_means_not_run?,
            moves_cache: moves_cache?,
        })
    }
}
