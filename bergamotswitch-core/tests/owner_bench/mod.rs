//! Provides a shard owner in virtual time, and helpers to build its messages and
//! read its replies.
#![allow(dead_code)]

pub use std::time::Duration;

pub use bergamotswitch_core::clock::Moment;
pub use bergamotswitch_core::contract::TargetContract;
pub use bergamotswitch_core::host::{HostIncarnation, Incarnation};
pub use bergamotswitch_core::name::PoolName;
pub use bergamotswitch_core::permit::{
    InFlightWork, KeyClaim, OwnerMessage, OwnerReply, Permit, PermitId, PermitRequest, Release,
    ReleaseOutcome, Usage,
};
pub use bergamotswitch_core::pool::PoolShard;
pub use bergamotswitch_core::pool_owner::{
    OwnerAction, OwnerEvent, OwnerOptions, ShardOwner, ShardView, TargetView,
};
pub use bergamotswitch_core::refusal::RefusalReason;
pub use bergamotswitch_core::request::{AttemptId, PrefixHash, RequestId, TokenCost};
pub use bergamotswitch_core::rules::Tier;
pub use bergamotswitch_core::target::{LoadReport, PoolTarget};

/// The incarnation of the entry host that sends the messages by default.
pub const ENTRY_INCARNATION: Incarnation = Incarnation(7);

/// Parse a name of any kind.
pub fn named<T: TryFrom<String>>(text: &str) -> T {
    let name = T::try_from(text.to_owned()).ok();
    name.expect("a valid name")
}

pub fn shard() -> PoolShard {
    PoolShard {
        pool: PoolName::try_from("pool").expect("a valid name"),
        domain: None,
    }
}

pub fn incarnation_of(host: &str, run: u128) -> HostIncarnation {
    HostIncarnation {
        host: named(host),
        incarnation: Incarnation(run),
    }
}

pub fn attempt_of(run: Incarnation, sequence: u64) -> AttemptId {
    AttemptId {
        request: RequestId {
            incarnation: run,
            sequence,
        },
        attempt: 0,
    }
}

/// Get a target with a speed of 1000 tokens per second and a limit of `limit`
/// tokens.
pub fn target(name: &str, domain: &str, limit: u32) -> PoolTarget {
    PoolTarget {
        slots: None,
        started_at_ms: None,
        version: Default::default(),
        name: named(name),
        domain: named(domain),
        address: ([127, 0, 0, 1], 80).into(),
        contract: TargetContract::default(),
        expected_speed: 1000,
        token_limit: limit,
    }
}

/// Get a permit request of 100 tokens with a deadline of one minute.
pub fn permit_request(sequence: u64, tier: u8, account: &str) -> PermitRequest {
    PermitRequest {
        quota_units: 0,
        first_answer_ms: None,
        attempt: attempt_of(ENTRY_INCARNATION, sequence),
        shard: shard(),
        tier: Tier(tier),
        account: named(account),
        share: 1,
        cost: cost_of(50, 50),
        prefixes: Vec::new(),
        deadline_ms: 60_000,
        waited_ms: 0,
        domains: Vec::new(),
        avoid: Vec::new(),
        preemptible: false,
        claim: None,
    }
}

pub fn cost_of(prefill: u32, decode: u32) -> TokenCost {
    TokenCost { prefill, decode }
}

pub fn with_cost(mut permit_request: PermitRequest, prefill: u32, decode: u32) -> PermitRequest {
    permit_request.cost = cost_of(prefill, decode);
    permit_request
}

pub fn with_claim(
    mut permit_request: PermitRequest,
    key: u128,
    holder: HostIncarnation,
    resubmission: bool,
) -> PermitRequest {
    permit_request.claim = Some(KeyClaim {
        key,
        holder,
        resubmission,
    });
    permit_request
}

pub fn with_deadline(mut permit_request: PermitRequest, deadline_ms: u32) -> PermitRequest {
    permit_request.deadline_ms = deadline_ms;
    permit_request
}

pub fn with_domain(mut permit_request: PermitRequest, domain: &str) -> PermitRequest {
    permit_request.domains = vec![named(domain)];
    permit_request
}

pub fn load_report(running: u32, waiting: u32, outstanding_tokens: u64, age_ms: u32) -> LoadReport {
    LoadReport {
        running,
        waiting,
        outstanding_tokens,
        age_ms,
    }
}

pub fn withdrawal(attempt: AttemptId) -> OwnerMessage {
    let shard = shard();
    OwnerMessage::Withdraw { shard, attempt }
}

pub fn not_held(permits: Vec<PermitId>) -> OwnerMessage {
    let shard = shard();
    OwnerMessage::NotHeld { shard, permits }
}

pub fn released(permit: &Permit, outcome: ReleaseOutcome) -> OwnerMessage {
    OwnerMessage::Release {
        shard: shard(),
        release: Release {
            permit: permit.id,
            attempt: permit.attempt,
            outcome,
        },
    }
}

pub fn with_prefixes(mut permit_request: PermitRequest, hashes: &[u64]) -> PermitRequest {
    permit_request.prefixes = hashes.iter().map(|hash| PrefixHash(*hash)).collect();
    permit_request
}

