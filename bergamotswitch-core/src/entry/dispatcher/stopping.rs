//! Provides the part of a planned stop that is limited by a grace period.
//!
//! The process is killed at the end of the grace period, which truncates every
//! answer that is still in progress. A stopping host therefore starts only work
//! that ends in time for certain, and refuses everything else at once as "not
//! run", so that another host can serve it. Work that was cut off shows up as
//! events 109 and 207 in the log, and as connections that close in the middle
//! of an answer.

use std::time::Duration;

use super::EntryDispatcher;
use super::aborting::AbortReason;
use crate::clock::Moment;
use crate::entry::attempt::AttemptStage;
use crate::entry::request_table::{LiveEntry, RequestRecord};
use crate::entry::run_durations::{OutputEstimate, RunTiming};
use crate::entry::{EntryAction, Submission};
use crate::refusal::{Refusal, RefusalReason, RunClaim, WasteCause};

/// The retry delay for callers refused by a stopping host while other hosts
/// accept requests. It keeps a caller that stays at this address from retrying
/// in a tight loop.
pub const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The fraction of the wait over which retries are spread after the other hosts
/// return. Simultaneous retries would fill the queues of the first host.
const SPREAD_DIVISOR: u32 = 4;

/// The distance between the positions of successive callers in the spread, in
/// units of 1/65,536. A golden ratio step keeps any number of positions evenly
/// distributed.
const SPREAD_STEP: u16 = 40_503;

/// A `StopBound` is the limit that a planned stop puts on new work.
#[derive(Debug)]
pub(super) struct StopBound {
    /// The time by which answers must be complete; `NEVER` without a grace
    /// period.
    answer_deadline: Moment,
    /// Whether new requests are refused.
    pub(super) is_closed: bool,
    /// The time at which enough other hosts accept requests again, if too few
    /// do now.
    pub(super) hosts_available_at: Option<Moment>,
    /// The position of the next caller in the spread of retries.
    spread_position: u16,
}

impl Default for StopBound {
    fn default() -> Self {
        StopBound {
            answer_deadline: Moment::NEVER,
            is_closed: false,
            hosts_available_at: None,
            spread_position: 0,
        }
    }
}

impl StopBound {
    /// Get the retry delay for a caller that is refused now.
    fn retry_after(&mut self, now: Moment) -> Duration {
        let wait = self
            .hosts_available_at
            .map_or(Duration::ZERO, |at| at.since(now));
        if wait <= STOPPING_RETRY_AFTER {
            return STOPPING_RETRY_AFTER;
        }
        self.spread_position = self.spread_position.wrapping_add(SPREAD_STEP);
        let position = f64::from(self.spread_position) / f64::from(u16::MAX);
        wait + (wait / SPREAD_DIVISOR).mul_f64(position)
    }
}

impl EntryDispatcher {
    /// Set the time by which answers must be complete, and refuse waiting
    /// requests that may not run any more.
    pub(super) fn set_answer_deadline(
        &mut self,
        now: Moment,
        at: Moment,
        actions: &mut Vec<EntryAction>,
    ) {
        self.bound.answer_deadline = at;
        self.refuse_unfinishable(now, actions);
    }

    /// Get whether a run is certain to end in time: its deadline ends it before
    /// the grace period does. How long recent runs took proves nothing about the
    /// next one.
    pub(super) fn may_start(&self, submission: &Submission, deadline: Moment) -> bool {
        let ends_at = match submission.options.ends_at_deadline {
            true => deadline,
            false => Moment::NEVER,
        };
        ends_at <= self.bound.answer_deadline
    }

    /// Get whether an answer may still be proxied from another host, where it
    /// may take any time.
    pub(super) fn may_forward(&self) -> bool {
        self.bound.answer_deadline == Moment::NEVER
    }

    /// Get whether the next run of an accepted request may start. If an earlier
    /// attempt may have run, the request cannot be refused as "not run": it fails
    /// now, or runs again. An estimated duration that fits is enough for that.
    pub(super) fn may_run(&self, now: Moment, record: &RequestRecord, earlier: RunClaim) -> bool {
        let may_have_run = earlier == RunClaim::Unknown;
        self.may_start(&record.submission, record.deadline)
            || (may_have_run && self.is_expected_to_fit(now, &record.submission))
    }

    fn is_expected_to_fit(&self, now: Moment, submission: &Submission) -> bool {
        let span = self.run_time_bound(now, submission);
        span.is_some_and(|span| now.plus(span) <= self.bound.answer_deadline)
    }

    /// Estimate an upper bound for the duration of a run from the recent and
    /// current runs of its rule.
    fn run_time_bound(&self, now: Moment, submission: &Submission) -> Option<Duration> {
        let rule = &submission.verdict.rule;
        let same_rule = |entry: &&LiveEntry| entry.record.submission.verdict.rule == *rule;
        let entries = self.requests.iter().filter(same_rule);
        let running = entries.filter_map(|entry| match &entry.stage {
            AttemptStage::Running(running) => {
                let chunks = running.decoded;
                Some(running.run_timing(now, &entry.record.submission, chunks))
            }
            AttemptStage::Waiting(_) => None,
        });
        let in_flight: Vec<RunTiming> = running.collect();
        let estimate = OutputEstimate::of(submission);
        self.durations.bound(rule, estimate, &in_flight)
    }

    /// Refuse waiting requests whose next run may not start. Another host can
    /// still serve those that have not run.
    pub(super) fn refuse_unfinishable(&mut self, now: Moment, actions: &mut Vec<EntryAction>) {
        if self.bound.answer_deadline == Moment::NEVER {
            return;
        }
        for id in self.requests.waiting_ids() {
            let Some(entry) = self.requests.take(id) else {
                continue;
            };
            match entry.stage {
                AttemptStage::Waiting(waiting)
                    if !self.may_run(now, &entry.record, waiting.state.run_claim()) =>
                {
                    self.withdraw(&entry.record, waiting.requested_from.as_ref(), actions);
                    let refusal = self
                        .with_stop_retry_after(now, waiting.state.refuse(RefusalReason::Stopping));
                    self.refuse(now, entry.record, refusal, actions);
                }
                stage => self.requests.put(LiveEntry { stage, ..entry }),
            }
        }
    }

    /// End all remaining requests shortly before the process is killed, so that
    /// callers get a final answer, owners get their permits back and the log is
    /// complete.
    pub(super) fn terminate(&mut self, now: Moment, actions: &mut Vec<EntryAction>) {
        // Nothing may start from here on.
        self.set_answer_deadline(now, Moment::START, actions);
        for id in self.requests.ids() {
            let Some(entry) = self.requests.take(id) else {
                continue;
            };
            match entry.stage {
                AttemptStage::Running(running) => {
                    let end = AbortReason::new(WasteCause::Failed, RefusalReason::Stopping);
                    self.abort_and_refuse(now, entry.record, running, end, actions);
                }
                stage => self.requests.put(LiveEntry { stage, ..entry }),
            }
        }
    }

    /// Add the retry delay to the refusal of a request that another host can
    /// serve.
    pub(super) fn with_stop_retry_after(&mut self, now: Moment, refusal: Refusal) -> Refusal {
        refusal.with_retry_after(self.bound.retry_after(now))
    }
}
