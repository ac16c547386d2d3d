//! Provides the demo's fleet: a simulated platform and the hosts, in one
//! process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::revision::LIMITS_VALUE;
use bergamotswitch_core::settings::HostSettings;
use bergamotswitch_net::input::{NodeInput, NodeSender};
use bergamotswitch_net::node::{HostNode, NodeSetup};
use bergamotswitch_standin::platform::{PlatformOptions, PlatformStandin};
use bergamotswitch_standin::stage::StagedDeployment;
use bytes::Bytes;
use http::{HeaderMap, Method};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use super::wait_ready;
use crate::command::error::CommandError;
use crate::command::{client, files};

/// The seed of the random numbers that the simulated platform draws.
const STANDIN_SEED: u64 = 1;

/// The lifetime of the host addresses given to callers. It is short because a
/// planned stop waits until the addresses have expired.
const ADDRESS_LIFETIME_MS: u64 = 1_000;

/// The timeout for hosts to stop or to adopt a published value.
const FLEET_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval at which a host's status is polled.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A `DemoHost` is one entry host of the demo.
struct DemoHost {
    caller_address: SocketAddr,
    sender: NodeSender,
    task: JoinHandle<()>,
}

/// A `DemoFleet` is a deployment that runs on loopback.
pub(super) struct DemoFleet {
    stage: StagedDeployment,
    platform: PlatformStandin,
    hosts: Vec<DemoHost>,
}

impl DemoFleet {
    /// Try to start the platform and the hosts, and wait until all hosts are
    /// ready.
    pub async fn try_start(directory: &Path) -> Result<Self, CommandError> {
        let stage = StagedDeployment::try_new(directory)
            .map_err(|error| CommandError::Read(directory.to_owned(), error))?;
        shorten_address_lifetime(stage.directory())?;
        let settings = read_settings(&stage)?;
        let options = platform_options(&stage, &settings)?;
        let platform = PlatformStandin::try_start(&options).await;
        let platform = platform.map_err(|error| CommandError::Answer(error.to_string()))?;
        let hosts = start_hosts(settings)?;
        for host in &hosts {
            wait_ready(host.caller_address).await?;
        }
        Ok(DemoFleet {
            stage,
            platform,
            hosts,
        })
    }

    /// Get the addresses on which the hosts accept callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.caller_address).collect()
    }

    /// Get the number of simulated targets.
    pub fn target_count(&self) -> usize {
        self.platform.target_count()
    }

    /// Try to read a published value from the deployment's files, as it was at
    /// the start.
    pub fn value(&self, name: &str) -> Result<Value, CommandError> {
        read_json(&self.stage.directory().join(format!("{name}.json")))
    }

    /// Try to set the fault switches of the named targets.
    pub async fn set(&self, targets: &[String], switches: &Value) -> Result<(), CommandError> {
        for target in targets {
            let command = json!({ "target": target, "set": switches });
            self.control(&command).await?;
        }
        Ok(())
    }

    /// Try to publish a value and wait until it is in force on every host.
    pub async fn publish(&self, name: &str, body: &Value) -> Result<u64, CommandError> {
        let command = json!({ "publish": { "name": name, "body": body } });
        let answer = self.control(&command).await?;
        let revision = answer["revision"].as_u64().unwrap_or_default();
        for host in &self.hosts {
            let waited = wait_revision(host.caller_address, name, revision);
            let waited = tokio::time::timeout(FLEET_TIMEOUT, waited).await;
            waited.map_err(|_| {
                let host = host.caller_address;
                CommandError::Answer(format!(
                    "{host} did not adopt revision {revision} of {name} within {FLEET_TIMEOUT:?}"
                ))
            })?;
        }
        Ok(revision)
    }

    async fn control(&self, command: &Value) -> Result<Value, CommandError> {
        let service = self.platform.configuration_address();
        let body = Bytes::from(command.to_string());
        let answer =
            client::call(service, Method::POST, "/control", HeaderMap::new(), body).await?;
        let text = String::from_utf8_lossy(&answer.body);
        match answer.status.is_success() {
            true => Ok(serde_json::from_str(&text).unwrap_or_default()),
            false => Err(CommandError::Answer(format!("{service}/control: {text}"))),
        }
    }

    /// Try to start a planned stop of every host and wait until all have
    /// stopped.
    pub async fn stop(self) -> Result<(), CommandError> {
        for host in &self.hosts {
            // Sending fails only if the host has already stopped.
            let _ = host.sender.send(NodeInput::Stop(Moment::NEVER));
        }
        for host in self.hosts {
            let ended = tokio::time::timeout(FLEET_TIMEOUT, host.task).await;
            let ended = ended.map_err(|_| {
                CommandError::Answer(format!("{} did not stop in time", host.caller_address))
            })?;
            ended.map_err(|error| CommandError::Answer(error.to_string()))?;
        }
        Ok(())
    }
}

