//! Provides links: one h2 connection between two entry hosts, with one
//! long-lived stream each way, over which typed messages go in order.
//!
//! Who may link comes from the published configuration: the host list and a
//! shared key. A host that has neither yet refuses every peer and is refused
//! by none that it could prove itself to, so a host which starts while the
//! configuration service is down waits for the service.
//!
//! Messages of one link arrive in order, but may be lost: those that wait or
//! travel when a link closes are gone. The state machines that send them
//! repeat what matters.

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
