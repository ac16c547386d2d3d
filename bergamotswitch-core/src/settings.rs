//! Provides host settings: what a process is told locally at its start.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Serialize;

use crate::error::Findings;
use crate::failure_domain::DomainName;
use crate::host::{HostList, HostName};
use crate::publication::json_node::{JsonNode, ReadJson, read_text};
use crate::publication::named_choice::read_choice;
use crate::publication::object_reader::ObjectReader;
use crate::publication::repeats::refuse_repeated_addresses;
use crate::publication::{LinkKey, PeerAddress};

/// A `LogFormat` is how log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// A `LogLevel` is the least grave event that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Only promises at risk.
    Error,
    /// Also what works less well.
    Warn,
    /// Also the steps worth following.
    #[default]
    Info,
    /// Also what helps to find a fault.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    /// Get the level's name.
    pub const fn as_str(self) -> &'static str {
        match self {
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
            LogLevel::Trace => "trace",
        }
    }
}

/// A `LogOutput` is where log lines go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogOutput {
    /// Standard error, line by line.
    #[default]
    Stderr,
    /// Standard output, from a bounded buffer that never holds up the loop.
    Stdout,
}

/// A `LogSettings` says what is logged, and how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LogSettings {
    /// Where lines go.
    pub output: LogOutput,
    /// How lines are written.
    pub format: LogFormat,
    /// What is logged.
    pub level: LogLevel,
}

/// A `HostSettings` is what a process is told locally; all else is published.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostSettings {
    /// The host's name, as in the host list.
    pub name: HostName,
    /// The failure domain in which it stands.
    pub domain: DomainName,
    /// Where it listens for callers; port 0 lets the system choose.
    pub caller_address: SocketAddr,
    /// Where it listens for other hosts; port 0 lets the system choose.
    pub link_address: SocketAddr,
    /// The instances of the configuration service.
    pub configuration_services: Vec<SocketAddr>,
    /// The instances of the host list.
    pub host_lists: Vec<SocketAddr>,
    /// How long a planned stop may last before the process is killed, in
    /// seconds; absent where nothing kills it.
    pub grace_s: Option<f64>,
    /// Where it serves as a gateway, which reads no services of the above.
    pub gateway: Option<GatewaySettings>,
    /// What is logged.
    pub log: LogSettings,
}

/// A `GatewaySettings` is what a process is told that serves the users'
/// platform.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GatewaySettings {
    /// Where it tells whether it is ready.
    pub readiness_address: SocketAddr,
    /// Where it tells where to connect.
    pub directory_address: SocketAddr,
    /// Where it shows its metrics.
    pub metrics_address: SocketAddr,
    /// Where the platform's store is.
    pub store_address: SocketAddr,
    /// Hosts to ask first for the others; they may be down.
    pub seeds: Vec<SocketAddr>,
    /// The secret that the hosts share.
    #[serde(skip)]
    pub link_key: String,
    /// Its share of a processor, in cores.
    pub cores: f64,
    /// Its memory, in megabytes.
    pub memory_mb: u64,
    /// How long a revoked key may still work, in milliseconds; no bound where
    /// absent.
    pub revoke_ms: Option<u64>,
    /// The retries of a pool for each request to it.
    pub retry_ratio: f64,
    /// The retries that all hosts together may make beyond that in one window.
    pub retry_slack: f64,
    /// The window over which retries are judged, in seconds.
    pub retry_window_s: f64,
    /// The window over which quotas are judged, in seconds.
    pub quota_window_s: f64,
    /// How much more than its quota an account may use in one window.
    pub quota_overage: f64,
}

/// The name under which findings place the settings.
const SETTINGS_INPUT: &str = "settings";

impl HostSettings {
    /// Try to read the settings from JSON text.
    ///
    /// # Errors
    ///
    /// Returns every fault with its place.
    pub fn try_from_json(text: &str) -> Result<Self, Findings> {
        read_text(SETTINGS_INPUT, text)
    }

    /// Get how long a planned stop may last before the process is killed;
    /// absent where nothing kills it.
    pub fn grace(&self) -> Option<Duration> {
        self.grace_s.map(Duration::from_secs_f64)
    }

    /// Get what the host list says otherwise than these settings. It lags, so
    /// a host starts all the same; callers and peers go by the list.
    pub fn check_listed(&self, hosts: &HostList) -> Findings {
        let mut findings = Findings::new();
        let place = |field: &str| format!("{SETTINGS_INPUT}:/{field}");
        let Some(listed) = hosts.hosts.iter().find(|host| host.name == self.name) else {
            findings.add(place("name"), self.name.as_str(), "a host of the host list");
            return findings;
        };
        if listed.domain != self.domain {
            let allowed = format!("{}, as in the host list", listed.domain);
            findings.add(place("domain"), self.domain.as_str(), allowed);
        }
        let ports = [
            ("caller_address", self.caller_address, listed.caller_address),
            ("link_address", self.link_address, listed.link_address),
        ];
        for (field, own, listed) in ports {
            // The IP numbers may differ: a host may listen on all of its own.
            if own.port() != 0 && own.port() != listed.port() {
                let allowed = format!("port {}, as in the host list", listed.port());
                findings.add(place(field), own.to_string(), allowed);
            }
        }
        findings
    }
}

