//! Tests of lookups of addresses and outcomes, and of the operators' endpoints.

use bergamotswitch_core::address::AddressAnswer;
use bergamotswitch_core::entry::{OutcomeQuery, OutcomeView};
use bergamotswitch_core::refusal::{Refusal, RefusalReason};
use bergamotswitch_net::input::NodeInput;
use serde_json::json;

use crate::fake_loop::{FakeHost, get, spawn_call};

#[tokio::test]
async fn address_answer() {
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let call = spawn_call(
        host.server.address(),
        get("/v1/address?domain=mza-sur", &[]),
    );
    let NodeInput::Address(query, reply) = host.input().await else {
        panic!("not an address lookup");
    };
    assert_eq!(query.account.as_str(), "volunteers");
    assert_eq!(query.domain.expect("a domain").as_str(), "mza-sur");
    let answer = AddressAnswer {
        hosts: Vec::new(),
        lifetime_ms: 9000,
    };
    reply.send(answer).expect("a caller that waits");
    let answer = call.await.expect("an answer");
    assert_eq!(answer.json(), json!({"hosts": [], "lifetime_ms": 9000}));
}

#[tokio::test]
async fn outcome_of_request() {
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let id = host.id(4);
    let path = format!("/v1/requests/{id}");
    let call = spawn_call(host.server.address(), get(&path, &[]));
    let NodeInput::Outcome(OutcomeQuery::Id(queried_id), reply) = host.input().await else {
        panic!("not a lookup by id");
    };
    assert_eq!(queried_id, id);
    let refusal = Refusal::may_have_run(RefusalReason::TargetFailed);
    reply
        .send(OutcomeView::Refused(id, refusal))
        .expect("a caller that waits");
    let expected = json!({
        "state": "refused", "request": id.to_string(), "code": "target-failed", "ran": "unknown",
    });
    assert_eq!(call.await.expect("an answer").json(), expected);

    let call = spawn_call(host.server.address(), get("/v1/requests?key=fall-7", &[]));
    let NodeInput::Outcome(OutcomeQuery::Key(account, key), reply) = host.input().await else {
        panic!("not a lookup by key");
    };
    assert_eq!((account.as_str(), key.as_str()), ("volunteers", "fall-7"));
    reply
        .send(OutcomeView::Unknown(RefusalReason::OutcomeUnknown))
        .expect("a caller that waits");
    let answer = call.await.expect("an answer");
    assert_eq!(answer.json()["code"], "outcome-unknown");
}

#[tokio::test]
async fn outcome_elsewhere() {
    let mut holder = FakeHost::ready("mza-norte-1", &[]);
    let hosts = [("mza-norte-1", holder.server.address())];
    let host = FakeHost::ready("sanjuan-1", &hosts);
    let incarnation = holder.incarnation.to_string();
    let request = get(
        "/v1/requests?key=fall-7",
        &[("bergamot-incarnation", &incarnation)],
    );
    let call = spawn_call(host.server.address(), request);
    let NodeInput::Outcome(OutcomeQuery::Key(_, key), reply) = holder.input().await else {
        panic!("not a lookup by key");
    };
    assert_eq!(key.as_str(), "fall-7");
    reply
        .send(OutcomeView::Running(holder.id(2)))
        .expect("a host that waits");
    assert_eq!(call.await.expect("an answer").json()["state"], "running");
}

#[tokio::test]
async fn operator_pages() {
    let mut host = FakeHost::start("sanjuan-1");
    let address = host.server.address();
    let call = spawn_call(address, get("/metrics", &[]));
    assert!(call.await.expect("a page").text.ends_with("# EOF\n"));
    // A host without published values is unhealthy and lists the missing ones.
    for (ready, status) in [(false, 503), (true, 200)] {
        if ready {
            host.publish(&[]);
        }
        let call = spawn_call(address, get("/healthz", &[]));
        let NodeInput::Status(reply) = host.input().await else {
            panic!("not a status query");
        };
        reply.send(json!({})).expect("a caller that waits");
        assert_eq!(call.await.expect("an answer").status, status);
    }
    // A host whose event loop has ended is unhealthy, whatever values it has.
    drop(host.inbox);
    let call = spawn_call(address, get("/healthz", &[]));
    assert_eq!(call.await.expect("an answer").status, 503);
}
