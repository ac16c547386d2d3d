//! Provides the table of live requests, with a timer for each.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Submission;
use super::attempt::{AttemptStage, PendingReplacement, RunningAttempt};
use super::key_store::KeyId;
use super::placement::ShardQuery;
use crate::clock::Moment;
use crate::pool::PoolShard;
use crate::pool_owner::wait_plan::MAX_WAIT_FACTOR;
use crate::quarantine::{Admission, RequestSuspects};
use crate::request::{AttemptId, RequestId};
use crate::stream_table::StreamOrigin;
use crate::target::TargetName;

/// The maximum number of doublings of the resend interval. Links deliver in
/// order, so a permit request is lost only with its link, after which the owner
/// is announced again. A long interval limits the traffic of long queues.
const MAX_RESEND_DOUBLINGS: u32 = 3;

/// A `RequestRecord` is the state of a live request that does not depend on its
/// stage.
#[derive(Debug)]
pub(super) struct RequestRecord {
    pub(super) id: RequestId,
    pub(super) submission: Submission,
    pub(super) suspects: RequestSuspects,
    /// Whether the request is the trial of a quarantine.
    pub(super) admission: Admission,
    pub(super) key: Option<KeyId>,
    pub(super) shard: PoolShard,
    pub(super) accepted_at: Moment,
    pub(super) deadline: Moment,
    /// The number of the current attempt, from 0.
    pub(super) attempt: u16,
    /// The highest number of an attempt for which a permit was requested.
    pub(super) last_attempt: u16,
    pub(super) dispatches: u16,
    /// The dispatches that reached no target and were paid for by a reconnect.
    pub(super) reconnects: u16,
    /// The dispatches that may have run.
    pub(super) runs: u16,
    pub(super) preemptions: u16,
    /// Targets on which this request failed.
    pub(super) avoid: Vec<TargetName>,
    /// What is known of the version that began the stream, if it may be resumed.
    pub(super) stream: Option<StreamOrigin>,
    /// Whether a caller is waiting for the answer.
    pub(super) followed: bool,
}

impl RequestRecord {
    /// Get the id of the current attempt.
    pub(super) fn attempt_id(&self) -> AttemptId {
        AttemptId {
            request: self.id,
            attempt: self.attempt,
        }
    }

    /// Get the id of a new attempt, or `None` if all numbers are used.
    pub(super) fn new_attempt(&mut self) -> Option<AttemptId> {
        self.last_attempt = self.last_attempt.checked_add(1)?;
        Some(AttemptId {
            request: self.id,
            attempt: self.last_attempt,
        })
    }

    /// Get the attempt and the shard of the current permit request.
    pub(super) fn permit_query(&self) -> PermitQuery<'_> {
        PermitQuery {
            record: self,
            attempt: self.attempt_id(),
            shard: &self.shard,
        }
    }

    /// Get the query that selects the shard for a permit request.
    pub(super) fn shard_query(&self) -> ShardQuery<'_> {
        ShardQuery {
            pool: &self.submission.pool,
            verdict: &self.submission.verdict,
            avoid: &self.avoid,
            spread: self.id.sequence,
            run_once_key: run_once_key(&self.submission, self.key.as_ref()),
        }
    }

    /// Exclude a target from further attempts of this request.
    pub(super) fn avoid_target(&mut self, target: &TargetName) {
        if !self.avoid.contains(target) {
            self.avoid.push(target.clone());
        }
    }

    /// Get whether a second run is safe.
    pub(super) fn may_rerun(&self) -> bool {
        self.submission.may_rerun()
    }

    /// Get whether the request continues after its caller has disconnected.
    pub(super) fn outlives_caller(&self) -> bool {
        !self.submission.options.ends_with_caller && (self.key.is_some() || !self.may_rerun())
    }

    /// Get whether a resubmission or query may ask for the answer later.
    pub(super) fn keeps_answer(&self) -> bool {
        !self.submission.options.ends_at_deadline && self.outlives_caller()
    }

    /// Get how long an owner may keep the request in its queue without an answer. A copy
    /// that is sent earlier has no effect but the owner's processor time.
    fn max_queue_time(&self) -> Duration {
        let limit = self.submission.options.first_token_limit;
        limit.unwrap_or_default() * MAX_WAIT_FACTOR
    }

    /// Get whether the limit on runs allows another run after this one.
    pub(super) fn may_run_elsewhere(&self) -> bool {
        let most = self.submission.options.max_runs;
        most.is_none_or(|most| self.runs < most)
    }
}

