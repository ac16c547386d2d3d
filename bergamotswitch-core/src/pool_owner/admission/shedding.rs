//! Provides load shedding, and the predictions of waiting times that it is based on.

use std::time::Duration;

use crate::clock::Moment;
use crate::pool_owner::OwnerAction;
use crate::pool_owner::learning::target_load::TargetLoad;
use crate::pool_owner::owner::ShardOwner;
use crate::refusal::RefusalReason;
use crate::request::AttemptId;
use crate::rules::Tier;

use super::fair_admission::is_exempt;

/// The bounds of the retry-after time of refusals: callers should neither retry
/// immediately nor wait long after the overload has ended.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(60);

/// How far the predicted drain time may exceed a request's remaining time
/// before the request is refused. The prediction is based on partly loaded
/// targets and is too high; keeping a request needlessly only costs a queue
/// entry.
const DRAIN_TOLERANCE: f64 = 2.0;

/// How long the shard's speed is used while nothing but permit requests arrives. It
/// changes with the targets' runs, and takes a look at each target to compute.
const SPEED_INTERVAL: Duration = Duration::from_millis(50);

impl ShardOwner {
    /// Shed requests until the queue is within its limits, after a request of
    /// `tier` was queued; get whether any was shed.
    pub(in crate::pool_owner) fn shed(
        &mut self,
        now: Moment,
        tier: Tier,
        actions: &mut Vec<OwnerAction>,
    ) -> bool {
        let mut shed = false;
        while self.is_over_limits(now) {
            let Some(attempt) = self.next_to_shed(now) else {
                return shed;
            };
            let Some(queued) = self.queue.get(&attempt) else {
                return shed;
            };
            let reason = match queued.request.tier > tier {
                true => RefusalReason::ShedForHigherTier,
                false => self.overload_reason(now, &attempt),
            };
            self.refuse_for_capacity(now, &attempt, reason, actions);
            shed = true;
        }
        shed
    }

    /// Refuse a new request, or another one in its place, if the ones queued before it
    /// would take far longer than its deadline; get whether one was refused. If
    /// lower-tier requests are queued it is kept, since those are shed first.
    pub(in crate::pool_owner) fn shed_infeasible(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
        actions: &mut Vec<OwnerAction>,
    ) -> bool {
        let Some(queued) = self.queue.get(attempt) else {
            return false;
        };
        if is_exempt(queued) {
            return false;
        }
        let tier = queued.request.tier;
        if let Some(wait) = self.predicted_slot_wait(now, tier) {
            let lower_kept = self.is_kept_for_lower(tier);
            if self.queue.is_below_floor(tier) || lower_kept || wait <= self.wait_limit(now, queued)
            {
                return false;
            }
            return self.refuse_for_room(now, attempt, actions);
        }
        let speed = self.shard_speed(now);
        if self.queue.tokens_through(tier) < self.queue.tokens() || speed == 0.0 {
            return false;
        }
        let others = self.queue.tokens() - queued.request.cost.total();
        let max_drain = self.wait_limit(now, queued).mul_f64(DRAIN_TOLERANCE);
        if others as f64 / speed <= max_drain.as_secs_f64() {
            return false;
        }
        self.refuse_for_room(now, attempt, actions)
    }

    /// Get the predicted queuing time of a new request of `tier` from the
    /// number of permits to be released before it and the release rate; `None`
    /// unless all targets publish their slots.
    fn predicted_slot_wait(&self, now: Moment, tier: Tier) -> Option<Duration> {
        self.predicted_wait(now, self.queue.requests_through(tier))
    }

