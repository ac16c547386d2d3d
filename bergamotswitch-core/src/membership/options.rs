//! Provides the options of membership.

use std::time::Duration;

use crate::publication::FleetLimits;

/// The number of hosts that may own a shard. The third one still acts when one
/// candidate is lost with its failure domain and another one is restarting.
pub const CANDIDATE_COUNT: usize = 3;

/// The default interval between two heartbeats. Four of them fit into the
/// suspicion timeout, so that the loss of one heartbeat never moves ownership.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The default suspicion timeout.
const SUSPECT_AFTER: Duration = Duration::from_secs(2);

/// The default time for which an earlier candidate has to be reachable before
/// ownership fails back to it. It is longer than the suspicion timeout, so that
/// a link that flaps at that interval never counts as stable.
const FAILBACK_AFTER: Duration = Duration::from_secs(5);

/// The default time for which a host removed from the host list has to be
/// unreachable before its incarnation counts as terminated. It is longer than a
/// pause in a debugger or a slow live migration.
const TERMINATION_AFTER: Duration = Duration::from_secs(60);

/// The default time for which a stopping owner keeps acting. A heartbeat reaches
/// the next candidate and the users of the shard in that time.
const HANDOVER: Duration = Duration::from_secs(1);

/// The number of watching hosts from which on users send heartbeats at longer
/// intervals.
const WATCHERS_AT_FULL_RATE: usize = 32;

/// A `MembershipOptions` is the set of timeouts and intervals of membership.
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
            heartbeat: HEARTBEAT_INTERVAL,
            suspect_after: SUSPECT_AFTER,
            failback_after: FAILBACK_AFTER,
            termination_after: TERMINATION_AFTER,
            handover: HANDOVER,
            watchers_at_full_rate: WATCHERS_AT_FULL_RATE,
        }
    }
}

impl MembershipOptions {
    /// Set the interval between two heartbeats to one peer.
    pub fn with_heartbeat(mut self, span: Duration) -> Self {
        self.heartbeat = span;
        self
    }

    /// Set the suspicion timeout, after which a peer that answers no heartbeat
    /// is unreachable.
    pub fn with_suspect_after(mut self, span: Duration) -> Self {
        self.suspect_after = span;
        self
    }

    /// Set how long an earlier candidate has to be reachable before ownership
    /// fails back to it.
    pub fn with_failback_after(mut self, span: Duration) -> Self {
        self.failback_after = span;
        self
    }

    /// Set how long a host removed from the host list has to be unreachable
    /// before its incarnation counts as terminated.
    pub fn with_termination_after(mut self, span: Duration) -> Self {
        self.termination_after = span;
        self
    }

    /// Set how long a stopping owner keeps acting while the next candidate
    /// takes over.
    pub fn with_handover(mut self, span: Duration) -> Self {
        self.handover = span;
        self
    }

    /// Set the heartbeat interval and the suspicion timeout of the published
    /// limits. The timeouts derived from the suspicion timeout grow with it, so
    /// that a link that flaps at that interval still never counts as stable.
    pub fn with_limits(self, limits: &FleetLimits) -> Self {
        let suspect_after = Duration::from_millis(limits.suspect_after_ms);
        self.with_heartbeat(Duration::from_millis(limits.heartbeat_ms))
            .with_suspect_after(suspect_after)
            .with_failback_after(FAILBACK_AFTER.max(suspect_after * 5 / 2))
            .with_termination_after(TERMINATION_AFTER.max(suspect_after * 2))
    }

    /// Get the interval between two answered heartbeats from a user of a shard,
    /// where up to `hosts` hosts may use it. An owner is watched by all its
    /// users; with a fixed interval its heartbeat load would grow with the
    /// fleet. After an unanswered heartbeat the regular interval applies, so a
    /// failed owner is detected within this interval plus the suspicion
    /// timeout.
    pub(super) fn user_interval(&self, hosts: usize) -> Duration {
        let stretch = hosts.div_ceil(self.watchers_at_full_rate.max(1)).max(1);
        self.heartbeat.saturating_mul(stretch as u32)
    }
}
