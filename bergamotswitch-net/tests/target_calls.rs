//! Tests of calls to engines and plain services and the outcomes that they
//! report.

mod target_support;

use std::time::Duration;

use bergamotswitch_core::entry::{AttemptEvent, NotSentReason};
use bergamotswitch_core::pool::PoolKind;
use bergamotswitch_net::answer::AnswerPart;
use bergamotswitch_net::input::{NodeInput, OutgoingCall};
use bergamotswitch_net::target_client::TargetClientOptions;
use bergamotswitch_standin::deployment;
use bergamotswitch_standin::plain::PlainStandin;
use bergamotswitch_standin::switches::TargetSwitches;
use bytes::Bytes;
use target_support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

async fn start_plain() -> PlainStandin {
    let contract = deployment::TargetContract::default();
    let started = PlainStandin::try_start(EPHEMERAL_ADDRESS, "case-desk", contract).await;
    started.expect("a plain service")
}

fn plain_call(body: &str) -> OutgoingCall {
    OutgoingCall {
        routed: None,
        method: http::Method::POST,
        path: "/receipts?case=12".to_owned(),
        content_type: "application/json".to_owned(),
        body: Bytes::copy_from_slice(body.as_bytes()),
    }
}

/// Run a call at an engine without resumption and at a plain service, both with
/// the same switches, and get the events and parts of each.
async fn run_both(
    change: impl Fn(&mut TargetSwitches),
) -> Vec<(Vec<AttemptEvent>, Vec<AnswerPart>)> {
    let (engine, service) = (start_engine(false).await, start_plain().await);
    engine.control().set(&change);
    service.control().set(&change);
    let mut harness = CallHarness::new(TargetClientOptions::default());
    let mut results = Vec::new();
    for (address, kind) in [
        (engine.address(), PoolKind::Engine),
        (service.address(), PoolKind::Plain),
    ] {
        let target = target_at(address, false);
        let (_, answer) = harness.start(&target, kind, &engine_call("draft", 20));
        results.push((harness.events().await, parts_of(answer).await));
    }
    results
}

fn head_status(parts: &[AnswerPart]) -> Option<u16> {
    match parts.first() {
        Some(AnswerPart::Head { status, .. }) => Some(*status),
        _ => None,
    }
}

#[tokio::test]
async fn engine_answer() {
    let engine = start_engine(true).await;
    let target = target_at(engine.address(), true);
    let mut harness = CallHarness::new(TargetClientOptions::default());
    let (attempt, answer) = harness.start(&target, PoolKind::Engine, &engine_call("draft", 150));
    let events = harness.events().await;
    let [AttemptEvent::FirstToken, .., AttemptEvent::Finished(usage)] = events.as_slice() else {
        panic!("{events:?}");
    };
    assert!(matches!(events[1], AttemptEvent::Progress(tokens) if tokens < 150));
    assert!(!events.contains(&AttemptEvent::Resumed));
    assert_eq!(usage.decode, 150);
    assert!(usage.prefill > 0 && usage.elapsed_ms >= usage.first_token_ms);
    let parts = parts_of(answer).await;
    assert_eq!((head_status(&parts), parts.len()), (Some(200), 151));
    assert_eq!(engine.control().run_count(&attempt.to_string()), 1);
}

#[tokio::test]
async fn plain_answer() {
    let service = start_plain().await;
    let target = target_at(service.address(), false);
    let mut harness = CallHarness::new(TargetClientOptions::default());
    let (attempt, answer) = harness.start(&target, PoolKind::Plain, &plain_call("consent"));
    let events = harness.events().await;
    assert!(matches!(
        events.as_slice(),
        [AttemptEvent::FirstToken, AttemptEvent::Finished(_)]
    ));
    let parts = parts_of(answer).await;
    let [AnswerPart::Head { status: 200, .. }, AnswerPart::Data(data)] = parts.as_slice() else {
        panic!("{parts:?}");
    };
    let body: serde_json::Value = serde_json::from_slice(data).expect("JSON");
    assert_eq!(body["echo"], "consent");
    assert_eq!(body["path"], "/receipts?case=12");
    assert_eq!(service.control().run_count(&attempt.to_string()), 1);
}

