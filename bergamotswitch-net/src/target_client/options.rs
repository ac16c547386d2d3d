//! Provides the timeouts and limits of calls to targets.

use std::time::Duration;

use bergamotswitch_core::publication::FleetLimits;

macro_rules! setters {
    ($($(#[$doc:meta])* $setter:ident, $field:ident: $kind:ty;)*) => {$(
        $(#[$doc])*
        pub fn $setter(mut self, $field: $kind) -> Self {
            self.$field = $field;
            self
        }
    )*};
}

/// A `TargetClientOptions` is the set of timeouts and limits of calls to
/// targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetClientOptions {
    /// The timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// How long after its last traffic an idle connection may be reused; zero
    /// disables reuse. An older connection may have become unresponsive
    /// unnoticed.
    pub idle_reuse: Duration,
    /// The maximum number of idle connections to one target.
    pub max_idle_per_target: usize,
    /// Whether streams are probed for liveness. Disabled only in measurements.
    pub liveness: bool,
    /// The gap in a stream after which the target's status is queried.
    pub idle_probe: Duration,
    /// The pause between two status queries during one gap.
    pub probe_period: Duration,
    /// The timeout for a status answer, the head of a resumed stream or a load
    /// report, including the time to connect.
    pub probe_timeout: Duration,
    /// The number of consecutive unanswered status queries after which the
    /// target counts as unavailable.
    pub probe_misses: u32,
    /// How long a connection may lag behind the offset that its target reports.
    pub silent_grace: Duration,
    /// How long a target may report the request as unknown.
    pub unknown_request_grace: Duration,
    /// The maximum number of consecutive resume attempts without a new event.
    pub resume_attempts: u32,
    /// The pause before the second resume attempt, doubled for each further
    /// one.
    pub resume_backoff: Duration,
    /// Whether a stream that delivered another request's chunk may be resumed.
    pub resume_mismatched: bool,
    /// The minimum time between two progress reports of one attempt.
    pub progress_period: Duration,
    /// The idle time of a connection after which TCP keepalive probes are sent.
    pub keepalive: Duration,
    /// How long sent data may stay unacknowledged before the connection is
    /// closed.
    pub user_timeout: Duration,
    /// The pause between two load queries to one target.
    pub load_period: Duration,
    /// The gap in a target's cache events after which the connection is
    /// replaced.
    pub cache_idle: Duration,
    /// The bytes of long answers that a gateway holds back until they are complete, over all
    /// targets.
    pub answer_bytes: usize,
}

impl Default for TargetClientOptions {
    fn default() -> Self {
        TargetClientOptions {
            // Allows for one SYN retransmission, which is sent after a second.
            connect_timeout: Duration::from_millis(1_500),
            // A request sent over an unresponsive connection never arrives, but
            // is not retried, since it may have run. Even a reuse within two seconds
            // lost 3 or 4 of 60 answers over three silences; new connections lost
            // none, and cost one round trip each.
            idle_reuse: Duration::ZERO,
            max_idle_per_target: 8,
            liveness: true,
            // Regular gaps between tokens are far below a second, so only
            // stalled streams are queried.
            idle_probe: Duration::from_millis(1_000),
            probe_period: Duration::from_millis(1_000),
            probe_timeout: Duration::from_millis(1_000),
            probe_misses: 5,
            silent_grace: Duration::from_millis(300),
            unknown_request_grace: Duration::from_secs(5),
            // Spans some 13 seconds, longer than most partitions between
            // failure domains.
            resume_attempts: 12,
            resume_backoff: Duration::from_millis(50),
            // Safe, since the resumption requests the stream by its own id.
            resume_mismatched: true,
            progress_period: Duration::from_millis(200),
            keepalive: Duration::from_secs(5),
            user_timeout: Duration::from_secs(15),
            load_period: Duration::from_millis(500),
            cache_idle: Duration::from_secs(60),
            answer_bytes: usize::MAX,
        }
    }
}

impl TargetClientOptions {
    /// Set the options that the published limits determine.
    pub fn with_limits(self, limits: &FleetLimits) -> Self {
        self.with_connect_timeout(Duration::from_millis(limits.connect_timeout_ms))
            .with_idle_probe(Duration::from_millis(limits.idle_probe_ms))
            .with_probe_timeout(Duration::from_millis(limits.probe_timeout_ms))
            .with_load_period(Duration::from_millis(limits.load_poll_ms))
    }

    setters! {
        /// Set the timeout for establishing a connection.
        with_connect_timeout, connect_timeout: Duration;
        /// Set how long after its last traffic an idle connection may be
        /// reused.
        with_idle_reuse, idle_reuse: Duration;
        /// Set the maximum number of idle connections to one target.
        with_max_idle_per_target, max_idle_per_target: usize;
        /// Set whether streams are probed for liveness.
        with_liveness, liveness: bool;
        /// Set the gap after which a target's status is queried.
        with_idle_probe, idle_probe: Duration;
        /// Set the pause between two status queries during one gap.
        with_probe_period, probe_period: Duration;
        /// Set the timeout for a status answer.
        with_probe_timeout, probe_timeout: Duration;
        /// Set the unanswered queries after which a target counts as
        /// unavailable.
        with_probe_misses, probe_misses: u32;
        /// Set how long a connection may lag behind its target's reported
        /// offset.
        with_silent_grace, silent_grace: Duration;
        /// Set how long a target may report the request as unknown.
        with_unknown_request_grace, unknown_request_grace: Duration;
        /// Set the maximum number of resume attempts without a new event.
        with_resume_attempts, resume_attempts: u32;
        /// Set the pause before the second resume attempt.
        with_resume_backoff, resume_backoff: Duration;
        /// Set whether a stream with another request's chunk may be resumed.
        with_resume_mismatched, resume_mismatched: bool;
        /// Set the minimum time between two progress reports.
        with_progress_period, progress_period: Duration;
        /// Set the idle time after which TCP keepalive probes are sent.
        with_keepalive, keepalive: Duration;
        /// Set how long sent data may stay unacknowledged.
        with_user_timeout, user_timeout: Duration;
        /// Set the pause between two load queries.
        with_load_period, load_period: Duration;
        /// Set the gap after which a cache event connection is replaced.
        with_cache_idle, cache_idle: Duration;
        /// Set the bytes of long answers that a gateway holds back.
        with_answer_bytes, answer_bytes: usize;
    }
}
