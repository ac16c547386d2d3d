//! Provides the options of the scheduling decisions that a deployment switches on.

use std::time::Duration;

use crate::publication::FleetLimits;

/// A `SchedulingOptions` is the options of the optional scheduling decisions. Each
/// decision without its option is made as if it did not exist.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SchedulingOptions {
    /// The half-life of the remembered use of a client account; `None` without fair
    /// admission between accounts.
    pub account_share_half_life: Option<Duration>,
    /// The fraction of the forecast room that may be promised to returning callers;
    /// `None` without promises.
    pub return_room: Option<f64>,
    /// How long a slow moment of a target is expected to last before any was
    /// observed; `None` if the pace that targets report is not used.
    pub slow_moment: Option<Duration>,
    /// The number of requests that compete for one slot; `None` if the first one in
    /// order takes it.
    pub match_window: Option<usize>,
    /// By which fraction the predicted run of a target may be longer than the
    /// shortest one, if the host has an idle connection to it; `None` without such a
    /// preference.
    pub idle_connection_tolerance: Option<f64>,
}

impl SchedulingOptions {
    /// Get the options that the published limits determine. A limit of 0 switches
    /// its decision off.
    pub fn of_limits(limits: &FleetLimits) -> Self {
        SchedulingOptions {
            account_share_half_life: millis(limits.account_share_half_life_ms),
            return_room: permille(limits.return_room_permille),
            slow_moment: millis(limits.slow_moment_ms),
            match_window: positive(limits.match_window_requests).map(|count| count as usize),
            idle_connection_tolerance: permille(limits.idle_connection_permille),
        }
    }
}

fn positive(limit: u64) -> Option<u64> {
    (limit > 0).then_some(limit)
}

fn millis(limit: u64) -> Option<Duration> {
    positive(limit).map(Duration::from_millis)
}

fn permille(limit: u64) -> Option<f64> {
    positive(limit).map(|limit| limit as f64 / 1_000.0)
}
