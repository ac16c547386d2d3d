//! Provides the table of suspects whose runs broke.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::blame::{self, CulpritGroup};
use super::sound_runs::SoundRuns;
use super::suspect_record::{Crash, SuspectRecord};
use super::trial::{TRIAL_RETRY, TrialRequest};
use super::{Admission, CrashReport, CrashSuspect, RequestSuspects, TrialPrecedence};
use crate::clock::Moment;
use crate::request::{AttemptId, PartId};
use crate::target::TargetName;

/// The time after the last change at which a suspect is forgotten.
const RETENTION: Duration = Duration::from_secs(600);

/// The interval at which the table is checked for suspects to forget.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of suspects in the table.
const MAX_SUSPECTS: usize = 1_024;

/// The maximum number of suspects in one message.
const MAX_REPORTS: usize = 64;

/// The maximum number of crashes in the report of a change. Earlier ones were reported
/// before.
const MAX_CHANGED_RUNS: usize = 8;

/// A `CrashTable` is a host's record of the suspects whose runs broke, at this host and,
/// by their reports, at others.
#[derive(Debug, Default)]
pub struct CrashTable {
    records: BTreeMap<CrashSuspect, SuspectRecord>,
    sound: SoundRuns,
    groups: Vec<CulpritGroup>,
    /// Whether the groups follow from the records as they are.
    is_reviewed: bool,
    unsent: BTreeSet<CrashSuspect>,
    changes: Vec<QuarantineChange>,
    expire_at: Moment,
}

/// A `PendingReport` is a report that has not been sent yet.
#[derive(Clone, Debug)]
pub struct PendingReport {
    /// The report.
    pub report: CrashReport,
    /// Whether it is for all hosts, not only for the owners of shards.
    pub is_for_all: bool,
}

/// A `QuarantineChange` is the start or end of the quarantine of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The suspects of the group.
    pub suspects: Vec<CrashSuspect>,
    /// The parts of prompts that they stand for, as far as this host knows them.
    pub parts: Vec<PartId>,
    /// The targets that crashed.
    pub targets: Vec<TargetName>,
    /// Whether the quarantine has begun.
    pub has_begun: bool,
}

impl CrashTable {
    /// Record a run that broke.
    pub fn record_crash(
        &mut self,
        now: Moment,
        suspects: &RequestSuspects,
        attempt: AttemptId,
        target: &TargetName,
    ) {
        for (suspect, part) in suspects.iter() {
            let crash = Crash {
                run: xxh3_64(attempt.to_string().as_bytes()),
                target: target.clone(),
                at_ms: to_ms(now),
            };
            self.change(now, suspect, |record| {
                record.part = part;
                record.add(crash)
            });
        }
        self.review();
    }

    /// Record that a run which began to write at `began` went well under these suspects.
    /// They have not caused the crashes before it.
    pub fn record_sound(
        &mut self,
        now: Moment,
        began: Moment,
        suspects: impl Iterator<Item = (CrashSuspect, Option<PartId>)>,
    ) {
        for (suspect, _) in suspects {
            self.sound.insert(suspect, to_ms(began));
            let record = self.records.get(&suspect);
            if record.is_some_and(SuspectRecord::has_crashed) {
                self.change(now, suspect, |_| false);
            }
        }
        self.review();
    }

    /// Apply reports of another host.
    pub fn merge(&mut self, now: Moment, reports: &[CrashReport]) {
        for report in reports {
            self.change(now, report.suspect, |record| {
                record.merge(to_ms(now), report)
            });
        }
        self.review();
    }

