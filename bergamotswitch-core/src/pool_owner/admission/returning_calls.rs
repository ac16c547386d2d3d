//! Provides the handling of calls that return after a refusal: the signatures that
//! entry hosts announce, the promises that refusals make, and their redemption.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::call_signature::CallSignature;
use crate::clock::Moment;
use crate::host::{HostName, Incarnation};
use crate::incident::Incident;
use crate::permit::{PermitRequest, ReturnPromise};
use crate::pool_owner::OwnerAction;
use crate::pool_owner::learning::run_estimate::RunEstimate;
use crate::pool_owner::order::queue::QueuedRequest;
use crate::pool_owner::owner::ShardOwner;
use crate::refusal::RefusalReason;
use crate::request::AttemptId;
use crate::rules::Tier;

use super::return_promises::{PromiseOptions, RedeemedPromise, ReturnPromises, ReturningCaller};
use super::room_forecast::{FORECAST_STEP, FORECAST_STEPS, RoomForecast, WorkRates};

/// The maximum number of promises, and of refused calls that are remembered, which take
/// about 300 bytes each.
const MAX_PROMISES: usize = 16_384;

/// The part of its remaining time, in percent, after which a caller returns at the
/// latest: callers honour at most a third.
const RETURN_PERCENT: u32 = 32;

/// The factor by which the predicted run has to fit into the time that a returning
/// caller has left: runs of a queue that is not empty are checked with the same factor.
const RUN_SAFETY_FACTOR: f64 = 1.5;

/// The minimum interval between log lines about broken promises.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A `PromiseState` is what became of a promise or of a returning call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PromiseState {
    /// The promise was made.
    Made,
    /// A refused call got no promise, because no moment that suits it has room.
    NoRoom,
    /// The caller returned and goes before new requests.
    Claimed,
    /// The caller did not return in time.
    Unclaimed,
    /// The caller returned and was shed for a higher tier.
    BrokenHigherTier,
    /// The caller returned and waited until its run could no longer end in time.
    BrokenTooLate,
    /// The caller returned and was refused for another reason.
    BrokenOther,
    /// A call was refused again after an earlier refusal, with or without a promise.
    RefusedTwice,
}

impl PromiseState {
    /// Get the state's name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            PromiseState::Made => "made",
            PromiseState::NoRoom => "no-room",
            PromiseState::Claimed => "claimed",
            PromiseState::Unclaimed => "unclaimed",
            PromiseState::BrokenHigherTier => "broken-higher-tier",
            PromiseState::BrokenTooLate => "broken-too-late",
            PromiseState::BrokenOther => "broken-other",
            PromiseState::RefusedTwice => "refused-twice",
        }
    }

    fn of_refusal(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::ShedForHigherTier => PromiseState::BrokenHigherTier,
            RefusalReason::DeadlinePassed => PromiseState::BrokenTooLate,
            _ => PromiseState::BrokenOther,
        }
    }
}

/// A `RefusedCalls` is the calls that were refused and may still return, whether they
/// have a promise or not. Equal calls are counted. The oldest ones are dropped where
/// there are too many.
#[derive(Debug, Default)]
struct RefusedCalls {
    /// The refused calls by signature: when the last of them can return, and their number.
    calls: BTreeMap<CallSignature, (Moment, u32)>,
    by_end: BTreeSet<(Moment, CallSignature)>,
}

impl RefusedCalls {
    /// Record a refused call.
    fn record(&mut self, signature: CallSignature, until: Moment) {
        let (end, count) = self.calls.entry(signature).or_insert((until, 0));
        self.by_end.remove(&(*end, signature));
        *end = until.max(*end);
        *count += 1;
        self.by_end.insert((*end, signature));
        if self.calls.len() > MAX_PROMISES {
            self.drop_first();
        }
    }

    /// Get whether a call with this signature was refused, which has returned now.
    fn take(&mut self, signature: CallSignature) -> bool {
        let Some((end, count)) = self.calls.get_mut(&signature) else {
            return false;
        };
        *count -= 1;
        if *count == 0 {
            self.by_end.remove(&(*end, signature));
            self.calls.remove(&signature);
        }
        true
    }

