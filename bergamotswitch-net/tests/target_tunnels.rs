//! Tests of calls that reach their target through a tunnel of another host.

mod link_support;
mod target_support;

use std::net::SocketAddr;
use std::time::Duration;

use bergamotswitch_core::entry::{AttemptEvent, NotSentReason};
use bergamotswitch_core::pool::PoolKind;
use bergamotswitch_core::target_path::TargetPath;
use bergamotswitch_net::answer::{AnswerPart, AnswerWriter};
use bergamotswitch_net::input::OutgoingCall;
use bergamotswitch_net::target_client::{CallRoute, TargetClientOptions};
use bytes::Bytes;
use link_support::{KEY, TestHost, host, host_list};
use target_support::{CallHarness, parts_of, target_at};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

const BODY_BYTES: usize = 1 << 20;
const NOT_SENT: AttemptEvent = AttemptEvent::NotSent(NotSentReason::ConnectFailed);

/// A `TunnelSite` is a client on host a, and host b, whose tunnels it uses.
struct TunnelSite {
    _a: TestHost,
    b: TestHost,
    harness: CallHarness,
}

impl TunnelSite {
    fn start() -> Self {
        let (mut a, mut b) = (host("a", 1), host("b", 2));
        let hosts = host_list(&[&a, &b]);
        a.hub.set_host_list(&hosts, KEY);
        b.hub.set_host_list(&hosts, KEY);
        let mut harness = CallHarness::new(TargetClientOptions::default());
        harness.client = harness.client.with_tunnels(a.hub.tunnel_pool());
        TunnelSite { _a: a, b, harness }
    }

    /// Start a call through a tunnel of host b.
    fn call(&mut self, address: SocketAddr, body: usize) -> AnswerWriter {
        let call = OutgoingCall {
            routed: None,
            method: http::Method::POST,
            path: "/receipts".to_owned(),
            content_type: "text/plain".to_owned(),
            body: Bytes::from(vec![b'x'; body]),
        };
        let route = CallRoute {
            path: TargetPath::Tunnel("b".try_into().unwrap()),
            connect_within: Some(Duration::from_secs(5)),
        };
        let target = target_at(address, false);
        self.harness
            .start_on(&target, PoolKind::Plain, &call, route)
            .1
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Accept a connection and read this many bytes at least, and the head.
async fn accept_request(listener: &TcpListener, body: usize) -> TcpStream {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut seen = Vec::new();
    loop {
        let head = seen.windows(4).position(|end| end == b"\r\n\r\n");
        if head.is_some_and(|head| seen.len() >= head + 4 + body) {
            return stream;
        }
        assert!(stream.read_buf(&mut seen).await.unwrap() > 0);
    }
}

/// Guards against bodies that are shortened or mixed up on their way through a tunnel.
#[tokio::test]
async fn long_bodies() {
    let mut site = TunnelSite::start();
    let (listener, address) = listen().await;
    let target = tokio::spawn(async move {
        let mut stream = accept_request(&listener, BODY_BYTES).await;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&vec![b'y'; BODY_BYTES]).await.unwrap();
        sleep(Duration::from_millis(200)).await;
    });
    let answer = site.call(address, BODY_BYTES);
    let events = site.harness.events().await;
    assert_eq!(events[0], AttemptEvent::Connected);
    assert!(
        matches!(events.last(), Some(AttemptEvent::Finished(_))),
        "{events:?}"
    );
    let parts = parts_of(answer).await;
    let data = parts.iter().map(|part| match part {
        AnswerPart::Data(bytes) => bytes.len(),
        _ => 0,
    });
    assert_eq!(data.sum::<usize>(), BODY_BYTES);
    target.await.unwrap();
}

/// Guards against calls that count as sent although no target was reached.
#[tokio::test]
async fn unreached_target() {
    let mut site = TunnelSite::start();
    let (listener, address) = listen().await;
    drop(listener);
    site.call(address, 10);
    assert_eq!(site.harness.events().await, [NOT_SENT]);
}

/// Guards against a stopping host that accepts new tunnels.
#[tokio::test]
async fn stopping_host() {
    let mut site = TunnelSite::start();
    site.b.hub.close_tunnels();
    let (_listener, address) = listen().await;
    site.call(address, 10);
    assert_eq!(site.harness.events().await, [NOT_SENT]);
}

/// Guards against an answer that a target cut and that looks complete, or a target whose
/// failure counts as one of the tunnel.
#[tokio::test]
async fn answer_cut() {
    let mut site = TunnelSite::start();
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        let mut stream = accept_request(&listener, 10).await;
        let head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf";
        stream.write_all(head).await.unwrap();
        stream.flush().await.unwrap();
        sleep(Duration::from_millis(100)).await;
        let socket = stream.into_std().unwrap();
        socket2::SockRef::from(&socket)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    });
    site.call(address, 10);
    let events = site.harness.events().await;
    assert!(
        matches!(events.last(), Some(AttemptEvent::Broken(_))),
        "{events:?}"
    );
}

/// Guards against a target that is blamed for the end of the host whose tunnel was used.
#[tokio::test]
async fn tunnel_host_ends() {
    let mut site = TunnelSite::start();
    let (listener, address) = listen().await;
    site.call(address, 10);
    let _stream = accept_request(&listener, 10).await;
    assert_eq!(site.harness.next_event().await.1, AttemptEvent::Connected);
    assert_eq!(site.b.hub.open_tunnels(), 1);
    let TunnelSite { _a, b, mut harness } = site;
    drop(b.hub);
    let events = harness.events().await;
    assert!(
        matches!(events[..], [AttemptEvent::TunnelBroken(_)]),
        "{events:?}"
    );
}

/// Guards against targets that work on for a caller that has left.
#[tokio::test]
async fn caller_leaves() {
    let mut site = TunnelSite::start();
    let (listener, address) = listen().await;
    site.call(address, 10);
    let mut stream = accept_request(&listener, 10).await;
    let (attempt, event) = site.harness.next_event().await;
    assert_eq!(event, AttemptEvent::Connected);
    site.harness.client.abort(attempt, true);
    let mut rest = Vec::new();
    let closed = timeout(Duration::from_millis(500), stream.read_to_end(&mut rest));
    let _ = closed.await.expect("the connection is closed");
}
