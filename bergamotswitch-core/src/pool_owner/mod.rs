//! Provides the owner side: one owner host holds a shard's queue order for
//! all entry hosts and gives permits.

pub mod back_off;
mod cost_sample;
mod dispatch;
mod failed_targets;
mod fair_queue;
mod followers;
pub mod key_table;
mod load_history;
mod options;
mod owner;
pub mod permit_table;
mod preemption;
pub mod prefix_table;
pub mod queue;
mod quota;
mod quota_recovery;
mod refusing;
mod release;
mod release_pace;
pub mod routing;
mod run_gauge;
mod slot_dispatch;
pub mod slot_limit;
mod slot_routing;
mod speed_gauge;
mod target_change;
pub mod target_load;
mod tier_floor;
mod token_limit;
mod view;
pub mod wait_plan;

pub use options::OwnerOptions;
pub use owner::ShardOwner;
pub use quota::{QuotaRate, QuotaTolerance};
pub use view::{RefusalCount, ShardView, TargetView, TierView};

use crate::client_account::AccountName;
use crate::host::{HostName, Incarnation};
use crate::incident::Incident;
use crate::permit::{OwnerMessage, OwnerReply};
use crate::pool::PoolShard;
use crate::request::PrefixHash;
use crate::target::{LoadReport, PoolTarget, TargetName};

/// An `OwnerEvent` is one thing that happens to a shard's owner.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerEvent {
    /// An entry host sent a message.
    Message(HostName, OwnerMessage),
    /// The shard's targets that may get new work, after a change.
    Targets(Vec<PoolTarget>),
    /// The quotas that this owner keeps, after a change.
    Quotas(Vec<(AccountName, QuotaRate)>),
    /// The hosts of the fleet that do not stop, after a change.
    Hosts(Vec<HostName>),
    /// A target's load report came, old on arrival.
    Load(TargetName, LoadReport),
    /// A target says that it holds (or no longer holds) a prefix; late, with
    /// gaps.
    Prefix(TargetName, PrefixHash, bool),
    /// This run of an entry host is known to be gone.
    HostGone(HostName, Incarnation),
    /// The owner before this one stops, and this one takes over.
    HandedOver,
    /// The owner before this one is silent, and this one takes over.
    TakenOver,
    /// This host stops, and another one takes over.
    Stopping,
    /// Time has passed.
    Tick,
}

/// An `OwnerAction` is one thing that a shard's owner wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerAction {
    /// Send a reply to an entry host (which may be this host).
    Reply(HostName, OwnerReply),
    /// Log a numbered event about a target of the shard.
    Note(Incident, PoolShard, Option<TargetName>),
}
