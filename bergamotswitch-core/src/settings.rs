//! Provides host settings, the local configuration of a process.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Serialize;

use crate::error::Findings;
use crate::failure_domain::DomainName;
use crate::host::{HostList, HostName};
use crate::publication::duplicates::refuse_duplicate_addresses;
use crate::publication::json_node::{JsonNode, ReadJson, read_text};
use crate::publication::named_choice::read_choice;
use crate::publication::object_reader::ObjectReader;
use crate::publication::{ConnectAddress, FleetLimits, LinkKey};

/// A `LogFormat` is the format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// A `LogLevel` is the lowest severity that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Only events that put a guarantee of the service at risk.
    Error,
    /// Also degraded operation.
    Warn,
    /// Also normal steps of operation.
    #[default]
    Info,
    /// Also details for troubleshooting.
    Debug,
    /// All events.
    Trace,
}

impl LogLevel {
    /// Get the level's name in the settings.
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

/// A `LogOutput` is the destination of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogOutput {
    /// Standard error, written line by line.
    #[default]
    Stderr,
    /// Standard output, written from a bounded buffer so that logging never blocks
    /// the event loop.
    Stdout,
}

/// A `LogSettings` is the configuration of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LogSettings {
    /// The destination of log lines.
    pub output: LogOutput,
    /// The format of log lines.
    pub format: LogFormat,
    /// The lowest severity that is logged.
    pub level: LogLevel,
}

/// A `HostSettings` is the local configuration of a process. The rest of its
/// configuration is published to all hosts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostSettings {
    /// The host's name in the host list.
    pub name: HostName,
    /// The failure domain that contains the host.
    pub domain: DomainName,
    /// The listen address for callers; port 0 for an ephemeral port.
    pub caller_address: SocketAddr,
    /// The listen address for other hosts; port 0 for an ephemeral port.
    pub link_address: SocketAddr,
    /// The addresses of the configuration service's instances.
    pub configuration_services: Vec<SocketAddr>,
    /// The addresses of the host list's instances.
    pub host_lists: Vec<SocketAddr>,
    /// The grace period after which a stopping process is killed, in seconds;
    /// absent if nothing kills it.
    pub grace_s: Option<f64>,
    /// The settings of a gateway, which uses neither the configuration service nor
    /// the host list; absent if the host is not a gateway.
    pub gateway: Option<GatewaySettings>,
    /// The configuration of the log.
    pub log: LogSettings,
}

/// A `GatewaySettings` is the local configuration of a process that runs as a
/// gateway on the users' platform.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GatewaySettings {
    /// The listen address of the readiness probe.
    pub readiness_address: SocketAddr,
    /// The listen address for callers that look up the hosts.
    pub directory_address: SocketAddr,
    /// The listen address of the metrics endpoint.
    pub metrics_address: SocketAddr,
    /// The address of the platform's key-value store.
    pub store_address: SocketAddr,
    /// The hosts contacted first to discover the others; they may be down.
    pub seeds: Vec<SocketAddr>,
    /// The shared secret that authenticates the links between hosts.
    #[serde(skip)]
    pub link_key: String,
    /// The CPU share of the process, in cores.
    pub cores: f64,
    /// The memory of the process, in megabytes.
    pub memory_mb: u64,
    /// The time for which a revoked API key may still be accepted, in
    /// milliseconds; unbounded if absent.
    pub revoke_ms: Option<u64>,
    /// The retry budget of a pool, in retries per request.
    pub retry_ratio: f64,
    /// The retries that all hosts together may make beyond the ratio in one
    /// window.
    pub retry_slack: f64,
    /// The length of the retry budget's window, in seconds.
    pub retry_window_s: f64,
    /// The length of the window over which quotas are enforced, in seconds.
    pub quota_window_s: f64,
    /// The fraction by which an account may exceed its quota in one window.
    pub quota_overage: f64,
    /// How many times the rate that a cold target bears it may get in any second.
    pub cold_factor: f64,
    /// The requests that a cold target may get in any second beyond that.
    pub cold_slack: f64,
    /// The optional scheduling decisions.
    pub scheduling: SchedulingSettings,
}

