//! Provides address answers: which host a caller should use.
//!
//! No balancer stands before the hosts, so the answers are what spreads
//! callers. Each caller is sent to the same host while it is well, whichever
//! host answers, so that a keyed retry with a fresh answer meets the host that
//! holds the request. Callers of one client account are spread: warm prefixes
//! are kept by a shard's owner, so nothing is gained where they meet, and an
//! account of many callers would crowd one host.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::client_account::AccountName;
use crate::failure_domain::DomainName;
use crate::host::{EntryHost, HostIncarnation, Incarnation, Standing};
use crate::publication::{DomainBook, FleetLimits, Publication};
use crate::rendezvous;

/// How long an answer without a host may be kept, in milliseconds. It is
/// short: the first host that comes back should be found soon.
const EMPTY_LIFETIME_MS: u64 = 1_000;

/// A `CallerHash` tells the callers of one client account apart; it stays
/// the same for one caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct CallerHash(pub u64);

impl CallerHash {
    /// Get the mark of the caller that says this of itself, or comes from
    /// this network address.
    pub fn of(text: &str) -> Self {
        CallerHash(xxh3_64(text.as_bytes()))
    }
}

/// An `AddressQuery` is a caller's question which host to use.
#[derive(Clone, Debug)]
pub struct AddressQuery {
    /// The caller's client account.
    pub account: AccountName,
    /// Which of the account's callers asks.
    pub caller: CallerHash,
    /// The failure domain near the caller, where it says so.
    pub domain: Option<DomainName>,
}

/// A `CallerAddress` is one host that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerAddress {
    /// The host's name.
    pub host: String,
    /// Where to connect.
    pub address: SocketAddr,
    /// Its run (`host~hex`), where the answering host knows it.
    pub incarnation: Option<String>,
}

/// An `AddressAnswer` tells a caller which host to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// The hosts, best first.
    pub hosts: Vec<CallerAddress>,
    /// How long the answer may be kept, in milliseconds.
    pub lifetime_ms: u64,
}

/// A `HostHealth` is what the answering host knows of one host, itself
/// included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostHealth {
    /// The host, as in the host list.
    pub host: EntryHost,
    /// Its run, where it is known.
    pub incarnation: Option<Incarnation>,
    /// Whether it can be reached; unknown where this host does not watch it.
    pub reachable: Option<bool>,
    /// Whether it said that it is stopping.
    pub stopping: bool,
    /// Its load in thousandths of what it can carry; 0 where unknown.
    pub load_permille: u16,
}

impl HostHealth {
    /// Get whether a caller may be sent there. A host that is not watched
    /// counts as reachable: a host watches few others, and one that sent
    /// callers only to those would crowd them.
    pub(crate) fn is_usable(&self) -> bool {
        let live = self.host.standing == Standing::Live;
        live && !self.stopping && self.reachable != Some(false)
    }
}

/// A `Distance` is how far a host stands from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameDomain,
    SameRegion,
    Elsewhere,
}

/// A `HostRank` orders the hosts for one caller, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HostRank {
    overloaded: bool,
    distance: Distance,
    score: Reverse<u64>,
}

/// An `AddressBook` decides which hosts a caller is told to use.
#[derive(Clone, Copy, Debug)]
pub struct AddressBook<'p> {
    domains: &'p DomainBook,
    limits: &'p FleetLimits,
}

impl<'p> AddressBook<'p> {
    /// Get the book under the published values.
    pub fn new(publication: &'p Publication) -> Self {
        AddressBook {
            domains: &publication.domains,
            limits: &publication.limits,
        }
    }

    /// Get the answer to a caller, given what is known of the hosts.
    ///
    /// Leaving, stopping and unreachable hosts are never named. Overloaded
    /// ones come last, then nearness decides, then the rendezvous hash of
    /// account, caller, its failure domain and host: when a host goes, only
    /// its own callers move.
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
            // A caller that does not say where it is has no near host.
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

/// Get the first `count` hosts of `ranked`, but as many failure domains as
/// possible: alternatives that fail together with the first are none. The
/// order of the ranks stays.
fn spread_over_domains<'h>(ranked: &[&'h HostHealth], count: usize) -> Vec<&'h HostHealth> {
    let mut seen = HashSet::new();
    let (first_of_domain, further): (Vec<usize>, Vec<usize>) =
        (0..ranked.len()).partition(|index| seen.insert(&ranked[*index].host.domain));
    let mut chosen: Vec<usize> = first_of_domain.into_iter().chain(further).collect();
    chosen.truncate(count);
    chosen.sort_unstable();
    chosen.into_iter().map(|index| ranked[index]).collect()
}

/// Get the key for which the hosts are ranked. No name holds a zero byte, so
/// two different keys never run together.
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

/// Get the caller addresses of up to `most` hosts, those of the caller's own
/// failure domain first. Where there are more, half of the places are for
/// hosts elsewhere: when a whole domain dies, its callers still hold others.
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
