//! Provides the owner of a pool shard, which orders the shard's permit
//! requests.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::cold_targets::ColdTarget;
use crate::host::{HostIncarnation, HostName};
use crate::permit::{KeyClaim, OwnerMessage, OwnerReply, PermitRequest, QuotaLevel};
use crate::pool::PoolShard;
use crate::refusal::RefusalReason;
use crate::request::{AttemptId, TokenCost};
use crate::rules::Tier;
use crate::stream_table::{StreamId, StreamOrigin, StreamTable};
use crate::target::TargetName;

use super::admission::attached_hosts::AttachedHosts;
use super::admission::cost_sample::CostSample;
use super::admission::key_table::{KeyTable, KeyVerdict};
use super::admission::quota::QuotaBuckets;
use super::admission::quota_recovery::QuotaRecovery;
use super::admission::returning_calls::ReturningCalls;
use super::admission::stream_requests::StreamRequests;
use super::admission::wait_limit::WaitChecks;
use super::learning::event_rate::EventRate;
use super::learning::host_connections::HostConnections;
use super::learning::pool_paces::PoolPaces;
use super::learning::run_estimate::{RunEstimate, RunSums};
use super::learning::size_ends::{RequestEnd, SizeTable};
use super::options::OwnerOptions;
use super::order::queue::{Placement, QueuedRequest, RequestQueue};
use super::order::size_floor::SizeFloor;
use super::order::wait_plan::WaitPlan;
use super::placement::permit_table::PermitTable;
use super::placement::prefix_table::PrefixTable;
use super::placement::routing::TargetSet;
use super::placement::slot_dispatch::longest_run_ms;
use super::{OwnerAction, OwnerEvent};

/// The interval at which a non-empty queue is dispatched without an event:
/// reported load decays and pauses of targets end by time alone.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The window over which permit releases are counted. Runs last up to some seconds: a
/// longer window would react to a burst too late, and a shorter one would be too noisy.
const RELEASE_WINDOW: Duration = Duration::from_secs(1);

/// The retry-after time if no target is allowed: the set of targets seldom
/// changes faster.
pub(super) const NO_TARGET_RETRY: Duration = Duration::from_secs(5);

/// An `OwnerCounts` is the counters of an owner since it took over.
#[derive(Debug, Default)]
pub(super) struct OwnerCounts {
    pub(super) granted: u64,
    pub(super) connections_reused: u64,
    pub(super) connections_opened: u64,
    pub(super) preempted: u64,
    pub(super) reclaimed: u64,
    pub(super) keys_known: u64,
    pub(super) refusals: BTreeMap<RefusalReason, u64>,
}

/// A `ShardOwner` queues the permit requests of one pool shard for all entry
/// hosts and grants permits.
#[derive(Debug)]
pub struct ShardOwner {
    pub(super) identity: HostIncarnation,
    pub(super) shard: PoolShard,
    pub(super) opts: OwnerOptions,
    pub(super) now: Moment,
    pub(super) queue: RequestQueue,
    pub(super) targets: TargetSet,
    pub(super) targets_known: bool,
    /// Whether all targets publish their slots.
    slots_known: bool,
    /// The shard's speed, and when it was computed.
    pub(super) recent_speed: Cell<Option<(Moment, f64)>>,
    pub(super) permits: PermitTable,
    pub(super) keys: KeyTable,
    pub(super) prefixes: PrefixTable,
    pub(super) costs: CostSample,
    pub(super) quotas: QuotaBuckets,
    pub(super) attached_hosts: AttachedHosts,
    /// The targets whose request rate is limited.
    pub(super) limited: BTreeSet<TargetName>,
    /// The cold targets of the pool.
    pub(super) cold: BTreeMap<TargetName, ColdTarget>,
    /// The targets that said that they leave, with their starts.
    pub(super) leaving: BTreeMap<TargetName, Option<u64>>,
    /// The versions at which streams began.
    pub(super) streams: StreamTable,
    /// The streams recorded since they were last reported to other hosts.
    pub(super) unshared_streams: Vec<StreamId>,
    pub(super) stream_requests: StreamRequests,
    /// The start of this host's process in Unix milliseconds, if known.
    pub(super) process_start_ms: Option<u64>,
    /// The longest time that a call to the pool may take, in milliseconds.
    pub(super) longest_call_ms: u64,
    /// The calls that return after a refusal.
    pub(super) returning: ReturningCalls,
    pub(super) wait_checks: WaitChecks,
    pub(super) acting_since: Moment,
    /// The number of hosts that share the limits of an owner that serves its own host
    /// only.
    pub(super) limit_hosts: u32,
    /// The quota usage reports of entry hosts; `None` once these are no longer
    /// accepted.
    pub(super) recovery: Option<QuotaRecovery>,
    pub(super) release_rate: EventRate,
    pub(super) host_connections: HostConnections,
    pub(super) paces: PoolPaces,
    pub(super) sequence: u64,
    pub(super) preempt_check_at: Moment,
    pub(super) counts: OwnerCounts,
    pub(super) size_floor: SizeFloor,
    /// How the requests of each size ended.
    pub(super) sizes: SizeTable,
}

