//! Provides the shards for which this host acts as owner, either for the fleet or in
//! degraded mode.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::missing_hosts::absence_retention;
use super::shard_use::is_warm;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::cold_targets::ColdTarget;
use crate::host::{HostIncarnation, HostName, Standing};
use crate::membership::Membership;
use crate::permit::{AccountUse, FailedTarget, KeyClaim, QuotaLevel, ReturnPromise};
use crate::pool::{PoolKind, PoolName, PoolShard};
use crate::pool_owner::{
    OwnerAction, OwnerEvent, OwnerOptions, QuotaRate, QuotaTolerance, ShardOwner, ShardView,
};
use crate::publication::Publication;
use crate::stream_table::VersionStreams;
use crate::target::{PoolTarget, TargetName};

/// An `OwnedShard` is a shard for which this host acts as owner.
struct OwnedShard {
    shard: PoolShard,
    owner: ShardOwner,
    /// Whether the owner serves only this host, with a fraction of the capacity.
    degraded: bool,
    /// The cold targets as last told to the owner.
    cold: Vec<(TargetName, ColdTarget)>,
    /// The targets without new requests as last told to the owner.
    departing: Vec<PoolTarget>,
    /// Since when this host no longer hears others.
    silent_since: BTreeMap<HostName, Moment>,
    /// Those of them that count as users of another owner, as last told to the owner.
    silent: BTreeSet<HostName>,
    /// From when on the hosts that use the shard have been told to use this owner.
    used_from: Moment,
}

impl OwnedShard {
    /// Tell the owner the targets that get no new requests, if they have changed.
    fn update_departing(&mut self, now: Moment, departing: Vec<PoolTarget>) -> Vec<OwnerAction> {
        if departing == self.departing {
            return Vec::new();
        }
        self.departing.clone_from(&departing);
        let event = OwnerEvent::DepartingTargets(departing);
        self.owner.handle(now, event)
    }

    /// Update the hosts that are not heard; get those that count as users of another owner
    /// if they have changed.
    fn update_silent(
        &mut self,
        now: Moment,
        unheard: &BTreeSet<&HostName>,
        publication: &Publication,
    ) -> Option<BTreeSet<HostName>> {
        self.silent_since.retain(|host, _| unheard.contains(host));
        for host in unheard {
            if !self.silent_since.contains_key(*host) {
                self.silent_since.insert((*host).clone(), now);
            }
        }
        let all = live_hosts(publication).count();
        let heard = all.saturating_sub(self.silent_since.len());
        let retention = absence_retention(heard, all);
        let counted = self.silent_since.iter();
        let counted = counted.filter(|(_, since)| now < since.plus(retention));
        let silent: BTreeSet<HostName> = counted.map(|(host, _)| host.clone()).collect();
        let is_changed = silent != self.silent;
        self.silent.clone_from(&silent);
        is_changed.then_some(silent)
    }

    /// Tell the owner the cold targets, if they have changed. It has to know them before it
    /// is told of new targets.
    fn update_cold(&mut self, now: Moment, publication: &Publication) -> Vec<OwnerAction> {
        let cold = publication.cold_targets(now, &self.shard.pool);
        if cold == self.cold {
            return Vec::new();
        }
        self.cold.clone_from(&cold);
        self.owner.handle(now, OwnerEvent::ColdTargets(cold))
    }
}

/// A `ShardSet` is the set of shards for which this host acts as owner.
pub(super) struct ShardSet {
    identity: HostIncarnation,
    opts: OwnerOptions,
    /// The start of this process in Unix milliseconds, if known.
    process_start_ms: Option<u64>,
    owned: Vec<OwnedShard>,
    watched: Vec<PoolTarget>,
}

impl ShardSet {
    pub(super) fn new(
        identity: HostIncarnation,
        opts: OwnerOptions,
        process_start_ms: Option<u64>,
    ) -> Self {
        ShardSet {
            identity,
            opts,
            process_start_ms,
            owned: Vec::new(),
            watched: Vec::new(),
        }
    }

    /// Set the options of current and future owners.
    pub(super) fn set_opts(&mut self, opts: &OwnerOptions) {
        for owned in &mut self.owned {
            owned.owner.set_opts(opts.clone());
        }
        self.opts = opts.clone();
    }

    /// Get whether permit requests for the shard are accepted. A degraded owner accepts
    /// only those of its own host (`own`).
    pub(super) fn serves(&self, shard: &PoolShard, own: bool) -> bool {
        let found = self.owned.iter().find(|owned| owned.shard == *shard);
        found.is_some_and(|owned| own || !owned.degraded)
    }

    pub(super) fn next_wake(&self) -> Moment {
        let wakes = self.owned.iter().map(|owned| owned.owner.next_wake());
        wakes.fold(Moment::NEVER, Moment::min)
    }

