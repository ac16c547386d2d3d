//! Provides the messages by which entry hosts and a pool's owner share the
//! pool's slots: asks, permits and releases.
//!
//! A permit conveys capacity, never identity: a duplicated, late or lost
//! permit can cost capacity but cannot run a request twice, because only the
//! accepting host's own life-cycle state decides whether it dispatches.

use serde::{Deserialize, Serialize};

use crate::client_account::AccountName;
use crate::failure_domain::DomainName;
use crate::host::{HostIncarnation, Incarnation};
use crate::pool::PoolShard;
use crate::refusal::RefusalReason;
use crate::request::{AttemptId, PrefixHash, TokenCost};
use crate::rules::Tier;
use crate::target::TargetName;

/// A `KeyClaim` tells the owner of a keyed request that must not run twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// The xxh3-128 of client account and caller's key.
    pub key: u128,
    /// The run of the host that holds the request.
    pub holder: HostIncarnation,
    /// Whether the caller marked the request as a resubmission.
    pub resubmission: bool,
}

/// An `Ask` is an entry host's wish for one slot of a pool. Sending it again
/// is idempotent: the owner knows it by its attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The attempt that asks.
    pub attempt: AttemptId,
    /// The shard.
    pub shard: PoolShard,
    /// The request's tier.
    pub tier: Tier,
    /// The client account, for the fair order inside the tier.
    pub account: AccountName,
    /// The weight of the account's share, at least 1.
    pub share: u32,
    /// The estimated cost.
    pub cost: TokenCost,
    /// The hashes of the prompt's beginnings, shortest first.
    pub prefixes: Vec<PrefixHash>,
    /// The time left until the deadline, in milliseconds.
    pub deadline_ms: u32,
    /// How long the request has waited already, in milliseconds: a new owner
    /// keeps the order.
    pub waited_ms: u32,
    /// Where it may run; everywhere where empty.
    pub domains: Vec<DomainName>,
    /// Targets that this request already failed on.
    pub avoid: Vec<TargetName>,
    /// Whether the owner may have the stream stopped for a higher tier.
    pub preemptible: bool,
    /// The key, where a second run must be prevented.
    pub claim: Option<KeyClaim>,
    /// The time from its acceptance within which its answer should begin, in
    /// milliseconds; until its deadline where absent.
    pub first_answer_ms: Option<u32>,
    /// The units that it takes from its account's quota.
    pub quota_units: u32,
}

/// A `PermitId` names a permit by the owner's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PermitId {
    /// The owner's incarnation.
    pub owner: Incarnation,
    /// The number of the permit at that owner.
    pub sequence: u64,
}

/// A `Permit` lets one attempt use one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The permit's name.
    pub id: PermitId,
    /// The attempt that asked.
    pub attempt: AttemptId,
    /// The target to use.
    pub target: TargetName,
    /// How long after its arrival it may be used, in milliseconds.
    pub lifetime_ms: u32,
}

/// A `Usage` is what an attempt was seen to use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens processed.
    pub prefill: u32,
    /// Prompt tokens taken from the target's prefix cache.
    pub cached: u32,
    /// Output tokens received.
    pub decode: u32,
    /// From dispatch to the first token, in milliseconds.
    pub first_token_ms: u32,
    /// From dispatch to the end, in milliseconds.
    pub elapsed_ms: u32,
}

/// A `ReleaseOutcome` is how a permit was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseOutcome {
    /// It was not used.
    Unused,
    /// The answer is whole.
    Finished(Usage),
    /// The target could not be reached.
    Unreachable,
    /// The target refused.
    Refused,
    /// The attempt failed after dispatch.
    Failed(Usage),
    /// The attempt was stopped by the entry host or by preemption.
    Stopped(Usage),
}

/// A `Release` gives a permit back. Sending it again is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The permit.
    pub permit: PermitId,
    /// The attempt it was for.
    pub attempt: AttemptId,
    /// How it was used.
    pub outcome: ReleaseOutcome,
}

/// A `InFlightWork` tells a new owner of work in flight under an earlier owner's
/// permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightWork {
    /// The permit under which it runs.
    pub permit: PermitId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The target it runs on.
    pub target: TargetName,
    /// Its tier.
    pub tier: Tier,
    /// Its client account.
    pub account: AccountName,
    /// The weight of the account's share.
    pub share: u32,
    /// The estimated cost.
    pub cost: TokenCost,
    /// Whether it may be stopped for a higher tier.
    pub preemptible: bool,
}

