//! Tests of the protocol of the engine stand-in.

mod support;

use bergamotswitch_standin::deployment::TargetContract;
use bergamotswitch_standin::engine::{EngineOptions, EngineStandin};
use bergamotswitch_standin::ledger::RunOutcome;
use bergamotswitch_standin::switches::SilenceMode;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode, body::Incoming};
use serde_json::{Value, json};
use support::{LOOPBACK, RESPONSE_TIMEOUT, SILENCE_WAIT, TestConnection, call, get, text};
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

const CHAT: &str = "/v1/chat/completions";

async fn start(options: EngineOptions) -> EngineStandin {
    let started = EngineStandin::try_start(LOOPBACK, options).await;
    started.expect("bound")
}

fn chat(content: &str, tokens: u32) -> String {
    let messages = json!([{"role": "user", "content": content}]);
    json!({"model": "m", "messages": messages, "max_tokens": tokens, "stream": true}).to_string()
}

fn header(response: &Response<Incoming>, name: &str) -> String {
    let value = response.headers()[name].to_str();
    value.expect("visible").to_owned()
}

/// Get the chunks of an event stream, without its terminator.
fn chunks(events: &str) -> Vec<Value> {
    let data = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.filter(|data| *data != "[DONE]");
    chunks
        .map(|data| serde_json::from_str(data).expect("JSON"))
        .collect()
}

#[tokio::test]
async fn complete_stream() {
    let engine = start(EngineOptions::default()).await;
    let body = chat("a streak over the pampas", 5);
    let response = call(engine.address(), "POST", CHAT, "r1", &body).await;
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(header(&response, "x-request-id"), "r1");
    assert_eq!(header(&response, "content-type"), "text/event-stream");
    let (events, complete) = text(response).await;
    assert!(complete);
    let ids: Vec<&str> = events
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect();
    assert_eq!(ids, ["1", "2", "3", "4", "5", "6"]);
    assert!(events.ends_with("data: [DONE]\n\n"));
    let chunks = chunks(&events);
    assert!(chunks.iter().all(|chunk| chunk["id"] == "r1"));
    assert_eq!(chunks[3]["choices"][0]["finish_reason"], Value::Null);
    assert_eq!(chunks[4]["choices"][0]["finish_reason"], "stop");
    assert_eq!(chunks[4]["usage"]["completion_tokens"], 5);
    assert_eq!(
        engine
            .control()
            .ledger()
            .runs_of_body(body.as_bytes())
            .len(),
        1
    );
}

// Guards against a resume that starts a second run or loses events: a stream
// whose connection closes after two events continues at the offset.
#[tokio::test]
async fn resume_after_close() {
    let engine = start(EngineOptions::default()).await;
    let body = chat("night log", 8);
    let whole = text(call(engine.address(), "POST", CHAT, "first", &body).await)
        .await
        .0;
    engine.control().set(|switches| switches.drop = Some(2));
    let response = call(engine.address(), "POST", CHAT, "second", &body).await;
    let stream_id = header(&response, "x-stream-id");
    let (beginning, is_complete) = text(response).await;
    assert!(!is_complete);
    assert_eq!(chunks(&beginning).len(), 2);
    engine.control().set(|switches| switches.drop = None);
    let path = format!("/v1/streams/{stream_id}?offset=2");
    let (rest, is_complete) = text(call(engine.address(), "GET", &path, "", "").await).await;
    assert!(is_complete);
    assert_eq!(
        format!("{beginning}{rest}"),
        whole.replace("first", "second")
    );
    assert_eq!(engine.control().run_count("second"), 1);
    let path = "/v1/requests/second/status";
    let (_, status) = get(engine.address(), path).await;
    assert_eq!(status["done"], true);
    assert_eq!(status["offset"], 9);
    assert_eq!(status["stream_id"], stream_id);
}

