//! Provides the caller server and the source of published values behind one
//! interface, for hosts with the native API (`/v1`) and hosts in gateway mode.

use std::io;
use std::net::SocketAddr;

use bergamotswitch_core::publication::FleetLimits;
use bergamotswitch_core::revision::{Revision, ValueName};

use crate::caller::HttpServer;
use crate::gateway::GatewayServer;
use crate::platform::{PlatformClient, PlatformOptions};
use crate::store_source::StoreSource;

/// A `CallerServer` is the server that accepts callers.
#[derive(Debug)]
pub(super) enum CallerServer {
    /// The native API.
    Api(HttpServer),
    /// The gateway.
    Gateway(GatewayServer),
}

impl CallerServer {
    /// Begin a planned stop; callers are still accepted.
    pub(super) fn begin_stop(&self) {
        match self {
            // Its connections are closed after the last address has expired.
            CallerServer::Api(_) => {}
            CallerServer::Gateway(server) => server.begin_drain(),
        }
    }

    /// Stop accepting callers; open answers continue.
    pub(super) fn stop_accepting(&mut self) {
        match self {
            // Its connections are closed when the host is idle.
            CallerServer::Api(_) => {}
            CallerServer::Gateway(server) => server.close_call_listeners(),
        }
    }

    /// Stop accepting callers and wait until open answers have been delivered.
    ///
    /// # Errors
    ///
    /// Returns the error with which the server terminated.
    pub(super) async fn close(self) -> io::Result<()> {
        match self {
            CallerServer::Api(server) => {
                server.stop();
                server.stopped().await
            }
            CallerServer::Gateway(server) => {
                server.close().await;
                Ok(())
            }
        }
    }
}

/// A `ValueSource` is the client that reads published values.
#[derive(Debug)]
pub(super) enum ValueSource {
    /// The configuration services and host lists of the native API.
    Services(PlatformClient),
    /// The store of the gateway's platform.
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

    /// Watch a value for revisions higher than `after`. The store's client
    /// continues from its own last call instead.
    pub(super) fn watch(&mut self, name: &ValueName, after: Revision) {
        match self {
            ValueSource::Services(client) => client.watch(name, after),
            ValueSource::Store(source) => source.read(name),
        }
    }

    /// Apply changed fleet limits.
    pub(super) fn set_limits(&mut self, limits: &FleetLimits) {
        match self {
            ValueSource::Services(client) => {
                client.set_opts(PlatformOptions::default().with_limits(limits));
            }
            ValueSource::Store(_) => {}
        }
    }

    /// Get whether the newest routes could not be read.
    pub(super) fn has_unreadable_routes(&self) -> bool {
        match self {
            ValueSource::Services(_) => false,
            ValueSource::Store(source) => source.has_unreadable_routes(),
        }
    }

    /// Get the total number of calls.
    pub(super) fn calls(&self) -> u64 {
        match self {
            ValueSource::Services(client) => client.calls(),
            ValueSource::Store(source) => source.calls(),
        }
    }
}

/// Try to bind a non-blocking TCP listener.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(super) fn listen(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
