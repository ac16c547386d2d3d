//! Provides the handling of events from attempts in flight.

use super::EntryDispatcher;
use super::retries::{FailedAttempt, count_waste};
use crate::clock::Moment;
use crate::entry::attempt::{AttemptStage, RunningAttempt};
use crate::entry::request_state::NotRunProof;
use crate::entry::request_table::{LiveEntry, RequestRecord};
use crate::entry::{AttemptEvent, Conclusion, EntryAction, NotSentReason};
use crate::incident::Incident;
use crate::permit::{ReleaseOutcome, Usage};
use crate::refusal::{RefusalReason, RetryReason, RunClaim, WasteCause};
use crate::request::AttemptId;

/// A `FailureAnswer` is what becomes of an error response as the answer to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureAnswer {
    Kept,
    Withheld,
}

impl EntryDispatcher {
    /// Handle an event of an attempt. Events of an attempt that is not the
    /// current one are ignored.
    pub(super) fn handle_attempt_event(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        event: AttemptEvent,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(entry) = self.requests.take_attempt(attempt) else {
            return;
        };
        let LiveEntry { record, stage } = entry;
        match stage {
            AttemptStage::Running(running) => {
                self.handle_running_event(now, record, running, event, actions)
            }
            stage => self.requests.put(LiveEntry { record, stage }),
        }
    }

    fn handle_running_event(
        &mut self,
        now: Moment,
        mut record: RequestRecord,
        mut running: RunningAttempt,
        event: AttemptEvent,
        actions: &mut Vec<EntryAction>,
    ) {
        let is_answer = matches!(
            event,
            AttemptEvent::FirstToken
                | AttemptEvent::Finished(_)
                | AttemptEvent::Refused
                | AttemptEvent::Failed
                | AttemptEvent::FailureWithheld
        );
        if is_answer {
            self.record_path_answer(&running);
        }
        match event {
            AttemptEvent::Connected => {
                self.record_connected(now, &running, actions);
                self.put_back(record, running);
            }
            AttemptEvent::FirstToken => {
                self.end_silence(now, &record, &mut running, actions);
                self.earn_reconnect(now, &record, &running);
                running.first_token_at.get_or_insert(now);
                self.record_stream_version(now, &mut record, &running, actions);
                self.put_back(record, running);
            }
            AttemptEvent::LimitNamed(limit) => {
                self.limit_named(now, &record, &running, limit, actions);
                running.limit_named = true;
                self.put_back(record, running);
            }
            AttemptEvent::LeavingNamed => {
                self.leaving_named(now, &record, &running, actions);
                self.put_back(record, running);
            }
            AttemptEvent::BrittleNamed(refusals) => {
                self.brittle_named(now, &record, &running, refusals, actions);
                running.brittle_named = true;
                self.put_back(record, running);
            }
            AttemptEvent::PaceNamed(pace) => {
                self.pace_named(now, &record, &running, pace, actions);
                self.put_back(record, running);
            }
            AttemptEvent::RestAsked(rest) => {
                self.rest_asked(now, &running.permit.target, rest, actions);
                running.rest_asked = true;
                self.put_back(record, running);
            }
            AttemptEvent::Progress(tokens) => {
                self.end_silence(now, &record, &mut running, actions);
                running.decoded = running.decoded.max(tokens);
                self.record_progress(now, &record, &mut running);
                self.put_back(record, running);
            }
            AttemptEvent::Resumed => {
                actions.push(EntryAction::LogIncident(Incident::StreamResumed, record.id));
                self.put_back(record, running);
            }
            AttemptEvent::Stalled => self.stalled(now, record, running, actions),
            AttemptEvent::Finished(usage) => self.finished(now, record, running, usage, actions),
            AttemptEvent::NotSent(reason) => self.not_sent(now, record, running, reason, actions),
            AttemptEvent::Refused => self.target_refused(now, record, running, actions),
            AttemptEvent::Failed => self.failed(now, record, running, FailureAnswer::Kept, actions),
            AttemptEvent::FailureWithheld => {
                self.failed(now, record, running, FailureAnswer::Withheld, actions);
            }
            AttemptEvent::Broken(usage) => {
                let outcome = self.broken_outcome(&running, usage);
                self.broken(now, record, running, outcome, actions);
            }
            AttemptEvent::TunnelBroken(usage) => {
                if let Some(host) = running.tunnel_host() {
                    self.paths.exclude(now, host);
                }
                let outcome = ReleaseOutcome::Stopped(usage);
                self.broken(now, record, running, outcome, actions);
            }
        }
    }

    pub(super) fn put_back(&mut self, record: RequestRecord, running: RunningAttempt) {
        self.requests.put(LiveEntry {
            record,
            stage: AttemptStage::Running(running),
        });
    }

