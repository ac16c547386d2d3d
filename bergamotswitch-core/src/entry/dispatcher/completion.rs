//! Provides the completion of requests: releasing the permit, reporting the
//! outcome and storing the answer.

use super::EntryDispatcher;
use crate::clock::Moment;
use crate::entry::answer_cache::KeptAnswer;
use crate::entry::attempt::{RunningAttempt, may_have_other_run};
use crate::entry::request_table::RequestRecord;
use crate::entry::{Conclusion, EntryAction};
use crate::incident::Incident;
use crate::permit::{OwnerMessage, Release, ReleaseOutcome, Usage};
use crate::refusal::{Refusal, RunClaim};

impl EntryDispatcher {
    /// Release the permit of an attempt to the acting owner, to which this host
    /// reported the permit at takeover, and withdraw the request for its replacement.
    pub(super) fn release(
        &mut self,
        now: Moment,
        record: &RequestRecord,
        running: &RunningAttempt,
        outcome: ReleaseOutcome,
        actions: &mut Vec<EntryAction>,
    ) {
        if let Some(pending) = &running.replacement {
            self.withdraw_replacement(now, record, pending, actions);
        }
        let rule = &record.submission.verdict.rule;
        let span = |usage: Usage| {
            let chunks = usage.decode.max(running.decoded);
            running.run_timing(now, &record.submission, chunks)
        };
        match outcome {
            ReleaseOutcome::Finished(usage) => self.durations.record(rule, span(usage)),
            ReleaseOutcome::Failed(usage) | ReleaseOutcome::Stopped(usage) => {
                self.durations.record_aborted(rule, span(usage));
            }
            ReleaseOutcome::Unused | ReleaseOutcome::Unreachable | ReleaseOutcome::Refused => {}
        }
        let owner = self.owners.get(&record.shard);
        let host = owner.unwrap_or(&running.granted_by).clone();
        let release = Release {
            permit: running.permit.id,
            attempt: running.permit.attempt,
            outcome,
        };
        let message = OwnerMessage::Release {
            shard: record.shard.clone(),
            release,
        };
        actions.push(EntryAction::Send(host, message));
    }

    /// End a request without an answer from a target.
    pub(super) fn refuse(
        &mut self,
        now: Moment,
        record: RequestRecord,
        refusal: Refusal,
        actions: &mut Vec<EntryAction>,
    ) {
        actions.push(EntryAction::LogIncident(
            Incident::RequestRefused,
            record.id,
        ));
        let tier = record.submission.verdict.tier;
        actions.push(EntryAction::CountRefusal(tier, refusal.reason()));
        self.log_missing_version(&record, refusal.reason(), actions);
        if let Some(key) = &record.key
            && is_rerunnable(&record, &refusal)
        {
            self.keys.allow_rerun(key, now);
        }
        // A caller that resubmits a request asks about all copies of it, and an
        // earlier copy may have run even if this one did not.
        let refusal = match record.submission.may_have_run_before() {
            true => refusal.with_unknown_run(),
            false => refusal,
        };
        self.conclude(now, record, None, Conclusion::Refused(refusal), actions);
    }

    /// End a request: report its outcome to the caller, and store it if a
    /// resubmission may ask for it.
    pub(super) fn conclude(
        &mut self,
        now: Moment,
        record: RequestRecord,
        first_token_at: Option<Moment>,
        conclusion: Conclusion,
        actions: &mut Vec<EntryAction>,
    ) {
        self.end_trial(&record, &conclusion);
        actions.push(EntryAction::Conclude(record.id, conclusion.clone()));
        actions.push(EntryAction::CountEnd {
            tier: record.submission.verdict.tier,
            good: conclusion == Conclusion::Answered && now <= record.deadline,
            first_token: first_token_at.map(|at| at.since(record.accepted_at)),
        });
        if !record.keeps_answer() {
            // The caller received the answer and could run the request again.
            // Stored answers are a host's largest use of memory.
            actions.push(EntryAction::DropAnswer(record.id));
            return;
        }
        let answer = KeptAnswer {
            key: record.key,
            ended_at: now,
            conclusion,
            bytes: 0,
        };
        self.answers.insert(record.id, answer);
    }
}

/// Get whether the key of a refused request may start a new run: the request
/// did not run here, or can be rerun safely. If the refusal were stored under
/// the key, a caller that was told "not run" could never submit the request
/// again.
fn is_rerunnable(record: &RequestRecord, refusal: &Refusal) -> bool {
    record.may_rerun()
        || refusal.claim() == RunClaim::NotRun
        // The owner reported another run of the key. It has to be asked again
        // for the next submission.
        || may_have_other_run(refusal.reason())
}
