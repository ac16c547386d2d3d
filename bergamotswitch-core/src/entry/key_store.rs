//! Provides the callers' keys that this run of the host knows.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::pool::PoolName;
use crate::request::{CallerKey, RequestId};

/// A `KeyId` is a caller's key with its client account: two accounts may use
/// the same key for different requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct KeyId {
    pub(super) account: AccountName,
    pub(super) key: CallerKey,
}

impl KeyId {
    /// Get the xxh3-128 of account and key, as owners know it.
    pub(super) fn hash(&self) -> u128 {
        let mut hasher = Xxh3::new();
        hasher.update(self.account.as_str().as_bytes());
        // No name holds a zero byte, so no two pairs run into one text.
        hasher.update(&[0]);
        hasher.update(self.key.as_str().as_bytes());
        hasher.digest128()
    }
}

/// A `KeyState` is what a resubmission of the key meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeyState {
    /// The request waits, runs, or its answer is kept: follow it.
    Active,
    /// A new run does no harm: the request was not run, or may run again.
    Rerunnable(Moment),
    /// The answer is gone and the request must not run twice.
    Blocked(Moment),
}

/// A `KeyRecord` is what is known of one key.
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
    /// Get whether another run under the key would be a second one.
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

/// A `KeyStore` holds the keys of live requests, of kept answers and, for
/// longer, of requests whose answers are gone. Were a key forgotten with its
/// answer, a late resubmission would run a second time.
#[derive(Debug)]
pub(super) struct KeyStore {
    records: BTreeMap<KeyId, KeyRecord>,
    /// How many keys of each pool must not run twice. It is asked for after
    /// every event; a count over all records would be felt then.
    run_once: BTreeMap<PoolName, usize>,
    expiries: VecDeque<KeyExpiry>,
    retention: Duration,
    max_keys: usize,
}

impl KeyStore {
    /// Get an empty book that remembers ended keys for `memory`, at most
    /// `count` of them.
    pub(super) fn new(retention: Duration, max_keys: usize) -> Self {
        KeyStore {
            records: BTreeMap::new(),
            run_once: BTreeMap::new(),
            expiries: VecDeque::new(),
            retention,
            max_keys,
        }
    }

    /// Get the record of a key.
    pub(super) fn get(&self, key: &KeyId) -> Option<&KeyRecord> {
        self.records.get(key)
    }

    /// Enter the key of a new request.
    pub(super) fn insert(&mut self, key: KeyId, record: KeyRecord) {
        self.remove(&key);
        if record.is_run_once() {
            *self.run_once.entry(record.pool.clone()).or_default() += 1;
        }
        self.records.insert(key, record);
    }

    /// Remove the key of a request that another host holds.
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

    /// Let a new submission of the key run.
    pub(super) fn allow_rerun(&mut self, key: &KeyId, now: Moment) {
        self.end(key, KeyState::Rerunnable(now), now);
    }

    /// Note that the answer of `request` was dropped. A key that serves a
    /// later request by now is left alone.
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

    /// Forget ended keys that are too old or too many.
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

    /// Get when the oldest ended key is to be forgotten.
    pub(super) fn next_due(&self) -> Moment {
        match self.expiries.front() {
            Some(expiry) => expiry.until,
            None => Moment::NEVER,
        }
    }

    /// Get the hashes of the keys of a pool that must not run twice, as far as
    /// the requests that they serve are include. Every
    /// shard's owner learns them all: where the pools change, another shard
    /// may be asked for a key.
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

    /// Get the pools of the keys that must not run twice.
    pub(super) fn run_once_pools(&self) -> impl Iterator<Item = &PoolName> {
        self.run_once.keys()
    }

    /// Get the number of keys.
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
