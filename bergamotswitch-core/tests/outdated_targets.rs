//! Tests of a host that takes up streams while its list of targets may be outdated.

use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::{CallOptions, Conclusion, Submission, SubmitOutcome};
use bergamotswitch_core::host::{EntryHost, HostIncarnation, Incarnation, Standing};
use bergamotswitch_core::node::{NodeAction, NodeCore, NodeEvent, NodeOptions, RosterSetup};
use bergamotswitch_core::pool::PoolKind;
use bergamotswitch_core::refusal::RefusalReason;
use bergamotswitch_core::request::{RequestId, TokenCost};
use bergamotswitch_core::revision::{
    PublishedValue, ROUTES_VALUE, Revision, RevisionOptions, TARGETS_VALUE, ValueName,
};
use bergamotswitch_core::roster::RosterOptions;
use bergamotswitch_core::route::{
    CallSemantics, CallerLimits, EngineSpec, PoolSpec, PoolSplit, Route, RouteConfig,
};
use bergamotswitch_core::rules::{Tier, Verdict};
use bergamotswitch_core::stream_table::{StreamId, StreamStart};
use bergamotswitch_core::target_list::{TargetEntry, TargetList};

/// Longer than a version may have streams after its last target has left.
const WATCHED: Duration = Duration::from_secs(70);

/// The time between two answers of the store.
const STEP: Duration = Duration::from_millis(100);

/// Longer than a call to resume a stream waits for a list of targets.
const DECIDED: Duration = Duration::from_secs(3);

fn name<T: TryFrom<String>>(text: &str) -> T {
    T::try_from(text.to_owned()).ok().expect("a name")
}

fn routes() -> RouteConfig {
    let route = Route {
        name: name("rule"),
        host: "a.example".to_owned(),
        path_prefix: "/".to_owned(),
        work: CallSemantics::ResumableStream,
        timeout_ms: 60_000,
        first_answer_ms: 800,
        max_runs: 2,
        tier: Tier(1),
        public: true,
        splits: vec![PoolSplit {
            pool: name("llm"),
            weight: 1,
        }],
    };
    let pool = PoolSpec {
        name: name("llm"),
        connection_limit: 1_000,
        engine: Some(EngineSpec {
            slots: 8,
            cache_tokens: 1_000_000,
        }),
        cold: Default::default(),
    };
    RouteConfig {
        version: 1,
        routes: vec![route],
        accounts: Vec::new(),
        pools: vec![pool],
        limits: CallerLimits::default(),
    }
}

fn target_list(versions: &[&str]) -> TargetList {
    let entries = versions.iter().enumerate();
    let targets = entries.map(|(index, version)| TargetEntry {
        name: name(&format!("t{index}")),
        pool: name("llm"),
        domain: name("domain"),
        address: ([10, 1, 0, index as u8], 80).into(),
        slots: 8,
        standing: Standing::Live,
        warming_ms: 0,
        warming_revision: 0,
        started_at_ms: None,
        version: (*version).into(),
    });
    TargetList {
        targets: targets.collect(),
        ..TargetList::default()
    }
}

fn published(value: &str, revision: u64, body: String) -> NodeEvent {
    NodeEvent::Read(PublishedValue {
        name: name(value),
        revision: Revision(revision),
        body,
    })
}

fn resumption(stream: u64) -> Submission {
    let id = StreamId::new(&name("crew"), &format!("stream-{stream}"));
    Submission {
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
            preemptible: false,
            deadline: Duration::from_secs(60),
        },
        key: None,
        holder: None,
        resubmission: false,
        fingerprint: 0,
        cost: TokenCost::default(),
        prefixes: Vec::new(),
        parts: Vec::new(),
        deadline_in: Duration::from_secs(60),
        streaming: true,
        options: CallOptions {
            stream: Some(StreamStart::Resumed(Some(id))),
            ..CallOptions::default()
        },
    }
}

/// A `CutHost` is a host without peers, which the store answers or not.
struct CutHost {
    core: NodeCore,
    now: Moment,
    is_cut: bool,
    actions: Vec<NodeAction>,
}

