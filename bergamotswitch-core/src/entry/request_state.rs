//! Provides a request's life cycle as typestate: waiting, dispatched, ended.
//!
//! Only a waiting request can yield the claim "not run". Without the types a
//! refusal after a write would still compile, the caller would send the
//! request again and it would run twice; one would notice it only in an
//! engine's request_table.
//!
//! ```compile_fail,E0599
//! use bergamotswitch_core::entry::request_state::{Dispatched, LiveRequest};
//! use bergamotswitch_core::refusal::RefusalReason;
//!
//! fn lie(request: LiveRequest<Dispatched>) {
//!     // A dispatched request has no `refuse`: it may have run.
//!     let _ = request.refuse(RefusalReason::Overloaded);
//! }
//! ```
//!
//! Nor does a proof about one attempt clear an earlier one.
//!
//! ```compile_fail,E0599
//! use bergamotswitch_core::entry::request_state::{LiveRequest, NotRunProof, Uncertain};
//!
//! fn lie(request: LiveRequest<Uncertain>, proof: NotRunProof) {
//!     // The proof is about the latest attempt; an earlier one may have run.
//!     let _ = request.back_to_waiting(proof);
//! }
//! ```

use std::marker::PhantomData;

use crate::refusal::{Refusal, RefusalReason};
use crate::request::RequestId;

/// The state of a request of which no byte was handed to a socket.
#[derive(Debug)]
pub enum Waiting {}

/// The state of a request of which a byte may have reached a target.
#[derive(Debug)]
pub enum Dispatched {}

/// The state of an idempotent request of which an earlier attempt may have
/// run. A proof about a later attempt says nothing of the earlier one, so no
/// way leads back to [`Waiting`].
#[derive(Debug)]
pub enum Uncertain {}

/// A `LiveRequest` is a request's identity in one state of its life. It is
/// neither `Clone` nor `Copy`: each request has one.
#[derive(Debug)]
pub struct LiveRequest<State> {
    id: RequestId,
    state: PhantomData<State>,
}

/// A `NotRunProof` is a target's proof that a dispatched attempt did not run.
/// It is made only where the contract or the protocol says so.
#[derive(Debug)]
pub struct NotRunProof(());

impl NotRunProof {
    /// Get the proof that lies in a refusal, where the contract says so.
    pub fn of_refusal(contract: &crate::contract::TargetContract) -> Option<Self> {
        match contract.refusal_means_not_run {
            true => Some(NotRunProof(())),
            false => None,
        }
    }

    /// Get the proof that no byte was handed to a socket.
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
    /// Get a new request.
    pub fn accept(id: RequestId) -> Self {
        LiveRequest {
            id,
            state: PhantomData,
        }
    }

    /// Get the request in the state after the decision to dispatch.
    pub fn dispatch(self) -> LiveRequest<Dispatched> {
        LiveRequest {
            id: self.id,
            state: PhantomData,
        }
    }

    /// End the request: it was not run.
    pub fn refuse(self, reason: RefusalReason) -> Refusal {
        Refusal::while_waiting(reason)
    }
}

impl LiveRequest<Dispatched> {
    /// Get the request back into waiting on a proof that it did not run.
    pub fn back_to_waiting(self, _proof: NotRunProof) -> LiveRequest<Waiting> {
        LiveRequest::accept(self.id)
    }

    /// End the request without an answer: it may have run.
    pub fn give_up(self, reason: RefusalReason) -> Refusal {
        Refusal::may_have_run(reason)
    }

    /// Get the request in the state in which another attempt may follow
    /// although this one may have run.
    pub fn rerun(self) -> LiveRequest<Uncertain> {
        LiveRequest {
            id: self.id,
            state: PhantomData,
        }
    }
}

impl LiveRequest<Uncertain> {
    /// End the request without an answer: it may have run.
    pub fn give_up(self, reason: RefusalReason) -> Refusal {
        Refusal::may_have_run(reason)
    }
}
