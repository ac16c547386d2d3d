//! Provides host discovery: the choice of the hosts to which a caller connects.
//!
//! There is no load balancer in front of the hosts, so these answers distribute
//! the callers. Every host gives a caller the same answer as long as the chosen
//! host is healthy, so that a retry with an idempotency key reaches the host
//! that holds the request. The callers of one client account are distributed
//! over the hosts: prefix affinity is decided by a shard's owner, so sending
//! them to one host gains nothing and could overload it.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::client_account::AccountName;
use crate::failure_domain::DomainName;
use crate::host::{EntryHost, HostIncarnation, Incarnation, Standing};
use crate::publication::{DomainList, FleetLimits, Publication};
use crate::rendezvous;

/// How long a caller may cache an answer that names no host, in milliseconds.
/// Short, so that callers soon find the first host that recovers.
const EMPTY_LIFETIME_MS: u64 = 1_000;

/// A `CallerHash` identifies one caller within its client account. It is the
/// same for every query of that caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct CallerHash(pub u64);

impl CallerHash {
    /// Get the hash of a caller's own identifier or of its network address.
    pub fn of(text: &str) -> Self {
        CallerHash(xxh3_64(text.as_bytes()))
    }
}

/// An `AddressQuery` is a caller's request for hosts to connect to.
#[derive(Clone, Debug)]
pub struct AddressQuery {
    /// The caller's client account.
    pub account: AccountName,
    /// The caller within that account.
    pub caller: CallerHash,
    /// The failure domain nearest to the caller, if the caller gave one.
    pub domain: Option<DomainName>,
}

/// A `CallerAddress` is a host in an [`AddressAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerAddress {
    /// The host's name.
    pub host: String,
    /// The address to connect to.
    pub address: SocketAddr,
    /// The host's incarnation as `host~hex`, if the answering host knows it.
    pub incarnation: Option<String>,
}

/// An `AddressAnswer` lists the hosts that a caller may connect to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// The hosts, best first.
    pub hosts: Vec<CallerAddress>,
    /// How long the caller may cache the answer, in milliseconds.
    pub lifetime_ms: u64,
}

/// A `HostHealth` is the state of one host as seen by the answering host,
/// which also has one for itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostHealth {
    /// The host's entry in the host list.
    pub host: EntryHost,
    /// The host's incarnation, if known.
    pub incarnation: Option<Incarnation>,
    /// Whether the host is reachable; `None` if it is not monitored here.
    pub reachable: Option<bool>,
    /// Whether the host announced a planned stop.
    pub stopping: bool,
    /// The host's load in thousandths of its capacity; 0 if unknown.
    pub load_permille: u16,
}

impl HostHealth {
    /// Get whether callers may be sent to the host. An unmonitored host counts
    /// as reachable: each host monitors only a few others, and answers that
    /// named only those would overload them.
    pub(crate) fn is_usable(&self) -> bool {
        let live = self.host.standing == Standing::Live;
        live && !self.stopping && self.reachable != Some(false)
    }
}

/// A `Distance` is how far a host is from a caller, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameDomain,
    SameRegion,
    Elsewhere,
}

/// A `HostRank` is the sort key of a host for one caller, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HostRank {
    overloaded: bool,
    distance: Distance,
    score: Reverse<u64>,
}

/// An `AddressSelector` chooses the hosts for callers under the published values.
#[derive(Clone, Copy, Debug)]
pub struct AddressSelector<'p> {
    domains: &'p DomainList,
    limits: &'p FleetLimits,
}

impl<'p> AddressSelector<'p> {
    /// Create the selector for a set of published values.
    pub fn new(publication: &'p Publication) -> Self {
        AddressSelector {
            domains: &publication.domains,
            limits: &publication.limits,
        }
    }

