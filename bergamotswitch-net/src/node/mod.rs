//! Provides a host's process: the one loop that turns inputs into decisions
//! and decisions into I/O.

mod drive;
mod gateway_setup;
mod gauges;
mod host_parts;
mod load_gauge;
mod open_request;
mod request_label;
mod seams;
mod stop;

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use bergamotswitch_core::host::{HostIncarnation, Incarnation};
use bergamotswitch_core::node::NodeOptions;
use bergamotswitch_core::settings::HostSettings;

use crate::gateway::GatewaySockets;
use crate::input::HostIdentity;
use crate::link::LinkError;
use crate::metrics::NodeMetrics;

pub use self::drive::HostNode;

/// A `NodeError` is the reason why a host cannot start.
#[derive(Debug)]
pub enum NodeError {
    /// An address of the settings cannot be listened on.
    Listen(SocketAddr, std::io::Error),
    /// The links cannot be started.
    Link(LinkError),
    /// The caller interface cannot be started.
    Serve(std::io::Error),
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NodeError::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            NodeError::Link(error) => write!(f, "cannot start links: {error}"),
            NodeError::Serve(error) => write!(f, "cannot serve callers: {error}"),
        }
    }
}

impl std::error::Error for NodeError {}

/// A `NodeDoors` is the sockets on which a host listens for callers.
#[derive(Debug)]
pub enum NodeDoors {
    /// For the project's own interface.
    Api(TcpListener),
    /// For the users' platform.
    Gateway(GatewaySockets),
}

impl NodeDoors {
    /// Get where callers connect.
    ///
    /// # Errors
    ///
    /// Returns the error of the system's answer.
    pub fn caller_address(&self) -> std::io::Result<SocketAddr> {
        match self {
            NodeDoors::Api(listener) => listener.local_addr(),
            NodeDoors::Gateway(sockets) => sockets.callers.local_addr(),
        }
    }
}

/// A `NodeSetup` is what a host's process starts from: checked settings and
/// the sockets that it listens on.
#[derive(Debug)]
pub struct NodeSetup {
    /// The settings.
    pub settings: HostSettings,
    /// This run.
    pub me: HostIdentity,
    /// Where callers connect.
    pub doors: NodeDoors,
    /// Where peers connect.
    pub peers: TcpListener,
    /// The options of the decisions.
    pub opts: NodeOptions,
    /// The metrics.
    pub metrics: Arc<NodeMetrics>,
}

impl NodeSetup {
    /// Try to listen on the addresses of the settings, under a new random
    /// incarnation.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError::Listen`] where an address is taken.
    pub fn try_new(settings: HostSettings) -> Result<Self, NodeError> {
        let doors = match &settings.gateway {
            None => NodeDoors::Api(listen(settings.caller_address)?),
            Some(gateway) => NodeDoors::Gateway(GatewaySockets {
                callers: listen(settings.caller_address)?,
                readiness: listen(gateway.readiness_address)?,
                directory: listen(gateway.directory_address)?,
                metrics: listen(gateway.metrics_address)?,
            }),
        };
        let opts = match &settings.gateway {
            None => NodeOptions::default(),
            Some(gateway) => gateway_setup::options(&settings, gateway),
        };
        let peers = listen(settings.link_address)?;
        let run = HostIncarnation {
            host: settings.name.clone(),
            incarnation: Incarnation(rand::random()),
        };
        let me = HostIdentity {
            incarnation: run,
            domain: settings.domain.clone(),
        };
        Ok(NodeSetup {
            settings,
            me,
            doors,
            peers,
            opts,
            metrics: Arc::new(NodeMetrics::new()),
        })
    }

    /// Set the options of the decisions.
    pub fn with_opts(mut self, opts: NodeOptions) -> Self {
        self.opts = opts;
        self
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    seams::listen(address).map_err(|error| NodeError::Listen(address, error))
}
