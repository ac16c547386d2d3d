//! Provides links: HTTP/2 connections between two entry hosts, each with one
//! long-lived bidirectional stream that carries typed messages in order.
//!
//! The hosts that may link and the key they share come from the published
//! configuration. A host without them accepts and dials no peer, so a host that
//! starts while the configuration service is down waits for the service.
//!
//! Messages of one link arrive in order but may be lost: those queued or in transit
//! when a link closes are not delivered. The state machines that send messages
//! retransmit those that matter.

mod acceptor;
mod backoff;
pub mod codec;
pub mod counters;
mod dialler;
pub mod handshake;
mod hub;
mod options;
mod queue;
mod registry;
mod session;
mod value_frames;

pub use counters::LinkCounters;
pub use hub::{LinkError, LinkHub};
pub use options::LinkOptions;

pub(crate) use dialler::{dial_peer, peer_request};
pub(crate) use registry::LinkRegistry;
pub(crate) use session::{monitor_liveness, write_all};
