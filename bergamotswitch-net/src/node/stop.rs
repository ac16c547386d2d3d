//! Provides the planned stop: when a stopping host may end its process.

use std::time::Duration;

use bergamotswitch_core::clock::Moment;

/// How long before the end of the grace answers have to be whole: their last
/// bytes still have to leave, and a busy host is some tenths of a second late.
const WHOLE_MARGIN: Duration = Duration::from_millis(400);

/// How long before the end of the grace a host ends what is still open: long
/// enough for the last answers and log lines to leave, since a killed process
/// tells nothing of what it held.
const CUT_MARGIN: Duration = Duration::from_millis(200);

/// How long before the end of the grace the process ends at the latest.
const EXIT_MARGIN: Duration = Duration::from_millis(80);

/// The most of a grace that a margin takes: four tenths of one second
/// would leave too little for work.
const MARGIN_PARTS: u32 = 8;

/// A `StopTimes` is by when a planned stop gets how far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StopTimes {
    /// When the signal came.
    pub begun_at: Moment,
    /// How long callers keep addresses that were handed out. They are honoured
    /// as long: a caller that connects to a closed port would see a failure
    /// that no fault caused.
    lifetime: Duration,
    /// After which time the process is killed; absent where nothing kills it.
    grace: Option<Duration>,
}

impl StopTimes {
    /// Get the times of a stop that begins now.
    pub fn new(now: Moment, lifetime: Duration, grace: Option<Duration>) -> Self {
        StopTimes {
            begun_at: now,
            lifetime,
            grace,
        }
    }

    /// Get the times under another grace. Which one counts for a stop that is
    /// under way is up to whoever kills the process: the shorter one is safe.
    pub fn with_grace(self, grace: Option<Duration>) -> Self {
        StopTimes {
            grace: match (self.grace, grace) {
                (Some(old), Some(new)) => Some(old.min(new)),
                (old, new) => old.or(new),
            },
            ..self
        }
    }

    /// Get how long callers are taken.
    pub fn door_until(&self) -> Moment {
        self.begun_at.plus(self.lifetime).min(self.whole_by())
    }

    /// Get when answers have to be whole; never where nothing kills the
    /// process.
    pub fn whole_by(&self) -> Moment {
        self.before_end(WHOLE_MARGIN)
    }

    /// Get when what is still open ends.
    pub fn cut_at(&self) -> Moment {
        self.before_end(CUT_MARGIN)
    }

    /// Get when the process ends at the latest.
    pub fn exit_at(&self) -> Moment {
        self.before_end(EXIT_MARGIN)
    }

    /// Get when the process is killed.
    pub fn killed_at(&self) -> Moment {
        self.before_end(Duration::ZERO)
    }

    fn before_end(&self, margin: Duration) -> Moment {
        let Some(grace) = self.grace else {
            return Moment::NEVER;
        };
        let margin = margin.min(grace / MARGIN_PARTS);
        self.begun_at.plus(grace.saturating_sub(margin))
    }
}

/// A `StopPhase` is how far a planned stop is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopPhase {
    /// No stop.
    Serving,
    /// Callers are still taken.
    Lapsing(StopTimes),
    /// The door is closed to new callers; what waits or runs here goes on. A
    /// host that took callers until it was idle would never be idle under
    /// load: it would be killed at the end of its grace with answers open.
    Ending(StopTimes),
    /// The grace is nearly over, and what was still open has been ended.
    Over(StopTimes),
}

impl StopPhase {
    /// Get the phase after a stop signal. A further signal changes nothing.
    pub fn begin(self, times: StopTimes) -> Self {
        match self {
            StopPhase::Serving => StopPhase::Lapsing(times),
            other => other,
        }
    }

    /// Get the phase under another grace.
    pub fn with_grace(self, grace: Option<Duration>) -> Self {
        match self {
            StopPhase::Serving => StopPhase::Serving,
            StopPhase::Lapsing(times) => StopPhase::Lapsing(times.with_grace(grace)),
            StopPhase::Ending(times) => StopPhase::Ending(times.with_grace(grace)),
            StopPhase::Over(times) => StopPhase::Over(times.with_grace(grace)),
        }
    }

    /// Get the phase that has come by time alone, where one has.
    pub fn advance(self, now: Moment) -> Option<Self> {
        match self {
            StopPhase::Lapsing(times) if now >= times.door_until() => {
                Some(StopPhase::Ending(times))
            }
            StopPhase::Ending(times) if now >= times.cut_at() => Some(StopPhase::Over(times)),
            _ => None,
        }
    }

    /// Get the times of the stop that is under way.
    pub fn times(self) -> Option<StopTimes> {
        match self {
            StopPhase::Serving => None,
            StopPhase::Lapsing(times) | StopPhase::Ending(times) | StopPhase::Over(times) => {
                Some(times)
            }
        }
    }

    /// Get whether the host may end: its door is closed and nothing waits or
    /// runs. No timer cuts an answer, but for the one before the kill.
    pub fn may_close(self, idle: bool) -> bool {
        match self {
            StopPhase::Serving | StopPhase::Lapsing(_) => false,
            StopPhase::Ending(_) => idle,
            StopPhase::Over(_) => true,
        }
    }

    /// Get when [`StopPhase::advance`] changes by time alone.
    pub fn next_wake(self) -> Moment {
        match self {
            StopPhase::Lapsing(times) => times.door_until(),
            StopPhase::Ending(times) => times.cut_at(),
            StopPhase::Serving | StopPhase::Over(_) => Moment::NEVER,
        }
    }
}
