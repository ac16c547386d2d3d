//! Provides the decision whether a quiet connection is slow, silent or gone.
//!
//! Something between two ends can lose track of an open connection: it stays
//! open for good and carries nothing, while new connections work. The reader
//! alone cannot tell that from an engine that is slow. So a question over a
//! new connection asks the engine how far it got.

use std::net::SocketAddr;

use tokio::time::{Instant, sleep};

use super::options::TargetClientOptions;
use super::stream_status::{QueryError, StreamId, query_status};

/// A `SilenceVerdict` is why a quiet connection is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SilenceVerdict {
    /// The engine got further than the connection brought.
    Silent,
    /// The engine or the stream is gone.
    Unavailable,
}

/// A `StatusFinding` is what one question says of a quiet connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StatusFinding {
    /// The engine works on what comes next.
    Slow,
    /// The engine made more than the connection brought.
    Ahead,
    /// The stream ended without its last event, or is not known any more.
    Ended,
    /// The engine never saw the request.
    UnknownRequest,
    /// There was no usable answer.
    NoAnswer,
}

/// A `SilenceWatch` asks about one stream while its connection is quiet.
#[derive(Debug)]
pub(super) struct SilenceWatch<'a> {
    /// The engine.
    pub address: SocketAddr,
    /// The request's id in its text form.
    pub request_id: &'a str,
    /// The stream's id, once known.
    pub stream: Option<&'a StreamId>,
    /// The last event received.
    pub offset: u64,
    /// Whether the engine promises to know its streams.
    pub resumes: bool,
    /// The bounds.
    pub options: &'a TargetClientOptions,
}

impl SilenceWatch<'_> {
    /// Wait for a verdict. The wait keeps nothing: drop it and wait anew when
    /// a byte comes. It never ends while the engine is merely slow.
    pub async fn verdict(self) -> SilenceVerdict {
        if !self.options.liveness {
            return std::future::pending().await;
        }
        sleep(self.options.idle_probe).await;
        let quiet_since = Instant::now();
        let mut misses = 0;
        loop {
            let finding = self.query().await;
            match finding {
                StatusFinding::Slow => misses = 0,
                StatusFinding::Ahead => {
                    // What the engine made may still be on its way. A byte
                    // within the grace ends this wait.
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
                    if quiet_since.elapsed() >= self.options.unknown_request_grace {
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
            // Without the promise the engine may know the stream and still
            // not the question, so its answer says only that it is alive. A
            // slow stream is then waited for; kernel probes cover the path.
            Err(QueryError::Unsupported) => StatusFinding::Slow,
            Err(QueryError::NotFound) if !self.resumes => StatusFinding::Slow,
            Err(QueryError::NotFound) if self.stream.is_some() => StatusFinding::Ended,
            Err(QueryError::NotFound) => StatusFinding::UnknownRequest,
            Err(QueryError::NoAnswer | QueryError::Malformed) => StatusFinding::NoAnswer,
        }
    }
}
