//! Provides the choice among equally good targets by the connections of the asking host.
//!
//! It answers a fleet of many small hosts before many targets, in which each host would
//! meet each target anew. A host is sent to a target to which it is likely to have an idle
//! connection, else to one of its own stable subset: the ranking of host and target by
//! rendezvous hashing is the same at every owner, and a host that joins or leaves changes
//! no other host's subset. Only targets with a slot are considered, so that no request
//! waits for a connection, and only those within the tolerance of the shortest predicted
//! run.

use std::cmp::Reverse;

use crate::clock::Moment;
use crate::host::HostName;
use crate::permit::ReleaseOutcome;
use crate::pool_owner::ConnectionView;
use crate::pool_owner::learning::host_connections::HostConnections;
use crate::pool_owner::owner::ShardOwner;
use crate::rendezvous;
use crate::target::TargetName;

use super::permit_table::GrantedPermit;
use super::slot_routing::TargetRank;

/// A `HostPreference` is which of several equally good targets suits a host.
#[derive(Clone, Copy, Debug)]
pub(in crate::pool_owner) struct HostPreference<'a> {
    connections: &'a HostConnections,
    host: &'a HostName,
    tolerance: f64,
}

impl HostPreference<'_> {
    /// Get whether a target is as good as the best one: as timely, and with a predicted
    /// run within the tolerance. Targets without a completed run are measured first.
    pub(in crate::pool_owner) fn is_equal(&self, rank: &TargetRank, best: &TargetRank) -> bool {
        best.1 > 0.0 && rank.0 == best.0 && rank.1 <= best.1 * (1.0 + self.tolerance)
    }

    /// Get the rank of a target for the host; the lowest is the most suitable.
    pub(in crate::pool_owner) fn rank(
        &self,
        now: Moment,
        target: &TargetName,
    ) -> (bool, Reverse<u64>) {
        let is_new = !self.connections.has_idle(now, self.host, target);
        let score = rendezvous::score(target.as_str().as_bytes(), self.host);
        (is_new, Reverse(score))
    }
}

impl ShardOwner {
    /// Get the preference of a host, if the option is on.
    pub(in crate::pool_owner) fn host_preference<'a>(
        &'a self,
        host: &'a HostName,
    ) -> Option<HostPreference<'a>> {
        let tolerance = self.opts.scheduling.idle_connection_tolerance?;
        Some(HostPreference {
            connections: &self.host_connections,
            host,
            tolerance,
        })
    }

    /// Get the use of connections, if the option is on.
    pub(in crate::pool_owner) fn connection_view(&self) -> Option<ConnectionView> {
        self.opts.scheduling.idle_connection_tolerance?;
        Some(ConnectionView {
            idle: self.host_connections.len(),
            reused: self.counts.connections_reused,
            opened: self.counts.connections_opened,
        })
    }

    /// Record that a host connects to a target or reuses a connection.
    pub(in crate::pool_owner) fn use_connection(
        &mut self,
        now: Moment,
        host: &HostName,
        target: &TargetName,
    ) {
        if self.opts.scheduling.idle_connection_tolerance.is_none() {
            return;
        }
        match self.host_connections.record_use(now, host, target) {
            true => self.counts.connections_reused += 1,
            false => self.counts.connections_opened += 1,
        }
    }

    /// Record what became of the connection of a released permit.
    pub(in crate::pool_owner) fn record_connection(
        &mut self,
        now: Moment,
        permit: &GrantedPermit,
        outcome: &ReleaseOutcome,
    ) {
        if self.opts.scheduling.idle_connection_tolerance.is_none() {
            return;
        }
        let connections = &mut self.host_connections;
        match outcome {
            ReleaseOutcome::Finished(_) => {
                connections.record_idle(now, &permit.host, &permit.target);
            }
            // The host closes all its connections to a target that it does not reach.
            ReleaseOutcome::Unreachable => connections.drop_pair(&permit.host, &permit.target),
            ReleaseOutcome::Unused
            | ReleaseOutcome::Refused
            | ReleaseOutcome::Failed(_)
            | ReleaseOutcome::Stopped(_) => {}
        }
    }
}