#[tokio::test]
async fn refused_connect() {
    // A request whose connection was refused must be reported as not sent.
    let listener = TcpListener::bind(EPHEMERAL_ADDRESS).await.expect("a port");
    let target = target_at(listener.local_addr().expect("an address"), true);
    drop(listener);
    let mut harness = CallHarness::new(TargetClientOptions::default());
    for kind in [PoolKind::Engine, PoolKind::Plain] {
        let (_, answer) = harness.start(&target, kind, &engine_call("draft", 5));
        let not_sent = AttemptEvent::NotSent(NotSentReason::ConnectFailed);
        assert_eq!(harness.events().await, [not_sent]);
        assert_eq!(parts_of(answer).await, []);
    }
}

#[tokio::test]
async fn closed_at_once() {
    // A request whose connection is closed without an answer may have run and
    // must not be reported as not sent.
    let listener = TcpListener::bind(EPHEMERAL_ADDRESS).await.expect("a port");
    let target = target_at(listener.local_addr().expect("an address"), false);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            drop(stream);
        }
    });
    let mut harness = CallHarness::new(TargetClientOptions::default());
    for kind in [PoolKind::Engine, PoolKind::Plain] {
        harness.start(&target, kind, &engine_call("draft", 5));
        let events = harness.events().await;
        assert!(matches!(events.as_slice(), [AttemptEvent::Broken(_)]));
    }
}

// Guards against a body whose content coding is not named to the caller.
#[tokio::test]
async fn coded_body() {
    for (kind, status) in [(PoolKind::Plain, 200), (PoolKind::Engine, 400)] {
        let listener = TcpListener::bind(EPHEMERAL_ADDRESS).await.expect("a port");
        let target = target_at(listener.local_addr().expect("an address"), false);
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = Vec::new();
            while !request.ends_with(b"}") {
                stream.read_buf(&mut request).await.expect("a request");
            }
            let answer = format!(
                "HTTP/1.1 {status} Status\r\ncontent-encoding: gzip\r\n\
                 content-length: 4\r\n\r\nbody"
            );
            stream.write_all(answer.as_bytes()).await.expect("written");
        });
        let mut harness = CallHarness::new(TargetClientOptions::default());
        let (_, answer) = harness.start(&target, kind, &engine_call("draft", 5));
        harness.events().await;
        let parts = parts_of(answer).await;
        let Some(AnswerPart::Head { fields, .. }) = parts.first() else {
            panic!("{kind:?}: {parts:?}");
        };
        assert_eq!(fields["content-encoding"], "gzip");
    }
}

// Guards against the events of an engine that a caller gets as the body of another success.
#[tokio::test]
async fn other_success() {
    for (status, is_stream) in [(200, true), (201, false), (206, false)] {
        let listener = TcpListener::bind(EPHEMERAL_ADDRESS).await.expect("a port");
        let target = target_at(listener.local_addr().expect("an address"), false);
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = Vec::new();
            while !request.ends_with(b"}") {
                stream.read_buf(&mut request).await.expect("a request");
            }
            let event = "id: 1\ndata: [DONE]\n\n";
            let answer = format!(
                "HTTP/1.1 {status} Status\r\ncontent-type: text/event-stream\r\n\
                 content-length: {}\r\n\r\n{event}",
                event.len()
            );
            stream.write_all(answer.as_bytes()).await.expect("written");
        });
        let mut harness = CallHarness::new(TargetClientOptions::default());
        harness.start(&target, PoolKind::Engine, &engine_call("draft", 5));
        let events = harness.events().await;
        let is_finished = matches!(events.last(), Some(AttemptEvent::Finished(_)));
        assert_eq!(is_finished, is_stream, "{status}: {events:?}");
    }
}

