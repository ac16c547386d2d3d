//! Provides the handling of what targets say of themselves in their answers.

use super::EntryDispatcher;
use crate::clock::Moment;
use crate::entry::EntryAction;
use crate::entry::attempt::RunningAttempt;
use crate::entry::request_table::RequestRecord;
use crate::host::HostName;
use crate::incident::Incident;
use crate::permit::{LeavingTarget, OwnerMessage};
use crate::pool::PoolShard;
use crate::target::TargetName;

impl EntryDispatcher {
    /// Record that a target leaves, and report it to the owner of the shard.
    pub(super) fn leaving_named(
        &mut self,
        now: Moment,
        record: &RequestRecord,
        running: &RunningAttempt,
        actions: &mut Vec<EntryAction>,
    ) {
        let target = &running.permit.target;
        let known = self.pools.target(target);
        let started_at_ms = known.and_then(|target| target.started_at_ms);
        if !self.notices.record_leaving(now, target, started_at_ms) {
            return;
        }
        let incident = Incident::TargetLeaving;
        actions.push(EntryAction::LogTargetNotice(incident, target.clone()));
        let owner = self.owners.get(&record.shard);
        let owner = owner.unwrap_or(&running.granted_by).clone();
        self.report_leaving_target(&record.shard, owner, target, actions);
    }

    /// Report a target to an owner if it leaves.
    pub(super) fn report_leaving_target(
        &self,
        shard: &PoolShard,
        owner: HostName,
        target: &TargetName,
        actions: &mut Vec<EntryAction>,
    ) {
        if let Some(leaving) = self.notices.leaving(target) {
            send_leaving(shard, owner, vec![leaving], actions);
        }
    }

    /// Report the leaving targets of a shard to its new owner.
    pub(super) fn report_leaving(
        &self,
        shard: &PoolShard,
        owner: &HostName,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.notices.is_empty() {
            return;
        }
        let targets = self.pools.targets_of(&shard.pool);
        let leaving = self.notices.leaving_among(targets);
        if !leaving.is_empty() {
            send_leaving(shard, owner.clone(), leaving, actions);
        }
    }

    /// Get whether this host sends nothing to a target, by its published state or by
    /// what it said.
    pub(super) fn is_target_closed(&self, target: &TargetName) -> bool {
        self.pools.is_draining(target) || self.notices.is_leaving(target)
    }

    /// Forget what is outdated by the published targets.
    pub(super) fn review_notices(&mut self, now: Moment) {
        let pools = &self.pools;
        self.notices.review(now, |name| pools.target(name));
    }
}

fn send_leaving(
    shard: &PoolShard,
    owner: HostName,
    targets: Vec<LeavingTarget>,
    actions: &mut Vec<EntryAction>,
) {
    let shard = shard.clone();
    let message = OwnerMessage::LeavingTargets { shard, targets };
    actions.push(EntryAction::Send(owner, message));
}
