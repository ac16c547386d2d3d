//! Provides what the owner of a shard hands over to the one that follows it, or
//! that orders the shard beside it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::NodeAction;
use super::core::NodeCore;
use crate::clock::Moment;
use crate::host::HostName;
use crate::link::LinkMessage;
use crate::permit::{FailedTarget, OwnerMessage};
use crate::pool::PoolShard;
use crate::pool_owner::OwnerEvent;

/// How long a report of failed targets is kept by a host that does not order
/// their shard. One that has just started does so within a second.
const KEPT: Duration = Duration::from_secs(5);

/// The most shards of which reports are kept.
const MAX_SHARDS: usize = 64;

/// A `FailureReports` is what owners have told of failed targets to a host that
/// did not order their shards yet.
#[derive(Debug, Default)]
pub(super) struct FailureReports {
    shards: BTreeMap<PoolShard, (Moment, Vec<FailedTarget>)>,
}

impl FailureReports {
    /// Take note of what an owner tells.
    pub(super) fn note(&mut self, now: Moment, shard: PoolShard, targets: Vec<FailedTarget>) {
        let is_new = !self.shards.contains_key(&shard);
        if is_new && self.shards.len() >= MAX_SHARDS {
            self.drop_oldest();
        }
        self.shards.insert(shard, (now, targets));
    }

    fn drop_oldest(&mut self) {
        let told = self.shards.iter().min_by_key(|(_, (told_at, _))| *told_at);
        if let Some(shard) = told.map(|(shard, _)| shard.clone()) {
            self.shards.remove(&shard);
        }
    }

    /// Take out what was told of a shard lately, with the time until the next
    /// probes as it is now.
    fn take(&mut self, now: Moment, shard: &PoolShard) -> Vec<FailedTarget> {
        let Some((told_at, mut targets)) = self.shards.remove(shard) else {
            return Vec::new();
        };
        let age = now.since(told_at);
        if age >= KEPT {
            return Vec::new();
        }
        let age_ms = age.as_millis() as u32;
        for told in &mut targets {
            told.probe_in_ms = told.probe_in_ms.saturating_sub(age_ms);
        }
        targets
    }
}

impl NodeCore {
    /// Hand over to a shard's next owner what this one knows: this part of what
    /// lies in the buckets of its quotas, and the targets that fail. The next
    /// one's buckets begin empty, and the first calls of accounts within their
    /// quota would be told that they are over it; dead targets look idle to it.
    pub(super) fn hand_over(&mut self, now: Moment, shard: &PoolShard, part: f64) {
        let next = self.membership.owner_of(shard).cloned();
        let Some(next) = next.filter(|next| *next != self.me.host) else {
            return;
        };
        self.send_failed(now, shard.clone(), &next);
        let levels = self.shards.hand_over_quotas(now, shard, part);
        if !levels.is_empty() {
            let shard = shard.clone();
            self.send_to_owner(&next, OwnerMessage::QuotaLevels { shard, levels });
        }
    }

    /// Tell a host that is linked anew of the targets that fail in the shards
    /// that this one orders. A first candidate that has just started orders them
    /// at once, and knows of none.
    pub(super) fn tell_failed(&mut self, now: Moment, host: &HostName) {
        for shard in self.membership.acting_shards() {
            self.send_failed(now, shard, host);
        }
    }

    /// Let the owner that this host has just become know what was reported.
    pub(super) fn take_in_reports(&mut self, now: Moment, shard: &PoolShard) {
        let targets = self.failure_reports.take(now, shard);
        let message = OwnerMessage::FailedTargets {
            shard: shard.clone(),
            targets,
        };
        let event = OwnerEvent::Message(self.me.host.clone(), message);
        let actions = self.shards.on_shard(now, shard, event);
        self.queue_owner(actions);
    }

    pub(super) fn send_to_owner(&mut self, owner: &HostName, message: OwnerMessage) {
        let message = LinkMessage::ToOwner(message);
        self.actions.push(NodeAction::Send(owner.clone(), message));
    }

    fn send_failed(&mut self, now: Moment, shard: PoolShard, host: &HostName) {
        let targets = self.shards.failed_targets(now, &shard);
        if !targets.is_empty() {
            let message = OwnerMessage::FailedTargets { shard, targets };
            self.send_to_owner(host, message);
        }
    }
}
