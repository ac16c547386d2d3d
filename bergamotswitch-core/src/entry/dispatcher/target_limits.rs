//! Provides the handling of rate limits that targets name in their answers.

use super::EntryDispatcher;
use crate::clock::Moment;
use crate::entry::EntryAction;
use crate::entry::attempt::RunningAttempt;
use crate::entry::request_table::RequestRecord;
use crate::host::HostName;
use crate::permit::{OwnerMessage, PermitId, TargetLimit};
use crate::pool::PoolShard;
use crate::target::NamedLimit;

impl EntryDispatcher {
    /// Record the limit that a target named in an answer, and report it to the owner of
    /// the shard.
    pub(super) fn limit_named(
        &mut self,
        now: Moment,
        record: &RequestRecord,
        running: &RunningAttempt,
        limit: NamedLimit,
        actions: &mut Vec<EntryAction>,
    ) {
        let target = &running.permit.target;
        if self.limits.record(now, target, limit) {
            actions.push(EntryAction::LogTargetLimit(target.clone(), Some(limit)));
        }
        let limits = match limit {
            NamedLimit::Rate(rate) => vec![TargetLimit {
                target: target.clone(),
                rate,
                age_ms: 0,
            }],
            NamedLimit::Unreadable => Vec::new(),
        };
        let owner = self.owners.get(&record.shard);
        let owner = owner.unwrap_or(&running.granted_by).clone();
        let permit = Some(running.permit.id);
        self.send_limits(&record.shard, owner, permit, limits, actions);
    }

    /// Report the limits of a shard's targets to its new owner, which has not been
    /// told of them.
    pub(super) fn report_limits(
        &self,
        now: Moment,
        shard: &PoolShard,
        owner: &HostName,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.limits.is_empty() {
            return;
        }
        let limits = self.limits.reports(now, self.pools.targets_of(&shard.pool));
        if !limits.is_empty() {
            self.send_limits(shard, owner.clone(), None, limits, actions);
        }
    }

    fn send_limits(
        &self,
        shard: &PoolShard,
        owner: HostName,
        permit: Option<PermitId>,
        limits: Vec<TargetLimit>,
        actions: &mut Vec<EntryAction>,
    ) {
        let message = OwnerMessage::TargetLimits {
            shard: shard.clone(),
            hosts: u32::try_from(self.host_count).unwrap_or(u32::MAX),
            permit,
            limits,
        };
        actions.push(EntryAction::Send(owner, message));
    }

    /// End the limit of a target that gave a complete answer without one.
    pub(super) fn review_limit(
        &mut self,
        running: &RunningAttempt,
        actions: &mut Vec<EntryAction>,
    ) {
        if running.limit_named {
            return;
        }
        let target = &running.permit.target;
        if self.limits.record_absence(running.started_at, target) {
            actions.push(EntryAction::LogTargetLimit(target.clone(), None));
        }
    }

    /// Forget the limits of targets that are gone.
    pub(super) fn prune_limits(&mut self) {
        if !self.limits.is_empty() {
            let pools = &self.pools;
            self.limits.retain(|target| pools.has_target(target));
        }
    }
}
