//! Tests of request and answer bodies that are still being read when their host
//! stops.

mod users;

use std::net::SocketAddr;
use std::time::Duration;

use bergamotswitch_standin::gateway_target::padded_event;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use users::host_child::PlannedStop;
use users::{HOST, KEY, Site, SiteOptions, WAIT_TIMEOUT, until};

/// The grace period, and the part of it in which calls are still accepted.
const GRACE: Duration = Duration::from_secs(8);
const ACCEPT_TIME: Duration = Duration::from_secs(4);

async fn start_site() -> Site {
    Site::start_with(SiteOptions {
        // A shorter timeout of the operator would end the wait for the body first.
        timeout: Duration::from_secs(30),
        grace: GRACE,
        ..SiteOptions::default()
    })
    .await
}

/// Send one half of a body before SIGTERM and the other half after it, and get the
/// answer.
async fn answer_to_split_body(after: Duration) -> String {
    let site = start_site().await;
    let mut caller = TcpStream::connect(site.address())
        .await
        .expect("connection");
    let head = format!(
        "POST /receipt/1 HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: half\r\n\
         deadline-ms: 25000\r\nauthorization: Bearer {KEY}\r\ncontent-length: 10\r\n\r\n12345"
    );
    caller.write_all(head.as_bytes()).await.expect("sent");
    sleep(Duration::from_millis(300)).await;
    site.hosts[0].child.signal("TERM");
    sleep(after).await;
    // The write fails if the host has closed the connection.
    let _ = caller.write_all(b"67890").await;
    let mut answer = String::new();
    let read = timeout(WAIT_TIMEOUT, caller.read_to_string(&mut answer)).await;
    assert!(read.is_ok(), "no end of the answer");
    assert!(site.desks.iter().all(|desk| desk.calls().is_empty()));
    answer
}

// Guards against a call that is dropped, or reported as possibly run, because its
// body was incomplete when its host stopped. No target has seen it, so it gets 503.
#[tokio::test]
async fn rest_while_closing() {
    let answer = answer_to_split_body(ACCEPT_TIME + Duration::from_millis(500)).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
}

// Guards against the same failure when the rest of the body arrives later in the
// grace period.

#[tokio::test]
async fn rest_long_after() {
    let answer = answer_to_split_body(ACCEPT_TIME + Duration::from_secs(2)).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

/// The number of events of a large answer and their size, which exceed all buffers
/// between host and caller.
const LARGE_EVENTS: u32 = 75;
const LARGE_BYTES: usize = 100_000;
const WINDOW_BYTES: u32 = 16_384;
/// How long after the signal the caller reads slowly, and its pause between reads
/// meanwhile.
const SLOW_UNTIL: Duration = Duration::from_millis(6_500);
const SLOW_PAUSE: Duration = Duration::from_millis(100);

/// Connect with a small receive window, so that an unread answer stays at its host.
async fn connect_small_window(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_recv_buffer_size(WINDOW_BYTES).expect("set");
    socket.connect(address).await.expect("connection")
}

/// Get the body of a chunked answer; `None` if it is incomplete.
fn chunked_body(answer: &[u8]) -> Option<Vec<u8>> {
    let blank = answer.windows(4).position(|part| part == b"\r\n\r\n")?;
    let mut rest = &answer[blank + 4..];
    let mut body = Vec::new();
    loop {
        let end = rest.windows(2).position(|part| part == b"\r\n")?;
        let size = std::str::from_utf8(&rest[..end]).ok()?;
        let size = usize::from_str_radix(size, 16).ok()?;
        let chunk = rest.get(end + 2..end + 2 + size)?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(chunk);
        rest = rest.get(end + 4 + size..)?;
    }
}

// Guards against the loss of the end of an answer that its caller reads slowly
// during the grace period, although its target has completed it.
#[tokio::test]
async fn slow_reader() {
    let mut site = start_site().await;
    let mut caller = connect_small_window(site.address()).await;
    let head = format!(
        "POST /once/1?events={LARGE_EVENTS}&padding={LARGE_BYTES} HTTP/1.1\r\nhost: {HOST}\r\n\
         request-id: large\r\ndeadline-ms: 25000\r\nauthorization: Bearer {KEY}\r\n\
         model: m\r\ntoken-count: 100,80\r\ncontent-length: 0\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.expect("sent");
    until("the target has sent its answer", async || {
        let mut seen = site.engines.iter().flat_map(|engine| engine.calls());
        seen.any(|call| call.ended_at.is_some())
    })
    .await;

    let begun = Instant::now();
    let stop = PlannedStop::begin(site.hosts.remove(0).child, GRACE);
    let whole: String = (1..=LARGE_EVENTS)
        .map(|id| padded_event(id, LARGE_BYTES))
        .collect();
    let mut answer = Vec::new();
    let mut piece = vec![0; WINDOW_BYTES as usize];
    loop {
        let count = caller.read(&mut piece).await.expect("the rest");
        if count == 0 {
            break;
        }
        answer.extend_from_slice(&piece[..count]);
        if begun.elapsed() < SLOW_UNTIL {
            sleep(SLOW_PAUSE).await;
        }
    }
    let body = chunked_body(&answer);
    assert!(begun.elapsed() >= SLOW_UNTIL);
    assert!(body.is_some_and(|body| body == whole.as_bytes()));
    assert!(stop.end().await.is_clean());
}
