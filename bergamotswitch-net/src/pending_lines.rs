//! Provides the log lines that wait to be written, and which of them are left
//! out.

use std::collections::BTreeMap;
use std::io;

use bergamotswitch_core::incident::Incident;
use log::Level;

/// The most plain lines in one interval of 0.1 s: 500 a second. A host of today
/// answers 40 calls a second with up to three lines each; beyond, lines are
/// counted only, so that a burst does not spend the processor on its own log.
const MAX_PLAIN_LINES: usize = 50;

/// The lines in one interval that are kept for what must not be lost among
/// others. As many again as plain ones: a storm of warnings costs the processor
/// as much as a burst of calls.
const MAX_PRIORITY_LINES: usize = 50;

/// The most bytes that wait to be written while the host goes on: some thousand
/// lines. A reader that stands still must cost lines, and not the memory of a
/// small host.
const MAX_PLAIN_BYTES: usize = 256 * 1024;

/// The bytes up to which needed lines are taken where plain ones fill theirs.
const MAX_PRIORITY_BYTES: usize = 320 * 1024;

/// The most bytes that wait once the host ends its requests: two lines each of
/// some 1,200 requests.
const MAX_TERMINATION_BYTES: usize = 1024 * 1024;

/// The first number of an event that is not about the process itself.
const FIRST_NON_PROCESS_EVENT: u16 = 200;

/// A `LineKind` is what decides whether a line is kept.
#[derive(Clone, Copy, Debug)]
pub struct LineKind {
    /// How much it matters.
    pub level: Level,
    /// The number of its event; none for a library's line.
    pub event: Option<u16>,
}

impl LineKind {
    /// Get whether an engineer needs the line whatever else happens: it warns,
    /// or tells how far the process is.
    fn is_priority(self) -> bool {
        let is_about_process = self
            .event
            .is_some_and(|event| event < FIRST_NON_PROCESS_EVENT);
        self.level <= Level::Warn || is_about_process
    }

    /// Get whether the host ends its requests from here on.
    fn starts_termination(self) -> bool {
        self.event == Some(Incident::GraceEnding.number())
    }
}

/// A `PendingLines` is the lines since the last interval, within bounds.
///
/// With one bound for all, a burst of lines about calls would push out the very
/// warnings that tell its cause; so these have a part of their own. A host that
/// ends its requests at the end of a planned stop has hundreds of lines in one
/// moment and will have no other one: nothing else runs any more that the lines
/// could hold up, so only their bytes are bounded from there on.
#[derive(Debug, Default)]
pub struct PendingLines {
    bytes: Vec<u8>,
    plain: usize,
    priority: usize,
    dropped: DroppedCounts,
    is_terminating: bool,
}

/// A `DroppedCounts` counts the lines that were left out, by their events' numbers;
/// 0 stands for libraries' lines.
pub type DroppedCounts = BTreeMap<u16, u64>;

impl PendingLines {
    /// Add a line where there is room for it, and count it where there is none.
    ///
    /// # Errors
    ///
    /// Returns the error of whoever writes the line.
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

    /// Take what waits and how many lines were left out: an interval ends.
    pub fn take(&mut self) -> (Vec<u8>, DroppedCounts) {
        self.plain = 0;
        self.priority = 0;
        let bytes = std::mem::take(&mut self.bytes);
        (bytes, std::mem::take(&mut self.dropped))
    }

    /// Get whether there is nothing to write.
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
