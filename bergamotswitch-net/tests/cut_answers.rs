//! Tests of answers whose target stops at some moment, by a close or a reset.

mod link_support;
mod target_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::pool::PoolKind;
use bergamotswitch_core::target_path::TargetPath;
use bergamotswitch_net::answer::{AnswerPart, AnswerWriter};
use bergamotswitch_net::input::OutgoingCall;
use bergamotswitch_net::target_client::routed_call::RoutedCall;
use bergamotswitch_net::target_client::{CallRoute, TargetClientOptions};
use bytes::Bytes;
use http::{HeaderMap, Method};
use link_support::{KEY, host, host_list};
use socket2::SockRef;
use target_support::{CallHarness, EPHEMERAL_ADDRESS, parts_of, target_at};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const BODY: &str = "body";
const CALL_ID: &str = "a";

const STATUSES: [u16; 11] = [200, 204, 304, 400, 408, 421, 429, 500, 503, 504, 101];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    Routed,
    Plain,
    Engine,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    Neither,
    /// A transfer coding other than chunks, and no chunks.
    Coded,
    /// Another transfer coding inside chunks.
    CodedChunks,
    OldLength,
    OldNeither,
}

const FRAMINGS: [Framing; 7] = [
    Framing::Length,
    Framing::Chunked,
    Framing::Neither,
    Framing::Coded,
    Framing::CodedChunks,
    Framing::OldLength,
    Framing::OldNeither,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Moment {
    InsideHead,
    AfterHead,
    InsideBody,
    BeforeLastByte,
    AfterBody,
}

const MOMENTS: [Moment; 5] = [
    Moment::InsideHead,
    Moment::AfterHead,
    Moment::InsideBody,
    Moment::BeforeLastByte,
    Moment::AfterBody,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    Close,
    Reset,
}

/// A `CutAnswer` is an answer and how its target stops.
#[derive(Clone, Copy, Debug)]
struct CutAnswer {
    kind: CallKind,
    is_head_call: bool,
    status: u16,
    framing: Framing,
    moment: Moment,
    stop: Stop,
}

impl CutAnswer {
    /// Get all answers to calls of a kind.
    fn all(kind: CallKind) -> Vec<CutAnswer> {
        let mut answers = Vec::new();
        for status in STATUSES {
            for framing in FRAMINGS {
                for moment in MOMENTS {
                    for stop in [Stop::Close, Stop::Reset] {
                        for is_head_call in [false, true] {
                            answers.push(CutAnswer {
                                kind,
                                is_head_call,
                                status,
                                framing,
                                moment,
                                stop,
                            });
                        }
                    }
                }
            }
        }
        answers.retain(|answer| answer.kind != CallKind::Engine || !answer.is_head_call);
        answers.retain(|answer| answer.has_body() || answer.moment <= Moment::AfterHead);
        answers
    }

    fn has_body(&self) -> bool {
        !self.is_head_call && !matches!(self.status, 101 | 204 | 304)
    }

    fn is_closed_by_connection(&self) -> bool {
        matches!(self.framing, Framing::Neither | Framing::OldNeither)
    }

    fn bytes(&self) -> Vec<u8> {
        let (version, field) = match self.framing {
            Framing::Length => ("1.1", "Content-Length: 4\r\n"),
            Framing::Chunked => ("1.1", "Transfer-Encoding: chunked\r\n"),
            Framing::Neither => ("1.1", ""),
            Framing::Coded => ("1.1", "Transfer-Encoding: gzip\r\n"),
            Framing::CodedChunks => ("1.1", "Transfer-Encoding: gzip, chunked\r\n"),
            Framing::OldLength => ("1.0", "Content-Length: 4\r\n"),
            Framing::OldNeither => ("1.0", ""),
        };
        let ids = match self.kind {
            CallKind::Routed => format!("Request-Id: {CALL_ID}\r\nResponse-Seal: seal\r\n"),
            CallKind::Plain | CallKind::Engine => String::new(),
        };
        let head = format!("HTTP/{version} {} Status\r\n{ids}{field}\r\n", self.status);
        let body = match self.framing {
            Framing::Chunked | Framing::CodedChunks => format!("4\r\n{BODY}\r\n0\r\n\r\n"),
            _ => BODY.to_owned(),
        };
        let length = match self.moment {
            Moment::InsideHead => head.len() - 2,
            Moment::AfterHead => head.len(),
            Moment::InsideBody => head.len() + body.len() / 2,
            Moment::BeforeLastByte => head.len() + body.len() - 1,
            Moment::AfterBody => head.len() + body.len(),
        };
        format!("{head}{body}").into_bytes()[..length].to_vec()
    }

    /// Get whether the caller may receive the answer as a whole one.
    fn may_pass(&self) -> bool {
        // The status promises that the call did not run, which the answer does not state.
        let is_false_promise =
            self.kind == CallKind::Routed && matches!(self.status, 408 | 421 | 429 | 503);
        if self.status == 101 || self.moment == Moment::InsideHead || is_false_promise {
            return false;
        }
        if !self.has_body() {
            return true;
        }
        match self.framing {
            Framing::Coded | Framing::CodedChunks => false,
            Framing::Neither | Framing::OldNeither => {
                // Inside the body, a close does not tell a cut answer from a whole one.
                self.kind == CallKind::Routed
                    && self.stop == Stop::Close
                    && self.moment >= Moment::InsideBody
            }
            Framing::Length | Framing::Chunked | Framing::OldLength => {
                self.moment == Moment::AfterBody
            }
        }
    }

    /// Get whether the answer is whole and says so, and must be passed on.
    fn must_pass(&self) -> bool {
        let is_answer = self.kind != CallKind::Engine || self.status >= 300;
        let may_reject = matches!(self.status, 429 | 503);
        let is_known = !matches!(self.framing, Framing::Coded | Framing::CodedChunks);
        let is_whole = self.moment == Moment::AfterBody || !self.has_body();
        self.may_pass()
            && is_answer
            && is_known
            && is_whole
            && !may_reject
            && self.stop == Stop::Close
    }

    /// Get whether the answer states that the call did not run.
    fn states_not_run(&self) -> bool {
        let has_head = self.moment > Moment::InsideHead;
        has_head
            && match self.kind {
                CallKind::Routed => self.status == 421,
                CallKind::Plain | CallKind::Engine => matches!(self.status, 429 | 503),
            }
    }

    /// Get what is wrong with the end of the call, if anything is.
    fn fault(&self, end: &AttemptEvent, parts: &[AnswerPart]) -> Option<String> {
        let has_passed = matches!(end, AttemptEvent::Finished(_) | AttemptEvent::Failed);
        if has_passed && !self.may_pass() {
            return Some("looks whole".to_owned());
        }
        if *end == AttemptEvent::Refused && !self.states_not_run() {
            return Some("reads not run".to_owned());
        }
        if !has_passed && self.must_pass() {
            return Some(format!("is lost: {end:?}"));
        }
        let is_exact =
            has_passed && !(self.is_closed_by_connection() && self.moment < Moment::AfterBody);
        let body = if self.has_body() { BODY } else { "" };
        let is_same = whole_of(parts) == Some((self.status, body.to_owned()));
        (is_exact && !is_same).then(|| format!("was changed: {parts:?}"))
    }
}

/// Get the status and the body of an answer.
fn whole_of(parts: &[AnswerPart]) -> Option<(u16, String)> {
    let (AnswerPart::Head { status, .. }, data) = parts.split_first()? else {
        return None;
    };
    let mut body = Vec::new();
    for part in data {
        if let AnswerPart::Data(bytes) = part {
            body.extend_from_slice(bytes);
        }
    }
    Some((*status, String::from_utf8(body).ok()?))
}

/// Start a target that gives these answers, one on each connection.
async fn start_target(mut answers: mpsc::UnboundedReceiver<CutAnswer>) -> SocketAddr {
    let listener = TcpListener::bind(EPHEMERAL_ADDRESS).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Some(answer) = answers.recv().await {
            // A connection without a call only shows that the target is there.
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                if give(stream, answer).await {
                    break;
                }
            }
        }
    });
    address
}

