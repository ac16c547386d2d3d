//! Tests of streams through the gateway: a caller gets a whole stream, one that is
//! resumed at another target, or one that is visibly cut off.

mod users;

use std::time::Duration;

use bergamotswitch_standin::gateway_target::{GatewayTargetStandin, ResponseMode, event_text};
use http::StatusCode;
use http_body_util::BodyExt;
use users::{Call, KeptConnection, Site, SiteOptions, until};

fn whole_stream() -> String {
    (1..=8).map(event_text).collect()
}

/// The time in which a stopping host has to end: its grace period less a margin.
const STOP_TIMEOUT: Duration = Duration::from_secs(7);
/// The number of callers, so that a call is in progress at any time.
const STOP_CALLERS: usize = 12;
/// The maximum number of sequential calls of each caller: more than fit into the grace
/// period.
const STOP_CALLS: usize = 2_000;

/// Stop the host in the middle of a stream, and assert that the stream is completed.
async fn stop_mid_stream(site: &mut Site) {
    let response = Call::stream("/draft/1", "r-1").open(site.address()).await;
    let mut body = response.expect("answer").into_body();
    let first = body.frame().await.expect("piece").expect("piece");
    let mut bytes = first.into_data().unwrap_or_default().to_vec();
    site.hosts[0].child.signal("TERM");
    while let Some(frame) = body.frame().await {
        let frame = frame.expect("the stream continues to its end");
        bytes.extend(frame.into_data().unwrap_or_default());
    }
    assert_eq!(String::from_utf8_lossy(&bytes), whole_stream());
    assert!(site.hosts[0].wait_end().await.success());
}

#[tokio::test]
async fn whole_events() {
    let site = Site::start(1).await;
    let answer = Call::stream("/draft/1", "r-1")
        .send(site.address())
        .await
        .expect("answer");
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.whole);
    assert_eq!(answer.text(), whole_stream());
    assert!(answer.field("response-seal").starts_with("seal-of-engine"));
}

// Guards against a resumable stream that breaks off or repeats an event when its
// engine closes the connection in the middle of an event.
#[tokio::test]
async fn resumed_stream() {
    let site = Site::start(1).await;
    for engine in &site.engines {
        engine.queue_responses(&[ResponseMode::TruncateAfter(3)]);
    }
    // The first engine breaks off after three events, and the second one after three
    // more. No third run is allowed, so the stream ends there.
    let answer = Call::stream("/draft/1", "r-1")
        .send(site.address())
        .await
        .expect("answer");
    assert!(!answer.whole);
    let six: String = (1..=6).map(event_text).collect();
    assert_eq!(answer.text(), six);
    // One engine breaks off, and the stream is resumed at the other.
    let answer = Call::stream("/draft/1", "r-2")
        .send(site.address())
        .await
        .expect("answer");
    assert!(answer.whole);
    assert_eq!(answer.text(), whole_stream());
    site.engines[0].queue_responses(&[ResponseMode::TruncateAfter(3)]);
    site.engines[1].queue_responses(&[ResponseMode::TruncateAfter(3)]);
    let resumed = site.engines.iter().flat_map(|engine| engine.calls());
    let resumed: Vec<String> = resumed
        .map(|call| call.field("last-event-id").to_owned())
        .filter(|id| !id.is_empty())
        .collect();
    assert_eq!(resumed, ["3"]);
}

// Guards against a truncated stream that looks whole to its caller. The stream must
// not run twice, so it cannot be resumed.
#[tokio::test]
async fn truncated_stream() {
    let site = Site::start(1).await;
    for engine in &site.engines {
        engine.queue_responses(&[ResponseMode::TruncateAfter(2)]);
    }
    let answer = Call::stream("/once/1", "r-1")
        .send(site.address())
        .await
        .expect("answer");
    assert!(!answer.whole);
    let two: String = (1..=2).map(event_text).collect();
    assert_eq!(answer.text(), two);
    let runs: usize = site.engines.iter().map(|engine| engine.calls().len()).sum();
    assert_eq!(runs, 1);
}

// Guards against a stream that looks whole but ends with half an event: its target
// stops in the last event, and the answer's body ends without an error.
#[tokio::test]
async fn half_last_event() {
    let site = Site::start(1).await;
    let break_all = || {
        for engine in &site.engines {
            engine.replace_responses(&[ResponseMode::TruncateAfter(7)]);
        }
    };
    break_all();
    let answer = Call::stream("/once/1", "r-1").send(site.address()).await;
    let answer = answer.expect("answer");
    assert!(!answer.whole, "{answer:?}");
    let seven: String = (1..=7).map(event_text).collect();
    assert_eq!(answer.text(), seven);
    // The last event of a resumable stream comes from another target.
    break_all();
    let answer = Call::stream("/draft/1", "r-2").send(site.address()).await;
    let answer = answer.expect("answer");
    assert!(answer.whole, "{answer:?}");
    assert_eq!(answer.text(), whole_stream());
}

/// Longer than the stall timeout of a stream, and shorter than a host's grace period.
const LONG_PAUSE: Duration = Duration::from_millis(2_500);

