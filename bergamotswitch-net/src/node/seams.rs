//! Provides the seams of a host: the parts that differ between the project's
//! own interface and the users' platform.

use std::io;
use std::net::SocketAddr;

use bergamotswitch_core::publication::FleetLimits;
use bergamotswitch_core::revision::{Revision, ValueName};

use crate::caller::HttpServer;
use crate::gateway::GatewayServer;
use crate::platform::{PlatformClient, PlatformOptions};
use crate::store_source::StoreSource;

/// A `CallerDoor` is where callers come in.
#[derive(Debug)]
pub(super) enum CallerDoor {
    /// The project's own interface.
    Api(HttpServer),
    /// The users' platform's.
    Gateway(GatewayServer),
}

impl CallerDoor {
    /// Begin a graceful stop while addresses still lapse.
    pub(super) fn lapse(&self) {
        match self {
            // Its connections are closed when the last address has lapsed.
            CallerDoor::Api(_) => {}
            CallerDoor::Gateway(server) => server.begin_drain(),
        }
    }

    /// Close the door to new callers; open answers go on.
    pub(super) fn shut(&mut self) {
        match self {
            // Its connections are closed once the host is idle.
            CallerDoor::Api(_) => {}
            CallerDoor::Gateway(server) => server.close_call_listeners(),
        }
    }

    /// Take no further callers, and wait until the open answers have ended.
    ///
    /// # Errors
    ///
    /// Returns the error with which a server ended.
    pub(super) async fn close(self) -> io::Result<()> {
        match self {
            CallerDoor::Api(server) => {
                server.stop();
                server.stopped().await
            }
            CallerDoor::Gateway(server) => {
                server.close().await;
                Ok(())
            }
        }
    }
}

/// A `ValueSource` is where published values are read.
#[derive(Debug)]
pub(super) enum ValueSource {
    /// The project's own configuration services and host lists.
    Services(PlatformClient),
    /// The users' platform's store.
    Store(StoreSource),
}

impl ValueSource {
    /// Read a value once.
    pub(super) fn read(&mut self, name: &ValueName) {
        match self {
            ValueSource::Services(client) => client.read(name),
            ValueSource::Store(source) => source.read(name),
        }
    }

    /// Watch a value beyond a revision. The store's source goes on from where
    /// its own last call ended.
    pub(super) fn watch(&mut self, name: &ValueName, beyond: Revision) {
        match self {
            ValueSource::Services(client) => client.watch(name, beyond),
            ValueSource::Store(source) => source.read(name),
        }
    }

    /// Put other limits in force.
    pub(super) fn set_limits(&mut self, limits: &FleetLimits) {
        match self {
            ValueSource::Services(client) => {
                client.set_opts(PlatformOptions::default().with_limits(limits));
            }
            ValueSource::Store(_) => {}
        }
    }

    /// Get the number of calls made.
    pub(super) fn calls(&self) -> u64 {
        match self {
            ValueSource::Services(client) => client.calls(),
            ValueSource::Store(source) => source.calls(),
        }
    }
}

/// Try to listen for TCP connections.
///
/// # Errors
///
/// Returns an error where the address is taken.
pub(super) fn listen(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
