//! Provides the datagrams by which hosts hear of each other.

use std::io;
use std::net::{SocketAddr, UdpSocket as StdSocket};
use std::sync::Arc;

use bergamotswitch_core::roster::{RosterAction, RosterMessage};
use tokio::net::UdpSocket;

use crate::input::{NodeInput, NodeSender};

/// The longest datagram that is read: more than any that is sent.
const MAX_DATAGRAM: usize = 8 * 1024;

/// A `GossipSocket` sends and receives roster messages. A lost, foreign or
/// malformed datagram is dropped: each round repeats what matters.
#[derive(Debug)]
pub struct GossipSocket {
    socket: Arc<UdpSocket>,
}

impl GossipSocket {
    /// Try to get a socket on this address; it must be made on a tokio
    /// runtime.
    ///
    /// # Errors
    ///
    /// Returns an error where the address is taken.
    pub fn try_new(address: SocketAddr, node: NodeSender) -> io::Result<Self> {
        let socket = StdSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let socket = Arc::new(UdpSocket::from_std(socket)?);
        tokio::spawn(receive(Arc::clone(&socket), node));
        Ok(GossipSocket { socket })
    }

    /// Send a message. Where the socket's buffer is full it is dropped.
    pub fn send(&self, action: &RosterAction) {
        let config = bincode::config::standard();
        match bincode::serde::encode_to_vec(&action.message, config) {
            Ok(bytes) => drop(self.socket.try_send_to(&bytes, action.to)),
            Err(error) => log::debug!("roster message not encoded: {error}"),
        }
    }
}

async fn receive(socket: Arc<UdpSocket>, node: NodeSender) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buffer).await else {
            // A peer's closed port shows as an error of the next call.
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
