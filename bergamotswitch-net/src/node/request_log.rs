//! Provides the log lines about requests of the gateway.

use std::fmt::Display;
use std::time::Duration;

use bergamotswitch_core::call_signature::CallSignature;
use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::{AttemptEvent, Conclusion, Submission};
use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::name::AccountName;
use bergamotswitch_core::refusal::RefusalReason;
use bergamotswitch_core::request::{PartId, RequestId};
use bergamotswitch_core::rules::{RuleName, Tier};
use bergamotswitch_core::target::TargetName;

use super::stop::StopSchedule;
use crate::event_log;
use crate::input::OutgoingCall;

/// A `LatestRun` is what became of the latest run of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LatestRun {
    /// There was none.
    #[default]
    None,
    Running,
    /// This host aborted it.
    Aborted,
    /// The target or its connection ended it.
    Ended,
}

impl LatestRun {
    fn as_str(self) -> &'static str {
        match self {
            LatestRun::None => "none",
            LatestRun::Running => "running",
            LatestRun::Aborted => "aborted",
            LatestRun::Ended => "ended",
        }
    }
}

/// A `RequestLog` holds the data for the log lines about a request.
#[derive(Debug)]
pub(super) struct RequestLog {
    /// The request id from the caller. Requests of the native API have none; their
    /// callers receive the internal id.
    caller_id: Option<String>,
    signature: CallSignature,
    parts: Vec<PartId>,
    rule: RuleName,
    account: AccountName,
    /// The time within which the answer should begin, if the route sets one.
    first_answer_goal: Option<Duration>,
    pub(super) tier: Tier,
    prompt_tokens: u32,
    output_tokens: u32,
    /// The maximum number of output tokens, if the call states it.
    max_output_tokens: Option<u32>,
    received_at: Moment,
    started_at: Option<Moment>,
    first_token_at: Option<Moment>,
    /// The last time at which a run reported output.
    output_at: Option<Moment>,
    latest_run: LatestRun,
    deadline: Moment,
    is_stream: bool,
    targets: Vec<TargetName>,
    /// The start of the planned stop during which the request was received.
    stop_at: Option<Moment>,
}

impl RequestLog {
    /// Get the log of a request that has just been received.
    pub(super) fn of(now: Moment, submission: &Submission, call: &OutgoingCall) -> Self {
        let routed = call.routed.as_ref();
        RequestLog {
            caller_id: routed.map(|routed| routed.request_id.clone()),
            signature: CallSignature::of(submission),
            parts: submission.parts.clone(),
            rule: submission.verdict.rule.clone(),
            account: submission.account.clone(),
            first_answer_goal: submission.options.first_token_limit,
            tier: submission.verdict.tier,
            prompt_tokens: submission.cost.prefill,
            output_tokens: submission.cost.decode,
            max_output_tokens: submission.options.max_output_tokens,
            received_at: now,
            started_at: None,
            first_token_at: None,
            output_at: None,
            latest_run: LatestRun::None,
            deadline: now.plus(submission.deadline_in),
            is_stream: submission.streaming,
            targets: Vec::new(),
            stop_at: None,
        }
    }

    /// Set the start of the planned stop during which the request was received.
    pub(super) fn with_stop(mut self, stop_at: Option<Moment>) -> Self {
        self.stop_at = stop_at;
        self
    }

    /// Record a dispatch to a target.
    pub(super) fn record_dispatch(&mut self, now: Moment, target: &TargetName) {
        self.started_at.get_or_insert(now);
        self.latest_run = LatestRun::Running;
        self.targets.push(target.clone());
    }

    /// Record an event of a run.
    pub(super) fn record_event(&mut self, now: Moment, event: AttemptEvent) {
        match event {
            AttemptEvent::FirstToken => {
                self.first_token_at.get_or_insert(now);
                self.output_at = Some(now);
            }
            AttemptEvent::Progress(_) => self.output_at = Some(now),
            AttemptEvent::NotSent(_)
            | AttemptEvent::Refused
            | AttemptEvent::Failed
            | AttemptEvent::FailureWithheld
            | AttemptEvent::Finished(_)
            | AttemptEvent::Broken(_)
            | AttemptEvent::TunnelBroken(_) => self.latest_run = LatestRun::Ended,
            AttemptEvent::Connected
            | AttemptEvent::LimitNamed(_)
            | AttemptEvent::LeavingNamed
            | AttemptEvent::BrittleNamed(_)
            | AttemptEvent::PaceNamed(_)
            | AttemptEvent::RestAsked(_)
            | AttemptEvent::Resumed
            | AttemptEvent::Stalled => {}
        }
    }

    /// Record that this host aborted the latest run.
    pub(super) fn record_abort(&mut self) {
        self.latest_run = LatestRun::Aborted;
    }

    /// Get the reason for which this host ends a stream that has begun, unless its caller
    /// has left.
    pub(super) fn cut_reason(&self, conclusion: &Conclusion) -> Option<RefusalReason> {
        let Conclusion::Refused(refusal) = conclusion else {
            return None;
        };
        let has_begun = self.is_stream && self.first_token_at.is_some();
        let is_cut = has_begun && refusal.reason() != RefusalReason::CallerLeft;
        is_cut.then(|| refusal.reason())
    }

