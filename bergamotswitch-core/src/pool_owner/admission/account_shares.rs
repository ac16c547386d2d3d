//! Provides the shares of client accounts in a shard: their recent use and demand by
//! tier, against the max-min shares of what is served.
//!
//! It answers a load in which a few accounts send several times what the others do,
//! pause and begin again. Two quantities are kept of each account, and both decay:
//!
//! - its use, from which its max-min share of the tier's use follows. An account that
//!   pauses stays above its share until its use has decayed;
//! - its virtual time, the position in the fair order. An account that was idle starts
//!   at the tier's level, the position of the request served last, so that idle time
//!   gives no credit against accounts that used it.

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::permit::AccountUse;
use crate::rules::Tier;

/// Use below this many slot-seconds per weight counts as none.
const MIN_USE: f64 = 1e-6;

/// The scale of [`UseTag`]. Equal to a fraction of 10^-9 of the use, far below the
/// accuracy of any estimate.
const TAG_SCALE: f64 = (1_u64 << 32) as f64;

/// The offset of [`UseTag`], which keeps the logarithm of [`MIN_USE`] positive.
const TAG_OFFSET: f64 = 64.0;

/// How long a computed water level is used. It changes with the half-life of the use,
/// and with thousands of accounts it takes some hundred microseconds to compute.
const WATER_INTERVAL: Duration = Duration::from_millis(50);

/// The interval between log lines on accounts above their shares. A flood is refused
/// thousands of times a second.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A `UseTag` is a decayed use as a position in the order of accounts. All uses decay
/// alike, so the order of tags does not change with time.
pub type UseTag = u128;

/// A `DecayedSum` is a sum that decays by half in each half-life. It is kept as the
/// logarithm of its value at the start of the clock, which neither decays nor
/// overflows.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct DecayedSum(f64);

impl DecayedSum {
    const ZERO: DecayedSum = DecayedSum(f64::NEG_INFINITY);

    fn of(value: f64, halvings: f64) -> Self {
        match value > MIN_USE {
            true => DecayedSum(value.log2() + halvings),
            false => DecayedSum::ZERO,
        }
    }

    fn value(self, halvings: f64) -> f64 {
        (self.0 - halvings).exp2()
    }

    fn add(&mut self, amount: f64, halvings: f64) {
        *self = DecayedSum::of(self.value(halvings) + amount, halvings);
    }

    fn max(self, other: DecayedSum) -> DecayedSum {
        DecayedSum(self.0.max(other.0))
    }

    fn tag(self) -> UseTag {
        ((self.0 + TAG_OFFSET).max(0.0) * TAG_SCALE) as UseTag
    }
}

/// An `AccountEntry` is the recent use and demand of one account in one tier.
#[derive(Clone, Copy, Debug)]
struct AccountEntry {
    weight: u32,
    /// The virtual time: use per weight, at least the tier's level when it was charged.
    virtual_time: DecayedSum,
    used: DecayedSum,
    demand: DecayedSum,
}

impl AccountEntry {
    fn new(weight: u32) -> Self {
        AccountEntry {
            weight: weight.max(1),
            virtual_time: DecayedSum::ZERO,
            used: DecayedSum::ZERO,
            demand: DecayedSum::ZERO,
        }
    }

    /// Set the weight. The use is the same, so the use per weight changes.
    fn set_weight(&mut self, weight: u32) {
        let weight = weight.max(1);
        if weight != self.weight {
            let factor = f64::from(self.weight) / f64::from(weight);
            self.virtual_time.0 += factor.log2();
            self.weight = weight;
        }
    }
}

/// A `WeightedDemand` is the demand of one account and its weight.
#[derive(Clone, Copy, Debug)]
pub struct WeightedDemand {
    /// The demand.
    pub demand: f64,
    /// The weight, above 0.
    pub weight: f64,
}

/// Get the level up to which accounts are served, per weight, if `total` is divided by
/// max-min shares; infinite if it covers all demands.
pub fn water_level(total: f64, mut demands: Vec<WeightedDemand>) -> f64 {
    demands.sort_by(|one, other| {
        let (one, other) = (one.demand / one.weight, other.demand / other.weight);
        one.total_cmp(&other)
    });
    let mut left = total;
    let mut weights: f64 = demands.iter().map(|account| account.weight).sum();
    for WeightedDemand { demand, weight } in demands {
        if demand / weight * weights >= left {
            return left / weights;
        }
        left -= demand;
        weights -= weight;
    }
    f64::INFINITY
}

