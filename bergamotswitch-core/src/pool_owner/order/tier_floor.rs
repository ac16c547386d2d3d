//! Provides a minimum service level for lower tiers.
//!
//! Strict priority between tiers would starve a tier if the one above it
//! requests more slots than there are, even if its own requests are short. Only
//! the top tier has absolute priority over all others; each tier below the
//! second is guaranteed a fraction of the service ratio of the tier above it,
//! and is served before that one while it gets less.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::rules::Tier;

use super::service_share::{DecayClock, ServiceShare};

/// The half-life of the counts. Bursts last some seconds; with a longer
/// half-life, the previous burst would influence the next one.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// The guaranteed fraction of the service ratio of the tier above, in percent.
const FLOOR_PERCENT: f64 = 40.0;

/// The minimum number of requests for a service ratio to be meaningful.
const MIN_REQUESTS: f64 = 8.0;

/// A `TierPosition` is a tier's position in the order in which slots are
/// assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::pool_owner) enum TierPosition {
    /// No higher tier has had a significant number of requests recently.
    Top,
    /// The tier is below its guaranteed service ratio.
    BelowFloor,
    /// The tier is served by its rank.
    ByRank,
}

impl TierPosition {
    /// The order in which slots are assigned; tiers of the same position are
    /// served by rank.
    pub(in crate::pool_owner) const ORDER: [TierPosition; 3] = [
        TierPosition::Top,
        TierPosition::BelowFloor,
        TierPosition::ByRank,
    ];
}

/// A `TierFloor` is the recent service ratios of the tiers.
#[derive(Debug, Default)]
pub(in crate::pool_owner) struct TierFloor {
    tiers: BTreeMap<Tier, ServiceShare>,
    clock: DecayClock,
}

impl TierFloor {
    /// Count a request as served or refused.
    pub(in crate::pool_owner) fn record(&mut self, now: Moment, tier: Tier, served: bool) {
        self.decay(now);
        let share = self.tiers.entry(tier).or_default();
        share.requested += 1.0;
        share.served += f64::from(u8::from(served));
    }

    /// Get the position of a tier.
    pub(in crate::pool_owner) fn position(&self, tier: Tier) -> TierPosition {
        let above = self.tiers.range(..tier).rev();
        let mut above = above.filter(|(_, share)| share.requested >= MIN_REQUESTS);
        let Some((_, next)) = above.next() else {
            return TierPosition::Top;
        };
        // The top tier has absolute priority: nothing is taken from it.
        let next_is_top = above.next().is_none();
        let own = self.tiers.get(&tier).copied().unwrap_or_default();
        let has_less = own.served_fraction() * 100.0 < next.served_fraction() * FLOOR_PERCENT;
        match !next_is_top && has_less {
            true => TierPosition::BelowFloor,
            false => TierPosition::ByRank,
        }
    }

    fn decay(&mut self, now: Moment) {
        if let Some(fraction) = self.clock.due(now, HALF_LIFE) {
            for share in self.tiers.values_mut() {
                share.decay(fraction);
            }
        }
    }
}
