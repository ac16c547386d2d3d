//! Provides the table of cold targets, which bear a lower rate of requests for a while.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::name::TargetName;
use crate::route::{ColdSpec, RouteTable};
use crate::target::RequestRate;
use crate::target_list::{TargetEntry, TargetList};

/// The longest time for which a registration can make a target cold.
const MAX_COLD_TIME: Duration = Duration::from_secs(60);

/// A `ColdTarget` is the limit of a target while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdTarget {
    /// The rate of requests that it bears from all hosts together.
    pub rate: RequestRate,
    /// When it is warm.
    pub until: Moment,
}

/// A `ColdCause` is what shows that a target is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// Its registration.
    Registration,
    /// Its failure domain was taken back. Targets may be cold then, and their registrations
    /// tell it later.
    TakenBack,
}

impl ColdCause {
    /// Get the cause's name in log lines.
    pub fn label(self) -> &'static str {
        match self {
            ColdCause::Registration => "registration",
            ColdCause::TakenBack => "domain-taken-back",
        }
    }
}

/// A `ColdFinding` is a target that was found to be cold, or cold for longer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdFinding {
    /// The target.
    pub target: TargetName,
    /// Its limit.
    pub cold: ColdTarget,
    /// What shows it.
    pub cause: ColdCause,
}

/// A `ColdMark` identifies a registration of a target in a state of warmth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ColdMark {
    warming_ms: u64,
    warming_revision: u64,
    started_at_ms: Option<u64>,
}

impl ColdMark {
    fn of(entry: &TargetEntry) -> Self {
        ColdMark {
            warming_ms: entry.warming_ms,
            warming_revision: entry.warming_revision,
            started_at_ms: entry.started_at_ms,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownWarmth {
    mark: ColdMark,
    until: Moment,
}

/// A `ColdTable` is when each registered target is warm, on this host's clock.
///
/// The remaining time of a registration counts from when this host first sees it. It was
/// written earlier, so a target counts as cold for at least as long as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdTable {
    known: BTreeMap<TargetName, KnownWarmth>,
}

impl ColdTable {
    /// Update the table from the registered targets; get those that turned cold.
    pub fn update(
        &mut self,
        now: Moment,
        list: &TargetList,
        routes: &RouteTable,
    ) -> Vec<ColdFinding> {
        let mut findings = Vec::new();
        let mut known = BTreeMap::new();
        for entry in &list.targets {
            let mark = ColdMark::of(entry);
            let earlier = self.known.get(&entry.name);
            let warmth = match earlier.filter(|earlier| earlier.mark == mark) {
                Some(earlier) => *earlier,
                None => KnownWarmth {
                    mark,
                    until: now.plus(Duration::from_millis(mark.warming_ms).min(MAX_COLD_TIME)),
                },
            };
            let was_cold = earlier.is_some_and(|earlier| earlier.until > now);
            if !was_cold {
                let cold = limit(now, warmth, &spec(routes, entry));
                findings.extend(finding(entry, cold, ColdCause::Registration));
            }
            known.insert(entry.name.clone(), warmth);
        }
        self.known = known;
        findings
    }

    /// Record that the domains of these targets were taken back; get the targets that may
    /// be cold now.
    pub fn take_back<'a>(
        &mut self,
        now: Moment,
        entries: impl Iterator<Item = &'a TargetEntry>,
        routes: &RouteTable,
    ) -> Vec<ColdFinding> {
        let mut findings = Vec::new();
        for entry in entries {
            let spec = spec(routes, entry);
            let Some(known) = self.known.get_mut(&entry.name) else {
                continue;
            };
            let until = now.plus(Duration::from_millis(spec.start_ms).min(MAX_COLD_TIME));
            known.until = known.until.max(until);
            let cold = limit(now, *known, &spec);
            findings.extend(finding(entry, cold, ColdCause::TakenBack));
        }
        findings
    }

    /// Get the limit of a target, if it is cold and its pool limits the rate of cold targets.
    pub fn limit_of(
        &self,
        now: Moment,
        entry: &TargetEntry,
        routes: &RouteTable,
    ) -> Option<ColdTarget> {
        let known = self.known.get(&entry.name)?;
        limit(now, *known, &spec(routes, entry))
    }
}

fn finding(entry: &TargetEntry, cold: Option<ColdTarget>, cause: ColdCause) -> Option<ColdFinding> {
    Some(ColdFinding {
        target: entry.name.clone(),
        cold: cold?,
        cause,
    })
}

fn spec(routes: &RouteTable, entry: &TargetEntry) -> ColdSpec {
    let spec = routes.pool(&entry.pool);
    spec.map_or_else(ColdSpec::default, |spec| spec.cold)
}

fn limit(now: Moment, known: KnownWarmth, spec: &ColdSpec) -> Option<ColdTarget> {
    let rate = spec.rate.filter(|_| known.until > now)?;
    Some(ColdTarget {
        rate,
        until: known.until,
    })
}
