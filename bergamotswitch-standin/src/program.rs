//! Provides the program that runs a complete platform of stand-ins in one
//! process.

use std::error::Error;
use std::io::Write;
use std::process::ExitCode;

use crate::platform::{PlatformOptions, PlatformStandin};
use lexopt::prelude::*;

const USAGE: &str = "bergamotswitch-standin --deployment DIR --configuration ADDR \
--host-list ADDR [--control ADDR] [--seed N]";

/// Run the program with the command-line arguments of the process.
pub fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bergamotswitch-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let Some(options) = parse_arguments()? else {
        println!("{USAGE}");
        return Ok(());
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(&options))
}

async fn serve(options: &PlatformOptions) -> Result<(), Box<dyn Error>> {
    let platform = PlatformStandin::try_start(options).await?;
    let mut line = format!(
        "ready configuration={} host-list={}",
        platform.configuration_address(),
        platform.host_list_address(),
    );
    if let Some(address) = platform.control_address() {
        line += &format!(" control={address}");
    }
    println!("{line} targets={}", platform.target_count());
    std::io::stdout().flush()?;
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        interrupted = tokio::signal::ctrl_c() => interrupted?,
        _ = terminate.recv() => {}
    }
    Ok(())
}

/// Parse the command-line arguments, or get `None` if help was requested.
fn parse_arguments() -> Result<Option<PlatformOptions>, lexopt::Error> {
    let mut deployment = None;
    let mut configuration = None;
    let mut host_list = None;
    let mut control = None;
    let mut seed = 1;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("deployment") => deployment = Some(parser.value()?.into()),
            Long("configuration") => configuration = Some(parser.value()?.parse()?),
            Long("host-list") => host_list = Some(parser.value()?.parse()?),
            Long("control") => control = Some(parser.value()?.parse()?),
            Long("seed") => seed = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(argument.unexpected()),
        }
    }
    let missing = |name: &str| format!("--{name} is missing; {USAGE}");
    Ok(Some(PlatformOptions {
        deployment: deployment.ok_or_else(|| missing("deployment"))?,
        configuration: configuration.ok_or_else(|| missing("configuration"))?,
        host_list: host_list.ok_or_else(|| missing("host-list"))?,
        control,
        seed,
    }))
}
