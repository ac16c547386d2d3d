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

use crate::target_control::lock;
use crate::users_listener::UsersListener;

/// A `TargetMood` is how a target answers one call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum TargetMood {
    /// With its whole answer.
    #[default]
    Well,
    /// It says that it does not run the call.
    Full,
    /// With its own error.
    Failing,
    /// Without its signature.
    Unsigned,
    /// With the id of another call.
    Crossed,
    /// It closes the connection without an answer.
    Closing,
    /// It closes the connection after so long, without an answer.
    CloseAfter(Duration),
    /// It never answers.
    Mute,
    /// Its stream breaks off in the middle of the event after so many.
    BreakAfter(u32),
    /// Its stream stands still for so long after so many events.
    PauseAfter(u32, Duration),
}

/// A `SeenCall` is one call as a target got it.
#[derive(Clone, Debug)]
pub struct SeenCall {
    /// Method, path and query.
    pub line: String,
    /// The header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When it came.
    pub at: Instant,
    /// Whether the target began to work on it.
    pub ran: bool,
    /// When its stream ended, whole or broken off; none while it goes on, or
    /// where the answer is no stream.
    pub ended: Option<Instant>,
}

impl SeenCall {
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
    seen: Mutex<Vec<SeenCall>>,
    moods: Mutex<VecDeque<TargetMood>>,
    run: Mutex<TargetRun>,
}

/// What a target tells of its run.
#[derive(Debug)]
struct TargetRun {
    /// The Unix millisecond of its start.
    born: u64,
    /// How often it has registered.
    sequence: u64,
}

impl TargetRun {
    /// Get a run that starts now, later than the one before.
    fn after(earlier: u64) -> Self {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let now = now.map_or(0, |span| span.as_millis() as u64);
        TargetRun {
            born: now.max(earlier + 1),
            sequence: 0,
        }
    }
}

/// A `UsersTarget` is a running stand-in; its drop stops it.
#[derive(Debug)]
pub struct UsersTarget {
    listener: UsersListener,
    shared: Arc<TargetShared>,
}

impl UsersTarget {
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
            seen: Mutex::default(),
            moods: Mutex::default(),
            run: Mutex::new(TargetRun::after(0)),
        });
        let served = Arc::clone(&shared);
        let handler = move |request| answer(Arc::clone(&served), request);
        let listener = UsersListener::start(handler).await?;
        Ok(UsersTarget { listener, shared })
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
        self.listener.end_connections();
        let mut run = lock(&self.shared.run);
        *run = TargetRun::after(run.born);
    }

    /// Get what it writes to the store of itself, at an address that may be that
    /// of a relay before it.
    pub fn registration(&self, service: &str, address: SocketAddr, state: &str) -> Value {
        let mut run = lock(&self.shared.run);
        run.sequence += 1;
        json!({
            "service": service, "address": address.to_string(), "zone": "hall-1",
            "version": "v1", "slots": 4, "state": state, "coldRemainingMs": 0,
            "sequence": run.sequence, "born": run.born,
        })
    }

    /// Set how the next calls are answered, one after the other.
    pub fn expect(&self, moods: &[TargetMood]) {
        lock(&self.shared.moods).extend(moods.iter().cloned());
    }

    /// Set how the next calls are answered, in place of what was set before.
    pub fn expect_only(&self, moods: &[TargetMood]) {
        *lock(&self.shared.moods) = moods.iter().cloned().collect();
    }

    /// Get the calls that came.
    pub fn seen(&self) -> Vec<SeenCall> {
        lock(&self.shared.seen).clone()
    }
}

type AnswerBytes = BoxBody<Bytes, io::Error>;

