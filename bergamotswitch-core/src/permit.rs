//! Provides the messages between entry hosts and the owner of a pool's shard:
//! permit requests, permits and releases.
//!
//! A permit grants capacity only. A duplicated, late or lost permit can waste a
//! slot but cannot run a request twice, because a dispatch depends only on the
//! request's state at the host that accepted it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::call_signature::CallSignature;
use crate::client_account::AccountName;
use crate::failure_domain::DomainName;
use crate::host::{HostIncarnation, Incarnation};
use crate::pool::PoolShard;
use crate::refusal::RefusalReason;
use crate::request::{AttemptId, PrefixHash, TokenCost};
use crate::rules::Tier;
use crate::stream_table::{StreamOrigin, VersionStreams};
use crate::target::{MomentaryPace, RequestRate, TargetName, TargetVersion};

/// The maximum number of key claims per message. With host names of maximum
/// length, the message stays well below the size limit between hosts.
pub(crate) const CLAIMS_PER_MESSAGE: usize = 4_096;

/// A `KeyClaim` registers at the owner the idempotency key of a request that
/// must not run twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// The xxh3-128 hash of the client account and the caller's key.
    pub key: u128,
    /// The host incarnation that holds the request.
    pub holder: HostIncarnation,
    /// Whether the caller marked the request as a resubmission.
    pub resubmission: bool,
}

/// A `PermitRequest` is an entry host's request for one slot of a pool shard. It may be
/// sent repeatedly, because the owner identifies it by its attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The attempt that needs the slot.
    pub attempt: AttemptId,
    /// The shard.
    pub shard: PoolShard,
    /// The request's priority tier.
    pub tier: Tier,
    /// The client account, for fair queuing within the tier.
    pub account: AccountName,
    /// The account's weight in fair queuing, at least 1.
    pub share: u32,
    /// The estimated cost.
    pub cost: TokenCost,
    /// The hashes of the prompt's prefixes, shortest first. Those of a resumed stream of a
    /// gateway are the hash of its own part of the prompt alone.
    pub prefixes: Vec<PrefixHash>,
    /// The time left until the deadline, in milliseconds.
    pub deadline_ms: u32,
    /// The time since the request was accepted, in milliseconds, so that a new
    /// owner keeps the queue order.
    pub waited_ms: u32,
    /// The failure domains where the request may run; empty for all.
    pub domains: Vec<DomainName>,
    /// The targets on which this request has already failed.
    pub avoid: Vec<TargetName>,
    /// Whether the owner may preempt the request for one of a higher tier.
    pub preemptible: bool,
    /// The claim on the idempotency key, if the request must not run twice.
    pub claim: Option<KeyClaim>,
    /// The time after acceptance within which the answer should begin, in
    /// milliseconds; the deadline if absent.
    pub first_answer_ms: Option<u32>,
    /// The units that the request takes from its account's quota.
    pub quota_units: u32,
}

impl PermitRequest {
    /// Get the permit request after it has been held; `None` if its deadline has passed,
    /// which its entry host has reported to the caller.
    pub fn after_wait(self, waited: Duration) -> Option<Self> {
        let waited = u32::try_from(waited.as_millis()).unwrap_or(u32::MAX);
        let left = self.deadline_ms.checked_sub(waited)?;
        Some(PermitRequest {
            deadline_ms: left,
            waited_ms: self.waited_ms.saturating_add(waited),
            ..self
        })
    }

    /// Get whether the request may be refused without a look at what its owner knows. A
    /// later attempt belongs to a call that was accepted, and a call with a key may have
    /// run before.
    pub fn is_refusable_unseen(&self) -> bool {
        self.attempt.attempt == 0 && self.claim.is_none()
    }

    /// Get whether this is a later attempt of a call that avoids no target, as after a
    /// pause of its host.
    pub fn is_renewed(&self) -> bool {
        self.attempt.attempt > 0 && self.avoid.is_empty()
    }
}

/// A `PermitId` identifies a permit among those of all owner incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PermitId {
    /// The owner's incarnation.
    pub owner: Incarnation,
    /// The permit's sequence number at that owner.
    pub sequence: u64,
}

