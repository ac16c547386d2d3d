//! Provides the queue of one tier: start-time fair queuing over client
//! accounts by token cost, and earliest deadline first within an account.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::pool_owner::admission::account_shares::UseTag;
use crate::request::AttemptId;

use super::queue::Placement;

/// The virtual time of one token at share 1. A power of two well above any
/// share makes the rounding of `cost / share` negligible.
const TOKEN_SCALE: u128 = 1 << 20;

/// The maximum number of steps of the search for the account that is furthest behind.
/// Few are needed where one account is far behind the others; where all are nearly
/// equal, it matters little which of them is found.
const MAX_COMPARED: usize = 32;

/// A `QueueRank` is a request's position within its account; lower ranks are
/// served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::pool_owner) struct QueueRank {
    /// Whether the request can no longer be answered on time.
    pub(in crate::pool_owner) late: bool,
    /// The time by which requests of equal `late` are ordered.
    pub(in crate::pool_owner) sort_key: Moment,
    /// When the request began to wait, in microseconds; negative if that was
    /// before the clock's start.
    pub(in crate::pool_owner) arrived: i64,
    /// The request's arrival number at this owner.
    pub(in crate::pool_owner) sequence: u64,
    pub(in crate::pool_owner) attempt: AttemptId,
}

/// A `TierEntry` is the data of one queued request that the tier's order
/// depends on.
#[derive(Clone, Debug)]
pub(in crate::pool_owner) struct TierEntry {
    pub(in crate::pool_owner) account: AccountName,
    pub(in crate::pool_owner) share: u32,
    pub(in crate::pool_owner) tokens: u64,
    /// The estimated cost in microseconds of a slot, for fair admission.
    pub(in crate::pool_owner) slot_micros: u64,
    pub(in crate::pool_owner) placement: Arc<Placement>,
    /// When the request is removed from the queue.
    pub(in crate::pool_owner) expires: Moment,
    pub(in crate::pool_owner) rank: QueueRank,
}

/// An `AccountQueue` is the queued requests of one client account within a
/// tier.
#[derive(Debug, Default)]
struct AccountQueue {
    /// The virtual start time of the account's next request.
    start: u128,
    share: u32,
    tokens: u64,
    slot_micros: u64,
    requests: u64,
    /// The account's key in the index of queued work.
    queued_key: u128,
    ranks: BTreeMap<Arc<Placement>, BTreeSet<QueueRank>>,
}

impl AccountQueue {
    /// Get the queued tokens per unit of share.
    fn queued_per_share(&self) -> u128 {
        u128::from(self.tokens) * TOKEN_SCALE / u128::from(self.share.max(1))
    }

    fn set_queued_key(&mut self, remembers: bool) {
        self.queued_key = match remembers {
            true => self.slot_time_ahead(),
            false => self.queued_per_share(),
        };
    }

    /// Get the queued slot time per unit of share ahead of the account's last request,
    /// in microseconds. Its own cost is left out: an account with one long request is
    /// no further behind than one with a short one.
    fn slot_time_ahead(&self) -> u128 {
        let requests = u128::from(self.requests.max(1));
        let ahead = u128::from(self.slot_micros) * (requests - 1) / requests;
        ahead / u128::from(self.share.max(1))
    }

    fn first(&self, blocked: &BTreeSet<Arc<Placement>>) -> Option<QueueRank> {
        let open = self.ranks.iter().filter(|(key, _)| !blocked.contains(*key));
        open.filter_map(|(_, ranks)| ranks.first()).min().copied()
    }

    /// Get the last request that meets `wanted`.
    fn last(&self, wanted: impl Fn(&AttemptId) -> bool) -> Option<QueueRank> {
        let ends = self.ranks.values().filter_map(|ranks| {
            let mut ranks = ranks.iter().rev();
            ranks.find(|rank| wanted(&rank.attempt))
        });
        ends.max().copied()
    }
}

/// A `ServedCharge` is how a request that leaves the queue is charged to its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::pool_owner) enum ServedCharge {
    /// The request is not served.
    None,
    /// Its tokens are charged.
    Tokens,
    /// The account's next request starts at this position.
    Start(UseTag),
}

