//! Provides membership: the candidates for the ownership of each shard, failure
//! detection between hosts, and the acting owner of a shard as seen by one
//! host.
//!
//! The candidates of a shard are chosen by rendezvous hashing over the live
//! hosts of the host list and watch each other. A host that uses a shard
//! watches the candidates in order, up to the first that is available. A watch
//! consists of heartbeats that the peer acknowledges, either in its own next
//! heartbeat or in one with sequence 0. A path counts as working while the peer
//! acknowledges new heartbeats, so a path that fails in one direction is
//! detected at both ends.
//!
//! Hosts report the shards for which they act, with a term for each. A candidate
//! that starts, or resumes after a pause, waits for the reports of the others and
//! follows a host that acts already.

mod candidates;
mod machine;
mod options;
mod ownership;
mod peer;
mod reconcile;
mod shard_view;

pub use machine::Membership;
pub use options::{CANDIDATE_COUNT, MembershipOptions};
pub use peer::PeerView;

use std::collections::BTreeSet;
use std::time::Duration;

use crate::host::{EntryHost, HostIncarnation, HostList, HostName, Incarnation};
use crate::incident::Incident;
use crate::link::{Heartbeat, ShardTerm};
use crate::pool::PoolShard;

/// A `KeyQuorum` is the set of hosts that have to respond before an owner
/// starts a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyQuorum {
    /// The shard's candidates, of which a majority has to follow the owner.
    pub candidates: Vec<HostName>,
    /// The live hosts not known to be lost, which have to report their
    /// keys.
    pub awaited: Vec<HostName>,
    /// The awaited hosts to which a link is up.
    pub linked: BTreeSet<HostName>,
    /// How long a host that uses the shard takes to detect the loss of its owner and to
    /// connect to the next one.
    pub connect_time: Duration,
}

/// A `MembershipEvent` is an input of the membership state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The host list changed.
    Hosts(HostList),
    /// The shards of the published pools changed.
    Shards(Vec<PoolShard>),
    /// This host has started (`true`) or stopped (`false`) using the shard.
    Using(PoolShard, bool),
    /// A link came up.
    LinkUp(HostIncarnation),
    /// A link went down.
    LinkDown(HostIncarnation),
    /// A heartbeat of a peer arrived.
    Heartbeat(HostName, Heartbeat),
    /// A peer reported all shards that it acts for.
    Ownership(HostName, Vec<ShardTerm>),
    /// Another message of a peer arrived.
    Traffic(HostName),
    /// A peer reported that it does not act as the shard's owner.
    NotOwner(HostName, PoolShard),
    /// This host's load, in thousandths of its capacity.
    Load(u16),
    /// A planned stop of this host begins.
    Stop,
    /// The timer fired.
    Tick,
    /// The process was paused for this long.
    ProcessResumed(Duration),
}

/// A `MembershipAction` is an output of the membership state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Open and keep a link to this host.
    Connect(EntryHost),
    /// Close the link to this host.
    Disconnect(HostName),
    /// Send a heartbeat.
    Send(HostName, Heartbeat),
    /// Report all shards that this host acts for.
    SendOwnership(HostName, Vec<ShardTerm>),
    /// The acting owner of a shard, as seen by this host, has changed; `None`
    /// if no candidate is reachable.
    OwnerChanged(PoolShard, Option<HostName>),
    /// Begin (`true`) or cease (`false`) to act as owner of a shard.
    Act(PoolShard, bool),
    /// A peer that was lost has sent a heartbeat.
    HeardAgain(HostName),
    /// A peer reports that it begins or ceases to act for a shard for which this host acts.
    Contested(PoolShard),
    /// This incarnation of a host has terminated: a newer one connected, or the
    /// host was removed from the host list and is unreachable.
    HostTerminated(HostName, Incarnation),
    /// Log an incident of a host.
    LogIncident(Incident, HostName),
    /// Log that a host acts for a shard for which this host acts as well.
    LogContest(HostName, PoolShard),
    /// Log that a host does not act as owner of a shard.
    LogDenial(HostName, PoolShard),
}