impl ReadJson for HostSettings {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let name = object.required("name");
        let domain = object.required("domain");
        let caller_address = object.required("caller_address");
        let link_address = object.required("link_address");
        let grace_s = object.fraction("grace_s", &GRACE_RANGE);
        let gateway = object.optional("gateway");
        let has_gateway = node.field("gateway").is_some();
        let (services, host_lists) = match has_gateway {
            true => (Some(Vec::new()), Some(Vec::new())),
            false => (
                object.required::<Vec<PeerAddress>>("configuration_services"),
                object.required::<Vec<PeerAddress>>("host_lists"),
            ),
        };
        let log = object.or_default("log");
        object.finish();
        refuse_shared_address(node, caller_address, link_address, findings);
        refuse_repeated_services(node, findings);
        Some(HostSettings {
            name: name?,
            domain: domain?,
            caller_address: caller_address?,
            link_address: link_address?,
            configuration_services: addresses(services?),
            host_lists: addresses(host_lists?),
            grace_s: grace_s?,
            gateway: gateway?,
            log: log?,
        })
    }
}

/// One address can't be listened on twice; a chosen port differs each time.
fn refuse_shared_address(
    node: &JsonNode<'_>,
    caller_address: Option<SocketAddr>,
    link_address: Option<SocketAddr>,
    findings: &mut Findings,
) {
    let shared = caller_address.is_some() && caller_address == link_address;
    let is_ephemeral = caller_address.is_some_and(|address| address.port() == 0);
    if shared
        && !is_ephemeral
        && let Some(link) = node.field("link_address")
    {
        link.refuse(findings, "another address than caller_address");
    }
}

fn refuse_repeated_services(node: &JsonNode<'_>, findings: &mut Findings) {
    for field in ["configuration_services", "host_lists"] {
        let list = node.field(field).map(|list| list.elements());
        refuse_repeated_addresses(&list.unwrap_or_default(), findings);
    }
}

fn addresses(list: Vec<PeerAddress>) -> Vec<SocketAddr> {
    list.into_iter().map(|address| address.0).collect()
}

/// The allowed shares of a processor, in cores.
const CORE_RANGE: RangeInclusive<f64> = 0.01..=1024.0;
/// The allowed memory, in megabytes.
const MEMORY_RANGE: RangeInclusive<u64> = 16..=1_048_576;
/// The allowed times in which a revoked key may still work, in milliseconds.
const REVOKE_RANGE: RangeInclusive<u64> = 1_000..=3_600_000;
/// The allowed retries for each request.
const RATIO_RANGE: RangeInclusive<f64> = 0.0..=10.0;
/// The allowed retries of all hosts beyond that.
const SLACK_RANGE: RangeInclusive<f64> = 0.0..=1_000_000.0;
/// The allowed lengths of a planned stop, in seconds.
const GRACE_RANGE: RangeInclusive<f64> = 1.0..=3_600.0;

/// The allowed windows of quotas, in seconds.
const WINDOW_RANGE: RangeInclusive<f64> = 0.5..=3_600.0;

impl ReadJson for GatewaySettings {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let readiness_address = object.required("readiness_address");
        let directory_address = object.required("directory_address");
        let metrics_address = object.required("metrics_address");
        let store_address = object.required::<PeerAddress>("store_address");
        let seeds = match object.take("seeds") {
            Some(list) if !list.is_empty_list() => ReadJson::read(&list, object.findings()),
            _ => Some(Vec::<PeerAddress>::new()),
        };
        let link_key = object.required::<LinkKey>("link_key");
        let cores = object.fraction("cores", &CORE_RANGE);
        let memory_mb = object.number("memory_mb", &MEMORY_RANGE);
        let revoke_ms = object.number("revoke_ms", &REVOKE_RANGE);
        let retry_ratio = object.fraction("retry_ratio", &RATIO_RANGE);
        let retry_slack = object.fraction("retry_slack", &SLACK_RANGE);
        let retry_window_s = object.fraction("retry_window_s", &WINDOW_RANGE);
        let quota_window_s = object.fraction("quota_window_s", &WINDOW_RANGE);
        let quota_overage = object.fraction("quota_overage", &RATIO_RANGE);
        object.finish();
        Some(GatewaySettings {
            readiness_address: readiness_address?,
            directory_address: directory_address?,
            metrics_address: metrics_address?,
            store_address: store_address?.0,
            seeds: addresses(seeds?),
            link_key: link_key?.0,
            cores: cores?.unwrap_or(1.0),
            memory_mb: memory_mb?.unwrap_or(256),
            revoke_ms: revoke_ms?,
            retry_ratio: retry_ratio?.unwrap_or(0.1),
            retry_slack: retry_slack?.unwrap_or(0.0),
            retry_window_s: retry_window_s?.unwrap_or(10.0),
            quota_window_s: quota_window_s?.unwrap_or(8.0),
            quota_overage: quota_overage?.unwrap_or(0.0),
        })
    }
}

impl ReadJson for LogSettings {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let output = object.or_default("output");
        let format = object.or_default("format");
        let level = object.or_default("level");
        object.finish();
        Some(LogSettings {
            output: output?,
            format: format?,
            level: level?,
        })
    }
}

impl ReadJson for LogOutput {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let choices = [("stderr", LogOutput::Stderr), ("stdout", LogOutput::Stdout)];
        read_choice(node, &choices, findings)
    }
}

impl ReadJson for LogFormat {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let choices = [("text", LogFormat::Text), ("json", LogFormat::Json)];
        read_choice(node, &choices, findings)
    }
}

impl ReadJson for LogLevel {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let choices = [
            LogLevel::Error,
            LogLevel::Warn,
            LogLevel::Info,
            LogLevel::Debug,
            LogLevel::Trace,
        ];
        let choices = choices.map(|level| (level.as_str(), level));
        read_choice(node, &choices, findings)
    }
}
