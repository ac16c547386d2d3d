//! Provides the attempts of a live request, each with its typestate.

use std::time::Duration;

use super::Submission;
use super::request_state::{Dispatched, LiveRequest, NotRunProof, Uncertain, Waiting};
use super::run_lengths::RunSpan;
use crate::clock::Moment;
use crate::host::HostName;
use crate::permit::{Permit, Usage};
use crate::refusal::{Refusal, RefusalReason};

/// A `WaitingLife` is the life of a request that waits for a permit.
#[derive(Debug)]
pub(super) enum WaitingLife {
    /// No attempt ran.
    Fresh(LiveRequest<Waiting>),
    /// An earlier attempt may have run.
    Rerun(LiveRequest<Uncertain>),
}

impl WaitingLife {
    /// Get the life after the decision to dispatch.
    pub(super) fn dispatch(self) -> RunningLife {
        match self {
            WaitingLife::Fresh(request) => RunningLife::First(request.dispatch()),
            WaitingLife::Rerun(request) => RunningLife::Again(request),
        }
    }

    /// End the request; the claim follows from its life.
    pub(super) fn refuse(self, reason: RefusalReason) -> Refusal {
        match self {
            // The owner knows, or suspects, another run of the same key: this
            // request was not run, but what its caller asks about may have.
            WaitingLife::Fresh(_) if is_unknown(reason) => Refusal::may_have_run(reason),
            WaitingLife::Fresh(request) => request.refuse(reason),
            WaitingLife::Rerun(request) => request.give_up(reason),
        }
    }
}

/// Get whether a reason says that another run of the same key may exist.
pub(super) fn is_unknown(reason: RefusalReason) -> bool {
    matches!(reason, RefusalReason::OutcomeUnknown | RefusalReason::Lost)
}

/// A `RunningLife` is the life of a request in flight.
#[derive(Debug)]
pub(super) enum RunningLife {
    /// Every earlier attempt is proven not to have run.
    First(LiveRequest<Dispatched>),
    /// An earlier attempt may have run.
    Again(LiveRequest<Uncertain>),
}

impl RunningLife {
    /// Get the life after a proof that this attempt did not run.
    pub(super) fn unrun(self, proof: NotRunProof) -> WaitingLife {
        match self {
            RunningLife::First(request) => WaitingLife::Fresh(request.back_to_waiting(proof)),
            RunningLife::Again(request) => WaitingLife::Rerun(request),
        }
    }

    /// Get the life in which another attempt follows one that may have run.
    pub(super) fn rerun(self) -> WaitingLife {
        match self {
            RunningLife::First(request) => WaitingLife::Rerun(request.rerun()),
            RunningLife::Again(request) => WaitingLife::Rerun(request),
        }
    }

    /// End the request without an answer: it may have run.
    pub(super) fn give_up(self, reason: RefusalReason) -> Refusal {
        match self {
            RunningLife::First(request) => request.give_up(reason),
            RunningLife::Again(request) => request.give_up(reason),
        }
    }
}

/// A `WaitingAttempt` is an attempt that has no permit yet.
#[derive(Debug)]
pub(super) struct WaitingAttempt {
    pub(super) life: WaitingLife,
    /// The owner that was asked; none while no owner is known.
    pub(super) asked: Option<HostName>,
    pub(super) asked_at: Moment,
    /// How often this attempt was asked for again at the same owner.
    pub(super) re_asks: u32,
}

/// A `RunningAttempt` is an attempt that was dispatched under a permit.
#[derive(Debug)]
pub(super) struct RunningAttempt {
    pub(super) life: RunningLife,
    pub(super) permit: Permit,
    pub(super) granted_by: HostName,
    pub(super) started_at: Moment,
    pub(super) first_token_at: Option<Moment>,
    pub(super) decoded: u32,
}

impl RunningAttempt {
    /// Get how long it has taken, for so many pieces.
    pub(super) fn span(&self, now: Moment, submission: &Submission, pieces: u32) -> RunSpan {
        let first = self.first_token_at.unwrap_or(now);
        RunSpan {
            span: now.since(self.started_at),
            first: first.since(self.started_at),
            pieces,
            output: submission.cost.decode,
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