/// A `TierShares` is the accounts of one tier.
#[derive(Debug)]
struct TierShares {
    /// The highest virtual time at which a request started.
    level: DecayedSum,
    accounts: BTreeMap<AccountName, AccountEntry>,
    /// The water level, computed at most once in [`WATER_INTERVAL`], and when.
    water: Cell<Option<(Moment, f64)>>,
}

impl Default for TierShares {
    fn default() -> Self {
        TierShares {
            level: DecayedSum::ZERO,
            accounts: BTreeMap::new(),
            water: Cell::new(None),
        }
    }
}

impl TierShares {
    /// Get the water level, which may be a little old.
    fn recent_water_level(&self, now: Moment, halvings: f64) -> f64 {
        if let Some((at, level)) = self.water.get()
            && now.since(at) < WATER_INTERVAL
        {
            return level;
        }
        let level = self.water_level(halvings);
        self.water.set(Some((now, level)));
        level
    }

    /// Get the use per weight up to which the max-min shares of all accounts amount to
    /// the use of the tier; infinite if no account demands more than it used.
    fn water_level(&self, halvings: f64) -> f64 {
        let entries = self.accounts.values();
        let used = entries.map(|entry| entry.used.value(halvings)).sum();
        let entries = self.accounts.values();
        let demands = entries.map(|entry| WeightedDemand {
            demand: entry.demand.value(halvings),
            weight: f64::from(entry.weight),
        });
        water_level(used, demands.collect())
    }
}

/// An `AccountShare` is the recent use of an account in a tier, with its max-min share.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountShare {
    /// The tier.
    pub tier: Tier,
    /// The client account.
    pub account: AccountName,
    /// The account's weight.
    pub weight: u32,
    /// The decayed use, in slot-seconds.
    pub used: f64,
    /// The max-min share of the tier's decayed use, in slot-seconds.
    pub share: f64,
}

impl AccountShare {
    /// Get the use divided by the share, at least 1.
    pub fn ratio(&self) -> f64 {
        match self.share > MIN_USE {
            true => (self.used / self.share).max(1.0),
            false => 1.0,
        }
    }
}

/// An `AccountShareView` is an [`AccountShare`] for operators, in milliseconds of slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AccountShareView {
    /// The tier.
    pub tier: Tier,
    /// The client account.
    pub account: AccountName,
    /// The account's weight.
    pub weight: u32,
    /// The decayed use.
    pub used_ms: u64,
    /// The max-min share of the tier's decayed use.
    pub share_ms: u64,
    /// The use divided by the share, in thousandths, at least 1,000.
    pub ratio_permille: u64,
}

impl From<&AccountShare> for AccountShareView {
    fn from(share: &AccountShare) -> Self {
        AccountShareView {
            tier: share.tier,
            account: share.account.clone(),
            weight: share.weight,
            used_ms: (share.used * 1_000.0) as u64,
            share_ms: (share.share * 1_000.0) as u64,
            ratio_permille: (share.ratio() * 1_000.0) as u64,
        }
    }
}

/// An `AccountShares` is the recent use and demand of client accounts in a shard.
#[derive(Debug)]
pub struct AccountShares {
    half_life: Duration,
    max_accounts: usize,
    len: usize,
    tiers: BTreeMap<Tier, TierShares>,
    /// When a refusal above the share was last logged.
    logged_at: Option<Moment>,
}

impl AccountShares {
    /// Create an empty table of at most `max_accounts` whose use decays by half in
    /// `half_life`.
    pub fn new(half_life: Duration, max_accounts: usize) -> Self {
        AccountShares {
            half_life,
            max_accounts,
            len: 0,
            tiers: BTreeMap::new(),
            logged_at: None,
        }
    }

    /// Set the half-life. What was remembered by another one is forgotten.
    pub fn set_half_life(&mut self, half_life: Duration) {
        if half_life != self.half_life {
            *self = AccountShares::new(half_life, self.max_accounts);
        }
    }

    /// Get the number of accounts, counted in each tier.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Get whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Record a request; `cost` is in slot-seconds.
    pub fn record_demand(
        &mut self,
        now: Moment,
        tier: Tier,
        account: &AccountName,
        weight: u32,
        cost: f64,
    ) {
        let halvings = self.halvings(now);
        let entry = self.entry(tier, account, weight);
        entry.set_weight(weight);
        entry.demand.add(cost, halvings);
    }

