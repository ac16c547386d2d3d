//! Provides a line-by-line reader for log files.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use super::line::LogLine;
use crate::command::error::CommandError;

/// The maximum length of a line in bytes. Longer lines are skipped, so that
/// memory use is bounded for any input.
const MAX_LINE_BYTES: usize = 64 << 10;

/// A `ReadCount` is the number of lines read, by whether they were parsed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ReadCount {
    /// Lines parsed as events.
    pub(super) events: u64,
    /// Nonblank lines that could not be parsed.
    pub(super) unreadable: u64,
}

/// Call `handle` for each event, in the order of the files and their lines.
///
/// # Errors
///
/// Returns [`CommandError::Read`] if a file cannot be read.
pub(super) fn read_lines(
    files: &[PathBuf],
    mut handle: impl FnMut(LogLine),
) -> Result<ReadCount, CommandError> {
    let mut count = ReadCount::default();
    for path in files {
        let read_error = |error| CommandError::Read(path.clone(), error);
        let file = File::open(path).map_err(read_error)?;
        let host = host_from_file_name(path);
        let mut reader = BufReader::new(file);
        let mut line = Vec::new();
        while let Some(length) = next_line(&mut reader, &mut line).map_err(read_error)? {
            let read = match length {
                LineLength::WithinLimit => LogLine::parse(&line, &host),
                LineLength::TooLong => None,
            };
            match read {
                Some(event) => {
                    count.events += 1;
                    handle(event);
                }
                None if line.iter().all(u8::is_ascii_whitespace) => {}
                None => count.unreadable += 1,
            }
        }
    }
    Ok(count)
}

/// A `LineLength` is whether a line exceeds [`MAX_LINE_BYTES`].
enum LineLength {
    WithinLimit,
    TooLong,
}

/// Read the next line into `line`; returns `None` at the end of the file. A line
/// that is too long is truncated to [`MAX_LINE_BYTES`].
fn next_line(reader: &mut impl BufRead, line: &mut Vec<u8>) -> std::io::Result<Option<LineLength>> {
    line.clear();
    let mut length = LineLength::WithinLimit;
    let mut has_bytes = false;
    loop {
        let bytes = reader.fill_buf()?;
        if bytes.is_empty() {
            return Ok(has_bytes.then_some(length));
        }
        has_bytes = true;
        let newline = bytes.iter().position(|byte| *byte == b'\n');
        let part = newline.unwrap_or(bytes.len());
        let remaining = MAX_LINE_BYTES - line.len();
        if part > remaining {
            length = LineLength::TooLong;
        }
        line.extend_from_slice(&bytes[..part.min(remaining)]);
        reader.consume(newline.map_or(part, |at| at + 1));
        if newline.is_some() {
            return Ok(Some(length));
        }
    }
}

/// Get a host's name from the name of its log file.
fn host_from_file_name(path: &Path) -> String {
    let stem = path.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}
