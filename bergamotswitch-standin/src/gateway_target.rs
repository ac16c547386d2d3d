//! Provides the stand-in for a target of the gateway: plain and streamed
//! responses with a `response-seal` header, and fault injection for each call.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::loopback_listener::{ListenerControl, LoopbackListener};
use crate::raw_connection::{ConnectionEnd, RawConnection};
use crate::target_control::lock;

/// The failure domain of a target unless another one is set.
const DEFAULT_ZONE: &str = "hall-1";

/// How long a target that crashed because it was cold is down.
const COLD_CRASH_TIME: Duration = Duration::from_secs(1);

/// The version of a target's software unless another one is set.
const DEFAULT_VERSION: &str = "v1";

/// The path of health checks.
const HEALTH_PATH: &str = "/healthz";

/// The path of the list of the parts of prompts that the target holds.
const HELD_PARTS_PATH: &str = "/kv-list";

/// A `ResponseMode` is the way in which a target answers one call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ResponseMode {
    /// A complete, valid response.
    #[default]
    Normal,
    /// A 503 response with the header `not-executed`.
    Full,
    /// A 500 response.
    ServerError,
    /// The call runs, and the response is a signed failure with this status, without the
    /// header `not-executed`.
    RanAndFailed(u16),
    /// The response to a call that ran has neither a length nor chunks. The connection ends
    /// inside the event that follows a number of complete events, or right after the head.
    /// An answer that is no stream ends inside its body by a reset, as a close there would
    /// be its proper end.
    Unframed(Option<u32>, ConnectionEnd),
    /// A normal response, of which a second copy follows on the same connection after a
    /// delay, or before the next response if that comes earlier.
    Repeated(Duration),
    /// As [`ResponseMode::Full`], repeated as [`ResponseMode::Repeated`].
    FullRepeated(Duration),
    /// A response without the `response-seal` header.
    Unsigned,
    /// A response with the request id of another call.
    WrongRequestId,
    /// The connection is closed without a response.
    Close,
    /// The connection is closed without a response after a delay.
    CloseAfter(Duration),
    /// No response is sent, and the connection stays open.
    NoResponse,
    /// The stream is cut off inside the event that follows a number of complete
    /// events.
    TruncateAfter(u32),
    /// The stream pauses for a duration after a number of events.
    PauseAfter(u32, Duration),
}

/// A `RecordedCall` is a call as the target received it.
#[derive(Clone, Debug)]
pub struct RecordedCall {
    /// The method, path and query.
    pub request_line: String,
    /// The headers of the request.
    pub headers: HeaderMap,
    /// The body of the request.
    pub body: Bytes,
    /// The time at which the call was received.
    pub received_at: Instant,
    /// Whether the target started to execute the call.
    pub ran: bool,
    /// The time at which the response stream ended, complete or not; `None` while
    /// it is open or if the response is not a stream.
    pub ended_at: Option<Instant>,
}

impl RecordedCall {
    /// Get the value of a header, or an empty string if it is missing or not
    /// visible ASCII.
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
    rate_limit: Mutex<Option<HeaderValue>>,
    leaving: AtomicBool,
    rest: Mutex<Option<HeaderValue>>,
    version: Mutex<String>,
    zone: Mutex<String>,
    warmth: Mutex<TargetWarmth>,
    fatal_part: Mutex<Option<FatalPart>>,
    crashes: Mutex<Vec<Instant>>,
    silent_until: Mutex<Option<Instant>>,
    control: OnceLock<ListenerControl>,
}

/// A `TargetWarmth` is until when a target is cold, and how many calls in a second crash it
/// until then.
#[derive(Clone, Copy, Debug, Default)]
struct TargetWarmth {
    cold_until: Option<Instant>,
    fatal_calls: Option<usize>,
}

impl TargetWarmth {
    fn remaining_ms(&self) -> u64 {
        let left = self
            .cold_until
            .map(|until| until.saturating_duration_since(Instant::now()));
        left.map_or(0, |left| left.as_millis() as u64)
    }
}

/// A `FatalPart` is a part of a prompt that crashes the target when it begins to answer.
#[derive(Clone, Debug)]
struct FatalPart {
    id: String,
    down: Duration,
}

