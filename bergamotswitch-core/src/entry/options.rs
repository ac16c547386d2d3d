//! Provides the options of the entry side.

use std::time::Duration;

use crate::failure_domain::DomainName;
use crate::pool_owner::SchedulingOptions;
use crate::publication::FleetLimits;
use crate::retry::RetryRate;

/// The minimum resend interval, which keeps the timer from spinning.
const MIN_PERMIT_RESEND_INTERVAL: Duration = Duration::from_millis(1);

/// A `Fault` is an injected fault. Tests use it to show that the oracle of the
/// stateful fuzzing detects it; no setting enables it.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Retry a request after a dispatch that must not be repeated.
    RetryAfterDispatch,
    /// Claim "not run" after a byte was written to a socket.
    NotRunAfterWrite,
    /// Identify a request by its caller key without the client account.
    KeyWithoutAccount,
    /// Use a permit that was granted before a pause.
    PermitAfterPause,
}

/// An `EntryOptions` configures an [`EntryDispatcher`](super::EntryDispatcher).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryOptions {
    pub(super) domain: Option<DomainName>,
    pub(super) retry_rate: RetryRate,
    pub(super) attempts_per_request: u16,
    pub(super) retry_after: Duration,
    pub(super) permit_resend_interval: Duration,
    pub(super) max_permit_age: Duration,
    pub(super) answer_retention: Duration,
    pub(super) max_kept_answers: usize,
    pub(super) max_kept_bytes: u64,
    pub(super) key_retention: Duration,
    pub(super) max_keys: usize,
    /// How long a slow moment of a target is expected to last; `None` if paces are ignored.
    pub(super) slow_moment: Option<Duration>,
    pub(super) sends_signatures: bool,
    pub(super) fault: Option<Fault>,
}

impl Default for EntryOptions {
    fn default() -> Self {
        EntryOptions {
            domain: None,
            retry_rate: RetryRate::default(),
            // If three targets fail in a row, the request or the pool is at
            // fault, and further attempts would only waste prefill.
            attempts_per_request: 3,
            retry_after: Duration::from_secs(1),
            // This is the delay caused by a lost permit.
            permit_resend_interval: Duration::from_secs(2),
            // A busy event loop is delayed by much less than this.
            max_permit_age: Duration::from_secs(2),
            answer_retention: Duration::from_secs(600),
            // This limits small answers, while the limit on bytes applies to
            // large ones.
            max_kept_answers: 10_000,
            // A quarter of the 256 MB of a host.
            max_kept_bytes: 67_108_864,
            key_retention: Duration::from_secs(86_400),
            max_keys: 100_000,
            slow_moment: None,
            sends_signatures: false,
            fault: None,
        }
    }
}

impl EntryOptions {
    /// Set the failure domain of the host.
    pub fn with_domain(mut self, domain: DomainName) -> Self {
        self.domain = Some(domain);
        self
    }

    /// Set the refill rate of each pool's retry budget.
    pub fn with_retry_rate(mut self, rate: RetryRate) -> Self {
        self.retry_rate = rate;
        self
    }

    /// Set the maximum number of dispatches of one request, at least 1.
    pub fn with_attempts_per_request(mut self, count: u16) -> Self {
        self.attempts_per_request = count.max(1);
        self
    }

    /// Set the retry delay reported to callers when retries are exhausted.
    pub fn with_retry_after(mut self, span: Duration) -> Self {
        self.retry_after = span;
        self
    }

    /// Set the interval after which an unanswered permit request is sent again.
    pub fn with_permit_resend_interval(mut self, span: Duration) -> Self {
        self.permit_resend_interval = span.max(MIN_PERMIT_RESEND_INTERVAL);
        self
    }

    /// Set the maximum delay of a tick before permits in transit become void.
    pub fn with_max_permit_age(mut self, span: Duration) -> Self {
        self.max_permit_age = span;
        self
    }

    /// Set how long answers are stored.
    pub fn with_answer_retention(mut self, span: Duration) -> Self {
        self.answer_retention = span;
        self
    }

    /// Set the maximum number of stored answers.
    pub fn with_max_kept_answers(mut self, count: usize) -> Self {
        self.max_kept_answers = count;
        self
    }

    /// Set the maximum memory used by stored answers, in bytes.
    pub fn with_max_kept_bytes(mut self, bytes: u64) -> Self {
        self.max_kept_bytes = bytes;
        self
    }

    /// Apply the published limits.
    pub fn with_limits(mut self, limits: &FleetLimits) -> Self {
        self.retry_rate.permille = limits.retry_budget_permille as u32;
        self.with_signatures(limits.return_room_permille > 0)
            .with_attempts_per_request(limits.max_attempts as u16)
            .with_max_permit_age(Duration::from_millis(limits.permit_lifetime_ms))
            .with_answer_retention(Duration::from_millis(limits.kept_answer_ms))
            .with_max_kept_answers(limits.kept_answers as usize)
            .with_max_kept_bytes(limits.kept_answer_bytes)
            .with_slow_moment(SchedulingOptions::of_limits(limits).slow_moment)
    }

    /// Set whether the owner of a shard is told the signature of each call, so that it
    /// recognizes the calls that return after a refusal.
    pub fn with_signatures(mut self, sent: bool) -> Self {
        self.sends_signatures = sent;
        self
    }

    /// Set how long a key is kept after its answer was dropped.
    pub fn with_key_retention(mut self, span: Duration) -> Self {
        self.key_retention = span;
        self
    }

    /// Set the maximum number of keys that are kept after their answers were
    /// dropped.
    pub fn with_max_keys(mut self, count: usize) -> Self {
        self.max_keys = count;
        self
    }

    /// Set how long a slow moment of a target is expected to last; `None` ignores the
    /// paces that targets name.
    pub fn with_slow_moment(mut self, span: Option<Duration>) -> Self {
        self.slow_moment = span;
        self
    }

    /// Inject a fault.
    #[doc(hidden)]
    pub fn with_fault(mut self, fault: Fault) -> Self {
        self.fault = Some(fault);
        self
    }

    pub(super) fn has_fault(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }
}
