//! Provides the entry side: it accepts requests, asks owners for permits,
//! dispatches, retries and remembers outcomes.

mod answer_cache;
mod attempt;
mod call_options;
mod dispatcher;
mod key_store;
mod options;
mod placement;
mod quota_use;
pub mod request_state;
mod request_table;
mod run_durations;
mod view;

use std::time::Duration;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::host::{HostIncarnation, HostName};
use crate::incident::Incident;
use crate::permit::{OwnerMessage, OwnerReply, Permit, Usage};
use crate::pool::{PoolKind, PoolName, PoolShard, TargetPool};
use crate::pool_owner::QuotaRate;
use crate::refusal::{Refusal, RefusalReason, RetryReason, WasteCause};
use crate::request::{AttemptId, CallerKey, PrefixHash, RequestId, TokenCost};
use crate::rules::{Tier, Verdict};
use crate::target::TargetName;

pub use call_options::CallOptions;
pub use dispatcher::{EntryDispatcher, STOPPING_RETRY_AFTER};
pub use options::{EntryOptions, Fault};
pub use view::EntryView;

/// A `Submission` is a checked request of a caller, without its body: that
/// stays with the network crate under the request's id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The client account, authenticated.
    pub account: AccountName,
    /// The pool.
    pub pool: PoolName,
    /// How its targets are spoken to.
    pub kind: PoolKind,
    /// What the first matching rule says, made stricter by the caller's marks.
    pub verdict: Verdict,
    /// The caller's key.
    pub key: Option<CallerKey>,
    /// The run that the caller was told to hold its request.
    pub holder: Option<HostIncarnation>,
    /// Whether the caller marked it as a resubmission.
    pub resubmission: bool,
    /// The xxh3-128 of path and body: a key must not be used for two.
    pub fingerprint: u128,
    /// The estimated cost.
    pub cost: TokenCost,
    /// The hashes of the prompt's beginnings.
    pub prefixes: Vec<PrefixHash>,
    /// The time until the answer is of no use.
    pub deadline_in: Duration,
    /// Whether output is passed on as it comes. Once a caller has seen some of
    /// an answer, another run's output must not follow it.
    pub streaming: bool,
    /// What bounds it beyond the verdict.
    pub options: CallOptions,
}

impl Submission {
    /// Get whether a second run would do no harm.
    pub(crate) fn may_rerun(&self) -> bool {
        self.verdict.idempotent && !self.verdict.dispatch_once
    }

    /// Get whether an earlier copy may have run that this run of the host does
    /// not know of. Its caller says that it sends it again; and it names no
    /// run, or it is one of which copies that ran are not remembered.
    pub(crate) fn may_have_run_before(&self) -> bool {
        self.resubmission && (self.holder.is_none() || self.may_rerun())
    }

    /// Get the refusal of a submission that a stopping host turns away.
    pub fn stopping_refusal(&self) -> Refusal {
        self.refuse(RefusalReason::Stopping)
            .with_retry_after(STOPPING_RETRY_AFTER)
    }

    /// Get the refusal of a submission that this run does not accept. A caller
    /// that asks for all copies must not be told "not run" for one of them: it
    /// would send the request anew, and it would run twice.
    pub(crate) fn refuse(&self, reason: RefusalReason) -> Refusal {
        match self.may_have_run_before() {
            true => Refusal::may_have_run(reason),
            false => Refusal::before_acceptance(reason),
        }
    }
}

/// A `SubmitOutcome` is what becomes of a submission at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It is a new request under this id.
    Accepted(RequestId),
    /// It belongs to this request, running or ended; follow its answer.
    Attached(RequestId),
    /// Another run of a host holds it; forward it there.
    Forward(HostIncarnation),
    /// It is refused.
    Refused(Refusal),
}

/// A `NotSentReason` is why no byte of an attempt was handed to a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSentReason {
    /// The connection was never established.
    ConnectFailed,
    /// The target is leaving or unknown here.
    TargetUnavailable,
}

/// An `AttemptEvent` is what the network crate sees of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// No byte was handed to a socket.
    NotSent(NotSentReason),
    /// The target's whole answer is a refusal (429 or 503).
    Refused,
    /// The target's whole answer is an error (other 4xx and 5xx); it is
    /// passed on if nothing follows.
    Failed,
    /// The first output token came.
    FirstToken,
    /// Output went on; tokens received so far.
    Progress(u32),
    /// The stream goes on over a new connection.
    Resumed,
    /// The stream has paused for so long that its target may be gone.
    Stalled,
    /// The answer is whole.
    Finished(Usage),
    /// The connection broke or went silent and the stream was not resumed.
    Broken(Usage),
}

