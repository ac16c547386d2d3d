//! Provides the load of this host, by which callers are steered.

use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::EntryView;
use tokio::runtime::Handle;

/// A host with nothing to spare, in thousandths.
const FULL: u64 = 1_000;

/// The waiting requests at which a host counts as full. With bodies of 64 KB
/// they hold a quarter of its 256 MB.
const WAITING_AT_FULL: u64 = 1_000;

/// The only worker of a current-thread runtime.
const WORKER: usize = 0;

/// A `LoadGauge` measures how busy the host's one thread is.
#[derive(Debug, Default)]
pub(super) struct LoadGauge {
    seen_at: Moment,
    busy: Duration,
}

impl LoadGauge {
    /// Get the load since the last look, in thousandths of what the host can
    /// carry: the thread's busy share, or the room that waiting requests
    /// take, whichever is more. The whole thread counts, not the loop alone:
    /// connections are served beside it.
    pub fn measure(&mut self, now: Moment, desk: &EntryView) -> u16 {
        let busy = Handle::current()
            .metrics()
            .worker_total_busy_duration(WORKER);
        let span = now.since(self.seen_at).as_micros().max(1) as u64;
        let worked = busy.saturating_sub(self.busy).as_micros() as u64;
        self.seen_at = now;
        self.busy = busy;
        let waiting: u64 = desk.waiting.iter().map(|count| u64::from(*count)).sum();
        let share = worked * FULL / span;
        let room = waiting * FULL / WAITING_AT_FULL;
        share.max(room).min(FULL) as u16
    }
}
