//! Provides the way of log lines to standard output that never holds up the
//! loop: lines are kept in a bounded buffer, and a thread of its own writes
//! them.

use std::fmt;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use bergamotswitch_core::incident::Incident;
use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;
use log::kv::Key;

use crate::event_log::EVENT_KEY;
use crate::pending_lines::{DroppedCounts, LineKind, PendingLines};

/// How often the buffer is written out. A whole second of lines at once would
/// hold the reader's pipe up; more often costs wake-ups for nothing.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// How long the end of the process waits for its last lines to be written: less
/// than a stopping host has left when it ends at the last moment. A reader that
/// stands still would otherwise hold the process until it is killed.
const SHUTDOWN_FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

/// The bytes that a pipe takes in one piece (`PIPE_BUF` of Linux).
const PIPE_BUF_BYTES: usize = 4_096;

/// A `LineFormat` writes one record as a line without its end.
pub(crate) type LineFormat =
    fn(&mut dyn Write, &mut DeferredNow, &Record<'_>) -> Result<(), io::Error>;

/// What the loop and the writing thread share.
#[derive(Debug, Default)]
struct SharedLines {
    state: Mutex<BufferState>,
    /// Told when lines should be written before the interval is over.
    flush_requested: Condvar,
    /// Told when lines have been written.
    written: Condvar,
}

#[derive(Debug, Default)]
struct BufferState {
    lines: PendingLines,
    is_flush_requested: bool,
    is_writing: bool,
}

impl SharedLines {
    fn lock(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Write what comes, for ever.
    fn run_writer(&self) {
        loop {
            let waited =
                self.flush_requested
                    .wait_timeout_while(self.lock(), WRITE_INTERVAL, |state| {
                        !state.is_flush_requested
                    });
            let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
            let (bytes, dropped) = state.lines.take();
            state.is_flush_requested = false;
            state.is_writing = true;
            drop(state);
            // Where standard output is closed nobody reads, and the lines are
            // dropped.
            drop(write_out(&bytes, &dropped));
            self.lock().is_writing = false;
            self.written.notify_all();
        }
    }

    /// Have what waits written now.
    fn request_flush(&self) {
        self.lock().is_flush_requested = true;
        self.flush_requested.notify_one();
    }

    /// Wait until nothing waits to be written, but not for long.
    fn wait_flushed(&self) {
        let is_pending = |state: &mut BufferState| state.is_writing || !state.lines.is_empty();
        let waited =
            self.written
                .wait_timeout_while(self.lock(), SHUTDOWN_FLUSH_TIMEOUT, is_pending);
        drop(waited);
    }
}

/// A `LineBuffer` takes log lines without ever waiting.
pub(crate) struct LineBuffer {
    shared: Arc<SharedLines>,
    format: LineFormat,
}

impl fmt::Debug for LineBuffer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LineBuffer").finish_non_exhaustive()
    }
}

impl LineBuffer {
    /// Get a buffer whose lines a new thread writes to standard output.
    pub(crate) fn to_stdout(format: LineFormat) -> Self {
        let shared = Arc::<SharedLines>::default();
        let writing = Arc::clone(&shared);
        thread::spawn(move || writing.run_writer());
        LineBuffer { shared, format }
    }
}

/// Write lines, and how many were left out.
fn write_out(bytes: &[u8], dropped: &DroppedCounts) -> io::Result<()> {
    if bytes.is_empty() && dropped.is_empty() {
        return Ok(());
    }
    let mut out = io::stdout().lock();
    write_lines(&mut out, bytes)?;
    if !dropped.is_empty() {
        let incident = Incident::LinesDropped;
        let counts = dropped
            .iter()
            .map(|(event, count)| format!("\"{event}\":{count}"));
        writeln!(
            out,
            "{{\"event\":{},\"text\":\"{}\",\"count\":{},\"events\":{{{}}}}}",
            incident.number(),
            incident.text(),
            dropped.values().sum::<u64>(),
            counts.collect::<Vec<_>>().join(",")
        )?;
    }
    out.flush()
}

/// Write whole lines together, as many as a pipe takes in one piece: a reader
/// that other processes share would otherwise see parts of lines.
fn write_lines(out: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let max_len = rest.len().min(PIPE_BUF_BYTES);
        let end = rest[..max_len].iter().rposition(|byte| *byte == b'\n');
        let (chunk, remaining) = rest.split_at(end.map_or(max_len, |end| end + 1));
        out.write_all(chunk)?;
        out.flush()?;
        rest = remaining;
    }
    Ok(())
}

/// Get what decides whether a record's line is kept.
fn line_kind(record: &Record<'_>) -> LineKind {
    let event = record.key_values().get(Key::from_str(EVENT_KEY));
    let event = event.and_then(|value| value.to_u64());
    LineKind {
        level: record.level(),
        event: event.and_then(|event| u16::try_from(event).ok()),
    }
}

impl LogWriter for LineBuffer {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut state = self.shared.lock();
        let format = self.format;
        let written = |bytes: &mut Vec<u8>| format(bytes, now, record);
        state.lines.add(line_kind(record), written)
    }

    fn flush(&self) -> io::Result<()> {
        self.shared.request_flush();
        Ok(())
    }

    /// Write the last lines: those since the last interval would otherwise end
    /// with the process.
    fn shutdown(&self) {
        self.shared.request_flush();
        self.shared.wait_flushed();
    }
}
