//! Tests of streams whose targets stop, read directly and through a tunnel.

mod link_support;
mod target_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::pool::PoolKind;
use bergamotswitch_core::target_path::TargetPath;
use bergamotswitch_net::answer::AnswerPart;
use bergamotswitch_net::input::OutgoingCall;
use bergamotswitch_net::target_client::routed_call::RoutedCall;
use bergamotswitch_net::target_client::{CallRoute, TargetClientOptions};
use bytes::Bytes;
use http::HeaderMap;
use link_support::{KEY, host, host_list};
use target_support::{CallHarness, EPHEMERAL_ADDRESS, parts_of, target_at};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

const EVENT: &str = "id: 1\ndata: a\n\n";
const HALF: &str = "id: 2\nda";

/// The framing of a body with two events, or of one that ends with its connection.
const LENGTH: &str = "Content-Length: 30\r\n";
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
const UNFRAMED: &str = "";

/// How long a target that is not killed goes on after its answer.
const LISTENING_TIME: Duration = Duration::from_secs(5);

/// How long a target waits before it resets its connection, as a reset discards what is unread.
const RESET_DELAY: Duration = Duration::from_millis(50);

/// Start a target that sends this answer to a call and then closes or resets the connection.
/// One that is killed accepts no further connection.
async fn start_target(framing: &str, body: &str, resets: bool, is_killed: bool) -> SocketAddr {
    let listener = TcpListener::bind(EPHEMERAL_ADDRESS).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let body = match framing {
        CHUNKED if !body.is_empty() => format!("{:x}\r\n{body}\r\n", body.len()),
        _ => body.to_owned(),
    };
    let answer = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Seal: seal\r\n\
         Content-Type: text/event-stream\r\n{framing}\r\n{body}"
    );
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let listener = (!is_killed).then_some(listener);
        let mut seen = Vec::new();
        while !seen.ends_with(b"\r\n\r\n") {
            if stream.read_buf(&mut seen).await.unwrap_or(0) == 0 {
                return;
            }
        }
        let _ = stream.write_all(answer.as_bytes()).await;
        if resets {
            sleep(RESET_DELAY).await;
            let _ = stream.set_zero_linger();
        }
        drop(stream);
        sleep(LISTENING_TIME).await;
        drop(listener);
    });
    address
}

fn stream_call() -> OutgoingCall {
    let mut fields = HeaderMap::new();
    fields.insert("request-id", "a".parse().expect("an id"));
    OutgoingCall {
        routed: Some(RoutedCall {
            request_id: "a".to_owned(),
            fields: Arc::new(fields),
            account: None,
            deadline: Instant::now() + Duration::from_secs(10),
            is_stream: true,
            last_event: None,
            start_timeout: None,
            gap_timeout: None,
        }),
        method: http::Method::GET,
        path: "/draft/1".to_owned(),
        content_type: String::new(),
        body: Bytes::new(),
    }
}

/// Guards against a stream that a target cut and that counts as finished, or as not run.
async fn check_cuts(harness: &mut CallHarness, path: &TargetPath) {
    let half = format!("{EVENT}{HALF}");
    let mut faults = Vec::new();
    for framing in [LENGTH, CHUNKED, UNFRAMED] {
        for body in ["", EVENT, &half] {
            for (resets, is_killed) in [(false, false), (true, false), (false, true)] {
                let case = format!("{framing:?} {body:?} {resets} {is_killed} {path}");
                let address = start_target(framing, body, resets, is_killed).await;
                let target = target_at(address, false);
                let route = CallRoute {
                    path: path.clone(),
                    connect_within: Some(Duration::from_secs(5)),
                };
                let (_, answer) = harness.start_on(&target, PoolKind::Plain, &stream_call(), route);
                let events = harness.events().await;
                // Only the end of the connection shows that such a stream is whole.
                let is_closed = !resets && !is_killed;
                let is_whole = framing == UNFRAMED && body == EVENT && is_closed;
                let is_as_due = match events.last() {
                    Some(AttemptEvent::Finished(_)) => is_whole,
                    Some(AttemptEvent::Broken(_)) => !is_whole,
                    _ => false,
                };
                if !is_as_due {
                    faults.push(format!("{case}: {events:?}"));
                }
                let parts = parts_of(answer).await;
                let data = parts.iter().filter_map(|part| match part {
                    AnswerPart::Data(bytes) => Some(bytes.as_ref()),
                    _ => None,
                });
                let expected = match body.is_empty() {
                    true => "",
                    false => EVENT,
                };
                assert_eq!(
                    data.collect::<Vec<_>>().concat(),
                    expected.as_bytes(),
                    "{case}"
                );
            }
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[tokio::test]
async fn direct_stream() {
    let mut harness = CallHarness::new(TargetClientOptions::default());
    check_cuts(&mut harness, &TargetPath::Direct).await;
}

#[tokio::test]
async fn tunnelled_stream() {
    let (mut a, mut b) = (host("a", 1), host("b", 2));
    let hosts = host_list(&[&a, &b]);
    a.hub.set_host_list(&hosts, KEY);
    b.hub.set_host_list(&hosts, KEY);
    let mut harness = CallHarness::new(TargetClientOptions::default());
    harness.client = harness.client.with_tunnels(a.hub.tunnel_pool());
    let path = TargetPath::Tunnel("b".try_into().expect("a name"));
    check_cuts(&mut harness, &path).await;
}
