//! Provides the options of the entry side.

use std::time::Duration;

use crate::failure_domain::DomainName;
use crate::publication::FleetLimits;
use crate::retry::RetryRate;

/// The shortest re-ask interval: a shorter one would make the timer spin.
const MIN_RE_ASK_INTERVAL: Duration = Duration::from_millis(1);

/// A `Fault` is a deliberate fault, by which tests show that the oracle of
/// the stateful fuzzing catches it. No setting leads here.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Run a request again although it was dispatched and must not be.
    RetryAfterDispatch,
    /// Claim "not run" although a byte was handed to a socket.
    NotRunAfterWrite,
    /// Take the caller's key alone for the identity, without the account.
    KeyWithoutAccount,
    /// Use a permit that came before a pause.
    PermitAfterPause,
}

/// An `EntryOptions` sets up an [`EntryDispatcher`](super::EntryDispatcher).
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
    pub(super) fault: Option<Fault>,
}

impl Default for EntryOptions {
    fn default() -> Self {
        EntryOptions {
            domain: None,
            retry_rate: RetryRate::default(),
            // Three targets that fail one after the other point to the
            // request or the pool; a fourth would be wasted prefill.
            attempts_per_request: 3,
            retry_after: Duration::from_secs(1),
            // A lost permit delays a request by at most this; each waiting
            // request costs about 200 bytes in each interval.
            permit_resend_interval: Duration::from_secs(2),
            // A loop that is this late was paused, not merely busy.
            max_permit_age: Duration::from_secs(2),
            answer_retention: Duration::from_secs(600),
            // Small answers need little more than their entry; the bytes bound
            // the large ones.
            max_kept_answers: 10_000,
            // A quarter of a host's 256 MB: a thousand answers of 400 tokens.
            max_kept_bytes: 67_108_864,
            key_retention: Duration::from_secs(86_400),
            max_keys: 100_000,
            fault: None,
        }
    }
}

impl EntryOptions {
    /// Set the failure domain in which the host stands.
    pub fn with_domain(mut self, domain: DomainName) -> Self {
        self.domain = Some(domain);
        self
    }

    /// Set how fast each pool's retry budget fills.
    pub fn with_retry_rate(mut self, rate: RetryRate) -> Self {
        self.retry_rate = rate;
        self
    }

    /// Set the most dispatches of one request, at least 1.
    pub fn with_attempts_per_request(mut self, count: u16) -> Self {
        self.attempts_per_request = count.max(1);
        self
    }

    /// Set when a caller should come back after retries are exhausted.
    pub fn with_retry_after(mut self, span: Duration) -> Self {
        self.retry_after = span;
        self
    }

    /// Set after which time an unanswered ask is sent again.
    pub fn with_permit_resend_interval(mut self, span: Duration) -> Self {
        self.permit_resend_interval = span.max(MIN_RE_ASK_INTERVAL);
        self
    }

    /// Set how late the desk may be woken before permits under way are void.
    pub fn with_max_permit_age(mut self, span: Duration) -> Self {
        self.max_permit_age = span;
        self
    }

    /// Set how long answers are kept.
    pub fn with_answer_retention(mut self, span: Duration) -> Self {
        self.answer_retention = span;
        self
    }

    /// Set how many answers are kept.
    pub fn with_max_kept_answers(mut self, count: usize) -> Self {
        self.max_kept_answers = count;
        self
    }

    /// Set how many bytes of answers are kept.
    pub fn with_max_kept_bytes(mut self, bytes: u64) -> Self {
        self.max_kept_bytes = bytes;
        self
    }

    /// Set what the published limits bound.
    pub fn with_limits(mut self, limits: &FleetLimits) -> Self {
        self.retry_rate.permille = limits.retry_budget_permille as u32;
        self.with_attempts_per_request(limits.max_attempts as u16)
            .with_max_permit_age(Duration::from_millis(limits.permit_lifetime_ms))
            .with_answer_retention(Duration::from_millis(limits.kept_answer_ms))
            .with_max_kept_answers(limits.kept_answers as usize)
            .with_max_kept_bytes(limits.kept_answer_bytes)
    }

    /// Set how long a key is remembered after its answer was dropped.
    pub fn with_key_retention(mut self, span: Duration) -> Self {
        self.key_retention = span;
        self
    }

    /// Set how many keys are remembered after their answers were dropped.
    pub fn with_max_keys(mut self, count: usize) -> Self {
        self.max_keys = count;
        self
    }

    /// Set a deliberate fault.
    #[doc(hidden)]
    pub fn with_fault(mut self, fault: Fault) -> Self {
        self.fault = Some(fault);
        self
    }

    pub(super) fn has_fault(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }
}
