//! Provides the monotonic time that is passed to every state machine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A `Moment` is a point on one process's monotonic clock, in microseconds
/// since that process started. Moments of different processes are not
/// comparable; messages between hosts carry a [`Duration`] instead.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment(u64);

impl Moment {
    /// The start of the process.
    pub const START: Moment = Moment(0);
    /// A moment in the infinite future, for timers that are not armed.
    pub const NEVER: Moment = Moment(u64::MAX);

    /// Get the moment `micros` microseconds after the start.
    pub const fn from_micros(micros: u64) -> Self {
        Moment(micros)
    }

    /// Get the moment `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Moment(millis.saturating_mul(1000))
    }

    /// Get the microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Get the time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Get the moment `span` after this one, or [`Moment::NEVER`] on overflow.
    pub const fn plus(self, span: Duration) -> Moment {
        let micros = span.as_micros();
        if micros > u64::MAX as u128 {
            return Moment::NEVER;
        }
        Moment(self.0.saturating_add(micros as u64))
    }
}
