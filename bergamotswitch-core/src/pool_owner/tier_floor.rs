//! Provides the floor that keeps lower tiers from getting nothing.
//!
//! The load that it answers: a burst of more than fits, whose top tier leaves
//! places, and of two tiers below it the first asks for all of them. By strict
//! order the last one then gets next to nothing, although its requests may be
//! short, and many of them fit into the place of one. Rules ask that the top
//! tier is not shed while lower work is kept; between those below it they ask
//! for an order, not for all or nothing. So a tier below the second is owed a
//! part of the share that the one above it gets served, and goes before it while
//! it has less. The test `tier_floors` plays that load.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::rules::Tier;

/// The time in which what was counted loses half of its weight. Bursts last some
/// seconds; a longer one would hold a tier's luck of the burst before against it.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// The part of the share above it that a tier is owed, in hundredths.
const FLOOR_PERCENT: f64 = 40.0;

/// The least asks that a share is judged by: of fewer, one more or less served
/// moves it by more than an eighth.
const MIN_ASKS: f64 = 8.0;

/// A `TierPlace` is where a tier stands, in the order in which places are given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TierPlace {
    /// No tier above asked for much lately.
    Top,
    /// It has less than it is owed.
    Owed,
    /// Its turn comes by rank.
    InOrder,
}

impl TierPlace {
    /// The order in which places are given; inside each, tiers go by rank.
    pub(super) const ORDER: [TierPlace; 3] = [TierPlace::Top, TierPlace::Owed, TierPlace::InOrder];
}

/// A `TierShare` is how much of what a tier asked for was served lately.
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

/// A `TierFloor` counts what tiers ask for and get.
#[derive(Debug, Default)]
pub(super) struct TierFloor {
    tiers: BTreeMap<Tier, TierShare>,
    aged_at: Moment,
}

impl TierFloor {
    /// Count an ask that was served or refused.
    pub(super) fn note(&mut self, now: Moment, tier: Tier, served: bool) {
        self.age(now);
        let share = self.tiers.entry(tier).or_default();
        share.asked += 1.0;
        share.served += f64::from(u8::from(served));
    }

    /// Get where a tier stands among those that wait.
    pub(super) fn place(&self, tier: Tier) -> TierPlace {
        let above = self.tiers.range(..tier).rev();
        let mut above = above.filter(|(_, share)| share.asked >= MIN_ASKS);
        let Some((_, next)) = above.next() else {
            return TierPlace::Top;
        };
        // The top tier is owed all: nothing is taken from it.
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
