//! Provides a small deployment: the settings and the processes of the project's hosts.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::client::{Connection, Request};
use crate::wait_until;

/// The host name of all routes.
pub const HOST: &str = "ficu95.example";

/// The processes that were started, to be ended on any way out.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kill all hosts that were started and still run.
pub fn kill_all_hosts() {
    for id in STARTED.lock().unwrap().drain(..) {
        signal(id, "-KILL");
    }
}

/// Kill a host and wait for its end, so that its id is not used again by then.
fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    let id = child.id();
    STARTED.lock().unwrap().retain(|known| *known != id);
}

/// Send a signal to a process that this one started.
pub fn signal(id: u32, name: &str) {
    let _ = Command::new("kill").arg(name).arg(id.to_string()).status();
}

/// A `Bounds` is the figures of a deployment's sheet that its settings hold.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub memory_mb: u64,
    pub cores: f64,
    pub grace_s: u64,
    pub revoke_ms: u64,
    pub retry_ratio: f64,
    pub retry_slack: u64,
    pub retry_window_s: u64,
    pub quota_window_s: u64,
    pub quota_overage: f64,
}

impl Bounds {
    /// Get the figures of the site `naapuriseina-lm`.
    pub fn naapuriseina() -> Self {
        Bounds {
            memory_mb: 110,
            cores: 0.25,
            grace_s: 8,
            revoke_ms: 5_000,
            retry_ratio: 0.2,
            retry_slack: 56,
            retry_window_s: 10,
            quota_window_s: 8,
            quota_overage: 0.25,
        }
    }
}

impl Bounds {
    /// Get the figures of the site `rab-cielo`.
    pub fn rab_cielo() -> Self {
        Bounds {
            memory_mb: 260,
            retry_slack: 54,
            ..Bounds::naapuriseina()
        }
    }
}

/// A `Host` is a process of the project.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: SocketAddr,
    pub link: SocketAddr,
    settings: PathBuf,
    child: Arc<Mutex<Child>>,
    log: PathBuf,
}

impl Host {
    /// Get the id of the process.
    pub fn id(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    /// Get whether the process has ended.
    pub fn has_ended(&self) -> bool {
        !matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    /// Send a signal to the process.
    pub fn signal(&self, name: &str) {
        signal(self.id(), name);
    }

    /// Start the process again, with the same settings.
    pub fn restart(&self) {
        let mut child = self.child.lock().unwrap();
        end(&mut child);
        if let Ok(started) = spawn(&self.settings, &self.log) {
            *child = started;
        }
    }

    /// Get whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        status_of(self.readiness, "/readyz") == Some(200)
    }

    /// Get the number of hosts that the directory of this one names.
    pub fn resolved(&self, zone: &str) -> usize {
        let path = format!("/resolve?name={HOST}&region=uusimaa&zone={zone}");
        let request = plain(&path);
        let answer = Connection::open(self.directory)
            .and_then(|mut open| open.exchange(&request, Duration::from_secs(1)));
        answer.map_or(0, |answer| {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let list = text.split('[').nth(1).unwrap_or_default();
            let list = list.split(']').next().unwrap_or_default();
            list.split(',').filter(|entry| !entry.is_empty()).count()
        })
    }
}

/// A `Site` is the hosts of a small deployment.
pub struct Site {
    pub hosts: Vec<Host>,
    directory: PathBuf,
}

impl Site {
    /// Start hosts with the commands of the deploy file, and wait until all are ready and know
    /// each other; `None` if they do not become so, on other ports the second time.
    pub fn start(store: SocketAddr, zones: &[&str], count: usize, bounds: &Bounds) -> Option<Self> {
        let first = Site::try_start(store, zones, count, bounds);
        first.or_else(|| Site::try_start(store, zones, count, bounds))
    }