/// A `QuotaLevel` is what an account may use at once of its quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLevel {
    /// The client account.
    pub account: AccountName,
    /// The units.
    pub units: u64,
}

/// A `FailedTarget` is a target that gets no normal work, as the sender saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedTarget {
    /// The target.
    pub target: TargetName,
    /// The start of its run in milliseconds, where it was told.
    pub started_at_ms: Option<u64>,
    /// How long the sender gives it before the next probe, in milliseconds.
    pub probe_in_ms: u32,
}

/// An `OwnerMessage` goes from an entry host to a shard's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerMessage {
    /// A wish for a slot.
    Ask(Box<Ask>),
    /// The wish is withdrawn: the caller left or the deadline passed.
    Withdraw {
        /// The shard.
        shard: PoolShard,
        /// The attempt that asked.
        attempt: AttemptId,
    },
    /// A permit given back.
    Release {
        /// The shard.
        shard: PoolShard,
        /// The release.
        release: Release,
    },
    /// What the entry host holds, told to a new owner before the first ask.
    Resync {
        /// The shard.
        shard: PoolShard,
        /// Work in flight.
        held: Vec<InFlightWork>,
        /// Keys of requests that must not run twice, kept or in flight.
        claims: Vec<KeyClaim>,
    },
    /// The answer to an audit: those of the asked permits that are not held.
    NotHeld {
        /// The shard.
        shard: PoolShard,
        /// The permits.
        permits: Vec<PermitId>,
    },
    /// The host takes the asking host for the shard's owner, and no other.
    OwnerConfirmed {
        /// The shard.
        shard: PoolShard,
        /// The number of the question.
        round: u64,
    },
    /// What the sender, a former owner, had left in its quotas' buckets. It
    /// keeps none of it.
    QuotaLevels {
        /// The shard.
        shard: PoolShard,
        /// What is handed over.
        levels: Vec<QuotaLevel>,
    },
    /// The targets that get no normal work from the sender, another owner.
    FailedTargets {
        /// The shard.
        shard: PoolShard,
        /// The targets.
        targets: Vec<FailedTarget>,
    },
    /// What calls at the sender have used of their accounts' quotas and what has
    /// not come back since, told to a new owner before the first ask.
    QuotaUse {
        /// The shard.
        shard: PoolShard,
        /// How many hosts share the buckets in the sender's view: a new owner may
        /// not know them all yet.
        hosts: u32,
        /// What is missing in the sender's share of each bucket.
        used: Vec<QuotaLevel>,
    },
}

/// An `OwnerReply` goes from a shard's owner to an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerReply {
    /// A slot.
    Granted {
        /// The shard.
        shard: PoolShard,
        /// The permit.
        permit: Permit,
    },
    /// No slot, and none will come.
    Refused {
        /// The attempt that asked.
        attempt: AttemptId,
        /// Why.
        reason: RefusalReason,
        /// When to come back, in milliseconds.
        retry_after_ms: u32,
    },
    /// The key is held by another run; ask there.
    KeyHeld {
        /// The attempt that asked.
        attempt: AttemptId,
        /// Who holds the key.
        holder: HostIncarnation,
    },
    /// Stop the attempt for work of a higher tier.
    Preempt {
        /// The permit.
        permit: PermitId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Which of these old permits are not held any more? A lost release
    /// would otherwise leak its slot for good.
    Audit {
        /// The shard.
        shard: PoolShard,
        /// The permits.
        permits: Vec<PermitId>,
    },
    /// The asked host does not act as owner now.
    NotOwner {
        /// The shard.
        shard: PoolShard,
    },
    /// Does the asked host take this one for the shard's owner?
    ConfirmOwner {
        /// The shard.
        shard: PoolShard,
        /// The number of the question.
        round: u64,
    },
}

impl OwnerMessage {
    /// Get the shard that the message is about.
    pub fn shard(&self) -> &PoolShard {
        match self {
            OwnerMessage::Ask(ask) => &ask.shard,
            OwnerMessage::Withdraw { shard, .. }
            | OwnerMessage::Release { shard, .. }
            | OwnerMessage::Resync { shard, .. }
            | OwnerMessage::OwnerConfirmed { shard, .. }
            | OwnerMessage::QuotaLevels { shard, .. }
            | OwnerMessage::QuotaUse { shard, .. }
            | OwnerMessage::FailedTargets { shard, .. }
            | OwnerMessage::NotHeld { shard, .. } => shard,
        }
    }
}
