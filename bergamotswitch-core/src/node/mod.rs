//! Provides a whole host's decisions: the entry desk, the shards it owns,
//! membership and published values, joined without sockets or clocks.

mod actions;
mod core;
mod discovery;
mod exposure;
mod handover;
mod host_returns;
mod intake;
mod key_guard;
mod published;
mod shard_use;
mod shards;
mod view;

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Moment;
use crate::entry::{AttemptEvent, Conclusion};
use crate::host::{EntryHost, HostIncarnation, HostName};
use crate::incident::Incident;
use crate::link::{LinkEvent, LinkMessage};
use crate::pool::PoolKind;
use crate::refusal::{RefusalReason, RetryReason, WasteCause};
use crate::request::{AttemptId, PrefixHash, RequestId};
use crate::revision::{PublishedValue, Revision, ValueName};
use crate::roster::{RosterAction, RosterMessage};
use crate::rules::Tier;
use crate::target::{LoadReport, PoolTarget, TargetName};
use crate::target_list::TargetNews;

pub use self::core::{NodeCore, NodeOptions, RosterSetup};
pub use self::exposure::NodeCounts;
pub use self::view::NodeView;

/// A `NodeEvent` is one thing that happens to a host. Submissions come
/// through [`NodeCore::submit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// The last caller that followed a request went away.
    CallerDisconnected(RequestId),
    /// An attempt makes progress.
    Attempt(AttemptId, AttemptEvent),
    /// The answer of a request in flight is longer than one may be.
    AnswerTooLong(RequestId),
    /// The answer of an ended request takes this memory, in bytes.
    AnswerSize(RequestId, u64),
    /// A link's news.
    Link(LinkEvent),
    /// The platform answered a read or a watch.
    Read(PublishedValue),
    /// A watch ended without a change.
    Unchanged(ValueName),
    /// The platform did not answer.
    ReadFailed(ValueName),
    /// The store told of registered targets.
    Targets(TargetNews),
    /// Another host told what it knows of the fleet.
    Gossip(Box<RosterMessage>),
    /// The seeds of the settings have changed.
    Seeds(Vec<SocketAddr>),
    /// A target's load report came.
    Load(TargetName, LoadReport),
    /// A target's cache event came.
    Prefix(TargetName, PrefixHash, bool),
    /// This host's load, in thousandths of what it can carry.
    HostLoad(u16),
    /// A planned stop begins.
    Stop,
    /// In a planned stop that may not last, answers have to be whole by then.
    AnswerDeadline(Moment),
    /// The addresses under which callers come have lapsed: no new request is
    /// taken.
    AdmissionClosed,
    /// The planned stop may not last any longer: everything ends now.
    GraceExpired,
    /// Time has passed.
    Tick,
}

/// A `NodeAction` is one thing that a host wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeAction {
    /// Send a message to a peer.
    Send(HostName, LinkMessage),
    /// Keep a link to this host.
    Connect(EntryHost),
    /// Tell another host what this one knows of the fleet.
    Gossip(RosterAction),
    /// Drop the link to this host.
    Disconnect(HostName),
    /// Read a value once, now.
    Read(ValueName),
    /// Watch a value beyond this revision.
    Watch(ValueName, Revision),
    /// The publication in force has changed.
    Published(ValueName),
    /// Poll the load and follow the cache of just these targets.
    WatchTargets(Vec<PoolTarget>),
    /// Send a request's body to a target.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// Where to.
        target: Box<PoolTarget>,
        /// How it is spoken to.
        kind: PoolKind,
    },
    /// Stop an attempt and, where asked, cancel it at its target.
    Abort {
        /// The attempt.
        attempt: AttemptId,
        /// Whether to cancel the stream at the target.
        cancel: bool,
    },
    /// Tell the caller the outcome.
    Conclude(RequestId, Conclusion),
    /// Drop the kept answer of an ended request.
    DropAnswer(RequestId),
    /// Hand a request over to the run that holds its key.
    Forward(RequestId, HostIncarnation),
    /// Log a numbered event; the text names what it is about.
    LogIncident(Incident, String),
    /// Count a refusal of a request that was accepted.
    CountRefusal(Tier, RefusalReason),
    /// Count the time from acceptance to the first dispatch.
    CountWait(Tier, Duration),
    /// Count a retry.
    CountRetry(RetryReason),
    /// Count prompt tokens processed for nothing.
    CountWaste(Tier, WasteCause, u32),
    /// Count an ended request.
    CountEnd {
        /// The tier.
        tier: Tier,
        /// Whole and in time.
        good: bool,
        /// From acceptance to the first token.
        first_token: Option<Duration>,
    },
    /// The stop is complete: nothing waits or runs.
    Stopped,
}
