//! Provides what an owner believes of one target: its own outstanding count,
//! and whether a request finds room there.

use std::time::Duration;

use crate::clock::Moment;
use crate::permit::Usage;
use crate::request::TokenCost;
use crate::target::{LoadReport, PoolTarget};

use super::back_off::BackOff;
use super::load_history::LoadHistory;
use super::run_gauge::{RunGauge, RunSample};
use super::slot_limit::SlotLimit;
use super::speed_gauge::{DueWork, SpeedGauge};
use super::token_limit::TokenLimit;

/// How long a target that refused as full gets nothing more: without a pause
/// a queue would be poured over it, refusal by refusal.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// The part of a target's limit that long work may fill, in hundredths.
const LONG_PERCENT: u64 = 75;

/// The weight of a new sample of what a warm prefix saved.
const HINT_WEIGHT: f64 = 0.5;

/// The least trust in a warm prefix: some engines do not report what they
/// took from their cache, and there the hint is still better than none.
const CACHE_TRUST_MIN: f64 = 0.25;

/// How long a place that came free stays empty until the owner has heard of it
/// and its permit has led to a request. So much of a target's work may wait
/// there beyond its batch: short calls of 30 ms would leave a sixth of their
/// places empty. Runs of a second get no such place, since they would wait at
/// a slow target for longer than they would here.
const REFILL_MS: f64 = 6.0;

/// The run time that is taken for an unknown one: that of plain calls.
const UNKNOWN_RUN_MS: f64 = 30.0;

/// A `TargetLoad` is what an owner believes of one target.
#[derive(Debug)]
pub struct TargetLoad {
    target: PoolTarget,
    leaving: bool,
    outstanding: u64,
    long_outstanding: u64,
    permits: usize,
    limit: TokenLimit,
    slots: SlotLimit,
    runs: RunGauge,
    gauge: SpeedGauge,
    full_until: Moment,
    cache_trust: f64,
    history: LoadHistory,
    back_off: BackOff,
    /// How many requests may wait there beyond its batch; worked out when a
    /// run ends, since it is asked for with each request and each target.
    spare: usize,
}

impl TargetLoad {
    /// Get the belief about a target of which nothing was measured.
    pub fn new(target: PoolTarget, back_off: BackOff) -> Self {
        let mut load = TargetLoad {
            spare: 0,
            leaving: false,
            outstanding: 0,
            long_outstanding: 0,
            permits: 0,
            limit: TokenLimit::new(target.token_limit),
            slots: SlotLimit::default(),
            runs: RunGauge::default(),
            gauge: SpeedGauge::new(target.expected_speed),
            full_until: Moment::START,
            cache_trust: 1.0,
            history: LoadHistory::default(),
            back_off,
            target,
        };
        load.spare = load.spare_places();
        load
    }

    /// Get the target as published.
    pub fn target(&self) -> &PoolTarget {
        &self.target
    }

    /// Get whether it gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Get the tokens of this owner's permits.
    pub fn outstanding(&self) -> u64 {
        self.outstanding
    }

    /// Get the number of this owner's permits.
    pub fn permits(&self) -> usize {
        self.permits
    }

    /// Get the limit in tokens that is in force now. It falls with the square
    /// of the slowdown: the speed is an estimate, but what is sent to an
    /// engine that stalls is stuck there until it ends.
    pub fn limit(&self, now: Moment) -> u64 {
        let slowdown = self.gauge.slowdown(now);
        (self.limit.tokens() as f64 * slowdown * slowdown) as u64
    }

    /// Get the back-off state.
    pub fn back_off(&self) -> &BackOff {
        &self.back_off
    }

    /// Get the back-off state to change it.
    pub fn back_off_mut(&mut self) -> &mut BackOff {
        &mut self.back_off
    }