/// Give this answer to a call; get whether there was one.
async fn give(mut stream: TcpStream, answer: CutAnswer) -> bool {
    let mut seen = Vec::new();
    while !seen.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut seen).await.expect("a request") == 0 {
            assert!(seen.is_empty(), "a part of a request");
            return false;
        }
    }
    stream.write_all(&answer.bytes()).await.expect("written");
    if answer.stop == Stop::Reset {
        let socket = SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).expect("a reset");
    }
    true
}

fn call_to(answer: CutAnswer) -> OutgoingCall {
    let mut fields = HeaderMap::new();
    fields.insert("request-id", CALL_ID.parse().expect("an id"));
    let routed = RoutedCall {
        request_id: CALL_ID.to_owned(),
        fields: Arc::new(fields),
        account: None,
        deadline: Instant::now() + Duration::from_secs(10),
        is_stream: false,
        last_event: None,
        start_timeout: None,
        gap_timeout: None,
    };
    OutgoingCall {
        routed: (answer.kind == CallKind::Routed).then_some(routed),
        method: match answer.is_head_call {
            true => Method::HEAD,
            false => Method::GET,
        },
        path: "/receipts/1".to_owned(),
        content_type: String::new(),
        body: Bytes::new(),
    }
}

/// Check all answers to calls of a kind on this path.
async fn check(harness: &mut CallHarness, path: &TargetPath, kind: CallKind) {
    let (answers, given) = mpsc::unbounded_channel();
    let target = target_at(start_target(given).await, false);
    let pool_kind = match kind {
        CallKind::Routed | CallKind::Plain => PoolKind::Plain,
        CallKind::Engine => PoolKind::Engine,
    };
    let mut faults = Vec::new();
    for answer in CutAnswer::all(kind) {
        answers.send(answer).expect("a target");
        let route = CallRoute {
            path: path.clone(),
            connect_within: Some(Duration::from_secs(5)),
        };
        let (_, writer): (_, AnswerWriter) =
            harness.start_on(&target, pool_kind, &call_to(answer), route);
        let events = harness.events().await;
        let end = events.last().expect("an end");
        if let Some(fault) = answer.fault(end, &parts_of(writer).await) {
            faults.push(format!("{answer:?} {fault}"));
        }
    }
    assert!(faults.is_empty(), "{path}: {}", faults.join("\n"));
}

