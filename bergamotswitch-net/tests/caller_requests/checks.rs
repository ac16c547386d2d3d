//! Tests of the checks made before a request is submitted to the event loop,
//! and of what is submitted.

use std::time::Duration;

use bergamotswitch_core::refusal::RefusalReason;
use bergamotswitch_core::rules::Tier;
use bergamotswitch_net::caller::CallerOptions;
use bergamotswitch_net::input::NodeInput;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fake_loop::{
    FakeHost, KEY, ReadAnswer, chat, post, read, send, spawn_call, within_timeout,
};

async fn rejection_reason(host: &mut FakeHost) -> RefusalReason {
    match host.input().await {
        NodeInput::EarlyRefusal(reason, None) => reason,
        other => panic!("not a counted refusal: {other:?}"),
    }
}

async fn refused(
    host: &mut FakeHost,
    request: http::Request<http_body_util::Full<bytes::Bytes>>,
) -> (ReadAnswer, RefusalReason) {
    let answer = read(within_timeout(send(host.server.address(), request)).await).await;
    let reason = rejection_reason(host).await;
    assert_eq!(answer.json()["error"]["code"], reason.as_str());
    assert_eq!(answer.json()["error"]["ran"], "no");
    assert_eq!(
        answer.field("bergamot-incarnation"),
        host.incarnation.to_string()
    );
    (answer, reason)
}

#[tokio::test]
async fn early_refusals() {
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let unknown_model = json!({"model": "nope", "messages": [{"role": "user", "content": "a"}]});
    let unruled = json!({"model": "unruled", "messages": [{"role": "user", "content": "a"}]});
    let too_large = "x".repeat(16_385);
    let path = "/v1/chat/completions";
    let cases = [
        (
            chat(false, &[("authorization", "Bearer no")]),
            401,
            RefusalReason::UnknownAccount,
        ),
        (post(path, &too_large, &[]), 413, RefusalReason::TooLarge),
        (
            post(path, &unknown_model.to_string(), &[]),
            404,
            RefusalReason::UnknownPool,
        ),
        (
            post(path, &unruled.to_string(), &[]),
            403,
            RefusalReason::NoRule,
        ),
        (
            chat(false, &[("bergamot-deadline-ms", "0")]),
            400,
            RefusalReason::DeadlinePassed,
        ),
        (
            chat(false, &[("bergamot-deadline-ms", "-5")]),
            400,
            RefusalReason::DeadlinePassed,
        ),
        (
            post("/v1/services/bolido-llm/a", "", &[]),
            404,
            RefusalReason::UnknownPool,
        ),
        (
            post(path, "{\"model\":", &[]),
            400,
            RefusalReason::BadRequest,
        ),
    ];
    for (request, status, expected) in cases {
        let (answer, reason) = refused(&mut host, request).await;
        assert_eq!((answer.status, reason), (status, expected));
    }
}

#[tokio::test]
async fn not_ready() {
    let mut host = FakeHost::start("sanjuan-1");
    let (answer, reason) = refused(&mut host, chat(false, &[])).await;
    assert_eq!((answer.status, reason), (503, RefusalReason::NotReady));
}

#[tokio::test]
async fn all_findings() {
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let body = json!({
        "model": 5, "stream": "yes", "max_tokens": 0, "stream_options": {"include_usage": 1},
        "messages": [{"role": "user", "content": 3}, {"content": [{"text": 1}]}],
    });
    let fields = [
        ("idempotency-key", "two words"),
        ("bergamot-dispatch-once", "maybe"),
    ];
    let request = post("/v1/chat/completions", &body.to_string(), &fields);
    let (answer, _) = refused(&mut host, request).await;
    let findings = answer.json()["error"]["findings"].clone();
    let places: Vec<&str> = findings
        .as_array()
        .expect("findings")
        .iter()
        .map(|finding| finding["place"].as_str().expect("a place"))
        .collect();
    let expected = [
        "header:idempotency-key",
        "header:bergamot-dispatch-once",
        "body:/model",
        "body:/stream",
        "body:/stream_options/include_usage",
        "body:/messages/0/content",
        "body:/messages/1/role",
        "body:/messages/1/content/0/text",
        "body:/max_tokens",
    ];
    assert_eq!(places, expected);
}