    /// Take over what is published of the target now.
    pub fn publish(&mut self, target: PoolTarget) {
        if target.token_limit != self.target.token_limit {
            self.limit = TokenLimit::new(target.token_limit);
        }
        self.gauge.publish(target.expected_speed);
        self.target = target;
        self.spare = self.spare_places();
        self.leaving = false;
    }

    /// Note that the target gets no new work.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Expect work to end.
    pub fn expect(&mut self, work: DueWork) {
        self.gauge.expect(work);
    }

    /// Expect work no longer.
    pub fn expect_no_more(&mut self, work: &DueWork) {
        self.gauge.expect_no_more(work);
    }

    /// Get the tokens that are served there until work of `tokens`, counted
    /// in already, ends. An engine serves its batch in turn: a short request
    /// waits for as much of each other as it is long itself, and a long one
    /// for all.
    pub fn ahead_of(&self, now: Moment, tokens: u64) -> u64 {
        let in_turn = tokens.saturating_mul(self.permits.max(1) as u64);
        in_turn.min(self.backlog(now))
    }

    /// Get the speed in tokens per second that is predicted now.
    pub fn speed(&self, now: Moment) -> f64 {
        self.gauge.speed(now)
    }

    /// Get the tokens that are predicted to lie before a new request.
    pub fn backlog(&self, now: Moment) -> u64 {
        self.outstanding + self.history.excess(now)
    }

    /// Get whether a request fits. An idle target takes any one request:
    /// otherwise a request above the limit would wait for ever.
    pub fn fits(&self, now: Moment, tokens: u64) -> bool {
        if now < self.full_until {
            return false;
        }
        if self.permits == 0 {
            return true;
        }
        match self.target.slots {
            // The batch is known, and what a request holds of the memory is
            // bounded by its tokens.
            Some(slots) => {
                let held = self.outstanding + tokens;
                self.has_place(slots) && held <= u64::from(self.target.token_limit)
            }
            None => self.slots.fits(self.permits) && self.backlog(now) + tokens <= self.limit(now),
        }
    }

    fn has_place(&self, slots: u32) -> bool {
        self.permits < slots as usize + self.spare
    }

    /// Get whether some request may fit, however small: a cheap check before
    /// [`TargetLoad::fits`].
    pub fn may_fit(&self, now: Moment) -> bool {
        let has_place = self.target.slots.is_none_or(|slots| self.has_place(slots));
        now >= self.full_until && (has_place || self.permits == 0)
    }

    /// Get how many requests may wait there beyond its batch.
    fn spare_places(&self) -> usize {
        let Some(slots) = self.target.slots else {
            return 0;
        };
        let run_ms = match self.runs.mean_run_ms() {
            Some(run_ms) => run_ms.max(REFILL_MS),
            None if self.target.token_limit == u32::MAX => UNKNOWN_RUN_MS,
            None => return 0,
        };
        let waiting = f64::from(slots) * REFILL_MS / run_ms;
        waiting.round() as usize
    }

    /// Get whether a long request leaves room for short ones.
    pub fn fits_long(&self, now: Moment, tokens: u64) -> bool {
        if self.permits == 0 {
            return true;
        }
        let limit = match self.target.slots {
            Some(_) => u64::from(self.target.token_limit),
            None => self.limit(now),
        };
        let bound = limit * LONG_PERCENT / 100;
        self.long_outstanding + tokens <= bound
    }

    /// Get whether long work runs there.
    pub fn holds_long(&self) -> bool {
        self.long_outstanding > 0
    }

    /// Count a permit in.
    pub fn occupy(&mut self, now: Moment, tokens: u64, long: bool) {
        self.permits += 1;
        self.outstanding += tokens;
        if long {
            self.long_outstanding += tokens;
        }
        self.history.note(now, self.outstanding);
    }

    /// Count a permit out.
    pub fn vacate(&mut self, now: Moment, tokens: u64, long: bool) {
        self.permits = self.permits.saturating_sub(1);
        self.outstanding = self.outstanding.saturating_sub(tokens);
        if long {
            self.long_outstanding = self.long_outstanding.saturating_sub(tokens);
        }
        self.history.note(now, self.outstanding);
    }

