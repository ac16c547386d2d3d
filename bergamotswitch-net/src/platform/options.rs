//! Provides the timeouts of calls to the platform.

use std::time::Duration;

use bergamotswitch_core::publication::FleetLimits;
use bergamotswitch_core::revision::RevisionOptions;

/// The minimum wait of a watch. An unresponsive connection is detected after
/// the wait and [`WATCH_MARGIN`]; reconnecting after that, a host must still
/// apply a change within 9 s. This holds if the read budget is at least 60
/// reads a minute; with fewer, hosts depend on the watches of other hosts that
/// read the services.
const MIN_WATCH_WAIT: Duration = Duration::from_secs(4);

/// The time after its wait by which a watch must have been answered.
pub(super) const WATCH_MARGIN: Duration = Duration::from_millis(500);

/// The maximum wait of a watch. It bounds how long a watching host misses that
/// other hosts now read the services, while it may be the only one that knows
/// of a value.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// The denominator of the fraction of the read budget that watches may use when
/// no call fails: three quarters. The rest is reserved for reads after
/// failures.
const WATCH_SHARE_DENOMINATOR: u64 = 4;

/// A `PlatformOptions` is the set of timeouts of platform calls.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    pub(crate) connect_timeout: Duration,
    pub(crate) answer_timeout: Duration,
    pub(crate) watch_wait: Duration,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        PlatformOptions {
            connect_timeout: Duration::from_secs(1),
            answer_timeout: Duration::from_secs(2),
            watch_wait: watch_wait(FleetLimits::default().reads_per_minute),
        }
    }
}

impl PlatformOptions {
    /// Set the timeout for establishing a connection.
    pub fn with_connect_timeout(mut self, span: Duration) -> Self {
        self.connect_timeout = span;
        self
    }

    /// Set the timeout for a complete answer. For a watch it is added to the
    /// wait, capped at half a second.
    pub fn with_answer_timeout(mut self, span: Duration) -> Self {
        self.answer_timeout = span;
        self
    }

    /// Set the options that the published limits determine.
    pub fn with_limits(self, limits: &FleetLimits) -> Self {
        self.with_watch_wait(watch_wait(limits.reads_per_minute))
    }

    /// Get the wait that a watch requests from the service.
    pub fn watch_wait(&self) -> Duration {
        self.watch_wait
    }

    /// Set the wait that a watch requests from the service.
    pub fn with_watch_wait(mut self, span: Duration) -> Self {
        self.watch_wait = span;
        self
    }
}

/// Get the shortest wait with which the watches of all values stay within the
/// read budget. Shorter watches would exhaust it, and values would go unwatched
/// until the next read is allowed.
fn watch_wait(reads_per_minute: u64) -> Duration {
    let values = RevisionOptions::default().value_count() as u64;
    let minute = Duration::from_secs(60).as_millis() as u64;
    let millis = values * minute * WATCH_SHARE_DENOMINATOR / (3 * reads_per_minute.max(1));
    Duration::from_millis(millis).clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT)
}
