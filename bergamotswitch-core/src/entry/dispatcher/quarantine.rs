//! Provides the quarantine of requests whose runs crash their targets.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::EntryDispatcher;
use crate::clock::Moment;
use crate::entry::attempt::{AttemptStage, RunningAttempt};
use crate::entry::request_table::{LiveEntry, RequestRecord};
use crate::entry::{Conclusion, EntryAction};
use crate::host::HostName;
use crate::incident::Incident;
use crate::pool::PoolShard;
use crate::quarantine::{Admission, CrashReport, PendingReport, RequestSuspects, TrialPrecedence};
use crate::refusal::{RefusalReason, RunClaim};

impl EntryDispatcher {
    /// Take the reports of crashes that changed since the last call.
    pub fn take_crash_reports(&mut self, now: Moment) -> Vec<PendingReport> {
        self.crashes.take_unsent(now)
    }

    /// Get the reports of crashes for a host that knows none.
    pub fn crash_reports(&self, now: Moment) -> Vec<CrashReport> {
        self.crashes.reports(now)
    }

    /// Get the owners of the shards that this host uses.
    pub fn owner_hosts(&self) -> impl Iterator<Item = &HostName> {
        self.owners.values()
    }

    pub(super) fn merge_crashes(&mut self, now: Moment, reports: &[CrashReport]) {
        self.crashes.merge(now, reports);
    }

    /// Record that an attempt broke off with its target. An answer that was written for a
    /// while shows that the parts of its prompt are sound.
    pub(super) fn record_crash(
        &mut self,
        now: Moment,
        record: &RequestRecord,
        running: &RunningAttempt,
    ) {
        let attempt = running.permit.attempt;
        let target = &running.permit.target;
        match running.writes_long(now) {
            true => {
                let call = record.suspects.call();
                self.crashes.record_crash(now, &call, attempt, target);
            }
            false => self
                .crashes
                .record_crash(now, &record.suspects, attempt, target),
        }
    }

    /// Record that an attempt has its complete answer.
    pub(super) fn record_answer(
        &mut self,
        now: Moment,
        record: &RequestRecord,
        running: &RunningAttempt,
    ) {
        let began = running.first_token_at.unwrap_or(running.started_at);
        self.crashes
            .record_sound(now, began, record.suspects.iter());
    }

    /// Record an attempt whose answer has been written for a while.
    pub(super) fn record_progress(
        &mut self,
        now: Moment,
        record: &RequestRecord,
        running: &mut RunningAttempt,
    ) {
        if running.is_recorded_sound || !running.writes_long(now) {
            return;
        }
        running.is_recorded_sound = true;
        let began = running.first_token_at.unwrap_or(running.started_at);
        self.crashes
            .record_sound(now, began, record.suspects.parts());
    }

    /// Record the end of a request that may have been a trial. One that did not run proved
    /// nothing.
    pub(super) fn end_trial(&mut self, record: &RequestRecord, conclusion: &Conclusion) {
        let has_run = match conclusion {
            Conclusion::Refused(refusal) => refusal.claim() != RunClaim::NotRun,
            Conclusion::Answered | Conclusion::TargetError => true,
        };
        if record.admission == Admission::Trial && !has_run {
            self.crashes.end_trial(&record.suspects);
        }
    }

    /// Check whether a request may run.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should retry.
    pub(super) fn admit_request(
        &mut self,
        now: Moment,
        suspects: &RequestSuspects,
        shard: &PoolShard,
        actions: &mut Vec<EntryAction>,
    ) -> Result<Admission, Duration> {
        let host = &self.identity.host;
        let precedence = match self.owners.get(shard) == Some(host) {
            true => TrialPrecedence::Owner,
            false => TrialPrecedence::Other(xxh3_64(host.as_str().as_bytes())),
        };
        let admission = self.crashes.admit(now, suspects, precedence)?;
        if admission == Admission::Trial
            && let Some(change) = self.crashes.quarantine_of(suspects)
        {
            actions.push(EntryAction::LogCrashes(Incident::RequestTried, change));
        }
        Ok(admission)
    }

    /// Log the quarantines that have begun or ended, and refuse requests that wait.
    pub(super) fn review_quarantine(&mut self, now: Moment, actions: &mut Vec<EntryAction>) {
        self.crashes.expire(now);
        let changes = self.crashes.take_changes();
        if changes.iter().any(|change| change.has_begun) {
            self.refuse_waiting(now, actions);
        }
        for change in changes {
            let incident = match change.has_begun {
                true => Incident::RequestsQuarantined,
                false => Incident::RequestsReleased,
            };
            actions.push(EntryAction::LogCrashes(incident, change));
        }
    }

    fn refuse_waiting(&mut self, now: Moment, actions: &mut Vec<EntryAction>) {
        for id in self.requests.waiting_ids() {
            let Some(entry) = self.requests.take(id) else {
                continue;
            };
            match entry.stage {
                AttemptStage::Waiting(waiting)
                    if self.crashes.is_quarantined(&entry.record.suspects) =>
                {
                    self.withdraw(&entry.record, waiting.requested_from.as_ref(), actions);
                    let refusal = waiting.state.refuse(RefusalReason::Quarantined);
                    let retry_after = self.crashes.retry_after(now, &entry.record.suspects);
                    let refusal = refusal.with_retry_after(retry_after);
                    self.refuse(now, entry.record, refusal, actions);
                }
                stage => self.requests.put(LiveEntry { stage, ..entry }),
            }
        }
    }
}
