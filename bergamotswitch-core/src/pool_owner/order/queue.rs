//! Provides the queue of permit requests: strict tiers, fair queuing within
//! each tier, and indexes for deadlines, shedding and withdrawal.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::failure_domain::DomainName;
use crate::host::{HostName, Incarnation};
use crate::permit::PermitRequest;
use crate::pool_owner::admission::account_shares::{AccountShares, UseCharge};
use crate::pool_owner::admission::return_promises::RedeemedPromise;
use crate::pool_owner::admission::returning_calls::ReturnState;
use crate::pool_owner::placement::slot_routing::WantedVersions;
use crate::request::AttemptId;
use crate::rules::Tier;
use crate::stream_table::StreamOrigin;
use crate::target::{PoolTarget, TargetName, TargetVersion};

use super::fair_queue::{AccountBacklog, QueueRank, ServedCharge, TierEntry, TierQueue};
use super::tier_floor::{TierFloor, TierPosition};
use super::wait_plan::WaitPlan;

/// A `Placement` is the constraints on where a request may be sent. Requests of
/// the same placement are blocked together, so that a full failure domain
/// does not block requests for others.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Placement {
    /// The allowed failure domains; all if empty.
    pub domains: Vec<DomainName>,
    /// The targets that are used only if no other one is allowed.
    pub avoid: Vec<TargetName>,
    /// Whether the request is long compared with the others.
    pub long: bool,
    /// The time-to-first-token limit in milliseconds while it can be met:
    /// requests of the same limit wait for the same targets.
    pub first_token_limit_ms: Option<u32>,
    /// The only version of the targets' software that may serve the request, if its stream
    /// has begun.
    pub version: Option<TargetVersion>,
    /// How many quarters of the targets are predicted to be too slow for the request.
    /// One that waits for a faster target does not block those that fit the others.
    pub slow_quarters: u8,
}

impl Placement {
    /// Get whether it is a short request that may be sent to any target.
    pub fn is_unrestricted(&self) -> bool {
        !self.long
            && self.domains.is_empty()
            && self.avoid.is_empty()
            && self.first_token_limit_ms.is_none()
            && self.version.is_none()
    }

    /// Get whether a target is allowed, by its failure domain and its version.
    pub fn allows(&self, target: &PoolTarget) -> bool {
        let in_domains = self.domains.is_empty() || self.domains.contains(&target.domain);
        in_domains
            && self
                .version
                .as_ref()
                .is_none_or(|version| *version == target.version)
    }

    /// Get the placement of a request.
    pub fn of(request: &PermitRequest, long: bool) -> Self {
        let mut domains = request.domains.clone();
        domains.sort();
        domains.dedup();
        let mut avoid = request.avoid.clone();
        avoid.sort();
        avoid.dedup();
        Placement {
            domains,
            avoid,
            long,
            first_token_limit_ms: request.first_answer_ms,
            version: None,
            slow_quarters: 0,
        }
    }

    /// Set how many quarters of the targets are too slow for the request.
    pub fn with_slow_quarters(mut self, quarters: u8) -> Self {
        self.slow_quarters = quarters;
        self
    }

    /// Set the only version that may serve the request.
    pub fn with_version(mut self, version: Option<TargetVersion>) -> Self {
        self.version = version;
        self
    }

    /// Get the placement of the request once it is late.
    fn late(&self) -> Self {
        Placement {
            first_token_limit_ms: None,
            ..self.clone()
        }
    }
}

/// A `QueuedRequest` is a permit request that waits in the queue.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The permit request.
    pub request: PermitRequest,
    /// The entry host that sent it.
    pub host: HostName,
    /// How long the request may wait, and its sort key.
    pub plan: WaitPlan,
    /// Where the request may be sent.
    pub placement: Arc<Placement>,
    /// The version that began the stream, if the request is for a resumable one.
    pub origin: Option<StreamOrigin>,
    /// What is known of an earlier refusal of the call.
    pub earlier: ReturnState,
}

impl QueuedRequest {
    /// Get the promise that the call redeemed.
    pub fn promise(&self) -> Option<&RedeemedPromise> {
        self.earlier.promise.as_ref()
    }

