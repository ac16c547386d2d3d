//! Provides the table of granted permits that have not been released.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::host::{HostName, Incarnation};
use crate::permit::{KeyClaim, PermitId};
use crate::pool_owner::admission::account_shares::UseCharge;
use crate::pool_owner::learning::speed_estimator::ExpectedEnd;
use crate::request::{AttemptId, PrefixHash, TokenCost};
use crate::rules::Tier;
use crate::target::TargetName;

/// A `GrantedPermit` is a permit held by an entry host.
#[derive(Clone, Debug)]
pub struct GrantedPermit {
    /// The permit's id.
    pub id: PermitId,
    /// The entry host.
    pub host: HostName,
    /// The attempt.
    pub attempt: AttemptId,
    /// The target.
    pub target: TargetName,
    /// The tier.
    pub tier: Tier,
    /// The client account.
    pub account: AccountName,
    /// The estimated cost.
    pub cost: TokenCost,
    /// What its account was charged, if the use of accounts is remembered.
    pub charge: Option<UseCharge>,
    /// Whether the request counts as long.
    pub long: bool,
    /// Whether the stream may be preempted for a higher tier.
    pub preemptible: bool,
    /// The idempotency key's claim, if a second run must be prevented.
    pub claim: Option<KeyClaim>,
    /// The hashes of the prompt's prefixes.
    pub prefixes: Vec<PrefixHash>,
    /// The number of prompt blocks that the target was assumed to have cached.
    pub warm_blocks: usize,
    /// When the permit was granted, or taken over from a previous owner.
    pub granted_at: Moment,
    /// The tokens that the target was predicted to process until the request's
    /// end, its own included.
    pub tokens_ahead: u64,
    /// The target's utilization with this request, 1 when full.
    pub utilization: f64,
    /// For how long the target had been nearly full in total at the grant.
    pub full_time: Duration,
    /// Whether the answer named a limit of the target's request rate.
    pub limit_named: bool,
    /// When the request is predicted to end.
    pub finish_at: Moment,
    /// The predicted run time at the mean target.
    pub mean_run: Duration,
    /// When the holder was last asked to stop the stream.
    pub preempted_at: Option<Moment>,
    /// When the holder is next asked whether it still holds the permit.
    pub audit_at: Moment,
}

impl GrantedPermit {
    /// Get the prompt tokens that the target was assumed to have cached.
    pub fn expected_cached(&self) -> u64 {
        if self.prefixes.is_empty() {
            return 0;
        }
        u64::from(self.cost.prefill) * self.warm_blocks as u64 / self.prefixes.len() as u64
    }

    /// Get the request's predicted end.
    pub fn expected_end(&self) -> ExpectedEnd {
        ExpectedEnd {
            finish_at: self.finish_at,
            granted_at: self.granted_at,
            permit: self.id,
        }
    }
}

/// A `PermitTable` is the granted permits, indexed by id, attempt and audit
/// time.
#[derive(Debug, Default)]
pub struct PermitTable {
    permits: BTreeMap<PermitId, GrantedPermit>,
    attempts: HashMap<AttemptId, PermitId>,
    audits: BTreeSet<(Moment, PermitId)>,
    preemptible_count: usize,
}

impl PermitTable {
    /// Record that the answer under a permit named a limit of the target's rate.
    pub fn mark_limit_named(&mut self, id: &PermitId) {
        if let Some(permit) = self.permits.get_mut(id) {
            permit.limit_named = true;
        }
    }

    /// Get the number of permits.
    pub fn len(&self) -> usize {
        self.permits.len()
    }

    /// Get whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.permits.is_empty()
    }

    /// Get all permits, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &GrantedPermit> {
        self.permits.values()
    }

    /// Get a permit.
    pub fn get(&self, id: &PermitId) -> Option<&GrantedPermit> {
        self.permits.get(id)
    }

    /// Get the permit of an attempt.
    pub fn of_attempt(&self, attempt: &AttemptId) -> Option<&GrantedPermit> {
        self.permits.get(self.attempts.get(attempt)?)
    }

    /// Get the ids of the permits of one incarnation of an entry host.
    pub fn of_incarnation(&self, incarnation: Incarnation) -> Vec<PermitId> {
        let permits = self.permits.values();
        let held = permits.filter(|permit| permit.attempt.request.incarnation == incarnation);
        held.map(|permit| permit.id).collect()
    }

    /// Get the number of permits whose streams may be preempted.
    pub fn preemptible_count(&self) -> usize {
        self.preemptible_count
    }

    /// Add a permit.
    pub fn insert(&mut self, permit: GrantedPermit) {
        self.preemptible_count += usize::from(permit.preemptible);
        self.attempts.insert(permit.attempt, permit.id);
        self.audits.insert((permit.audit_at, permit.id));
        self.permits.insert(permit.id, permit);
    }

    /// Remove a permit. Repeated releases are harmless: only the first returns
    /// it.
    pub fn remove(&mut self, id: &PermitId) -> Option<GrantedPermit> {
        let permit = self.permits.remove(id)?;
        self.preemptible_count -= usize::from(permit.preemptible);
        self.audits.remove(&(permit.audit_at, *id));
        if self.attempts.get(&permit.attempt) == Some(id) {
            self.attempts.remove(&permit.attempt);
        }
        Some(permit)
    }

    /// Make the audit due for all permits of a host except those in `named`.
    pub fn schedule_audits_except(
        &mut self,
        now: Moment,
        host: &HostName,
        named: &BTreeSet<PermitId>,
    ) {
        for permit in self.permits.values_mut() {
            if permit.host != *host || named.contains(&permit.id) {
                continue;
            }
            self.audits.remove(&(permit.audit_at, permit.id));
            permit.audit_at = now;
            self.audits.insert((now, permit.id));
        }
    }

    /// Remove and get all permits for a target.
    pub fn remove_target(&mut self, target: &TargetName) -> Vec<GrantedPermit> {
        let permits = self.permits.values();
        let held = permits.filter(|permit| permit.target == *target);
        let ids: Vec<PermitId> = held.map(|permit| permit.id).collect();
        ids.iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Record that a permit's holder was asked to stop the stream.
    pub fn mark_preempted(&mut self, id: &PermitId, now: Moment) {
        if let Some(permit) = self.permits.get_mut(id) {
            permit.preempted_at = Some(now);
        }
    }

    /// Get when the next audit is due.
    pub fn next_audit(&self) -> Option<Moment> {
        self.audits.first().map(|(at, _)| *at)
    }

    /// Get the permits whose audit is due, by host, and schedule the next audit
    /// of each at `next`.
    pub fn due_audits(&mut self, now: Moment, next: Moment) -> BTreeMap<HostName, Vec<PermitId>> {
        let mut by_host: BTreeMap<HostName, Vec<PermitId>> = BTreeMap::new();
        while let Some((at, id)) = self.audits.first().copied() {
            if at > now {
                break;
            }
            self.audits.remove(&(at, id));
            let Some(permit) = self.permits.get_mut(&id) else {
                continue;
            };
            permit.audit_at = next;
            self.audits.insert((next, id));
            by_host.entry(permit.host.clone()).or_default().push(id);
        }
        by_host
    }
}
