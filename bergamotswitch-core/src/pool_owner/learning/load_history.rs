//! Provides the part of a target's reported load that is not from this owner's
//! permits.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;
use crate::target::LoadReport;

use super::speed_estimator::decay;

/// How far back this owner's own token count is kept; older reports are
/// dropped.
const HISTORY_SPAN: Duration = Duration::from_secs(10);

/// The maximum number of changes kept.
const HISTORY_LEN: usize = 512;

/// The age at which a report's weight is halved.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);

/// A `CountChange` is this owner's token count at a target from a point in time
/// on.
#[derive(Clone, Copy, Debug)]
struct CountChange {
    at: Moment,
    outstanding: u64,
}

/// A `LoadHistory` compares load reports with this owner's token count at the
/// time when each was taken.
///
/// Compared with the current count, a delayed report would attribute work that
/// has ended since to other senders, and the target would be underused.
#[derive(Debug, Default)]
pub struct LoadHistory {
    changes: VecDeque<CountChange>,
    foreign_tokens: u64,
    measured_at: Moment,
}

impl LoadHistory {
    /// Record this owner's token count from `now` on.
    pub fn record(&mut self, now: Moment, outstanding: u64) {
        self.changes.push_back(CountChange {
            at: now,
            outstanding,
        });
        // Keep the newest change before the span: it is the count at the span's
        // start.
        while self.changes.len() > 2 && now.since(self.changes[1].at) > HISTORY_SPAN {
            self.changes.pop_front();
        }
        if self.changes.len() > HISTORY_LEN {
            self.changes.pop_front();
        }
    }

    /// Apply a load report, which may be delayed.
    pub fn report(&mut self, now: Moment, report: &LoadReport) {
        let age = Duration::from_millis(u64::from(report.age_ms));
        if age > HISTORY_SPAN {
            return;
        }
        let age_micros = age.as_micros() as u64;
        let at = Moment::from_micros(now.as_micros().saturating_sub(age_micros));
        // Reports may arrive out of order; an older one must not replace a
        // newer one.
        if at < self.measured_at {
            return;
        }
        self.measured_at = at;
        // Reports are not validated; an absurd value must not cause an overflow.
        let reported = report.outstanding_tokens.min(u64::from(u32::MAX));
        self.foreign_tokens = reported.saturating_sub(self.count_at(at));
    }

    /// Get the tokens at the target that are not from this owner's permits,
    /// weighted by the report's age.
    pub fn foreign_tokens(&self, now: Moment) -> u64 {
        if self.foreign_tokens == 0 {
            return 0;
        }
        let weight = decay(now.since(self.measured_at), REPORT_HALF_LIFE);
        (self.foreign_tokens as f64 * weight) as u64
    }

    fn count_at(&self, at: Moment) -> u64 {
        let before = self.changes.iter().rev().find(|change| change.at <= at);
        match (before, self.changes.front()) {
            (Some(change), _) => change.outstanding,
            // The history was truncated: its first entry is the closest one.
            (None, Some(first)) if self.changes.len() >= HISTORY_LEN => first.outstanding,
            (None, _) => 0,
        }
    }
}
