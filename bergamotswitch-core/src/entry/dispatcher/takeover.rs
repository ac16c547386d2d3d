//! Provides the handling of waiting requests after a process pause, a change of
//! owner or a change of the pools.

use super::EntryDispatcher;
use crate::clock::Moment;
use crate::entry::EntryAction;
use crate::entry::attempt::{AttemptStage, RunningAttempt, WaitingState};
use crate::entry::request_table::{LiveEntry, RequestRecord};
use crate::host::HostName;
use crate::permit::{CLAIMS_PER_MESSAGE, InFlightWork, KeyClaim, OwnerMessage};
use crate::pool::PoolShard;
use crate::refusal::RefusalReason;

impl EntryDispatcher {
    /// Invalidate all permits that may be in transit by requesting new ones
    /// under new attempt numbers.
    pub(super) fn renew_permit_requests(&mut self, now: Moment, actions: &mut Vec<EntryAction>) {
        if self.may_use_permits_after_pause() {
            return;
        }
        self.drop_replacements(now, |_, _| true, actions);
        for id in self.requests.waiting_ids() {
            let Some(entry) = self.requests.take(id) else {
                continue;
            };
            match entry.stage {
                AttemptStage::Waiting(waiting)
                    if waiting.requested_from.is_some() && now < entry.record.deadline =>
                {
                    self.withdraw(&entry.record, waiting.requested_from.as_ref(), actions);
                    self.request_for_new_attempt(now, entry.record, waiting.state, actions);
                }
                stage => self.requests.put(LiveEntry { stage, ..entry }),
            }
        }
    }

    /// Handle a new owner of a shard: report the work and keys that this host
    /// holds, and then request permits for the waiting requests.
    pub(super) fn owner_changed(
        &mut self,
        now: Moment,
        shard: PoolShard,
        host: HostName,
        actions: &mut Vec<EntryAction>,
    ) {
        self.owners.insert(shard.clone(), host.clone());
        self.report_held_work(&shard, &host, actions);
        self.report_quota_use(now, &shard, &host, actions);
        self.report_limits(now, &shard, &host, actions);
        self.report_notices(&shard, &host, actions);
        self.report_streams(now, &shard, &host, actions);
        self.request_replacements(now, &shard, &host, actions);
        for id in self.requests.waiting_ids() {
            let Some(entry) = self.requests.take(id) else {
                continue;
            };
            let here = entry.record.shard == shard && now < entry.record.deadline;
            match entry.stage {
                AttemptStage::Waiting(waiting) if here => {
                    self.request_permit(now, entry.record, waiting.state, actions);
                }
                stage => self.requests.put(LiveEntry { stage, ..entry }),
            }
        }
    }

    /// Report work in flight and keys that must not run twice to an owner. Keys
    /// of waiting requests are left out, as their permit request carries the
    /// claim. An owner would otherwise take the key of a marked resubmission
    /// for known, and grant it a second run. Each message repeats all work in
    /// flight, so that the owner may either merge the messages or replace an
    /// earlier one by a later one.
    fn report_held_work(&self, shard: &PoolShard, host: &HostName, actions: &mut Vec<EntryAction>) {
        let held: Vec<InFlightWork> = self
            .requests
            .iter()
            .filter(|entry| entry.record.shard == *shard)
            .filter_map(|entry| match &entry.stage {
                AttemptStage::Running(running) => Some(self.held_work(&entry.record, running)),
                AttemptStage::Waiting(_) => None,
            })
            .collect();
        let claims: Vec<KeyClaim> = self
            .keys
            .run_once_hashes(&shard.pool, |id| !self.requests.is_waiting(id))
            .into_iter()
            .map(|key| KeyClaim {
                key,
                holder: self.identity.clone(),
                resubmission: false,
            })
            .collect();
        let mut parts: Vec<&[KeyClaim]> = claims.chunks(CLAIMS_PER_MESSAGE).collect();
        if parts.is_empty() {
            parts.push(&[]);
        }
        for part in parts {
            let message = OwnerMessage::Resync {
                shard: shard.clone(),
                held: held.clone(),
                claims: part.to_vec(),
            };
            actions.push(EntryAction::Send(host.clone(), message));
        }
    }

    /// Report the quota used by client accounts to an owner. An owner that
    /// takes over from an unresponsive one has no other source for it.
    fn report_quota_use(
        &mut self,
        now: Moment,
        shard: &PoolShard,
        host: &HostName,
        actions: &mut Vec<EntryAction>,
    ) {
        let used = self.quota_use.shard_levels(now, shard, self.host_count);
        if let Some(used) = used {
            let message = OwnerMessage::QuotaUse {
                shard: shard.clone(),
                hosts: u32::try_from(self.host_count).unwrap_or(u32::MAX),
                used,
            };
            actions.push(EntryAction::Send(host.clone(), message));
        }
    }

    fn held_work(&self, record: &RequestRecord, running: &RunningAttempt) -> InFlightWork {
        let submission = &record.submission;
        InFlightWork {
            permit: running.permit.id,
            attempt: running.permit.attempt,
            target: running.permit.target.clone(),
            tier: submission.verdict.tier,
            account: submission.account.clone(),
            share: submission.verdict.share,
            cost: submission.cost,
            preemptible: self.is_preemptible(record),
        }
    }

    /// Reassign waiting requests whose shard no longer exists or is no longer
    /// allowed.
    pub(super) fn reassign_waiting(&mut self, now: Moment, actions: &mut Vec<EntryAction>) {
        let is_gone = |dispatcher: &Self, entry: &LiveEntry| {
            let verdict = &entry.record.submission.verdict;
            let shard = entry.replacement().map(|pending| &pending.shard);
            shard.is_some_and(|shard| !dispatcher.pools.allows(shard, verdict))
        };
        self.drop_replacements(now, is_gone, actions);
        for id in self.requests.waiting_ids() {
            let Some(entry) = self.requests.take(id) else {
                continue;
            };
            let stays = self
                .pools
                .allows(&entry.record.shard, &entry.record.submission.verdict);
            match entry.stage {
                AttemptStage::Waiting(waiting) if !stays => {
                    self.withdraw(&entry.record, waiting.requested_from.as_ref(), actions);
                    self.reassign(now, entry.record, waiting.state, actions);
                }
                stage => self.requests.put(LiveEntry { stage, ..entry }),
            }
        }
    }

    fn reassign(
        &mut self,
        now: Moment,
        record: RequestRecord,
        state: WaitingState,
        actions: &mut Vec<EntryAction>,
    ) {
        match self.pools.shard_for(&record.shard_query()) {
            Some(_) => self.request_for_new_attempt(now, record, state, actions),
            None => {
                let refusal = state.refuse(RefusalReason::NoTarget);
                self.refuse(now, record, refusal, actions);
            }
        }
    }
}
