//! Tests of the protocol of the plain service stand-in.

mod support;

use bergamotswitch_standin::deployment::TargetContract;
use bergamotswitch_standin::ledger::RunOutcome;
use bergamotswitch_standin::plain::PlainStandin;
use hyper::StatusCode;
use support::{LOOPBACK, call, json, text};

async fn start() -> PlainStandin {
    let contract = TargetContract::default();
    let started = PlainStandin::try_start(LOOPBACK, "red-app", contract).await;
    started.expect("bound")
}

#[tokio::test]
async fn echo_answer() {
    let service = start().await;
    let response = call(service.address(), "PUT", "/claims/7?a=b", "r1", "fall").await;
    assert!(response.headers().contains_key("content-length"));
    let (status, answer) = json(response).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(answer["service"], "red-app");
    assert_eq!(answer["path"], "/claims/7?a=b");
    assert_eq!(answer["echo"], "fall");
    assert_eq!(answer["request_id"], "r1");
}

// Guards against duplicate runs that stay unnoticed: a body resubmitted under
// another request id is found by its hash.
#[tokio::test]
async fn runs_recorded() {
    let service = start().await;
    for id in ["r1", "r1", "r2"] {
        call(service.address(), "POST", "/alert", id, "alert crew 4").await;
    }
    let ledger = service.control().ledger();
    assert_eq!(ledger.runs_of("r1").len(), 2);
    assert_eq!(ledger.runs_of_body(b"alert crew 4").len(), 3);
}

// Guards against a truncated body that looks complete: the connection closes
// before `Content-Length` is reached, although the call was executed.
#[tokio::test]
async fn truncated_body() {
    let service = start().await;
    service.control().set(|switches| switches.drop = Some(1));
    let response = call(service.address(), "POST", "/alert", "r1", "x").await;
    let (half, complete) = text(response).await;
    assert!(!complete);
    assert!(half.starts_with('{') && !half.ends_with('}'));
    let outcome = service.control().ledger().runs_of("r1")[0].outcome;
    assert_eq!(outcome, RunOutcome::Finished);
}