// Guards against silence that closes connections or affects new ones: an open
// connection stops responding without an error, and resumes later.
#[tokio::test]
async fn silent_connection() {
    let engine = start(EngineOptions::default()).await;
    let mut old = TestConnection::open(engine.address()).await;
    old.call("GET", "/v1/load", "", "")
        .await
        .expect("a response");
    engine
        .control()
        .set(|switches| switches.silent = SilenceMode::Open);
    let mut late = std::pin::pin!(old.call("GET", "/v1/load", "", ""));
    assert!(timeout(SILENCE_WAIT, &mut late).await.is_err());
    let (status, _) = get(engine.address(), "/v1/load").await;
    assert_eq!(status, StatusCode::OK);
    engine
        .control()
        .set(|switches| switches.silent = SilenceMode::Off);
    let response = timeout(RESPONSE_TIMEOUT, late)
        .await
        .expect("connection resumed");
    assert_eq!(response.expect("a response").status(), StatusCode::OK);
}

// Guards against faults that the transport reveals: a crossed answer differs only
// in its id, a truncated one only lacks the terminator.
#[tokio::test]
async fn crossed_and_truncated() {
    let engine = start(EngineOptions::default()).await;
    let body = chat("x", 4);
    engine.control().set(|switches| switches.crossed = true);
    let crossed = text(call(engine.address(), "POST", CHAT, "r1", &body).await)
        .await
        .0;
    assert!(chunks(&crossed).iter().all(|chunk| chunk["id"] != "r1"));
    engine.control().set(|switches| {
        switches.crossed = false;
        switches.truncate = true;
    });
    let response = call(engine.address(), "POST", CHAT, "r2", &body).await;
    let (truncated, complete) = text(response).await;
    assert!(
        complete,
        "a truncated stream must end without a transport error"
    );
    assert_eq!(chunks(&truncated).len(), 2);
    assert!(!truncated.contains("[DONE]"));
}

