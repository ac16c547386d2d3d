//! Provides the `logs` command, which summarizes the requests in the hosts'
//! structured logs or traces a single request.
//!
//! Logs are processed line by line and may be larger than memory. Lines that
//! cannot be parsed as events are counted and skipped.

mod line;
mod outcome;
mod reader;
mod share_table;
mod summary;
mod trace;

use std::path::PathBuf;
use std::process::ExitCode;

use super::error::CommandError;
use super::output::write_out;

/// A `LogsArgs` holds the parsed arguments of the `logs` command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogsArgs {
    /// The query to run.
    pub query: LogsQuery,
    /// The hosts' log files.
    pub files: Vec<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
}

/// A `LogsQuery` is a query that `logs` runs on log files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogsQuery {
    /// Summarize the outcomes of all requests.
    Summary,
    /// Show all lines about the request with this caller-supplied id.
    Trace(String),
}

/// Run the query and print its result. Exits with 1 if nothing was found.
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
