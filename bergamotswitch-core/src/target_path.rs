//! Provides the paths on which a host reaches targets.

use std::fmt;

use crate::host::HostName;

/// A `TargetPath` is the path on which an attempt reaches its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetPath {
    /// Directly.
    Direct,
    /// Directly over a new connection, because earlier ones may be lost.
    Probe,
    /// Through a tunnel of another host, which forwards bytes and holds no request.
    Tunnel(HostName),
}

impl TargetPath {
    /// Get the host whose tunnel the path uses.
    pub fn tunnel_host(&self) -> Option<&HostName> {
        match self {
            TargetPath::Direct | TargetPath::Probe => None,
            TargetPath::Tunnel(host) => Some(host),
        }
    }
}

impl fmt::Display for TargetPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TargetPath::Direct | TargetPath::Probe => write!(f, "direct"),
            TargetPath::Tunnel(host) => write!(f, "{host}"),
        }
    }
}
