//! Provides the process of a host: the event loop that passes inputs to the state
//! machines and executes their actions.

mod adapters;

mod event_loop;
mod gateway_setup;
mod gauges;
mod host_parts;
mod load_gauge;
mod loop_inbox;
pub(crate) mod loop_stats;
mod open_request;
mod request_log;
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
use crate::target_client::TargetClientOptions;

pub use self::event_loop::HostNode;

/// A `NodeError` is the reason why a host could not be started.
#[derive(Debug)]
pub enum NodeError {
    /// A listener cannot be bound to an address of the settings.
    Listen(SocketAddr, std::io::Error),
    /// The links to peers cannot be started.
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

/// A `CallerListeners` is the set of sockets on which a host listens for callers.
#[derive(Debug)]
pub enum CallerListeners {
    /// The listener of the native API (`/v1`).
    Api(TcpListener),
    /// The listeners of the gateway.
    Gateway(GatewaySockets),
}

impl CallerListeners {
    /// Get the address to which callers connect.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot provide the address.
    pub fn caller_address(&self) -> std::io::Result<SocketAddr> {
        match self {
            CallerListeners::Api(listener) => listener.local_addr(),
            CallerListeners::Gateway(sockets) => sockets.callers.local_addr(),
        }
    }
}

/// A `NodeSetup` holds what is needed to start a host: checked settings, bound
/// listeners and options.
#[derive(Debug)]
pub struct NodeSetup {
    /// The host's settings.
    pub settings: HostSettings,
    /// The identity of this host process.
    pub me: HostIdentity,
    /// The listeners for callers.
    pub listeners: CallerListeners,
    /// The listener for links from peers.
    pub peers: TcpListener,
    /// The options of the state machines.
    pub opts: NodeOptions,
    /// The host's metrics.
    pub metrics: Arc<NodeMetrics>,
}

impl NodeSetup {
    /// Try to bind the listeners of the settings and draw a random incarnation.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError::Listen`] if a listener cannot be bound.
    pub fn try_new(settings: HostSettings) -> Result<Self, NodeError> {
        let listeners = match &settings.gateway {
            None => CallerListeners::Api(listen(settings.caller_address)?),
            Some(gateway) => CallerListeners::Gateway(GatewaySockets {
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
        let incarnation = HostIncarnation {
            host: settings.name.clone(),
            incarnation: Incarnation(rand::random()),
        };
        let me = HostIdentity {
            incarnation,
            domain: settings.domain.clone(),
        };
        Ok(NodeSetup {
            settings,
            me,
            listeners,
            peers,
            opts,
            metrics: Arc::new(NodeMetrics::new()),
        })
    }

    /// Get the options of connections to targets.
    fn target_options(&self) -> TargetClientOptions {
        match &self.settings.gateway {
            Some(gateway) => gateway_setup::target_options(gateway),
            None => TargetClientOptions::default(),
        }
    }

    /// Set the options of the state machines.
    pub fn with_opts(mut self, opts: NodeOptions) -> Self {
        self.opts = opts;
        self
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    adapters::listen(address).map_err(|error| NodeError::Listen(address, error))
}
