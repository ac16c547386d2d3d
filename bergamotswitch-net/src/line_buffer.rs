//! Provides the way of log lines to standard output that never holds up the
//! loop: lines are kept in a bounded buffer, and a thread of its own writes
//! them.

use std::fmt;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use bergamotswitch_core::incident::Incident;
use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;

/// How often the buffer is written out. A whole second of lines at once would
/// hold the reader's pipe up; more often costs wake-ups for nothing.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// The most bytes that wait to be written: some thousand lines. A reader that
/// stands still must cost lines, and not the memory of a small host.
const MAX_BUFFERED: usize = 256 * 1024;

/// The most lines in one interval: 500 a second. A host of today answers 40
/// calls a second with up to three lines each; beyond, lines are counted only,
/// so that a burst does not spend the processor on its own log.
const MAX_LINES: usize = 50;

/// The bytes that a pipe takes in one piece (`PIPE_BUF` of Linux).
const PIECE_BYTES: usize = 4_096;

/// A `LineFormat` writes one record as a line without its end.
pub(crate) type LineFormat =
    fn(&mut dyn Write, &mut DeferredNow, &Record<'_>) -> Result<(), io::Error>;

#[derive(Debug, Default)]
struct BufferedLines {
    bytes: Vec<u8>,
    lines: usize,
    dropped: usize,
}

/// A `LineBuffer` takes log lines without ever waiting.
pub(crate) struct LineBuffer {
    lines: Arc<Mutex<BufferedLines>>,
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
        let lines = Arc::<Mutex<BufferedLines>>::default();
        let written = Arc::clone(&lines);
        thread::spawn(move || {
            loop {
                thread::sleep(WRITE_INTERVAL);
                write_out(&written);
            }
        });
        LineBuffer { lines, format }
    }
}

/// Write what is buffered. Where standard output is closed nobody reads, and
/// the lines are dropped.
fn write_out(lines: &Mutex<BufferedLines>) {
    let taken = std::mem::take(&mut *lines.lock().unwrap_or_else(PoisonError::into_inner));
    if taken.bytes.is_empty() && taken.dropped == 0 {
        return;
    }
    let mut out = io::stdout().lock();
    let written = write_lines(&mut out, &taken.bytes).and_then(|()| {
        if taken.dropped > 0 {
            let incident = Incident::LinesDropped;
            writeln!(
                out,
                "{{\"event\":{},\"text\":\"{}\",\"count\":{}}}",
                incident.number(),
                incident.text(),
                taken.dropped
            )?;
        }
        out.flush()
    });
    drop(written);
}

/// Write whole lines together, as many as a pipe takes in one piece: a reader
/// that other processes share would otherwise see parts of lines.
fn write_lines(out: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let most = rest.len().min(PIECE_BYTES);
        let end = rest[..most].iter().rposition(|byte| *byte == b'\n');
        let (piece, behind) = rest.split_at(end.map_or(most, |end| end + 1));
        out.write_all(piece)?;
        out.flush()?;
        rest = behind;
    }
    Ok(())
}

impl LogWriter for LineBuffer {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.lines >= MAX_LINES || lines.bytes.len() >= MAX_BUFFERED {
            lines.dropped += 1;
            return Ok(());
        }
        lines.lines += 1;
        (self.format)(&mut lines.bytes, now, record)?;
        lines.bytes.push(b'\n');
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        write_out(&self.lines);
        Ok(())
    }
}
