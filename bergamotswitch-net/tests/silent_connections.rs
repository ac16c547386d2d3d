//! Tests of connections that become unresponsive while new ones work.

mod target_support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::pool::PoolKind;
use bergamotswitch_net::input::NodeInput;
use bergamotswitch_net::target_client::TargetClientOptions;
use bergamotswitch_standin::deployment;
use bergamotswitch_standin::engine::EngineStandin;
use bergamotswitch_standin::ledger::RunOutcome;
use bergamotswitch_standin::plain::PlainStandin;
use bergamotswitch_standin::switches::SilenceMode;
use target_support::*;
use tokio::io::{AsyncWriteExt, copy, split};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

// The number of calls in the measurement, the time between them, the number of
// calls after which all open connections become unresponsive, and the time
// without input after which no further end is expected.
const CALLS: usize = 60;
const CALL_PERIOD: Duration = Duration::from_millis(50);
const SILENCE_PERIOD: usize = 20;
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Start a relay to `engine`. Its first connection forwards requests but no
/// answers; later ones work.
async fn start_relay(engine: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind(EPHEMERAL_ADDRESS).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut first = true;
        while let Ok((caller, _)) = listener.accept().await {
            tokio::spawn(relay(caller, engine, std::mem::take(&mut first)));
        }
    });
    address
}

async fn relay(caller: TcpStream, engine: SocketAddr, silent: bool) {
    let Ok(target) = TcpStream::connect(engine).await else {
        return;
    };
    let (mut from_caller, mut to_caller) = split(caller);
    let (mut from_target, mut to_target) = split(target);
    let answers = async {
        match silent {
            true => copy(&mut from_target, &mut tokio::io::sink()).await,
            false => copy(&mut from_target, &mut to_caller).await,
        }?;
        to_caller.shutdown().await
    };
    let requests = copy(&mut from_caller, &mut to_target);
    let _ = tokio::join!(answers, requests);
}

#[tokio::test]
async fn silent_stream() {
    // A stream whose connection becomes unresponsive must be resumed over a new
    // connection, without a second run.
    for options in [quick_options(), TargetClientOptions::default()] {
        let engine = start_engine(true).await;
        let target = target_at(engine.address(), true);
        let gap = options.idle_probe;
        let mut harness = CallHarness::new(options);
        let call = engine_call("draft", 200);
        let (_, reference) = harness.start(&target, PoolKind::Engine, &call);
        harness.events().await;
        let (attempt, answer) = harness.start(&target, PoolKind::Engine, &call);
        harness.first_token().await;
        silence_open(&engine);
        let silenced_at = Instant::now();
        while harness.next_event().await.1 != AttemptEvent::Resumed {}
        let recovery = silenced_at.elapsed();
        println!("silent stream resumed after {recovery:?}, probed after {gap:?}");
        let events = harness.events().await;
        assert!(
            matches!(events.last(), Some(AttemptEvent::Finished(usage)) if usage.decode == 200)
        );
        assert_eq!(text_of(answer).await, text_of(reference).await);
        assert_eq!(engine.control().run_count(&attempt.to_string()), 1);
    }
}

#[tokio::test]
async fn lost_stream() {
    // If the engine does not support resumption, the attempt must end as broken
    // instead of waiting forever.
    let engine = start_engine(false).await;
    let target = target_at(engine.address(), false);
    let mut harness = CallHarness::new(quick_options());
    harness.start(&target, PoolKind::Engine, &engine_call("draft", 2_000));
    harness.first_token().await;
    silence_open(&engine);
    let events = harness.events().await;
    assert!(matches!(events.last(), Some(AttemptEvent::Broken(_))));
    assert!(!events.contains(&AttemptEvent::Resumed));
}

#[tokio::test]
async fn silent_head() {
    // If not even the response's head arrives, the stream's id is queried by
    // the request id, and the stream is resumed.
    let engine = start_engine(true).await;
    let target = target_at(start_relay(engine.address()).await, true);
    let mut harness = CallHarness::new(quick_options());
    let (attempt, answer) = harness.start(&target, PoolKind::Engine, &engine_call("draft", 20));
    let events = harness.events().await;
    assert_eq!(events[0], AttemptEvent::Resumed);
    assert!(matches!(events.last(), Some(AttemptEvent::Finished(_))));
    assert_eq!(parts_of(answer).await.len(), 21);
    assert_eq!(engine.control().run_count(&attempt.to_string()), 1);
}

#[tokio::test]
async fn cancelled_head() {
    // A call that is aborted before its response's head must still be cancelled
    // at the engine, by a query for the stream's id.
    let engine = start_engine(true).await;
    let target = target_at(start_relay(engine.address()).await, true);
    let mut harness = CallHarness::new(TargetClientOptions::default());
    let (attempt, _) = harness.start(&target, PoolKind::Engine, &engine_call("log", 50_000));
    let id = attempt.to_string();
    while engine.control().run_count(&id) == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    harness.client.abort(attempt, true);
    wait_for_cancel(&engine, &id).await;
    assert!(harness.inbox.try_recv().is_err());
}

