//! Provides a site of the users' platform on loopback: the store and the targets are
//! simulated inside the test, the hosts are separate processes.

// Each test file uses only a part of this module.
#![allow(dead_code)]

#[path = "../host_child/mod.rs"]
pub mod host_child;
pub mod ports;
pub mod raw_target;

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::time::{Duration, Instant};

use bergamotswitch_standin::gateway_target::GatewayTargetStandin;
use bergamotswitch_standin::kv_store::KvStoreStandin;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::time::timeout;

use self::host_child::HostChild;
pub use self::ports::free_address;

/// How long a test waits for a condition before it fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// The value of the `host` header that callers send.
pub const HOST: &str = "notices.example";
/// The API key of the only client account.
pub const KEY: &str = "key-of-the-account";
/// The number of attempts to start a host on free ports.
const START_ATTEMPTS: usize = 5;
/// The timeout of a diagnostic request to a host.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a revoked API key may still be accepted.
pub const REVOKE_MS: u64 = 3_000;

/// The memory of a host in MiB.
pub const MEMORY_MB: u64 = 128;

/// The requests per second that a cold target bears, and how far they may be exceeded: a
/// factor, and a number of requests.
pub const COLD_PER_SECOND: u32 = 10;
pub const COLD_FACTOR: f64 = 1.5;
pub const COLD_SLACK: f64 = 5.0;
/// The requests that a cold target may get in any second.
pub const COLD_ALLOWED: usize = 20;

