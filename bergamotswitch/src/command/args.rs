//! Provides the command line, read with `lexopt`.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::prelude::*;

use super::error::CommandError;
use super::logs::{LogsArgs, LogsQuery};

/// The text of `--help`.
pub const HELP: &str = "\
bergamotswitch - a request scheduler for groups that share unlike model engines

Usage:
  bergamotswitch serve --settings FILE
      Run one entry host until SIGTERM or SIGINT begins a planned stop.
  bergamotswitch check FILE|DIRECTORY...
      Check published values (rules.json, accounts.json, pools.json,
      domains.json, limits.json, hosts.json); any other file is taken for a
      host's settings. Exit 1 with every finding and its place.
  bergamotswitch explain --deployment DIRECTORY --pool NAME --account NAME
      [--work KIND] [--path PATH] [--domain NAME] [--prompt-tokens N] [--stream]
      Which rule a described request matches, why the earlier ones do not,
      and where it may run.
  bergamotswitch status --host IP:PORT [--json]
      What one host knows: revisions in force, shards owned, targets, queue by
      tier, peers.
  bergamotswitch logs summary [--json] FILE...
      What became of the requests in the hosts' logs: by reason, rank, route,
      account, target and second, and the time that targets spent on them.
  bergamotswitch logs trace ID [--json] FILE...
      All lines about one request, over all hosts, in order of time.
  bergamotswitch demo
      Both deployments on loopback with stand-ins: three hosts each, real
      requests, and what became of them by tier.
  bergamotswitch --help | --version
";

/// The commands that the program knows, as errors list them.
const COMMANDS: &str = "serve, check, explain, status, logs, demo";

/// What stands after a command, as errors list it.
const SERVE_ALLOWED: &str = "serve takes --settings FILE";
const CHECK_ALLOWED: &str = "check takes files and directories and no options";
const EXPLAIN_ALLOWED: &str = "explain takes --deployment DIRECTORY, --pool NAME, \
--account NAME, --work KIND, --path PATH, --domain NAME, --prompt-tokens N, --stream";
const STATUS_ALLOWED: &str = "status takes --host IP:PORT, --json";
const HELP_ALLOWED: &str = "allowed before a command are --help, --version";
const LOGS_ALLOWED: &str = "logs takes summary or trace ID, then --json and files";
const DEMO_ALLOWED: &str = "demo takes no options";

/// A `Command` is a parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Run one entry host.
    Serve {
        /// The settings file.
        settings: PathBuf,
    },
    /// Check files.
    Check {
        /// Files and directories.
        files: Vec<PathBuf>,
    },
    /// Explain what the rules say of a request.
    Explain(ExplainArgs),
    /// Show a host's view.
    Status {
        /// The host's caller address.
        host: SocketAddr,
        /// Whether to print the JSON as it is.
        json: bool,
    },
    /// Tell what logs say.
    Logs(LogsArgs),
    /// Run the demo.
    Demo,
}

/// An `ExplainArgs` describes a request to `explain`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExplainArgs {
    /// The directory of published values.
    pub deployment: PathBuf,
    /// The pool.
    pub pool: String,
    /// The client account.
    pub account: String,
    /// The work kind.
    pub work: Option<String>,
    /// The path; that of chat completions where absent.
    pub path: Option<String>,
    /// The accepting host's failure domain; the first one where absent.
    pub domain: Option<String>,
    /// The estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Whether the caller wants a stream.
    pub streaming: bool,
}

/// Try to read a command line, without the program's name.
///
/// # Errors
///
/// Returns [`CommandError::Usage`], which names the option and what is
/// allowed.
pub fn parse(args: impl Iterator<Item = OsString>) -> Result<Command, CommandError> {
    let mut parser = lexopt::Parser::from_args(args);
    let Some(first) = parser.next()? else {
        return Err(usage(format!("no command; allowed: {COMMANDS}")));
    };
    match first {
        Long("help") | Short('h') => Ok(Command::Help),
        Long("version") | Short('V') => Ok(Command::Version),
        Value(word) => match word.to_str() {
            Some("serve") => parse_serve(&mut parser),
            Some("check") => parse_check(&mut parser),
            Some("explain") => parse_explain(&mut parser),
            Some("status") => parse_status(&mut parser),
            Some("logs") => parse_logs(&mut parser),
            Some("demo") => parse_demo(&mut parser),
            _ => Err(usage(format!("command {word:?}; allowed: {COMMANDS}"))),
        },
        other => Err(unexpected(other, HELP_ALLOWED)),
    }
}

fn usage(text: String) -> CommandError {
    CommandError::Usage(text)
}

