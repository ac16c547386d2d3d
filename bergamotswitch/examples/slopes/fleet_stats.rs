//! Provides statistics of a [`BenchFleet`].

use std::collections::BTreeSet;
use std::time::Duration;

use bergamotswitch_core::address::{AddressQuery, CallerHash};
use bergamotswitch_core::host::Incarnation;

use crate::fixtures::{account, domain_of, name};
use crate::fleet::{BenchFleet, FleetNode, LONG_WAIT};
use crate::probe::cpu_micros_per_call;

impl BenchFleet {
    /// Get the number of links of each host, in descending order.
    pub fn link_counts(&self) -> Vec<usize> {
        let mut counts = vec![0; self.size.hosts];
        for (a, b) in &self.links {
            counts[*a] += 1;
            counts[*b] += 1;
        }
        counts.sort_unstable_by(|a, b| b.cmp(a));
        counts
    }

    /// Measure the CPU time of one address query, in microseconds.
    pub fn address_micros(&self, index: usize) -> f64 {
        let query = AddressQuery {
            account: name(account(7)),
            caller: CallerHash::default(),
            domain: Some(name(domain_of(index))),
        };
        let node = self.nodes[index].as_ref().expect("host not running");
        cpu_micros_per_call(|| node.core.address(&query))
    }

    /// Measure the CPU time of one node view for metrics, in microseconds.
    pub fn view_micros(&self, index: usize) -> f64 {
        let node = self.nodes[index].as_ref().expect("host not running");
        cpu_micros_per_call(|| node.core.view(self.now))
    }

    /// Get the index of the host that owns the most shards.
    pub fn busiest_owner(&self) -> usize {
        let owned = |node: &FleetNode| node.core.view(self.now).owns.len();
        let nodes = self.nodes.iter().enumerate();
        let counts = nodes.filter_map(|(index, node)| Some((owned(node.as_ref()?), index)));
        counts.max().map_or(0, |(_, index)| index)
    }

    /// Get the number of undispatched requests on running hosts that have waited
    /// longer than [`LONG_WAIT`].
    pub fn overdue_requests(&self) -> usize {
        let incarnations: BTreeSet<Incarnation> = self
            .nodes
            .iter()
            .flatten()
            .map(|node| node.incarnation.incarnation)
            .collect();
        let accepted = self.accepted_at.iter();
        let waiting = accepted.filter(|(id, accepted_at)| {
            incarnations.contains(&id.incarnation) && self.now.since(**accepted_at) > LONG_WAIT
        });
        waiting.count()
    }

    /// Get the indices of the hosts that own shards.
    pub fn owners(&self) -> Vec<usize> {
        let owns = |node: &FleetNode| !node.core.view(self.now).owns.is_empty();
        let nodes = self.nodes.iter().enumerate();
        let owners = nodes.filter(|(_, node)| node.as_ref().is_some_and(owns));
        owners.map(|(index, _)| index).collect()
    }

    /// Get the number of hosts that don't have the latest published revisions in
    /// force.
    pub fn outdated_hosts(&self) -> usize {
        let is_outdated = |node: &&FleetNode| {
            let values = node.core.view(self.now).revisions.values;
            values.iter().any(|value| {
                let newest = self.published_values.get(&value.name);
                value.in_force != newest.map(|newest| newest.revision)
            })
        };
        self.nodes.iter().flatten().filter(is_outdated).count()
    }

    /// Reset the traffic and request counters.
    pub fn reset(&mut self) {
        self.kinds.clear();
        (self.cross_region_messages, self.request_path_messages) = (0, 0);
        (self.cross_region_dispatches, self.dispatched) = (0, 0);
        (self.refused, self.long_waits) = (0, 0);
        self.longest_wait = Duration::ZERO;
        for node in self.nodes.iter_mut().flatten() {
            (node.sent, node.received) = Default::default();
            node.service_calls = 0;
        }
    }
}