async fn answer(
    shared: Arc<TargetShared>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBytes>, io::Error> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let mut call = SeenCall {
        line: format!("{} {}", parts.method, parts.uri),
        headers: parts.headers,
        body,
        at: Instant::now(),
        ran: false,
        ended: None,
    };
    let mood = lock(&shared.moods).pop_front().unwrap_or_default();
    let expected = call.field("target-instance");
    let mistaken = !expected.is_empty() && expected != shared.name;
    call.ran = !mistaken && mood != TargetMood::Full;
    let place = {
        let mut seen = lock(&shared.seen);
        seen.push(call.clone());
        seen.len() - 1
    };
    if mistaken {
        return Ok(plain(StatusCode::MISDIRECTED_REQUEST, &call, "", &[]));
    }
    match mood {
        TargetMood::Well => {}
        TargetMood::Full => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(plain(status, &call, "full", &[("not-executed", "1")]));
        }
        TargetMood::Failing => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Ok(signed(&shared, plain(status, &call, "failed", &[])));
        }
        TargetMood::Unsigned => return Ok(plain(StatusCode::OK, &call, "forged", &[])),
        TargetMood::Crossed => {
            let mut response = signed(&shared, plain(StatusCode::OK, &call, "another's", &[]));
            let other = hyper::header::HeaderValue::from_static("another");
            response.headers_mut().insert("request-id", other);
            return Ok(response);
        }
        TargetMood::Closing => return Err(io::ErrorKind::ConnectionReset.into()),
        TargetMood::CloseAfter(wait) => {
            sleep(wait).await;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        TargetMood::Mute => sleep(Duration::from_secs(3_600)).await,
        TargetMood::BreakAfter(_) | TargetMood::PauseAfter(..) => {}
    }
    let is_stream = !call.field("token-count").is_empty();
    let response = match is_stream {
        true => events(&shared, &call, &mood, place),
        false => plain(StatusCode::OK, &call, &format!("from {}", shared.name), &[]),
    };
    Ok(signed(&shared, response))
}

fn plain(
    status: StatusCode,
    call: &SeenCall,
    text: &str,
    fields: &[(&'static str, &'static str)],
) -> Response<AnswerBytes> {
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

fn signed(shared: &TargetShared, mut response: Response<AnswerBytes>) -> Response<AnswerBytes> {
    let seal = format!("seal-of-{}", shared.name);
    if let Ok(value) = hyper::header::HeaderValue::from_str(&seal) {
        response.headers_mut().insert("response-seal", value);
    }
    response
}

type Pieces = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, io::Error>> + Send + Sync>>;

/// Get the stream of a call, from behind the last event that it names.
fn events(
    shared: &Arc<TargetShared>,
    call: &SeenCall,
    mood: &TargetMood,
    place: usize,
) -> Response<AnswerBytes> {
    let run = RunGuard {
        shared: Arc::clone(shared),
        place,
    };
    let first: u32 = call.field("last-event-id").parse().unwrap_or(0) + 1;
    let last = asked(&call.line, "events").unwrap_or(shared.events);
    let padding = asked(&call.line, "padding").unwrap_or(0) as usize;
    let gap = shared.gap;
    let broken_at = match mood {
        TargetMood::BreakAfter(count) => Some(first + count),
        _ => None,
    };
    let (paused_at, pause) = match *mood {
        TargetMood::PauseAfter(count, pause) => (Some(first + count), pause),
        _ => (None, Duration::ZERO),
    };
    let pieces = stream::iter(first..=last).then(move |id| {
        // The stream holds the run until it has ended or is dropped.
        let _run = &run;
        async move {
            sleep(gap).await;
            if paused_at == Some(id) {
                sleep(pause).await;
            }
            match broken_at {
                Some(broken) if id > broken => Err(io::ErrorKind::ConnectionReset.into()),
                Some(broken) if id == broken => {
                    Ok(Frame::data(Bytes::from(format!("id: {id}\nda"))))
                }
                _ => Ok(Frame::data(Bytes::from(padded_event(id, padding)))),
            }
        }
    });
    let pieces: Pieces = Box::pin(pieces);
    let mut response = plain(StatusCode::OK, call, "", &[]);
    *response.body_mut() = BodyExt::boxed(StreamBody::new(pieces));
    response
}

/// A `RunGuard` is a stream that goes on; its drop notes when it ended.
struct RunGuard {
    shared: Arc<TargetShared>,
    place: usize,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        lock(&self.shared.seen)[self.place].ended = Some(Instant::now());
    }
}

/// Get a number that a call's query names, where it does.
fn asked(line: &str, name: &str) -> Option<u32> {
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
