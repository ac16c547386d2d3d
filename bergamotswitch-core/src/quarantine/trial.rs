//! Provides the trials that decide whether a quarantine goes on.

use std::time::Duration;

use super::CrashSuspect;

/// The time after which a trial without a result counts as abandoned.
pub(super) const TRIAL_TIMEOUT_MS: i64 = 60_000;

/// Reports of trials that began within this time are about one trial.
pub(super) const TRIAL_SPACE_MS: i64 = 5_000;

/// The retry delay of requests that wait for the result of a trial.
pub(super) const TRIAL_RETRY: Duration = Duration::from_secs(5);

/// The time over which hosts spread their trials, so that one host's trial is known
/// to the others before they begin theirs.
const TRIAL_SPREAD_MS: u64 = 30_000;

/// A `TrialPrecedence` is the order of a host among those that may run a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialPrecedence {
    /// The host owns the shard and comes first.
    Owner,
    /// The host comes after the owner, in the order of this hash of its name.
    Other(u64),
}

impl TrialPrecedence {
    /// Get the delay of the host's trial after the end of a quarantine.
    pub(super) fn delay_ms(self, suspect: CrashSuspect) -> i64 {
        match self {
            TrialPrecedence::Owner => 0,
            TrialPrecedence::Other(hash) => ((hash ^ suspect.low_bits()) % TRIAL_SPREAD_MS) as i64,
        }
    }
}

/// A `TrialRequest` is a request that may become the trial of a quarantine.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrialRequest {
    pub(super) precedence: TrialPrecedence,
    /// Whether the quarantined suspects stand for parts of prompts alone.
    pub(super) is_of_parts: bool,
    /// Whether the prompt has other parts that are not known to be sound, so that another
    /// crash would prove little.
    pub(super) has_doubtful: bool,
}

impl TrialRequest {
    /// Get the delay of the trial after the end of a quarantine.
    pub(super) fn delay_ms(self, suspect: CrashSuspect) -> i64 {
        let delay_ms = self.precedence.delay_ms(suspect);
        match self.has_doubtful {
            true => delay_ms + TRIAL_SPREAD_MS as i64,
            false => delay_ms,
        }
    }
}

/// An `Admission` is how a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is not in quarantine.
    Regular,
    /// The request is the trial that decides whether its quarantine goes on.
    Trial,
}
