//! Provides the options of a call: limits in addition to its rule's verdict.

use std::time::Duration;

use crate::stream_table::StreamStart;

/// A `CallOptions` holds the limits of one call in addition to its rule's
/// verdict. The default adds none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallOptions {
    /// The maximum number of targets that may run the call, or `None` for the
    /// limit of the fleet.
    pub max_runs: Option<u16>,
    /// The time from acceptance within which the answer should begin, or `None`
    /// if only the deadline applies.
    pub first_token_limit: Option<Duration>,
    /// Whether the stream may continue at another target after events were
    /// passed on.
    pub resumable: bool,
    /// Whether the call begins or resumes a stream that may be resumed at any host.
    pub stream: Option<StreamStart>,
    /// Whether the call ends at its deadline even if a caller follows it.
    pub ends_at_deadline: bool,
    /// Whether the call ends when its caller disconnects, even if it must not
    /// be rerun.
    pub ends_with_caller: bool,
    /// The maximum number of output tokens, if the call states it.
    pub max_output_tokens: Option<u32>,
    /// The units that the call takes from its account's quota.
    pub quota_units: u32,
    /// Whether the call was authenticated by a key, which may have been revoked
    /// since.
    pub key_authenticated: bool,
}
