//! Provides shared helpers for tests of the entry side: a dispatcher with a
//! virtual clock, submissions, and filters for actions.

// No test file uses all of these helpers.
#![allow(dead_code)]

pub use std::time::Duration;

pub use bergamotswitch_core::clock::Moment;
pub use bergamotswitch_core::contract::TargetContract;
pub use bergamotswitch_core::entry::{
    AttemptEvent, CallOptions, Conclusion, EntryAction, EntryDispatcher, EntryEvent, EntryOptions,
    Submission, SubmitOutcome,
};
pub use bergamotswitch_core::host::{HostIncarnation, HostName, Incarnation};
pub use bergamotswitch_core::permit::{
    OwnerMessage, OwnerReply, Permit, PermitId, PermitRequest, Release, Usage,
};
pub use bergamotswitch_core::pool::{PoolKind, PoolShard, TargetPool};
pub use bergamotswitch_core::refusal::RefusalReason;
pub use bergamotswitch_core::request::{AttemptId, CallerKey, RequestId, TokenCost};
pub use bergamotswitch_core::rules::{Tier, Verdict};
pub use bergamotswitch_core::target::PoolTarget;

pub const OWNER: &str = "owner-1";
pub const OWNER_INCARNATION: Incarnation = Incarnation(77);
pub const DEADLINE: Duration = Duration::from_secs(30);

/// Convert a text to a validated type, such as a name or a caller's key.
pub fn name<T: TryFrom<String>>(text: &str) -> T {
    T::try_from(text.to_owned())
        .ok()
        .expect("a well-formed name")
}

pub fn run_of(host: &str, number: u128) -> HostIncarnation {
    HostIncarnation {
        host: name(host),
        incarnation: Incarnation(number),
    }
}

pub fn shard() -> PoolShard {
    PoolShard {
        pool: name("llm"),
        domain: None,
    }
}

pub fn target(text: &str, domain: &str, refusal_means_not_run: bool) -> PoolTarget {
    PoolTarget {
        slots: None,
        started_at_ms: None,
        version: Default::default(),
        name: name(text),
        domain: name(domain),
        address: ([127, 0, 0, 1], 1).into(),
        contract: TargetContract {
            refusal_means_not_run,
            ..TargetContract::default()
        },
        expected_speed: 1_000,
        token_limit: 65_536,
    }
}

/// Get a pool of three targets. A refusal by `t0` or `t2` means that the request
/// was not run; a refusal by `t1` leaves that open.
pub fn pool(shard_by_domain: bool) -> TargetPool {
    TargetPool {
        name: name("llm"),
        kind: PoolKind::Engine,
        shard_by_domain,
        targets: vec![
            target("t0", "north", true),
            target("t1", "south", false),
            target("t2", "north", true),
        ],
    }
}

/// Get an idempotent submission without a caller key.
pub fn submission() -> Submission {
    Submission {
        options: CallOptions::default(),
        account: name("crew"),
        pool: name("llm"),
        kind: PoolKind::Engine,
        verdict: Verdict {
            rule: name("rule"),
            tier: Tier(1),
            share: 1,
            domains: Vec::new(),
            dispatch_once: false,
            idempotent: true,
            preemptible: true,
            deadline: DEADLINE,
        },
        key: None,
        holder: None,
        resubmission: false,
        fingerprint: 1,
        cost: TokenCost {
            prefill: 100,
            decode: 10,
        },
        prefixes: Vec::new(),
        parts: Vec::new(),
        deadline_in: DEADLINE,
        streaming: false,
    }
}

/// Get a non-idempotent submission with a caller key.
pub fn keyed_submission(key: &str) -> Submission {
    let mut submission = submission();
    submission.verdict.idempotent = false;
    submission.key = Some(name::<CallerKey>(key));
    submission
}

/// A `TestDispatcher` is an entry dispatcher with a virtual clock and a known
/// shard owner.
pub struct TestDispatcher {
    pub dispatcher: EntryDispatcher,
    pub now: Moment,
    permits: u64,
}

impl TestDispatcher {
    pub fn new(options: EntryOptions) -> Self {
        let mut dispatcher = TestDispatcher {
            dispatcher: EntryDispatcher::new(run_of("entry-1", 1), options),
            now: Moment::from_millis(1_000),
            permits: 0,
        };
        dispatcher.event(EntryEvent::Pools(vec![pool(false)]));
        dispatcher.event(EntryEvent::OwnerChanged(shard(), name(OWNER)));
        dispatcher
    }