    /// Check whether a request may run. Once its quarantine is over, one request is
    /// admitted as a trial, after a delay that `precedence` determines for this host.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should retry.
    pub fn admit(
        &mut self,
        now: Moment,
        suspects: &RequestSuspects,
        precedence: TrialPrecedence,
    ) -> Result<Admission, Duration> {
        let groups = self.groups.iter().filter(|group| group.covers(suspects));
        let members: Vec<CrashSuspect> = groups.flat_map(CulpritGroup::members).collect();
        if members.is_empty() {
            return Ok(Admission::Regular);
        }
        for (suspect, part) in suspects.iter() {
            if let Some(record) = self.records.get_mut(&suspect) {
                record.part = part;
                record.changed_at = now;
            }
        }
        let mut others = suspects.parts().filter(|(it, _)| !members.contains(it));
        let trial = TrialRequest {
            precedence,
            is_of_parts: !members.iter().any(|member| suspects.is_call(*member)),
            has_doubtful: others.any(|(suspect, _)| !self.is_sound(suspect)),
        };
        for member in &members {
            if let Some(record) = self.records.get(member) {
                record.check_trial(to_ms(now), *member, trial)?;
            }
        }
        for member in members {
            if let Some(record) = self.records.get_mut(&member) {
                record.begin_trial(to_ms(now));
                self.unsent.insert(member);
            }
        }
        Ok(Admission::Trial)
    }

    /// Get whether a run of a suspect went well here, and targets have not crashed since.
    fn is_sound(&self, suspect: CrashSuspect) -> bool {
        let record = self.records.get(&suspect);
        let has_crashed = record.is_some_and(SuspectRecord::has_crashed);
        self.sound.get(suspect).is_some() && !has_crashed
    }

    /// Record that the trial of a request has ended without a run.
    pub fn end_trial(&mut self, suspects: &RequestSuspects) {
        for (suspect, _) in suspects.iter() {
            if let Some(record) = self.records.get_mut(&suspect) {
                record.end_trial();
            }
        }
    }

    /// Get whether a request is quarantined.
    pub fn is_quarantined(&self, suspects: &RequestSuspects) -> bool {
        self.groups.iter().any(|group| group.covers(suspects))
    }

    /// Get the time after which the caller of a quarantined request should retry.
    pub fn retry_after(&self, now: Moment, suspects: &RequestSuspects) -> Duration {
        let groups = self.groups.iter().filter(|group| group.covers(suspects));
        let members: Vec<CrashSuspect> = groups.flat_map(CulpritGroup::members).collect();
        let is_of_parts = !members.iter().any(|member| suspects.is_call(*member));
        let records = members.iter().filter_map(|member| self.records.get(member));
        let waits = records.map(|record| record.retry_after(to_ms(now), is_of_parts));
        waits.max().unwrap_or(TRIAL_RETRY)
    }

    /// Get the quarantine of a request that is about to be tried, for the log.
    pub fn quarantine_of(&self, suspects: &RequestSuspects) -> Option<QuarantineChange> {
        let group = self.groups.iter().find(|group| group.covers(suspects))?;
        Some(self.describe(group, true))
    }

    /// Take the quarantines that have begun or ended since the last time.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Take the reports of suspects that changed, as many as fit into a message, those
    /// with the most crashes first. The others stay for the next time.
    pub fn take_unsent(&mut self, now: Moment) -> Vec<PendingReport> {
        let changed = self.unsent.iter();
        let changed = changed.filter_map(|suspect| Some((*suspect, self.records.get(suspect)?)));
        let pending = first_reports(changed.collect());
        let pending = pending.map(|(suspect, record)| PendingReport {
            report: record.report(to_ms(now), suspect, MAX_CHANGED_RUNS),
            is_for_all: record.is_shared,
        });
        let pending: Vec<PendingReport> = pending.collect();
        for sent in &pending {
            self.unsent.remove(&sent.report.suspect);
        }
        pending
    }

    /// Get the reports of all suspects, as many as fit into a message, those with the
    /// most crashes first.
    pub fn reports(&self, now: Moment) -> Vec<CrashReport> {
        let known = self.records.iter();
        let known = known.map(|(suspect, record)| (*suspect, record));
        let first = first_reports(known.collect());
        first
            .map(|(suspect, record)| record.report(to_ms(now), suspect, usize::MAX))
            .collect()
    }