fn harness() -> CallHarness {
    CallHarness::new(TargetClientOptions::default().with_idle_reuse(Duration::ZERO))
}

async fn check_direct(kind: CallKind) {
    check(&mut harness(), &TargetPath::Direct, kind).await;
}

async fn check_tunnelled(kind: CallKind) {
    let (mut a, mut b) = (host("a", 1), host("b", 2));
    let hosts = host_list(&[&a, &b]);
    a.hub.set_host_list(&hosts, KEY);
    b.hub.set_host_list(&hosts, KEY);
    let mut harness = harness();
    harness.client = harness.client.with_tunnels(a.hub.tunnel_pool());
    let path = TargetPath::Tunnel("b".try_into().expect("a name"));
    check(&mut harness, &path, kind).await;
}

// Guards against a cut answer to a routed call that looks whole, or reads as "not run".
#[tokio::test]
async fn routed_answers() {
    check_direct(CallKind::Routed).await;
}

// Guards against a cut answer of a plain service that looks whole, or reads as "not run".
#[tokio::test]
async fn plain_answers() {
    check_direct(CallKind::Plain).await;
}

// Guards against a cut error answer of an engine that looks whole, or reads as "not run".
#[tokio::test]
async fn engine_errors() {
    check_direct(CallKind::Engine).await;
}

// Guards against a reset that a tunnel passes on as the end of a routed call's answer.
#[tokio::test]
async fn tunnelled_answers() {
    check_tunnelled(CallKind::Routed).await;
}

// Guards against a reset that a tunnel passes on as the end of a plain service's answer.
#[tokio::test]
async fn tunnelled_plain() {
    check_tunnelled(CallKind::Plain).await;
}

// Guards against a reset that a tunnel passes on as the end of an engine's error answer.
#[tokio::test]
async fn tunnelled_errors() {
    check_tunnelled(CallKind::Engine).await;
}
