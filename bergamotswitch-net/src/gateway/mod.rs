//! Provides the gateway: the callers' interface of the users' platform, which
//! routes by host name and path, and the questions that a host answers itself.

mod answer_body;
mod call;
mod listener;
mod lookup;

use std::io;
use std::sync::Arc;

use bergamotswitch_core::publication::Publication;
use tokio::sync::watch;

use crate::input::NodeSender;
use crate::metrics::NodeMetrics;
use listener::{ListenerGuard, serve};

pub use call::PATIENCE_PERCENT;

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

/// A `GatewayDesk` is what every handler needs.
#[derive(Clone, Debug)]
pub(crate) struct GatewayDesk {
    pub(crate) node: NodeSender,
    pub(crate) publication: watch::Receiver<Arc<Publication>>,
    pub(crate) metrics: Arc<NodeMetrics>,
    pub(crate) stopping: watch::Receiver<bool>,
    /// Bytes of bodies that may still be taken in.
    pub(crate) body_room: Arc<tokio::sync::Semaphore>,
}

/// A `GatewayServer` is a running gateway. Its drop closes all listeners.
#[derive(Debug)]
pub struct GatewayServer {
    stopping: watch::Sender<bool>,
    _listeners: Vec<ListenerGuard>,
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
        let (stopping, stop_signal) = watch::channel(false);
        let desk = Arc::new(GatewayDesk {
            node,
            publication,
            metrics,
            stopping: stop_signal,
            body_room: Arc::new(tokio::sync::Semaphore::new(body_bytes)),
        });
        let listeners = vec![
            serve(sockets.callers, &desk, call::answer)?,
            serve(sockets.readiness, &desk, lookup::answer)?,
            serve(sockets.directory, &desk, lookup::answer)?,
            serve(sockets.metrics, &desk, lookup::metrics)?,
        ];
        Ok(GatewayServer {
            stopping,
            _listeners: listeners,
        })
    }

    /// Begin a graceful stop: every further answer closes its connection, and
    /// callers that still come are served.
    pub fn stop(&self) {
        self.stopping.send_replace(true);
    }
}
