//! A host's process, as tests start, signal and end it.

// Each test file uses its own part of this module.
#![allow(dead_code)]

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::Instant;

/// How often a stopping process is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// How the line begins that a host writes once it listens on all its addresses.
const STARTED: &str = "ready callers=";

/// The lines that are shown of what a host wrote.
const LAST_LINES: usize = 5;

/// A `HostChild` is a running host; its drop ends it.
pub struct HostChild {
    settings: PathBuf,
    child: Child,
    /// The length of its output before it wrote any.
    output_from: usize,
}

impl Drop for HostChild {
    fn drop(&mut self) {
        // A process that has ended already needs no kill; one that is stopped
        // takes no other signal.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if logs_folder().is_none() {
            // A file that stays behind is no failure of the test.
            let _ = std::fs::remove_file(output_path(&self.settings));
        }
    }
}

impl HostChild {
    /// Start a host with this settings file.
    pub fn start(settings: PathBuf) -> Self {
        let output_from = output_of(&settings).len();
        let child = spawn(&settings);
        HostChild {
            settings,
            child,
            output_from,
        }
    }

    /// Start a host whose standard output goes there.
    pub fn start_to(settings: PathBuf, out: Stdio) -> Self {
        let child = spawn_to(&settings, out, Stdio::null());
        HostChild {
            settings,
            child,
            output_from: 0,
        }
    }

    /// Start it again, with the same settings.
    pub fn restart(&mut self) {
        self.output_from = output_of(&self.settings).len();
        self.child = spawn(&self.settings);
    }

    /// Kill it and wait for its end.
    pub fn kill(&mut self) {
        self.child.kill().expect("host runs");
        self.child.wait().expect("host ends");
    }

    /// Get the id of its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Get whether it said that it listens on all its addresses.
    pub fn has_started(&self) -> bool {
        self.output().lines().any(|line| line.starts_with(STARTED))
    }

    /// Get the last lines that it wrote since its start.
    pub fn last_lines(&self) -> String {
        let text = self.output();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LAST_LINES)..].join("\n")
    }

    fn output(&self) -> String {
        let bytes = output_of(&self.settings);
        let own = bytes.get(self.output_from..).unwrap_or_default();
        String::from_utf8_lossy(own).into_owned()
    }

    /// Get how it ended, where it has.
    pub fn end(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("child")
    }

    /// Signal it; it runs.
    pub fn signal(&self, name: &str) {
        assert!(self.try_signal(name), "no process to signal");
    }

    /// Signal it; get whether it still runs.
    pub fn try_signal(&self, name: &str) -> bool {
        let process = self.child.id().to_string();
        let mut kill = Command::new("kill");
        kill.args([format!("-{name}"), process]);
        kill.stderr(Stdio::null());
        kill.status().expect("kill runs").success()
    }
}

/// A planned stop as the platform does it: SIGTERM, and SIGKILL where the
/// process is still there at the end of the grace.
pub struct PlannedStop {
    host: Arc<Mutex<HostChild>>,
    begun: Instant,
    task: JoinHandle<StopEnd>,
}

impl PlannedStop {
    /// Stop a host.
    pub fn begin(host: HostChild, grace: Duration) -> Self {
        host.signal("TERM");
        let begun = Instant::now();
        let host = Arc::new(Mutex::new(host));
        let task = tokio::spawn(watch_end(Arc::clone(&host), begun + grace));
        PlannedStop { host, begun, task }
    }

    /// Signal the host, which still runs.
    pub fn signal(&self, name: &str) {
        lock(&self.host).signal(name);
    }

    /// Wait until so long after the signal.
    pub async fn at(&self, after: Duration) {
        tokio::time::sleep_until(self.begun + after).await;
    }

    /// Wait for its end.
    pub async fn end(self) -> StopEnd {
        self.task.await.expect("stop")
    }
}

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopEnd {
    /// The process ended by itself.
    Ended(ExitStatus),
    /// It was killed at the end of its grace.
    Killed,
}

impl StopEnd {
    /// Get whether the process ended by itself, and well.
    pub fn is_clean(self) -> bool {
        matches!(self, StopEnd::Ended(status) if status.success())
    }
}

fn lock(host: &Mutex<HostChild>) -> MutexGuard<'_, HostChild> {
    host.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn watch_end(host: Arc<Mutex<HostChild>>, killed_at: Instant) -> StopEnd {
    while Instant::now() < killed_at {
        if let Some(status) = lock(&host).end() {
            return StopEnd::Ended(status);
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    lock(&host).kill();
    StopEnd::Killed
}

fn spawn(settings: &Path) -> Child {
    let path = output_path(settings);
    let output = File::options().create(true).append(true).open(path);
    let output = output.expect("output file");
    let errors = output.try_clone().expect("output file");
    spawn_to(settings, output.into(), errors.into())
}

fn spawn_to(settings: &Path, out: Stdio, err: Stdio) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bergamotswitch"));
    command.args(["serve", "--settings"]).arg(settings);
    command
        .stdout(out)
        .stderr(err)
        .spawn()
        .expect("host starts")
}

/// Get the file that a host's lines go to: beside its settings and gone with
/// the test, or in the folder that the environment names for a run that is
/// traced.
fn output_path(settings: &Path) -> PathBuf {
    let path = settings.with_extension("log");
    match (logs_folder(), path.file_name()) {
        (Some(folder), Some(name)) => folder.join(name),
        _ => path,
    }
}

fn logs_folder() -> Option<PathBuf> {
    std::env::var_os("BERGAMOT_TEST_LOGS").map(PathBuf::from)
}

/// Get all that hosts with these settings wrote; nothing where none did.
fn output_of(settings: &Path) -> Vec<u8> {
    std::fs::read(output_path(settings)).unwrap_or_default()
}
