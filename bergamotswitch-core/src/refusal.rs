//! Provides refusals and retries by reason; each reason has a counter.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$var_doc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum $name {
            $($(#[$var_doc])* $variant,)*
        }

        impl $name {
            /// Every reason.
            pub const ALL: &'static [$name] = &[$($name::$variant,)*];

            /// Get the reason's code, as in answers, logs and metrics.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $($name::$variant => $text,)*
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

reasons! {
    /// A `RefusalReason` is why a request gets no answer of a target.
    RefusalReason {
        /// The body or a field is malformed.
        BadRequest = "bad-request",
        /// The body is larger than allowed.
        TooLarge = "too-large",
        /// The bearer key belongs to no client account.
        UnknownAccount = "unknown-account",
        /// No pool has the name.
        UnknownPool = "unknown-pool",
        /// No rule matches.
        NoRule = "no-rule",
        /// No allowed target exists where the rule lets the request run.
        NoTarget = "no-target",
        /// The deadline lies in the past, passed while the request waited, or
        /// left too little time for a run.
        DeadlinePassed = "deadline-passed",
        /// Shed: the fleet keeps only work of this tier or higher ones.
        Overloaded = "overloaded",
        /// Shed for work of a higher tier.
        ShedForHigherTier = "shed-for-higher-tier",
        /// The retry budget or the request's bound is used up.
        RetriesExhausted = "retries-exhausted",
        /// The target failed after dispatch and no second run is allowed.
        TargetFailed = "target-failed",
        /// The answer broke off and could not be resumed.
        AnswerTruncated = "answer-truncated",
        /// The accepting run of the host is gone; the request may have run.
        Lost = "lost",
        /// What became of the key is no longer, or not yet, known.
        OutcomeUnknown = "outcome-unknown",
        /// The same key is used for another request.
        KeyReused = "key-reused",
        /// The host is stopping.
        Stopping = "stopping",
        /// The host has no valid configuration yet.
        NotReady = "not-ready",
        /// The caller went away before dispatch.
        CallerLeft = "caller-left",
        /// The client account has used up its quota.
        OverQuota = "over-quota",
        /// No route leads anywhere from this host name and path.
        NoRoute = "no-route",
        /// It is not known any more whether the caller's key still holds.
        KeyUnconfirmed = "key-unconfirmed",
    }
}

reasons! {
    /// A `RetryReason` is why an attempt follows another one.
    RetryReason {
        /// The connection was never established.
        ConnectFailed = "connect-failed",
        /// The target refused, and its contract says that it did not run.
        TargetRefused = "target-refused",
        /// The permit came too late or its target is leaving.
        PermitVoid = "permit-void",
        /// The request is idempotent and its connection broke.
        ConnectionBroke = "connection-broke",
        /// The request is idempotent and its target answered with an error.
        TargetError = "target-error",
        /// The request is idempotent and its stream was stopped for a higher tier.
        Preempted = "preempted",
    }
}

reasons! {
    /// A `WasteCause` is why prompt tokens were processed for nothing.
    WasteCause {
        /// The attempt was followed by another one.
        Retry = "retry",
        /// The stream was stopped for work of a higher tier.
        Preemption = "preemption",
        /// The caller went away.
        CallerLeft = "caller-left",
        /// The answer came after the deadline.
        Late = "late",
        /// The attempt failed and nothing followed.
        Failed = "failed",
    }
}

/// A `RunClaim` is what the system says about whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunClaim {
    /// It was not run, and never will be.
    NotRun,
    /// It may have been run.
    Unknown,
}

impl RunClaim {
    /// Get the word that answers carry in `ran`.
    pub const fn as_str(self) -> &'static str {
        match self {
            RunClaim::NotRun => "no",
            RunClaim::Unknown => "unknown",
        }
    }
}

/// A `Refusal` is a final answer without a target's answer. The claim "not
/// run" can only be made before a request exists or from one that waits:
/// see [`crate::entry::request_state`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    reason: RefusalReason,
    claim: RunClaim,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// Get the refusal of an input that never became a request.
    pub fn before_acceptance(reason: RefusalReason) -> Self {
        Refusal {
            reason,
            claim: RunClaim::NotRun,
            retry_after: None,
        }
    }

    /// Get a refusal that leaves open whether the request ran.
    pub fn may_have_run(reason: RefusalReason) -> Self {
        Refusal {
            reason,
            claim: RunClaim::Unknown,
            retry_after: None,
        }
    }

    /// Get the refusal of a request that waits.
    pub(crate) fn while_waiting(reason: RefusalReason) -> Self {
        Refusal::before_acceptance(reason)
    }

    /// Leave open whether the request ran.
    pub(crate) fn with_unknown_run(mut self) -> Self {
        self.claim = RunClaim::Unknown;
        self
    }

    /// Set when the caller should come back.
    pub fn with_retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Get the reason.
    pub fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Get what is claimed about the run.
    pub fn claim(&self) -> RunClaim {
        self.claim
    }

    /// Get when the caller should come back.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}
