//! Provides how the requests of each size end at an owner: refused at once or after a
//! wait, withdrawn, or granted, and how long their runs took compared with the
//! predictions.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::clock::Moment;
use crate::permit::{ReleaseOutcome, Usage};
use crate::pool_owner::OwnerAction;
use crate::pool_owner::owner::ShardOwner;
use crate::pool_owner::placement::permit_table::GrantedPermit;
use crate::request::TokenCost;
use crate::rules::Tier;

/// The estimated output, in tokens, from which a request belongs to the next size class.
const SIZE_BOUNDS: [u32; 4] = [128, 512, 1_024, 2_048];

/// The minimum interval between log lines about a shard's sizes.
const LOG_INTERVAL: Duration = Duration::from_secs(4);

/// A `SizeClass` is a range of estimated output lengths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct SizeClass(u8);

impl SizeClass {
    /// Get the class of a request of this estimated cost.
    pub fn of(cost: TokenCost) -> Self {
        let reached = SIZE_BOUNDS.iter().filter(|bound| cost.decode >= **bound);
        SizeClass(reached.count() as u8)
    }

    /// Get the least estimated output of the class, in tokens.
    pub fn least_output(self) -> u32 {
        match usize::from(self.0) {
            0 => 0,
            class => SIZE_BOUNDS[class - 1],
        }
    }
}

/// A `RequestEnd` is what became of a permit request or of its run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::pool_owner) enum RequestEnd {
    RefusedAtOnce,
    RefusedLater,
    Withdrawn,
    Granted,
}

/// A `SizeEnds` is the counts of one tier and size class. The sums are those of the runs
/// that finished, except where they say otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SizeEnds {
    /// The requests that were refused when they arrived.
    pub refused_at_once: u64,
    /// The requests that were refused after they had been queued.
    pub refused_later: u64,
    /// The requests that their callers or hosts gave up while they were queued.
    pub withdrawn: u64,
    /// The granted requests.
    pub granted: u64,
    /// The runs that finished.
    pub finished: u64,
    /// The runs that failed or were stopped, mostly at their deadlines.
    pub unfinished: u64,
    /// The estimated output in tokens.
    pub expected_output: u64,
    /// The output that came, in the units in which targets report it.
    pub output: u64,
    /// The predicted run times at their targets, in milliseconds.
    pub expected_ms: u64,
    /// The predicted run times at the mean target, in milliseconds.
    pub mean_ms: u64,
    /// The run times, in milliseconds.
    pub run_ms: u64,
    /// The times of the runs that did not finish, in milliseconds.
    pub unfinished_ms: u64,
}

impl SizeEnds {
    /// Get the numbers of requests and runs with their names in metrics.
    pub fn counts(&self) -> [(&'static str, u64); 6] {
        [
            ("refused-at-once", self.refused_at_once),
            ("refused-later", self.refused_later),
            ("withdrawn", self.withdrawn),
            ("granted", self.granted),
            ("finished", self.finished),
            ("unfinished", self.unfinished),
        ]
    }

    /// Get the counts since `earlier`.
    fn since(&self, earlier: &SizeEnds) -> SizeEnds {
        SizeEnds {
            refused_at_once: self.refused_at_once - earlier.refused_at_once,
            refused_later: self.refused_later - earlier.refused_later,
            withdrawn: self.withdrawn - earlier.withdrawn,
            granted: self.granted - earlier.granted,
            finished: self.finished - earlier.finished,
            unfinished: self.unfinished - earlier.unfinished,
            expected_output: self.expected_output - earlier.expected_output,
            output: self.output - earlier.output,
            expected_ms: self.expected_ms - earlier.expected_ms,
            mean_ms: self.mean_ms - earlier.mean_ms,
            run_ms: self.run_ms - earlier.run_ms,
            unfinished_ms: self.unfinished_ms - earlier.unfinished_ms,
        }
    }
}

/// A `SizeView` is the counts of one tier and size class since the owner took over, or
/// since the last log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct SizeView {
    /// The tier.
    pub tier: Tier,
    /// The size class.
    pub size: SizeClass,
    /// The counts.
    pub ends: SizeEnds,
}

