//! Provides a stand-in of the users' platform's targets: plain answers and
//! streams of events, each signed, and a switch for each kind of wrong answer.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::loopback_listener::LoopbackListener;
use crate::target_control::lock;

/// A `ResponseMode` is how a target answers one call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ResponseMode {
    /// With its whole answer.
    #[default]
    Normal,
    /// It says that it does not run the call.
    Full,
    /// With its own error.
    ServerError,
    /// Without its signature.
    Unsigned,
    /// With the id of another call.
    WrongRequestId,
    /// It closes the connection without an answer.
    Close,
    /// It closes the connection after so long, without an answer.
    CloseAfter(Duration),
    /// It never answers.
    NoResponse,
    /// Its stream breaks off in the middle of the event after so many.
    TruncateAfter(u32),
    /// Its stream stands still for so long after so many events.
    PauseAfter(u32, Duration),
}

/// A `RecordedCall` is one call as a target got it.
#[derive(Clone, Debug)]
pub struct RecordedCall {
    /// Method, path and query.
    pub request_line: String,
    /// The header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When it came.
    pub received_at: Instant,
    /// Whether the target began to work on it.
    pub ran: bool,
    /// When its stream ended, whole or broken off; none while it goes on, or
    /// where the answer is no stream.
    pub ended_at: Option<Instant>,
}

