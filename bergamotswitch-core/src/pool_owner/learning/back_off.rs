//! Provides exponential backoff for failing targets.

use std::time::Duration;

use crate::clock::Moment;
use crate::permit::PermitId;

/// The number of consecutive failures after which a target gets no regular
/// requests. A single failure may be the request's own fault.
const FAILURE_THRESHOLD: u32 = 2;

/// The number of probe intervals for which a due probe waits for an eligible
/// request before any request is used.
const ANY_PROBE_INTERVALS: u32 = 4;

/// A `ProbeAdmission` says which requests may be sent to a target in its
/// current backoff state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeAdmission {
    /// All requests: the target is not backed off.
    Unrestricted,
    /// One request that is eligible as a probe.
    EligibleProbe,
    /// One request of any kind: no eligible one arrived in time.
    AnyProbe,
    /// No request: a probe is running or not due yet.
    Blocked,
}

/// A `BackOff` is the backoff state of one target.
///
/// A target that fails immediately has the shortest response times; without
/// backoff, routing by predicted finish would send it all requests.
#[derive(Clone, Debug)]
pub struct BackOff {
    base: Duration,
    max: Duration,
    failures: u32,
    /// When backoff began; `None` while the target works.
    since: Option<Moment>,
    interval: Duration,
    probe_at: Moment,
    probe: Option<PermitId>,
}

impl BackOff {
    /// Create the state of a target that works.
    pub fn new(base: Duration, max: Duration) -> Self {
        BackOff {
            base,
            max,
            failures: 0,
            since: None,
            interval: base,
            probe_at: Moment::START,
            probe: None,
        }
    }

    /// Get whether the target is backed off.
    pub fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// Get when the next probe is due; `None` if the target works or a probe is
    /// running.
    pub fn probe_at(&self) -> Option<Moment> {
        let is_waiting = self.since.is_some() && self.probe.is_none();
        is_waiting.then_some(self.probe_at)
    }

    /// Get which requests may be sent to the target.
    pub fn admission(&self, now: Moment) -> ProbeAdmission {
        if self.since.is_none() {
            return ProbeAdmission::Unrestricted;
        }
        if self.probe.is_some() || now < self.probe_at {
            return ProbeAdmission::Blocked;
        }
        let eligible_only_time = self.interval * ANY_PROBE_INTERVALS;
        match now.since(self.probe_at) >= eligible_only_time {
            true => ProbeAdmission::AnyProbe,
            false => ProbeAdmission::EligibleProbe,
        }
    }

    /// Record that a permit was granted while the target is backed off.
    pub fn start_probe(&mut self, permit: PermitId) {
        if self.since.is_some() {
            self.probe = Some(permit);
        }
    }

    /// Record that a permit ended without a result that says anything about the
    /// target's health.
    pub fn clear_probe(&mut self, permit: PermitId) {
        if self.probe == Some(permit) {
            self.probe = None;
        }
    }

    /// Back off because another owner reported a failure; `probe_in` is the
    /// time left there until its next probe. Get whether the target is newly
    /// backed off.
    pub fn mark_reported(&mut self, now: Moment, probe_in: Duration) -> bool {
        if self.since.is_some() {
            return false;
        }
        self.since = Some(now);
        self.interval = self.base;
        self.probe_at = now.plus(probe_in.min(self.max));
        true
    }

    /// Record the success of a request whose permit was granted at
    /// `granted_at`.
    pub fn record_success(&mut self, permit: PermitId, granted_at: Moment) {
        self.clear_probe(permit);
        // A request that started before the failures says nothing about the
        // target's current health.
        let old = self.since.is_some_and(|since| granted_at < since);
        if old {
            return;
        }
        self.failures = 0;
        self.since = None;
        self.interval = self.base;
    }

    /// Record the failure of a request whose permit was granted at
    /// `granted_at`. Get whether the target is newly backed off.
    pub fn record_failure(
        &mut self,
        now: Moment,
        permit: PermitId,
        granted_at: Moment,
        certain: bool,
    ) -> bool {
        let was_probe = self.probe == Some(permit);
        self.clear_probe(permit);
        if let Some(since) = self.since {
            // Requests that were in flight when backoff began fail together and
            // must not lengthen the interval once each.
            if was_probe || granted_at >= since {
                self.interval = (self.interval * 2).min(self.max);
                self.probe_at = now.plus(self.interval);
            }
            return false;
        }
        self.failures += 1;
        if !certain && self.failures < FAILURE_THRESHOLD {
            return false;
        }
        self.since = Some(now);
        self.interval = self.base;
        self.probe_at = now.plus(self.interval);
        true
    }
}