    pub(super) fn notify_shard(
        &mut self,
        now: Moment,
        shard: &PoolShard,
        event: OwnerEvent,
    ) -> Vec<OwnerAction> {
        let found = self.owned.iter_mut().find(|owned| owned.shard == *shard);
        found.map_or_else(Vec::new, |owned| owned.owner.handle(now, event))
    }

    pub(super) fn notify_all(
        &mut self,
        now: Moment,
        event: impl Fn(&PoolShard) -> OwnerEvent,
    ) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        for owned in &mut self.owned {
            let event = event(&owned.shard);
            actions.extend(owned.owner.handle(now, event));
        }
        actions
    }

    /// Notify all owners of an event of `target` if the target is watched. Owners
    /// ignore targets that are not theirs.
    pub(super) fn notify_target(
        &mut self,
        now: Moment,
        target: &TargetName,
        event: impl Fn(&PoolShard) -> OwnerEvent,
    ) -> Vec<OwnerAction> {
        match self.watched.iter().any(|watched| watched.name == *target) {
            true => self.notify_all(now, event),
            false => Vec::new(),
        }
    }

    /// Notify all owners, except degraded ones, that the process was paused.
    pub(super) fn on_resumed(&mut self, now: Moment, paused_for: Duration) {
        for owned in self.owned.iter_mut().filter(|owned| !owned.degraded) {
            owned.owner.on_resumed(now, paused_for);
        }
    }

    /// Get whether this host acts as owner of a shard of the pool, for the fleet.
    pub(super) fn acts_for(&self, pool: &PoolName) -> bool {
        let mut acting = self.owned.iter().filter(|owned| !owned.degraded);
        acting.any(|owned| owned.shard.pool == *pool)
    }

    /// Get whether a shard of the pool is in degraded mode.
    pub(super) fn is_degraded(&self, pool: &PoolName) -> bool {
        let mut degraded = self.owned.iter().filter(|owned| owned.degraded);
        degraded.any(|owned| owned.shard.pool == *pool)
    }

    /// Get whether the shard is in degraded mode.
    pub(super) fn is_degraded_shard(&self, shard: &PoolShard) -> bool {
        let found = self.owned.iter().find(|owned| owned.shard == *shard);
        found.is_some_and(|owned| owned.degraded)
    }

    /// Withdraw a fraction of the tokens in the quota buckets of the shard; none if the
    /// shard is in degraded mode.
    pub(super) fn hand_over_quotas(
        &mut self,
        now: Moment,
        shard: &PoolShard,
        fraction: f64,
    ) -> Vec<QuotaLevel> {
        let mut owned = self.owned.iter_mut().filter(|owned| !owned.degraded);
        let found = owned.find(|owned| owned.shard == *shard);
        found.map_or_else(Vec::new, |owned| {
            owned.owner.hand_over_quotas(now, fraction)
        })
    }

    /// Get the recent use of client accounts that the shard's owner hands over; none in
    /// degraded mode.
    pub(super) fn account_use(&self, now: Moment, shard: &PoolShard) -> Vec<AccountUse> {
        let mut owned = self.owned.iter().filter(|owned| !owned.degraded);
        let found = owned.find(|owned| owned.shard == *shard);
        found.map_or_else(Vec::new, |owned| owned.owner.account_use(now))
    }

    /// Get the failed targets of the shard, which receive no normal work.
    pub(super) fn failed_targets(&self, now: Moment, shard: &PoolShard) -> Vec<FailedTarget> {
        let found = self.owned.iter().find(|owned| owned.shard == *shard);
        found.map_or_else(Vec::new, |owned| owned.owner.failed_targets(now))
    }

    /// Get the claims that the shard's owner hands over; none in degraded mode.
    pub(super) fn granted_claims(&self, shard: &PoolShard) -> Vec<KeyClaim> {
        let mut owned = self.owned.iter().filter(|owned| !owned.degraded);
        let found = owned.find(|owned| owned.shard == *shard);
        found.map_or_else(Vec::new, |owned| owned.owner.granted_claims())
    }

    /// Get the promises that the shard's owner hands over; none in degraded mode.
    pub(super) fn promise_report(&self, now: Moment, shard: &PoolShard) -> Vec<ReturnPromise> {
        let mut owned = self.owned.iter().filter(|owned| !owned.degraded);
        let found = owned.find(|owned| owned.shard == *shard);
        found.map_or_else(Vec::new, |owned| owned.owner.promise_report(now))
    }

    /// Get the streams known to the shard's owner, in parts for one message each.
    pub(super) fn stream_report(&self, now: Moment, shard: &PoolShard) -> Vec<Vec<VersionStreams>> {
        let found = self.owned.iter().find(|owned| owned.shard == *shard);
        found.map_or_else(Vec::new, |owned| owned.owner.stream_report(now))
    }

    /// Get the streams that each owner has recorded since the last call. Owners whose
    /// streams no other host needs are left out.
    pub(super) fn take_unshared_streams(
        &mut self,
        now: Moment,
    ) -> BTreeMap<PoolShard, Vec<VersionStreams>> {
        let mut unshared = BTreeMap::new();
        for owned in &mut self.owned {
            // A degraded owner serves its own host only, which knows the streams.
            if let Some(streams) = owned.owner.take_unshared_streams(now)
                && !owned.degraded
            {
                unshared.insert(owned.shard.clone(), streams);
            }
        }
        unshared
    }

    /// Get whether the shard's owner knows the idempotency key of a claim.
    pub(super) fn knows_key(&self, shard: &PoolShard, claim: &KeyClaim) -> bool {
        let found = self.owned.iter().find(|owned| owned.shard == *shard);
        found.is_some_and(|owned| owned.owner.knows_key(claim))
    }

    /// Get the hosts with queued permit requests for the shard.
    pub(super) fn waiting_hosts(&self, shard: &PoolShard) -> Vec<HostName> {
        let found = self.owned.iter().find(|owned| owned.shard == *shard);
        found.map_or_else(Vec::new, |owned| owned.owner.queued_hosts())
    }

    /// Start or stop acting as owner of a shard for the fleet.
    pub(super) fn set_acting(
        &mut self,
        now: Moment,
        shard: &PoolShard,
        act: bool,
        publication: &Publication,
    ) {
        self.owned.retain(|owned| owned.shard != *shard);
        if act {
            self.start(now, shard, false, publication);
        }
    }

    /// Start or stop acting as degraded owner of a shard.
    pub(super) fn set_degraded(
        &mut self,
        now: Moment,
        shard: &PoolShard,
        degraded: bool,
        publication: &Publication,
    ) {
        let known = self.owned.iter().any(|owned| owned.shard == *shard);
        match (degraded, known) {
            (true, false) => self.start(now, shard, true, publication),
            (true, true) => {}
            (false, _) => self
                .owned
                .retain(|owned| owned.shard != *shard || !owned.degraded),
        }
    }

    fn start(&mut self, now: Moment, shard: &PoolShard, degraded: bool, publication: &Publication) {
        let identity = self.identity.clone();
        let mut owner = ShardOwner::new(identity, shard.clone(), self.opts.clone(), now);
        let (targets, departing) = shard_targets(shard, degraded, publication);
        let longest_call_ms = publication.routes.longest_call_ms(&shard.pool);
        owner.set_call_times(self.process_start_ms, longest_call_ms);
        let cold = publication.cold_targets(now, &shard.pool);
        // A new owner has an empty queue, so no actions result.
        owner.handle(now, OwnerEvent::ColdTargets(cold.clone()));
        let mut owned = OwnedShard {
            shard: shard.clone(),
            owner,
            degraded,
            cold,
            departing: Vec::new(),
            silent_since: BTreeMap::new(),
            silent: BTreeSet::new(),
            used_from: Moment::START,
        };
        owned.update_departing(now, departing);
        let owner = &mut owned.owner;
        owner.handle(now, OwnerEvent::Targets(targets));
        let rates = quota_rates(degraded, publication, &self.opts.quota_tolerance);
        owner.handle(now, OwnerEvent::Quotas(rates));
        // A degraded owner's quotas are already divided by the number of hosts.
        if !degraded {
            owner.handle(
                now,
                OwnerEvent::Hosts(live_hosts(publication).cloned().collect()),
            );
        }
        self.owned.push(owned);
    }

    /// Update the targets, quotas and hosts of all owners from the publication.
    pub(super) fn apply_publication(
        &mut self,
        now: Moment,
        publication: &Publication,
    ) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        for owned in &mut self.owned {
            actions.extend(owned.update_cold(now, publication));
            let (targets, departing) = shard_targets(&owned.shard, owned.degraded, publication);
            let longest_call_ms = publication.routes.longest_call_ms(&owned.shard.pool);
            let owner = &mut owned.owner;
            owner.set_call_times(self.process_start_ms, longest_call_ms);
            actions.extend(owned.update_departing(now, departing));
            actions.extend(owned.owner.handle(now, OwnerEvent::Targets(targets)));
            let rates = quota_rates(owned.degraded, publication, &self.opts.quota_tolerance);
            actions.extend(owned.owner.handle(now, OwnerEvent::Quotas(rates)));
            if !owned.degraded {
                let hosts = OwnerEvent::Hosts(live_hosts(publication).cloned().collect());
                actions.extend(owned.owner.handle(now, hosts));
            }
        }
        actions
    }

    /// Record that the former owner of a shard has told its users to use this one.
    pub(super) fn record_handover(&mut self, now: Moment, shard: &PoolShard) {
        let mut owned = self.owned.iter_mut();
        if let Some(owned) = owned.find(|owned| owned.shard == *shard) {
            owned.used_from = now;
        }
    }

    /// Tell the owners which of the hosts that always monitor them this host no longer
    /// hears: these may use another owner.
    pub(super) fn review_silent_hosts(
        &mut self,
        now: Moment,
        publication: &Publication,
        membership: &Membership,
    ) -> Vec<OwnerAction> {
        let own_name = &self.identity.host;
        let mut actions = Vec::new();
        for owned in self.owned.iter_mut().filter(|owned| !owned.degraded) {
            let hosts = publication.hosts.hosts.iter();
            let unheard = hosts.filter(|host| {
                host.standing == Standing::Live
                    && host.name != *own_name
                    && membership.is_silent(now, &host.name, owned.used_from)
                    && is_warm(&owned.shard, &host.domain, &publication.pools)
            });
            let unheard = unheard.map(|host| &host.name);
            let missing = publication.missing_hosts.keys();
            let unheard: BTreeSet<&HostName> = unheard.chain(missing).collect();
            if let Some(silent) = owned.update_silent(now, &unheard, publication) {
                let event = OwnerEvent::SilentHosts(silent);
                actions.extend(owned.owner.handle(now, event));
            }
        }
        actions
    }

    /// Get the undivided quotas of all client accounts.
    pub(super) fn quota_rates(&self, publication: &Publication) -> Vec<(AccountName, QuotaRate)> {
        quota_rates(false, publication, &self.opts.quota_tolerance)
    }

    /// Get the engine targets to poll if they have changed.
    pub(super) fn updated_watch_list(
        &mut self,
        publication: &Publication,
    ) -> Option<Vec<PoolTarget>> {
        let mut watched = Vec::new();
        for owned in &self.owned {
            let pool = publication.pools.pool(&owned.shard.pool);
            if pool.is_some_and(|pool| pool.kind == PoolKind::Engine) {
                watched.extend(shard_targets(&owned.shard, false, publication).0);
            }
        }
        if watched == self.watched {
            return None;
        }
        self.watched.clone_from(&watched);
        Some(watched)
    }

    pub(super) fn views(&self) -> Vec<ShardView> {
        self.owned.iter().map(|owned| owned.owner.view()).collect()
    }

    pub(super) fn degraded_count(&self) -> usize {
        self.owned.iter().filter(|owned| owned.degraded).count()
    }
}

