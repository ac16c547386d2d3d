//! Provides the estimation of a target's request limit from its load reports.

use crate::target::LoadReport;

/// The requests that may wait inside the target beyond its batch, as a divisor
/// of the batch size and as a minimum: a slot that becomes free must be
/// refilled before the owner is notified.
const EXTRA_SLOTS_DIVISOR: usize = 16;
const EXTRA_SLOTS_MIN: usize = 1;

/// A `SlotLimit` is the number of requests that a target serves concurrently,
/// as estimated from its load reports.
///
/// The token limit does not determine the batch size. Requests beyond the batch
/// wait inside the target, which does not know priorities, so top-tier requests
/// would be delayed by earlier lower-tier ones.
#[derive(Debug, Default)]
pub struct SlotLimit {
    slots: Option<usize>,
}

impl SlotLimit {
    /// Apply a load report. If requests wait, those that run are the batch; if
    /// none waits, one more may fit.
    pub fn report(&mut self, report: &LoadReport) {
        let running = report.running as usize;
        match (report.waiting, self.slots) {
            (0, Some(slots)) if running + EXTRA_SLOTS_MIN >= slots => self.slots = Some(slots + 1),
            (0, _) => {}
            (_, _) if running == 0 => {}
            _ => self.slots = Some(running + EXTRA_SLOTS_MIN.max(running / EXTRA_SLOTS_DIVISOR)),
        }
    }

    /// Get whether one more request fits beside `permits`.
    pub fn fits(&self, permits: usize) -> bool {
        self.slots.is_none_or(|slots| permits < slots)
    }
}
