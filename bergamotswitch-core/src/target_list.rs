//! Provides the list of targets registered in the platform's store, and the
//! register that keeps it up to date from snapshots and changes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Moment;
use crate::error::Findings;
use crate::host::Standing;
use crate::name::{DomainName, PoolName, TargetName};
use crate::revision::{Revision, TARGETS_VALUE};
use crate::target::TargetVersion;

/// How long after an outage of the store entries that it has removed are kept.
/// During an outage no heartbeat reaches the store, so the entries of live targets
/// expire; these targets register again within two seconds after the outage.
/// Without this period, all requests would be refused until then.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);

/// The shortest time without a read in which the entries of live targets may have expired:
/// they do so after three missed heartbeats. After a shorter one, such as a single watch
/// that was cut, a removal is what it says.
const MIN_OUTAGE: Duration = Duration::from_millis(2_000);

/// The number of published revisions per revision of the store: one for the list
/// as read, and one for the list after expired entries were dropped.
const STEPS_PER_REVISION: u64 = 2;

/// How long removed targets are remembered. A copy of the store, which may have them, is a
/// few seconds old.
const REMOVAL_RETENTION: Duration = Duration::from_secs(60);

/// The number of bits of a position that hold the revision; the era is above them.
const REVISION_BITS: u32 = 43;

/// A `StorePosition` is a revision of the store in one era. Revisions of a later era come
/// after all those of an earlier one, since the store may give out revisions again when it
/// is restored from a copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition(u64);

impl StorePosition {
    /// Get the position of a revision; the era is 0 if the store names none.
    pub fn new(era: u64, revision: u64) -> Self {
        let era = era & (u64::MAX >> (REVISION_BITS + 1));
        StorePosition((era << REVISION_BITS) | (revision & ((1 << REVISION_BITS) - 1)))
    }

    /// Get the position of a number, see [`StorePosition::number`].
    pub(crate) fn from_number(number: u64) -> Self {
        StorePosition(number)
    }

    /// Get the number of the position, which orders positions of all eras.
    pub(crate) fn number(self) -> u64 {
        self.0
    }

    /// Get the era.
    pub fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// Get the revision within its era.
    pub fn revision(self) -> u64 {
        self.0 & ((1 << REVISION_BITS) - 1)
    }
}

/// A `TargetEntry` is the registration of a target in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The target's name, which it keeps across restarts.
    pub name: TargetName,
    /// The pool that the target serves.
    pub pool: PoolName,
    /// The failure domain that contains the target.
    pub domain: DomainName,
    /// The address at which the target listens.
    pub address: SocketAddr,
    /// The number of requests that the target serves concurrently.
    pub slots: u32,
    /// Whether the target is in service or draining.
    pub standing: Standing,
    /// How long the target remained cold when it registered this state, in milliseconds.
    pub warming_ms: u64,
    /// The store's revision of the registration, if the target is cold: a target may become
    /// cold again for as long as before. 0 otherwise.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub warming_revision: u64,
    /// The target's start time in Unix milliseconds of its own clock, if it
    /// reports one. A later start under the same name is a new process that has
    /// none of the earlier one's requests. Start times of different names are never
    /// compared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at_ms: Option<u64>,
    /// The version of the target's software. Hosts of earlier releases do not publish it.
    #[serde(default)]
    pub version: TargetVersion,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// A `TargetChange` is one change of a target's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// The entry was created or replaced.
    Set(TargetEntry),
    /// The entry was removed.
    Removed(TargetName),
    /// The entry was overwritten with a value that is not a registration.
    Unreadable(TargetName),
}

/// A `TargetUpdate` is the result of a read or a watch of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetUpdate {
    /// All entries at a revision of the store.
    Snapshot {
        /// The entries.
        entries: Vec<TargetEntry>,
        /// The names of entries whose value is not a registration.
        unreadable: Vec<TargetName>,
        /// The store's position.
        as_of: StorePosition,
    },
    /// The changes up to a position of the store, in order.
    Changes {
        /// The changes, each with its position.
        changes: Vec<(StorePosition, TargetChange)>,
        /// The store's position.
        as_of: StorePosition,
    },
}

/// A `TargetList` is the published list of all targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetList {
    /// The entries.
    pub targets: Vec<TargetEntry>,
    /// The names of those that the store has removed and that are kept for a while after an
    /// outage.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub expired: Vec<TargetName>,
}

impl TargetList {
    /// Try to read a list from its JSON text.
    ///
    /// # Errors
    ///
    /// Returns the parse error as a finding.
    pub fn try_from_json(text: &str) -> Result<Self, Findings> {
        serde_json::from_str(text).map_err(|error| {
            let mut findings = Findings::new();
            findings.add(format!("{TARGETS_VALUE}:"), error.to_string(), "targets");
            findings
        })
    }
}

