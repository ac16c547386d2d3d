//! Provides a fleet of separate processes on loopback: hosts and one simulated
//! platform. All processes are ended when the fleet is dropped.

// Each test file uses only a part of this module.
#![allow(dead_code)]

pub mod caller;
#[path = "../host_child/mod.rs"]
pub mod host_child;
pub mod relay;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use bergamotswitch::command::client::{self, HttpAnswer};
use bergamotswitch::command::demo;
use bergamotswitch::core::settings::HostSettings;
use bergamotswitch_standin::stage::StagedDeployment;
use bytes::Bytes;
use http::{HeaderMap, Method};
use serde_json::{Value, json};

use self::host_child::{HostChild, PlannedStop};

/// The port of the control address. The deployments do not use it.
const CONTROL_PORT: u16 = 7900;
/// How long a test waits for a condition before it fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The name of the engine pool of the deployment Red Austral.
pub const ENGINES: &str = "bolido-llm";
/// The indices of a fleet's hosts.
pub const ALL_HOSTS: [usize; 3] = [0, 1, 2];

/// A `HostProcess` is a running host of a fleet, with its settings.
pub struct HostProcess {
    pub settings: HostSettings,
    child: HostChild,
}

impl HostProcess {
    fn start(path: PathBuf) -> Self {
        HostProcess {
            settings: read_settings(&path),
            child: HostChild::start(path),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.settings.caller_address
    }

    pub fn name(&self) -> &str {
        self.settings.name.as_str()
    }

    pub fn kill(&mut self) {
        self.child.kill();
    }

    pub fn restart(&mut self) {
        self.child.restart();
    }

    pub fn signal(&self, name: &str) {
        self.child.signal(name);
    }

    /// Begin a planned stop of the host.
    pub fn stop(self, grace: Duration) -> PlannedStop {
        PlannedStop::begin(self.child, grace)
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.exit_status().is_some()
    }

    pub fn wait_end(&mut self, limit: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some(status) = self.child.exit_status() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

/// A `Fleet` is a set of host processes and their platform. Its processes are
/// ended when it is dropped.
pub struct Fleet {
    pub hosts: Vec<HostProcess>,
    pub platform: Child,
    pub control: SocketAddr,
    stage: StagedDeployment,
}

impl Fleet {
    /// Start the platform, then the hosts, and wait until all hosts are ready.
    pub async fn start(deployment: &str) -> Self {
        Fleet::start_with(deployment, |_| ()).await.0
    }

    /// Start a fleet after `change` has edited its staged files.
    pub async fn start_with<T>(
        deployment: &str,
        change: impl FnOnce(&StagedDeployment) -> T,
    ) -> (Self, T) {
        let directory = demo::deployment_directory(deployment);
        let stage = StagedDeployment::try_new(&directory).expect("stage");
        let platform = read_settings(&settings_paths(&stage)[0]);
        let changed = change(&stage);
        let paths = settings_paths(&stage);
        let control = SocketAddr::from((stage.address(), CONTROL_PORT));
        let platform = start_platform(&stage, &platform, control);
        let hosts = paths.into_iter().map(HostProcess::start).collect();
        let fleet = Fleet {
            hosts,
            platform,
            control,
            stage,
        };
        for host in &fleet.hosts {
            demo::wait_ready(host.address()).await.expect("ready");
        }
        (fleet, changed)
    }

    pub async fn control(&self, order: Value) -> HttpAnswer {
        let body = Bytes::from(order.to_string());
        let fields = HeaderMap::new();
        let answer = client::call(self.control, Method::POST, "/control", fields, body).await;
        let answer = answer.expect("control answers");
        assert!(answer.status.is_success(), "{answer:?}");
        answer
    }

    pub async fn set(&self, target: &str, switches: Value) {
        self.control(json!({ "target": target, "set": switches }))
            .await;
    }

    pub async fn ledger(&self) -> Value {
        let answer = client::get(self.control, "/ledger").await;
        serde_json::from_slice(&answer.expect("ledger").body).expect("JSON")
    }

    /// Get the indices of the other hosts.
    pub fn others(&self, host: usize) -> Vec<usize> {
        let others = ALL_HOSTS.into_iter().filter(|other| *other != host);
        others.collect()
    }

    /// Get the runs of all targets.
    pub async fn runs(&self) -> Vec<Run> {
        let ledger = self.ledger().await;
        let targets = ledger["targets"].as_object().expect("targets");
        let runs_of = |(target, board): (&String, &Value)| {
            let runs = board["runs"].as_array().expect("runs").clone();
            let target = target.clone();
            runs.into_iter().map(move |run| Run::read(&target, &run))
        };
        targets.iter().flat_map(runs_of).collect()
    }

    /// Set fault switches of every engine.
    pub async fn set_engines(&self, switches: Value) {
        let pools = self.published("pools");
        for target in pools["pools"][0]["targets"].as_array().expect("targets") {
            let name = target["name"].as_str().expect("name");
            self.set(name, switches.clone()).await;
        }
    }

    /// Publish the deployment's value of this name with the edits of `change`, and
    /// get its revision.
    pub async fn publish(&self, name: &str, change: impl FnOnce(&mut Value)) -> u64 {
        let mut body = self.published(name);
        change(&mut body);
        let order = json!({ "publish": { "name": name, "body": body } });
        let answer = self.control(order).await;
        let answer: Value = serde_json::from_slice(&answer.body).expect("JSON");
        answer["revision"].as_u64().expect("revision")
    }

    /// Publish the token limit of each target, and wait until all hosts have applied
    /// it. A low limit lets a target run only one or a few requests at a time.
    pub async fn publish_token_limit(&self, tokens: u64) {
        let revision = self
            .publish("pools", |pools| {
                let targets = pools["pools"][0]["targets"].as_array_mut();
                for target in targets.expect("targets") {
                    target["token_limit"] = tokens.into();
                }
            })
            .await;
        self.wait_applied("pools", revision).await;
    }

    /// Publish the maximum drain time of a shard's queue, and wait until all hosts
    /// have applied it.
    pub async fn publish_queue_limit(&self, millis: u64) {
        let change = |limits: &mut Value| limits["queue_limit_ms"] = millis.into();
        let revision = self.publish("limits", change).await;
        self.wait_applied("limits", revision).await;
    }

    async fn wait_applied(&self, name: &str, revision: u64) {
        for host in &self.hosts {
            wait_revision(host.address(), name, revision).await;
        }
    }

    /// Wait until exactly one of `hosts` acts as the owner of the pool's shard, and
    /// get its index.
    pub async fn wait_owner(&self, pool: &str, hosts: &[usize]) -> usize {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut owners = Vec::new();
        while Instant::now() < deadline {
            owners.clear();
            for number in hosts {
                if owns(&view(self.hosts[*number].address()).await, pool) {
                    owners.push(*number);
                }
            }
            if let [owner] = owners[..] {
                return owner;
            }
            caller::pause().await;
        }
        panic!("{pool}: expected one owner, found {owners:?}");
    }

    pub fn published(&self, name: &str) -> Value {
        let path = self.stage.directory().join(format!("{name}.json"));
        let text = std::fs::read_to_string(path).expect("value");
        serde_json::from_str(&text).expect("JSON")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // End the hosts before the platform that they read from.
        self.hosts.clear();
        let _ = self.platform.kill();
        let _ = self.platform.wait();
    }
}

/// Get the settings files of a staged deployment, in the order of the hosts.
pub fn settings_paths(stage: &StagedDeployment) -> Vec<PathBuf> {
    let mut paths: Vec<PathBuf> = std::fs::read_dir(stage.settings_directory())
        .expect("settings")
        .map(|entry| entry.expect("entry").path())
        .collect();
    paths.sort();
    paths
}

/// Set the grace period of all hosts of a staged deployment.
pub fn set_grace(stage: &StagedDeployment, grace: Duration) {
    for path in settings_paths(stage) {
        let text = std::fs::read_to_string(&path).expect("settings file");
        let mut settings: Value = serde_json::from_str(&text).expect("JSON");
        settings["grace_s"] = grace.as_secs_f64().into();
        std::fs::write(&path, settings.to_string()).expect("settings file");
    }
}

/// Replace a text in a staged file.
pub fn rewrite(path: &Path, from: &str, to: &str) {
    let text = std::fs::read_to_string(path).expect("staged file");
    assert!(text.contains(from), "{path:?} has no {from}");
    std::fs::write(path, text.replace(from, to)).expect("staged file");
}

fn read_settings(path: &Path) -> HostSettings {
    let text = std::fs::read_to_string(path).expect("settings file");
    HostSettings::try_from_json(&text).expect("good settings")
}

fn start_platform(stage: &StagedDeployment, settings: &HostSettings, control: SocketAddr) -> Child {
    let mut child = Command::new(env!("CARGO_BIN_EXE_bergamotswitch-standin"))
        .arg("--deployment")
        .arg(stage.directory())
        .args([
            "--configuration",
            &settings.configuration_services[0].to_string(),
        ])
        .args(["--host-list", &settings.host_lists[0].to_string()])
        .args(["--control", &control.to_string()])
        .stdout(Stdio::piped())
        .stderr(Stdio::inherit())
        .spawn()
        .expect("platform starts");
    let output = child.stdout.take().expect("piped");
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line).expect("line");
    assert!(line.starts_with("ready "), "{line}");
    child
}

/// A `Run` is one execution of a request at a target.
#[derive(Clone, Debug)]
pub struct Run {
    pub target: String,
    pub request: String,
    pub body: String,
    pub outcome: String,
}

impl Run {
    fn read(target: &str, run: &Value) -> Self {
        let text = |name: &str| run[name].as_str().expect("text").to_owned();
        Run {
            target: target.to_owned(),
            request: text("request_id"),
            body: text("body"),
            outcome: text("outcome"),
        }
    }
}

/// Assert that no request body ran twice, under the same or different ids.
pub fn assert_ran_once(runs: &[Run]) {
    let mut by_body: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        by_body.entry(&run.body).or_default().push(run);
    }
    let twice: Vec<_> = by_body.values().filter(|runs| runs.len() > 1).collect();
    assert!(twice.is_empty(), "ran twice: {twice:?}");
}

/// Get a host's metrics page.
pub async fn metrics(host: SocketAddr) -> String {
    let page = client::get(host, "/metrics").await.expect("metrics");
    String::from_utf8_lossy(&page.body).into_owned()
}

/// Get whether the host of this status view acts as the owner of the pool's shard.
pub fn owns(view: &Value, pool: &str) -> bool {
    let owned = view["owns"].as_array().expect("owns");
    owned.iter().any(|shard| shard["pool"] == pool)
}

/// A `RevisionWatch` polls the hosts and panics if a published value of a ready host
/// returns to an earlier revision, also across a restart.
pub struct RevisionWatch(tokio::task::JoinHandle<()>);

impl RevisionWatch {
    pub fn start(fleet: &Fleet, name: &'static str) -> Self {
        let hosts: Vec<SocketAddr> = fleet.hosts.iter().map(HostProcess::address).collect();
        RevisionWatch(tokio::spawn(async move {
            let mut highest = vec![0; hosts.len()];
            loop {
                for (host, highest) in hosts.iter().zip(&mut highest) {
                    // A host that is down does not answer, and one that is starting
                    // has no revision yet.
                    let view = try_view(*host).await.unwrap_or_default();
                    if view["ready"] == true {
                        let revision = in_force(&view, name);
                        assert!(revision >= *highest, "{host}: {highest} to {revision}");
                        *highest = revision;
                    }
                }
                caller::pause().await;
            }
        }))
    }

