//! Provides the call_options of a call: what bounds it beyond its rule's verdict.

use std::time::Duration;

/// A `CallOptions` is what bounds one call beyond its rule's verdict. The
/// default adds nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallOptions {
    /// The most targets that may run it; the fleet's bound where absent.
    pub max_runs: Option<u16>,
    /// The longest wait for a permit; until the deadline where absent.
    pub first_answer_goal: Option<Duration>,
    /// Whether its stream may go on at another target after events were
    /// passed on.
    pub resumable: bool,
    /// Whether it ends at its deadline although a caller follows it.
    pub ends_at_deadline: bool,
    /// Whether it ends when its caller leaves although it may not run again.
    pub ends_with_caller: bool,
    /// The most output tokens that its answer may have, where it says so.
    pub max_output_tokens: Option<u32>,
    /// The units that it takes from its account's quota.
    pub quota_units: u32,
    /// Whether a key let it in that may have been revoked since.
    pub key_authenticated: bool,
}
