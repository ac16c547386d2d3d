//! Provides tunnels: byte streams from a host to a target through another host.
//!
//! A host that has lost its own path to a target opens one HTTP/2 stream per connection
//! at a host that still reaches it. That host connects to the target and copies bytes in
//! both directions. It holds no request: the host that accepted a request stays the only
//! one that dispatches, retries and answers it. A tunnel never leads through a third host.
//!
//! A connection for tunnels uses the handshake of links with [`TUNNEL_PATH`] in its
//! second exchange, and then carries one `POST` per tunnel:
//!
//! - The field `tunnel-target` of the request has the target's address.
//! - Status 200 says that the connection to the target is established, any other that it
//!   is not and that no byte was sent.
//! - The end of a body is the end of the connection in that direction. A reset by the
//!   other host is a reset by the target.

mod client;
mod count;
mod server;
mod stream;

use h2::Reason;

pub(crate) use client::TunnelHealth;
pub use client::TunnelPool;
pub(crate) use count::TunnelCount;
pub(crate) use server::serve_tunnels;

/// The path of the second exchange of the handshake, and of each tunnel.
pub(crate) const TUNNEL_PATH: &str = "/tunnel";

/// The header field with the address of the target.
const TARGET_FIELD: &str = "tunnel-target";

/// The maximum number of tunnels on one connection.
pub(crate) const MAX_TUNNELS: u32 = 256;

/// The flow control window of one tunnel, and that of a connection. All tunnels of a
/// connection together fit into the latter, so that a slow reader of one does not block
/// the others.
pub(crate) const TUNNEL_WINDOW_BYTES: u32 = 64 << 10;
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = TUNNEL_WINDOW_BYTES * MAX_TUNNELS;

/// The reset reason that stands for a reset by the target.
const TARGET_RESET: Reason = Reason::CONNECT_ERROR;