    fn finished(
        &mut self,
        now: Moment,
        record: RequestRecord,
        running: RunningAttempt,
        usage: Usage,
        actions: &mut Vec<EntryAction>,
    ) {
        self.release(
            now,
            &record,
            &running,
            ReleaseOutcome::Finished(usage),
            actions,
        );
        self.record_answer(now, &record, &running);
        self.review_limit(&running, actions);
        self.review_brittle(&record, &running, actions);
        self.earn_reconnect(now, &record, &running);
        if now > record.deadline {
            count_waste(&record, WasteCause::Late, usage.prefill, actions);
        }
        let first_token = running.first_token_at;
        self.conclude(now, record, first_token, Conclusion::Answered, actions);
    }

    /// Earn a reconnect for an answer that begins, once per attempt.
    fn earn_reconnect(&mut self, now: Moment, record: &RequestRecord, running: &RunningAttempt) {
        if running.first_token_at.is_none() {
            self.budget(now, record).earn_reconnect();
        }
    }

    fn not_sent(
        &mut self,
        now: Moment,
        record: RequestRecord,
        running: RunningAttempt,
        reason: NotSentReason,
        actions: &mut Vec<EntryAction>,
    ) {
        let (record, running) = match reason {
            NotSentReason::ConnectFailed => {
                match self.try_next_path(now, record, running, actions) {
                    Ok(()) => return,
                    Err(failed) => *failed,
                }
            }
            NotSentReason::TargetUnavailable => (record, running),
        };
        // A target that is draining or unknown here has not failed.
        let (outcome, retry) = match reason {
            NotSentReason::ConnectFailed => {
                (ReleaseOutcome::Unreachable, RetryReason::ConnectFailed)
            }
            NotSentReason::TargetUnavailable => (ReleaseOutcome::Unused, RetryReason::PermitVoid),
        };
        self.release(now, &record, &running, outcome, actions);
        self.retry_unsent(now, record, running, reason, retry, actions);
    }

    fn target_refused(
        &mut self,
        now: Moment,
        record: RequestRecord,
        running: RunningAttempt,
        actions: &mut Vec<EntryAction>,
    ) {
        // A target that asks this host for rest may have room for others.
        let outcome = match running.rest_asked {
            true => ReleaseOutcome::Unused,
            false => ReleaseOutcome::Refused,
        };
        self.release(now, &record, &running, outcome, actions);
        let pool = &record.submission.pool;
        let contract = self.pools.contract(pool, &running.permit.target);
        let reason = RetryReason::TargetRefused;
        match NotRunProof::of_refusal(&contract) {
            Some(proof) => self.retry_not_run(now, record, running, proof, reason, actions),
            None => {
                let failure = FailedAttempt {
                    reason,
                    refusal: RefusalReason::TargetFailed,
                    usage: Usage::default(),
                };
                self.retry_uncertain(now, record, running, failure, actions);
            }
        }
    }

    /// Handle an error response of the target. Unless the request is retried, the response
    /// is passed on as the answer, or withheld.
    fn failed(
        &mut self,
        now: Moment,
        mut record: RequestRecord,
        running: RunningAttempt,
        answer: FailureAnswer,
        actions: &mut Vec<EntryAction>,
    ) {
        record.runs = record.runs.saturating_add(1);
        let outcome = ReleaseOutcome::Failed(Usage::default());
        self.release(now, &record, &running, outcome, actions);
        let retried = self.may_run_again(&record, &running)
            && self.try_retry(now, &record, RunClaim::Unknown).is_ok();
        if retried {
            record.avoid_target(&running.permit.target);
            let state = running.state.rerun();
            return self.retry(now, record, state, RetryReason::TargetError, actions);
        }
        match answer {
            FailureAnswer::Kept => {
                let first_token = running.first_token_at;
                self.conclude(now, record, first_token, Conclusion::TargetError, actions);
            }
            FailureAnswer::Withheld => {
                let refusal = self.give_up(running, RefusalReason::TargetFailed);
                self.refuse(now, record, refusal, actions);
            }
        }
    }

    fn broken(
        &mut self,
        now: Moment,
        record: RequestRecord,
        running: RunningAttempt,
        outcome: ReleaseOutcome,
        actions: &mut Vec<EntryAction>,
    ) {
        self.release(now, &record, &running, outcome, actions);
        let usage = match outcome {
            ReleaseOutcome::Failed(usage) => {
                self.record_crash(now, &record, &running);
                usage
            }
            ReleaseOutcome::Stopped(usage) => usage,
            _ => Usage::default(),
        };
        let refusal = match running.first_token_at {
            Some(_) => RefusalReason::AnswerTruncated,
            None => RefusalReason::TargetFailed,
        };
        let failure = FailedAttempt {
            reason: RetryReason::ConnectionBroke,
            refusal,
            usage,
        };
        self.retry_uncertain(now, record, running, failure, actions);
    }
}
