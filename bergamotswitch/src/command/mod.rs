//! Provides the program's commands: `serve`, `check`, `explain`, `status`,
//! `logs` and `demo`.

mod args;
mod check;
pub mod client;
pub mod demo;
mod error;
mod explain;
mod files;
mod logs;
mod output;
mod serve;
mod status;
mod table;

use std::ffi::OsString;
use std::process::ExitCode;

pub use self::args::{Command, ExplainArgs, parse};
pub use self::error::CommandError;
pub use self::logs::{LogsArgs, LogsQuery};

/// The exit code for an invalid command line or a failed command. Exit code 1
/// means that the command ran and reports a negative result.
pub const USAGE_EXIT: u8 = 2;

/// Run the command that the arguments specify.
///
/// # Errors
///
/// Returns a [`CommandError`] if the command line is invalid or the command
/// fails.
pub fn run(args: impl Iterator<Item = OsString>) -> Result<ExitCode, CommandError> {
    match parse(args)? {
        Command::Help => {
            output::write_out(args::HELP)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Version => {
            output::write_out(concat!("bergamotswitch ", env!("CARGO_PKG_VERSION"), "\n"))?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Serve { settings } => serve::serve(&settings),
        Command::Check { files } => check::check(&files),
        Command::Explain(args) => explain::explain(&args),
        Command::Status { host, json } => status::status(host, json),
        Command::Logs(args) => logs::logs(&args),
        Command::Demo => demo::demo(),
    }
}
