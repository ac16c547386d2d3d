//! Provides the command-line parser, based on `lexopt`.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::prelude::*;

use super::error::CommandError;
use super::logs::{LogsArgs, LogsQuery};

/// The text of `--help`.
pub const HELP: &str = "\
bergamotswitch - a request scheduler for shared, heterogeneous model engines

Usage:
  bergamotswitch serve --settings FILE
      Run one entry host until SIGTERM or SIGINT starts a planned stop.
  bergamotswitch check FILE|DIRECTORY...
      Check published values (rules.json, accounts.json, pools.json,
      domains.json, limits.json, hosts.json); any other file is checked as a
      host's settings. Print every finding with its location; exit 1 if there
      are any.
  bergamotswitch explain --deployment DIRECTORY --pool NAME --account NAME
      [--work KIND] [--path PATH] [--domain NAME] [--prompt-tokens N] [--stream]
      Show which rule the described request matches, why earlier rules do
      not match, and which targets may run it.
  bergamotswitch status --host IP:PORT [--json]
      Show one host's view: revisions in force, owned shards, targets, queue
      length by tier, peers.
  bergamotswitch logs summary [--json] FILE...
      Summarize the outcomes of all requests in the hosts' logs by reason,
      rank, route, account, target and second, with the time targets spent.
  bergamotswitch logs trace ID [--json] FILE...
      Show all log lines about one request, from all hosts, in time order.
  bergamotswitch demo
      Run both example deployments on loopback with simulated targets: three
      hosts each, real HTTP requests, and their outcomes by tier.
  bergamotswitch --help | --version
";

/// The available commands, as listed in usage errors.
const COMMANDS: &str = "serve, check, explain, status, logs, demo";

/// The arguments that a command accepts, as listed in usage errors.
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
    /// Explain how the rules apply to a request.
    Explain(ExplainArgs),
    /// Show a host's status.
    Status {
        /// The address on which the host accepts callers.
        host: SocketAddr,
        /// Whether to print the host's JSON instead of text.
        json: bool,
    },
    /// Analyze the hosts' log files.
    Logs(LogsArgs),
    /// Run the demo.
    Demo,
}

/// An `ExplainArgs` is the description of a request passed to `explain`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExplainArgs {
    /// The directory that holds the deployment's published values.
    pub deployment: PathBuf,
    /// The name of the requested pool.
    pub pool: String,
    /// The name of the client account.
    pub account: String,
    /// The work kind, if the caller states one.
    pub work: Option<String>,
    /// The request path; by default that of chat completions.
    pub path: Option<String>,
    /// The failure domain of the entry host; by default the first published one.
    pub domain: Option<String>,
    /// The estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Whether the caller requests a streaming answer.
    pub streaming: bool,
}

/// Try to parse a command line that excludes the program's name.
///
/// # Errors
///
/// Returns [`CommandError::Usage`], which names the invalid argument and the
/// accepted ones.
pub fn parse(args: impl Iterator<Item = OsString>) -> Result<Command, CommandError> {
    let mut parser = lexopt::Parser::from_args(args);
    let Some(first) = parser.next()? else {
        return Err(usage(format!("no command given; allowed: {COMMANDS}")));
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
            _ => Err(usage(format!(
                "unknown command {word:?}; allowed: {COMMANDS}"
            ))),
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
    value.ok_or_else(|| usage(format!("required argument missing: {option}")))
}

fn text_value(parser: &mut lexopt::Parser, option: &str) -> Result<String, CommandError> {
    let value = parser.value()?;
    let text = value.into_string();
    text.map_err(|_| usage(format!("option {option}: value must be UTF-8 text")))
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
        true => Err(usage(
            "check: specify at least one file or directory".into(),
        )),
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
            "option --prompt-tokens {value:?}: value must be a whole number from 0 to {}",
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
                        "option --host {value:?}: value must be IP:PORT, such as 127.0.0.1:7101"
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
        _ => return Err(usage(format!("query {name:?}; {LOGS_ALLOWED}"))),
    };
    let files: Vec<PathBuf> = values.map(PathBuf::from).collect();
    match files.is_empty() {
        true => Err(usage("logs: specify at least one file".into())),
        false => Ok(Command::Logs(LogsArgs { query, files, json })),
    }
}

fn parse_demo(parser: &mut lexopt::Parser) -> Result<Command, CommandError> {
    match parser.next()? {
        Some(other) => Err(unexpected(other, DEMO_ALLOWED)),
        None => Ok(Command::Demo),
    }
}