/// A `SiteOptions` is the configuration of a site.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// The number of hosts.
    pub hosts: usize,
    /// The version of the software of each engine.
    pub engine_versions: Vec<&'static str>,
    /// The number of events of each stream.
    pub events: u32,
    /// The pause before each event.
    pub gap: Duration,
    /// The maximum number of concurrent streams of an engine.
    pub slots: u32,
    /// The target latency until an answer begins.
    pub target_latency: Duration,
    /// The operator's timeout of a route, until the end of the answer.
    pub timeout: Duration,
    /// The grace period: the time from SIGTERM until a host is killed.
    pub grace: Duration,
    /// The priority of the routes to engines, 0 for the highest.
    pub stream_priority: u32,
    /// The maximum size of a request's head, in bytes.
    pub max_head_bytes: u32,
    /// The maximum size of a request's body, in bytes.
    pub max_body_bytes: u32,
    /// How long a caller's connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for SiteOptions {
    fn default() -> Self {
        SiteOptions {
            hosts: 1,
            engine_versions: vec!["v1", "v1"],
            events: 8,
            gap: Duration::from_millis(20),
            slots: 4,
            target_latency: Duration::from_secs(1),
            timeout: Duration::from_secs(5),
            grace: Duration::from_secs(8),
            stream_priority: 0,
            max_head_bytes: 16_384,
            max_body_bytes: 1_000,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A `HostProcess` is a running host of a site, with its addresses.
pub struct HostProcess {
    pub link: SocketAddr,
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub child: HostChild,
    pub settings: PathBuf,
}

impl HostProcess {
    pub async fn wait_end(&mut self) -> ExitStatus {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.exit_status() {
                return status;
            }
            assert!(Instant::now() < deadline, "the host did not exit");
            pause().await;
        }
    }

    pub async fn is_ready(&self) -> bool {
        is_ready(self.readiness).await
    }

    /// Get the host's observable state for a failure message. It shows whether the
    /// host has ended, is not ready or does not know another host.
    async fn diagnostics(&mut self) -> String {
        let process = match self.child.exit_status() {
            Some(status) => format!("ended with {status}"),
            None => format!("process {} runs", self.child.id()),
        };
        let ready = probe(Call::get("/readyz"), self.readiness).await;
        let ready = ready.map(|answer| answer.status);
        let resolved = timeout(PROBE_TIMEOUT, self.resolved_addresses()).await.ok();
        let logged = probe(Call::get("/metrics"), self.metrics).await;
        let logged = logged.map(|page| incident_counts(page.text()));
        let lines = self.child.last_lines();
        let (callers, link) = (self.callers, self.link);
        format!(
            "callers {callers}, link {link}: {process}, ready {ready:?}, resolves to {resolved:?}, \
             log events by number {logged:?}; last output:\n{lines}"
        )
    }

    /// Get the addresses that the host returns from an address lookup; none if it
    /// does not answer.
    pub async fn resolved_addresses(&self) -> Vec<String> {
        let path = format!("/resolve?name={HOST}&region=r&zone=hall-1");
        let Ok(answer) = Call::get(&path).send(self.directory).await else {
            return Vec::new();
        };
        let Ok(page) = serde_json::from_slice::<Value>(&answer.body) else {
            return Vec::new();
        };
        let list = page["addresses"].as_array().cloned().unwrap_or_default();
        list.iter()
            .filter_map(|address| address.as_str().map(str::to_owned))
            .collect()
    }
}

/// A `Site` is a store, targets and hosts.
pub struct Site {
    pub store: KvStoreStandin,
    pub engines: Vec<GatewayTargetStandin>,
    pub desks: Vec<GatewayTargetStandin>,
    pub hosts: Vec<HostProcess>,
    options: SiteOptions,
    version: u64,
}

impl Site {
    /// Start a site with this number of hosts, two engines of one version and two desks (targets of
    /// plain calls), and wait until all hosts are ready.
    pub async fn start(hosts: usize) -> Self {
        Site::start_with(SiteOptions {
            hosts,
            ..SiteOptions::default()
        })
        .await
    }

    /// Start a site with these options.
    pub async fn start_with(options: SiteOptions) -> Self {
        let store = KvStoreStandin::start().await.expect("store");
        let SiteOptions { events, gap, .. } = options;
        let mut engines = Vec::new();
        for (index, version) in options.engine_versions.iter().enumerate() {
            let name = format!("engine-{}", index + 1);
            let engine = GatewayTargetStandin::start(&name, events, gap).await;
            let engine = engine.expect("engine");
            engine.set_version(version);
            engines.push(engine);
        }
        let mut desks = Vec::new();
        for number in 1..=2 {
            let desk = GatewayTargetStandin::start(&format!("desk-{number}"), 0, gap).await;
            desks.push(desk.expect("desk"));
        }
        let mut site = Site {
            store,
            engines,
            desks,
            hosts: Vec::new(),
            options,
            version: 0,
        };
        site.publish(&[KEY], &[]);
        for engine in &site.engines {
            site.register("drafting", engine, "ready");
        }
        for desk in &site.desks {
            site.register("desk", desk, "ready");
        }
        site.start_hosts();
        site.wait_all_ready().await;
        site
    }

    /// Publish the routes with these API keys, and additional routes to the desks.
    pub fn publish(&mut self, keys: &[&str], extra_prefixes: &[&str]) {
        self.version += 3;
        publish_with(
            &self.store,
            self.version,
            keys,
            extra_prefixes,
            &self.options,
        );
    }

    /// Publish the routes with changed options, and wait until all hosts apply them.
    pub async fn apply_changed(&mut self, change: impl FnOnce(&mut SiteOptions)) {
        change(&mut self.options);
        let prefix = format!("/applied-{}/", self.version);
        self.publish(&[KEY], &[&prefix]);
        for host in &self.hosts {
            until("the change is in force", async || {
                let call = Call::new("GET", &prefix, "applied").send(host.callers);
                call.await
                    .is_ok_and(|answer| answer.status == StatusCode::OK)
            })
            .await;
        }
    }

    /// Write a target's own registration to the store.
    pub fn register(&self, service: &str, target: &GatewayTargetStandin, state: &str) {
        let mut entry = target.registration(service, target.address(), state);
        entry["slots"] = self.options.slots.into();
        put_entry(&self.store, target, &entry);
    }

    fn start_hosts(&mut self) {
        let SiteOptions { hosts, grace, .. } = self.options;
        for number in 0..hosts {
            let seed = self.hosts.first().map(|host| host.link);
            let store = self.store.address();
            let host = start_host_with(number, seed, store, grace);
            self.hosts.push(host);
        }
    }

    /// Wait until every host is ready and knows all others.
    pub async fn wait_all_ready(&mut self) {
        let ready = async {
            for host in &self.hosts {
                while !host.is_ready().await
                    || host.resolved_addresses().await.len() != self.hosts.len()
                {
                    pause().await;
                }
            }
        };
        if timeout(WAIT_TIMEOUT, ready).await.is_ok() {
            return;
        }
        let mut diagnostics = Vec::new();
        for host in &mut self.hosts {
            diagnostics.push(host.diagnostics().await);
        }
        panic!("a host did not become ready:\n{}", diagnostics.join("\n"));
    }

    /// Get the address at which the first host serves callers.
    pub fn address(&self) -> SocketAddr {
        self.hosts[0].callers
    }
}

/// Send a call to a host that may not answer.
async fn probe(call: Call, address: SocketAddr) -> io::Result<Answer> {
    let answer = timeout(PROBE_TIMEOUT, call.send(address)).await;
    answer.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Get how often a host has logged each numbered event, from its metrics page.
fn incident_counts(page: &str) -> Vec<(u32, u64)> {
    let counts = page.lines().filter_map(|line| {
        let (series, count) = line.split_once("{number=\"")?;
        let (number, count) = count.split_once("\"} ")?;
        let is_count = series == "bergamot_incidents_total" && count != "0";
        is_count.then_some((number.parse().ok()?, count.parse().ok()?))
    });
    counts.collect()
}

/// Get whether the host with this readiness address is ready.
pub async fn is_ready(address: SocketAddr) -> bool {
    let answer = Call::get("/readyz").send(address).await;
    answer.is_ok_and(|answer| answer.status == StatusCode::OK)
}

/// Publish a version of the routes with these API keys, and additional routes to the
/// desks.
pub fn publish(store: &KvStoreStandin, version: u64, keys: &[&str], extra_prefixes: &[&str]) {
    publish_with(
        store,
        version,
        keys,
        extra_prefixes,
        &SiteOptions::default(),
    );
}

/// Publish a version of the routes with the timeouts of these options.
pub fn publish_with(
    store: &KvStoreStandin,
    version: u64,
    keys: &[&str],
    extra_prefixes: &[&str],
    options: &SiteOptions,
) {
    let timeout = options.timeout.as_millis() as u64;
    let target_latency = options.target_latency.as_millis() as u64;
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        let priority = match service {
            "drafting" => options.stream_priority,
            _ => 0,
        };
        json!({
            "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
            "timeoutMs": timeout, "targetLatencyMs": target_latency, "priority": priority,
            "service": service, "maxAttempts": 2, "public": false,
            "resumable": name == "draft", "gapAimMs": 300,
        })
    };
    let mut routes = vec![
        route("draft", "/draft/", "streaming", "drafting"),
        route("once", "/once/", "streaming", "drafting"),
        route("status", "/status/", "safe", "desk"),
        route("receipt", "/receipt/", "unsafe", "desk"),
    ];
    let mut open = route("open", "/open/", "safe", "desk");
    open["public"] = json!(true);
    routes.push(open);
    for prefix in extra_prefixes {
        routes.push(route("more", prefix, "safe", "desk"));
    }
    let config = json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "drafting", "healthPath": "/healthz", "maxConnections": 100,
             "engine": {"slots": options.slots, "kvCapacityTokens": 100_000},
             "coldStartS": 3, "coldPerS": COLD_PER_SECOND},
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 100,
             "coldStartS": 3, "coldPerS": COLD_PER_SECOND},
        ],
        "limits": {"maxHeaderBytes": options.max_head_bytes, "maxBodyBytes": options.max_body_bytes,
                   "headerTimeoutMs": 3000,
                   "idleTimeoutMs": options.idle_timeout.as_millis() as u64},
        "tenants": [{"name": "company", "apiKeys": keys, "unit": "token_accounting",
                     "plainTokens": 10, "ratePerS": 1_000_000, "burst": 1_000_000}],
    });
    store.put("op/config", &config);
}

