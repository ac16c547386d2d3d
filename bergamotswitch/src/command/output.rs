//! Provides output to the standard output.

use std::io::{self, Write};

use super::error::CommandError;

/// Try to write a command's output. Ignores a broken pipe, as when the output is
/// piped to `head`; `println!` would panic in that case.
///
/// # Errors
///
/// Returns [`CommandError::Output`] if writing fails for any other reason.
pub(super) fn write_out(text: &str) -> Result<(), CommandError> {
    let mut output = io::stdout().lock();
    let written = output
        .write_all(text.as_bytes())
        .and_then(|()| output.flush());
    match written {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(CommandError::Output(error)),
        _ => Ok(()),
    }
}
