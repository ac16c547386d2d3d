//! Provides the use of the momentary paces that the targets of a shard report.
//!
//! It answers a load on targets whose machines are shared: where a target is slow for a
//! moment, placement, the predicted waits and the checks of deadlines follow at once.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Moment;
use crate::permit::{OwnerMessage, TargetPace};
use crate::pool_owner::OwnerEvent;
use crate::pool_owner::owner::ShardOwner;
use crate::target::TargetName;

use super::moment_span::MomentSpan;

/// The interval at which the decayed factors are computed anew. They change within
/// hundreds of milliseconds, while an owner handles thousands of events a second.
const REFRESH_INTERVAL: Duration = Duration::from_millis(2);

/// The mean age of the releases in the measured release rate, which covers one second.
const RATE_AGE: Duration = Duration::from_millis(500);

/// A `PoolPaces` is the momentary pace of a shard as a whole.
#[derive(Debug)]
pub(in crate::pool_owner) struct PoolPaces {
    /// The duration of slow moments; `None` if paces are ignored.
    span: Option<MomentSpan>,
    /// The targets whose work is stretched.
    stretched: BTreeSet<TargetName>,
    refreshed_at: Moment,
    /// The speed of the work under permits as a fraction of the usual one, now and as a
    /// mean over the time of the measured release rate.
    speed: f64,
    mean_speed: f64,
}

impl PoolPaces {
    /// Create the paces of a shard whose slow moments are expected to last `prior`;
    /// `None` ignores paces.
    pub(in crate::pool_owner) fn new(prior: Option<Duration>) -> Self {
        PoolPaces {
            span: prior.map(MomentSpan::new),
            stretched: BTreeSet::new(),
            refreshed_at: Moment::START,
            speed: 1.0,
            mean_speed: 1.0,
        }
    }

    /// Get the expected duration of a slow moment; `None` if paces are ignored.
    pub(in crate::pool_owner) fn span(&self) -> Option<Duration> {
        self.span.as_ref().map(MomentSpan::get)
    }

    /// Get the factor by which releases are faster now than in the time over which their
    /// rate was measured.
    pub(in crate::pool_owner) fn rate_change(&self) -> f64 {
        self.speed / self.mean_speed
    }

    fn set_speed(&mut self, now: Moment, speed: f64) {
        let age = now.since(self.refreshed_at).as_secs_f64();
        let weight = 1.0 - (-age / RATE_AGE.as_secs_f64()).exp();
        self.mean_speed += (self.speed - self.mean_speed) * weight;
        self.speed = speed;
        self.refreshed_at = now;
    }
}

impl ShardOwner {
    /// Apply the option for paces after it has changed.
    pub(in crate::pool_owner) fn set_slow_moment(&mut self, prior: Option<Duration>) {
        self.paces = PoolPaces::new(prior);
        for load in self.targets.values_mut() {
            load.set_slow_moment(prior);
        }
    }

    /// Record the paces of an event that only confirms that targets are as usual, and get
    /// whether it is one. Most reports are, and there is nothing to decide after them.
    pub(in crate::pool_owner) fn absorb_usual_paces(
        &mut self,
        now: Moment,
        event: &OwnerEvent,
    ) -> bool {
        let OwnerEvent::Message(_, OwnerMessage::TargetPaces { shard, targets }) = event else {
            return false;
        };
        let is_known = |pace: &TargetPace| {
            pace.pace.is_usual() && !self.paces.stretched.contains(&pace.target)
        };
        let is_known = self.paces.span.is_none() || targets.iter().all(is_known);
        let is_absorbed = *shard == self.shard && is_known;
        if is_absorbed {
            self.on_target_paces(now, targets);
        }
        is_absorbed
    }

    /// Apply the paces that targets reported to an entry host.
    pub(in crate::pool_owner) fn on_target_paces(&mut self, now: Moment, paces: &[TargetPace]) {
        let Some(span) = &mut self.paces.span else {
            return;
        };
        for report in paces {
            let Some(load) = self.targets.get_mut(&report.target) else {
                continue;
            };
            let age = Duration::from_millis(report.age_ms.into());
            if let Some(progress) = load.record_pace(now, report.pace, age) {
                span.record(progress);
            }
            if load.refresh_stretch(now, span.get()) {
                self.paces.stretched.insert(report.target.clone());
            }
        }
    }

    /// Compute the factors of the slow targets anew: they decay by time alone.
    pub(in crate::pool_owner) fn refresh_paces(&mut self, now: Moment) {
        let Some(span) = self.paces.span() else {
            return;
        };
        if now.since(self.paces.refreshed_at) < REFRESH_INTERVAL {
            return;
        }
        let mut lost = 0.0;
        let targets = &mut self.targets;
        self.paces.stretched.retain(|name| {
            let Some(load) = targets.get_mut(name) else {
                return false;
            };
            let is_stretched = load.refresh_stretch(now, span);
            lost += load.permits() as f64 * (1.0 - 1.0 / load.pace_factor());
            is_stretched
        });
        let permits = self.permits.len().max(1) as f64;
        // More permits may be counted at targets than there are in the table.
        let speed = (1.0 - lost / permits).max(1.0 / permits);
        self.paces.set_speed(now, speed);
    }
}