    fn expire(&mut self, now: Moment) {
        while self.by_end.first().is_some_and(|(end, _)| *end <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, signature)) = self.by_end.pop_first() {
            self.calls.remove(&signature);
        }
    }
}

/// A `ReturnState` is what the owner knows of a call's earlier refusal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReturnState {
    /// The signature of the call, if its entry host announced it.
    pub signature: Option<CallSignature>,
    /// Whether a call with this signature was refused before and has not returned yet.
    pub returned: bool,
    /// The promise that the call redeemed.
    pub promise: Option<RedeemedPromise>,
    /// The predicted times of the call when it arrived.
    pub estimate: RunEstimate,
}

impl ReturnState {
    /// Get whether the call was refused before.
    pub(in crate::pool_owner) fn is_return(&self) -> bool {
        self.returned || self.promise.is_some()
    }
}

/// A `ReturningCalls` is the state of a shard owner about calls that return.
#[derive(Debug)]
pub(in crate::pool_owner) struct ReturningCalls {
    /// The signature of the next permit request of each host.
    announced: BTreeMap<HostName, (AttemptId, CallSignature)>,
    promises: ReturnPromises,
    refused: RefusedCalls,
    rates: WorkRates,
    counts: BTreeMap<PromiseState, u64>,
    /// The broken promises that were not logged yet.
    unlogged: u64,
    log_at: Moment,
}

impl ReturningCalls {
    /// Create the state without any promise.
    pub(in crate::pool_owner) fn new(now: Moment) -> Self {
        ReturningCalls {
            announced: BTreeMap::new(),
            promises: ReturnPromises::new(promise_options(0.0)),
            refused: RefusedCalls::default(),
            rates: WorkRates::default(),
            counts: BTreeMap::new(),
            unlogged: 0,
            log_at: now,
        }
    }

    /// Get how often each state was reached.
    fn counts(&self) -> impl Iterator<Item = (PromiseState, u64)> {
        self.counts.iter().map(|(state, count)| (*state, *count))
    }

    /// Get the number of promises that are not claimed yet.
    pub(in crate::pool_owner) fn promised(&self) -> usize {
        self.promises.len()
    }

    /// Drop what one incarnation of an entry host announced.
    pub(in crate::pool_owner) fn drop_incarnation(&mut self, incarnation: Incarnation) {
        self.announced
            .retain(|_, (attempt, _)| attempt.request.incarnation != incarnation);
    }

    /// Take the signature that a host announced for its permit request.
    fn take_signature(&mut self, host: &HostName, attempt: &AttemptId) -> Option<CallSignature> {
        let (announced, signature) = self.announced.get(host).copied()?;
        if announced != *attempt {
            return None;
        }
        self.announced.remove(host);
        Some(signature)
    }

    fn count(&mut self, state: PromiseState, count: u64) {
        if count > 0 {
            *self.counts.entry(state).or_default() += count;
        }
    }
}

fn promise_options(room: f64) -> PromiseOptions {
    PromiseOptions {
        room,
        max_promises: MAX_PROMISES,
    }
}

impl ShardOwner {
    /// Get whether promises to returning callers are made.
    pub(in crate::pool_owner) fn makes_promises(&self) -> bool {
        self.opts.scheduling.return_room.is_some()
    }

    /// Record the signature of a host's next permit request.
    pub(in crate::pool_owner) fn on_signature(
        &mut self,
        host: HostName,
        attempt: AttemptId,
        signature: CallSignature,
    ) {
        if self.makes_promises() {
            self.returning.announced.insert(host, (attempt, signature));
        }
    }

    /// Drop the promises that were not claimed, and log broken ones.
    pub(in crate::pool_owner) fn expire_promises(
        &mut self,
        now: Moment,
        actions: &mut Vec<OwnerAction>,
    ) {
        let returning = &mut self.returning;
        let expired = returning.promises.expire(now) as u64;
        returning.count(PromiseState::Unclaimed, expired);
        returning.refused.expire(now);
        if returning.unlogged > 0 && now >= returning.log_at {
            returning.unlogged = 0;
            returning.log_at = now.plus(LOG_INTERVAL);
            let incident = Incident::PromisesBroken;
            let action = OwnerAction::LogIncident(incident, self.shard.clone(), None, None);
            actions.push(action);
        }
    }

