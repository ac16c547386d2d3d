//! Tests of plain calls through the gateway: what targets and callers receive.

mod users;

use bergamotswitch_standin::gateway_target::{RecordedCall, ResponseMode};
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use users::{Call, HOST, KEY, Site};

fn seen(site: &Site) -> Vec<RecordedCall> {
    site.desks.iter().flat_map(|desk| desk.calls()).collect()
}

#[tokio::test]
async fn passed_fields() {
    let site = Site::start(1).await;
    let call = Call::new("POST", "/receipt/7?copy=1", "r-1")
        .with("tenant", "somebody-else")
        .with("hold", "9")
        .with("target-instance", "engine-1")
        .with("x-own", "kept")
        .body("receipt");
    let answer = call.send(site.address()).await.expect("answer");
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.field("response-seal").starts_with("seal-of-desk"));
    assert_eq!(answer.field("request-id"), "r-1");
    let seen = seen(&site);
    let [call] = seen.as_slice() else {
        panic!("not one run: {seen:?}");
    };
    assert_eq!(call.request_line, "POST /receipt/7?copy=1");
    assert_eq!(call.body, "receipt");
    assert_eq!(call.field("tenant"), "company");
    assert_eq!(call.field("x-own"), "kept");
    assert_eq!(call.field("hold"), "");
    assert_eq!(call.field("authorization"), "");
    assert!(call.field("target-instance").starts_with("desk-"));
    let deadline: u64 = call.field("deadline-ms").parse().expect("deadline");
    assert!(deadline <= 4_000, "{deadline}");
}

#[tokio::test]
async fn refused_calls() {
    let site = Site::start(1).await;
    let cases = [
        (Call::new("GET", "/nowhere/1", "r-1"), StatusCode::NOT_FOUND),
        (
            Call::new("GET", "/status/1", "r-2").with("authorization", "Bearer guessed"),
            StatusCode::UNAUTHORIZED,
        ),
        (
            Call::new("GET", "/status/1", "r-3").without("request-id"),
            StatusCode::BAD_REQUEST,
        ),
        (
            Call::new("POST", "/receipt/1", "r-4").body(&"x".repeat(2_000)),
            StatusCode::PAYLOAD_TOO_LARGE,
        ),
    ];
    for (call, status) in cases {
        let answer = call.send(site.address()).await.expect("answer");
        assert_eq!(answer.status, status);
        assert_eq!(answer.field("response-seal"), "");
    }
    let public = Call::new("GET", "/open/1", "r-5").without("authorization");
    let answer = public.send(site.address()).await.expect("answer");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(seen(&site).len(), 1);
}

// Guards against request smuggling: a call with both a content length and chunked
// encoding hides a second request behind the last chunk.
#[tokio::test]
async fn smuggled_request() {
    let site = Site::start(1).await;
    let hidden = format!(
        "GET /status/2 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: hidden\r\n\
         Authorization: Bearer {KEY}\r\n\r\n"
    );
    let body = format!("0\r\n\r\n{hidden}");
    for order in [true, false] {
        let framing = match order {
            true => format!(
                "Transfer-Encoding: chunked\r\nContent-Length: {}",
                body.len()
            ),
            false => format!(
                "Content-Length: {}\r\nTransfer-Encoding: chunked",
                body.len()
            ),
        };
        let text = format!(
            "POST /receipt/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: outer\r\n\
             Authorization: Bearer {KEY}\r\nDeadline-Ms: 2000\r\n{framing}\r\n\r\n{body}"
        );
        let mut stream = TcpStream::connect(site.address())
            .await
            .expect("connection");
        stream.write_all(text.as_bytes()).await.expect("sent");
        let mut answer = Vec::new();
        // A reset after the answer is accepted as its end.
        let _ = stream.read_to_end(&mut answer).await;
    }
    let hidden = seen(&site)
        .iter()
        .any(|call| call.field("request-id") == "hidden");
    assert!(!hidden, "the hidden request ran");
}

// Guards against answers that are passed on although the target did not sign them,
// or gave them to another call.
#[tokio::test]
async fn invalid_answers() {
    let site = Site::start(1).await;
    for (number, mood) in [
        ResponseMode::Unsigned,
        ResponseMode::WrongRequestId,
        ResponseMode::Close,
    ]
    .into_iter()
    .enumerate()
    {
        // Clear the fault that the previous round left at one desk. Otherwise both
        // desks would fail a call, and no third attempt is allowed.
        for desk in &site.desks {
            desk.replace_responses(std::slice::from_ref(&mood));
        }
        let before = seen(&site).len();
        let id = format!("unsafe-{number}");
        let answer = Call::new("POST", "/receipt/1", &id)
            .send(site.address())
            .await
            .expect("answer");
        // The call may have run and is not idempotent.
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{mood:?}");
        assert_eq!(seen(&site).len(), before + 1, "{mood:?}");
        // The other desk still has the fault. An idempotent call that goes there is
        // retried at the next desk.
        let id = format!("safe-{number}");
        let answer = Call::new("GET", "/status/1", &id)
            .send(site.address())
            .await
            .expect("answer");
        assert_eq!(answer.status, StatusCode::OK, "{mood:?}");
        assert!(answer.text().starts_with("from desk-"));
    }
}

// Guards against the loss of a call that is not idempotent, although its target
// refused it as full and did not run it.
#[tokio::test]
async fn full_target() {
    let site = Site::start(1).await;
    site.desks[0].queue_responses(&[ResponseMode::Full]);
    site.desks[1].queue_responses(&[ResponseMode::Full]);
    let mut statuses = Vec::new();
    for number in 0..3 {
        let id = format!("r-{number}");
        let call = Call::new("POST", "/receipt/1", &id);
        statuses.push(call.send(site.address()).await.expect("answer").status);
    }
    assert!(statuses.contains(&StatusCode::OK), "{statuses:?}");
    for status in statuses {
        let truthful = [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE];
        assert!(truthful.contains(&status), "{status}");
    }
}

// A target's own error is passed on unchanged, after a retry at another target if
// the call is idempotent.
#[tokio::test]
async fn target_error() {
    let site = Site::start(1).await;
    for desk in &site.desks {
        desk.queue_responses(&[ResponseMode::ServerError]);
    }
    let answer = Call::new("GET", "/status/1", "r-1")
        .send(site.address())
        .await
        .expect("answer");
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(answer.text(), "failed");
    assert!(answer.field("response-seal").starts_with("seal-of-desk"));
    assert_eq!(seen(&site).len(), 2);
}

// Guards against a call that is held beyond its deadline because its target never
// answers.
#[tokio::test]
async fn unresponsive_target() {
    let site = Site::start(1).await;
    for desk in &site.desks {
        desk.queue_responses(&[ResponseMode::NoResponse, ResponseMode::NoResponse]);
    }
    let began = std::time::Instant::now();
    let answer = Call::new("POST", "/receipt/1", "r-1")
        .with("deadline-ms", "700")
        .send(site.address())
        .await
        .expect("answer");
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(answer.field("retry-after"), "");
    assert!(began.elapsed().as_millis() >= 650, "{:?}", began.elapsed());
}
