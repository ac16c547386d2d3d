//! Provides a client that runs at most one call at a time for each value.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use bergamotswitch_core::revision::{HOSTS_VALUE, Revision, ValueName};

use super::call::{CallAnswer, CallError, CallKind, call};
use super::options::PlatformOptions;
use crate::input::{NodeInput, NodeSender, PlatformEvent};
use crate::task_guard::TaskGuard;

/// A `ServiceGroup` is a list of equivalent services.
#[derive(Debug)]
struct ServiceGroup {
    addresses: Vec<SocketAddr>,
    /// The index of the service that answered last.
    current: AtomicUsize,
}

impl ServiceGroup {
    fn new(addresses: Vec<SocketAddr>) -> Self {
        ServiceGroup {
            addresses,
            current: AtomicUsize::new(0),
        }
    }
}

/// A `CallTask` is the call in flight for one value.
#[derive(Debug)]
struct CallTask {
    kind: CallKind,
    task: TaskGuard,
}

/// A `PlatformClient` reads and watches published values. Each read or watch
/// ends with one [`PlatformEvent`], unless it is replaced by a later one.
#[derive(Debug)]
pub struct PlatformClient {
    configuration: Arc<ServiceGroup>,
    hosts: Arc<ServiceGroup>,
    opts: PlatformOptions,
    node: NodeSender,
    calls: Arc<AtomicU64>,
    tasks: BTreeMap<ValueName, CallTask>,
}

impl PlatformClient {
    /// Get a client of these services. Must be used within a tokio runtime.
    pub fn new(
        configuration_services: Vec<SocketAddr>,
        host_lists: Vec<SocketAddr>,
        opts: PlatformOptions,
        node: NodeSender,
    ) -> Self {
        PlatformClient {
            configuration: Arc::new(ServiceGroup::new(configuration_services)),
            hosts: Arc::new(ServiceGroup::new(host_lists)),
            opts,
            node,
            calls: Arc::default(),
            tasks: BTreeMap::new(),
        }
    }

    /// Set the options of subsequent calls.
    pub fn set_opts(&mut self, opts: PlatformOptions) {
        self.opts = opts;
    }

    /// Read a value once. Cancels a watch of the value; does nothing if a read
    /// of it is already in flight.
    pub fn read(&mut self, name: &ValueName) {
        self.start(name, CallKind::Read);
    }

    /// Watch a value for a revision beyond `after`. Cancels an earlier read or
    /// watch of the value, unless it is the same watch.
    pub fn watch(&mut self, name: &ValueName, after: Revision) {
        self.start(name, CallKind::Watch(after));
    }

    /// Get the number of calls made. A watch counts as one call.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    fn start(&mut self, name: &ValueName, kind: CallKind) {
        // Replacing a call by an identical one would double the load, and a
        // slow answer would never arrive.
        let running = self.tasks.get(name);
        if running.is_some_and(|running| running.kind == kind && !running.task.is_finished()) {
            return;
        }
        let group = match name.as_str() {
            HOSTS_VALUE => Arc::clone(&self.hosts),
            _ => Arc::clone(&self.configuration),
        };
        let calls = Arc::clone(&self.calls);
        let opts = self.opts.clone();
        let node = self.node.clone();
        let value_name = name.clone();
        let task = TaskGuard::spawn(async move {
            let event = match call_in_turn(&group, &value_name, kind, &opts, &calls).await {
                Ok(CallAnswer::Value(value)) => PlatformEvent::Read(value),
                Ok(CallAnswer::Unchanged) => PlatformEvent::Unchanged(value_name),
                Err(_) => PlatformEvent::Failed(value_name),
            };
            // Sending fails only if the event loop has ended.
            let _ = node.send(NodeInput::Platform(event));
        });
        self.tasks.insert(name.clone(), CallTask { kind, task });
    }
}

/// Call the services in turn, starting with the one that answered last, until
/// one succeeds. Returns the last error if none does.
async fn call_in_turn(
    group: &ServiceGroup,
    name: &ValueName,
    kind: CallKind,
    opts: &PlatformOptions,
    calls: &AtomicU64,
) -> Result<CallAnswer, CallError> {
    let mut result = Err(CallError::Connection);
    let first = group.current.load(Ordering::Relaxed);
    for turn in 0..group.addresses.len() {
        let index = (first + turn) % group.addresses.len();
        calls.fetch_add(1, Ordering::Relaxed);
        result = call(group.addresses[index], name, kind, opts).await;
        if result.is_ok() {
            group.current.store(index, Ordering::Relaxed);
            break;
        }
    }
    result
}
