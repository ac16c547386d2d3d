//! Provides the counters of a host's links.

use bergamotswitch_core::link::LinkMessage;
use bergamotswitch_core::permit::{OwnerMessage, OwnerReply};
use bergamotswitch_core::revision::RevisionMessage;

use super::handshake::PeerRefusal;

macro_rules! message_kinds {
    ($($(#[$doc:meta])* $variant:ident = $text:literal, $pattern:pat,)*) => {
        /// A `MessageKind` is a kind of message between hosts.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum MessageKind {
            $($(#[$doc])* $variant,)*
        }

        impl MessageKind {
            /// All kinds.
            pub const ALL: &'static [MessageKind] = &[$(MessageKind::$variant,)*];

            /// Get the kind of a message.
            pub fn of(message: &LinkMessage) -> MessageKind {
                match message {
                    $($pattern => MessageKind::$variant,)*
                }
            }

            /// Get the kind's name, which is its label in metrics.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(MessageKind::$variant => $text,)*
                }
            }
        }
    };
}

message_kinds! {
    /// A heartbeat.
    Heartbeat = "heartbeat", LinkMessage::Heartbeat(_),
    /// A request for a permit.
    Ask = "ask", LinkMessage::ToOwner(OwnerMessage::PermitRequest(_)),
    /// A withdrawal of a permit request.
    Withdraw = "withdraw", LinkMessage::ToOwner(OwnerMessage::Withdraw { .. }),
    /// A released permit.
    Release = "release", LinkMessage::ToOwner(OwnerMessage::Release { .. }),
    /// The permits and keys of an entry host, sent to a new owner.
    Resync = "retell", LinkMessage::ToOwner(OwnerMessage::Resync { .. }),
    /// The answer to an audit: permits that the entry host does not hold.
    NotHeld = "not-held", LinkMessage::ToOwner(OwnerMessage::NotHeld { .. }),
    /// The confirmation that a host accepts the owner.
    OwnerConfirmed = "following", LinkMessage::ToOwner(OwnerMessage::OwnerConfirmed { .. }),
    /// The quota units left in the buckets of a former owner.
    QuotaLevels = "quota-levels", LinkMessage::ToOwner(OwnerMessage::QuotaLevels { .. }),
    /// The targets that another owner has backed off.
    FailedTargets = "failed-targets", LinkMessage::ToOwner(OwnerMessage::FailedTargets { .. }),
    /// The quota usage of an entry host, sent to a new owner.
    QuotaUse = "quota-use", LinkMessage::ToOwner(OwnerMessage::QuotaUse { .. }),
    /// The request rates that targets named as their limits.
    TargetLimits = "target-limits", LinkMessage::ToOwner(OwnerMessage::TargetLimits { .. }),
    /// The keys of an owner, handed over to the next one.
    Keys = "keys", LinkMessage::ToOwner(OwnerMessage::Keys { .. }),
    /// The targets that said that they leave.
    LeavingTargets = "leaving-targets", LinkMessage::ToOwner(OwnerMessage::LeavingTargets { .. }),
    /// The targets that said that they are brittle.
    BrittleTargets = "brittle-targets", LinkMessage::ToOwner(OwnerMessage::BrittleTargets { .. }),
    /// The stream of the next permit request.
    Stream = "stream", LinkMessage::ToOwner(OwnerMessage::Stream { .. }),
    /// The versions at which streams began.
    StreamVersions = "stream-versions", LinkMessage::ToOwner(OwnerMessage::StreamVersions { .. }),
    /// The recent use of client accounts, for the next owner.
    AccountUse = "account-use", LinkMessage::ToOwner(OwnerMessage::AccountUse { .. }),
    /// The signature of the call whose permit request follows.
    Signature = "signature", LinkMessage::ToOwner(OwnerMessage::Signature { .. }),
    /// Promises to refused callers, for the next owner.
    Promises = "promises", LinkMessage::ToOwner(OwnerMessage::Promises { .. }),
    /// The momentary paces of targets.
    TargetPaces = "target-paces", LinkMessage::ToOwner(OwnerMessage::TargetPaces { .. }),
    /// The version that began a stream.
    StreamVersion = "stream-version", LinkMessage::FromOwner(OwnerReply::StreamVersion { .. }),
    /// A granted permit.
    Granted = "granted", LinkMessage::FromOwner(OwnerReply::Granted { .. }),
    /// A refused permit request.
    Refused = "refused", LinkMessage::FromOwner(OwnerReply::Refused { .. }),
    /// A redirect of a permit request whose idempotency key is held elsewhere.
    KeyHeld = "key-known", LinkMessage::FromOwner(OwnerReply::KeyHeld { .. }),
    /// A command to preempt an attempt.
    Preempt = "preempt", LinkMessage::FromOwner(OwnerReply::Preempt { .. }),
    /// A query which old permits an entry host no longer holds.
    Audit = "audit", LinkMessage::FromOwner(OwnerReply::Audit { .. }),
    /// The reply of a host that does not own the shard.
    NotOwner = "not-owner", LinkMessage::FromOwner(OwnerReply::NotOwner { .. }),
    /// An owner's query whether a host accepts it.
    ConfirmOwner = "who-follows", LinkMessage::FromOwner(OwnerReply::ConfirmOwner { .. }),
    /// The revisions that a host has.
    Marks = "marks", LinkMessage::Revision(RevisionMessage::Marks(_)),
    /// A change of a published value.
    Change = "change", LinkMessage::Revision(RevisionMessage::Change { .. }),
    /// A request for a complete published value.
    Want = "want", LinkMessage::Revision(RevisionMessage::Want(_)),
    /// A complete published value.
    Whole = "whole", LinkMessage::Revision(RevisionMessage::Whole(_)),
    /// A query how long ago a revision was known to be the latest.
    AskConfirmed = "ask-confirmed", LinkMessage::Revision(RevisionMessage::QueryConfirmation { .. }),
    /// The answer to that query.
    Confirmed = "confirmed", LinkMessage::Revision(RevisionMessage::Confirmed { .. }),
    /// Reports of calls whose runs crashed their targets.
    Crashes = "crashes", LinkMessage::Crashes(_),
    /// The shards for which the sender acts as owner.
    Ownership = "ownership", LinkMessage::Ownership(_),
}

/// A `KindCount` is the traffic of one message kind in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindCount {
    /// The number of messages.
    pub messages: u64,
    /// The size of their frames in bytes, with the length prefix and without the
    /// headers of lower layers.
    pub bytes: u64,
}

