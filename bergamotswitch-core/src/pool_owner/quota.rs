//! Provides the quotas of client accounts, kept where the whole is seen.

use std::collections::HashMap;
use std::time::Duration;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::permit::QuotaLevel;
use crate::route::AccountQuota;

/// The shortest and longest pauses that a refused caller is told: at a shorter
/// one it would come back before anything has come into its bucket.
const RETRY_MIN: Duration = Duration::from_millis(250);
const RETRY_MAX: Duration = Duration::from_secs(4);

/// A `QuotaTolerance` is how much more than its quota an account may use in
/// one window. It is given to bursts: what an account may use over long is its
/// rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// The window.
    pub window: Duration,
    /// The part of the window's quota.
    pub part: f64,
}

impl QuotaTolerance {
    /// Get the rate to keep for a quota, shared among `owners` that each keep
    /// a part of it.
    pub fn rate(&self, quota: &AccountQuota, owners: usize) -> QuotaRate {
        let share = 1.0 / owners.max(1) as f64;
        let (rate, burst) = (quota.rate as f64, quota.burst as f64);
        let window = self.window.as_secs_f64();
        // Each window may hold one burst, so over long the burst adds to the
        // rate, and bursts live on the tolerance, as far as that is enough.
        let in_window = rate * window + burst;
        let tolerance = in_window * self.part;
        if tolerance < burst {
            return QuotaRate {
                rate: rate * share,
                burst: burst * share,
            };
        }
        QuotaRate {
            rate: in_window / window * share,
            burst: tolerance * share,
        }
    }
}

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
    /// What calls took that wait: it may come back.
    waiting: f64,
    /// What hosts told to be left, less what was used beyond their shares; what a
    /// former owner hands over later is a part of it.
    recovered: f64,
    filled_at: Moment,
}

/// A `QuotaBook` is a token bucket for each account with a quota.
///
/// A bucket begins empty. A new owner does not know what the former one let
/// pass, unless that one hands its buckets over; with an empty bucket, the use
/// in any window around the change stays within one burst and the rate over the
/// window, whatever came before. With a count over the window itself, an
/// account that was over its rate would use a second window's quota after all
/// hosts were killed.
#[derive(Debug)]
pub struct QuotaBook {
    rates: HashMap<AccountName, QuotaRate>,
    buckets: HashMap<AccountName, QuotaBucket>,
    /// The part of each rate that is given out now.
    part: f64,
}

impl Default for QuotaBook {
    fn default() -> Self {
        QuotaBook {
            rates: HashMap::new(),
            buckets: HashMap::new(),
            part: 1.0,
        }
    }
}

impl QuotaBucket {
    /// Count units of a call as waiting no longer; get how many of them did.
    fn stop_waiting(&mut self, units: u32) -> f64 {
        let waited = f64::from(units).min(self.waiting);
        self.waiting -= waited;
        waited
    }

    /// Let in what has come since the last time. What lies in it stays, also
    /// where less than that may come in now.
    fn fill(&mut self, now: Moment, rate: &QuotaRate, part: f64) {
        let span = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let filled = (self.level + span * rate.rate * part).min(rate.burst * part);
        self.level = self.level.min(rate.burst).max(filled);
    }
}

impl QuotaBook {
    /// Put other rates in force from now on. What was used stays used.
    pub fn set_rates(&mut self, now: Moment, rates: Vec<(AccountName, QuotaRate)>) {
        self.rates = rates.into_iter().collect();
        let rates = &self.rates;
        self.buckets
            .retain(|account, _| rates.contains_key(account));
        for account in rates.keys() {
            let bucket = QuotaBucket {
                level: 0.0,
                waiting: 0.0,
                recovered: 0.0,
                filled_at: now,
            };
            self.buckets.entry(account.clone()).or_insert(bucket);
        }
    }

    /// Give out this part of each rate from now on.
    pub fn set_part(&mut self, now: Moment, part: f64) {
        if part == self.part {
            return;
        }
        for (account, bucket) in &mut self.buckets {
            if let Some(rate) = self.rates.get(account) {
                bucket.fill(now, rate, self.part);
            }
        }
        self.part = part;
    }

