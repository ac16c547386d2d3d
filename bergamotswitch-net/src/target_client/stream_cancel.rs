//! Provides the cancelling of a stream at its engine.

use std::sync::Arc;

use bergamotswitch_core::target::PoolTarget;
use http::Method;
use tokio::time::sleep;

use super::call_context::CallTrace;
use super::options::TargetClientOptions;
use super::stream_status::{QueryError, StreamId, query, query_status};

// The tries to tell an engine. An engine that hears none of them runs the
// stream to its end, which wastes capacity but harms nobody.
const CANCEL_ATTEMPTS: u32 = 5;

/// A `StreamCancel` is the order to an engine to stop one stream.
#[derive(Debug)]
pub(super) struct StreamCancel {
    /// The engine.
    pub target: PoolTarget,
    /// The request's id in its text form.
    pub request_id: String,
    /// What is known of the call.
    pub trace: CallTrace,
    /// The bounds.
    pub options: Arc<TargetClientOptions>,
}

impl StreamCancel {
    /// Tell the engine, a bounded number of times.
    pub async fn run(self) {
        let mut backoff = self.options.resume_backoff;
        for _ in 0..CANCEL_ATTEMPTS {
            match self.try_once().await {
                Ok(()) => return,
                Err(error) => log::debug!(target_name:% = self.target.name; "no cancel: {error}"),
            }
            sleep(backoff).await;
            backoff *= 2;
        }
    }

    async fn try_once(&self) -> Result<(), QueryError> {
        let id = self.find_stream().await?;
        let path = format!("/v1/streams/{id}");
        let answer = query(Method::DELETE, self.target.address, &path, &self.options).await;
        match answer {
            // A stream that is no longer known needs no cancel.
            Ok(_) | Err(QueryError::NotFound) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Get the stream's id. A call that was stopped before its response's
    /// head asks for it; the request itself may arrive only after the
    /// question.
    async fn find_stream(&self) -> Result<StreamId, QueryError> {
        if let Some(id) = self.trace.stream() {
            return Ok(id);
        }
        let address = self.target.address;
        let status = query_status(address, &self.request_id, None, &self.options).await?;
        status.stream_id().ok_or(QueryError::Malformed)
    }
}
