//! Provides a host's view of the fleet for operators.

use serde::Serialize;

use super::{NodeCore, NodeCounts};
use crate::clock::Moment;
use crate::entry::DeskView;
use crate::membership::PeerView;
use crate::pool::PoolShard;
use crate::pool_owner::ShardView;
use crate::publication::check_consistency;
use crate::revision::RevisionStanding;

/// A `NodeView` is what one host knows, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct NodeView {
    /// The host's run, `host~hex`.
    pub run: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it serves.
    pub ready: bool,
    /// Whether a planned stop is under way.
    pub stopping: bool,
    /// How busy it is, in thousandths of what it can carry.
    pub load_permille: u16,
    /// Values that are needed before it serves and are not in force.
    pub missing: Vec<String>,
    /// Published values by revision.
    pub revisions: RevisionStanding,
    /// Faults between values that are each good alone.
    pub cross_findings: Vec<String>,
    /// Requests at this host.
    pub desk: DeskView,
    /// Shards that this host owns.
    pub owns: Vec<PoolShard>,
    /// The orders that it keeps, degraded ones among them.
    pub shards: Vec<ShardView>,
    /// How many of the orders are degraded.
    pub degraded: usize,
    /// What it counted while orders were not whole.
    pub counts: NodeCounts,
    /// The peers that it watches.
    pub peers: Vec<PeerView>,
}

impl NodeCore {
    /// Get what this host knows.
    pub fn view(&self, now: Moment) -> NodeView {
        let missing = self.publication.missing();
        NodeView {
            run: self.me.to_string(),
            domain: self.domain.to_string(),
            ready: self.is_ready(now),
            stopping: self.stopping,
            load_permille: self.load_permille,
            missing: missing.iter().map(|name| (*name).to_owned()).collect(),
            revisions: self.book.standing(),
            cross_findings: check_consistency(&self.publication)
                .iter()
                .map(ToString::to_string)
                .collect(),
            desk: self.desk.view(),
            owns: self.membership.acts_for(),
            shards: self.shards.views(),
            degraded: self.shards.degraded_count(),
            counts: self.exposure.counts,
            peers: self.membership.peers(),
        }
    }
}
