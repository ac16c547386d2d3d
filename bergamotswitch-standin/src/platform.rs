//! Provides a complete platform of stand-ins: all targets of a deployment, the
//! configuration service, the host list, and an HTTP interface that controls
//! them.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Map, Value, json};
use xxhash_rust::xxh3::xxh3_64;

use crate::deployment::{PoolKind, PoolTarget, PublishedPools, TargetPool};
use crate::engine::{EngineOptions, EngineStandin};
use crate::listener::{ListenerControl, ListenerHandle, listen};
use crate::plain::PlainStandin;
use crate::response::{ResponseBody, error_response, json_response, read_json};
use crate::target_control::TargetControl;
use crate::value::{HOSTS_VALUE, ValueCore, ValueSource, ValueStandin};

/// The names of the values that the configuration service publishes.
const VALUE_NAMES: [&str; 5] = ["pools", "rules", "accounts", "domains", "limits"];
/// The name of the value that lists the targets.
const POOLS_VALUE: &str = "pools";
/// The name of the configuration service in control messages and ledgers.
const CONFIGURATION: &str = "configuration";
/// The name of the host list in control messages and ledgers.
const HOST_LIST: &str = "host-list";
/// The minimum duration of an engine step.
const MIN_STEP: Duration = Duration::from_millis(3);

/// A `PlatformError` is the reason why a platform could not be started.
#[derive(Debug)]
pub enum PlatformError {
    /// A file of the deployment could not be read.
    File(PathBuf, io::Error),
    /// A file of the deployment is not valid JSON or has an unexpected structure.
    Json(PathBuf, serde_json::Error),
    /// An address could not be bound.
    Bind(String, io::Error),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::File(path, error) => write!(f, "{}: {error}", path.display()),
            PlatformError::Json(path, error) => write!(f, "{}: {error}", path.display()),
            PlatformError::Bind(name, error) => write!(f, "{name}: {error}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// A `PlatformOptions` is the configuration of a platform: its deployment and
/// its addresses.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// The directory of the deployment's values, with a file `NAME.json` for each.
    pub deployment: PathBuf,
    /// The address on which the configuration service listens.
    pub configuration: SocketAddr,
    /// The address on which the host list listens.
    pub host_list: SocketAddr,
    /// An additional address for `/control` and `/ledger`, which no switch
    /// affects.
    pub control: Option<SocketAddr>,
    /// The seed of all random draws.
    pub seed: u64,
}

#[derive(Debug)]
enum PlatformTarget {
    Engine(EngineStandin),
    Plain(PlainStandin),
}

impl PlatformTarget {
    fn control(&self) -> &TargetControl {
        match self {
            PlatformTarget::Engine(engine) => engine.control(),
            PlatformTarget::Plain(service) => service.control(),
        }
    }

    fn address(&self) -> SocketAddr {
        match self {
            PlatformTarget::Engine(engine) => engine.address(),
            PlatformTarget::Plain(service) => service.address(),
        }
    }

    fn restart(&self) {
        match self {
            PlatformTarget::Engine(engine) => engine.restart(),
            PlatformTarget::Plain(service) => service.restart(),
        }
    }
}

#[derive(Debug)]
struct PlatformCore {
    targets: Vec<(String, PlatformTarget)>,
    configuration: Arc<ValueCore>,
    host_list: ValueStandin,
}

/// A `PlatformStandin` is a running platform of stand-ins; it stops when dropped.
#[derive(Debug)]
pub struct PlatformStandin {
    core: Arc<PlatformCore>,
    configuration: ListenerHandle,
    control: Option<ListenerHandle>,
}

impl PlatformStandin {
    /// Try to start all targets of a deployment, the configuration service and
    /// the host list.
    ///
    /// # Errors
    ///
    /// Returns an error for the first file that cannot be read or parsed, or the
    /// first address that cannot be bound.
    pub async fn try_start(options: &PlatformOptions) -> Result<Self, PlatformError> {
        let control = ListenerControl::new();
        let configuration = ValueCore::new(ValueSource::Configuration, Arc::clone(&control));
        for name in VALUE_NAMES {
            configuration.publish(name, read_value(&options.deployment, name)?);
        }
        let bind_error = |name: &str| {
            let name = name.to_owned();
            move |error| PlatformError::Bind(name, error)
        };
        let host_list = ValueStandin::try_start(options.host_list, ValueSource::HostList)
            .await
            .map_err(bind_error(HOST_LIST))?;
        host_list.publish(HOSTS_VALUE, read_value(&options.deployment, HOSTS_VALUE)?);
        let core = Arc::new(PlatformCore {
            targets: start_targets(options).await?,
            configuration,
            host_list,
        });
        let shared = Arc::clone(&core);
        let handler = move |request| handle(Arc::clone(&shared), request);
        let configuration = listen(options.configuration, control, handler.clone())
            .await
            .map_err(bind_error(CONFIGURATION))?;
        let control = match options.control {
            None => None,
            Some(address) => {
                let listener = listen(address, ListenerControl::new(), handler).await;
                Some(listener.map_err(bind_error("control"))?)
            }
        };
        Ok(PlatformStandin {
            core,
            configuration,
            control,
        })
    }

