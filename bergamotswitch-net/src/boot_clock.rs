//! Provides the monotonic clock from which a host computes the age of its state.

use bergamotswitch_core::clock::Moment;
use rustix::time::{ClockId, clock_gettime};

const NANOS_PER_MICRO: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A `BootClock` is a monotonic clock that includes time during which the
/// machine was suspended. Otherwise a resumed host would treat stale state as
/// fresh, and accept an API key that was revoked in the meantime.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    started_micros: u64,
}

impl BootClock {
    /// Get a clock whose zero is the current time.
    pub fn start() -> Self {
        BootClock {
            started_micros: boot_micros(),
        }
    }

    /// Get the time elapsed since the clock was started.
    pub fn now(&self) -> Moment {
        Moment::from_micros(boot_micros().saturating_sub(self.started_micros))
    }
}

fn boot_micros() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO
}
