//! Provides the events of a stream as their target wrote them, byte for byte,
//! with their ids.

use bytes::{Bytes, BytesMut};

/// An `EventBlock` is one whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventBlock {
    /// Its bytes, the blank line that ends it included.
    pub bytes: Bytes,
    /// Its id, where it has one.
    pub id: Option<String>,
}

/// An `EventSplitter` cuts a stream into whole events. Half an event is never
/// passed on: a target may break off in the middle of one, and another target
/// goes on after the last whole one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scan: BlockScan,
}

/// A `BlockScan` is how far the first event was looked through: a long event
/// comes in many pieces, and each byte of it is looked at once.
#[derive(Clone, Copy, Debug, Default)]
struct BlockScan {
    /// The bytes looked at.
    seen: usize,
    /// Whether the event has a line.
    has_line: bool,
    /// Whether the line looked at has a byte.
    in_line: bool,
}

impl EventSplitter {
    /// Add bytes as they came.
    pub fn add(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Get the bytes that form no whole event yet.
    pub fn rest_len(&self) -> usize {
        self.buffer.len()
    }

    /// Get whether an event has begun that is not whole yet.
    pub fn is_in_event(&self) -> bool {
        self.scan.has_line
    }

    /// Take the bytes that form no whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.scan = BlockScan::default();
        self.buffer.split().freeze()
    }
}

impl Iterator for EventSplitter {
    type Item = EventBlock;

    /// Get the next whole event.
    fn next(&mut self) -> Option<EventBlock> {
        let end = self.scan.end(&self.buffer)?;
        self.scan = BlockScan::default();
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(EventBlock { bytes, id })
    }
}

impl BlockScan {
    /// Get where the first event ends: behind its blank line.
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

fn event_id(block: &[u8]) -> Option<String> {
    let mut lines = block.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(value).ok()?;
    Some(text.trim().to_owned())
}
