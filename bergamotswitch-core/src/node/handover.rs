//! Provides the handover of state from the owner of a shard to its successor, or to
//! another host that also acts as owner.

use std::collections::BTreeMap;
use std::time::Duration;

use super::NodeAction;
use super::core::NodeCore;
use crate::clock::Moment;
use crate::host::HostName;
use crate::link::LinkMessage;
use crate::permit::{CLAIMS_PER_MESSAGE, FailedTarget, KeyClaim, OwnerMessage};
use crate::pool::PoolShard;
use crate::pool_owner::OwnerEvent;

/// How long reports of failed targets are kept by a host that does not own their shard.
/// A newly started owner takes over within a second.
const REPORT_RETENTION: Duration = Duration::from_secs(5);

/// The maximum number of promises per message, which keeps it well below the size limit.
const PROMISES_PER_MESSAGE: usize = 4_096;

/// The maximum number of shards for which reports or keys are kept.
const MAX_REPORTED_SHARDS: usize = 64;

/// The maximum number of accounts in a message on their use, which then stays well below
/// the size limit between hosts.
const ACCOUNTS_PER_MESSAGE: usize = 4_096;

/// The maximum number of keys that are kept for a shard.
const MAX_KEPT_KEYS: usize = 65_536;

/// A `KeptKeys` holds the keys of shards that this host does not own at present: its own
/// as former owner, if it knew no successor, or those that an owner handed over before this
/// host acts.
#[derive(Debug, Default)]
pub(super) struct KeptKeys {
    shards: BTreeMap<PoolShard, (Moment, Vec<KeyClaim>)>,
}

impl KeptKeys {
    /// Add keys of a shard. Those of a further shard at the limit are dropped.
    pub(super) fn record(&mut self, now: Moment, shard: PoolShard, claims: Vec<KeyClaim>) {
        let is_new = !self.shards.contains_key(&shard);
        if claims.is_empty() || (is_new && self.shards.len() >= MAX_REPORTED_SHARDS) {
            return;
        }
        let (kept_at, kept) = self.shards.entry(shard).or_insert((now, Vec::new()));
        *kept_at = now;
        let left = MAX_KEPT_KEYS.saturating_sub(kept.len());
        kept.extend(claims.into_iter().take(left));
    }

    /// Take the keys of a shard that are not older than `retention`.
    fn take(&mut self, now: Moment, shard: &PoolShard, retention: Duration) -> Vec<KeyClaim> {
        match self.shards.remove(shard) {
            Some((kept_at, claims)) if now < kept_at.plus(retention) => claims,
            _ => Vec::new(),
        }
    }

    /// Drop the keys of shards that do not exist any more.
    pub(super) fn retain(&mut self, shards: &[PoolShard]) {
        self.shards.retain(|shard, _| shards.contains(shard));
    }
}

/// A `FailureReports` holds reports of failed targets for shards that this host does
/// not own yet.
#[derive(Debug, Default)]
pub(super) struct FailureReports {
    shards: BTreeMap<PoolShard, (Moment, Vec<FailedTarget>)>,
}

impl FailureReports {
    /// Record a report, replacing the earlier one of the shard. Evicts the oldest
    /// report at the limit.
    pub(super) fn record(&mut self, now: Moment, shard: PoolShard, targets: Vec<FailedTarget>) {
        let is_new = !self.shards.contains_key(&shard);
        if is_new && self.shards.len() >= MAX_REPORTED_SHARDS {
            self.drop_oldest();
        }
        self.shards.insert(shard, (now, targets));
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .shards
            .iter()
            .min_by_key(|(_, (received_at, _))| *received_at);
        if let Some(shard) = oldest.map(|(shard, _)| shard.clone()) {
            self.shards.remove(&shard);
        }
    }

    /// Take the recent report of a shard, with the times until the next probes reduced
    /// by the age of the report.
    fn take(&mut self, now: Moment, shard: &PoolShard) -> Vec<FailedTarget> {
        let Some((received_at, mut targets)) = self.shards.remove(shard) else {
            return Vec::new();
        };
        let age = now.since(received_at);
        if age >= REPORT_RETENTION {
            return Vec::new();
        }
        let age_ms = age.as_millis() as u32;
        for target in &mut targets {
            target.probe_in_ms = target.probe_in_ms.saturating_sub(age_ms);
        }
        targets
    }
}

