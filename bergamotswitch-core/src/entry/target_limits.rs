//! Provides the rate limits that targets have named to this host.

use std::collections::BTreeMap;

use crate::clock::Moment;
use crate::permit::TargetLimit;
use crate::target::{NamedLimit, PoolTarget, RequestRate, TargetName};

/// A `KnownLimit` is the last limit that a target named to this host.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownLimit {
    pub(super) rate: RequestRate,
    pub(super) named_at: Moment,
}

/// A `TargetLimits` is the limits of the targets that name one.
#[derive(Debug, Default)]
pub(super) struct TargetLimits {
    limits: BTreeMap<TargetName, KnownLimit>,
}

impl TargetLimits {
    /// Record a named limit. Get whether it differs from the known one. An unreadable
    /// limit leaves a known one in force.
    pub(super) fn record(&mut self, now: Moment, target: &TargetName, limit: NamedLimit) -> bool {
        let NamedLimit::Rate(rate) = limit else {
            return false;
        };
        let named_at = now;
        let known = self
            .limits
            .insert(target.clone(), KnownLimit { rate, named_at });
        known.is_none_or(|known| known.rate != rate)
    }

    /// Record an answer without a limit to a request that was sent at `sent_at`. Get
    /// whether it ends a known limit: answers to earlier requests may have been made
    /// before the limit was named.
    pub(super) fn record_absence(&mut self, sent_at: Moment, target: &TargetName) -> bool {
        let known = self.limits.get(target);
        let ends = known.is_some_and(|known| sent_at > known.named_at);
        if ends {
            self.limits.remove(target);
        }
        ends
    }

    /// Get the known limits of these targets.
    pub(super) fn reports(&self, now: Moment, targets: &[PoolTarget]) -> Vec<TargetLimit> {
        let limited = targets.iter().filter_map(|target| {
            let known = self.limits.get(&target.name)?;
            let age = now.since(known.named_at).as_millis();
            Some(TargetLimit {
                target: target.name.clone(),
                rate: known.rate,
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            })
        });
        limited.collect()
    }

    /// Keep the limits of these targets only.
    pub(super) fn retain(&mut self, is_known: impl Fn(&TargetName) -> bool) {
        self.limits.retain(|target, _| is_known(target));
    }

    pub(super) fn len(&self) -> usize {
        self.limits.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }
}
