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

/// The half-life of the counts. Bursts last some seconds; with a longer
/// half-life, the previous burst would influence the next one.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// The guaranteed fraction of the service ratio of the tier above, in percent.
const FLOOR_PERCENT: f64 = 40.0;

/// The minimum number of requests for a service ratio to be significant.
const MIN_ASKS: f64 = 8.0;

/// A `TierPlace` is a tier's position in the order in which slots are assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TierPlace {
    /// No higher tier has had a significant number of requests recently.
    Top,
    /// The tier is below its guaranteed service ratio.
    Owed,
    /// The tier is served by its rank.
    InOrder,
}

impl TierPlace {
    /// The order in which slots are assigned; tiers of the same position are
    /// served by rank.
    pub(super) const ORDER: [TierPlace; 3] = [TierPlace::Top, TierPlace::Owed, TierPlace::InOrder];
}

/// A `TierShare` is the recent requests of a tier and how many of them were
/// served, both decaying.
#[derive(Clone, Copy, Debug, Default)]
struct TierShare {
    asked: f64,
    served: f64,
}

impl TierShare {
    fn served_part(&self) -> f64 {
        self.served / self.asked.max(1.0)
    }
}

/// A `TierFloor` is the recent service ratios of the tiers.
#[derive(Debug, Default)]
pub(super) struct TierFloor {
    tiers: BTreeMap<Tier, TierShare>,
    aged_at: Moment,
}

impl TierFloor {
    /// Count a request as served or refused.
    pub(super) fn note(&mut self, now: Moment, tier: Tier, served: bool) {
        self.age(now);
        let share = self.tiers.entry(tier).or_default();
        share.asked += 1.0;
        share.served += f64::from(u8::from(served));
    }

    /// Get the position of a tier.
    pub(super) fn place(&self, tier: Tier) -> TierPlace {
        let above = self.tiers.range(..tier).rev();
        let mut above = above.filter(|(_, share)| share.asked >= MIN_ASKS);
        let Some((_, next)) = above.next() else {
            return TierPlace::Top;
        };
        // The top tier has absolute priority: nothing is taken from it.
        let next_is_top = above.next().is_none();
        let own = self.tiers.get(&tier).copied().unwrap_or_default();
        let has_less = own.served_part() * 100.0 < next.served_part() * FLOOR_PERCENT;
        match !next_is_top && has_less {
            true => TierPlace::Owed,
            false => TierPlace::InOrder,
        }
    }

    fn age(&mut self, now: Moment) {
        let span = now.since(self.aged_at);
        if span < HALF_LIFE / 16 {
            return;
        }
        self.aged_at = now;
        let weight = 0.5_f64.powf(span.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for share in self.tiers.values_mut() {
            share.asked *= weight;
            share.served *= weight;
        }
    }
}