    /// Stop the watch and assert that no revision went back.
    pub async fn check(self) {
        let has_failed = self.0.is_finished();
        self.0.abort();
        assert!(!has_failed, "{:?}", self.0.await);
    }
}

async fn try_view(host: SocketAddr) -> Option<Value> {
    let answer = client::get(host, "/status").await.ok()?;
    serde_json::from_slice(&answer.body).ok()
}

/// Get the revision of a value that is in force, from a host's status view.
pub fn in_force(view: &Value, name: &str) -> u64 {
    let values = view["revisions"]["values"].as_array().expect("values");
    let value = values.iter().find(|value| value["name"] == name);
    value.and_then(|v| v["in_force"].as_u64()).unwrap_or(0)
}

/// Wait until a host has applied this revision of a value or a later one.
pub async fn wait_revision(host: SocketAddr, name: &str, revision: u64) {
    let reached = wait_view(host, |view| in_force(view, name) >= revision).await;
    assert!(reached.is_some(), "{host}: {name} below {revision}");
}

/// Get a host's status view.
pub async fn view(host: SocketAddr) -> Value {
    let answer = client::get(host, "/status").await.expect("status");
    serde_json::from_slice(&answer.body).expect("JSON")
}

/// Wait until `check` is true of a host's status view; `None` on timeout.
pub async fn wait_view(host: SocketAddr, check: impl Fn(&Value) -> bool) -> Option<Value> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if let Ok(answer) = client::get(host, "/status").await
            && let Ok(view) = serde_json::from_slice::<Value>(&answer.body)
            && check(&view)
        {
            return Some(view);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    None
}
