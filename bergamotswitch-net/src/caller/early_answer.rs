//! Provides streams whose head is sent before the request is submitted to the
//! event loop, so that the caller knows this host's incarnation before any
//! dispatch.

use std::sync::Arc;

use bergamotswitch_core::entry::Submission;
use bergamotswitch_core::host::HostIncarnation;
use bytes::Bytes;
use futures_util::stream::{self, BoxStream, StreamExt};
use http::header;
use http_body_util::{BodyExt, BodyStream};
use hyper::body::Incoming;
use tokio::task::yield_now;

use super::buffered_answer::{BufferedAnswer, begins_stream, is_engine_stream};
use super::context::{CallerContext, answer_dropped};
use super::event_stream::{
    EventBytes, answer_events, comment, error_event, error_events, refusal_events,
};
use super::fields::{INCARNATION_FIELD, REQUEST_ID_FIELD};
use super::forward::{OriginalCall, forward};
use super::submit::{CheckedCall, SubmittedCall, submit};
use crate::answer::AnswerPart;
use crate::follower::{AnswerFollower, has_output};
use crate::target_client::event_blocks::EventSplitter;

/// Get whether the caller must receive this host's incarnation before the
/// request can be dispatched.
///
/// This holds for requests that must not run twice. If the connection broke
/// before the caller knew the incarnation, the caller's retry at another host
/// would look like a new request and run a second time.
pub(super) fn needs_early_head(submission: &Submission) -> bool {
    !submission.may_rerun() && submission.key.is_some() && submission.holder.is_none()
}

/// Get the events of a request whose caller receives this host's incarnation
/// first. The request is submitted only after the first event has been written.
pub(super) fn early_events(
    context: Arc<CallerContext>,
    checked: CheckedCall,
    usage: bool,
) -> BoxStream<'static, EventBytes> {
    let incarnation = comment(&format!(
        "{INCARNATION_FIELD} {}",
        context.this_host.incarnation
    ));
    let first_event = stream::iter([Ok(incarnation)]);
    let rest = stream::once(async move {
        // The connection polls for further events before it writes the first
        // one. Yielding once lets it write before the request can be
        // dispatched.
        yield_now().await;
        submitted_events(context, checked, usage).await
    });
    first_event.chain(rest.flatten()).boxed()
}

async fn submitted_events(
    context: Arc<CallerContext>,
    checked: CheckedCall,
    usage: bool,
) -> BoxStream<'static, EventBytes> {
    let CheckedCall {
        submission,
        call,
        original,
    } = checked;
    let follower = match submit(&context, submission, call).await {
        SubmittedCall::Local(follower) => *follower,
        SubmittedCall::Refused(page) => return refusal_events(&page),
        SubmittedCall::Remote(holder) => return holder_events(&context, &original, &holder).await,
    };
    let id = comment(&format!("{REQUEST_ID_FIELD} {}", follower.id()));
    let first_event = stream::iter([Ok(id)]);
    let rest = stream::once(follower_events(context, follower, original, usage));
    first_event.chain(rest.flatten()).boxed()
}

async fn follower_events(
    context: Arc<CallerContext>,
    mut follower: AnswerFollower,
    original: OriginalCall,
    usage: bool,
) -> BoxStream<'static, EventBytes> {
    if begins_stream(&follower.wait_first_part(has_output).await) {
        return answer_events(follower, usage);
    }
    let mut parts = follower.collect_parts().await;
    if let Some(AnswerPart::Forward(holder)) = parts.pop_if(|part| part.is_forward()) {
        return holder_events(&context, &original.into_resubmission(), &holder).await;
    }
    match BufferedAnswer::from_parts(parts) {
        Ok(answer) => error_events(&answer.text()),
        Err(page) => refusal_events(&page),
    }
}

/// Get the events of a request that another host holds.
///
/// The caller has received the incarnation of this host, which does not hold
/// the request: a retry that named it would be answered with `outcome-unknown`
/// although the holder still has the answer. So the incarnation of the holder
/// is sent before its events.
async fn holder_events(
    context: &CallerContext,
    original: &OriginalCall,
    holder: &HostIncarnation,
) -> BoxStream<'static, EventBytes> {
    match forward(context, original, holder).await {
        Ok(answer) => {
            let incarnation = comment(&format!("{INCARNATION_FIELD} {holder}"));
            let first_event = stream::iter([Ok(incarnation)]);
            first_event.chain(forwarded_events(answer).await).boxed()
        }
        Err(page) => refusal_events(&page),
    }
}

/// Get another host's answer as events: a stream as it arrives, a refusal as an
/// error event.
async fn forwarded_events(answer: http::Response<Incoming>) -> BoxStream<'static, EventBytes> {
    let content_type = answer
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    if is_engine_stream(answer.status().as_u16(), content_type) {
        return forwarded_stream(answer.into_body());
    }
    match answer.into_body().collect().await {
        Ok(body) => error_events(&String::from_utf8_lossy(&body.to_bytes())),
        Err(_) => refusal_events(&answer_dropped()),
    }
}

/// Get the complete events of a forwarded stream. If the connection fails, the
/// last event is an error, so that the caller does not take the answer for
/// complete.
fn forwarded_stream(body: Incoming) -> BoxStream<'static, EventBytes> {
    let mut splitter = EventSplitter::default();
    let events = BodyStream::new(body).map(move |frame| match frame {
        Ok(frame) => {
            splitter.add(&frame.into_data().unwrap_or_default());
            let events: Vec<Bytes> = splitter.by_ref().map(|event| event.bytes).collect();
            Ok(Bytes::from(events.concat()))
        }
        Err(_) => Ok(error_event(&answer_dropped().json_text())),
    });
    events.boxed()
}
