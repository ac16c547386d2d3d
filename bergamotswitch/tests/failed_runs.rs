//! Tests of targets that fail after they began to run a call.

mod users;

use http::StatusCode;
use users::raw_target::{RawTarget, SEAL, answer_after_run, raw_site};
use users::{Answer, Call};

/// The body of each answer.
const BODY: &str = "Content-Length: 4\r\n\r\nsome";

/// Get the answer to a call whose targets run it and then answer with this status.
async fn answer_of(status: &str, call: &Call) -> Answer {
    let first = RawTarget::start(status, BODY).await;
    let second = RawTarget::start(status, BODY).await;
    let targets = [&first, &second];
    let site = raw_site(&targets).await;
    answer_after_run(&site, &targets, call).await
}

/// Check that an answer says that the call may have run.
fn check_unknown(answer: &Answer) {
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(answer.field("response-seal"), "");
    assert_eq!(answer.field("retry-after"), "");
    assert!(answer.whole);
}

/// Guards against a plain call that ran and reads as one that did not.
#[tokio::test]
async fn plain_failures() {
    for status in [
        "503 Service Unavailable",
        "429 Too Many Requests",
        "408 Request Timeout",
    ] {
        let call = Call::new("POST", "/receipt/1", "r").body("some");
        check_unknown(&answer_of(status, &call).await);
    }
}

/// Guards against a stream that ran and reads as one that did not.
#[tokio::test]
async fn stream_failure() {
    let call = Call::stream("/once/1", "r");
    check_unknown(&answer_of("503 Service Unavailable", &call).await);
}

/// Guards against the failure of the last attempt that reads as if none had run.
#[tokio::test]
async fn last_attempt() {
    for call in [
        Call::new("GET", "/status/1", "r"),
        Call::stream("/draft/1", "r"),
    ] {
        check_unknown(&answer_of("503 Service Unavailable", &call).await);
    }
}

/// Guards against a failure that promises nothing and is not passed on.
#[tokio::test]
async fn passed_failure() {
    let call = Call::new("POST", "/receipt/1", "r").body("some");
    let answer = answer_of("500 Internal Server Error", &call).await;
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(answer.field("response-seal"), SEAL);
    assert_eq!(answer.text(), "some");
}
