//! Provides the errors of the commands.

use std::fmt;
use std::path::PathBuf;

use bergamotswitch_core::error::Findings;
use bergamotswitch_net::journal::JournalError;
use bergamotswitch_net::node::NodeError;

/// A `CommandError` is the reason why a command was not carried out.
#[derive(Debug)]
pub enum CommandError {
    /// The command line is not understood; the text names the option and what
    /// is allowed.
    Usage(String),
    /// A file cannot be read.
    Read(PathBuf, std::io::Error),
    /// A file has faults.
    Invalid(PathBuf, Findings),
    /// The host cannot start.
    Start(NodeError),
    /// The runtime cannot start.
    Runtime(std::io::Error),
    /// The log cannot be started.
    Journal(JournalError),
    /// The output cannot be written.
    Output(std::io::Error),
    /// A host or stand-in does not answer as it should.
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
                write!(f, "{} has faults:\n{findings}", path.display())
            }
            CommandError::Start(error) => write!(f, "cannot start: {error}"),
            CommandError::Runtime(error) => write!(f, "cannot start the runtime: {error}"),
            CommandError::Journal(error) => write!(f, "cannot start the log: {error}"),
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
