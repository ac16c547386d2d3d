//! Provides the state of one target as observed by an owner: its outstanding
//! requests, and whether another one fits.

use std::time::Duration;

use crate::clock::Moment;
use crate::permit::Usage;
use crate::pool_owner::placement::request_pace::RequestPace;
use crate::request::TokenCost;
use crate::target::{LoadReport, MomentaryPace, PoolTarget};

use super::back_off::BackOff;
use super::crowding::CrowdingEstimator;
use super::event_rate::EventRate;
use super::host_reports::HostReports;
use super::load_history::LoadHistory;
use super::run_time_estimator::{RunSample, RunTimeEstimator, as_millis};
use super::slot_limit::SlotLimit;
use super::slow_moments::{MomentProgress, RunStretch, SlowMoments};
use super::speed_estimator::{ExpectedEnd, SpeedEstimator};
use super::token_limit::TokenLimit;

/// How long a target gets no requests after it refused one as full; otherwise
/// the whole queue would be sent to it and refused.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// How long a brittle target gets no requests after it refused many.
const BRITTLE_PAUSE: Duration = Duration::from_secs(1);

/// The percentage of a target's limit that long requests may use.
const MAX_LONG_PERCENT: u64 = 75;

/// The weight of a new sample of the savings by a warm prefix.
const CACHE_HIT_WEIGHT: f64 = 0.5;

/// The minimum cache hit ratio assumed for warm-prefix hints: some engines
/// do not report cached tokens, and there a hint is still better than none.
const MIN_CACHE_HIT_RATIO: f64 = 0.25;

/// The time from the release of a slot to the arrival of the next request, in
/// milliseconds. Requests for this much of a target's work may wait there
/// beyond its batch, so that slots of short runs do not stay idle: with runs of
/// 30 ms a sixth would. With long runs this gives none: they would wait at a
/// slow target longer than in the queue.
const REFILL_MS: f64 = 6.0;

/// The window over which recent grants are counted: a target may have turned cold this
/// long before its owner learns it.
const GRANT_WINDOW: Duration = Duration::from_millis(500);

/// The run time assumed without samples, that of plain calls, in milliseconds.
const DEFAULT_RUN_MS: f64 = 30.0;

/// A `RecentRefusals` counts the refusals of a target in one second at a time.
#[derive(Debug, Default)]
struct RecentRefusals {
    since: Moment,
    count: u32,
}

impl RecentRefusals {
    /// Record a refusal, and get the count of this second.
    fn record(&mut self, now: Moment) -> u32 {
        if now.since(self.since) >= Duration::from_secs(1) {
            self.since = now;
            self.count = 0;
        }
        self.count += 1;
        self.count
    }
}

/// A `TargetLoad` is the state of one target as observed by an owner.
#[derive(Debug)]
pub struct TargetLoad {
    target: PoolTarget,
    draining: bool,
    leaving: bool,
    /// The requests that a brittle target can turn away in a second.
    brittle: Option<u32>,
    refused_at: RecentRefusals,
    outstanding: u64,
    long_outstanding: u64,
    permits: usize,
    limit: TokenLimit,
    slots: SlotLimit,
    run_times: RunTimeEstimator,
    /// The slow moments of the target; `None` if paces are ignored.
    slow_moments: Option<SlowMoments>,
    /// How run times are stretched as of the last event; cached, since it is read for
    /// each request and target.
    stretch: RunStretch,
    crowding: CrowdingEstimator,
    speed_estimator: SpeedEstimator,
    full_until: Moment,
    cache_hit_ratio: f64,
    history: LoadHistory,
    back_off: BackOff,
    reports: HostReports,
    /// The number of requests that may wait at the target beyond its batch;
    /// cached, since it is read for each request and target.
    extra_slots: usize,
    /// The recently granted permits.
    grants: EventRate,
    /// The pace of requests, while the target limits their rate.
    pub(in crate::pool_owner) pace: Option<RequestPace>,
}

