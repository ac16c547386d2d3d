//! Provides the replacement of runs whose targets are silent.
//!
//! A silent run goes on until another one has its permit. Its target may continue at any
//! time, and the owner may have no other one: a begun stream whose run was given up before
//! that would have to be cut.

use super::EntryDispatcher;
use super::replies::return_permit;
use crate::clock::Moment;
use crate::entry::EntryAction;
use crate::entry::attempt::{AttemptStage, PendingReplacement, RunningAttempt};
use crate::entry::request_table::{LiveEntry, PermitQuery, ReplacedEntry, RequestRecord};
use crate::host::HostName;
use crate::permit::{OwnerMessage, Permit};
use crate::pool::PoolShard;
use crate::refusal::{RetryReason, RunClaim};
use crate::request::AttemptId;

impl PendingReplacement {
    fn permit_query<'a>(&'a self, record: &'a RequestRecord) -> PermitQuery<'a> {
        PermitQuery {
            record,
            attempt: self.attempt,
            shard: &self.shard,
        }
    }
}

impl EntryDispatcher {
    /// Request a permit for another run, or request it again, after the target of a run has
    /// been silent for a while.
    pub(super) fn stalled(
        &mut self,
        now: Moment,
        mut record: RequestRecord,
        mut running: RunningAttempt,
        actions: &mut Vec<EntryAction>,
    ) {
        if running.replacement.is_none() {
            running.replacement = self.new_replacement(now, &mut record, &running);
        }
        if let Some(pending) = &running.replacement {
            self.request_replacement(now, &record, pending, actions);
        }
        self.put_back(record, running);
    }

    /// Get the replacement of a silent run, for which a retry is spent; `None` if no other
    /// run may follow.
    fn new_replacement(
        &mut self,
        now: Moment,
        record: &mut RequestRecord,
        running: &RunningAttempt,
    ) -> Option<Box<PendingReplacement>> {
        if !self.may_replace(record, running) {
            return None;
        }
        self.try_retry(now, record, RunClaim::Unknown).ok()?;
        let Some(attempt) = record.new_attempt() else {
            self.budget(now, record).refund();
            return None;
        };
        record.avoid_target(&running.permit.target);
        let shard = self.pools.shard_for(&record.shard_query());
        let shard = shard.unwrap_or_else(|| record.shard.clone());
        Some(Box::new(PendingReplacement {
            attempt,
            requested_from: self.owners.get(&shard).cloned(),
            shard,
        }))
    }

    /// Get whether another run may follow this one, which may have run.
    fn may_replace(&self, record: &mut RequestRecord, running: &RunningAttempt) -> bool {
        record.runs = record.runs.saturating_add(1);
        let may_follow = self.may_run_again(record, running);
        record.runs -= 1;
        may_follow
    }

    fn request_replacement(
        &self,
        now: Moment,
        record: &RequestRecord,
        pending: &PendingReplacement,
        actions: &mut Vec<EntryAction>,
    ) {
        if let Some(owner) = &pending.requested_from {
            self.send_permit_request(now, owner, pending.permit_query(record), actions);
        }
    }

    /// Replace a silent run by another one that has got a permit.
    pub(super) fn replacement_granted(
        &mut self,
        now: Moment,
        host: HostName,
        replaced: ReplacedEntry,
        permit: Permit,
        actions: &mut Vec<EntryAction>,
    ) {
        let ReplacedEntry {
            mut record,
            mut running,
            pending,
        } = replaced;
        if pending.requested_from.as_ref() != Some(&host) {
            return_permit(host, pending.shard.clone(), &permit, actions);
            running.replacement = Some(pending);
            return self.put_back(record, running);
        }
        if !self.is_usable_replacement(now, &mut record, &running, &permit) {
            return_permit(host, pending.shard, &permit, actions);
            self.budget(now, &record).refund();
            return self.put_back(record, running);
        }
        record.runs = record.runs.saturating_add(1);
        if running.tunnel_host().is_none() && !self.is_path_lost(&running) {
            self.record_crash(now, &record, &running);
        }
        self.abort_stalled(now, &record, &running, actions);
        self.count_retry(&record, RetryReason::ConnectionBroke, actions);
        record.attempt = pending.attempt.attempt;
        record.shard = pending.shard;
        let state = running.state.rerun();
        self.dispatch(now, record, state, host, permit, actions);
    }

    /// Get whether a run under this permit may replace a silent one now.
    fn is_usable_replacement(
        &self,
        now: Moment,
        record: &mut RequestRecord,
        running: &RunningAttempt,
        permit: &Permit,
    ) -> bool {
        let target = &permit.target;
        // An owner without another target grants the silent one.
        *target != running.permit.target
            && permit.lifetime_ms > 0
            && self.check_retry(now, record, RunClaim::Unknown).is_ok()
            && self.may_replace(record, running)
            && !self.is_target_closed(now, target)
            && self.fits_stream(record, target)
            && self.stream_refusal(now, record, target).is_none()
    }

    /// Let a silent run go on after its replacement was refused.
    pub(super) fn replacement_refused(&mut self, now: Moment, host: &HostName, attempt: AttemptId) {
        let Some(replaced) = self.requests.take_replaced(attempt) else {
            return;
        };
        let ReplacedEntry {
            record,
            mut running,
            pending,
        } = replaced;
        match pending.requested_from.as_ref() == Some(host) {
            true => self.budget(now, &record).refund(),
            false => running.replacement = Some(pending),
        }
        self.put_back(record, running);
    }

    /// Withdraw the request for a replacement because output has arrived.
    pub(super) fn end_silence(
        &mut self,
        now: Moment,
        record: &RequestRecord,
        running: &mut RunningAttempt,
        actions: &mut Vec<EntryAction>,
    ) {
        if let Some(pending) = running.replacement.take() {
            self.withdraw_replacement(now, record, &pending, actions);
        }
    }

    pub(super) fn withdraw_replacement(
        &mut self,
        now: Moment,
        record: &RequestRecord,
        pending: &PendingReplacement,
        actions: &mut Vec<EntryAction>,
    ) {
        self.budget(now, record).refund();
        if let Some(owner) = &pending.requested_from {
            let message = OwnerMessage::Withdraw {
                shard: pending.shard.clone(),
                attempt: pending.attempt,
            };
            actions.push(EntryAction::Send(owner.clone(), message));
        }
    }

    /// Withdraw the requests for replacements that `is_dropped` selects.
    pub(super) fn drop_replacements(
        &mut self,
        now: Moment,
        is_dropped: impl Fn(&Self, &LiveEntry) -> bool,
        actions: &mut Vec<EntryAction>,
    ) {
        for id in self.requests.replaced_ids() {
            let Some(mut entry) = self.requests.take(id) else {
                continue;
            };
            let dropped = is_dropped(self, &entry);
            if let AttemptStage::Running(running) = &mut entry.stage
                && dropped
            {
                self.end_silence(now, &entry.record, running, actions);
            }
            self.requests.put(entry);
        }
    }

    /// Request the replacements of a shard from its new owner.
    pub(super) fn request_replacements(
        &mut self,
        now: Moment,
        shard: &PoolShard,
        host: &HostName,
        actions: &mut Vec<EntryAction>,
    ) {
        for id in self.requests.replaced_ids() {
            let Some(mut entry) = self.requests.take(id) else {
                continue;
            };
            if let AttemptStage::Running(running) = &mut entry.stage
                && let Some(pending) = &mut running.replacement
                && pending.shard == *shard
            {
                pending.requested_from = Some(host.clone());
                self.request_replacement(now, &entry.record, pending, actions);
            }
            self.requests.put(entry);
        }
    }
}