    /// Get the bound address of the configuration service.
    pub fn configuration_address(&self) -> SocketAddr {
        self.configuration.address
    }

    /// Get the bound address of the host list.
    pub fn host_list_address(&self) -> SocketAddr {
        self.core.host_list.address()
    }

    /// Get the bound address of the additional control interface, if there is
    /// one; no switch affects it.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(|listener| listener.address)
    }

    /// Get the number of targets.
    pub fn target_count(&self) -> usize {
        self.core.targets.len()
    }
}

fn read_value(directory: &Path, name: &str) -> Result<Value, PlatformError> {
    let path = directory.join(format!("{name}.json"));
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => return Err(PlatformError::File(path, error)),
    };
    serde_json::from_str(&text).map_err(|error| PlatformError::Json(path, error))
}

async fn start_targets(
    options: &PlatformOptions,
) -> Result<Vec<(String, PlatformTarget)>, PlatformError> {
    let value = read_value(&options.deployment, POOLS_VALUE)?;
    let published: PublishedPools = serde_json::from_value(value)
        .map_err(|error| PlatformError::Json(options.deployment.join("pools.json"), error))?;
    let mut targets = Vec::new();
    for pool in &published.pools {
        for target in &pool.targets {
            let started = start_target(pool, target, options.seed).await;
            let bound = started.map_err(|error| PlatformError::Bind(target.name.clone(), error))?;
            targets.push((target.name.clone(), bound));
        }
    }
    Ok(targets)
}

async fn start_target(
    pool: &TargetPool,
    target: &PoolTarget,
    seed: u64,
) -> io::Result<PlatformTarget> {
    if pool.kind == PoolKind::Plain {
        let started = PlainStandin::try_start(target.address, &target.name, target.contract);
        return Ok(PlatformTarget::Plain(started.await?));
    }
    // A full batch produces `max_batch` tokens a step. The step is adjusted to
    // the rounded batch size, so that a full batch has the expected speed.
    let speed = f64::from(target.expected_speed.max(1));
    let max_batch = (speed * MIN_STEP.as_secs_f64()).ceil();
    let options = EngineOptions {
        contract: target.contract,
        step: Duration::from_secs_f64(max_batch / speed),
        max_batch: max_batch as usize,
        token_limit: target.token_limit.into(),
        seed: seed ^ xxh3_64(target.name.as_bytes()),
        ..EngineOptions::default()
    };
    let started = EngineStandin::try_start(target.address, options);
    Ok(PlatformTarget::Engine(started.await?))
}

async fn handle(core: Arc<PlatformCore>, request: Request<Incoming>) -> Response<ResponseBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/ledger") => json_response(StatusCode::OK, &core.ledgers()),
        (&Method::POST, "/control") => match core.apply_message(&read_json(request).await) {
            Ok(answer) => json_response(StatusCode::OK, &answer),
            Err(message) => error_response(StatusCode::BAD_REQUEST, &message),
        },
        _ => crate::value::handle(Arc::clone(&core.configuration), request).await,
    }
}

impl PlatformCore {
    fn ledgers(&self) -> Value {
        let ledger = |(name, target): &(String, PlatformTarget)| {
            let mut ledger = target.control().ledger().to_json();
            ledger["address"] = json!(target.address());
            (name.clone(), ledger)
        };
        let targets: Map<String, Value> = self.targets.iter().map(ledger).collect();
        json!({
            "targets": targets,
            CONFIGURATION: self.configuration.counts(),
            HOST_LIST: self.host_list.counts(),
        })
    }

    /// Apply a control message, or get the reason why it is invalid.
    fn apply_message(&self, message: &Value) -> Result<Value, String> {
        if let Some(publication) = message.get("publish") {
            return self.publish(publication);
        }
        let name = message["target"].as_str().unwrap_or_default();
        let changes = &message["set"];
        let changed = match name {
            CONFIGURATION => self.configuration.set_json(changes),
            HOST_LIST => self.host_list.core().set_json(changes),
            _ => return self.set_target(name, changes),
        };
        changed.map_err(|error| error.to_string())?;
        Ok(json!({}))
    }

    fn publish(&self, publication: &Value) -> Result<Value, String> {
        let Some(name) = publication["name"].as_str() else {
            return Err("a publication needs a name".to_owned());
        };
        let body = publication["body"].clone();
        let revision = match name {
            HOSTS_VALUE => self.host_list.publish(name, body),
            _ => self.configuration.publish(name, body),
        };
        Ok(json!({"revision": revision}))
    }

    fn set_target(&self, name: &str, changes: &Value) -> Result<Value, String> {
        let mut named = self.targets.iter().filter(|(other, _)| other == name);
        let Some((_, target)) = named.next() else {
            return Err(format!("unknown target {name:?}"));
        };
        let mut changes = changes.clone();
        // `restart` is an action and not a switch.
        let restart = changes
            .as_object_mut()
            .and_then(|set| set.remove("restart"));
        let changed = target.control().set_json(&changes);
        changed.map_err(|error| error.to_string())?;
        if restart == Some(Value::Bool(true)) {
            target.restart();
        }
        Ok(json!({}))
    }
}