/// A `SchedulingSettings` is the optional scheduling decisions of a gateway, under the
/// names of the published limits; 0 switches one off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SchedulingSettings {
    /// The half-life of the remembered use of a client account, in milliseconds.
    pub account_share_half_life_ms: u64,
    /// The part of the forecast room that may be promised to returning callers, in
    /// thousandths.
    pub return_room_permille: u64,
    /// The expected duration of a slow moment of a target, in milliseconds.
    pub slow_moment_ms: u64,
    /// The number of requests that compete for a free slot.
    pub match_window_requests: u64,
    /// How much longer the predicted run at a target with an idle connection may be,
    /// in thousandths.
    pub idle_connection_permille: u64,
}

/// The name of the settings in the locations of findings.
const SETTINGS_INPUT: &str = "settings";

impl HostSettings {
    /// Try to read the settings from JSON text.
    ///
    /// # Errors
    ///
    /// Returns all validation errors with their locations.
    pub fn try_from_json(text: &str) -> Result<Self, Findings> {
        read_text(SETTINGS_INPUT, text)
    }

    /// Get the grace period after which a stopping process is killed, or `None` if
    /// nothing kills it.
    pub fn grace(&self) -> Option<Duration> {
        self.grace_s.map(Duration::from_secs_f64)
    }

    /// Get the differences between the host list and these settings. The list may
    /// be out of date, so they do not keep a host from starting, but callers and
    /// peers use the values in the list.
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
            // The IP addresses may differ, as a host may listen on a wildcard
            // address.
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
                object.required::<Vec<ConnectAddress>>("configuration_services"),
                object.required::<Vec<ConnectAddress>>("host_lists"),
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

/// Refuse one address for both listeners, unless its port is ephemeral.
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
        refuse_duplicate_addresses(&list.unwrap_or_default(), findings);
    }
}

fn addresses(list: Vec<ConnectAddress>) -> Vec<SocketAddr> {
    list.into_iter().map(|address| address.0).collect()
}

/// The allowed CPU shares, in cores.
const CORE_RANGE: RangeInclusive<f64> = 0.01..=1024.0;
/// The allowed memory sizes, in megabytes.
const MEMORY_RANGE: RangeInclusive<u64> = 16..=1_048_576;
/// The allowed times for which a revoked key may still be accepted, in
/// milliseconds.
const REVOKE_RANGE: RangeInclusive<u64> = 1_000..=3_600_000;
/// The allowed values of `retry_ratio`, `quota_overage` and `cold_factor`.
const RATIO_RANGE: RangeInclusive<f64> = 0.0..=10.0;
/// The allowed values of `retry_slack` and `cold_slack`.
const SLACK_RANGE: RangeInclusive<f64> = 0.0..=1_000_000.0;
/// The allowed grace periods of a planned stop, in seconds.
const GRACE_RANGE: RangeInclusive<f64> = 1.0..=3_600.0;

/// The allowed lengths of the windows for retries and quotas, in seconds.
const WINDOW_RANGE: RangeInclusive<f64> = 0.5..=3_600.0;

impl ReadJson for GatewaySettings {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let readiness_address = object.required("readiness_address");
        let directory_address = object.required("directory_address");
        let metrics_address = object.required("metrics_address");
        let store_address = object.required::<ConnectAddress>("store_address");
        let seeds = match object.take("seeds") {
            Some(list) if !list.is_empty_list() => ReadJson::read(&list, object.findings()),
            _ => Some(Vec::<ConnectAddress>::new()),
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
        let cold_factor = object.fraction("cold_factor", &RATIO_RANGE);
        let cold_slack = object.fraction("cold_slack", &SLACK_RANGE);
        let scheduling = object.or_default("scheduling");
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
            cold_factor: cold_factor?.unwrap_or(1.0),
            cold_slack: cold_slack?.unwrap_or(0.0),
            scheduling: scheduling?,
        })
    }
}

impl ReadJson for SchedulingSettings {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let mut number = |name| {
            let read = object.number(name, &FleetLimits::range(name));
            read.map(Option::unwrap_or_default)
        };
        let account_share_half_life_ms = number("account_share_half_life_ms");
        let return_room_permille = number("return_room_permille");
        let slow_moment_ms = number("slow_moment_ms");
        let match_window_requests = number("match_window_requests");
        let idle_connection_permille = number("idle_connection_permille");
        object.finish();
        Some(SchedulingSettings {
            account_share_half_life_ms: account_share_half_life_ms?,
            return_room_permille: return_room_permille?,
            slow_moment_ms: slow_moment_ms?,
            match_window_requests: match_window_requests?,
            idle_connection_permille: idle_connection_permille?,
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