impl ShardOwner {
    /// Create the owner of `shard` that takes over now.
    pub fn new(
        identity: HostIncarnation,
        shard: PoolShard,
        opts: OwnerOptions,
        now: Moment,
    ) -> Self {
        ShardOwner {
            identity,
            shard,
            now,
            queue: RequestQueue::with_shares(opts.scheduling.account_share_half_life),
            targets: TargetSet::new(),
            targets_known: false,
            slots_known: true,
            recent_speed: Cell::new(None),
            permits: PermitTable::default(),
            keys: KeyTable::new(now, opts.key_retention, opts.max_keys),
            prefixes: PrefixTable::new(opts.max_prefixes, opts.prefix_lifetime),
            costs: CostSample::default(),
            quotas: QuotaBuckets::default(),
            attached_hosts: AttachedHosts::default(),
            limited: BTreeSet::new(),
            cold: BTreeMap::new(),
            leaving: BTreeMap::new(),
            streams: StreamTable::default(),
            unshared_streams: Vec::new(),
            stream_requests: StreamRequests::default(),
            process_start_ms: None,
            longest_call_ms: 0,
            returning: ReturningCalls::new(now),
            wait_checks: WaitChecks::default(),
            acting_since: now,
            limit_hosts: 1,
            recovery: Some(QuotaRecovery::new(now)),
            release_rate: EventRate::over(RELEASE_WINDOW),
            host_connections: HostConnections::of_opts(&opts),
            paces: PoolPaces::new(opts.scheduling.slow_moment),
            sequence: 0,
            preempt_check_at: now,
            counts: OwnerCounts::default(),
            size_floor: SizeFloor::default(),
            sizes: SizeTable::default(),
            opts,
        }
    }

    /// Set new options. Queued requests and granted permits stay; shedding
    /// applies the new limits with the next request.
    pub fn set_opts(&mut self, opts: OwnerOptions) {
        self.keys.set_bounds(opts.key_retention, opts.max_keys);
        self.queue
            .set_share_half_life(opts.scheduling.account_share_half_life);
        if HostConnections::is_outdated(&self.opts, &opts) {
            self.host_connections = HostConnections::of_opts(&opts);
        }
        if opts.scheduling.slow_moment != self.opts.scheduling.slow_moment {
            self.set_slow_moment(opts.scheduling.slow_moment);
        }
        self.opts = opts;
    }

