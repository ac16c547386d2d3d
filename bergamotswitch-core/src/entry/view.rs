//! Provides the entry side's view of itself for operators.

use serde::Serialize;

use crate::rules::{GATEWAY_TIER_COUNT, Tier};

/// A `EntryView` is what an entry desk holds now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EntryView {
    /// Requests that wait for a permit, by tier.
    pub waiting: [u32; GATEWAY_TIER_COUNT],
    /// Requests in flight, by tier.
    pub running: [u32; GATEWAY_TIER_COUNT],
    /// Outcomes kept for resubmissions and questions.
    pub kept_answers: usize,
    /// The memory of their answers, in bytes.
    pub kept_answer_bytes: u64,
    /// Callers' keys remembered.
    pub known_keys: usize,
    /// Requests accepted since the start.
    pub accepted: u64,
    /// Dispatches since the start.
    pub dispatched: u64,
    /// Attempts that followed another one, since the start.
    pub retried: u64,
    /// Whether a planned stop is under way.
    pub stopping: bool,
}

impl EntryView {
    pub(super) fn count_waiting(&mut self, tier: Tier) {
        self.waiting[tier_index(tier)] += 1;
    }

    pub(super) fn count_running(&mut self, tier: Tier) {
        self.running[tier_index(tier)] += 1;
    }
}

/// A checked rule never names a tier beyond the last; a clamp keeps a view
/// from ending the process where one does.
fn tier_index(tier: Tier) -> usize {
    usize::from(tier.0).min(GATEWAY_TIER_COUNT - 1)
}
