//! Provides the evacuations of failure domains: the published list, and the register that
//! keeps it up to date from snapshots and changes of the platform's store.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Moment;
use crate::error::Findings;
use crate::failure_domain::DomainName;
use crate::revision::{EVACUATIONS_VALUE, Revision};
use crate::target_list::StorePosition;

/// How long an evacuation that a restored store lacks stays in force. What the store lost
/// is written again within two seconds.
const RESTORE_GRACE: Duration = Duration::from_millis(2_200);

/// The number of published revisions per revision of the store: one for the list as read,
/// and one for the list after evacuations that a restored store lacks were dropped.
const STEPS_PER_REVISION: u64 = 2;

/// An `EvacuationList` is the published list of evacuated failure domains, whose targets get
/// no new requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationList {
    /// The evacuated domains.
    pub domains: BTreeSet<DomainName>,
}

impl EvacuationList {
    /// Try to read a list from its JSON text.
    ///
    /// # Errors
    ///
    /// Returns the parse error as a finding.
    pub fn try_from_json(text: &str) -> Result<Self, Findings> {
        serde_json::from_str(text).map_err(|error| {
            let mut findings = Findings::new();
            let place = format!("{EVACUATIONS_VALUE}:");
            findings.add(place, error.to_string(), "evacuated failure domains");
            findings
        })
    }
}

/// An `EvacuationChange` is the start or the end of a domain's evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The domain is evacuated.
    Begun(DomainName),
    /// The domain is taken back.
    Ended(DomainName),
}

/// An `EvacuationUpdate` is the result of a read or a watch of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationUpdate {
    /// All evacuated domains at a position of the store.
    Snapshot {
        /// The evacuated domains.
        domains: BTreeSet<DomainName>,
        /// The store's position.
        as_of: StorePosition,
    },
    /// The changes up to a position of the store, in order.
    Changes {
        /// The changes, each with its position.
        changes: Vec<(StorePosition, EvacuationChange)>,
        /// The store's position.
        as_of: StorePosition,
    },
}

/// An `EvacuationRegister` is a host's copy of the evacuations in the store.
#[derive(Debug, Default)]
pub struct EvacuationRegister {
    domains: BTreeSet<DomainName>,
    /// The evacuations that a restored store lacks and that are still in force.
    kept: BTreeSet<DomainName>,
    keep_until: Moment,
    /// The store's position up to which the domains are complete; `None` before the first
    /// read.
    as_of: Option<StorePosition>,
    /// Whether kept evacuations were dropped at this position.
    kept_dropped: bool,
}

impl EvacuationRegister {
    /// Replace the evacuations with a list that a peer has read, if it is newer.
    pub fn adopt(&mut self, revision: Revision, list: &EvacuationList) {
        if self.as_of.is_some() && revision <= self.revision() {
            return;
        }
        self.as_of = Some(StorePosition::from_number(revision.0 / STEPS_PER_REVISION));
        self.kept_dropped = !revision.0.is_multiple_of(STEPS_PER_REVISION);
        self.domains = list.domains.clone();
        self.kept.clear();
    }

    /// Apply an update of the store; get whether the list has to be published. That of a
    /// newer snapshot always has to: a peer may publish an earlier one that differs.
    pub fn apply(&mut self, now: Moment, update: EvacuationUpdate) -> bool {
        match update {
            EvacuationUpdate::Snapshot { domains, as_of } => {
                self.apply_snapshot(now, domains, as_of)
            }
            EvacuationUpdate::Changes { changes, as_of } => {
                let before = self.list();
                self.apply_changes(changes, as_of);
                before != self.list()
            }
        }
    }

    /// Drop the kept evacuations once their grace period is over; get whether there were
    /// any.
    pub fn drop_kept(&mut self, now: Moment) -> bool {
        if self.kept.is_empty() || now < self.keep_until {
            return false;
        }
        self.kept.clear();
        self.kept_dropped = true;
        true
    }

    /// Get the time at which [`EvacuationRegister::drop_kept`] is due.
    pub fn next_due(&self) -> Moment {
        match self.kept.is_empty() {
            true => Moment::NEVER,
            false => self.keep_until,
        }
    }

    /// Get the revision under which the list is published.
    pub fn revision(&self) -> Revision {
        let position = self.as_of.unwrap_or_default();
        Revision(position.number() * STEPS_PER_REVISION + u64::from(self.kept_dropped))
    }

    /// Get the list, including evacuations that are still kept.
    pub fn list(&self) -> EvacuationList {
        EvacuationList {
            domains: self.domains.union(&self.kept).cloned().collect(),
        }
    }

    /// Apply a snapshot; get whether it is newer than what is known.
    fn apply_snapshot(
        &mut self,
        now: Moment,
        domains: BTreeSet<DomainName>,
        as_of: StorePosition,
    ) -> bool {
        // A delayed snapshot must not undo later changes.
        if self.as_of.is_some_and(|known| as_of <= known) {
            return false;
        }
        if self.as_of.is_some_and(|known| known.era() < as_of.era()) {
            self.kept = self.domains.difference(&domains).cloned().collect();
            self.keep_until = now.plus(RESTORE_GRACE);
        }
        self.domains = domains;
        self.advance(as_of);
        true
    }

    fn apply_changes(
        &mut self,
        changes: Vec<(StorePosition, EvacuationChange)>,
        as_of: StorePosition,
    ) {
        // Changes are complete only after a snapshot or an adopted list.
        let Some(known) = self.as_of else {
            return;
        };
        for (position, change) in changes {
            if position <= known {
                continue;
            }
            match change {
                EvacuationChange::Begun(domain) => {
                    self.domains.insert(domain);
                }
                EvacuationChange::Ended(domain) => {
                    self.domains.remove(&domain);
                    self.kept.remove(&domain);
                }
            }
        }
        self.advance(as_of.max(known));
    }

    fn advance(&mut self, as_of: StorePosition) {
        if self.as_of.is_none_or(|known| as_of > known) {
            self.as_of = Some(as_of);
            self.kept_dropped = false;
        }
    }
}
