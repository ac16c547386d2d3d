//! Provides the roster: the hosts of the fleet as known to one host by gossip.
//!
//! The roster needs no published host list. A host is configured with a few
//! seeds, which may be down, and learns of all other hosts by gossip. At a
//! fixed interval each host sends a small datagram to a few others, with its
//! own record and a mark, which is a version, for each other host it knows. A
//! host that receives a mark of an unknown host requests its record. The number
//! of messages per host does not depend on the size of the fleet, their size is
//! bounded, no two hosts need a connection, and an update reaches all hosts in
//! a few rounds.

mod known_member;
mod machine;
mod message;
mod options;

pub use machine::Roster;
pub use message::{MemberFlags, MemberMark, MemberRecord, RosterMessage};
pub use options::RosterOptions;

use std::net::SocketAddr;

/// A `RosterAction` is a message to be sent by the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterAction {
    /// The address of the recipient.
    pub to: SocketAddr,
    /// The message to send.
    pub message: RosterMessage,
}
