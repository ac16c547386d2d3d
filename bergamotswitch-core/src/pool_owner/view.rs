//! Provides the state of a shard owner for operators and metrics.

use serde::Serialize;
use std::collections::BTreeSet;

use crate::host::HostName;
use crate::pool::PoolShard;
use crate::refusal::RefusalReason;
use crate::rules::Tier;
use crate::target::{RequestRate, TargetName};

use super::admission::account_shares::AccountShareView;
use super::learning::size_ends::SizeView;
use super::owner::ShardOwner;

/// The pace from which a target is shown as slow, in hundredths of the usual time.
const SLOW_PACE: u64 = 125;

/// A `TierView` is the queue of one tier.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TierView {
    /// The tier.
    pub tier: Tier,
    /// The number of queued requests.
    #[serde(rename = "asks")]
    pub requests: usize,
    /// The tokens of the queued requests.
    pub tokens: u64,
}

/// A `TargetView` is the state of one target as seen by the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TargetView {
    /// The target.
    pub name: TargetName,
    /// The number of this owner's permits for the target.
    pub permits: usize,
    /// The tokens of this owner's permits.
    pub outstanding_tokens: u64,
    /// The tokens from other senders, as reported and weighted by the report's
    /// age.
    pub foreign_tokens: u64,
    /// The current limit in tokens.
    pub limit: u64,
    /// The predicted speed in tokens per second.
    pub speed: u64,
    /// The limit of its request rate that the target named, in requests per 1,000
    /// seconds.
    pub rate_limit: Option<RequestRate>,
    /// The time that work takes there at this moment, in hundredths of the usual time.
    pub pace: u64,
    /// The mean run time at the usual pace, in milliseconds; 0 before the first run.
    pub run_ms: u64,
    /// How long the target stays cold, and limited for that reason, in milliseconds; 0 if it
    /// is warm.
    pub cold_ms: u64,
    /// Whether the target gets nothing but probes.
    pub backed_off: bool,
    /// Whether the target gets no new requests.
    pub leaving: bool,
}

/// A `RefusalCount` is the number of the owner's refusals for one reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RefusalCount {
    /// The reason.
    pub reason: RefusalReason,
    /// The number of refusals since the owner took over.
    pub count: u64,
}

/// A `ConnectionView` is the use of hosts' connections to targets, as seen by the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ConnectionView {
    /// The number of idle connections that hosts are likely to have.
    pub idle: usize,
    /// The number of permits for which an idle connection was likely, since the owner
    /// took over.
    pub reused: u64,
    /// The number of permits for which a new connection was likely.
    pub opened: u64,
}

/// A `PromiseCount` is how often a state of promises to returning callers was reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PromiseCount {
    /// The state.
    pub state: &'static str,
    /// The number since the owner took over.
    pub count: u64,
}

/// A `ShardView` is the state of a shard owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ShardView {
    /// The shard.
    pub shard: PoolShard,
    /// The queue by tier.
    pub queued: Vec<TierView>,
    /// The number of permits not yet released.
    pub in_flight: usize,
    /// The targets.
    pub targets: Vec<TargetView>,
    /// The number of permits granted since the owner took over.
    pub granted: u64,
    /// The number of streams preempted.
    pub preempted: u64,
    /// The number of permits reclaimed by audits.
    pub reclaimed: u64,
    /// The number of requests answered with the run that holds their key.
    pub keys_known: u64,
    /// The refusals by reason.
    pub refusals: Vec<RefusalCount>,
    /// What became of the promises to returning callers.
    pub promises: Vec<PromiseCount>,
    /// The number of promises that are not claimed yet.
    pub promised: usize,
    /// The number of keys in the table.
    pub keys: usize,
    /// The number of prefixes in the table.
    pub prefixes: usize,
    /// The client accounts that are furthest above their shares; empty without fair
    /// admission.
    pub account_shares: Vec<AccountShareView>,
    /// How the requests of each tier and size ended.
    pub sizes: Vec<SizeView>,
    /// The use of connections; absent if targets are not chosen by them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connections: Option<ConnectionView>,
}

/// The maximum number of client accounts in a [`ShardView`].
const MAX_SHARES: usize = 16;
impl ShardView {
    /// Get the number of targets that are slow at this moment.
    pub fn slow_targets(&self) -> usize {
        let targets = self.targets.iter();
        targets.filter(|target| target.pace >= SLOW_PACE).count()
    }
}

impl ShardOwner {
    /// Get the hosts that have queued requests, each once.
    pub fn queued_hosts(&self) -> Vec<HostName> {
        let attempts = self.queue.find(|_| true);
        let requests = attempts
            .iter()
            .filter_map(|attempt| self.queue.get(attempt));
        let hosts: BTreeSet<&HostName> = requests.map(|queued| &queued.host).collect();
        hosts.into_iter().cloned().collect()
    }

    /// Get the owner's state.
    pub fn view(&self) -> ShardView {
        let queued = self.queue.tiers();
        let refusals = self.counts.refusals.iter();
        let shares = self.queue.shares.as_ref();
        ShardView {
            shard: self.shard.clone(),
            queued: queued
                .map(|(tier, requests, tokens)| TierView {
                    tier,
                    requests,
                    tokens,
                })
                .collect(),
            in_flight: self.permits.len(),
            targets: self.target_views(),
            granted: self.counts.granted,
            preempted: self.counts.preempted,
            reclaimed: self.counts.reclaimed,
            keys_known: self.counts.keys_known,
            refusals: refusals
                .map(|(reason, count)| RefusalCount {
                    reason: *reason,
                    count: *count,
                })
                .collect(),
            promises: self
                .promise_counts()
                .map(|(state, count)| PromiseCount {
                    state: state.as_str(),
                    count,
                })
                .collect(),
            promised: self.returning.promised(),
            keys: self.keys.len(),
            prefixes: self.prefixes.len(),
            account_shares: shares
                .map_or_else(Vec::new, |shares| shares.view(self.now, MAX_SHARES)),
            sizes: self.sizes.views().collect(),
            connections: self.connection_view(),
        }
    }

    fn target_views(&self) -> Vec<TargetView> {
        let loads = self.targets.iter();
        loads
            .map(|(name, load)| TargetView {
                name: name.clone(),
                permits: load.permits(),
                outstanding_tokens: load.outstanding(),
                foreign_tokens: load.backlog(self.now) - load.outstanding(),
                limit: load.limit(self.now),
                speed: load.speed(self.now) as u64,
                rate_limit: load.rate_limit(),
                run_ms: load.mean_run_ms().round() as u64,
                pace: (load.pace_factor() * 100.0).round() as u64,
                cold_ms: load
                    .warm_at()
                    .map_or(0, |at| at.since(self.now).as_millis() as u64),
                backed_off: load.back_off().is_active(),
                leaving: load.is_draining(),
            })
            .collect()
    }
}
