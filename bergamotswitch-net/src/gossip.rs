//! Provides the UDP transport of the roster's gossip messages.

use std::io;
use std::net::{SocketAddr, UdpSocket as StdSocket};
use std::sync::Arc;

use bergamotswitch_core::roster::{RosterAction, RosterMessage};
use tokio::net::UdpSocket;

use crate::input::{NodeInput, NodeSender};

/// The maximum size of a received datagram, larger than any sent one.
const MAX_DATAGRAM: usize = 8 * 1024;

/// A `GossipSocket` sends and receives roster messages. Malformed datagrams are
/// ignored, and lost ones are made up for by later gossip rounds.
#[derive(Debug)]
pub struct GossipSocket {
    socket: Arc<UdpSocket>,
}

impl GossipSocket {
    /// Try to bind a socket to an address and pass received messages to the event loop.
    /// Must be called on a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound, for example because it is
    /// in use.
    pub fn try_new(address: SocketAddr, node: NodeSender) -> io::Result<Self> {
        let socket = StdSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let socket = Arc::new(UdpSocket::from_std(socket)?);
        tokio::spawn(receive(Arc::clone(&socket), node));
        Ok(GossipSocket { socket })
    }

    /// Send a message. It is dropped if the socket's send buffer is full.
    pub fn send(&self, action: &RosterAction) {
        let config = bincode::config::standard();
        match bincode::serde::encode_to_vec(&action.message, config) {
            Ok(bytes) => drop(self.socket.try_send_to(&bytes, action.to)),
            Err(error) => log::debug!("failed to encode roster message: {error}"),
        }
    }
}

async fn receive(socket: Arc<UdpSocket>, node: NodeSender) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buffer).await else {
            // The error is that of an earlier send, for example to a closed port.
            continue;
        };
        let config = bincode::config::standard().with_limit::<MAX_DATAGRAM>();
        let decoded = bincode::serde::decode_from_slice::<RosterMessage, _>(&buffer[..len], config);
        let Ok((message, _)) = decoded else {
            continue;
        };
        if node.send(NodeInput::Gossip(Box::new(message))).is_err() {
            return;
        }
    }
}