    /// Process one event and get the resulting actions.
    pub fn handle(&mut self, now: Moment, event: OwnerEvent) -> Vec<OwnerAction> {
        if let Some(actions) = self.handle_briefly(now, &event) {
            return actions;
        }
        let mut actions = Vec::new();
        self.now = now;
        if !matches!(
            event,
            OwnerEvent::Message(_, OwnerMessage::PermitRequest(_))
        ) {
            self.recent_speed.set(None);
        }
        self.quotas
            .set_portion(now, self.attached_hosts.quota_portion(now));
        self.adjust_pace(now);
        self.refresh_paces(now);
        self.review_cold(now, &mut actions);
        self.keys.expire(now);
        self.streams.expire(now);
        self.expire_promises(now, &mut actions);
        self.expire_requests(now, &mut actions);
        self.check_waits(now, &mut actions);
        self.queue.promote_due(now);
        self.queue.demote_late(now);
        let incoming = match &event {
            OwnerEvent::Message(_, OwnerMessage::PermitRequest(request)) => {
                Some((request.attempt, request.tier))
            }
            _ => None,
        };
        match event {
            OwnerEvent::Message(host, message) => {
                self.record_attached_host(now, &host, &message);
                self.on_message(now, host, message, &mut actions);
            }
            // Handled above.
            OwnerEvent::Overdue(..) => {}
            OwnerEvent::Targets(targets) => self.on_targets(now, targets, &mut actions),
            OwnerEvent::DepartingTargets(targets) => self.on_departing(targets),
            OwnerEvent::ColdTargets(cold) => self.on_cold_targets(now, cold, &mut actions),
            OwnerEvent::Quotas(rates) => self.quotas.set_rates(now, rates),
            OwnerEvent::Load(name, report) => {
                if let Some(load) = self.targets.get_mut(&name) {
                    load.report(now, &report);
                }
            }
            OwnerEvent::Prefix(name, prefix, held) => {
                if held && self.targets.contains_key(&name) {
                    self.prefixes.record(now, &name, prefix);
                } else {
                    self.prefixes.remove(&name, prefix);
                }
            }
            OwnerEvent::CacheRead(name, parts) => self.on_cache_read(&name, parts.as_deref()),
            OwnerEvent::Hosts(hosts) => {
                let overlap = self.opts.owner_overlap;
                self.attached_hosts
                    .set_hosts(now, &self.identity.host, hosts, overlap);
            }
            OwnerEvent::SilentHosts(silent) => {
                let overlap = self.opts.owner_overlap;
                if self.attached_hosts.set_silent(now, silent, overlap) {
                    let portion = self.attached_hosts.quota_portion(now);
                    self.quotas.cap(now, portion);
                }
            }
            OwnerEvent::HostTerminated(host, incarnation) => {
                self.attached_hosts
                    .detach(now, &host, self.opts.owner_overlap);
                self.host_connections.drop_host(&host);
                self.drop_incarnation(now, incarnation);
            }
            OwnerEvent::HandedOver => {
                self.recovery = None;
                self.attached_hosts.attach_all();
            }
            OwnerEvent::FailedOver => self.attached_hosts.attach_all(),
            OwnerEvent::Stopping => self.attached_hosts.stop(),
            OwnerEvent::Tick => {}
        }
        self.read_first_caches(now, &mut actions);
        self.review_held_streams(now, &mut actions);
        self.dispatch(now, &mut actions);
        if let Some((attempt, tier)) = incoming {
            let infeasible = self.shed_infeasible(now, &attempt, &mut actions);
            self.schedule_wait_check(now, attempt);
            if self.shed(now, tier, &mut actions) || infeasible {
                // Targets may have been reserved for a request that was shed.
                self.dispatch(now, &mut actions);
            }
        }
        self.preempt(now, &mut actions);
        self.audit(now, &mut actions);
        self.log_sizes(now, &mut actions);
        actions
    }

    /// Handle an event that changes neither the queue nor the targets, without looking at
    /// them; `None` for any other event.
    fn handle_briefly(&mut self, now: Moment, event: &OwnerEvent) -> Option<Vec<OwnerAction>> {
        if self.absorb_usual_paces(now, event) {
            return Some(Vec::new());
        }
        match event {
            OwnerEvent::Message(
                host,
                OwnerMessage::Signature {
                    shard,
                    attempt,
                    signature,
                },
            ) if *shard == self.shard => {
                self.on_signature(host.clone(), *attempt, *signature);
                Some(Vec::new())
            }
            OwnerEvent::Message(host, OwnerMessage::PermitRequest(request))
                if request.shard == self.shard =>
            {
                self.answer_copy(now, host, &request.attempt)
            }
            OwnerEvent::Message(_, OwnerMessage::Withdraw { shard, attempt })
                if *shard == self.shard && self.queue.get(attempt).is_none() =>
            {
                self.stream_requests.withdraw(attempt);
                Some(Vec::new())
            }
            OwnerEvent::Overdue(host, request) => Some(self.refuse_overdue(now, host, request)),
            _ => None,
        }
    }

    /// Answer a permit request that was received before; `None` if it is a new one. A
    /// second permit would hold a slot without using it.
    pub(super) fn answer_copy(
        &mut self,
        now: Moment,
        host: &HostName,
        attempt: &AttemptId,
    ) -> Option<Vec<OwnerAction>> {
        let permit = self.permits.of_attempt(attempt);
        let reply = permit.map(|permit| self.granted_reply(permit));
        if reply.is_none() && self.queue.get(attempt).is_none() {
            return None;
        }
        self.attached_hosts.attach(now, host);
        self.stream_requests.take(host, attempt);
        let reply = reply.map(|reply| OwnerAction::Reply(host.clone(), reply));
        Some(reply.into_iter().collect())
    }

    /// Record that this process was paused. Another owner may have admitted
    /// requests meanwhile, and entry hosts may use that one now.
    pub fn on_resumed(&mut self, now: Moment, paused_for: Duration) {
        self.quotas.exclude_pause(paused_for);
        let overlap = self.opts.owner_overlap;
        self.attached_hosts
            .detach_others(now, &self.identity.host, overlap);
    }

