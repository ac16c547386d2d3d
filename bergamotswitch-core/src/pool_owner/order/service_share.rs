//! Provides recent service ratios: how many of the recent requests were served.

use std::time::Duration;

use crate::clock::Moment;

/// A `ServiceShare` is the recent requests of a group and how many of them were served,
/// both decaying.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::pool_owner) struct ServiceShare {
    pub(in crate::pool_owner) requested: f64,
    pub(in crate::pool_owner) served: f64,
}

impl ServiceShare {
    /// Get the fraction that was served.
    pub(in crate::pool_owner) fn served_fraction(&self) -> f64 {
        self.served / self.requested.max(1.0)
    }

    /// Reduce the counts to this fraction.
    pub(in crate::pool_owner) fn decay(&mut self, fraction: f64) {
        self.requested *= fraction;
        self.served *= fraction;
    }
}

/// A `DecayClock` is when counts were last reduced.
#[derive(Debug, Default)]
pub(in crate::pool_owner) struct DecayClock {
    decayed_at: Moment,
}

impl DecayClock {
    /// Get the fraction to which counts of this half-life are to be reduced now; `None`
    /// if that was done a moment ago.
    pub(in crate::pool_owner) fn due(&mut self, now: Moment, half_life: Duration) -> Option<f64> {
        let span = now.since(self.decayed_at);
        if span < half_life / 16 {
            return None;
        }
        self.decayed_at = now;
        Some(0.5_f64.powf(span.as_secs_f64() / half_life.as_secs_f64()))
    }
}
