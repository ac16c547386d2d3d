//! Provides the entry side of a host: it accepts requests, obtains permits from
//! owners, dispatches, retries and stores outcomes.

mod answer_cache;
mod attempt;
mod call_options;
mod dispatcher;
mod key_store;
mod options;
mod path_table;
mod placement;
mod quota_use;
pub mod request_state;
mod request_table;
mod run_durations;
mod target_limits;
mod target_notices;
mod target_paces;
mod view;

use std::time::Duration;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::host::{EntryHost, HostIncarnation, HostName};
use crate::incident::Incident;
use crate::permit::{OwnerMessage, OwnerReply, Permit, Usage};
use crate::pool::{PoolKind, PoolName, PoolShard, TargetPool};
use crate::pool_owner::QuotaRate;
use crate::pool_owner::wait_plan::spread_retry_after;
use crate::quarantine::{CrashReport, QuarantineChange};
use crate::refusal::{Refusal, RefusalReason, RetryReason, WasteCause};
use crate::request::{AttemptId, CallerKey, PartId, PrefixHash, RequestId, TokenCost};
use crate::rules::{Tier, Verdict};
use crate::stream_table::VersionStreams;
use crate::target::{NamedLimit, NamedPace, TargetName, TargetVersion};
use crate::target_path::TargetPath;

pub use call_options::CallOptions;
pub use dispatcher::{EntryDispatcher, STOPPING_RETRY_AFTER};
pub use options::{EntryOptions, Fault};
pub use path_table::PathChange;
pub use view::EntryView;

/// A `Submission` is a validated request of a caller without its body, which
/// the network crate keeps under the request's id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The authenticated client account.
    pub account: AccountName,
    /// The pool whose targets may run the request.
    pub pool: PoolName,
    /// The protocol kind of the pool's targets.
    pub kind: PoolKind,
    /// The verdict of the first matching rule, restricted further by the
    /// caller's request fields.
    pub verdict: Verdict,
    /// The caller's idempotency key.
    pub key: Option<CallerKey>,
    /// The host incarnation that holds the request, according to the caller.
    pub holder: Option<HostIncarnation>,
    /// Whether the caller marked the request as a resubmission.
    pub resubmission: bool,
    /// The xxh3-128 of path and body, which detects a key that is reused for
    /// another request.
    pub fingerprint: u128,
    /// The estimated cost.
    pub cost: TokenCost,
    /// The hashes of the prompt's prefixes, as in a permit request.
    pub prefixes: Vec<PrefixHash>,
    /// The parts of the prompt that other requests may share, in order.
    pub parts: Vec<PartId>,
    /// The time left until the deadline.
    pub deadline_in: Duration,
    /// Whether output is passed on as it arrives. Output of another run must
    /// not follow output that the caller has already received.
    pub streaming: bool,
    /// The limits that apply in addition to the verdict.
    pub options: CallOptions,
}

impl Submission {
    /// Get whether a second run is safe.
    pub fn may_rerun(&self) -> bool {
        self.verdict.idempotent && !self.verdict.dispatch_once
    }

    /// Get whether an earlier copy may have run without the knowledge of this
    /// incarnation. This is so for a resubmission that names no incarnation, or
    /// that can be rerun safely, as earlier runs of such requests are not
    /// remembered.
    pub(crate) fn may_have_run_before(&self) -> bool {
        self.resubmission && (self.holder.is_none() || self.may_rerun())
    }

    /// Get the submission after it has waited to be processed.
    pub fn after_wait(mut self, waited: Duration) -> Self {
        self.deadline_in = self.deadline_in.saturating_sub(waited);
        self
    }

    /// Get whether the submission may be refused without a look at what this host knows.
    /// One with a key, or that was sent before, may have run.
    pub fn is_refusable_unseen(&self) -> bool {
        self.key.is_none() && self.holder.is_none() && !self.resubmission
    }

    /// Get the refusal of a submission for which this host has no processor time.
    pub fn overload_refusal(&self, number: u64) -> Refusal {
        self.refuse(RefusalReason::Overloaded)
            .with_retry_after(spread_retry_after(self.deadline_in, number))
    }