    fn class(&self, now: Moment) -> QueueClass {
        let class = match self.promise() {
            None => ReturnClass::New,
            Some(promise) if promise.place_at <= now => ReturnClass::Promised,
            Some(_) => ReturnClass::Early,
        };
        (self.request.tier, class)
    }
}

/// A `ReturnClass` is the precedence of a request within its tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ReturnClass {
    /// The request redeems a promise whose place is due.
    Promised,
    /// The request redeems no promise.
    New,
    /// The request redeems a promise and waits for its place. Until then it takes only
    /// slots that new requests leave.
    Early,
}

/// A `QueueClass` is the requests that share one fair queue, in the order of service.
type QueueClass = (Tier, ReturnClass);

/// A `StoredRequest` is a queued request with its position in the order.
#[derive(Debug)]
struct StoredRequest {
    queued: QueuedRequest,
    entry: TierEntry,
    class: QueueClass,
}

/// A `RequestQueue` is the queue of a shard.
#[derive(Debug, Default)]
pub struct RequestQueue {
    tiers: BTreeMap<QueueClass, TierQueue>,
    requests: HashMap<AttemptId, StoredRequest>,
    placements: BTreeMap<Arc<Placement>, usize>,
    tokens: u64,
    sequence: u64,
    /// When requests become late.
    on_time_ends: BTreeSet<(Moment, AttemptId)>,
    /// When the places of requests are due that redeem a promise early.
    places: BTreeSet<(Moment, AttemptId)>,
    floor: TierFloor,
    /// The numbers of requests that need one version, by tier.
    version_requests: BTreeMap<TargetVersion, BTreeMap<Tier, usize>>,
    /// The recent use of accounts, if their shares are remembered.
    pub(in crate::pool_owner) shares: Option<AccountShares>,
}

/// The maximum number of queued requests of a tier below its floor that are
/// exempt from shedding: such a tier gets the next slots, so a few are enough
/// to fill them.
const MAX_WAITING_BELOW_FLOOR: usize = 4;

/// The maximum number of accounts whose use is remembered, counted in each tier. With
/// 4,800 accounts, all of them fit; an entry takes about 150 bytes.
const MAX_SHARES: usize = 8_192;

impl RequestQueue {
    /// Create an empty queue that remembers the use of accounts with this half-life.
    pub(in crate::pool_owner) fn with_shares(half_life: Option<Duration>) -> Self {
        let mut queue = RequestQueue::default();
        queue.set_share_half_life(half_life);
        queue
    }

    /// Get the number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Get whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Get the tokens of all queued requests.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Get the tokens of the queued requests of `tier` and higher ones.
    pub fn tokens_through(&self, tier: Tier) -> u64 {
        let tiers = self.tiers.range(..=(tier, ReturnClass::New));
        tiers.map(|(_, queue)| queue.tokens()).sum()
    }

    /// Get the number of queued requests of `tier` and higher ones.
    pub fn requests_through(&self, tier: Tier) -> usize {
        let tiers = self.tiers.range(..=(tier, ReturnClass::New));
        tiers.map(|(_, queue)| queue.requests()).sum()
    }

    /// Get the tiers with their numbers of requests and tokens.
    pub fn tiers(&self) -> impl Iterator<Item = (Tier, usize, u64)> {
        let mut tiers = BTreeMap::<Tier, (usize, u64)>::new();
        for ((tier, _), queue) in &self.tiers {
            let (requests, tokens) = tiers.entry(*tier).or_default();
            *requests += queue.requests();
            *tokens += queue.tokens();
        }
        let tiers = tiers.into_iter();
        tiers.map(|(tier, (requests, tokens))| (tier, requests, tokens))
    }

    /// Get whether requests of tiers below `tier` are queued.
    pub(in crate::pool_owner) fn has_below(&self, tier: Tier) -> bool {
        let lowest = self.tiers.last_key_value();
        lowest.is_some_and(|((lowest, _), _)| *lowest > tier)
    }

    fn queues_of(&self, tier: Tier) -> impl Iterator<Item = &TierQueue> {
        self.tiers.range(classes_of(tier)).map(|(_, queue)| queue)
    }

