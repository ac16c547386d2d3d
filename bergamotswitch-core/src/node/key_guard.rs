//! Provides the check of a shard's owner before it starts keyed requests that must not
//! run twice.
//!
//! A new owner knows only the keys that other hosts report to it. It therefore holds
//! keyed requests until every host that is not known to be lost has reported, or
//! a timeout has passed.
//!
//! Two hosts may act as owner of one shard for some seconds, after a pause, a network
//! partition or a wrong suspicion. For most work this only exceeds a limit. A
//! non-repeatable call of a plain service, sent to both owners with the same
//! idempotency key, would run once under each. The owner holds such calls until a
//! majority of the shard's candidates has followed it for a while as well. Each host
//! follows one owner at a time, so no second owner can have a majority.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::core::NodeCore;
use crate::clock::Moment;
use crate::host::HostName;
use crate::membership::KeyQuorum;
use crate::permit::{OwnerMessage, OwnerReply, PermitRequest};
use crate::pool::{PoolKind, PoolShard};
use crate::request::AttemptId;

/// How long a follower's answer is valid, in heartbeat intervals. This tolerates two
/// lost or late polls.
const ANSWER_VALID_HEARTBEATS: u32 = 4;

/// How long a majority has to follow without interruption, in heartbeat intervals. By
/// then, answers given to a previous owner have expired.
const QUORUM_STABLE_HEARTBEATS: u32 = ANSWER_VALID_HEARTBEATS + 1;

/// How long the owner waits for the key report of a host that does not count as lost,
/// in heartbeat intervals. A previous temporary owner steps down within
/// ten intervals; the rest is left for the report.
const KEY_REPORT_TIMEOUT_HEARTBEATS: u32 = 14;

/// A `GuardKind` is the condition under which an owner starts keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GuardKind {
    /// All hosts have reported their keys. In a partitioned fleet requests continue in
    /// every part.
    Reports,
    /// All hosts have reported their keys, and a majority of the candidates has followed
    /// for long enough that no other owner has one.
    Quorum,
}

/// A `HeldRequest` is a permit request that is held until the owner may start it.
#[derive(Debug)]
struct HeldRequest {
    host: HostName,
    request: PermitRequest,
    since: Moment,
}

/// A `KeyGuard` is the state of the check for one owned shard.
#[derive(Debug)]
pub(super) struct KeyGuard {
    kind: GuardKind,
    /// The number of the last poll.
    round: u64,
    round_started_at: Option<Moment>,
    /// The hosts that follow this owner, with the start time of the last poll each one
    /// answered.
    followers: BTreeMap<HostName, Moment>,
    /// The hosts that have to report: those that were not lost when the wait began, and
    /// those that have returned since.
    awaited: Option<BTreeSet<HostName>>,
    /// The hosts that have reported their keys to this owner.
    reported: BTreeSet<HostName>,
    /// The hosts whose reports are outstanding, with the start of the wait for each.
    outstanding: BTreeMap<HostName, Moment>,
    /// Whether the wait for reports is over.
    is_reported: bool,
    /// The start of the current uninterrupted quorum.
    quorum_since: Option<Moment>,
    held: BTreeMap<AttemptId, HeldRequest>,
}

impl KeyGuard {
    fn new(kind: GuardKind) -> Self {
        KeyGuard {
            kind,
            round: 0,
            round_started_at: None,
            followers: BTreeMap::new(),
            awaited: None,
            reported: BTreeSet::new(),
            outstanding: BTreeMap::new(),
            is_reported: false,
            quorum_since: None,
            held: BTreeMap::new(),
        }
    }

    /// Reset the guard after another host has or may have acted as owner. Held permit
    /// requests are kept.
    fn reset(&mut self) {
        let held = std::mem::take(&mut self.held);
        *self = KeyGuard {
            round: self.round,
            held,
            ..KeyGuard::new(self.kind)
        };
    }

