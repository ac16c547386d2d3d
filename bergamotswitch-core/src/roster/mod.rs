//! Provides the roster: the fleet's hosts as this host has heard of them.
//!
//! No list of hosts is published. A host knows a few seeds, which may be down
//! or long gone; all else it hears from other hosts. Each host sends, at a
//! steady pace, what it knows to a few others in small datagrams: its own
//! record whole, of the others a mark each, which says how fresh its news of
//! them is. A host that meets a mark of someone it doesn't know asks for the
//! record. So the messages of a host stay as many as the fleet grows, and as
//! long from a hundred hosts on; no two hosts need a connection for it, and news
//! reaches all in a few rounds.

mod known_member;
mod machine;
mod message;
mod options;

pub use machine::Roster;
pub use message::{MemberFlags, MemberMark, MemberRecord, RosterMessage};
pub use options::RosterOptions;

use std::net::SocketAddr;

/// A `RosterAction` is a message that the roster wants sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterAction {
    /// Where to.
    pub to: SocketAddr,
    /// The message.
    pub message: RosterMessage,
}
