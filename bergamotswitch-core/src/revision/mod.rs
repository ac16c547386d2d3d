//! Provides published values and their revisions: adoption that never goes
//! back, and the messages by which hosts spread changes.
//!
//! The first hosts of each failure domain, by rendezvous over the host list,
//! read the service; all others hear of changes from relays of their domain.
//! A host counts on a relay only while the relay answers, and each relay
//! stands before it in one order that all hosts of the domain share: so every
//! host hangs from one that reads, and one whose relays are all silent reads
//! for itself.

mod confirmation;
mod options;
mod peer;
mod propagation;
mod relay;
mod replica;
mod service_reader;
mod status;
mod value_patch;
mod value_replica;

pub use options::RevisionOptions;
pub use replica::RevisionReplica;
pub use status::{RefusedRevision, RevisionStatus, ValueStatus};

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Moment;
use crate::host::{EntryHost, HostList, HostName};
use crate::incident::Incident;

pub use crate::name::ValueName;

/// A `Revision` counts the publications of one value from 1; 0 stands for
/// none. A host never goes back
/// to a lower one, whatever the service or a peer says.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// A `PublishedValue` is one value of the configuration service, whole. The
/// body is JSON text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedValue {
    /// The value's name.
    pub name: ValueName,
    /// Its revision.
    pub revision: Revision,
    /// Its JSON text.
    pub body: String,
}

/// A `RevisionMark` says which revision of a value a host has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionMark {
    /// The value's name.
    pub name: ValueName,
    /// The highest revision seen.
    pub revision: Revision,
}

/// A `RevisionMessage` spreads published values between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevisionMessage {
    /// What the sender has seen (revision 0: nothing yet); sent on connect and
    /// now and then. Without marks it is the answer that keeps a link counted
    /// on, and is not answered itself.
    Marks(Vec<RevisionMark>),
    /// A change from one revision to a later one, as JSON Patch (RFC 6902).
    Change {
        /// The value's name.
        name: ValueName,
        /// The revision that the patch applies to.
        from: Revision,
        /// The revision it leads to.
        to: Revision,
        /// The xxh3 of the resulting JSON text's canonical form.
        checksum: u64,
        /// The patch as JSON text.
        patch: String,
    },
    /// The sender needs this value whole.
    Want(ValueName),
    /// A value, whole.
    Whole(PublishedValue),
    /// The sender asks since when the receiver knows its revision of a value
    /// to be the newest.
    AskConfirmed {
        /// The value's name.
        name: ValueName,
        /// The sender's time of the question.
        asked_at: Moment,
    },
    /// The answer.
    Confirmed {
        /// The value's name.
        name: ValueName,
        /// The time of the question, as it was asked.
        asked_at: Moment,
        /// The revision that the sender acts by.
        revision: Revision,
        /// How long ago it was known to be the newest, in milliseconds, when
        /// the answer was given.
        age_ms: u32,
    },
}

/// The name of the published rules.
pub const RULES_VALUE: &str = "rules";
/// The name of the published client accounts.
pub const ACCOUNTS_VALUE: &str = "accounts";
/// The name of the published pools and their targets.
pub const POOLS_VALUE: &str = "pools";
/// The name of the published failure domains.
pub const DOMAINS_VALUE: &str = "domains";
/// The name of the published limits.
pub const LIMITS_VALUE: &str = "limits";
/// The name of the published routes of a gateway.
pub const ROUTES_VALUE: &str = "routes";
/// The name of the list of targets that registered at the platform.
pub const TARGETS_VALUE: &str = "targets";
/// The name under which the host list spreads; it comes from a service of
/// its own.
pub const HOSTS_VALUE: &str = "hosts";

/// Get the name of a value from its constant.
pub fn value_name(constant: &'static str) -> ValueName {
    ValueName::try_from(constant).expect("the constant is a name")
}

/// A `RevisionEvent` is one thing that happens to a host's published values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RevisionEvent {
    /// The service (or the host list) answered a read or a watch.
    Read(PublishedValue),
    /// A watch ended without a change.
    Unchanged(ValueName),
    /// The service did not answer.
    ReadFailed(ValueName),
    /// A peer sent a message.
    Peer(HostName, RevisionMessage),
    /// A link to a peer came up.
    PeerUp(HostName),
    /// The link to a peer went down.
    PeerDown(HostName),
    /// The host list changed: who reads may change.
    Hosts(HostList),
    /// Time has passed.
    Tick,
    /// The process slept for this long.
    Resumed(Duration),
}

/// A `RevisionAction` is one thing that a host's published values want done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RevisionAction {
    /// Read the value once, now. It takes the place of an earlier call for the
    /// value.
    Read(ValueName),
    /// Watch the value beyond this revision: one call that waits. It takes the
    /// place of an earlier call for the value.
    Watch(ValueName, Revision),
    /// Send a message to a peer.
    Send(HostName, RevisionMessage),
    /// A higher revision arrived; the host checks it and answers with
    /// `RevisionReplica::record_verdict`.
    Validate(PublishedValue),
    /// Keep a link to this peer for spreading values, as long as
    /// `RevisionReplica::wants_link` says so.
    Link(EntryHost),
    /// Log a numbered event about a value.
    Log(Incident, ValueName),
}
