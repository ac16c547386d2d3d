//! Provides the metrics of the shards that a host owns.

use std::collections::BTreeMap;

use bergamotswitch_core::pool::PoolShard;
use bergamotswitch_core::pool_owner::ShardView;
use bergamotswitch_core::refusal::RefusalReason;

use super::labels::{ReasonLabels, ShardLabels};
use super::{NodeMetrics, gauge_value};

/// The label `domain` of a shard that is not one failure domain's.
const ALL_DOMAINS: &str = "all";

/// A `ShardTotals` is what a shard's owner had counted at the last look.
#[derive(Clone, Debug, Default)]
struct ShardTotals {
    preempted: u64,
    reclaimed: u64,
    refusals: BTreeMap<RefusalReason, u64>,
}

/// An `OwnerTotals` adds up what owners count, who begin at zero with each
/// takeover. What a host counted between the last look and the end of an
/// ownership is not in them.
#[derive(Debug, Default)]
pub struct OwnerTotals {
    shards: BTreeMap<PoolShard, ShardTotals>,
}

impl OwnerTotals {
    /// Bring the metrics of owned shards up to date.
    pub fn refresh(&mut self, metrics: &NodeMetrics, views: &[ShardView]) {
        metrics.shard_queue.clear();
        let mut earlier = std::mem::take(&mut self.shards);
        for view in views {
            let before = earlier.remove(&view.shard).unwrap_or_default();
            let after = totals_of(view);
            add(metrics, &before, &after);
            set_queue(metrics, view);
            self.shards.insert(view.shard.clone(), after);
        }
    }
}

fn totals_of(view: &ShardView) -> ShardTotals {
    let refusals = view.refusals.iter();
    ShardTotals {
        preempted: view.preempted,
        reclaimed: view.reclaimed,
        refusals: refusals.map(|found| (found.reason, found.count)).collect(),
    }
}

/// Get what was counted since; a lower count is that of a new owner.
fn growth(before: u64, after: u64) -> u64 {
    match after.checked_sub(before) {
        Some(grown) => grown,
        None => after,
    }
}

fn add(metrics: &NodeMetrics, before: &ShardTotals, after: &ShardTotals) {
    let preempted = growth(before.preempted, after.preempted);
    metrics.preemptions.inc_by(preempted);
    let reclaimed = growth(before.reclaimed, after.reclaimed);
    metrics.reclaimed_permits.inc_by(reclaimed);
    for (reason, count) in &after.refusals {
        let counted = before.refusals.get(reason).copied().unwrap_or_default();
        let labels = ReasonLabels {
            reason: reason.as_str(),
        };
        let counter = metrics.owner_refusals.get_or_create(&labels);
        counter.inc_by(growth(counted, *count));
    }
}

fn set_queue(metrics: &NodeMetrics, view: &ShardView) {
    let domain = match &view.shard.domain {
        Some(domain) => domain.as_str(),
        None => ALL_DOMAINS,
    };
    for queued in &view.queued {
        let labels = ShardLabels {
            pool: view.shard.pool.as_str().to_owned(),
            domain: domain.to_owned(),
            tier: u32::from(queued.tier.0),
        };
        let gauge = metrics.shard_queue.get_or_create(&labels);
        gauge.set(gauge_value(queued.requests));
    }
}
