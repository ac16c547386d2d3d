//! Provides followers: callers that wait for a request's answer here.

use bergamotswitch_core::refusal::Refusal;
use bergamotswitch_core::refusal::RefusalReason;
use bergamotswitch_core::request::RequestId;

use crate::answer::{AnswerPart, AnswerReader};
use crate::input::{NodeInput, NodeSender};
use crate::target_client::usage_meter::StreamChunk;

/// A `DisconnectGuard` tells the loop that a caller went away, when it is dropped
/// before the caller's answer was over. Without it work would run on for
/// nobody; one would see it as wasted tokens and a queue that never empties.
#[derive(Debug)]
struct DisconnectGuard {
    node: NodeSender,
    id: Option<RequestId>,
}

impl DisconnectGuard {
    fn disarm(&mut self) {
        self.id = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            // Without a loop there is no work either.
            let _ = self.node.send(NodeInput::CallerLeft(id));
        }
    }
}

/// An `AnswerFollower` is one caller that follows a request's answer.
#[derive(Debug)]
pub(crate) struct AnswerFollower {
    id: RequestId,
    reader: AnswerReader,
    guard: DisconnectGuard,
}

impl AnswerFollower {
    /// Get a follower of a request.
    pub(crate) fn new(node: &NodeSender, id: RequestId, reader: AnswerReader) -> Self {
        AnswerFollower {
            id,
            reader,
            guard: DisconnectGuard {
                node: node.clone(),
                id: Some(id),
            },
        }
    }

    /// Get the request's id.
    pub(crate) fn id(&self) -> RequestId {
        self.id
    }

    /// Wait until the answer has parts that `shows` says the caller can be
    /// shown, or is over, and get its first part without passing it. Until then
    /// the attempt may be followed by another one.
    pub(crate) async fn wait_first_part(
        &mut self,
        is_ready: impl Fn(&[AnswerPart]) -> bool,
    ) -> AnswerPart {
        self.reader
            .begun(is_ready)
            .await
            .unwrap_or_else(dropped_part)
    }

    /// Get the next part. After the last one there is none; an answer that
    /// was dropped unfinished or began anew ends with a refusal.
    pub(crate) async fn next(&mut self) -> AnswerPart {
        match self.reader.next().await {
            Some(part) => {
                if part.is_last() {
                    self.guard.disarm();
                }
                part
            }
            // The request may go on, but this caller follows it no more; the
            // guard tells the loop.
            None => AnswerPart::Refused(Refusal::may_have_run(RefusalReason::AnswerTruncated)),
        }
    }

    /// Wait until the answer is over, and get its parts; the last one is
    /// always there.
    pub(crate) async fn collect_parts(mut self) -> Vec<AnswerPart> {
        let mut parts = self.reader.whole().await;
        self.guard.disarm();
        if parts.is_empty() {
            parts.push(dropped_part());
        }
        parts
    }
}

/// Get whether some part has output by the same measure by which the loop is
/// told of the first token: from then on no attempt follows a streamed one.
pub(crate) fn has_output(parts: &[AnswerPart]) -> bool {
    parts.iter().any(|part| match part {
        AnswerPart::Data(data) => {
            serde_json::from_slice(data).is_ok_and(|chunk: StreamChunk| chunk.has_output())
        }
        _ => false,
    })
}

/// Get the last part of an answer that was dropped unfinished.
fn dropped_part() -> AnswerPart {
    AnswerPart::Refused(Refusal::may_have_run(RefusalReason::Lost))
}
