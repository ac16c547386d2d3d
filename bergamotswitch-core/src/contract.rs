//! Provides target contracts: the optional capabilities of a target.

use serde::{Deserialize, Serialize};

/// A `TargetContract` lists the optional capabilities that a target supports.
/// Each one defaults to unsupported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetContract {
    /// Whether the target rejects commands with an outdated fencing token.
    pub checks_fencing: bool,
    /// Whether the target resumes a stream by its id and offset without running
    /// the request again.
    pub resumes: bool,
    /// Whether the target cancels a stream on request.
    pub cancels: bool,
    /// Whether a 429 or 503 from the target proves that the request was not
    /// executed.
    pub refusal_means_not_run: bool,
    /// Whether the target exports and imports KV cache.
    pub moves_cache: bool,
}
