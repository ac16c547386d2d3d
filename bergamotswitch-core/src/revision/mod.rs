//! Provides published values and their revisions: adoption of monotonically
//! increasing revisions, and the messages that propagate changes between hosts.
//!
//! In each failure domain, the first hosts by rendezvous hashing over the host
//! list read the configuration service; all others receive changes from relays
//! of their domain. Every host's relays precede it in one ranking shared by the
//! whole domain, so each host is connected to a reader through its relays. A
//! host relies on a relay only while the relay answers, and reads the service
//! itself when all of its relays are silent.

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

pub use options::{CarriedValue, RevisionOptions};
pub use replica::RevisionReplica;
pub use status::{RefusedRevision, RevisionStatus, ValueStatus};

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Moment;
use crate::host::{EntryHost, HostList, HostName};
use crate::incident::Incident;

pub use crate::name::ValueName;

/// A `Revision` is the number of a publication of one value, starting at 1; 0
/// stands for none. A host never goes back to a lower revision, whatever the
/// service or a peer sends.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// A `PublishedValue` is one complete value of the configuration service. The
/// body is JSON text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedValue {
    /// The name of the value.
    pub name: ValueName,
    /// The revision of the value.
    pub revision: Revision,
    /// The JSON text of the value.
    pub body: String,
}

/// A `RevisionMark` is the highest revision of a value that a host has
/// received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionMark {
    /// The name of the value.
    pub name: ValueName,
    /// The highest revision received.
    pub revision: Revision,
}

/// A `RevisionMessage` is a message that propagates published values between
/// hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevisionMessage {
    /// The revisions that the sender has received (0: none), sent on connect,
    /// periodically, and to announce or request a change. A message without
    /// marks is a keepalive answer and is not answered itself.
    Marks(Vec<RevisionMark>),
    /// A change from one revision to a later one, as JSON Patch (RFC 6902).
    Change {
        /// The name of the value.
        name: ValueName,
        /// The revision that the patch applies to.
        from: Revision,
        /// The revision that the patch leads to.
        to: Revision,
        /// The xxh3 hash of the canonical form of the resulting JSON text.
        checksum: u64,
        /// The patch as JSON text.
        patch: String,
    },
    /// A request for the complete value.
    Want(ValueName),
    /// A complete value.
    Whole(PublishedValue),
    /// A query for how long ago the receiver knew its revision of a value to be
    /// the newest.
    QueryConfirmation {
        /// The name of the value.
        name: ValueName,
        /// The sender's time of the query.
        queried_at: Moment,
    },
    /// The answer to `QueryConfirmation`.
    Confirmed {
        /// The name of the value.
        name: ValueName,
        /// The time of the query, copied from it.
        queried_at: Moment,
        /// The revision in force on the sender.
        revision: Revision,
        /// How long before the answer that revision was known to be the newest,
        /// in milliseconds.
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
/// The name of the list of targets registered at the platform.
pub const TARGETS_VALUE: &str = "targets";
/// The name of the list of evacuated failure domains.
pub const EVACUATIONS_VALUE: &str = "evacuations";
/// The name of the host list, which is read from a service of its own.
pub const HOSTS_VALUE: &str = "hosts";

/// Get the name of a value from its constant.
///
/// # Panics
///
/// Panics if the constant is not a valid name.
pub fn value_name(constant: &'static str) -> ValueName {
    ValueName::try_from(constant).expect("the constant is a name")
}

/// A `RevisionEvent` is an input of a [`RevisionReplica`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RevisionEvent {
    /// The service (or the host list service) returned a value for a read or a
    /// watch.
    Read(PublishedValue),
    /// A watch ended without a change.
    Unchanged(ValueName),
    /// A read or a watch found no change; the service has this revision. A lower one than
    /// the highest received confirms nothing.
    UnchangedAt(ValueName, Revision),
    /// A read or a watch failed.
    ReadFailed(ValueName),
    /// A peer sent a message.
    Peer(HostName, RevisionMessage),
    /// A link to a peer came up.
    PeerUp(HostName),
    /// The link to a peer went down.
    PeerDown(HostName),
    /// The host list changed, and with it possibly the readers and relays.
    Hosts(HostList),
    /// The timer fired.
    Tick,
    /// The process was paused for this long.
    ProcessResumed(Duration),
}

/// A `RevisionAction` is an output of a [`RevisionReplica`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RevisionAction {
    /// Read the value once, now. Replaces an earlier call for the value.
    Read(ValueName),
    /// Wait for a revision of the value beyond this one (long poll). Replaces
    /// an earlier call for the value.
    Watch(ValueName, Revision),
    /// Send a message to a peer.
    Send(HostName, RevisionMessage),
    /// Validate a higher revision that arrived, and report the result by
    /// `RevisionReplica::record_verdict`.
    Validate(PublishedValue),
    /// Open a link to this peer for propagating values, and keep it as long as
    /// `RevisionReplica::wants_link` returns true.
    Link(EntryHost),
    /// Log an incident of a value.
    LogIncident(Incident, ValueName),
    /// Log what became of a revision of a value.
    LogRevision(Incident, ValueName, Revision),
}
