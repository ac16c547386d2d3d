//! Provides the shards that a host orders now, as owner or degraded.

use std::time::Duration;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::host::{HostIncarnation, HostName, Standing};
use crate::permit::{FailedTarget, QuotaLevel};
use crate::pool::{PoolKind, PoolName, PoolShard};
use crate::pool_owner::{
    OwnerAction, OwnerEvent, OwnerOptions, QuotaRate, QuotaTolerance, ShardOwner, ShardView,
};
use crate::publication::Publication;
use crate::target::{PoolTarget, TargetName};

/// An `OwnedShard` is one shard that this host orders now.
struct OwnedShard {
    shard: PoolShard,
    owner: ShardOwner,
    /// Whether it serves this host only, with a fraction of the capacity.
    degraded: bool,
}

/// A `ShardSet` is the shards that this host orders now.
pub(super) struct ShardSet {
    me: HostIncarnation,
    opts: OwnerOptions,
    owned: Vec<OwnedShard>,
    watched: Vec<PoolTarget>,
}

impl ShardSet {
    pub(super) fn new(me: HostIncarnation, opts: OwnerOptions) -> Self {
        ShardSet {
            me,
            opts,
            owned: Vec::new(),
            watched: Vec::new(),
        }
    }

    /// Put other bounds in force for the shards ordered now and later.
    pub(super) fn set_opts(&mut self, opts: &OwnerOptions) {
        for owned in &mut self.owned {
            owned.owner.set_opts(opts.clone());
        }
        self.opts = opts.clone();
    }

    /// Get whether asks for the shard are taken: of everyone by its owner, of
    /// this host alone by a degraded one.
    pub(super) fn serves(&self, shard: &PoolShard, own: bool) -> bool {
        let found = self.owned.iter().find(|owned| owned.shard == *shard);
        found.is_some_and(|owned| own || !owned.degraded)
    }

    pub(super) fn next_wake(&self) -> Moment {
        let wakes = self.owned.iter().map(|owned| owned.owner.next_wake());
        wakes.fold(Moment::NEVER, Moment::min)
    }

    pub(super) fn on_shard(
        &mut self,
        now: Moment,
        shard: &PoolShard,
        event: OwnerEvent,
    ) -> Vec<OwnerAction> {
        let found = self.owned.iter_mut().find(|owned| owned.shard == *shard);
        found.map_or_else(Vec::new, |owned| owned.owner.handle(now, event))
    }

    pub(super) fn on_all(
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

    /// Tell the shards that hold `target`; an owner ignores foreign targets.
    pub(super) fn on_target(
        &mut self,
        now: Moment,
        target: &TargetName,
        event: impl Fn(&PoolShard) -> OwnerEvent,
    ) -> Vec<OwnerAction> {
        match self.watched.iter().any(|watched| watched.name == *target) {
            true => self.on_all(now, event),
            false => Vec::new(),
        }
    }

    /// Tell every owner that this process has slept.
    pub(super) fn woke(&mut self, now: Moment, slept: Duration) {
        for owned in self.owned.iter_mut().filter(|owned| !owned.degraded) {
            owned.owner.on_resumed(now, slept);
        }
    }

    /// Get whether an order of the pool serves this host alone.
    pub(super) fn is_degraded(&self, pool: &PoolName) -> bool {
        let mut degraded = self.owned.iter().filter(|owned| owned.degraded);
        degraded.any(|owned| owned.shard.pool == *pool)
    }

    /// Get whether the shard's order serves this host alone.
    pub(super) fn is_degraded_shard(&self, shard: &PoolShard) -> bool {
        let found = self.owned.iter().find(|owned| owned.shard == *shard);
        found.is_some_and(|owned| owned.degraded)
    }

    /// Take this part of what lies in the buckets of the shard's quotas out of
    /// them; nothing where its order serves this host alone.
    pub(super) fn hand_over_quotas(
        &mut self,
        now: Moment,
        shard: &PoolShard,
        part: f64,
    ) -> Vec<QuotaLevel> {
        let mut owned = self.owned.iter_mut().filter(|owned| !owned.degraded);
        let found = owned.find(|owned| owned.shard == *shard);
        found.map_or_else(Vec::new, |owned| owned.owner.hand_over_quotas(now, part))
    }

    /// Get the shard's targets that get no normal work now.
    pub(super) fn failed_targets(&self, now: Moment, shard: &PoolShard) -> Vec<FailedTarget> {
        let found = self.owned.iter().find(|owned| owned.shard == *shard);
        found.map_or_else(Vec::new, |owned| owned.owner.failed_targets(now))
    }

    /// Get the hosts with asks that wait for the shard.
    pub(super) fn asking_hosts(&self, shard: &PoolShard) -> Vec<HostName> {
        let found = self.owned.iter().find(|owned| owned.shard == *shard);
        found.map_or_else(Vec::new, |owned| owned.owner.queued_hosts())
    }

    /// Begin or end to order a shard for everyone.
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

    /// Begin or end to order a shard for this host alone.
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
        let me = self.me.clone();
        let mut owner = ShardOwner::new(me, shard.clone(), self.opts.clone(), now);
        let targets = shard_targets(shard, degraded, publication);
        // A new owner has nothing queued, so new targets lead to no action.
        owner.handle(now, OwnerEvent::Targets(targets));
        let rates = quota_rates(degraded, publication, &self.opts.quota_tolerance);
        owner.handle(now, OwnerEvent::Quotas(rates));
        // A degraded owner has its host's fraction of the quotas already.
        if !degraded {
            owner.handle(now, OwnerEvent::Hosts(live_hosts(publication)));
        }
        self.owned.push(OwnedShard {
            shard: shard.clone(),
            owner,
            degraded,
        });
    }