impl CutHost {
    /// Get a host that has long known one version alone.
    fn new() -> Self {
        let identity = HostIncarnation {
            host: name("host-0"),
            incarnation: Incarnation(1),
        };
        let values = [ROUTES_VALUE, TARGETS_VALUE].map(name::<ValueName>);
        let options = NodeOptions {
            revision: RevisionOptions::default()
                .with_values(values.to_vec())
                .with_read_budget(STEP, 10)
                .with_confirm_interval(Duration::from_millis(600)),
            roster: Some(RosterSetup {
                host: EntryHost {
                    name: name("host-0"),
                    domain: name("domain"),
                    caller_address: ([10, 0, 0, 0], 80).into(),
                    link_address: ([10, 0, 0, 0], 81).into(),
                    capacity: 1_000,
                    standing: Standing::Live,
                },
                seeds: Vec::new(),
                started_at_ms: 1_000_000,
                options: RosterOptions::default(),
            }),
            ..NodeOptions::default()
        };
        let mut host = CutHost {
            core: NodeCore::new(identity, name("domain"), options, Moment::START),
            now: Moment::START,
            is_cut: false,
            actions: Vec::new(),
        };
        let routes = serde_json::to_string(&routes()).expect("JSON");
        host.event(published(ROUTES_VALUE, 2, routes));
        host.publish(2, &["v1", "v1"]);
        host.pass(WATCHED);
        assert!(host.core.is_ready(host.now));
        host
    }

    fn event(&mut self, event: NodeEvent) {
        let actions = self.core.handle(self.now, event);
        self.actions.extend(actions);
    }

    fn publish(&mut self, revision: u64, versions: &[&str]) {
        let body = serde_json::to_string(&target_list(versions)).expect("JSON");
        self.event(published(TARGETS_VALUE, revision, body));
    }

    /// Pass time, in which the store says at each step that nothing is new, unless the host is
    /// cut off from it.
    fn pass(&mut self, span: Duration) {
        let until = self.now.plus(span);
        while self.now < until {
            self.now = self.now.plus(STEP);
            self.event(NodeEvent::Tick);
            for value in [ROUTES_VALUE, TARGETS_VALUE].map(name::<ValueName>) {
                self.event(match self.is_cut {
                    true => NodeEvent::ReadFailed(value),
                    false => NodeEvent::Unchanged(value),
                });
            }
        }
    }

    fn submit(&mut self, stream: u64) -> Result<RequestId, RefusalReason> {
        let (outcome, actions) = self.core.submit(self.now, resumption(stream));
        self.actions.extend(actions);
        match outcome {
            SubmitOutcome::Accepted(id) => Ok(id),
            SubmitOutcome::Refused(refusal) => Err(refusal.reason()),
            other => panic!("unexpected {other:?}"),
        }
    }

    /// Get what became of a call: whether it runs, or why it was refused.
    fn end(&self, call: Result<RequestId, RefusalReason>) -> Option<Result<(), RefusalReason>> {
        let id = match call {
            Ok(id) => id,
            Err(reason) => return Some(Err(reason)),
        };
        self.actions.iter().find_map(|action| match action {
            NodeAction::Start { attempt, .. } if attempt.request == id => Some(Ok(())),
            NodeAction::Conclude(found, Conclusion::Refused(refusal)) if *found == id => {
                Some(Err(refusal.reason()))
            }
            _ => None,
        })
    }

    /// Resume a stream, and get what became of the call.
    fn resume(&mut self, stream: u64) -> Option<Result<(), RefusalReason>> {
        let call = self.submit(stream);
        self.pass(DECIDED);
        self.end(call)
    }
}

const REFUSED: Option<Result<(), RefusalReason>> = Some(Err(RefusalReason::StreamUnknown));

/// Guards against streams of a new version that go on at the only version that a host knows
/// which is cut off from its peers and the store.
#[test]
fn cut_host() {
    for cut_ms in [0, 500, 2_000, 5_000] {
        let mut host = CutHost::new();
        assert_eq!(host.resume(1), Some(Ok(())), "in touch");
        host.is_cut = true;
        host.pass(Duration::from_millis(cut_ms));
        assert_eq!(host.resume(2), REFUSED, "cut for {cut_ms} ms");
        // No version was published meanwhile, so the caller's next attempt is accepted.
        host.is_cut = false;
        host.pass(STEP * 10);
        assert_eq!(host.resume(2), Some(Ok(())), "cut for {cut_ms} ms");
        host.is_cut = true;
        host.pass(Duration::from_millis(cut_ms));
        let call = host.submit(3);
        host.publish(3, &["v1", "v1", "v2"]);
        host.is_cut = false;
        host.pass(DECIDED);
        assert_eq!(host.end(call), REFUSED, "a new version, {cut_ms} ms");
    }
}

/// Guards against the same guess by a host that stood still while the new version joined.
#[test]
fn stopped_host() {
    for stopped_ms in [500, 1_000, 2_000, 5_000] {
        let mut host = CutHost::new();
        host.now = host.now.plus(Duration::from_millis(stopped_ms));
        let call = host.submit(1);
        host.event(NodeEvent::Tick);
        assert_ne!(host.end(call), Some(Ok(())), "{stopped_ms} ms");
        host.publish(3, &["v1", "v1", "v2"]);
        host.pass(DECIDED);
        // A host that stood still for long is not ready, which is refused as well.
        let end = host.end(call);
        assert!(matches!(end, Some(Err(_))), "{stopped_ms} ms: {end:?}");
    }
}
