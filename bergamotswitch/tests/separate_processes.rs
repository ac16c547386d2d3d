//! Tests one request of each kind of work, end to end, against three host
//! processes and one simulated platform process.

mod fleet;

use std::collections::BTreeSet;

use bergamotswitch::command::demo::calls::{self, DemoCall};
use fleet::Fleet;

async fn send_each_kind(deployment: &str, demo_calls: &[DemoCall]) {
    let fleet = Fleet::start(deployment).await;
    let mut texts = BTreeSet::new();
    for (number, call) in demo_calls.iter().enumerate() {
        let first = fleet.hosts[number % fleet.hosts.len()].address();
        let host = calls::resolve_host(first, call.key).await.expect("address");
        let outcome = call.send(host, &format!("kind-{number}")).await;
        let outcome = outcome.expect("answer");
        assert!(outcome.complete, "{}: {outcome:?}", call.work);
        assert!(
            texts.insert(outcome.text),
            "{}: answer of another call",
            call.work
        );
    }
    assert_eq!(texts.len(), demo_calls.len());
}

#[tokio::test]
async fn red_austral() {
    send_each_kind("red-austral", calls::DEPLOYMENTS[0].calls).await;
}

#[tokio::test]
async fn naapuriseina() {
    send_each_kind("naapuriseina", calls::DEPLOYMENTS[1].calls).await;
}
