//! Provides the outcomes that are kept for resubmissions and questions.

use std::collections::{BTreeMap, VecDeque};

use super::key_store::KeyId;
use super::options::EntryOptions;
use super::{Conclusion, OutcomeView};
use crate::clock::Moment;
use crate::request::RequestId;

/// A `KeptAnswer` is the outcome of an ended request.
#[derive(Debug)]
pub(super) struct KeptAnswer {
    pub(super) key: Option<KeyId>,
    pub(super) ended_at: Moment,
    pub(super) conclusion: Conclusion,
    /// The memory that it takes, once told.
    pub(super) bytes: u64,
}

/// An `AnswerCache` keeps outcomes, bounded by time, count and bytes. Where there
/// are too many, those without a key go first: nobody can resubmit them.
#[derive(Debug, Default)]
pub(super) struct AnswerCache {
    answers: BTreeMap<RequestId, KeptAnswer>,
    keyed: VecDeque<RequestId>,
    keyless: VecDeque<RequestId>,
    bytes: u64,
}

/// A `EvictedAnswer` is an outcome that is kept no longer.
#[derive(Debug)]
pub(super) struct EvictedAnswer {
    pub(super) id: RequestId,
    pub(super) key: Option<KeyId>,
}

impl AnswerCache {
    /// Keep an outcome.
    pub(super) fn insert(&mut self, id: RequestId, answer: KeptAnswer) {
        match answer.key.is_some() {
            true => self.keyed.push_back(id),
            false => self.keyless.push_back(id),
        }
        self.bytes += answer.bytes;
        self.answers.insert(id, answer);
    }

    /// Note what memory an ended request's answer takes.
    pub(super) fn set_bytes(&mut self, id: RequestId, bytes: u64) {
        if let Some(answer) = self.answers.get_mut(&id) {
            self.bytes = self.bytes - answer.bytes + bytes;
            answer.bytes = bytes;
        }
    }

    /// Get what is known of an ended request.
    pub(super) fn view(&self, id: RequestId) -> Option<OutcomeView> {
        let answer = self.answers.get(&id)?;
        match &answer.conclusion {
            Conclusion::Answered | Conclusion::TargetError => Some(OutcomeView::Answered(id)),
            Conclusion::Refused(refusal) => Some(OutcomeView::Refused(id, refusal.clone())),
        }
    }

    /// Take out one outcome that is too old or one too many.
    pub(super) fn evict(&mut self, now: Moment, options: &EntryOptions) -> Option<EvictedAnswer> {
        // Bounded by count alone, long answers would take a host's memory and
        // end its process with every request in it.
        let excess =
            self.answers.len() > options.max_kept_answers || self.bytes > options.max_kept_bytes;
        let old = |id: &RequestId| self.ended_at(*id).plus(options.answer_retention) <= now;
        let from_keyless = self.keyless.front().is_some_and(|id| excess || old(id));
        let from_keyed = self.keyed.front().is_some_and(|id| excess || old(id));
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

    /// Get when the oldest outcome is to be dropped.
    pub(super) fn next_due(&self, options: &EntryOptions) -> Moment {
        let fronts = [self.keyed.front(), self.keyless.front()];
        fronts
            .into_iter()
            .flatten()
            .map(|id| self.ended_at(*id).plus(options.answer_retention))
            .min()
            .unwrap_or(Moment::NEVER)
    }

    /// Get the memory that the answers take.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Get the number of outcomes.
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
