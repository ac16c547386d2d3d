//! Provides the request_table of live requests, ordered by when they need attention.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Submission;
use super::attempt::AttemptStage;
use super::key_store::KeyId;
use super::placement::ShardQuery;
use crate::clock::Moment;
use crate::pool::PoolShard;
use crate::request::{AttemptId, RequestId};
use crate::target::TargetName;

/// The most doublings of the re-ask interval. Links deliver in order, so an
/// ask is lost with its link only, and then the owner is announced anew: what
/// the re-ask repairs is rare, and long queues must not cost traffic.
const MAX_RESEND_DOUBLINGS: u32 = 3;

/// A `RequestRecord` is what is known of a live request apart from its stage.
#[derive(Debug)]
pub(super) struct RequestRecord {
    pub(super) id: RequestId,
    pub(super) submission: Submission,
    pub(super) key: Option<KeyId>,
    pub(super) shard: PoolShard,
    pub(super) accepted_at: Moment,
    pub(super) deadline: Moment,
    /// The number of the current attempt.
    pub(super) attempt: u16,
    pub(super) dispatches: u16,
    /// The dispatches that reached no target and were paid by a reconnect.
    pub(super) reconnects: u16,
    /// The dispatches that are not proven not to have run.
    pub(super) runs: u16,
    pub(super) preemptions: u16,
    /// Targets that this request already failed on.
    pub(super) avoid: Vec<TargetName>,
    /// Whether a caller follows the answer.
    pub(super) followed: bool,
}

impl RequestRecord {
    /// Get the name of the current attempt.
    pub(super) fn attempt_id(&self) -> AttemptId {
        AttemptId {
            request: self.id,
            attempt: self.attempt,
        }
    }

    /// Get what decides the shard at which to ask.
    pub(super) fn shard_query(&self) -> ShardQuery<'_> {
        ShardQuery {
            pool: &self.submission.pool,
            verdict: &self.submission.verdict,
            avoid: &self.avoid,
            spread: self.id.sequence,
            run_once_key: run_once_key(&self.submission, self.key.as_ref()),
        }
    }

    /// Note a target that this request should not be sent to again.
    pub(super) fn avoid_target(&mut self, target: &TargetName) {
        if !self.avoid.contains(target) {
            self.avoid.push(target.clone());
        }
    }

    /// Get whether a second run would do no harm.
    pub(super) fn may_rerun(&self) -> bool {
        self.submission.may_rerun()
    }

    /// Get whether work goes on although no caller follows it.
    pub(super) fn outlives_caller(&self) -> bool {
        !self.submission.options.ends_with_caller && (self.key.is_some() || !self.may_rerun())
    }

    /// Get whether someone may come back for its answer.
    pub(super) fn keeps_answer(&self) -> bool {
        !self.submission.options.ends_at_deadline && self.outlives_caller()
    }

    /// Get whether one more target may run it after this one.
    pub(super) fn may_run_elsewhere(&self) -> bool {
        let most = self.submission.options.max_runs;
        most.is_none_or(|most| self.runs < most)
    }
}

/// Get the hash of the key of a submission that must not run twice.
pub(super) fn run_once_key(submission: &Submission, key: Option<&KeyId>) -> Option<u128> {
    match submission.may_rerun() {
        true => None,
        false => key.map(KeyId::hash),
    }
}

/// A `LiveEntry` is one live request.
#[derive(Debug)]
pub(super) struct LiveEntry {
    pub(super) record: RequestRecord,
    pub(super) stage: AttemptStage,
}

impl LiveEntry {
    /// Get when the entry needs attention without an event.
    fn due(&self, permit_resend_interval: Duration) -> Moment {
        match &self.stage {
            AttemptStage::Waiting(waiting) if waiting.requested_from.is_some() => {
                let doublings = waiting.resends.min(MAX_RESEND_DOUBLINGS);
                let interval = permit_resend_interval.saturating_mul(1 << doublings);
                self.record
                    .deadline
                    .min(waiting.requested_at.plus(interval))
            }
            AttemptStage::Waiting(_) => self.record.deadline,
            AttemptStage::Running(_) if self.record.submission.options.ends_at_deadline => {
                self.record.deadline
            }
            // No timer cuts an answer that a caller follows or that must not
            // be made twice.
            AttemptStage::Running(_) if self.record.followed => Moment::NEVER,
            AttemptStage::Running(_) if !self.record.may_rerun() => Moment::NEVER,
            AttemptStage::Running(_) => self.record.deadline,
        }
    }
}

