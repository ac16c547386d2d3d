//! Provides what a host knows of the runs of one suspect.

use std::time::Duration;

use super::trial::{TRIAL_RETRY, TRIAL_SPACE_MS, TRIAL_TIMEOUT_MS, TrialRequest};
use super::{BrokenRun, CrashReport, CrashSuspect};
use crate::clock::Moment;
use crate::request::PartId;
use crate::target::TargetName;

/// The number of crashes after which a suspect may be quarantined.
pub(super) const QUARANTINE_CRASHES: usize = 3;

/// The time that the crashes of a quarantined suspect span at least, in milliseconds.
/// Targets that are lost together end all their runs at one moment.
const MIN_SPAN_MS: i64 = 200;

/// The time within which crashes under a suspect that had runs which went well count
/// once, in milliseconds.
const SOUND_GAP_MS: i64 = 250;

/// The number of crashes from which all hosts have to know a suspect.
const SHARED_CRASHES: usize = 2;

/// Runs that broke on one target within this time ended with one crash.
const CRASH_SPAN_MS: i64 = 2_000;

/// The time until the first trial of suspects that stand for parts alone. Many requests may
/// have a part that is blamed by mistake.
const PART_HOLD: Duration = Duration::from_secs(2);

/// The first quarantine, the factor of each further one, and the longest one.
const FIRST_HOLD: Duration = Duration::from_secs(30);
const HOLD_FACTOR: u32 = 4;
const MAX_HOLD: Duration = Duration::from_secs(600);

/// The number of failed trials, beyond one after [`PART_HOLD`], after which there are no
/// more.
const MAX_TRIALS: usize = 2;

/// A crash at least this long after the one before counts as a failed trial.
const TRIAL_GAP_MS: i64 = 20_000;

/// The maximum number of crashes that are kept of a suspect. Those of the guilty one
/// explain the crashes of all others.
const MAX_CRASHES: usize = 64;

/// A `Crash` is a broken run on this host's clock. Its time is negative if it happened
/// before this process started.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) run: u64,
    pub(super) target: TargetName,
    pub(super) at_ms: i64,
}

impl Crash {
    /// Get whether two broken runs ended with the same crash of a target.
    pub(super) fn is_same(&self, other: &Crash) -> bool {
        (self.at_ms - other.at_ms).abs() < CRASH_SPAN_MS && self.target == other.target
    }
}

/// A `SuspectRecord` is what is known of the runs of one suspect.
#[derive(Debug, Default)]
pub(super) struct SuspectRecord {
    /// The crashes since the last run that went well, oldest first.
    crashes: Vec<Crash>,
    /// When the last run that went well began to write.
    sound_at_ms: Option<i64>,
    tried_at_ms: Option<i64>,
    /// The part of the prompt that the suspect stands for, if this host knows it.
    pub(super) part: Option<PartId>,
    pub(super) changed_at: Moment,
    /// Whether the suspect had so many crashes once that all hosts know it.
    pub(super) is_shared: bool,
}

impl SuspectRecord {
    pub(super) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Get the weight of all crashes.
    pub(super) fn weight(&self) -> usize {
        self.weight_of(self.crashes.iter())
    }

