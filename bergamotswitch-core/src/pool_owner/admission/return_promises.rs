//! Provides the promises to refused callers that there is a place when they return.
//!
//! They answer overload that lasts for some seconds: callers that return by a fixed
//! part of their remaining time meet the same overload again, and most of them are
//! refused twice. A promise names a moment at which room is forecast, and the returning
//! call goes before new requests of its tier.
//!
//! A call that is refused has mostly lost its chance to be answered on time, whereas a
//! new request still has it. A promise is therefore given for the first moment that
//! new requests leave idle or, if there is none, for the latest moment that suits
//! the caller: a burst ends sooner or later, and a later place displaces fewer new
//! requests.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::call_signature::CallSignature;
use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::permit::ReturnPromise;
use crate::rules::Tier;

use super::room_forecast::{FORECAST_STEP, FORECAST_STEPS, RoomForecast, TierRoom};

/// How long after its moment a promise is kept. `Retry-After` may be in whole seconds,
/// rounded up, and a caller needs a new connection; after this time the place goes to
/// others.
pub const CLAIM_TOLERANCE: Duration = Duration::from_millis(1_200);

/// How long before its moment a promise may be claimed: clocks and rounding differ.
const EARLY_TOLERANCE: Duration = Duration::from_millis(20);

/// How soon after its refusal a call that ignores its moment returns. Such a call keeps
/// its promise and gets no other one.
const RETURN_AT_ONCE: Duration = Duration::from_millis(100);

/// The number of steps before the first one that may be promised: a caller has to
/// receive the refusal and to connect again.
const FIRST_STEP: usize = 1;

/// A `PromiseOptions` is the bounds of the promises of one owner.
#[derive(Clone, Copy, Debug)]
pub struct PromiseOptions {
    /// The fraction of the forecast room that may be promised.
    pub room: f64,
    /// The maximum number of promises.
    pub max_promises: usize,
}

/// A `ReturningCaller` is a refused call that may return.
#[derive(Clone, Debug)]
pub struct ReturningCaller {
    /// The call's signature.
    pub signature: CallSignature,
    /// The call's tier.
    pub tier: Tier,
    /// The client account.
    pub account: AccountName,
    /// How long the call is predicted to hold a slot.
    pub work: Duration,
    /// The room that its place needs at least. Short calls fill each step, so long ones
    /// that need room for their whole run seldom find any.
    pub least_room: Duration,
    /// How long the call may wait for its place after it has returned.
    pub wait: Duration,
}

/// A `RedeemedPromise` is a promise whose caller has returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RedeemedPromise {
    /// When the caller was to return.
    pub due_at: Moment,
    /// From when on the call goes before new requests of its tier.
    pub place_at: Moment,
}

/// A `PromiseKey` identifies a promise; promises of one signature are ordered by when
/// they are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PromiseKey {
    signature: CallSignature,
    due_at: Moment,
    number: u64,
}

/// A `HeldPromise` is a promise that has not been claimed yet.
#[derive(Clone, Debug)]
struct HeldPromise {
    made_at: Moment,
    tier: Tier,
    account: AccountName,
    work: Duration,
    place_at: Moment,
}

/// A `ReturnPromises` is the promises to refused callers of a shard.
#[derive(Debug)]
pub struct ReturnPromises {
    options: PromiseOptions,
    number: u64,
    held: BTreeMap<PromiseKey, HeldPromise>,
    by_due: BTreeSet<(Moment, PromiseKey)>,
    /// The promised work in seconds, by time step and tier.
    calendar: BTreeMap<u64, BTreeMap<Tier, f64>>,
}

impl ReturnPromises {
    /// Create an empty table.
    pub fn new(options: PromiseOptions) -> Self {
        ReturnPromises {
            options,
            number: 0,
            held: BTreeMap::new(),
            by_due: BTreeSet::new(),
            calendar: BTreeMap::new(),
        }
    }

    /// Set new options. Promises that were made are kept.
    pub fn set_options(&mut self, options: PromiseOptions) {
        self.options = options;
    }

    /// Get the number of promises.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Get whether there are no promises.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Reserve a place, and get when the caller is to return, at the latest at `latest`;
    /// `None` if there is no room until then or while the call may wait.
    pub fn reserve(
        &mut self,
        now: Moment,
        forecast: &RoomForecast,
        caller: &ReturningCaller,
        latest: Moment,
    ) -> Option<Moment> {
        if let Some(due_at) = self.made_just_now(now, caller.signature) {
            return Some(due_at);
        }
        if self.held.len() >= self.options.max_promises {
            return None;
        }
        let room = forecast.room(caller.tier);
        let returns = FIRST_STEP..=steps_before(now, latest);
        let waits = returns.end() + 1..=steps_before(now, latest.plus(caller.wait));
        let all = FIRST_STEP..=*waits.end();
        let places = self.places(now, caller.tier, room, self.options.room);
        let step = places
            .first_idle(all, caller.least_room)
            .or_else(|| places.last(returns, caller.least_room))
            .or_else(|| places.first(waits, caller.least_room))?;
        let place_at = self.moment_in(
            step_of(now) + step as u64,
            caller.tier,
            places.room_of(step),
        );
        let due_at = place_at.min(latest);
        self.hold(now, due_at, place_at, caller);
        Some(due_at)
    }

