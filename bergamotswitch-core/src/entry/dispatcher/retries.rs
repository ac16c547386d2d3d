//! Provides what follows an attempt that ended without a whole answer.

use super::EntryDispatcher;
use crate::clock::Moment;
use crate::entry::attempt::{RunningAttempt, WaitingState};
use crate::entry::options::Fault;
use crate::entry::request_state::NotRunProof;
use crate::entry::request_table::RequestRecord;
use crate::entry::{EntryAction, NotSentReason};
use crate::permit::Usage;
use crate::refusal::{Refusal, RefusalReason, RetryReason, WasteCause};

/// A `FailedAttempt` is what an attempt leaves behind that may have run.
pub(super) struct FailedAttempt {
    pub(super) reason: RetryReason,
    pub(super) refusal: RefusalReason,
    pub(super) usage: Usage,
}

impl EntryDispatcher {
    /// Follow up an attempt that reached no target.
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
        let spent = self.try_reconnect(now, &mut record);
        self.retry_or_refuse(now, record, state, spent.map(|()| reason), actions);
    }

    /// Follow up an attempt that is proven not to have run.
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
        let spent = self.try_retry(now, &record);
        self.retry_or_refuse(now, record, state, spent.map(|()| reason), actions);
    }

    /// Ask again where a retry was spent, for the reason of that retry; else give up.
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

    /// Follow up an attempt that may have run.
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
        match self.try_retry(now, &record) {
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

    /// Let another run carry a silent stream on, where one may begin now. Where
    /// none may, its target is waited for: its next event may be on its way, and
    /// to break off would lose its caller an answer that is being made.
    pub(super) fn replace_stalled(
        &mut self,
        now: Moment,
        mut record: RequestRecord,
        running: RunningAttempt,
        actions: &mut Vec<EntryAction>,
    ) {
        record.runs = record.runs.saturating_add(1);
        let may_follow = self.may_run_again(&record, &running);
        if !may_follow || self.try_retry(now, &record).is_err() {
            record.runs -= 1;
            return self.put_back(record, running);
        }
        record.avoid_target(&running.permit.target);
        self.abort_stalled(now, &record, &running, actions);
        let state = running.state.rerun();
        self.retry(now, record, state, RetryReason::ConnectionBroke, actions);
    }

    /// Get whether another run may follow one that may have run: not where it
    /// would do harm, nor where a caller has seen some of an answer.
    pub(super) fn may_run_again(&self, record: &RequestRecord, running: &RunningAttempt) -> bool {
        if self.options.has_fault(Fault::RetryAfterDispatch) {
            return true;
        }
        let unseen = record.submission.options.resumable || !has_streamed(record, running);
        record.may_rerun() && record.may_run_elsewhere() && unseen
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

/// Get whether a caller may have seen some of the answer.
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
