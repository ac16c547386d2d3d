//! Tests calls to engines and plain services, and what each end is reported as.

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

/// Run a call at an engine without resumption and at a plain service, both
/// with the same switches, and get the events and parts of each.
async fn run_both(
    change: impl Fn(&mut TargetSwitches),
) -> Vec<(Vec<AttemptEvent>, Vec<AnswerPart>)> {
    let (engine, service) = (start_engine(false).await, start_plain().await);
    engine.board().set(&change);
    service.board().set(&change);
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
    assert_eq!(engine.board().run_count(&attempt.to_string()), 1);
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
    assert_eq!(service.board().run_count(&attempt.to_string()), 1);
}

#[tokio::test]
async fn refused_connect() {
    // Symptom: a request that never left the host is called "may have run".
    // The listener is gone, so the connect is refused and no byte leaves.
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
    // Symptom: a request runs twice after a claim that it did not run. The
    // target accepts the connection and closes it unread; from here that looks
    // like a target that ran the request and died, so it may have run.
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

#[tokio::test]
async fn kept_connection() {
    // The engine accepts no new connection after the first call, so only a
    // kept one can carry the second; past the bound it is not used any more.
    let engine = start_engine(true).await;
    let target = target_at(engine.address(), true);
    let bound = Duration::from_millis(500);
    let mut harness = CallHarness::new(TargetClientOptions::default().with_idle_reuse(bound));
    let call = engine_call("draft", 5);
    harness.start(&target, PoolKind::Engine, &call);
    harness.events().await;
    engine.board().set(|switches| switches.reject = true);
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
async fn crossed_answer() {
    // Symptom: a caller reads another caller's draft. The target mixes two
    // connections up and answers with a foreign id and text.
    for (events, parts) in run_both(|switches| switches.crossed = true).await {
        assert!(matches!(events.as_slice(), [AttemptEvent::Broken(_)]));
        assert_eq!(parts, []);
    }
}

#[tokio::test]
async fn truncated_answer() {
    // Symptom: half a notice passes for a whole one. The stream ends in good
    // order but without its last event, or the body before its length.
    for (events, _) in run_both(|switches| switches.truncate = true).await {
        assert!(matches!(events.last(), Some(AttemptEvent::Broken(_))));
        assert!(!events.contains(&AttemptEvent::Resumed));
    }
}

#[tokio::test]
async fn resumed_crossing() {
    // Symptom: a draft is lost because its answer went to someone else. The
    // engine still has the stream, which a later connection brings whole.
    let engine = start_engine(true).await;
    let target = target_at(engine.address(), true);
    let mut harness = CallHarness::new(TargetClientOptions::default());
    engine.board().set(|switches| switches.crossed = true);
    let (attempt, answer) = harness.start(&target, PoolKind::Engine, &engine_call("draft", 20));
    let id = attempt.to_string();
    while engine.board().run_count(&id) == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    engine.board().set(|switches| switches.crossed = false);
    let events = harness.events().await;
    assert_eq!(events[0], AttemptEvent::Resumed);
    assert!(matches!(events.last(), Some(AttemptEvent::Finished(_))));
    assert_eq!(parts_of(answer).await.len(), 21);
    assert_eq!(engine.board().run_count(&id), 1);
}

#[tokio::test]
async fn resumed_truncation() {
    // Symptom: a draft is lost though the engine still has it. The stream
    // ends early; the rest is asked for by id and offset, without a new run.
    let engine = start_engine(true).await;
    let target = target_at(engine.address(), true);
    let mut harness = CallHarness::new(TargetClientOptions::default());
    let call = engine_call("draft", 60);
    let (_, reference) = harness.start(&target, PoolKind::Engine, &call);
    harness.events().await;
    engine.board().set(|switches| switches.truncate = true);
    let (attempt, answer) = harness.start(&target, PoolKind::Engine, &call);
    // The first resume ends early as well, at the same place.
    harness.first_token().await;
    while harness.next_event().await.1 != AttemptEvent::Resumed {}
    engine.board().set(|switches| switches.truncate = false);
    let events = harness.events().await;
    assert!(matches!(events.last(), Some(AttemptEvent::Finished(_))));
    assert_eq!(text_of(answer).await, text_of(reference).await);
    assert_eq!(engine.board().run_count(&attempt.to_string()), 1);
}

#[tokio::test]
async fn dropped_connection() {
    // Symptom: as above. Every connection is cut after 25 events.
    let engine = start_engine(true).await;
    let target = target_at(engine.address(), true);
    let mut harness = CallHarness::new(TargetClientOptions::default());
    engine.board().set(|switches| switches.drop = Some(25));
    let (attempt, answer) = harness.start(&target, PoolKind::Engine, &engine_call("draft", 90));
    let events = harness.events().await;
    assert!(matches!(events.last(), Some(AttemptEvent::Finished(_))));
    let resumed = events
        .iter()
        .filter(|event| **event == AttemptEvent::Resumed);
    assert_eq!(resumed.count(), 3);
    assert_eq!(parts_of(answer).await.len(), 91);
    assert_eq!(engine.board().run_count(&attempt.to_string()), 1);
}

#[tokio::test]
async fn lost_engine() {
    // Symptom: a request stays in flight for ever. The engine restarts and
    // has forgotten the stream, or does not come back at all.
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
    // Symptom: a clause check that is merely slow is given up. The engine
    // makes a token each 0.9 s, nine times the gap that raises a question.
    for resumes in [true, false] {
        let engine = start_engine(resumes).await;
        engine.board().set(|switches| switches.slow = 300.0);
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
    // An aborted attempt reports no end; progress from before may be left.
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
