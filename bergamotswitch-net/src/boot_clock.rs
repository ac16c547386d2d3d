//! Provides the clock by which a host tells how old its beliefs are.

use bergamotswitch_core::clock::Moment;
use rustix::time::{ClockId, clock_gettime};

const NANOS_PER_MICRO: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A `BootClock` gives moments since its making. Time in which the machine
/// was suspended counts: a host that slept would otherwise take what it knew
/// before for fresh, and go on to accept a key that was revoked meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    started_micros: u64,
}

impl BootClock {
    /// Get a clock that starts now.
    pub fn start() -> Self {
        BootClock {
            started_micros: boot_micros(),
        }
    }

    /// Get the moment.
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
