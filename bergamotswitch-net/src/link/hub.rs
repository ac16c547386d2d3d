//! Provides the hub of a host's links, which is their interface to the event loop.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bergamotswitch_core::host::{EntryHost, HostList, HostName};
use bergamotswitch_core::link::LinkMessage;
use tokio::net::TcpListener;

use super::acceptor::accept_links;
use super::counters::LinkCounters;
use super::dialler::maintain_link;
use super::handshake::LinkKey;
use super::options::LinkOptions;
use super::registry::LinkRegistry;
use crate::input::{HostIdentity, NodeSender};
use crate::task_guard::TaskGuard;
use crate::tunnel::TunnelPool;

/// A `LinkError` is the reason why a hub cannot be created.
#[derive(Debug)]
pub enum LinkError {
    /// The listener cannot be registered with the runtime.
    Listener(io::Error),
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::Listener(error) => write!(f, "failed to set up the link listener: {error}"),
        }
    }
}

impl std::error::Error for LinkError {}

/// A `DialTask` is a task that maintains a link to one host.
#[derive(Debug)]
struct DialTask {
    address: SocketAddr,
    _task: TaskGuard,
}

/// A `LinkHub` manages all links of a host to its peers. It reports to the event loop
/// when a peer is up or down and which messages it sends: for each incarnation of a
/// peer an up event, then its messages, then a down event. Dropping the hub closes all
/// links.
#[derive(Debug)]
pub struct LinkHub {
    registry: Arc<LinkRegistry>,
    dials: BTreeMap<HostName, DialTask>,
    _acceptor: TaskGuard,
}

impl LinkHub {
    /// Try to get a hub that accepts links on `listener`. Must be called on a tokio
    /// runtime. No peer is admitted before [`LinkHub::set_host_list`].
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Listener`] if the runtime cannot use the listener.
    pub fn try_new(
        identity: HostIdentity,
        listener: std::net::TcpListener,
        opts: LinkOptions,
        node: NodeSender,
    ) -> Result<Self, LinkError> {
        listener
            .set_nonblocking(true)
            .map_err(LinkError::Listener)?;
        let listener = TcpListener::from_std(listener).map_err(LinkError::Listener)?;
        let registry = Arc::new(LinkRegistry::new(identity, opts, node));
        let acceptor = TaskGuard::spawn(accept_links(Arc::clone(&registry), listener));
        Ok(LinkHub {
            registry,
            dials: BTreeMap::new(),
            _acceptor: acceptor,
        })
    }

    /// Set the hosts that may link, and the key that each must prove to know. Links
    /// to other hosts are closed. An empty list or an empty key refuses all
    /// connections. A change of the key does not affect established links.
    pub fn set_host_list(&mut self, hosts: &HostList, key: &str) {
        let hosts = hosts.hosts.iter();
        let hosts = hosts.map(|host| (host.name.clone(), host.link_address));
        self.registry
            .set_host_list(hosts.collect(), LinkKey::new(key));
    }

    /// Maintain a link to this host until [`LinkHub::disconnect`]. The host is not
    /// dialled while any link to it is up, or while it is not on the host list.
    pub fn connect(&mut self, host: &EntryHost) {
        let known = self.dials.get(&host.name);
        if known.is_some_and(|dial| dial.address == host.link_address) {
            return;
        }
        let task = TaskGuard::spawn(maintain_link(Arc::clone(&self.registry), host.clone()));
        let dial = DialTask {
            address: host.link_address,
            _task: task,
        };
        self.dials.insert(host.name.clone(), dial);
    }

    /// Stop maintaining a link to this host. A link that this host dialled is closed;
    /// one that the peer dialled stays up until the peer closes it.
    pub fn disconnect(&mut self, host: &HostName) {
        self.registry.stop_dialled(host);
        self.dials.remove(host);
    }

    /// Queue a message for a host. Returns `false` if no link to it is up or the
    /// message cannot be sent; `true` does not guarantee delivery.
    pub fn send(&mut self, host: &HostName, message: &LinkMessage) -> bool {
        self.registry.send(host, message)
    }

    /// Get the pool of tunnels through peers.
    pub fn tunnel_pool(&self) -> TunnelPool {
        TunnelPool::new(Arc::clone(&self.registry))
    }

    /// Refuse new tunnels of peers, because this host stops.
    pub fn close_tunnels(&self) {
        self.registry.tunnels().close();
    }

    /// Get the number of tunnels that peers have open at this host.
    pub fn open_tunnels(&self) -> usize {
        self.registry.tunnels().open_count()
    }

    /// Get the counters of the links since the hub was created.
    pub fn counters(&self) -> LinkCounters {
        self.registry.counters()
    }
}
