//! Provides what log lines say of a gateway's request.

use std::fmt::Display;
use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::{Conclusion, Submission};
use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::name::AccountName;
use bergamotswitch_core::request::RequestId;
use bergamotswitch_core::rules::{RuleName, Tier};
use bergamotswitch_core::target::TargetName;

use super::stop::StopTimes;
use crate::event_log;
use crate::input::OutgoingCall;

/// A `RequestLabel` is what the line about a request's end says of it.
#[derive(Debug)]
pub(super) struct RequestLabel {
    /// The caller's id; none for the project's own interface, whose callers
    /// are told the internal one.
    caller_id: Option<String>,
    rule: RuleName,
    account: AccountName,
    /// How long its answer may take to begin, where its route says so.
    aim: Option<Duration>,
    /// The tier.
    pub(super) tier: Tier,
    prompt: u32,
    output: u32,
    /// The most output tokens that the call names.
    most_output: Option<u32>,
    received_at: Moment,
    started_at: Option<Moment>,
    first_at: Option<Moment>,
    targets: Vec<TargetName>,
    /// When the planned stop began under which it was received.
    stop_at: Option<Moment>,
}

impl RequestLabel {
    /// Get the label of a request that was received now.
    pub(super) fn of(now: Moment, submission: &Submission, call: &OutgoingCall) -> Self {
        let routed = call.routed.as_ref();
        RequestLabel {
            caller_id: routed.map(|routed| routed.request_id.clone()),
            rule: submission.verdict.rule.clone(),
            account: submission.account.clone(),
            aim: submission.options.first_token_limit,
            tier: submission.verdict.tier,
            prompt: submission.cost.prefill,
            output: submission.cost.decode,
            most_output: submission.options.max_output_tokens,
            received_at: now,
            started_at: None,
            first_at: None,
            targets: Vec::new(),
            stop_at: None,
        }
    }

    /// Set when the planned stop began under which it was received.
    pub(super) fn with_stop(mut self, stop_at: Option<Moment>) -> Self {
        self.stop_at = stop_at;
        self
    }

    /// Note a target to which it is sent.
    pub(super) fn note_target(&mut self, now: Moment, target: &TargetName) {
        self.started_at.get_or_insert(now);
        self.targets.push(target.clone());
    }

    /// Note that its answer begins.
    pub(super) fn note_first(&mut self, now: Moment) {
        self.first_at.get_or_insert(now);
    }

    /// Write the line about its end.
    pub(super) fn note_end(
        &self,
        now: Moment,
        id: Option<RequestId>,
        conclusion: &Conclusion,
        pieces: usize,
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
            .first_at
            .map(|at| at.since(self.received_at).as_millis());
        let first = first.map_or(String::new(), |millis| millis.to_string());
        let aim = self.aim.map(|aim| aim.as_millis());
        let aim = aim.map_or(String::new(), |millis| millis.to_string());
        let stopping = self
            .stop_at
            .map(|at| self.received_at.since(at).as_millis());
        let stopping = stopping.map_or(String::new(), |millis| millis.to_string());
        let most = self.most_text();
        let pairs: [(&str, &dyn Display); 18] = [
            ("request", caller_id),
            ("number", &id),
            ("route", &self.rule),
            ("account", &self.account),
            ("tier", &self.tier.0),
            ("aim_ms", &aim),
            ("outcome", &outcome),
            ("reason", &reason),
            ("ran", &ran),
            ("waited_ms", &waited),
            ("first_ms", &first),
            ("took_ms", &took),
            ("targets", &targets),
            ("prompt", &self.prompt),
            ("output", &self.output),
            ("most_output", &most),
            ("pieces", &pieces),
            ("stopping_ms", &stopping),
        ];
        event_log::write(Incident::RequestEnded, &pairs);
    }

    /// Write the line about a request that is open although the grace is
    /// nearly over.
    pub(super) fn note_open(&self, now: Moment, id: RequestId, stop: &StopTimes, pieces: usize) {
        let number = id.sequence;
        let caller_id = self.caller_id.as_deref().unwrap_or_default();
        let stage = match self.started_at {
            Some(_) => "running",
            None => "waiting",
        };
        let age = now.since(self.received_at).as_millis();
        let ran = self.started_at.map_or(Duration::ZERO, |at| now.since(at));
        let ran = ran.as_millis();
        // Negative for a request from before the signal.
        let stopping = match self.received_at < stop.begun_at {
            true => format!("-{}", stop.begun_at.since(self.received_at).as_millis()),
            false => self
                .received_at
                .since(stop.begun_at)
                .as_millis()
                .to_string(),
        };
        let targets = self.target_names();
        let most = self.most_text();
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
            ("prompt", &self.prompt),
            ("output", &self.output),
            ("most_output", &most),
            ("pieces", &pieces),
            ("stopping_ms", &stopping),
        ];
        event_log::write(Incident::RequestOpen, &pairs);
    }

    fn most_text(&self) -> String {
        self.most_output
            .map_or(String::new(), |tokens| tokens.to_string())
    }

    fn target_names(&self) -> String {
        let names: Vec<&str> = self.targets.iter().map(TargetName::as_str).collect();
        names.join(",")
    }
}
