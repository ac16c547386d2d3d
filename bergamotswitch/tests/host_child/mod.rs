//! A host's process, as tests start, signal and end it.

// Each test file uses its own part of this module.
#![allow(dead_code)]

use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::Instant;

/// How often a stopping process is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// A `HostChild` is a running host; its drop ends it.
pub struct HostChild {
    settings: PathBuf,
    child: Child,
}

impl Drop for HostChild {
    fn drop(&mut self) {
        // A process that has ended already needs no kill; one that is stopped
        // takes no other signal.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl HostChild {
    /// Start a host with this settings file.
    pub fn start(settings: PathBuf) -> Self {
        let child = spawn(&settings);
        HostChild { settings, child }
    }

    /// Start a host whose standard output goes there.
    pub fn start_to(settings: PathBuf, out: Stdio) -> Self {
        let child = spawn_to(&settings, out, Stdio::null());
        HostChild { settings, child }
    }

    /// Start it again, with the same settings.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings);
    }

    /// Kill it and wait for its end.
    pub fn kill(&mut self) {
        self.child.kill().expect("host runs");
        self.child.wait().expect("host ends");
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
    let (out, err) = outputs(settings);
    spawn_to(settings, out, err)
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

/// Get where a host's lines go. A run that is traced keeps them, in a file of
/// the folder that the environment names.
fn outputs(settings: &Path) -> (Stdio, Stdio) {
    let Some(directory) = std::env::var_os("BERGAMOT_TEST_LOGS") else {
        return (Stdio::null(), Stdio::null());
    };
    let name = settings.with_extension("log");
    let path = Path::new(&directory).join(name.file_name().unwrap_or_default());
    let mut options = std::fs::OpenOptions::new();
    let file = options.create(true).append(true).open(path);
    let file = file.expect("log file");
    let copy = file.try_clone().expect("log file");
    (file.into(), copy.into())
}
