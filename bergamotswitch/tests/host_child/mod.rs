//! Provides host processes that tests start, signal and stop.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::fs::File;
use std::io::{BufRead, BufReader, PipeReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::Instant;

/// How often a stopping process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The start of the line that a host writes once it listens on all its addresses.
const READY_PREFIX: &str = "ready callers=";

/// The number of last output lines that are kept for failure messages.
const LAST_LINES: usize = 5;

/// A `HostChild` is a running host process. It is killed when dropped.
pub struct HostChild {
    settings: PathBuf,
    child: Child,
    output: HostOutput,
}

impl Drop for HostChild {
    fn drop(&mut self) {
        // The process may have ended already. SIGKILL also ends a process that is
        // suspended by SIGSTOP.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl HostChild {
    /// Start a host with this settings file.
    pub fn start(settings: PathBuf) -> Self {
        let (child, output) = spawn(&settings);
        HostChild {
            settings,
            child,
            output,
        }
    }

    /// Start a host whose standard output goes to `out` and is not read by the test.
    pub fn start_to(settings: PathBuf, out: Stdio) -> Self {
        let child = spawn_to(&settings, out, Stdio::null());
        HostChild {
            settings,
            child,
            output: HostOutput::default(),
        }
    }

    /// Restart the host with the same settings.
    pub fn restart(&mut self) {
        (self.child, self.output) = spawn(&self.settings);
    }

    /// Kill the process and wait for its exit.
    pub fn kill(&mut self) {
        self.child.kill().expect("host runs");
        self.child.wait().expect("host ends");
    }

    /// Get the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Get the most memory in bytes that the process has had in use so far.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()));
        let status = status.expect("a running host");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|peak| peak.split_whitespace().next()?.parse::<u64>().ok());
        kib.expect("a size") << 10
    }

    /// Get whether the host has reported that it listens on all its addresses.
    pub fn has_started(&self) -> bool {
        lock(&self.output.seen).started
    }

    /// Get the last lines that the host has written. Once the process has ended, none
    /// are missing.
    pub fn last_lines(&mut self) -> String {
        if self.exit_status().is_some()
            && let Some(reader) = self.output.reader.take()
        {
            reader.join().expect("output reader");
        }
        let seen = lock(&self.output.seen);
        let lines: Vec<&str> = seen.last.iter().map(String::as_str).collect();
        lines.join("\n")
    }

    /// Get the exit status, if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("child")
    }

    /// Send a signal to the process, which must be running.
    pub fn signal(&self, name: &str) {
        assert!(self.try_signal(name), "no process to signal");
    }

    /// Send a signal, and get whether the process was still running.
    pub fn try_signal(&self, name: &str) -> bool {
        let process = self.child.id().to_string();
        let mut kill = Command::new("kill");
        kill.args([format!("-{name}"), process]);
        kill.stderr(Stdio::null());
        kill.status().expect("kill runs").success()
    }
}

/// A `PlannedStop` is a planned stop as the platform does it: SIGTERM, and SIGKILL
/// if the process is still running at the end of the grace period.
pub struct PlannedStop {
    host: Arc<Mutex<HostChild>>,
    begun: Instant,
    task: JoinHandle<StopEnd>,
}

impl PlannedStop {
    /// Begin to stop a host.
    pub fn begin(host: HostChild, grace: Duration) -> Self {
        host.signal("TERM");
        let begun = Instant::now();
        let host = Arc::new(Mutex::new(host));
        let task = tokio::spawn(watch_end(Arc::clone(&host), begun + grace));
        PlannedStop { host, begun, task }
    }

    /// Send a signal to the host, which must be running.
    pub fn signal(&self, name: &str) {
        lock(&self.host).signal(name);
    }

    /// Wait until this time after SIGTERM.
    pub async fn wait_until(&self, after: Duration) {
        tokio::time::sleep_until(self.begun + after).await;
    }

    /// Wait until the process has ended.
    pub async fn end(self) -> StopEnd {
        self.task.await.expect("stop")
    }
}

/// A `StopEnd` is how a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopEnd {
    /// The process exited.
    Ended(ExitStatus),
    /// The process was killed at the end of the grace period.
    Killed,
}

impl StopEnd {
    /// Get whether the process exited successfully.
    pub fn is_clean(self) -> bool {
        matches!(self, StopEnd::Ended(status) if status.success())
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn watch_end(host: Arc<Mutex<HostChild>>, killed_at: Instant) -> StopEnd {
    while Instant::now() < killed_at {
        if let Some(status) = lock(&host).exit_status() {
            return StopEnd::Ended(status);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    lock(&host).kill();
    StopEnd::Killed
}

/// A `HostOutput` is a host's output, read through a pipe. It is written to a file
/// only if a run is traced, since a busy disk would block a host that logs.
#[derive(Default)]
struct HostOutput {
    seen: Arc<Mutex<SeenOutput>>,
    reader: Option<std::thread::JoinHandle<()>>,
}

#[derive(Default)]
struct SeenOutput {
    started: bool,
    last: VecDeque<String>,
}

fn spawn(settings: &Path) -> (Child, HostOutput) {
    let (output, errors) = std::io::pipe().expect("pipe");
    let copy = errors.try_clone().expect("pipe");
    let child = spawn_to(settings, copy.into(), errors.into());
    let seen = Arc::<Mutex<SeenOutput>>::default();
    let shown = Arc::clone(&seen);
    let file = log_file(settings);
    let reader = std::thread::spawn(move || read_lines(output, &shown, file));
    let output = HostOutput {
        seen,
        reader: Some(reader),
    };
    (child, output)
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

fn read_lines(output: PipeReader, seen: &Mutex<SeenOutput>, mut file: Option<File>) {
    for line in BufReader::new(output).split(b'\n') {
        let line = line.expect("a line");
        let text = String::from_utf8_lossy(&line).into_owned();
        if let Some(file) = &mut file {
            writeln!(file, "{text}").expect("log file");
        }
        let mut seen = lock(seen);
        seen.started |= text.starts_with(READY_PREFIX);
        seen.last.push_back(text);
        if seen.last.len() > LAST_LINES {
            seen.last.pop_front();
        }
    }
}

/// Get the log file of a traced run, in the directory that the environment variable
/// names; `None` if the run is not traced.
fn log_file(settings: &Path) -> Option<File> {
    let directory = std::env::var_os("BERGAMOT_TEST_LOGS")?;
    let name = settings.with_extension("log");
    let path = Path::new(&directory).join(name.file_name().unwrap_or_default());
    let file = File::options().create(true).append(true).open(path);
    Some(file.expect("log file"))
}
