//! Provides the selection of the hosts that read the service, and of each
//! host's relays.

use std::collections::{BTreeMap, BTreeSet};

use super::options::RevisionOptions;
use crate::host::{EntryHost, HostName, Standing};
use crate::name::DomainName;
use crate::rendezvous;

/// The number of relays per host; two, so that the failure of one delays
/// nothing.
const RELAYS_PER_HOST: usize = 2;

/// A `RelayPlan` is the role of a host in the propagation of values.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct RelayPlan {
    /// Whether the host reads the service for its domain.
    pub(super) is_reader: bool,
    /// The hosts that this host receives changes from: its relays, or the other
    /// readers if it is a reader itself.
    pub(super) relays: Vec<HostName>,
}

impl RelayPlan {
    /// Create the plan of `own_name`. A host that is not in the host list yet gets
    /// the position that it will have there.
    pub(super) fn new(
        own_name: &HostName,
        domain: &DomainName,
        hosts: &BTreeMap<HostName, EntryHost>,
        opts: &RevisionOptions,
    ) -> Self {
        let domains = ranked_domains(own_name, domain, hosts);
        let own = domains.get(domain).map(Vec::as_slice).unwrap_or_default();
        let position = own
            .iter()
            .position(|host| host == own_name)
            .unwrap_or_default();
        if position >= opts.readers_per_domain {
            return RelayPlan {
                is_reader: false,
                relays: relays_of(position, own, opts),
            };
        }
        // Readers receive changes from all other readers, so that a change
        // reaches every domain in two hops if the service is reachable from
        // only one reader.
        let readers = domains
            .values()
            .flat_map(|hosts| hosts.iter().take(opts.readers_per_domain));
        RelayPlan {
            is_reader: true,
            relays: readers.filter(|host| *host != own_name).cloned().collect(),
        }
    }
}

fn ranked_domains(
    own_name: &HostName,
    domain: &DomainName,
    hosts: &BTreeMap<HostName, EntryHost>,
) -> BTreeMap<DomainName, Vec<HostName>> {
    let mut members: BTreeMap<DomainName, BTreeSet<&HostName>> = BTreeMap::new();
    members.entry(domain.clone()).or_default().insert(own_name);
    let live = hosts
        .values()
        .filter(|host| host.standing == Standing::Live && host.name != *own_name);
    for host in live {
        let members = members.entry(host.domain.clone()).or_default();
        members.insert(&host.name);
    }
    members
        .into_iter()
        .map(|(domain, members)| {
            let ranked = rendezvous::rank_by_key(domain.as_str().as_bytes(), members.into_iter());
            (domain, ranked)
        })
        .collect()
}

/// Get the relays of the host at a position. All of them precede it, so that no
/// two hosts can rely on each other while neither reads the service.
fn relays_of(position: usize, own: &[HostName], opts: &RevisionOptions) -> Vec<HostName> {
    let first = position / opts.relay_fanout.max(2);
    let first = first.min(position.saturating_sub(RELAYS_PER_HOST));
    own[..position]
        .iter()
        .skip(first)
        .take(RELAYS_PER_HOST)
        .cloned()
        .collect()
}
