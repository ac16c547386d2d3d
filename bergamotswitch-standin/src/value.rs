//! Provides the stand-ins for the configuration service and the host list. Both
//! serve named values by reads and watches; the revision of a value is the number
//! of its publications.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::listener::{ListenerControl, ListenerHandle, listen};
use crate::response::{ResponseBody, error_response, json_response, query_number};
use crate::switches::{OutageMode, ValueSwitches, merge};
use crate::target_control::lock;

/// The name of the value that the host list serves.
pub const HOSTS_VALUE: &str = "hosts";
/// The number of revisions kept of each value, for stale responses.
const MAX_REVISIONS: usize = 64;
/// The maximum wait of a watch, even if a longer one is requested.
const MAX_WAIT: Duration = Duration::from_secs(300);

/// A `ValueSource` is the service that a stand-in replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueSource {
    /// The configuration service, with the path `/v1/values/{name}`.
    Configuration,
    /// The host list, with the path `/v1/hosts`.
    HostList,
}

/// A `CallCounts` is the number of calls to a service, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// The number of calls without a wait.
    pub reads: u64,
    /// The number of calls that may wait for a newer revision.
    pub watches: u64,
}

#[derive(Clone, Debug)]
struct ValueRevision {
    revision: u64,
    body: Arc<Value>,
    visible_at: Instant,
}

#[derive(Debug, Default)]
struct ValueState {
    values: BTreeMap<String, VecDeque<ValueRevision>>,
    switches: ValueSwitches,
    counts: CallCounts,
}

/// A `ValueCore` is the state that all connections of a service share.
#[derive(Debug)]
pub(crate) struct ValueCore {
    source: ValueSource,
    state: Mutex<ValueState>,
    /// The number of publications and changes of switches, each of which wakes the
    /// watches.
    changes: watch::Sender<u64>,
    control: Arc<ListenerControl>,
}

/// A `ValueStandin` is a running stand-in for the configuration service or the
/// host list; it stops when dropped.
#[derive(Debug)]
pub struct ValueStandin {
    core: Arc<ValueCore>,
    listener: ListenerHandle,
}

impl ValueStandin {
    /// Try to start a configuration service or host list that has no values yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn try_start(address: SocketAddr, source: ValueSource) -> io::Result<Self> {
        let control = ListenerControl::new();
        let core = ValueCore::new(source, Arc::clone(&control));
        let shared = Arc::clone(&core);
        let listener = listen(address, control, move |request| {
            handle(Arc::clone(&shared), request)
        })
        .await?;
        Ok(ValueStandin { core, listener })
    }

    /// Get the bound address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Publish a value, and get its revision.
    pub fn publish(&self, name: &str, body: Value) -> u64 {
        self.core.publish(name, body)
    }

    pub(crate) fn core(&self) -> &ValueCore {
        &self.core
    }

    /// Get a copy of the current switches.
    pub fn switches(&self) -> ValueSwitches {
        self.core.switches()
    }

    /// Change the switches with immediate effect.
    pub fn set(&self, change: impl FnOnce(&mut ValueSwitches)) {
        let mut switches = self.switches();
        change(&mut switches);
        self.core.apply(switches);
    }

    /// Get the number of calls so far.
    pub fn counts(&self) -> CallCounts {
        self.core.counts()
    }
}

impl ValueCore {
    pub(crate) fn new(source: ValueSource, control: Arc<ListenerControl>) -> Arc<Self> {
        Arc::new(ValueCore {
            source,
            state: Mutex::default(),
            changes: watch::Sender::new(0),
            control,
        })
    }

    fn switches(&self) -> ValueSwitches {
        lock(&self.state).switches.clone()
    }

    pub(crate) fn counts(&self) -> CallCounts {
        lock(&self.state).counts
    }

    /// Set the switches that are named in the JSON object `changes`.
    ///
    /// # Errors
    ///
    /// Returns an error if `changes` names an unknown switch or has a value of a
    /// wrong type; no switch is changed then.
    pub(crate) fn set_json(&self, changes: &Value) -> Result<(), serde_json::Error> {
        let switches = merge(&self.switches(), changes)?;
        self.apply(switches);
        if changes.get("silent").is_some() {
            // Setting the same mode again also applies to the connections that were
            // opened since.
            self.control.set_silence(self.switches().silent);
        }
        Ok(())
    }

    /// Publish a value, and get its revision.
    pub(crate) fn publish(&self, name: &str, body: Value) -> u64 {
        let mut state = lock(&self.state);
        let lag = Duration::from_millis(state.switches.lag_ms);
        let revisions = state.values.entry(name.to_owned()).or_default();
        let revision = revisions.back().map_or(1, |last| last.revision + 1);
        revisions.push_back(ValueRevision {
            revision,
            body: Arc::new(body),
            visible_at: Instant::now() + lag,
        });
        if revisions.len() > MAX_REVISIONS {
            revisions.pop_front();
        }
        drop(state);
        self.changes.send_modify(|count| *count += 1);
        revision
    }