/// A `TargetRegister` is a host's copy of the target entries in the store.
#[derive(Debug, Default)]
pub struct TargetRegister {
    entries: BTreeMap<TargetName, TargetEntry>,
    /// The entries that were removed from the store and are still kept.
    expired: BTreeMap<TargetName, TargetEntry>,
    /// The last known start time of each name whose entry is not a registration,
    /// so that a late registration of an earlier process is still detected.
    unreadable: BTreeMap<TargetName, Option<u64>>,
    /// The targets that were removed from the store.
    removed: BTreeMap<TargetName, Moment>,
    /// The store's position up to which the entries are complete.
    as_of: StorePosition,
    /// The era of the last snapshot that this host read itself. Lists of other hosts may be of
    /// a later one.
    read_era: u64,
    /// Whether expired entries were dropped at this revision.
    expired_dropped: bool,
    /// Whether the last call to the store failed.
    failing: bool,
    /// When this host last read the store itself.
    read_at: Option<Moment>,
    keep_expired_until: Moment,
}

impl TargetRegister {
    /// Replace the entries with a list that a peer has read, if it is newer.
    pub fn adopt(&mut self, now: Moment, revision: Revision, list: &TargetList) {
        let as_of = StorePosition(revision.0 / STEPS_PER_REVISION);
        if as_of <= self.as_of {
            return;
        }
        self.as_of = as_of;
        self.expired_dropped = !revision.0.is_multiple_of(STEPS_PER_REVISION);
        let (expired, registered): (Vec<_>, Vec<_>) = list
            .targets
            .iter()
            .map(|entry| (entry.name.clone(), entry.clone()))
            .partition(|(name, _)| list.expired.contains(name));
        let entries = std::mem::replace(&mut self.entries, registered.into_iter().collect());
        self.adopt_expired(now, expired);
        let gone = entries.into_keys();
        let gone = gone.filter(|name| !self.entries.contains_key(name));
        self.removed.extend(gone.map(|name| (name, now)));
        let entries = &self.entries;
        self.removed.retain(|name, _| !entries.contains_key(name));
    }

    /// Adopt the removed entries that another host still keeps after an outage, except
    /// those that this host has dropped. Entries that are already kept get no more time.
    fn adopt_expired(&mut self, now: Moment, expired: Vec<(TargetName, TargetEntry)>) {
        let known = std::mem::take(&mut self.expired);
        let is_usable =
            |name: &TargetName| known.contains_key(name) || !self.removed.contains_key(name);
        self.expired = expired
            .into_iter()
            .filter(|(name, _)| is_usable(name))
            .collect();
        if known.is_empty() && !self.expired.is_empty() {
            self.keep_expired_until = self.keep_expired_until.max(now.plus(EXPIRY_GRACE));
        }
        let names = self.expired.keys();
        let names = names.filter(|name| !known.contains_key(*name));
        self.removed.extend(names.map(|name| (name.clone(), now)));
    }

    /// Record that a call to the store failed.
    pub fn record_failure(&mut self) {
        self.failing = true;
    }

    /// Apply an update of the store; get whether the list has changed.
    pub fn apply(&mut self, now: Moment, update: TargetUpdate) -> bool {
        let read_at = self.read_at.replace(now);
        let was_away = read_at.is_none_or(|at| now.since(at) >= MIN_OUTAGE);
        if std::mem::take(&mut self.failing) && was_away {
            self.keep_expired_until = now.plus(EXPIRY_GRACE);
        }
        let before = self.list();
        match update {
            TargetUpdate::Snapshot {
                entries,
                unreadable,
                as_of,
            } => self.apply_snapshot(now, entries, unreadable, as_of),
            TargetUpdate::Changes { changes, as_of } => self.apply_changes(now, changes, as_of),
        }
        self.list() != before
    }

    /// Drop the expired entries once their grace period is over; get whether there
    /// were any.
    pub fn drop_expired(&mut self, now: Moment) -> bool {
        if self.expired.is_empty() || now < self.keep_expired_until {
            return false;
        }
        self.expired.clear();
        self.expired_dropped = true;
        true
    }

    /// Get the time at which [`TargetRegister::drop_expired`] is due.
    pub fn next_due(&self) -> Moment {
        match self.expired.is_empty() {
            true => Moment::NEVER,
            false => self.keep_expired_until,
        }
    }

    /// Get the revision under which the list is published.
    pub fn revision(&self) -> Revision {
        Revision(self.as_of.0 * STEPS_PER_REVISION + u64::from(self.expired_dropped))
    }