    /// Get the position in the order of accounts at which the next request of an
    /// account starts.
    pub fn start(&self, tier: Tier, account: &AccountName) -> UseTag {
        let Some(shares) = self.tiers.get(&tier) else {
            return DecayedSum::ZERO.tag();
        };
        let entry = shares.accounts.get(account);
        let virtual_time = entry.map_or(DecayedSum::ZERO, |entry| entry.virtual_time);
        virtual_time.max(shares.level).tag()
    }

    /// Get the use per weight of a position in the order, in slot-seconds.
    pub fn use_at(&self, now: Moment, tag: UseTag) -> f64 {
        let sum = DecayedSum(tag as f64 / TAG_SCALE - TAG_OFFSET);
        sum.value(self.halvings(now))
    }

    /// Get whether an account that used `queued` more slot-seconds would still be within
    /// its max-min share of the tier's recent use.
    pub fn is_within(&self, now: Moment, tier: Tier, account: &AccountName, queued: f64) -> bool {
        let halvings = self.halvings(now);
        let Some(shares) = self.tiers.get(&tier) else {
            return false;
        };
        let Some(entry) = shares.accounts.get(account) else {
            return false;
        };
        let share = shares.recent_water_level(now, halvings) * f64::from(entry.weight);
        entry.used.value(halvings) + queued <= share
    }

    /// Charge a granted permit at its estimated cost.
    pub fn charge(&mut self, now: Moment, tier: Tier, account: &AccountName, estimate: f64) {
        let halvings = self.halvings(now);
        let level = self.tiers.get(&tier).map(|shares| shares.level);
        let entry = self.entry(tier, account, 1);
        let start = entry.virtual_time.max(level.unwrap_or(DecayedSum::ZERO));
        entry.used.add(estimate, halvings);
        entry.virtual_time = start;
        let weight = f64::from(entry.weight);
        entry.virtual_time.add(estimate / weight, halvings);
        if let Some(shares) = self.tiers.get_mut(&tier) {
            shares.level = shares.level.max(start);
        }
    }

    /// Replace the estimate of a run that has ended, charged at `charged_at`, with its
    /// measured cost. A refund has decayed like the charge; otherwise estimates that
    /// are too high would erase the use of other runs.
    pub fn settle(
        &mut self,
        now: Moment,
        tier: Tier,
        account: &AccountName,
        charge: UseCharge,
        measured: f64,
    ) {
        let halvings = self.halvings(now);
        let age = halvings - self.halvings(charge.charged_at);
        let shares = self.tiers.get_mut(&tier);
        let Some(entry) = shares.and_then(|shares| shares.accounts.get_mut(account)) else {
            return;
        };
        let excess = measured - charge.estimate;
        let excess = excess.max(0.0) + excess.min(0.0) * (-age).exp2();
        entry.used.add(excess, halvings);
        let weight = f64::from(entry.weight);
        entry.virtual_time.add(excess / weight, halvings);
    }

    /// Get the recent use divided by the max-min share; 1.0 if the account is within
    /// its share.
    pub fn ratio(&self, now: Moment, tier: Tier, account: &AccountName) -> f64 {
        self.share(now, tier, account)
            .map_or(1.0, |share| share.ratio())
    }

    /// Get the use and the max-min share of an account.
    pub fn share(&self, now: Moment, tier: Tier, account: &AccountName) -> Option<AccountShare> {
        let halvings = self.halvings(now);
        let shares = self.tiers.get(&tier)?;
        let entry = shares.accounts.get(account)?;
        let level = shares.water_level(halvings);
        Some(share_of(tier, account, entry, level, halvings))
    }

    /// Get the use and the max-min shares of all accounts. It sorts the accounts, so
    /// it is for the status and metrics only.
    pub fn shares(&self, now: Moment) -> Vec<AccountShare> {
        let halvings = self.halvings(now);
        let tiers = self.tiers.iter().flat_map(|(tier, shares)| {
            let level = shares.water_level(halvings);
            let entries = shares.accounts.iter();
            entries.map(move |(name, entry)| share_of(*tier, name, entry, level, halvings))
        });
        tiers.filter(|share| share.used > MIN_USE).collect()
    }

    /// Get the accounts that are furthest above their shares, at most `count` of them.
    pub fn view(&self, now: Moment, count: usize) -> Vec<AccountShareView> {
        let shares = self.shares(now);
        let mut views: Vec<AccountShareView> = shares.iter().map(AccountShareView::from).collect();
        views.sort_by_key(|view| Reverse((view.ratio_permille, view.used_ms)));
        views.truncate(count);
        views
    }

