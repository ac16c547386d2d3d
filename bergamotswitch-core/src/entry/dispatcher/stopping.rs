//! Provides the desk's part of a planned stop whose process is killed at the
//! end of its grace.
//!
//! Without it a stopping host takes work that needs longer than the grace has
//! left: its process is killed in the middle of answers, and callers that could
//! have been served by another host lose them. One sees 109 and 207 in its log,
//! and connections that close in the middle of an answer. So it begins only
//! what ends in time, and tells everything else at once that it has not run.

use std::time::Duration;

use super::EntryDispatcher;
use super::aborting::AbortReason;
use crate::clock::Moment;
use crate::entry::attempt::AttemptStage;
use crate::entry::request_table::LiveEntry;
use crate::entry::run_durations::{OutputEstimate, RunTiming};
use crate::entry::{EntryAction, Submission};
use crate::refusal::{Refusal, RefusalReason, WasteCause};

/// When a caller comes back that a stopping host turns away while others take
/// callers. Another host serves it at once; the pause keeps callers that stay at
/// this address from asking it without end.
pub const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Callers that are told to wait until others are back come over so many parts
/// of the wait longer: all of them at once would fill the first host's queues.
const SPREAD_DIVISOR: u32 = 4;

/// The step by which one caller's place in that spread follows another's, in
/// parts of 65,536: the golden section keeps any number of them evenly apart.
const SPREAD_STEP: u16 = 40_503;

/// A `StopBound` is what a planned stop that may not last sets to new work.
#[derive(Debug)]
pub(super) struct StopBound {
    /// By when answers have to be whole; never where nothing bounds the stop.
    finish_by: Moment,
    /// Whether no new request is taken.
    pub(super) is_closed: bool,
    /// When enough other hosts take callers again, where few do.
    pub(super) hosts_available_at: Option<Moment>,
    /// Where in the spread the next caller comes back.
    spread_position: u16,
}

impl Default for StopBound {
    fn default() -> Self {
        StopBound {
            finish_by: Moment::NEVER,
            is_closed: false,
            hosts_available_at: None,
            spread_position: 0,
        }
    }
}

impl StopBound {
    /// Get when a caller comes back that is turned away now.
    fn retry_after(&mut self, now: Moment) -> Duration {
        let wait = self
            .hosts_available_at
            .map_or(Duration::ZERO, |at| at.since(now));
        if wait <= STOPPING_RETRY_AFTER {
            return STOPPING_RETRY_AFTER;
        }
        self.spread_position = self.spread_position.wrapping_add(SPREAD_STEP);
        let place = f64::from(self.spread_position) / f64::from(u16::MAX);
        wait + (wait / SPREAD_DIVISOR).mul_f64(place)
    }
}

impl EntryDispatcher {
    /// Take in by when answers have to be whole, and turn away what waits and
    /// will not be.
    pub(super) fn set_finish_by(
        &mut self,
        now: Moment,
        at: Moment,
        actions: &mut Vec<EntryAction>,
    ) {
        self.bound.finish_by = at;
        self.refuse_unfinishable(now, actions);
    }

    /// Get whether a run that begins now ends in time: its deadline ends it in
    /// any case, or recent runs tell that it takes far less than what is left.
    /// Work of which nobody can tell how long it takes does not begin.
    pub(super) fn may_start(&self, now: Moment, submission: &Submission, deadline: Moment) -> bool {
        if self.bound.finish_by == Moment::NEVER {
            return true;
        }
        if submission.options.ends_at_deadline && deadline <= self.bound.finish_by {
            return true;
        }
        let span = self.run_time_bound(now, submission);
        span.is_some_and(|span| now.plus(span) <= self.bound.finish_by)
    }

    /// Get whether the answer of another host's request may still be passed on
    /// through this one: how long it takes is that host's to know.
    pub(super) fn may_forward(&self, now: Moment, submission: &Submission) -> bool {
        self.may_start(now, submission, Moment::NEVER)
    }

    /// Get how long a run of a submission may take, as far as the recent runs of
    /// its rule and those under way tell.
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

    /// Refuse what waits and would not end in time: there is still time for it
    /// elsewhere.
    pub(super) fn refuse_unfinishable(&mut self, now: Moment, actions: &mut Vec<EntryAction>) {
        if self.bound.finish_by == Moment::NEVER {
            return;
        }
        for id in self.requests.waiting_ids() {
            let Some(entry) = self.requests.take(id) else {
                continue;
            };
            let deadline = entry.record.deadline;
            let fits = self.may_start(now, &entry.record.submission, deadline);
            match entry.stage {
                AttemptStage::Waiting(waiting) if !fits => {
                    self.withdraw(&entry.record, waiting.requested_from.as_ref(), actions);
                    let refusal = self
                        .with_stop_retry_after(now, waiting.state.refuse(RefusalReason::Stopping));
                    self.refuse(now, entry.record, refusal, actions);
                }
                stage => self.requests.put(LiveEntry { stage, ..entry }),
            }
        }
    }

    /// End everything that is still open: the process is about to be killed, and
    /// a final answer, a permit given back and a line in the log are better than
    /// none.
    pub(super) fn terminate(&mut self, now: Moment, actions: &mut Vec<EntryAction>) {
        // Nothing begins any more.
        self.set_finish_by(now, Moment::START, actions);
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

    /// Get the refusal of a request that another host can serve.
    pub(super) fn with_stop_retry_after(&mut self, now: Moment, refusal: Refusal) -> Refusal {
        refusal.with_retry_after(self.bound.retry_after(now))
    }
}
