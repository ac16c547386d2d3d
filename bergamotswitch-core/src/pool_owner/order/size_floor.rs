//! Provides a minimum service level for the long requests of a tier.
//!
//! While there is not room for all, long requests are the first to be refused: each takes
//! the time of several short ones, fewer targets are fast enough for it, and it finds less
//! time left. They would starve. The requests of each size are therefore guaranteed a
//! fraction of the service ratio of their tier; those that get less are judged by the
//! targets that suit them and not by the mean one.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::rules::Tier;

use super::service_share::{DecayClock, ServiceShare};

/// The half-life of the counts. It is longer than that of the tiers' floors, because long
/// requests are rare.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// The guaranteed fraction of the service ratio of the tier, in percent.
const FLOOR_PERCENT: f64 = 75.0;

/// The weight of one arrival in the mean run of its tier.
const MEAN_WEIGHT: f64 = 0.01;

/// The number of size classes. Each but the first begins at twice the run time of the one
/// below it, the second at the mean of the tier.
const CLASSES: usize = 4;

/// A `TierSizes` is the recent requests of a tier by size.
#[derive(Clone, Copy, Debug, Default)]
struct TierSizes {
    mean_seconds: f64,
    arrivals: f64,
    classes: [ServiceShare; CLASSES],
}

impl TierSizes {
    fn class_of(&self, run: Duration) -> usize {
        let multiple = run.as_secs_f64() / self.mean_seconds.max(f64::MIN_POSITIVE);
        match multiple < 1.0 {
            true => 0,
            // Without a mean the multiple is infinite.
            false => (1.0 + multiple.log2()).min((CLASSES - 1) as f64) as usize,
        }
    }

    fn served_fraction(&self) -> f64 {
        let sum = |of: fn(&ServiceShare) -> f64| self.classes.iter().map(of).sum::<f64>();
        sum(|share| share.served) / sum(|share| share.requested).max(1.0)
    }
}

/// A `SizeFloor` is the recent service ratios of the tiers by size. Sizes are predicted
/// run times, relative to the mean of the tier.
#[derive(Debug, Default)]
pub(in crate::pool_owner) struct SizeFloor {
    tiers: BTreeMap<Tier, TierSizes>,
    clock: DecayClock,
}

impl SizeFloor {
    /// Count a new request of this predicted run time, which is no earlier one that
    /// returns.
    pub(in crate::pool_owner) fn record_new(&mut self, now: Moment, tier: Tier, run: Duration) {
        self.decay(now);
        let sizes = self.tiers.entry(tier).or_default();
        sizes.arrivals += 1.0;
        let weight = MEAN_WEIGHT.max(1.0 / sizes.arrivals);
        sizes.mean_seconds += (run.as_secs_f64() - sizes.mean_seconds) * weight;
        let class = sizes.class_of(run);
        sizes.classes[class].requested += 1.0;
    }

    /// Count a granted request as served.
    pub(in crate::pool_owner) fn record_granted(&mut self, now: Moment, tier: Tier, run: Duration) {
        self.decay(now);
        let sizes = self.tiers.entry(tier).or_default();
        let class = sizes.class_of(run);
        sizes.classes[class].served += 1.0;
    }

    /// Count a request that was served as not served: its run did not finish.
    pub(in crate::pool_owner) fn record_unfinished(&mut self, tier: Tier, run: Duration) {
        // Permits of previous owners were not counted as served here.
        if run.is_zero() {
            return;
        }
        let sizes = self.tiers.entry(tier).or_default();
        let class = sizes.class_of(run);
        let share = &mut sizes.classes[class];
        share.served = (share.served - 1.0).max(0.0);
    }

    /// Get whether requests as long as this one are served less often than guaranteed.
    pub(in crate::pool_owner) fn is_below(&self, tier: Tier, run: Duration) -> bool {
        let Some(sizes) = self.tiers.get(&tier) else {
            return false;
        };
        let share = sizes.classes[sizes.class_of(run)];
        let guaranteed = sizes.served_fraction() * FLOOR_PERCENT / 100.0;
        share.served < share.requested * guaranteed
    }

    fn decay(&mut self, now: Moment) {
        if let Some(fraction) = self.clock.due(now, HALF_LIFE) {
            for share in self.tiers.values_mut().flat_map(|sizes| &mut sizes.classes) {
                share.decay(fraction);
            }
        }
    }
}