    /// Record a host as follower if it answered the current poll. It reported its keys when
    /// it turned to this owner.
    fn record_follower(&mut self, host: &HostName, round: u64) {
        if let Some(started_at) = self.round_started_at
            && round == self.round
        {
            self.followers.insert(host.clone(), started_at);
            if self.kind == GuardKind::Reports {
                self.reported.insert(host.clone());
            }
        }
    }

    /// Start the next poll if it is due, and get its number.
    fn next_round(&mut self, now: Moment, heartbeat_interval: Duration) -> Option<u64> {
        let is_due = self
            .round_started_at
            .is_none_or(|started_at| now >= started_at.plus(heartbeat_interval));
        if !is_due {
            return None;
        }
        self.round += 1;
        self.round_started_at = Some(now);
        Some(self.round)
    }

    /// Expire outdated answers and update the quorum.
    fn review(
        &mut self,
        now: Moment,
        heartbeat_interval: Duration,
        own_name: &HostName,
        quorum: &KeyQuorum,
    ) {
        let valid = heartbeat_interval * ANSWER_VALID_HEARTBEATS;
        self.followers.retain(|_, at| now < at.plus(valid));
        let follows = |host: &&HostName| *host == own_name || self.followers.contains_key(*host);
        let follower_count = quorum.candidates.iter().filter(follows).count();
        let majority = follower_count * 2 > quorum.candidates.len();
        self.review_reports(now, heartbeat_interval, own_name, quorum);
        match majority && self.is_reported {
            true => {
                self.quorum_since.get_or_insert(now);
            }
            false => self.quorum_since = None,
        }
    }

    /// Update the outstanding reports. The wait for a host begins anew when it is
    /// reachable again.
    fn review_reports(
        &mut self,
        now: Moment,
        heartbeat_interval: Duration,
        own_name: &HostName,
        quorum: &KeyQuorum,
    ) {
        let others = quorum.awaited.iter().filter(|host| *host != own_name);
        let awaited = self
            .awaited
            .get_or_insert_with(|| others.clone().cloned().collect());
        let outstanding =
            others.filter(|host| awaited.contains(*host) && !self.reported.contains(*host));
        let former = std::mem::take(&mut self.outstanding);
        self.outstanding = outstanding
            .map(|host| (host.clone(), former.get(host).copied().unwrap_or(now)))
            .collect();
        let timeout = heartbeat_interval * KEY_REPORT_TIMEOUT_HEARTBEATS;
        let unlinked_timeout = match self.kind {
            GuardKind::Reports => timeout.min(quorum.connect_time),
            GuardKind::Quorum => timeout,
        };
        self.is_reported = self.outstanding.iter().all(|(host, since)| {
            let timeout = match quorum.linked.contains(host) {
                true => timeout,
                false => unlinked_timeout,
            };
            now >= since.plus(timeout)
        });
    }

    /// Wait for the report of a host that has returned.
    fn await_host(&mut self, host: &HostName) {
        if let Some(awaited) = &mut self.awaited {
            awaited.insert(host.clone());
        }
    }

    /// Get whether the owner may start keyed requests.
    fn is_open(&self, now: Moment, heartbeat_interval: Duration) -> bool {
        match self.kind {
            GuardKind::Reports => self.is_reported,
            GuardKind::Quorum => self.has_stable_quorum(now, heartbeat_interval),
        }
    }

    fn has_stable_quorum(&self, now: Moment, heartbeat_interval: Duration) -> bool {
        let settled = self
            .quorum_since
            .map(|since| since.plus(heartbeat_interval * QUORUM_STABLE_HEARTBEATS));
        settled.is_some_and(|settled| now >= settled)
    }

    /// Get the hosts to poll: the candidates, whose majority is required, or the hosts
    /// whose reports are outstanding.
    fn polled_hosts(&self, quorum: KeyQuorum) -> Vec<HostName> {
        match self.kind {
            GuardKind::Reports => self.outstanding.keys().cloned().collect(),
            GuardKind::Quorum => quorum.candidates,
        }
    }