/// A `Permit` allows one attempt to use a slot of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The permit's id.
    pub id: PermitId,
    /// The attempt that requested the slot.
    pub attempt: AttemptId,
    /// The target to use.
    pub target: TargetName,
    /// The time after arrival within which the permit may be used, in
    /// milliseconds.
    pub lifetime_ms: u32,
}

/// A `Usage` is the resource usage observed for one attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The number of prompt tokens processed.
    pub prefill: u32,
    /// The number of prompt tokens served from the target's prefix cache.
    pub cached: u32,
    /// The number of output tokens received.
    pub decode: u32,
    /// The time from dispatch to the first token, in milliseconds.
    pub first_token_ms: u32,
    /// The time from dispatch to the end, in milliseconds.
    pub elapsed_ms: u32,
}

/// A `ReleaseOutcome` is the result of the attempt for which a permit was
/// granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseOutcome {
    /// The permit was not used.
    Unused,
    /// The answer is complete.
    Finished(Usage),
    /// The target could not be reached.
    Unreachable,
    /// The target refused the request.
    Refused,
    /// The attempt failed after dispatch.
    Failed(Usage),
    /// The attempt was stopped by the entry host or by preemption.
    Stopped(Usage),
}

impl ReleaseOutcome {
    /// Get the name of the outcome for log lines.
    pub fn label(&self) -> &'static str {
        match self {
            ReleaseOutcome::Unused => "unused",
            ReleaseOutcome::Finished(_) => "finished",
            ReleaseOutcome::Unreachable => "unreachable",
            ReleaseOutcome::Refused => "refused",
            ReleaseOutcome::Failed(_) => "failed",
            ReleaseOutcome::Stopped(_) => "stopped",
        }
    }
}

/// A `Release` returns a permit to its owner. It may be sent repeatedly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The permit.
    pub permit: PermitId,
    /// The attempt for which the permit was granted.
    pub attempt: AttemptId,
    /// The result of the attempt.
    pub outcome: ReleaseOutcome,
}

/// An `InFlightWork` reports to a new owner an attempt that is running under a
/// previous owner's permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightWork {
    /// The permit under which the attempt runs.
    pub permit: PermitId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The target on which the attempt runs.
    pub target: TargetName,
    /// The request's priority tier.
    pub tier: Tier,
    /// The request's client account.
    pub account: AccountName,
    /// The account's weight in fair queuing.
    pub share: u32,
    /// The estimated cost.
    pub cost: TokenCost,
    /// Whether the attempt may be preempted for a request of a higher tier.
    pub preemptible: bool,
}

/// A `QuotaLevel` is a number of units in an account's quota bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLevel {
    /// The client account.
    pub account: AccountName,
    /// The number of units.
    pub units: u64,
}

/// A `FailedTarget` is a target that the sending owner has backed off.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedTarget {
    /// The target.
    pub target: TargetName,
    /// The target's reported start time in Unix milliseconds, if any.
    pub started_at_ms: Option<u64>,
    /// The time until the sender's next probe of the target, in milliseconds.
    pub probe_in_ms: u32,
}

/// A `TargetLimit` is the limit of its request rate that a target named to the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLimit {
    /// The target.
    pub target: TargetName,
    /// The rate that it accepts from all hosts together.
    pub rate: RequestRate,
    /// The time since it named this limit, in milliseconds.
    pub age_ms: u32,
}

/// A `LeavingTarget` is a target that said in an answer that it leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingTarget {
    /// The target.
    pub target: TargetName,
    /// The target's reported start time in Unix milliseconds, if any.
    pub started_at_ms: Option<u64>,
}

/// A `BrittleTarget` is a target that said, or no longer says, that it falls over if it has
/// to turn many requests away.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleTarget {
    /// The target.
    pub target: TargetName,
    /// How many requests it can turn away in a second; `None` if it is not brittle.
    pub refusals_per_second: Option<u32>,
}

/// An `AccountUse` is the recent use of a shard by a client account in one tier.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUse {
    /// The tier.
    pub tier: Tier,
    /// The client account.
    pub account: AccountName,
    /// The decayed use, in milliseconds of slots.
    pub used_ms: u64,
    /// The account's weight.
    pub weight: u32,
}

