//! Provides the reasons of refusals and retries, each with its own counter.

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
            /// All reasons in declaration order.
            pub const ALL: &'static [$name] = &[$($name::$variant,)*];

            /// Get the code used in answers, logs and metrics.
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
    /// A `RefusalReason` is the reason why a request gets no answer from a
    /// target.
    RefusalReason {
        /// The body or a field is malformed.
        BadRequest = "bad-request",
        /// The body is larger than allowed.
        TooLarge = "too-large",
        /// The API key belongs to no client account.
        UnknownAccount = "unknown-account",
        /// No pool has this name.
        UnknownPool = "unknown-pool",
        /// No rule matches.
        NoRule = "no-rule",
        /// The pool has no target on which the rule allows the request to run.
        NoTarget = "no-target",
        /// The deadline is in the past, passed while the request waited, or
        /// left too little time for a run.
        DeadlinePassed = "deadline-passed",
        /// Load shedding: the fleet accepts only requests of this tier or
        /// higher.
        Overloaded = "overloaded",
        /// The request was shed in favor of a higher tier.
        ShedForHigherTier = "shed-for-higher-tier",
        /// The retry budget or the maximum number of attempts is exhausted.
        RetriesExhausted = "retries-exhausted",
        /// The target failed after dispatch and no second run is allowed.
        TargetFailed = "target-failed",
        /// The answer was interrupted and could not be resumed.
        AnswerTruncated = "answer-truncated",
        /// The host incarnation that accepted the request has ended; the
        /// request may have run.
        Lost = "lost",
        /// The outcome for the key is no longer known, or not yet.
        OutcomeUnknown = "outcome-unknown",
        /// The key was already used for a different request.
        KeyReused = "key-reused",
        /// The host is stopping.
        Stopping = "stopping",
        /// The host has no valid configuration yet.
        NotReady = "not-ready",
        /// The caller disconnected.
        CallerLeft = "caller-left",
        /// The quota of the client account is exhausted.
        OverQuota = "over-quota",
        /// No route matches the host name and path.
        NoRoute = "no-route",
        /// It is currently unknown whether the API key of the caller is still
        /// valid.
        KeyUnconfirmed = "key-unconfirmed",
        /// Runs of the same call have crashed their targets.
        Quarantined = "quarantined",
        /// It is not known which version of the targets' software began the stream.
        StreamUnknown = "stream-unknown",
        /// No target has the version of the software that began the stream.
        VersionGone = "version-gone",
        /// Load shedding: the client account uses more than its share of the tier.
        AboveShare = "above-share",
    }
}

reasons! {
    /// A `RetryReason` is the reason why another attempt follows.
    RetryReason {
        /// The connection could not be established.
        ConnectFailed = "connect-failed",
        /// The target refused the request and its contract guarantees that a
        /// refused request did not run.
        TargetRefused = "target-refused",
        /// The permit expired or its target is draining.
        PermitVoid = "permit-void",
        /// The connection broke and the request is idempotent.
        ConnectionBroke = "connection-broke",
        /// The target answered with an error and the request is idempotent.
        TargetError = "target-error",
        /// The stream was preempted by a higher tier and the request is
        /// idempotent.
        Preempted = "preempted",
    }
}

reasons! {
    /// A `WasteCause` is the reason why prompt tokens were processed in vain.
    WasteCause {
        /// The request was retried.
        Retry = "retry",
        /// The stream was preempted by a higher tier.
        Preemption = "preemption",
        /// The caller disconnected.
        CallerLeft = "caller-left",
        /// The answer was completed after the deadline.
        Late = "late",
        /// The attempt failed and was not retried.
        Failed = "failed",
    }
}

/// A `RunClaim` states whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunClaim {
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl RunClaim {
    /// Get the value of the `ran` field in answers.
    pub const fn as_str(self) -> &'static str {
        match self {
            RunClaim::NotRun => "no",
            RunClaim::Unknown => "unknown",
        }
    }
}

/// A `Refusal` is the final answer to a request that got none from a target.
/// The claim "not run" is available only before acceptance or for a waiting
/// request, see [`crate::entry::request_state`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    reason: RefusalReason,
    claim: RunClaim,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// Get the refusal of an input that was not accepted as a request.
    pub fn before_acceptance(reason: RefusalReason) -> Self {
        Refusal {
            reason,
            claim: RunClaim::NotRun,
            retry_after: None,
        }
    }

    /// Get a refusal that does not rule out that the request ran.
    pub fn may_have_run(reason: RefusalReason) -> Self {
        Refusal {
            reason,
            claim: RunClaim::Unknown,
            retry_after: None,
        }
    }

    /// Get the refusal of a waiting request.
    pub(crate) fn while_waiting(reason: RefusalReason) -> Self {
        Refusal::before_acceptance(reason)
    }

    /// Change the claim so that it does not rule out that the request ran.
    pub(crate) fn with_unknown_run(mut self) -> Self {
        self.claim = RunClaim::Unknown;
        self
    }

    /// Set the delay after which the caller should retry.
    pub fn with_retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Get the reason.
    pub fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Get the claim about the run.
    pub fn claim(&self) -> RunClaim {
        self.claim
    }

    /// Get the delay after which the caller should retry.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}