    /// Write the log line about a stream that this host ends after it has begun.
    pub(super) fn write_cut(&self, now: Moment, id: RequestId, reason: RefusalReason) {
        let caller_id = self.caller_id.as_deref().unwrap_or_default();
        let silent = self.output_at.map_or(0, |at| now.since(at).as_millis());
        let left = self.deadline.since(now).as_millis();
        let targets = self.target_names();
        let pairs: [(&str, &dyn Display); 8] = [
            ("request", &caller_id),
            ("number", &id.sequence),
            ("route", &self.rule),
            ("reason", &reason.as_str()),
            ("latest_run", &self.latest_run.as_str()),
            ("silent_ms", &silent),
            ("left_ms", &left),
            ("targets", &targets),
        ];
        event_log::write(Incident::StreamCut, &pairs);
    }

    /// Write the log line about the end of the request.
    pub(super) fn write_end(
        &self,
        now: Moment,
        id: Option<RequestId>,
        conclusion: &Conclusion,
        data_parts: usize,
    ) {
        let Some(caller_id) = &self.caller_id else {
            return;
        };
        let (outcome, reason, ran) = match conclusion {
            Conclusion::Answered => ("answered", "", ""),
            Conclusion::TargetError => ("target-error", "", ""),
            Conclusion::Refused(refusal) => (
                "refused",
                refusal.reason().as_str(),
                refusal.claim().as_str(),
            ),
        };
        let id = id.map_or(String::new(), |id| id.sequence.to_string());
        let targets = self.target_names();
        let waited = self
            .started_at
            .unwrap_or(now)
            .since(self.received_at)
            .as_millis();
        let took = now.since(self.received_at).as_millis();
        let first = self
            .first_token_at
            .map(|at| at.since(self.received_at).as_millis());
        let first = first.map_or(String::new(), |millis| millis.to_string());
        let goal = self.first_answer_goal.map(|goal| goal.as_millis());
        let goal = goal.map_or(String::new(), |millis| millis.to_string());
        let stopping = self
            .stop_at
            .map(|at| self.received_at.since(at).as_millis());
        let stopping = stopping.map_or(String::new(), |millis| millis.to_string());
        let max_output = self.max_output_text();
        let parts = self.part_ids();
        let pairs: [(&str, &dyn Display); 20] = [
            ("request", caller_id),
            ("number", &id),
            ("route", &self.rule),
            ("account", &self.account),
            ("tier", &self.tier.0),
            ("aim_ms", &goal),
            ("signature", &self.signature),
            ("parts", &parts),
            ("outcome", &outcome),
            ("reason", &reason),
            ("ran", &ran),
            ("waited_ms", &waited),
            ("first_ms", &first),
            ("took_ms", &took),
            ("targets", &targets),
            ("prompt", &self.prompt_tokens),
            ("output", &self.output_tokens),
            ("most_output", &max_output),
            ("pieces", &data_parts),
            ("stopping_ms", &stopping),
        ];
        event_log::write(Incident::RequestEnded, &pairs);
    }

    /// Write the log line about a request that is still open although the grace
    /// period is nearly over.
    pub(super) fn write_open(
        &self,
        now: Moment,
        id: RequestId,
        stop: &StopSchedule,
        data_parts: usize,
    ) {
        let number = id.sequence;
        let caller_id = self.caller_id.as_deref().unwrap_or_default();
        let stage = match self.started_at {
            Some(_) => "running",
            None => "waiting",
        };
        let age = now.since(self.received_at).as_millis();
        let ran = self.started_at.map_or(Duration::ZERO, |at| now.since(at));
        let ran = ran.as_millis();
        // Negative for a request that was received before the stop signal.
        let stopping = match self.received_at < stop.started_at {
            true => format!("-{}", stop.started_at.since(self.received_at).as_millis()),
            false => self
                .received_at
                .since(stop.started_at)
                .as_millis()
                .to_string(),
        };
        let targets = self.target_names();
        let max_output = self.max_output_text();
        let pairs: [(&str, &dyn Display); 14] = [
            ("request", &caller_id),
            ("number", &number),
            ("route", &self.rule),
            ("account", &self.account),
            ("tier", &self.tier.0),
            ("stage", &stage),
            ("age_ms", &age),
            ("ran_ms", &ran),
            ("targets", &targets),
            ("prompt", &self.prompt_tokens),
            ("output", &self.output_tokens),
            ("most_output", &max_output),
            ("pieces", &data_parts),
            ("stopping_ms", &stopping),
        ];
        event_log::write(Incident::RequestOpen, &pairs);
    }

    fn max_output_text(&self) -> String {
        self.max_output_tokens
            .map_or(String::new(), |tokens| tokens.to_string())
    }

    fn target_names(&self) -> String {
        let names: Vec<&str> = self.targets.iter().map(TargetName::as_str).collect();
        names.join(",")
    }

    fn part_ids(&self) -> String {
        let ids: Vec<String> = self.parts.iter().map(PartId::to_string).collect();
        ids.join(",")
    }
}