    /// Forget the suspects that have not changed for the retention time.
    pub fn expire(&mut self, now: Moment) {
        if now < self.expire_at {
            return;
        }
        self.expire_at = now.plus(EXPIRY_INTERVAL);
        let count = self.records.len();
        let is_recent = |record: &SuspectRecord| now.since(record.changed_at) < RETENTION;
        self.records.retain(|_, record| is_recent(record));
        if self.records.len() < count {
            let records = &self.records;
            self.unsent.retain(|suspect| records.contains_key(suspect));
            self.is_reviewed = false;
            self.review();
        }
    }

    /// Get the number of groups of suspects in quarantine.
    pub fn quarantined(&self) -> usize {
        self.groups.len()
    }

    /// Get the number of suspects in the table.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Get whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Change a record, and apply what this host knows of sound runs. A suspect of which
    /// another host reports crashes may have had some here.
    fn change(
        &mut self,
        now: Moment,
        suspect: CrashSuspect,
        change: impl FnOnce(&mut SuspectRecord) -> bool,
    ) {
        if !self.records.contains_key(&suspect) && self.records.len() >= MAX_SUSPECTS {
            self.evict();
        }
        let sound_at_ms = self.sound.get(suspect);
        let record = self.records.entry(suspect).or_default();
        let was_open = record.may_be_quarantined();
        let is_cleared = sound_at_ms.is_some_and(|at_ms| record.clear(at_ms));
        let is_changed = change(record) || is_cleared;
        if !is_changed {
            if record.is_empty() {
                self.records.remove(&suspect);
            }
            return;
        }
        record.changed_at = now;
        let is_open = record.may_be_quarantined();
        self.unsent.insert(suspect);
        if was_open || is_open {
            self.is_reviewed = false;
        }
    }

    /// Find out who is to blame if the evidence has changed, and note which quarantines
    /// begin or end.
    fn review(&mut self) {
        if std::mem::replace(&mut self.is_reviewed, true) {
            return;
        }
        let groups = blame::review(&self.records, &self.groups);
        let before = std::mem::replace(&mut self.groups, groups);
        for group in &before {
            let goes_on =
                |known: &CulpritGroup| group.members().any(|member| known.contains(member));
            if !self.groups.iter().any(goes_on) {
                self.changes.push(self.describe(group, false));
            }
        }
        for group in self.groups.iter().filter(|group| !before.contains(group)) {
            self.changes.push(self.describe(group, true));
        }
    }

    fn describe(&self, group: &CulpritGroup, has_begun: bool) -> QuarantineChange {
        let records = || {
            group
                .members()
                .filter_map(|member| self.records.get(&member))
        };
        let parts: BTreeSet<PartId> = records().filter_map(|record| record.part).collect();
        let targets = records().next().into_iter();
        let targets = targets.flat_map(SuspectRecord::crashed_targets).cloned();
        QuarantineChange {
            suspects: group.members().collect(),
            parts: parts.into_iter().collect(),
            targets: targets.collect(),
            has_begun,
        }
    }

    /// Remove the suspect of the lowest rank.
    fn evict(&mut self) {
        let least = self.records.iter().min_by_key(|(_, record)| record.rank());
        if let Some(suspect) = least.map(|(suspect, _)| *suspect) {
            self.records.remove(&suspect);
            self.unsent.remove(&suspect);
        }
    }
}

/// Get the suspects of the highest ranks, as many as fit into a message.
fn first_reports(
    mut records: Vec<(CrashSuspect, &SuspectRecord)>,
) -> impl Iterator<Item = (CrashSuspect, &SuspectRecord)> {
    records.sort_by_key(|(_, record)| Reverse(record.rank()));
    records.into_iter().take(MAX_REPORTS)
}

fn to_ms(now: Moment) -> i64 {
    (now.as_micros() / 1_000) as i64
}
