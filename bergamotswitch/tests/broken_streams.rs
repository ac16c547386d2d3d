//! Tests of streams whose targets stop at any moment and with any framing: what their callers
//! get is in order, and looks whole only if it is.

mod users;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bergamotswitch_standin::gateway_target::event_text;
use http::StatusCode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use users::{Answer, Call, Site, SiteOptions, until};

/// The number of events of a whole stream.
const EVENTS: u32 = 6;
/// The last event that a caller has before it resumes its stream.
const RESUMED_AFTER: u32 = 2;
const TARGETS: usize = 4;
/// The seed of the drawn streams, and how many are drawn.
const SEED: u64 = 82;
const STREAMS: usize = 240;
/// The number of streams at a time.
const BATCH: usize = 12;
/// The number of streams whose first run pauses, and the pause in microseconds: about the
/// silence after which a host replaces a run.
const REPLACED_STREAMS: usize = 48;
const REPLACED_PAUSE_US: std::ops::Range<u64> = 985_000..1_060_000;
/// How long a target waits before it resets its connection, as a reset discards what is unread.
const RESET_DELAY: Duration = Duration::from_millis(60);

/// How the end of an answer's body is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    Unframed,
}

/// When a target stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopPoint {
    AfterHead,
    /// After this many events.
    Between(u32),
    /// Within the event that follows this many.
    Inside(u32),
    /// After the last event, but before the end of the body.
    BeforeEnd,
    Never,
}

/// Which events of a run have an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventIds {
    All,
    None,
    NotFirst,
    OnlyFirst,
}

/// The event with which a run begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FirstEvent {
    /// The one after that of `last-event-id`.
    Next,
    /// That of `last-event-id`.
    Repeated,
    /// The first one of the stream.
    Restarted,
}

/// A `RunScript` is how a target runs a stream.
#[derive(Clone, Copy, Debug)]
struct RunScript {
    framing: Framing,
    stop: StopPoint,
    resets: bool,
    ids: EventIds,
    first: FirstEvent,
    content_type: &'static str,
    /// The pause after two events.
    pause: Duration,
}

const WHOLE_RUN: RunScript = RunScript {
    framing: Framing::Chunked,
    stop: StopPoint::Never,
    resets: false,
    ids: EventIds::All,
    first: FirstEvent::Next,
    content_type: "text/event-stream",
    pause: Duration::ZERO,
};

impl RunScript {
    fn draw(rng: &mut StdRng) -> Self {
        let count = rng.random_range(1..4);
        RunScript {
            framing: *pick(rng, &[Framing::Length, Framing::Chunked, Framing::Unframed]),
            stop: *pick(
                rng,
                &[
                    StopPoint::AfterHead,
                    StopPoint::Between(count),
                    StopPoint::Inside(count - 1),
                    StopPoint::BeforeEnd,
                    StopPoint::Never,
                ],
            ),
            resets: rng.random_bool(0.5),
            ids: match rng.random_range(0..6) {
                0 => EventIds::None,
                1 => EventIds::NotFirst,
                2 => EventIds::OnlyFirst,
                _ => EventIds::All,
            },
            first: match rng.random_range(0..6) {
                0 => FirstEvent::Repeated,
                1 => FirstEvent::Restarted,
                _ => FirstEvent::Next,
            },
            ..WHOLE_RUN
        }
    }

    /// Get whether the run ends as a whole answer does, though its stream goes on.
    fn ends_early(&self) -> bool {
        let is_between = matches!(self.stop, StopPoint::Between(_));
        self.framing == Framing::Unframed && is_between && !self.resets
    }

    fn event(&self, number: u32, first: u32) -> String {
        let has_id = match self.ids {
            EventIds::All => true,
            EventIds::None => false,
            EventIds::NotFirst => number > first,
            EventIds::OnlyFirst => number == first,
        };
        match has_id {
            true => event_text(number),
            false => format!("data: piece {number}\n\n"),
        }
    }

    /// Get the parts of the body that the target sends, each in a packet of its own, and the
    /// length of the whole body.
    fn parts(&self, last_event: Option<u32>) -> (Vec<String>, usize) {
        let first = match self.first {
            FirstEvent::Next => last_event.map_or(1, |last| last + 1),
            FirstEvent::Repeated => last_event.unwrap_or(1),
            FirstEvent::Restarted => 1,
        };
        let events = (first..=EVENTS).map(|number| self.event(number, first));
        let mut events: Vec<String> = events.collect();
        let length = events.iter().map(String::len).sum();
        match self.stop {
            StopPoint::AfterHead => events.clear(),
            StopPoint::Between(count) => events.truncate(count as usize),
            StopPoint::Inside(count) => {
                events.truncate(count as usize + 1);
                if let Some(event) = events.get_mut(count as usize) {
                    event.truncate(event.len() / 2);
                }
            }
            // A body with its length is whole with its last byte.
            StopPoint::BeforeEnd if self.framing == Framing::Length => {
                if let Some(event) = events.last_mut() {
                    event.pop();
                }
            }
            StopPoint::BeforeEnd | StopPoint::Never => {}
        }
        (events, length)
    }

