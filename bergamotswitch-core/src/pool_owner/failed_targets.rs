//! Provides what an owner learns of failed targets from the one before it or
//! beside it.
//!
//! A new owner knows no back-off. Dead targets look idle to it, so it gives its
//! first permits for these, and one would see a wave of requests that reach no
//! target, or are refused, after each change of owner.

use std::time::Duration;

use crate::clock::Moment;
use crate::incident::Incident;
use crate::permit::FailedTarget;

use super::OwnerAction;
use super::owner::ShardOwner;
use super::target_change::is_later;

impl ShardOwner {
    /// Get the targets that get no normal work now, for the next owner.
    pub fn failed_targets(&self, now: Moment) -> Vec<FailedTarget> {
        let live = self.targets.values().filter(|load| !load.is_leaving());
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

    /// Let the targets that failed another owner prove themselves before they get
    /// normal work. Not believed are reports of a target that has answered here, of
    /// a target's former run, nor so many that most would be out: the sender may
    /// have been cut off from targets that work.
    pub(super) fn on_failed_targets(
        &mut self,
        now: Moment,
        failed: &[FailedTarget],
        actions: &mut Vec<OwnerAction>,
    ) {
        for told in failed {
            if self.would_most_be_out() {
                return;
            }
            let Some(load) = self.targets.get_mut(&told.target) else {
                continue;
            };
            if load.is_known() {
                continue;
            }
            if is_later(load.target().started_at_ms, told.started_at_ms) {
                continue;
            }
            let probe_in = Duration::from_millis(told.probe_in_ms.into());
            if load.back_off_mut().learn(now, probe_in) {
                actions.push(self.note(Incident::TargetBackedOff, &told.target));
            }
        }
    }

    /// Get whether half of the targets or more would be backed off with one more.
    pub(super) fn would_most_be_out(&self) -> bool {
        let live = self.targets.values().filter(|load| !load.is_leaving());
        let backed_off = live.clone().filter(|load| load.back_off().is_active());
        (backed_off.count() + 1) * 2 > live.count()
    }
}
