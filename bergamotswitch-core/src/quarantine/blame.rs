//! Provides the choice of the suspects that are to blame for crashes.
//!
//! A target that ends breaks all its runs, so each crash has many suspects. One is to
//! blame if enough of its crashes have no other suspect that took part in as many.
//! Suspects with the same crashes are to blame together: only requests that have all of
//! them are known to crash targets.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::suspect_record::{Crash, QUARANTINE_CRASHES, SuspectRecord};
use super::{CrashSuspect, RequestSuspects};

/// The maximum number of suspects that are compared, those with the most crashes first.
const MAX_CANDIDATES: usize = 64;

type Records = BTreeMap<CrashSuspect, SuspectRecord>;

/// A `CulpritGroup` is a set of suspects that took part in the same crashes. Requests that
/// have all of them are quarantined.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CulpritGroup(BTreeSet<CrashSuspect>);

impl CulpritGroup {
    /// Get the suspects of the group.
    pub fn members(&self) -> impl Iterator<Item = CrashSuspect> {
        self.0.iter().copied()
    }

    pub(super) fn contains(&self, suspect: CrashSuspect) -> bool {
        self.0.contains(&suspect)
    }

    /// Add the suspects that have the same crashes as all members. The reports of suspects
    /// that belong together may arrive apart.
    fn extend(&mut self, records: &Records, candidates: &[(CrashSuspect, &SuspectRecord)]) {
        let members: Vec<_> = self.members().filter_map(|it| records.get(&it)).collect();
        let alike = candidates.iter().filter(|(_, record)| {
            let mut members = members.iter();
            members.all(|member| member.has_same_crashes(record))
        });
        self.0.extend(alike.map(|(suspect, _)| *suspect));
    }

    /// Get whether a request has all suspects of the group.
    pub(super) fn covers(&self, suspects: &RequestSuspects) -> bool {
        self.members().all(|suspect| suspects.contains(suspect))
    }
}

/// Get the groups that are to blame now. A group that was to blame before stays so while
/// its suspects have their crashes.
pub(super) fn review(records: &Records, before: &[CulpritGroup]) -> Vec<CulpritGroup> {
    let candidates = candidates(records);
    let is_open = |suspect| {
        let record = records.get(&suspect);
        record.is_some_and(SuspectRecord::may_be_quarantined)
    };
    let mut groups: Vec<CulpritGroup> = before.to_vec();
    groups.retain(|group| group.members().all(is_open));
    for group in &mut groups {
        group.extend(records, &candidates);
    }
    for (suspect, record) in &candidates {
        let own = record.crashes().iter().filter(|crash| {
            let in_group = |group: &CulpritGroup| {
                let mut members = group.members().filter_map(|member| records.get(&member));
                !group.contains(*suspect) && members.any(|member| member.has_crash(crash))
            };
            !groups.iter().any(in_group) && !has_likelier(&candidates, record, crash)
        });
        if record.weight_of(own) < QUARANTINE_CRASHES {
            continue;
        }
        let alike = candidates
            .iter()
            .filter(|(_, other)| other.has_same_crashes(record));
        let group = CulpritGroup(alike.map(|(suspect, _)| *suspect).collect());
        if groups.iter().any(|known| known.0.is_subset(&group.0)) {
            continue;
        }
        groups.retain(|known| !known.0.is_superset(&group.0));
        groups.push(group);
    }
    groups
}

fn candidates(records: &Records) -> Vec<(CrashSuspect, &SuspectRecord)> {
    let open = records
        .iter()
        .filter(|(_, record)| record.may_be_quarantined());
    let mut open: Vec<_> = open.map(|(suspect, record)| (*suspect, record)).collect();
    open.sort_by_key(|(_, record)| Reverse(record.weight()));
    open.truncate(MAX_CANDIDATES);
    open
}

/// Get whether a suspect with other crashes, but not fewer, took part in a crash.
fn has_likelier(
    candidates: &[(CrashSuspect, &SuspectRecord)],
    record: &SuspectRecord,
    crash: &Crash,
) -> bool {
    let weight = record.weight();
    let mut likelier = candidates
        .iter()
        .take_while(|(_, other)| other.weight() >= weight);
    likelier.any(|(_, other)| other.has_crash(crash) && !other.has_same_crashes(record))
}
