//! Provides the update of the gauges from a host's view.

use bergamotswitch_core::node::NodeView;
use bergamotswitch_core::pool_owner::ShardView;
use bergamotswitch_core::rules::Tier;

use crate::metrics::NodeMetrics;

/// Update the gauges from the view.
pub(super) fn refresh(metrics: &NodeMetrics, view: &NodeView) {
    for (tier, waiting) in view.entry.waiting.iter().enumerate() {
        metrics.set_queued(Tier(tier as u8), *waiting as usize);
    }
    let running: u32 = view.entry.running.iter().sum();
    metrics.set_running(running as usize);
    for value in &view.revisions.values {
        metrics.set_revision(&value.name, value.in_force.unwrap_or_default());
    }
    let reachable = view
        .peers
        .iter()
        .filter(|peer| peer.reachable == Some(true));
    metrics.set_peers(reachable.count());
    metrics.set_owned_shards(view.owns.len());
    metrics.set_degraded_admissions(view.counts.degraded_admissions);
    metrics.set_unmarked_exposure(view.counts.unmarked_exposure);
    metrics.set_load(view.load_permille);
    let entry = &view.entry;
    metrics.set_crashed_calls(entry.crashed_calls, entry.quarantined_calls);
    metrics.set_limited_targets(entry.limited_targets);
    let slow = view.shards.iter().map(ShardView::slow_targets).sum();
    metrics.set_paces(slow, entry.malformed_paces);
    metrics.set_lost_paths(entry.lost_paths);
    metrics.set_cold_targets(view.cold_targets);
    metrics.set_evacuated_domains(view.evacuated.len());
}
