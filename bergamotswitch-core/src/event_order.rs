//! Provides the order of a stream's events, across the runs that bring them.

use std::fmt;
use std::str::FromStr;

/// An `EventId` is the id of a stream's event. Ids increase within a stream, not necessarily
/// by one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventId(u64);

/// A `MalformedEventId` is returned for a text that is no event id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedEventId;

impl fmt::Display for MalformedEventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an event id is a decimal number")
    }
}

impl std::error::Error for MalformedEventId {}

impl FromStr for EventId {
    type Err = MalformedEventId;

    fn from_str(text: &str) -> Result<Self, MalformedEventId> {
        let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit());
        let number = text.parse().ok().filter(|_| is_decimal);
        number.map(EventId).ok_or(MalformedEventId)
    }
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// An `EventPlace` is what an event states of its place in the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventPlace {
    /// The event has this id.
    Numbered(EventId),
    /// The event has data, but no id by which the stream could be resumed after it.
    Unnumbered,
    /// The event has neither data nor an id, such as a comment.
    Empty,
}

/// An `EventOrder` checks the order of the events of one run.
#[derive(Clone, Debug)]
pub struct EventOrder {
    last: Option<EventId>,
    /// Whether the run has yet to show that it goes on after the last event.
    is_unconfirmed: bool,
}

impl EventOrder {
    /// Get the order of a run that goes on after an event, or begins the stream.
    pub fn after(last: Option<EventId>) -> Self {
        EventOrder {
            last,
            is_unconfirmed: last.is_some(),
        }
    }

    /// Add the next event. Returns whether it may be passed on: its id is higher than all
    /// earlier ones, or it has none and the run is known to go on where it should.
    pub fn accept(&mut self, place: EventPlace) -> bool {
        match place {
            EventPlace::Numbered(id) if self.last.is_some_and(|last| id <= last) => false,
            EventPlace::Numbered(id) => {
                self.last = Some(id);
                self.is_unconfirmed = false;
                true
            }
            EventPlace::Unnumbered => !self.is_unconfirmed,
            EventPlace::Empty => true,
        }
    }
}