    /// Get the answer to a query, given the state of all hosts.
    ///
    /// Hosts that are leaving, stopping or unreachable are left out. The others
    /// are ordered by overload (overloaded hosts last), by distance, and by the
    /// rendezvous hash of client account, caller, the caller's failure domain
    /// and host. When a host leaves, only the callers assigned to it move.
    pub fn answer(&self, query: &AddressQuery, hosts: &[HostHealth]) -> AddressAnswer {
        let mut usable: Vec<&HostHealth> = hosts.iter().filter(|host| host.is_usable()).collect();
        let key = rendezvous_key(query);
        usable.sort_by_cached_key(|health| self.rank(query, &key, health));
        let chosen = spread_over_domains(&usable, self.limits.address_choices as usize);
        let lifetime_ms = match chosen.is_empty() {
            true => EMPTY_LIFETIME_MS,
            false => self.limits.address_lifetime_ms,
        };
        AddressAnswer {
            hosts: chosen.into_iter().map(caller_address).collect(),
            lifetime_ms,
        }
    }

    fn rank(&self, query: &AddressQuery, key: &[u8], health: &HostHealth) -> HostRank {
        HostRank {
            overloaded: u64::from(health.load_permille) >= self.limits.overload_permille,
            distance: self.distance(query.domain.as_ref(), &health.host.domain),
            score: Reverse(rendezvous::score(key, &health.host.name)),
        }
    }

    fn distance(&self, caller: Option<&DomainName>, host: &DomainName) -> Distance {
        let Some(caller) = caller else {
            // Without the caller's failure domain, all hosts are equally far.
            return Distance::Elsewhere;
        };
        if caller == host {
            return Distance::SameDomain;
        }
        match (self.domains.region(caller), self.domains.region(host)) {
            (Some(near), Some(region)) if near == region => Distance::SameRegion,
            _ => Distance::Elsewhere,
        }
    }
}

/// Get `count` hosts of `ranked` that cover as many failure domains as
/// possible, in the order of their ranks. A host in the same failure domain as
/// the first is no fallback for it.
fn spread_over_domains<'h>(ranked: &[&'h HostHealth], count: usize) -> Vec<&'h HostHealth> {
    let mut seen = HashSet::new();
    let (first_of_domain, further): (Vec<usize>, Vec<usize>) =
        (0..ranked.len()).partition(|index| seen.insert(&ranked[*index].host.domain));
    let mut chosen: Vec<usize> = first_of_domain.into_iter().chain(further).collect();
    chosen.truncate(count);
    chosen.sort_unstable();
    chosen.into_iter().map(|index| ranked[index]).collect()
}

/// Get the rendezvous key of a query. Names contain no zero byte, so different
/// queries never produce the same key.
fn rendezvous_key(query: &AddressQuery) -> Vec<u8> {
    let domain = query.domain.as_ref().map_or("", DomainName::as_str);
    let mut key = [query.account.as_str(), domain, ""].join("\0").into_bytes();
    key.extend(query.caller.0.to_le_bytes());
    key
}

fn caller_address(health: &HostHealth) -> CallerAddress {
    let host = &health.host;
    let incarnation = health.incarnation.map(|incarnation| HostIncarnation {
        host: host.name.clone(),
        incarnation,
    });
    CallerAddress {
        host: host.name.to_string(),
        address: host.caller_address,
        incarnation: incarnation.map(|incarnation| incarnation.to_string()),
    }
}

/// Get the caller addresses of up to `most` hosts, those in the caller's own
/// failure domain first. If there are more than `most`, up to half of the
/// addresses are in other failure domains, so that callers still have usable
/// addresses when their own domain fails.
pub fn near_first(
    hosts: &[EntryHost],
    domain: Option<&DomainName>,
    most: usize,
) -> Vec<SocketAddr> {
    let is_near = |host: &&EntryHost| Some(&host.domain) == domain;
    let (near, far): (Vec<&EntryHost>, Vec<&EntryHost>) = hosts.iter().partition(is_near);
    let near_places = near.len().min(most.saturating_sub(far.len().min(most / 2)));
    let chosen = near.into_iter().take(near_places).chain(far);
    chosen.take(most).map(|host| host.caller_address).collect()
}
