//! Provides permit requests, their retransmission and the limits on retries.

use super::EntryDispatcher;
use crate::call_signature::CallSignature;
use crate::clock::Moment;
use crate::entry::EntryAction;
use crate::entry::attempt::{AttemptStage, WaitingAttempt, WaitingState, to_millis};
use crate::entry::request_table::{LiveEntry, PermitQuery, RequestRecord};
use crate::host::HostName;
use crate::incident::Incident;
use crate::permit::{KeyClaim, OwnerMessage, PermitRequest};
use crate::refusal::{RefusalReason, RetryReason, RunClaim};
use crate::retry::RetryBudget;

/// The maximum number of failed connections of one request that do not cost a
/// retry. Beyond this number, the fault is probably local to this host.
const MAX_RECONNECTS: u16 = 8;

/// Get the time from acceptance within which the answer should begin, in
/// milliseconds, or `None` if only the deadline limits the wait. It does not
/// apply to a request that was dispatched before: its retry waits until the
/// deadline.
fn first_token_limit_ms(record: &RequestRecord) -> Option<u32> {
    let first_token_limit = record.submission.options.first_token_limit?;
    (record.dispatches == 0).then(|| to_millis(first_token_limit))
}

impl EntryDispatcher {
    /// Put a request into the waiting stage and send a permit request to the
    /// shard's owner, if one is known.
    pub(super) fn request_permit(
        &mut self,
        now: Moment,
        record: RequestRecord,
        state: WaitingState,
        actions: &mut Vec<EntryAction>,
    ) {
        if let Some(until) = self.pool_closed_until(now, &record) {
            return self.refuse_closed(now, record, state, until, actions);
        }
        let requested_from = self.owners.get(&record.shard).cloned();
        if let Some(owner) = &requested_from {
            self.send_permit_request(now, owner, record.permit_query(), actions);
        }
        let waiting = WaitingAttempt {
            state,
            requested_from,
            requested_at: now,
            resends: 0,
        };
        self.requests.put(LiveEntry {
            record,
            stage: AttemptStage::Waiting(waiting),
        });
    }

    /// Refuse a request because no target of its pool accepts requests of this host before
    /// `until`.
    pub(super) fn refuse_closed(
        &mut self,
        now: Moment,
        record: RequestRecord,
        state: WaitingState,
        until: Moment,
        actions: &mut Vec<EntryAction>,
    ) {
        let (reason, wait) = match until {
            Moment::NEVER => (RefusalReason::NoTarget, self.options.retry_after),
            until => (RefusalReason::Overloaded, until.since(now)),
        };
        let refusal = state.refuse(reason).with_retry_after(wait);
        self.refuse(now, record, refusal, actions);
    }

    /// Send the permit request of an attempt again, as it or its permit may be
    /// lost. The owner treats it as idempotent.
    fn resend_request(
        &mut self,
        now: Moment,
        record: RequestRecord,
        waiting: WaitingAttempt,
        actions: &mut Vec<EntryAction>,
    ) {
        if let Some(owner) = &waiting.requested_from {
            self.send_permit_request(now, owner, record.permit_query(), actions);
        }
        let waiting = WaitingAttempt {
            requested_at: now,
            resends: waiting.resends.saturating_add(1),
            ..waiting
        };
        self.requests.put(LiveEntry {
            record,
            stage: AttemptStage::Waiting(waiting),
        });
    }

    pub(super) fn send_permit_request(
        &self,
        now: Moment,
        owner: &HostName,
        query: PermitQuery<'_>,
        actions: &mut Vec<EntryAction>,
    ) {
        let record = query.record;
        let request = self.permit_request(now, query);
        if let Some(origin) = &record.stream {
            let message = OwnerMessage::Stream {
                shard: query.shard.clone(),
                attempt: request.attempt,
                origin: origin.clone(),
            };
            actions.push(EntryAction::Send(owner.clone(), message));
        }
        // A call that was dispatched before was not refused.
        if self.options.sends_signatures && record.dispatches == 0 {
            let message = OwnerMessage::Signature {
                shard: query.shard.clone(),
                attempt: request.attempt,
                signature: CallSignature::of(&record.submission),
            };
            actions.push(EntryAction::Send(owner.clone(), message));
        }
        let message = OwnerMessage::PermitRequest(Box::new(request));
        actions.push(EntryAction::Send(owner.clone(), message));
    }

    fn permit_request(&self, now: Moment, query: PermitQuery<'_>) -> PermitRequest {
        let record = query.record;
        let submission = &record.submission;
        PermitRequest {
            attempt: query.attempt,
            shard: query.shard.clone(),
            tier: submission.verdict.tier,
            account: submission.account.clone(),
            share: submission.verdict.share,
            cost: submission.cost,
            prefixes: submission.prefixes.clone(),
            deadline_ms: to_millis(record.deadline.since(now)),
            waited_ms: to_millis(now.since(record.accepted_at)),
            domains: submission.verdict.domains.clone(),
            avoid: self.avoided_targets(now, record),
            preemptible: self.is_preemptible(record),
            claim: self.key_claim(record),
            first_answer_ms: first_token_limit_ms(record),
            quota_units: match record.dispatches {
                0 => submission.options.quota_units,
                // The quota was charged at the first dispatch.
                _ => 0,
            },
        }
    }

