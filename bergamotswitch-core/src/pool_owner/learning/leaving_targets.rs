//! Provides the handling of targets that said in an answer that they leave.

use crate::permit::LeavingTarget;
use crate::pool_owner::OwnerAction;
use crate::pool_owner::owner::ShardOwner;

use super::target_change::is_later;

impl ShardOwner {
    /// Grant no more permits for targets that leave, until their next start. Their
    /// published state may be older.
    pub(in crate::pool_owner) fn on_leaving_targets(
        &mut self,
        leaving: Vec<LeavingTarget>,
        actions: &mut Vec<OwnerAction>,
    ) {
        for report in leaving {
            let Some(load) = self.targets.get_mut(&report.target) else {
                continue;
            };
            if is_later(load.target().started_at_ms, report.started_at_ms) {
                continue;
            }
            load.mark_leaving();
            self.leaving
                .insert(report.target.clone(), report.started_at_ms);
            self.remove_if_drained(&report.target);
        }
        self.refuse_unplaceable(actions);
    }
}
