//! Provides the handing of a checked request to the loop.

use std::sync::Arc;

use bergamotswitch_core::entry::Submission;
use bergamotswitch_core::host::HostIncarnation;

use super::context::{CallerContext, answer_dropped, loop_stopped};
use super::forward::OriginalCall;
use super::refusal_page::RefusalPage;
use crate::follower::AnswerFollower;
use crate::handover;
use crate::input::OutgoingCall;

/// A `CheckedCall` is a caller's request that passed all checks made before
/// the loop.
#[derive(Debug)]
pub(super) struct CheckedCall {
    /// What the decisions need.
    pub(super) submission: Submission,
    /// What is sent to a target.
    pub(super) call: OutgoingCall,
    /// What the caller sent, in case another host holds the request.
    pub(super) original: OriginalCall,
}

/// A `SubmitResult` is what became of a request that was handed to the loop.
#[derive(Debug)]
pub(super) enum SubmitResult {
    /// It is here.
    Local(Box<AnswerFollower>),
    /// Another run of a host holds it.
    Remote(HostIncarnation),
    /// It is refused.
    Refused(RefusalPage),
}

/// Hand a request to the loop and wait for its reception.
pub(super) async fn submit(
    context: &Arc<CallerContext>,
    submission: Submission,
    call: OutgoingCall,
) -> SubmitResult {
    match handover::hand_over(&context.node, submission, call).await {
        handover::HandedOver::Here(follower) => SubmitResult::Local(follower),
        handover::HandedOver::Elsewhere(holder) => SubmitResult::Remote(holder),
        handover::HandedOver::Refused(refusal) => SubmitResult::Refused(RefusalPage::new(refusal)),
        handover::HandedOver::LoopGone => SubmitResult::Refused(loop_stopped()),
        handover::HandedOver::AnswerDropped => SubmitResult::Refused(answer_dropped()),
    }
}
