//! Provides the table of keys of requests that must not run twice.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::clock::Moment;
use crate::host::HostIncarnation;
use crate::permit::KeyClaim;

/// A `KeyVerdict` is what the table says of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyVerdict {
    /// The claim's holder may go on.
    Clear,
    /// Another run holds the key.
    HeldBy(HostIncarnation),
    /// The key may have been forgotten; known again after this time.
    Unknown(Duration),
}

/// A `KeyEntry` is what is remembered of one key.
#[derive(Debug)]
struct KeyEntry {
    holder: HostIncarnation,
    expires: Moment,
    /// The asks that wait for it.
    queued: usize,
    /// Whether a permit may have been given for it.
    granted: bool,
}

/// A `KeyTable` is a table of keys, bounded in time and number.
#[derive(Debug)]
pub struct KeyTable {
    retention: Duration,
    capacity: usize,
    entries: HashMap<u128, KeyEntry>,
    expiries: BTreeSet<(Moment, u128)>,
    /// Until then a key that is not in the table may still have been used.
    blind_until: Moment,
}

impl KeyTable {
    /// Get the table of an owner that has just taken over: for one retention
    /// time there may be keys that only its predecessor knew.
    pub fn new(now: Moment, retention: Duration, capacity: usize) -> Self {
        KeyTable {
            retention,
            capacity,
            entries: HashMap::new(),
            expiries: BTreeSet::new(),
            blind_until: now.plus(retention),
        }
    }

    /// Set how long and how many keys are remembered from now on. A key keeps
    /// the time that it was promised.
    pub fn set_bounds(&mut self, retention: Duration, capacity: usize) {
        self.retention = retention;
        self.capacity = capacity;
        self.bound();
    }

    /// Get the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Get whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Get what the table says of a claim.
    pub fn check(&self, now: Moment, claim: &KeyClaim) -> KeyVerdict {
        match self.entries.get(&claim.key) {
            Some(entry) if entry.holder == claim.holder => KeyVerdict::Clear,
            Some(entry) => KeyVerdict::HeldBy(entry.holder.clone()),
            // A resubmission of a request that ran under an owner that died
            // would run again; the engine's ledger would show it twice.
            None if claim.resubmission && now < self.blind_until => {
                KeyVerdict::Unknown(self.blind_until.since(now))
            }
            None => KeyVerdict::Clear,
        }
    }

    /// Remember a claim whose ask is queued.
    pub fn claim(&mut self, now: Moment, claim: &KeyClaim) {
        if let Some(entry) = self.touch(now, claim) {
            entry.queued += 1;
        }
        self.bound();
    }

    /// Remember a claim whose queued ask got a permit.
    pub fn grant(&mut self, now: Moment, claim: &KeyClaim) {
        if let Some(entry) = self.touch(now, claim) {
            entry.queued = entry.queued.saturating_sub(1);
            entry.granted = true;
        }
        self.bound();
    }

    /// Remember a claim whose holder keeps or runs its request.
    pub fn hold(&mut self, now: Moment, claim: &KeyClaim) {
        if let Some(entry) = self.touch(now, claim) {
            entry.granted = true;
        }
        self.bound();
    }

    /// Remember a claim whose holder says itself that it keeps or runs its
    /// request; get whether another run held the key until now. A permit may
    /// have been of no use to that one, and the table never hears of it: left
    /// there, the key would let its next copy run a second time.
    pub fn hold_told(&mut self, now: Moment, claim: &KeyClaim) -> bool {
        let held = self.entries.get(&claim.key);
        let is_other = held.is_some_and(|entry| entry.holder != claim.holder);
        if is_other && let Some(entry) = self.entries.remove(&claim.key) {
            self.expiries.remove(&(entry.expires, claim.key));
        }
        self.hold(now, claim);
        is_other
    }

    /// Note that a queued ask ended without a permit. Where it was the only
    /// one and no permit was ever given, the request was not run and the key
    /// is free. While another attempt of it still waits the key stays: freed
    /// here, it would go to a second run, and then both would get a permit.
    pub fn settle_unused(&mut self, claim: &KeyClaim) {
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

    /// Get the entry of a claim, its time begun anew; `None` where another
    /// run holds the key.
    fn touch(&mut self, now: Moment, claim: &KeyClaim) -> Option<&mut KeyEntry> {
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

    fn bound(&mut self) {
        while self.entries.len() > self.capacity {
            self.drop_oldest();
        }
    }

    /// Forget the keys whose time has passed.
    pub fn expire(&mut self, now: Moment) {
        while let Some((expires, key)) = self.expiries.first().copied() {
            if expires > now {
                return;
            }
            self.expiries.remove(&(expires, key));
            self.entries.remove(&key);
        }
    }

    /// Drop the key nearest to its end. A table that forgets early is as
    /// blind as a new one, until that key's time would have passed.
    fn drop_oldest(&mut self) {
        if let Some((expires, key)) = self.expiries.pop_first() {
            self.entries.remove(&key);
            self.blind_until = self.blind_until.max(expires);
        }
    }
}