    /// Take the held permit requests, with their remaining times as of now.
    fn release(&mut self, now: Moment) -> Vec<(HostName, PermitRequest)> {
        let held = std::mem::take(&mut self.held);
        let fresh = held
            .into_values()
            .filter_map(|held| held.with_elapsed_time(now));
        fresh.collect()
    }
}

impl HeldRequest {
    /// Get the permit request with its holding time subtracted from the deadline;
    /// `None` if the deadline has passed, which its entry host has reported to the
    /// caller.
    fn with_elapsed_time(self, now: Moment) -> Option<(HostName, PermitRequest)> {
        let request = self.request.after_wait(now.since(self.since))?;
        Some((self.host, request))
    }
}

/// A `KeyGuards` holds the states of the check for the shards that this host owns.
#[derive(Debug, Default)]
pub(super) struct KeyGuards {
    guards: BTreeMap<PoolShard, KeyGuard>,
}

impl KeyGuards {
    /// Start guarding a shard, or stop if `kind` is `None`, and get the hosts whose permit
    /// requests were held.
    fn set_kind(&mut self, shard: &PoolShard, kind: Option<GuardKind>) -> Vec<HostName> {
        let former = match kind {
            Some(kind) => self.guards.insert(shard.clone(), KeyGuard::new(kind)),
            None => self.guards.remove(shard),
        };
        let held = former.map(|former| former.held).unwrap_or_default();
        held.into_values().map(|held| held.host).collect()
    }

    /// Reset all guards.
    pub(super) fn reset(&mut self) {
        for guard in self.guards.values_mut() {
            guard.reset();
        }
    }

    /// Reset the guard of a shard for which another host acts as well.
    pub(super) fn reset_shard(&mut self, shard: &PoolShard) {
        if let Some(guard) = self.guards.get_mut(shard) {
            guard.reset();
        }
    }

    /// Process a message to the owner; returns it if the owner should handle it now.
    fn filter(
        &mut self,
        now: Moment,
        host: &HostName,
        message: OwnerMessage,
        heartbeat_interval: Duration,
    ) -> Option<OwnerMessage> {
        let Some(guard) = self.guards.get_mut(message.shard()) else {
            return Some(message);
        };
        match message {
            OwnerMessage::PermitRequest(request)
                if request.claim.is_some() && !guard.is_open(now, heartbeat_interval) =>
            {
                let held = HeldRequest {
                    host: host.clone(),
                    since: now,
                    request: *request,
                };
                guard.held.insert(held.request.attempt, held);
                return None;
            }
            OwnerMessage::OwnerConfirmed { round, .. } => {
                guard.record_follower(host, round);
                return None;
            }
            OwnerMessage::Withdraw { attempt, .. } => {
                guard.held.remove(&attempt);
            }
            OwnerMessage::Resync { .. } => {
                guard.reported.insert(host.clone());
            }
            _ => {}
        }
        Some(message)
    }
}

impl NodeCore {
    /// Process a message to the owner of a shard that this host owns; returns it if the
    /// owner should handle it now.
    pub(super) fn guard_message(
        &mut self,
        now: Moment,
        host: &HostName,
        message: OwnerMessage,
    ) -> Option<OwnerMessage> {
        if let OwnerMessage::PermitRequest(request) = &message
            && let Some(claim) = &request.claim
        {
            let shard = &request.shard;
            let kind = self.guard_kind(shard);
            // A host in degraded mode knows only its own keys, and several hosts may be
            // degraded at once. The permit request is dropped: the entry side repeats
            // it, or refuses the request as not run at its deadline.
            if kind == Some(GuardKind::Quorum) && self.shards.is_degraded_shard(shard) {
                return None;
            }
            // The owner answers a known key without the other hosts' reports.
            if kind == Some(GuardKind::Reports) && self.shards.knows_key(shard, claim) {
                return Some(message);
            }
        }
        let heartbeat_interval = self.membership.heartbeat_interval();
        let shard = message.shard().clone();
        let may_settle = matches!(
            message,
            OwnerMessage::Resync { .. } | OwnerMessage::OwnerConfirmed { .. }
        );
        let passed = self
            .key_guards
            .filter(now, host, message, heartbeat_interval);
        if may_settle {
            self.reports_changed.insert(shard);
        }
        passed
    }