/// A `PermitQuery` identifies a permit request: the attempt of a request, and the shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct PermitQuery<'a> {
    pub(super) record: &'a RequestRecord,
    pub(super) attempt: AttemptId,
    pub(super) shard: &'a PoolShard,
}

/// Get the hash of the key of a submission, if it must not run twice.
pub(super) fn run_once_key(submission: &Submission, key: Option<&KeyId>) -> Option<u128> {
    match submission.may_rerun() {
        true => None,
        false => key.map(KeyId::hash),
    }
}

/// A `LiveEntry` is one live request with its current stage.
#[derive(Debug)]
pub(super) struct LiveEntry {
    pub(super) record: RequestRecord,
    pub(super) stage: AttemptStage,
}

impl LiveEntry {
    /// Get the request for a permit that would replace a silent run, if there is one.
    pub(super) fn replacement(&self) -> Option<&PendingReplacement> {
        match &self.stage {
            AttemptStage::Running(running) => running.replacement.as_deref(),
            AttemptStage::Waiting(_) => None,
        }
    }

    /// Get whether a permit is requested for the entry.
    fn awaits_permit(&self) -> bool {
        matches!(self.stage, AttemptStage::Waiting(_)) || self.replacement().is_some()
    }

    /// Get the time at which the entry's timer expires.
    fn due(&self, permit_resend_interval: Duration) -> Moment {
        match &self.stage {
            AttemptStage::Waiting(waiting) if waiting.requested_from.is_some() => {
                let doublings = waiting.resends.min(MAX_RESEND_DOUBLINGS);
                let interval = permit_resend_interval.max(self.record.max_queue_time());
                let interval = interval.saturating_mul(1 << doublings);
                self.record
                    .deadline
                    .min(waiting.requested_at.plus(interval))
            }
            AttemptStage::Waiting(_) => self.record.deadline,
            AttemptStage::Running(_) if self.record.submission.options.ends_at_deadline => {
                self.record.deadline
            }
            // An answer that a caller follows, or that must not be produced
            // twice, is not ended by a timer.
            AttemptStage::Running(_) if self.record.followed => Moment::NEVER,
            AttemptStage::Running(_) if !self.record.may_rerun() => Moment::NEVER,
            AttemptStage::Running(_) => self.record.deadline,
        }
    }
}

/// A `ReplacedEntry` is a live request with a silent run, and the request for the permit
/// of another run.
#[derive(Debug)]
pub(super) struct ReplacedEntry {
    pub(super) record: RequestRecord,
    pub(super) running: RunningAttempt,
    pub(super) pending: Box<PendingReplacement>,
}

/// A `RequestTable` holds the live requests. An entry has to be taken out for a
/// change and put back, which keeps the timer index consistent.
#[derive(Debug)]
pub(super) struct RequestTable {
    entries: BTreeMap<RequestId, LiveEntry>,
    due: BTreeSet<DueEntry>,
    waiting: usize,
    /// The number of permits held or requested of each shard. It is read after every event,
    /// so it is not computed by iterating over the entries.
    shard_counts: BTreeMap<PoolShard, usize>,
    permit_resend_interval: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueEntry {
    due: Moment,
    id: RequestId,
}

impl RequestTable {
    pub(super) fn new(permit_resend_interval: Duration) -> Self {
        RequestTable {
            entries: BTreeMap::new(),
            due: BTreeSet::new(),
            waiting: 0,
            shard_counts: BTreeMap::new(),
            permit_resend_interval,
        }
    }