    async fn play(&self, mut stream: TcpStream, id: &str, last_event: Option<u32>) {
        let (parts, length) = self.parts(last_event);
        let framing = match self.framing {
            Framing::Length => format!("Content-Length: {length}\r\n"),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::Unframed => String::new(),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal\r\n\
             Content-Type: {}\r\nConnection: close\r\n{framing}\r\n",
            self.content_type,
        );
        // The host may have left.
        let _ = stream.write_all(head.as_bytes()).await;
        for (index, part) in parts.into_iter().enumerate() {
            if index == 2 {
                tokio::time::sleep(self.pause).await;
            }
            let part = match self.framing {
                Framing::Chunked => format!("{:x}\r\n{part}\r\n", part.len()),
                Framing::Length | Framing::Unframed => part,
            };
            let _ = stream.write_all(part.as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        if self.stop == StopPoint::Never {
            if self.framing == Framing::Chunked {
                let _ = stream.write_all(b"0\r\n\r\n").await;
            }
        } else if self.resets {
            tokio::time::sleep(RESET_DELAY).await;
            let _ = stream.set_zero_linger();
        }
    }
}

fn pick<'a, T>(rng: &mut StdRng, items: &'a [T]) -> &'a T {
    &items[rng.random_range(0..items.len())]
}

/// The scripts of the next runs of each request.
type Scripts = Arc<Mutex<HashMap<String, VecDeque<RunScript>>>>;

/// Read a request to its end, and get its head in lower case.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut seen = Vec::new();
    loop {
        if stream.read_buf(&mut seen).await.unwrap_or(0) == 0 {
            return None;
        }
        let text = String::from_utf8_lossy(&seen).to_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length: usize = field(head, "content-length").map_or(0, |text| text.parse().unwrap());
        if body.len() >= length {
            return Some(head.to_owned());
        }
    }
}

fn field<'h>(head: &'h str, name: &str) -> Option<&'h str> {
    let mut lines = head.lines();
    lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

async fn start_target(scripts: Scripts) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let scripts = Arc::clone(&scripts);
            tokio::spawn(async move {
                let Some(head) = read_request(&mut stream).await else {
                    return;
                };
                let id = field(&head, "request-id").unwrap_or_default();
                let last_event = field(&head, "last-event-id").and_then(|text| text.parse().ok());
                let next = scripts.lock().unwrap().get_mut(id).map(VecDeque::pop_front);
                // A run beyond the script is none of the drawn ones.
                let script = next.map_or(Some(WHOLE_RUN), |next| next);
                if let Some(script) = script {
                    script.play(stream, id, last_event).await;
                }
            });
        }
    });
    address
}

/// A `ScriptedSite` is a host whose targets follow scripts.
struct ScriptedSite {
    site: Site,
    scripts: Scripts,
}

impl ScriptedSite {
    async fn start() -> Self {
        let options = SiteOptions {
            engine_versions: Vec::new(),
            ..SiteOptions::default()
        };
        let site = Site::start_with(options).await;
        let scripts = Scripts::default();
        for number in 0..TARGETS {
            let address = start_target(Arc::clone(&scripts)).await;
            let entry = json!({
                "service": "drafting", "address": address.to_string(), "zone": "hall-1",
                "version": "v1", "slots": 4, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
            });
            site.store
                .put(&format!("servers/scripted-{number}"), &entry);
        }
        until("an answer of a target", async || {
            let sent = Call::stream("/draft/first", "first").send(site.address());
            sent.await
                .is_ok_and(|answer| answer.whole && answer.status == StatusCode::OK)
        })
        .await;
        ScriptedSite { site, scripts }
    }

    /// Get the answer to a call whose runs follow these scripts.
    async fn answer(&self, call: Call, id: &str, runs: &[RunScript]) -> Answer {
        let runs = runs.iter().copied().collect();
        self.scripts.lock().unwrap().insert(id.to_owned(), runs);
        call.send(self.site.address()).await.expect("an answer")
    }

