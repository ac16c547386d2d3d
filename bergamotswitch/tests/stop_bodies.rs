//! Bodies of calls and of answers that are still being read when their host
//! stops.

mod users;

use std::net::SocketAddr;
use std::time::Duration;

use bergamotswitch_standin::users_target::padded_event;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use users::host_child::PlannedStop;
use users::{HOST, KEY, Site, SiteOptions, WAIT_TIMEOUT, until};

/// The grace, and how long after the signal callers are taken.
const GRACE: Duration = Duration::from_secs(8);
const ACCEPT_TIME: Duration = Duration::from_secs(4);

async fn start_site() -> Site {
    Site::start_with(SiteOptions {
        // The operator's timeout would end the wait for a body before the host.
        timeout: Duration::from_secs(30),
        grace: GRACE,
        ..SiteOptions::default()
    })
    .await
}

/// Send one half of a body before SIGTERM and the other one so long after it,
/// and get the answer.
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
    // A host that has closed the connection takes no more of it.
    let _ = caller.write_all(b"67890").await;
    let mut answer = String::new();
    let read = timeout(WAIT_TIMEOUT, caller.read_to_string(&mut answer)).await;
    assert!(read.is_ok(), "no end of the answer");
    assert!(site.desks.iter().all(|desk| desk.seen().is_empty()));
    answer
}

// Symptom: a caller that may not send twice is told that its request may have
// run, or nothing, though no target ever saw it. Sequence: half of its body has
// come when the host gets SIGTERM; the door is shut after four seconds, nothing
// runs, and the rest comes then. Cause: a host without runs counted as idle; what
// came after that was dropped, and connections were cut 1.5 s later whatever was
// left of the grace.
#[tokio::test]
async fn rest_while_closing() {
    let answer = answer_to_split_body(ACCEPT_TIME + Duration::from_millis(500)).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
}

#[tokio::test]
async fn rest_long_after() {
    let answer = answer_to_split_body(ACCEPT_TIME + Duration::from_secs(2)).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

/// The events of a large answer and their bytes: more than all buffers between
/// host and caller take.
const LARGE_EVENTS: u32 = 75;
const LARGE_BYTES: usize = 100_000;
const WINDOW_BYTES: u32 = 16_384;
/// How long after the signal the caller reads little, and its pause after each
/// piece meanwhile.
const SLOW_UNTIL: Duration = Duration::from_millis(6_500);
const SLOW_PAUSE: Duration = Duration::from_millis(100);

/// Connect with a small window, so that an unread answer stays at its host.
async fn connect_small_window(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_recv_buffer_size(WINDOW_BYTES).expect("set");
    socket.connect(address).await.expect("connection")
}

/// Get the body of an answer in chunks; none where it is not whole.
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

// Symptom: a caller that reads slowly loses the end of an answer that its host had
// whole. Sequence: a target has given its whole answer of 7.5 MB when the host gets
// SIGTERM; the caller reads little for 6.5 s, then the rest, and the grace is 8 s.
// Cause: the host counted as idle, and connections were cut 1.5 s after its door was
// shut, whatever was left.
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
    until("the target has given all", async || {
        let mut seen = site.engines.iter().flat_map(|engine| engine.seen());
        seen.any(|call| call.ended.is_some())
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
