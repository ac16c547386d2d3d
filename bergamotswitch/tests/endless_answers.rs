//! Tests of targets that send bytes that are no answer, without end, until their
//! connection is closed.

mod users;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;
use users::{Answer, Call, MEMORY_MB, Site, SiteOptions, until};

/// The signature of the target.
const SEAL: &str = "seal-of-raw";

/// The bytes of one answer that a host may take, well below its memory.
const MAX_BYTES: u64 = 64 << 20;

/// What a target sends.
#[derive(Clone, Copy, Debug)]
struct EndlessAnswer {
    /// What comes once, after the status line and the id of the call.
    start: &'static str,
    /// Whether the status line and the id of the call come first.
    has_head: bool,
    /// What comes again and again.
    rest: &'static str,
}

/// A `SentBytes` is what a target has sent.
#[derive(Debug, Default)]
struct SentBytes {
    calls: AtomicUsize,
    open: AtomicUsize,
    most: AtomicU64,
}

/// Send an answer until the connection is closed.
async fn send(mut stream: TcpStream, answer: EndlessAnswer, sent: Arc<SentBytes>) {
    let mut bytes = vec![0; 16_384];
    let count = stream.read(&mut bytes).await.unwrap_or(0);
    if count == 0 {
        return;
    }
    sent.calls.fetch_add(1, Ordering::Relaxed);
    sent.open.fetch_add(1, Ordering::Relaxed);
    let head = String::from_utf8_lossy(&bytes[..count]).to_lowercase();
    let id = head.split("request-id: ").nth(1).unwrap_or_default();
    let id = id.lines().next().unwrap_or_default();
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {SEAL}\r\n");
    let start = if answer.has_head { head } else { String::new() };
    let mut next = format!("{start}{}", answer.start);
    let rest = answer.rest.repeat(1_000);
    let mut total = 0;
    while stream.write_all(next.as_bytes()).await.is_ok() {
        total += next.len() as u64;
        sent.most.fetch_max(total, Ordering::Relaxed);
        next.clone_from(&rest);
        // Answers that are sent at once grow side by side.
        sleep(Duration::from_millis(1)).await;
    }
    sent.open.fetch_sub(1, Ordering::Relaxed);
}

async fn start_target(answer: EndlessAnswer, sent: Arc<SentBytes>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(send(stream, answer, Arc::clone(&sent)));
        }
    });
    address
}

/// Start a site whose only target sends this.
async fn start_site(answer: EndlessAnswer, sent: &Arc<SentBytes>) -> Site {
    let site = Site::start_with(SiteOptions {
        engine_versions: Vec::new(),
        ..SiteOptions::default()
    })
    .await;
    for desk in &site.desks {
        site.store.remove(&format!("servers/{}", desk.name()));
    }
    let address = start_target(answer, Arc::clone(sent)).await;
    let services = ["drafting", "desk"].into_iter();
    let names = services.flat_map(|service| (0..4).map(move |number| (service, number)));
    for (service, number) in names {
        let entry = json!({
            "service": service, "address": address.to_string(), "zone": "hall-1",
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
        });
        let key = format!("servers/raw-{service}-{number}");
        site.store.put(&key, &entry);
    }
    site
}

/// Check that a call whose target sends this gets an answer that is no whole success, and
/// that the target's connections are closed.
async fn check(answer: EndlessAnswer, call: Call) {
    let sent = Arc::new(SentBytes::default());
    let site = start_site(answer, &sent).await;
    let mut last: Option<Answer> = None;
    until("a call at the target", async || {
        last = call.clone().send(site.address()).await.ok();
        sent.calls.load(Ordering::Relaxed) > 0
    })
    .await;
    // A connection that is closed without an answer is no success either.
    if let Some(last) = &last {
        assert!(!(last.status.is_success() && last.whole), "{last:?}");
    }
    until("closed connections", async || {
        sent.open.load(Ordering::Relaxed) == 0
    })
    .await;
    let most = sent.most.load(Ordering::Relaxed);
    assert!(most < MAX_BYTES, "{most} bytes were taken");
}