/// An `AccountBacklog` is an account with queued requests and how far the last of them
/// is behind, in slot-seconds per weight: its recent use and what is queued before it.
#[derive(Clone, Debug)]
pub(in crate::pool_owner) struct AccountBacklog {
    pub(in crate::pool_owner) account: AccountName,
    pub(in crate::pool_owner) behind: f64,
}

/// A `TierQueue` is the queue of one tier.
#[derive(Debug, Default)]
pub(in crate::pool_owner) struct TierQueue {
    /// Whether accounts start at remembered positions and are charged slot time.
    remembers: bool,
    virtual_time: u128,
    accounts: BTreeMap<AccountName, AccountQueue>,
    by_start: BTreeSet<(u128, AccountName)>,
    by_queued_per_share: BTreeSet<(u128, AccountName)>,
    by_deadline: BTreeSet<(Moment, AttemptId)>,
    tokens: u64,
}

impl TierQueue {
    /// Create an empty queue; `remembers` tells whether pushes carry the position at
    /// which an account starts.
    pub(in crate::pool_owner) fn new(remembers: bool) -> Self {
        TierQueue {
            remembers,
            ..TierQueue::default()
        }
    }

    pub(in crate::pool_owner) fn tokens(&self) -> u64 {
        self.tokens
    }

    pub(in crate::pool_owner) fn requests(&self) -> usize {
        self.by_deadline.len()
    }

    /// Get the queued requests by expiry time, earliest first.
    pub(in crate::pool_owner) fn by_deadline(&self) -> impl Iterator<Item = &(Moment, AttemptId)> {
        self.by_deadline.iter()
    }

    /// Add a request; `start` is the remembered position of its account.
    pub(in crate::pool_owner) fn push(&mut self, entry: &TierEntry, start: Option<UseTag>) {
        let remembers = self.remembers;
        let account = self.accounts.entry(entry.account.clone()).or_default();
        if account.ranks.is_empty() {
            // An account that was idle starts at the current virtual time:
            // unused service is not credited, since it would let the account
            // starve others later.
            account.start = start.unwrap_or_else(|| account.start.max(self.virtual_time));
            let key = (account.start, entry.account.clone());
            self.by_start.insert(key);
        } else {
            let key = (account.queued_key, entry.account.clone());
            self.by_queued_per_share.remove(&key);
        }
        account.share = entry.share.max(1);
        account.tokens += entry.tokens;
        account.slot_micros += entry.slot_micros;
        account.requests += 1;
        let ranks = account.ranks.entry(entry.placement.clone()).or_default();
        ranks.insert(entry.rank);
        account.set_queued_key(remembers);
        self.by_queued_per_share
            .insert((account.queued_key, entry.account.clone()));
        self.by_deadline.insert((entry.expires, entry.rank.attempt));
        self.tokens += entry.tokens;
    }

    /// Get the next request in order whose placement is not blocked.
    pub(in crate::pool_owner) fn next(
        &self,
        blocked: &BTreeSet<Arc<Placement>>,
    ) -> Option<AttemptId> {
        let accounts = self.by_start.iter().filter_map(|(_, name)| {
            let account = self.accounts.get(name)?;
            account.first(blocked)
        });
        accounts.map(|rank| rank.attempt).next()
    }

    /// Get the request to shed first: the last-ranked one of the account with
    /// the most queued tokens per share.
    pub(in crate::pool_owner) fn next_to_shed(&self) -> Option<AttemptId> {
        let (_, name) = self.by_queued_per_share.last()?;
        let rank = self.accounts.get(name)?.last(|_| true)?;
        Some(rank.attempt)
    }

    /// Get the last queued request of an account that meets `wanted`.
    pub(in crate::pool_owner) fn last_of(
        &self,
        account: &AccountName,
        wanted: impl Fn(&AttemptId) -> bool,
    ) -> Option<AttemptId> {
        let rank = self.accounts.get(account)?.last(wanted)?;
        Some(rank.attempt)
    }

    /// Get the time for which the queued requests of an account are estimated to use a
    /// slot.
    pub(in crate::pool_owner) fn queued_time(&self, name: &AccountName) -> Duration {
        let account = self.accounts.get(name);
        Duration::from_micros(account.map_or(0, |account| account.slot_micros))
    }

