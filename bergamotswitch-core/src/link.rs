//! Provides links: what travels between two entry hosts.

use serde::{Deserialize, Serialize};

use crate::host::HostIncarnation;
use crate::permit::{OwnerMessage, OwnerReply};
use crate::revision::RevisionMessage;

/// The version of the messages between hosts. A peer with another version is
/// refused with a clear error: a guess at an unknown layout could grant a
/// slot that nobody asked for.
pub const LINK_VERSION: u16 = 2;

/// The newest set of messages that this version knows. A message that is added
/// begins a set; it is sent only to peers whose hello names that set, so that a
/// fleet works while its hosts are replaced by newer ones.
pub const MESSAGE_SET: u16 = 3;

/// The set that began with the hand-over of quotas.
const QUOTA_LEVELS_SET: u16 = 1;

/// The set that began with the telling of failed targets.
const FAILED_TARGETS_SET: u16 = 2;

/// The set that began with the telling of quotas' uses.
const QUOTA_USE_SET: u16 = 3;

/// The largest message in bytes: a published value has up to a megabyte, and
/// a peer must not make a host allocate without bound.
pub const MAX_MESSAGE_LEN: usize = 1_200_000;

/// A `Heartbeat` proves that its sender runs and that the path works.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The number of the heartbeat.
    pub sequence: u64,
    /// The highest sequence heard from the receiver: where it stands still
    /// while heartbeats arrive, the path is cut one way.
    pub heard: u64,
    /// Whether the sender is stopping: it takes no candidacy and no callers.
    pub stopping: bool,
    /// How busy the sender is, in thousandths of what it can carry.
    pub load_permille: u16,
}

/// A `LinkMessage` is one message between two entry hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// Proof of life.
    Heartbeat(Heartbeat),
    /// To a shard's owner.
    ToOwner(OwnerMessage),
    /// From a shard's owner.
    FromOwner(OwnerReply),
    /// Published values.
    Revision(RevisionMessage),
}

impl LinkMessage {
    /// Get the set with which the message was added.
    pub fn message_set(&self) -> u16 {
        match self {
            LinkMessage::ToOwner(OwnerMessage::QuotaLevels { .. }) => QUOTA_LEVELS_SET,
            LinkMessage::ToOwner(OwnerMessage::FailedTargets { .. }) => FAILED_TARGETS_SET,
            LinkMessage::ToOwner(OwnerMessage::QuotaUse { .. }) => QUOTA_USE_SET,
            _ => 0,
        }
    }
}

/// A `LinkEvent` is what a host's links report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// A link to the peer is up; its run is known from the handshake.
    Up(HostIncarnation),
    /// The link to the peer is gone.
    Down(HostIncarnation),
    /// The peer sent a message.
    Message(HostIncarnation, LinkMessage),
}
