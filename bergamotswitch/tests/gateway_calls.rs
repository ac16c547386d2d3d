//! Plain calls through the gateway: what targets get, what callers get.

mod users;

use bergamotswitch_standin::users_target::{SeenCall, TargetMood};
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use users::{Call, HOST, KEY, Site};

fn seen(site: &Site) -> Vec<SeenCall> {
    site.desks.iter().flat_map(|desk| desk.seen()).collect()
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
    assert_eq!(call.line, "POST /receipt/7?copy=1");
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

// Symptom: a target runs a request that no caller sent. Sequence: a call frames
// its body by a length and in chunks; the chunks end early, and the rest of the
// length holds another request. Cause: two readers see two ends.
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
        let mut stream = TcpStream::connect(site.address()).await.expect("door");
        stream.write_all(text.as_bytes()).await.expect("sent");
        let mut answer = Vec::new();
        // A reset after the answer is as good as its end.
        let _ = stream.read_to_end(&mut answer).await;
    }
    let hidden = seen(&site)
        .iter()
        .any(|call| call.field("request-id") == "hidden");
    assert!(!hidden, "the hidden request ran");
}

// Symptom: a caller gets an answer that no target gave, or another caller's.
// Sequence: a target answers without its signature, or with another call's id.
// Cause: whatever came over the connection was passed on.
#[tokio::test]
async fn invalid_answers() {
    let site = Site::start(1).await;
    for (number, mood) in [
        TargetMood::Unsigned,
        TargetMood::Crossed,
        TargetMood::Closing,
    ]
    .into_iter()
    .enumerate()
    {
        // A mood that the round before left at one desk would make both fail a
        // call in this one, and no third attempt is allowed.
        for desk in &site.desks {
            desk.expect_only(std::slice::from_ref(&mood));
        }
        let before = seen(&site).len();
        let id = format!("unsafe-{number}");
        let answer = Call::new("POST", "/receipt/1", &id)
            .send(site.address())
            .await
            .expect("answer");
        // It may have run, and a second run would do harm.
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{mood:?}");
        assert_eq!(seen(&site).len(), before + 1, "{mood:?}");
        // The other desk still has the mood; a call that may run again and goes
        // there is sent to the next one.
        let id = format!("safe-{number}");
        let answer = Call::new("GET", "/status/1", &id)
            .send(site.address())
            .await
            .expect("answer");
        assert_eq!(answer.status, StatusCode::OK, "{mood:?}");
        assert!(answer.text().starts_with("from desk-"));
    }
}

// Symptom: a call that must not run twice is lost although its target said that
// it did not run it. Sequence: the target is full. Cause: "full" was taken for
// a failure.
#[tokio::test]
async fn full_target() {
    let site = Site::start(1).await;
    site.desks[0].expect(&[TargetMood::Full]);
    site.desks[1].expect(&[TargetMood::Full]);
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

// A target's own error is its answer: it is passed on unchanged, after another
// target was tried where that does no harm.
#[tokio::test]
async fn target_error() {
    let site = Site::start(1).await;
    for desk in &site.desks {
        desk.expect(&[TargetMood::Failing]);
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

// Symptom: a call is held beyond the time that its caller waits. Sequence: its
// target never answers. Cause: no timer of its own.
#[tokio::test]
async fn unresponsive_target() {
    let site = Site::start(1).await;
    for desk in &site.desks {
        desk.expect(&[TargetMood::Mute, TargetMood::Mute]);
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
