//! Provides the handling of what targets say of themselves in their answers.

use std::time::Duration;

use super::EntryDispatcher;
use crate::clock::Moment;
use crate::entry::EntryAction;
use crate::entry::attempt::RunningAttempt;
use crate::entry::request_table::RequestRecord;
use crate::host::HostName;
use crate::incident::Incident;
use crate::permit::{BrittleTarget, LeavingTarget, OwnerMessage};
use crate::pool::PoolShard;
use crate::target::{PoolTarget, TargetName};

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

    /// Record that a target is brittle, and report it to the owner of the shard.
    pub(super) fn brittle_named(
        &mut self,
        now: Moment,
        record: &RequestRecord,
        running: &RunningAttempt,
        refusals_per_second: u32,
        actions: &mut Vec<EntryAction>,
    ) {
        let target = &running.permit.target;
        if self
            .notices
            .record_brittle(now, target, refusals_per_second)
        {
            self.report_brittle(record, running, Some(refusals_per_second), actions);
        }
    }

    /// Report that a target is no longer brittle if its complete answer does not say so.
    pub(super) fn review_brittle(
        &mut self,
        record: &RequestRecord,
        running: &RunningAttempt,
        actions: &mut Vec<EntryAction>,
    ) {
        let target = &running.permit.target;
        if !running.brittle_named && self.notices.record_sturdy(running.started_at, target) {
            self.report_brittle(record, running, None, actions);
        }
    }

    fn report_brittle(
        &self,
        record: &RequestRecord,
        running: &RunningAttempt,
        refusals_per_second: Option<u32>,
        actions: &mut Vec<EntryAction>,
    ) {
        let target = running.permit.target.clone();
        actions.push(EntryAction::LogBrittle(target.clone(), refusals_per_second));
        let owner = self.owners.get(&record.shard);
        let message = OwnerMessage::BrittleTargets {
            shard: record.shard.clone(),
            targets: vec![BrittleTarget {
                target,
                refusals_per_second,
            }],
        };
        let owner = owner.unwrap_or(&running.granted_by).clone();
        actions.push(EntryAction::Send(owner, message));
    }

    /// Report the leaving and the brittle targets of a shard to its new owner.
    pub(super) fn report_notices(
        &self,
        shard: &PoolShard,
        owner: &HostName,
        actions: &mut Vec<EntryAction>,
    ) {
        let targets = self.pools.targets_of(&shard.pool);
        let brittle = self.notices.brittle_among(targets);
        if !brittle.is_empty() {
            let message = OwnerMessage::BrittleTargets {
                shard: shard.clone(),
                targets: brittle,
            };
            actions.push(EntryAction::Send(owner.clone(), message));
        }
        let targets = self.pools.targets_of(&shard.pool);
        let leaving = self.notices.leaving_among(targets);
        if !leaving.is_empty() {
            send_leaving(shard, owner.clone(), leaving, actions);
        }
    }

    /// Record that a target wants nothing from this host for a while.
    pub(super) fn rest_asked(
        &mut self,
        now: Moment,
        target: &TargetName,
        rest: Duration,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.notices.record_rest(now, target, now.plus(rest)) {
            actions.push(EntryAction::LogRest(target.clone(), rest));
        }
    }

    /// Get whether this host sends nothing to a target, by its published state or by
    /// what it said.
    pub(super) fn is_target_closed(&self, now: Moment, target: &TargetName) -> bool {
        self.pools.is_draining(target) || self.notices.closed_until(now, target).is_some()
    }

    /// Get the targets to avoid for a request: those of its pool to which this host sends
    /// nothing, and those on which the request failed, unless no other one is left.
    pub(super) fn avoided_targets(&self, now: Moment, record: &RequestRecord) -> Vec<TargetName> {
        if self.notices.is_all_open() {
            return record.avoid.clone();
        }
        let targets = self.pools.targets_of(&record.submission.pool).iter();
        let (closed, open): (Vec<_>, Vec<_>) =
            targets.partition(|target| self.is_target_closed(now, &target.name));
        let mut avoided: Vec<TargetName> = closed.iter().map(|each| each.name.clone()).collect();
        let is_left = |target: &&PoolTarget| !record.avoid.contains(&target.name);
        if open.iter().any(is_left) {
            let failed = record.avoid.iter();
            let failed = failed.filter(|name| closed.iter().all(|each| each.name != **name));
            avoided.extend(failed.cloned());
        }
        avoided
    }

    /// Get when a target of a request's pool accepts requests of this host again; `None`
    /// if one does now, or if nothing is known of them.
    pub(super) fn pool_closed_until(&self, now: Moment, record: &RequestRecord) -> Option<Moment> {
        if self.notices.is_all_open() {
            return None;
        }
        let targets = self.pools.targets_of(&record.submission.pool).iter();
        let usable = targets.filter(|target| !self.pools.is_draining(&target.name));
        let ends = usable.map(|target| self.notices.closed_until(now, &target.name));
        let ends: Option<Vec<Moment>> = ends.collect();
        ends?.into_iter().min()
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