impl TargetLoad {
    /// Create the state of a target without samples.
    pub fn new(target: PoolTarget, back_off: BackOff) -> Self {
        let mut load = TargetLoad {
            extra_slots: 0,
            grants: EventRate::over(GRANT_WINDOW),
            pace: None,
            draining: false,
            leaving: false,
            brittle: None,
            refused_at: RecentRefusals::default(),
            outstanding: 0,
            long_outstanding: 0,
            permits: 0,
            limit: TokenLimit::new(target.token_limit),
            slots: SlotLimit::default(),
            run_times: RunTimeEstimator::default(),
            slow_moments: None,
            stretch: RunStretch::default(),
            crowding: CrowdingEstimator::default(),
            speed_estimator: SpeedEstimator::new(target.expected_speed),
            full_until: Moment::START,
            cache_hit_ratio: 1.0,
            history: LoadHistory::default(),
            back_off,
            reports: HostReports::default(),
            target,
        };
        load.extra_slots = load.compute_extra_slots();
        load
    }

    /// Get the target as published.
    pub fn target(&self) -> &PoolTarget {
        &self.target
    }

    /// Get whether the target gets no new requests.
    pub fn is_draining(&self) -> bool {
        self.draining || self.leaving
    }

    /// Record that the target said that it leaves, until its next start.
    pub(in crate::pool_owner) fn mark_leaving(&mut self) {
        self.leaving = true;
    }

    /// Get the tokens of this owner's permits.
    pub fn outstanding(&self) -> u64 {
        self.outstanding
    }

    /// Get the number of this owner's permits.
    pub fn permits(&self) -> usize {
        self.permits
    }

    /// Get the token limit now in force. It falls with the square of the
    /// slowdown, since requests sent to a stalled engine are stuck there.
    pub fn limit(&self, now: Moment) -> u64 {
        let moments = self.slow_moments.as_ref();
        let slowdown = self.speed_estimator.slowdown(now, moments);
        (self.limit.tokens() as f64 * slowdown * slowdown) as u64
    }

    /// Get the backoff state.
    pub fn back_off(&self) -> &BackOff {
        &self.back_off
    }

    /// Get the backoff state for modification.
    pub fn back_off_mut(&mut self) -> &mut BackOff {
        &mut self.back_off
    }

    /// Get the recent reports of entry hosts for modification.
    pub(in crate::pool_owner) fn reports_mut(&mut self) -> &mut HostReports {
        &mut self.reports
    }

    /// Apply the published properties of the target.
    pub fn publish(&mut self, target: PoolTarget) {
        if target.token_limit != self.target.token_limit {
            self.limit = TokenLimit::new(target.token_limit);
        }
        self.speed_estimator.publish(target.expected_speed);
        self.target = target;
        self.extra_slots = self.compute_extra_slots();
        self.draining = false;
    }

    /// Record that the target gets no new requests.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Add a request that is expected to end.
    pub fn add_expected_end(&mut self, end: ExpectedEnd) {
        self.speed_estimator.add_expected_end(end);
    }

    /// Remove a request that is no longer expected to end.
    pub fn remove_expected_end(&mut self, end: &ExpectedEnd) {
        self.speed_estimator.remove_expected_end(end);
    }

    /// Get the tokens that the target processes until a request of `tokens`,
    /// already counted, ends. An engine processes its batch round-robin: a
    /// request waits for at most its own length of each other one.
    pub fn tokens_ahead_of(&self, now: Moment, tokens: u64) -> u64 {
        let in_turn = tokens.saturating_mul(self.permits.max(1) as u64);
        in_turn.min(self.backlog(now))
    }

    /// Get the predicted speed in tokens per second.
    pub fn speed(&self, now: Moment) -> f64 {
        let moments = self.slow_moments.as_ref();
        self.speed_estimator.speed(now, moments) / self.stretch.factor()
    }

    /// Get the tokens predicted to be queued or running at the target before a
    /// new request.
    pub fn backlog(&self, now: Moment) -> u64 {
        self.outstanding + self.history.foreign_tokens(now)
    }

    /// Get whether a request fits. An idle target accepts any single request;
    /// otherwise one above the limit could never run.
    pub fn fits(&self, now: Moment, tokens: u64) -> bool {
        if now < self.full_until {
            return false;
        }
        if self.permits == 0 {
            return true;
        }
        match self.target.slots {
            // With the batch size known, the tokens only have to be within the
            // target's memory.
            Some(slots) => {
                let held = self.outstanding + tokens;
                self.has_slot(slots) && held <= u64::from(self.target.token_limit)
            }
            None => self.slots.fits(self.permits) && self.backlog(now) + tokens <= self.limit(now),
        }
    }