/// A `RequestTable` holds the live requests. An entry is taken out to be
/// changed and put back, which keeps the order of due times right.
#[derive(Debug)]
pub(super) struct RequestTable {
    entries: BTreeMap<RequestId, LiveEntry>,
    due: BTreeSet<DueEntry>,
    waiting: usize,
    /// How many live requests each shard has. Counted anew with each event it
    /// would cost a look at every request.
    shard_counts: BTreeMap<PoolShard, usize>,
    permit_resend_interval: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueEntry {
    due: Moment,
    id: RequestId,
}

impl RequestTable {
    /// Get an empty request_table.
    pub(super) fn new(permit_resend_interval: Duration) -> Self {
        RequestTable {
            entries: BTreeMap::new(),
            due: BTreeSet::new(),
            waiting: 0,
            shard_counts: BTreeMap::new(),
            permit_resend_interval,
        }
    }

    /// Put an entry in.
    pub(super) fn put(&mut self, entry: LiveEntry) {
        let id = entry.record.id;
        let due = entry.due(self.permit_resend_interval);
        self.due.insert(DueEntry { due, id });
        if matches!(entry.stage, AttemptStage::Waiting(_)) {
            self.waiting += 1;
        }
        self.count_shard(&entry.record.shard);
        self.entries.insert(id, entry);
    }

    /// Take an entry out.
    pub(super) fn take(&mut self, id: RequestId) -> Option<LiveEntry> {
        let entry = self.entries.remove(&id)?;
        let due = entry.due(self.permit_resend_interval);
        self.due.remove(&DueEntry { due, id });
        if matches!(entry.stage, AttemptStage::Waiting(_)) {
            self.waiting -= 1;
        }
        self.uncount_shard(&entry.record.shard);
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

    /// Get the shards with live requests.
    pub(super) fn shards(&self) -> impl Iterator<Item = &PoolShard> {
        self.shard_counts.keys()
    }

    /// Take the entry out whose current attempt this is.
    pub(super) fn take_attempt(&mut self, attempt: AttemptId) -> Option<LiveEntry> {
        let entry = self.entries.get(&attempt.request)?;
        match entry.record.attempt_id() == attempt {
            true => self.take(attempt.request),
            false => None,
        }
    }

    /// Take the first entry out that is due at `now`.
    pub(super) fn take_due(&mut self, now: Moment) -> Option<LiveEntry> {
        let mark = *self.due.first()?;
        match mark.due <= now {
            true => self.take(mark.id),
            false => None,
        }
    }

    /// Get an entry.
    pub(super) fn get(&self, id: RequestId) -> Option<&LiveEntry> {
        self.entries.get(&id)
    }

    /// Get the entries.
    pub(super) fn iter(&self) -> impl Iterator<Item = &LiveEntry> {
        self.entries.values()
    }

    /// Get the ids of all requests.
    pub(super) fn ids(&self) -> Vec<RequestId> {
        self.entries.keys().copied().collect()
    }

    /// Get the ids of the requests that wait for a permit.
    pub(super) fn waiting_ids(&self) -> Vec<RequestId> {
        self.entries
            .values()
            .filter(|entry| matches!(entry.stage, AttemptStage::Waiting(_)))
            .map(|entry| entry.record.id)
            .collect()
    }

    /// Get whether a request waits for a permit.
    pub(super) fn is_waiting(&self, id: RequestId) -> bool {
        let entry = self.entries.get(&id);
        entry.is_some_and(|entry| matches!(entry.stage, AttemptStage::Waiting(_)))
    }

    /// Get whether some request waits for a permit.
    pub(super) fn has_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Get whether nothing waits or runs.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Get when the first entry needs attention.
    pub(super) fn next_due(&self) -> Moment {
        match self.due.first() {
            Some(mark) => mark.due,
            None => Moment::NEVER,
        }
    }
}
