//! Provides entry hosts, their incarnations and the host list.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::failure_domain::DomainName;
pub use crate::name::HostName;

/// An `Incarnation` is a random 128-bit number that a process draws at its
/// start. It tells a restarted process from its predecessor, so that a message
/// about one is never applied to the other.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u128);

/// JSON numbers cannot hold 128 bits, so human-readable formats use hex text;
/// messages between hosts carry the number.
impl Serialize for Incarnation {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(self),
            false => self.0.serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for Incarnation {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return u128::deserialize(deserializer).map(Incarnation);
        }
        let text = String::deserialize(deserializer)?;
        let number = u128::from_str_radix(&text, 16);
        number.map(Incarnation).map_err(serde::de::Error::custom)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A `HostIncarnation` is one incarnation of an entry host. Its text form,
/// `name~hex`, is given to callers, who send it back with a resubmission.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostIncarnation {
    /// The host.
    pub host: HostName,
    /// The host's incarnation.
    pub incarnation: Incarnation,
}

/// A `HostIncarnationError` is returned for a text that is not a
/// [`HostIncarnation`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostIncarnationError;

impl fmt::Display for HostIncarnationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an incarnation is written host~32 hex digits")
    }
}

impl std::error::Error for HostIncarnationError {}

impl fmt::Display for HostIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}", self.host, self.incarnation)
    }
}

impl TryFrom<&str> for HostIncarnation {
    type Error = HostIncarnationError;

    fn try_from(text: &str) -> Result<Self, HostIncarnationError> {
        let (name, digits) = text.split_once('~').ok_or(HostIncarnationError)?;
        // `from_str_radix` also accepts a leading sign.
        let all_digits = digits.bytes().all(|byte| byte.is_ascii_hexdigit());
        if digits.len() != 32 || !all_digits {
            return Err(HostIncarnationError);
        }
        let host = HostName::try_from(name).map_err(|_| HostIncarnationError)?;
        let number = u128::from_str_radix(digits, 16).map_err(|_| HostIncarnationError)?;
        Ok(HostIncarnation {
            host,
            incarnation: Incarnation(number),
        })
    }
}

/// A `Standing` says whether a host or target is in service or being drained.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// In service.
    #[default]
    Live,
    /// Draining: it gets no new work.
    Leaving,
}

/// An `EntryHost` is an entry host's record in the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryHost {
    /// The host's name.
    pub name: HostName,
    /// The failure domain that contains the host.
    pub domain: DomainName,
    /// The address to which callers connect (HTTP).
    pub caller_address: SocketAddr,
    /// The address to which other entry hosts connect (HTTP/2 links).
    pub link_address: SocketAddr,
    /// The host's CPU share, in thousandths of a core; 0 if unknown.
    #[serde(default)]
    pub capacity: u32,
    /// Whether the host is in service or draining.
    #[serde(default)]
    pub standing: Standing,
}

/// A `TargetStanding` is a target's record in the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetStanding {
    /// The target's name in the published pools.
    pub name: crate::name::TargetName,
    /// Whether the target is in service or draining.
    #[serde(default)]
    pub standing: Standing,
}

/// A `HostList` is the platform's list of live and draining machines. It may be
/// out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    /// The entry hosts.
    pub hosts: Vec<EntryHost>,
    /// The targets. A pool's target that is missing here counts as live, because
    /// the list may be older than the configuration.
    #[serde(default)]
    pub targets: Vec<TargetStanding>,
}
