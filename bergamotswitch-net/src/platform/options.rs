//! Provides the time limits of calls to the platform.

use std::time::Duration;

use bergamotswitch_core::publication::FleetLimits;
use bergamotswitch_core::revision::RevisionOptions;

/// The shortest wait of a watch. A connection that went silent is noticed
/// after the wait and [`WATCH_MARGIN`]; with a new connection after that a
/// change must still be in force within 9 s. That holds from 60 reads a minute
/// on; with fewer, another reader's watch has to bring the change.
const MIN_WATCH_WAIT: Duration = Duration::from_secs(4);

/// How long after its wait a watch may end: the service answers in
/// milliseconds.
pub(super) const WATCH_MARGIN: Duration = Duration::from_millis(500);

/// The longest wait of a watch: a change of the readers, which may be the only
/// one to hear of a value, must not go unnoticed for longer.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Of as many calls the watches at rest take three; the rest is for reads
/// after failures.
const WATCH_SHARE_DENOMINATOR: u64 = 4;

/// A `PlatformOptions` is the set of time limits of all calls.
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
    /// Set how long a connection may take to be established.
    pub fn with_connect_timeout(mut self, span: Duration) -> Self {
        self.connect_timeout = span;
        self
    }

    /// Set how long a whole answer may take. For a watch it is the margin
    /// beyond its wait, where it is short.
    pub fn with_answer_timeout(mut self, span: Duration) -> Self {
        self.answer_timeout = span;
        self
    }

    /// Set what the published limits bound.
    pub fn with_limits(self, limits: &FleetLimits) -> Self {
        self.with_watch_wait(watch_wait(limits.reads_per_minute))
    }

    /// Get how long a watch asks the service to wait.
    pub fn watch_wait(&self) -> Duration {
        self.watch_wait
    }

    /// Set how long a watch asks the service to wait.
    pub fn with_watch_wait(mut self, span: Duration) -> Self {
        self.watch_wait = span;
        self
    }
}

/// Get the wait with which the watches of all values stay within the reads.
/// Shorter watches would use the reads up, and each value would then go
/// unwatched until the next read is allowed.
fn watch_wait(reads_per_minute: u64) -> Duration {
    let values = RevisionOptions::default().value_count() as u64;
    let minute = Duration::from_secs(60).as_millis() as u64;
    let millis = values * minute * WATCH_SHARE_DENOMINATOR / (3 * reads_per_minute.max(1));
    Duration::from_millis(millis).clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT)
}