    /// Withdraw this fraction of the tokens left in the quotas' buckets, to
    /// pass them to the next owner.
    pub fn hand_over_quotas(&mut self, now: Moment, fraction: f64) -> Vec<QuotaLevel> {
        self.quotas.withdraw(now, fraction)
    }

    /// Get the claims to hand over to the next owner.
    pub fn granted_claims(&self) -> Vec<KeyClaim> {
        self.keys.granted_claims().collect()
    }

    /// Get whether the idempotency key of a claim is known.
    pub fn knows_key(&self, claim: &KeyClaim) -> bool {
        self.keys.contains(claim.key)
    }

    /// Get when the owner wants its next tick.
    pub fn next_wake(&self) -> Moment {
        let mut wake = self.permits.next_audit().unwrap_or(Moment::NEVER);
        if let Some(deadline) = self.queue.first_deadline() {
            wake = wake.min(deadline);
            let on_time_end = self.queue.first_on_time_end();
            wake = wake.min(on_time_end.unwrap_or(Moment::NEVER));
            wake = wake.min(self.now.plus(QUEUE_POLL_INTERVAL));
            wake = wake.min(self.wait_checks.next().unwrap_or(Moment::NEVER));
        }
        if !self.stream_requests.is_empty() {
            wake = wake.min(self.now.plus(QUEUE_POLL_INTERVAL));
        }
        wake.min(self.first_cache_read().unwrap_or(Moment::NEVER))
    }

    /// Record that a host uses this owner if it requests a permit or reports
    /// what it holds. Other messages do not show it: a release may be sent long
    /// after its host has switched owners.
    fn record_attached_host(&mut self, now: Moment, host: &HostName, message: &OwnerMessage) {
        if matches!(
            message,
            OwnerMessage::PermitRequest(_) | OwnerMessage::Resync { .. }
        ) {
            self.attached_hosts.attach(now, host);
        }
    }

    fn on_message(
        &mut self,
        now: Moment,
        host: HostName,
        message: OwnerMessage,
        actions: &mut Vec<OwnerAction>,
    ) {
        if *message.shard() != self.shard {
            let shard = message.shard().clone();
            actions.push(OwnerAction::Reply(host, OwnerReply::NotOwner { shard }));
            return;
        }
        match message {
            OwnerMessage::PermitRequest(request) => {
                self.on_permit_request(now, host, *request, actions)
            }
            OwnerMessage::Withdraw { attempt, .. } => {
                self.stream_requests.withdraw(&attempt);
                if let Some(queued) = self.queue.remove(&attempt) {
                    let request = &queued.request;
                    let end = RequestEnd::Withdrawn;
                    self.sizes.record(now, request.tier, request.cost, end);
                    self.release_unused(request);
                }
            }
            OwnerMessage::Release { release, .. } => self.on_release(now, &release, actions),
            OwnerMessage::Resync { held, claims, .. } => {
                self.on_resync(now, host, held, &claims, actions);
            }
            OwnerMessage::NotHeld { permits, .. } => {
                self.on_not_held(now, &host, &permits, actions);
            }
            OwnerMessage::QuotaLevels { levels, .. } => self.quotas.deposit(now, &levels),
            OwnerMessage::QuotaUse { hosts, used, .. } => {
                self.on_quota_use(now, host, hosts, &used);
            }
            OwnerMessage::TargetLimits {
                hosts,
                permit,
                limits,
                ..
            } => self.on_target_limits(now, hosts, permit, &limits),
            OwnerMessage::FailedTargets { targets, .. } => {
                self.on_failed_targets(now, &targets, actions);
            }
            OwnerMessage::BrittleTargets { targets, .. } => {
                for report in targets {
                    if let Some(load) = self.targets.get_mut(&report.target) {
                        load.set_brittle(report.refusals_per_second);
                    }
                }
            }
            OwnerMessage::LeavingTargets { targets, .. } => {
                self.on_leaving_targets(targets, actions);
            }
            OwnerMessage::Stream {
                attempt, origin, ..
            } => self.on_stream(host, attempt, origin, actions),
            OwnerMessage::StreamVersions { streams, .. } => self.streams.merge(now, &streams),
            OwnerMessage::Keys { claims, .. } => {
                for claim in &claims {
                    self.keys.hold(now, claim);
                }
            }
            OwnerMessage::AccountUse { accounts, .. } => self.on_account_use(now, &accounts),
            OwnerMessage::TargetPaces { targets, .. } => self.on_target_paces(now, &targets),
            OwnerMessage::Signature {
                attempt, signature, ..
            } => self.on_signature(host, attempt, signature),
            OwnerMessage::Promises { promises, .. } => self.on_promises(now, promises),
            // Handled by the owner's key guard.
            OwnerMessage::OwnerConfirmed { .. } => {}
        }
    }