/// Get the hosts that are not stopping, and those that fell silent without a word.
fn live_hosts(publication: &Publication) -> impl Iterator<Item = &HostName> {
    let hosts = publication.hosts.hosts.iter();
    let live = hosts.filter(|host| host.standing == Standing::Live);
    let live = live.map(|host| &host.name);
    live.chain(publication.missing_hosts.keys())
}

/// Get the quota rates for an owner: the whole quotas, or this host's fraction of them
/// in degraded mode.
fn quota_rates(
    degraded: bool,
    publication: &Publication,
    tolerance: &QuotaTolerance,
) -> Vec<(AccountName, QuotaRate)> {
    let owners = match degraded {
        true => publication.sharing_hosts(),
        false => 1,
    };
    let accounts = publication.routes.config().accounts.iter();
    accounts
        .filter(|account| account.quota.rate > 0)
        .map(|account| (account.name.clone(), tolerance.rate(&account.quota, owners)))
        .collect()
}

/// Get the targets of a shard that may receive new work, and those that may not. In degraded
/// mode their token limits and slots are divided by the number of hosts, as every host may
/// admit on its own at the same time.
fn shard_targets(
    shard: &PoolShard,
    degraded: bool,
    publication: &Publication,
) -> (Vec<PoolTarget>, Vec<PoolTarget>) {
    let Some(pool) = publication.pools.pool(&shard.pool) else {
        return Default::default();
    };
    let hosts = publication.hosts.hosts.len().max(1) as u32;
    let in_shard = |target: &&PoolTarget| match &shard.domain {
        Some(domain) => target.domain == *domain,
        None => true,
    };
    let targets = pool.targets.iter().filter(in_shard).cloned();
    let (departing, mut targets): (Vec<PoolTarget>, Vec<PoolTarget>) =
        targets.partition(|target| publication.target_is_leaving(&target.name));
    if degraded {
        for target in &mut targets {
            target.token_limit = (target.token_limit / hosts).max(1);
            target.slots = target.slots.map(|slots| (slots / hosts).max(1));
        }
    }
    (targets, departing)
}
