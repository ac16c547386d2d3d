//! Provides the error type of the commands.

use std::fmt;
use std::path::PathBuf;

use bergamotswitch_core::error::Findings;
use bergamotswitch_net::event_log::EventLogError;
use bergamotswitch_net::node::NodeError;

/// A `CommandError` is the reason why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// The command line is invalid; the text names the invalid argument and the
    /// accepted ones.
    Usage(String),
    /// A file or directory cannot be accessed.
    Read(PathBuf, std::io::Error),
    /// A file has invalid contents.
    Invalid(PathBuf, Findings),
    /// The host cannot start.
    Start(NodeError),
    /// The async runtime cannot start, or a listening address is unavailable.
    Runtime(std::io::Error),
    /// The log cannot be opened.
    Log(EventLogError),
    /// The output cannot be written.
    Output(std::io::Error),
    /// A host or a simulated platform did not respond as expected.
    Answer(String),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Usage(text) => write!(f, "{text}; see --help"),
            CommandError::Read(path, error) => {
                write!(f, "cannot read {}: {error}", path.display())
            }
            CommandError::Invalid(path, findings) => {
                write!(f, "{} is invalid:\n{findings}", path.display())
            }
            CommandError::Start(error) => write!(f, "cannot start the host: {error}"),
            CommandError::Runtime(error) => write!(f, "cannot start the runtime: {error}"),
            CommandError::Log(error) => write!(f, "cannot open the log: {error}"),
            CommandError::Output(error) => write!(f, "cannot write the output: {error}"),
            CommandError::Answer(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for CommandError {}

impl From<lexopt::Error> for CommandError {
    fn from(error: lexopt::Error) -> Self {
        CommandError::Usage(error.to_string())
    }
}
