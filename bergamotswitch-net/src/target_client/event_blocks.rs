//! Provides the splitting of a server-sent event stream into unmodified events
//! with their places in the stream.

use bergamotswitch_core::event_order::EventPlace;
use bytes::{Bytes, BytesMut};

/// An `EventBlock` is one complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventBlock {
    /// The bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// The place that the event states.
    pub place: EventPlace,
}

/// An `EventSplitter` splits a stream into complete events. A partial event is
/// never forwarded: if the target stops within an event, another target resumes
/// after the last complete one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scan: BlockScan,
}

/// A `BlockScan` is the progress of the search for the end of the first event.
/// It ensures that each byte of a long event is scanned only once.
#[derive(Clone, Copy, Debug, Default)]
struct BlockScan {
    /// The number of bytes scanned.
    seen: usize,
    /// Whether the event has a non-empty line.
    has_line: bool,
    /// Whether the current line has a byte.
    in_line: bool,
}

impl EventSplitter {
    /// Add a chunk of the body.
    pub fn add(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Get the number of buffered bytes that do not form a complete event yet.
    pub fn rest_len(&self) -> usize {
        self.buffer.len()
    }

    /// Get whether the buffer has a partial event.
    pub fn is_in_event(&self) -> bool {
        self.scan.has_line
    }

    /// Take the buffered bytes that do not form a complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.scan = BlockScan::default();
        self.buffer.split().freeze()
    }
}

impl Iterator for EventSplitter {
    type Item = EventBlock;

    /// Get the next complete event.
    fn next(&mut self) -> Option<EventBlock> {
        let end = self.scan.end(&self.buffer)?;
        self.scan = BlockScan::default();
        let bytes = self.buffer.split_to(end).freeze();
        let place = event_place(&bytes);
        Some(EventBlock { bytes, place })
    }
}

impl BlockScan {
    /// Get the end of the first event, after its blank line.
    fn end(&mut self, bytes: &[u8]) -> Option<usize> {
        for byte in &bytes[self.seen..] {
            self.seen += 1;
            match byte {
                b'\n' if !self.in_line && self.has_line => return Some(self.seen),
                b'\n' => self.in_line = false,
                b'\r' => {}
                _ => {
                    self.in_line = true;
                    self.has_line = true;
                }
            }
        }
        None
    }
}

fn event_place(block: &[u8]) -> EventPlace {
    let mut lines = block.split(|byte| *byte == b'\n');
    let value = lines.clone().find_map(|line| line.strip_prefix(b"id:"));
    let text = value.and_then(|value| std::str::from_utf8(value).ok());
    if let Some(Ok(id)) = text.map(|text| text.trim().parse()) {
        return EventPlace::Numbered(id);
    }
    match lines.any(|line| line.starts_with(b"data")) {
        true => EventPlace::Unnumbered,
        false => EventPlace::Empty,
    }
}