    pub(super) fn put(&mut self, entry: LiveEntry) {
        let id = entry.record.id;
        let due = entry.due(self.permit_resend_interval);
        self.due.insert(DueEntry { due, id });
        if entry.awaits_permit() {
            self.waiting += 1;
        }
        self.count_shard(&entry.record.shard);
        if let Some(pending) = entry.replacement() {
            self.count_shard(&pending.shard);
        }
        self.entries.insert(id, entry);
    }

    pub(super) fn take(&mut self, id: RequestId) -> Option<LiveEntry> {
        let entry = self.entries.remove(&id)?;
        let due = entry.due(self.permit_resend_interval);
        self.due.remove(&DueEntry { due, id });
        if entry.awaits_permit() {
            self.waiting -= 1;
        }
        self.uncount_shard(&entry.record.shard);
        if let Some(pending) = entry.replacement() {
            self.uncount_shard(&pending.shard);
        }
        Some(entry)
    }

    fn count_shard(&mut self, shard: &PoolShard) {
        match self.shard_counts.get_mut(shard) {
            Some(count) => *count += 1,
            None => drop(self.shard_counts.insert(shard.clone(), 1)),
        }
    }

    fn uncount_shard(&mut self, shard: &PoolShard) {
        if let Some(count) = self.shard_counts.get_mut(shard) {
            *count -= 1;
            if *count == 0 {
                self.shard_counts.remove(shard);
            }
        }
    }

    pub(super) fn shards(&self) -> impl Iterator<Item = &PoolShard> {
        self.shard_counts.keys()
    }

    /// Take out the entry whose current attempt is `attempt`.
    pub(super) fn take_attempt(&mut self, attempt: AttemptId) -> Option<LiveEntry> {
        let entry = self.entries.get(&attempt.request)?;
        match entry.record.attempt_id() == attempt {
            true => self.take(attempt.request),
            false => None,
        }
    }

    /// Take out the entry whose silent run `attempt` would replace, and the request for
    /// its permit.
    pub(super) fn take_replaced(&mut self, attempt: AttemptId) -> Option<ReplacedEntry> {
        let entry = self.entries.get(&attempt.request)?;
        if entry.replacement()?.attempt != attempt {
            return None;
        }
        let LiveEntry { record, stage } = self.take(attempt.request)?;
        let AttemptStage::Running(mut running) = stage else {
            return None;
        };
        let pending = running.replacement.take()?;
        Some(ReplacedEntry {
            record,
            running,
            pending,
        })
    }

    /// Get the requests with a silent run for which a replacement is requested.
    pub(super) fn replaced_ids(&self) -> Vec<RequestId> {
        let entries = self.entries.values();
        let replaced = entries.filter(|entry| entry.replacement().is_some());
        replaced.map(|entry| entry.record.id).collect()
    }

    /// Take out the first entry whose timer has expired at `now`.
    pub(super) fn take_due(&mut self, now: Moment) -> Option<LiveEntry> {
        let mark = *self.due.first()?;
        match mark.due <= now {
            true => self.take(mark.id),
            false => None,
        }
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&LiveEntry> {
        self.entries.get(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &LiveEntry> {
        self.entries.values()
    }

    pub(super) fn ids(&self) -> Vec<RequestId> {
        self.entries.keys().copied().collect()
    }

    pub(super) fn waiting_ids(&self) -> Vec<RequestId> {
        self.entries
            .values()
            .filter(|entry| matches!(entry.stage, AttemptStage::Waiting(_)))
            .map(|entry| entry.record.id)
            .collect()
    }

    pub(super) fn is_waiting(&self, id: RequestId) -> bool {
        let entry = self.entries.get(&id);
        entry.is_some_and(|entry| matches!(entry.stage, AttemptStage::Waiting(_)))
    }

    /// Get whether a permit is requested for any request.
    pub(super) fn has_waiting(&self) -> bool {
        self.waiting > 0
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Get the time at which the first timer expires.
    pub(super) fn next_due(&self) -> Moment {
        match self.due.first() {
            Some(mark) => mark.due,
            None => Moment::NEVER,
        }
    }
}
