//! Provides the quotas of client accounts, kept where the whole is seen.

use std::collections::HashMap;
use std::time::Duration;

use crate::client_account::AccountName;
use crate::clock::Moment;

/// The part of a second's rate that a new owner's buckets begin with. A new
/// owner does not know what the former one let pass; with a whole burst, an
/// account could use its burst again after each change of owners.
const FIRST_LEVEL_PARTS: f64 = 5.0;

/// The shortest pause that a refused caller is told, in seconds: at a lower
/// one, callers over their quota would come back faster than it fills.
const RETRY_MIN_S: f64 = 0.2;

/// A `QuotaRate` is the part of an account's quota that one owner keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRate {
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
}

#[derive(Debug)]
struct QuotaBucket {
    level: f64,
    filled_at: Moment,
}

/// A `QuotaBook` is a bucket for each account with a quota. A call is let in
/// while the bucket is not empty, and may take it below zero: calls differ a
/// hundredfold in units, and a bound on single calls would shut out long ones.
#[derive(Debug, Default)]
pub struct QuotaBook {
    rates: HashMap<AccountName, QuotaRate>,
    buckets: HashMap<AccountName, QuotaBucket>,
}

impl QuotaBook {
    /// Put other rates in force. What was used stays used.
    pub fn set_rates(&mut self, rates: Vec<(AccountName, QuotaRate)>) {
        self.rates = rates.into_iter().collect();
        let rates = &self.rates;
        self.buckets
            .retain(|account, _| rates.contains_key(account));
    }

    /// Try to take units for a call.
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
        let bucket = self.buckets.entry(account.clone()).or_insert(QuotaBucket {
            level: rate.rate / FIRST_LEVEL_PARTS,
            filled_at: now,
        });
        let span = now.since(bucket.filled_at).as_secs_f64();
        bucket.filled_at = now;
        bucket.level = (bucket.level + span * rate.rate).min(rate.burst.max(rate.rate));
        if bucket.level > 0.0 {
            bucket.level -= f64::from(units);
            return Ok(());
        }
        let missing = -bucket.level / rate.rate.max(1.0);
        Err(Duration::from_secs_f64(missing.max(RETRY_MIN_S)))
    }

    /// Give back what a call took that was not run.
    pub fn give_back(&mut self, account: &AccountName, units: u32) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level += f64::from(units);
        }
    }
}
