//! Provides the moment at which enough hosts are expected to take callers again,
//! while this one stops and few others do.
//!
//! Where a whole fleet stops within seconds, a caller that is turned away meets
//! another stopping host, and uses up its few attempts within a second: one sees
//! many refusals `stopping` of the same request, and callers that give up before
//! the first host is back. Told when that will be, it comes back then.

use std::time::Duration;

use super::core::NodeCore;
use crate::clock::Moment;
use crate::entry::EntryEvent;

/// Few hosts take callers where at most one in so many does: whoever is turned
/// away then meets a host that takes callers in one try of four at best.
const READY_HOSTS_DIVISOR: usize = 4;

/// From the moment by which a stopping host's answers are whole until its next
/// process takes callers: the rest of its grace, its start, and the time until
/// callers hear of it.
const RESTART_MARGIN: Duration = Duration::from_secs(1);

/// How many times the span of a stop a host that stopped is expected back. One
/// that has not returned by then has left for good.
const RETURN_TIMEOUT_FACTOR: u32 = 2;

/// A `PlannedStop` is what this host knows of its own planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PlannedStop {
    pub(super) started_at: Moment,
    /// By when answers have to be whole; never where nothing kills the process.
    pub(super) answers_due: Moment,
}

impl PlannedStop {
    /// Get when a host is expected back that began to stop then: the hosts of a
    /// fleet are given the same grace.
    fn expected_return(&self, stopped_at: Moment) -> Moment {
        stopped_at.plus(self.span() + RESTART_MARGIN)
    }

    fn span(&self) -> Duration {
        self.answers_due.since(self.started_at)
    }

    /// Get whether a host that began to stop then is still expected.
    fn is_expected(&self, now: Moment, stopped_at: Moment) -> bool {
        now < stopped_at.plus(self.span() * RETURN_TIMEOUT_FACTOR + RESTART_MARGIN)
    }
}

impl NodeCore {
    /// While this host stops, tell the desk when enough hosts are expected to
    /// take callers again.
    pub(super) fn review_host_returns(&mut self, now: Moment) {
        let hosts_back_at = self.enough_hosts_at(now);
        if hosts_back_at != self.hosts_back_at {
            self.hosts_back_at = hosts_back_at;
            self.notify_entry(now, EntryEvent::OthersBack(hosts_back_at));
        }
    }

    /// Get when enough hosts take callers again, as far as this one knows; `None`
    /// where they do now, or nobody can tell.
    fn enough_hosts_at(&self, now: Moment) -> Option<Moment> {
        let stop = self
            .planned_stop
            .filter(|stop| stop.answers_due != Moment::NEVER)?;
        let roster = self.roster.as_ref()?;
        let hosts = roster.ready_hosts(now);
        let others = hosts.iter().filter(|host| host.name != self.me.host);
        let ready = others.count();
        let left = roster.left_hosts().filter(|at| stop.is_expected(now, *at));
        let mut returns: Vec<Moment> = left.map(|at| stop.expected_return(at)).collect();
        returns.push(stop.expected_return(stop.started_at));
        let enough = (ready + returns.len()) / READY_HOSTS_DIVISOR + 1;
        let missing = enough.checked_sub(ready + 1)?;
        returns.sort();
        returns.get(missing).copied().filter(|at| *at > now)
    }
}
