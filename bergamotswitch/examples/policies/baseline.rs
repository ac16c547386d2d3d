//! Provides the baseline policies: hosts that share no state, each with its
//! own queue and a concurrency limit for each target, and with the same
//! deadlines and retry budget as the project's policy.

use std::collections::{BTreeMap, HashMap};

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::host::Incarnation;
use bergamotswitch_core::link::LinkEvent;
use bergamotswitch_core::pool::PoolName;
use bergamotswitch_core::request::{AttemptId, PrefixHash, RequestId};
use bergamotswitch_core::retry::{RetryBudget, RetryRate};
use bergamotswitch_core::target::{LoadReport, PoolTarget, TargetName};

use crate::simulation::{PolicyCommand, TestPolicy, batch_size, targets};
use crate::traffic::{HOST_COUNT, OfferedRequest, TestDeployment};

/// The maximum number of attempts for a request, as in the default
/// `EntryOptions`.
const MAX_ATTEMPTS: u16 = 3;

/// How often a queue is checked for expired requests, in microseconds.
const DEADLINE_CHECK_INTERVAL: u64 = 100_000;

/// A `BaselineRule` is the load-balancing algorithm of a baseline policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineRule {
    RoundRobin,
    /// The target with the fewest outstanding tokens in its last load report.
    LeastReported,
    /// The target with the fewest requests in flight from the same host.
    ShortestQueue,
    /// As `ShortestQueue`, with strict priority by tier in each host's queue.
    ShortestQueueTiers,
}

/// The sort key of a queue: the tier, or 0 if the rule ignores tiers, then the
/// order of arrival.
type QueueKey = (u8, u64);

struct BaselineTarget {
    target: PoolTarget,
    cap: usize,
    reported: u64,
}

#[derive(Clone, Debug)]
struct WaitingRequest {
    index: usize,
    attempt: AttemptId,
    idempotent: bool,
    streaming: bool,
    deadline: u64,
    pool: PoolName,
    avoid: Vec<TargetName>,
    dispatches: u16,
    tier: u8,
    output_started: bool,
}

#[derive(Default)]
struct BaselineHostState {
    waiting: BTreeMap<PoolName, BTreeMap<QueueKey, WaitingRequest>>,
    running: HashMap<AttemptId, (WaitingRequest, usize)>,
    in_flight: Vec<usize>,
    budgets: BTreeMap<PoolName, RetryBudget>,
    next_target: usize,
    checked_at: u64,
}

/// A `BaselinePolicy` is a fleet of hosts that share no state.
pub struct BaselinePolicy {
    rule: BaselineRule,
    targets: Vec<BaselineTarget>,
    hosts: Vec<BaselineHostState>,
    sequence: u64,
}

impl BaselinePolicy {
    pub fn new(deployment: &TestDeployment, rule: BaselineRule) -> Self {
        let targets: Vec<BaselineTarget> = targets(deployment)
            .map(|target| BaselineTarget {
                target: target.clone(),
                // Without coordination, the batch is divided evenly among the
                // hosts.
                cap: batch_size(target).div_ceil(HOST_COUNT),
                reported: 0,
            })
            .collect();
        let new_host = || BaselineHostState {
            in_flight: vec![0; targets.len()],
            ..BaselineHostState::default()
        };
        BaselinePolicy {
            rule,
            hosts: (0..HOST_COUNT).map(|_| new_host()).collect(),
            targets,
            sequence: 0,
        }
    }

    fn enqueue(&mut self, host: usize, request: WaitingRequest) {
        self.sequence += 1;
        let tier = match self.rule {
            BaselineRule::ShortestQueueTiers => request.tier,
            _ => 0,
        };
        let queue = self.hosts[host]
            .waiting
            .entry(request.pool.clone())
            .or_default();
        queue.insert((tier, self.sequence), request);
    }

    fn dispatch_waiting(&mut self, now: Moment, host: usize) -> Vec<PolicyCommand> {
        let mut commands = Vec::new();
        let pools: Vec<PoolName> = self.hosts[host].waiting.keys().cloned().collect();
        for pool in pools {
            while let Some((key, request)) = self.take_next(now, host, &pool, &mut commands) {
                let Some(target) = self.choose(host, &request) else {
                    let queue = self.hosts[host].waiting.entry(pool.clone()).or_default();
                    queue.insert(key, request);
                    break;
                };
                commands.push(self.dispatch(host, target, request));
            }
        }
        commands
    }

    fn take_next(
        &mut self,
        now: Moment,
        host: usize,
        pool: &PoolName,
        commands: &mut Vec<PolicyCommand>,
    ) -> Option<(QueueKey, WaitingRequest)> {
        let queue = self.hosts[host].waiting.get_mut(pool)?;
        loop {
            let (key, request) = queue.pop_first()?;
            if request.deadline > now.as_micros() {
                return Some((key, request));
            }
            commands.push(PolicyCommand::Conclude {
                request: request.index,
                answered: false,
            });
        }
    }

    fn dispatch(
        &mut self,
        host: usize,
        target: usize,
        mut request: WaitingRequest,
    ) -> PolicyCommand {
        request.dispatches += 1;
        let command = PolicyCommand::Start {
            host,
            attempt: request.attempt,
            request: request.index,
            target: self.targets[target].target.name.clone(),
        };
        self.hosts[host].in_flight[target] += 1;
        self.hosts[host]
            .running
            .insert(request.attempt, (request, target));
        command
    }

