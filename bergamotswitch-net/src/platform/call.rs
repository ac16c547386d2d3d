//! Provides a single call to a platform service.

use std::net::SocketAddr;

use bergamotswitch_core::revision::{HOSTS_VALUE, PublishedValue, Revision, ValueName};
use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time;

use super::options::{PlatformOptions, WATCH_MARGIN};

/// The maximum size of an answer: a value of up to 1 MiB and its envelope.
const MAX_ANSWER_BYTES: usize = (1 << 20) + (4 << 10);

/// A `CallKind` is the operation that a call requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// Read the current value.
    Read,
    /// Wait until the value's revision exceeds this one.
    Watch(Revision),
}

/// A `CallAnswer` is the successful result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallAnswer {
    Value(PublishedValue),
    /// The value did not change during the watch.
    Unchanged,
}

/// A `CallError` is the reason why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The connection could not be established or was lost.
    Connection,
    /// No complete answer arrived in time.
    Timeout,
    /// The service has no value of this name.
    NotPublished,
    /// The answer has an unexpected status, is too large or malformed.
    Answer,
}

/// The JSON envelope of a value.
#[derive(Deserialize)]
struct ValueEnvelope {
    name: Option<String>,
    revision: Revision,
    body: serde_json::Value,
}

/// Try to make one call over a new connection, since calls are rare and an idle
/// connection may have become unresponsive unnoticed.
pub(crate) async fn call(
    service: SocketAddr,
    name: &ValueName,
    kind: CallKind,
    opts: &PlatformOptions,
) -> Result<CallAnswer, CallError> {
    let stream = time::timeout(opts.connect_timeout, TcpStream::connect(service))
        .await
        .map_err(|_| CallError::Timeout)?
        .map_err(|_| CallError::Connection)?;
    let limit = match kind {
        CallKind::Read => opts.answer_timeout,
        CallKind::Watch(_) => opts.watch_wait + opts.answer_timeout.min(WATCH_MARGIN),
    };
    // This timeout is the only way to detect an unresponsive connection: no
    // error is raised, and the service may hold a watch for its full wait.
    let exchanged = time::timeout(limit, exchange(stream, service, name, kind, opts));
    exchanged.await.map_err(|_| CallError::Timeout)?
}

async fn exchange(
    stream: TcpStream,
    service: SocketAddr,
    name: &ValueName,
    kind: CallKind,
    opts: &PlatformOptions,
) -> Result<CallAnswer, CallError> {
    let (mut requests, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| CallError::Connection)?;
    let request = Request::builder()
        .uri(path(name, kind, opts))
        .header(header::HOST, service.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|_| CallError::Answer)?;
    let answering = async {
        let answer = requests
            .send_request(request)
            .await
            .map_err(|_| CallError::Connection)?;
        match (answer.status(), kind) {
            (StatusCode::OK, _) => {}
            (StatusCode::NOT_MODIFIED, CallKind::Watch(_)) => return Ok(CallAnswer::Unchanged),
            (StatusCode::NOT_FOUND, _) => return Err(CallError::NotPublished),
            _ => return Err(CallError::Answer),
        }
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|_| CallError::Answer)?
            .to_bytes();
        parse_value(name, &body)
    };
    // The connection must be polled alongside the exchange, even after it ends:
    // the answer may still be in its buffer.
    let driven = async {
        let _ = connection.await;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        answer = answering => answer,
        () = driven => Err(CallError::Connection),
    }
}

fn path(name: &ValueName, kind: CallKind, opts: &PlatformOptions) -> String {
    let value = match name.as_str() {
        HOSTS_VALUE => "/v1/hosts".to_owned(),
        other => format!("/v1/values/{other}"),
    };
    match kind {
        CallKind::Read => value,
        CallKind::Watch(after) => format!(
            "{value}?after={}&wait_ms={}",
            after.0,
            opts.watch_wait.as_millis()
        ),
    }
}

fn parse_value(name: &ValueName, text: &[u8]) -> Result<CallAnswer, CallError> {
    let envelope: ValueEnvelope = serde_json::from_slice(text).map_err(|_| CallError::Answer)?;
    // An answer that a proxy delivered to the wrong request must not be applied
    // under this name.
    let named = envelope.name.as_deref();
    let mismatched = match name.as_str() {
        HOSTS_VALUE => named.is_some_and(|found| found != HOSTS_VALUE),
        other => named != Some(other),
    };
    if mismatched {
        return Err(CallError::Answer);
    }
    // Serialized again, the same value yields the same text on every host.
    let body = serde_json::to_string(&envelope.body).map_err(|_| CallError::Answer)?;
    Ok(CallAnswer::Value(PublishedValue {
        name: name.clone(),
        revision: envelope.revision,
        body,
    }))
}
