//! Provides the responses of an engine: completions, streamed or as one body,
//! and the stream of cache events.

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

/// A `StreamCursor` is the position of one connection in the events of a run.
struct StreamCursor {
    caller: CallerGuard,
    progress: watch::Receiver<RunProgress>,
    /// The request id and the body digest used in the response.
    identity: (String, u64),
    /// The number of the next event. The terminator has the number after the
    /// last token's.
    next: u32,
    /// The number of events sent on this connection.
    sent: u32,
}

impl StreamCursor {
    async fn next_event(&mut self) -> Option<Result<Bytes, CloseError>> {
        let tokens = self.caller.run.shape.output_tokens;
        loop {
            let switches = self.caller.core.control.switches();
            if switches.drop.is_some_and(|limit| self.sent >= limit) {
                // Yielding lets the events so far be flushed, so that the
                // connection closes in the middle of the response.
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

/// A `CallerGuard` stops a run when its caller's connection closes, unless the
/// stream can be resumed.
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
        // Without resuming, the rest of the output cannot be requested again.
        // Engines abort such a run when its caller disconnects.
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

/// Get the response that streams the events of a run after `offset`.
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

/// Wait for the end of a run, and get the request id and the complete answer as
/// one JSON value, or `None` if the run did not finish.
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

/// Get the response that streams cache events, delayed and incomplete according
/// to the switches.
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
