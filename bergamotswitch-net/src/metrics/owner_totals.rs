//! Provides the counters of the shards that a host owns.

use std::collections::BTreeMap;

use bergamotswitch_core::pool::PoolShard;
use bergamotswitch_core::pool_owner::ShardView;
use bergamotswitch_core::pool_owner::size_ends::SizeView;
use bergamotswitch_core::refusal::RefusalReason;

use super::labels::{ReasonLabels, ShardLabels, SizeLabels, StateLabels};
use super::{NodeMetrics, gauge_value};

/// The value of the label `domain` for a shard that spans all failure domains.
const ALL_DOMAINS: &str = "all";

/// A `ShardTotals` holds the counts of a shard's owner at the last refresh.
#[derive(Clone, Debug, Default)]
struct ShardTotals {
    preempted: u64,
    reclaimed: u64,
    refusals: BTreeMap<RefusalReason, u64>,
    promises: BTreeMap<&'static str, u64>,
    sizes: BTreeMap<SizeLabels, u64>,
}

/// An `OwnerTotals` accumulates the counts of shard owners, which restart from
/// zero with each takeover. Events between the last refresh and the end of an
/// ownership are not counted.
#[derive(Debug, Default)]
pub struct OwnerTotals {
    shards: BTreeMap<PoolShard, ShardTotals>,
}

impl OwnerTotals {
    /// Update the metrics of owned shards.
    pub fn refresh(&mut self, metrics: &NodeMetrics, views: &[ShardView]) {
        metrics.shard_queue.clear();
        metrics.account_share_ratio_max.set(max_share_ratio(views));
        let mut earlier = std::mem::take(&mut self.shards);
        for view in views {
            let before = earlier.remove(&view.shard).unwrap_or_default();
            let after = totals_of(view);
            add_increase(metrics, &before, &after);
            set_queue(metrics, view);
            self.shards.insert(view.shard.clone(), after);
        }
    }
}

fn totals_of(view: &ShardView) -> ShardTotals {
    let refusals = view.refusals.iter();
    let promises = view.promises.iter();
    ShardTotals {
        preempted: view.preempted,
        reclaimed: view.reclaimed,
        refusals: refusals.map(|found| (found.reason, found.count)).collect(),
        promises: promises.map(|found| (found.state, found.count)).collect(),
        sizes: view.sizes.iter().flat_map(size_counts).collect(),
    }
}

fn size_counts(view: &SizeView) -> impl Iterator<Item = (SizeLabels, u64)> {
    let labels = |end| SizeLabels {
        tier: u32::from(view.tier.0),
        output_from: view.size.least_output(),
        end,
    };
    let counts = view.ends.counts().into_iter();
    counts.map(move |(end, count)| (labels(end), count))
}

/// Get the increase between two counts. A lower count belongs to a new owner,
/// which started from zero.
fn increase(before: u64, after: u64) -> u64 {
    match after.checked_sub(before) {
        Some(difference) => difference,
        None => after,
    }
}

fn add_increase(metrics: &NodeMetrics, before: &ShardTotals, after: &ShardTotals) {
    let preempted = increase(before.preempted, after.preempted);
    metrics.preemptions.inc_by(preempted);
    let reclaimed = increase(before.reclaimed, after.reclaimed);
    metrics.reclaimed_permits.inc_by(reclaimed);
    for (reason, count) in &after.refusals {
        let counted = before.refusals.get(reason).copied().unwrap_or_default();
        let labels = ReasonLabels {
            reason: reason.as_str(),
        };
        let counter = metrics.owner_refusals.get_or_create(&labels);
        counter.inc_by(increase(counted, *count));
    }
    for (state, count) in &after.promises {
        let counted = before.promises.get(state).copied().unwrap_or_default();
        let counter = metrics
            .return_promises
            .get_or_create(&StateLabels { state });
        counter.inc_by(increase(counted, *count));
    }
    for (labels, count) in &after.sizes {
        let counted = before.sizes.get(labels).copied().unwrap_or_default();
        let counter = metrics.request_sizes.get_or_create(labels);
        counter.inc_by(increase(counted, *count));
    }
}

fn max_share_ratio(views: &[ShardView]) -> f64 {
    let shares = views.iter().flat_map(|view| &view.account_shares);
    let highest = shares.map(|share| share.ratio_permille).max();
    highest.map_or(1.0, |permille| permille as f64 / 1_000.0)
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