fn read_json(path: &Path) -> Result<Value, CommandError> {
    let value = serde_json::from_str(&files::read(path)?);
    value.map_err(|error| CommandError::Answer(format!("{}: {error}", path.display())))
}

/// Set a shorter address lifetime in the staged copy of the limits.
fn shorten_address_lifetime(stage: &Path) -> Result<(), CommandError> {
    let path = stage.join(format!("{LIMITS_VALUE}.json"));
    let mut limits = read_json(&path)?;
    limits["address_lifetime_ms"] = ADDRESS_LIFETIME_MS.into();
    let written = std::fs::write(&path, limits.to_string());
    written.map_err(|error| CommandError::Read(path, error))
}

fn read_settings(stage: &StagedDeployment) -> Result<Vec<HostSettings>, CommandError> {
    let mut all = Vec::new();
    for path in files::json_files(&stage.settings_directory())? {
        let settings = HostSettings::try_from_json(&files::read(&path)?);
        all.push(settings.map_err(|findings| CommandError::Invalid(path, findings))?);
    }
    Ok(all)
}

/// Get options for a platform that listens on the addresses in the hosts'
/// settings.
fn platform_options(
    stage: &StagedDeployment,
    settings: &[HostSettings],
) -> Result<PlatformOptions, CommandError> {
    let first = |addresses: fn(&HostSettings) -> &[SocketAddr]| {
        let address = settings.first().and_then(|host| addresses(host).first());
        address.copied().ok_or_else(|| {
            CommandError::Answer("the hosts' settings contain no platform address".into())
        })
    };
    Ok(PlatformOptions {
        deployment: stage.directory().to_owned(),
        configuration: first(|host| &host.configuration_services)?,
        host_list: first(|host| &host.host_lists)?,
        control: None,
        seed: STANDIN_SEED,
    })
}

fn start_hosts(settings: Vec<HostSettings>) -> Result<Vec<DemoHost>, CommandError> {
    let mut hosts = Vec::new();
    for settings in settings {
        let caller_address = settings.caller_address;
        let setup = NodeSetup::try_new(settings).map_err(CommandError::Start)?;
        let node = HostNode::try_new(setup).map_err(CommandError::Start)?;
        hosts.push(DemoHost {
            caller_address,
            sender: node.sender(),
            task: tokio::task::spawn_local(node.run()),
        });
    }
    Ok(hosts)
}

async fn wait_revision(host: SocketAddr, name: &str, revision: u64) {
    loop {
        if let Ok(answer) = client::get(host, "/status").await
            && let Ok(view) = serde_json::from_slice::<Value>(&answer.body)
            && in_force(&view, name) >= revision
        {
            return;
        }
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
    }
}

fn in_force(view: &Value, name: &str) -> u64 {
    let values = view["revisions"]["values"].as_array();
    let mut values = values.into_iter().flatten();
    let value = values.find(|value| value["name"] == name);
    let revision = value.and_then(|value| value["in_force"].as_u64());
    revision.unwrap_or_default()
}