    /// Try to take units for a call. It is let in while the bucket is not
    /// empty, and may take it below zero: calls differ a hundredfold in units,
    /// and a bound on single calls would shut out long ones.
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
        let (Some(rate), Some(bucket)) = (self.rates.get(account), self.buckets.get_mut(account))
        else {
            return Ok(());
        };
        bucket.fill(now, rate, self.part);
        // A call that is sent once more has taken its units before. Refused, it
        // would be told that it is over the quota after it has run.
        if bucket.level >= 0.0 || units == 0 {
            bucket.level -= f64::from(units);
            bucket.waiting += f64::from(units);
            return Ok(());
        }
        let missing = (f64::from(units) - bucket.level) / (rate.rate * self.part).max(1.0);
        let wait = Duration::from_secs_f64(missing.min(RETRY_MAX.as_secs_f64()));
        Err(wait.max(RETRY_MIN))
    }

    /// Take this part of what lies in the buckets out of them.
    pub fn take_out(&mut self, now: Moment, part: f64) -> Vec<QuotaLevel> {
        let mut levels = Vec::new();
        for (account, bucket) in &mut self.buckets {
            if let Some(rate) = self.rates.get(account) {
                bucket.fill(now, rate, self.part);
            }
            let units = (bucket.level.max(0.0) * part).floor();
            bucket.level -= units;
            if units > 0.0 {
                levels.push(QuotaLevel {
                    account: account.clone(),
                    units: units as u64,
                });
            }
        }
        levels
    }

    /// Put in what a former owner took out of its buckets, up to a full one. What
    /// hosts have told to be left is a part of that.
    pub fn take_in(&mut self, now: Moment, levels: &[QuotaLevel]) {
        for QuotaLevel { account, units } in levels {
            let Some(rate) = self.rates.get(account) else {
                continue;
            };
            if let Some(bucket) = self.buckets.get_mut(account) {
                bucket.fill(now, rate, self.part);
                let known = bucket.recovered.clamp(0.0, *units as f64);
                bucket.recovered -= known;
                bucket.level = (bucket.level + *units as f64 - known).min(rate.burst);
            }
        }
    }

    /// Fill a host's share of the buckets, up to what its callers have used. An
    /// empty bucket counts all shares as used; some of this one has come back in
    /// the time since.
    pub fn recover_share(
        &mut self,
        now: Moment,
        elapsed: Duration,
        hosts: u32,
        used: &[QuotaLevel],
    ) {
        let hosts = f64::from(hosts.max(1));
        let used = used
            .iter()
            .map(|level| (&level.account, level.units as f64));
        let used: HashMap<&AccountName, f64> = used.collect();
        for (account, bucket) in &mut self.buckets {
            let Some(rate) = self.rates.get(account) else {
                continue;
            };
            let missing = rate.burst - elapsed.as_secs_f64() * rate.rate;
            if missing <= 0.0 {
                continue;
            }
            let used = used.get(account).copied().unwrap_or(0.0);
            bucket.fill(now, rate, self.part);
            let before = bucket.recovered.max(0.0);
            bucket.recovered += missing / hosts - used;
            // Never less than an empty bucket: that is safe without any word.
            let gained = bucket.recovered.max(0.0) - before;
            bucket.level = (bucket.level + gained).min(rate.burst);
        }
    }

    /// Leave out the time of a sleep: nothing comes into the buckets for it.
    pub fn skip(&mut self, slept: Duration) {
        for bucket in self.buckets.values_mut() {
            bucket.filled_at = bucket.filled_at.plus(slept);
        }
    }

    /// Keep what a call took that waits no longer: it runs, or may have run.
    pub fn keep(&mut self, account: &AccountName, units: u32) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.stop_waiting(units);
        }
    }

    /// Give back what a call took that was not run.
    ///
    /// While it waited, the bucket may have filled in its place. Then what lies
    /// in it and what may still come back are more than a full bucket, and that
    /// much is not given back: an account whose calls wait while targets are
    /// busy, and whose callers leave, would have more than one burst.
    pub fn give_back(&mut self, now: Moment, account: &AccountName, units: u32) {
        let (Some(rate), Some(bucket)) = (self.rates.get(account), self.buckets.get_mut(account))
        else {
            return;
        };
        bucket.fill(now, rate, self.part);
        let filled = (bucket.level + bucket.waiting - rate.burst).max(0.0);
        let waited = bucket.stop_waiting(units);
        bucket.level += (waited - filled).max(0.0);
    }
}
