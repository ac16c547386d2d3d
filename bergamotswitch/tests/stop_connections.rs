//! Tests of callers that keep their connections during a planned stop.

mod stop_support;
mod users;

use std::net::SocketAddr;

use stop_support::*;
use tokio::time::Instant;
use users::host_child::PlannedStop;
use users::{KeptConnection, pause};

/// Send calls on a connection until it closes, then on a new one, until the host
/// accepts no more connections.
async fn call_on_kept_connections(address: SocketAddr, caller: usize) -> Vec<CallResult> {
    let mut all = Vec::new();
    while let Ok(mut connection) = KeptConnection::open(address).await {
        loop {
            let id = format!("kept-{caller}-{}", all.len());
            let call = match all.len() % 2 {
                0 => receipt_call(seconds(12.0)),
                _ => stream_call("/once/1", seconds(12.0)),
            };
            let begun = Instant::now();
            let answer = connection.send(call.with("request-id", &id)).await;
            let is_last = answer
                .as_ref()
                .is_ok_and(|answer| answer.field("connection").eq_ignore_ascii_case("close"));
            let took = begun.elapsed();
            let is_broken = answer.is_err();
            all.push(CallResult { id, answer, took });
            pause().await;
            if is_last || is_broken {
                break;
            }
        }
    }
    all
}

// Guards against the loss of an answer because a stopping host closes the
// connection, or ends, after a target has run the call.
#[tokio::test]
async fn kept_connections() {
    let grace = seconds(8.0);
    let mut site = start_site(8, grace).await;
    warm_up(&site, "/once/1", WARM_UP_RUNS).await;
    let address = site.address();
    let callers = (0..6).map(|caller| tokio::spawn(call_on_kept_connections(address, caller)));
    let callers: Vec<_> = callers.collect();
    tokio::time::sleep(seconds(1.0)).await;
    let stop = PlannedStop::begin(site.hosts.remove(0).child, grace);
    let mut all = Vec::new();
    for caller in callers {
        all.extend(caller.await.expect("caller"));
    }
    assert!(stop.end().await.is_clean());
    for result in &all {
        match result.answer {
            Ok(_) => result.assert_served_or_refused(&site),
            // The host closed the connection before it received the call.
            Err(_) => assert_eq!(runs_of(&site, &result.id), 0, "{result:?}"),
        }
    }
    let served = all.iter().filter(|result| result.is_served()).count();
    assert!(served > 12, "{served} served");
}
