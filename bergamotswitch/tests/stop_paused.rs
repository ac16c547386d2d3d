//! Tests of a host that is suspended during its planned stop and resumes after it
//! should have stopped accepting calls or ended them.

mod users;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bergamotswitch_standin::gateway_target::{ResponseMode, event_text};
use http::StatusCode;
use tokio::task::JoinHandle;
use users::host_child::PlannedStop;
use users::{Answer, Call, KeptConnection, Site, SiteOptions, until};

/// The grace period in the host's settings.
const GRACE: Duration = Duration::from_secs(8);
/// The number of events of a stream of 6 s.
const EVENTS: u32 = 60;
const EVENT_GAP: Duration = Duration::from_millis(100);
/// The time from SIGTERM to the pause.
const PAUSED_AT: Duration = Duration::from_secs(1);
/// The number of callers on new connections, and of those on open ones.
const CALLERS: usize = 8;
/// The start of a plain answer.
const RECEIPT_PREFIX: &str = "from desk-";
/// The deadline of the calls, longer than the grace period.
const DEADLINE_MS: &str = "20000";

/// A `Pause` is a pause of the process during a planned stop.
struct Pause {
    /// The time from SIGTERM until the host resumes.
    ends_at: Duration,
    /// The time from SIGTERM until the host is killed.
    killed_at: Duration,
}

type AnswerTask = JoinHandle<io::Result<Answer>>;

fn send(address: SocketAddr, call: Call) -> AnswerTask {
    let call = call.with("deadline-ms", DEADLINE_MS);
    tokio::spawn(async move { call.send(address).await })
}

fn whole_stream() -> String {
    (1..=EVENTS).map(event_text).collect()
}

/// Get a caller's call and its id. Every second call is a stream.
fn call_of(name: &str, number: usize) -> (String, Call) {
    let id = format!("{name}-{number}");
    let call = match number % 2 {
        0 => Call::stream("/once/1", &id),
        _ => Call::new("POST", "/receipt/1", &id),
    };
    let call = call.with("deadline-ms", DEADLINE_MS);
    (id, call)
}

/// Count the runs of a call at all targets.
fn runs_of(site: &Site, id: &str) -> usize {
    let targets = site.engines.iter().chain(&site.desks);
    let seen = targets.flat_map(|target| target.calls());
    seen.filter(|call| call.ran && call.field("request-id") == id)
        .count()
}

/// Assert the result of a call that was sent during the pause: a whole answer, or a
/// refusal or no answer if the call has not run.
fn assert_valid(site: &Site, id: &str, answer: &io::Result<Answer>) {
    let runs = runs_of(site, id);
    match answer {
        Ok(answer) if answer.status == StatusCode::OK => {
            let text = answer.text();
            let is_all = text == whole_stream() || text.starts_with(RECEIPT_PREFIX);
            assert!(answer.whole && is_all, "{id}: {answer:?}");
            assert_eq!(runs, 1, "{id}");
        }
        Ok(answer) => {
            let status = answer.status;
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{id}");
            assert_eq!(runs, 0, "{id}: {answer:?}");
        }
        Err(_) => assert_eq!(runs, 0, "{id}"),
    }
}

/// Suspend a stopping host that has a stream open, send calls meanwhile, and assert
/// their results. Get whether the host exited successfully.
async fn pause_in_stop(pause: Pause) -> bool {
    let mut site = Site::start_with(SiteOptions {
        hosts: 2,
        events: EVENTS,
        gap: EVENT_GAP,
        slots: 16,
        timeout: Duration::from_secs(30),
        grace: GRACE,
        ..SiteOptions::default()
    })
    .await;
    let address = site.address();
    // The host learns the duration of such work from this call.
    let before = send(address, Call::stream("/once/1", "before"));
    assert!(before.await.expect("call").expect("answer").whole);
    let open = send(address, Call::stream("/once/1", "open"));
    until("the stream runs", async || runs_of(&site, "open") > 0).await;

    let mut kept = Vec::new();
    for _ in 0..CALLERS {
        kept.push(KeptConnection::open(address).await.expect("connection"));
    }

    let stop = PlannedStop::begin(site.hosts.remove(0).child, pause.killed_at);
    stop.wait_until(PAUSED_AT).await;
    stop.signal("STOP");
    let mut answers = Vec::new();
    for (number, mut connection) in kept.into_iter().enumerate() {
        let (id, call) = call_of("new", number);
        answers.push((id, send(address, call)));
        let (id, call) = call_of("kept", number);
        let call = tokio::spawn(async move { connection.send(call).await });
        answers.push((id, call));
    }
    stop.wait_until(pause.ends_at).await;
    stop.signal("CONT");

    for (id, answer) in answers {
        assert_valid(&site, &id, &answer.await.expect("call"));
    }
    // The open stream is whole, or visibly cut off.
    let open = open.await.expect("call").expect("head");
    let whole = whole_stream();
    assert_eq!(open.whole, open.text() == whole, "{open:?}");
    assert!(whole.starts_with(open.text()), "{open:?}");
    assert_eq!(runs_of(&site, "open"), 1);
    // The other host still serves calls.
    let next = send(site.address(), Call::new("POST", "/receipt/1", "next"));
    let next = next.await.expect("call").expect("answer");
    assert_eq!(next.status, StatusCode::OK);
    stop.end().await.is_clean()
}

// Guards against answers that are cut off because a host, resumed after it should
// have stopped accepting calls, accepts those that arrived during the pause.
#[tokio::test]
async fn paused_past_accepting() {
    let clean = pause_in_stop(Pause {
        ends_at: Duration::from_millis(5_500),
        killed_at: GRACE,
    })
    .await;
    assert!(clean);
}

// Guards against the same failure when the host resumes after it should have ended
// all calls, shortly before it is killed.
#[tokio::test]
async fn paused_past_cutoff() {
    pause_in_stop(Pause {
        ends_at: Duration::from_millis(7_850),
        killed_at: GRACE,
    })
    .await;
}

// Guards against the same failure, and against a process that does not end, when the
// host resumes after its grace period and has not been killed.
#[tokio::test]
async fn paused_past_grace() {
    let clean = pause_in_stop(Pause {
        ends_at: Duration::from_millis(9_000),
        killed_at: Duration::from_secs(12),
    })
    .await;
    assert!(clean);
}

// Guards against calls without an answer when the stop signal comes while the host is
// suspended, which then takes its grace period for longer than it is.
#[tokio::test]
async fn paused_at_signal() {
    let grace = Duration::from_secs(4);
    let mut site = Site::start_with(SiteOptions {
        hosts: 2,
        timeout: Duration::from_secs(30),
        grace,
        ..SiteOptions::default()
    })
    .await;
    let address = site.address();
    for desk in &site.desks {
        desk.replace_responses(&[ResponseMode::NoResponse]);
    }
    let open = send(address, Call::new("POST", "/receipt/1", "open"));
    until("a target runs the call", async || {
        runs_of(&site, "open") > 0
    })
    .await;
    for desk in &site.desks {
        desk.replace_responses(&[]);
    }

    let host = site.hosts.remove(0).child;
    host.signal("STOP");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let stop = PlannedStop::begin(host, grace);
    stop.wait_until(Duration::from_secs(2)).await;
    stop.signal("CONT");
    let open = open.await.expect("call").expect("answer");
    // The call may have run, so 503 would be wrong.
    assert!(open.whole, "{open:?}");
    assert_eq!(open.status, StatusCode::BAD_GATEWAY, "{open:?}");
    assert_eq!(runs_of(&site, "open"), 1);
    assert!(stop.end().await.is_clean());
}
