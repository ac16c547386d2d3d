//! Provides the submission of validated requests to the event loop.

use bergamotswitch_core::entry::{Submission, SubmitOutcome};
use bergamotswitch_core::host::HostIncarnation;
use bergamotswitch_core::refusal::Refusal;
use tokio::sync::oneshot;

use crate::follower::AnswerFollower;
use crate::input::{NodeInput, NodeSender, OutgoingCall, SubmissionReply};

/// A `SubmitResult` is the result of submitting a request to the event loop.
#[derive(Debug)]
pub(crate) enum SubmitResult {
    /// This host holds the request.
    Local(Box<AnswerFollower>),
    /// Another host, or an earlier incarnation of this one, holds the request.
    Remote(HostIncarnation),
    /// The request is refused.
    Refused(Refusal),
    /// The event loop has ended and did not receive the request.
    LoopStopped,
    /// The event loop received the request and dropped the reply or the answer.
    AnswerDropped,
}

/// Submit a request to the event loop and wait for its reply.
///
/// A separate task waits for the reply. If the caller disconnects before the
/// reply, its request id is not known yet and the disconnect could not be
/// reported; the task still receives the id and drops the follower, whose guard
/// reports the disconnect.
pub(crate) async fn submit(
    node: &NodeSender,
    submission: Submission,
    call: OutgoingCall,
) -> SubmitResult {
    let (reply, receiver) = oneshot::channel();
    let input = NodeInput::Submit {
        submission: Box::new(submission),
        call: Box::new(call),
        reply,
    };
    if node.send(input).is_err() {
        return SubmitResult::LoopStopped;
    }
    let (sender, outcome_receiver) = oneshot::channel();
    let node = node.clone();
    tokio::spawn(async move {
        let outcome = match receiver.await {
            Ok(reply) => from_reply(&node, reply),
            Err(_) => SubmitResult::AnswerDropped,
        };
        // If the caller has disconnected, this drops the follower.
        let _ = sender.send(outcome);
    });
    outcome_receiver
        .await
        .unwrap_or(SubmitResult::AnswerDropped)
}

fn from_reply(node: &NodeSender, reply: SubmissionReply) -> SubmitResult {
    match (reply.outcome, reply.answer) {
        (SubmitOutcome::Accepted(id) | SubmitOutcome::Attached(id), Some(reader)) => {
            SubmitResult::Local(Box::new(AnswerFollower::new(node, id, reader)))
        }
        (SubmitOutcome::Accepted(_) | SubmitOutcome::Attached(_), None) => {
            SubmitResult::AnswerDropped
        }
        (SubmitOutcome::Forward(holder), _) => SubmitResult::Remote(holder),
        (SubmitOutcome::Refused(refusal), _) => SubmitResult::Refused(refusal),
    }
}
