//! Provides the schedule and phases of a planned stop.

use std::time::Duration;

use bergamotswitch_core::clock::Moment;

/// How long before the end of the grace period answers have to be complete. Their
/// last bytes still have to be sent, and a busy host runs late.
const WHOLE_MARGIN: Duration = Duration::from_millis(400);

/// How long before the end of the grace period open requests are terminated. The
/// last answers and log lines have to be written before the process is killed.
const CUT_MARGIN: Duration = Duration::from_millis(200);

/// How long before the end of the grace period the process exits at the latest.
const EXIT_MARGIN: Duration = Duration::from_millis(80);

/// The minimum time for sending the last answers.
const LAST_BYTES: Duration = Duration::from_millis(50);

/// The shortest grace period with full margins. The margins shrink in proportion
/// to a shorter one, so that most of it remains for open requests.
const LONG_GRACE: Duration = Duration::from_millis(3_200);

/// A `StopTimes` is the schedule of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StopTimes {
    /// When the stop signal arrived.
    pub begun_at: Moment,
    /// How long callers use addresses that were handed out. Callers are accepted
    /// until then, so that none connects to a closed port.
    lifetime: Duration,
    /// The time after which the process is killed, or `None` if it is not killed.
    grace: Option<Duration>,
}

impl StopTimes {
    /// Create the schedule of a stop that begins now.
    pub fn new(now: Moment, lifetime: Duration, grace: Option<Duration>) -> Self {
        StopTimes {
            begun_at: now,
            lifetime,
            grace,
        }
    }

    /// Change the grace period. Either the old or the new one may apply to a stop
    /// in progress, so the shorter one is used.
    pub fn with_grace(self, grace: Option<Duration>) -> Self {
        StopTimes {
            grace: match (self.grace, grace) {
                (Some(old), Some(new)) => Some(old.min(new)),
                (old, new) => old.or(new),
            },
            ..self
        }
    }

    /// Get the time until which callers are accepted.
    pub fn door_until(&self) -> Moment {
        self.begun_at.plus(self.lifetime).min(self.whole_by())
    }

    /// Get the time by which answers have to be complete, or [`Moment::NEVER`] if
    /// the process is not killed.
    pub fn whole_by(&self) -> Moment {
        self.before_end(WHOLE_MARGIN)
    }

    /// Get the time at which open requests are terminated.
    pub fn cut_at(&self) -> Moment {
        self.before_end(CUT_MARGIN)
    }

    /// Get the time by which the process exits.
    fn exit_at(&self) -> Moment {
        self.before_end(EXIT_MARGIN)
    }

    /// Get the remaining time for sending the last answers, which is never shorter
    /// than a minimum.
    pub fn last_span(&self, now: Moment) -> Duration {
        self.exit_at().since(now).max(LAST_BYTES)
    }

    /// Get the time at which the process is killed.
    pub fn killed_at(&self) -> Moment {
        self.before_end(Duration::ZERO)
    }

    fn before_end(&self, margin: Duration) -> Moment {
        let Some(grace) = self.grace else {
            return Moment::NEVER;
        };
        let part = grace.as_secs_f64() / LONG_GRACE.as_secs_f64();
        let margin = margin.mul_f64(part.min(1.0));
        self.begun_at.plus(grace.saturating_sub(margin))
    }
}

/// A `StopPhase` is the progress of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopPhase {
    /// No stop is in progress.
    Serving,
    /// Callers are accepted until the addresses that were handed out have expired.
    Lapsing(StopTimes),
    /// No new callers are accepted; waiting and running requests continue. A host
    /// that accepted callers until it was idle would be killed under load with
    /// open answers.
    Ending(StopTimes),
    /// The grace period is nearly over and open requests have been terminated.
    Over(StopTimes),
}

impl StopPhase {
    /// Get the phase after a stop signal. Further signals have no effect.
    pub fn begin(self, times: StopTimes) -> Self {
        match self {
            StopPhase::Serving => StopPhase::Lapsing(times),
            other => other,
        }
    }

    /// Change the grace period.
    pub fn with_grace(self, grace: Option<Duration>) -> Self {
        match self {
            StopPhase::Serving => StopPhase::Serving,
            StopPhase::Lapsing(times) => StopPhase::Lapsing(times.with_grace(grace)),
            StopPhase::Ending(times) => StopPhase::Ending(times.with_grace(grace)),
            StopPhase::Over(times) => StopPhase::Over(times.with_grace(grace)),
        }
    }

    /// Get the next phase if its time has come.
    pub fn advance(self, now: Moment) -> Option<Self> {
        match self {
            StopPhase::Lapsing(times) if now >= times.door_until() => {
                Some(StopPhase::Ending(times))
            }
            StopPhase::Ending(times) if now >= times.cut_at() => Some(StopPhase::Over(times)),
            _ => None,
        }
    }

    /// Get the schedule of the stop in progress.
    pub fn times(self) -> Option<StopTimes> {
        match self {
            StopPhase::Serving => None,
            StopPhase::Lapsing(times) | StopPhase::Ending(times) | StopPhase::Over(times) => {
                Some(times)
            }
        }
    }

    /// Get whether the event loop may end: no callers are accepted and the host is
    /// idle, or open requests have been terminated.
    pub fn may_close(self, idle: bool) -> bool {
        match self {
            StopPhase::Serving | StopPhase::Lapsing(_) => false,
            StopPhase::Ending(_) => idle,
            StopPhase::Over(_) => true,
        }
    }

    /// Get the time at which [`StopPhase::advance`] returns the next phase.
    pub fn next_wake(self) -> Moment {
        match self {
            StopPhase::Lapsing(times) => times.door_until(),
            StopPhase::Ending(times) => times.cut_at(),
            StopPhase::Serving | StopPhase::Over(_) => Moment::NEVER,
        }
    }
}