/// A `SizeTable` is the counts of an owner by tier and size class.
#[derive(Debug, Default)]
pub(in crate::pool_owner) struct SizeTable {
    ends: BTreeMap<(Tier, SizeClass), SizeEnds>,
    logged: BTreeMap<(Tier, SizeClass), SizeEnds>,
    /// When the next log line is due; `None` while nothing was refused or given up.
    log_at: Option<Moment>,
}

impl SizeTable {
    /// Count what became of a permit request.
    pub(in crate::pool_owner) fn record(
        &mut self,
        now: Moment,
        tier: Tier,
        cost: TokenCost,
        end: RequestEnd,
    ) {
        let ends = self.ends.entry((tier, SizeClass::of(cost))).or_default();
        match end {
            RequestEnd::RefusedAtOnce => ends.refused_at_once += 1,
            RequestEnd::RefusedLater => ends.refused_later += 1,
            RequestEnd::Withdrawn => ends.withdrawn += 1,
            RequestEnd::Granted => ends.granted += 1,
        }
        if end != RequestEnd::Granted {
            self.log_at.get_or_insert(now.plus(LOG_INTERVAL));
        }
    }

    /// Count what became of a run.
    pub(in crate::pool_owner) fn record_run(
        &mut self,
        permit: &GrantedPermit,
        outcome: &ReleaseOutcome,
    ) {
        let key = (permit.tier, SizeClass::of(permit.cost));
        let ends = self.ends.entry(key).or_default();
        match outcome {
            ReleaseOutcome::Finished(usage) => ends.add_finished(permit, usage),
            ReleaseOutcome::Failed(usage) | ReleaseOutcome::Stopped(usage) => {
                ends.unfinished += 1;
                ends.unfinished_ms += u64::from(usage.elapsed_ms);
            }
            ReleaseOutcome::Unused | ReleaseOutcome::Unreachable | ReleaseOutcome::Refused => {}
        }
    }

    /// Get the counts since the owner took over.
    pub(in crate::pool_owner) fn views(&self) -> impl Iterator<Item = SizeView> {
        let ends = self.ends.iter();
        ends.map(|((tier, size), ends)| SizeView {
            tier: *tier,
            size: *size,
            ends: *ends,
        })
    }

    /// Get the counts since the last log lines, if new ones are due.
    fn due(&mut self, now: Moment) -> Vec<SizeView> {
        if self.log_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.log_at = None;
        let earlier = std::mem::replace(&mut self.logged, self.ends.clone());
        let views = self.views().map(|view| {
            let earlier = earlier.get(&(view.tier, view.size)).copied();
            SizeView {
                ends: view.ends.since(&earlier.unwrap_or_default()),
                ..view
            }
        });
        views
            .filter(|view| view.ends != SizeEnds::default())
            .collect()
    }
}

impl SizeEnds {
    fn add_finished(&mut self, permit: &GrantedPermit, usage: &Usage) {
        let expected = permit.finish_at.since(permit.granted_at);
        self.finished += 1;
        self.expected_output += u64::from(permit.cost.decode);
        self.output += u64::from(usage.decode);
        self.expected_ms += expected.as_millis() as u64;
        self.mean_ms += permit.mean_run.as_millis() as u64;
        self.run_ms += u64::from(usage.elapsed_ms);
    }
}

impl ShardOwner {
    /// Log how requests of each size ended, at a bounded rate and only while some were
    /// not served.
    pub(in crate::pool_owner) fn log_sizes(&mut self, now: Moment, actions: &mut Vec<OwnerAction>) {
        let views = self.sizes.due(now).into_iter();
        actions.extend(views.map(|view| OwnerAction::LogSize(self.shard.clone(), view)));
    }
}
