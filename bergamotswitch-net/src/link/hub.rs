//! Provides the hub of a host's links: the one thing that the loop speaks to.

use std::collections::{BTreeMap, BTreeSet};
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

/// A `LinkError` is the reason why a hub cannot be made.
#[derive(Debug)]
pub enum LinkError {
    /// The listener cannot be used.
    Listener(io::Error),
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::Listener(error) => write!(f, "the link listener cannot be used: {error}"),
        }
    }
}

impl std::error::Error for LinkError {}

/// A `DialTask` keeps a link to one host.
#[derive(Debug)]
struct DialTask {
    address: SocketAddr,
    _task: TaskGuard,
}

/// A `LinkHub` is all links of a host to its peers. It tells the loop when a
/// peer is up or down and what it sends: for each run of a peer one up, then
/// its messages, then one down. Dropping the hub closes all links.
#[derive(Debug)]
pub struct LinkHub {
    registry: Arc<LinkRegistry>,
    dials: BTreeMap<HostName, DialTask>,
    _acceptor: TaskGuard,
}

impl LinkHub {
    /// Try to get a hub that accepts links on `listener`; it must be made on
    /// a tokio runtime. No peer is admitted before [`LinkHub::set_roster`].
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Listener`] where the runtime refuses the listener.
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

    /// Set who may link, and the key that each must prove to know. Links to
    /// hosts that are not listed are closed; an empty list, or an empty key,
    /// refuses all. Links that are up keep going when the key changes.
    pub fn set_roster(&mut self, hosts: &HostList, key: &str) {
        let names: BTreeSet<HostName> = hosts.hosts.iter().map(|host| host.name.clone()).collect();
        self.registry.set_roster(names, LinkKey::new(key));
    }

    /// Keep a link to this host until [`LinkHub::disconnect`]. Nothing is
    /// dialled while a link that the peer dialled is up, nor while the host
    /// is not on the roster.
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

    /// Keep no link to this host any more. A link that this host dialled is
    /// closed; one that the peer dialled stays as long as the peer wants it.
    pub fn disconnect(&mut self, host: &HostName) {
        self.registry.stop_dialled(host);
        self.dials.remove(host);
    }

    /// Send a message to a host; `false` where no link to it is up, or the
    /// message cannot be sent. `true` does not promise that it arrives.
    pub fn send(&mut self, host: &HostName, message: &LinkMessage) -> bool {
        self.registry.send(host, message)
    }

    /// Get what the links did since the hub was made.
    pub fn counters(&self) -> LinkCounters {
        self.registry.counters()
    }
}
