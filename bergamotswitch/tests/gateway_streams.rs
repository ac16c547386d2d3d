//! Streams through the gateway: whole, carried on, or cut, never mended.

mod users;

use std::time::Duration;

use bergamotswitch_standin::users_target::{TargetMood, UsersTarget, event_text};
use http::StatusCode;
use http_body_util::BodyExt;
use users::{Call, KeptConnection, Site, SiteOptions, until};

fn whole_stream() -> String {
    (1..=8).map(event_text).collect()
}

/// A stopping host's grace: 8 s, less a second for a busy machine.
const STOP_TIMEOUT: Duration = Duration::from_secs(7);
/// The callers: enough for a call to be under way at each moment.
const STOP_CALLERS: usize = 12;
/// The calls that each caller sends one after the other: more than fit in the
/// grace.
const STOP_CALLS: usize = 2_000;

/// Stop the host in the middle of a stream, which goes on to its end.
async fn stop_mid_stream(site: &mut Site) {
    let response = Call::stream("/draft/1", "r-1").open(site.address()).await;
    let mut body = response.expect("answer").into_body();
    let first = body.frame().await.expect("piece").expect("piece");
    let mut bytes = first.into_data().unwrap_or_default().to_vec();
    site.hosts[0].child.signal("TERM");
    while let Some(frame) = body.frame().await {
        let frame = frame.expect("the stream goes on to its end");
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

// Symptom: a draft breaks off, or has a piece twice. Sequence: its engine
// closes the connection in the middle of the fourth event. Cause: what had
// come was passed on as it came, and nothing carried the stream on.
#[tokio::test]
async fn resumed_stream() {
    let site = Site::start(1).await;
    for engine in &site.engines {
        engine.expect(&[TargetMood::BreakAfter(3)]);
    }
    // The first engine breaks off after three events, the second one after
    // three more; two runs are allowed, so the stream ends there.
    let answer = Call::stream("/draft/1", "r-1")
        .send(site.address())
        .await
        .expect("answer");
    assert!(!answer.whole);
    let six: String = (1..=6).map(event_text).collect();
    assert_eq!(answer.text(), six);
    // Now one engine breaks off and the other one carries on.
    let answer = Call::stream("/draft/1", "r-2")
        .send(site.address())
        .await
        .expect("answer");
    assert!(answer.whole);
    assert_eq!(answer.text(), whole_stream());
    site.engines[0].expect(&[TargetMood::BreakAfter(3)]);
    site.engines[1].expect(&[TargetMood::BreakAfter(3)]);
    let resumed = site.engines.iter().flat_map(|engine| engine.seen());
    let resumed: Vec<String> = resumed
        .map(|call| call.field("last-event-id").to_owned())
        .filter(|id| !id.is_empty())
        .collect();
    assert_eq!(resumed, ["3"]);
}

// Symptom: a stream that must not run twice looks whole although its engine
// broke off. Sequence: the connection closes after two events. Cause: the end
// of the connection was taken for the end of the answer.
#[tokio::test]
async fn truncated_stream() {
    let site = Site::start(1).await;
    for engine in &site.engines {
        engine.expect(&[TargetMood::BreakAfter(2)]);
    }
    let answer = Call::stream("/once/1", "r-1")
        .send(site.address())
        .await
        .expect("answer");
    assert!(!answer.whole);
    let two: String = (1..=2).map(event_text).collect();
    assert_eq!(answer.text(), two);
    let runs: usize = site.engines.iter().map(|engine| engine.seen().len()).sum();
    assert_eq!(runs, 1);
}

// Symptom: a stream looks whole and ends in half an event. Sequence: its target
// stops in the middle of the last event, and its body ends as a whole one does: that
// of an answer without a length ends with its connection. Cause: the end of the body
// was taken for the end of the stream, and the half event was passed on.
#[tokio::test]
async fn half_last_event() {
    let site = Site::start(1).await;
    let break_all = || {
        for engine in &site.engines {
            engine.expect_only(&[TargetMood::BreakAfter(7)]);
        }
    };
    break_all();
    let answer = Call::stream("/once/1", "r-1").send(site.address()).await;
    let answer = answer.expect("answer");
    assert!(!answer.whole, "{answer:?}");
    let seven: String = (1..=7).map(event_text).collect();
    assert_eq!(answer.text(), seven);
    // Another target makes the last event of a stream that may be carried on.
    break_all();
    let answer = Call::stream("/draft/1", "r-2").send(site.address()).await;
    let answer = answer.expect("answer");
    assert!(answer.whole, "{answer:?}");
    assert_eq!(answer.text(), whole_stream());
}

/// Longer than a stream may pause before its target is doubted, shorter than a
/// host's grace.
const LONG_PAUSE: Duration = Duration::from_millis(2_500);

// Symptom: a stream is cut at a stopping host while its target works on it.
// Sequence: SIGTERM comes in the middle of the stream; its target makes nothing
// for some seconds; no other run may begin in the time that is left. Cause: the
// pause was taken for the end of the run before anybody asked whether another
// one may follow.
#[tokio::test]
async fn pause_in_stop() {
    let mut site = Site::start(1).await;
    for engine in &site.engines {
        engine.expect(&[TargetMood::PauseAfter(3, LONG_PAUSE)]);
    }
    stop_mid_stream(&mut site).await;
}

// Symptom: a stream hangs behind a target that makes nothing any more. Sequence:
// its target stands still in the middle; another one could carry the stream on.
// Cause guarded against: waiting for a silent target where another run may follow.
#[tokio::test]
async fn stalled_stream_resumed() {
    let site = Site::start(1).await;
    for engine in &site.engines {
        engine.expect(&[TargetMood::PauseAfter(3, Duration::from_secs(3_600))]);
    }
    let answer = Call::stream("/draft/1", "r-1").send(site.address()).await;
    let answer = answer.expect("answer");
    // The second engine stands still after three more, and no third run may
    // follow: its caller's deadline ends the stream.
    assert!(!answer.whole);
    let six: String = (1..=6).map(event_text).collect();
    assert_eq!(answer.text(), six);
    let answer = Call::stream("/draft/1", "r-2").send(site.address()).await;
    assert_eq!(answer.expect("answer").text(), whole_stream());
}

// Symptom: the last bytes of a stream are missing after a planned stop.
// Sequence: SIGTERM comes in the middle of a stream; the run ends, the loop is
// idle, and the process ends before the bytes have left. Cause: the end of the
// run was taken for the end of the answer.
#[tokio::test]
async fn stop_in_stream() {
    let mut site = Site::start(1).await;
    stop_mid_stream(&mut site).await;
}

// Symptom: a host is still there at the end of its grace, is killed and cuts the
// streams that it took just before. Sequence: SIGTERM comes while callers that
// keep its address go on sending; there is always a call under way. Cause: the
// host took callers until it was idle.
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
    assert!(ended.expect("an end within the grace").success());
    for caller in callers {
        assert!(caller.await.expect("task") > 1);
    }
}

// Symptom: an engine works on for a caller that left. Sequence: the caller
// closes its connection after the first event. Cause: nobody told the loop.
#[tokio::test]
async fn caller_disconnects() {
    let site = Site::start(1).await;
    let response = Call::stream("/draft/1", "r-1").open(site.address()).await;
    let mut body = response.expect("answer").into_body();
    body.frame().await.expect("piece").expect("piece");
    drop(body);
    // The place of the run is free again: four more fit at once on each of
    // the engines, and all are answered.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let calls = (0..8).map(|number| {
        let id = format!("r-{}", number + 2);
        tokio::spawn(Call::stream("/draft/1", &id).send(site.address()))
    });
    for call in calls.collect::<Vec<_>>() {
        let answer = call.await.expect("task").expect("answer");
        assert_eq!(answer.text(), whole_stream(), "{answer:?}");
    }
    let runs: usize = site.engines.iter().map(|engine| engine.seen().len()).sum();
    assert_eq!(runs, 9);
}