impl TargetShared {
    /// Wait until the target is no longer silent.
    async fn wait_silence(&self) {
        loop {
            let left = self.silence_left();
            if left.is_zero() {
                return;
            }
            sleep(left).await;
        }
    }

    /// Get how long the target stays silent.
    fn silence_left(&self) -> Duration {
        let until = *lock(&self.silent_until);
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        left.unwrap_or_default()
    }

    /// Get what tells the process of the target from later ones: its start, and the number
    /// of crashes before.
    fn process(&self) -> (u64, usize) {
        let started_ms = lock(&self.instance).started_ms;
        (started_ms, lock(&self.crashes).len())
    }

    fn crash(&self, down: Duration) {
        lock(&self.crashes).push(Instant::now());
        if let Some(control) = self.control.get() {
            control.crash(down);
        }
    }

    /// Crash the target if it is cold and has got too many calls in the last second.
    fn crash_if_cold(&self) {
        let warmth = *lock(&self.warmth);
        let Some(fatal) = warmth.fatal_calls.filter(|_| warmth.remaining_ms() > 0) else {
            return;
        };
        let recent = lock(&self.calls)
            .iter()
            .rev()
            .take_while(|call| call.received_at.elapsed() < Duration::from_secs(1))
            .filter(|call| call.ran)
            .count();
        if recent > fatal {
            self.crash(COLD_CRASH_TIME);
        }
    }

    /// Get how long the target is down after it has begun to answer a call, if the call
    /// crashes it.
    fn crash_under(&self, call: &RecordedCall) -> Option<Duration> {
        let fatal = lock(&self.fatal_part).clone()?;
        let mut parts = call.field("prompt-prefix").split(',');
        let has_part = parts.any(|part| part.split(':').next() == Some(fatal.id.as_str()));
        has_part.then_some(fatal.down)
    }
}

/// A `TargetInstance` is one incarnation of a target, as its registration
/// describes it.
#[derive(Debug)]
struct TargetInstance {
    /// The start time in Unix milliseconds.
    started_ms: u64,
    /// The number of registrations so far.
    sequence: u64,
    /// The number of calls to earlier instances, whose prompts this one does not hold.
    earlier_calls: usize,
}

impl TargetInstance {
    /// Get an instance that starts now, but later than `earlier`.
    fn starting_after(earlier: u64) -> Self {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let now = now.map_or(0, |span| span.as_millis() as u64);
        TargetInstance {
            started_ms: now.max(earlier + 1),
            sequence: 0,
            earlier_calls: 0,
        }
    }
}

/// A `GatewayTargetStandin` is a running target stand-in; it stops accepting
/// connections when dropped.
#[derive(Debug)]
pub struct GatewayTargetStandin {
    listener: LoopbackListener,
    shared: Arc<TargetShared>,
}

