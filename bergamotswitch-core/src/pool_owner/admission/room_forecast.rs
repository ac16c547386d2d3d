//! Provides the forecast of the room that a shard will have for further requests.
//!
//! It answers load that exceeds the capacity for some seconds: a refused caller should
//! return when a slot is likely to be free for it. Room and work are measured in the
//! time that requests hold slots, because the runs of one shard differ by more than an
//! order of magnitude in length.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::rules::Tier;

/// The length of one time step of the forecast. A release rate measured over a shorter
/// time says little in a small shard.
pub const FORECAST_STEP: Duration = Duration::from_millis(100);

/// The number of time steps of the forecast. A third of the usual deadlines is shorter.
pub const FORECAST_STEPS: usize = 80;

/// The time constant of the recent rates. It is well below the length of a burst, and
/// long enough for some arrivals in each tier.
const RECENT_WINDOW: Duration = Duration::from_secs(1);

/// The time constant of the usual rates. It is several times as long as a burst, so that
/// overload that stays becomes the usual.
const USUAL_WINDOW: Duration = Duration::from_secs(30);

/// The time constant with which recent rates are expected to return to the usual ones.
/// Bursts last some seconds.
const BURST_WINDOW: Duration = Duration::from_secs(3);

/// The weight of one arrival in the mean work of its tier.
const MEAN_WEIGHT: f64 = 0.05;

/// A `WorkRate` is a rate of work in slots, a decaying mean over a window.
#[derive(Clone, Copy, Debug)]
struct WorkRate {
    window: Duration,
    slots: f64,
    since: Option<Moment>,
    at: Moment,
}

impl WorkRate {
    fn new(window: Duration) -> Self {
        WorkRate {
            window,
            slots: 0.0,
            since: None,
            at: Moment::START,
        }
    }

    fn decay(&self, span: Duration) -> f64 {
        (-span.as_secs_f64() / self.window.as_secs_f64()).exp()
    }

    /// Get the rate; the time before the first work does not count.
    fn at(&self, now: Moment) -> f64 {
        let Some(since) = self.since else {
            return 0.0;
        };
        let known = 1.0 - self.decay(now.since(since).max(RECENT_WINDOW));
        self.slots * self.decay(now.since(self.at)) / known
    }

    fn add(&mut self, now: Moment, work: Duration) {
        let decayed = self.slots * self.decay(now.since(self.at));
        self.slots = decayed + work.as_secs_f64() / self.window.as_secs_f64();
        self.since.get_or_insert(now);
        self.at = now;
    }
}

/// A `TierRates` is the recent work of one tier.
#[derive(Clone, Copy, Debug)]
struct TierRates {
    recent: WorkRate,
    usual: WorkRate,
    started: WorkRate,
    /// The work of the latest arrivals, a decaying mean in seconds.
    mean_seconds: f64,
}

impl Default for TierRates {
    fn default() -> Self {
        TierRates {
            recent: WorkRate::new(RECENT_WINDOW),
            usual: WorkRate::new(USUAL_WINDOW),
            started: WorkRate::new(RECENT_WINDOW),
            mean_seconds: 0.0,
        }
    }
}

/// A `WorkRates` is the recent work of a shard, by tier.
#[derive(Debug, Default)]
pub(in crate::pool_owner) struct WorkRates {
    tiers: BTreeMap<Tier, TierRates>,
}

impl WorkRates {
    /// Record a new request that holds a slot for `work` if it is served.
    pub(in crate::pool_owner) fn record_arrival(
        &mut self,
        now: Moment,
        tier: Tier,
        work: Duration,
    ) {
        let rates = self.tiers.entry(tier).or_default();
        rates.recent.add(now, work);
        rates.usual.add(now, work);
        let seconds = work.as_secs_f64();
        rates.mean_seconds = match rates.mean_seconds {
            0.0 => seconds,
            mean => mean + (seconds - mean) * MEAN_WEIGHT,
        };
    }

    /// Record a granted request.
    pub(in crate::pool_owner) fn record_start(&mut self, now: Moment, tier: Tier, work: Duration) {
        let rates = self.tiers.entry(tier).or_default();
        rates.started.add(now, work);
    }

    /// Get the mean work of a request of `tier`; zero without any.
    pub(in crate::pool_owner) fn mean_work(&self, tier: Tier) -> Duration {
        let rates = self.tiers.get(&tier);
        Duration::from_secs_f64(rates.map_or(0.0, |rates| rates.mean_seconds))
    }