    fn has_slot(&self, slots: u32) -> bool {
        self.permits < slots as usize + self.extra_slots
    }

    /// Get whether some request may fit, however small: a cheap check before
    /// [`TargetLoad::fits`].
    pub fn may_fit(&self, now: Moment) -> bool {
        let has_slot = self.target.slots.is_none_or(|slots| self.has_slot(slots));
        now >= self.full_until && (has_slot || self.permits == 0)
    }

    /// Get the number of requests that may wait at the target beyond its batch.
    fn compute_extra_slots(&self) -> usize {
        let Some(slots) = self.target.slots else {
            return 0;
        };
        if self.brittle.is_some() {
            return 0;
        }
        let run_ms = match self.run_times.mean_run_ms() {
            Some(run_ms) => run_ms.max(REFILL_MS),
            None if self.target.token_limit == u32::MAX => DEFAULT_RUN_MS,
            None => return 0,
        };
        let waiting = f64::from(slots) * REFILL_MS / run_ms;
        waiting.round() as usize
    }

    /// Get whether a long request leaves capacity for short ones.
    pub fn fits_long(&self, now: Moment, tokens: u64) -> bool {
        if self.permits == 0 {
            return true;
        }
        let limit = match self.target.slots {
            Some(_) => u64::from(self.target.token_limit),
            None => self.limit(now),
        };
        let bound = limit * MAX_LONG_PERCENT / 100;
        self.long_outstanding + tokens <= bound
    }

    /// Get whether long requests run on the target.
    pub fn has_long(&self) -> bool {
        self.long_outstanding > 0
    }

    /// Add a permit to the counts.
    pub fn add_permit(&mut self, now: Moment, tokens: u64, long: bool) {
        self.permits += 1;
        self.grants.record(now);
        self.outstanding += tokens;
        if long {
            self.long_outstanding += tokens;
        }
        self.history.record(now, self.outstanding);
        self.crowding.set_utilization(now, self.fullness());
    }

    /// Get the number of recently granted permits.
    pub(in crate::pool_owner) fn recent_grants(&self, now: Moment) -> usize {
        self.grants.count(now)
    }

    /// Remove a permit from the counts.
    pub fn remove_permit(&mut self, now: Moment, tokens: u64, long: bool) {
        self.permits = self.permits.saturating_sub(1);
        self.outstanding = self.outstanding.saturating_sub(tokens);
        if long {
            self.long_outstanding = self.long_outstanding.saturating_sub(tokens);
        }
        self.history.record(now, self.outstanding);
        self.crowding.set_utilization(now, self.fullness());
    }

    /// Apply a load report.
    pub fn report(&mut self, now: Moment, report: &LoadReport) {
        self.slots.report(report);
        self.history.report(now, report);
    }

    /// Record the speed and limit samples of a completed request;
    /// `tokens_ahead` is the number of tokens to be processed until its end,
    /// its own included, when its permit was granted.
    pub fn record_usage(&mut self, now: Moment, tokens_ahead: u64, cost: TokenCost, usage: &Usage) {
        let usage = &self.usual_usage(now, usage);
        let uncached = usage.prefill.saturating_sub(usage.cached);
        let done = u64::from(uncached) + u64::from(usage.decode);
        if done == 0 || usage.elapsed_ms == 0 {
            return;
        }
        // If the cost estimate was wrong, the tokens ahead are scaled by the
        // actual cost.
        let share = (done as f64 / cost.total().max(1) as f64).min(1.0);
        let span = Duration::from_millis(u64::from(usage.elapsed_ms));
        self.speed_estimator
            .record(now, tokens_ahead as f64 * share, span);
        self.limit.adapt(usage, done);
    }

    /// Record the run time of a completed request, normalized by the momentary pace and
    /// the crowding under which it ran.
    pub fn record_run(&mut self, now: Moment, sample: &RunSample<'_>) {
        let usage = self.usual_usage(now, sample.usage);
        let crowding = self.record_pace_sample(now, sample, &usage);
        self.run_times.record(&RunSample {
            usage: &scaled(&usage, crowding, crowding),
            ..*sample
        });
        self.extra_slots = self.compute_extra_slots();
    }

