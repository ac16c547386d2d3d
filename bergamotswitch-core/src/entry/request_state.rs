//! Provides the life cycle of a request as a typestate: waiting, dispatched,
//! ended.
//!
//! The claim "not run" is available only for a waiting request. This makes it a
//! compile error to refuse a request as "not run" after a write, upon which the
//! caller would submit it again and it would run twice.
//!
//! ```compile_fail,E0599
//! use bergamotswitch_core::entry::request_state::{Dispatched, LiveRequest};
//! use bergamotswitch_core::refusal::RefusalReason;
//!
//! fn refuse(request: LiveRequest<Dispatched>) {
//!     // A dispatched request has no `refuse`, as it may have run.
//!     let _ = request.refuse(RefusalReason::Overloaded);
//! }
//! ```
//!
//! A proof about one attempt does not apply to an earlier one.
//!
//! ```compile_fail,E0599
//! use bergamotswitch_core::entry::request_state::{LiveRequest, NotRunProof, Uncertain};
//!
//! fn reset(request: LiveRequest<Uncertain>, proof: NotRunProof) {
//!     // The proof is about the latest attempt; an earlier one may have run.
//!     let _ = request.back_to_waiting(proof);
//! }
//! ```

use std::marker::PhantomData;

use crate::refusal::{Refusal, RefusalReason};
use crate::request::RequestId;

/// A `Waiting` is the state of a request of which no byte was written to a
/// socket.
#[derive(Debug)]
pub enum Waiting {}

/// A `Dispatched` is the state of a request of which a byte may have reached a
/// target.
#[derive(Debug)]
pub enum Dispatched {}

/// An `Uncertain` is the state of an idempotent request of which an earlier
/// attempt may have run. A proof about a later attempt does not cover the
/// earlier one, so there is no transition back to [`Waiting`].
#[derive(Debug)]
pub enum Uncertain {}

/// A `LiveRequest` is the identity of a live request, typed by its state. It is
/// neither `Clone` nor `Copy`, so each request has exactly one.
#[derive(Debug)]
pub struct LiveRequest<State> {
    id: RequestId,
    state: PhantomData<State>,
}

/// A `NotRunProof` is a proof that a dispatched attempt did not run, as
/// guaranteed by the target's contract or by the protocol.
#[derive(Debug)]
pub struct NotRunProof(());

impl NotRunProof {
    /// Get the proof from a target's refusal, if its contract guarantees that a
    /// refused request did not run.
    pub fn of_refusal(contract: &crate::contract::TargetContract) -> Option<Self> {
        match contract.refusal_means_not_run {
            true => Some(NotRunProof(())),
            false => None,
        }
    }

    /// Get the proof from the fact that no byte was written to a socket.
    pub fn of_unsent(_reason: super::NotSentReason) -> Self {
        NotRunProof(())
    }
}

impl<State> LiveRequest<State> {
    /// Get the request's id.
    pub fn id(&self) -> RequestId {
        self.id
    }
}

impl LiveRequest<Waiting> {
    /// Get a new request in the waiting state.
    pub fn accept(id: RequestId) -> Self {
        LiveRequest {
            id,
            state: PhantomData,
        }
    }

    /// Get the request in the dispatched state.
    pub fn dispatch(self) -> LiveRequest<Dispatched> {
        LiveRequest {
            id: self.id,
            state: PhantomData,
        }
    }

    /// End the request with the claim that it did not run.
    pub fn refuse(self, reason: RefusalReason) -> Refusal {
        Refusal::while_waiting(reason)
    }
}

impl LiveRequest<Dispatched> {
    /// Get the request in the waiting state, given a proof that it did not run.
    pub fn back_to_waiting(self, _proof: NotRunProof) -> LiveRequest<Waiting> {
        LiveRequest::accept(self.id)
    }

    /// End the request without an answer; it may have run.
    pub fn give_up(self, reason: RefusalReason) -> Refusal {
        Refusal::may_have_run(reason)
    }

    /// Get the request in the state for another attempt after one that may have
    /// run.
    pub fn rerun(self) -> LiveRequest<Uncertain> {
        LiveRequest {
            id: self.id,
            state: PhantomData,
        }
    }
}

impl LiveRequest<Uncertain> {
    /// End the request without an answer; it may have run.
    pub fn give_up(self, reason: RefusalReason) -> Refusal {
        Refusal::may_have_run(reason)
    }
}