    /// Take in a load report.
    pub fn report(&mut self, now: Moment, report: &LoadReport) {
        self.slots.report(report);
        self.history.report(now, report);
    }

    /// Learn from work that was done: `ahead` is what was to be served there
    /// until its end, the work included, when its permit was given.
    pub fn learn(&mut self, now: Moment, ahead: u64, cost: TokenCost, usage: &Usage) {
        let fresh = usage.prefill.saturating_sub(usage.cached);
        let done = u64::from(fresh) + u64::from(usage.decode);
        if done == 0 || usage.elapsed_ms == 0 {
            return;
        }
        // Where the estimate of the cost was wrong, what lay ahead is scaled
        // by what was really done.
        let share = (done as f64 / cost.total().max(1) as f64).min(1.0);
        let span = Duration::from_millis(u64::from(usage.elapsed_ms));
        self.gauge.measure(now, ahead as f64 * share, span);
        self.limit.adapt(usage, done);
    }

    /// Learn from a whole answer how long one takes.
    pub fn learn_run(&mut self, sample: &RunSample<'_>) {
        self.runs.learn(sample);
        self.spare = self.spare_places();
    }

    /// Get how full it is with one request more, 1 for full.
    pub fn crowd(&self) -> f64 {
        let slots = self.target.slots.map_or(1.0, f64::from);
        (self.permits + 1) as f64 / slots
    }

    /// Get how many milliseconds the first output of one request more should
    /// take.
    pub fn first_ms(&self, cost: TokenCost) -> f64 {
        self.runs.first_ms(cost, self.crowd())
    }

    /// Get the permits a second that should come back from it.
    pub fn release_rate(&self) -> f64 {
        match self.runs.mean_run_ms() {
            Some(run_ms) if run_ms > 0.0 => self.permits as f64 * 1_000.0 / run_ms,
            Some(_) | None => 0.0,
        }
    }

    /// Get whether some run was seen to end there.
    pub fn is_known(&self) -> bool {
        self.runs.is_known()
    }

    /// Get whether it may have one request more as far as little is known of
    /// it.
    pub fn is_explored(&self, unknown_permits: usize) -> bool {
        self.is_known() || self.permits < unknown_permits
    }

    /// Get how many milliseconds a run of `cost` should take here.
    pub fn run_ms(&self, cost: TokenCost) -> f64 {
        self.runs.expected_ms(cost)
    }

    /// Get whether a refusal means that the target is full: somebody's work
    /// is there. Being full is no failure.
    pub fn is_occupied(&self, now: Moment) -> bool {
        self.backlog(now) > 0
    }

    /// Get the part of the expected savings by a warm prefix that this target
    /// really gives.
    pub fn cache_trust(&self) -> f64 {
        self.cache_trust
    }

    /// Compare the cached tokens that were expected with those that were
    /// seen: a small cache forgets what it was sent a moment ago.
    pub fn check_hint(&mut self, expected: u64, cached: u32) {
        if expected == 0 {
            return;
        }
        let seen = (f64::from(cached) / expected as f64).min(1.0);
        let trust = self.cache_trust * (1.0 - HINT_WEIGHT) + seen * HINT_WEIGHT;
        self.cache_trust = trust.max(CACHE_TRUST_MIN);
    }

    /// Give the target nothing for a moment: it has refused.
    pub fn pause(&mut self, now: Moment) {
        self.full_until = now.plus(FULL_PAUSE);
    }

    /// Note that the target said that it is full. What it holds now is its
    /// limit, whatever the configuration says.
    pub fn note_full(&mut self, now: Moment) {
        if self.target.slots.is_some() {
            return;
        }
        self.limit.lower_to(self.backlog(now));
    }
}