// Guards against a stream that is cut off at a stopping host because its target
// pauses, while no other run could follow within the grace period.
#[tokio::test]
async fn pause_in_stop() {
    let mut site = Site::start(1).await;
    for engine in &site.engines {
        engine.queue_responses(&[ResponseMode::PauseAfter(3, LONG_PAUSE)]);
    }
    stop_mid_stream(&mut site).await;
}

// Guards against a stream that waits for a stalled target although another one can
// resume it.
#[tokio::test]
async fn stalled_stream_resumed() {
    let site = Site::start(1).await;
    for engine in &site.engines {
        engine.queue_responses(&[ResponseMode::PauseAfter(3, Duration::from_secs(3_600))]);
    }
    let answer = Call::stream("/draft/1", "r-1").send(site.address()).await;
    let answer = answer.expect("answer");
    // The second engine stalls after three more events, and no third run is allowed,
    // so the stream ends at the caller's deadline.
    assert!(!answer.whole);
    let six: String = (1..=6).map(event_text).collect();
    assert_eq!(answer.text(), six);
    let answer = Call::stream("/draft/1", "r-2").send(site.address()).await;
    assert_eq!(answer.expect("answer").text(), whole_stream());
}

// Guards against the loss of a stream's last bytes when a stopping host is idle
// before they have been sent.
#[tokio::test]
async fn stop_in_stream() {
    let mut site = Site::start(1).await;
    stop_mid_stream(&mut site).await;
}

// Guards against a stopping host that is killed and cuts off streams because it
// keeps accepting calls for as long as callers send them.
#[tokio::test]
async fn stop_under_load() {
    let mut site = Site::start(1).await;
    let address = site.address();
    let callers = (0..STOP_CALLERS).map(|caller| {
        tokio::spawn(async move {
            let mut answered = 0;
            for call in 0..STOP_CALLS {
                let id = format!("r-{caller}-{call}");
                match Call::stream("/draft/1", &id).send(address).await {
                    Ok(_) => answered += 1,
                    Err(_) => break,
                }
            }
            answered
        })
    });
    let callers: Vec<_> = callers.collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.hosts[0].child.signal("TERM");
    let ended = tokio::time::timeout(STOP_TIMEOUT, site.hosts[0].wait_end()).await;
    assert!(ended.expect("an exit within the grace period").success());
    for caller in callers {
        assert!(caller.await.expect("task") > 1);
    }
}

// Guards against an engine that keeps working for a caller that has closed its
// connection.
#[tokio::test]
async fn caller_disconnects() {
    let site = Site::start(1).await;
    let response = Call::stream("/draft/1", "r-1").open(site.address()).await;
    let mut body = response.expect("answer").into_body();
    body.frame().await.expect("piece").expect("piece");
    drop(body);
    // The slot of the run is free again: each engine can run four streams
    // concurrently, and all are answered.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let calls = (0..8).map(|number| {
        let id = format!("r-{}", number + 2);
        tokio::spawn(Call::stream("/draft/1", &id).send(site.address()))
    });
    for call in calls.collect::<Vec<_>>() {
        let answer = call.await.expect("task").expect("answer");
        assert_eq!(answer.text(), whole_stream(), "{answer:?}");
    }
    let runs: usize = site.engines.iter().map(|engine| engine.calls().len()).sum();
    assert_eq!(runs, 9);
}

// Guards against a kept connection that closes without an answer: the target of a
// stream answers with an error, the retry finds no free slot until the deadline, and
// the error must not be sent as the beginning of a stream.
#[tokio::test]
async fn error_then_refused() {
    let site = Site::start_with(SiteOptions {
        slots: 1,
        events: 60,
        gap: Duration::from_millis(100),
        timeout: Duration::from_secs(20),
        ..SiteOptions::default()
    })
    .await;
    let address = site.address();
    let held = Call::stream("/draft/1", "held").with("deadline-ms", "15000");
    let held = tokio::spawn(async move { held.send(address).await });
    let is_busy = |engine: &GatewayTargetStandin| engine.calls().iter().any(|call| call.ran);
    until("a target runs the stream", async || {
        site.engines.iter().any(is_busy)
    })
    .await;
    let free = site.engines.iter().find(|engine| !is_busy(engine));
    free.expect("an idle engine")
        .queue_responses(&[ResponseMode::ServerError]);
    let mut connection = KeptConnection::open(address).await.expect("connection");
    let call = Call::stream("/draft/1", "refused").with("deadline-ms", "2000");
    let answer = connection.send(call).await.expect("an answer");
    assert!(answer.whole, "{answer:?}");
    assert!(answer.status.is_server_error(), "{answer:?}");
    held.await.expect("call").expect("answer");
}

// Guards against the loss of a stream's head and first event when the target breaks
// off before the host has written them to the caller.
#[tokio::test]
async fn early_break() {
    const CALLS: usize = 40;
    let site = Site::start_with(SiteOptions {
        gap: Duration::ZERO,
        ..SiteOptions::default()
    })
    .await;
    for number in 0..CALLS {
        for engine in &site.engines {
            engine.replace_responses(&[ResponseMode::TruncateAfter(1)]);
        }
        let call = Call::stream("/once/1", &format!("early-{number}"));
        let answer = call.send(site.address()).await.expect("head");
        assert!(!answer.whole, "{answer:?}");
        assert_eq!(answer.text(), event_text(1));
    }
}
