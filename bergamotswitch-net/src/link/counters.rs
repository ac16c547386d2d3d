//! Provides the counters of a host's links.

use bergamotswitch_core::link::LinkMessage;
use bergamotswitch_core::permit::{OwnerMessage, OwnerReply};
use bergamotswitch_core::revision::RevisionMessage;

use super::handshake::PeerRefusal;

macro_rules! message_kinds {
    ($($(#[$doc:meta])* $variant:ident = $text:literal, $pattern:pat,)*) => {
        /// A `MessageKind` is the kind of a message between hosts.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum MessageKind {
            $($(#[$doc])* $variant,)*
        }

        impl MessageKind {
            /// Every kind.
            pub const ALL: &'static [MessageKind] = &[$(MessageKind::$variant,)*];

            /// Get the kind of a message.
            pub fn of(message: &LinkMessage) -> MessageKind {
                match message {
                    $($pattern => MessageKind::$variant,)*
                }
            }

            /// Get the kind's name, as in metrics.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(MessageKind::$variant => $text,)*
                }
            }
        }
    };
}

message_kinds! {
    /// Proof of life.
    Heartbeat = "heartbeat", LinkMessage::Heartbeat(_),
    /// A wish for a slot.
    Ask = "ask", LinkMessage::ToOwner(OwnerMessage::Ask(_)),
    /// A withdrawn wish.
    Withdraw = "withdraw", LinkMessage::ToOwner(OwnerMessage::Withdraw { .. }),
    /// A permit given back.
    Release = "release", LinkMessage::ToOwner(OwnerMessage::Release { .. }),
    /// What an entry host holds.
    Resync = "retell", LinkMessage::ToOwner(OwnerMessage::Resync { .. }),
    /// The answer to an audit.
    NotHeld = "not-held", LinkMessage::ToOwner(OwnerMessage::NotHeld { .. }),
    /// A host's word that it follows an owner.
    OwnerConfirmed = "following", LinkMessage::ToOwner(OwnerMessage::OwnerConfirmed { .. }),
    /// What a former owner had left in its quotas' buckets.
    QuotaLevels = "quota-levels", LinkMessage::ToOwner(OwnerMessage::QuotaLevels { .. }),
    /// Targets that fail an owner.
    FailedTargets = "failed-targets", LinkMessage::ToOwner(OwnerMessage::FailedTargets { .. }),
    /// What is used of the quotas, told to a new owner.
    QuotaUse = "quota-use", LinkMessage::ToOwner(OwnerMessage::QuotaUse { .. }),
    /// A permit.
    Granted = "granted", LinkMessage::FromOwner(OwnerReply::Granted { .. }),
    /// A refused wish.
    Refused = "refused", LinkMessage::FromOwner(OwnerReply::Refused { .. }),
    /// A key held elsewhere.
    KeyHeld = "key-known", LinkMessage::FromOwner(OwnerReply::KeyHeld { .. }),
    /// An order to stop an attempt.
    Preempt = "preempt", LinkMessage::FromOwner(OwnerReply::Preempt { .. }),
    /// A question for permits not held.
    Audit = "audit", LinkMessage::FromOwner(OwnerReply::Audit { .. }),
    /// Not the owner.
    NotOwner = "not-owner", LinkMessage::FromOwner(OwnerReply::NotOwner { .. }),
    /// An owner's question who follows it.
    ConfirmOwner = "who-follows", LinkMessage::FromOwner(OwnerReply::ConfirmOwner { .. }),
    /// The revisions seen.
    Marks = "marks", LinkMessage::Revision(RevisionMessage::Marks(_)),
    /// A change of a value.
    Change = "change", LinkMessage::Revision(RevisionMessage::Change { .. }),
    /// A wish for a whole value.
    Want = "want", LinkMessage::Revision(RevisionMessage::Want(_)),
    /// A whole value.
    Whole = "whole", LinkMessage::Revision(RevisionMessage::Whole(_)),
    /// A question since when a revision is the newest.
    AskConfirmed = "ask-confirmed", LinkMessage::Revision(RevisionMessage::AskConfirmed { .. }),
    /// The answer to it.
    Confirmed = "confirmed", LinkMessage::Revision(RevisionMessage::Confirmed { .. }),
}

/// A `KindCount` is what went one way of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindCount {
    /// The messages.
    pub messages: u64,
    /// Their frames' bytes, with the length, without the headers below.
    pub bytes: u64,
}

/// A `KindCounts` is what went one way, by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KindCounts([KindCount; MessageKind::ALL.len()]);

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

/// A `RefusalCounts` counts the connections refused, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusalCounts {
    /// Another protocol version.
    pub version: u64,
    /// Header fields that are absent or unreadable.
    pub malformed: u64,
    /// No roster is set yet.
    pub not_ready: u64,
    /// A host that the roster does not have, or that is not the dialled one.
    pub unknown_host: u64,
    /// No proof of the shared key.
    pub bad_proof: u64,
    /// The handshake took too long.
    pub timeout: u64,
    /// Too many connections in their handshake.
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

/// A `LinkCounters` is what a host's links did since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkCounters {
    /// Handed to a connection.
    pub sent: KindCounts,
    /// Received from a peer and given to the loop.
    pub received: KindCounts,
    /// Messages not sent: no link, too long, or waiting when a link closed.
    pub dropped: u64,
    /// Links closed because their send queue was full.
    pub overflows: u64,
    /// Links closed because the peer was silent.
    pub silent: u64,
    /// Links closed because of bytes that are no message.
    pub malformed: u64,
    /// Connections refused.
    pub refused: RefusalCounts,
    /// Connections that a dialled peer refused.
    pub refused_by_peers: u64,
}
