//! Provides the messages by which hosts hear of each other.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::host::{EntryHost, HostName};

/// A `MemberFlags` is what changes about a host while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberFlags {
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub leaving: bool,
}

/// A `MemberRecord` is all that is told of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The host.
    pub host: EntryHost,
    /// The host's own time when it said so, in milliseconds. It only grows,
    /// over restarts too, and so tells newer news from older.
    pub stamp: u64,
    /// Its state then.
    pub flags: MemberFlags,
}

/// A `MemberMark` is how fresh the sender's news of a host is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMark {
    /// The short id of the host's name.
    pub id: u32,
    /// The stamp, as the difference to the sender's own: the numbers stay
    /// short on the wire.
    pub behind: i64,
    /// The host's state then.
    pub flags: MemberFlags,
}

impl MemberMark {
    /// Get the short id of a host's name.
    pub fn id_of(host: &HostName) -> u32 {
        xxh3_64(host.as_str().as_bytes()) as u32
    }
}

/// A `RosterMessage` is one datagram between two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterMessage {
    /// The sender.
    pub sender: MemberRecord,
    /// What the sender knows of others.
    pub marks: Vec<MemberMark>,
    /// Records that the receiver asked for or lacks.
    pub records: Vec<MemberRecord>,
    /// The ids whose records the sender lacks.
    pub wants: Vec<u32>,
}