    /// Get when a call with this signature is to return that was refused a moment ago.
    fn made_just_now(&self, now: Moment, signature: CallSignature) -> Option<Moment> {
        let mut promises = self.of_signature(signature);
        let (key, _) = promises.find(|(_, held)| now.since(held.made_at) < RETURN_AT_ONCE)?;
        (key.due_at > now).then_some(key.due_at)
    }

    fn of_signature(
        &self,
        signature: CallSignature,
    ) -> impl Iterator<Item = (&PromiseKey, &HeldPromise)> {
        let first = PromiseKey {
            signature,
            due_at: Moment::START,
            number: 0,
        };
        let promises = self.held.range(first..);
        promises.take_while(move |(key, _)| key.signature == signature)
    }

    /// Get the first moment from `earliest` on that has room which is not promised;
    /// `None` if there is none within the forecast.
    pub fn first_room(
        &self,
        now: Moment,
        forecast: &RoomForecast,
        caller: &ReturningCaller,
        earliest: Moment,
    ) -> Option<Moment> {
        let places = self.places(now, caller.tier, forecast.room(caller.tier), 1.0);
        let first = step_of(earliest).saturating_sub(step_of(now)).max(1) as usize;
        let step = (first..FORECAST_STEPS).find(|step| places.fits(*step, caller.least_room))?;
        Some(start_of(step_of(now) + step as u64).max(earliest))
    }

    /// Redeem a due promise for this signature; each promise is redeemed once.
    pub fn claim(&mut self, now: Moment, signature: CallSignature) -> Option<RedeemedPromise> {
        let (key, _) = self.of_signature(signature).next()?;
        let key = *key;
        if key.due_at > now.plus(EARLY_TOLERANCE) {
            return None;
        }
        let place_at = self.drop_promise(&key)?.place_at;
        let due_at = key.due_at;
        Some(RedeemedPromise { due_at, place_at })
    }

    /// Drop the promises that were not claimed in time; get how many.
    pub fn expire(&mut self, now: Moment) -> usize {
        let mut expired = 0;
        while let Some((due_at, key)) = self.by_due.first().copied()
            && due_at.plus(CLAIM_TOLERANCE) <= now
        {
            self.drop_promise(&key);
            expired += 1;
        }
        expired
    }

    /// Get the promises, for the next owner.
    pub fn report(&self, now: Moment) -> Vec<ReturnPromise> {
        let promises = self.held.iter().map(|(key, held)| ReturnPromise {
            signature: key.signature,
            tier: held.tier,
            account: held.account.clone(),
            due_in_ms: millis(key.due_at.since(now)),
            expires_in_ms: millis(key.due_at.plus(CLAIM_TOLERANCE).since(now)),
        });
        promises.collect()
    }

    /// Take over a promise of the previous owner that holds a slot for `work`; get
    /// whether there was space for it.
    pub fn adopt(&mut self, now: Moment, promise: ReturnPromise, work: Duration) -> bool {
        if self.held.len() >= self.options.max_promises {
            return false;
        }
        // A longer time than this owner would have promised has no effect.
        let horizon = millis(FORECAST_STEP) * FORECAST_STEPS as u32;
        let due_in = Duration::from_millis(u64::from(promise.due_in_ms.min(horizon)));
        let caller = ReturningCaller {
            signature: promise.signature,
            tier: promise.tier,
            account: promise.account,
            work,
            least_room: work,
            wait: Duration::ZERO,
        };
        let due_at = now.plus(due_in);
        self.hold(now, due_at, due_at, &caller);
        true
    }

    fn hold(&mut self, now: Moment, due_at: Moment, place_at: Moment, caller: &ReturningCaller) {
        self.number += 1;
        let key = PromiseKey {
            signature: caller.signature,
            due_at,
            number: self.number,
        };
        let tiers = self.calendar.entry(step_of(place_at)).or_default();
        *tiers.entry(caller.tier).or_default() += caller.work.as_secs_f64();
        let held = HeldPromise {
            made_at: now,
            tier: caller.tier,
            account: caller.account.clone(),
            work: caller.work,
            place_at,
        };
        self.by_due.insert((due_at, key));
        self.held.insert(key, held);
    }

