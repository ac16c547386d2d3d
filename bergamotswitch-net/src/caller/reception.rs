//! Provides the handing of a checked request to the loop.

use std::sync::Arc;

use bergamotswitch_core::entry::Submission;
use bergamotswitch_core::host::HostIncarnation;

use super::desk::{CallerContext, answer_dropped, loop_gone};
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

/// A `HandedOver` is what became of a request that was handed to the loop.
#[derive(Debug)]
pub(super) enum HandedOver {
    /// It is here.
    Here(Box<AnswerFollower>),
    /// Another run of a host holds it.
    Elsewhere(HostIncarnation),
    /// It is refused.
    Refused(RefusalPage),
}

/// Hand a request to the loop and wait for its reception.
pub(super) async fn hand_over(
    desk: &Arc<CallerContext>,
    submission: Submission,
    call: OutgoingCall,
) -> HandedOver {
    match handover::hand_over(&desk.node, submission, call).await {
        handover::HandedOver::Here(follower) => HandedOver::Here(follower),
        handover::HandedOver::Elsewhere(holder) => HandedOver::Elsewhere(holder),
        handover::HandedOver::Refused(refusal) => HandedOver::Refused(RefusalPage::new(refusal)),
        handover::HandedOver::LoopGone => HandedOver::Refused(loop_gone()),
        handover::HandedOver::AnswerDropped => HandedOver::Refused(answer_dropped()),
    }
}
