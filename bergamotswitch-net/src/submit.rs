//! Provides the handing of a checked request to the loop.

use bergamotswitch_core::entry::{Reception, Submission};
use bergamotswitch_core::host::HostIncarnation;
use bergamotswitch_core::refusal::Refusal;
use tokio::sync::oneshot;

use crate::follower::AnswerFollower;
use crate::input::{NodeInput, NodeSender, OutgoingCall, SubmissionReply};

/// A `SubmitOutcome` is what became of a request that was handed to the loop.
#[derive(Debug)]
pub(crate) enum SubmitOutcome {
    /// It is here.
    Local(Box<AnswerFollower>),
    /// Another run of a host holds it.
    Remote(HostIncarnation),
    /// It is refused.
    Refused(Refusal),
    /// There is no loop any more that could have taken it.
    LoopStopped,
    /// It was taken, and its answer dropped.
    AnswerDropped,
}

/// Hand a request to the loop and wait for its reception.
///
/// The wait is a task of its own. A caller may leave between the submission
/// and its reception; the request's id is not known then, and the loop would
/// never be told. The task always learns the id, and what it made of it is
/// dropped, with the follower's guard in it, where nobody takes it.
pub(crate) async fn submit(
    node: &NodeSender,
    submission: Submission,
    call: OutgoingCall,
) -> SubmitOutcome {
    let (reply, receiver) = oneshot::channel();
    let input = NodeInput::Submit {
        submission: Box::new(submission),
        call: Box::new(call),
        reply,
    };
    if node.send(input).is_err() {
        return SubmitOutcome::LoopStopped;
    }
    let (sender, outcome_receiver) = oneshot::channel();
    let node = node.clone();
    tokio::spawn(async move {
        let outcome = match receiver.await {
            Ok(reply) => from_reply(&node, reply),
            Err(_) => SubmitOutcome::AnswerDropped,
        };
        // Where the caller has left, this drops the follower.
        let _ = sender.send(outcome);
    });
    outcome_receiver
        .await
        .unwrap_or(SubmitOutcome::AnswerDropped)
}

fn from_reply(node: &NodeSender, reply: SubmissionReply) -> SubmitOutcome {
    match (reply.reception, reply.answer) {
        (Reception::Accepted(id) | Reception::Attached(id), Some(reader)) => {
            SubmitOutcome::Local(Box::new(AnswerFollower::new(node, id, reader)))
        }
        (Reception::Accepted(_) | Reception::Attached(_), None) => SubmitOutcome::AnswerDropped,
        (Reception::Forward(holder), _) => SubmitOutcome::Remote(holder),
        (Reception::Refused(refusal), _) => SubmitOutcome::Refused(refusal),
    }
}
