//! Provides the exchange of target failures between shard owners.
//!
//! A new owner has no backoff state. Failed targets look idle to it and would
//! get its first permits, so each change of owner would cause a wave of failed
//! requests.

use std::time::Duration;

use crate::clock::Moment;
use crate::incident::Incident;
use crate::permit::FailedTarget;
use crate::pool_owner::OwnerAction;
use crate::pool_owner::owner::ShardOwner;

use super::target_change::is_later;

impl ShardOwner {
    /// Get the targets that are backed off, to report them to the next owner.
    pub fn failed_targets(&self, now: Moment) -> Vec<FailedTarget> {
        let live = self.targets.values().filter(|load| !load.is_draining());
        let failed = live.filter(|load| load.back_off().is_active());
        let failed = failed.map(|load| {
            let probe_at = load.back_off().probe_at().unwrap_or(now);
            let probe_in = probe_at.since(now).as_millis();
            FailedTarget {
                target: load.target().name.clone(),
                started_at_ms: load.target().started_at_ms,
                probe_in_ms: u32::try_from(probe_in).unwrap_or(u32::MAX),
            }
        });
        failed.collect()
    }

    /// Back off from targets that another owner reported as failed. Reports are
    /// ignored if the target has completed a run here, if they concern an
    /// earlier process of the target, or if most targets would be backed off:
    /// the sender may have been partitioned from working targets.
    pub(in crate::pool_owner) fn on_failed_targets(
        &mut self,
        now: Moment,
        failed: &[FailedTarget],
        actions: &mut Vec<OwnerAction>,
    ) {
        for report in failed {
            if self.would_exceed_back_off_limit() {
                return;
            }
            let Some(load) = self.targets.get_mut(&report.target) else {
                continue;
            };
            if load.has_run() {
                continue;
            }
            if is_later(load.target().started_at_ms, report.started_at_ms) {
                continue;
            }
            let probe_in = Duration::from_millis(report.probe_in_ms.into());
            if load.back_off_mut().mark_reported(now, probe_in) {
                actions.push(self.incident_action(Incident::TargetBackedOff, &report.target));
            }
        }
    }

    /// Get whether more than half of the targets would be backed off if one
    /// more were.
    pub(in crate::pool_owner) fn would_exceed_back_off_limit(&self) -> bool {
        let live = self.targets.values().filter(|load| !load.is_draining());
        let backed_off = live.clone().filter(|load| load.back_off().is_active());
        (backed_off.count() + 1) * 2 > live.count()
    }
}
