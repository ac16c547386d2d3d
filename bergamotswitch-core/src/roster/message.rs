//! Provides the gossip messages of the roster.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::host::{EntryHost, HostName};

/// A `MemberFlags` is the state of a host that changes while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberFlags {
    /// Whether the host accepts callers.
    pub ready: bool,
    /// Whether the host is stopping.
    pub leaving: bool,
}

/// A `MemberRecord` is the full information about a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The address and attributes of the host.
    pub host: EntryHost,
    /// The host's own time of the record in milliseconds. It increases
    /// monotonically, also across restarts, and so orders updates.
    pub stamp: u64,
    /// The host's flags at that time.
    pub flags: MemberFlags,
}

/// A `MemberMark` is the version and state of a host as known to the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMark {
    /// The short id of the host's name.
    pub id: u32,
    /// The difference between the sender's stamp and the host's stamp, which
    /// takes fewer bytes on the wire than the stamp.
    pub behind: i64,
    /// The host's flags at that time.
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
    /// The record of the sender.
    pub sender: MemberRecord,
    /// The marks of other hosts that the sender considers live.
    pub marks: Vec<MemberMark>,
    /// The records that the receiver requested.
    pub records: Vec<MemberRecord>,
    /// The ids of the hosts whose records the sender requests.
    pub wants: Vec<u32>,
}