    fn on_permit_request(
        &mut self,
        now: Moment,
        host: HostName,
        request: PermitRequest,
        actions: &mut Vec<OwnerAction>,
    ) {
        let origin = self.stream_requests.take(&host, &request.attempt);
        if request.deadline_ms == 0 {
            let retry_after = self.drain_time(now, request.tier);
            let reason = RefusalReason::DeadlinePassed;
            self.refuse(host, request.attempt, reason, retry_after, actions);
            return;
        }
        if let Some(claim) = &request.claim {
            match self.keys.check(now, claim) {
                KeyVerdict::Clear => {}
                KeyVerdict::HeldBy(holder) => {
                    return self.reply_key_held(host, request.attempt, holder, actions);
                }
                KeyVerdict::Unknown(span) => {
                    let reason = RefusalReason::OutcomeUnknown;
                    self.refuse(host, request.attempt, reason, span, actions);
                    return;
                }
            }
        }
        match origin {
            Some(origin) => self.place_stream(now, host, request, origin, actions),
            None => self.enqueue(now, host, request, None, actions),
        }
    }

    pub(super) fn enqueue(
        &mut self,
        now: Moment,
        host: HostName,
        request: PermitRequest,
        origin: Option<StreamOrigin>,
        actions: &mut Vec<OwnerAction>,
    ) {
        let tokens = request.cost.total();
        // If the targets' slots are known, a long request takes one slot like
        // any other and needs no reserved capacity.
        let long = self.costs.is_long(tokens) && !self.has_slots();
        let version = origin.as_ref().and_then(StreamOrigin::version).cloned();
        let placement = Placement::of(&request, long).with_version(version);
        // Fail closed: a request that no target may serve is refused now, and
        // never sent to a failure domain outside its rule. Before the first
        // list of targets that cannot be decided.
        if self.targets_known && self.is_unplaceable(&placement) {
            let reason = RefusalReason::NoTarget;
            self.refuse(host, request.attempt, reason, NO_TARGET_RETRY, actions);
            return;
        }
        let taken = self
            .quotas
            .try_take(now, &request.account, request.quota_units);
        if let Err(retry_after) = taken {
            let reason = RefusalReason::OverQuota;
            self.refuse(host, request.attempt, reason, retry_after, actions);
            return;
        }
        self.costs.add(now, tokens);
        if let Some(claim) = &request.claim {
            self.keys.claim(now, claim);
        }
        let sums = self.run_sums(request.cost);
        let placement = match self.has_slots() {
            true => placement.with_slow_quarters(sums.slow_quarters(longest_run_ms(&request))),
            false => placement,
        };
        let estimate = sums.estimate();
        let earlier = self.redeem_promise(now, &host, &request, &estimate);
        if !earlier.is_return() {
            self.size_floor.record_new(now, request.tier, estimate.run);
        }
        let run = self.planned_run(request.tier, &estimate);
        let plan = WaitPlan::new(now, &request, estimate.first_token, run);
        let plan = match earlier.promise {
            Some(_) => plan.until_last_start(run),
            None => plan,
        };
        let queued = QueuedRequest {
            request,
            host,
            plan: self.with_version_timeout(now, plan, &placement),
            placement: Arc::new(placement),
            origin,
            earlier,
        };
        let slot_time = self.slot_time(queued.request.cost, estimate.run);
        self.queue.push_costing(now, queued, slot_time);
    }

    /// Get whether all targets publish their slots, the number of requests that
    /// they serve concurrently.
    pub(super) fn has_slots(&self) -> bool {
        self.slots_known
    }

    /// Update what is known of the targets as a whole after a change of them.
    pub(super) fn review_slots(&mut self) {
        let mut targets = self.targets.values();
        self.slots_known = targets.all(|load| load.target().slots.is_some());
    }

    /// Get the run time by which the latest start of a request is planned: that of the mean
    /// target, or of the targets that suit it if requests of its size get too little.
    pub(super) fn planned_run(&self, tier: Tier, estimate: &RunEstimate) -> Duration {
        match self.size_floor.is_below(tier, estimate.run) {
            true => estimate.quick_run,
            false => estimate.run,
        }
    }

    /// Get the predicted times of a request at the targets that work.
    fn run_sums(&self, cost: TokenCost) -> RunSums {
        let working = self.targets.values();
        let working = working.filter(|load| !load.back_off().is_active() && !load.is_draining());
        let mut sums = RunSums::default();
        for load in working {
            sums.add(load, cost);
        }
        sums
    }
}