    /// Get the refusal of a submission that arrives during a planned stop.
    pub fn stopping_refusal(&self) -> Refusal {
        self.refuse(RefusalReason::Stopping)
            .with_retry_after(STOPPING_RETRY_AFTER)
    }

    /// Get the refusal of a submission that is not accepted. A resubmission
    /// asks about all copies of a request, so it must not be answered "not run"
    /// on account of this copy: the caller would submit the request again and
    /// it would run twice.
    pub(crate) fn refuse(&self, reason: RefusalReason) -> Refusal {
        match self.may_have_run_before() {
            true => Refusal::may_have_run(reason),
            false => Refusal::before_acceptance(reason),
        }
    }
}

/// A `SubmitOutcome` is the immediate result of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The submission is a new request with this id.
    Accepted(RequestId),
    /// The submission belongs to this live or ended request, whose answer it
    /// gets.
    Attached(RequestId),
    /// Another host incarnation holds the request, which has to be forwarded
    /// there.
    Forward(HostIncarnation),
    /// The submission is refused.
    Refused(Refusal),
}

/// A `NotSentReason` is the reason why no byte of an attempt was written to a
/// socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSentReason {
    /// The connection could not be established.
    ConnectFailed,
    /// The target is draining, or unknown to this host.
    TargetUnavailable,
}

/// An `AttemptEvent` is an event of one attempt, reported by the network crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// No byte was written to a socket.
    NotSent(NotSentReason),
    /// The target answered with a refusal (429 or 503).
    Refused,
    /// The target answered with an error (other 4xx and 5xx), which is passed
    /// on unless the request is retried.
    Failed,
    /// The target answered with an error that is not passed on, since its status would tell
    /// the caller that the request did not run.
    FailureWithheld,
    /// A new connection was established; reported on paths other than the direct one.
    Connected,
    /// The first output token arrived.
    FirstToken,
    /// The target named a limit of its request rate in the head of its answer.
    LimitNamed(NamedLimit),
    /// The target says in the head of its answer that it leaves.
    LeavingNamed,
    /// The target says in the head of its answer that it is brittle: it falls over if it
    /// has to turn more requests away in a second.
    BrittleNamed(u32),
    /// The target named its momentary pace in the head of its answer.
    PaceNamed(NamedPace),
    /// The target refused the request and wants no other one from this host for so long.
    RestAsked(Duration),
    /// More output arrived; carries the number of tokens received so far.
    Progress(u32),
    /// The stream was resumed over a new connection.
    Resumed,
    /// There has been no output for so long that the target may have failed.
    Stalled,
    /// The answer is complete.
    Finished(Usage),
    /// The connection broke or timed out, and the stream was not resumed.
    Broken(Usage),
    /// The tunnel on which the attempt reached its target broke.
    TunnelBroken(Usage),
}

/// An `EntryEvent` is an event for the entry side. Requests are submitted with
/// [`EntryDispatcher::submit`] instead.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// The last caller that followed a request disconnected.
    CallerDisconnected(RequestId),
    /// An owner sent a reply.
    Reply(HostName, OwnerReply),
    /// This host's view of the acting owner of a shard changed. If no candidate
    /// is reachable, this host itself acts as owner of a fraction of the slots.
    OwnerChanged(PoolShard, HostName),
    /// An attempt reported an event.
    Attempt(AttemptId, AttemptEvent),
    /// The answer of a request in flight exceeds the size limit.
    AnswerTooLong(RequestId),
    /// The answer of an ended request uses this memory, in bytes.
    AnswerSize(RequestId, u64),
    /// An owner reported the versions at which streams of a pool began.
    Streams(PoolName, Vec<VersionStreams>),
    /// The published pools changed.
    Pools(Vec<TargetPool>),
    /// A target started or stopped draining, in this host's own view.
    TargetDraining(TargetName, bool),
    /// A planned stop begins.
    Stop,
    /// Answers have to be complete by this time, due to the grace period of a
    /// planned stop.
    AnswerDeadline(Moment),
    /// The address leases of callers have expired: new requests are refused.
    AdmissionClosed,
    /// The time at which enough hosts are expected to accept requests again,
    /// during a planned stop. `None` if enough hosts accept requests now, or if the
    /// time is unknown.
    HostsAvailableAt(Option<Moment>),
    /// The number of hosts, including this one, changed.
    Hosts(usize),
    /// The hosts whose tunnels may be used changed.
    TunnelHosts(Vec<EntryHost>),
    /// Another host reported suspects whose runs crashed their targets.
    Crashes(Vec<CrashReport>),
    /// The quotas of client accounts changed.
    Quotas(Vec<(AccountName, QuotaRate)>),
    /// The grace period of the planned stop is over: all requests end now.
    GraceExpired,
    /// Time has passed.
    Tick,
    /// The process was paused for this duration, so its state may be outdated.
    ProcessResumed(Duration),
}

