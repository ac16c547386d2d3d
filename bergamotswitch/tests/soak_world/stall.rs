//! Provides a monitor of scheduling stalls of the test process, which runs the
//! callers, targets and store: such a stall can look like a slow host.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// A `StallMonitor` measures how late a periodic timer fires, until it is dropped.
pub struct StallMonitor {
    longest: Rc<Cell<Duration>>,
    task: JoinHandle<()>,
}

impl Drop for StallMonitor {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StallMonitor {
    pub fn start() -> Self {
        let longest = Rc::new(Cell::new(Duration::ZERO));
        let task = spawn_local(measure_stalls(Rc::clone(&longest)));
        StallMonitor { longest, task }
    }

    /// Get the longest stall so far.
    pub fn longest(&self) -> Duration {
        self.longest.get()
    }
}

async fn measure_stalls(longest: Rc<Cell<Duration>>) {
    loop {
        let started = Instant::now();
        sleep(SAMPLE_INTERVAL).await;
        let late = started.elapsed().saturating_sub(SAMPLE_INTERVAL);
        longest.set(longest.get().max(late));
    }
}