impl GatewayTargetStandin {
    /// Try to start a target on a free loopback port. Its streams have `events`
    /// events, with a pause of `gap` before each. Plain answers take `work_ms` of their
    /// query, none by default.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(name: &str, events: u32, gap: Duration) -> io::Result<Self> {
        let shared = Arc::new(TargetShared {
            name: name.to_owned(),
            events,
            gap,
            calls: Mutex::default(),
            modes: Mutex::default(),
            instance: Mutex::new(TargetInstance::starting_after(0)),
            rate_limit: Mutex::default(),
            leaving: AtomicBool::new(false),
            rest: Mutex::default(),
            version: Mutex::new(DEFAULT_VERSION.to_owned()),
            zone: Mutex::new(DEFAULT_ZONE.to_owned()),
            warmth: Mutex::default(),
            fatal_part: Mutex::default(),
            crashes: Mutex::default(),
            silent_until: Mutex::default(),
            control: OnceLock::new(),
        });
        let served = Arc::clone(&shared);
        let handler = move |request| handle(Arc::clone(&served), request);
        let listener = LoopbackListener::start(handler).await?;
        // Nothing else sets it.
        let _ = shared.control.set(listener.control.clone());
        Ok(GatewayTargetStandin { listener, shared })
    }

    /// Get the bound address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Get the name of the target.
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// Stand still for a duration from now on, as a process that is not scheduled: new
    /// calls and open streams wait, and go on afterwards.
    pub fn fall_silent(&self, duration: Duration) {
        *lock(&self.shared.silent_until) = Some(Instant::now() + duration);
    }

    /// Simulate a process restart under the same name: close all connections,
    /// abort all calls, and start a new instance whose registrations count from
    /// zero.
    pub fn restart(&self) {
        self.listener.control.close_connections();
        let earlier_calls = lock(&self.shared.calls).len();
        let mut instance = lock(&self.shared.instance);
        *instance = TargetInstance {
            earlier_calls,
            ..TargetInstance::starting_after(instance.started_ms)
        };
    }

    /// Get the next registration of the target for the store. The address may be
    /// that of a relay in front of the target.
    pub fn registration(&self, service: &str, address: SocketAddr, state: &str) -> Value {
        let mut instance = lock(&self.shared.instance);
        instance.sequence += 1;
        json!({
            "service": service, "address": address.to_string(), "zone": *lock(&self.shared.zone),
            "version": *lock(&self.shared.version), "slots": 4, "state": state,
            "coldRemainingMs": lock(&self.shared.warmth).remaining_ms(),
            "sequence": instance.sequence, "born": instance.started_ms,
        })
    }

    /// Add the response modes of further calls, one for each, to the queue. Calls
    /// beyond the queue are answered normally.
    pub fn queue_responses(&self, modes: &[ResponseMode]) {
        lock(&self.shared.modes).extend(modes.iter().cloned());
    }

    /// Replace the queue of response modes.
    pub fn replace_responses(&self, modes: &[ResponseMode]) {
        *lock(&self.shared.modes) = modes.iter().cloned().collect();
    }

    /// Set the value of the `server-limit` header of further responses, or none.
    pub fn set_rate_limit(&self, limit: Option<&'static str>) {
        *lock(&self.shared.rate_limit) = limit.map(HeaderValue::from_static);
    }

    /// Set whether further responses say that the target leaves.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Refuse further calls with this `retry-after` header, or none.
    pub fn set_rest(&self, rest: Option<&'static str>) {
        *lock(&self.shared.rest) = rest.map(HeaderValue::from_static);
    }

    /// Set the version of the target's software in further registrations.
    pub fn set_version(&self, version: &str) {
        *lock(&self.shared.version) = version.to_owned();
    }

    /// Set the failure domain in further registrations.
    pub fn set_zone(&self, zone: &str) {
        *lock(&self.shared.zone) = zone.to_owned();
    }

    /// Turn cold for `span`. Meanwhile more than `fatal_calls` in a second crash the target,
    /// if given.
    pub fn turn_cold(&self, span: Duration, fatal_calls: Option<usize>) {
        *lock(&self.shared.warmth) = TargetWarmth {
            cold_until: Some(Instant::now() + span),
            fatal_calls,
        };
    }

    /// Get the version of the target's software.
    pub fn version(&self) -> String {
        lock(&self.shared.version).clone()
    }

    /// Crash the target whenever it begins an answer to a prompt with this part, and
    /// refuse connections for `down` afterwards.
    pub fn set_fatal_part(&self, id: &str, down: Duration) {
        let id = id.to_owned();
        *lock(&self.shared.fatal_part) = Some(FatalPart { id, down });
    }

    /// Crash the target, and refuse connections for `down`.
    pub fn crash(&self, down: Duration) {
        self.shared.crash(down);
    }

    /// Get the times of all crashes so far.
    pub fn crashes(&self) -> Vec<Instant> {
        lock(&self.shared.crashes).clone()
    }

    /// Get all calls received so far, in order of arrival.
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
    let received_at = Instant::now();
    if shared.silence_left().is_zero() {
        return answer(shared, parts, body, received_at).await;
    }
    // A process that stands still does not see that its caller has left.
    let answered = tokio::spawn(async move {
        let process = shared.process();
        shared.wait_silence().await;
        match process == shared.process() {
            true => answer(shared, parts, body, received_at).await,
            false => Err(io::ErrorKind::ConnectionReset.into()),
        }
    });
    answered.await.map_err(io::Error::other)?
}

