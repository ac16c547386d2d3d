//! The time for which the test itself, with its callers, targets and store, got no
//! processor: what hosts seem to be late may be that.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// A `StandstillWatch` looks at the clock while it is kept.
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
        let task = spawn_local(watch(Rc::clone(&longest)));
        StallMonitor { longest, task }
    }

    /// Get the longest standstill so far.
    pub fn longest(&self) -> Duration {
        self.longest.get()
    }
}

async fn watch(longest: Rc<Cell<Duration>>) {
    loop {
        let started = Instant::now();
        sleep(SAMPLE_INTERVAL).await;
        let late = started.elapsed().saturating_sub(SAMPLE_INTERVAL);
        longest.set(longest.get().max(late));
    }
}