    /// Get the weight of some of the crashes as evidence. A suspect that had runs which
    /// went well is more likely to be a bystander.
    pub(super) fn weight_of<'a>(&self, crashes: impl Iterator<Item = &'a Crash>) -> usize {
        let mut count = 0;
        let mut spaced = 0;
        let mut first_ms = None;
        let mut counted_ms: Option<i64> = None;
        let mut last_ms = 0;
        for crash in crashes {
            count += 1;
            first_ms.get_or_insert(crash.at_ms);
            last_ms = crash.at_ms;
            if counted_ms.is_none_or(|at| crash.at_ms - at >= SOUND_GAP_MS) {
                counted_ms = Some(crash.at_ms);
                spaced += 1;
            }
        }
        let span_ms = last_ms - first_ms.unwrap_or(last_ms);
        match self.sound_at_ms {
            Some(_) => spaced,
            None if span_ms < MIN_SPAN_MS => count.min(QUARANTINE_CRASHES - 1),
            None => count,
        }
    }

    /// Get whether the suspect may be quarantined, if it caused its crashes.
    pub(super) fn may_be_quarantined(&self) -> bool {
        self.weight() >= QUARANTINE_CRASHES
    }

    pub(super) fn has_crashed(&self) -> bool {
        !self.crashes.is_empty()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.sound_at_ms.is_none()
    }

    /// Get the rank by which records are kept and reported: by crashes, then by the
    /// time of the last change.
    pub(super) fn rank(&self) -> (usize, Moment) {
        (self.crashes.len(), self.changed_at)
    }

    pub(super) fn crashed_targets(&self) -> impl Iterator<Item = &TargetName> {
        self.crashes.iter().map(|crash| &crash.target)
    }

    /// Add a crash. Get whether it was unknown.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        if self.sound_at_ms.is_some_and(|at| crash.at_ms <= at) {
            return false;
        }
        let is_known = |seen: &Crash| seen.run == crash.run || seen.is_same(&crash);
        if self.crashes.iter().any(is_known) {
            return false;
        }
        let at = self
            .crashes
            .partition_point(|seen| seen.at_ms <= crash.at_ms);
        self.crashes.insert(at, crash);
        if self.crashes.len() > MAX_CRASHES {
            // The first ones prove the quarantine, and the last one sets its end.
            self.crashes.remove(QUARANTINE_CRASHES);
        }
        self.is_shared |= self.crashes.len() >= SHARED_CRASHES;
        true
    }

    /// Record that a run which began to write at `at_ms` went well, which clears the
    /// crashes before it. Get whether that changes what other hosts should know.
    pub(super) fn clear(&mut self, at_ms: i64) -> bool {
        if self.sound_at_ms.is_some_and(|known| known >= at_ms) {
            return false;
        }
        let is_first = self.sound_at_ms.replace(at_ms).is_none();
        let count = self.crashes.len();
        self.crashes.retain(|crash| crash.at_ms > at_ms);
        let is_cleared = self.crashes.len() < count;
        if is_cleared {
            self.tried_at_ms = None;
        }
        is_first || is_cleared
    }

    /// Apply the report of another host. Get whether anything was unknown.
    pub(super) fn merge(&mut self, now_ms: i64, report: &CrashReport) -> bool {
        let mut changed = false;
        if let Some(age_ms) = report.answered_ms_ago {
            changed |= self.clear(now_ms - i64::from(age_ms));
        }
        for broken in report.runs.iter().take(MAX_CRASHES) {
            changed |= self.add(Crash {
                run: broken.run,
                target: broken.target.clone(),
                at_ms: now_ms - i64::from(broken.age_ms),
            });
        }
        if let Some(age_ms) = report.tried_ms_ago {
            changed |= self.merge_trial(now_ms - i64::from(age_ms));
        }
        changed
    }

    fn merge_trial(&mut self, at_ms: i64) -> bool {
        let is_new = |known: i64| at_ms - known >= TRIAL_SPACE_MS;
        if !self.may_be_quarantined() || !self.tried_at_ms.is_none_or(is_new) {
            return false;
        }
        self.tried_at_ms = Some(at_ms);
        true
    }

    /// Check whether the trial of a quarantined suspect may begin at this host.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should retry.
    pub(super) fn check_trial(
        &self,
        now_ms: i64,
        suspect: CrashSuspect,
        trial: TrialRequest,
    ) -> Result<(), Duration> {
        let begins_at_ms = self.released_at_ms(trial.is_of_parts) + trial.delay_ms(suspect);
        let has_trials = self.failed_trials() < MAX_TRIALS;
        if !has_trials || now_ms < begins_at_ms || self.is_in_trial(now_ms) {
            return Err(self.retry_after(now_ms, trial.is_of_parts));
        }
        Ok(())
    }

    /// Get whether a trial has neither ended with a crash nor timed out.
    fn is_in_trial(&self, now_ms: i64) -> bool {
        let last_ms = self.crashes.last().map_or(0, |crash| crash.at_ms);
        let is_open = |at_ms: i64| now_ms - at_ms < TRIAL_TIMEOUT_MS && last_ms <= at_ms;
        self.tried_at_ms.is_some_and(is_open)
    }

    /// Record the start of a trial.
    pub(super) fn begin_trial(&mut self, now_ms: i64) {
        self.tried_at_ms = Some(now_ms);
    }

    /// Record the end of a trial that did not run, so that another one may follow.
    pub(super) fn end_trial(&mut self) {
        self.tried_at_ms = None;
    }

    /// Get the time after which the caller of a quarantined request should retry.
    pub(super) fn retry_after(&self, now_ms: i64, is_of_parts: bool) -> Duration {
        if self.failed_trials() >= MAX_TRIALS {
            return MAX_HOLD;
        }
        match self.released_at_ms(is_of_parts) - now_ms {
            left_ms if left_ms > 0 => Duration::from_millis(left_ms as u64),
            _ => TRIAL_RETRY,
        }
    }

    fn failed_trials(&self) -> usize {
        let pairs = self.crashes.iter().zip(self.crashes.iter().skip(1));
        pairs
            .filter(|(first, next)| next.at_ms - first.at_ms >= TRIAL_GAP_MS)
            .count()
    }

    /// Get the time at which the quarantine ends, on this host's clock.
    fn released_at_ms(&self, is_of_parts: bool) -> i64 {
        let last = self.crashes.last().map_or(0, |crash| crash.at_ms);
        if is_of_parts && self.tried_at_ms.is_none() {
            return last + PART_HOLD.as_millis() as i64;
        }
        let factor = HOLD_FACTOR.saturating_pow(self.failed_trials() as u32);
        let hold = FIRST_HOLD.saturating_mul(factor).min(MAX_HOLD);
        last + hold.as_millis() as i64
    }

    /// Get the report for other hosts, with at most `max_runs` crashes, the newest ones.
    pub(super) fn report(
        &self,
        now_ms: i64,
        suspect: CrashSuspect,
        max_runs: usize,
    ) -> CrashReport {
        let age_ms = |at_ms: i64| u32::try_from(now_ms - at_ms).unwrap_or(0);
        let newest = self.crashes.len().saturating_sub(max_runs);
        let runs = self.crashes[newest..].iter().map(|crash| BrokenRun {
            run: crash.run,
            target: crash.target.clone(),
            age_ms: age_ms(crash.at_ms),
        });
        CrashReport {
            suspect,
            runs: runs.collect(),
            answered_ms_ago: self.sound_at_ms.map(age_ms),
            tried_ms_ago: self.tried_at_ms.map(age_ms),
        }
    }
}
