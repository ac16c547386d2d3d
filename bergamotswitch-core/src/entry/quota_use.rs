//! Provides the recent quota usage of this host's callers, which is reported to
//! an owner that takes over from an unresponsive one.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::permit::QuotaLevel;
use crate::pool::PoolShard;
use crate::pool_owner::QuotaRate;

/// A `QuotaLoad` is the level of one account's leaky bucket.
#[derive(Debug)]
struct QuotaLoad {
    units: f64,
    at: Moment,
}

impl QuotaLoad {
    /// Subtract what has drained since the last update.
    fn drain(&mut self, now: Moment, rate: f64) {
        let span = now.since(self.at).as_secs_f64();
        self.units = (self.units - span * rate).max(0.0);
        self.at = now;
    }
}

/// A `QuotaUse` is the quota usage of each account at this host, less what this
/// host's share of the account's rate has restored since.
///
/// Every call that an owner admits runs at an entry host. The sum over all
/// hosts is therefore at least what is missing from the owner's bucket, which
/// lets a successor restore the bucket without the former owner.
#[derive(Debug, Default)]
pub(super) struct QuotaUse {
    rates: HashMap<AccountName, QuotaRate>,
    loads: BTreeMap<PoolShard, HashMap<AccountName, QuotaLoad>>,
    /// The start of the recorded usage. Calls admitted by an earlier
    /// incarnation of this host are not included.
    known_since: Option<Moment>,
}

impl QuotaUse {
    /// Replace the quota rates.
    pub(super) fn set_rates(&mut self, now: Moment, rates: Vec<(AccountName, QuotaRate)>) {
        self.rates = rates.into_iter().collect();
        let rates = &self.rates;
        for loads in self.loads.values_mut() {
            loads.retain(|account, _| rates.contains_key(account));
        }
        self.known_since.get_or_insert(now);
    }

    /// Record the usage of a call. The rate is divided by the number of hosts.
    pub(super) fn record(
        &mut self,
        now: Moment,
        shard: &PoolShard,
        account: &AccountName,
        units: u32,
        hosts: usize,
    ) {
        let Some(rate) = self.rates.get(account).filter(|_| units > 0) else {
            return;
        };
        let loads = self.loads.entry(shard.clone()).or_default();
        let load = loads.entry(account.clone()).or_insert(QuotaLoad {
            units: 0.0,
            at: now,
        });
        load.drain(now, rate.rate / hosts as f64);
        load.units = (load.units + f64::from(units)).min(rate.burst);
    }

    /// Get the usage to be reported to a new owner of the shard, or `None`
    /// before any quota is known. While an earlier incarnation of this host may
    /// have admitted more calls, its whole share of a bucket counts as used.
    pub(super) fn shard_levels(
        &mut self,
        now: Moment,
        shard: &PoolShard,
        hosts: usize,
    ) -> Option<Vec<QuotaLevel>> {
        let age = now.since(self.known_since?);
        let mut loads = self.loads.get_mut(shard);
        let mut used = Vec::new();
        for (account, rate) in &self.rates {
            let load = loads.as_mut().and_then(|loads| loads.get_mut(account));
            let units = match load {
                _ if age < rate.fill_time() => rate.burst / hosts as f64,
                None => continue,
                Some(load) => {
                    load.drain(now, rate.rate / hosts as f64);
                    load.units
                }
            };
            if units > 0.0 {
                used.push(QuotaLevel {
                    account: account.clone(),
                    units: units.ceil() as u64,
                });
            }
        }
        Some(used)
    }
}

impl QuotaRate {
    /// Get the time in which an empty bucket refills.
    pub(crate) fn fill_time(&self) -> Duration {
        let seconds = self.burst / self.rate.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