/// Get the usage of a completed attempt without cached tokens.
pub fn usage(cost: TokenCost, elapsed_ms: u32) -> Usage {
    Usage {
        prefill: cost.prefill,
        cached: 0,
        decode: cost.decode,
        first_token_ms: elapsed_ms / 10,
        elapsed_ms,
    }
}

pub fn in_flight_work(permit: Permit, permit_request: &PermitRequest) -> InFlightWork {
    InFlightWork {
        permit: permit.id,
        attempt: permit_request.attempt,
        target: permit.target,
        tier: permit_request.tier,
        account: permit_request.account.clone(),
        share: permit_request.share,
        cost: permit_request.cost,
        preemptible: permit_request.preemptible,
    }
}

/// An `OwnerBench` is a shard owner with a virtual clock.
pub struct OwnerBench {
    pub owner: ShardOwner,
    pub now: Moment,
}

impl OwnerBench {
    pub fn new(opts: OwnerOptions) -> Self {
        let now = Moment::from_millis(1_000);
        OwnerBench {
            owner: ShardOwner::new(incarnation_of("owner", 1), shard(), opts, now),
            now,
        }
    }

    pub fn with_targets(opts: OwnerOptions, targets: &[PoolTarget]) -> Self {
        let mut bench = OwnerBench::new(opts);
        bench.event(OwnerEvent::Targets(targets.to_vec()));
        bench
    }

    pub fn event(&mut self, event: OwnerEvent) -> Vec<OwnerAction> {
        self.owner.handle(self.now, event)
    }

    pub fn message(&mut self, message: OwnerMessage) -> Vec<OwnerAction> {
        self.event(OwnerEvent::Message(named("entry"), message))
    }

    pub fn request_permit(&mut self, permit_request: &PermitRequest) -> Vec<OwnerAction> {
        self.message(OwnerMessage::PermitRequest(Box::new(
            permit_request.clone(),
        )))
    }

    pub fn release(&mut self, permit: &Permit, outcome: ReleaseOutcome) -> Vec<OwnerAction> {
        self.message(released(permit, outcome))
    }

    pub fn tick_after(&mut self, millis: u64) -> Vec<OwnerAction> {
        self.now = self.now.plus(Duration::from_millis(millis));
        self.event(OwnerEvent::Tick)
    }

    /// Send a permit request and get the permit that is granted immediately.
    pub fn granted(&mut self, permit_request: &PermitRequest) -> Permit {
        let actions = self.request_permit(permit_request);
        let permits = permits(&actions);
        assert_eq!(permits.len(), 1, "expected one permit, got {actions:?}");
        permits[0].clone()
    }

    pub fn view(&self) -> ShardView {
        self.owner.view()
    }

    pub fn target_view(&self, name: &str) -> TargetView {
        let views = self.view().targets;
        let found = views.iter().find(|view| view.name == named(name));
        found.expect("a known target").clone()
    }
}

/// Get the permits among `actions`.
pub fn permits(actions: &[OwnerAction]) -> Vec<Permit> {
    filter_replies(actions, |reply| match reply {
        OwnerReply::Granted { permit, .. } => Some(permit),
        _ => None,
    })
}

/// Get the sequence numbers of the requests that were granted a permit, in order.
pub fn granted_requests(actions: &[OwnerAction]) -> Vec<u64> {
    let permits = permits(actions);
    let numbers = permits.iter().map(|permit| permit.attempt.request.sequence);
    numbers.collect()
}

/// A `SeenRefusal` is the content of a refusal reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenRefusal {
    pub request: u64,
    pub reason: RefusalReason,
    pub retry_after_ms: u32,
}

impl SeenRefusal {
    /// Get whether the request was refused for lack of capacity.
    pub fn is_shed(&self) -> bool {
        use RefusalReason::{Overloaded, ShedForHigherTier};
        matches!(self.reason, Overloaded | ShedForHigherTier)
    }
}

/// Get the refusals among `actions`.
pub fn refusals(actions: &[OwnerAction]) -> Vec<SeenRefusal> {
    filter_replies(actions, |reply| match reply {
        OwnerReply::Refused {
            attempt,
            reason,
            retry_after_ms,
        } => Some(SeenRefusal {
            request: attempt.request.sequence,
            reason,
            retry_after_ms,
        }),
        _ => None,
    })
}

/// Get the permits that are preempted.
pub fn preempted(actions: &[OwnerAction]) -> Vec<PermitId> {
    filter_replies(actions, |reply| match reply {
        OwnerReply::Preempt { permit, .. } => Some(permit),
        _ => None,
    })
}

fn filter_replies<T>(actions: &[OwnerAction], get: fn(OwnerReply) -> Option<T>) -> Vec<T> {
    replies(actions).into_iter().filter_map(get).collect()
}

/// Get the replies among `actions`.
pub fn replies(actions: &[OwnerAction]) -> Vec<OwnerReply> {
    let replies = actions.iter().filter_map(|action| match action {
        OwnerAction::Reply(_, reply) => Some(reply.clone()),
        OwnerAction::LogIncident(..)
        | OwnerAction::LogShare(..)
        | OwnerAction::LogSize(..)
        | OwnerAction::ReadCaches(..) => None,
    });
    replies.collect()
}