    /// Get what is known of an earlier refusal of a call, and redeem its promise.
    pub(in crate::pool_owner) fn redeem_promise(
        &mut self,
        now: Moment,
        host: &HostName,
        request: &PermitRequest,
        estimate: &RunEstimate,
    ) -> ReturnState {
        if !self.makes_promises() {
            return ReturnState {
                estimate: *estimate,
                ..ReturnState::default()
            };
        }
        let returning = &mut self.returning;
        let signature = returning.take_signature(host, &request.attempt);
        let promise = signature.and_then(|signature| returning.promises.claim(now, signature));
        if promise.is_some() {
            returning.count(PromiseState::Claimed, 1);
        }
        let returned = signature.is_some_and(|signature| returning.refused.take(signature));
        // Calls that return do not keep arriving.
        if !returned && promise.is_none() {
            let rates = &mut self.returning.rates;
            rates.record_arrival(now, request.tier, estimate.work);
        }
        ReturnState {
            signature,
            returned,
            promise,
            estimate: *estimate,
        }
    }

    /// Record the arrival of a request that is refused without being queued.
    pub(in crate::pool_owner) fn record_refused_arrival(
        &mut self,
        now: Moment,
        host: &HostName,
        request: &PermitRequest,
    ) {
        if !self.makes_promises() {
            return;
        }
        let returning = &mut self.returning;
        let signature = returning.take_signature(host, &request.attempt);
        let returned = signature.is_some_and(|signature| returning.refused.take(signature));
        if !returned {
            let work = returning.rates.mean_work(request.tier);
            returning.rates.record_arrival(now, request.tier, work);
        }
        let left = Duration::from_millis(u64::from(request.deadline_ms));
        if let Some(signature) = signature {
            returning.refused.record(signature, now.plus(left));
        }
        returning.count(PromiseState::RefusedTwice, u64::from(returned));
    }

    /// Record that a request was granted a slot.
    pub(in crate::pool_owner) fn record_started_work(
        &mut self,
        now: Moment,
        tier: Tier,
        work: Duration,
    ) {
        if self.makes_promises() {
            self.returning.rates.record_start(now, tier, work);
        }
    }

    /// Get after which time the caller of a queued request that is refused should
    /// return, and promise it a place where there is room; `None` if the call is not to
    /// return by the forecast.
    pub(in crate::pool_owner) fn promise_return(
        &mut self,
        now: Moment,
        queued: &QueuedRequest,
        reason: RefusalReason,
    ) -> Option<Duration> {
        if queued.promise().is_some() {
            let state = PromiseState::of_refusal(reason);
            self.returning.count(state, 1);
            self.returning.unlogged += 1;
        }
        let room = self.opts.scheduling.return_room?;
        let signature = queued.earlier.signature?;
        let run_until = queued.plan.run_until;
        self.returning.refused.record(signature, run_until);
        let is_again = queued.earlier.is_return();
        self.returning
            .count(PromiseState::RefusedTwice, u64::from(is_again));
        if !returns_by_forecast(reason) {
            return None;
        }
        let request = &queued.request;
        let estimate = &queued.earlier.estimate;
        let is_below = self.size_floor.is_below(request.tier, estimate.run);
        let planned_run = self.planned_run(request.tier, estimate);
        let last_start = last_start(now, queued, planned_run);
        let left = run_until.since(now);
        let latest = now.plus(left * RETURN_PERCENT / 100).min(last_start);
        let mean_work = self.returning.rates.mean_work(request.tier);
        let caller = ReturningCaller {
            signature,
            tier: request.tier,
            account: request.account.clone(),
            work: estimate.work,
            least_room: match is_below {
                true => mean_work.min(estimate.work),
                false => estimate.work,
            },
            wait: last_start.since(latest),
        };
        let portion = self.attached_hosts.quota_portion(now);
        let horizon = now.plus(FORECAST_STEP * FORECAST_STEPS as u32);
        let forecast = self.room_forecast(now)?;
        let returning = &mut self.returning;
        let promises = &mut returning.promises;
        promises.set_options(promise_options(room * portion));
        let before = promises.len();
        let (state, at) = match promises.reserve(now, &forecast, &caller, latest) {
            Some(due_at) => (PromiseState::Made, due_at),
            None => {
                let first = promises.first_room(now, &forecast, &caller, latest);
                (PromiseState::NoRoom, first.unwrap_or(horizon))
            }
        };
        // A call that returned at once keeps its promise.
        let is_kept = state == PromiseState::Made && promises.len() == before;
        returning.count(state, u64::from(!is_kept));
        Some(at.since(now))
    }

