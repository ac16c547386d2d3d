//! Tests changes of published values with many routes, between hosts.

mod link_support;

use bergamotswitch_core::link::LinkEvent;
use bergamotswitch_core::link::LinkMessage;
use bergamotswitch_core::revision::{ROUTES_VALUE, Revision, RevisionMessage, ValueName};
use bergamotswitch_net::link::counters::MessageKind;
use link_support::*;

/// The routes that a large change adds.
const ROUTES: usize = 1_400;

/// The time in which the slowest hosts have to send a change to one peer, in
/// milliseconds, and the bytes that they send in a millisecond at 10 Mbit/s.
const SEND_MILLIS: u64 = 50;
const BYTES_PER_MILLI: u64 = 1_250;

/// Get a change that adds routes as the platform's configuration has them.
fn large_change() -> LinkMessage {
    let routes = (0..ROUTES).map(|number| {
        let path = format!("/p{:05x}/x/", number * 7_919);
        format!(
            r#"{{"op":"add","path":"/routes/{number}","value":{{"first_answer_ms":400,"host":"lora33.example","max_runs":2,"name":"r-{number:x}","path_prefix":"{path}","pools":[["bolido-llm",1]],"public":false,"tier":3,"timeout_ms":12000,"work":"ResumableStream"}}}}"#
        )
    });
    let routes: Vec<String> = routes.collect();
    LinkMessage::Revision(RevisionMessage::Change {
        name: ValueName::try_from(ROUTES_VALUE.to_owned()).unwrap(),
        from: Revision(1),
        to: Revision(2),
        checksum: 3,
        patch: format!("[{}]", routes.join(",")),
    })
}

// Guards against a change that fills the link of a small host for seconds, one peer after the other.
#[tokio::test]
async fn bytes_of_change() {
    let (mut a, mut b) = pair();
    a.hub.connect(&b.entry);
    a.event().await;
    b.event().await;
    let change = large_change();
    assert!(a.hub.send(&b.entry.name, &change));
    let received = LinkEvent::Message(a.incarnation.clone(), change);
    b.expect(received).await;
    let counters = b.hub.counters();
    let bytes = counters.received.of(MessageKind::Change).bytes;
    println!("{bytes} bytes");
    assert!(bytes <= SEND_MILLIS * BYTES_PER_MILLI, "{bytes} bytes");
}