    /// Get the utilization with one more request, 1 when full.
    pub fn utilization(&self) -> f64 {
        let slots = self.target.slots.map_or(1.0, f64::from);
        (self.permits + 1) as f64 / slots
    }

    /// Get the predicted time to first token of one more request, in
    /// milliseconds.
    pub fn first_ms(&self, cost: TokenCost) -> f64 {
        let utilization = self.utilization();
        let usual_ms = self.run_times.first_ms(cost, utilization);
        self.stretched(usual_ms, utilization)
    }

    /// Get the predicted release rate of the target's permits, per second.
    pub fn release_rate(&self) -> f64 {
        match self.run_times.mean_run_ms() {
            Some(run_ms) if run_ms > 0.0 => {
                let run_ms = run_ms * self.crowding.factor(self.fullness());
                self.permits as f64 * 1_000.0 / (run_ms * self.stretch.factor())
            }
            Some(_) | None => 0.0,
        }
    }

    /// Get the time of work that takes `usual_ms` at the target's usual pace, if it begins
    /// now and the target has this utilization.
    fn stretched(&self, usual_ms: f64, utilization: f64) -> f64 {
        match self.slow_moments {
            Some(_) => {
                let crowded_ms = usual_ms * self.crowding.factor(utilization);
                self.stretch.apply(crowded_ms)
            }
            None => usual_ms,
        }
    }

    /// Get the utilization by the present permits, 1 when full.
    fn fullness(&self) -> f64 {
        let slots = self.target.slots.map_or(1.0, f64::from);
        self.permits as f64 / slots
    }

    /// Get for how long the target has been nearly full in total.
    pub(in crate::pool_owner) fn full_time(&self, now: Moment) -> Duration {
        self.crowding.full_time(now)
    }

    /// Get the part of a run that ended now during which the target was nearly full, given
    /// the total of that time at its grant.
    pub(in crate::pool_owner) fn crowded_part(
        &self,
        now: Moment,
        at_grant: Duration,
        usage: &Usage,
    ) -> f64 {
        let crowded = self.full_time(now).saturating_sub(at_grant);
        let run_ms = f64::from(usage.elapsed_ms.max(1));
        (as_millis(crowded) / run_ms).min(1.0)
    }

    /// Get the factor by which work takes longer at this moment, as of the last event.
    pub fn pace_factor(&self) -> f64 {
        self.stretch.factor()
    }

    /// Set how long slow moments are expected to last; `None` ignores paces.
    pub(in crate::pool_owner) fn set_slow_moment(&mut self, span: Option<Duration>) {
        self.slow_moments = span.map(SlowMoments::new);
        self.stretch = RunStretch::default();
        self.crowding = CrowdingEstimator::default();
    }

    /// Record a pace that the target reported `age` ago. Get what it tells about the
    /// duration of slow moments.
    pub(in crate::pool_owner) fn record_pace(
        &mut self,
        now: Moment,
        pace: MomentaryPace,
        age: Duration,
    ) -> Option<MomentProgress> {
        self.slow_moments.as_mut()?.record(now, pace, age)
    }

    /// Compute anew how run times are stretched. Get whether they are.
    pub(in crate::pool_owner) fn refresh_stretch(&mut self, now: Moment, span: Duration) -> bool {
        if let Some(moments) = &mut self.slow_moments {
            moments.set_span(span);
            self.stretch = moments.stretch(now);
        }
        !self.stretch.is_none()
    }

    /// Get the usage of a run that ended now, with the times that it would have taken
    /// without slow moments.
    fn usual_usage(&self, now: Moment, usage: &Usage) -> Usage {
        let Some(moments) = &self.slow_moments else {
            return *usage;
        };
        let span = |millis: u32| Duration::from_millis(millis.into());
        let decoding = span(usage.elapsed_ms.saturating_sub(usage.first_token_ms));
        let first_at = Moment::START.plus(now.since(Moment::START).saturating_sub(decoding));
        let first = moments.run_factor(first_at, span(usage.first_token_ms));
        let run = moments.run_factor(now, span(usage.elapsed_ms));
        scaled(usage, first, run)
    }

