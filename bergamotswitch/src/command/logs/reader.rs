//! Provides the reading of log files line by line.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use super::line::LogLine;
use crate::command::error::CommandError;

/// The longest line that is read. Lines have some hundred bytes; what is longer
/// is passed over, so that no file can fill the memory.
const MAX_LINE_BYTES: usize = 64 << 10;

/// A `ReadCount` is how many lines were read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ReadCount {
    /// Lines that are an event.
    pub(super) events: u64,
    /// Lines that are none.
    pub(super) unreadable: u64,
}

/// Call `handle` with each event of the files, in the order of the files.
///
/// # Errors
///
/// Returns [`CommandError::Read`] where a file cannot be read.
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

enum LineLength {
    WithinLimit,
    TooLong,
}

/// Read the next line; `None` at the end of the file. Of one that is too long
/// the beginning is kept.
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

/// Get the host whose log a file is by its name.
fn host_from_file_name(path: &Path) -> String {
    let stem = path.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}
