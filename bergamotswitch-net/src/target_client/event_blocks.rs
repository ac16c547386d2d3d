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

/// An `EventBlocks` cuts a stream into whole events. Half an event is never
/// passed on: a target may break off in the middle of one, and another target
/// goes on after the last whole one.
#[derive(Debug, Default)]
pub struct EventBlocks {
    buffer: BytesMut,
}

impl EventBlocks {
    /// Add bytes as they came.
    pub fn add(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Get the bytes that form no whole event yet.
    pub fn rest_len(&self) -> usize {
        self.buffer.len()
    }

    /// Take the bytes that form no whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

impl Iterator for EventBlocks {
    type Item = EventBlock;

    /// Get the next whole event.
    fn next(&mut self) -> Option<EventBlock> {
        let end = block_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(EventBlock { bytes, id })
    }
}

/// Get where the first event ends: behind its blank line.
fn block_end(bytes: &[u8]) -> Option<usize> {
    let mut line_is_empty = true;
    let mut seen_line = false;
    for (index, byte) in bytes.iter().enumerate() {
        match byte {
            b'\n' if line_is_empty && seen_line => return Some(index + 1),
            b'\n' => line_is_empty = true,
            b'\r' => {}
            _ => {
                line_is_empty = false;
                seen_line = true;
            }
        }
    }
    None
}

fn event_id(block: &[u8]) -> Option<String> {
    let mut lines = block.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(value).ok()?;
    Some(text.trim().to_owned())
}
