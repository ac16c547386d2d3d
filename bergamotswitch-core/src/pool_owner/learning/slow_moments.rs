//! Provides the momentary slowdown of a target whose machine is shared.
//!
//! It answers a load on targets of which some take a multiple of their usual time for
//! some hundred milliseconds, then others. Such a moment is kept apart from the lasting
//! speed of a target: runs are measured in the time that they would have taken as usual,
//! and predictions stretch that time by what is left of the moment.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;
use crate::target::MomentaryPace;

use super::run_time_estimator::as_millis;

/// The factor from which a target counts as slow, for the duration of moments and for
/// how far its figure is trusted. Smaller ones are within the noise of run times.
const SLOW_FACTOR: f64 = 1.25;

/// The bounds of the factor. They limit what a wrong figure does: a target that claims to
/// be faster than usual would attract requests, while beyond the upper bound a target is
/// used last anyway.
const FACTOR_RANGE: (f64, f64) = (0.5, 10.0);

/// The age of a report, in expected durations of a moment, from which it has no weight.
const MAX_REPORT_AGE: f64 = 4.0;

/// The duration, in expected ones, from which a slowdown counts as lasting. The run times
/// take it over then, so that a figure that never changes has a bounded effect.
const LASTING_SPANS: f64 = 12.0;

/// The maximum number of remembered changes of the factor, from which the factor of a run
/// is computed; 32 cover at least ten moments.
const MAX_CHANGES: usize = 32;

/// The weight of one run in how far the figure of a target is trusted.
const TRUST_WEIGHT: f64 = 0.1;

/// The bounds of one run's part in it: the length of a run is a rough estimate.
const TRUST_SAMPLE_RANGE: (f64, f64) = (-1.0, 2.0);

/// A `PaceChange` is a factor and the moment from which it was in force.
#[derive(Clone, Copy, Debug)]
struct PaceChange {
    from: Moment,
    factor: f64,
}

/// A `MomentProgress` is what a report tells about the duration of slow moments.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MomentProgress {
    /// The time for which the target was slow since the report before.
    pub slow_for: Duration,
    /// Whether a slow moment has ended.
    pub has_ended: bool,
}

/// A `SlowMoments` is the momentary slowdown of a target, which decays to none.
#[derive(Debug)]
pub struct SlowMoments {
    span: Duration,
    last: Option<PaceChange>,
    /// Since when the target reports an unusual pace.
    unusual_since: Option<Moment>,
    /// The changes of the factor as reconstructed from the reports, oldest first.
    changes: VecDeque<PaceChange>,
    /// How far the runs bear out what the target reports, from 0 to 1.
    trust: f64,
}

impl SlowMoments {
    /// Create the state of a target whose slow moments are expected to last `prior`.
    pub fn new(prior: Duration) -> Self {
        SlowMoments {
            span: prior,
            last: None,
            unusual_since: None,
            changes: VecDeque::new(),
            trust: 1.0,
        }
    }

    /// Set the expected duration of a slow moment.
    pub fn set_span(&mut self, span: Duration) {
        self.span = span;
    }

    /// Record a pace that the target reported `age` ago. Get what it tells about the
    /// duration of slow moments. A report older than the last one is ignored.
    pub fn record(
        &mut self,
        now: Moment,
        pace: MomentaryPace,
        age: Duration,
    ) -> Option<MomentProgress> {
        let from = before(now, age);
        if age > self.max_age() || self.last.is_some_and(|last| from < last.from) {
            return None;
        }
        let named = match pace.is_usual() {
            true => 1.0,
            false => pace.factor().clamp(FACTOR_RANGE.0, FACTOR_RANGE.1),
        };
        self.unusual_since = match is_unusual(named) {
            true => self.unusual_since.or(Some(from)),
            false => None,
        };
        let lasting = self
            .unusual_since
            .is_some_and(|since| from.since(since) > self.span.mul_f64(LASTING_SPANS));
        let factor = if lasting { 1.0 } else { named };
        let report = PaceChange { from, factor };
        let progress = self.progress_to(report);
        self.add_change(report);
        self.last = Some(report);
        progress.filter(|_| !lasting)
    }

    /// Get the factor by which work takes longer now; 1.0 as usual.
    pub fn factor(&self, now: Moment) -> f64 {
        self.stretch(now).factor()
    }

    /// Get how run times that begin now are stretched.
    pub fn stretch(&self, now: Moment) -> RunStretch {
        let Some(last) = self.last else {
            return RunStretch::default();
        };
        let age = now.since(last.from);
        if last.factor == 1.0 || age > self.max_age() {
            return RunStretch::default();
        }
        RunStretch {
            factor: last.factor.powf(self.trust),
            weight: (-age.as_secs_f64() / self.span.as_secs_f64()).exp(),
            span_ms: as_millis(self.span),
        }
    }

    /// Get the factor by which a run that ended now took longer than usual.
    pub fn run_factor(&self, now: Moment, run: Duration) -> f64 {
        self.reported_factor(now, run, self.trust)
    }

