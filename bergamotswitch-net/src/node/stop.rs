//! Provides the planned stop: when a stopping host may end its process.

use std::time::Duration;

use bergamotswitch_core::clock::Moment;

/// A `StopPhase` is how far a planned stop is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopPhase {
    /// No stop.
    Serving,
    /// Addresses that were handed out are still honoured until this moment:
    /// a caller that connects to a closed port would see a failure that no
    /// fault caused.
    Lapsing(Moment),
    /// The door is closed to new callers; what waits or runs here goes on. A
    /// host that took callers until it was idle would never be idle under
    /// load: it would be killed at the end of its grace with answers open.
    Ending,
}

impl StopPhase {
    /// Get the phase after a stop signal. A further signal changes nothing.
    pub fn begin(self, now: Moment, lifetime: Duration) -> Self {
        match self {
            StopPhase::Serving => StopPhase::Lapsing(now.plus(lifetime)),
            other => other,
        }
    }

    /// Get the phase once the addresses have lapsed, where they have now.
    pub fn lapsed(self, now: Moment) -> Option<Self> {
        match self {
            StopPhase::Lapsing(until) if now >= until => Some(StopPhase::Ending),
            _ => None,
        }
    }

    /// Get whether the host may end: its door is closed and nothing waits or
    /// runs. No timer cuts an answer.
    pub fn may_close(self, idle: bool) -> bool {
        idle && self == StopPhase::Ending
    }

    /// Get when [`StopPhase::lapsed`] changes by time alone.
    pub fn next_wake(self) -> Moment {
        match self {
            StopPhase::Lapsing(until) => until,
            StopPhase::Serving | StopPhase::Ending => Moment::NEVER,
        }
    }
}
