//! Tests of copies of answers that arrive where the answer to the next call is expected.

mod link_support;
mod target_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::pool::PoolKind;
use bergamotswitch_core::target_path::TargetPath;
use bergamotswitch_net::input::OutgoingCall;
use bergamotswitch_net::target_client::routed_call::RoutedCall;
use bergamotswitch_net::target_client::{CallRoute, TargetClientOptions};
use bytes::Bytes;
use http::HeaderMap;
use link_support::{KEY, host, host_list};
use target_support::{CallHarness, EPHEMERAL_ADDRESS, target_at};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// The body of each answer.
const BODY: &str = "body";

fn reusing_options() -> TargetClientOptions {
    TargetClientOptions::default().with_idle_reuse(Duration::from_secs(5))
}

/// Start a target that answers the calls on each connection in turn with these answers, and
/// then closes it.
async fn start_target(answers: &[String]) -> SocketAddr {
    let listener = TcpListener::bind(EPHEMERAL_ADDRESS).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let answers = answers.to_vec();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answers = answers.clone();
            tokio::spawn(async move {
                let mut seen = Vec::new();
                for answer in answers {
                    while !seen.ends_with(b"\r\n\r\n") {
                        if stream.read_buf(&mut seen).await.unwrap_or(0) == 0 {
                            return;
                        }
                    }
                    seen.clear();
                    // The body follows in a packet of its own.
                    let (head, body) = answer.split_at(answer.len() - BODY.len());
                    let _ = stream.write_all(head.as_bytes()).await;
                    sleep(Duration::from_millis(10)).await;
                    let _ = stream.write_all(body.as_bytes()).await;
                }
            });
        }
    });
    address
}

/// Get a rejection that names these requests.
fn rejection(ids: &[&str]) -> String {
    let fields: String = ids
        .iter()
        .map(|id| format!("Request-Id: {id}\r\n"))
        .collect();
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nServer-Limit: 5\r\n{fields}\
         Content-Length: 4\r\n\r\n{BODY}"
    )
}

/// Get a routed call without a body.
fn routed_call(id: &str) -> OutgoingCall {
    let mut fields = HeaderMap::new();
    fields.insert("request-id", id.parse().expect("an id"));
    OutgoingCall {
        routed: Some(RoutedCall {
            request_id: id.to_owned(),
            fields: Arc::new(fields),
            account: None,
            deadline: Instant::now() + Duration::from_secs(10),
            is_stream: false,
            last_event: None,
            start_timeout: None,
            gap_timeout: None,
        }),
        method: http::Method::GET,
        path: "/receipts/1".to_owned(),
        content_type: String::new(),
        body: Bytes::new(),
    }
}

/// Get how the calls end that a target answers so, one after the other.
async fn ends(
    harness: &mut CallHarness,
    path: &TargetPath,
    calls: &[(&str, String)],
) -> Vec<Vec<AttemptEvent>> {
    let answers: Vec<String> = calls.iter().map(|(_, answer)| answer.clone()).collect();
    let target = target_at(start_target(&answers).await, false);
    let mut ends = Vec::new();
    for (id, _) in calls {
        let route = CallRoute {
            path: path.clone(),
            connect_within: Some(Duration::from_secs(5)),
        };
        harness.start_on(&target, PoolKind::Plain, &routed_call(id), route);
        ends.push(harness.events().await);
    }
    ends
}

fn is_refused(events: &[AttemptEvent]) -> bool {
    events.last() == Some(&AttemptEvent::Refused)
}

/// Check that the second call on a connection, which gets an answer that does not name it,
/// may have run, and that nothing in that answer is believed.
async fn check_second(harness: &mut CallHarness, path: &TargetPath) {
    for second in [
        rejection(&["a"]),
        rejection(&[]),
        rejection(&["a", "b"]),
        rejection(&["a"]).replace("503 Service Unavailable", "421 Misdirected Request"),
    ] {
        let calls = [("a", rejection(&["a"])), ("b", second.clone())];
        let ends = ends(harness, path, &calls).await;
        assert!(is_refused(&ends[0]), "{:?}", ends[0]);
        let [AttemptEvent::Broken(_) | AttemptEvent::TunnelBroken(_)] = ends[1]
            .iter()
            .filter(|e| **e != AttemptEvent::Connected)
            .collect::<Vec<_>>()[..]
        else {
            panic!("{second}: {:?}", ends[1]);
        };
    }
    let calls = [("a", rejection(&["a"])), ("b", rejection(&["b"]))];
    let ends = ends(harness, path, &calls).await;
    assert!(ends.iter().all(|events| is_refused(events)), "{ends:?}");
    assert_eq!(harness.client.connection_counts().reused, 5);
}

// Guards against a late copy of a rejection that proves to have not run a call that runs.
#[tokio::test]
async fn copied_rejection() {
    let mut harness = CallHarness::new(reusing_options());
    check_second(&mut harness, &TargetPath::Direct).await;
}

#[tokio::test]
async fn tunnelled_rejection() {
    let (mut a, mut b) = (host("a", 1), host("b", 2));
    let hosts = host_list(&[&a, &b]);
    a.hub.set_host_list(&hosts, KEY);
    b.hub.set_host_list(&hosts, KEY);
    let mut harness = CallHarness::new(reusing_options());
    harness.client = harness.client.with_tunnels(a.hub.tunnel_pool());
    let path = TargetPath::Tunnel("b".try_into().expect("a name"));
    check_second(&mut harness, &path).await;
}

// Guards against a late copy of a rejection that is taken for the answer to the next attempt
// of the same call.
#[tokio::test]
async fn repeated_call() {
    let mut harness = CallHarness::new(reusing_options());
    let calls = [("a", rejection(&["a"])), ("a", rejection(&["a"]))];
    let ends = ends(&mut harness, &TargetPath::Direct, &calls).await;
    assert!(ends.iter().all(|events| is_refused(events)), "{ends:?}");
    assert_eq!(harness.client.connection_counts().reused, 0);
}

// Guards against a plain call that counts as refused by an answer to an earlier one.
#[tokio::test]
async fn plain_refusal() {
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{BODY}");
    let refusal = format!("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\n{BODY}");
    let address = start_target(&[whole, refusal.clone()]).await;
    let target = target_at(address, false);
    let mut harness = CallHarness::new(reusing_options());
    let call = OutgoingCall {
        routed: None,
        ..routed_call("a")
    };
    harness.start(&target, PoolKind::Plain, &call);
    let first = harness.events().await;
    assert!(matches!(first.last(), Some(AttemptEvent::Finished(_))));
    harness.start(&target, PoolKind::Plain, &call);
    let second = harness.events().await;
    assert!(!is_refused(&second), "{second:?}");
    assert_eq!(harness.client.connection_counts().reused, 1);
    let fresh = target_at(start_target(&[refusal]).await, false);
    harness.start(&fresh, PoolKind::Plain, &call);
    assert!(is_refused(&harness.events().await));
}