    fn try_start(store: SocketAddr, zones: &[&str], count: usize, bounds: &Bounds) -> Option<Self> {
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&directory).ok()?;
        let ports: Vec<Vec<SocketAddr>> = (0..count).map(|_| free_addresses(5)).collect();
        let seeds: Vec<String> = ports
            .iter()
            .take(3)
            .map(|own| format!("\"{}\"", own[4]))
            .collect();
        let seeds = format!("[{}]", seeds.join(","));
        let mut hosts = Vec::new();
        for (number, own) in ports.iter().enumerate() {
            let zone = zones[number % zones.len()];
            let name = format!("frontend-{zone}-{}", number / zones.len() + 1);
            let settings = directory.join(format!("{name}.json"));
            let text = settings_text(&name, zone, own, store, &seeds, bounds);
            std::fs::write(&settings, text).ok()?;
            let log = directory.join(format!("{name}.log"));
            let child = spawn(&settings, &log).ok()?;
            hosts.push(Host {
                name,
                callers: own[0],
                readiness: own[1],
                directory: own[2],
                metrics: own[3],
                link: own[4],
                settings,
                child: Arc::new(Mutex::new(child)),
                log,
            });
        }
        let site = Site { hosts, directory };
        let all = |host: &Host| host.is_ready() && host.resolved(zones[0]) == count;
        let ready = wait_until(Duration::from_secs(12), || site.hosts.iter().all(all));
        ready.then_some(site)
    }

    /// Get the lines that the hosts have logged and that hold a text.
    pub fn logged(&self, text: &str) -> Vec<String> {
        let mut found = Vec::new();
        for host in &self.hosts {
            let Ok(file) = std::fs::File::open(&host.log) else {
                continue;
            };
            let lines = BufReader::new(file).lines().map_while(Result::ok);
            let lines = lines.filter(|line| line.contains(text));
            found.extend(lines.map(|line| format!("{}: {line}", host.name)));
        }
        found
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for host in &self.hosts {
            end(&mut host.child.lock().unwrap());
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

fn spawn(settings: &Path, log: &Path) -> std::io::Result<Child> {
    let output = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)?;
    let child = Command::new("target/release/bergamotswitch")
        .args(["serve", "--settings"])
        .arg(settings)
        .env("BERGAMOTSWITCH_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()?;
    STARTED.lock().unwrap().push(child.id());
    Ok(child)
}

/// Get the settings as the template of the deploy file gives them.
fn settings_text(
    name: &str,
    zone: &str,
    own: &[SocketAddr],
    store: SocketAddr,
    seeds: &str,
    bounds: &Bounds,
) -> String {
    format!(
        r#"{{
  "name": "{name}",
  "domain": "{zone}",
  "caller_address": "{}",
  "link_address": "{}",
  "grace_s": {},
  "gateway": {{
    "readiness_address": "{}",
    "directory_address": "{}",
    "metrics_address": "{}",
    "store_address": "{store}",
    "seeds": {seeds},
    "link_key": "red-austral-and-naapuriseina-entry-hosts",
    "cores": {},
    "memory_mb": {},
    "revoke_ms": {},
    "retry_ratio": {},
    "retry_slack": {},
    "retry_window_s": {},
    "quota_window_s": {},
    "quota_overage": {},
    "scheduling": {{
      "account_share_half_life_ms": 4000,
      "return_room_permille": 400,
      "idle_connection_permille": 200
    }}
  }},
  "log": {{ "output": "stdout", "format": "json", "level": "info" }}
}}
"#,
        own[0],
        own[4],
        bounds.grace_s,
        own[1],
        own[2],
        own[3],
        bounds.cores,
        bounds.memory_mb,
        bounds.revoke_ms,
        bounds.retry_ratio,
        bounds.retry_slack,
        bounds.retry_window_s,
        bounds.quota_window_s,
        bounds.quota_overage,
    )
}

/// Get free ports below those that the system gives to outgoing connections, which could take
/// one before its host has started.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id() * 64;
    let mut found = Vec::new();
    while found.len() < count {
        let number = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let address = SocketAddr::from(([127, 0, 0, 1], 12_000 + (number % 20_000) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            found.push(address);
        }
    }
    found
}

fn plain(path: &str) -> Request {
    Request {
        method: "GET",
        path: path.to_owned(),
        fields: vec![("Host".to_owned(), HOST.to_owned())],
        body: Vec::new(),
        chunked: false,
    }
}

fn status_of(address: SocketAddr, path: &str) -> Option<u16> {
    let mut open = Connection::open(address).ok()?;
    let answer = open.exchange(&plain(path), Duration::from_secs(1)).ok()?;
    Some(answer.status())
}
