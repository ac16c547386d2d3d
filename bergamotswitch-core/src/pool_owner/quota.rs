//! Provides the quotas of client accounts, kept where the whole is seen.
//!
//! A quota is a rate with a burst, judged over a window: what was used in any
//! window must not exceed the rate over it and the burst.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::client_account::AccountName;
use crate::clock::Moment;

/// The part of a quota that a new owner takes for used, spread evenly over
/// the window before. It does not know what the former owner let pass: taken
/// for nothing, an account over its rate could use it twice within one window;
/// taken for all, accounts within their rates would be refused after each
/// change of owners. With three quarters a window around the change holds at
/// most 1.25 times the quota.
const ASSUMED_PART: f64 = 0.75;

/// The spans in which use is counted together.
const SLOTS_PER_WINDOW: u32 = 32;

/// The shortest and longest pauses that a refused caller is told: at a shorter
/// one it would come back before anything has left the window.
const RETRY_MIN: Duration = Duration::from_millis(250);
const RETRY_MAX: Duration = Duration::from_secs(4);

/// A `QuotaRate` is the part of an account's quota that one owner keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRate {
    /// Units a second.
    pub rate: f64,
    /// Units at once beyond the rate.
    pub burst: f64,
}

impl QuotaRate {
    /// Get the units that may be used in a window.
    fn units_in(&self, window: Duration) -> f64 {
        self.rate * window.as_secs_f64() + self.burst
    }
}

/// A `UsedSlot` is what was used in one short span.
#[derive(Clone, Copy, Debug)]
struct UsedSlot {
    began_at: Moment,
    units: f64,
}

/// A `QuotaUse` is what one account used within the window.
#[derive(Debug, Default)]
struct QuotaUse {
    slots: VecDeque<UsedSlot>,
    total: f64,
}

impl QuotaUse {
    fn expire(&mut self, now: Moment, window: Duration) {
        while let Some(first) = self.slots.front()
            && now.since(first.began_at) > window
        {
            self.total -= first.units;
            self.slots.pop_front();
        }
    }

    fn add(&mut self, now: Moment, slot: Duration, units: f64) {
        self.total += units;
        match self.slots.back_mut() {
            Some(last) if now.since(last.began_at) < slot => last.units += units,
            _ => self.slots.push_back(UsedSlot {
                began_at: now,
                units,
            }),
        }
    }

    /// Get how long it takes until `units` have left the window.
    fn time_until_free(&self, now: Moment, window: Duration, units: f64) -> Duration {
        let mut left = units;
        for slot in &self.slots {
            left -= slot.units;
            if left <= 0.0 {
                return window.saturating_sub(now.since(slot.began_at));
            }
        }
        window
    }
}

/// A `QuotaBook` is what each account with a quota used.
#[derive(Debug)]
pub struct QuotaBook {
    window: Duration,
    started_at: Moment,
    rates: HashMap<AccountName, QuotaRate>,
    used: HashMap<AccountName, QuotaUse>,
}

impl QuotaBook {
    /// Get the book of an owner that takes over now.
    pub fn new(window: Duration, now: Moment) -> Self {
        QuotaBook {
            window,
            started_at: now,
            rates: HashMap::new(),
            used: HashMap::new(),
        }
    }

    /// Put other rates in force. What was used stays used.
    pub fn set_rates(&mut self, rates: Vec<(AccountName, QuotaRate)>) {
        self.rates = rates.into_iter().collect();
        let rates = &self.rates;
        self.used.retain(|account, _| rates.contains_key(account));
    }

    /// Try to take units for a call. One call may go beyond the bound: calls
    /// differ a hundredfold in units, and a bound on single calls would shut
    /// out long ones.
    ///
    /// # Errors
    ///
    /// Returns when the account may come back.
    pub fn try_take(
        &mut self,
        now: Moment,
        account: &AccountName,
        units: u32,
    ) -> Result<(), Duration> {
        let Some(rate) = self.rates.get(account) else {
            return Ok(());
        };
        let allowed = rate.units_in(self.window);
        let assumed = self.assumed_use(now, allowed);
        let slot = self.window / SLOTS_PER_WINDOW;
        let used = self.used.entry(account.clone()).or_default();
        used.expire(now, self.window);
        let over = used.total + assumed - allowed;
        if over < 0.0 {
            used.add(now, slot, f64::from(units));
            return Ok(());
        }
        let wait = used.time_until_free(now, self.window, over + f64::from(units));
        Err(wait.clamp(RETRY_MIN, RETRY_MAX))
    }

    /// Give back what a call took that was not run.
    pub fn give_back(&mut self, account: &AccountName, units: u32) {
        if let Some(used) = self.used.get_mut(account)
            && let Some(last) = used.slots.back_mut()
        {
            last.units -= f64::from(units);
            used.total -= f64::from(units);
        }
    }

    /// Get what former owners are taken to have let pass within the window.
    fn assumed_use(&self, now: Moment, allowed: f64) -> f64 {
        let age = now.since(self.started_at).as_secs_f64();
        let left = 1.0 - age / self.window.as_secs_f64();
        allowed * ASSUMED_PART * left.max(0.0)
    }
}
