//! Provides the store of caller keys known to this incarnation of the host.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::pool::PoolName;
use crate::request::{CallerKey, RequestId};

/// A `KeyId` is a caller key together with its client account, as two accounts
/// may use the same key for different requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct KeyId {
    pub(super) account: AccountName,
    pub(super) key: CallerKey,
}

impl KeyId {
    /// Get the xxh3-128 of account and key, by which owners identify the key.
    pub(super) fn hash(&self) -> u128 {
        let mut hasher = Xxh3::new();
        hasher.update(self.account.as_str().as_bytes());
        // Names contain no zero byte, so the separator keeps different pairs
        // distinct.
        hasher.update(&[0]);
        hasher.update(self.key.as_str().as_bytes());
        hasher.digest128()
    }
}

/// A `KeyState` determines how a resubmission of a key is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeyState {
    /// The request is live or its answer is stored. A resubmission attaches to
    /// it.
    Active,
    /// The request did not run, or can be rerun safely. A resubmission starts a
    /// new run.
    Rerunnable(Moment),
    /// The answer was dropped and the request must not run twice. A
    /// resubmission is refused.
    Blocked(Moment),
}

/// A `KeyRecord` is the request and the state of one key.
#[derive(Clone, Debug)]
pub(super) struct KeyRecord {
    pub(super) request: RequestId,
    pub(super) fingerprint: u128,
    pub(super) pool: PoolName,
    /// Whether the request must not run twice.
    pub(super) run_once: bool,
    pub(super) state: KeyState,
}

impl KeyRecord {
    /// Get whether a new run under the key would be a forbidden second run.
    fn is_run_once(&self) -> bool {
        self.run_once && !matches!(self.state, KeyState::Rerunnable(_))
    }
}

#[derive(Debug)]
struct KeyExpiry {
    key: KeyId,
    state: KeyState,
    until: Moment,
}

/// A `KeyStore` holds the keys of live requests, of stored answers and, for a
/// longer time, of requests whose answers were dropped. If a key were dropped
/// together with its answer, a late resubmission would run a second time.
#[derive(Debug)]
pub(super) struct KeyStore {
    records: BTreeMap<KeyId, KeyRecord>,
    /// The number of keys per pool that must not run twice. It is read after
    /// every event, so it is not computed by iterating over the records.
    run_once: BTreeMap<PoolName, usize>,
    expiries: VecDeque<KeyExpiry>,
    retention: Duration,
    max_keys: usize,
}

impl KeyStore {
    /// Create an empty store that keeps the keys of ended requests for
    /// `retention`, up to `max_keys` of them.
    pub(super) fn new(retention: Duration, max_keys: usize) -> Self {
        KeyStore {
            records: BTreeMap::new(),
            run_once: BTreeMap::new(),
            expiries: VecDeque::new(),
            retention,
            max_keys,
        }
    }

    pub(super) fn get(&self, key: &KeyId) -> Option<&KeyRecord> {
        self.records.get(key)
    }

    /// Insert the key of a new request.
    pub(super) fn insert(&mut self, key: KeyId, record: KeyRecord) {
        self.remove(&key);
        if record.is_run_once() {
            *self.run_once.entry(record.pool.clone()).or_default() += 1;
        }
        self.records.insert(key, record);
    }

    /// Remove a key, for example one that another host holds.
    pub(super) fn remove(&mut self, key: &KeyId) {
        if let Some(record) = self.records.remove(key)
            && record.is_run_once()
        {
            self.decrement(&record.pool);
        }
    }

    fn decrement(&mut self, pool: &PoolName) {
        if let Some(count) = self.run_once.get_mut(pool) {
            *count -= 1;
            if *count == 0 {
                self.run_once.remove(pool);
            }
        }
    }

    /// Allow a new run for a submission of the key.
    pub(super) fn allow_rerun(&mut self, key: &KeyId, now: Moment) {
        self.end(key, KeyState::Rerunnable(now), now);
    }

    /// Handle the removal of the answer of `request`. The key is left unchanged
    /// if it already belongs to a later request.
    pub(super) fn drop_answer(&mut self, key: &KeyId, request: RequestId, now: Moment) {
        let Some(record) = self.records.get(key) else {
            return;
        };
        if record.request != request || record.state != KeyState::Active {
            return;
        }
        match record.run_once {
            true => self.end(key, KeyState::Blocked(now), now),
            false => self.end(key, KeyState::Rerunnable(now), now),
        }
    }

    /// Remove keys of ended requests that exceed the retention or the maximum
    /// count.
    pub(super) fn expire(&mut self, now: Moment) {
        while let Some(expiry) = self.expiries.front() {
            if expiry.until > now && self.expiries.len() <= self.max_keys {
                return;
            }
            let current = self.records.get(&expiry.key).map(|record| record.state);
            let key = expiry.key.clone();
            if current == Some(expiry.state) {
                self.remove(&key);
            }
            self.expiries.pop_front();
        }
    }

    /// Get the time at which the oldest key of an ended request expires.
    pub(super) fn next_due(&self) -> Moment {
        match self.expiries.front() {
            Some(expiry) => expiry.until,
            None => Moment::NEVER,
        }
    }

    /// Get the hashes of a pool's keys that must not run twice, limited to the
    /// requests that `include` selects. They are reported to the owner of every
    /// shard, as a change of the pools may assign a key to another shard.
    pub(super) fn run_once_hashes(
        &self,
        pool: &PoolName,
        include: impl Fn(RequestId) -> bool,
    ) -> Vec<u128> {
        self.records
            .iter()
            .filter(|(_, record)| record.is_run_once() && record.pool == *pool)
            .filter(|(_, record)| include(record.request))
            .map(|(key, _)| key.hash())
            .collect()
    }

    /// Get the pools that have keys that must not run twice.
    pub(super) fn run_once_pools(&self) -> impl Iterator<Item = &PoolName> {
        self.run_once.keys()
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    fn end(&mut self, key: &KeyId, state: KeyState, now: Moment) {
        if let Some(mut record) = self.records.get(key).cloned() {
            record.state = state;
            self.insert(key.clone(), record);
            self.expiries.push_back(KeyExpiry {
                key: key.clone(),
                state,
                until: now.plus(self.retention),
            });
        }
    }
}
