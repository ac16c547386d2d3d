//! Tests of the retry delay for callers that a stopping host refuses, in
//! particular when most other hosts are stopping too.

use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::{CallOptions, Submission, SubmitOutcome};
use bergamotswitch_core::host::{EntryHost, HostIncarnation, Incarnation, Standing};
use bergamotswitch_core::node::{NodeCore, NodeEvent, NodeOptions, RosterSetup};
use bergamotswitch_core::pool::PoolKind;
use bergamotswitch_core::refusal::RefusalReason;
use bergamotswitch_core::request::TokenCost;
use bergamotswitch_core::revision::{
    PublishedValue, ROUTES_VALUE, Revision, RevisionOptions, TARGETS_VALUE, ValueName,
};
use bergamotswitch_core::roster::{MemberFlags, MemberRecord, RosterMessage, RosterOptions};
use bergamotswitch_core::route::{
    CallSemantics, CallerLimits, EngineSpec, PoolSpec, PoolSplit, Route, RouteConfig,
};
use bergamotswitch_core::rules::{Tier, Verdict};
use bergamotswitch_core::target_list::{TargetEntry, TargetList};

/// The number of hosts in the fleet, including the one under test.
const HOSTS: usize = 8;
/// The time left until answers must be complete.
const GRACE_LEFT: Duration = Duration::from_millis(7_600);
/// The time from then until the restarted process accepts requests.
const START_MARGIN: Duration = Duration::from_secs(1);
/// The retry delay while other hosts accept requests.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// The interval between gossip messages of a host.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);

const READY: MemberFlags = MemberFlags {
    ready: true,
    leaving: false,
};
const LEAVING: MemberFlags = MemberFlags {
    ready: true,
    leaving: true,
};
const STARTING: MemberFlags = MemberFlags {
    ready: false,
    leaving: false,
};

fn name<T: TryFrom<String>>(text: &str) -> T {
    T::try_from(text.to_owned()).ok().expect("a name")
}

fn host_entry(index: usize) -> EntryHost {
    EntryHost {
        name: name(&format!("host-{index}")),
        domain: name("domain"),
        caller_address: ([10, 0, 0, index as u8], 80).into(),
        link_address: ([10, 0, 0, index as u8], 81).into(),
        capacity: 1_000,
        standing: Standing::Live,
    }
}

fn published(value: ValueName) -> PublishedValue {
    let route = Route {
        name: name("rule"),
        host: "a.example".to_owned(),
        path_prefix: "/".to_owned(),
        work: CallSemantics::Idempotent,
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
    let routes = RouteConfig {
        version: 1,
        routes: vec![route],
        accounts: Vec::new(),
        pools: vec![pool],
        limits: CallerLimits::default(),
    };
    let target = TargetEntry {
        name: name("t0"),
        pool: name("llm"),
        domain: name("domain"),
        address: ([10, 1, 0, 0], 80).into(),
        slots: 8,
        standing: Standing::Live,
        warming_ms: 0,
        warming_revision: 0,
        started_at_ms: None,
        version: Default::default(),
    };
    let targets = TargetList {
        targets: vec![target],
        ..TargetList::default()
    };
    let body = match value.as_str() {
        ROUTES_VALUE => serde_json::to_string(&routes),
        _ => serde_json::to_string(&targets),
    };
    PublishedValue {
        name: value,
        revision: Revision(2),
        body: body.expect("json"),
    }
}

fn submission() -> Submission {
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
        options: CallOptions::default(),
    }
}

/// A `StoppingHost` is the host under test with the flags that the other hosts
/// announce.
struct StoppingHost {
    core: NodeCore,
    now: Moment,
    others: [Option<MemberFlags>; HOSTS],
}

impl StoppingHost {
    /// Create the host in a fleet where all others accept requests.
    fn new() -> Self {
        let now = Moment::START;
        let identity = HostIncarnation {
            host: name("host-0"),
            incarnation: Incarnation(1),
        };
        let values = [ROUTES_VALUE, TARGETS_VALUE].map(name::<ValueName>);
        let options = NodeOptions {
            revision: RevisionOptions::default().with_values(values.to_vec()),
            roster: Some(RosterSetup {
                host: host_entry(0),
                seeds: Vec::new(),
                started_at_ms: 1_000_000,
                options: RosterOptions::default(),
            }),
            ..NodeOptions::default()
        };
        let mut host = StoppingHost {
            core: NodeCore::new(identity, name("domain"), options, now),
            now,
            others: [Some(READY); HOSTS],
        };
        for value in values {
            let read = NodeEvent::Read(published(value));
            host.core.handle(now, read);
        }
        host.pass(Duration::from_secs(10));
        assert!(host.core.is_ready(host.now));
        host
    }

    /// Advance the time, while the other hosts announce their flags.
    fn pass(&mut self, span: Duration) {
        let until = self.now.plus(span);
        while self.now < until {
            self.now = self.now.plus(GOSSIP_INTERVAL);
            for index in 1..HOSTS {
                self.send_gossip(index);
            }
            self.core.handle(self.now, NodeEvent::Tick);
        }
    }

