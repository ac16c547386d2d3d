//! Provides answers as server-sent events, for callers that request a stream.

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

pub(super) const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// A chunk of bytes in the body of an event stream.
pub(super) type EventBytes = Result<Bytes, Infallible>;

/// Write an event stream into a response.
pub(super) fn write_stream(events: BoxStream<'static, EventBytes>, res: &mut Response) {
    let headers = res.headers_mut();
    let content_type = HeaderValue::from_static(EVENT_STREAM_TYPE);
    headers.insert(header::CONTENT_TYPE, content_type);
    // A cache between host and caller could delay the answer or serve it for
    // another request.
    let no_store = HeaderValue::from_static("no-store");
    headers.insert(header::CACHE_CONTROL, no_store);
    res.replace_body(ResBody::stream(events));
}

/// Get an answer as events. `usage` is whether the caller requested the usage
/// chunk.
pub(super) fn answer_events(
    follower: AnswerFollower,
    usage: bool,
) -> BoxStream<'static, EventBytes> {
    let events = stream::unfold(Some(follower), move |follower| async move {
        let mut follower = follower?;
        loop {
            match follower.next().await {
                // The head has been sent before the events.
                AnswerPart::Head { .. } => {}
                AnswerPart::Data(data) if is_hidden(&data, usage) => {}
                AnswerPart::Data(data) => return Some((Ok(data_event(&data)), Some(follower))),
                AnswerPart::End => return Some((Ok(data_event(DONE_MARK)), None)),
                AnswerPart::Refused(refusal) => {
                    let page = RefusalPage::new(refusal);
                    return Some((Ok(error_event(&page.json_text())), None));
                }
                // `Forward` can only be the first part, and is handled before the events
                // are sent.
                AnswerPart::Forward(_) => return None,
            }
        }
    });
    events.boxed()
}

/// Get a stream with one event that reports a refusal.
pub(super) fn refusal_events(page: &RefusalPage) -> BoxStream<'static, EventBytes> {
    error_events(&page.json_text())
}

/// Get a stream with one event that reports an error.
pub(super) fn error_events(text: &str) -> BoxStream<'static, EventBytes> {
    stream::iter([Ok(error_event(text))]).boxed()
}

/// Get a comment of an event stream, which event parsers ignore.
pub(super) fn comment(text: &str) -> Bytes {
    Bytes::from(format!(": {text}\n\n"))
}

/// Get an event that reports why the answer is incomplete.
pub(super) fn error_event(text: &str) -> Bytes {
    // A line break would end the event's data; in JSON text it can be replaced
    // by a space.
    let line = text.replace(['\r', '\n'], " ");
    Bytes::from(format!("event: error\ndata: {line}\n\n"))
}

/// Get an event with the given data. Each line of the data needs the field
/// name, or parsers would ignore it.
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

/// Get whether a chunk is withheld from the caller: the engine's own end mark,
/// and a usage chunk that the caller did not request. Some client libraries
/// fail on chunks without choices.
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

fn contains(data: &[u8], needle: &[u8]) -> bool {
    data.windows(needle.len()).any(|window| window == needle)
}
