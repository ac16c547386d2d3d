//! Provides the event streams of an engine: answers and cache events.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::CONTENT_TYPE;
use serde_json::{Value, json};
use tokio::sync::{broadcast, watch};

use crate::batch::{EngineRun, RunProgress};
use crate::engine_core::EngineCore;
use crate::ledger::RunOutcome;
use crate::prefix::PrefixEvent;
use crate::prompt::output_token;
use crate::response::{CloseError, REQUEST_ID, ResponseBody, set_header};

/// A `StreamCursor` is one connection's place in a run's events.
struct StreamCursor {
    caller: CallerGuard,
    progress: watch::Receiver<RunProgress>,
    /// The identity and digest with which the run is answered.
    identity: (String, u64),
    /// The number of the next event; the terminator's is one above the last
    /// token's.
    next: u32,
    /// The events sent on this connection.
    sent: u32,
}

impl StreamCursor {
    async fn next_event(&mut self) -> Option<Result<Bytes, CloseError>> {
        let tokens = self.caller.run.shape.output_tokens;
        loop {
            let switches = self.caller.core.control.switches();
            if switches.drop.is_some_and(|limit| self.sent >= limit) {
                // What was sent so far is flushed before the connection is
                // cut, so that the cut comes in the middle of the answer.
                tokio::task::yield_now().await;
                return Some(Err(CloseError));
            }
            if self.next > tokens + 1 || (switches.truncate && self.next > tokens / 2) {
                return None;
            }
            let progress = *self.progress.borrow_and_update();
            if self.next <= progress.emitted {
                return Some(Ok(self.token_event(&progress)));
            }
            match progress.outcome {
                RunOutcome::Finished => return Some(Ok(self.event("[DONE]"))),
                RunOutcome::Cancelled => return None,
                RunOutcome::Broken => return Some(Err(CloseError)),
                RunOutcome::Running => self.progress.changed().await.ok()?,
            }
        }
    }

    fn token_event(&mut self, progress: &RunProgress) -> Bytes {
        let (id, digest) = &self.identity;
        let is_last = self.next == self.caller.run.shape.output_tokens;
        let finish = is_last.then_some("stop");
        let mut chunk = json!({
            "id": id,
            "object": "chat.completion.chunk",
            "model": self.caller.run.shape.model,
            "choices": [{
                "index": 0,
                "delta": {"content": output_token(*digest, self.next)},
                "finish_reason": finish,
            }],
        });
        if is_last {
            chunk["usage"] = usage(&self.caller.run, progress);
        }
        self.event(&chunk.to_string())
    }

    fn event(&mut self, data: &str) -> Bytes {
        let event = format!("id: {}\ndata: {data}\n\n", self.next);
        self.next += 1;
        self.sent += 1;
        Bytes::from(event)
    }
}

/// A `CallerGuard` stands for the caller that a run is made for.
struct CallerGuard {
    core: Arc<EngineCore>,
    run: Arc<EngineRun>,
}

impl CallerGuard {
    fn new(core: &Arc<EngineCore>, run: &Arc<EngineRun>) -> Self {
        CallerGuard {
            core: Arc::clone(core),
            run: Arc::clone(run),
        }
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        // Without resuming nobody can ask for the rest; an engine then stops
        // the run, as real ones do when their caller is gone.
        if !self.core.options.contract.resumes {
            self.core.stop(&self.run, RunOutcome::Broken);
        }
    }
}

fn usage(run: &EngineRun, progress: &RunProgress) -> Value {
    json!({
        "prompt_tokens": run.shape.tokens,
        "completion_tokens": progress.emitted,
        "prompt_tokens_details": {"cached_tokens": progress.cached_tokens},
    })
}

/// Get the answer that streams a run's events after `offset`.
pub(crate) fn stream_response(
    core: &Arc<EngineCore>,
    run: &Arc<EngineRun>,
    offset: u32,
) -> Response<ResponseBody> {
    let cursor = StreamCursor {
        caller: CallerGuard::new(core, run),
        progress: run.progress.subscribe(),
        identity: core.response_identity(run),
        next: offset.saturating_add(1),
        sent: 0,
    };
    let request_id = cursor.identity.0.clone();
    let events = stream::unfold(cursor, |mut cursor| async move {
        let event = cursor.next_event().await?;
        Some((event.map(Frame::data), cursor))
    });
    let mut response = event_stream(StreamBody::new(events).boxed_unsync());
    set_header(&mut response, "x-stream-id", &run.stream_id);
    set_header(&mut response, REQUEST_ID, &request_id);
    response
}

/// Get a run's whole answer as one JSON value, waiting for its end; `None`
/// where it ended otherwise.
pub(crate) async fn complete_response(
    core: &Arc<EngineCore>,
    run: &Arc<EngineRun>,
) -> Option<(String, Value)> {
    let _caller = CallerGuard::new(core, run);
    let mut receiver = run.progress.subscribe();
    let ended = |progress: &RunProgress| progress.outcome != RunOutcome::Running;
    let progress = *receiver.wait_for(ended).await.ok()?;
    if progress.outcome != RunOutcome::Finished {
        return None;
    }
    let (id, digest) = core.response_identity(run);
    let tokens = 1..=progress.emitted;
    let text: String = tokens.map(|number| output_token(digest, number)).collect();
    let answer = json!({
        "id": id,
        "object": "chat.completion",
        "model": run.shape.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }],
        "usage": usage(run, &progress),
    });
    Some((id, answer))
}

/// Get the answer that streams cache events, late and with gaps.
pub(crate) fn cache_event_response(core: &Arc<EngineCore>) -> Response<ResponseBody> {
    let subscription = (Arc::clone(core), core.cache_events());
    let events = stream::unfold(subscription, |(core, mut receiver)| async move {
        let event = next_cache_event(&core, &mut receiver).await?;
        let data = json!({
            "prefix": format!("{:016x}", event.prefix),
            "held": event.held,
        });
        let frame = Frame::data(Bytes::from(format!("data: {data}\n\n")));
        Some((Ok(frame), (core, receiver)))
    });
    event_stream(StreamBody::new(events).boxed_unsync())
}

async fn next_cache_event(
    core: &EngineCore,
    receiver: &mut broadcast::Receiver<PrefixEvent>,
) -> Option<PrefixEvent> {
    loop {
        let event = match receiver.recv().await {
            Ok(event) => event,
            Err(broadcast::error::RecvError::Lagged(_)) => continue,
            Err(broadcast::error::RecvError::Closed) => return None,
        };
        if core.drops_cache_event() {
            continue;
        }
        let lag = core.control.switches().cache_event_lag_ms;
        tokio::time::sleep_until(event.at + std::time::Duration::from_millis(lag)).await;
        return Some(event);
    }
}

fn event_stream(body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    set_header(&mut response, CONTENT_TYPE.as_str(), "text/event-stream");
    response
}