    /// Get the demand of all tiers, of which `queued` requests wait.
    pub(in crate::pool_owner) fn demands(
        &self,
        now: Moment,
        queued: &BTreeMap<Tier, usize>,
    ) -> Vec<TierDemand> {
        let tiers = self.tiers.iter().map(|(tier, rates)| TierDemand {
            tier: *tier,
            arriving: rates.recent.at(now),
            usual: rates.usual.at(now),
            starting: rates.started.at(now),
            queued: self
                .mean_work(*tier)
                .mul_f64(queued.get(tier).copied().unwrap_or_default() as f64),
        });
        tiers.collect()
    }
}

/// A `TierDemand` is the demand of one tier at a shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TierDemand {
    /// The tier.
    pub tier: Tier,
    /// The work of new requests that arrive now, in slots.
    pub arriving: f64,
    /// The work of new requests that usually arrive, in slots.
    pub usual: f64,
    /// The work that has recently been started, in slots.
    pub starting: f64,
    /// The work of the queued requests.
    pub queued: Duration,
}

/// A `DemandSum` is the demand of several tiers, in slots.
#[derive(Clone, Copy, Debug, Default)]
struct DemandSum {
    arriving: f64,
    usual: f64,
    queued: Duration,
}

impl DemandSum {
    /// Get the work that is expected to arrive when a burst has subsided to the fraction
    /// `decay`.
    fn expected(&self, decay: f64) -> f64 {
        self.usual + (self.arriving - self.usual) * decay
    }
}

/// A `RoomForecast` is the room of a shard in the next seconds, by tier.
#[derive(Clone, Debug, Default)]
pub struct RoomForecast {
    slots: f64,
    /// The demand by tier, highest tier first.
    demands: Vec<TierDemand>,
}

/// A `TierRoom` is the room that higher tiers leave to one tier in each time step. Each
/// array holds the work up to a step, in seconds.
#[derive(Clone, Debug)]
pub struct TierRoom {
    /// The room that is left by what higher tiers keep sending.
    pub left: [f64; FORECAST_STEPS + 1],
    /// The room that is left by the tier's own new requests as well.
    pub idle: [f64; FORECAST_STEPS + 1],
}

impl RoomForecast {
    /// Create the forecast of a shard of this number of slots.
    pub fn new(slots: f64, mut demands: Vec<TierDemand>) -> Self {
        demands.sort_by_key(|demand| demand.tier);
        RoomForecast { slots, demands }
    }

    /// Get the room of `tier`. A tier has at least what it was recently given, because
    /// the floors of the lower tiers take slots from higher ones.
    pub fn room(&self, tier: Tier) -> TierRoom {
        let higher = self.sum(|demand| demand.tier < tier);
        let through = self.sum(|demand| demand.tier <= tier);
        let starting = self.starting(tier);
        let step = FORECAST_STEP.as_secs_f64();
        let step_decay = (-step / BURST_WINDOW.as_secs_f64()).exp();
        let mut room = TierRoom {
            left: [0.0; FORECAST_STEPS + 1],
            idle: [0.0; FORECAST_STEPS + 1],
        };
        let (mut queued, mut decay) = (through.queued.as_secs_f64(), 1.0);
        for number in 0..FORECAST_STEPS {
            // The queue is served first.
            let served = queued.min(self.slots * step);
            queued -= served;
            let open = 1.0 - served / (self.slots * step).max(f64::MIN_POSITIVE);
            let left = (self.slots - higher.expected(decay)).max(0.0);
            let left = left.max(starting).min(self.slots);
            let idle = (self.slots - through.expected(decay)).max(0.0);
            room.left[number + 1] = room.left[number] + left * open * step;
            room.idle[number + 1] = room.idle[number] + idle * open * step;
            decay *= step_decay;
        }
        room
    }

    /// Get the fraction of the slots that higher tiers leave to `tier` now.
    pub fn left_to(&self, tier: Tier) -> f64 {
        let taken = self.sum(|demand| demand.tier < tier).arriving;
        let left = (self.slots - taken).max(self.starting(tier));
        match self.slots > 0.0 {
            true => left.min(self.slots) / self.slots,
            false => 0.0,
        }
    }

    fn starting(&self, tier: Tier) -> f64 {
        let own = self.demands.iter().find(|demand| demand.tier == tier);
        own.map_or(0.0, |demand| demand.starting)
    }

    fn sum(&self, counts: impl Fn(&TierDemand) -> bool) -> DemandSum {
        let counted = self.demands.iter().filter(|demand| counts(demand));
        counted.fold(DemandSum::default(), |sum, demand| DemandSum {
            arriving: sum.arriving + demand.arriving,
            usual: sum.usual + demand.usual,
            queued: sum.queued + demand.queued,
        })
    }
}
