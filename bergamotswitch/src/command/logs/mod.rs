//! Provides `logs`: what the hosts' structured logs tell of many requests, or
//! of one.
//!
//! Logs are read line by line and may be larger than the memory. A line that is
//! no event is counted and passed over.

mod line;
mod outcome;
mod reader;
mod summary;
mod trace;

use std::path::PathBuf;
use std::process::ExitCode;

use super::error::CommandError;
use super::output::write_out;

/// A `LogsArgs` is what `logs` is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogsArgs {
    /// The question.
    pub query: LogsQuery,
    /// The hosts' log files.
    pub files: Vec<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
}

/// A `LogsQuery` is what the logs are to tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogsQuery {
    /// What became of all requests.
    Summary,
    /// All lines about the request with this caller's id.
    Trace(String),
}

/// Print what the logs tell. Exit 1 where they have nothing of it.
pub(super) fn logs(args: &LogsArgs) -> Result<ExitCode, CommandError> {
    let (text, found) = match &args.query {
        LogsQuery::Summary => summary::summary(&args.files, args.json)?,
        LogsQuery::Trace(id) => trace::trace(id, &args.files, args.json)?,
    };
    write_out(&text)?;
    match found {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::from(1)),
    }
}