/// A `ReturnPromise` is a promise to a refused caller that its call has a place when it
/// returns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnPromise {
    /// The signature of the call.
    pub signature: CallSignature,
    /// The call's tier.
    pub tier: Tier,
    /// The client account.
    pub account: AccountName,
    /// The time until the caller returns, in milliseconds; 0 if that time has passed.
    pub due_in_ms: u32,
    /// The time until the promise ends, in milliseconds.
    pub expires_in_ms: u32,
}

/// A `TargetPace` is the momentary pace that a target reported to the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetPace {
    /// The target.
    pub target: TargetName,
    /// The pace.
    pub pace: MomentaryPace,
    /// The time since the target reported it, in milliseconds.
    pub age_ms: u32,
}

/// An `OwnerMessage` is a message to a shard's owner from an entry host or from
/// another owner of the shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerMessage {
    /// Requests a slot.
    PermitRequest(Box<PermitRequest>),
    /// Cancels a permit request, because the caller disconnected or the deadline
    /// passed.
    Withdraw {
        /// The shard.
        shard: PoolShard,
        /// The attempt that requested the slot.
        attempt: AttemptId,
    },
    /// Returns a permit.
    Release {
        /// The shard.
        shard: PoolShard,
        /// The release.
        release: Release,
    },
    /// Reports the entry host's permits and keys to a new owner, before the first
    /// permit request.
    Resync {
        /// The shard.
        shard: PoolShard,
        /// The attempts in flight.
        held: Vec<InFlightWork>,
        /// The keys of requests that must not run twice and are in flight or
        /// retained.
        claims: Vec<KeyClaim>,
    },
    /// Answers [`OwnerReply::Audit`] with the permits that the host does not hold.
    NotHeld {
        /// The shard.
        shard: PoolShard,
        /// The permits that are not held.
        permits: Vec<PermitId>,
    },
    /// Answers [`OwnerReply::ConfirmOwner`]: the sender treats the receiver, and
    /// no other host, as the shard's owner.
    OwnerConfirmed {
        /// The shard.
        shard: PoolShard,
        /// The round number of the query.
        round: u64,
    },
    /// Transfers the units left in the quota buckets of the sender, a former
    /// owner, which keeps none of them.
    QuotaLevels {
        /// The shard.
        shard: PoolShard,
        /// The units transferred for each account.
        levels: Vec<QuotaLevel>,
    },
    /// Reports the targets that the sender, another owner, has backed off.
    FailedTargets {
        /// The shard.
        shard: PoolShard,
        /// The targets.
        targets: Vec<FailedTarget>,
    },
    /// Reports to a new owner, before the first permit request, the quota units that
    /// requests at the sender have used and that have not been refilled since.
    QuotaUse {
        /// The shard.
        shard: PoolShard,
        /// The number of hosts that share the buckets as known to the sender,
        /// because a new owner may not know all of them yet.
        hosts: u32,
        /// The units missing from the sender's share of each bucket.
        used: Vec<QuotaLevel>,
    },
    /// Reports the limits that targets named to the sender: in the answer under one
    /// permit, or all known ones before the first permit request to a new owner.
    TargetLimits {
        /// The shard.
        shard: PoolShard,
        /// The number of hosts that share the limits as known to the sender.
        hosts: u32,
        /// The permit under whose answer the limit was named.
        permit: Option<PermitId>,
        /// The limits; none if the named one could not be read.
        limits: Vec<TargetLimit>,
    },
    /// Hands over the keys that the sender recorded as owner, whoever holds them. It is
    /// sent to the next owner only.
    Keys {
        /// The shard.
        shard: PoolShard,
        /// The claims of the keys.
        claims: Vec<KeyClaim>,
    },
    /// Reports targets that said to the sender that they leave.
    LeavingTargets {
        /// The shard.
        shard: PoolShard,
        /// The targets.
        targets: Vec<LeavingTarget>,
    },
    /// Reports targets that said to the sender that they are brittle, or no longer are.
    BrittleTargets {
        /// The shard.
        shard: PoolShard,
        /// The targets.
        targets: Vec<BrittleTarget>,
    },
    /// Announces that the sender's next permit request is for a resumable stream.
    Stream {
        /// The shard.
        shard: PoolShard,
        /// The attempt that requests the slot.
        attempt: AttemptId,
        /// What the sender knows of the version that began the stream.
        origin: StreamOrigin,
    },
    /// Reports the versions at which streams began, to a new owner or to a host that may
    /// become the owner.
    StreamVersions {
        /// The shard.
        shard: PoolShard,
        /// The streams.
        streams: Vec<VersionStreams>,
    },
    /// Hands over the recent use of client accounts to the next owner.
    AccountUse {
        /// The shard.
        shard: PoolShard,
        /// The use of each account in each tier.
        accounts: Vec<AccountUse>,
    },
    /// Announces the signature of the call whose permit request follows.
    Signature {
        /// The shard.
        shard: PoolShard,
        /// The attempt that requests the slot.
        attempt: AttemptId,
        /// The signature.
        signature: CallSignature,
    },
    /// Hands over the promises to refused callers, to the next owner or a new one.
    Promises {
        /// The shard.
        shard: PoolShard,
        /// The promises.
        promises: Vec<ReturnPromise>,
    },
    /// Reports the momentary paces that targets reported to the sender.
    TargetPaces {
        /// The shard.
        shard: PoolShard,
        /// The paces.
        targets: Vec<TargetPace>,
    },
}