    /// Get a queued request.
    pub fn get(&self, attempt: &AttemptId) -> Option<&QueuedRequest> {
        self.requests.get(attempt).map(|stored| &stored.queued)
    }

    /// Get the placements of the queued requests.
    pub fn placements(&self) -> impl Iterator<Item = &Arc<Placement>> {
        self.placements.keys()
    }

    /// Get the attempts whose requests meet `wanted`, in ascending order. It
    /// checks each request, so it is for rare events only.
    pub fn find(&self, wanted: impl Fn(&QueuedRequest) -> bool) -> Vec<AttemptId> {
        let requests = self.requests.iter();
        let found = requests.filter(|(_, stored)| wanted(&stored.queued));
        let mut attempts: Vec<AttemptId> = found.map(|(attempt, _)| *attempt).collect();
        attempts.sort();
        attempts
    }

    /// Get the queued attempts of one incarnation of an entry host.
    pub fn of_incarnation(&self, incarnation: Incarnation) -> Vec<AttemptId> {
        self.find(|queued| queued.request.attempt.request.incarnation == incarnation)
    }

    /// Add a request; nothing changes if its attempt is queued already.
    pub fn push(&mut self, now: Moment, queued: QueuedRequest) {
        self.push_costing(now, queued, Duration::ZERO);
    }

    /// Add a request that is estimated to use a slot for `slot_time`.
    pub(in crate::pool_owner) fn push_costing(
        &mut self,
        now: Moment,
        queued: QueuedRequest,
        slot_time: Duration,
    ) {
        let attempt = queued.request.attempt;
        if self.requests.contains_key(&attempt) {
            return;
        }
        self.sequence += 1;
        let waited = i64::from(queued.request.waited_ms) * 1000;
        let entry = TierEntry {
            account: queued.request.account.clone(),
            share: queued.request.share,
            tokens: queued.request.cost.total(),
            slot_micros: slot_time.as_micros() as u64,
            placement: queued.placement.clone(),
            expires: queued.plan.give_up_at,
            rank: QueueRank {
                late: false,
                sort_key: queued.plan.sort_key,
                arrived: now.as_micros() as i64 - waited,
                sequence: self.sequence,
                attempt,
            },
        };
        let tier = queued.request.tier;
        if let Some(shares) = &mut self.shares {
            let cost = slot_time.as_secs_f64();
            shares.record_demand(now, tier, &entry.account, entry.share, cost);
        }
        let class = queued.class(now);
        self.push_entry(class, &entry);
        if let Some(promise) = queued.promise()
            && promise.place_at > now
        {
            self.places.insert((promise.place_at, attempt));
        }
        *self.placements.entry(entry.placement.clone()).or_default() += 1;
        self.tokens += entry.tokens;
        self.count_version(&queued, 1);
        if queued.plan.on_time_until != Moment::NEVER {
            let end = (queued.plan.on_time_until, attempt);
            self.on_time_ends.insert(end);
        }
        self.requests.insert(
            attempt,
            StoredRequest {
                queued,
                entry,
                class,
            },
        );
    }

    /// Move the requests whose promised places are due before new ones of their tier.
    pub(in crate::pool_owner) fn promote_due(&mut self, now: Moment) {
        while let Some((place_at, attempt)) = self.places.first().copied()
            && place_at <= now
        {
            self.places.pop_first();
            let Some(stored) = self.requests.get_mut(&attempt) else {
                continue;
            };
            remove_entry(
                &mut self.tiers,
                stored.class,
                &stored.entry,
                ServedCharge::None,
            );
            stored.class = stored.queued.class(now);
            let (class, entry) = (stored.class, stored.entry.clone());
            self.push_entry(class, &entry);
        }
    }

    fn push_entry(&mut self, class: QueueClass, entry: &TierEntry) {
        let shares = self.shares.as_ref();
        let start = shares.map(|shares| shares.start(class.0, &entry.account));
        let queue = self.tiers.entry(class);
        let queue = queue.or_insert_with(|| TierQueue::new(start.is_some()));
        queue.push(entry, start);
    }