#[tokio::test]
async fn unseen_request() {
    // If the connection becomes unresponsive or ends before the engine sees the
    // request, the attempt must end as one that may have run: the request may
    // still arrive.
    for ends in [false, true] {
        let engine = start_engine(true).await;
        let target = target_at(engine.address(), true);
        let control = engine.control();
        control.set(|switches| switches.silent = SilenceMode::All);
        let options = quick_options().with_unknown_request_grace(Duration::from_millis(300));
        let mut harness = CallHarness::new(options);
        harness.start(&target, PoolKind::Engine, &engine_call("draft", 5));
        // The kernel has accepted the connection by then; only this one stays
        // unresponsive.
        sleep(Duration::from_millis(50)).await;
        if ends {
            control.close_connections();
        }
        control.set(|switches| switches.silent = SilenceMode::Open);
        let events = harness.events().await;
        assert!(matches!(events.as_slice(), [AttemptEvent::Broken(_)]));
    }
}

#[tokio::test]
async fn silent_engine() {
    // An attempt must end as broken if the engine answers neither the stream
    // nor the status queries.
    let engine = start_engine(true).await;
    let target = target_at(engine.address(), true);
    let options = quick_options()
        .with_probe_timeout(Duration::from_millis(100))
        .with_probe_misses(3);
    let mut harness = CallHarness::new(options);
    harness.start(&target, PoolKind::Engine, &engine_call("draft", 2_000));
    harness.first_token().await;
    engine
        .control()
        .set(|switches| switches.silent = SilenceMode::All);
    let events = harness.events().await;
    assert!(matches!(events.last(), Some(AttemptEvent::Broken(_))));
    assert!(!events.contains(&AttemptEvent::Resumed));
}

#[tokio::test]
async fn silent_plain() {
    // An unresponsive call to a plain service must be neither dropped nor sent
    // again, since the service cannot be queried for its progress. It ends by
    // an abort.
    let contract = deployment::TargetContract::default();
    let started = PlainStandin::try_start(EPHEMERAL_ADDRESS, "case-desk", contract).await;
    let service = started.expect("a plain service");
    service.control().set(|switches| switches.delay_ms = 50);
    let target = target_at(service.address(), false);
    let mut harness = CallHarness::new(quick_options());
    let (attempt, answer) = harness.start(&target, PoolKind::Plain, &engine_call("receipt", 1));
    let id = attempt.to_string();
    while service.control().run_count(&id) == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    service
        .control()
        .set(|switches| switches.silent = SilenceMode::Open);
    sleep(Duration::from_secs(1)).await;
    assert!(harness.inbox.try_recv().is_err());
    harness.client.abort(attempt, true);
    sleep(Duration::from_millis(50)).await;
    assert!(harness.inbox.try_recv().is_err());
    assert_eq!(parts_of(answer).await, []);
    let ledger = service.control().ledger();
    let runs = ledger.runs_of(&id);
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].outcome, RunOutcome::Finished);
}

#[tokio::test]
async fn unread_request() {
    // If the target stops reading in the middle of a request, the attempt must
    // end when the sent data stays unacknowledged for too long.
    let listener = TcpListener::bind(EPHEMERAL_ADDRESS).await.expect("a port");
    let target = target_at(listener.local_addr().expect("an address"), false);
    let options = quick_options().with_user_timeout(Duration::from_millis(1_000));
    let mut harness = CallHarness::new(options);
    let long_log = "sky ".repeat(4 << 20);
    harness.start(&target, PoolKind::Plain, &engine_call(&long_log, 1));
    let (_unread, _) = listener.accept().await.expect("a connection");
    let events = harness.events().await;
    assert!(matches!(events.as_slice(), [AttemptEvent::Broken(_)]));
}

/// Make the open connections unresponsive; the switch acts when it changes.
fn silence_open(engine: &EngineStandin) {
    let control = engine.control();
    control.set(|switches| switches.silent = SilenceMode::All);
    control.set(|switches| switches.silent = SilenceMode::Open);
}

/// Get how many of [`CALLS`] answers were complete, while the engine's
/// connections become unresponsive several times.
async fn complete_answers(options: TargetClientOptions) -> usize {
    let engine = start_engine(true).await;
    let target = target_at(engine.address(), true);
    let mut harness = CallHarness::new(options);
    let call = engine_call("draft", 100);
    let mut attempts = Vec::new();
    for index in 0..CALLS {
        attempts.push(harness.start(&target, PoolKind::Engine, &call).0);
        sleep(CALL_PERIOD).await;
        if index % SILENCE_PERIOD == SILENCE_PERIOD - 1 {
            silence_open(&engine);
        }
    }
    let mut complete = 0;
    let mut ended = 0;
    // An attempt that reports nothing for this long never ends.
    while let Ok(Some(input)) = timeout(IDLE_TIMEOUT, harness.inbox.recv()).await {
        let NodeInput::Attempt(_, event) = input else {
            panic!("{input:?}");
        };
        complete += usize::from(matches!(event, AttemptEvent::Finished(_)));
        ended += usize::from(is_end(&event));
        if ended == CALLS {
            break;
        }
    }
    for attempt in attempts {
        assert!(engine.control().run_count(&attempt.to_string()) <= 1);
    }
    complete
}

#[tokio::test]
async fn complete_share() {
    // With liveness probes and new connections, no answer may be lost to
    // unresponsive connections. A reused connection may become unresponsive
    // before its next request, which then never arrives.
    let checked = complete_answers(quick_options()).await;
    let reuse_options = quick_options().with_idle_reuse(Duration::from_secs(2));
    let reused = complete_answers(reuse_options).await;
    let unchecked = complete_answers(quick_options().with_liveness(false)).await;
    println!("complete answers of {CALLS}: {checked} with probes and new connections");
    println!("{reused} with probes and reused connections, {unchecked} without probes");
    assert_eq!(checked, CALLS);
    assert!(unchecked < checked);
}
