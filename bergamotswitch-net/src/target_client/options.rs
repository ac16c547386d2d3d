//! Provides the bounds and periods of calls to targets.

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

/// A `TargetClientOptions` is the bounds and periods of calls to targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetClientOptions {
    /// The longest time to establish a connection.
    pub connect_timeout: Duration,
    /// A kept connection is used again only within this time after its last
    /// traffic; none is kept where it is zero. An older one may have gone
    /// silent unnoticed.
    pub idle_reuse: Duration,
    /// The most kept connections to one target.
    pub max_idle_per_target: usize,
    /// Whether streams are checked for silence. Off only for measuring.
    pub liveness: bool,
    /// The gap in a stream after which the target is asked for its status.
    pub idle_probe: Duration,
    /// The pause between two status questions in one gap.
    pub probe_period: Duration,
    /// The longest wait for a status answer, a resumed stream's head or a
    /// load report, connecting included.
    pub probe_timeout: Duration,
    /// The unanswered status questions in a row after which the target
    /// counts as gone.
    pub probe_misses: u32,
    /// How long a connection may lag behind what its target says it sent.
    pub silent_grace: Duration,
    /// How long a target may say that it never saw the request.
    pub unknown_request_grace: Duration,
    /// The resume attempts in a row that bring nothing new.
    pub resume_attempts: u32,
    /// The pause before the second resume attempt; it doubles from there.
    pub resume_backoff: Duration,
    /// Whether a stream that carried a foreign chunk may be resumed.
    pub resume_mismatched: bool,
    /// The least time between two progress reports of one attempt.
    pub progress_period: Duration,
    /// The idle time of a connection after which the kernel probes it.
    pub keepalive: Duration,
    /// How long sent data may stay unacknowledged before the kernel gives the
    /// connection up.
    pub user_timeout: Duration,
    /// The pause between two load questions to one target.
    pub load_period: Duration,
    /// The gap in a target's cache events after which they are asked for
    /// over a new connection.
    pub cache_idle: Duration,
}

impl Default for TargetClientOptions {
    fn default() -> Self {
        TargetClientOptions {
            // Failure domains are a millisecond apart: a second covers one
            // lost SYN's first repetition, which comes after a second.
            connect_timeout: Duration::from_millis(1_500),
            // A request over a kept connection that went silent meanwhile
            // never arrives, and nobody can prove that it never will. With
            // two seconds, 56 or 57 of 60 answers came whole past three silences;
            // with new connections all did, at one round trip more each.
            idle_reuse: Duration::ZERO,
            max_idle_per_target: 8,
            liveness: true,
            // The slowest ordinary gap between tokens is far below a second,
            // so only stalled streams cost a question.
            idle_probe: Duration::from_millis(1_000),
            probe_period: Duration::from_millis(1_000),
            probe_timeout: Duration::from_millis(1_000),
            probe_misses: 5,
            silent_grace: Duration::from_millis(300),
            unknown_request_grace: Duration::from_secs(5),
            // Together some 13 seconds: longer than most partitions between
            // failure domains, and a draft is lost after them.
            resume_attempts: 12,
            resume_backoff: Duration::from_millis(50),
            // The caller is owed its whole answer even where answers crossed;
            // resuming asks the target for this stream by its own id.
            resume_mismatched: true,
            progress_period: Duration::from_millis(200),
            keepalive: Duration::from_secs(5),
            user_timeout: Duration::from_secs(15),
            load_period: Duration::from_millis(500),
            cache_idle: Duration::from_secs(60),
        }
    }
}

impl TargetClientOptions {
    /// Set what the published limits bound.
    pub fn with_limits(self, limits: &FleetLimits) -> Self {
        self.with_connect_timeout(Duration::from_millis(limits.connect_timeout_ms))
            .with_idle_probe(Duration::from_millis(limits.idle_probe_ms))
            .with_probe_timeout(Duration::from_millis(limits.probe_timeout_ms))
            .with_load_period(Duration::from_millis(limits.load_poll_ms))
    }

    setters! {
        /// Set the longest time to establish a connection.
        with_connect_timeout, connect_timeout: Duration;
        /// Set how long after its last traffic a connection is used again.
        with_idle_reuse, idle_reuse: Duration;
        /// Set the most kept connections to one target.
        with_max_idle_per_target, max_idle_per_target: usize;
        /// Set whether streams are checked for silence.
        with_liveness, liveness: bool;
        /// Set the gap after which a target is asked for its status.
        with_idle_probe, idle_probe: Duration;
        /// Set the pause between two status questions in one gap.
        with_probe_period, probe_period: Duration;
        /// Set the longest wait for a status answer.
        with_probe_timeout, probe_timeout: Duration;
        /// Set the unanswered questions after which a target counts as gone.
        with_probe_misses, probe_misses: u32;
        /// Set how long a connection may lag behind its target's word.
        with_silent_grace, silent_grace: Duration;
        /// Set how long a target may say that it never saw the request.
        with_unknown_request_grace, unknown_request_grace: Duration;
        /// Set the resume attempts in a row that bring nothing new.
        with_resume_attempts, resume_attempts: u32;
        /// Set the pause before the second resume attempt.
        with_resume_backoff, resume_backoff: Duration;
        /// Set whether a stream with a foreign chunk may be resumed.
        with_resume_mismatched, resume_mismatched: bool;
        /// Set the least time between two progress reports.
        with_progress_period, progress_period: Duration;
        /// Set the idle time after which the kernel probes a connection.
        with_keepalive, keepalive: Duration;
        /// Set how long sent data may stay unacknowledged.
        with_user_timeout, user_timeout: Duration;
        /// Set the pause between two load questions.
        with_load_period, load_period: Duration;
        /// Set the gap after which cache events are asked for anew.
        with_cache_idle, cache_idle: Duration;
    }
}