/// A `Conclusion` is the final outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// The answer is complete.
    Answered,
    /// The target's error is the answer.
    TargetError,
    /// The request is refused without an answer from a target.
    Refused(Refusal),
}

/// An `EntryAction` is an action that the entry side requests from its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryAction {
    /// Send a message to a shard's owner, which may be this host.
    Send(HostName, OwnerMessage),
    /// Dispatch an attempt: connect to the target and send the request's body.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// The permit, which names the target.
        permit: Permit,
        /// The path on which to reach the target.
        path: TargetPath,
        /// The timeout for the connection; `None` for the usual one.
        connect_within: Option<Duration>,
    },
    /// Stop an attempt and drop the output that was not passed on.
    Abort {
        /// The attempt.
        attempt: AttemptId,
        /// Whether to cancel the stream at the target.
        cancel: bool,
    },
    /// Report the final outcome to the caller.
    Conclude(RequestId, Conclusion),
    /// Drop the stored answer of an ended request.
    DropAnswer(RequestId),
    /// Forward a request to the host incarnation that holds its key.
    Forward(RequestId, HostIncarnation),
    /// Log an incident of a request.
    LogIncident(Incident, RequestId),
    /// Log an incident of a resumable stream, with its version if it is known.
    LogStream(Incident, RequestId, Option<TargetVersion>),
    /// Log an incident of requests under which targets crashed.
    LogCrashes(Incident, QuarantineChange),
    /// Log the rate limit that a target has named, or that it names none any more.
    LogTargetLimit(TargetName, Option<NamedLimit>),
    /// Log what a target has said of itself for the first time.
    LogTargetNotice(Incident, TargetName),
    /// Log that a target is brittle, with the requests that it can turn away in a second,
    /// or no longer is.
    LogBrittle(TargetName, Option<u32>),
    /// Log that a target wants nothing from this host for so long.
    LogRest(TargetName, Duration),
    /// Log a change of the paths to targets.
    LogPathChange(PathChange),
    /// Count the refusal of an accepted request.
    CountRefusal(Tier, RefusalReason),
    /// Count the time from acceptance to the first dispatch.
    CountWait(Tier, Duration),
    /// Count a retry.
    CountRetry(RetryReason),
    /// Count wasted prompt tokens.
    CountWaste(Tier, WasteCause, u32),
    /// Count an ended request.
    CountEnd {
        /// The tier of the request.
        tier: Tier,
        /// Whether the answer was complete before the deadline.
        good: bool,
        /// The time from acceptance to the first token.
        first_token: Option<Duration>,
    },
    /// The planned stop is complete: no request waits or runs.
    Stopped,
}

/// An `OutcomeQuery` identifies the request whose outcome is queried.
#[derive(Clone, Debug)]
pub enum OutcomeQuery {
    /// Query by request id.
    Id(RequestId),
    /// Query by client account and caller key.
    Key(AccountName, CallerKey),
}

/// An `OutcomeView` is the state of a request as known to this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutcomeView {
    /// The request waits for a permit.
    Waiting(RequestId),
    /// The request was dispatched and is running.
    Running(RequestId),
    /// The request ended with an answer, which is stored.
    Answered(RequestId),
    /// The request ended without an answer.
    Refused(RequestId, Refusal),
    /// The request is not known here; the reason is `lost` or
    /// `outcome-unknown`.
    Unknown(RefusalReason),
}