/// A `KindCounts` is the traffic in one direction by message kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KindCounts([KindCount; MessageKind::ALL.len()]);

impl Default for KindCounts {
    fn default() -> Self {
        KindCounts([KindCount::default(); MessageKind::ALL.len()])
    }
}

impl KindCounts {
    /// Get the count of one kind.
    pub fn of(&self, kind: MessageKind) -> KindCount {
        self.0[kind as usize]
    }

    /// Get the sum over all kinds.
    pub fn total(&self) -> KindCount {
        let mut sum = KindCount::default();
        for count in &self.0 {
            sum.messages += count.messages;
            sum.bytes += count.bytes;
        }
        sum
    }

    pub(crate) fn add(&mut self, kind: MessageKind, len: usize) {
        let count = &mut self.0[kind as usize];
        count.messages += 1;
        count.bytes += len as u64;
    }
}

/// A `RefusalCounts` is the number of refused connections by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusalCounts {
    /// The peer has another protocol version.
    pub version: u64,
    /// A handshake header field is absent or unreadable.
    pub malformed: u64,
    /// No host list or key is set yet.
    pub not_ready: u64,
    /// The host is not on the host list, or is not the dialled one.
    pub unknown_host: u64,
    /// The proof of the shared key is invalid.
    pub bad_proof: u64,
    /// The handshake timed out.
    pub timeout: u64,
    /// Too many handshakes were in progress.
    pub too_many: u64,
}

impl RefusalCounts {
    /// Get the sum over all reasons.
    pub fn total(&self) -> u64 {
        self.version
            + self.malformed
            + self.not_ready
            + self.unknown_host
            + self.bad_proof
            + self.timeout
            + self.too_many
    }

    pub(crate) fn add(&mut self, refusal: &PeerRefusal) {
        let count = match refusal {
            PeerRefusal::Version(_) => &mut self.version,
            PeerRefusal::Malformed => &mut self.malformed,
            PeerRefusal::NotReady => &mut self.not_ready,
            PeerRefusal::UnknownHost(_) => &mut self.unknown_host,
            PeerRefusal::BadProof(_) => &mut self.bad_proof,
            PeerRefusal::Timeout => &mut self.timeout,
            PeerRefusal::TooMany => &mut self.too_many,
        };
        *count += 1;
    }
}

/// A `LinkCounters` is the set of counters of a host's links since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkCounters {
    /// Messages passed to a connection.
    pub sent: KindCounts,
    /// Messages received from peers and passed to the event loop.
    pub received: KindCounts,
    /// Messages not sent because there was no link, the message was too long or
    /// unknown to the peer, the send queue was full, or the link closed.
    pub dropped: u64,
    /// Links closed because their send queue was full.
    pub overflows: u64,
    /// Links closed because the peer did not answer a PING.
    pub silent: u64,
    /// Links closed because of an invalid frame.
    pub malformed: u64,
    /// Connections refused by this host.
    pub refused: RefusalCounts,
    /// Connections refused by the dialled peer.
    pub refused_by_peers: u64,
}
