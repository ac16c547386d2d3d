//! Tests of answers with neither a length nor chunks, which end with their connection.

mod users;

use bergamotswitch_standin::gateway_target::event_text;
use http::StatusCode;
use users::raw_target::{RawTarget, SEAL, answer_after_run, raw_site};
use users::{Answer, Call};

/// Get the answer to a call whose targets send this body.
async fn answer_of(body: String, call: Call) -> Answer {
    let rest = format!("\r\n{body}");
    let first = RawTarget::start("200 OK", &rest).await;
    let second = RawTarget::start("200 OK", &rest).await;
    let targets = [&first, &second];
    let site = raw_site(&targets).await;
    answer_after_run(&site, &targets, &call).await
}

/// Get the answer to a call whose target's answer is passed on.
async fn passed_answer(body: String, call: Call) -> Answer {
    let answer = answer_of(body, call).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.field("response-seal"), SEAL);
    answer
}

/// Guards against a plain answer that is refused or cut because it has no length.
#[tokio::test]
async fn plain_answer() {
    let call = Call::new("GET", "/status/1", "r-1");
    let answer = passed_answer("from raw".to_owned(), call).await;
    assert!(answer.whole);
    assert_eq!(answer.text(), "from raw");
}

/// Guards against a stream that is refused or cut because it has no length.
#[tokio::test]
async fn whole_stream() {
    let events: String = (1..=8).map(event_text).collect();
    let answer = passed_answer(events.clone(), Call::stream("/once/1", "r-1")).await;
    assert!(answer.whole);
    assert_eq!(answer.text(), events);
}

/// Guards against a stream that ended inside an event and looks whole.
#[tokio::test]
async fn broken_stream() {
    let events: String = (1..=3).map(event_text).collect();
    for fields in [
        "",
        "Content-Type: text/event-stream\r\n",
        "Content-Type: Text/Event-Stream; charset=utf-8\r\n",
    ] {
        let rest = format!("{fields}\r\n{events}id: 4\nda");
        let target = RawTarget::start("200 OK", &rest).await;
        let targets = [&target];
        let site = raw_site(&targets).await;
        let call = Call::stream("/once/1", "r-1");
        let answer = answer_after_run(&site, &targets, &call).await;
        assert!(!answer.whole);
        assert_eq!(answer.text(), events);
    }
}

/// Guards against an answer that ended right after its head and looks whole.
#[tokio::test]
async fn empty_answers() {
    for call in [
        Call::new("GET", "/status/1", "r-1"),
        Call::new("POST", "/receipt/1", "r-1").body("some"),
        Call::stream("/once/1", "r-1"),
        Call::stream("/draft/1", "r-1"),
    ] {
        let answer = answer_of(String::new(), call).await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        assert_eq!(answer.field("response-seal"), "");
    }
}

/// Guards against a stream without an event that looks whole.
#[tokio::test]
async fn blank_streams() {
    for body in ["\n", ": wait\n\n"] {
        let answer = answer_of(body.to_owned(), Call::stream("/once/1", "r-1")).await;
        assert!(!answer.whole || answer.status == StatusCode::BAD_GATEWAY);
    }
}

/// Guards against an answer that looks whole although its target was killed while it sent it.
#[tokio::test]
async fn killed_target() {
    let events: String = (1..=3).map(event_text).collect();
    for (body, call) in [
        (events, Call::stream("/once/1", "r-1")),
        (
            "from r".to_owned(),
            Call::new("POST", "/receipt/1", "r-1").body("some"),
        ),
    ] {
        let target = RawTarget::start_until("200 OK", &format!("\r\n{body}"), 1).await;
        let targets = [&target];
        let site = raw_site(&targets).await;
        let answer = answer_after_run(&site, &targets, &call).await;
        assert!(!answer.whole || answer.status == StatusCode::BAD_GATEWAY);
    }
}
