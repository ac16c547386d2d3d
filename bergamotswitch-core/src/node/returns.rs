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
const FEW_PARTS: usize = 4;

/// From the moment by which a stopping host's answers are whole until its next
/// process takes callers: the rest of its grace, its start, and the time until
/// callers hear of it.
const RETURN_MARGIN: Duration = Duration::from_secs(1);

/// How many times the span of a stop a host that stopped is expected back. One
/// that has not returned by then has left for good.
const GONE_FACTOR: u32 = 2;

/// A `PlannedEnd` is what this host knows of its own planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PlannedEnd {
    pub(super) begun_at: Moment,
    /// By when answers have to be whole; never where nothing kills the process.
    pub(super) whole_by: Moment,
}

impl PlannedEnd {
    /// Get when a host is expected back that began to stop then: the hosts of a
    /// fleet are given the same grace.
    fn back_at(&self, left_at: Moment) -> Moment {
        left_at.plus(self.span() + RETURN_MARGIN)
    }

    fn span(&self) -> Duration {
        self.whole_by.since(self.begun_at)
    }

    /// Get whether a host that began to stop then is still expected.
    fn is_expected(&self, now: Moment, left_at: Moment) -> bool {
        now < left_at.plus(self.span() * GONE_FACTOR + RETURN_MARGIN)
    }
}

impl NodeCore {
    /// While this host stops, tell the desk when enough hosts are expected to
    /// take callers again.
    pub(super) fn review_returns(&mut self, now: Moment) {
        let back_at = self.enough_at(now);
        if back_at != self.back_at {
            self.back_at = back_at;
            self.tell_desk(now, EntryEvent::OthersBack(back_at));
        }
    }

    /// Get when enough hosts take callers again, as far as this one knows; `None`
    /// where they do now, or nobody can tell.
    fn enough_at(&self, now: Moment) -> Option<Moment> {
        let end = self
            .planned_end
            .filter(|end| end.whole_by != Moment::NEVER)?;
        let roster = self.roster.as_ref()?;
        let hosts = roster.ready_hosts(now);
        let others = hosts.iter().filter(|host| host.name != self.me.host);
        let ready = others.count();
        let left = roster.leave_times().filter(|at| end.is_expected(now, *at));
        let mut returns: Vec<Moment> = left.map(|at| end.back_at(at)).collect();
        returns.push(end.back_at(end.begun_at));
        let enough = (ready + returns.len()) / FEW_PARTS + 1;
        let missing = enough.checked_sub(ready + 1)?;
        returns.sort();
        returns.get(missing).copied().filter(|at| *at > now)
    }
}
