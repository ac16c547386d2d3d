//! Provides the table of idempotency keys of requests that must not run twice.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::clock::Moment;
use crate::host::HostIncarnation;
use crate::permit::KeyClaim;

/// A `KeyVerdict` is the result of checking a claim against the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyVerdict {
    /// The claim's holder may proceed.
    Clear,
    /// Another run holds the key.
    HeldBy(HostIncarnation),
    /// The key's entry may be missing; the answer is certain after this time.
    Unknown(Duration),
}

/// A `KeyEntry` is the state of one key.
#[derive(Debug)]
struct KeyEntry {
    holder: HostIncarnation,
    expires: Moment,
    /// The number of queued requests with this key.
    queued: usize,
    /// Whether a permit may have been granted for the key.
    granted: bool,
}

/// A `KeyTable` is a table of idempotency keys, bounded in retention time and
/// size.
#[derive(Debug)]
pub struct KeyTable {
    retention: Duration,
    capacity: usize,
    entries: HashMap<u128, KeyEntry>,
    expiries: BTreeSet<(Moment, u128)>,
    /// Until when a key that is not in the table may still have been used.
    incomplete_until: Moment,
}

impl KeyTable {
    /// Create the table of an owner that has just taken over: for one retention
    /// time there may be keys that only the previous owner recorded.
    pub fn new(now: Moment, retention: Duration, capacity: usize) -> Self {
        KeyTable {
            retention,
            capacity,
            entries: HashMap::new(),
            expiries: BTreeSet::new(),
            incomplete_until: now.plus(retention),
        }
    }

    /// Set the retention time and the capacity. Present entries keep their
    /// expiry times.
    pub fn set_bounds(&mut self, retention: Duration, capacity: usize) {
        self.retention = retention;
        self.capacity = capacity;
        self.enforce_capacity();
    }

    /// Get the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Get whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Get whether a key is in the table.
    pub fn contains(&self, key: u128) -> bool {
        self.entries.contains_key(&key)
    }

    /// Get the claims of the keys for which a permit may have been granted.
    pub fn granted_claims(&self) -> impl Iterator<Item = KeyClaim> {
        let granted = self.entries.iter().filter(|(_, entry)| entry.granted);
        granted.map(|(key, entry)| KeyClaim {
            key: *key,
            holder: entry.holder.clone(),
            resubmission: false,
        })
    }

    /// Check a claim against the table.
    pub fn check(&self, now: Moment, claim: &KeyClaim) -> KeyVerdict {
        match self.entries.get(&claim.key) {
            Some(entry) if entry.holder == claim.holder => KeyVerdict::Clear,
            Some(entry) => KeyVerdict::HeldBy(entry.holder.clone()),
            // The first run may have got its permit from an owner that has
            // crashed; running the resubmission would run the request twice.
            None if claim.resubmission && now < self.incomplete_until => {
                KeyVerdict::Unknown(self.incomplete_until.since(now))
            }
            None => KeyVerdict::Clear,
        }
    }

    /// Record a claim whose request is queued.
    pub fn claim(&mut self, now: Moment, claim: &KeyClaim) {
        if let Some(entry) = self.renew(now, claim) {
            entry.queued += 1;
        }
        self.enforce_capacity();
    }

    /// Record a claim whose queued request got a permit.
    pub fn grant(&mut self, now: Moment, claim: &KeyClaim) {
        if let Some(entry) = self.renew(now, claim) {
            entry.queued = entry.queued.saturating_sub(1);
            entry.granted = true;
        }
        self.enforce_capacity();
    }

    /// Record a claim whose holder runs or retains the request.
    pub fn hold(&mut self, now: Moment, claim: &KeyClaim) {
        if let Some(entry) = self.renew(now, claim) {
            entry.granted = true;
        }
        self.enforce_capacity();
    }

    /// Record a claim whose holder itself reports that it runs the request or
    /// retains it; get whether another run held the key until now. The
    /// permit of that other run may have been unusable without the table being
    /// notified; if its entry stayed, the request's next copy could run a
    /// second time.
    pub fn hold_reported(&mut self, now: Moment, claim: &KeyClaim) -> bool {
        let held = self.entries.get(&claim.key);
        let is_other = held.is_some_and(|entry| entry.holder != claim.holder);
        if is_other && let Some(entry) = self.entries.remove(&claim.key) {
            self.expiries.remove(&(entry.expires, claim.key));
        }
        self.hold(now, claim);
        is_other
    }

    /// Record that a queued request ended without a permit. If it was the only
    /// one with its key and no permit was ever granted, the request has not run
    /// and the key is released. While another attempt is queued the key stays
    /// claimed: otherwise a second run could claim it and both would get a
    /// permit.
    pub fn release_unused(&mut self, claim: &KeyClaim) {
        let Some(entry) = self.entries.get_mut(&claim.key) else {
            return;
        };
        if entry.holder != claim.holder {
            return;
        }
        entry.queued = entry.queued.saturating_sub(1);
        if entry.granted || entry.queued > 0 {
            return;
        }
        self.expiries.remove(&(entry.expires, claim.key));
        self.entries.remove(&claim.key);
    }

    /// Get the entry of a claim with its expiry time renewed; `None` if another
    /// run holds the key.
    fn renew(&mut self, now: Moment, claim: &KeyClaim) -> Option<&mut KeyEntry> {
        let expires = now.plus(self.retention);
        let entry = self.entries.entry(claim.key).or_insert_with(|| KeyEntry {
            holder: claim.holder.clone(),
            expires,
            queued: 0,
            granted: false,
        });
        if entry.holder != claim.holder {
            return None;
        }
        self.expiries.remove(&(entry.expires, claim.key));
        entry.expires = expires;
        self.expiries.insert((expires, claim.key));
        Some(entry)
    }

    fn enforce_capacity(&mut self) {
        while self.entries.len() > self.capacity {
            self.evict_next_to_expire();
        }
    }

    /// Remove the expired keys.
    pub fn expire(&mut self, now: Moment) {
        while let Some((expires, key)) = self.expiries.first().copied() {
            if expires > now {
                return;
            }
            self.expiries.remove(&(expires, key));
            self.entries.remove(&key);
        }
    }

    /// Evict the key that expires first. Until its expiry time, a key missing
    /// from the table may have been used, as with a new table.
    fn evict_next_to_expire(&mut self) {
        if let Some((expires, key)) = self.expiries.pop_first() {
            self.entries.remove(&key);
            self.incomplete_until = self.incomplete_until.max(expires);
        }
    }
}
