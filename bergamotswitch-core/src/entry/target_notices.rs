//! Provides what targets have said of themselves in answers to this host.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::permit::{BrittleTarget, LeavingTarget};
use crate::target::{PoolTarget, TargetName};

/// How long a leaving target is remembered that is not published any more. Its entry may
/// lapse and come back while the store is unavailable.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// A `LeavingNotice` is the start of a target that leaves, and when the target was last
/// published.
#[derive(Clone, Copy, Debug)]
struct LeavingNotice {
    started_at_ms: Option<u64>,
    published_at: Moment,
}

/// A `TargetNotices` is what targets have said of themselves.
#[derive(Debug, Default)]
pub(super) struct TargetNotices {
    leaving: BTreeMap<TargetName, LeavingNotice>,
    /// The ends of the rests that targets have asked this host for.
    rests: BTreeMap<TargetName, Moment>,
    brittle: BTreeMap<TargetName, BrittleNotice>,
}

/// A `BrittleNotice` is what a brittle target has said last.
#[derive(Clone, Copy, Debug)]
struct BrittleNotice {
    refusals_per_second: u32,
    named_at: Moment,
}

impl TargetNotices {
    /// Record that a target leaves, until its next start. Get whether that is news.
    pub(super) fn record_leaving(
        &mut self,
        now: Moment,
        target: &TargetName,
        started_at_ms: Option<u64>,
    ) -> bool {
        let notice = LeavingNotice {
            started_at_ms,
            published_at: now,
        };
        self.leaving.insert(target.clone(), notice).is_none()
    }

    /// Get whether a target has said that it leaves.
    pub(super) fn is_leaving(&self, target: &TargetName) -> bool {
        self.leaving.contains_key(target)
    }

    /// Get the report of a target if it leaves.
    pub(super) fn leaving(&self, target: &TargetName) -> Option<LeavingTarget> {
        let notice = self.leaving.get(target)?;
        Some(LeavingTarget {
            target: target.clone(),
            started_at_ms: notice.started_at_ms,
        })
    }

    /// Get the reports of those of these targets that leave.
    pub(super) fn leaving_among(&self, targets: &[PoolTarget]) -> Vec<LeavingTarget> {
        let targets = targets.iter();
        targets
            .filter_map(|target| self.leaving(&target.name))
            .collect()
    }

    /// Record that a target wants nothing until `until`. A rest that ends later stays in
    /// force. Get whether the target did not rest before.
    pub(super) fn record_rest(&mut self, now: Moment, target: &TargetName, until: Moment) -> bool {
        self.rests.retain(|_, until| now < *until);
        let known = self.rests.get(target).copied();
        let until = known.map_or(until, |known| known.max(until));
        self.rests.insert(target.clone(), until);
        known.is_none()
    }

    /// Record that a target is brittle. Get whether that is news.
    pub(super) fn record_brittle(
        &mut self,
        now: Moment,
        target: &TargetName,
        refusals_per_second: u32,
    ) -> bool {
        let notice = BrittleNotice {
            refusals_per_second,
            named_at: now,
        };
        let known = self.brittle.insert(target.clone(), notice);
        known.is_none_or(|known| known.refusals_per_second != refusals_per_second)
    }

    /// Record an answer to an attempt started at `sent_at` that does not say that the
    /// target is brittle. Get whether the target was known as brittle and no longer is.
    pub(super) fn record_sturdy(&mut self, sent_at: Moment, target: &TargetName) -> bool {
        let known = self.brittle.get(target);
        let ends = known.is_some_and(|known| sent_at > known.named_at);
        if ends {
            self.brittle.remove(target);
        }
        ends
    }

    /// Get the reports of those of these targets that are brittle.
    pub(super) fn brittle_among(&self, targets: &[PoolTarget]) -> Vec<BrittleTarget> {
        let brittle = targets.iter().filter_map(|target| {
            let notice = self.brittle.get(&target.name)?;
            Some(BrittleTarget {
                target: target.name.clone(),
                refusals_per_second: Some(notice.refusals_per_second),
            })
        });
        brittle.collect()
    }

    /// Get when a target accepts requests of this host again; `None` if it does now.
    pub(super) fn closed_until(&self, now: Moment, target: &TargetName) -> Option<Moment> {
        if self.is_leaving(target) {
            return Some(Moment::NEVER);
        }
        self.rests.get(target).copied().filter(|until| now < *until)
    }

    /// Get the number of targets that rest.
    pub(super) fn rest_count(&self, now: Moment) -> usize {
        let rests = self.rests.values();
        rests.filter(|until| now < **until).count()
    }

    /// Get whether no target leaves or rests.
    pub(super) fn is_all_open(&self) -> bool {
        self.leaving.is_empty() && self.rests.is_empty()
    }

    /// Apply the published targets, found by their names: forget what was said by an
    /// earlier process of a target, and targets that are gone.
    pub(super) fn review<'a>(
        &mut self,
        now: Moment,
        find: impl Fn(&TargetName) -> Option<&'a PoolTarget>,
    ) {
        self.leaving.retain(|name, notice| match find(name) {
            Some(target) => {
                notice.published_at = now;
                !has_restarted(target, notice.started_at_ms)
            }
            None => now.since(notice.published_at) < LEAVING_RETENTION,
        });
        self.rests.retain(|_, until| now < *until);
        self.brittle.retain(|name, _| find(name).is_some());
    }
}

/// Get whether a target has started later than `known`.
fn has_restarted(target: &PoolTarget, known: Option<u64>) -> bool {
    match (target.started_at_ms, known) {
        (Some(start), Some(known)) => start > known,
        _ => false,
    }
}
