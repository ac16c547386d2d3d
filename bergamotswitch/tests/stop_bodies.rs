//! Requests whose bodies are still being read when their host stops.

mod users;

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use users::{HOST, KEY, PATIENCE, Site, SiteOptions};

/// The grace, and how long after the signal callers are taken.
const GRACE: Duration = Duration::from_secs(8);
const DOOR_TIME: Duration = Duration::from_secs(4);

async fn site() -> Site {
    Site::start_with(SiteOptions {
        hosts: 1,
        grace: GRACE,
        ..SiteOptions::default()
    })
    .await
}

/// Send one half of a body before SIGTERM and the other one so long after it,
/// and get the answer.
async fn answer_to_half(after: Duration) -> String {
    let site = site().await;
    let mut caller = TcpStream::connect(site.door()).await.expect("connection");
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
    let read = timeout(PATIENCE, caller.read_to_string(&mut answer)).await;
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
    let answer = answer_to_half(DOOR_TIME + Duration::from_millis(500)).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
}

#[tokio::test]
async fn rest_long_after() {
    let answer = answer_to_half(DOOR_TIME + Duration::from_secs(2)).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}
