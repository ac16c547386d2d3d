//! Provides the quotas of client accounts, enforced by the shard owner, which
//! sees all of a shard's requests.

use std::collections::HashMap;
use std::time::Duration;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::permit::QuotaLevel;
use crate::route::AccountQuota;

/// The bounds of the retry-after time of requests over quota: after less than
/// the minimum, hardly any units would have been added to the bucket.
const RETRY_MIN: Duration = Duration::from_millis(250);
const RETRY_MAX: Duration = Duration::from_secs(4);

/// A `QuotaTolerance` is how far an account may exceed its quota within one
/// window. The tolerance is used for bursts; the long-term limit is the quota's
/// rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// The length of the window.
    pub window: Duration,
    /// The tolerated excess as a fraction of the window's quota.
    pub fraction: f64,
}

impl QuotaTolerance {
    /// Get the rate to enforce for a quota that is split evenly among `owners`.
    pub fn rate(&self, quota: &AccountQuota, owners: usize) -> QuotaRate {
        let share = 1.0 / owners.max(1) as f64;
        let (rate, burst) = (quota.rate as f64, quota.burst as f64);
        let window = self.window.as_secs_f64();
        // Each window may include one burst, so the burst adds to the long-term
        // rate, and bursts are taken from the tolerance if that is large
        // enough.
        let in_window = rate * window + burst;
        let tolerance = in_window * self.fraction;
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

/// A `QuotaRate` is the portion of an account's quota that one owner enforces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRate {
    /// The refill rate in units per second.
    pub rate: f64,
    /// The bucket's capacity in units.
    pub burst: f64,
}

#[derive(Debug)]
struct QuotaBucket {
    level: f64,
    /// The units taken by queued requests, which may still be refunded.
    waiting: f64,
    /// The unused units reported by entry hosts, less usage beyond their
    /// shares; units that a previous owner hands over later include these.
    recovered: f64,
    filled_at: Moment,
}

/// A `QuotaBuckets` is a token bucket for each account with a quota.
///
/// A bucket starts empty. A new owner does not know what the previous one
/// admitted unless that one hands its buckets over; with an empty bucket, the
/// usage in any window around the change stays within one burst plus the rate
/// over the window.
#[derive(Debug)]
pub struct QuotaBuckets {
    rates: HashMap<AccountName, QuotaRate>,
    buckets: HashMap<AccountName, QuotaBucket>,
    /// The portion of each rate that this owner grants now.
    portion: f64,
}

impl Default for QuotaBuckets {
    fn default() -> Self {
        QuotaBuckets {
            rates: HashMap::new(),
            buckets: HashMap::new(),
            portion: 1.0,
        }
    }
}

impl QuotaBucket {
    /// Remove a request's units from those of queued requests; get how many
    /// were removed.
    fn remove_waiting(&mut self, units: u32) -> f64 {
        let waited = f64::from(units).min(self.waiting);
        self.waiting -= waited;
        waited
    }

    /// Add the units accrued since the last call. Present units stay, even if
    /// the portion has become too small to accrue them.
    fn fill(&mut self, now: Moment, rate: &QuotaRate, portion: f64) {
        let span = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let filled = (self.level + span * rate.rate * portion).min(rate.burst * portion);
        self.level = self.level.min(rate.burst).max(filled);
    }
}

impl QuotaBuckets {
    /// Set new rates. Units already used stay charged.
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

    /// Set the portion of each rate that this owner grants from now on.
    pub fn set_portion(&mut self, now: Moment, portion: f64) {
        if portion == self.portion {
            return;
        }
        for (account, bucket) in &mut self.buckets {
            if let Some(rate) = self.rates.get(account) {
                bucket.fill(now, rate, self.portion);
            }
        }
        self.portion = portion;
    }