#[tokio::test]
async fn idle_connection_reuse() {
    // The engine accepts no new connection after the first call, so only an
    // idle one can carry the second. After the reuse time, it is not used any
    // more.
    let engine = start_engine(true).await;
    let target = target_at(engine.address(), true);
    let bound = Duration::from_millis(500);
    let mut harness = CallHarness::new(TargetClientOptions::default().with_idle_reuse(bound));
    let call = engine_call("draft", 5);
    harness.start(&target, PoolKind::Engine, &call);
    harness.events().await;
    engine.control().set(|switches| switches.reject = true);
    harness.start(&target, PoolKind::Engine, &call);
    let events = harness.events().await;
    assert!(matches!(events.last(), Some(AttemptEvent::Finished(_))));
    sleep(bound * 2).await;
    harness.start(&target, PoolKind::Engine, &call);
    let not_sent = AttemptEvent::NotSent(NotSentReason::ConnectFailed);
    assert_eq!(harness.events().await, [not_sent]);
}

#[tokio::test]
async fn refused_call() {
    for (events, parts) in run_both(|switches| switches.refuse = Some(429)).await {
        assert_eq!(events, [AttemptEvent::Refused]);
        assert_eq!(parts, []);
    }
}

#[tokio::test]
async fn error_answer() {
    for (events, parts) in run_both(|switches| switches.error = true).await {
        assert_eq!(events, [AttemptEvent::Failed]);
        assert_eq!((head_status(&parts), parts.len()), (Some(500), 2));
    }
}

#[tokio::test]
async fn answer_to_another_request() {
    // An answer with another request's id must not reach the caller.
    for (events, parts) in run_both(|switches| switches.crossed = true).await {
        assert!(matches!(events.as_slice(), [AttemptEvent::Broken(_)]));
        assert_eq!(parts, []);
    }
}

#[tokio::test]
async fn truncated_answer() {
    // A truncated answer must not be reported as complete: the stream ends
    // without its last event, or the body before its declared length.
    for (events, _) in run_both(|switches| switches.truncate = true).await {
        assert!(matches!(events.last(), Some(AttemptEvent::Broken(_))));
        assert!(!events.contains(&AttemptEvent::Resumed));
    }
}

#[tokio::test]
async fn resumed_after_mismatch() {
    // If the answer went to another request, the engine's stream must still be
    // resumed completely by a later connection.
    let engine = start_engine(true).await;
    let target = target_at(engine.address(), true);
    let mut harness = CallHarness::new(TargetClientOptions::default());
    engine.control().set(|switches| switches.crossed = true);
    let (attempt, answer) = harness.start(&target, PoolKind::Engine, &engine_call("draft", 20));
    let id = attempt.to_string();
    while engine.control().run_count(&id) == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    engine.control().set(|switches| switches.crossed = false);
    let events = harness.events().await;
    assert_eq!(events[0], AttemptEvent::Resumed);
    assert!(matches!(events.last(), Some(AttemptEvent::Finished(_))));
    assert_eq!(parts_of(answer).await.len(), 21);
    assert_eq!(engine.control().run_count(&id), 1);
}

#[tokio::test]
async fn resumed_truncation() {
    // A truncated stream must be resumed by id and offset, without a second
    // run.
    let engine = start_engine(true).await;
    let target = target_at(engine.address(), true);
    let mut harness = CallHarness::new(TargetClientOptions::default());
    let call = engine_call("draft", 60);
    let (_, reference) = harness.start(&target, PoolKind::Engine, &call);
    harness.events().await;
    engine.control().set(|switches| switches.truncate = true);
    let (attempt, answer) = harness.start(&target, PoolKind::Engine, &call);
    // The first resumed stream is truncated as well, at the same event.
    harness.first_token().await;
    while harness.next_event().await.1 != AttemptEvent::Resumed {}
    engine.control().set(|switches| switches.truncate = false);
    let events = harness.events().await;
    assert!(matches!(events.last(), Some(AttemptEvent::Finished(_))));
    assert_eq!(text_of(answer).await, text_of(reference).await);
    assert_eq!(engine.control().run_count(&attempt.to_string()), 1);
}

