//! Provides the ways in which an attempt in flight is stopped: for a higher
//! tier, for a caller that left, past a deadline that nobody waits for.

use super::EntryDispatcher;
use super::follow_up::{count_waste, passed_on};
use crate::clock::Moment;
use crate::entry::EntryAction;
use crate::entry::attempt::{AttemptStage, RunningAttempt};
use crate::entry::ledger::{LiveEntry, RequestRecord};
use crate::permit::{PermitId, ReleaseOutcome};
use crate::refusal::{RefusalReason, RetryReason, WasteCause};
use crate::request::{AttemptId, RequestId};

/// An `AbortEnd` is why a request ends with the attempt that is stopped.
pub(super) struct AbortEnd {
    cause: WasteCause,
    reason: RefusalReason,
}

impl AbortEnd {
    pub(super) fn new(cause: WasteCause, reason: RefusalReason) -> Self {
        AbortEnd { cause, reason }
    }
}

impl EntryDispatcher {
    /// Stop an attempt for work of a higher tier, where that does no harm.
    pub(super) fn preempt(
        &mut self,
        now: Moment,
        permit: PermitId,
        attempt: AttemptId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(entry) = self.ledger.take_attempt(attempt) else {
            return;
        };
        let LiveEntry { mut record, stage } = entry;
        match stage {
            AttemptStage::Running(running)
                if running.permit.id == permit
                    && self.is_preemptible(&record)
                    && !passed_on(&record, &running) =>
            {
                self.abort(now, &record, &running, WasteCause::Preemption, actions);
                record.preemptions = record.preemptions.saturating_add(1);
                let life = running.life.rerun();
                self.ask_again(now, record, life, RetryReason::Preempted, actions);
            }
            stage => self.ledger.put(LiveEntry { record, stage }),
        }
    }

    /// The last caller that followed a request left.
    pub(super) fn caller_left(
        &mut self,
        now: Moment,
        id: RequestId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(entry) = self.ledger.take(id) else {
            return;
        };
        let LiveEntry { mut record, stage } = entry;
        match stage {
            AttemptStage::Waiting(waiting) => {
                self.withdraw(&record, waiting.asked.as_ref(), actions);
                let refusal = waiting.life.refuse(RefusalReason::CallerLeft);
                self.refuse(now, record, refusal, actions);
            }
            AttemptStage::Running(running) if record.outlives_caller() => {
                record.followed = false;
                self.put_back(record, running);
            }
            AttemptStage::Running(running) => {
                let end = AbortEnd::new(WasteCause::CallerLeft, RefusalReason::CallerLeft);
                self.abort_for_good(now, record, running, end, actions);
            }
        }
    }

    /// Stop an attempt whose deadline passed and that no caller follows.
    pub(super) fn stop_late(
        &mut self,
        now: Moment,
        record: RequestRecord,
        running: RunningAttempt,
        actions: &mut Vec<EntryAction>,
    ) {
        let end = AbortEnd::new(WasteCause::Late, RefusalReason::DeadlinePassed);
        self.abort_for_good(now, record, running, end, actions);
    }

    /// Stop an attempt whose answer is longer than one may be. An engine that
    /// never ends would otherwise take all memory, and the process would die
    /// with every request in it. No other run follows: it would end alike.
    pub(super) fn stop_overlong(
        &mut self,
        now: Moment,
        id: RequestId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(entry) = self.ledger.take(id) else {
            return;
        };
        let LiveEntry { record, stage } = entry;
        match stage {
            AttemptStage::Running(running) => {
                let end = AbortEnd::new(WasteCause::Failed, RefusalReason::AnswerTruncated);
                self.abort_for_good(now, record, running, end, actions);
            }
            stage => self.ledger.put(LiveEntry { record, stage }),
        }
    }

    /// Stop an attempt that no other one follows, and tell its caller.
    pub(super) fn abort_for_good(
        &mut self,
        now: Moment,
        record: RequestRecord,
        running: RunningAttempt,
        end: AbortEnd,
        actions: &mut Vec<EntryAction>,
    ) {
        self.abort(now, &record, &running, end.cause, actions);
        let refusal = self.give_up(running, end.reason);
        self.refuse(now, record, refusal, actions);
    }

    /// Stop an attempt whose target is silent; its owner counts it as failed.
    pub(super) fn abort_silent(
        &mut self,
        now: Moment,
        record: &RequestRecord,
        running: &RunningAttempt,
        actions: &mut Vec<EntryAction>,
    ) {
        let usage = running.usage(now, record.submission.cost.prefill);
        let outcome = ReleaseOutcome::Failed(usage);
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