impl NodeCore {
    /// Hand over keys, quota levels, the use of client accounts and failed targets to a
    /// shard's next owner. `fraction`
    /// is the part of each quota's token bucket to transfer.
    ///
    /// Without this, the next owner would start with empty token buckets and refuse
    /// calls of accounts within their quota, would send work to failed targets, which
    /// look idle to it, and would start requests again whose holders have terminated.
    pub(super) fn hand_over(&mut self, now: Moment, shard: &PoolShard, fraction: f64) {
        self.keep_stream_report(now, shard);
        let Some(next) = self.membership.successor_of(now, shard).cloned() else {
            let claims = self.shards.granted_claims(shard);
            self.kept_keys.record(now, shard.clone(), claims);
            return;
        };
        self.send_failed_targets(now, shard.clone(), &next);
        let claims = self.shards.granted_claims(shard);
        self.send_keys(shard, &next, &claims);
        self.send_stream_report(now, shard, &next);
        self.send_account_use(now, shard, &next);
        self.send_promises(now, shard, &next);
        let levels = self.shards.hand_over_quotas(now, shard, fraction);
        if !levels.is_empty() {
            let shard = shard.clone();
            self.send_to_owner(&next, OwnerMessage::QuotaLevels { shard, levels });
        }
    }

    /// Send the promises to refused callers, which would be new callers to the next owner.
    fn send_promises(&mut self, now: Moment, shard: &PoolShard, next: &HostName) {
        let promises = self.shards.promise_report(now, shard);
        for promises in promises.chunks(PROMISES_PER_MESSAGE) {
            let (shard, promises) = (shard.clone(), promises.to_vec());
            self.send_to_owner(next, OwnerMessage::Promises { shard, promises });
        }
    }

    /// Send the failed targets of all shards that this host owns to a newly connected
    /// host, which may become their owner and has no failure state.
    pub(super) fn send_all_failed_targets(&mut self, now: Moment, host: &HostName) {
        for shard in self.membership.acting_shards() {
            self.send_failed_targets(now, shard, host);
        }
    }

    /// Apply the recorded failure report to the owner that this host has just become.
    pub(super) fn apply_failure_reports(&mut self, now: Moment, shard: &PoolShard) {
        let targets = self.failure_reports.take(now, shard);
        let message = OwnerMessage::FailedTargets {
            shard: shard.clone(),
            targets,
        };
        let event = OwnerEvent::Message(self.identity.host.clone(), message);
        let actions = self.shards.notify_shard(now, shard, event);
        self.queue_owner(actions);
    }

    pub(super) fn send_to_owner(&mut self, owner: &HostName, message: OwnerMessage) {
        let message = LinkMessage::ToOwner(message);
        self.actions.push(NodeAction::Send(owner.clone(), message));
    }

    /// Pass the kept keys of a shard to its owner.
    pub(super) fn pass_kept_keys(&mut self, now: Moment, shard: &PoolShard, owner: &HostName) {
        let retention = Duration::from_millis(self.publication.limits.key_retention_ms);
        let claims = self.kept_keys.take(now, shard, retention);
        if *owner != self.identity.host {
            return self.send_keys(shard, owner, &claims);
        }
        let message = OwnerMessage::Keys {
            shard: shard.clone(),
            claims,
        };
        let event = OwnerEvent::Message(owner.clone(), message);
        let actions = self.shards.notify_shard(now, shard, event);
        self.queue_owner(actions);
    }

    fn send_keys(&mut self, shard: &PoolShard, host: &HostName, claims: &[KeyClaim]) {
        for part in claims.chunks(CLAIMS_PER_MESSAGE) {
            let message = OwnerMessage::Keys {
                shard: shard.clone(),
                claims: part.to_vec(),
            };
            self.send_to_owner(host, message);
        }
    }

    fn send_account_use(&mut self, now: Moment, shard: &PoolShard, host: &HostName) {
        let accounts = self.shards.account_use(now, shard);
        for part in accounts.chunks(ACCOUNTS_PER_MESSAGE) {
            let message = OwnerMessage::AccountUse {
                shard: shard.clone(),
                accounts: part.to_vec(),
            };
            self.send_to_owner(host, message);
        }
    }

    fn send_failed_targets(&mut self, now: Moment, shard: PoolShard, host: &HostName) {
        let targets = self.shards.failed_targets(now, &shard);
        if !targets.is_empty() {
            let message = OwnerMessage::FailedTargets { shard, targets };
            self.send_to_owner(host, message);
        }
    }
}
