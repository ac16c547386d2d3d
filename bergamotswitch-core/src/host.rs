//! Provides entry hosts: the machines that run this system's processes.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::failure_domain::DomainName;
pub use crate::name::HostName;

/// An `Incarnation` is the random 128-bit number that a process draws at its
/// start. A restarted process has another one, so a fact that names an
/// incarnation can never be taken for a fact of its successor.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u128);

/// JSON has no numbers of 128 bits: there it is hex text, between hosts the
/// number itself.
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

/// A `HostIncarnation` is one run of one entry host. Its text form,
/// `name~hex`, is what a caller keeps and brings back with a resubmission.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostIncarnation {
    /// The host.
    pub host: HostName,
    /// The run of it.
    pub incarnation: Incarnation,
}

/// A `HostIncarnationError` says that a text is no host incarnation.
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
        // The parser below would also take a sign in a digit's place.
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

/// A `Standing` says whether the host list still counts on a host or target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// In service.
    #[default]
    Live,
    /// Leaving: it gets no new work.
    Leaving,
}

/// An `EntryHost` is one entry of the host list: where an entry host listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryHost {
    /// The host's name.
    pub name: HostName,
    /// The failure domain in which the host stands.
    pub domain: DomainName,
    /// Where callers connect (HTTP).
    pub caller_address: SocketAddr,
    /// Where the other entry hosts connect (h2 links).
    pub link_address: SocketAddr,
    /// Its share of a processor, in thousandths of a core; 0 where unknown.
    #[serde(default)]
    pub capacity: u32,
    /// Whether the host is leaving.
    #[serde(default)]
    pub standing: Standing,
}

/// A `TargetStanding` is one target's entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetStanding {
    /// The target's name, as in the published pools.
    pub name: crate::name::TargetName,
    /// Whether the target is leaving.
    #[serde(default)]
    pub standing: Standing,
}

/// A `HostList` is the platform's list of live and leaving machines. It lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    /// The entry hosts.
    pub hosts: Vec<EntryHost>,
    /// The targets. A target of the pools that is absent here counts as live:
    /// the list lags behind the configuration.
    #[serde(default)]
    pub targets: Vec<TargetStanding>,
}
