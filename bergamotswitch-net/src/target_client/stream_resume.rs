//! Provides the resumption of a stream: its rest is requested by id and offset
//! over a new connection, without running the request again.

use std::io::ErrorKind;
use std::time::Duration;

use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::incident::Incident;
use http::{Method, StatusCode};
use tokio::time::{sleep, timeout};

use super::connection::TargetConnection;
use super::engine_call::{EngineCall, OpenStream, StreamError, is_event_stream};
use super::stream_status::{QueryError, StreamId, empty_request, query_status};

/// The maximum pause between two resume attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// The number of refused connections and unknown requests after which the stream
/// counts as lost. Unlike a network partition, a closed port means that the
/// process with the stream has ended, so a longer wait only delays the next
/// attempt. Four span 350 ms, which leaves time for a request in flight.
const MAX_DENIALS: u32 = 4;

impl EngineCall<'_> {
    /// Try to read the rest of the stream over new connections, until its end
    /// or until the consecutive attempts without a new event are used up.
    pub(super) async fn resume(&mut self) -> Result<(), StreamError> {
        let options = &self.context.options;
        let before = self.offset;
        let mut backoff = options.resume_backoff;
        let mut denials = 0;
        for round in 0..options.resume_attempts {
            if round > 0 {
                sleep(backoff).await;
                backoff = MAX_BACKOFF.min(backoff * 2);
            }
            let stream = match self.reopen().await {
                Ok(stream) => stream,
                // The engine may be reachable again at the next attempt.
                Err(StreamError::Dropped) => continue,
                Err(StreamError::ConnectionRefused | StreamError::UnknownRequest) => {
                    denials += 1;
                    match denials < MAX_DENIALS {
                        true => continue,
                        false => return Err(StreamError::Unavailable),
                    }
                }
                Err(error) if !self.may_resume(error) => return Err(error),
                Err(error) => {
                    self.log_stream_error(error);
                    continue;
                }
            };
            self.context
                .log_incident(Incident::StreamResumed, "resumed");
            self.report.step(AttemptEvent::Resumed);
            match self.read(stream).await {
                Ok(()) => return Ok(()),
                Err(error) if self.offset > before => return Err(error),
                Err(error) if !self.may_resume(error) => return Err(error),
                Err(error) => self.log_stream_error(error),
            }
        }
        Err(StreamError::Unavailable)
    }

    /// Try once to request the rest of the stream over a new connection.
    async fn reopen(&mut self) -> Result<OpenStream, StreamError> {
        let context = self.context;
        let options = &context.options;
        let id = self.find_stream().await?;
        let path = format!("/v1/streams/{id}?offset={}", self.offset);
        let address = context.target.address;
        let request = empty_request(Method::GET, address, &path).ok_or(StreamError::Malformed)?;
        let mut connection =
            match TargetConnection::dial(address, options.connect_timeout, options).await {
                Ok(connection) => connection,
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                    return Err(StreamError::ConnectionRefused);
                }
                Err(_) => return Err(StreamError::Dropped),
            };
        let sent = timeout(options.probe_timeout, connection.send(request)).await;
        let Ok(Ok(response)) = sent else {
            return Err(StreamError::Dropped);
        };
        match response.status() {
            StatusCode::NOT_FOUND => return Err(StreamError::Unavailable),
            status if !status.is_success() => return Err(StreamError::Dropped),
            _ => {}
        }
        if self.context.is_mismatched(&response) {
            return Err(StreamError::RequestMismatch);
        }
        if !is_event_stream(&response) {
            return Err(StreamError::Malformed);
        }
        Ok(self.accept_head(connection, response))
    }

    /// Try to get the stream's id, which is queried if the response's head was
    /// not received.
    async fn find_stream(&mut self) -> Result<StreamId, StreamError> {
        if let Some(id) = &self.stream {
            return Ok(id.clone());
        }
        let context = self.context;
        let address = context.target.address;
        let answer = query_status(address, &context.request_id, None, &context.options).await;
        let id = match answer {
            Ok(status) => status.stream_id().ok_or(StreamError::Unavailable)?,
            Err(QueryError::NotFound) => return Err(StreamError::UnknownRequest),
            Err(QueryError::NoAnswer) => return Err(StreamError::Dropped),
            Err(QueryError::Unsupported | QueryError::Malformed) => {
                return Err(StreamError::Unavailable);
            }
        };
        self.set_stream(id.clone());
        Ok(id)
    }
}
