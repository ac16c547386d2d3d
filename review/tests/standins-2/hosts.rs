//! Provides the hosts of the system, each a process of its own.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::http::Call;
use crate::record::Record;

/// The next port to try. Ports below the ephemeral ones are not taken by outgoing
/// connections.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
const FIRST_PORT: u16 = 10_000;
const PORT_COUNT: u16 = 20_000;

/// The processes that were started and not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    STARTED.lock().unwrap().retain(|id| *id != child.id());
}

/// End the program and all hosts with the code for a case that could not run, if it takes
/// longer than this.
pub fn limit_time(span: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(span);
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &id.to_string()])
                .status();
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

/// Get an address that nobody uses.
pub fn free_address() -> SocketAddr {
    let start = (std::process::id() % 180) as u16 * 110;
    loop {
        let number = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let port = FIRST_PORT + (start + number) % PORT_COUNT;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

/// A `HostSpec` is what the hosts of a case have in common.
#[derive(Clone, Debug)]
pub struct HostSpec {
    pub store: SocketAddr,
    pub folder: PathBuf,
    pub zones: Vec<&'static str>,
    /// More lines of the gateway's settings, each with a comma at its end.
    pub bounds: &'static str,
}

/// A `Host` is one host, running or not.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Start hosts that know each other, and wait until all are ready.
pub fn start_hosts(count: usize, spec: &HostSpec, record: &Record) -> Result<Vec<Host>, String> {
    let links: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
    let mut hosts = Vec::new();
    for (number, link) in links.iter().enumerate() {
        let zone = spec.zones[number % spec.zones.len()];
        let name = format!("frontend-{zone}-{number}");
        let (callers, readiness) = (free_address(), free_address());
        let (directory, metrics) = (free_address(), free_address());
        let seeds: Vec<String> = links
            .iter()
            .take(3)
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let (seeds, store, bounds) = (seeds.join(","), spec.store, spec.bounds);
        let text = format!(
            r#"{{
  "name": "{name}",
  "domain": "{zone}",
  "caller_address": "{callers}",
  "link_address": "{link}",
  "grace_s": 8,
  "gateway": {{
    "readiness_address": "{readiness}",
    "directory_address": "{directory}",
    "metrics_address": "{metrics}",
    "store_address": "{store}",
    "seeds": [{seeds}],
    "link_key": "red-austral-and-naapuriseina-entry-hosts",
    "cores": 0.25,
    "memory_mb": 110,
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_slack": 56,
    "retry_window_s": 10,
    "quota_window_s": 8,
    {bounds}
    "quota_overage": 0.25,
    "scheduling": {{
      "account_share_half_life_ms": 4000,
      "return_room_permille": 400,
      "idle_connection_permille": 200
    }}
  }},
  "log": {{ "output": "stdout", "format": "json", "level": "info" }}
}}
"#
        );
        let settings = spec.folder.join(format!("host-{number}.json"));
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let mut host = Host {
            log: spec.folder.join(format!("host-{number}.log")),
            name,
            callers,
            readiness,
            directory,
            settings,
            child: None,
        };
        host.start(record)?;
        hosts.push(host);
    }
    let deadline = Instant::now() + Duration::from_secs(15);
    for host in &hosts {
        while !(host.is_ready() && host.known_hosts() == count) {
            if Instant::now() > deadline {
                return Err(format!("{} did not become ready", host.name));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    record.note(&format!("{count} hosts are ready"));
    Ok(hosts)
}

impl Host {
    /// Start the host with the command of the deploy file.
    pub fn start(&mut self, record: &Record) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new("target/release/bergamotswitch")
            .args(["serve", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn();
        let child = child.map_err(|error| error.to_string())?;
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
        record.note(&format!("host {} starts", self.name));
        Ok(())
    }

    /// End the host with SIGKILL.
    pub fn kill(&mut self, record: &Record) {
        if let Some(mut child) = self.child.take() {
            end(&mut child);
            record.note(&format!("host {} is killed", self.name));
        }
    }

    /// Get the memory that the process takes, in KiB.
    pub fn memory_kb(&self) -> u64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let words = line.and_then(|line| line.split_whitespace().next());
        words.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    pub fn is_ready(&self) -> bool {
        let within = Duration::from_secs(1);
        let answer = Call::new("GET", "/readyz").send(self.readiness, within, |_, _| {});
        answer.is_ok_and(|(head, _)| head.status() == 200)
    }

    fn known_hosts(&self) -> usize {
        let path = "/resolve?name=case.example&region=r&zone=z";
        let mut text = String::new();
        let within = Duration::from_secs(1);
        let _ = Call::new("GET", path).send(self.directory, within, |_, bytes| {
            text += &String::from_utf8_lossy(bytes);
        });
        text.matches("127.0.0.1:").count()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            end(&mut child);
        }
    }
}