impl RecordedCall {
    /// Get a field's text, empty where it is absent.
    pub fn field(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

#[derive(Debug)]
struct TargetShared {
    name: String,
    events: u32,
    gap: Duration,
    calls: Mutex<Vec<RecordedCall>>,
    modes: Mutex<VecDeque<ResponseMode>>,
    instance: Mutex<TargetInstance>,
}

/// What a target tells of its run.
#[derive(Debug)]
struct TargetInstance {
    /// The Unix millisecond of its start.
    started_ms: u64,
    /// How often it has registered.
    sequence: u64,
}

impl TargetInstance {
    /// Get a run that starts now, later than the one before.
    fn starting_after(earlier: u64) -> Self {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let now = now.map_or(0, |span| span.as_millis() as u64);
        TargetInstance {
            started_ms: now.max(earlier + 1),
            sequence: 0,
        }
    }
}

/// A `GatewayTargetStandin` is a running stand-in; its drop stops it.
#[derive(Debug)]
pub struct GatewayTargetStandin {
    listener: LoopbackListener,
    shared: Arc<TargetShared>,
}

impl GatewayTargetStandin {
    /// Try to start a target on a free port of loopback, whose streams have so
    /// many events, each after a pause.
    ///
    /// # Errors
    ///
    /// Returns an error where there is none.
    pub async fn start(name: &str, events: u32, gap: Duration) -> io::Result<Self> {
        let shared = Arc::new(TargetShared {
            name: name.to_owned(),
            events,
            gap,
            calls: Mutex::default(),
            modes: Mutex::default(),
            instance: Mutex::new(TargetInstance::starting_after(0)),
        });
        let served = Arc::clone(&shared);
        let handler = move |request| handle(Arc::clone(&served), request);
        let listener = LoopbackListener::start(handler).await?;
        Ok(GatewayTargetStandin { listener, shared })
    }

    /// Get where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Get its name.
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// Start again under the same name: its connections end, with all that it
    /// worked on, and its counts start anew.
    pub fn restart(&self) {
        self.listener.close_connections();
        let mut instance = lock(&self.shared.instance);
        *instance = TargetInstance::starting_after(instance.started_ms);
    }

    /// Get what it writes to the store of itself, at an address that may be that
    /// of a relay before it.
    pub fn registration(&self, service: &str, address: SocketAddr, state: &str) -> Value {
        let mut instance = lock(&self.shared.instance);
        instance.sequence += 1;
        json!({
            "service": service, "address": address.to_string(), "zone": "hall-1",
            "version": "v1", "slots": 4, "state": state, "coldRemainingMs": 0,
            "sequence": instance.sequence, "born": instance.started_ms,
        })
    }

    /// Set how the next calls are answered, one after the other.
    pub fn queue_responses(&self, modes: &[ResponseMode]) {
        lock(&self.shared.modes).extend(modes.iter().cloned());
    }

    /// Set how the next calls are answered, in place of what was set before.
    pub fn replace_responses(&self, modes: &[ResponseMode]) {
        *lock(&self.shared.modes) = modes.iter().cloned().collect();
    }

    /// Get the calls that came.
    pub fn calls(&self) -> Vec<RecordedCall> {
        lock(&self.shared.calls).clone()
    }
}

type ResponseBody = BoxBody<Bytes, io::Error>;

async fn handle(
    shared: Arc<TargetShared>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, io::Error> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let mut call = RecordedCall {
        request_line: format!("{} {}", parts.method, parts.uri),
        headers: parts.headers,
        body,
        received_at: Instant::now(),
        ran: false,
        ended_at: None,
    };
    let mode = lock(&shared.modes).pop_front().unwrap_or_default();
    let expected = call.field("target-instance");
    let misdirected = !expected.is_empty() && expected != shared.name;
    call.ran = !misdirected && mode != ResponseMode::Full;
    let index = {
        let mut calls = lock(&shared.calls);
        calls.push(call.clone());
        calls.len() - 1
    };
    if misdirected {
        return Ok(plain_response(
            StatusCode::MISDIRECTED_REQUEST,
            &call,
            "",
            &[],
        ));
    }
    match mode {
        ResponseMode::Normal => {}
        ResponseMode::Full => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(plain_response(
                status,
                &call,
                "full",
                &[("not-executed", "1")],
            ));
        }
        ResponseMode::ServerError => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Ok(with_seal(
                &shared,
                plain_response(status, &call, "failed", &[]),
            ));
        }
        ResponseMode::Unsigned => return Ok(plain_response(StatusCode::OK, &call, "forged", &[])),
        ResponseMode::WrongRequestId => {
            let mut response = with_seal(
                &shared,
                plain_response(StatusCode::OK, &call, "another's", &[]),
            );
            let other = hyper::header::HeaderValue::from_static("another");
            response.headers_mut().insert("request-id", other);
            return Ok(response);
        }
        ResponseMode::Close => return Err(io::ErrorKind::ConnectionReset.into()),
        ResponseMode::CloseAfter(wait) => {
            sleep(wait).await;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        ResponseMode::NoResponse => sleep(Duration::from_secs(3_600)).await,
        ResponseMode::TruncateAfter(_) | ResponseMode::PauseAfter(..) => {}
    }
    let is_stream = !call.field("token-count").is_empty();
    let response = match is_stream {
        true => event_response(&shared, &call, &mode, index),
        false => plain_response(StatusCode::OK, &call, &format!("from {}", shared.name), &[]),
    };
    Ok(with_seal(&shared, response))
}

fn plain_response(
    status: StatusCode,
    call: &RecordedCall,
    text: &str,
    fields: &[(&'static str, &'static str)],
) -> Response<ResponseBody> {
    let body = Full::new(Bytes::from(text.to_owned()));
    let body = body.map_err(|never: Infallible| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Some(id) = call.headers.get("request-id") {
        response.headers_mut().insert("request-id", id.clone());
    }
    for (name, value) in fields {
        let value = hyper::header::HeaderValue::from_static(value);
        response.headers_mut().insert(*name, value);
    }
    response
}

fn with_seal(
    shared: &TargetShared,
    mut response: Response<ResponseBody>,
) -> Response<ResponseBody> {
    let seal = format!("seal-of-{}", shared.name);
    if let Ok(value) = hyper::header::HeaderValue::from_str(&seal) {
        response.headers_mut().insert("response-seal", value);
    }
    response
}

type EventFrames = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, io::Error>> + Send + Sync>>;

/// Get the stream of a call, from behind the last event that it names.
fn event_response(
    shared: &Arc<TargetShared>,
    call: &RecordedCall,
    mode: &ResponseMode,
    index: usize,
) -> Response<ResponseBody> {
    let guard = StreamGuard {
        shared: Arc::clone(shared),
        index,
    };
    let first: u32 = call.field("last-event-id").parse().unwrap_or(0) + 1;
    let last = query_number(&call.request_line, "events").unwrap_or(shared.events);
    let padding = query_number(&call.request_line, "padding").unwrap_or(0) as usize;
    let gap = shared.gap;
    let truncated_at = match mode {
        ResponseMode::TruncateAfter(count) => Some(first + count),
        _ => None,
    };
    let (paused_at, pause) = match *mode {
        ResponseMode::PauseAfter(count, pause) => (Some(first + count), pause),
        _ => (None, Duration::ZERO),
    };
    let frames = stream::iter(first..=last).then(move |id| {
        // The stream holds the run until it has ended or is dropped.
        let _guard = &guard;
        async move {
            sleep(gap).await;
            if paused_at == Some(id) {
                sleep(pause).await;
            }
            match truncated_at {
                Some(cut) if id > cut => Err(io::ErrorKind::ConnectionReset.into()),
                Some(cut) if id == cut => Ok(Frame::data(Bytes::from(format!("id: {id}\nda")))),
                _ => Ok(Frame::data(Bytes::from(padded_event(id, padding)))),
            }
        }
    });
    let frames: EventFrames = Box::pin(frames);
    let mut response = plain_response(StatusCode::OK, call, "", &[]);
    *response.body_mut() = BodyExt::boxed(StreamBody::new(frames));
    response
}

/// A `StreamGuard` is a stream that goes on; its drop notes when it ended.
struct StreamGuard {
    shared: Arc<TargetShared>,
    index: usize,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        lock(&self.shared.calls)[self.index].ended_at = Some(Instant::now());
    }
}

/// Get a number that a call's query names, where it does.
fn query_number(line: &str, name: &str) -> Option<u32> {
    let (_, query) = line.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, number) = pairs.find(|(key, _)| *key == name)?;
    number.parse().ok()
}

/// Get one event's bytes.
pub fn event_text(id: u32) -> String {
    padded_event(id, 0)
}

/// Get the bytes of an event that is longer by so much.
pub fn padded_event(id: u32, padding: usize) -> String {
    format!("id: {id}\ndata: piece {id}{}\n\n", ".".repeat(padding))
}
