//! Provides simulated callers that continuously send calls of all kinds over
//! keep-alive connections and record the outcome of each.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::work::CallWork;
use super::{AddedRoute, SoakWorld};
use crate::users::{HOST, KEY};

/// The deadline of a short call.
pub const DEADLINE: Duration = Duration::from_millis(2_500);
/// How long after a call's deadline its caller stops waiting for the response.
pub const TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);
/// The API key that some faults revoke.
pub const SECOND_KEY: &str = "second-key-of-the-account";
/// The range of the pause between two calls of a caller.
const CALL_INTERVAL_MS: std::ops::Range<u64> = 5..60;
/// The least pause of a caller after a 503 response, and that of callers that stay at
/// their host.
const REJECTION_BACKOFF: Duration = Duration::from_millis(800);
const HOME_BACKOFF: Duration = Duration::from_millis(150);
/// How long after a route has been removed callers still use it.
const REMOVED_CALL_TIME: Duration = Duration::from_secs(4);
/// The number of hosts up to which callers pause no longer than [`CALL_INTERVAL_MS`].
const FULL_RATE_HOSTS: u32 = 8;

/// A `CallKind` is the kind of route that a call is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A stream that may be resumed on another target.
    Draft,
    /// A stream that may run at most once.
    Once,
    /// An idempotent call without a stream.
    Status,
    /// A call without a stream that may run at most once.
    Receipt,
    /// A call on a route that was published during the run.
    Added,
}

impl CallKind {
    pub fn is_idempotent(self) -> bool {
        matches!(self, CallKind::Draft | CallKind::Status | CallKind::Added)
    }

    /// All kinds of calls.
    pub const ALL: [CallKind; 5] = [
        CallKind::Draft,
        CallKind::Once,
        CallKind::Status,
        CallKind::Receipt,
        CallKind::Added,
    ];

    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Draft | CallKind::Once)
    }
}

/// A `CallEnd` is how a call ended from its caller's point of view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// There was no usable connection, so nothing was sent.
    NoConnection,
    /// The connection closed before a response head arrived.
    Closed,
    /// The response did not end within the deadline and [`TIMEOUT_MARGIN`].
    TimedOut,
    /// A response arrived, complete or truncated.
    Answered(ObservedResponse),
}

/// An `ObservedResponse` is a response as its caller received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedResponse {
    pub status: StatusCode,
    pub id: String,
    pub seal: String,
    pub body: String,
    pub whole: bool,
    /// Whether the target said that it leaves, and when its head came.
    pub leaving: bool,
    pub headed: Instant,
}

/// A `CallRecord` is one call and its outcome.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub id: String,
    pub kind: CallKind,
    pub path: String,
    pub host: usize,
    pub work: CallWork,
    pub second_key: bool,
    pub sent: Instant,
    pub ended: Instant,
    pub end: CallEnd,
}

/// A `CallerConnection` is a keep-alive connection from a caller to a host.
pub struct CallerConnection {
    host: usize,
    sender: SendRequest<Full<Bytes>>,
}

/// A `PlannedCall` is a call before it is sent.
pub struct PlannedCall {
    pub id: String,
    pub kind: CallKind,
    pub prefix: String,
    pub work: CallWork,
    pub second_key: bool,
}

/// A `SentCall` is the outcome of a call, by which its caller chooses the next one.
pub struct SentCall {
    /// Whether the connection may be used again.
    pub kept: bool,
    refused: bool,
}

/// Send calls until `callers_stopped` is set.
pub async fn run_caller(world: Rc<SoakWorld>, number: u64) {
    let mut rng = StdRng::seed_from_u64(world.seed ^ (number << 32));
    let mut idle: Option<CallerConnection> = None;
    let mut count = 0;
    while !world.callers_stopped.get() {
        count += 1;
        let id = format!("c{number}-{count}");
        let backoff = send_one(&world, &mut rng, &mut idle, number, id).await;
        let mut pause = Duration::from_millis(rng.random_range(CALL_INTERVAL_MS));
        if world.unlike_one_in.is_some() {
            pause *= (world.hosts.len() as u32).div_ceil(FULL_RATE_HOSTS);
        }
        sleep(pause.max(backoff)).await;
    }
}

/// Send a call, record its outcome and get the least pause before the next one.
async fn send_one(
    world: &Rc<SoakWorld>,
    rng: &mut StdRng,
    idle: &mut Option<CallerConnection>,
    number: u64,
    id: String,
) -> Duration {
    let kind = CallKind::ALL[rng.random_range(0..CallKind::ALL.len())];
    let second_key = rng.random_bool(0.4);
    let Some(prefix) = prefix_of(world, rng, kind) else {
        return Duration::ZERO;
    };
    let long = world.has_long_work.get();
    let work = match world.unlike_one_in {
        Some(one_in) if long && rng.random_ratio(1, one_in) => {
            CallWork::draw_unlike(rng, kind.is_stream())
        }
        Some(_) => CallWork::draw_usual(rng),
        None if long && kind.is_stream() => CallWork::draw(rng, number),
        None => CallWork::SHORT,
    };
    let home = world
        .unlike_one_in
        .map(|_| number as usize % world.hosts.len());
    let connection = match (idle.take(), home) {
        (Some(connection), _) => Some(connection),
        (None, Some(home)) => match connect(world, home).await {
            Some(connection) => Some(connection),
            None => connect_any(world, rng).await,
        },
        (None, None) => connect_any(world, rng).await,
    };
    let Some(mut connection) = connection else {
        return Duration::ZERO;
    };
    let host = connection.host;
    let call = PlannedCall {
        id,
        kind,
        prefix,
        work,
        second_key,
    };
    let sent = send(world, &mut connection, call).await;
    if sent.kept && home.is_none_or(|home| home == host) {
        *idle = Some(connection);
    }
    match (sent.refused, home) {
        (false, _) => Duration::ZERO,
        (true, None) => REJECTION_BACKOFF,
        (true, Some(_)) => HOME_BACKOFF,
    }
}

