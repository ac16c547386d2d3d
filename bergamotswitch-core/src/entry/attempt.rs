//! Provides the attempts of a live request, each with its typestate.

use std::time::Duration;

use super::Submission;
use super::request_state::{Dispatched, LiveRequest, NotRunProof, Uncertain, Waiting};
use super::run_durations::RunTiming;
use crate::clock::Moment;
use crate::host::HostName;
use crate::permit::{Permit, Usage};
use crate::refusal::{Refusal, RefusalReason};

/// A `WaitingState` is the state of a request that waits for a permit.
#[derive(Debug)]
pub(super) enum WaitingState {
    /// No attempt ran.
    Fresh(LiveRequest<Waiting>),
    /// An earlier attempt may have run.
    Rerun(LiveRequest<Uncertain>),
}

impl WaitingState {
    /// Get the state after the decision to dispatch.
    pub(super) fn dispatch(self) -> RunningState {
        match self {
            WaitingState::Fresh(request) => RunningState::FirstRun(request.dispatch()),
            WaitingState::Rerun(request) => RunningState::Rerun(request),
        }
    }

    /// End the request; the claim follows from its state.
    pub(super) fn refuse(self, reason: RefusalReason) -> Refusal {
        match self {
            // The owner knows, or suspects, another run of the same key: this
            // request was not run, but what its caller asks about may have.
            WaitingState::Fresh(_) if is_unknown(reason) => Refusal::may_have_run(reason),
            WaitingState::Fresh(request) => request.refuse(reason),
            WaitingState::Rerun(request) => request.give_up(reason),
        }
    }
}

/// Get whether a reason says that another run of the same key may exist.
pub(super) fn is_unknown(reason: RefusalReason) -> bool {
    matches!(reason, RefusalReason::OutcomeUnknown | RefusalReason::Lost)
}

/// A `RunningState` is the state of a request in flight.
#[derive(Debug)]
pub(super) enum RunningState {
    /// Every earlier attempt is proven not to have run.
    FirstRun(LiveRequest<Dispatched>),
    /// An earlier attempt may have run.
    Rerun(LiveRequest<Uncertain>),
}

impl RunningState {
    /// Get the state after a proof that this attempt did not run.
    pub(super) fn prove_not_run(self, proof: NotRunProof) -> WaitingState {
        match self {
            RunningState::FirstRun(request) => WaitingState::Fresh(request.back_to_waiting(proof)),
            RunningState::Rerun(request) => WaitingState::Rerun(request),
        }
    }

    /// Get the state in which another attempt follows one that may have run.
    pub(super) fn rerun(self) -> WaitingState {
        match self {
            RunningState::FirstRun(request) => WaitingState::Rerun(request.rerun()),
            RunningState::Rerun(request) => WaitingState::Rerun(request),
        }
    }

    /// End the request without an answer: it may have run.
    pub(super) fn give_up(self, reason: RefusalReason) -> Refusal {
        match self {
            RunningState::FirstRun(request) => request.give_up(reason),
            RunningState::Rerun(request) => request.give_up(reason),
        }
    }
}

/// A `WaitingAttempt` is an attempt that has no permit yet.
#[derive(Debug)]
pub(super) struct WaitingAttempt {
    pub(super) state: WaitingState,
    /// The owner that was requested_from; none while no owner is known.
    pub(super) requested_from: Option<HostName>,
    pub(super) requested_at: Moment,
    /// How often this attempt was requested_from for again at the same owner.
    pub(super) resends: u32,
}

/// A `RunningAttempt` is an attempt that was dispatched under a permit.
#[derive(Debug)]
pub(super) struct RunningAttempt {
    pub(super) state: RunningState,
    pub(super) permit: Permit,
    pub(super) granted_by: HostName,
    pub(super) started_at: Moment,
    pub(super) first_token_at: Option<Moment>,
    pub(super) decoded: u32,
}

impl RunningAttempt {
    /// Get how long it has taken, for so many pieces.
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

    /// Get what the attempt used when it is stopped at `now`. The engine
    /// admits a prompt on arrival, so the whole estimate counts.
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

/// An `AttemptStage` is where the current attempt of a request stands.
#[derive(Debug)]
pub(super) enum AttemptStage {
    Waiting(WaitingAttempt),
    Running(RunningAttempt),
}

/// Get a span in whole milliseconds, as messages carry it.
pub(super) fn to_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