    /// Tell every owner its targets after a publication.
    pub(super) fn retarget(&mut self, now: Moment, publication: &Publication) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        for owned in &mut self.owned {
            let targets = shard_targets(&owned.shard, owned.degraded, publication);
            actions.extend(owned.owner.handle(now, OwnerEvent::Targets(targets)));
            let rates = quota_rates(owned.degraded, publication, &self.opts.quota_tolerance);
            actions.extend(owned.owner.handle(now, OwnerEvent::Quotas(rates)));
            if !owned.degraded {
                let hosts = OwnerEvent::Hosts(live_hosts(publication));
                actions.extend(owned.owner.handle(now, hosts));
            }
        }
        actions
    }

    /// Get the quotas that the owners keep.
    pub(super) fn quota_rates(&self, publication: &Publication) -> Vec<(AccountName, QuotaRate)> {
        quota_rates(false, publication, &self.opts.quota_tolerance)
    }

    /// Get the engines to poll, where they changed.
    pub(super) fn changed_watch(&mut self, publication: &Publication) -> Option<Vec<PoolTarget>> {
        let mut watched = Vec::new();
        for owned in &self.owned {
            let pool = publication.pools.pool(&owned.shard.pool);
            if pool.is_some_and(|pool| pool.kind == PoolKind::Engine) {
                watched.extend(shard_targets(&owned.shard, false, publication));
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

fn live_hosts(publication: &Publication) -> Vec<HostName> {
    let hosts = publication.hosts.hosts.iter();
    let live = hosts.filter(|host| host.standing == Standing::Live);
    live.map(|host| host.name.clone()).collect()
}

/// Get the quotas that an owner keeps: whole, or this host's fraction of them
/// where it orders for itself alone.
fn quota_rates(
    degraded: bool,
    publication: &Publication,
    tolerance: &QuotaTolerance,
) -> Vec<(AccountName, QuotaRate)> {
    let owners = match degraded {
        true => publication.hosts.hosts.len(),
        false => 1,
    };
    let accounts = publication.routes.book().accounts.iter();
    accounts
        .filter(|account| account.quota.rate > 0)
        .map(|account| (account.name.clone(), tolerance.rate(&account.quota, owners)))
        .collect()
}

/// Get a shard's targets that may get new work. A degraded owner sees each
/// target with its host's fraction of the tokens only: every host of a
/// partition that lost all candidates admits at once.
fn shard_targets(shard: &PoolShard, degraded: bool, publication: &Publication) -> Vec<PoolTarget> {
    let Some(pool) = publication.pools.pool(&shard.pool) else {
        return Vec::new();
    };
    let hosts = publication.hosts.hosts.len().max(1) as u32;
    let in_shard = |target: &&PoolTarget| match &shard.domain {
        Some(domain) => target.domain == *domain,
        None => true,
    };
    let mut targets: Vec<PoolTarget> = pool
        .targets
        .iter()
        .filter(in_shard)
        .filter(|target| !publication.target_is_leaving(&target.name))
        .cloned()
        .collect();
    if degraded {
        for target in &mut targets {
            target.token_limit = (target.token_limit / hosts).max(1);
            target.slots = target.slots.map(|slots| (slots / hosts).max(1));
        }
    }
    targets
}
