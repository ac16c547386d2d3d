//! Tests of streams through the gateway whose sound targets fall silent for a while.

mod users;

use std::time::Duration;

use bergamotswitch_standin::gateway_target::{ResponseMode, event_text};
use http::StatusCode;
use users::{Call, Site, SiteOptions, until};

/// Longer than the stall timeout of a stream, and shorter than callers wait.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Longer than two runs may take to begin, and shorter than the deadline of a call.
const LONG_SILENCE: Duration = Duration::from_millis(3_200);

fn events(count: u32) -> String {
    (1..=count).map(event_text).collect()
}

// Guards against a begun stream that is cut at its host because its target is silent and
// no other target has room.
#[tokio::test]
async fn full_targets() {
    let options = SiteOptions {
        slots: 1,
        ..SiteOptions::default()
    };
    let site = Site::start_with(options).await;
    // One of the engines is occupied for longer than the stream has.
    let address = site.address();
    let long = Call::stream("/once/1?events=200", "r-1").with("deadline-ms", "5000");
    let long = tokio::spawn(long.send(address));
    let occupied = async || {
        let calls = site.engines.iter().map(|engine| engine.calls().len());
        calls.sum::<usize>() == 1
    };
    until("an engine is occupied", occupied).await;
    for engine in &site.engines {
        engine.queue_responses(&[ResponseMode::PauseAfter(3, SILENCE)]);
    }
    let call = Call::stream("/draft/2", "r-2").with("deadline-ms", "3000");
    let answer = call.send(address).await.expect("answer");
    assert!(answer.whole, "{answer:?}");
    assert_eq!(answer.text(), events(8));
    let runs: usize = site.engines.iter().map(|engine| engine.calls().len()).sum();
    assert_eq!(runs, 2, "the stream ran once");
    let long = long.await.expect("no panic").expect("answer");
    assert!(long.whole, "{long:?}");
}

// Guards against a call that fails because the last run that its route allows does not
// start in time, although its target answers later.
#[tokio::test]
async fn late_last_run() {
    let site = Site::start(1).await;
    for target in site.desks.iter().chain(&site.engines) {
        target.fall_silent(LONG_SILENCE);
    }
    let address = site.address();
    let status = Call::new("POST", "/status/1", "r-1").send(address);
    let draft = Call::stream("/draft/1", "r-2").send(address);
    let (status, draft) = tokio::join!(status, draft);
    let status = status.expect("answer");
    assert_eq!(status.status, StatusCode::OK, "{status:?}");
    let draft = draft.expect("answer");
    assert!(draft.whole, "{draft:?}");
    assert_eq!(draft.text(), events(8));
}

// Guards against a host that takes its own suspension for the silence of its targets,
// whose events have come meanwhile.
#[tokio::test]
async fn suspended_host() {
    let site = Site::start_with(SiteOptions {
        gap: Duration::from_millis(100),
        timeout: Duration::from_secs(20),
        ..SiteOptions::default()
    })
    .await;
    let mut streams = Vec::new();
    for number in 1..=2 {
        let call = Call::stream("/draft/1?events=80", &format!("r-{number}"));
        let call = call.with("deadline-ms", "18000");
        streams.push(tokio::spawn(call.send(site.address())));
    }
    let runs = || -> usize { site.engines.iter().map(|engine| engine.calls().len()).sum() };
    until("the streams run", async || runs() == streams.len()).await;
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(300)).await;
        site.hosts[0].child.signal("STOP");
        tokio::time::sleep(SILENCE).await;
        site.hosts[0].child.signal("CONT");
    }
    for stream in streams {
        let answer = stream.await.expect("no panic").expect("answer");
        assert!(answer.whole, "{answer:?}");
        assert_eq!(answer.text(), events(80));
    }
    assert_eq!(runs(), 2, "each stream ran once");
    let page = Call::get("/metrics").send(site.hosts[0].metrics).await;
    let page = page.expect("page");
    let stalled = page
        .text()
        .lines()
        .find(|line| line.starts_with("bergamot_incidents_total{number=\"702\"}"));
    assert_eq!(stalled, Some("bergamot_incidents_total{number=\"702\"} 0"));
}