    /// Get the list, including expired entries that are still kept.
    pub fn list(&self) -> TargetList {
        let entries = self.entries.values().chain(self.expired.values());
        TargetList {
            targets: entries.cloned().collect(),
            expired: self.expired.keys().cloned().collect(),
        }
    }

    fn apply_snapshot(
        &mut self,
        now: Moment,
        entries: Vec<TargetEntry>,
        unreadable: Vec<TargetName>,
        as_of: StorePosition,
    ) {
        // A delayed snapshot must not undo later changes.
        if as_of < self.as_of {
            return;
        }
        self.removed
            .retain(|_, at| now < at.plus(REMOVAL_RETENTION));
        let is_copy = self.read_era < as_of.era() && self.as_of != StorePosition::default();
        self.read_era = as_of.era();
        let entries = match is_copy {
            true => {
                self.keep_expired_until = now.plus(EXPIRY_GRACE);
                self.without_outdated(entries)
            }
            false => entries,
        };
        let mut present: BTreeSet<TargetName> = unreadable.iter().cloned().collect();
        for name in unreadable {
            self.set_unreadable(name);
        }
        for entry in entries {
            present.insert(entry.name.clone());
            self.set(entry);
        }
        let absent = self.entries.keys().filter(|name| !present.contains(*name));
        let absent: Vec<TargetName> = absent.cloned().collect();
        for name in absent {
            self.expire(now, &name);
        }
        self.unreadable.retain(|name, _| present.contains(name));
        self.advance(as_of);
    }

    /// Drop what is known to be outdated from the entries of a restored store: targets that
    /// were removed, and the earlier states of targets that leave or have turned cold. Their
    /// known states count until they are written anew.
    fn without_outdated(&self, entries: Vec<TargetEntry>) -> Vec<TargetEntry> {
        let entries = entries.into_iter();
        let entries = entries.filter(|entry| !self.removed.contains_key(&entry.name));
        let entries = entries.map(|entry| match self.entries.get(&entry.name) {
            Some(known) if known.started_at_ms == entry.started_at_ms => with_known(entry, known),
            _ => entry,
        });
        entries.collect()
    }

    fn apply_changes(
        &mut self,
        now: Moment,
        changes: Vec<(StorePosition, TargetChange)>,
        as_of: StorePosition,
    ) {
        for (position, change) in changes {
            if position <= self.as_of {
                continue;
            }
            match change {
                TargetChange::Set(entry) => self.set(entry),
                TargetChange::Removed(name) => self.expire(now, &name),
                TargetChange::Unreadable(name) => self.set_unreadable(name),
            }
        }
        self.advance(as_of.max(self.as_of));
    }

    /// Apply a registration, unless it is a delayed one of an earlier process, whose
    /// address and state are no longer valid.
    fn set(&mut self, entry: TargetEntry) {
        let known = self.last_start(&entry.name);
        match (known, entry.started_at_ms) {
            (Some(_), None) => return self.set_unreadable(entry.name),
            (Some(known), Some(started)) if started < known => return,
            _ => {}
        }
        self.expired.remove(&entry.name);
        self.unreadable.remove(&entry.name);
        self.removed.remove(&entry.name);
        self.entries.insert(entry.name.clone(), entry);
    }

    /// Remove a target whose entry was overwritten with another value. It is not
    /// kept like an expired entry, because the store's content is deliberate.
    fn set_unreadable(&mut self, name: TargetName) {
        let known = self.last_start(&name);
        self.entries.remove(&name);
        self.expired.remove(&name);
        self.unreadable.insert(name, known);
    }

    fn last_start(&self, name: &TargetName) -> Option<u64> {
        let entry = self.entries.get(name).or_else(|| self.expired.get(name));
        match entry {
            Some(entry) => entry.started_at_ms,
            None => self.unreadable.get(name).copied().flatten(),
        }
    }

    fn expire(&mut self, now: Moment, name: &TargetName) {
        self.unreadable.remove(name);
        let Some(entry) = self.entries.remove(name) else {
            return;
        };
        self.removed.insert(name.clone(), now);
        if now < self.keep_expired_until {
            self.expired.insert(name.clone(), entry);
        }
    }

    fn advance(&mut self, as_of: StorePosition) {
        if as_of > self.as_of {
            self.as_of = as_of;
            self.expired_dropped = false;
        }
    }
}

/// Get an entry of a restored store with what is known of the same process since.
fn with_known(entry: TargetEntry, known: &TargetEntry) -> TargetEntry {
    match (known.standing, known.warming_ms) {
        (Standing::Leaving, _) => known.clone(),
        (Standing::Live, 0) => entry,
        (Standing::Live, warming_ms) => TargetEntry {
            warming_ms,
            warming_revision: known.warming_revision,
            ..entry
        },
    }
}
