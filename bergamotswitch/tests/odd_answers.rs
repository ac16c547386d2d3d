//! Tests of answers with a status that is none, and of answers that come before the request was
//! read.

mod users;

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;
use users::raw_target::{RawTarget, SEAL, answer_after_run, raw_site};
use users::{Call, Site, SiteOptions, until};

/// Guards against an answer with a status that is none, which a caller gets as an answer.
#[tokio::test]
async fn no_status() {
    let framed = "Content-Length: 4\r\n\r\nsome";
    for status in [
        "000 Trouble",
        "099 Trouble",
        "1000 Trouble",
        "103 Early Hints\r\n\r\nHTTP/1.1 000 Trouble",
    ] {
        for call in [
            Call::new("GET", "/status/1", "r-1"),
            Call::new("POST", "/receipt/1", "r-1").body("some"),
            Call::stream("/once/1", "r-1"),
            Call::stream("/draft/1", "r-1"),
        ] {
            let first = RawTarget::start(status, framed).await;
            let second = RawTarget::start(status, framed).await;
            let targets = [&first, &second];
            let site = raw_site(&targets).await;
            let answer = answer_after_run(&site, &targets, &call).await;
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{status:?}");
            assert_eq!(answer.field("response-seal"), "", "{status:?}");
        }
    }
}

/// Start a target that answers a part without a length while the request still arrives, and
/// then resets the connection.
async fn start_early(pause: Duration, parts: usize) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut bytes = vec![0; 4_096];
                let count = stream.read(&mut bytes).await.unwrap_or(0);
                let head = String::from_utf8_lossy(&bytes[..count]).to_lowercase();
                let id = head.split("request-id: ").nth(1).unwrap_or_default();
                let id = id.lines().next().unwrap_or_default();
                let fields = format!("Request-Id: {id}\r\nResponse-Seal: {SEAL}\r\n\r\n");
                let head = format!("HTTP/1.1 200 OK\r\n{fields}");
                let _ = stream.write_all(head.as_bytes()).await;
                for _ in 0..parts {
                    let _ = stream.write_all(&[b'x'; 2_000]).await;
                    sleep(pause).await;
                }
                // Closing a connection with unread bytes resets it.
            });
        }
    });
    address
}

/// Guards against a part of an answer that was reset while the request was being sent, and
/// looks whole.
#[tokio::test]
async fn early_reset() {
    for (pause_ms, parts) in [(0, 1), (0, 20), (5, 20), (60, 4)] {
        let site = Site::start_with(SiteOptions {
            engine_versions: Vec::new(),
            max_body_bytes: 4 << 20,
            ..SiteOptions::default()
        })
        .await;
        for desk in &site.desks {
            site.store.remove(&format!("servers/{}", desk.name()));
        }
        let address = start_early(Duration::from_millis(pause_ms), parts).await;
        let entry = json!({
            "service": "desk", "address": address.to_string(), "zone": "hall-1",
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
        });
        site.store.put("servers/raw-early", &entry);
        let body = "x".repeat(4 << 20);
        let mut answered = 0;
        until("answers", async || {
            let call = Call::new("POST", "/receipt/1", &format!("early-{answered}"));
            let answer = call.body(&body).send(site.address()).await;
            if let Ok(answer) = answer {
                let is_passed = answer.status.is_success() && answer.whole;
                assert!(!is_passed, "{pause_ms} ms, {} bytes", answer.body.len());
                answered += usize::from(answer.status == StatusCode::BAD_GATEWAY);
            }
            answered >= 10
        })
        .await;
    }
}
