//! Provides the gateway: the HTTP interface for callers on the users' platform,
//! which routes calls by host name and path, and the readiness, address and
//! metrics endpoints of a host.

mod answer_body;
mod call;
mod idle_timer;
mod listener;
mod lookup;

use std::io;
use std::sync::Arc;

use bergamotswitch_core::publication::Publication;
use tokio::sync::{mpsc, watch};

use crate::input::NodeSender;
use crate::metrics::NodeMetrics;
use crate::task_guard::TaskGuard;
use listener::serve;

/// A `GatewaySockets` is the set of listening sockets of a gateway.
#[derive(Debug)]
pub struct GatewaySockets {
    /// For calls.
    pub callers: std::net::TcpListener,
    /// For readiness checks.
    pub readiness: std::net::TcpListener,
    /// For lookups of host addresses.
    pub directory: std::net::TcpListener,
    /// For metrics scrapes.
    pub metrics: std::net::TcpListener,
}

/// A `GatewayPhase` is a phase of the gateway during a planned stop, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum GatewayPhase {
    /// No stop has begun.
    Serving,
    /// Connections are still accepted, and each answer closes its connection.
    Draining,
    /// Callers' connections close after the answer in progress.
    ClosingCalls,
    /// Connections of metrics scrapes close as well.
    ClosingMetrics,
}

/// A `GatewayContext` is the state shared by all handlers of the gateway.
#[derive(Clone, Debug)]
pub(crate) struct GatewayContext {
    pub(crate) node: NodeSender,
    pub(crate) publication: watch::Receiver<Arc<Publication>>,
    pub(crate) metrics: Arc<NodeMetrics>,
    pub(crate) phase: watch::Receiver<GatewayPhase>,
    /// Held by each connection, so that a stop can wait for the end of all.
    pub(crate) connection_guard: mpsc::Sender<()>,
    /// The bytes of memory available for request bodies.
    pub(crate) body_memory: Arc<tokio::sync::Semaphore>,
}

/// A `GatewayServer` is a running gateway. All listeners close when it is
/// dropped.
#[derive(Debug)]
pub struct GatewayServer {
    phase: watch::Sender<GatewayPhase>,
    connections: mpsc::Receiver<()>,
    /// The listeners for calls, readiness checks and address lookups.
    call_listeners: Vec<TaskGuard>,
    /// The listener for metrics scrapes.
    metrics: TaskGuard,
}

impl GatewayServer {
    /// Try to serve. Must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be used.
    pub fn try_new(
        sockets: GatewaySockets,
        node: NodeSender,
        publication: watch::Receiver<Arc<Publication>>,
        metrics: Arc<NodeMetrics>,
        body_bytes: usize,
    ) -> io::Result<Self> {
        let (phase, phase_receiver) = watch::channel(GatewayPhase::Serving);
        let (connection_guard, connections) = mpsc::channel(1);
        let context = Arc::new(GatewayContext {
            node,
            publication,
            metrics,
            phase: phase_receiver,
            connection_guard,
            body_memory: Arc::new(tokio::sync::Semaphore::new(body_bytes)),
        });
        let closing_phase = GatewayPhase::ClosingCalls;
        let call_listeners = vec![
            serve(sockets.callers, &context, closing_phase, call::answer)?,
            serve(sockets.readiness, &context, closing_phase, lookup::answer)?,
            serve(sockets.directory, &context, closing_phase, lookup::answer)?,
        ];
        let closing_phase = GatewayPhase::ClosingMetrics;
        let metrics = serve(sockets.metrics, &context, closing_phase, lookup::metrics)?;
        Ok(GatewayServer {
            phase,
            connections,
            call_listeners,
            metrics,
        })
    }

    /// Begin to drain: connections are still accepted, and each answer closes
    /// its connection.
    pub fn begin_drain(&self) {
        self.phase.send_replace(GatewayPhase::Draining);
    }

    /// Close the listeners for calls, readiness checks and address lookups.
    /// Each of their open connections closes after the answer in progress.
    /// Metrics are still served, so that refusals during the stop are visible.
    pub fn close_call_listeners(&mut self) {
        self.phase.send_replace(GatewayPhase::ClosingCalls);
        self.call_listeners.clear();
    }

    /// Close all listeners, and wait until the answers in progress have been
    /// written, however slowly their callers read.
    ///
    /// The event loop ends a request before the last bytes of its answer have
    /// been written; without this wait, the exit of the process would truncate
    /// such answers.
    pub async fn close(mut self) {
        self.close_call_listeners();
        let GatewayServer {
            mut connections,
            metrics,
            phase,
            ..
        } = self;
        drop(metrics);
        phase.send_replace(GatewayPhase::ClosingMetrics);
        // Nothing is ever sent: this waits until all senders have been dropped.
        let _ = connections.recv().await;
    }
}
