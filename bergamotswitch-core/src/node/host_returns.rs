//! Provides the estimate of when enough hosts will accept requests again, while this
//! host and most others are stopping.
//!
//! When a whole fleet restarts within seconds, a refused caller would meet another
//! stopping host and use up its retries before the first host is back. The estimate
//! becomes the retry time of refusals.

use std::time::Duration;

use super::core::NodeCore;
use crate::clock::Moment;
use crate::entry::EntryEvent;

/// The reciprocal of the fraction of hosts that must accept requests: enough do when
/// they are more than one in this many.
const READY_HOSTS_DIVISOR: usize = 4;

/// The time from the answer deadline of a stopping host until its next process accepts
/// requests: the rest of the grace period, the start, and the announcement to callers.
const RESTART_MARGIN: Duration = Duration::from_secs(1);

/// A stopped host counts as removed when it has not returned within this multiple of
/// the stop's duration.
const RETURN_TIMEOUT_FACTOR: u32 = 2;

/// A `PlannedStop` is the time span of this host's own planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PlannedStop {
    pub(super) started_at: Moment,
    /// The time by which answers have to be complete; `Moment::NEVER` if the stop has
    /// no time limit.
    pub(super) answers_due: Moment,
}

impl PlannedStop {
    /// Get the expected return of a host that began to stop at `stopped_at`, on the
    /// assumption that all hosts have the same grace period.
    fn expected_return(&self, stopped_at: Moment) -> Moment {
        stopped_at.plus(self.span() + RESTART_MARGIN)
    }

    fn span(&self) -> Duration {
        self.answers_due.since(self.started_at)
    }

    /// Get whether a host that began to stop at `stopped_at` is still expected to
    /// return.
    fn is_expected(&self, now: Moment, stopped_at: Moment) -> bool {
        now < stopped_at.plus(self.span() * RETURN_TIMEOUT_FACTOR + RESTART_MARGIN)
    }
}

impl NodeCore {
    /// Update the estimate of when enough hosts accept requests again, and report
    /// changes to the entry side.
    pub(super) fn review_host_returns(&mut self, now: Moment) {
        let hosts_back_at = self.enough_hosts_at(now);
        if hosts_back_at != self.hosts_back_at {
            self.hosts_back_at = hosts_back_at;
            self.notify_entry(now, EntryEvent::HostsAvailableAt(hosts_back_at));
        }
    }

    /// Get when enough hosts are expected to accept requests again; `None` if they do
    /// now, or if that is unknown.
    fn enough_hosts_at(&self, now: Moment) -> Option<Moment> {
        let stop = self
            .planned_stop
            .filter(|stop| stop.answers_due != Moment::NEVER)?;
        let roster = self.roster.as_ref()?;
        let hosts = roster.ready_hosts(now);
        let others = hosts.iter().filter(|host| host.name != self.identity.host);
        let ready = others.count();
        let stopped = roster.leave_times().filter(|at| stop.is_expected(now, *at));
        let mut returns: Vec<Moment> = stopped.map(|at| stop.expected_return(at)).collect();
        returns.push(stop.expected_return(stop.started_at));
        let required = (ready + returns.len()) / READY_HOSTS_DIVISOR + 1;
        let missing = required.checked_sub(ready + 1)?;
        returns.sort();
        returns.get(missing).copied().filter(|at| *at > now)
    }
}