/// An `OwnerReply` is a message from a shard's owner to an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerReply {
    /// Grants a slot.
    Granted {
        /// The shard.
        shard: PoolShard,
        /// The permit.
        permit: Permit,
    },
    /// Refuses the permit request for good.
    Refused {
        /// The attempt that requested the slot.
        attempt: AttemptId,
        /// The reason.
        reason: RefusalReason,
        /// The time after which the caller may retry, in milliseconds.
        retry_after_ms: u32,
    },
    /// Redirects a permit request whose idempotency key is held by another host
    /// incarnation.
    KeyHeld {
        /// The attempt that requested the slot.
        attempt: AttemptId,
        /// The host incarnation that holds the key.
        holder: HostIncarnation,
    },
    /// Stops an attempt in favor of a request of a higher tier.
    Preempt {
        /// The permit.
        permit: PermitId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Asks which of these old permits the entry host no longer holds, so that a
    /// lost release does not leak its slot.
    Audit {
        /// The shard.
        shard: PoolShard,
        /// The permits to check.
        permits: Vec<PermitId>,
    },
    /// Replies that the sender does not currently own the shard.
    NotOwner {
        /// The shard.
        shard: PoolShard,
    },
    /// Asks whether the entry host treats the sender as the shard's owner.
    ConfirmOwner {
        /// The shard.
        shard: PoolShard,
        /// The round number of the query.
        round: u64,
    },
    /// Replies to [`OwnerMessage::Stream`] with the version that began the stream, if only
    /// the owner knows it.
    StreamVersion {
        /// The attempt that requests the slot.
        attempt: AttemptId,
        /// The version.
        version: TargetVersion,
    },
}

impl OwnerMessage {
    /// Get the shard to which the message refers.
    pub fn shard(&self) -> &PoolShard {
        match self {
            OwnerMessage::PermitRequest(request) => &request.shard,
            OwnerMessage::Withdraw { shard, .. }
            | OwnerMessage::Release { shard, .. }
            | OwnerMessage::Resync { shard, .. }
            | OwnerMessage::OwnerConfirmed { shard, .. }
            | OwnerMessage::QuotaLevels { shard, .. }
            | OwnerMessage::QuotaUse { shard, .. }
            | OwnerMessage::FailedTargets { shard, .. }
            | OwnerMessage::TargetLimits { shard, .. }
            | OwnerMessage::Keys { shard, .. }
            | OwnerMessage::LeavingTargets { shard, .. }
            | OwnerMessage::BrittleTargets { shard, .. }
            | OwnerMessage::Stream { shard, .. }
            | OwnerMessage::StreamVersions { shard, .. }
            | OwnerMessage::AccountUse { shard, .. }
            | OwnerMessage::Signature { shard, .. }
            | OwnerMessage::Promises { shard, .. }
            | OwnerMessage::TargetPaces { shard, .. }
            | OwnerMessage::NotHeld { shard, .. } => shard,
        }
    }
}