    /// Get how the keyed requests of a shard are guarded; `None` if they are not.
    ///
    /// The effects of calls to plain services cannot be undone. Requests to engines
    /// continue in every part of a partitioned fleet, and are deduplicated by key within
    /// the part. Callers of a gateway have no idempotency keys.
    fn guard_kind(&self, shard: &PoolShard) -> Option<GuardKind> {
        if self.publication.uses_routes {
            return None;
        }
        let pool = self.publication.pools.pool(&shard.pool)?;
        Some(match pool.kind {
            PoolKind::Plain => GuardKind::Quorum,
            PoolKind::Engine => GuardKind::Reports,
        })
    }

    /// Start or stop guarding a shard when this host becomes or ceases to be its owner;
    /// get the hosts whose permit requests were held.
    pub(super) fn update_guard(&mut self, shard: &PoolShard, act: bool) -> Vec<HostName> {
        let kind = self.guard_kind(shard).filter(|_| act);
        self.key_guards.set_kind(shard, kind)
    }

    /// Poll the hosts that an owner waits for where a poll is due, and release the held
    /// permit requests of owners that may start them.
    pub(super) fn review_guards(&mut self, now: Moment) {
        let shards: Vec<PoolShard> = self.key_guards.guards.keys().cloned().collect();
        for shard in shards {
            self.review_guard(now, &shard);
        }
    }

    fn review_guard(&mut self, now: Moment, shard: &PoolShard) {
        if !self.key_guards.guards.contains_key(shard) {
            return;
        }
        let heartbeat_interval = self.membership.heartbeat_interval();
        let quorum = self.membership.key_quorum(shard);
        let Some(guard) = self.key_guards.guards.get_mut(shard) else {
            return;
        };
        guard.review(now, heartbeat_interval, &self.identity.host, &quorum);
        if let Some(round) = guard.next_round(now, heartbeat_interval) {
            let polled = guard.polled_hosts(quorum);
            self.poll_followers(now, shard, round, polled);
        }
        self.release_held(now, shard, heartbeat_interval);
    }

    /// Wait for the keys of a host that has returned.
    pub(super) fn await_report(&mut self, host: &HostName) {
        for (shard, guard) in &mut self.key_guards.guards {
            guard.await_host(host);
            self.reports_changed.insert(shard.clone());
        }
    }

    /// Review the guards for which reports have arrived since the last review.
    pub(super) fn review_reported_guards(&mut self, now: Moment) {
        for shard in std::mem::take(&mut self.reports_changed) {
            self.review_guard(now, &shard);
        }
    }

    fn poll_followers(
        &mut self,
        now: Moment,
        shard: &PoolShard,
        round: u64,
        polled: Vec<HostName>,
    ) {
        let own_name = self.identity.host.clone();
        for host in polled.into_iter().filter(|host| *host != own_name) {
            let shard = shard.clone();
            self.send_reply(now, host, OwnerReply::ConfirmOwner { shard, round });
        }
    }

    fn release_held(&mut self, now: Moment, shard: &PoolShard, heartbeat_interval: Duration) {
        let guard = self.key_guards.guards.get_mut(shard);
        let Some(guard) = guard.filter(|guard| guard.is_open(now, heartbeat_interval)) else {
            return;
        };
        for (host, request) in guard.release(now) {
            self.on_owner_message(now, host, OwnerMessage::PermitRequest(Box::new(request)));
        }
    }
}
