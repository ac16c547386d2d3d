//! Provides the submission of a validated request to the event loop.

use std::sync::Arc;

use bergamotswitch_core::entry::Submission;
use bergamotswitch_core::host::HostIncarnation;

use super::context::{CallerContext, answer_dropped, loop_stopped};
use super::forward::OriginalCall;
use super::refusal_page::RefusalPage;
use crate::follower::AnswerFollower;
use crate::input::OutgoingCall;
use crate::submit;

/// A `CheckedCall` is a caller's request that has passed all checks made before
/// submission.
#[derive(Debug)]
pub(super) struct CheckedCall {
    /// The properties on which admission and scheduling depend.
    pub(super) submission: Submission,
    /// The call sent to a target.
    pub(super) call: OutgoingCall,
    /// The request as the caller sent it, for forwarding to another host.
    pub(super) original: OriginalCall,
}

/// A `SubmittedCall` is a caller's request after its submission to the event
/// loop. Refusals are HTTP responses, ready to be sent to the caller.
#[derive(Debug)]
pub(super) enum SubmittedCall {
    /// This host holds the request.
    Local(Box<AnswerFollower>),
    /// Another host incarnation holds the request.
    Remote(HostIncarnation),
    /// The request is refused.
    Refused(RefusalPage),
}

/// Submit a request to the event loop and wait for its reply.
pub(super) async fn submit(
    context: &Arc<CallerContext>,
    submission: Submission,
    call: OutgoingCall,
) -> SubmittedCall {
    match submit::submit(&context.node, submission, call).await {
        submit::SubmitResult::Local(follower) => SubmittedCall::Local(follower),
        submit::SubmitResult::Remote(holder) => SubmittedCall::Remote(holder),
        submit::SubmitResult::Refused(refusal) => SubmittedCall::Refused(RefusalPage::new(refusal)),
        submit::SubmitResult::LoopStopped => SubmittedCall::Refused(loop_stopped()),
        submit::SubmitResult::AnswerDropped => SubmittedCall::Refused(answer_dropped()),
    }
}