    /// Set the half-life of the remembered use of accounts; `None` to remember none.
    pub(in crate::pool_owner) fn set_share_half_life(&mut self, half_life: Option<Duration>) {
        let was_remembered = self.shares.is_some();
        match (half_life, &mut self.shares) {
            (Some(half_life), Some(shares)) => shares.set_half_life(half_life),
            (half_life, shares) => {
                *shares = half_life.map(|span| AccountShares::new(span, MAX_SHARES));
            }
        }
        if self.shares.is_some() != was_remembered {
            self.rebuild_tiers();
        }
    }

    /// Queue all requests anew: the positions of accounts with and without remembered
    /// use are not comparable.
    fn rebuild_tiers(&mut self) {
        self.tiers.clear();
        let requests = self.requests.values();
        let mut entries: Vec<(QueueClass, TierEntry)> = requests
            .map(|stored| (stored.class, stored.entry.clone()))
            .collect();
        entries.sort_by_key(|(_, entry)| entry.rank.sequence);
        for (class, entry) in &entries {
            self.push_entry(*class, entry);
        }
    }

    /// Get for how long a request has been queued here; zero if it is not queued.
    pub(in crate::pool_owner) fn queued_for(&self, now: Moment, attempt: &AttemptId) -> Duration {
        let Some(stored) = self.requests.get(attempt) else {
            return Duration::ZERO;
        };
        let waited = i64::from(stored.queued.request.waited_ms) * 1000;
        let pushed_at = stored.entry.rank.arrived + waited;
        let micros = now.as_micros() as i64 - pushed_at;
        Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    }

    /// Get the estimated time for which a queued request uses a slot.
    pub(in crate::pool_owner) fn slot_time(&self, attempt: &AttemptId) -> Duration {
        let stored = self.requests.get(attempt);
        Duration::from_micros(stored.map_or(0, |stored| stored.entry.slot_micros))
    }

    /// Get how far the last request of an account in a tier is behind.
    pub(in crate::pool_owner) fn account_behind(
        &self,
        now: Moment,
        tier: Tier,
        account: &AccountName,
    ) -> Option<f64> {
        let shares = self.shares.as_ref()?;
        let queue = self.tiers.get(&(tier, ReturnClass::New))?;
        queue.behind(account, |tag| shares.use_at(now, tag))
    }

    /// Get the account of a tier whose last request is furthest behind.
    pub(in crate::pool_owner) fn furthest_behind(
        &self,
        now: Moment,
        tier: Tier,
    ) -> Option<AccountBacklog> {
        let shares = self.shares.as_ref()?;
        let queue = self.tiers.get(&(tier, ReturnClass::New))?;
        queue.furthest_behind(|tag| shares.use_at(now, tag))
    }

    /// Get whether an account is within its share of a tier, with all that it has queued
    /// there except for `spare`.
    pub(in crate::pool_owner) fn is_within_share(
        &self,
        now: Moment,
        tier: Tier,
        account: &AccountName,
        spare: Duration,
    ) -> bool {
        let queue = self.tiers.get(&(tier, ReturnClass::New));
        let (Some(shares), Some(queue)) = (&self.shares, queue) else {
            return false;
        };
        let queued = queue.queued_time(account).saturating_sub(spare);
        shares.is_within(now, tier, account, queued.as_secs_f64())
    }

    /// Get the last queued request of an account in a tier that meets `wanted`.
    pub(in crate::pool_owner) fn last_of(
        &self,
        tier: Tier,
        account: &AccountName,
        wanted: impl Fn(&QueuedRequest) -> bool,
    ) -> Option<AttemptId> {
        let queue = self.tiers.get(&(tier, ReturnClass::New))?;
        queue.last_of(account, |attempt| self.get(attempt).is_some_and(&wanted))
    }

    /// Get the lowest tier with queued requests.
    pub(in crate::pool_owner) fn lowest_tier(&self) -> Option<Tier> {
        self.tiers.keys().next_back().map(|(tier, _)| *tier)
    }