    fn drop_promise(&mut self, key: &PromiseKey) -> Option<HeldPromise> {
        let held = self.held.remove(key)?;
        self.by_due.remove(&(key.due_at, *key));
        let step = step_of(held.place_at);
        if let Some(tiers) = self.calendar.get_mut(&step) {
            let work = tiers.entry(held.tier).or_default();
            *work = (*work - held.work.as_secs_f64()).max(0.0);
        }
        // The steps before the first promise are over, or nobody returns in them.
        let first = self.by_due.first().map(|(due_at, _)| step_of(*due_at));
        while let Some(entry) = self.calendar.first_entry()
            && first.is_none_or(|first| *entry.key() < first)
        {
            entry.remove();
        }
        Some(held)
    }

    /// Get the places of `tier` in the next steps, of which `fraction` may be promised.
    /// Promises of lower tiers are not counted, as they yield.
    fn places(&self, now: Moment, tier: Tier, room: TierRoom, fraction: f64) -> StepPlaces {
        let mut promised = [0.0; FORECAST_STEPS + 1];
        let first = step_of(now);
        let next_steps = first..first + FORECAST_STEPS as u64;
        for (step, tiers) in self.calendar.range(next_steps) {
            let work: f64 = tiers.range(..=tier).map(|(_, work)| work).sum();
            promised[(step - first) as usize + 1] = work;
        }
        for step in 1..promised.len() {
            promised[step] += promised[step - 1];
        }
        let mut places = StepPlaces {
            left: room.left,
            idle: room.idle,
            promised,
        };
        for step in 0..=FORECAST_STEPS {
            places.left[step] *= fraction;
            places.idle[step] = places.idle[step].min(places.left[step]);
        }
        places
    }

    /// Get a moment in a step. The more of the step is promised, the later it is, so
    /// that callers do not return together.
    fn moment_in(&self, step: u64, tier: Tier, room: f64) -> Moment {
        let tiers = self.calendar.get(&step);
        let promised: f64 = tiers.map_or(0.0, |tiers| tiers.range(..=tier).map(|(_, w)| w).sum());
        let part = (promised / room.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
        start_of(step).plus(FORECAST_STEP.mul_f64(part))
    }
}

/// A `StepPlaces` is what may be promised in the next steps, and what is promised. Each
/// array holds the work up to a step, in seconds.
struct StepPlaces {
    left: [f64; FORECAST_STEPS + 1],
    idle: [f64; FORECAST_STEPS + 1],
    promised: [f64; FORECAST_STEPS + 1],
}

impl StepPlaces {
    /// Get the first step in which the work displaces no new request.
    fn first_idle(&self, mut steps: RangeInclusive<usize>, work: Duration) -> Option<usize> {
        steps.find(|step| self.fits_in(*step, work, &self.idle))
    }

    /// Get the first step that has room.
    fn first(&self, mut steps: RangeInclusive<usize>, work: Duration) -> Option<usize> {
        steps.find(|step| self.fits(*step, work))
    }

    /// Get the last step that has room.
    fn last(&self, steps: RangeInclusive<usize>, work: Duration) -> Option<usize> {
        steps.rev().find(|step| self.fits(*step, work))
    }

    fn fits(&self, step: usize, work: Duration) -> bool {
        self.fits_in(step, work, &self.left)
    }

    fn room_of(&self, step: usize) -> f64 {
        self.left[step + 1] - self.left[step]
    }

    /// Get whether the work fits into the steps that end, and into those that begin,
    /// with this one. Their number is the one that have as much room: in a small shard,
    /// one step has not room for a long run.
    fn fits_in(&self, step: usize, work: Duration, room: &[f64; FORECAST_STEPS + 1]) -> bool {
        let work = work.as_secs_f64();
        let count = (work / (room[step + 1] - room[step])).ceil().max(1.0);
        // Without room in the step, the number is not finite.
        if !count.is_finite() || count > (step + 1) as f64 {
            return false;
        }
        let count = count as usize;
        let end = (step + count).min(FORECAST_STEPS);
        let fits = |from: usize, to: usize| {
            let left = room[to] - room[from] - (self.promised[to] - self.promised[from]);
            // The sums of many steps differ in rounding.
            left + 1e-9 >= work
        };
        fits(step + 1 - count, step + 1) && (end < step + count || fits(step, end))
    }
}

/// Get the number of the last step that ends before `end`, counted from the one of `now`.
fn steps_before(now: Moment, end: Moment) -> usize {
    let steps = step_of(end).saturating_sub(step_of(now) + 1);
    (steps as usize).min(FORECAST_STEPS - 1)
}

fn step_of(moment: Moment) -> u64 {
    moment.as_micros() / FORECAST_STEP.as_micros() as u64
}

fn start_of(step: u64) -> Moment {
    Moment::from_micros(step * FORECAST_STEP.as_micros() as u64)
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
