//! Provides the attempts of a live request, with their typestate.

use std::time::Duration;

use super::Submission;
use super::request_state::{Dispatched, LiveRequest, NotRunProof, Uncertain, Waiting};
use super::run_durations::RunTiming;
use crate::clock::Moment;
use crate::host::HostName;
use crate::permit::{Permit, Usage};
use crate::pool::PoolShard;
use crate::refusal::{Refusal, RefusalReason, RunClaim};
use crate::request::AttemptId;
use crate::target::TargetVersion;
use crate::target_path::TargetPath;

/// The time after which a target that writes an answer has not crashed under it.
const LONG_WRITE: Duration = Duration::from_secs(1);

/// A `WaitingState` is the state of a request that waits for a permit.
#[derive(Debug)]
pub(super) enum WaitingState {
    Fresh(LiveRequest<Waiting>),
    Rerun(LiveRequest<Uncertain>),
}

impl WaitingState {
    /// Get the state after the decision to dispatch the request.
    pub(super) fn dispatch(self) -> RunningState {
        match self {
            WaitingState::Fresh(request) => RunningState::FirstRun(request.dispatch()),
            WaitingState::Rerun(request) => RunningState::Rerun(request),
        }
    }

    /// Get what a refusal can say about earlier attempts.
    pub(super) fn run_claim(&self) -> RunClaim {
        match self {
            WaitingState::Fresh(_) => RunClaim::NotRun,
            WaitingState::Rerun(_) => RunClaim::Unknown,
        }
    }

    /// End the request with a refusal, whose run claim follows from the state.
    pub(super) fn refuse(self, reason: RefusalReason) -> Refusal {
        match self {
            // The owner knows or suspects another run of the same key. This
            // submission did not run, but the request that its caller asks
            // about may have.
            WaitingState::Fresh(_) if may_have_other_run(reason) => Refusal::may_have_run(reason),
            WaitingState::Fresh(request) => request.refuse(reason),
            WaitingState::Rerun(request) => request.give_up(reason),
        }
    }
}

/// Get whether a reason means that another run of the same key may exist.
pub(super) fn may_have_other_run(reason: RefusalReason) -> bool {
    matches!(reason, RefusalReason::OutcomeUnknown | RefusalReason::Lost)
}

/// A `RunningState` is the state of a request in flight.
#[derive(Debug)]
pub(super) enum RunningState {
    /// Every earlier attempt provably did not run.
    FirstRun(LiveRequest<Dispatched>),
    /// An earlier attempt may have run.
    Rerun(LiveRequest<Uncertain>),
}

impl RunningState {
    /// Get what a refusal can say about earlier attempts, without this one.
    pub(super) fn run_claim(&self) -> RunClaim {
        match self {
            RunningState::FirstRun(_) => RunClaim::NotRun,
            RunningState::Rerun(_) => RunClaim::Unknown,
        }
    }

    /// Get the state after a proof that this attempt did not run.
    pub(super) fn prove_not_run(self, proof: NotRunProof) -> WaitingState {
        match self {
            RunningState::FirstRun(request) => WaitingState::Fresh(request.back_to_waiting(proof)),
            RunningState::Rerun(request) => WaitingState::Rerun(request),
        }
    }

    /// Get the state for another attempt after one that may have run.
    pub(super) fn rerun(self) -> WaitingState {
        match self {
            RunningState::FirstRun(request) => WaitingState::Rerun(request.rerun()),
            RunningState::Rerun(request) => WaitingState::Rerun(request),
        }
    }

    /// End the request without an answer; it may have run.
    pub(super) fn give_up(self, reason: RefusalReason) -> Refusal {
        match self {
            RunningState::FirstRun(request) => request.give_up(reason),
            RunningState::Rerun(request) => request.give_up(reason),
        }
    }
}

/// A `WaitingAttempt` is an attempt that waits for a permit.
#[derive(Debug)]
pub(super) struct WaitingAttempt {
    pub(super) state: WaitingState,
    /// The owner to which the permit request was sent, if one is known.
    pub(super) requested_from: Option<HostName>,
    pub(super) requested_at: Moment,
    /// The number of times the permit request was sent again to that owner.
    pub(super) resends: u32,
}

/// A `PendingReplacement` is the request for a permit under which another run would
/// replace a silent one. It has been charged to the retry budget.
#[derive(Debug)]
pub(super) struct PendingReplacement {
    pub(super) attempt: AttemptId,
    pub(super) shard: PoolShard,
    /// The owner to which the permit request was sent, if one is known.
    pub(super) requested_from: Option<HostName>,
}

/// A `RunningAttempt` is an attempt that was dispatched under a permit.
#[derive(Debug)]
pub(super) struct RunningAttempt {
    pub(super) state: RunningState,
    pub(super) permit: Permit,
    pub(super) granted_by: HostName,
    pub(super) started_at: Moment,
    /// The paths tried so far, the current one last.
    pub(super) paths: Vec<TargetPath>,
    /// The version of the target's software, as published; `None` if it changed meanwhile.
    pub(super) version: Option<TargetVersion>,
    pub(super) first_token_at: Option<Moment>,
    pub(super) decoded: u32,
    /// Whether the head of the answer named a rate limit.
    pub(super) limit_named: bool,
    /// Whether the head of the answer said that the target is brittle.
    pub(super) brittle_named: bool,
    /// Whether the target asked for rest.
    pub(super) rest_asked: bool,
    /// Whether the answer was recorded as one that has been written for a while.
    pub(super) is_recorded_sound: bool,
    /// The run that would replace this one, which is silent.
    pub(super) replacement: Option<Box<PendingReplacement>>,
}

impl RunningAttempt {
    /// Get whether the target has been writing the answer for a while.
    pub(super) fn writes_long(&self, now: Moment) -> bool {
        let writes_since = self.first_token_at;
        writes_since.is_some_and(|at| now.since(at) >= LONG_WRITE)
    }

    /// Get the host whose tunnel the attempt uses.
    pub(super) fn tunnel_host(&self) -> Option<&HostName> {
        self.paths.last().and_then(TargetPath::tunnel_host)
    }

    /// Get the timing of the run so far, given the number of chunks received.
    pub(super) fn run_timing(
        &self,
        now: Moment,
        submission: &Submission,
        chunks: u32,
    ) -> RunTiming {
        let first = self.first_token_at.unwrap_or(now);
        RunTiming {
            elapsed: now.since(self.started_at),
            first_chunk: first.since(self.started_at),
            chunks,
            expected_output: submission.cost.decode,
        }
    }

    /// Get the usage of an attempt that is stopped at `now`. An engine admits
    /// the whole prompt on arrival, so the full prefill estimate counts.
    pub(super) fn usage(&self, now: Moment, prefill: u32) -> Usage {
        let first_token = self.first_token_at.unwrap_or(now);
        Usage {
            prefill,
            cached: 0,
            decode: self.decoded,
            first_token_ms: to_millis(first_token.since(self.started_at)),
            elapsed_ms: to_millis(now.since(self.started_at)),
        }
    }
}

/// An `AttemptStage` is the stage of a request's current attempt.
#[derive(Debug)]
pub(super) enum AttemptStage {
    Waiting(WaitingAttempt),
    Running(RunningAttempt),
}

/// Convert a duration to whole milliseconds, the unit of peer messages.
pub(super) fn to_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