    fn send_gossip(&mut self, index: usize) {
        let Some(flags) = self.others[index] else {
            return;
        };
        let message = RosterMessage {
            sender: MemberRecord {
                host: host_entry(index),
                stamp: 1_000_000 + self.now.as_micros() / 1_000,
                flags,
            },
            marks: Vec::new(),
            records: Vec::new(),
            wants: Vec::new(),
        };
        let gossip = NodeEvent::Gossip(Box::new(message));
        self.core.handle(self.now, gossip);
    }

    fn set(&mut self, hosts: std::ops::Range<usize>, flags: Option<MemberFlags>) {
        for index in hosts {
            self.others[index] = flags;
        }
    }

    fn stop(&mut self) {
        self.core.handle(self.now, NodeEvent::Stop);
        let answer_deadline = self.now.plus(GRACE_LEFT);
        self.core
            .handle(self.now, NodeEvent::AnswerDeadline(answer_deadline));
    }

    /// Get the retry delay of a caller that is refused now.
    fn refused_retry_after(&mut self) -> Duration {
        match self.core.submit(self.now, submission()).0 {
            SubmitOutcome::Refused(refusal) => {
                assert_eq!(refusal.reason(), RefusalReason::Stopping);
                refusal.retry_after().expect("a retry delay")
            }
            other => panic!("not refused: {other:?}"),
        }
    }

    /// Assert that the retry delay ends at the given time, or up to a quarter
    /// of the wait later.
    fn assert_retry_at(&mut self, at: Moment) {
        let wait = at.since(self.now);
        let retry_after = self.refused_retry_after();
        // A gossip message takes one interval to arrive.
        let least = wait.saturating_sub(GOSSIP_INTERVAL);
        let most = (wait + GOSSIP_INTERVAL) * 5 / 4;
        assert!(
            least <= retry_after && retry_after <= most,
            "{retry_after:?} for {wait:?}"
        );
    }
}

// Guards against callers that exhaust their attempts within seconds while
// nearly all hosts are stopping.
#[test]
fn most_hosts_stopping() {
    let mut host = StoppingHost::new();
    let stopped_at = host.now;
    host.set(1..HOSTS - 1, Some(LEAVING));
    host.pass(Duration::from_secs(1));
    host.stop();
    let back_at = stopped_at.plus(GRACE_LEFT + START_MARGIN);
    host.assert_retry_at(back_at);
    // Hosts that have stopped send no gossip but are still expected to return.
    host.set(1..HOSTS - 1, None);
    host.pass(Duration::from_secs(5));
    host.assert_retry_at(back_at);
}

#[test]
fn spread_callers() {
    let mut host = StoppingHost::new();
    host.set(1..HOSTS, Some(LEAVING));
    host.pass(Duration::from_secs(1));
    host.stop();
    let mut waits: Vec<Duration> = (0..100).map(|_| host.refused_retry_after()).collect();
    waits.sort();
    let (first, last) = (waits[0], waits[99]);
    let widest = waits.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(last - first >= first / 5, "{first:?} to {last:?}");
    assert!(widest < Some((last - first) / 20), "{widest:?}");
}

#[test]
fn few_hosts_stopping() {
    let mut host = StoppingHost::new();
    host.set(1..3, Some(LEAVING));
    host.pass(Duration::from_secs(1));
    host.stop();
    assert_eq!(host.refused_retry_after(), MIN_RETRY_AFTER);
}

// A starting host does not count as returned until it is ready.
#[test]
fn hosts_back() {
    let mut host = StoppingHost::new();
    host.set(1..HOSTS, Some(LEAVING));
    let stopped_at = host.now;
    host.pass(Duration::from_secs(1));
    host.stop();
    host.set(1..4, Some(STARTING));
    host.pass(Duration::from_secs(2));
    host.assert_retry_at(stopped_at.plus(GRACE_LEFT + START_MARGIN));
    host.set(1..4, Some(READY));
    host.pass(Duration::from_secs(1));
    assert_eq!(host.refused_retry_after(), MIN_RETRY_AFTER);
}

// Hosts that have left permanently are not expected to return.
#[test]
fn departed_hosts() {
    let mut host = StoppingHost::new();
    host.set(1..HOSTS - 1, Some(LEAVING));
    host.pass(Duration::from_secs(1));
    host.set(1..HOSTS - 1, None);
    host.pass(Duration::from_secs(60));
    host.stop();
    assert_eq!(host.refused_retry_after(), MIN_RETRY_AFTER);
}

#[test]
fn reloaded_grace() {
    let mut host = StoppingHost::new();
    host.set(1..HOSTS, Some(LEAVING));
    let stopped_at = host.now;
    host.pass(Duration::from_secs(1));
    host.stop();
    let span = Duration::from_secs(4);
    let answer_deadline = host.now.plus(span);
    host.core
        .handle(host.now, NodeEvent::AnswerDeadline(answer_deadline));
    host.assert_retry_at(stopped_at.plus(span + START_MARGIN));
}

// Without a grace period, the time of return is unknown.
#[test]
fn no_grace_period() {
    let mut host = StoppingHost::new();
    host.set(1..HOSTS, Some(LEAVING));
    host.pass(Duration::from_secs(1));
    host.core.handle(host.now, NodeEvent::Stop);
    host.core
        .handle(host.now, NodeEvent::AnswerDeadline(Moment::NEVER));
    host.core.handle(host.now, NodeEvent::AdmissionClosed);
    assert_eq!(host.refused_retry_after(), MIN_RETRY_AFTER);
}