    /// Give up the present units beyond this portion of the buckets, which another owner may
    /// grant from now on.
    pub fn cap(&mut self, now: Moment, portion: f64) {
        self.set_portion(now, portion);
        for (account, bucket) in &mut self.buckets {
            if let Some(rate) = self.rates.get(account) {
                bucket.level = bucket.level.min(rate.burst * portion);
            }
        }
    }

    /// Try to take the units of a request. It is admitted while the bucket's
    /// level is not negative, and may take the level below zero: requests differ
    /// by orders of magnitude in units, and requiring the full amount would
    /// exclude long ones.
    ///
    /// # Errors
    ///
    /// Returns the retry-after time if the account is over its quota.
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
        bucket.fill(now, rate, self.portion);
        // A retried request with no units has been charged before. Refusing it
        // would report a request as over quota that may have run.
        if bucket.level >= 0.0 || units == 0 {
            bucket.level -= f64::from(units);
            bucket.waiting += f64::from(units);
            return Ok(());
        }
        let missing = (f64::from(units) - bucket.level) / (rate.rate * self.portion).max(1.0);
        let wait = Duration::from_secs_f64(missing.min(RETRY_MAX.as_secs_f64()));
        Err(wait.max(RETRY_MIN))
    }

    /// Withdraw this fraction of the units left in the buckets.
    pub fn withdraw(&mut self, now: Moment, fraction: f64) -> Vec<QuotaLevel> {
        let mut levels = Vec::new();
        for (account, bucket) in &mut self.buckets {
            if let Some(rate) = self.rates.get(account) {
                bucket.fill(now, rate, self.portion);
            }
            let units = (bucket.level.max(0.0) * fraction).floor();
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

    /// Deposit the units that a previous owner withdrew from its buckets, up to
    /// the buckets' capacity. Units already credited from the reports of entry
    /// hosts are part of them and not counted twice.
    pub fn deposit(&mut self, now: Moment, levels: &[QuotaLevel]) {
        for QuotaLevel { account, units } in levels {
            let Some(rate) = self.rates.get(account) else {
                continue;
            };
            if let Some(bucket) = self.buckets.get_mut(account) {
                bucket.fill(now, rate, self.portion);
                let known = bucket.recovered.clamp(0.0, *units as f64);
                bucket.recovered -= known;
                bucket.level = (bucket.level + *units as f64 - known).min(rate.burst);
            }
        }
    }

    /// Credit an entry host's share of the buckets, less what its callers have
    /// used. An empty bucket treats all shares as used; part of this one has
    /// accrued again in the elapsed time.
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
            bucket.fill(now, rate, self.portion);
            let before = bucket.recovered.max(0.0);
            bucket.recovered += missing / hosts - used;
            // Never less than an empty bucket, which is safe without any
            // report.
            let gained = bucket.recovered.max(0.0) - before;
            bucket.level = (bucket.level + gained).min(rate.burst);
        }
    }

    /// Exclude the time of a pause of this process: no units accrue for
    /// it.
    pub fn exclude_pause(&mut self, paused_for: Duration) {
        for bucket in self.buckets.values_mut() {
            bucket.filled_at = bucket.filled_at.plus(paused_for);
        }
    }

    /// Keep the charge of a request that left the queue and runs or may have
    /// run.
    pub fn commit(&mut self, account: &AccountName, units: u32) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.remove_waiting(units);
        }
    }

    /// Refund the units of a queued request that was not run.
    ///
    /// The bucket may have refilled while the request was queued. The refund is
    /// limited so that the level and the units of queued requests do not exceed
    /// the bucket's capacity; otherwise an account could get more than one
    /// burst by queuing requests and cancelling them.
    pub fn refund(&mut self, now: Moment, account: &AccountName, units: u32) {
        let (Some(rate), Some(bucket)) = (self.rates.get(account), self.buckets.get_mut(account))
        else {
            return;
        };
        bucket.fill(now, rate, self.portion);
        let filled = (bucket.level + bucket.waiting - rate.burst).max(0.0);
        let waited = bucket.remove_waiting(units);
        bucket.level += (waited - filled).max(0.0);
    }
}
