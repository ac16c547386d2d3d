//! Tests of answers with neither a length nor chunks, which end with their connection.

mod users;

use std::net::SocketAddr;

use bergamotswitch_standin::gateway_target::event_text;
use http::StatusCode;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use users::{Answer, Call, Site, SiteOptions, until};

/// The signature of the target.
const SEAL: &str = "seal-of-raw";

/// A target that answers each call with this body and then closes the connection.
async fn start_target(body: String) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let body = body.clone();
            tokio::spawn(async move {
                let mut bytes = vec![0; 16_384];
                let count = stream.read(&mut bytes).await.unwrap_or(0);
                let head = String::from_utf8_lossy(&bytes[..count]).to_lowercase();
                let id = head.split("request-id: ").nth(1).unwrap_or_default();
                let id = id.lines().next().unwrap_or_default();
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {SEAL}\r\n\r\n{body}"
                );
                // The host may have left.
                let _ = stream.write_all(answer.as_bytes()).await;
            });
        }
    });
    address
}

/// Get the answer to a call whose target sends this body.
async fn answer_of(body: String, call: Call) -> Answer {
    let site = Site::start_with(SiteOptions {
        engine_versions: Vec::new(),
        ..SiteOptions::default()
    })
    .await;
    for desk in &site.desks {
        site.store.remove(&format!("servers/{}", desk.name()));
    }
    let address = start_target(body).await;
    for service in ["drafting", "desk"] {
        let entry = json!({
            "service": service, "address": address.to_string(), "zone": "hall-1",
            "version": "v1", "slots": 4, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
        });
        site.store.put(&format!("servers/raw-{service}"), &entry);
    }
    let mut answer = None;
    until("an answer of the target", async || {
        let sent = call.clone().send(site.address()).await;
        // A host that has not read the store yet sends the call to a removed target.
        let is_from_target = |answer: &Answer| answer.field("response-seal") == SEAL;
        answer = sent.ok().filter(is_from_target);
        answer.is_some()
    })
    .await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    answer
}

/// Guards against a plain answer that is refused or cut because it has no length.
#[tokio::test]
async fn plain_answer() {
    let call = Call::new("GET", "/status/1", "r-1");
    let answer = answer_of("from raw".to_owned(), call).await;
    assert!(answer.whole);
    assert_eq!(answer.text(), "from raw");
}

/// Guards against a stream that is refused or cut because it has no length.
#[tokio::test]
async fn whole_stream() {
    let events: String = (1..=8).map(event_text).collect();
    let answer = answer_of(events.clone(), Call::stream("/once/1", "r-1")).await;
    assert!(answer.whole);
    assert_eq!(answer.text(), events);
}

/// Guards against a stream that ended inside an event and looks whole.
#[tokio::test]
async fn broken_stream() {
    let events: String = (1..=3).map(event_text).collect();
    let body = format!("{events}id: 4\nda");
    let answer = answer_of(body, Call::stream("/once/1", "r-1")).await;
    assert!(!answer.whole);
    assert_eq!(answer.text(), events);
}
