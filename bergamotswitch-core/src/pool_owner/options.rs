//! Provides the options of a shard owner.

use std::time::Duration;

use crate::publication::FleetLimits;

use super::admission::quota::QuotaTolerance;
use super::placement::cold_tolerance::ColdTolerance;
use super::scheduling_options::SchedulingOptions;

/// The minimum time for which a second owner is assumed beside this one: twice
/// the time that a candidate with precedence has to respond before the current
/// owner yields to it.
const OWNER_OVERLAP: Duration = Duration::from_secs(10);

/// The same minimum in multiples of the suspicion timeout, which applies if that
/// timeout is long.
const OVERLAP_SUSPICION_TIMEOUTS: u32 = 5;

/// An `OwnerOptions` is the options of a shard owner.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerOptions {
    pub(super) max_wait: Duration,
    pub(super) max_requests: usize,
    pub(super) audit_after: Duration,
    pub(super) key_retention: Duration,
    pub(super) max_keys: usize,
    pub(super) max_prefixes: usize,
    pub(super) prefix_lifetime: Duration,
    pub(super) max_preemptions: usize,
    pub(super) permit_lifetime: Duration,
    pub(super) probe_base: Duration,
    pub(super) probe_max: Duration,
    pub(crate) quota_tolerance: QuotaTolerance,
    pub(super) cold_tolerance: ColdTolerance,
    pub(super) owner_overlap: Duration,
    pub(super) scheduling: SchedulingOptions,
    pub(super) connection_keep: Duration,
}

impl Default for OwnerOptions {
    fn default() -> Self {
        OwnerOptions {
            // Deadlines usually limit the queue before this does; batch
            // requests may usefully wait for hours.
            max_wait: Duration::from_secs(4 * 3600),
            // A queued request takes less than 1 KB, so the queue takes some
            // tens of MB at most.
            max_requests: 50_000,
            audit_after: Duration::from_secs(30),
            // Longer than answers are kept.
            key_retention: Duration::from_secs(900),
            // An entry takes about 150 bytes.
            max_keys: 200_000,
            max_prefixes: 65_536,
            prefix_lifetime: Duration::from_secs(300),
            max_preemptions: 2,
            permit_lifetime: Duration::from_secs(2),
            probe_base: Duration::from_millis(500),
            probe_max: Duration::from_secs(30),
            quota_tolerance: QuotaTolerance::default(),
            cold_tolerance: ColdTolerance::default(),
            owner_overlap: OWNER_OVERLAP,
            scheduling: SchedulingOptions::default(),
            // Hosts reuse no connections unless their target clients are set to.
            connection_keep: Duration::ZERO,
        }
    }
}

impl OwnerOptions {
    /// Set the maximum predicted time to drain the queue; requests beyond it
    /// are shed.
    pub fn with_max_wait(mut self, span: Duration) -> Self {
        self.max_wait = span;
        self
    }

    /// Set the maximum number of queued requests.
    pub fn with_max_requests(mut self, requests: usize) -> Self {
        self.max_requests = requests;
        self
    }

    /// Set the age from which a permit's holder is asked whether it still holds
    /// it.
    pub fn with_audit_after(mut self, span: Duration) -> Self {
        self.audit_after = span;
        self
    }

    /// Set how long a key is kept.
    pub fn with_key_retention(mut self, span: Duration) -> Self {
        self.key_retention = span;
        self
    }

    /// Set the maximum number of keys.
    pub fn with_max_keys(mut self, keys: usize) -> Self {
        self.max_keys = keys;
        self
    }

    /// Set the maximum number of prefixes in the table.
    pub fn with_max_prefixes(mut self, prefixes: usize) -> Self {
        self.max_prefixes = prefixes;
        self
    }

    /// Set how long a warm-prefix hint is valid.
    pub fn with_prefix_lifetime(mut self, span: Duration) -> Self {
        self.prefix_lifetime = span;
        self
    }

    /// Set the maximum number of streams that are being preempted at once.
    pub fn with_max_preemptions(mut self, streams: usize) -> Self {
        self.max_preemptions = streams;
        self
    }

    /// Set how long after its arrival a permit may be used.
    pub fn with_permit_lifetime(mut self, span: Duration) -> Self {
        self.permit_lifetime = span;
        self
    }

    /// Set how long after its own start, or after the start of a host, an owner
    /// assumes that there may be a second owner.
    pub fn with_owner_overlap(mut self, span: Duration) -> Self {
        self.owner_overlap = span;
        self
    }

    /// Set all options that the published fleet limits determine.
    pub fn with_limits(self, limits: &FleetLimits) -> Self {
        self.with_max_wait(Duration::from_millis(limits.queue_limit_ms))
            .with_max_requests(limits.queue_limit_requests as usize)
            .with_key_retention(Duration::from_millis(limits.key_retention_ms))
            .with_max_keys(limits.kept_keys as usize)
            .with_permit_lifetime(Duration::from_millis(limits.permit_lifetime_ms))
            .with_scheduling(SchedulingOptions::of_limits(limits))
            .with_owner_overlap(
                OWNER_OVERLAP.max(
                    Duration::from_millis(limits.suspect_after_ms) * OVERLAP_SUSPICION_TIMEOUTS,
                ),
            )
    }

    /// Set how far accounts may exceed their quotas within one window.
    pub fn with_quota_tolerance(mut self, tolerance: QuotaTolerance) -> Self {
        self.quota_tolerance = tolerance;
        self
    }

    /// Set the options of the optional scheduling decisions.
    pub fn with_scheduling(mut self, scheduling: SchedulingOptions) -> Self {
        self.scheduling = scheduling;
        self
    }

    /// Set how long hosts keep idle connections to targets.
    pub fn with_connection_keep(mut self, span: Duration) -> Self {
        self.connection_keep = span;
        self
    }

    /// Set how many requests a cold target may get in any second.
    pub fn with_cold_tolerance(mut self, tolerance: ColdTolerance) -> Self {
        self.cold_tolerance = tolerance;
        self
    }

    /// Set the initial and the maximum interval between probes of a target that
    /// is backed off.
    pub fn with_probe_interval(mut self, base: Duration, max: Duration) -> Self {
        self.probe_base = base;
        self.probe_max = max;
        self
    }
}
