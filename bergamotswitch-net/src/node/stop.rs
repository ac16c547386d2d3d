//! Provides the planned stop: when a stopping host may end its process.

use std::time::Duration;

use bergamotswitch_core::clock::Moment;

/// How long before the end of the grace the log tells what is still open: long
/// enough for its lines to leave a busy host, since a killed process tells
/// nothing of what it held.
const LAST_LOOK: Duration = Duration::from_millis(600);

/// A `StopTimes` is by when a planned stop gets how far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StopTimes {
    /// When the signal came.
    pub begun_at: Moment,
    /// How long callers are taken: addresses that were handed out are still
    /// honoured, since a caller that connects to a closed port would see a
    /// failure that no fault caused.
    pub door_until: Moment,
    /// When the process is killed; never where no grace is known.
    pub killed_at: Moment,
}

impl StopTimes {
    /// Get the times of a stop that begins now.
    pub fn new(now: Moment, lifetime: Duration, grace: Option<Duration>) -> Self {
        StopTimes {
            begun_at: now,
            door_until: now.plus(lifetime),
            killed_at: grace.map_or(Moment::NEVER, |grace| now.plus(grace)),
        }
    }

    /// Get when the log tells what is still open.
    fn last_look(&self) -> Moment {
        match self.killed_at {
            Moment::NEVER => Moment::NEVER,
            at => self
                .begun_at
                .plus(at.since(self.begun_at).saturating_sub(LAST_LOOK)),
        }
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
    /// As before, and the grace is nearly over.
    Overdue(StopTimes),
}

impl StopPhase {
    /// Get the phase after a stop signal. A further signal changes nothing.
    pub fn begin(self, times: StopTimes) -> Self {
        match self {
            StopPhase::Serving => StopPhase::Lapsing(times),
            other => other,
        }
    }

    /// Get the phase that has come by time alone, where one has.
    pub fn advance(self, now: Moment) -> Option<Self> {
        match self {
            StopPhase::Lapsing(times) if now >= times.door_until => Some(StopPhase::Ending(times)),
            StopPhase::Ending(times) if now >= times.last_look() => Some(StopPhase::Overdue(times)),
            _ => None,
        }
    }

    /// Get the times of the stop that is under way.
    pub fn times(self) -> Option<StopTimes> {
        match self {
            StopPhase::Serving => None,
            StopPhase::Lapsing(times) | StopPhase::Ending(times) | StopPhase::Overdue(times) => {
                Some(times)
            }
        }
    }

    /// Get whether the host may end: its door is closed and nothing waits or
    /// runs. No timer cuts an answer.
    pub fn may_close(self, idle: bool) -> bool {
        idle && matches!(self, StopPhase::Ending(_) | StopPhase::Overdue(_))
    }

    /// Get when [`StopPhase::advance`] changes by time alone.
    pub fn next_wake(self) -> Moment {
        match self {
            StopPhase::Lapsing(times) => times.door_until,
            StopPhase::Ending(times) => times.last_look(),
            StopPhase::Serving | StopPhase::Overdue(_) => Moment::NEVER,
        }
    }
}
