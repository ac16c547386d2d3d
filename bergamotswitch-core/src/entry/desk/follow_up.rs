//! Provides what follows an attempt that ended without a whole answer.

use super::EntryDispatcher;
use crate::clock::Moment;
use crate::entry::attempt::{RunningAttempt, WaitingLife};
use crate::entry::ledger::RequestRecord;
use crate::entry::options::Fault;
use crate::entry::request_state::NotRunProof;
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
        let life = running.life.unrun(NotRunProof::of_unsent(sent));
        let spent = self.try_reconnect(now, &mut record);
        self.follow(now, record, life, spent.map(|()| reason), actions);
    }

    /// Follow up an attempt that is proven not to have run.
    pub(super) fn retry_unrun(
        &mut self,
        now: Moment,
        mut record: RequestRecord,
        running: RunningAttempt,
        proof: NotRunProof,
        reason: RetryReason,
        actions: &mut Vec<EntryAction>,
    ) {
        record.avoid_target(&running.permit.target);
        let life = running.life.unrun(proof);
        let spent = self.try_retry(now, &record);
        self.follow(now, record, life, spent.map(|()| reason), actions);
    }

    /// Ask again where a retry was spent, for the reason of that retry; else give up.
    fn follow(
        &mut self,
        now: Moment,
        record: RequestRecord,
        life: WaitingLife,
        spent: Result<RetryReason, RefusalReason>,
        actions: &mut Vec<EntryAction>,
    ) {
        match spent {
            Ok(reason) => self.ask_again(now, record, life, reason, actions),
            Err(refusal) => self.exhaust(now, record, life, refusal, actions),
        }
    }

    /// Follow up an attempt that may have run.
    pub(super) fn retry_run(
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
                let life = running.life.rerun();
                self.ask_again(now, record, life, failure.reason, actions);
            }
            Err(reason) => {
                count_waste(&record, WasteCause::Failed, prefill, actions);
                let life = running.life.rerun();
                self.exhaust(now, record, life, reason, actions);
            }
        }
    }

    /// Let another run carry a silent stream on, where one may begin now. Where
    /// none may, its target is waited for: its next event may be on its way, and
    /// to break off would lose its caller an answer that is being made.
    pub(super) fn carry_on(
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
        self.abort_silent(now, &record, &running, actions);
        let life = running.life.rerun();
        self.ask_again(now, record, life, RetryReason::ConnectionBroke, actions);
    }

    /// Get whether another run may follow one that may have run: not where it
    /// would do harm, nor where a caller has seen some of an answer.
    pub(super) fn may_run_again(&self, record: &RequestRecord, running: &RunningAttempt) -> bool {
        if self.options.has_fault(Fault::RetryAfterDispatch) {
            return true;
        }
        let unseen = record.submission.options.resumable || !passed_on(record, running);
        record.may_rerun() && record.may_run_elsewhere() && unseen
    }

    fn exhaust(
        &mut self,
        now: Moment,
        record: RequestRecord,
        life: WaitingLife,
        reason: RefusalReason,
        actions: &mut Vec<EntryAction>,
    ) {
        let refusal = match reason {
            RefusalReason::RetriesExhausted => life
                .refuse(reason)
                .with_retry_after(self.options.retry_after),
            RefusalReason::Stopping => self.elsewhere(now, life.refuse(reason)),
            reason => life.refuse(reason),
        };
        self.refuse(now, record, refusal, actions);
    }

    pub(super) fn give_up(&self, running: RunningAttempt, reason: RefusalReason) -> Refusal {
        match self.options.has_fault(Fault::NotRunAfterWrite) {
            true => Refusal::before_acceptance(reason),
            false => running.life.give_up(reason),
        }
    }
}

/// Get whether a caller may have seen some of the answer.
pub(super) fn passed_on(record: &RequestRecord, running: &RunningAttempt) -> bool {
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
