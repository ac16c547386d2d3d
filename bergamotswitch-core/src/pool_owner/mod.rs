//! Provides the owner of a pool shard: one host that queues the permit requests
//! of all entry hosts and grants permits.
//!
//! A permit request passes through the modules in this order: `admission` checks
//! its key and its account's quota and refuses it if there is not enough capacity,
//! `order` holds it in the queue, `placement` assigns it a slot of a target, and
//! `learning` updates the state of the target from the permit's release.

mod admission;
mod learning;
mod options;
mod order;
mod owner;
mod placement;
mod scheduling_options;
mod view;

pub use admission::quota::{QuotaRate, QuotaTolerance};
pub use admission::returning_calls::PromiseState;
pub use admission::{account_shares, key_table, return_promises, returning_calls, room_forecast};
pub use learning::{back_off, host_connections, size_ends, slot_limit, slow_moments, target_load};
pub use options::OwnerOptions;
pub use order::{queue, wait_plan};
pub use owner::ShardOwner;
pub use placement::cold_tolerance::ColdTolerance;
pub use placement::{permit_table, prefix_table, routing, slot_matching, token_routing};
pub use scheduling_options::SchedulingOptions;
pub use view::{ConnectionView, PromiseCount, RefusalCount, ShardView, TargetView, TierView};

use std::collections::BTreeSet;

use admission::account_shares::AccountShareView;
use learning::size_ends::SizeView;

use crate::client_account::AccountName;
use crate::cold_targets::ColdTarget;
use crate::host::{HostName, Incarnation};
use crate::incident::Incident;
use crate::permit::{OwnerMessage, OwnerReply, PermitRequest};
use crate::pool::PoolShard;
use crate::request::PrefixHash;
use crate::target::{LoadReport, PoolTarget, TargetName};

/// An `OwnerEvent` is an input of a shard owner.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerEvent {
    /// An entry host sent a message.
    Message(HostName, OwnerMessage),
    /// A permit request waited for the event loop for too long and is refused.
    Overdue(HostName, Box<PermitRequest>),
    /// The shard's targets that accept no new requests, as of the next
    /// [`OwnerEvent::Targets`].
    DepartingTargets(Vec<PoolTarget>),
    /// The shard's targets that accept new requests have changed.
    Targets(Vec<PoolTarget>),
    /// The cold targets of the shard's pool, with their limits, have changed.
    ColdTargets(Vec<(TargetName, ColdTarget)>),
    /// The quota rates that this owner enforces have changed.
    Quotas(Vec<(AccountName, QuotaRate)>),
    /// The hosts of the fleet that are not stopping have changed.
    Hosts(Vec<HostName>),
    /// A target's load report arrived, possibly delayed.
    Load(TargetName, LoadReport),
    /// A target reported that it holds (`true`) or evicted (`false`) a prefix;
    /// such reports are delayed and incomplete.
    Prefix(TargetName, PrefixHash, bool),
    /// A target told which parts of prompts it holds, which are named as in a permit
    /// request; `None` if it cannot tell.
    CacheRead(TargetName, Option<Vec<PrefixHash>>),
    /// The hosts that this one no longer hears have changed.
    SilentHosts(BTreeSet<HostName>),
    /// This incarnation of an entry host has terminated.
    HostTerminated(HostName, Incarnation),
    /// The previous owner stops and handed over to this one.
    HandedOver,
    /// The previous owner does not respond, and this one takes over.
    FailedOver,
    /// This host stops, and another one takes over.
    Stopping,
    /// Time has passed.
    Tick,
}

/// A `FailureReport` is the failure of one attempt as reported by its entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailureReport {
    /// The entry host.
    pub host: HostName,
    /// What the attempt met, in words of [`ReleaseOutcome::label`].
    pub outcome: &'static str,
}

/// An `OwnerAction` is an output of a shard owner, to be carried out by the
/// caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerAction {
    /// Send a reply to an entry host (which may be this host).
    Reply(HostName, OwnerReply),
    /// Ask these targets of the shard which parts of prompts they hold.
    ReadCaches(PoolShard, Vec<PoolTarget>),
    /// Log an incident of the shard and, if given, of one of its targets, with the
    /// report that caused it.
    LogIncident(
        Incident,
        PoolShard,
        Option<TargetName>,
        Option<FailureReport>,
    ),
    /// Log that requests of a client account above its share are refused.
    LogShare(PoolShard, AccountShareView),
    /// Log how the requests of one tier and size ended.
    LogSize(PoolShard, SizeView),
}
