//! Provides the handling of attempts that are stopped in flight: preemption,
//! disconnected callers, passed deadlines and oversized answers.

use super::EntryDispatcher;
use super::retries::{count_waste, has_streamed};
use crate::clock::Moment;
use crate::entry::EntryAction;
use crate::entry::attempt::{AttemptStage, RunningAttempt};
use crate::entry::request_table::{LiveEntry, RequestRecord};
use crate::permit::{PermitId, ReleaseOutcome};
use crate::refusal::{RefusalReason, RetryReason, WasteCause};
use crate::request::{AttemptId, RequestId};

/// An `AbortReason` is why a request ends together with its aborted attempt.
pub(super) struct AbortReason {
    cause: WasteCause,
    reason: RefusalReason,
}

impl AbortReason {
    pub(super) fn new(cause: WasteCause, reason: RefusalReason) -> Self {
        AbortReason { cause, reason }
    }
}

impl EntryDispatcher {
    /// Abort an attempt in favor of a higher tier, if it can be rerun safely and
    /// may start again.
    pub(super) fn preempt(
        &mut self,
        now: Moment,
        permit: PermitId,
        attempt: AttemptId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(entry) = self.requests.take_attempt(attempt) else {
            return;
        };
        let LiveEntry { mut record, stage } = entry;
        match stage {
            AttemptStage::Running(running)
                if running.permit.id == permit
                    && self.is_preemptible(&record)
                    && self.may_start(&record.submission, record.deadline)
                    && !has_streamed(&record, &running) =>
            {
                self.abort(now, &record, &running, WasteCause::Preemption, actions);
                record.preemptions = record.preemptions.saturating_add(1);
                let state = running.state.rerun();
                self.retry(now, record, state, RetryReason::Preempted, actions);
            }
            stage => self.requests.put(LiveEntry { record, stage }),
        }
    }

    /// Handle the disconnect of the last caller that followed a request.
    pub(super) fn on_caller_disconnected(
        &mut self,
        now: Moment,
        id: RequestId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(entry) = self.requests.take(id) else {
            return;
        };
        let LiveEntry { mut record, stage } = entry;
        match stage {
            AttemptStage::Waiting(waiting) => {
                self.withdraw(&record, waiting.requested_from.as_ref(), actions);
                let refusal = waiting.state.refuse(RefusalReason::CallerLeft);
                self.refuse(now, record, refusal, actions);
            }
            AttemptStage::Running(running) if record.outlives_caller() => {
                record.followed = false;
                self.put_back(record, running);
            }
            AttemptStage::Running(running) => {
                let end = AbortReason::new(WasteCause::CallerLeft, RefusalReason::CallerLeft);
                self.abort_and_refuse(now, record, running, end, actions);
            }
        }
    }

    /// Abort an attempt whose deadline passed and that no caller follows.
    pub(super) fn abort_overdue(
        &mut self,
        now: Moment,
        record: RequestRecord,
        running: RunningAttempt,
        actions: &mut Vec<EntryAction>,
    ) {
        let end = AbortReason::new(WasteCause::Late, RefusalReason::DeadlinePassed);
        self.abort_and_refuse(now, record, running, end, actions);
    }

    /// Abort an attempt whose answer exceeds the size limit. An engine that
    /// never stops generating would otherwise exhaust the memory of the
    /// process. There is no retry, as another run would exceed the limit as
    /// well.
    pub(super) fn abort_too_long(
        &mut self,
        now: Moment,
        id: RequestId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(entry) = self.requests.take(id) else {
            return;
        };
        let LiveEntry { record, stage } = entry;
        match stage {
            AttemptStage::Running(running) => {
                let end = AbortReason::new(WasteCause::Failed, RefusalReason::AnswerTruncated);
                self.abort_and_refuse(now, record, running, end, actions);
            }
            stage => self.requests.put(LiveEntry { record, stage }),
        }
    }

    /// Abort an attempt and refuse its request without a retry.
    pub(super) fn abort_and_refuse(
        &mut self,
        now: Moment,
        record: RequestRecord,
        running: RunningAttempt,
        end: AbortReason,
        actions: &mut Vec<EntryAction>,
    ) {
        self.abort(now, &record, &running, end.cause, actions);
        let refusal = self.give_up(running, end.reason);
        self.refuse(now, record, refusal, actions);
    }

    /// Abort an attempt whose stream has stalled. Its owner counts it as
    /// failed, unless the path to the target may have.
    pub(super) fn abort_stalled(
        &mut self,
        now: Moment,
        record: &RequestRecord,
        running: &RunningAttempt,
        actions: &mut Vec<EntryAction>,
    ) {
        let usage = running.usage(now, record.submission.cost.prefill);
        let outcome = match running.tunnel_host() {
            // The tunnel may have stalled in place of the target.
            Some(host) => {
                self.paths.exclude(now, host);
                ReleaseOutcome::Stopped(usage)
            }
            None => self.broken_outcome(running, usage),
        };
        self.abort_as(now, record, running, outcome, actions);
        count_waste(record, WasteCause::Retry, usage.prefill, actions);
    }

    fn abort(
        &mut self,
        now: Moment,
        record: &RequestRecord,
        running: &RunningAttempt,
        cause: WasteCause,
        actions: &mut Vec<EntryAction>,
    ) {
        let usage = running.usage(now, record.submission.cost.prefill);
        let outcome = ReleaseOutcome::Stopped(usage);
        self.abort_as(now, record, running, outcome, actions);
        count_waste(record, cause, usage.prefill, actions);
    }

    fn abort_as(
        &mut self,
        now: Moment,
        record: &RequestRecord,
        running: &RunningAttempt,
        outcome: ReleaseOutcome,
        actions: &mut Vec<EntryAction>,
    ) {
        actions.push(EntryAction::Abort {
            attempt: record.attempt_id(),
            cancel: true,
        });
        self.release(now, record, running, outcome, actions);
    }
}