    fn apply(&self, switches: ValueSwitches) {
        let before = std::mem::replace(&mut lock(&self.state).switches, switches.clone());
        if before.silent != switches.silent {
            self.control.set_silence(switches.silent);
        }
        if before.outage != switches.outage {
            let refused = switches.outage == OutageMode::Refused;
            self.control.set_listening(!refused);
            if refused {
                self.control.close_all();
            }
        }
        self.changes.send_modify(|count| *count += 1);
    }

    /// Count a call, and get the replica that answers it.
    fn record_call(&self, is_watch: bool) -> Replica {
        let mut state = lock(&self.state);
        match is_watch {
            true => state.counts.watches += 1,
            false => state.counts.reads += 1,
        }
        let calls = state.counts.reads + state.counts.watches;
        match state.switches.flapping && calls.is_multiple_of(2) {
            true => Replica::Fresh,
            false => Replica::Stale,
        }
    }

    /// Get the newest revision of a value that is visible on a replica, and the
    /// time at which the next one becomes visible.
    fn newest_visible(
        &self,
        name: &str,
        replica: Replica,
    ) -> (Option<ValueRevision>, Option<Instant>) {
        let state = lock(&self.state);
        let Some(revisions) = state.values.get(name) else {
            return (None, None);
        };
        let now = Instant::now();
        let hidden = revisions.iter().find(|value| value.visible_at > now);
        let last = revisions.back().map_or(0, |last| last.revision);
        let max_revision = match (replica, state.switches.stale, state.switches.flapping) {
            (Replica::Fresh, _, _) | (_, None, false) => u64::MAX,
            (Replica::Stale, Some(revision), _) => revision,
            (Replica::Stale, None, true) => last.saturating_sub(1),
        };
        let is_visible =
            |value: &&ValueRevision| value.visible_at <= now && value.revision <= max_revision;
        let newest = revisions.iter().rev().find(is_visible).cloned();
        (newest, hidden.map(|value| value.visible_at))
    }
}

/// A `Replica` is the replica of the service that answers a call.
#[derive(Clone, Copy, Debug)]
enum Replica {
    Fresh,
    /// The replica to which the switches `stale` and `flapping` apply.
    Stale,
}

/// Handle a read or a watch of a value.
pub(crate) async fn handle(
    core: Arc<ValueCore>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    let name = match core.source {
        ValueSource::Configuration => path.strip_prefix("/v1/values/"),
        ValueSource::HostList => (path == "/v1/hosts").then_some(HOSTS_VALUE),
    };
    let (&Method::GET, Some(name)) = (request.method(), name) else {
        return error_response(StatusCode::NOT_FOUND, "values are only read and watched");
    };
    let after = query_number(&request, "after");
    let wait = Duration::from_millis(query_number(&request, "wait_ms").unwrap_or(0));
    let replica = core.record_call(after.is_some() && !wait.is_zero());
    let latency = lock(&core.state).switches.latency_ms;
    sleep(Duration::from_millis(latency)).await;
    let deadline = Instant::now() + wait.min(MAX_WAIT);
    wait_for_value(&core, name, after, deadline, replica).await
}

async fn wait_for_value(
    core: &ValueCore,
    name: &str,
    after: Option<u64>,
    deadline: Instant,
    replica: Replica,
) -> Response<ResponseBody> {
    let mut changes = core.changes.subscribe();
    loop {
        changes.mark_unchanged();
        if lock(&core.state).switches.outage != OutageMode::Off {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let (newest, visible_at) = core.newest_visible(name, replica);
        let is_newer =
            |value: &ValueRevision| after.is_none_or(|revision| value.revision > revision);
        if let Some(value) = newest.filter(is_newer) {
            return value_response(core.source, name, &value);
        }
        let Some(_) = after else {
            return error_response(StatusCode::NOT_FOUND, "unknown value");
        };
        if Instant::now() >= deadline {
            let mut response = Response::new(ResponseBody::default());
            *response.status_mut() = StatusCode::NOT_MODIFIED;
            return response;
        }
        let wake_at = visible_at.map_or(deadline, |at| at.min(deadline));
        tokio::select! {
            _ = changes.changed() => {}
            () = sleep_until(wake_at) => {}
        }
    }
}

fn value_response(
    source: ValueSource,
    name: &str,
    value: &ValueRevision,
) -> Response<ResponseBody> {
    let mut answer = json!({"revision": value.revision, "body": &*value.body});
    if source == ValueSource::Configuration {
        answer["name"] = json!(name);
    }
    json_response(StatusCode::OK, &answer)
}