    pub fn event(&mut self, event: EntryEvent) -> Vec<EntryAction> {
        self.dispatcher.handle(self.now, event)
    }

    pub fn submit(&mut self, submission: Submission) -> (SubmitOutcome, Vec<EntryAction>) {
        self.dispatcher.submit(self.now, submission)
    }

    /// Submit a request, expect its acceptance and get its id.
    pub fn accept(&mut self, submission: Submission) -> RequestId {
        match self.submit(submission).0 {
            SubmitOutcome::Accepted(id) => id,
            other => panic!("not accepted: {other:?}"),
        }
    }

    /// Advance the clock and deliver a tick.
    pub fn pass(&mut self, span: Duration) -> Vec<EntryAction> {
        self.now = self.now.plus(span);
        self.event(EntryEvent::Tick)
    }

    pub fn permit(&mut self, attempt: AttemptId, target: &str) -> Permit {
        self.permits += 1;
        permit_of(self.permits, attempt, target)
    }

    pub fn grant(&mut self, permit: &Permit) -> Vec<EntryAction> {
        self.reply(granted(permit))
    }

    pub fn reply(&mut self, reply: OwnerReply) -> Vec<EntryAction> {
        self.event(EntryEvent::Reply(name::<HostName>(OWNER), reply))
    }

    /// Grant a permit to an attempt and expect its dispatch.
    pub fn start(&mut self, attempt: AttemptId, target: &str) -> Permit {
        let permit = self.permit(attempt, target);
        let actions = self.grant(&permit);
        assert_eq!(starts(&actions), vec![attempt]);
        permit
    }

    /// Submit a request, grant its first attempt a permit and get that attempt.
    pub fn begin(&mut self, submission: Submission, target: &str) -> AttemptId {
        let attempt = first_attempt(self.accept(submission));
        self.start(attempt, target);
        attempt
    }

    pub fn attempt(&mut self, attempt: AttemptId, event: AttemptEvent) -> Vec<EntryAction> {
        self.event(EntryEvent::Attempt(attempt, event))
    }
}

pub fn permit_of(sequence: u64, attempt: AttemptId, target: &str) -> Permit {
    Permit {
        id: PermitId {
            owner: OWNER_INCARNATION,
            sequence,
        },
        attempt,
        target: name(target),
        lifetime_ms: 1_000,
    }
}

pub fn granted(permit: &Permit) -> OwnerReply {
    OwnerReply::Granted {
        shard: shard(),
        permit: permit.clone(),
    }
}

pub fn refused_for(reason: RefusalReason, attempt: AttemptId) -> OwnerReply {
    OwnerReply::Refused {
        attempt,
        reason,
        retry_after_ms: 1_500,
    }
}

pub fn first_attempt(request: RequestId) -> AttemptId {
    AttemptId {
        request,
        attempt: 0,
    }
}

pub fn usage() -> Usage {
    Usage {
        prefill: 100,
        ..Usage::default()
    }
}

pub fn permit_requests(actions: &[EntryAction]) -> Vec<PermitRequest> {
    let permit_request = |action: &EntryAction| match action {
        EntryAction::Send(_, OwnerMessage::PermitRequest(permit_request)) => {
            Some((**permit_request).clone())
        }
        _ => None,
    };
    actions.iter().filter_map(permit_request).collect()
}

pub fn starts(actions: &[EntryAction]) -> Vec<AttemptId> {
    let start = |action: &EntryAction| match action {
        EntryAction::Start { attempt, .. } => Some(*attempt),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

pub fn releases(actions: &[EntryAction]) -> Vec<Release> {
    let release = |action: &EntryAction| match action {
        EntryAction::Send(_, OwnerMessage::Release { release, .. }) => Some(release.clone()),
        _ => None,
    };
    actions.iter().filter_map(release).collect()
}

pub fn conclusions(actions: &[EntryAction]) -> Vec<Conclusion> {
    let conclusion = |action: &EntryAction| match action {
        EntryAction::Conclude(_, conclusion) => Some(conclusion.clone()),
        _ => None,
    };
    actions.iter().filter_map(conclusion).collect()
}
