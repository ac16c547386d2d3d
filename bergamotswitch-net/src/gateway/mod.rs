//! Provides the gateway: the callers' interface of the users' platform, which
//! routes by host name and path, and the questions that a host answers itself.

mod answer_body;
mod call;
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

/// A `GatewaySockets` is where a gateway listens.
#[derive(Debug)]
pub struct GatewaySockets {
    /// For calls.
    pub callers: std::net::TcpListener,
    /// For questions whether this host is ready.
    pub readiness: std::net::TcpListener,
    /// For questions where to connect.
    pub directory: std::net::TcpListener,
    /// For readers of the metrics.
    pub metrics: std::net::TcpListener,
}

/// A `GatewayPhase` is how far the gateway's stop is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum GatewayPhase {
    /// No stop.
    Serving,
    /// Callers still come, and every answer closes its connection.
    Draining,
    /// Callers' connections end with the answer that they carry.
    ClosingCalls,
    /// So do operators'.
    ClosingMetrics,
}

/// A `GatewayContext` is what every handler needs.
#[derive(Clone, Debug)]
pub(crate) struct GatewayContext {
    pub(crate) node: NodeSender,
    pub(crate) publication: watch::Receiver<Arc<Publication>>,
    pub(crate) metrics: Arc<NodeMetrics>,
    pub(crate) phase: watch::Receiver<GatewayPhase>,
    /// Held by each connection, so that a stop can wait for all of them.
    pub(crate) connection_guard: mpsc::Sender<()>,
    /// Bytes of bodies that may still be taken in.
    pub(crate) body_memory: Arc<tokio::sync::Semaphore>,
}

/// A `GatewayServer` is a running gateway. Its drop closes all listeners.
#[derive(Debug)]
pub struct GatewayServer {
    phase: watch::Sender<GatewayPhase>,
    connections: mpsc::Receiver<()>,
    /// Where callers and the platform ask.
    call_listeners: Vec<TaskGuard>,
    /// Where operators ask.
    metrics: TaskGuard,
}

impl GatewayServer {
    /// Try to serve; must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error where a listener cannot be used.
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

    /// Begin a graceful stop: every further answer closes its connection, and
    /// callers that still come are served.
    pub fn begin_drain(&self) {
        self.phase.send_replace(GatewayPhase::Draining);
    }

    /// Close the door: no connection of a caller is taken, and each open one
    /// ends with the answer that it waits for. Operators are answered for as long
    /// as work goes on: what a stop turns away could not be seen otherwise.
    pub fn close_call_listeners(&mut self) {
        self.phase.send_replace(GatewayPhase::ClosingCalls);
        self.call_listeners.clear();
    }

    /// Take no further callers, and wait until the open answers have left,
    /// however long their callers take to read them.
    ///
    /// A run that ends frees the loop before the last bytes of its answer were
    /// written. A process that ended then would cut the answer off; one would
    /// see streams closed in their middle at the moment at which their runs
    /// end.
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
        // Nothing is ever sent: the end of the last sender is waited for.
        let _ = connections.recv().await;
    }
}
