//! Provides the reading of log files line by line.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use super::line::LogLine;
use crate::command::error::CommandError;

/// The longest line that is read. Lines have some hundred bytes; what is longer
/// is passed over, so that no file can fill the memory.
const MAX_LINE: usize = 64 << 10;

/// A `ReadCount` is how many lines were read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ReadCount {
    /// Lines that are an event.
    pub(super) events: u64,
    /// Lines that are none.
    pub(super) unreadable: u64,
}

/// Call `take` with each event of the files, in the order of the files.
///
/// # Errors
///
/// Returns [`CommandError::Read`] where a file cannot be read.
pub(super) fn read_all(
    files: &[PathBuf],
    mut take: impl FnMut(LogLine),
) -> Result<ReadCount, CommandError> {
    let mut count = ReadCount::default();
    for path in files {
        let failed = |error| CommandError::Read(path.clone(), error);
        let file = File::open(path).map_err(failed)?;
        let host = host_of(path);
        let mut reader = BufReader::new(file);
        let mut line = Vec::new();
        while let Some(end) = next_line(&mut reader, &mut line).map_err(failed)? {
            let read = match end {
                LineEnd::Whole => LogLine::read(&line, &host),
                LineEnd::TooLong => None,
            };
            match read {
                Some(event) => {
                    count.events += 1;
                    take(event);
                }
                None if line.iter().all(u8::is_ascii_whitespace) => {}
                None => count.unreadable += 1,
            }
        }
    }
    Ok(count)
}

enum LineEnd {
    Whole,
    TooLong,
}

/// Read the next line; `None` at the end of the file. Of one that is too long
/// the beginning is kept.
fn next_line(reader: &mut impl BufRead, line: &mut Vec<u8>) -> std::io::Result<Option<LineEnd>> {
    line.clear();
    let mut end = LineEnd::Whole;
    let mut any = false;
    loop {
        let bytes = reader.fill_buf()?;
        if bytes.is_empty() {
            return Ok(any.then_some(end));
        }
        any = true;
        let newline = bytes.iter().position(|byte| *byte == b'\n');
        let part = newline.unwrap_or(bytes.len());
        let room = MAX_LINE - line.len();
        if part > room {
            end = LineEnd::TooLong;
        }
        line.extend_from_slice(&bytes[..part.min(room)]);
        reader.consume(newline.map_or(part, |at| at + 1));
        if newline.is_some() {
            return Ok(Some(end));
        }
    }
}

/// Get the host whose log a file is by its name.
fn host_of(path: &Path) -> String {
    let stem = path.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}