    /// Get how many of a request's runs have begun.
    fn run_count(&self, id: &str, runs: &[RunScript]) -> usize {
        runs.len() - self.scripts.lock().unwrap()[id].len()
    }
}

/// Get the numbers of the pieces of a stream.
fn pieces(text: &str) -> Vec<u32> {
    let lines = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: piece "));
    lines
        .map(|number| number.parse().expect("a number"))
        .collect()
}

/// A `DrawnStream` is a call with the scripts of its runs.
#[derive(Clone, Debug)]
struct DrawnStream {
    is_resumable: bool,
    /// The last event that the caller has.
    resumed_after: u32,
    runs: [RunScript; 2],
}

impl DrawnStream {
    fn draw(rng: &mut StdRng) -> Self {
        let is_resumable = rng.random_bool(0.75);
        let resumed_after = match is_resumable && rng.random_bool(0.3) {
            true => RESUMED_AFTER,
            false => 0,
        };
        DrawnStream {
            is_resumable,
            resumed_after,
            runs: [RunScript::draw(rng), RunScript::draw(rng)],
        }
    }

    fn call(&self, id: &str) -> Call {
        let route = match self.is_resumable {
            true => "draft",
            false => "once",
        };
        // Calls of one path would be quarantined for crashing their targets.
        let call = Call::stream(&format!("/{route}/{id}"), id);
        match self.resumed_after {
            0 => call,
            after => call
                .with("last-event-id", &after.to_string())
                .with("resumes", "first"),
        }
    }

    /// Get what is wrong with an answer, after this many runs.
    fn fault(&self, answer: &Answer, run_count: usize) -> Option<&'static str> {
        if !answer.status.is_success() {
            let promises = [408, 421, 429, 503].contains(&answer.status.as_u16());
            return (promises && !self.is_resumable && run_count > 0)
                .then_some("a call that ran was answered as not run");
        }
        let pieces = pieces(answer.text());
        let in_order = (self.resumed_after + 1..).zip(&pieces);
        if in_order.into_iter().any(|(due, piece)| due != *piece) {
            return Some("pieces are missing, repeated or out of order");
        }
        let last_run = self.runs[run_count.clamp(1, 2) - 1];
        let ends_early = last_run.ends_early() && !pieces.is_empty();
        let is_complete = pieces.last() == Some(&EVENTS);
        (answer.whole && !is_complete && !ends_early).then_some("a cut stream looks whole")
    }
}

/// A `StreamCounts` is what became of a number of streams.
#[derive(Debug, Default)]
struct StreamCounts {
    successes: usize,
    /// The streams that had a second run.
    rerun: usize,
    /// What is wrong with streams.
    faults: Vec<String>,
}

/// Run these streams, a batch at a time.
async fn run_all(streams: &[DrawnStream]) -> StreamCounts {
    let site = Arc::new(ScriptedSite::start().await);
    let mut counts = StreamCounts::default();
    for (batch, streams) in streams.chunks(BATCH).enumerate() {
        let calls = streams.iter().enumerate().map(|(index, stream)| {
            let (site, stream) = (Arc::clone(&site), stream.clone());
            tokio::spawn(async move {
                let id = format!("stream-{}", batch * BATCH + index);
                let answer = site.answer(stream.call(&id), &id, &stream.runs).await;
                let run_count = site.run_count(&id, &stream.runs);
                let fault = stream.fault(&answer, run_count);
                let fault = fault.map(|fault| {
                    format!("{fault}: {id}, {run_count} runs: {stream:?}: {answer:?}")
                });
                (answer.status.is_success(), run_count, fault)
            })
        });
        for call in calls.collect::<Vec<_>>() {
            let (is_success, run_count, fault) = call.await.expect("a task");
            counts.successes += usize::from(is_success);
            counts.rerun += usize::from(run_count > 1);
            counts.faults.extend(fault);
        }
    }
    counts
}

fn assert_sound(streams: &[DrawnStream], counts: &StreamCounts) {
    let StreamCounts {
        successes,
        rerun,
        faults,
    } = counts;
    let count = streams.len();
    assert!(
        faults.is_empty(),
        "{} of {count}:\n{}",
        faults.len(),
        faults.join("\n")
    );
    assert!(*successes > count / 2, "{successes} of {count}");
    assert!(*rerun > 0, "no second run");
}

/// Guards against a cut stream that looks whole, and against pieces that are missing, come
/// twice or go back.
#[tokio::test]
async fn any_break() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let streams: Vec<DrawnStream> = (0..STREAMS).map(|_| DrawnStream::draw(&mut rng)).collect();
    assert_sound(&streams, &run_all(&streams).await);
}

