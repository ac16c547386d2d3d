//! Provides a non-blocking log writer for standard output: a bounded buffer that a
//! separate thread writes out, so that a slow reader does not block the event loop.

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

/// The interval at which the buffer is written out. A longer one would write more
/// than the pipe can hold, a shorter one would cost wake-ups.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum time that the process waits at exit for the buffer to be written.
/// Without a limit, a reader that does not read would delay the exit until the
/// process is killed.
const SHUTDOWN_FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

/// The size up to which a write to a pipe is atomic (`PIPE_BUF` on Linux).
const PIPE_BUF_BYTES: usize = 4_096;

/// A `LineFormat` writes one record as a line without the line break.
pub(crate) type LineFormat =
    fn(&mut dyn Write, &mut DeferredNow, &Record<'_>) -> Result<(), io::Error>;

/// A `SharedLines` is the state shared by the logging threads and the writer thread.
#[derive(Debug, Default)]
struct SharedLines {
    state: Mutex<BufferState>,
    /// Notified to write the lines before the interval has elapsed.
    flush_requested: Condvar,
    /// Notified after lines have been written.
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

    /// Write out the buffer at each interval or flush request, forever.
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
            // If standard output is closed, the lines are dropped.
            drop(write_out(&bytes, &dropped));
            self.lock().is_writing = false;
            self.written.notify_all();
        }
    }

    /// Request that the buffer be written now.
    fn request_flush(&self) {
        self.lock().is_flush_requested = true;
        self.flush_requested.notify_one();
    }

    /// Wait until the buffer is written, at most for [`SHUTDOWN_FLUSH_TIMEOUT`].
    fn wait_flushed(&self) {
        let is_pending = |state: &mut BufferState| state.is_writing || !state.lines.is_empty();
        let waited =
            self.written
                .wait_timeout_while(self.lock(), SHUTDOWN_FLUSH_TIMEOUT, is_pending);
        drop(waited);
    }
}

/// A `LineBuffer` is a log writer that buffers lines and never blocks on output.
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
    /// Get a buffer that a new thread writes to standard output.
    pub(crate) fn to_stdout(format: LineFormat) -> Self {
        let shared = Arc::<SharedLines>::default();
        let writing = Arc::clone(&shared);
        thread::spawn(move || writing.run_writer());
        LineBuffer { shared, format }
    }
}

/// Write the lines, followed by an event with the counts of dropped lines.
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

/// Write the lines in chunks of complete lines that a pipe accepts atomically, so that
/// lines of several processes sharing a pipe are not interleaved.
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

/// Get the level and event number of a record.
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

    /// Write the remaining lines, which would otherwise be lost at exit.
    fn shutdown(&self) {
        self.shared.request_flush();
        self.shared.wait_flushed();
    }
}