    /// Get whether the refusal of a queued request is answered by the forecast.
    pub(in crate::pool_owner) fn forecasts_return(
        &self,
        queued: &QueuedRequest,
        reason: RefusalReason,
    ) -> bool {
        let is_signed = self.makes_promises() && queued.earlier.signature.is_some();
        is_signed && returns_by_forecast(reason) && self.has_forecast()
    }

    /// Get whether room can be forecast: targets publish their slots, do not limit their
    /// request rate, and have ended a run.
    fn has_forecast(&self) -> bool {
        let mut working = self.targets.values();
        self.has_slots()
            && self.limited.is_empty()
            && working
                .any(|load| !load.back_off().is_active() && !load.is_draining() && load.has_run())
    }

    /// Get the forecast room; `None` if it is not known.
    fn room_forecast(&self, now: Moment) -> Option<RoomForecast> {
        if !self.has_forecast() {
            return None;
        }
        let working = self.targets.values();
        let working = working.filter(|load| !load.back_off().is_active() && !load.is_draining());
        let slots = working.map(|load| f64::from(load.target().slots.unwrap_or_default()));
        let slots: f64 = slots.sum();
        let queued = self.queue.tiers().map(|(tier, count, _)| (tier, count));
        let demands = self.returning.rates.demands(now, &queued.collect());
        // Several owners that each serve their own host share the targets.
        let slots = slots / f64::from(self.limit_hosts.max(1));
        Some(RoomForecast::new(slots, demands))
    }

    /// Get the fraction of the slots that the higher tiers leave to `tier`.
    pub(in crate::pool_owner) fn left_by_higher(&self, now: Moment, tier: Tier) -> f64 {
        let forecast = self.room_forecast(now);
        forecast.map_or(1.0, |forecast| forecast.left_to(tier))
    }

    /// Get how often each state of promises was reached since the owner took over.
    pub fn promise_counts(&self) -> impl Iterator<Item = (PromiseState, u64)> {
        self.returning.counts()
    }

    /// Get the promises to hand over to the next owner, those of callers that have
    /// returned and still wait included.
    pub fn promise_report(&self, now: Moment) -> Vec<ReturnPromise> {
        let mut promises = self.returning.promises.report(now);
        let waiting = self.queue.find(|queued| queued.promise().is_some());
        let waiting = waiting.iter().filter_map(|attempt| self.queue.get(attempt));
        promises.extend(waiting.filter_map(|queued| {
            Some(ReturnPromise {
                signature: queued.earlier.signature?,
                tier: queued.request.tier,
                account: queued.request.account.clone(),
                due_in_ms: 0,
                expires_in_ms: super::return_promises::CLAIM_TOLERANCE.as_millis() as u32,
            })
        }));
        promises
    }

    /// Take over the promises of the previous owner.
    pub(in crate::pool_owner) fn on_promises(&mut self, now: Moment, promises: Vec<ReturnPromise>) {
        if !self.makes_promises() {
            return;
        }
        for promise in promises {
            let work = self.returning.rates.mean_work(promise.tier);
            self.returning.promises.adopt(now, promise, work);
        }
    }
}

/// Get the latest moment from which the run of a request can still end in time.
fn last_start(now: Moment, queued: &QueuedRequest, run: Duration) -> Moment {
    let left = queued.plan.run_until.since(now);
    now.plus(left.saturating_sub(run.mul_f64(RUN_SAFETY_FACTOR)))
}

/// Get whether a call that is refused for this reason meets more room later.
fn returns_by_forecast(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Overloaded | RefusalReason::AboveShare | RefusalReason::ShedForHigherTier
    )
}