// Symptom: a caller's kept connection closes without any answer, while the host
// goes on. Sequence: the target of a stream answers with its own error; the call is
// to be tried at another target, which has no place; it waits, and is given up. Cause:
// whatever the answer's parts began with when it was over was passed on as the
// beginning of a stream: the error's head, then a body that broke off, so that the
// connection ended before the head had left.
// Evidence: the host's line 206 of such a call has one piece, the outcome refused
// and the reason deadline-passed, 2 ms after the target's error; the connection
// closes at that moment.
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
    let is_busy = |engine: &UsersTarget| engine.seen().iter().any(|call| call.ran);
    until("a target runs the stream", async || {
        site.engines.iter().any(is_busy)
    })
    .await;
    let free = site.engines.iter().find(|engine| !is_busy(engine));
    free.expect("one runs nothing")
        .expect(&[TargetMood::Failing]);
    let mut connection = KeptConnection::open(address).await.expect("connection");
    let call = Call::stream("/draft/1", "refused").with("deadline-ms", "2000");
    let answer = connection.send(call).await.expect("an answer");
    assert!(answer.whole, "{answer:?}");
    assert!(answer.status.is_server_error(), "{answer:?}");
    held.await.expect("call").expect("answer");
}

// Symptom: a caller whose stream breaks off early gets no head and none of its
// events, but a closed connection. Sequence: a target sends a head and an event and
// breaks off at once, so that the caller's answer has begun and is over before any of
// it is written. Cause: the error that cuts the connection took with it what was still
// in its buffer.
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
            engine.expect_only(&[TargetMood::BreakAfter(1)]);
        }
        let call = Call::stream("/once/1", &format!("early-{number}"));
        let answer = call.send(site.address()).await.expect("head");
        assert!(!answer.whole, "{answer:?}");
        assert_eq!(answer.text(), event_text(1));
    }
}
