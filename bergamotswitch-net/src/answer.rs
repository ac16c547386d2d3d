//! Provides answer buffers: an attempt at a target writes an answer, callers read it.
//! Each reader starts with the first part, so a caller that resubmits a request gets
//! the same complete answer as the first one.

use std::mem::size_of;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bergamotswitch_core::event_order::{EventId, EventPlace};
use bergamotswitch_core::host::HostIncarnation;
use bergamotswitch_core::refusal::Refusal;
use bergamotswitch_core::request::RequestId;
use bytes::Bytes;
use http::HeaderMap;
use tokio::sync::watch;

use crate::input::{NodeInput, NodeSender};

/// An `AnswerPart` is one part of an answer, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// The status and headers.
    Head {
        /// The HTTP status.
        status: u16,
        /// The content type, if `fields` does not contain it.
        content_type: String,
        /// The header fields that are passed on to the caller.
        fields: HeaderMap,
    },
    /// The data of one server-sent event of an engine (without `data: `), or a
    /// chunk of a plain service's body.
    Data(Bytes),
    /// The answer is complete.
    End,
    /// The answer will not be completed.
    Refused(Refusal),
    /// Another host incarnation holds the request and its answer. Always the first
    /// part.
    Forward(HostIncarnation),
}

impl AnswerPart {
    /// Get whether this is the last part of an answer.
    pub fn is_last(&self) -> bool {
        match self {
            AnswerPart::Head { .. } | AnswerPart::Data(_) => false,
            AnswerPart::End | AnswerPart::Refused(_) | AnswerPart::Forward(_) => true,
        }
    }

    /// Get whether the answer must be read from another host.
    pub fn is_forward(&self) -> bool {
        matches!(self, AnswerPart::Forward(_))
    }
}

#[derive(Debug, Default)]
struct AnswerLog {
    parts: Vec<AnswerPart>,
    bytes: usize,
    /// Whether data was dropped because the answer exceeded its limit.
    overlong: bool,
    /// The number of times that the answer was cleared.
    generation: u64,
    /// The id of the last event of a stream that another target may resume.
    last_event_id: Option<EventId>,
}

impl AnswerLog {
    fn is_over(&self) -> bool {
        self.parts.last().is_some_and(AnswerPart::is_last)
    }
}

/// An `AnswerBound` is the memory limit of an answer, and the event loop to
/// notify when it is exceeded.
#[derive(Clone, Debug)]
pub struct AnswerBound {
    /// The limit in bytes of data, including the size of each part's entry.
    pub bytes: usize,
    /// The request.
    pub request: RequestId,
    /// The sender to the event loop.
    pub node: NodeSender,
}

/// An `AnswerWriter` appends parts to an answer. It works without readers,
/// since the answer of a non-idempotent request is retained for a resubmission.
#[derive(Clone, Debug)]
pub struct AnswerWriter {
    log: Arc<Mutex<AnswerLog>>,
    length: Arc<watch::Sender<usize>>,
    bound: Option<AnswerBound>,
}

/// An `AnswerReader` reads an answer from its start.
#[derive(Debug)]
pub struct AnswerReader {
    log: Arc<Mutex<AnswerLog>>,
    length: watch::Receiver<usize>,
    next: usize,
    /// The generation of the first part that was returned.
    generation: Option<u64>,
}

