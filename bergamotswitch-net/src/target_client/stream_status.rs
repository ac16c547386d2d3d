//! Provides small queries to targets, such as for a stream's status.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use serde::Deserialize;
use tokio::time::timeout;

use super::connection::{TargetConnection, TargetRequest};
use super::options::TargetClientOptions;

/// The maximum size of a status or load report.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// A `StreamId` is an engine's id of a stream, restricted to characters that
/// are safe in a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StreamId(String);

impl TryFrom<&str> for StreamId {
    type Error = QueryError;

    fn try_from(text: &str) -> Result<Self, QueryError> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '~');
        match !text.is_empty() && text.chars().all(allowed) {
            true => Ok(StreamId(text.to_owned())),
            false => Err(QueryError::Malformed),
        }
    }
}

impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A `StreamStatus` is the state of a stream as its engine reports it.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct StreamStatus {
    /// The number of the last event produced.
    pub offset: u64,
    /// Whether the stream is complete.
    pub done: bool,
    /// Whether the engine is still running it.
    pub running: bool,
    /// The stream's id, included if the query was by request id.
    #[serde(default)]
    stream_id: Option<String>,
}

impl StreamStatus {
    /// Get the stream's id, if it is present and valid.
    pub fn stream_id(&self) -> Option<StreamId> {
        let text = self.stream_id.as_deref()?;
        StreamId::try_from(text).ok()
    }
}

/// A `QueryError` is the reason why a query got no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueryError {
    /// No complete answer arrived in time.
    NoAnswer,
    /// The target does not know the resource.
    NotFound,
    /// The target does not support the query.
    Unsupported,
    /// The request or the answer does not conform to the protocol.
    Malformed,
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            QueryError::NoAnswer => "no complete answer in time",
            QueryError::NotFound => "unknown at the target",
            QueryError::Unsupported => "not supported by the target",
            QueryError::Malformed => "malformed request or answer",
        })
    }
}

impl std::error::Error for QueryError {}

/// Get a request without a body, or `None` if `path` is not valid.
pub(super) fn empty_request(
    method: Method,
    address: SocketAddr,
    path: &str,
) -> Option<TargetRequest> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .ok()
}

/// Try to send a query over `connection` and get the answer's body.
pub(super) async fn query_over(
    connection: &mut TargetConnection,
    request: TargetRequest,
    options: &TargetClientOptions,
) -> Result<Bytes, QueryError> {
    exchange(MAX_REPORT_BYTES, connection, request, options).await
}

async fn exchange(
    max_bytes: usize,
    connection: &mut TargetConnection,
    request: TargetRequest,
    options: &TargetClientOptions,
) -> Result<Bytes, QueryError> {
    let exchange = async {
        let response = connection
            .send(request)
            .await
            .map_err(|_| QueryError::NoAnswer)?;
        match response.status() {
            StatusCode::NOT_FOUND => return Err(QueryError::NotFound),
            StatusCode::NOT_IMPLEMENTED | StatusCode::METHOD_NOT_ALLOWED => {
                return Err(QueryError::Unsupported);
            }
            status if !status.is_success() => return Err(QueryError::NoAnswer),
            _ => {}
        }
        let body = Limited::new(response.into_body(), max_bytes);
        let collected = body.collect().await.map_err(|_| QueryError::NoAnswer)?;
        Ok(collected.to_bytes())
    };
    timeout(options.probe_timeout, exchange)
        .await
        .unwrap_or(Err(QueryError::NoAnswer))
}

/// Try to send a query over a new connection and get the answer's body. An idle
/// connection could be as unresponsive as the one in doubt.
pub(super) async fn query(
    method: Method,
    address: SocketAddr,
    path: &str,
    options: &TargetClientOptions,
) -> Result<Bytes, QueryError> {
    query_up_to(MAX_REPORT_BYTES, method, address, path, options).await
}

/// Try to send a query as [`query`] does, whose answer has this size in bytes at most.
pub(super) async fn query_up_to(
    max_bytes: usize,
    method: Method,
    address: SocketAddr,
    path: &str,
    options: &TargetClientOptions,
) -> Result<Bytes, QueryError> {
    let request = empty_request(method, address, path).ok_or(QueryError::Malformed)?;
    let querying = async {
        let mut connection = TargetConnection::dial(address, options.connect_timeout, options)
            .await
            .map_err(|_| QueryError::NoAnswer)?;
        exchange(max_bytes, &mut connection, request, options).await
    };
    timeout(options.probe_timeout, querying)
        .await
        .unwrap_or(Err(QueryError::NoAnswer))
}

/// Try to get the status of a stream, by its id if known, else by the
/// request's.
pub(super) async fn query_status(
    address: SocketAddr,
    request_id: &str,
    stream: Option<&StreamId>,
    options: &TargetClientOptions,
) -> Result<StreamStatus, QueryError> {
    let path = match stream {
        Some(id) => format!("/v1/streams/{id}/status"),
        None => format!("/v1/requests/{request_id}/status"),
    };
    let body = query(Method::GET, address, &path, options).await?;
    serde_json::from_slice(&body).map_err(|_| QueryError::Malformed)
}
