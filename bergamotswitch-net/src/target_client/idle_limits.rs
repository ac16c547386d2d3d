//! Provides how many idle connections to targets a host keeps.
//!
//! The connection limit of a pool binds all hosts together, and a target refuses what
//! exceeds it. Each host keeps its part of the limit at most; nothing is exchanged for
//! this, since all hosts know the limit and the host list. A small host is bound by its
//! own descriptors and memory first.

use std::collections::HashMap;
use std::net::SocketAddr;

use bergamotswitch_core::host::Standing;
use bergamotswitch_core::publication::Publication;
use rustix::process::{Resource, getrlimit};

/// The fraction of a host's descriptors that idle connections may use. Callers, calls in
/// flight and peers need the rest.
const DESCRIPTOR_DIVISOR: u64 = 4;

/// The fraction of a host's memory that idle connections may use, and the memory that one
/// takes in the process and in the kernel, in bytes.
const MEMORY_DIVISOR: u64 = 16;
const CONNECTION_BYTES: u64 = 32 * 1024;

/// A `HostResources` is what a host may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostResources {
    /// The number of file descriptors that the process may open; `None` if unlimited.
    pub descriptors: Option<u64>,
    /// The memory of the host, in bytes.
    pub memory_bytes: u64,
}

impl HostResources {
    /// Get the resources of this process on a host of this much memory.
    pub fn of_process(memory_bytes: u64) -> Self {
        HostResources {
            descriptors: getrlimit(Resource::Nofile).current,
            memory_bytes,
        }
    }

    /// Get the maximum number of idle connections to all targets, at least one.
    pub fn max_idle(&self) -> usize {
        let by_memory = self.memory_bytes / MEMORY_DIVISOR / CONNECTION_BYTES;
        let by_descriptors = self.descriptors.map(|count| count / DESCRIPTOR_DIVISOR);
        let most = by_descriptors.map_or(by_memory, |count| count.min(by_memory));
        usize::try_from(most.max(1)).unwrap_or(usize::MAX)
    }
}

/// Get one host's part of the connection limit of a target, at least one.
pub fn host_part(connection_limit: u32, live_hosts: usize) -> usize {
    (connection_limit as usize / live_hosts.max(1)).max(1)
}

/// An `IdleLimits` is the maximum numbers of idle connections of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdleLimits {
    /// The maximum to all targets.
    pub total: usize,
    /// The maximum to each target whose pool has a connection limit.
    pub parts: HashMap<SocketAddr, usize>,
}

impl IdleLimits {
    /// Get the limits under a publication; `None` if it does not switch the preference
    /// for idle connections on.
    pub fn of_publication(publication: &Publication, resources: HostResources) -> Option<Self> {
        if publication.limits.idle_connection_permille == 0 {
            return None;
        }
        let hosts = publication.hosts.hosts.iter();
        let live = hosts.filter(|host| host.standing == Standing::Live).count();
        let pools = publication.pools.pools().iter();
        let parts = pools.flat_map(|pool| {
            let spec = publication.routes.pool(&pool.name);
            let part = spec.map(|spec| host_part(spec.connection_limit, live));
            let targets = pool.targets.iter();
            targets.filter_map(move |target| Some((target.address, part?)))
        });
        Some(IdleLimits {
            total: resources.max_idle(),
            parts: parts.collect(),
        })
    }

    /// Get the maximum number of idle connections to one target.
    pub fn of_target(&self, address: SocketAddr) -> usize {
        let part = self.parts.get(&address).copied();
        part.unwrap_or(usize::MAX).min(self.total)
    }
}