    /// Get the share of an account that is refused, if it is to be logged.
    pub fn share_to_log(
        &mut self,
        now: Moment,
        tier: Tier,
        account: &AccountName,
    ) -> Option<AccountShareView> {
        if self
            .logged_at
            .is_some_and(|at| now.since(at) < LOG_INTERVAL)
        {
            return None;
        }
        let share = self.share(now, tier, account)?;
        self.logged_at = Some(now);
        Some(AccountShareView::from(&share))
    }

    /// Get the use to hand over to the next owner: the virtual times, from which it
    /// also learns the levels.
    pub fn report(&self, now: Moment) -> Vec<AccountUse> {
        let halvings = self.halvings(now);
        let tiers = self.tiers.iter().flat_map(|(tier, shares)| {
            let entries = shares.accounts.iter();
            entries.map(move |(account, entry)| {
                let virtual_time = entry.virtual_time.max(shares.level).value(halvings);
                AccountUse {
                    tier: *tier,
                    account: account.clone(),
                    used_ms: (virtual_time * f64::from(entry.weight) * 1_000.0) as u64,
                    weight: entry.weight,
                }
            })
        });
        tiers.filter(|used| used.used_ms > 0).collect()
    }

    /// Take over the use that the previous owner reported. Use that is known already,
    /// as after a repeated report, is not added again.
    pub fn merge(&mut self, now: Moment, reports: &[AccountUse]) {
        let halvings = self.halvings(now);
        let mut levels: BTreeMap<Tier, DecayedSum> = BTreeMap::new();
        for report in reports {
            let used = report.used_ms as f64 / 1_000.0;
            let entry = self.entry(report.tier, &report.account, report.weight);
            entry.set_weight(report.weight);
            let virtual_time = DecayedSum::of(used / f64::from(entry.weight), halvings);
            entry.virtual_time = entry.virtual_time.max(virtual_time);
            entry.used = entry.used.max(DecayedSum::of(used, halvings));
            entry.demand = entry.demand.max(entry.used);
            let level = levels.entry(report.tier).or_insert(virtual_time);
            level.0 = level.0.min(virtual_time.0);
        }
        for (tier, level) in levels {
            let shares = self.tiers.entry(tier).or_default();
            shares.level = shares.level.max(level);
        }
    }

    fn halvings(&self, now: Moment) -> f64 {
        now.as_micros() as f64 / self.half_life.as_micros().max(1) as f64
    }

    fn entry(&mut self, tier: Tier, account: &AccountName, weight: u32) -> &mut AccountEntry {
        let shares = self.tiers.get(&tier);
        let is_known = shares.is_some_and(|shares| shares.accounts.contains_key(account));
        if !is_known {
            if self.len >= self.max_accounts {
                self.drop_least_recent();
            }
            self.len += 1;
        }
        let accounts = &mut self.tiers.entry(tier).or_default().accounts;
        let entry = accounts.entry(account.clone());
        entry.or_insert_with(|| AccountEntry::new(weight))
    }

    /// Drop the half of the accounts with the least recent demand, so that the cost is
    /// spread over as many new accounts.
    fn drop_least_recent(&mut self) {
        let entries = self.tiers.values().flat_map(|tier| tier.accounts.values());
        let mut demands: Vec<f64> = entries.map(|entry| entry.demand.0).collect();
        demands.sort_by(f64::total_cmp);
        let median = demands.get(demands.len() / 2).copied().unwrap_or(0.0);
        for shares in self.tiers.values_mut() {
            shares.accounts.retain(|_, entry| entry.demand.0 > median);
        }
        self.tiers.retain(|_, shares| !shares.accounts.is_empty());
        self.len = self.tiers.values().map(|tier| tier.accounts.len()).sum();
    }
}

/// A `UseCharge` is what was charged for a permit.
#[derive(Clone, Copy, Debug)]
pub struct UseCharge {
    /// The estimated cost, in slot-seconds.
    pub estimate: f64,
    /// When it was charged.
    pub charged_at: Moment,
}

fn share_of(
    tier: Tier,
    account: &AccountName,
    entry: &AccountEntry,
    level: f64,
    halvings: f64,
) -> AccountShare {
    let demand = entry.demand.value(halvings);
    AccountShare {
        tier,
        account: account.clone(),
        weight: entry.weight,
        used: entry.used.value(halvings),
        share: demand.min(level * f64::from(entry.weight)),
    }
}
