//! Provides the schedule and phases of a planned stop.

use std::time::Duration;

use bergamotswitch_core::clock::Moment;

/// How long before the end of the grace period answers have to be complete. Their
/// last bytes still have to be sent, and a busy host runs late.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);

/// How long before the end of the grace period open requests are terminated. The
/// last answers and log lines have to be written before the process is killed.
const TERMINATION_MARGIN: Duration = Duration::from_millis(200);

/// How long before the end of the grace period the process exits at the latest.
const EXIT_MARGIN: Duration = Duration::from_millis(80);

/// The minimum time for sending the last answers.
const MIN_FLUSH_TIME: Duration = Duration::from_millis(50);

/// The shortest grace period with full margins. The margins shrink in proportion
/// to a shorter one, so that most of it remains for open requests.
const FULL_MARGIN_GRACE: Duration = Duration::from_millis(3_200);

/// A `StopSchedule` is the set of deadlines of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StopSchedule {
    /// The time at which the stop began.
    pub started_at: Moment,
    /// The latest time that is proven to be before the stop signal. The grace period
    /// counts from the signal, which a suspended or busy process handles late.
    signal_after: Moment,
    /// How long callers use the addresses that they received from lookups. Callers are
    /// accepted until then, so that none connects to a closed port.
    lifetime: Duration,
    /// The time after which the process is killed, or `None` if it is not killed.
    grace: Option<Duration>,
}

impl StopSchedule {
    /// Get the schedule of a stop that begins now.
    pub fn new(now: Moment, lifetime: Duration, grace: Option<Duration>) -> Self {
        StopSchedule {
            started_at: now,
            signal_after: now,
            lifetime,
            grace,
        }
    }

    /// Set the latest time that is proven to be before the stop signal.
    pub fn with_signal_after(self, at: Moment) -> Self {
        StopSchedule {
            signal_after: at.min(self.started_at),
            ..self
        }
    }

    /// Change the grace period. Either the old or the new one may apply to a stop
    /// in progress, so the shorter one is used.
    pub fn with_grace(self, grace: Option<Duration>) -> Self {
        StopSchedule {
            grace: match (self.grace, grace) {
                (Some(old), Some(new)) => Some(old.min(new)),
                (old, new) => old.or(new),
            },
            ..self
        }
    }

    /// Get the time until which callers are accepted.
    pub fn accept_until(&self) -> Moment {
        self.started_at
            .plus(self.lifetime)
            .min(self.answer_deadline())
    }

    /// Get the time by which answers have to be complete, or [`Moment::NEVER`] if
    /// the process is not killed.
    pub fn answer_deadline(&self) -> Moment {
        self.before_end(ANSWER_MARGIN)
    }

    /// Get the time at which open requests are terminated.
    pub fn terminate_at(&self) -> Moment {
        self.before_end(TERMINATION_MARGIN)
    }

    /// Get the time by which the process exits.
    fn exit_at(&self) -> Moment {
        self.before_end(EXIT_MARGIN)
    }

    /// Get the remaining time for sending the last answers, which is never shorter
    /// than a minimum.
    pub fn flush_time(&self, now: Moment) -> Duration {
        self.exit_at().since(now).max(MIN_FLUSH_TIME)
    }

    /// Get the time at which the process is killed.
    pub fn killed_at(&self) -> Moment {
        self.before_end(Duration::ZERO)
    }

    fn before_end(&self, margin: Duration) -> Moment {
        let Some(grace) = self.grace else {
            return Moment::NEVER;
        };
        let scale = grace.as_secs_f64() / FULL_MARGIN_GRACE.as_secs_f64();
        let margin = margin.mul_f64(scale.min(1.0));
        self.signal_after.plus(grace.saturating_sub(margin))
    }
}

/// A `StopPhase` is the progress of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopPhase {
    /// No stop is in progress.
    Serving,
    /// Callers are accepted until the addresses that they received from lookups have
    /// expired.
    AwaitingExpiry(StopSchedule),
    /// No new callers are accepted; waiting and running requests continue. A host
    /// that accepted callers until it was idle would be killed under load with
    /// open answers.
    Draining(StopSchedule),
    /// The grace period is nearly over and open requests have been terminated.
    GraceEnding(StopSchedule),
}

impl StopPhase {
    /// Get the phase after a stop signal. Further signals have no effect.
    pub fn begin(self, schedule: StopSchedule) -> Self {
        match self {
            StopPhase::Serving => StopPhase::AwaitingExpiry(schedule),
            other => other,
        }
    }

    /// Change the grace period.
    pub fn with_grace(self, grace: Option<Duration>) -> Self {
        match self {
            StopPhase::Serving => StopPhase::Serving,
            StopPhase::AwaitingExpiry(schedule) => {
                StopPhase::AwaitingExpiry(schedule.with_grace(grace))
            }
            StopPhase::Draining(schedule) => StopPhase::Draining(schedule.with_grace(grace)),
            StopPhase::GraceEnding(schedule) => StopPhase::GraceEnding(schedule.with_grace(grace)),
        }
    }

    /// Get the next phase if its time has come.
    pub fn advance(self, now: Moment) -> Option<Self> {
        match self {
            StopPhase::AwaitingExpiry(schedule) if now >= schedule.accept_until() => {
                Some(StopPhase::Draining(schedule))
            }
            StopPhase::Draining(schedule) if now >= schedule.terminate_at() => {
                Some(StopPhase::GraceEnding(schedule))
            }
            _ => None,
        }
    }

    /// Get the schedule of the stop in progress.
    pub fn schedule(self) -> Option<StopSchedule> {
        match self {
            StopPhase::Serving => None,
            StopPhase::AwaitingExpiry(schedule)
            | StopPhase::Draining(schedule)
            | StopPhase::GraceEnding(schedule) => Some(schedule),
        }
    }

    /// Get whether the event loop may end: no callers are accepted and the host is
    /// idle, or open requests have been terminated.
    pub fn may_close(self, idle: bool) -> bool {
        match self {
            StopPhase::Serving | StopPhase::AwaitingExpiry(_) => false,
            StopPhase::Draining(_) => idle,
            StopPhase::GraceEnding(_) => true,
        }
    }

    /// Get the time at which [`StopPhase::advance`] returns the next phase.
    pub fn next_wake(self) -> Moment {
        match self {
            StopPhase::AwaitingExpiry(schedule) => schedule.accept_until(),
            StopPhase::Draining(schedule) => schedule.terminate_at(),
            StopPhase::Serving | StopPhase::GraceEnding(_) => Moment::NEVER,
        }
    }
}
