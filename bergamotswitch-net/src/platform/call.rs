//! Provides one call to one service of the platform.

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

/// The most bytes of an answer: a value has up to a megabyte, and its
/// envelope a name, a revision and a few words.
const MAX_ANSWER_BYTES: usize = (1 << 20) + (4 << 10);

/// A `CallKind` is what a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// The value as it is.
    Read,
    /// The value once its revision exceeds this one.
    Watch(Revision),
}

/// A `CallAnswer` is what a service said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallAnswer {
    /// The value.
    Value(PublishedValue),
    /// No change came while the watch waited.
    Unchanged,
}

/// A `CallError` is why a call gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No connection, or it broke.
    Connection,
    /// No whole answer came in time.
    Timeout,
    /// The service has no such value.
    NotPublished,
    /// The status, the size or the text of the answer is wrong.
    Answer,
}

/// The envelope of a value.
#[derive(Deserialize)]
struct ValueEnvelope {
    name: Option<String>,
    revision: Revision,
    body: serde_json::Value,
}

/// Make one call. Each call has a connection of its own: a kept one may have
/// gone silent while it was idle, and calls are rare.
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
    // A connection that went silent is noticed by this limit alone: no error
    // comes, and the service may hold a watch for its whole wait.
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
    // The connection must be driven beside the exchange, also when it ends
    // first: the answer may still be in its buffer.
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
    // An answer to another question, through whatever stands between, must
    // not come into force under this name.
    let named = envelope.name.as_deref();
    let mismatched = match name.as_str() {
        HOSTS_VALUE => named.is_some_and(|found| found != HOSTS_VALUE),
        other => named != Some(other),
    };
    if mismatched {
        return Err(CallError::Answer);
    }
    // Written anew, the same value gives the same text at every host.
    let body = serde_json::to_string(&envelope.body).map_err(|_| CallError::Answer)?;
    Ok(CallAnswer::Value(PublishedValue {
        name: name.clone(),
        revision: envelope.revision,
        body,
    }))
}