async fn answer(
    shared: Arc<TargetShared>,
    parts: Parts,
    body: Bytes,
    received_at: Instant,
) -> Result<Response<ResponseBody>, io::Error> {
    if parts.uri.path() == HEALTH_PATH {
        return Ok(health_response(&shared));
    }
    if parts.uri.path() == HELD_PARTS_PATH {
        return Ok(held_parts_response(&shared));
    }
    let raw = parts.extensions.get::<RawConnection>().cloned();
    let raw = raw.ok_or(io::ErrorKind::NotConnected)?;
    raw.flush_late();
    let mut call = RecordedCall {
        request_line: format!("{} {}", parts.method, parts.uri),
        headers: parts.headers,
        body,
        received_at,
        ran: false,
        ended_at: None,
    };
    let mode = lock(&shared.modes).pop_front().unwrap_or_default();
    let expected = call.field("target-instance");
    let misdirected = !expected.is_empty() && expected != shared.name;
    let rest = lock(&shared.rest).clone();
    let is_full = matches!(mode, ResponseMode::Full | ResponseMode::FullRepeated(_));
    call.ran = !misdirected && !is_full && rest.is_none();
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
    shared.crash_if_cold();
    if let Some(rest) = rest {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let mut response = plain_response(status, &call, "resting", &[("not-executed", "1")]);
        response.headers_mut().insert("retry-after", rest);
        return Ok(response);
    }
    match mode {
        ResponseMode::Normal => {}
        ResponseMode::Full | ResponseMode::FullRepeated(_) => {
            if let ResponseMode::FullRepeated(delay) = mode {
                let fields = "not-executed: 1\r\ncontent-length: 4\r\n";
                let copy = raw_answer(&call, "503 Service Unavailable", fields, "full");
                raw.send_late(copy, delay);
            }
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(plain_response(
                status,
                &call,
                "full",
                &[("not-executed", "1")],
            ));
        }
        ResponseMode::RanAndFailed(status) => {
            let status = StatusCode::from_u16(status).map_err(io::Error::other)?;
            let response = plain_response(status, &call, "failed", &[]);
            return Ok(with_seal(&shared, response));
        }
        ResponseMode::Unframed(events, end) => {
            let fields = format!("response-seal: seal-of-{}\r\n", shared.name);
            let body = unframed_body(&shared, &call, events);
            raw.send(&raw_answer(&call, "200 OK", &fields, &body));
            let is_stream = !call.field("token-count").is_empty();
            raw.end(match is_stream || body.is_empty() {
                true => end,
                false => ConnectionEnd::Reset,
            });
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        ResponseMode::Repeated(delay) => {
            let body = format!("from {}", shared.name);
            let length = body.len();
            let name = &shared.name;
            let fields = format!("response-seal: seal-of-{name}\r\ncontent-length: {length}\r\n");
            raw.send_late(raw_answer(&call, "200 OK", &fields, &body), delay);
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
            let other = HeaderValue::from_static("another");
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
    if let Some(down) = shared.crash_under(&call) {
        sleep(shared.gap).await;
        shared.crash(down);
    }
    let is_stream = !call.field("token-count").is_empty();
    let response = match is_stream {
        true => event_response(&shared, &call, &mode, index),
        false => {
            let work = query_number(&call.request_line, "work_ms").unwrap_or(0);
            sleep(Duration::from_millis(work.into())).await;
            plain_response(StatusCode::OK, &call, &format!("from {}", shared.name), &[])
        }
    };
    Ok(with_seal(&shared, response))
}

/// Get the answer to a health check, which names the target and how long it stays cold.
fn health_response(shared: &TargetShared) -> Response<ResponseBody> {
    let body = Full::new(Bytes::new());
    let mut response = Response::new(body.map_err(|never: Infallible| match never {}).boxed());
    let cold_ms = lock(&shared.warmth).remaining_ms();
    let headers = response.headers_mut();
    headers.insert("cold-ms", cold_ms.into());
    if let Ok(name) = HeaderValue::from_str(&shared.name) {
        headers.insert("instance-id", name);
    }
    response
}

/// Get the parts of the prompts of all calls that ran since the start of the instance.
fn held_parts_response(shared: &TargetShared) -> Response<ResponseBody> {
    let instance = lock(&shared.instance);
    let (started_ms, earlier_calls) = (instance.started_ms, instance.earlier_calls);
    drop(instance);
    let calls = lock(&shared.calls);
    let ran = calls.iter().skip(earlier_calls).filter(|call| call.ran);
    let entries = ran.flat_map(|call| call.field("prompt-prefix").split(','));
    let held: Vec<Value> = entries
        .filter_map(|entry| entry.split_once(':'))
        .map(|(id, tokens)| json!(["", id, tokens.parse::<u64>().unwrap_or_default(), "m"]))
        .collect();
    let list = json!({"epoch": started_ms, "nextToken": held.len(), "held": held});
    let body = Full::new(Bytes::from(list.to_string()));
    Response::new(body.map_err(|never: Infallible| match never {}).boxed())
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
        let value = HeaderValue::from_static(value);
        response.headers_mut().insert(*name, value);
    }
    response
}

/// Get the bytes of an answer to a call.
fn raw_answer(call: &RecordedCall, status: &str, fields: &str, body: &str) -> Vec<u8> {
    let id = call.field("request-id");
    let answer = format!("HTTP/1.1 {status}\r\nrequest-id: {id}\r\n{fields}\r\n{body}");
    answer.into_bytes()
}

/// Get what an answer that breaks off has of its body: a number of events and a part of the
/// next, or nothing.
fn unframed_body(shared: &TargetShared, call: &RecordedCall, events: Option<u32>) -> String {
    let Some(events) = events else {
        return String::new();
    };
    if call.field("token-count").is_empty() {
        return "from".to_owned();
    }
    let first = first_event(call);
    let last = query_number(&call.request_line, "events").unwrap_or(shared.events);
    let cut = (first + events).min(last);
    let whole: String = (first..cut).map(event_text).collect();
    format!("{whole}id: {cut}\nda")
}

fn with_seal(
    shared: &TargetShared,
    mut response: Response<ResponseBody>,
) -> Response<ResponseBody> {
    let seal = format!("seal-of-{}", shared.name);
    if let Ok(value) = HeaderValue::from_str(&seal) {
        response.headers_mut().insert("response-seal", value);
    }
    if let Some(limit) = lock(&shared.rate_limit).clone() {
        response.headers_mut().insert("server-limit", limit);
    }
    if shared.leaving.load(Ordering::Relaxed) {
        let leaving = HeaderValue::from_static("1");
        response.headers_mut().insert("server-leaving", leaving);
    }
    response
}

type EventFrames = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, io::Error>> + Send + Sync>>;

/// Get the streamed response to a call, which starts after the event named in the
/// `last-event-id` header.
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
    let first = first_event(call);
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
        // The stream owns the guard until it ends or is dropped.
        let _guard = &guard;
        let shared = Arc::clone(&guard.shared);
        async move {
            sleep(gap).await;
            if paused_at == Some(id) {
                sleep(pause).await;
            }
            shared.wait_silence().await;
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

/// Get the first event that a call asks for.
fn first_event(call: &RecordedCall) -> u32 {
    call.field("last-event-id").parse().unwrap_or(0) + 1
}

/// A `StreamGuard` is an open response stream; its drop records the end time in
/// the call.
struct StreamGuard {
    shared: Arc<TargetShared>,
    index: usize,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        lock(&self.shared.calls)[self.index].ended_at = Some(Instant::now());
    }
}

/// Get a numeric query parameter of a request line, if it is present and valid.
fn query_number(line: &str, name: &str) -> Option<u32> {
    let (_, query) = line.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, number) = pairs.find(|(key, _)| *key == name)?;
    number.parse().ok()
}

/// Get the text of an event without padding.
pub fn event_text(id: u32) -> String {
    padded_event(id, 0)
}

/// Get the text of an event that is extended by `padding` bytes.
pub fn padded_event(id: u32, padding: usize) -> String {
    format!("id: {id}\ndata: piece {id}{}\n\n", ".".repeat(padding))
}