/// Send a call on a connection and record its outcome.
pub async fn send(
    world: &SoakWorld,
    connection: &mut CallerConnection,
    call: PlannedCall,
) -> SentCall {
    let PlannedCall {
        id,
        kind,
        prefix,
        work,
        second_key,
    } = call;
    let path = format!("{prefix}{id}{}", work.query());
    let request = request(kind, &path, &id, work, second_key);
    let sent = Instant::now();
    let answered = timeout(
        work.deadline + TIMEOUT_MARGIN,
        exchange(&mut connection.sender, request),
    )
    .await;
    let end = answered.unwrap_or(CallEnd::TimedOut);
    let answer = match &end {
        CallEnd::Answered(response) => Some(response),
        CallEnd::NoConnection | CallEnd::Closed | CallEnd::TimedOut => None,
    };
    let is_open = !connection.sender.is_closed();
    let outcome = SentCall {
        kept: is_open && answer.is_some_and(|response| response.whole),
        refused: answer.is_some_and(|response| response.status == StatusCode::SERVICE_UNAVAILABLE),
    };
    world.record_call(CallRecord {
        id,
        kind,
        path,
        host: connection.host,
        work,
        second_key,
        sent,
        ended: Instant::now(),
        end,
    });
    outcome
}

/// Get the path prefix of a route of a kind, if there is one.
pub fn prefix_of(world: &SoakWorld, rng: &mut StdRng, kind: CallKind) -> Option<String> {
    Some(match kind {
        CallKind::Draft => "/draft/".to_owned(),
        CallKind::Once => "/once/".to_owned(),
        CallKind::Status => "/status/".to_owned(),
        CallKind::Receipt => "/receipt/".to_owned(),
        CallKind::Added => {
            let routes = world.routes.borrow();
            let is_used = |route: &&AddedRoute| {
                let removed = route.removed;
                removed.is_none_or(|removed| removed.elapsed() < REMOVED_CALL_TIME)
            };
            let used: Vec<&AddedRoute> = routes.iter().filter(is_used).collect();
            let index = rng.random_range(0..used.len().max(1));
            used.get(index)?.prefix.clone()
        }
    })
}

async fn connect_any(world: &SoakWorld, rng: &mut StdRng) -> Option<CallerConnection> {
    let host = rng.random_range(0..world.caller_addresses.len());
    connect(world, host).await
}

/// Open a connection to a host.
pub async fn connect(world: &SoakWorld, host: usize) -> Option<CallerConnection> {
    let address: SocketAddr = world.caller_addresses[host];
    let stream = timeout(Duration::from_secs(1), TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    Some(CallerConnection { host, sender })
}

/// Get the request body of a call.
pub fn body_of(id: &str) -> String {
    format!("prompt of {id}")
}

fn request(
    kind: CallKind,
    path: &str,
    id: &str,
    work: CallWork,
    second_key: bool,
) -> Request<Full<Bytes>> {
    let key = if second_key { SECOND_KEY } else { KEY };
    let mut builder = Request::builder()
        .method("POST")
        .uri(path)
        .header("host", HOST)
        .header("request-id", id)
        .header("deadline-ms", work.deadline.as_millis().to_string())
        .header("authorization", format!("Bearer {key}"))
        // Forged headers that the system must replace or strip.
        .header("tenant", "forged")
        .header("hold", "forged");
    if kind.is_stream() {
        builder = builder
            .header("model", "m")
            .header("token-count", format!("100,{}", work.max_tokens));
        if let Some(hinted) = work.hinted_tokens {
            builder = builder.header("length-hint", hinted.to_string());
        }
    }
    let body = Full::new(Bytes::from(body_of(id)));
    builder.body(body).expect("valid request")
}

async fn exchange(sender: &mut SendRequest<Full<Bytes>>, request: Request<Full<Bytes>>) -> CallEnd {
    if sender.ready().await.is_err() {
        return CallEnd::NoConnection;
    }
    let Ok(response) = sender.send_request(request).await else {
        return CallEnd::Closed;
    };
    let headed = Instant::now();
    let (head, mut body) = response.into_parts();
    let field = |name: &str| {
        let value = head.headers.get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    };
    let mut bytes = Vec::new();
    let whole = loop {
        match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => bytes.extend(frame.into_data().unwrap_or_default()),
        }
    };
    CallEnd::Answered(ObservedResponse {
        status: head.status,
        id: field("request-id"),
        seal: field("response-seal"),
        body: String::from_utf8_lossy(&bytes).into_owned(),
        whole,
        leaving: !field("server-leaving").is_empty(),
        headed,
    })
}
