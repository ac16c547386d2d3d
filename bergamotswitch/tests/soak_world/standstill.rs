//! The time for which the test itself, with its callers, targets and store, got no
//! processor: what hosts seem to be late may be that.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// A `StandstillWatch` looks at the clock while it is kept.
pub struct StandstillWatch {
    longest: Rc<Cell<Duration>>,
    task: JoinHandle<()>,
}

impl Drop for StandstillWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StandstillWatch {
    pub fn begin() -> Self {
        let longest = Rc::new(Cell::new(Duration::ZERO));
        let task = spawn_local(watch(Rc::clone(&longest)));
        StandstillWatch { longest, task }
    }

    /// Get the longest standstill so far.
    pub fn longest(&self) -> Duration {
        self.longest.get()
    }
}

async fn watch(longest: Rc<Cell<Duration>>) {
    loop {
        let begun = Instant::now();
        sleep(LOOK_INTERVAL).await;
        let late = begun.elapsed().saturating_sub(LOOK_INTERVAL);
        longest.set(longest.get().max(late));
    }
}