    /// Get how far the last request of an account is behind, in slot-seconds per weight:
    /// its recent use and what is queued before that request. `use_at` gives the use per
    /// weight of a position.
    pub(in crate::pool_owner) fn behind(
        &self,
        name: &AccountName,
        use_at: impl Fn(UseTag) -> f64,
    ) -> Option<f64> {
        let account = self.accounts.get(name)?;
        Some(use_at(account.start) + slot_seconds(account.queued_key))
    }

    /// Get the account whose last request is furthest behind.
    ///
    /// Its use and its queued work are at most those at the heads of the two indexes, so
    /// the search walks down both and ends as soon as no account further down can be
    /// behind the best one found.
    pub(in crate::pool_owner) fn furthest_behind(
        &self,
        use_at: impl Fn(UseTag) -> f64,
    ) -> Option<AccountBacklog> {
        let mut best: Option<(&AccountName, f64)> = None;
        let by_use = self.by_start.iter().rev();
        let heads = by_use.zip(self.by_queued_per_share.iter().rev());
        for ((start, user), (queued, sender)) in heads.take(MAX_COMPARED) {
            for name in [user, sender] {
                let known = best.map_or(f64::NEG_INFINITY, |(_, behind)| behind);
                let behind = self.behind(name, &use_at);
                let further = behind.filter(|behind| *behind > known);
                best = further.map(|behind| (name, behind)).or(best);
            }
            let bound = use_at(*start) + slot_seconds(*queued);
            if best.is_some_and(|(_, behind)| behind >= bound) {
                break;
            }
        }
        best.map(|(name, behind)| AccountBacklog {
            account: name.clone(),
            behind,
        })
    }

    /// Set the position of an account whose charges were corrected.
    pub(in crate::pool_owner) fn set_start(&mut self, name: &AccountName, start: UseTag) {
        let Some(account) = self.accounts.get_mut(name) else {
            return;
        };
        if account.ranks.is_empty() || account.start == start {
            return;
        }
        self.by_start.remove(&(account.start, name.clone()));
        account.start = start;
        self.by_start.insert((start, name.clone()));
    }

    /// Remove a request; if it was served, its cost is charged to its account.
    pub(in crate::pool_owner) fn remove(&mut self, entry: &TierEntry, charge: ServedCharge) {
        let remembers = self.remembers;
        let Some(account) = self.accounts.get_mut(&entry.account) else {
            return;
        };
        let old_start = (account.start, entry.account.clone());
        self.by_start.remove(&old_start);
        let old_queued_per_share = (account.queued_key, entry.account.clone());
        self.by_queued_per_share.remove(&old_queued_per_share);
        if let Some(ranks) = account.ranks.get_mut(&entry.placement) {
            ranks.remove(&entry.rank);
            if ranks.is_empty() {
                account.ranks.remove(&entry.placement);
            }
        }
        account.tokens -= entry.tokens;
        account.slot_micros -= entry.slot_micros;
        account.requests -= 1;
        match charge {
            ServedCharge::None => {}
            ServedCharge::Tokens => {
                self.virtual_time = self.virtual_time.max(account.start);
                account.start += u128::from(entry.tokens) * TOKEN_SCALE / u128::from(account.share);
            }
            ServedCharge::Start(start) => account.start = start,
        }
        account.set_queued_key(remembers);
        if !account.ranks.is_empty() {
            let start = (account.start, entry.account.clone());
            self.by_start.insert(start);
            let queued_per_share = (account.queued_key, entry.account.clone());
            self.by_queued_per_share.insert(queued_per_share);
        }
        self.by_deadline
            .remove(&(entry.expires, entry.rank.attempt));
        self.tokens -= entry.tokens;
        if self.by_deadline.is_empty() {
            self.end_busy_period();
        }
    }

    /// Drop the accounts' virtual times: with an empty queue no account is owed
    /// service.
    fn end_busy_period(&mut self) {
        let starts = self.accounts.values().map(|account| account.start);
        self.virtual_time = starts.max().unwrap_or(0).max(self.virtual_time);
        self.accounts.clear();
    }
}

/// Get the seconds of a key in the index of queued slot time.
fn slot_seconds(queued_key: u128) -> f64 {
    queued_key as f64 / 1e6
}