/// An `EntryEvent` is one thing that happens to the entry side. Submissions
/// come through `EntryDispatcher::submit`.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// The last caller that follows a request went away.
    CallerLeft(RequestId),
    /// An owner says something.
    Reply(HostName, OwnerReply),
    /// The acting owner of a shard, as this host sees it, has changed. Where
    /// no candidate is reachable, it is this host, with its own fraction.
    OwnerChanged(PoolShard, HostName),
    /// An attempt makes progress.
    Attempt(AttemptId, AttemptEvent),
    /// The answer of a request in flight is longer than one may be.
    AnswerTooLong(RequestId),
    /// The answer of an ended request takes this memory, in bytes.
    AnswerSize(RequestId, u64),
    /// The published pools changed.
    Pools(Vec<TargetPool>),
    /// A target is leaving (or back), in this host's own view.
    TargetLeaving(TargetName, bool),
    /// A planned stop begins.
    Stop,
    /// In a planned stop that may not last, answers have to be whole by then.
    FinishBy(Moment),
    /// The addresses under which callers come have lapsed: no new request is
    /// taken.
    AdmissionClosed,
    /// In a planned stop, when enough hosts are expected to take callers again;
    /// none where they do now, or nobody can tell.
    HostsAvailableAt(Option<Moment>),
    /// How many hosts there are, this one among them.
    Hosts(usize),
    /// The quotas of client accounts, after a change.
    Quotas(Vec<(AccountName, QuotaRate)>),
    /// The planned stop may not last any longer: everything ends now.
    GraceExpired,
    /// Time has passed.
    Tick,
    /// The process slept for this long; nothing that it believed is fresh.
    ProcessPaused(Duration),
}

/// A `Conclusion` is the one final outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// The answer is whole.
    Answered,
    /// The target's error is the answer.
    TargetError,
    /// There is no answer of a target.
    Refused(Refusal),
}

/// An `EntryAction` is one thing that the entry side wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryAction {
    /// Send a message to a shard's owner (which may be this host).
    Send(HostName, OwnerMessage),
    /// Dispatch: connect and send the request's body to the target.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// The permit; its target is where to.
        permit: Permit,
    },
    /// Stop an attempt and, where asked, cancel it at its target. What it
    /// delivered is dropped: nobody has seen it, or the request is over.
    Abort {
        /// The attempt.
        attempt: AttemptId,
        /// Whether to cancel the stream at the target.
        cancel: bool,
    },
    /// Tell the caller the outcome.
    Conclude(RequestId, Conclusion),
    /// Drop the kept answer of an ended request.
    DropAnswer(RequestId),
    /// Hand a request over to the run that holds its key.
    Forward(RequestId, HostIncarnation),
    /// Log a numbered event about a request.
    LogIncident(Incident, RequestId),
    /// Count a refusal of a request that was accepted.
    CountRefusal(Tier, RefusalReason),
    /// Count the time from acceptance to the first dispatch.
    CountWait(Tier, Duration),
    /// Count a retry.
    CountRetry(RetryReason),
    /// Count prompt tokens processed for nothing.
    CountWaste(Tier, WasteCause, u32),
    /// Count what an ended request was: its tier, whether its whole answer
    /// came within its deadline, and its time to the first token.
    CountEnd {
        /// The tier.
        tier: Tier,
        /// Whole and in time.
        good: bool,
        /// From acceptance to the first token.
        first_token: Option<Duration>,
    },
    /// The stop is complete: nothing waits or runs.
    Stopped,
}

/// An `OutcomeQuery` names the request whose outcome is asked for.
#[derive(Clone, Debug)]
pub enum OutcomeQuery {
    /// By its id.
    Id(RequestId),
    /// By client account and caller's key.
    Key(AccountName, CallerKey),
}

/// An `OutcomeView` is what this host knows of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutcomeView {
    /// It waits for a permit.
    Waiting(RequestId),
    /// It was dispatched and runs.
    Running(RequestId),
    /// It ended with a whole answer, which is kept.
    Answered(RequestId),
    /// It ended without an answer.
    Refused(RequestId, Refusal),
    /// This run does not know it; the reason is `lost` or `outcome-unknown`.
    Unknown(RefusalReason),
}
