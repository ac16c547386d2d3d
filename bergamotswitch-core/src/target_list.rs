//! Provides the list of targets as registered at the platform's store, and
//! the register that keeps it up to date from reads and changes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Moment;
use crate::error::Findings;
use crate::host::Standing;
use crate::name::{DomainName, PoolName, TargetName};
use crate::revision::{Revision, TARGETS_VALUE};

/// How long after the store's return entries that are gone are still counted
/// on. Entries lapse while the store is away because no heartbeat reaches it;
/// those of live targets are back within two seconds of its return. Dropped at
/// once, all targets of a healthy service would be gone for that time; one
/// would see every request refused just after an outage.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);

/// Steps of the published revision for one revision of the store: the list as
/// it was read, and the list once lapsed entries were dropped.
const STEPS_PER_REVISION: u64 = 2;

/// A `TargetEntry` is one registered target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The target's name. A target may start again under the name that it had.
    pub name: TargetName,
    /// The pool that it serves.
    pub pool: PoolName,
    /// The failure domain in which it stands.
    pub domain: DomainName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The requests that it serves at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub standing: Standing,
    /// How much longer it is slow after its start, in milliseconds.
    pub warming_ms: u64,
    /// When it started, in Unix milliseconds of its own clock, where it says so:
    /// a later one under the same name is another run, which holds nothing of
    /// the earlier one. Only compared with other starts of the same name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at_ms: Option<u64>,
}

/// A `TargetChange` is one change of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// The entry is as given.
    Set(TargetEntry),
    /// The entry is gone.
    Removed(TargetName),
    /// What lies in the entry's place is no registration.
    Unreadable(TargetName),
}

/// A `TargetUpdate` is what a read or a watch of the store brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetUpdate {
    /// All entries as of a revision.
    Snapshot {
        /// The entries.
        entries: Vec<TargetEntry>,
        /// The names in whose place something lies that is no registration.
        unreadable: Vec<TargetName>,
        /// The store's revision.
        as_of: u64,
    },
    /// The changes up to a revision, in order.
    Changes {
        /// The changes, each with its revision.
        changes: Vec<(u64, TargetChange)>,
        /// The store's revision.
        as_of: u64,
    },
}

/// A `TargetList` is the published form of all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetList {
    /// The entries.
    pub targets: Vec<TargetEntry>,
}

impl TargetList {
    /// Try to read a list from its JSON text.
    ///
    /// # Errors
    ///
    /// Returns what the text lacks.
    pub fn try_from_json(text: &str) -> Result<Self, Findings> {
        serde_json::from_str(text).map_err(|error| {
            let mut findings = Findings::new();
            findings.add(format!("{TARGETS_VALUE}:"), error.to_string(), "targets");
            findings
        })
    }
}

/// A `TargetRegister` is a reading host's copy of the store's entries.
#[derive(Debug, Default)]
pub struct TargetRegister {
    entries: BTreeMap<TargetName, TargetEntry>,
    /// Entries that are gone from the store and still counted on.
    expired: BTreeMap<TargetName, TargetEntry>,
    /// The last start known of each name in whose place something lies that is
    /// no registration: an earlier start that is written late is not taken up.
    unreadable: BTreeMap<TargetName, Option<u64>>,
    /// The store's revision up to which the entries are complete.
    as_of: u64,
    /// Whether lapsed entries were dropped at this revision.
    expired_dropped: bool,
    /// Whether a call failed since the last one that succeeded.
    failing: bool,
    keep_expired_until: Moment,
}

impl TargetRegister {
    /// Take over a list that a peer read, where it is newer.
    pub fn adopt(&mut self, revision: Revision, list: &TargetList) {
        let as_of = revision.0 / STEPS_PER_REVISION;
        if as_of <= self.as_of {
            return;
        }
        self.as_of = as_of;
        self.expired_dropped = !revision.0.is_multiple_of(STEPS_PER_REVISION);
        self.expired.clear();
        let entries = list.targets.iter();
        self.entries = entries
            .map(|entry| (entry.name.clone(), entry.clone()))
            .collect();
    }

    /// Note that a call failed.
    pub fn record_failure(&mut self) {
        self.failing = true;
    }

    /// Take in news; get whether the list has changed.
    pub fn apply(&mut self, now: Moment, update: TargetUpdate) -> bool {
        if std::mem::take(&mut self.failing) {
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

    /// Drop lapsed entries whose time is over; get whether there were any.
    pub fn drop_expired(&mut self, now: Moment) -> bool {
        if self.expired.is_empty() || now < self.keep_expired_until {
            return false;
        }
        self.expired.clear();
        self.expired_dropped = true;
        true
    }

    /// Get when [`TargetRegister::drop_expired`] is due.
    pub fn next_due(&self) -> Moment {
        match self.expired.is_empty() {
            true => Moment::NEVER,
            false => self.keep_expired_until,
        }
    }

    /// Get the revision under which the list is published.
    pub fn revision(&self) -> Revision {
        Revision(self.as_of * STEPS_PER_REVISION + u64::from(self.expired_dropped))
    }

    /// Get the list, lapsed entries included.
    pub fn list(&self) -> TargetList {
        let entries = self.entries.values().chain(self.expired.values());
        TargetList {
            targets: entries.cloned().collect(),
        }
    }

    fn apply_snapshot(
        &mut self,
        now: Moment,
        entries: Vec<TargetEntry>,
        unreadable: Vec<TargetName>,
        as_of: u64,
    ) {
        // An answer that was overtaken must not undo later changes.
        if as_of < self.as_of {
            return;
        }
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

    fn apply_changes(&mut self, now: Moment, changes: Vec<(u64, TargetChange)>, as_of: u64) {
        for (revision, change) in changes {
            if revision <= self.as_of {
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

    /// Take in a registration, unless an earlier run wrote it late: its address
    /// and state are those of a process that is gone.
    fn set(&mut self, entry: TargetEntry) {
        let known = self.last_start(&entry.name);
        match (known, entry.started_at_ms) {
            (Some(_), None) => return self.set_unreadable(entry.name),
            (Some(known), Some(started)) if started < known => return,
            _ => {}
        }
        self.expired.remove(&entry.name);
        self.unreadable.remove(&entry.name);
        self.entries.insert(entry.name.clone(), entry);
    }

    /// Count on a target no longer whose entry was written over. Other than one
    /// that lapsed, it is not kept for a while: somebody wrote what stands there.
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
        if now < self.keep_expired_until {
            self.expired.insert(name.clone(), entry);
        }
    }

    fn advance(&mut self, as_of: u64) {
        if as_of > self.as_of {
            self.as_of = as_of;
            self.expired_dropped = false;
        }
    }
}
