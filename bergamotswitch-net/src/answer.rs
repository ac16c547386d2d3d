//! Provides answers: what a target's attempt writes and callers read. Each
//! reader gets the answer from its beginning, so a caller that resubmits gets
//! the same whole answer as the first one.

use std::mem::size_of;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bergamotswitch_core::host::HostIncarnation;
use bergamotswitch_core::refusal::Refusal;
use bergamotswitch_core::request::RequestId;
use bytes::Bytes;
use http::HeaderMap;
use tokio::sync::watch;

use crate::input::{NodeInput, NodeSender};

/// An `AnswerPart` is one piece of an answer, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// The target's status and content type.
    Head {
        /// The HTTP status.
        status: u16,
        /// The content type, where the fields do not hold it.
        content_type: String,
        /// The target's fields that its caller gets.
        fields: HeaderMap,
    },
    /// One server-sent event's data of an engine (without `data: `), or a
    /// piece of a plain service's body.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// There will be no whole answer.
    Refused(Refusal),
    /// Another run of a host holds the request: its answer comes from there.
    /// Only the first part can say so.
    Forward(HostIncarnation),
}

impl AnswerPart {
    /// Get whether no part can follow this one.
    pub fn is_last(&self) -> bool {
        match self {
            AnswerPart::Head { .. } | AnswerPart::Data(_) => false,
            AnswerPart::End | AnswerPart::Refused(_) | AnswerPart::Forward(_) => true,
        }
    }

    /// Get whether the answer comes from another host.
    pub fn is_forward(&self) -> bool {
        matches!(self, AnswerPart::Forward(_))
    }
}

#[derive(Debug, Default)]
struct AnswerLog {
    parts: Vec<AnswerPart>,
    bytes: usize,
    /// Whether data came that was not kept, since the answer was too long.
    overlong: bool,
    /// How often the answer began anew.
    beginnings: u64,
    /// The id of the last event of a stream that another target may carry on.
    last_event: Option<String>,
}

impl AnswerLog {
    fn is_over(&self) -> bool {
        self.parts.last().is_some_and(AnswerPart::is_last)
    }
}

/// An `AnswerBound` is the most memory that an answer may take, and who is told
/// when there would be more.
#[derive(Clone, Debug)]
pub struct AnswerBound {
    /// The bytes of data, each part with its own entry.
    pub bytes: usize,
    /// The request.
    pub request: RequestId,
    /// The loop.
    pub node: NodeSender,
}

/// An `AnswerWriter` adds parts to an answer. It stays usable when no reader
/// is left: an answer that must not be made twice is kept for a resubmission.
#[derive(Clone, Debug)]
pub struct AnswerWriter {
    log: Arc<Mutex<AnswerLog>>,
    length: Arc<watch::Sender<usize>>,
    bound: Option<AnswerBound>,
}

/// An `AnswerReader` follows an answer from its beginning.
#[derive(Debug)]
pub struct AnswerReader {
    log: Arc<Mutex<AnswerLog>>,
    length: watch::Receiver<usize>,
    next: usize,
    beginning: u64,
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

    /// Get a writer of an empty answer that keeps no data beyond a bound.
    pub fn bounded(bound: AnswerBound) -> Self {
        AnswerWriter {
            bound: Some(bound),
            ..AnswerWriter::new()
        }
    }

    /// Add a part. Nothing follows the last one ([`AnswerPart::is_last`]); a
    /// later part is dropped, as is data beyond the bound, of which the loop is
    /// told once.
    pub fn push(&self, part: AnswerPart) {
        let mut log = lock(&self.log);
        if log.is_over() {
            return;
        }
        if let AnswerPart::Data(data) = &part {
            let bytes = log.bytes + data.len() + size_of::<AnswerPart>();
            if let Some(bound) = &self.bound
                && bytes > bound.bytes
            {
                return note_overlong(&mut log, bound);
            }
            log.bytes = bytes;
        }
        log.parts.push(part);
        let len = log.parts.len();
        drop(log);
        self.length.send_replace(len);
    }

    /// Add an event of a stream that another target may carry on after it.
    pub fn push_event(&self, bytes: Bytes, id: Option<String>) {
        if id.is_some() {
            lock(&self.log).last_event = id;
        }
        self.push(AnswerPart::Data(bytes));
    }

    /// Get the number of pieces of data kept.
    pub fn pieces(&self) -> usize {
        let log = lock(&self.log);
        let data = |part: &&AnswerPart| matches!(part, AnswerPart::Data(_));
        log.parts.iter().filter(data).count()
    }

    /// Get the id of the last event that was added.
    pub fn last_event(&self) -> Option<String> {
        lock(&self.log).last_event.clone()
    }

    /// Drop what was written: an attempt failed before any caller saw it.
    pub fn clear(&self) {
        let mut log = lock(&self.log);
        log.parts.clear();
        log.bytes = 0;
        log.overlong = false;
        log.beginnings += 1;
        log.last_event = None;
        drop(log);
        self.length.send_replace(0);
    }

    /// Get the bytes of data kept, each part with its own entry.
    pub fn bytes(&self) -> usize {
        lock(&self.log).bytes
    }

    /// Get whether data came that was beyond the bound.
    pub fn is_overlong(&self) -> bool {
        lock(&self.log).overlong
    }

    /// Get a reader from the answer's beginning.
    pub fn reader(&self) -> AnswerReader {
        AnswerReader {
            log: Arc::clone(&self.log),
            length: self.length.subscribe(),
            next: 0,
            beginning: 0,
        }
    }
}

fn note_overlong(log: &mut AnswerLog, bound: &AnswerBound) {
    if log.overlong {
        return;
    }
    log.overlong = true;
    // Without a loop nobody waits for the answer either.
    let _ = bound.node.send(NodeInput::AnswerTooLong(bound.request));
}

impl Default for AnswerWriter {
    fn default() -> Self {
        AnswerWriter::new()
    }
}

impl AnswerReader {
    /// Get the next part, waiting for it; `None` after the last one, where the
    /// answer was dropped unfinished, or where it began anew after a part was
    /// taken: what follows then belongs to another attempt, and behind the
    /// parts taken it would pass for a whole answer that no target gave.
    /// To read an answer that may still begin anew, use [`AnswerReader::whole`].
    pub async fn next(&mut self) -> Option<AnswerPart> {
        loop {
            self.length.mark_unchanged();
            {
                let log = lock(&self.log);
                if self.next == 0 {
                    self.beginning = log.beginnings;
                }
                if self.beginning != log.beginnings {
                    return None;
                }
                if let Some(part) = log.parts.get(self.next) {
                    self.next += 1;
                    return Some(part.clone());
                }
            }
            if self.length.changed().await.is_err() {
                return None;
            }
        }
    }

    /// Wait until the answer is over, or has parts of which `shows` says that
    /// the caller can be shown them. Get the answer's first part then,
    /// without passing it; none where the answer was dropped unfinished. What
    /// is taken earlier could belong to an attempt that is dropped.
    pub async fn begun(&mut self, shows: impl Fn(&[AnswerPart]) -> bool) -> Option<AnswerPart> {
        loop {
            self.length.mark_unchanged();
            let first = {
                let log = lock(&self.log);
                let begun = log.is_over() || shows(&log.parts);
                begun.then(|| log.parts.first().cloned())
            };
            if let Some(first) = first {
                return first;
            }
            if self.length.changed().await.is_err() {
                return None;
            }
        }
    }

    /// Wait until the answer is over, and get all its parts. Parts of an
    /// attempt that was dropped on the way are never seen.
    pub async fn whole(mut self) -> Vec<AnswerPart> {
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
