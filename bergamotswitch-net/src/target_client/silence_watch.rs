//! Provides the check whether a connection without data is slow, unresponsive
//! or lost.
//!
//! A middlebox can lose the state of an open connection, which then stays open
//! without delivering anything, while new connections work. This looks like a
//! slow engine, so the engine's status is queried over a new connection.

use std::net::SocketAddr;

use tokio::time::{Instant, sleep};

use super::options::TargetClientOptions;
use super::stream_status::{QueryError, StreamId, query_status};

/// A `SilenceVerdict` is the reason to drop a connection without data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SilenceVerdict {
    /// The engine's offset is ahead of the connection.
    Silent,
    /// The engine is unavailable, or the stream no longer exists.
    Unavailable,
}

/// A `StatusFinding` is the result of one status query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StatusFinding {
    /// The engine is still producing the next event.
    Slow,
    /// The engine has produced more than the connection delivered.
    Ahead,
    /// The stream ended without its last event or is no longer known.
    Ended,
    /// The engine does not know the request.
    UnknownRequest,
    /// There was no usable answer.
    NoAnswer,
}

/// A `SilenceWatch` queries the status of one stream while its connection
/// delivers no data.
#[derive(Debug)]
pub(super) struct SilenceWatch<'a> {
    pub address: SocketAddr,
    /// The request's id as text.
    pub request_id: &'a str,
    /// The stream's id, if known.
    pub stream: Option<&'a StreamId>,
    /// The number of the last event received.
    pub offset: u64,
    /// Whether the engine's contract includes resumable streams.
    pub resumes: bool,
    pub options: &'a TargetClientOptions,
}

impl SilenceWatch<'_> {
    /// Wait for a verdict. The wait never completes while the engine is merely
    /// slow. The wait has no state: drop it and start another one when data
    /// arrives.
    pub async fn verdict(self) -> SilenceVerdict {
        if !self.options.liveness {
            return std::future::pending().await;
        }
        sleep(self.options.idle_probe).await;
        let silent_since = Instant::now();
        let mut misses = 0;
        loop {
            let finding = self.query().await;
            match finding {
                StatusFinding::Slow => misses = 0,
                StatusFinding::Ahead => {
                    // The data may still be in flight. If it arrives within the
                    // grace period, the caller drops this wait.
                    sleep(self.options.silent_grace).await;
                    return SilenceVerdict::Silent;
                }
                StatusFinding::Ended => {
                    sleep(self.options.silent_grace).await;
                    return SilenceVerdict::Unavailable;
                }
                StatusFinding::UnknownRequest => {
                    // The request may still be in flight to the engine.
                    misses = 0;
                    if silent_since.elapsed() >= self.options.unknown_request_grace {
                        return SilenceVerdict::Unavailable;
                    }
                }
                StatusFinding::NoAnswer => {
                    misses += 1;
                    if misses >= self.options.probe_misses {
                        return SilenceVerdict::Unavailable;
                    }
                }
            }
            sleep(self.options.probe_period).await;
        }
    }

    async fn query(&self) -> StatusFinding {
        let answer = query_status(self.address, self.request_id, self.stream, self.options).await;
        match answer {
            Ok(status) if status.done || status.offset > self.offset => StatusFinding::Ahead,
            Ok(status) if status.running => StatusFinding::Slow,
            Ok(_) => StatusFinding::Ended,
            // An engine without resumable streams may run the stream without
            // supporting the query, so its answer only shows that it is alive.
            // TCP keepalive detects a lost connection in this case.
            Err(QueryError::Unsupported) => StatusFinding::Slow,
            Err(QueryError::NotFound) if !self.resumes => StatusFinding::Slow,
            Err(QueryError::NotFound) if self.stream.is_some() => StatusFinding::Ended,
            Err(QueryError::NotFound) => StatusFinding::UnknownRequest,
            Err(QueryError::NoAnswer | QueryError::Malformed) => StatusFinding::NoAnswer,
        }
    }
}
