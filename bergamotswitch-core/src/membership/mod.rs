//! Provides membership: which hosts may own a shard, who watches whom, and
//! which owner a host sees as acting.
//!
//! The first candidates of a shard, by rendezvous over the live hosts of the
//! host list, watch each other; a host that uses a shard watches its
//! candidates in order, as far as needed. A watch is a heartbeat that the peer
//! answers, by its own next heartbeat or by one with the sequence 0. A path
//! counts as working while the peer's answers name new heartbeats, so a path
//! cut one way is noticed at both ends.

mod candidates;
mod machine;
mod options;
mod peer;
mod reconcile;
mod shard_view;

pub use machine::Membership;
pub use options::{CANDIDATE_COUNT, MembershipOptions};
pub use peer::PeerView;

use std::time::Duration;

use crate::host::{EntryHost, HostIncarnation, HostList, HostName, Incarnation};
use crate::incident::Incident;
use crate::link::Heartbeat;
use crate::pool::PoolShard;

/// A `KeyQuorum` is the hosts whose word an owner needs before it runs what
/// must not run twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyQuorum {
    /// The shard's candidates, of which a majority has to follow the owner.
    pub candidates: Vec<HostName>,
    /// The live hosts that are not known to be unreachable, which have to tell
    /// their keys.
    pub awaited: Vec<HostName>,
}

/// A `MembershipEvent` is one thing that changes a host's view of the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The host list changed.
    Hosts(HostList),
    /// The shards of the published pools changed.
    Shards(Vec<PoolShard>),
    /// This host has (or no longer has) work for the shard.
    Using(PoolShard, bool),
    /// A link came up.
    LinkUp(HostIncarnation),
    /// A link went down.
    LinkDown(HostIncarnation),
    /// A peer's heartbeat came.
    Heartbeat(HostName, Heartbeat),
    /// Some other message of the peer came.
    Traffic(HostName),
    /// The peer says that it does not act as the shard's owner.
    NotOwner(HostName, PoolShard),
    /// This host's load, in thousandths of what it can carry.
    Load(u16),
    /// A planned stop begins.
    Stop,
    /// Time has passed.
    Tick,
    /// The process suspended for this long.
    Resumed(Duration),
}

/// A `MembershipAction` is one thing that membership wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Keep a link to this host.
    Connect(EntryHost),
    /// Drop the link to this host.
    Disconnect(HostName),
    /// Send a heartbeat.
    Send(HostName, Heartbeat),
    /// The acting owner of a shard in this host's view, after a change;
    /// `None`: no candidate is reachable.
    OwnerChanged(PoolShard, Option<HostName>),
    /// Begin (or end) to act as owner of a shard.
    Act(PoolShard, bool),
    /// This run of a host is gone for good: its successor was seen, or the
    /// host list dropped it.
    HostTerminated(HostName, Incarnation),
    /// Log a numbered event about a host.
    Log(Incident, HostName),
}
