//! Provides the polling of engines for load reports, and the subscription to
//! their cache events.

use std::sync::Arc;
use std::time::Duration;

use bergamotswitch_core::request::PrefixHash;
use bergamotswitch_core::target::{LoadReport, PoolTarget};
use bytes::Bytes;
use http::Method;
use http_body_util::BodyExt;
use serde::Deserialize;
use tokio::time::{Instant, sleep, timeout};

use super::connection::TargetConnection;
use super::event_stream::EventParser;
use super::options::TargetClientOptions;
use super::stream_status::{QueryError, empty_request, query_over};
use crate::input::{NodeInput, NodeSender};
use crate::task_guard::TaskGuard;

const LOAD_PATH: &str = "/v1/load";
const CACHE_PATH: &str = "/v1/cache-events";

/// The bounds of the backoff after a failed request for cache events.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(10);

#[derive(Deserialize)]
struct CacheEvent {
    prefix: String,
    held: bool,
}

/// A `LoadWatch` watches one engine until it is dropped.
#[derive(Debug)]
pub(super) struct LoadWatch {
    target: PoolTarget,
    _load: TaskGuard,
    _cache: TaskGuard,
}

impl LoadWatch {
    /// Start to watch `target`.
    pub fn start(
        target: &PoolTarget,
        options: &Arc<TargetClientOptions>,
        events: &NodeSender,
    ) -> Self {
        let load = poll_load(target.clone(), Arc::clone(options), events.clone());
        let cache = follow_cache_events(target.clone(), Arc::clone(options), events.clone());
        LoadWatch {
            target: target.clone(),
            _load: TaskGuard::spawn(load),
            _cache: TaskGuard::spawn(cache),
        }
    }

    pub fn target(&self) -> &PoolTarget {
        &self.target
    }
}

async fn poll_load(target: PoolTarget, options: Arc<TargetClientOptions>, events: NodeSender) {
    let mut connection = None;
    while !events.is_closed() {
        let sent_at = Instant::now();
        if let Ok(mut report) = query_load(&target, &mut connection, &options).await {
            // Add the round trip, an upper limit of the report's age on
            // arrival.
            let trip = u32::try_from(sent_at.elapsed().as_millis()).unwrap_or(u32::MAX);
            report.age_ms = report.age_ms.saturating_add(trip);
            let _ = events.send(NodeInput::Load(target.name.clone(), report));
        } else {
            // A connection that failed once may be unresponsive for good.
            connection = None;
        }
        // Jitter keeps hosts that start together from polling together.
        sleep(options.load_period.mul_f64(rand::random_range(0.9..1.1))).await;
    }
}

async fn query_load(
    target: &PoolTarget,
    idle: &mut Option<TargetConnection>,
    options: &TargetClientOptions,
) -> Result<LoadReport, QueryError> {
    let request = empty_request(Method::GET, target.address, LOAD_PATH);
    let request = request.ok_or(QueryError::Malformed)?;
    let mut connection = match idle.take() {
        Some(connection) => connection,
        None => TargetConnection::dial(target.address, options.connect_timeout, options)
            .await
            .map_err(|_| QueryError::NoAnswer)?,
    };
    let body = query_over(&mut connection, request, options).await?;
    let report = serde_json::from_slice(&body).map_err(|_| QueryError::Malformed)?;
    *idle = Some(connection);
    Ok(report)
}

async fn follow_cache_events(
    target: PoolTarget,
    options: Arc<TargetClientOptions>,
    events: NodeSender,
) {
    let mut backoff = MIN_BACKOFF;
    while !events.is_closed() {
        match read_cache_events(&target, &options, &events).await {
            Ok(()) => backoff = MIN_BACKOFF,
            Err(_) => backoff = (backoff * 2).min(MAX_BACKOFF),
        }
        sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
    }
}

/// Follow the cache events of one connection. Returns `Ok` when an established
/// stream ends or becomes idle: cache events are only hints and may be missed,
/// so the connection is simply replaced.
async fn read_cache_events(
    target: &PoolTarget,
    options: &TargetClientOptions,
    events: &NodeSender,
) -> Result<(), QueryError> {
    let request = empty_request(Method::GET, target.address, CACHE_PATH);
    let request = request.ok_or(QueryError::Malformed)?;
    let mut connection = TargetConnection::dial(target.address, options.connect_timeout, options)
        .await
        .map_err(|_| QueryError::NoAnswer)?;
    let sent = timeout(options.probe_timeout, connection.send(request)).await;
    let Ok(Ok(response)) = sent else {
        return Err(QueryError::NoAnswer);
    };
    if !response.status().is_success() {
        return Err(QueryError::NotFound);
    }
    let mut body = response.into_body();
    let mut parser = EventParser::new();
    while let Ok(Some(Ok(frame))) = timeout(options.cache_idle, body.frame()).await {
        parser.feed(&frame.into_data().unwrap_or_default());
        while let Some(event) = parser.next_event().map_err(|_| QueryError::Malformed)? {
            send_cache_event(target, &event.data, events);
        }
    }
    Ok(())
}

fn send_cache_event(target: &PoolTarget, data: &Bytes, events: &NodeSender) {
    let Ok(event) = serde_json::from_slice::<CacheEvent>(data) else {
        return;
    };
    let Ok(hash) = u64::from_str_radix(&event.prefix, 16) else {
        return;
    };
    let input = NodeInput::Prefix(target.name.clone(), PrefixHash(hash), event.held);
    let _ = events.send(input);
}
