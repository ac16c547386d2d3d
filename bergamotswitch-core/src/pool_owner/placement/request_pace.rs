//! Provides the pace at which an owner sends requests to a target whose request rate is
//! limited: by itself, in its answers, or because it is cold.

use std::time::Duration;

use crate::clock::Moment;
use crate::cold_targets::ColdTarget;
use crate::target::RequestRate;

use super::cold_tolerance::ColdTolerance;

/// The time over which unused requests of a named limit are saved up for a burst.
const BURST_TIME: Duration = Duration::from_millis(500);

/// The minimum of a named rate in requests per second: a target tells only in an answer that
/// its limit has changed.
const MIN_RATE: f64 = 0.2;

/// The longest time for which a target gets nothing since it was sent too much before its
/// owner knew that it is cold.
const MAX_DEBT_TIME: Duration = Duration::from_millis(500);

/// A `NamedRate` is a limit that a target names in its answers.
#[derive(Clone, Copy, Debug)]
struct NamedRate {
    rate: RequestRate,
    named_at: Moment,
}

/// A `ColdRate` is the limit of a cold target.
#[derive(Clone, Copy, Debug)]
struct ColdRate {
    cold: ColdTarget,
    per_second: f64,
    burst: f64,
}

/// A `PacePortion` is the part of the limits that this owner may use, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::pool_owner) struct PacePortion {
    /// The part of a named limit.
    pub(in crate::pool_owner) named: f64,
    /// The part of the limit of a cold target.
    pub(in crate::pool_owner) cold: f64,
}

/// A `RequestPace` is a token bucket for the requests to one target. It starts empty,
/// since another owner may have just used the limit.
#[derive(Debug)]
pub(in crate::pool_owner) struct RequestPace {
    named: Option<NamedRate>,
    cold: Option<ColdRate>,
    portion: PacePortion,
    level: f64,
    filled_at: Moment,
}

impl RequestPace {
    /// Create the pace of a target without a limit.
    pub(in crate::pool_owner) fn new(now: Moment, portion: PacePortion) -> Self {
        RequestPace {
            named: None,
            cold: None,
            portion,
            level: 0.0,
            filled_at: now,
        }
    }

    /// Get whether any limit is in force.
    pub(in crate::pool_owner) fn is_limited(&self) -> bool {
        self.named.is_some() || self.cold.is_some()
    }

    /// Get the limit that the target named.
    pub(in crate::pool_owner) fn named_rate(&self) -> Option<RequestRate> {
        self.named.map(|named| named.rate)
    }

    /// Get when the target is warm; `None` if it is not cold.
    pub(in crate::pool_owner) fn warm_at(&self) -> Option<Moment> {
        self.cold.map(|cold| cold.cold.until)
    }

    /// Get the rate of this owner, in requests per second.
    pub(in crate::pool_owner) fn per_second(&self) -> f64 {
        let named = self.named.map(|named| {
            let rate = named.rate.per_second().max(MIN_RATE);
            rate * self.portion.named
        });
        let cold = self.cold.map(|cold| cold.per_second * self.portion.cold);
        least(named, cold)
    }

    /// Set the limit that the target named at `named_at`; an earlier one than the
    /// present is ignored.
    pub(in crate::pool_owner) fn set_named(
        &mut self,
        now: Moment,
        rate: RequestRate,
        named_at: Moment,
    ) {
        if self.named.is_some_and(|named| named_at < named.named_at) {
            return;
        }
        self.fill(now);
        self.named = Some(NamedRate { rate, named_at });
    }

    /// End the named limit if it was named before `sent_at`. Get whether it ended.
    pub(in crate::pool_owner) fn end_named(&mut self, now: Moment, sent_at: Moment) -> bool {
        self.fill(now);
        self.named
            .take_if(|named| named.named_at < sent_at)
            .is_some()
    }

    /// Set the limit of a cold target; `None` if it is warm. `sent` is the number of
    /// requests that this owner has sent it in the last moments: it may have been cold
    /// then, so what exceeds the burst is taken from the next requests.
    pub(in crate::pool_owner) fn set_cold(
        &mut self,
        now: Moment,
        cold: Option<ColdTarget>,
        tolerance: ColdTolerance,
        sent: usize,
    ) {
        self.fill(now);
        let was_cold = self.cold.is_some();
        self.cold = cold.map(|cold| ColdRate {
            cold,
            per_second: tolerance.per_second(cold.rate),
            burst: tolerance.burst(cold.rate),
        });
        if let Some(cold) = self.cold.filter(|_| !was_cold) {
            let excess = sent as f64 - tolerance.burst(cold.cold.rate);
            let most = cold.per_second * MAX_DEBT_TIME.as_secs_f64();
            self.level = -excess.clamp(0.0, most);
        }
    }

    /// End the limit of a target that is warm by now. Get whether it was cold.
    pub(in crate::pool_owner) fn end_cold(&mut self, now: Moment) -> bool {
        self.fill(now);
        self.cold.take_if(|cold| cold.cold.until <= now).is_some()
    }

    pub(in crate::pool_owner) fn set_portion(&mut self, now: Moment, portion: PacePortion) {
        if portion != self.portion {
            self.fill(now);
            self.portion = portion;
        }
    }

    /// Get whether a request may be sent.
    pub(in crate::pool_owner) fn is_open(&self, now: Moment) -> bool {
        self.level_at(now) >= 1.0
    }

    /// Take one request.
    pub(in crate::pool_owner) fn take(&mut self, now: Moment) {
        self.fill(now);
        self.level -= 1.0;
    }

    fn fill(&mut self, now: Moment) {
        self.level = self.level_at(now);
        self.filled_at = now;
    }

    fn level_at(&self, now: Moment) -> f64 {
        let filled = self.level + now.since(self.filled_at).as_secs_f64() * self.per_second();
        filled.min(self.capacity())
    }

    /// Get the highest level of the bucket, in requests.
    fn capacity(&self) -> f64 {
        let named = self
            .named
            .map(|_| 1.0 + self.per_second() * BURST_TIME.as_secs_f64());
        let cold = self
            .cold
            .map(|cold| (cold.burst * self.portion.cold).max(1.0));
        least(named, cold)
    }
}

/// Get the lower one of two limits, 0 if there is none.
fn least(first: Option<f64>, second: Option<f64>) -> f64 {
    match (first, second) {
        (Some(first), Some(second)) => first.min(second),
        (first, second) => first.or(second).unwrap_or(0.0),
    }
}
