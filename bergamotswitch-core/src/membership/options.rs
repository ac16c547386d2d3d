//! Provides the options of membership.

use std::time::Duration;

use crate::publication::FleetLimits;

/// The number of hosts that may own a shard. The third one still acts where a
/// failed domain took one candidate and a restart the other.
pub const CANDIDATE_COUNT: usize = 3;

/// Four heartbeats fit into the suspicion time, so one lost heartbeat never
/// moves an owner.
const HEARTBEAT: Duration = Duration::from_millis(500);
const SUSPECT_AFTER: Duration = Duration::from_secs(2);
/// Longer than the suspicion time: a link that flaps at the pace of the
/// suspicion never counts as steady.
const FAILBACK_AFTER: Duration = Duration::from_secs(5);
/// A process under a debugger or a slow migration stays away for less.
const TERMINATION_AFTER: Duration = Duration::from_secs(60);
/// Long enough for a heartbeat to reach the next candidate and its users.
const HANDOVER: Duration = Duration::from_secs(1);
/// At this many watching hosts the heartbeats of users begin to stretch.
const WATCHERS_AT_FULL_RATE: usize = 32;

/// A `MembershipOptions` is the set of time bounds of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipOptions {
    pub(super) heartbeat: Duration,
    pub(super) suspect_after: Duration,
    pub(super) failback_after: Duration,
    pub(super) termination_after: Duration,
    pub(super) handover: Duration,
    pub(super) watchers_at_full_rate: usize,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        MembershipOptions {
            heartbeat: HEARTBEAT,
            suspect_after: SUSPECT_AFTER,
            failback_after: FAILBACK_AFTER,
            termination_after: TERMINATION_AFTER,
            handover: HANDOVER,
            watchers_at_full_rate: WATCHERS_AT_FULL_RATE,
        }
    }
}

impl MembershipOptions {
    /// Set the time between two heartbeats to one peer.
    pub fn with_heartbeat(mut self, span: Duration) -> Self {
        self.heartbeat = span;
        self
    }

    /// Set the time without an answer after which a peer is unreachable.
    pub fn with_suspect_after(mut self, span: Duration) -> Self {
        self.suspect_after = span;
        self
    }

    /// Set how long an earlier candidate has to be reachable before work goes
    /// back to it.
    pub fn with_failback_after(mut self, span: Duration) -> Self {
        self.failback_after = span;
        self
    }

    /// Set how long a host that the list dropped has to be unreachable before
    /// its run counts as gone.
    pub fn with_termination_after(mut self, span: Duration) -> Self {
        self.termination_after = span;
        self
    }

    /// Set how long a stopping owner goes on while the next one takes over.
    pub fn with_handover(mut self, span: Duration) -> Self {
        self.handover = span;
        self
    }

    /// Set what the published limits bound. The times that rest on the
    /// suspicion keep their proportion to it: an owner that flaps at its pace
    /// must still never count as steady.
    pub fn with_limits(self, limits: &FleetLimits) -> Self {
        let suspect_after = Duration::from_millis(limits.suspect_after_ms);
        self.with_heartbeat(Duration::from_millis(limits.heartbeat_ms))
            .with_suspect_after(suspect_after)
            .with_failback_after(FAILBACK_AFTER.max(suspect_after * 5 / 2))
            .with_termination_after(TERMINATION_AFTER.max(suspect_after * 2))
    }

    /// Get the time between two answered heartbeats of a mere user of a
    /// shard, where `hosts` hosts may use it. An owner is watched by all its
    /// users; without the stretch its heartbeats would grow with the fleet. A
    /// heartbeat without an answer is followed up at the full rate, so a
    /// silent owner is still found within this time plus the suspicion time.
    pub(super) fn user_interval(&self, hosts: usize) -> Duration {
        let stretch = hosts.div_ceil(self.watchers_at_full_rate.max(1)).max(1);
        self.heartbeat.saturating_mul(stretch as u32)
    }
}
