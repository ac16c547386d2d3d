//! Provides the parts of a host that differ between the project's own
//! interface and the users' platform.

use std::io;

use bergamotswitch_core::settings::HostSettings;

use super::gateway_setup;
use super::seams::{CallerDoor, ValueSource};
use super::{NodeDoors, NodeError};
use crate::caller::{self, CallerContext};
use crate::gateway::GatewayServer;
use crate::gossip::GossipSocket;
use crate::platform::{PlatformClient, PlatformOptions};
use crate::store_source::StoreSource;
use crate::target_client::{TargetClient, TargetClientOptions};

/// A `HostParts` is the started parts.
pub(super) struct HostParts {
    pub(super) callers: CallerDoor,
    pub(super) platform: ValueSource,
    pub(super) targets: TargetClient,
    pub(super) gossip: Option<GossipSocket>,
}

impl HostParts {
    /// Try to start them.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError::Serve`] where one of them cannot be started.
    pub(super) fn try_new(
        doors: NodeDoors,
        settings: &HostSettings,
        desk: CallerContext,
    ) -> Result<Self, NodeError> {
        let node = desk.node.clone();
        let (sockets, gateway) = match (doors, &settings.gateway) {
            (NodeDoors::Gateway(sockets), Some(gateway)) => (sockets, gateway),
            (NodeDoors::Gateway(_), None) => {
                return Err(NodeError::Serve(io::ErrorKind::InvalidInput.into()));
            }
            (NodeDoors::Api(listener), _) => {
                let services = settings.configuration_services.clone();
                let host_lists = settings.host_lists.clone();
                let opts = PlatformOptions::default();
                let client = PlatformClient::new(services, host_lists, opts, node.clone());
                let server = caller::serve(listener, desk).map_err(NodeError::Serve)?;
                return Ok(HostParts {
                    callers: CallerDoor::Api(server),
                    platform: ValueSource::Services(client),
                    targets: TargetClient::new(TargetClientOptions::default(), node),
                    gossip: None,
                });
            }
        };
        let server = GatewayServer::try_new(
            sockets,
            node.clone(),
            desk.publication,
            desk.metrics,
            gateway_setup::body_bytes(gateway),
        );
        let gossip = GossipSocket::try_new(settings.link_address, node.clone());
        Ok(HostParts {
            callers: CallerDoor::Gateway(server.map_err(NodeError::Serve)?),
            platform: ValueSource::Store(StoreSource::new(gateway.store_address, node.clone())),
            targets: TargetClient::new(gateway_setup::target_options(), node),
            gossip: Some(gossip.map_err(NodeError::Serve)?),
        })
    }
}
