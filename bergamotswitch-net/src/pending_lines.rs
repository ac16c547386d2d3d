//! Provides the bounded buffer of log lines that wait to be written.

use std::collections::BTreeMap;
use std::io;

use bergamotswitch_core::incident::Incident;
use log::Level;

/// The maximum number of plain lines in a write interval. Further lines are only
/// counted, so that a burst of calls does not use up the CPU for logging.
const MAX_PLAIN_LINES: usize = 50;

/// The maximum number of priority lines in a write interval. Plain lines do not
/// count towards it.
const MAX_PRIORITY_LINES: usize = 50;

/// The buffer size up to which plain lines are accepted. It bounds the memory used
/// while the reader of the log does not read.
const MAX_PLAIN_BYTES: usize = 256 * 1024;

/// The buffer size up to which priority lines are accepted.
const MAX_PRIORITY_BYTES: usize = 320 * 1024;

/// The buffer size up to which lines are accepted once the host terminates its
/// open requests, enough for two lines per request.
const MAX_TERMINATION_BYTES: usize = 1024 * 1024;

/// The lowest event number that does not concern the process itself.
const FIRST_NON_PROCESS_EVENT: u16 = 200;

/// A `LineKind` holds the properties of a line that decide whether it is accepted.
#[derive(Clone, Copy, Debug)]
pub struct LineKind {
    /// The severity.
    pub level: Level,
    /// The event number, `None` for a line of a library.
    pub event: Option<u16>,
}

impl LineKind {
    /// Get whether the line is a warning, an error or about the process itself.
    fn is_priority(self) -> bool {
        let is_about_process = self
            .event
            .is_some_and(|event| event < FIRST_NON_PROCESS_EVENT);
        self.level <= Level::Warn || is_about_process
    }

    /// Get whether the host terminates its open requests after this event.
    fn starts_termination(self) -> bool {
        self.event == Some(Incident::GraceEnding.number())
    }
}

/// A `PendingLines` is a bounded buffer of the lines since the last write.
///
/// Plain and priority lines have separate limits, so that a burst of lines about
/// calls does not displace the warnings that show its cause. Once a planned stop
/// terminates the open requests, only the buffer size is limited: the many lines
/// of that moment cannot be written later, and there is no other work to delay.
#[derive(Debug, Default)]
pub struct PendingLines {
    bytes: Vec<u8>,
    plain: usize,
    priority: usize,
    dropped: DroppedCounts,
    is_terminating: bool,
}

/// A `DroppedCounts` is the number of dropped lines by event number, with 0 for
/// lines of libraries.
pub type DroppedCounts = BTreeMap<u16, u64>;

impl PendingLines {
    /// Add a line, or count it as dropped if a limit is reached.
    ///
    /// # Errors
    ///
    /// Returns the error of `write`.
    pub fn add(
        &mut self,
        kind: LineKind,
        write: impl FnOnce(&mut Vec<u8>) -> io::Result<()>,
    ) -> io::Result<()> {
        self.is_terminating |= kind.starts_termination();
        if !self.has_room(kind) {
            *self.dropped.entry(kind.event.unwrap_or(0)).or_default() += 1;
            return Ok(());
        }
        match kind.is_priority() {
            true => self.priority += 1,
            false => self.plain += 1,
        }
        write(&mut self.bytes)?;
        self.bytes.push(b'\n');
        Ok(())
    }

    /// Take the lines and the counts of dropped ones, and start a new interval.
    pub fn take(&mut self) -> (Vec<u8>, DroppedCounts) {
        self.plain = 0;
        self.priority = 0;
        let bytes = std::mem::take(&mut self.bytes);
        (bytes, std::mem::take(&mut self.dropped))
    }

    /// Get whether there are neither lines nor counts of dropped lines.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.dropped.is_empty()
    }

    fn has_room(&self, kind: LineKind) -> bool {
        let waiting = self.bytes.len();
        match (self.is_terminating, kind.is_priority()) {
            (true, _) => waiting < MAX_TERMINATION_BYTES,
            (false, true) => self.priority < MAX_PRIORITY_LINES && waiting < MAX_PRIORITY_BYTES,
            (false, false) => self.plain < MAX_PLAIN_LINES && waiting < MAX_PLAIN_BYTES,
        }
    }
}
