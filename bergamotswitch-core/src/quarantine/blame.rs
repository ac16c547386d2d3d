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
use crate::target::TargetName;

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
    fn extend(&mut self, evidence: &Evidence) {
        let members = evidence.candidates.iter();
        let members = members.filter(|candidate| self.contains(candidate.suspect));
        let known: BTreeSet<&Vec<usize>> = members.map(|member| &member.crashes).collect();
        if known.len() == 1 {
            let alike = known
                .iter()
                .flat_map(|crashes| evidence.with_crashes(crashes));
            self.0.extend(alike.collect::<Vec<_>>());
        }
    }

    /// Get whether a request has all suspects of the group.
    pub(super) fn covers(&self, suspects: &RequestSuspects) -> bool {
        self.members().all(|suspect| suspects.contains(suspect))
    }
}

/// A `Candidate` is a suspect that may be to blame.
struct Candidate<'a> {
    suspect: CrashSuspect,
    record: &'a SuspectRecord,
    weight: usize,
    /// The numbers of its crashes, in the order of its record.
    crashes: Vec<usize>,
}

/// An `Evidence` is which suspects took part in which crashes.
struct Evidence<'a> {
    candidates: Vec<Candidate<'a>>,
    /// The candidates that took part in each crash, by their places.
    participants: Vec<Vec<usize>>,
}

impl<'a> Evidence<'a> {
    fn of(records: &'a Records, groups: &[CulpritGroup]) -> Self {
        let open = records
            .iter()
            .filter(|(_, record)| record.may_be_quarantined());
        let mut candidates: Vec<Candidate> = open
            .map(|(suspect, record)| Candidate {
                suspect: *suspect,
                record,
                weight: record.weight(),
                crashes: Vec::new(),
            })
            .collect();
        candidates.sort_by_key(|candidate| {
            let is_to_blame = groups.iter().any(|group| group.contains(candidate.suspect));
            (Reverse(is_to_blame), Reverse(candidate.weight))
        });
        candidates.truncate(MAX_CANDIDATES);
        let mut evidence = Evidence {
            candidates,
            participants: Vec::new(),
        };
        evidence.number_crashes();
        evidence
    }

    /// Give each crash a number, the same one in all records that have it.
    fn number_crashes(&mut self) {
        let mut known: BTreeMap<&TargetName, Vec<(&Crash, usize)>> = BTreeMap::new();
        for (place, candidate) in self.candidates.iter_mut().enumerate() {
            for crash in candidate.record.crashes() {
                let at_target = known.entry(&crash.target).or_default();
                let found = at_target.iter().find(|(other, _)| crash.is_same(other));
                let number = match found {
                    Some((_, number)) => *number,
                    None => {
                        let number = self.participants.len();
                        self.participants.push(Vec::new());
                        at_target.push((crash, number));
                        number
                    }
                };
                candidate.crashes.push(number);
                self.participants[number].push(place);
            }
        }
    }

    /// Get the suspects that have just these crashes.
    fn with_crashes(&self, crashes: &[usize]) -> impl Iterator<Item = CrashSuspect> {
        let alike = self.candidates.iter();
        let alike = alike.filter(move |candidate| candidate.crashes == crashes);
        alike.map(|candidate| candidate.suspect)
    }

    /// Get the weight of the crashes of a candidate that nothing else explains: neither a
    /// group that is to blame, nor a suspect with other crashes, but not fewer.
    fn own_weight(&self, candidate: &Candidate, groups: &[CulpritGroup]) -> usize {
        let others: Vec<&CulpritGroup> = groups
            .iter()
            .filter(|group| !group.contains(candidate.suspect))
            .collect();
        let is_explained = |number: &usize| {
            let participants = self.participants[*number].iter();
            let mut participants = participants.map(|place| &self.candidates[*place]);
            participants.any(|other| {
                let is_likelier =
                    other.weight >= candidate.weight && other.crashes != candidate.crashes;
                is_likelier || others.iter().any(|group| group.contains(other.suspect))
            })
        };
        let crashes = candidate.record.crashes().iter().zip(&candidate.crashes);
        let own = crashes.filter(|(_, number)| !is_explained(number));
        candidate.record.weight_of(own.map(|(crash, _)| crash))
    }
}

/// Get the groups that are to blame now. A group that was to blame before stays so while
/// its suspects have their crashes.
pub(super) fn review(records: &Records, before: &[CulpritGroup]) -> Vec<CulpritGroup> {
    let evidence = Evidence::of(records, before);
    let is_open = |suspect| {
        let record = records.get(&suspect);
        record.is_some_and(SuspectRecord::may_be_quarantined)
    };
    let mut groups: Vec<CulpritGroup> = before.to_vec();
    groups.retain(|group| group.members().all(is_open));
    for group in &mut groups {
        group.extend(&evidence);
    }
    for candidate in &evidence.candidates {
        if evidence.own_weight(candidate, &groups) < QUARANTINE_CRASHES {
            continue;
        }
        let group = CulpritGroup(evidence.with_crashes(&candidate.crashes).collect());
        if groups.iter().any(|known| known.0.is_subset(&group.0)) {
            continue;
        }
        groups.retain(|known| !known.0.is_superset(&group.0));
        groups.push(group);
    }
    groups
}
