//! Provides the `serve` command, which runs one entry host as a daemon.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::settings::HostSettings;
use bergamotswitch_core::signal_watch::SignalWatch;
use bergamotswitch_net::boot_clock::BootClock;
use bergamotswitch_net::event_log;
use bergamotswitch_net::input::{NodeInput, NodeSender};
use bergamotswitch_net::node::{HostNode, NodeSetup};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

use super::error::CommandError;
use super::files;

/// How often the settings file is checked for changes without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// How often the process looks whether a stop signal has come. A planned stop may count
/// its grace period from up to two of these intervals before the signal.
const SIGNAL_LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Run one entry host until a planned stop is complete.
pub(super) fn serve(path: &Path) -> Result<ExitCode, CommandError> {
    let runtime = runtime()?;
    // Until the signal is handled, it would end the process.
    let hangup = {
        let _context = runtime.enter();
        signal(SignalKind::hangup()).map_err(CommandError::Runtime)?
    };
    let text = files::read(path)?;
    let settings = HostSettings::try_from_json(&text)
        .map_err(|findings| CommandError::Invalid(path.to_owned(), findings))?;
    let _logger = event_log::start(&settings.log).map_err(CommandError::Log)?;
    let watch = SettingsWatch {
        path: path.to_owned(),
        current: text,
        hangup,
    };
    let ended = runtime.block_on(run(settings, watch));
    drop(runtime);
    ended
}

/// Try to create a single-threaded async runtime.
pub(super) fn runtime() -> Result<tokio::runtime::Runtime, CommandError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)
}

async fn run(settings: HostSettings, watch: SettingsWatch) -> Result<ExitCode, CommandError> {
    let setup = NodeSetup::try_new(settings).map_err(CommandError::Start)?;
    let callers = setup
        .listeners
        .caller_address()
        .map_err(CommandError::Runtime)?;
    let peers = setup.peers.local_addr().map_err(CommandError::Runtime)?;
    let node = HostNode::try_new(setup).map_err(CommandError::Start)?;
    println!("ready callers={callers} links={peers}");
    tokio::spawn(forward_signals(node.sender(), node.clock()));
    tokio::spawn(watch.run(node.sender()));
    node.run().await;
    Ok(ExitCode::SUCCESS)
}

/// A `SettingsWatch` follows the settings file. The file is read on SIGHUP and
/// periodically, because it may change without a signal.
struct SettingsWatch {
    path: PathBuf,
    /// The text of the settings as last read.
    current: String,
    hangup: Signal,
}

impl SettingsWatch {
    /// Send changed settings to the host's event loop.
    async fn run(mut self, node: NodeSender) {
        loop {
            if let Some(settings) = self.read_change()
                && node.send(NodeInput::Settings(Box::new(settings))).is_err()
            {
                return;
            }
            tokio::select! {
                _ = self.hangup.recv() => {}
                () = sleep(SETTINGS_POLL_INTERVAL) => {}
            }
        }
    }

    /// Get the settings if the file has changed and is valid.
    fn read_change(&mut self) -> Option<HostSettings> {
        let text = files::read(&self.path).ok()?;
        if text == self.current {
            return None;
        }
        let settings = HostSettings::try_from_json(&text);
        self.current = text;
        match settings {
            Ok(settings) => Some(settings),
            Err(findings) => {
                let text = findings.to_string();
                event_log::write(Incident::SettingsRefused, &[("findings", &text)]);
                None
            }
        }
    }
}

/// Translate SIGTERM and SIGINT into a planned stop. Repeated signals are
/// forwarded too: the event loop logs and ignores them.
async fn forward_signals(node: NodeSender, clock: BootClock) {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        return;
    };
    let mut watch = SignalWatch::default();
    loop {
        let received = tokio::select! {
            // A timer that fires in spite of this shows that no signal has come.
            biased;
            received = terminate.recv() => received,
            received = interrupt.recv() => received,
            () = sleep(SIGNAL_LOOK_INTERVAL) => {
                watch.record_look(clock.now());
                continue;
            }
        };
        let stop = NodeInput::Stop(watch.sent_after());
        if received.is_none() || node.send(stop).is_err() {
            return;
        }
    }
}
