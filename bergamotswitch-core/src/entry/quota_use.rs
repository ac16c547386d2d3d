//! Provides what this host's callers used of their accounts' quotas lately, for
//! an owner that takes over from one that is silent.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::permit::QuotaLevel;
use crate::pool::PoolShard;
use crate::pool_owner::QuotaRate;

/// A `QuotaLoad` is what calls of one account used that has not come back.
#[derive(Debug)]
struct QuotaLoad {
    units: f64,
    at: Moment,
}

impl QuotaLoad {
    /// Let in what has come back since the last time.
    fn drain(&mut self, now: Moment, rate: f64) {
        let span = now.since(self.at).as_secs_f64();
        self.units = (self.units - span * rate).max(0.0);
        self.at = now;
    }
}

/// A `QuotaUse` is what calls of each account used at this host beyond what this
/// host's share of the account's rate has given back since.
///
/// Whatever an owner lets in runs at an entry host. So the uses of all hosts
/// together are no less than what is missing in the owner's bucket, and tell its
/// successor how much is left, although the owner is silent.
#[derive(Debug, Default)]
pub(super) struct QuotaUse {
    rates: HashMap<AccountName, QuotaRate>,
    loads: BTreeMap<PoolShard, HashMap<AccountName, QuotaLoad>>,
    /// Since when uses are known; what this host's former run let in is not.
    known_since: Option<Moment>,
}

impl QuotaUse {
    /// Put other rates in force.
    pub(super) fn set_rates(&mut self, now: Moment, rates: Vec<(AccountName, QuotaRate)>) {
        self.rates = rates.into_iter().collect();
        let rates = &self.rates;
        for loads in self.loads.values_mut() {
            loads.retain(|account, _| rates.contains_key(account));
        }
        self.known_since.get_or_insert(now);
    }

    /// Take note of a call that runs, at one of so many hosts.
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

    /// Get what a new owner of the shard has to know; `None` before any quota is
    /// known. Where this host's former run may have let in more, its whole share of
    /// a bucket counts as used.
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
    /// Get how long an empty bucket takes to fill.
    pub(crate) fn fill_time(&self) -> Duration {
        let seconds = self.burst / self.rate.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
