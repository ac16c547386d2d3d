//! Provides followers, which read a request's answer on behalf of a caller.

use bergamotswitch_core::refusal::Refusal;
use bergamotswitch_core::refusal::RefusalReason;
use bergamotswitch_core::request::RequestId;

use crate::answer::{AnswerPart, AnswerReader};
use crate::input::{NodeInput, NodeSender};
use crate::target_client::usage_meter::StreamChunk;

/// A `DisconnectGuard` reports to the event loop that a caller has disconnected if it
/// is dropped before the answer has ended. Otherwise a request without callers would
/// keep its slot and waste tokens.
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
            // Sending fails only if the event loop has ended, and with it the request.
            let _ = self.node.send(NodeInput::CallerDisconnected(id));
        }
    }
}

/// An `AnswerFollower` reads a request's answer on behalf of one caller.
#[derive(Debug)]
pub(crate) struct AnswerFollower {
    id: RequestId,
    reader: AnswerReader,
    guard: DisconnectGuard,
}

impl AnswerFollower {
    /// Get a follower of the request with this id.
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

    /// Wait until `is_ready` accepts the parts received so far or the answer has
    /// ended, and get the first part without consuming it. Until then a retry may
    /// replace the attempt.
    pub(crate) async fn wait_first_part(
        &mut self,
        is_ready: impl Fn(&[AnswerPart]) -> bool,
    ) -> AnswerPart {
        self.reader
            .wait_for_start(is_ready)
            .await
            .unwrap_or_else(dropped_part)
    }

    /// Wait for the next part. An answer that was dropped before its end, or that
    /// a retry replaced, ends with a refusal. Must not be called after the last
    /// part.
    pub(crate) async fn next(&mut self) -> AnswerPart {
        match self.reader.next().await {
            Some(part) => {
                if part.is_last() {
                    self.guard.disarm();
                }
                part
            }
            // The request may continue without this caller, whose disconnect the
            // guard reports.
            None => AnswerPart::Refused(Refusal::may_have_run(RefusalReason::AnswerTruncated)),
        }
    }

    /// Wait until the answer has ended and get all its parts, at least one.
    pub(crate) async fn collect_parts(mut self) -> Vec<AnswerPart> {
        let mut parts = self.reader.collect().await;
        self.guard.disarm();
        if parts.is_empty() {
            parts.push(dropped_part());
        }
        parts
    }
}

/// Get whether any part contains output. The condition is the one by which the first
/// token is reported to the event loop, after which a streamed attempt is not retried.
pub(crate) fn has_output(parts: &[AnswerPart]) -> bool {
    parts.iter().any(|part| match part {
        AnswerPart::Data(data) => {
            serde_json::from_slice(data).is_ok_and(|chunk: StreamChunk| chunk.has_output())
        }
        _ => false,
    })
}

/// Get the refusal that ends an answer dropped before its end.
fn dropped_part() -> AnswerPart {
    AnswerPart::Refused(Refusal::may_have_run(RefusalReason::Lost))
}