    /// Get the predicted queuing time of the last of `ahead` requests.
    pub(in crate::pool_owner) fn predicted_wait(
        &self,
        now: Moment,
        ahead: usize,
    ) -> Option<Duration> {
        if !self.has_slots() {
            return None;
        }
        if !self.limited.is_empty()
            && let Some(limited) = self.limited_rate()
        {
            return self.limited_wait(now, ahead, limited);
        }
        // The recent rate alone is only valid while the shard was saturated.
        // After an idle second it would be too low, and the first requests of a
        // burst would be refused although targets are free.
        let mut expected = 0.0;
        for load in self.targets.values() {
            // Without a completed run on each target the release rate is unknown.
            if !load.has_run() {
                return None;
            }
            expected += load.release_rate();
        }
        let recent = self.release_rate.per_second(now) * self.paces.rate_change();
        let rate = recent.max(expected);
        (rate > 0.0).then(|| Duration::from_secs_f64(ahead as f64 / rate))
    }

    /// Get the request rate of the shard if all of its working targets limit theirs,
    /// per second.
    fn limited_rate(&self) -> Option<f64> {
        let working = self.targets.values();
        let working = working.filter(|load| !load.is_draining() && !load.back_off().is_active());
        let rates: Option<Vec<f64>> = working.map(TargetLoad::paced_rate).collect();
        let rates = rates.filter(|rates| !rates.is_empty())?;
        Some(rates.iter().sum())
    }

    /// Get the predicted queuing time behind `ahead` requests while all targets limit their
    /// rate: no longer than until the first one is warm.
    fn limited_wait(&self, now: Moment, ahead: usize, rate: f64) -> Option<Duration> {
        let served = (rate > 0.0).then(|| Duration::from_secs_f64(ahead as f64 / rate));
        let warm_at = self.targets.values().filter_map(TargetLoad::warm_at).min();
        let warm = warm_at.map(|at| at.since(now));
        match (served, warm) {
            (Some(served), Some(warm)) => Some(served.min(warm)),
            (served, warm) => served.or(warm),
        }
    }

    fn is_over_limits(&self, now: Moment) -> bool {
        // A single request may be queued whatever its cost.
        if self.queue.len() < 2 {
            return false;
        }
        if self.queue.len() > self.opts.max_requests {
            return true;
        }
        let speed = self.shard_speed(now);
        if speed == 0.0 {
            return false;
        }
        let seconds = self.queue.tokens() as f64 / speed;
        seconds > self.opts.max_wait.as_secs_f64()
    }

    /// Get the predicted time until the in-flight work and the queued work of
    /// `tier` and higher ones is done, within the retry-after bounds.
    pub(in crate::pool_owner) fn drain_time(&self, now: Moment, tier: Tier) -> Duration {
        if let Some(wait) = self.predicted_slot_wait(now, tier) {
            return wait.clamp(RETRY_MIN, RETRY_MAX);
        }
        let speed = self.shard_speed(now);
        if speed == 0.0 {
            return RETRY_MAX;
        }
        let in_flight: u64 = self.targets.values().map(|load| load.backlog(now)).sum();
        let tokens = in_flight + self.queue.tokens_through(tier);
        let span = Duration::from_secs_f64(tokens as f64 / speed);
        span.clamp(RETRY_MIN, RETRY_MAX)
    }

    /// Get the total speed of all targets that accept requests, in tokens per
    /// second.
    fn shard_speed(&self, now: Moment) -> f64 {
        if let Some((at, speed)) = self.recent_speed.get()
            && now.since(at) < SPEED_INTERVAL
        {
            return speed;
        }
        let speed = self.current_speed(now);
        self.recent_speed.set(Some((now, speed)));
        speed
    }

    fn current_speed(&self, now: Moment) -> f64 {
        let live = self.targets.values().filter(|load| !load.is_draining());
        let working = live.clone().filter(|load| !load.back_off().is_active());
        let speed: f64 = working.map(|load| load.speed(now)).sum();
        if speed > 0.0 {
            return speed;
        }
        // If all targets are backed off, maybe only briefly, the queue is kept
        // and their last speeds are used.
        live.map(|load| load.speed(now)).sum()
    }
}
