//! Provides answers as server-sent events, for callers that want a stream.

use std::convert::Infallible;

use bytes::Bytes;
use futures_util::stream::{self, BoxStream, StreamExt};
use http::{HeaderValue, header};
use salvo::Response;
use salvo::http::ResBody;
use serde_json::Value;

use super::assembly::DONE_MARK;
use super::refusal_page::RefusalPage;
use crate::answer::AnswerPart;
use crate::follower::AnswerFollower;

/// The content type of streams.
pub(super) const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// A piece of a stream's body.
pub(super) type EventBytes = Result<Bytes, Infallible>;

/// Write a stream into a response.
pub(super) fn write_stream(events: BoxStream<'static, EventBytes>, res: &mut Response) {
    let headers = res.headers_mut();
    let content_type = HeaderValue::from_static(EVENT_STREAM_TYPE);
    headers.insert(header::CONTENT_TYPE, content_type);
    // A cache between the two ends would hold back or repeat another
    // request's answer.
    let no_store = HeaderValue::from_static("no-store");
    headers.insert(header::CACHE_CONTROL, no_store);
    res.replace_body(ResBody::stream(events));
}

/// Get an answer as events. `usage` says whether the caller wants the usage
/// at the end.
pub(super) fn answer_events(
    follower: AnswerFollower,
    usage: bool,
) -> BoxStream<'static, EventBytes> {
    let events = stream::unfold(Some(follower), move |follower| async move {
        let mut follower = follower?;
        loop {
            match follower.next().await {
                // The head was sent already.
                AnswerPart::Head { .. } => {}
                AnswerPart::Data(data) if is_hidden(&data, usage) => {}
                AnswerPart::Data(data) => return Some((Ok(data_event(&data)), Some(follower))),
                AnswerPart::End => return Some((Ok(data_event(DONE_MARK)), None)),
                AnswerPart::Refused(refusal) => {
                    let page = RefusalPage::new(refusal);
                    return Some((Ok(error_event(&page.json_text())), None));
                }
                // Only a first part can say so, and that was seen before.
                AnswerPart::Forward(_) => return None,
            }
        }
    });
    events.boxed()
}

/// Get a stream of one event that tells a refusal.
pub(super) fn refusal_events(page: &RefusalPage) -> BoxStream<'static, EventBytes> {
    error_events(&page.json_text())
}

/// Get a stream of one event that tells an error.
pub(super) fn error_events(text: &str) -> BoxStream<'static, EventBytes> {
    stream::iter([Ok(error_event(text))]).boxed()
}

/// Get a comment: it reaches the caller, and event parsers pass over it.
pub(super) fn comment(text: &str) -> Bytes {
    Bytes::from(format!(": {text}\n\n"))
}

/// Get an event that says why there is no whole answer.
pub(super) fn error_event(text: &str) -> Bytes {
    // A line break would end the data early; in JSON it is only a blank.
    let line = text.replace(['\r', '\n'], " ");
    Bytes::from(format!("event: error\ndata: {line}\n\n"))
}

/// Get an event with data. Data with line breaks takes several lines; a line
/// without its field's name would be lost to the caller.
fn data_event(data: &[u8]) -> Bytes {
    let mut event = Vec::with_capacity(data.len() + 8);
    for line in data.split(|byte| *byte == b'\n') {
        event.extend_from_slice(b"data: ");
        event.extend_from_slice(line);
        event.push(b'\n');
    }
    event.push(b'\n');
    Bytes::from(event)
}

/// Get whether the caller is not shown a chunk: the engine's own end mark,
/// and the usage that the host asked for but the caller did not. Many client
/// libraries fail on a chunk without choices that they did not ask for.
fn is_hidden(data: &[u8], usage: bool) -> bool {
    if data.trim_ascii() == DONE_MARK {
        return true;
    }
    if usage || !contains(data, b"\"usage\"") {
        return false;
    }
    let Ok(Value::Object(chunk)) = serde_json::from_slice(data) else {
        return false;
    };
    let has_usage = chunk.get("usage").is_some_and(Value::is_object);
    let no_choices = chunk
        .get("choices")
        .and_then(Value::as_array)
        .is_some_and(Vec::is_empty);
    has_usage && no_choices
}

fn contains(data: &[u8], wanted: &[u8]) -> bool {
    data.windows(wanted.len()).any(|window| window == wanted)
}
