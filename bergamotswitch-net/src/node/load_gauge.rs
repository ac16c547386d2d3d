//! Provides the load measurement of a host, by which callers are distributed.

use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::EntryView;
use tokio::runtime::Handle;

/// The load of a saturated host, in thousandths.
const SATURATED: u64 = 1_000;

/// The number of waiting requests at which a host is saturated. With bodies of
/// 64 KB they take a quarter of a memory limit of 256 MB.
const WAITING_AT_SATURATION: u64 = 1_000;

/// The index of the only worker of a current-thread runtime.
const WORKER: usize = 0;

/// A `LoadGauge` measures the utilization of the host's thread.
#[derive(Debug, Default)]
pub(super) struct LoadGauge {
    measured_at: Moment,
    busy: Duration,
}

impl LoadGauge {
    /// Measure the load since the last measurement, in thousandths of the capacity.
    /// It is the higher of the thread's busy fraction and the occupancy of the
    /// queue. The thread also serves connections, so its total busy time counts,
    /// not only that of the event loop.
    pub fn measure(&mut self, now: Moment, view: &EntryView) -> u16 {
        let busy = Handle::current()
            .metrics()
            .worker_total_busy_duration(WORKER);
        let span = now.since(self.measured_at).as_micros().max(1) as u64;
        let worked = busy.saturating_sub(self.busy).as_micros() as u64;
        self.measured_at = now;
        self.busy = busy;
        let waiting: u64 = view.waiting.iter().map(|count| u64::from(*count)).sum();
        let utilization = worked * SATURATED / span;
        let queue_load = waiting * SATURATED / WAITING_AT_SATURATION;
        utilization.max(queue_load).min(SATURATED) as u16
    }
}
