//! Provides the enforcement of limits of targets' request rates: those that targets name,
//! and those of cold targets.

use std::time::Duration;

use crate::clock::Moment;
use crate::cold_targets::ColdTarget;
use crate::incident::Incident;
use crate::permit::{PermitId, TargetLimit};
use crate::pool_owner::OwnerAction;
use crate::pool_owner::learning::target_load::TargetLoad;
use crate::pool_owner::owner::ShardOwner;
use crate::pool_owner::placement::permit_table::GrantedPermit;
use crate::pool_owner::placement::request_pace::PacePortion;
use crate::target::TargetName;

impl ShardOwner {
    /// Apply limits that targets named to an entry host, for one permit or before.
    /// `hosts` is the number of hosts that share them if this owner serves its own
    /// host only.
    pub(in crate::pool_owner) fn on_target_limits(
        &mut self,
        now: Moment,
        hosts: u32,
        permit: Option<PermitId>,
        limits: &[TargetLimit],
    ) {
        if let Some(permit) = permit {
            self.permits.mark_limit_named(&permit);
        }
        self.limit_hosts = hosts.max(1);
        let portion = self.pace_portion(now);
        for limit in limits {
            let Some(load) = self.targets.get_mut(&limit.target) else {
                continue;
            };
            let age = Duration::from_millis(limit.age_ms.into());
            let named_at = Moment::START.plus(now.since(Moment::START).saturating_sub(age));
            load.limit_rate(now, limit.rate, named_at, portion);
            self.limited.insert(limit.target.clone());
        }
    }

    /// End the limit of a target that gave a complete answer without one. Requests
    /// sent before the limit was named prove nothing.
    pub(in crate::pool_owner) fn review_limit(&mut self, now: Moment, permit: &GrantedPermit) {
        if permit.limit_named {
            return;
        }
        if let Some(load) = self.targets.get_mut(&permit.target) {
            load.end_rate_limit(now, permit.granted_at);
        }
    }

    /// Apply the cold targets of the pool, some of which may not be known yet.
    pub(in crate::pool_owner) fn on_cold_targets(
        &mut self,
        now: Moment,
        cold: Vec<(TargetName, ColdTarget)>,
        actions: &mut Vec<OwnerAction>,
    ) {
        self.cold = cold.into_iter().collect();
        let names: Vec<TargetName> = self.targets.keys().cloned().collect();
        for name in names {
            let was_cold = self.targets.get(&name).is_some_and(TargetLoad::is_cold);
            if was_cold && !self.cold.contains_key(&name) {
                actions.push(self.incident_action(Incident::TargetWarm, &name));
            }
            self.limit_cold(now, &name);
        }
    }

    /// Limit the request rate of a target that is cold.
    pub(in crate::pool_owner) fn limit_cold(&mut self, now: Moment, name: &TargetName) {
        let portion = self.pace_portion(now);
        let Some(load) = self.targets.get_mut(name) else {
            return;
        };
        let cold = self.cold.get(name).copied();
        load.set_cold(now, cold, self.opts.cold_tolerance, portion);
        if cold.is_some() {
            self.limited.insert(name.clone());
        }
    }

    /// End the limits of targets that are warm by now.
    pub(in crate::pool_owner) fn review_cold(
        &mut self,
        now: Moment,
        actions: &mut Vec<OwnerAction>,
    ) {
        if self.cold.is_empty() {
            return;
        }
        let is_warm = |cold: &ColdTarget| cold.until <= now;
        let warm = self.cold.extract_if(.., |_, cold| is_warm(cold));
        let warm: Vec<TargetName> = warm.map(|(name, _)| name).collect();
        for name in warm {
            let load = self.targets.get_mut(&name);
            if load.is_some_and(|load| load.end_cold(now)) {
                actions.push(self.incident_action(Incident::TargetWarm, &name));
            }
        }
    }

    /// Adjust the pace of limited targets to the part of the fleet that uses this
    /// owner, as two owners may serve a shard for a time.
    pub(in crate::pool_owner) fn adjust_pace(&mut self, now: Moment) {
        if self.limited.is_empty() {
            return;
        }
        let portion = self.pace_portion(now);
        let targets = &mut self.targets;
        self.limited.retain(|target: &TargetName| {
            let load = targets.get_mut(target);
            load.is_some_and(|load| load.set_pace_portion(now, portion))
        });
    }

    /// Get the part of the limits that this owner may use. One that serves its own host only
    /// sends nothing to cold targets: all hosts may do so at the same time, and one request
    /// of each is more than a target bears.
    fn pace_portion(&mut self, now: Moment) -> PacePortion {
        if self.attached_hosts.is_empty() {
            return PacePortion {
                named: 1.0 / f64::from(self.limit_hosts),
                cold: 0.0,
            };
        }
        let portion = self.attached_hosts.quota_portion(now);
        PacePortion {
            named: portion,
            cold: portion,
        }
    }
}