/// Guards against a host that reads bytes that are no head for as long as they come.
#[tokio::test]
async fn garbage_head() {
    let answer = EndlessAnswer {
        has_head: false,
        start: "\u{1}\u{2}no answer",
        rest: "\u{3}\u{4}\u{5}noise",
    };
    check(answer, Call::new("GET", "/status/1", "r-1")).await;
}

/// Guards against a head whose fields never end.
#[tokio::test]
async fn endless_head() {
    let answer = EndlessAnswer {
        has_head: true,
        start: "",
        rest: "X-Noise: 0123456789\r\n",
    };
    check(answer, Call::new("GET", "/status/1", "r-1")).await;
}

/// Guards against one field of a head that never ends.
#[tokio::test]
async fn endless_field() {
    let answer = EndlessAnswer {
        has_head: true,
        start: "X-Noise: ",
        rest: "0123456789",
    };
    check(answer, Call::new("GET", "/status/1", "r-1")).await;
}

/// Guards against a plain body that never ends.
#[tokio::test]
async fn endless_body() {
    let answer = EndlessAnswer {
        has_head: true,
        start: "\r\n",
        rest: "noise that is no answer",
    };
    check(answer, Call::new("GET", "/status/1", "r-1")).await;
}

/// Guards against a chunk whose size never ends.
#[tokio::test]
async fn endless_chunk_size() {
    let answer = EndlessAnswer {
        has_head: true,
        start: "Transfer-Encoding: chunked\r\n\r\n",
        rest: "0000000000",
    };
    check(answer, Call::new("GET", "/status/1", "r-1")).await;
}

/// Guards against a stream whose first event never ends.
#[tokio::test]
async fn endless_event() {
    let answer = EndlessAnswer {
        has_head: true,
        start: "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
        rest: "noise that ends no event",
    };
    check(answer, Call::stream("/once/1", "r-1")).await;
}

/// Check that many such answers at once stay within the memory of the host.
async fn check_many(answer: EndlessAnswer, call: Call) {
    const CALLS: usize = 24;
    let sent = Arc::new(SentBytes::default());
    let site = start_site(answer, &sent).await;
    // Until the host has read the target's entry.
    sleep(Duration::from_secs(1)).await;
    let mut calls = JoinSet::new();
    for number in 0..CALLS {
        let call = call.clone().with("request-id", &format!("many-{number}"));
        calls.spawn(call.send(site.address()));
    }
    for answer in calls.join_all().await.into_iter().flatten() {
        assert!(!(answer.status.is_success() && answer.whole), "{answer:?}");
    }
    let ran = sent.calls.load(Ordering::Relaxed);
    assert!(ran >= CALLS / 2, "only {ran} at the target");
    let peak = site.hosts[0].child.peak_memory();
    assert!(peak < MEMORY_MB << 20, "{peak} bytes");
}

/// Guards against many plain bodies without end that take the memory of the host.
#[tokio::test]
async fn many_bodies() {
    let answer = EndlessAnswer {
        has_head: true,
        start: "Content-Length: 99999999999\r\n\r\n",
        rest: "noise that is no answer",
    };
    check_many(answer, Call::new("GET", "/status/1", "r-1")).await;
    let answer = EndlessAnswer {
        has_head: true,
        start: "\r\n",
        rest: "noise that is no answer",
    };
    check_many(answer, Call::new("GET", "/status/1", "r-1")).await;
}

/// Guards against many events without end that take the memory of the host.
#[tokio::test]
async fn many_events() {
    let answer = EndlessAnswer {
        has_head: true,
        start: "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
        rest: "noise that ends no event",
    };
    check_many(answer, Call::stream("/once/1", "r-1")).await;
}