/// Guards against pieces of a silent run that goes on while another one replaces it.
#[tokio::test]
async fn replaced_run() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let streams: Vec<DrawnStream> = (0..REPLACED_STREAMS)
        .map(|_| {
            let first = RunScript {
                pause: Duration::from_micros(rng.random_range(REPLACED_PAUSE_US)),
                ..WHOLE_RUN
            };
            DrawnStream {
                is_resumable: true,
                resumed_after: 0,
                runs: [first, WHOLE_RUN],
            }
        })
        .collect();
    assert_sound(&streams, &run_all(&streams).await);
}

/// Guards against a resumed stream that ends with bytes of an answer of another kind.
#[tokio::test]
async fn other_content() {
    let second = RunScript {
        content_type: "text/html",
        stop: StopPoint::Inside(0),
        framing: Framing::Unframed,
        ..WHOLE_RUN
    };
    let answer = answer_to("other", &[broken_after(3), second]).await;
    assert_eq!(answer.text(), (1..=3).map(event_text).collect::<String>());
    assert!(!answer.whole);
}

async fn answer_to(id: &str, runs: &[RunScript]) -> Answer {
    let site = ScriptedSite::start().await;
    site.answer(Call::stream(&format!("/draft/{id}"), id), id, runs)
        .await
}

fn broken_after(count: u32) -> RunScript {
    RunScript {
        stop: StopPoint::Inside(count),
        ..WHOLE_RUN
    }
}

/// Guards against a second run that begins anew and whose pieces follow those of the first.
#[tokio::test]
async fn restarted_run() {
    for first in [FirstEvent::Restarted, FirstEvent::Repeated] {
        let second = RunScript { first, ..WHOLE_RUN };
        let answer = answer_to("restarted", &[broken_after(3), second]).await;
        assert_eq!(pieces(answer.text()), [1, 2, 3], "{first:?}");
        assert!(!answer.whole, "{first:?}");
    }
}

/// Guards against pieces that come twice because the last ones before a break had no id.
#[tokio::test]
async fn missing_ids() {
    let first = RunScript {
        ids: EventIds::OnlyFirst,
        ..broken_after(3)
    };
    let answer = answer_to("unnumbered", &[first, WHOLE_RUN]).await;
    // The host may drop pieces that the caller has not read.
    let pieces = pieces(answer.text());
    assert!([1, 2, 3].starts_with(&pieces), "{pieces:?}");
    assert!(!answer.whole);
}

/// Guards against a resumed stream whose target answers from the start.
#[tokio::test]
async fn restarted_resumption() {
    let site = ScriptedSite::start().await;
    let restarted = RunScript {
        first: FirstEvent::Restarted,
        ..WHOLE_RUN
    };
    let call = Call::stream("/draft/resumed", "resumed")
        .with("last-event-id", "2")
        .with("resumes", "first");
    let answer = site.answer(call, "resumed", &[restarted, WHOLE_RUN]).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(pieces(answer.text()), [3, 4, 5, 6]);
    assert!(answer.whole);
}

/// Guards against a cut stream that looks whole to a caller without chunks.
#[tokio::test]
async fn caller_without_chunks() {
    let site = ScriptedSite::start().await;
    let cut = RunScript {
        stop: StopPoint::Between(3),
        ..WHOLE_RUN
    };
    for (id, runs, events) in [("cut", [cut, cut], 0), ("kept", [WHOLE_RUN; 2], EVENTS)] {
        let runs = runs.into_iter().collect();
        site.scripts.lock().unwrap().insert(id.to_owned(), runs);
        let mut stream = TcpStream::connect(site.site.address()).await.expect("host");
        let request = format!(
            "POST /once/{id} HTTP/1.0\r\nHost: {}\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\n\
             Authorization: Bearer {}\r\nToken-Count: 100,80\r\nContent-Length: 6\r\n\r\nprompt",
            users::HOST,
            users::KEY,
        );
        stream.write_all(request.as_bytes()).await.expect("sent");
        let mut answer = String::new();
        // A reset also shows that the answer is incomplete.
        let _ = stream.read_to_string(&mut answer).await;
        let whole: String = (1..=events).map(event_text).collect();
        let is_success = answer.starts_with("HTTP/1.0 200") || answer.starts_with("HTTP/1.1 200");
        assert_eq!(is_success, events > 0, "{id}: {answer}");
        assert!(answer.ends_with(&whole), "{id}: {answer}");
        assert_eq!(pieces(&answer).len(), events as usize, "{id}: {answer}");
    }
}
