//! Provides the cancellation of a stream at its engine.

use std::sync::Arc;

use bergamotswitch_core::target::PoolTarget;
use http::Method;
use tokio::time::sleep;

use super::call_context::CallTrace;
use super::options::TargetClientOptions;
use super::stream_status::{QueryError, StreamId, query, query_status};

/// The maximum number of cancellation attempts. An engine that receives none of
/// them runs the stream to its end, which only wastes capacity.
const CANCEL_ATTEMPTS: u32 = 5;

/// A `StreamCancel` is a request to an engine to cancel one stream.
#[derive(Debug)]
pub(super) struct StreamCancel {
    pub target: PoolTarget,
    /// The request's id as text.
    pub request_id: String,
    pub trace: CallTrace,
    pub options: Arc<TargetClientOptions>,
}

impl StreamCancel {
    /// Send the cancellation until it succeeds or all attempts failed.
    pub async fn run(self) {
        let mut backoff = self.options.resume_backoff;
        for _ in 0..CANCEL_ATTEMPTS {
            match self.try_once().await {
                Ok(()) => return,
                Err(error) => {
                    log::debug!(target_name:% = self.target.name; "cannot cancel stream: {error}")
                }
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
            // A stream that is no longer known needs no cancellation.
            Ok(_) | Err(QueryError::NotFound) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Try to get the stream's id. It is queried if the call was stopped before
    /// the response's head; the request itself may reach the engine after this
    /// query.
    async fn find_stream(&self) -> Result<StreamId, QueryError> {
        if let Some(id) = self.trace.stream() {
            return Ok(id);
        }
        let address = self.target.address;
        let status = query_status(address, &self.request_id, None, &self.options).await?;
        status.stream_id().ok_or(QueryError::Malformed)
    }
}