// Guards against a refusal that is recorded wrongly: only with
// `refusal_means_not_run` does it leave no run in the ledger.
#[tokio::test]
async fn refusals_recorded() {
    let mut engine = start(EngineOptions::default()).await;
    engine.control().set(|switches| switches.refuse = Some(429));
    let response = call(engine.address(), "POST", CHAT, "r1", &chat("x", 4)).await;
    assert_eq!(response.status(), StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(header(&response, "retry-after"), "1");
    assert_eq!(header(&response, "x-request-id"), "r1");
    assert_eq!(engine.control().run_count("r1"), 0);
    let contract = TargetContract::default();
    engine = start(EngineOptions::default().with_contract(contract)).await;
    engine.control().set(|switches| switches.refuse = Some(503));
    call(engine.address(), "POST", CHAT, "r2", &chat("x", 4)).await;
    assert_eq!(engine.control().run_count("r2"), 1);
}

// Guards against streams that survive a restart: afterwards the stream is unknown
// (404), although its request ran.
#[tokio::test]
async fn restart_drops_streams() {
    let engine = start(EngineOptions::default()).await;
    let body = chat("x", 10_000);
    let response = call(engine.address(), "POST", CHAT, "r1", &body).await;
    let stream_id = header(&response, "x-stream-id");
    engine.restart();
    assert!(!text(response).await.1);
    let path = format!("/v1/streams/{stream_id}/status");
    assert_eq!(get(engine.address(), &path).await.0, StatusCode::NOT_FOUND);
    let outcome = engine.control().ledger().runs_of("r1")[0].outcome;
    assert_eq!(outcome, RunOutcome::Broken);
    let response = call(engine.address(), "POST", CHAT, "r2", &chat("x", 2)).await;
    assert!(text(response).await.0.contains("[DONE]"));
}

#[tokio::test]
async fn cancelled_stream() {
    let engine = start(EngineOptions::default()).await;
    let body = chat("x", 10_000);
    let response = call(engine.address(), "POST", CHAT, "r1", &body).await;
    let path = format!("/v1/streams/{}", header(&response, "x-stream-id"));
    call(engine.address(), "DELETE", &path, "", "").await;
    assert!(!text(response).await.0.contains("[DONE]"));
    let outcome = engine.control().ledger().runs_of("r1")[0].outcome;
    assert_eq!(outcome, RunOutcome::Cancelled);
}

// Guards against runs that continue without a caller: a stream that cannot be
// resumed is stopped when its connection closes.
#[tokio::test]
async fn caller_disconnected() {
    let contract = TargetContract::default();
    let engine = start(EngineOptions::default().with_contract(contract)).await;
    let body = chat("x", 10_000);
    let response = call(engine.address(), "POST", CHAT, "r1", &body).await;
    drop(response);
    let stopped = async {
        while engine.control().ledger().runs_of("r1")[0].outcome != RunOutcome::Broken {
            tokio::task::yield_now().await;
        }
    };
    timeout(RESPONSE_TIMEOUT, stopped)
        .await
        .expect("run stopped");
}

#[tokio::test]
async fn batch_order() {
    let options = EngineOptions::default().with_max_batch(2);
    let engine = start(options).await;
    engine.control().set(|switches| switches.load_lag_ms = 0);
    let mut answers = Vec::new();
    for name in ["r1", "r2", "r3"] {
        answers.push(call(engine.address(), "POST", CHAT, name, &chat("x", 10_000)).await);
    }
    let filled = async {
        loop {
            let (_, load) = get(engine.address(), "/v1/load").await;
            if load["running"] == 2 {
                return load;
            }
        }
    };
    let load = timeout(RESPONSE_TIMEOUT, filled)
        .await
        .expect("batch is full");
    assert_eq!(load["waiting"], 1);
    let (_, waiting) = get(engine.address(), "/v1/requests/r3/status").await;
    assert_eq!(waiting["offset"], 0);
    assert_eq!(waiting["running"], true);
}

#[tokio::test]
async fn prefix_cached() {
    let engine = start(EngineOptions::default()).await;
    engine
        .control()
        .set(|switches| switches.cache_event_gaps = 0);
    let events = call(engine.address(), "GET", "/v1/cache-events", "", "").await;
    let log = "s".repeat(3000);
    let first = text(call(engine.address(), "POST", CHAT, "r1", &chat(&log, 1)).await)
        .await
        .0;
    let second = text(call(engine.address(), "POST", CHAT, "r2", &chat(&log, 1)).await)
        .await
        .0;
    let cached = |events: &str| {
        let chunk = chunks(events).pop().expect("a last chunk");
        chunk["usage"]["prompt_tokens_details"]["cached_tokens"].clone()
    };
    assert_eq!(cached(&first), 0);
    assert_eq!(cached(&second), 512);
    let frame = timeout(RESPONSE_TIMEOUT, events.into_body().frame()).await;
    let frame = frame
        .expect("no timeout")
        .expect("an event")
        .expect("a complete frame");
    let event = frame.into_data().expect("data");
    // The event of the longest prefix comes first.
    let prefix = format!("{:016x}", xxh3_64(&log.as_bytes()[..2048]));
    let expected = format!("data: {}\n\n", json!({"prefix": prefix, "held": true}));
    assert_eq!(event, expected.as_bytes());
}

#[tokio::test]
async fn connections_refused() {
    let engine = start(EngineOptions::default()).await;
    engine.control().set(|switches| switches.reject = true);
    let refused = async {
        while tokio::net::TcpStream::connect(engine.address())
            .await
            .is_ok()
        {
            tokio::task::yield_now().await;
        }
    };
    timeout(RESPONSE_TIMEOUT, refused)
        .await
        .expect("connections refused");
    engine.control().set(|switches| switches.reject = false);
    let accepted = async {
        while tokio::net::TcpStream::connect(engine.address())
            .await
            .is_err()
        {
            tokio::task::yield_now().await;
        }
    };
    timeout(RESPONSE_TIMEOUT, accepted)
        .await
        .expect("connections accepted");
}
