//! Provides `serve`: one entry host as a process.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::settings::HostSettings;
use bergamotswitch_net::input::{NodeInput, NodeSender};
use bergamotswitch_net::journal;
use bergamotswitch_net::node::{HostNode, NodeSetup};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use super::error::CommandError;
use super::files;

/// How often the settings file is looked at without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Run one entry host until a planned stop is complete.
pub(super) fn serve(path: &Path) -> Result<ExitCode, CommandError> {
    let text = files::read(path)?;
    let settings = HostSettings::try_from_json(&text)
        .map_err(|findings| CommandError::Faulty(path.to_owned(), findings))?;
    let _journal = journal::start(&settings.log).map_err(CommandError::Journal)?;
    runtime()?.block_on(run(settings, path))
}

/// Get the runtime: one loop on one thread.
pub(super) fn runtime() -> Result<tokio::runtime::Runtime, CommandError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)
}

async fn run(settings: HostSettings, path: &Path) -> Result<ExitCode, CommandError> {
    let setup = NodeSetup::try_new(settings).map_err(CommandError::Start)?;
    let callers = setup
        .listeners
        .caller_address()
        .map_err(CommandError::Runtime)?;
    let peers = setup.peers.local_addr().map_err(CommandError::Runtime)?;
    let node = HostNode::try_new(setup).map_err(CommandError::Start)?;
    println!("ready callers={callers} links={peers}");
    tokio::spawn(forward_signals(node.sender()));
    tokio::spawn(follow_settings(path.to_owned(), node.sender()));
    node.run().await;
    Ok(ExitCode::SUCCESS)
}

/// Tell the loop of changed settings. The file may change with a signal or
/// without one, so it is read on a signal and now and then.
async fn follow_settings(path: PathBuf, node: NodeSender) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    let mut known = files::read(&path).unwrap_or_default();
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = sleep(SETTINGS_INTERVAL) => {}
        }
        let Ok(text) = files::read(&path) else {
            continue;
        };
        if text == known {
            continue;
        }
        match HostSettings::try_from_json(&text) {
            Ok(settings) => {
                if node.send(NodeInput::Settings(Box::new(settings))).is_err() {
                    return;
                }
            }
            Err(findings) => {
                let text = findings.to_string();
                journal::write(Incident::SettingsRefused, &[("findings", &text)]);
            }
        }
        known = text;
    }
}

/// Turn SIGTERM and SIGINT into a planned stop. Every signal is passed on:
/// the loop logs the further ones, which change nothing.
async fn forward_signals(node: NodeSender) {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        return;
    };
    loop {
        let heard = tokio::select! {
            heard = terminate.recv() => heard,
            heard = interrupt.recv() => heard,
        };
        if heard.is_none() || node.send(NodeInput::Stop).is_err() {
            return;
        }
    }
}