    /// Get whether a request may be preempted. The number of preemptions is
    /// limited to the number of attempts, as each one repeats the prefill and
    /// the request might otherwise never finish.
    pub(super) fn is_preemptible(&self, record: &RequestRecord) -> bool {
        record.submission.verdict.preemptible
            && record.may_rerun()
            && record.preemptions < self.options.attempts_per_request
    }

    fn key_claim(&self, record: &RequestRecord) -> Option<KeyClaim> {
        let key = record.key.as_ref()?;
        match record.may_rerun() {
            true => None,
            false => Some(KeyClaim {
                key: key.hash(),
                holder: self.identity.clone(),
                resubmission: record.submission.resubmission,
            }),
        }
    }

    /// Request a permit under a new attempt number, so that a permit of the
    /// earlier attempt cannot be used for this one.
    pub(super) fn request_for_new_attempt(
        &mut self,
        now: Moment,
        mut record: RequestRecord,
        state: WaitingState,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(attempt) = record.new_attempt() else {
            let refusal = state.refuse(RefusalReason::RetriesExhausted);
            return self.refuse(now, record, refusal, actions);
        };
        record.attempt = attempt.attempt;
        let shard = self.pools.shard_for(&record.shard_query());
        if let Some(shard) = shard {
            record.shard = shard;
        }
        self.request_permit(now, record, state, actions);
    }

    /// Retry a request for the given reason, which is counted.
    pub(super) fn retry(
        &mut self,
        now: Moment,
        record: RequestRecord,
        state: WaitingState,
        reason: RetryReason,
        actions: &mut Vec<EntryAction>,
    ) {
        self.count_retry(&record, reason, actions);
        self.request_for_new_attempt(now, record, state, actions);
    }

    pub(super) fn count_retry(
        &mut self,
        record: &RequestRecord,
        reason: RetryReason,
        actions: &mut Vec<EntryAction>,
    ) {
        self.counts.retried += 1;
        actions.push(EntryAction::CountRetry(reason));
        actions.push(EntryAction::LogIncident(
            Incident::AttemptRetried,
            record.id,
        ));
    }

    /// Try to spend one retry on a request, given what is known of its earlier
    /// attempts.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request must not be retried.
    pub(super) fn try_retry(
        &mut self,
        now: Moment,
        record: &RequestRecord,
        earlier: RunClaim,
    ) -> Result<(), RefusalReason> {
        self.check_retry(now, record, earlier)?;
        match self.budget(now, record).try_spend(now) {
            true => Ok(()),
            false => Err(RefusalReason::RetriesExhausted),
        }
    }

    /// Check whether a request may be retried, apart from the budget.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request must not be retried.
    pub(super) fn check_retry(
        &self,
        now: Moment,
        record: &RequestRecord,
        earlier: RunClaim,
    ) -> Result<(), RefusalReason> {
        if now >= record.deadline {
            return Err(RefusalReason::DeadlinePassed);
        }
        if self.crashes.is_quarantined(&record.suspects) {
            return Err(RefusalReason::Quarantined);
        }
        let attempts = record.dispatches - record.reconnects;
        if attempts >= self.options.attempts_per_request {
            return Err(RefusalReason::RetriesExhausted);
        }
        match self.may_run(now, record, earlier) {
            true => Ok(()),
            false => Err(RefusalReason::Stopping),
        }
    }

    /// Try to reconnect a request that reached no target to another one. This
    /// costs a retry only if no reconnects are left.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request must not be retried.
    pub(super) fn try_reconnect(
        &mut self,
        now: Moment,
        record: &mut RequestRecord,
        earlier: RunClaim,
    ) -> Result<(), RefusalReason> {
        if self.crashes.is_quarantined(&record.suspects) {
            return Err(RefusalReason::Quarantined);
        }
        let in_time = now < record.deadline;
        let fits = in_time && self.may_run(now, record, earlier);
        let free = fits && record.reconnects < MAX_RECONNECTS;
        if free && self.budget(now, record).try_reconnect() {
            record.reconnects += 1;
            return Ok(());
        }
        self.try_retry(now, record, earlier)
    }

    pub(super) fn budget(&mut self, now: Moment, record: &RequestRecord) -> &mut RetryBudget {
        let (rate, hosts) = (self.options.retry_rate, self.host_count);
        self.budgets
            .entry(record.submission.pool.clone())
            .or_insert_with(|| RetryBudget::new(rate, hosts, now))
    }

    /// Handle an entry whose timer has expired.
    pub(super) fn handle_due(
        &mut self,
        now: Moment,
        entry: LiveEntry,
        actions: &mut Vec<EntryAction>,
    ) {
        let LiveEntry { record, stage } = entry;
        match stage {
            AttemptStage::Waiting(waiting) if now >= record.deadline => {
                self.withdraw(&record, waiting.requested_from.as_ref(), actions);
                let refusal = waiting.state.refuse(RefusalReason::DeadlinePassed);
                self.refuse(now, record, refusal, actions);
            }
            AttemptStage::Waiting(waiting) => self.resend_request(now, record, waiting, actions),
            AttemptStage::Running(running) => self.abort_overdue(now, record, running, actions),
        }
    }

    pub(super) fn withdraw(
        &self,
        record: &RequestRecord,
        requested_from: Option<&HostName>,
        actions: &mut Vec<EntryAction>,
    ) {
        if let Some(owner) = requested_from {
            let message = OwnerMessage::Withdraw {
                shard: record.shard.clone(),
                attempt: record.attempt_id(),
            };
            actions.push(EntryAction::Send(owner.clone(), message));
        }
    }
}