    /// Learn from a completed run how far the target's paces are true and how much it
    /// slows down when it is nearly full. `usage` is without slow moments. Get the factor
    /// by which crowding made the run longer.
    fn record_pace_sample(&mut self, now: Moment, sample: &RunSample<'_>, usage: &Usage) -> f64 {
        let Some(moments) = &mut self.slow_moments else {
            return 1.0;
        };
        let crowding = self.crowding.part_factor(sample.crowded_part);
        if let Some(expected_ms) = self.run_times.expected_run_ms(sample)
            && expected_ms > 0.0
        {
            let run = Duration::from_millis(sample.usage.elapsed_ms.into());
            let measured = f64::from(sample.usage.elapsed_ms) / (expected_ms * crowding);
            moments.record_run(now, run, measured);
            let usual = f64::from(usage.elapsed_ms) / expected_ms;
            self.crowding.record(sample.crowded_part, usual);
        }
        crowding
    }

    /// Get the mean run time at the usual pace in milliseconds, 0 before the first run.
    pub fn mean_run_ms(&self) -> f64 {
        self.run_times.mean_run_ms().unwrap_or(0.0)
    }

    /// Get whether a run has been completed on the target.
    pub fn has_run(&self) -> bool {
        self.run_times.has_run()
    }

    /// Get whether one more request may be sent; without a completed run,
    /// `unmeasured_permits` is the limit.
    pub fn within_unmeasured_limit(&self, unmeasured_permits: usize) -> bool {
        self.has_run() || self.permits < unmeasured_permits
    }

    /// Get the predicted run time of a request of `cost`, in milliseconds.
    pub fn run_ms(&self, cost: TokenCost) -> f64 {
        let usual_ms = self.run_times.expected_ms(cost);
        self.stretched(usual_ms, self.utilization())
    }

    /// Get whether there are outstanding requests, from this owner or others,
    /// so that a refusal means a full target and not a failure.
    pub fn has_backlog(&self, now: Moment) -> bool {
        self.backlog(now) > 0
    }

    /// Get the fraction of a warm prefix's expected savings that this target
    /// actually gives.
    pub fn cache_hit_ratio(&self) -> f64 {
        self.cache_hit_ratio
    }

    /// Update the cache hit ratio of warm-prefix hints from the expected and
    /// the actual number of cached tokens: a small cache may have evicted a
    /// recent prefix.
    pub fn record_cache_hit(&mut self, expected: u64, cached: u32) {
        if expected == 0 {
            return;
        }
        let observed = (f64::from(cached) / expected as f64).min(1.0);
        let ratio = self.cache_hit_ratio * (1.0 - CACHE_HIT_WEIGHT) + observed * CACHE_HIT_WEIGHT;
        self.cache_hit_ratio = ratio.max(MIN_CACHE_HIT_RATIO);
    }

    /// Send the target nothing for a short time after a refusal; longer if it is brittle
    /// and has refused half of what it can refuse in a second.
    pub fn pause(&mut self, now: Moment) {
        let count = self.refused_at.record(now);
        let pause = match self.brittle {
            Some(refusals) if count * 2 >= refusals => BRITTLE_PAUSE,
            Some(_) | None => FULL_PAUSE,
        };
        self.full_until = now.plus(pause);
    }

    /// Set how many requests the target can turn away in a second; `None` if it is not
    /// brittle.
    pub(in crate::pool_owner) fn set_brittle(&mut self, refusals_per_second: Option<u32>) {
        self.brittle = refusals_per_second;
        self.extra_slots = self.compute_extra_slots();
    }

    /// Record that the target reported itself full: its present backlog becomes
    /// its limit, whatever is configured.
    pub fn record_full(&mut self, now: Moment) {
        if self.target.slots.is_some() {
            return;
        }
        self.limit.lower_to(self.backlog(now));
    }
}

/// Get a usage with the time to first token and the whole run divided by these factors.
fn scaled(usage: &Usage, first: f64, run: f64) -> Usage {
    let divided = |millis: u32, factor: f64| match factor == 1.0 {
        true => millis,
        false => (f64::from(millis) / factor).round() as u32,
    };
    Usage {
        first_token_ms: divided(usage.first_token_ms, first),
        elapsed_ms: divided(usage.elapsed_ms, run),
        ..*usage
    }
}