#[tokio::test]
async fn dropped_connection() {
    // Every connection is closed after 25 events; the stream must still
    // complete.
    let engine = start_engine(true).await;
    let target = target_at(engine.address(), true);
    let mut harness = CallHarness::new(TargetClientOptions::default());
    engine.control().set(|switches| switches.drop = Some(25));
    let (attempt, answer) = harness.start(&target, PoolKind::Engine, &engine_call("draft", 90));
    let events = harness.events().await;
    assert!(matches!(events.last(), Some(AttemptEvent::Finished(_))));
    let resumed = events
        .iter()
        .filter(|event| **event == AttemptEvent::Resumed);
    assert_eq!(resumed.count(), 3);
    assert_eq!(parts_of(answer).await.len(), 91);
    assert_eq!(engine.control().run_count(&attempt.to_string()), 1);
}

#[tokio::test]
async fn lost_engine() {
    // An attempt must end as broken if the engine restarts without the stream,
    // or terminates.
    for comes_back in [true, false] {
        let engine = start_engine(true).await;
        let target = target_at(engine.address(), true);
        let mut harness = CallHarness::new(TargetClientOptions::default());
        harness.start(&target, PoolKind::Engine, &engine_call("draft", 2_000));
        harness.first_token().await;
        match comes_back {
            true => engine.restart(),
            false => drop(engine),
        }
        let events = harness.events().await;
        assert!(matches!(events.last(), Some(AttemptEvent::Broken(usage)) if usage.decode > 0));
    }
}

#[tokio::test]
async fn slow_engine() {
    // A slow engine must not be reported as broken. Its token gap of 0.9 s is
    // nine times the gap after which its status is queried.
    for resumes in [true, false] {
        let engine = start_engine(resumes).await;
        engine.control().set(|switches| switches.slow = 300.0);
        let target = target_at(engine.address(), resumes);
        let mut harness = CallHarness::new(quick_options().with_probe_misses(2));
        harness.start(&target, PoolKind::Engine, &engine_call("clause", 2));
        let events = harness.events().await;
        assert!(matches!(events.last(), Some(AttemptEvent::Finished(_))));
        assert!(!events.contains(&AttemptEvent::Resumed));
    }
}

#[tokio::test]
async fn cancelled_stream() {
    let engine = start_engine(true).await;
    let target = target_at(engine.address(), true);
    let mut harness = CallHarness::new(TargetClientOptions::default());
    let (attempt, _) = harness.start(&target, PoolKind::Engine, &engine_call("log", 50_000));
    harness.first_token().await;
    harness.client.abort(attempt, true);
    wait_for_cancel(&engine, &attempt.to_string()).await;
    // An aborted attempt reports no end; earlier progress may be left in the
    // inbox.
    while let Ok(input) = harness.inbox.try_recv() {
        let progress = matches!(input, NodeInput::Attempt(_, AttemptEvent::Progress(_)));
        assert!(progress, "{input:?}");
    }
}

#[tokio::test]
async fn load_reports() {
    let engine = start_engine(true).await;
    let target = target_at(engine.address(), true);
    let options = TargetClientOptions::default().with_load_period(Duration::from_millis(20));
    let mut harness = CallHarness::new(options);
    harness.client.watch_targets(std::slice::from_ref(&target));
    let long_prompt = "sky ".repeat(2_000);
    harness.start(&target, PoolKind::Engine, &engine_call(&long_prompt, 2_000));
    let (mut loaded, mut warm) = (false, false);
    while !loaded || !warm {
        let waiting = timeout(TEST_TIMEOUT, harness.inbox.recv());
        match waiting.await.expect("no report in time") {
            Some(NodeInput::Load(name, report)) if name == target.name => {
                loaded |= report.running == 1 && report.outstanding_tokens > 0;
            }
            Some(NodeInput::Prefix(name, _, true)) if name == target.name => warm = true,
            Some(NodeInput::Attempt(..)) => {}
            other => panic!("{other:?}"),
        }
    }
    harness.client.watch_targets(&[]);
    tokio::task::yield_now().await;
    while harness.inbox.try_recv().is_ok() {}
    sleep(Duration::from_millis(100)).await;
    while let Ok(input) = harness.inbox.try_recv() {
        assert!(matches!(input, NodeInput::Attempt(..)), "{input:?}");
    }
}
