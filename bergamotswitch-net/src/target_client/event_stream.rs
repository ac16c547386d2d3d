//! Provides a parser of server-sent events with bounded memory.

use std::fmt;

use bytes::{Buf, Bytes, BytesMut};

/// The maximum size of one event. A target that never ends an event must not
/// exhaust the host's memory.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// A `ServerEvent` is one event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEvent {
    /// The event's number, if it has a numeric id.
    pub id: Option<u64>,
    /// The event's data.
    pub data: Bytes,
}

/// An `EventTooLarge` is the error for an event of more than
/// [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

impl fmt::Display for EventTooLarge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event exceeds {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for EventTooLarge {}

/// An `EventParser` parses the chunks of a body into events.
#[derive(Debug, Default)]
pub struct EventParser {
    unread: BytesMut,
    scanned: usize,
    id: Option<u64>,
    data: Option<BytesMut>,
}

impl EventParser {
    /// Get a parser at the start of a stream.
    pub fn new() -> Self {
        EventParser::default()
    }

    /// Add the next chunk of the body.
    pub fn feed(&mut self, chunk: &[u8]) {
        self.unread.extend_from_slice(chunk);
    }

    /// Try to get the next complete event, or `None` until more is fed.
    ///
    /// # Errors
    ///
    /// Returns an error if the event is too large.
    pub fn next_event(&mut self) -> Result<Option<ServerEvent>, EventTooLarge> {
        while let Some(line) = self.next_line()? {
            // A blank line ends an event. An event without data is ignored.
            if line.is_empty() {
                let id = self.id.take();
                if let Some(data) = self.data.take() {
                    let data = data.freeze();
                    return Ok(Some(ServerEvent { id, data }));
                }
                continue;
            }
            self.read_field(&line)?;
        }
        Ok(None)
    }

    fn next_line(&mut self) -> Result<Option<Bytes>, EventTooLarge> {
        let fresh = &self.unread[self.scanned..];
        let Some(offset) = fresh.iter().position(|byte| *byte == b'\n') else {
            self.scanned = self.unread.len();
            return match self.scanned > MAX_EVENT_BYTES {
                true => Err(EventTooLarge),
                false => Ok(None),
            };
        };
        let mut line = self.unread.split_to(self.scanned + offset);
        self.unread.advance(1);
        self.scanned = 0;
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        Ok(Some(line.freeze()))
    }

    fn read_field(&mut self, line: &Bytes) -> Result<(), EventTooLarge> {
        // A field's name ends at the first colon; one space after the colon is
        // ignored. The line of a comment starts with the colon.
        let colon = line.iter().position(|byte| *byte == b':');
        let name_len = colon.unwrap_or(line.len());
        let mut value = &line[colon.map_or(line.len(), |at| at + 1)..];
        if let Some(b' ') = value.first() {
            value = &value[1..];
        }
        match &line[..name_len] {
            b"id" => self.id = std::str::from_utf8(value).ok().and_then(|t| t.parse().ok()),
            b"data" => self.add_data(value)?,
            _ => {}
        }
        Ok(())
    }

    fn add_data(&mut self, value: &[u8]) -> Result<(), EventTooLarge> {
        // The values of multiple data lines are joined with line feeds.
        let data = match &mut self.data {
            Some(data) => {
                data.extend_from_slice(b"\n");
                data
            }
            None => self.data.insert(BytesMut::new()),
        };
        if data.len() + value.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        data.extend_from_slice(value);
        Ok(())
    }
}
