//! Provides the messages on the links between entry hosts.

use std::borrow::Cow;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::host::HostIncarnation;
use crate::permit::{OwnerMessage, OwnerReply};
use crate::pool::PoolShard;
use crate::quarantine::CrashReport;
use crate::refusal::RefusalReason;
use crate::revision::RevisionMessage;

/// The version of the message encoding. A peer with another version is refused
/// with an explicit error, because a message decoded with the wrong layout could
/// grant a slot that was never requested.
pub const LINK_VERSION: u16 = 2;

/// The newest message set that this release supports. Each added message opens a
/// new set and is sent only to peers whose handshake announces that set, so that
/// hosts of different releases work together during a rolling upgrade.
pub const MESSAGE_SET: u16 = 10;

/// The message set that added [`OwnerMessage::QuotaLevels`].
const QUOTA_LEVELS_SET: u16 = 1;

/// The message set that added [`OwnerMessage::FailedTargets`].
const FAILED_TARGETS_SET: u16 = 2;

/// The message set that added [`OwnerMessage::QuotaUse`].
const QUOTA_USE_SET: u16 = 3;

/// The message set that added [`LinkMessage::Crashes`].
const CRASHES_SET: u16 = 4;

/// The message set that added [`OwnerMessage::TargetLimits`].
const TARGET_LIMITS_SET: u16 = 5;

/// The message set that added [`LinkMessage::Ownership`] and [`OwnerMessage::Keys`].
const OWNERSHIP_SET: u16 = 6;

/// The message set that added [`OwnerMessage::LeavingTargets`].
const LEAVING_TARGETS_SET: u16 = 7;

/// The message set that added [`OwnerMessage::BrittleTargets`].
const BRITTLE_TARGETS_SET: u16 = 8;

/// The message set that added [`OwnerMessage::Stream`], [`OwnerMessage::StreamVersions`]
/// and [`OwnerReply::StreamVersion`].
const STREAMS_SET: u16 = 9;

/// The message set that added [`OwnerMessage::AccountUse`], [`OwnerMessage::Signature`],
/// [`OwnerMessage::Promises`] and [`OwnerMessage::TargetPaces`], and the refusal reason
/// [`RefusalReason::AboveShare`].
const SCHEDULING_SET: u16 = 10;

/// The maximum size of a message in bytes. It leaves room for a published value
/// of up to a megabyte and bounds what a peer can make a host allocate.
pub const MAX_MESSAGE_LEN: usize = 1_200_000;

/// A `Heartbeat` shows a peer that the sender is running and reachable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The heartbeat's sequence number.
    pub sequence: u64,
    /// The last sequence number received from the other side. If it stops
    /// increasing while heartbeats still arrive, only one direction works.
    pub heard: u64,
    /// Whether the sender is stopping and accepts neither ownership nor callers.
    pub stopping: bool,
    /// The sender's load, in thousandths of its capacity.
    pub load_permille: u16,
}

/// A `ShardTerm` is the term in which a host acts as owner of a shard. Of two hosts that
/// act for a shard, the one with the higher term continues, in the same term the candidate
/// that is ranked first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardTerm {
    /// The shard.
    pub shard: PoolShard,
    /// The number of the term.
    pub term: u64,
}

/// A `LinkMessage` is one message between two entry hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// A message from an entry host to a shard's owner.
    ToOwner(OwnerMessage),
    /// A message from a shard's owner to an entry host.
    FromOwner(OwnerReply),
    /// A message about revisions of published values.
    Revision(RevisionMessage),
    /// Reports of calls whose runs crashed their targets.
    Crashes(Vec<CrashReport>),
    /// All shards for which the sender acts as owner. It is the first message over a
    /// link, and is sent again whenever they change.
    Ownership(Vec<ShardTerm>),
}

impl LinkMessage {
    /// Get the message as a peer with this message set understands it: reasons of
    /// refusals that it does not know are replaced by the nearest older ones.
    pub fn for_message_set(&self, message_set: u16) -> Cow<'_, LinkMessage> {
        match self {
            LinkMessage::FromOwner(OwnerReply::Refused {
                attempt,
                reason: RefusalReason::AboveShare,
                retry_after_ms,
            }) if message_set < SCHEDULING_SET => {
                Cow::Owned(LinkMessage::FromOwner(OwnerReply::Refused {
                    attempt: *attempt,
                    reason: RefusalReason::Overloaded,
                    retry_after_ms: *retry_after_ms,
                }))
            }
            message => Cow::Borrowed(message),
        }
    }

    /// Get the message set that added this message, 0 for the original one.
    pub fn message_set(&self) -> u16 {
        match self {
            LinkMessage::ToOwner(OwnerMessage::QuotaLevels { .. }) => QUOTA_LEVELS_SET,
            LinkMessage::ToOwner(OwnerMessage::FailedTargets { .. }) => FAILED_TARGETS_SET,
            LinkMessage::ToOwner(OwnerMessage::QuotaUse { .. }) => QUOTA_USE_SET,
            LinkMessage::Crashes(_) => CRASHES_SET,
            LinkMessage::ToOwner(OwnerMessage::TargetLimits { .. }) => TARGET_LIMITS_SET,
            LinkMessage::Ownership(_) | LinkMessage::ToOwner(OwnerMessage::Keys { .. }) => {
                OWNERSHIP_SET
            }
            LinkMessage::ToOwner(OwnerMessage::LeavingTargets { .. }) => LEAVING_TARGETS_SET,
            LinkMessage::ToOwner(OwnerMessage::BrittleTargets { .. }) => BRITTLE_TARGETS_SET,
            LinkMessage::ToOwner(
                OwnerMessage::Stream { .. } | OwnerMessage::StreamVersions { .. },
            )
            | LinkMessage::FromOwner(OwnerReply::StreamVersion { .. }) => STREAMS_SET,
            LinkMessage::ToOwner(
                OwnerMessage::AccountUse { .. }
                | OwnerMessage::Signature { .. }
                | OwnerMessage::Promises { .. }
                | OwnerMessage::TargetPaces { .. },
            ) => SCHEDULING_SET,
            _ => 0,
        }
    }
}

impl LinkEvent {
    /// Get the event after it has waited to be processed; `None` if it is of no use any
    /// more, because the deadline of its permit request has passed.
    pub fn after_wait(self, waited: Duration) -> Option<Self> {
        match self {
            LinkEvent::Message(
                remote,
                LinkMessage::ToOwner(OwnerMessage::PermitRequest(request)),
            ) => {
                let request = Box::new(request.after_wait(waited)?);
                let message = OwnerMessage::PermitRequest(request);
                Some(LinkEvent::Message(remote, LinkMessage::ToOwner(message)))
            }
            event => Some(event),
        }
    }
}

/// A `LinkEvent` is an event on a link to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// The link to the peer, identified in the handshake, is up.
    Up(HostIncarnation),
    /// The link to the peer is down.
    Down(HostIncarnation),
    /// The peer sent a message.
    Message(HostIncarnation, LinkMessage),
}