    /// Correct the charge of a run that has ended to its measured cost in slot-seconds.
    pub(in crate::pool_owner) fn settle(
        &mut self,
        now: Moment,
        tier: Tier,
        account: &AccountName,
        charge: UseCharge,
        measured: f64,
    ) {
        let Some(shares) = &mut self.shares else {
            return;
        };
        shares.settle(now, tier, account, charge, measured);
        let start = shares.start(tier, account);
        for (_, queue) in self.tiers.range_mut(classes_of(tier)) {
            queue.set_start(account, start);
        }
    }

    /// Move the requests that have become late behind those that are on time.
    pub fn demote_late(&mut self, now: Moment) {
        while let Some((end, attempt)) = self.on_time_ends.first().copied()
            && end <= now
        {
            self.on_time_ends.pop_first();
            let Some(stored) = self.requests.get_mut(&attempt) else {
                continue;
            };
            let Some(queue) = self.tiers.get_mut(&stored.class) else {
                continue;
            };
            queue.remove(&stored.entry, ServedCharge::None);
            let late = Arc::new(stored.queued.placement.late());
            let on_time = std::mem::replace(&mut stored.queued.placement, late.clone());
            stored.entry.rank.late = true;
            stored.entry.placement = late.clone();
            let shares = self.shares.as_ref();
            let start = shares.map(|shares| shares.start(stored.class.0, &stored.entry.account));
            queue.push(&stored.entry, start);
            *self.placements.entry(late).or_default() += 1;
            remove_placement(&mut self.placements, &on_time);
        }
    }

    /// Get when the next request becomes late.
    pub fn first_on_time_end(&self) -> Option<Moment> {
        self.on_time_ends.first().map(|(end, _)| *end)
    }

    /// Get the next request in order whose placement is not blocked.
    pub fn next(&self, blocked: &BTreeSet<Arc<Placement>>) -> Option<&QueuedRequest> {
        // Avoid iterating over all accounts on every event while the shard is
        // full.
        let all_blocked = self.placements.keys().all(|key| blocked.contains(key));
        if all_blocked {
            return None;
        }
        let tiers = TierPosition::ORDER.iter().flat_map(|position| {
            let tiers = self.tiers.iter();
            tiers.filter(|((tier, _), _)| self.floor.position(*tier) == *position)
        });
        let mut heads = tiers.filter_map(|(_, queue)| queue.next(blocked));
        let attempt = heads.next()?;
        self.get(&attempt)
    }

    /// Count a request that needs one version as queued (1) or removed (-1).
    fn count_version(&mut self, queued: &QueuedRequest, change: isize) {
        let Some(version) = &queued.placement.version else {
            return;
        };
        let tiers = self.version_requests.entry(version.clone()).or_default();
        let count = tiers.entry(queued.request.tier).or_default();
        *count = count.saturating_add_signed(change);
        if *count == 0 {
            tiers.remove(&queued.request.tier);
        }
        if tiers.is_empty() {
            self.version_requests.remove(version);
        }
    }

    /// Get the versions that queued requests need, with the highest tier of these requests.
    pub(in crate::pool_owner) fn wanted_versions(&self) -> WantedVersions {
        let versions = self.version_requests.iter();
        let wanted = versions.filter_map(|(version, tiers)| {
            let (tier, _) = tiers.first_key_value()?;
            Some((version.clone(), *tier))
        });
        wanted.collect()
    }

    /// Count a request as served or refused.
    pub(in crate::pool_owner) fn record_outcome(&mut self, now: Moment, tier: Tier, served: bool) {
        self.floor.record(now, tier, served);
    }

    /// Get whether a tier is below its floor and few enough of its requests are
    /// queued.
    pub(in crate::pool_owner) fn is_below_floor(&self, tier: Tier) -> bool {
        let waiting: usize = self.queues_of(tier).map(TierQueue::requests).sum();
        waiting <= MAX_WAITING_BELOW_FLOOR && self.floor.position(tier) == TierPosition::BelowFloor
    }

    /// Get whether no higher tier has had a significant number of requests recently.
    pub(in crate::pool_owner) fn is_top(&self, tier: Tier) -> bool {
        self.floor.position(tier) == TierPosition::Top
    }