/// Register a target at an address, which may be that of a relay in front of it.
pub fn register(
    store: &KvStoreStandin,
    service: &str,
    target: &GatewayTargetStandin,
    address: SocketAddr,
    state: &str,
) {
    let entry = target.registration(service, address, state);
    put_entry(store, target, &entry);
}

fn put_entry(store: &KvStoreStandin, target: &GatewayTargetStandin, entry: &Value) {
    store.put(&format!("servers/{}", target.name()), entry);
}

/// Start a host. If a port is no longer free, retry with other ports.
pub fn start_host(number: usize, seed: Option<SocketAddr>, store: SocketAddr) -> HostProcess {
    start_host_with(number, seed, store, SiteOptions::default().grace)
}

/// Start a host with this grace period.
pub fn start_host_with(
    number: usize,
    seed: Option<SocketAddr>,
    store: SocketAddr,
    grace: Duration,
) -> HostProcess {
    let mut errors = Vec::new();
    for _ in 0..START_ATTEMPTS {
        match try_start_at(HostAddresses::free(), number, seed, store, grace) {
            Ok(host) => return host,
            Err(error) => errors.push(error),
        }
    }
    panic!("no host started on free ports: {errors:#?}");
}

/// A `HostAddresses` is the addresses on which a host is to listen.
#[derive(Clone, Copy, Debug)]
pub struct HostAddresses {
    pub link: SocketAddr,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: SocketAddr,
}