#[tokio::test]
async fn long_body() {
    // Guards against unbounded memory use by a chunked body without a declared
    // length.
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let mut stream = TcpStream::connect(host.server.address())
        .await
        .expect("a connection");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: t\r\nauthorization: Bearer {}\r\n\
         transfer-encoding: chunked\r\n\r\n",
        KEY
    );
    stream.write_all(head.as_bytes()).await.expect("written");
    for _ in 0..5 {
        let chunk = format!("1000\r\n{}\r\n", "x".repeat(4096));
        stream.write_all(chunk.as_bytes()).await.expect("written");
    }
    // The body has not ended; the refusal does not wait for its end.
    assert_eq!(rejection_reason(&mut host).await, RefusalReason::TooLarge);
}

#[tokio::test]
async fn slow_caller() {
    // Guards against a slow body that blocks the requests of other callers.
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let mut slow = TcpStream::connect(host.server.address())
        .await
        .expect("a connection");
    let partial_request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: t\r\nauthorization: Bearer {}\r\n\
         content-length: 100\r\n\r\n{{",
        KEY
    );
    slow.write_all(partial_request.as_bytes())
        .await
        .expect("written");
    let quick = spawn_call(host.server.address(), chat(false, &[]));
    let submitted = host.submitted().await;
    assert_eq!(submitted.submission.pool.as_str(), "bolido-llm");
    quick.abort();
}

#[tokio::test]
async fn stalled_body() {
    // Guards against partial bodies of dead connections that stay in memory.
    let opts = CallerOptions::default().with_body_idle_timeout(Duration::from_millis(50));
    let mut host = FakeHost::start_with("sanjuan-1", opts);
    host.publish(&[]);
    let mut stream = TcpStream::connect(host.server.address())
        .await
        .expect("a connection");
    let partial_request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: t\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 100\r\n\r\n{{",
    );
    stream
        .write_all(partial_request.as_bytes())
        .await
        .expect("written");
    assert_eq!(rejection_reason(&mut host).await, RefusalReason::BadRequest);
    let mut answer = [0; 12];
    within_timeout(stream.read_exact(&mut answer))
        .await
        .expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 408");
}

#[tokio::test]
async fn checked_submission() {
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let text = "a".repeat(2050);
    let body = json!({
        "model": "bolido-llm", "prompt": text, "max_tokens": 9, "temperature": 0.1,
        "stream_options": {"extra": true},
    });
    let fields = [
        ("idempotency-key", "fall-7"),
        ("bergamot-deadline-ms", "1500"),
    ];
    let request = post("/v1/completions", &body.to_string(), &fields);
    let call = spawn_call(host.server.address(), request);
    let submitted = host.submitted().await;
    call.abort();

    let submission = submitted.submission;
    assert_eq!(submission.account.as_str(), "volunteers");
    assert_eq!(submission.key.expect("a key").as_str(), "fall-7");
    assert_eq!(submission.deadline_in, Duration::from_millis(1500));
    assert_eq!(submission.verdict.tier, Tier(2));
    assert_eq!((submission.cost.prefill, submission.cost.decode), (513, 9));
    assert_eq!(submission.prefixes.len(), 2);
    assert!(!submission.streaming);

    let sent: Value = serde_json::from_slice(&submitted.call.body).expect("JSON");
    assert_eq!(sent["stream"], true);
    assert_eq!(
        sent["stream_options"],
        json!({"include_usage": true, "extra": true})
    );
    assert_eq!(sent["temperature"], 0.1);
    assert_eq!(submitted.call.path, "/v1/completions");
}

#[tokio::test]
async fn stricter_fields() {
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    // A caller may restrict the verdict of the rule.
    let restricting_fields = [
        ("bergamot-idempotent", "false"),
        ("bergamot-dispatch-once", "true"),
    ];
    let call = spawn_call(host.server.address(), chat(false, &restricting_fields));
    let verdict = host.submitted().await.submission.verdict;
    call.abort();
    assert!(!verdict.idempotent && verdict.dispatch_once);
    // It cannot relax the verdict, nor extend the deadline of the rule.
    let relaxing_fields = [
        ("bergamot-work", "report"),
        ("bergamot-idempotent", "true"),
        ("bergamot-dispatch-once", "false"),
        ("bergamot-deadline-ms", "99000"),
    ];
    let call = spawn_call(host.server.address(), chat(false, &relaxing_fields));
    let verdict = host.submitted().await.submission.verdict;
    call.abort();
    assert!(!verdict.idempotent && verdict.dispatch_once);
    assert_eq!(verdict.deadline, Duration::from_secs(60));
}
