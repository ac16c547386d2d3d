//! Tests that slow callers, stuck targets and malformed requests do not affect other
//! callers of the same host.

mod fleet;

use std::net::SocketAddr;
use std::time::Duration;

use fleet::caller::{Call, pause, send_all};
use fleet::{Fleet, view};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// The time in which other callers have to be answered. It is below any timeout after
/// which a host drops a slow caller.
const OTHERS_TIMEOUT: Duration = Duration::from_secs(10);

/// The size of an answer that exceeds all buffers between host and caller.
const LARGE_BODY: usize = 4_000_000;

const KEY: &str = "red-austral-demo-grupo-litoral";

fn head(path: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: host\r\nauthorization: Bearer {KEY}\r\n\
         content-type: application/json\r\nbergamot-work: status\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n"
    )
}

async fn connect(host: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    // With a small receive window the host soon cannot write any further.
    socket.set_recv_buffer_size(16_384).expect("set");
    socket.connect(host).await.expect("connected")
}

/// Send calls to one host, and assert that all are answered in time.
async fn assert_others_answered(host: SocketAddr, round: &str, calls: &[fn(&str) -> Call]) {
    let calls = calls.iter().enumerate().map(|(number, call)| {
        let key = format!("{round}-{number}");
        (call(&key), host)
    });
    let answers = timeout(OTHERS_TIMEOUT, send_all(calls.collect())).await;
    for answer in answers.expect("other callers are answered in time") {
        let answer = answer.expect("an answer");
        assert!(answer.is_whole(), "{answer:?}");
    }
}

fn report(key: &str) -> Call {
    Call::report(key, 10)
}

fn dawn(key: &str) -> Call {
    Call::dawn(key, 10)
}

const BOTH_POOLS: [fn(&str) -> Call; 4] = [report, dawn, Call::alert, Call::alert];
const ALERTS: [fn(&str) -> Call; 4] = [Call::alert; 4];
const REPORTS: [fn(&str) -> Call; 4] = [dawn, report, dawn, report];

// Guards against other callers that wait while one caller sends its body slowly.
#[tokio::test]
async fn slow_body() {
    let fleet = Fleet::start("red-austral").await;
    let host = fleet.hosts[0].address();
    let mut slow = connect(host).await;
    let body = b"{\"where\": \"paddock 7\"}";
    let begin = head("/v1/services/red-app/status", body.len());
    slow.write_all(begin.as_bytes()).await.expect("written");
    for (round, byte) in body.chunks(8).enumerate() {
        slow.write_all(byte).await.expect("written");
        if round < 2 {
            assert_others_answered(host, &format!("round-{round}"), &BOTH_POOLS).await;
        }
    }
    let mut answer = String::new();
    let read = timeout(fleet::WAIT_TIMEOUT, slow.read_to_string(&mut answer));
    read.await.expect("in time").expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("paddock 7"));
}

// Guards against other callers that wait while one caller does not read its answer,
// and against dropping that answer.
#[tokio::test]
async fn slow_reader() {
    let fleet = Fleet::start("red-austral").await;
    let host = fleet.hosts[0].address();
    let mut slow = connect(host).await;
    let begin = head("/v1/services/red-app/status", LARGE_BODY);
    slow.write_all(begin.as_bytes()).await.expect("written");
    // In the JSON text of the echo, each quote is escaped and takes two bytes.
    slow.write_all(&vec![b'"'; LARGE_BODY])
        .await
        .expect("written");
    let mut first = vec![0; 1_024];
    slow.read_exact(&mut first).await.expect("a first part");
    assert!(first.starts_with(b"HTTP/1.1 200"));
    assert_others_answered(host, "unread", &BOTH_POOLS).await;
    let mut rest = Vec::new();
    let read = timeout(fleet::WAIT_TIMEOUT, slow.read_to_end(&mut rest));
    read.await.expect("in time").expect("the rest");
    let length = first.len() + rest.len();
    assert!(length > 2 * LARGE_BODY, "whole: {length}");
}

/// Get the engine for which a permit is in use, from the view of the pool's owner.
async fn busy_engine(fleet: &Fleet) -> Option<String> {
    for host in &fleet.hosts {
        let view = view(host.address()).await;
        let shards = view["shards"].as_array().expect("shards").clone();
        let targets = shards.iter().flat_map(|shard| {
            let targets = shard["targets"].as_array();
            targets.cloned().unwrap_or_default()
        });
        let mut busy = targets.filter(|target| target["permits"] != 0);
        if let Some(target) = busy.next() {
            return target["name"].as_str().map(str::to_owned);
        }
    }
    None
}

// Guards against other requests that wait, in the same pool or another one, because
// one target neither reads nor writes.
#[tokio::test]
async fn stuck_target() {
    let fleet = Fleet::start("red-austral").await;
    let host = fleet.hosts[0].address();
    fleet.set_engines(json!({ "silent": "all" })).await;
    let stuck = tokio::spawn(async move { report("stuck").send(host).await });
    let engine = loop {
        match busy_engine(&fleet).await {
            Some(engine) => break engine,
            None => pause().await,
        }
    };
    assert_others_answered(host, "plain", &ALERTS).await;
    fleet.set_engines(json!({ "silent": "off" })).await;
    fleet.set(&engine, json!({ "silent": "all" })).await;
    assert_others_answered(host, "engine", &REPORTS).await;
    fleet.set(&engine, json!({ "silent": "off" })).await;
    let answer = stuck.await.expect("a call");
    assert!(answer.is_whole(), "{answer:?}");
}

// Guards against state that a refused malformed request leaves behind for later
// requests.
#[tokio::test]
async fn malformed_requests() {
    let fleet = Fleet::start("red-austral").await;
    let host = fleet.hosts[0].address();
    let path = "/v1/chat/completions";
    let cases = [
        (head(path, 9_000_000), "", "413", "too-large"),
        (head(path, 9), "{\"model\":", "400", "bad-request"),
        (
            head(path, 2).replace(KEY, "none"),
            "{}",
            "401",
            "unknown-account",
        ),
        (head("/v1/services/none/a", 2), "{}", "404", "unknown-pool"),
    ];
    for (head, body, status, code) in cases {
        let mut caller = connect(host).await;
        let text = format!("{head}{body}");
        caller.write_all(text.as_bytes()).await.expect("written");
        let mut answer = String::new();
        let read = timeout(fleet::WAIT_TIMEOUT, caller.read_to_string(&mut answer));
        read.await.expect("in time").expect("an answer");
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")));
        let body = answer.split("\r\n\r\n").nth(1).expect("a body");
        let body: Value = serde_json::from_str(body).expect("JSON");
        assert_eq!(
            (&body["error"]["code"], &body["error"]["ran"]),
            (&json!(code), &json!("no"))
        );
        if code == "bad-request" {
            let place = body["error"]["findings"][0]["place"].as_str();
            assert!(place.expect("a place").starts_with("body:"));
        }
    }
    assert_others_answered(host, "after", &BOTH_POOLS).await;
}
