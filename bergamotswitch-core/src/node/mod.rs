//! Provides the decision logic of a whole host, without I/O or a clock: the entry
//! side that accepts requests, the shards that the host owns, membership and
//! published values.

mod actions;
mod backlog;
mod core;
mod crash_reports;
mod discovery;
mod evacuations;
mod exposure;
mod handover;
mod host_returns;
mod intake;
mod key_guard;
mod missing_hosts;
mod published;
mod shard_use;
mod shards;
mod stream_backups;
mod view;

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Moment;
use crate::entry::{AttemptEvent, Conclusion};
use crate::evacuation::EvacuationUpdate;
use crate::host::{EntryHost, HostIncarnation, HostName};
use crate::incident::Incident;
use crate::link::{LinkEvent, LinkMessage};
use crate::permit::PermitRequest;
use crate::pool::PoolKind;
use crate::refusal::{RefusalReason, RetryReason, WasteCause};
use crate::request::{AttemptId, PrefixHash, RequestId};
use crate::revision::{PublishedValue, Revision, ValueName};
use crate::roster::{RosterAction, RosterMessage};
use crate::rules::Tier;
use crate::target::{LoadReport, PoolTarget, TargetName};
use crate::target_list::TargetUpdate;
use crate::target_path::TargetPath;

pub use self::backlog::{InputBacklog, InputRole, LoopInput, NextInput};
pub use self::core::{NodeCore, NodeOptions, RosterSetup};
pub use self::exposure::NodeCounts;
pub use self::view::NodeView;

/// A `NodeEvent` is an input to a host's decision logic. Requests are submitted with
/// [`NodeCore::submit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// The last caller that waited for a request has disconnected.
    CallerDisconnected(RequestId),
    /// An attempt has progressed or ended.
    Attempt(AttemptId, AttemptEvent),
    /// The answer of a running request exceeds the maximum size.
    AnswerTooLong(RequestId),
    /// The stored answer of a completed request takes up this much memory, in bytes.
    AnswerSize(RequestId, u64),
    /// A link changed state or received a message.
    Link(LinkEvent),
    /// A permit request of a peer waited for the event loop for too long and is refused.
    Overdue(HostIncarnation, Box<PermitRequest>),
    /// A read or watch returned a value.
    Read(PublishedValue),
    /// A watch ended without a change of the value.
    Unchanged(ValueName),
    /// A read or watch found no change of the value; the service has this revision of it.
    UnchangedAt(ValueName, Revision),
    /// A read or watch failed.
    ReadFailed(ValueName),
    /// The store reported registered targets.
    Targets(TargetUpdate),
    /// A read or watch of the evacuated failure domains returned.
    Evacuations(EvacuationUpdate),
    /// A gossip message arrived from another host.
    Gossip(Box<RosterMessage>),
    /// The seed addresses in the settings have changed.
    Seeds(Vec<SocketAddr>),
    /// A target reported its load.
    Load(TargetName, LoadReport),
    /// A target added (`true`) or removed (`false`) a prefix in its cache.
    Prefix(TargetName, PrefixHash, bool),
    /// A target told which parts of prompts it holds; `None` if it cannot tell.
    CacheRead(TargetName, Option<Vec<PrefixHash>>),
    /// This host's load, in thousandths of its capacity.
    HostLoad(u16),
    /// A planned stop has been requested.
    Stop,
    /// During a planned stop, answers have to be complete by this time.
    AnswerDeadline(Moment),
    /// The callers' addresses of this host have expired during a planned stop: no new
    /// request is accepted.
    AdmissionClosed,
    /// The grace period of the planned stop has ended: all requests are terminated.
    GraceExpired,
    /// Timers may be due.
    Tick,
}

/// A `NodeAction` is an operation that a host's decision logic requests from its
/// environment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeAction {
    /// Send a message to a peer.
    Send(HostName, LinkMessage),
    /// Open a link to this host and keep it open.
    Connect(EntryHost),
    /// Send a gossip message.
    Gossip(RosterAction),
    /// Close the link to this host.
    Disconnect(HostName),
    /// Read a value once.
    Read(ValueName),
    /// Watch a value for revisions after this one.
    Watch(ValueName, Revision),
    /// Report a change of this value in the publication in force.
    Published(ValueName),
    /// Poll the load and subscribe to the cache events of exactly these targets.
    WatchTargets(Vec<PoolTarget>),
    /// Ask these targets which parts of prompts they hold.
    ReadCaches(Vec<PoolTarget>),
    /// Start an attempt: send the request to a target.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// The target.
        target: Box<PoolTarget>,
        /// The kind of the target's pool, which determines the protocol.
        kind: PoolKind,
        /// The path on which to reach the target.
        path: TargetPath,
        /// The timeout for the connection; `None` for the usual one.
        connect_within: Option<Duration>,
    },
    /// Abort an attempt.
    Abort {
        /// The attempt.
        attempt: AttemptId,
        /// Whether to cancel the request at the target as well.
        cancel: bool,
    },
    /// Report the outcome of a request to its callers.
    Conclude(RequestId, Conclusion),
    /// Drop the stored answer of a completed request.
    DropAnswer(RequestId),
    /// Forward a request to the host incarnation that holds its key.
    Forward(RequestId, HostIncarnation),
    /// Log an incident; the text names its subject.
    LogIncident(Incident, String),
    /// Count a refusal of an accepted request.
    CountRefusal(Tier, RefusalReason),
    /// Record the time from acceptance to the first dispatch.
    CountWait(Tier, Duration),
    /// Count a retry.
    CountRetry(RetryReason),
    /// Count prompt tokens that were processed without use.
    CountWaste(Tier, WasteCause, u32),
    /// Count a completed request.
    CountEnd {
        /// The tier of the request.
        tier: Tier,
        /// Whether the answer was complete and on time.
        good: bool,
        /// The time from acceptance to the first token, if there was one.
        first_token: Option<Duration>,
    },
    /// The planned stop is complete: no request is queued or running.
    Stopped,
}
