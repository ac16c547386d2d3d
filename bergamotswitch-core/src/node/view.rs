//! Provides the state of a host as shown to operators.

use serde::Serialize;

use super::{NodeCore, NodeCounts};
use crate::clock::Moment;
use crate::entry::EntryView;
use crate::failure_domain::DomainName;
use crate::membership::PeerView;
use crate::pool::PoolShard;
use crate::pool_owner::ShardView;
use crate::publication::check_consistency;
use crate::revision::RevisionStatus;

/// A `NodeView` is the state of one host as shown to operators.
#[derive(Clone, Debug, Serialize)]
pub struct NodeView {
    /// The host's incarnation, as `host~hex`.
    pub run: String,
    /// The failure domain of the host.
    pub domain: String,
    /// Whether the host is ready to serve requests.
    pub ready: bool,
    /// Whether a planned stop is in progress.
    pub stopping: bool,
    /// The host's load, in thousandths of its capacity.
    pub load_permille: u16,
    /// The values that are required for readiness and not in force.
    pub missing: Vec<String>,
    /// The revisions of the published values.
    pub revisions: RevisionStatus,
    /// Inconsistencies between values that are each valid.
    pub cross_findings: Vec<String>,
    /// The evacuated failure domains.
    pub evacuated: Vec<DomainName>,
    /// The number of cold targets.
    pub cold_targets: usize,
    /// The requests at this host.
    #[serde(rename = "desk")]
    pub entry: EntryView,
    /// The shards that this host owns.
    pub owns: Vec<PoolShard>,
    /// The state of every shard for which this host acts as owner, including degraded
    /// ones.
    pub shards: Vec<ShardView>,
    /// The number of shards in degraded mode.
    pub degraded: usize,
    /// The counters of degraded admissions and unrecognizable resubmissions.
    pub counts: NodeCounts,
    /// The peers that this host monitors.
    pub peers: Vec<PeerView>,
}

impl NodeCore {
    /// Get the state of this host as shown to operators.
    pub fn view(&self, now: Moment) -> NodeView {
        let missing = self.missing();
        NodeView {
            run: self.identity.to_string(),
            domain: self.domain.to_string(),
            ready: self.is_ready(now),
            stopping: self.stopping,
            load_permille: self.load_permille,
            missing: missing.iter().map(|name| (*name).to_owned()).collect(),
            revisions: self.revisions.status(),
            cross_findings: check_consistency(&self.publication)
                .iter()
                .map(ToString::to_string)
                .collect(),
            evacuated: self.evacuated().domains.into_iter().collect(),
            cold_targets: self.publication.cold_count(now),
            entry: self.entry.view(),
            owns: self.membership.acting_shards(),
            shards: self.shards.views(),
            degraded: self.shards.degraded_count(),
            counts: self.exposure.counts,
            peers: self.membership.peers(),
        }
    }
}