fn unexpected(arg: lexopt::Arg<'_>, allowed: &str) -> CommandError {
    usage(format!("{}; {allowed}", arg.unexpected()))
}

fn required<T>(value: Option<T>, option: &str) -> Result<T, CommandError> {
    value.ok_or_else(|| usage(format!("option {option} is missing")))
}

fn text_value(parser: &mut lexopt::Parser, option: &str) -> Result<String, CommandError> {
    let value = parser.value()?;
    let text = value.into_string();
    text.map_err(|_| usage(format!("option {option}: allowed is UTF-8 text")))
}

fn parse_serve(parser: &mut lexopt::Parser) -> Result<Command, CommandError> {
    let mut settings = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            other => return Err(unexpected(other, SERVE_ALLOWED)),
        }
    }
    let settings = required(settings, "--settings FILE")?;
    Ok(Command::Serve { settings })
}

fn parse_check(parser: &mut lexopt::Parser) -> Result<Command, CommandError> {
    let mut files = Vec::new();
    while let Some(arg) = parser.next()? {
        match arg {
            Value(file) => files.push(PathBuf::from(file)),
            other => return Err(unexpected(other, CHECK_ALLOWED)),
        }
    }
    match files.is_empty() {
        true => Err(usage("check: name at least one file or directory".into())),
        false => Ok(Command::Check { files }),
    }
}

fn parse_explain(parser: &mut lexopt::Parser) -> Result<Command, CommandError> {
    let mut args = ExplainArgs::default();
    let (mut deployment, mut pool, mut account) = (None, None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("deployment") => deployment = Some(PathBuf::from(parser.value()?)),
            Long("pool") => pool = Some(text_value(parser, "--pool")?),
            Long("account") => account = Some(text_value(parser, "--account")?),
            Long("work") => args.work = Some(text_value(parser, "--work")?),
            Long("path") => args.path = Some(text_value(parser, "--path")?),
            Long("domain") => args.domain = Some(text_value(parser, "--domain")?),
            Long("prompt-tokens") => args.prompt_tokens = parse_prompt_tokens(parser)?,
            Long("stream") => args.streaming = true,
            other => return Err(unexpected(other, EXPLAIN_ALLOWED)),
        }
    }
    args.deployment = required(deployment, "--deployment DIRECTORY")?;
    args.pool = required(pool, "--pool NAME")?;
    args.account = required(account, "--account NAME")?;
    Ok(Command::Explain(args))
}

fn parse_prompt_tokens(parser: &mut lexopt::Parser) -> Result<u32, CommandError> {
    let value = text_value(parser, "--prompt-tokens")?;
    let count = value.parse();
    count.map_err(|_| {
        usage(format!(
            "option --prompt-tokens {value:?}: allowed is a whole number from 0 to {}",
            u32::MAX
        ))
    })
}

fn parse_status(parser: &mut lexopt::Parser) -> Result<Command, CommandError> {
    let mut host = None;
    let mut json = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("host") => {
                let value = text_value(parser, "--host")?;
                let address = value.parse::<SocketAddr>();
                host = Some(address.map_err(|_| {
                    usage(format!(
                        "option --host {value:?}: allowed is IP:PORT, such as 127.0.0.1:7101"
                    ))
                })?);
            }
            Long("json") => json = true,
            other => return Err(unexpected(other, STATUS_ALLOWED)),
        }
    }
    let host = required(host, "--host IP:PORT")?;
    Ok(Command::Status { host, json })
}

fn parse_logs(parser: &mut lexopt::Parser) -> Result<Command, CommandError> {
    let mut values = Vec::new();
    let mut json = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Value(value) => values.push(value),
            Long("json") => json = true,
            other => return Err(unexpected(other, LOGS_ALLOWED)),
        }
    }
    let mut values = values.into_iter();
    let name = values.next().unwrap_or_default();
    let query = match name.to_str() {
        Some("summary") => LogsQuery::Summary,
        Some("trace") => {
            let id = values.next().and_then(|id| id.into_string().ok());
            LogsQuery::Trace(required(id, "ID of logs trace")?)
        }
        _ => return Err(usage(format!("logs {name:?}; {LOGS_ALLOWED}"))),
    };
    let files: Vec<PathBuf> = values.map(PathBuf::from).collect();
    match files.is_empty() {
        true => Err(usage("logs: name at least one file".into())),
        false => Ok(Command::Logs(LogsArgs { query, files, json })),
    }
}

fn parse_demo(parser: &mut lexopt::Parser) -> Result<Command, CommandError> {
    match parser.next()? {
        Some(other) => Err(unexpected(other, DEMO_ALLOWED)),
        None => Ok(Command::Demo),
    }
}
