//! Provides helpers of the planned stop tests: sites in which one host stops while
//! another one keeps serving, and the results of calls.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bergamotswitch_standin::gateway_target::event_text;
use http::StatusCode;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::users::{Answer, Call, Site, SiteOptions, until};

/// The pause before each event of a stream.
pub const EVENT_GAP: Duration = Duration::from_millis(100);
/// The maximum time of an immediate refusal, which waits for nothing.
pub const IMMEDIATE: Duration = Duration::from_secs(1);
/// The maximum `retry-after` of a refusal: another host serves the caller.
const MAX_RETRY_AFTER_S: f64 = 1.0;
/// The number of runs after which a host can estimate the duration of such work. The
/// engines of a site can run all of them concurrently.
pub const WARM_UP_RUNS: usize = 20;
/// The deadline of the warm-up runs. It has to exceed two rounds of runs, since a
/// new target gets only a few runs at first, and a run begins only if 1.5 times its
/// duration is left.
const LONG_DEADLINE: Duration = Duration::from_secs(60);

pub fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

/// A `CallResult` is the result of one call.
#[derive(Debug)]
pub struct CallResult {
    pub id: String,
    pub answer: io::Result<Answer>,
    pub took: Duration,
}

pub async fn send_call(address: SocketAddr, call: Call, id: &str) -> CallResult {
    let begun = Instant::now();
    let answer = call.with("request-id", id).send(address).await;
    CallResult {
        id: id.to_owned(),
        answer,
        took: begun.elapsed(),
    }
}

impl CallResult {
    pub fn text(&self) -> &str {
        self.answer.as_ref().map_or("", Answer::text)
    }

    /// Get whether the caller got a complete answer with a server error.
    pub fn is_failure(&self) -> bool {
        let answer = self.answer.as_ref();
        answer.is_ok_and(|answer| answer.whole && answer.status.is_server_error())
    }

    /// Assert that the caller was served, or refused without a run.
    pub fn assert_served_or_refused(&self, site: &Site) {
        if !self.is_served() {
            assert!(self.is_refused(), "{self:?}");
            self.assert_refusal(site);
        }
    }

    pub fn has_status(&self, status: StatusCode) -> bool {
        let answer = self.answer.as_ref();
        answer.is_ok_and(|answer| answer.status == status && answer.whole)
    }

    pub fn is_served(&self) -> bool {
        self.has_status(StatusCode::OK)
    }

    pub fn is_refused(&self) -> bool {
        self.has_status(StatusCode::SERVICE_UNAVAILABLE)
    }

    /// Assert that the refusal has a `retry-after`, closes the connection, and that
    /// the call has not run.
    pub fn assert_refusal(&self, site: &Site) {
        let answer = self.answer.as_ref().expect("answer");
        let wait: f64 = answer.field("retry-after").parse().expect("seconds");
        assert!((0.0..=MAX_RETRY_AFTER_S).contains(&wait), "{self:?}");
        let connection = answer.field("connection").to_lowercase();
        assert_eq!(connection, "close", "{self:?}");
        assert_eq!(runs_of(site, &self.id), 0, "{self:?}");
    }

    /// Assert that the caller got the whole stream, or was refused without a run.
    pub fn assert_whole_or_refused(&self, site: &Site, events: u32) {
        self.assert_served_or_refused(site);
        let refused = self.is_refused();
        assert!(refused || self.text() == whole_stream(events), "{self:?}");
    }

    /// Assert that the stream was cut off: the caller got a prefix of it and can tell
    /// that it is incomplete.
    pub fn assert_cut(&self, events: u32) {
        let answer = self.answer.as_ref().expect("answer");
        assert!(!answer.whole, "{self:?}");
        assert!(whole_stream(events).starts_with(self.text()), "{self:?}");
    }
}

pub fn whole_stream(events: u32) -> String {
    (1..=events).map(event_text).collect()
}

/// Count the runs of a call at all targets.
pub fn runs_of(site: &Site, id: &str) -> usize {
    let targets = site.engines.iter().chain(&site.desks);
    let seen = targets.flat_map(|target| target.calls());
    seen.filter(|call| call.ran && call.field("request-id") == id)
        .count()
}

/// Start a site of two hosts, whose streams have this number of events.
pub async fn start_site(events: u32, grace: Duration) -> Site {
    let options = SiteOptions {
        hosts: 2,
        slots: 16,
        events,
        gap: EVENT_GAP,
        target_latency: seconds(5.0),
        timeout: LONG_DEADLINE,
        grace,
        ..SiteOptions::default()
    };
    Site::start_with(options).await
}

/// Start a site like [`start_site`], whose engines run eight streams in total.
pub async fn start_small_site(events: u32, grace: Duration) -> Site {
    let options = SiteOptions {
        hosts: 2,
        events,
        gap: EVENT_GAP,
        target_latency: seconds(5.0),
        timeout: LONG_DEADLINE,
        grace,
        ..SiteOptions::default()
    };
    Site::start_with(options).await
}

/// Get the call of a stream with this deadline.
pub fn stream_call(path: &str, deadline: Duration) -> Call {
    let millis = deadline.as_millis().to_string();
    Call::stream(path, "").with("deadline-ms", &millis)
}

/// Send copies of a call concurrently.
pub fn send_many(
    address: SocketAddr,
    call: &Call,
    name: &str,
    count: usize,
) -> Vec<JoinHandle<CallResult>> {
    let calls = (1..=count).map(|number| {
        let (call, id) = (call.clone(), format!("{name}-{number}"));
        tokio::spawn(async move { send_call(address, call, &id).await })
    });
    calls.collect()
}

pub async fn join_results(calls: Vec<JoinHandle<CallResult>>) -> Vec<CallResult> {
    let mut all = Vec::new();
    for result in calls {
        all.push(result.await.expect("call"));
    }
    all
}

/// Run streams of a route before a stop, so that the host can estimate their
/// duration.
pub async fn warm_up(site: &Site, path: &str, count: usize) {
    let call = stream_call(path, LONG_DEADLINE);
    for result in join_results(send_many(site.address(), &call, "before", count)).await {
        assert!(result.is_served(), "{result:?}");
    }
}

/// Get a plain call with this deadline that is not idempotent.
pub fn receipt_call(deadline: Duration) -> Call {
    let millis = deadline.as_millis().to_string();
    Call::new("POST", "/receipt/1", "").with("deadline-ms", &millis)
}

/// Send a call and wait until a target runs it. Panics with the answer if that comes
/// first.
pub async fn send_until_running(
    site: &Site,
    call: Call,
    id: &'static str,
) -> JoinHandle<CallResult> {
    let address = site.address();
    let result = tokio::spawn(async move { send_call(address, call, id).await });
    let ran = || runs_of(site, id) > 0;
    until("a target runs the call", async || {
        ran() || result.is_finished()
    })
    .await;
    if !ran() {
        panic!("no target runs the call: {:?}", result.await);
    }
    result
}