    fn choose(&mut self, host: usize, request: &WaitingRequest) -> Option<usize> {
        let state = &mut self.hosts[host];
        let count = self.targets.len();
        let is_eligible = |index: &usize| {
            let target = &self.targets[*index];
            let in_pool = target
                .target
                .name
                .as_str()
                .starts_with(request.pool.as_str());
            in_pool
                && state.in_flight[*index] < target.cap
                && !request.avoid.contains(&target.target.name)
        };
        match self.rule {
            BaselineRule::RoundRobin => {
                let next_target = state.next_target;
                let found = (0..count)
                    .map(|i| (next_target + i) % count)
                    .find(|i| is_eligible(i))?;
                state.next_target = found + 1;
                Some(found)
            }
            BaselineRule::LeastReported => (0..count)
                .filter(is_eligible)
                .min_by_key(|index| self.targets[*index].reported),
            _ => {
                let next_target = state.next_target;
                let indices = (0..count).map(|i| (next_target + i) % count);
                let found = indices
                    .filter(is_eligible)
                    .min_by_key(|index| state.in_flight[*index])?;
                state.next_target = found + 1;
                Some(found)
            }
        }
    }

    fn retry_or_fail(
        &mut self,
        now: Moment,
        host: usize,
        mut request: WaitingRequest,
        target: usize,
    ) -> Option<PolicyCommand> {
        let state = &mut self.hosts[host];
        let budget = state
            .budgets
            .entry(request.pool.clone())
            .or_insert_with(|| RetryBudget::new(RetryRate::default(), 1, now));
        let output_sent = request.streaming && request.output_started;
        let can_retry = request.idempotent && !output_sent && request.dispatches < MAX_ATTEMPTS;
        if !can_retry || !budget.try_spend(now) {
            return Some(PolicyCommand::Conclude {
                request: request.index,
                answered: false,
            });
        }
        request.avoid.push(self.targets[target].target.name.clone());
        request.attempt.attempt += 1;
        self.enqueue(host, request);
        None
    }
}

impl TestPolicy for BaselinePolicy {
    fn start(&mut self, _now: Moment) -> Vec<PolicyCommand> {
        Vec::new()
    }

    fn submit(
        &mut self,
        now: Moment,
        index: usize,
        request: &OfferedRequest,
    ) -> Vec<PolicyCommand> {
        let submission = &request.submission;
        let host = request.host;
        let budgets = &mut self.hosts[host].budgets;
        budgets
            .entry(submission.pool.clone())
            .or_insert_with(|| RetryBudget::new(RetryRate::default(), 1, now))
            .earn(now);
        let id = RequestId {
            incarnation: Incarnation(host as u128 + 1),
            sequence: index as u64,
        };
        self.enqueue(
            host,
            WaitingRequest {
                index,
                attempt: AttemptId {
                    request: id,
                    attempt: 0,
                },
                idempotent: submission.verdict.idempotent,
                streaming: submission.streaming,
                deadline: request.deadline,
                pool: submission.pool.clone(),
                avoid: Vec::new(),
                dispatches: 0,
                tier: submission.verdict.tier.0,
                output_started: false,
            },
        );
        self.dispatch_waiting(now, host)
    }

    fn attempt(
        &mut self,
        now: Moment,
        host: usize,
        id: AttemptId,
        event: AttemptEvent,
    ) -> Vec<PolicyCommand> {
        let state = &mut self.hosts[host];
        if let (AttemptEvent::FirstToken, Some((request, _))) = (event, state.running.get_mut(&id))
        {
            request.output_started = true;
        }
        if matches!(
            event,
            AttemptEvent::FirstToken
                | AttemptEvent::Progress(_)
                | AttemptEvent::Resumed
                | AttemptEvent::LimitNamed(_)
                | AttemptEvent::Stalled
        ) {
            return Vec::new();
        }
        let Some((request, target)) = state.running.remove(&id) else {
            return Vec::new();
        };
        state.in_flight[target] -= 1;
        let command = match event {
            AttemptEvent::Finished(_) => Some(PolicyCommand::Conclude {
                request: request.index,
                answered: true,
            }),
            _ => self.retry_or_fail(now, host, request, target),
        };
        let mut commands: Vec<PolicyCommand> = command.into_iter().collect();
        commands.extend(self.dispatch_waiting(now, host));
        commands
    }

    fn load(
        &mut self,
        _now: Moment,
        target: &TargetName,
        report: LoadReport,
    ) -> Vec<PolicyCommand> {
        for entry in &mut self.targets {
            if entry.target.name == *target {
                entry.reported = report.outstanding_tokens;
            }
        }
        Vec::new()
    }

    fn prefix(
        &mut self,
        _now: Moment,
        _: &TargetName,
        _: PrefixHash,
        _: bool,
    ) -> Vec<PolicyCommand> {
        Vec::new()
    }

    fn link(&mut self, _now: Moment, _host: usize, _event: LinkEvent) -> Vec<PolicyCommand> {
        Vec::new()
    }

    fn tick(&mut self, now: Moment, host: usize) -> Vec<PolicyCommand> {
        self.hosts[host].checked_at = now.as_micros();
        self.dispatch_waiting(now, host)
    }

    fn wake(&self, host: usize) -> Moment {
        Moment::from_micros(self.hosts[host].checked_at + DEADLINE_CHECK_INTERVAL)
    }

    fn kill(&mut self, _host: usize, _silent: bool) -> Vec<PolicyCommand> {
        Vec::new()
    }
}
