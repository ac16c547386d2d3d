//! Provides the cache of outcomes for resubmissions and outcome queries.

use std::collections::{BTreeMap, VecDeque};

use super::key_store::KeyId;
use super::options::EntryOptions;
use super::{Conclusion, OutcomeView};
use crate::clock::Moment;
use crate::request::RequestId;

/// A `KeptAnswer` is the stored outcome of an ended request.
#[derive(Debug)]
pub(super) struct KeptAnswer {
    pub(super) key: Option<KeyId>,
    pub(super) ended_at: Moment,
    pub(super) conclusion: Conclusion,
    /// The memory used by the answer; 0 until it is reported.
    pub(super) bytes: u64,
}

/// An `AnswerCache` stores outcomes, limited by age, count and bytes. Above a
/// limit, outcomes without a key are evicted first, as they cannot be
/// resubmitted.
#[derive(Debug, Default)]
pub(super) struct AnswerCache {
    answers: BTreeMap<RequestId, KeptAnswer>,
    keyed: VecDeque<RequestId>,
    keyless: VecDeque<RequestId>,
    bytes: u64,
}

/// An `EvictedAnswer` is an outcome that was removed from the cache.
#[derive(Debug)]
pub(super) struct EvictedAnswer {
    pub(super) id: RequestId,
    pub(super) key: Option<KeyId>,
}

impl AnswerCache {
    /// Store an outcome.
    pub(super) fn insert(&mut self, id: RequestId, answer: KeptAnswer) {
        match answer.key.is_some() {
            true => self.keyed.push_back(id),
            false => self.keyless.push_back(id),
        }
        self.bytes += answer.bytes;
        self.answers.insert(id, answer);
    }

    /// Set the memory used by the answer of an ended request.
    pub(super) fn set_bytes(&mut self, id: RequestId, bytes: u64) {
        if let Some(answer) = self.answers.get_mut(&id) {
            self.bytes = self.bytes - answer.bytes + bytes;
            answer.bytes = bytes;
        }
    }

    /// Get the outcome of an ended request, if it is stored.
    pub(super) fn view(&self, id: RequestId) -> Option<OutcomeView> {
        let answer = self.answers.get(&id)?;
        match &answer.conclusion {
            Conclusion::Answered | Conclusion::TargetError => Some(OutcomeView::Answered(id)),
            Conclusion::Refused(refusal) => Some(OutcomeView::Refused(id, refusal.clone())),
        }
    }

    /// Evict one outcome that exceeds the maximum age, count or memory.
    pub(super) fn evict(&mut self, now: Moment, options: &EntryOptions) -> Option<EvictedAnswer> {
        // The limit on bytes keeps long answers from exhausting the memory of
        // the process, which would end with all of its requests.
        let excess =
            self.answers.len() > options.max_kept_answers || self.bytes > options.max_kept_bytes;
        let expired = |id: &RequestId| self.ended_at(*id).plus(options.answer_retention) <= now;
        let from_keyless = self.keyless.front().is_some_and(|id| excess || expired(id));
        let from_keyed = self.keyed.front().is_some_and(|id| excess || expired(id));
        let id = match (from_keyless, from_keyed) {
            (true, _) => self.keyless.pop_front()?,
            (false, true) => self.keyed.pop_front()?,
            (false, false) => return None,
        };
        let answer = self.answers.remove(&id)?;
        self.bytes -= answer.bytes;
        Some(EvictedAnswer {
            id,
            key: answer.key,
        })
    }

    /// Get the time at which the oldest outcome expires.
    pub(super) fn next_due(&self, options: &EntryOptions) -> Moment {
        let fronts = [self.keyed.front(), self.keyless.front()];
        fronts
            .into_iter()
            .flatten()
            .map(|id| self.ended_at(*id).plus(options.answer_retention))
            .min()
            .unwrap_or(Moment::NEVER)
    }

    /// Get the memory used by all answers, in bytes.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(super) fn len(&self) -> usize {
        self.answers.len()
    }

    fn ended_at(&self, id: RequestId) -> Moment {
        match self.answers.get(&id) {
            Some(answer) => answer.ended_at,
            None => Moment::START,
        }
    }
}