impl HostAddresses {
    pub fn free() -> Self {
        HostAddresses {
            link: free_address(),
            callers: free_address(),
            readiness: free_address(),
            directory: free_address(),
            metrics: free_address(),
        }
    }
}

/// Try to start a host. Its process ends at once if a port is taken.
///
/// # Errors
///
/// Returns the last output of the host if its process ends.
pub fn try_start_at(
    addresses: HostAddresses,
    number: usize,
    seed: Option<SocketAddr>,
    store: SocketAddr,
    grace: Duration,
) -> Result<HostProcess, String> {
    let settings = host_settings(addresses, number, seed, store, grace);
    let path = settings_path(addresses);
    write_settings(&path, &settings);
    let child = HostChild::start(path.clone());
    let HostAddresses {
        link,
        callers,
        readiness,
        directory,
        metrics,
    } = addresses;
    let mut host = HostProcess {
        link,
        callers,
        directory,
        readiness,
        metrics,
        child,
        settings: path,
    };
    let deadline = Instant::now() + WAIT_TIMEOUT;
    // The host's own output: on a port that is taken, another process would answer.
    while !host.child.has_started() {
        if host.child.exit_status().is_some() {
            return Err(host.child.last_lines());
        }
        assert!(Instant::now() < deadline, "the host did not start");
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(host)
}

/// Get the path of a host's settings file.
pub fn settings_path(addresses: HostAddresses) -> PathBuf {
    let name = format!(
        "bergamotswitch-{}-{}.json",
        std::process::id(),
        addresses.callers.port()
    );
    std::env::temp_dir().join(name)
}

/// Get the settings of a host.
pub fn host_settings(
    addresses: HostAddresses,
    number: usize,
    seed: Option<SocketAddr>,
    store: SocketAddr,
    grace: Duration,
) -> Value {
    let HostAddresses {
        link,
        callers,
        readiness,
        directory,
        metrics,
    } = addresses;
    let seed = seed.unwrap_or(link);
    json!({
        "name": format!("front-{number}"), "domain": "hall-1",
        "caller_address": callers, "link_address": link,
        "gateway": {
            "readiness_address": readiness, "directory_address": directory,
            "metrics_address": metrics, "store_address": store, "seeds": [seed],
            "link_key": "a-secret-of-the-test-site", "cores": 0.25, "memory_mb": MEMORY_MB,
            "revoke_ms": REVOKE_MS, "retry_ratio": 1.0, "retry_slack": 50,
            "cold_factor": COLD_FACTOR, "cold_slack": COLD_SLACK,
        },
        "grace_s": grace.as_secs_f64(),
        "log": {"output": "stdout", "format": "json"},
    })
}

/// Change the grace period in a settings file.
pub fn write_grace(path: &Path, grace: Duration) {
    change_settings(path, |settings| {
        settings["grace_s"] = grace.as_secs_f64().into();
    });
}

/// Change the seed in a settings file.
pub fn write_seed(path: &Path, seed: SocketAddr) {
    change_settings(path, |settings| {
        settings["gateway"]["seeds"] = json!([seed]);
    });
}

fn change_settings(path: &Path, change: impl FnOnce(&mut Value)) {
    let text = std::fs::read_to_string(path).expect("settings file");
    let mut settings: Value = serde_json::from_str(&text).expect("JSON");
    change(&mut settings);
    write_settings(path, &settings);
}

/// Wait until the host with this metrics address has logged a numbered event.
pub async fn wait_logged(metrics: SocketAddr, number: u32) {
    let series = format!("{{number=\"{number}\"}} ");
    let counts = |line: &str| line.contains(&series) && !line.ends_with(" 0");
    until(&format!("log event {number}"), async || {
        let page = Call::get("/metrics").send(metrics).await;
        page.is_ok_and(|page| page.text().lines().any(counts))
    })
    .await;
}

/// Wait until the host with this metrics address shows a series with its value.
pub async fn wait_metric(metrics: SocketAddr, line: &str) {
    until(line, async || {
        let page = Call::get("/metrics").send(metrics).await;
        page.is_ok_and(|page| page.text().lines().any(|shown| shown == line))
    })
    .await;
}

/// Write a settings file atomically, since a host may be watching it.
pub fn write_settings(path: &Path, settings: &Value) {
    let draft = path.with_extension("draft");
    std::fs::write(&draft, settings.to_string()).expect("settings file");
    std::fs::rename(&draft, path).expect("settings file");
}

pub async fn pause() {
    tokio::time::sleep(Duration::from_millis(20)).await;
}

/// Wait until a condition is true.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting: {what}");
        pause().await;
    }
}