fn lock(log: &Mutex<AnswerLog>) -> MutexGuard<'_, AnswerLog> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AnswerWriter {
    /// Get a writer of an empty answer.
    pub fn new() -> Self {
        AnswerWriter {
            log: Arc::default(),
            length: Arc::new(watch::Sender::new(0)),
            bound: None,
        }
    }

    /// Get a writer of an empty answer that drops data beyond a limit.
    pub fn bounded(bound: AnswerBound) -> Self {
        AnswerWriter {
            bound: Some(bound),
            ..AnswerWriter::new()
        }
    }

    /// Append a part. A part after the last one ([`AnswerPart::is_last`]) is
    /// dropped, as is data from the first part on that exceeds the limit, of
    /// which the event loop is notified.
    pub fn push(&self, part: AnswerPart) {
        let mut log = lock(&self.log);
        if log.is_over() {
            return;
        }
        if let AnswerPart::Data(data) = &part {
            // Data that fits must not follow data that was dropped.
            if log.overlong {
                return;
            }
            let bytes = log.bytes + data.len() + size_of::<AnswerPart>();
            if let Some(bound) = &self.bound
                && bytes > bound.bytes
            {
                return report_overlong(&mut log, bound);
            }
            log.bytes = bytes;
        }
        log.parts.push(part);
        let len = log.parts.len();
        drop(log);
        self.length.send_replace(len);
    }

    /// Append an event of a stream. Another target may resume the stream after
    /// this event if it has an id.
    pub fn push_event(&self, bytes: Bytes, place: EventPlace) {
        match place {
            EventPlace::Numbered(id) => lock(&self.log).last_event_id = Some(id),
            // Resumed after an earlier event, the stream would repeat this one.
            EventPlace::Unnumbered => lock(&self.log).last_event_id = None,
            EventPlace::Empty => {}
        }
        self.push(AnswerPart::Data(bytes));
    }

    /// Get the number of data parts in the buffer.
    pub fn data_part_count(&self) -> usize {
        let log = lock(&self.log);
        let data = |part: &&AnswerPart| matches!(part, AnswerPart::Data(_));
        log.parts.iter().filter(data).count()
    }

    /// Get the id of the last appended event, or `None` if no other target may
    /// resume the stream.
    pub fn last_event_id(&self) -> Option<EventId> {
        lock(&self.log).last_event_id
    }

    /// Clear the answer after an attempt failed before any caller saw a part of
    /// it.
    pub fn clear(&self) {
        let mut log = lock(&self.log);
        log.parts.clear();
        log.bytes = 0;
        log.overlong = false;
        log.generation += 1;
        log.last_event_id = None;
        drop(log);
        self.length.send_replace(0);
    }

    /// Get the bytes of data in the buffer, including the size of each part's
    /// entry.
    pub fn bytes(&self) -> usize {
        lock(&self.log).bytes
    }

    /// Get whether data beyond the limit was dropped.
    pub fn is_overlong(&self) -> bool {
        lock(&self.log).overlong
    }

    /// Get a reader at the start of the answer.
    pub fn reader(&self) -> AnswerReader {
        AnswerReader {
            log: Arc::clone(&self.log),
            length: self.length.subscribe(),
            next: 0,
            generation: None,
        }
    }
}

fn report_overlong(log: &mut AnswerLog, bound: &AnswerBound) {
    log.overlong = true;
    // Sending fails only if the event loop has ended, when no caller waits for the
    // answer.
    let _ = bound.node.send(NodeInput::AnswerTooLong(bound.request));
}

impl Default for AnswerWriter {
    fn default() -> Self {
        AnswerWriter::new()
    }
}

impl AnswerReader {
    /// Wait for the next part and get it. Returns `None` after the last part,
    /// if the writer was dropped before the answer was complete, or if the
    /// answer was cleared after a part was read or returned by
    /// [`AnswerReader::wait_for_start`]: parts of another attempt must not
    /// follow it. Use [`AnswerReader::collect`] for an
    /// answer that may still be cleared.
    pub async fn next(&mut self) -> Option<AnswerPart> {
        loop {
            self.length.mark_unchanged();
            {
                let log = lock(&self.log);
                if self.generation.is_some_and(|known| known != log.generation) {
                    return None;
                }
                if let Some(part) = log.parts.get(self.next) {
                    self.generation = Some(log.generation);
                    self.next += 1;
                    return Some(part.clone());
                }
            }
            if self.length.changed().await.is_err() {
                return None;
            }
        }
    }

    /// Wait until the answer is complete or `is_ready` accepts its parts, then get
    /// the first part without consuming it. Returns `None` if the writer was
    /// dropped before that. Parts read earlier could belong to an attempt that
    /// is discarded.
    pub async fn wait_for_start(
        &mut self,
        is_ready: impl Fn(&[AnswerPart]) -> bool,
    ) -> Option<AnswerPart> {
        loop {
            self.length.mark_unchanged();
            let first = {
                let log = lock(&self.log);
                let has_started = log.is_over() || is_ready(&log.parts);
                has_started.then(|| (log.parts.first().cloned(), log.generation))
            };
            if let Some((first, generation)) = first {
                self.generation = Some(generation);
                return first;
            }
            if self.length.changed().await.is_err() {
                return None;
            }
        }
    }

    /// Wait until the answer is complete and get all its parts. Parts of
    /// discarded attempts are never returned.
    pub async fn collect(mut self) -> Vec<AnswerPart> {
        loop {
            self.length.mark_unchanged();
            let parts = {
                let log = lock(&self.log);
                log.is_over().then(|| log.parts.clone())
            };
            if let Some(parts) = parts {
                return parts;
            }
            if self.length.changed().await.is_err() {
                return Vec::new();
            }
        }
    }
}
