//! Provides the client that keeps one call in flight for each value.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use bergamotswitch_core::revision::{HOSTS_VALUE, Revision, ValueName};

use super::call::{CallAnswer, CallError, CallKind, call};
use super::options::PlatformOptions;
use crate::input::{NodeInput, NodeSender, PlatformEvent};
use crate::task_guard::TaskGuard;

/// A `ServiceGroup` is services of which each can answer.
#[derive(Debug)]
struct ServiceGroup {
    addresses: Vec<SocketAddr>,
    /// The index of the one that answered last.
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
/// ends with one [`PlatformEvent`], unless a later one takes its place.
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
    /// Get a client of these services; it must be used on a tokio runtime.
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

    /// Put other time limits in force, from the next call on.
    pub fn set_opts(&mut self, opts: PlatformOptions) {
        self.opts = opts;
    }

    /// Read a value once. A watch of the value is given up; a read of it that
    /// is in flight goes on in place of a second one.
    pub fn read(&mut self, name: &ValueName) {
        self.start(name, CallKind::Read);
    }

    /// Watch a value beyond a revision. An earlier read or watch of the value
    /// is given up, unless it is the same watch.
    pub fn watch(&mut self, name: &ValueName, after: Revision) {
        self.start(name, CallKind::Watch(after));
    }

    /// Get the number of calls made: the platform counts each one, a watch
    /// that waits as one.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    fn start(&mut self, name: &ValueName, kind: CallKind) {
        // The same call again would only ask the service twice, and where
        // each call replaced the one before, a slow answer would never come.
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
            // The loop is gone only while the process ends.
            let _ = node.send(NodeInput::Platform(event));
        });
        self.tasks.insert(name.clone(), CallTask { kind, task });
    }
}

/// Ask the services in turn, from the one that answered last, until one
/// answers. The error is that of the last one.
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