/// A `Call` is one request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    method: &'static str,
    path: String,
    fields: Vec<(&'static str, String)>,
    body: Bytes,
}

/// An `Answer` is the part of an answer that a caller has received.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// The received part of the body.
    pub body: Bytes,
    /// Whether the body was received to its end.
    pub whole: bool,
}

impl Answer {
    pub fn field(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap_or_default()
    }
}

impl Call {
    pub fn get(path: &str) -> Self {
        Call {
            method: "GET",
            path: path.to_owned(),
            fields: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Get a call with the header fields that the users' callers send.
    pub fn new(method: &'static str, path: &str, id: &str) -> Self {
        let call = Call {
            method,
            ..Call::get(path)
        };
        call.with("host", HOST)
            .with("request-id", id)
            .with("deadline-ms", "4000")
            .with("authorization", &format!("Bearer {KEY}"))
    }

    /// Get a call that is answered with a stream.
    pub fn stream(path: &str, id: &str) -> Self {
        Call::new("POST", path, id)
            .with("model", "m")
            .with("token-count", "100,80")
            .with("length-hint", "40")
            .body("prompt")
    }

    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.fields.retain(|(known, _)| *known != name);
        self.fields.push((name, value.to_owned()));
        self
    }

    pub fn without(mut self, name: &str) -> Self {
        self.fields.retain(|(known, _)| *known != name);
        self
    }

    pub fn body(mut self, text: &str) -> Self {
        self.body = Bytes::from(text.to_owned());
        self
    }

    pub async fn send(self, address: SocketAddr) -> io::Result<Answer> {
        KeptConnection::open(address).await?.send(self).await
    }

    /// Send the call and get the answer's head, with the body still open.
    pub async fn open(self, address: SocketAddr) -> io::Result<http::Response<Incoming>> {
        KeptConnection::open(address).await?.begin(self).await
    }

    fn request(self) -> io::Result<Request<Full<Bytes>>> {
        let mut builder = Request::builder().method(self.method).uri(&self.path);
        for (name, value) in &self.fields {
            builder = builder.header(*name, value);
        }
        let request = builder.body(Full::new(self.body));
        request.map_err(io::Error::other)
    }
}

/// A `KeptConnection` is a caller's connection that is reused for several calls.
pub struct KeptConnection(http1::SendRequest<Full<Bytes>>);

impl KeptConnection {
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        tokio::spawn(connection);
        Ok(KeptConnection(sender))
    }

    /// Send a call and read its answer.
    pub async fn send(&mut self, call: Call) -> io::Result<Answer> {
        let (head, mut body) = self.begin(call).await?.into_parts();
        let mut bytes = Vec::new();
        let whole = loop {
            match body.frame().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => {
                    bytes.extend(frame.into_data().unwrap_or_default());
                }
            }
        };
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: bytes.into(),
            whole,
        })
    }

    async fn begin(&mut self, call: Call) -> io::Result<http::Response<Incoming>> {
        let request = call.request()?;
        self.0.ready().await.map_err(io::Error::other)?;
        let response = self.0.send_request(request).await;
        response.map_err(io::Error::other)
    }
}