    /// Record a run that ended now and took `measured` times as long as the lasting speed
    /// of the target lets expect. A figure that runs don't bear out loses its weight.
    pub fn record_run(&mut self, now: Moment, run: Duration, measured: f64) {
        let reported = self.reported_factor(now, run, 1.0);
        if !is_unusual(reported) || measured <= 0.0 {
            return;
        }
        let borne_out = measured.ln() / reported.ln();
        let sample = borne_out.clamp(TRUST_SAMPLE_RANGE.0, TRUST_SAMPLE_RANGE.1);
        self.trust = (self.trust + (sample - self.trust) * TRUST_WEIGHT).clamp(0.0, 1.0);
    }

    /// Get the mean factor over a run that ended now, with this trust in the reports.
    fn reported_factor(&self, now: Moment, run: Duration, trust: f64) -> f64 {
        let Some(last) = self.last else {
            return 1.0;
        };
        let begin = before(now, run);
        // Without a report, a moment is assumed to end after its expected duration.
        let mut until = now.min(last.from.plus(self.span)).max(begin);
        let mut usual_ms = as_millis(now.since(until));
        for change in self.changes.iter().rev() {
            let from = change.from.max(begin).min(until);
            let part_ms = as_millis(until.since(from));
            usual_ms += match change.factor == 1.0 {
                true => part_ms,
                false => part_ms / change.factor.powf(trust),
            };
            until = from;
            if from <= begin {
                break;
            }
        }
        usual_ms += as_millis(until.since(begin));
        match usual_ms > 0.0 {
            true => as_millis(run) / usual_ms,
            false => 1.0,
        }
    }

    /// Get the age from which the last report has no weight.
    fn max_age(&self) -> Duration {
        self.span.mul_f64(MAX_REPORT_AGE)
    }

    /// Get what a report tells about the duration of slow moments. A change between two
    /// reports is assumed halfway, and nothing for longer than the expected duration,
    /// since a target without requests reports nothing.
    fn progress_to(&self, report: PaceChange) -> Option<MomentProgress> {
        let last = self.last?;
        let gap = report.from.since(last.from);
        let (was_slow, is_slow) = (last.factor >= SLOW_FACTOR, report.factor >= SLOW_FACTOR);
        let slow_for = match (was_slow, is_slow) {
            (true, true) => gap.min(self.span),
            (true, false) | (false, true) => (gap / 2).min(self.span),
            (false, false) => return None,
        };
        let has_ended = was_slow && !is_slow;
        Some(MomentProgress {
            slow_for,
            has_ended,
        })
    }

    /// Add a report to the changes. Each of two successive reports holds for half of the
    /// time between them, but no longer than the expected duration of a moment.
    fn add_change(&mut self, report: PaceChange) {
        let last = self.last.unwrap_or(PaceChange {
            from: Moment::START,
            factor: 1.0,
        });
        let gap = report.from.since(last.from);
        let held = (gap / 2).min(self.span);
        let is_known = gap <= self.span * 2;
        if last.factor == report.factor && (is_known || report.factor == 1.0) {
            return;
        }
        if !is_known {
            self.push_change(last.from.plus(held), 1.0);
        }
        self.push_change(before(report.from, held), report.factor);
    }

    fn push_change(&mut self, from: Moment, factor: f64) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(PaceChange { from, factor });
    }
}

/// A `RunStretch` is how the run times of a target are stretched by a slow moment, whose
/// rest is uncertain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunStretch {
    /// The factor while the moment lasts.
    factor: f64,
    /// The probability that it still lasts.
    weight: f64,
    /// The expected rest of the moment if it still lasts.
    span_ms: f64,
}

impl Default for RunStretch {
    fn default() -> Self {
        RunStretch {
            factor: 1.0,
            weight: 0.0,
            span_ms: 0.0,
        }
    }
}

impl RunStretch {
    /// Get whether nothing is stretched.
    pub fn is_none(&self) -> bool {
        self.weight == 0.0
    }

    /// Get the expected factor by which work takes longer at this moment.
    pub fn factor(&self) -> f64 {
        1.0 + (self.factor - 1.0) * self.weight
    }

    /// Get the expected time of work that takes `usual_ms` as usual. Only the part of it
    /// that falls into the rest of the moment takes longer; that rest is assumed to be
    /// distributed exponentially, so that it doesn't depend on the moment's age.
    pub fn apply(&self, usual_ms: f64) -> f64 {
        if self.is_none() {
            return usual_ms;
        }
        let slow_ms = self.span_ms * (1.0 - (-usual_ms * self.factor / self.span_ms).exp());
        usual_ms + self.weight * (1.0 - 1.0 / self.factor) * slow_ms
    }
}

fn is_unusual(factor: f64) -> bool {
    factor >= SLOW_FACTOR || factor * SLOW_FACTOR <= 1.0
}

/// Get the moment `span` before `at`.
fn before(at: Moment, span: Duration) -> Moment {
    Moment::START.plus(at.since(Moment::START).saturating_sub(span))
}
