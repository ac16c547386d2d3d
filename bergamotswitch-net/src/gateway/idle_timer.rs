//! Provides the idle timeout of callers' connections, which follows the limit in force.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bergamotswitch_core::publication::Publication;
use hyper::rt::{Sleep, Timer};
use tokio::sync::watch;

/// An `IdleTimer` is a timer whose waits end once the idle limit in force has passed
/// since their deadline. A raised limit prolongs a wait in progress, a lowered one binds
/// from the next wait: callers may rely on either while a change spreads.
#[derive(Clone, Debug)]
pub(super) struct IdleTimer(watch::Receiver<Arc<Publication>>);

impl IdleTimer {
    /// Create a timer that follows the limits of the publication.
    pub fn new(publication: watch::Receiver<Arc<Publication>>) -> Self {
        IdleTimer(publication)
    }

    fn limit(&self) -> Duration {
        let publication = self.0.borrow();
        Duration::from_millis(publication.routes.config().limits.idle_timeout_ms)
    }
}

impl Timer for IdleTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        let until = deadline + self.limit();
        Box::pin(IdleSleep {
            timer: self.clone(),
            idle_since: deadline,
            sleep: Box::pin(tokio::time::sleep_until(until.into())),
        })
    }
}

/// An `IdleSleep` is one wait for the next request of a connection.
struct IdleSleep {
    timer: IdleTimer,
    idle_since: Instant,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl Sleep for IdleSleep {}

impl Future for IdleSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(context));
            let until = (self.idle_since + self.timer.limit()).into();
            if until <= self.sleep.deadline() {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(until);
        }
    }
}
