//! Provides the handling of attempts that ended without a complete answer.

use super::EntryDispatcher;
use crate::clock::Moment;
use crate::entry::attempt::{RunningAttempt, WaitingState};
use crate::entry::options::Fault;
use crate::entry::request_state::NotRunProof;
use crate::entry::request_table::RequestRecord;
use crate::entry::{EntryAction, NotSentReason};
use crate::permit::Usage;
use crate::refusal::{Refusal, RefusalReason, RetryReason, RunClaim, WasteCause};

/// A `FailedAttempt` is a failed attempt that may have run.
pub(super) struct FailedAttempt {
    pub(super) reason: RetryReason,
    pub(super) refusal: RefusalReason,
    pub(super) usage: Usage,
}

impl EntryDispatcher {
    /// Retry a request whose attempt never reached its target.
    pub(super) fn retry_unsent(
        &mut self,
        now: Moment,
        mut record: RequestRecord,
        running: RunningAttempt,
        sent: NotSentReason,
        reason: RetryReason,
        actions: &mut Vec<EntryAction>,
    ) {
        record.avoid_target(&running.permit.target);
        let state = running.state.prove_not_run(NotRunProof::of_unsent(sent));
        let spent = self.try_reconnect(now, &mut record, state.run_claim());
        self.retry_or_refuse(now, record, state, spent.map(|()| reason), actions);
    }

    /// Retry a request whose attempt provably did not run.
    pub(super) fn retry_not_run(
        &mut self,
        now: Moment,
        mut record: RequestRecord,
        running: RunningAttempt,
        proof: NotRunProof,
        reason: RetryReason,
        actions: &mut Vec<EntryAction>,
    ) {
        record.avoid_target(&running.permit.target);
        let state = running.state.prove_not_run(proof);
        let spent = self.try_retry(now, &record, state.run_claim());
        self.retry_or_refuse(now, record, state, spent.map(|()| reason), actions);
    }

    /// Retry a request if a retry was spent, and refuse it otherwise.
    fn retry_or_refuse(
        &mut self,
        now: Moment,
        record: RequestRecord,
        state: WaitingState,
        spent: Result<RetryReason, RefusalReason>,
        actions: &mut Vec<EntryAction>,
    ) {
        match spent {
            Ok(reason) => self.retry(now, record, state, reason, actions),
            Err(refusal) => self.refuse_retry(now, record, state, refusal, actions),
        }
    }

    /// Retry a request whose attempt may have run, if that is allowed.
    pub(super) fn retry_uncertain(
        &mut self,
        now: Moment,
        mut record: RequestRecord,
        running: RunningAttempt,
        failure: FailedAttempt,
        actions: &mut Vec<EntryAction>,
    ) {
        let prefill = failure.usage.prefill;
        record.runs = record.runs.saturating_add(1);
        if !self.may_run_again(&record, &running) {
            count_waste(&record, WasteCause::Failed, prefill, actions);
            let refusal = self.give_up(running, failure.refusal);
            return self.refuse(now, record, refusal, actions);
        }
        record.avoid_target(&running.permit.target);
        match self.try_retry(now, &record, RunClaim::Unknown) {
            Ok(()) => {
                count_waste(&record, WasteCause::Retry, prefill, actions);
                let state = running.state.rerun();
                self.retry(now, record, state, failure.reason, actions);
            }
            Err(reason) => {
                count_waste(&record, WasteCause::Failed, prefill, actions);
                let state = running.state.rerun();
                self.refuse_retry(now, record, state, reason, actions);
            }
        }
    }

    /// Get whether a request may be retried after an attempt that may have run.
    /// It may not if it is not idempotent, or if its caller has received part
    /// of an answer that cannot be resumed.
    pub(super) fn may_run_again(&self, record: &RequestRecord, running: &RunningAttempt) -> bool {
        if self.options.has_fault(Fault::RetryAfterDispatch) {
            return true;
        }
        let unseen = record.submission.options.resumable || !has_streamed(record, running);
        record.may_rerun()
            && record.may_run_elsewhere()
            && unseen
            && self.may_continue(record, running)
    }

    fn refuse_retry(
        &mut self,
        now: Moment,
        record: RequestRecord,
        state: WaitingState,
        reason: RefusalReason,
        actions: &mut Vec<EntryAction>,
    ) {
        let refusal = match reason {
            RefusalReason::Quarantined => state
                .refuse(reason)
                .with_retry_after(self.crashes.retry_after(now, &record.suspects)),
            RefusalReason::RetriesExhausted => state
                .refuse(reason)
                .with_retry_after(self.options.retry_after),
            RefusalReason::Stopping => self.with_stop_retry_after(now, state.refuse(reason)),
            reason => state.refuse(reason),
        };
        self.refuse(now, record, refusal, actions);
    }

    pub(super) fn give_up(&self, running: RunningAttempt, reason: RefusalReason) -> Refusal {
        match self.options.has_fault(Fault::NotRunAfterWrite) {
            true => Refusal::before_acceptance(reason),
            false => running.state.give_up(reason),
        }
    }
}

/// Get whether the caller may have received part of the answer.
pub(super) fn has_streamed(record: &RequestRecord, running: &RunningAttempt) -> bool {
    record.submission.streaming && running.first_token_at.is_some()
}

pub(super) fn count_waste(
    record: &RequestRecord,
    cause: WasteCause,
    prefill: u32,
    actions: &mut Vec<EntryAction>,
) {
    if prefill > 0 {
        let tier = record.submission.verdict.tier;
        actions.push(EntryAction::CountWaste(tier, cause, prefill));
    }
}