    /// Get the request to shed first: of the lowest tier, the last-ranked one
    /// of the account with the most queued tokens per share. Requests with a promise
    /// come last.
    pub fn next_to_shed(&self) -> Option<AttemptId> {
        let ((tier, _), last) = self.tiers.last_key_value()?;
        let new = self.tiers.get(&(*tier, ReturnClass::New));
        new.unwrap_or(last).next_to_shed()
    }

    /// Get the earliest expiry time.
    pub fn first_deadline(&self) -> Option<Moment> {
        let firsts = self.tiers.values().filter_map(|tier| {
            let (deadline, _) = tier.by_deadline().next()?;
            Some(*deadline)
        });
        firsts.min()
    }

    /// Get a request whose expiry time has passed.
    pub fn expired(&self, now: Moment) -> Option<AttemptId> {
        let mut firsts = self.tiers.values().filter_map(|tier| {
            let (deadline, attempt) = tier.by_deadline().next()?;
            (*deadline <= now).then_some(*attempt)
        });
        firsts.next()
    }

    /// Get the requests of one tier by expiry time, earliest first; those with a promise
    /// come before all others.
    pub fn by_deadline(&self, tier: Tier) -> impl Iterator<Item = &QueuedRequest> {
        let order = self.queues_of(tier).flat_map(|queue| queue.by_deadline());
        order.filter_map(|(_, attempt)| self.get(attempt))
    }

    /// Remove a request that is served and charge its cost to its account.
    pub fn serve(&mut self, attempt: &AttemptId) -> Option<QueuedRequest> {
        self.take(attempt, ServedCharge::Tokens)
    }

    /// Remove a request that is served now, and get it with what is charged for it if
    /// the use of accounts is remembered.
    pub(in crate::pool_owner) fn serve_at(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
    ) -> Option<(QueuedRequest, Option<UseCharge>)> {
        let (Some(shares), Some(stored)) = (&mut self.shares, self.requests.get(attempt)) else {
            return Some((self.serve(attempt)?, None));
        };
        let (tier, account) = (stored.queued.request.tier, &stored.entry.account);
        let charge = UseCharge {
            estimate: Duration::from_micros(stored.entry.slot_micros).as_secs_f64(),
            charged_at: now,
        };
        shares.charge(now, tier, account, charge.estimate);
        let start = ServedCharge::Start(shares.start(tier, account));
        Some((self.take(attempt, start)?, Some(charge)))
    }

    /// Remove a request that is not served.
    pub fn remove(&mut self, attempt: &AttemptId) -> Option<QueuedRequest> {
        self.take(attempt, ServedCharge::None)
    }

    fn take(&mut self, attempt: &AttemptId, charge: ServedCharge) -> Option<QueuedRequest> {
        let StoredRequest {
            queued,
            entry,
            class,
        } = self.requests.remove(attempt)?;
        self.tokens -= entry.tokens;
        self.count_version(&queued, -1);
        self.on_time_ends
            .remove(&(queued.plan.on_time_until, *attempt));
        if let Some(promise) = queued.promise() {
            self.places.remove(&(promise.place_at, *attempt));
        }
        remove_entry(&mut self.tiers, class, &entry, charge);
        remove_placement(&mut self.placements, &entry.placement);
        Some(queued)
    }
}

/// Get the classes of the requests of a tier.
fn classes_of(tier: Tier) -> RangeInclusive<QueueClass> {
    (tier, ReturnClass::Promised)..=(tier, ReturnClass::Early)
}

fn remove_entry(
    tiers: &mut BTreeMap<QueueClass, TierQueue>,
    class: QueueClass,
    entry: &TierEntry,
    charge: ServedCharge,
) {
    if let Some(queue) = tiers.get_mut(&class) {
        queue.remove(entry, charge);
        if queue.requests() == 0 {
            tiers.remove(&class);
        }
    }
}

fn remove_placement(placements: &mut BTreeMap<Arc<Placement>, usize>, placement: &Arc<Placement>) {
    if let Some(count) = placements.get_mut(placement) {
        *count -= 1;
        if *count == 0 {
            placements.remove(placement);
        }
    }
}
