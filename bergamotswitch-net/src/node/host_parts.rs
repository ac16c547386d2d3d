//! Provides the startup of the components that differ between a host with the
//! native API (`/v1`) and a host in gateway mode.

use std::io;

use bergamotswitch_core::settings::HostSettings;

use super::adapters::{CallerServer, ValueSource};
use super::gateway_setup;
use super::{CallerListeners, NodeError};
use crate::caller::{self, CallerContext};
use crate::gateway::GatewayServer;
use crate::gossip::GossipSocket;
use crate::platform::{PlatformClient, PlatformOptions};
use crate::store_source::StoreSource;
use crate::target_client::{TargetClient, TargetClientOptions};

/// A `HostParts` is the set of started components.
pub(super) struct HostParts {
    pub(super) callers: CallerServer,
    pub(super) platform: ValueSource,
    pub(super) targets: TargetClient,
    pub(super) gossip: Option<GossipSocket>,
}

impl HostParts {
    /// Try to start the components.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError::Serve`] if one of them cannot be started.
    pub(super) fn try_new(
        listeners: CallerListeners,
        settings: &HostSettings,
        context: CallerContext,
    ) -> Result<Self, NodeError> {
        let node = context.node.clone();
        let (sockets, gateway) = match (listeners, &settings.gateway) {
            (CallerListeners::Gateway(sockets), Some(gateway)) => (sockets, gateway),
            (CallerListeners::Gateway(_), None) => {
                return Err(NodeError::Serve(io::ErrorKind::InvalidInput.into()));
            }
            (CallerListeners::Api(listener), _) => {
                let services = settings.configuration_services.clone();
                let host_lists = settings.host_lists.clone();
                let opts = PlatformOptions::default();
                let client = PlatformClient::new(services, host_lists, opts, node.clone());
                let server = caller::serve(listener, context).map_err(NodeError::Serve)?;
                return Ok(HostParts {
                    callers: CallerServer::Api(server),
                    platform: ValueSource::Services(client),
                    targets: TargetClient::new(TargetClientOptions::default(), node),
                    gossip: None,
                });
            }
        };
        let server = GatewayServer::try_new(
            sockets,
            node.clone(),
            context.publication,
            context.metrics,
            gateway_setup::body_bytes(gateway),
        );
        let gossip = GossipSocket::try_new(settings.link_address, node.clone());
        Ok(HostParts {
            callers: CallerServer::Gateway(server.map_err(NodeError::Serve)?),
            platform: ValueSource::Store(StoreSource::new(gateway.store_address, node.clone())),
            targets: TargetClient::new(gateway_setup::target_options(gateway), node),
            gossip: Some(gossip.map_err(NodeError::Serve)?),
        })
    }
}
