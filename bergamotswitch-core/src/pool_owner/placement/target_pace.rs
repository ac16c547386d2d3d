//! Provides the pace of one target, while it limits its request rate or is cold.

use crate::clock::Moment;
use crate::cold_targets::ColdTarget;
use crate::pool_owner::learning::target_load::TargetLoad;
use crate::target::RequestRate;

use super::cold_tolerance::ColdTolerance;
use super::request_pace::{PacePortion, RequestPace};

impl TargetLoad {
    /// Limit the request rate, as named by the target at `named_at`. `portion` is the
    /// part of it that this owner may use.
    pub(in crate::pool_owner) fn limit_rate(
        &mut self,
        now: Moment,
        rate: RequestRate,
        named_at: Moment,
        portion: PacePortion,
    ) {
        let pace = self
            .pace
            .get_or_insert_with(|| RequestPace::new(now, portion));
        pace.set_named(now, rate, named_at);
    }

    /// End the limit of the request rate if it was named before `sent_at`.
    pub(in crate::pool_owner) fn end_rate_limit(&mut self, now: Moment, sent_at: Moment) {
        if let Some(pace) = &mut self.pace {
            pace.end_named(now, sent_at);
            self.pace.take_if(|pace| !pace.is_limited());
        }
    }

    /// Limit the request rate of a cold target; `None` if it is warm.
    pub(in crate::pool_owner) fn set_cold(
        &mut self,
        now: Moment,
        cold: Option<ColdTarget>,
        tolerance: ColdTolerance,
        portion: PacePortion,
    ) {
        let sent = self.recent_grants(now);
        if cold.is_some() {
            self.pace
                .get_or_insert_with(|| RequestPace::new(now, portion));
        }
        if let Some(pace) = &mut self.pace {
            pace.set_cold(now, cold, tolerance, sent);
            self.pace.take_if(|pace| !pace.is_limited());
        }
    }

    /// End the limit of a target that is warm by now. Get whether it was cold.
    pub(in crate::pool_owner) fn end_cold(&mut self, now: Moment) -> bool {
        let pace = self.pace.as_mut();
        let ended = pace.is_some_and(|pace| pace.end_cold(now));
        self.pace.take_if(|pace| !pace.is_limited());
        ended
    }

    /// Get whether the target is cold.
    pub(in crate::pool_owner) fn is_cold(&self) -> bool {
        self.warm_at().is_some()
    }

    /// Get when the target is warm; `None` if it is not cold.
    pub fn warm_at(&self) -> Option<Moment> {
        self.pace.as_ref().and_then(RequestPace::warm_at)
    }

    /// Set the part of the rate limits that this owner may use. Get whether there is a
    /// limit.
    pub(in crate::pool_owner) fn set_pace_portion(
        &mut self,
        now: Moment,
        portion: PacePortion,
    ) -> bool {
        if let Some(pace) = &mut self.pace {
            pace.set_portion(now, portion);
        }
        self.pace.is_some()
    }

    /// Get whether the target's request rate is limited.
    pub(in crate::pool_owner) fn is_rate_limited(&self) -> bool {
        self.pace.is_some()
    }

    /// Get whether the rate limit allows another request now.
    pub(in crate::pool_owner) fn is_pace_open(&self, now: Moment) -> bool {
        self.pace.as_ref().is_none_or(|pace| pace.is_open(now))
    }

    /// Count a request against the rate limit.
    pub(in crate::pool_owner) fn take_pace(&mut self, now: Moment) {
        if let Some(pace) = &mut self.pace {
            pace.take(now);
        }
    }

    /// Get the rate at which this owner may send requests, per second; `None` without
    /// a limit.
    pub(in crate::pool_owner) fn paced_rate(&self) -> Option<f64> {
        self.pace.as_ref().map(RequestPace::per_second)
    }

    /// Get the limit of the request rate that the target named.
    pub fn rate_limit(&self) -> Option<RequestRate> {
        self.pace.as_ref().and_then(RequestPace::named_rate)
    }
}
