//! Provides the status of the entry side for operators.

use serde::Serialize;

use crate::rules::{GATEWAY_TIER_COUNT, Tier};

/// An `EntryView` is the current status of an entry dispatcher.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EntryView {
    /// Requests that wait for a permit, by tier.
    pub waiting: [u32; GATEWAY_TIER_COUNT],
    /// Requests in flight, by tier.
    pub running: [u32; GATEWAY_TIER_COUNT],
    /// Outcomes stored for resubmissions and queries.
    pub kept_answers: usize,
    /// Memory used by the stored answers, in bytes.
    pub kept_answer_bytes: u64,
    /// Caller keys in the key store.
    pub known_keys: usize,
    /// Calls whose runs crashed targets.
    pub crashed_calls: usize,
    /// Calls in quarantine.
    pub quarantined_calls: usize,
    /// Targets whose last answer to this host named a rate limit.
    pub limited_targets: usize,
    /// Paces of targets that could not be read, since the start.
    pub malformed_paces: u64,
    /// Paces that were not reported to owners for the limit of the rate, since the start.
    pub unsent_paces: u64,
    /// Targets that want nothing from this host for now.
    pub resting_targets: usize,
    /// Targets that this host reaches only through another host.
    pub lost_paths: usize,
    /// Whether this host reaches no target directly.
    pub cut_off: bool,
    /// Requests accepted since the start.
    pub accepted: u64,
    /// Dispatches since the start.
    pub dispatched: u64,
    /// Attempts that followed another one, since the start.
    pub retried: u64,
    /// Whether a planned stop is in progress.
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

/// Get the index of a tier. A validated rule never names a tier beyond the last
/// one; clamping avoids a panic if one does.
fn tier_index(tier: Tier) -> usize {
    usize::from(tier.0).min(GATEWAY_TIER_COUNT - 1)
}
