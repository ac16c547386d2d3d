//! Provides the queue of one tier: start-time fair queuing over client
//! accounts by token cost, and earliest deadline first within an account.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::request::AttemptId;

use super::queue::Placement;

/// The virtual time of one token at share 1. A power of two well above any
/// share makes the rounding of `cost / share` negligible.
const TOKEN_SCALE: u128 = 1 << 20;

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
    ranks: BTreeMap<Arc<Placement>, BTreeSet<QueueRank>>,
}

impl AccountQueue {
    /// Get the queued tokens per unit of share.
    fn queued_per_share(&self) -> u128 {
        u128::from(self.tokens) * TOKEN_SCALE / u128::from(self.share.max(1))
    }

    fn first(&self, blocked: &BTreeSet<Arc<Placement>>) -> Option<QueueRank> {
        let open = self.ranks.iter().filter(|(key, _)| !blocked.contains(*key));
        open.filter_map(|(_, ranks)| ranks.first()).min().copied()
    }

    fn last(&self) -> Option<QueueRank> {
        let ends = self.ranks.values().filter_map(|ranks| ranks.last());
        ends.max().copied()
    }
}

/// A `TierQueue` is the queue of one tier.
#[derive(Debug, Default)]
pub(in crate::pool_owner) struct TierQueue {
    virtual_time: u128,
    accounts: BTreeMap<AccountName, AccountQueue>,
    by_start: BTreeSet<(u128, AccountName)>,
    by_queued_per_share: BTreeSet<(u128, AccountName)>,
    by_deadline: BTreeSet<(Moment, AttemptId)>,
    tokens: u64,
}

impl TierQueue {
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

    pub(in crate::pool_owner) fn push(&mut self, entry: &TierEntry) {
        let account = self.accounts.entry(entry.account.clone()).or_default();
        if account.ranks.is_empty() {
            // An account that was idle starts at the current virtual time:
            // unused service is not credited, since it would let the account
            // starve others later.
            account.start = account.start.max(self.virtual_time);
            let key = (account.start, entry.account.clone());
            self.by_start.insert(key);
        } else {
            let key = (account.queued_per_share(), entry.account.clone());
            self.by_queued_per_share.remove(&key);
        }
        account.share = entry.share.max(1);
        account.tokens += entry.tokens;
        let ranks = account.ranks.entry(entry.placement.clone()).or_default();
        ranks.insert(entry.rank);
        self.by_queued_per_share
            .insert((account.queued_per_share(), entry.account.clone()));
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
        let rank = self.accounts.get(name)?.last()?;
        Some(rank.attempt)
    }

    /// Remove a request; if it was served, its cost is charged to its account.
    pub(in crate::pool_owner) fn remove(&mut self, entry: &TierEntry, served: bool) {
        let Some(account) = self.accounts.get_mut(&entry.account) else {
            return;
        };
        let old_start = (account.start, entry.account.clone());
        self.by_start.remove(&old_start);
        let old_queued_per_share = (account.queued_per_share(), entry.account.clone());
        self.by_queued_per_share.remove(&old_queued_per_share);
        if let Some(ranks) = account.ranks.get_mut(&entry.placement) {
            ranks.remove(&entry.rank);
            if ranks.is_empty() {
                account.ranks.remove(&entry.placement);
            }
        }
        account.tokens -= entry.tokens;
        if served {
            self.virtual_time = self.virtual_time.max(account.start);
            account.start += u128::from(entry.tokens) * TOKEN_SCALE / u128::from(account.share);
        }
        if !account.ranks.is_empty() {
            let start = (account.start, entry.account.clone());
            self.by_start.insert(start);
            let queued_per_share = (account.queued_per_share(), entry.account.clone());
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
