//! Provides the baselines: hosts without owners, each with a queue of its
//! own, a concurrency cap for each engine, and the same deadlines and retry
//! rule as the project's policy.

use std::collections::{BTreeMap, HashMap};

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::host::Incarnation;
use bergamotswitch_core::link::LinkEvent;
use bergamotswitch_core::pool::PoolName;
use bergamotswitch_core::request::{AttemptId, PrefixHash, RequestId};
use bergamotswitch_core::retry::{RetryBudget, RetryRate};
use bergamotswitch_core::target::{LoadReport, PoolTarget, TargetName};

use crate::traffic::{HOST_COUNT, OfferedRequest, TestDeployment};
use crate::world::{Order, TestPolicy, batch_of, targets};

/// The most dispatches of one request, as in the entry side's options.
const ATTEMPTS: u16 = 3;

/// How often a queue is checked for deadlines.
const LOOK_MICROS: u64 = 100_000;

/// A `BaselineRule` says how a host chooses a target, and in what order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineRule {
    RoundRobin,
    LeastReported,
    ShortestQueue,
    /// The shortest queue, with strict tiers inside each host.
    ShortestQueueTiers,
}

/// A place in a host's queue: the tier where it counts, then the arrival.
type QueuePlace = (u8, u64);

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
    begun: bool,
}

#[derive(Default)]
struct BaselineHost {
    waiting: BTreeMap<PoolName, BTreeMap<QueuePlace, WaitingRequest>>,
    running: HashMap<AttemptId, (WaitingRequest, usize)>,
    in_flight: Vec<usize>,
    budgets: BTreeMap<PoolName, RetryBudget>,
    turn: usize,
    looked_at: u64,
}

/// A `BaselinePolicy` is a fleet of hosts that share nothing.
pub struct BaselinePolicy {
    rule: BaselineRule,
    targets: Vec<BaselineTarget>,
    hosts: Vec<BaselineHost>,
    sequence: u64,
}

impl BaselinePolicy {
    pub fn new(deployment: &TestDeployment, rule: BaselineRule) -> Self {
        let targets: Vec<BaselineTarget> = targets(deployment)
            .map(|target| BaselineTarget {
                target: target.clone(),
                // All hosts together just fill the batch: the best cap there
                // is without an owner.
                cap: batch_of(target).div_ceil(HOST_COUNT),
                reported: 0,
            })
            .collect();
        let fresh = || BaselineHost {
            in_flight: vec![0; targets.len()],
            ..BaselineHost::default()
        };
        BaselinePolicy {
            rule,
            hosts: (0..HOST_COUNT).map(|_| fresh()).collect(),
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

    fn pump(&mut self, now: Moment, host: usize) -> Vec<Order> {
        let mut orders = Vec::new();
        let pools: Vec<PoolName> = self.hosts[host].waiting.keys().cloned().collect();
        for pool in pools {
            while let Some((place, request)) = self.take_next(now, host, &pool, &mut orders) {
                let Some(target) = self.choose(host, &request) else {
                    let queue = self.hosts[host].waiting.entry(pool.clone()).or_default();
                    queue.insert(place, request);
                    break;
                };
                orders.push(self.dispatch(host, target, request));
            }
        }
        orders
    }

    fn take_next(
        &mut self,
        now: Moment,
        host: usize,
        pool: &PoolName,
        orders: &mut Vec<Order>,
    ) -> Option<(QueuePlace, WaitingRequest)> {
        let queue = self.hosts[host].waiting.get_mut(pool)?;
        loop {
            let (place, request) = queue.pop_first()?;
            if request.deadline > now.as_micros() {
                return Some((place, request));
            }
            orders.push(Order::Conclude {
                request: request.index,
                answered: false,
            });
        }
    }

    fn dispatch(&mut self, host: usize, target: usize, mut request: WaitingRequest) -> Order {
        request.dispatches += 1;
        let order = Order::Start {
            host,
            attempt: request.attempt,
            request: request.index,
            target: self.targets[target].target.name.clone(),
        };
        self.hosts[host].in_flight[target] += 1;
        self.hosts[host]
            .running
            .insert(request.attempt, (request, target));
        order
    }

    fn choose(&mut self, host: usize, request: &WaitingRequest) -> Option<usize> {
        let here = &mut self.hosts[host];
        let count = self.targets.len();
        let mine = |index: &usize| {
            let target = &self.targets[*index];
            let known = target
                .target
                .name
                .as_str()
                .starts_with(request.pool.as_str());
            known
                && here.in_flight[*index] < target.cap
                && !request.avoid.contains(&target.target.name)
        };
        match self.rule {
            BaselineRule::RoundRobin => {
                let turn = here.turn;
                let found = (0..count).map(|i| (turn + i) % count).find(|i| mine(i))?;
                here.turn = found + 1;
                Some(found)
            }
            BaselineRule::LeastReported => (0..count)
                .filter(mine)
                .min_by_key(|index| self.targets[*index].reported),
            _ => {
                let turn = here.turn;
                let order = (0..count).map(|i| (turn + i) % count);
                let found = order
                    .filter(mine)
                    .min_by_key(|index| here.in_flight[*index])?;
                here.turn = found + 1;
                Some(found)
            }
        }
    }

    fn broke(
        &mut self,
        now: Moment,
        host: usize,
        mut request: WaitingRequest,
        target: usize,
    ) -> Option<Order> {
        let here = &mut self.hosts[host];
        let budget = here
            .budgets
            .entry(request.pool.clone())
            .or_insert_with(|| RetryBudget::new(RetryRate::default(), 1, now));
        let seen = request.streaming && request.begun;
        let again = request.idempotent && !seen && request.dispatches < ATTEMPTS;
        if !again || !budget.try_spend(now) {
            return Some(Order::Conclude {
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
    fn start(&mut self, _now: Moment) -> Vec<Order> {
        Vec::new()
    }

    fn submit(&mut self, now: Moment, index: usize, request: &OfferedRequest) -> Vec<Order> {
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
                begun: false,
            },
        );
        self.pump(now, host)
    }

    fn attempt(
        &mut self,
        now: Moment,
        host: usize,
        id: AttemptId,
        event: AttemptEvent,
    ) -> Vec<Order> {
        let here = &mut self.hosts[host];
        if let (AttemptEvent::FirstToken, Some((request, _))) = (event, here.running.get_mut(&id)) {
            request.begun = true;
        }
        if matches!(
            event,
            AttemptEvent::FirstToken
                | AttemptEvent::Progress(_)
                | AttemptEvent::Resumed
                | AttemptEvent::Stalled
        ) {
            return Vec::new();
        }
        let Some((request, target)) = here.running.remove(&id) else {
            return Vec::new();
        };
        here.in_flight[target] -= 1;
        let end = match event {
            AttemptEvent::Finished(_) => Some(Order::Conclude {
                request: request.index,
                answered: true,
            }),
            _ => self.broke(now, host, request, target),
        };
        let mut orders: Vec<Order> = end.into_iter().collect();
        orders.extend(self.pump(now, host));
        orders
    }

    fn load(&mut self, _now: Moment, target: &TargetName, report: LoadReport) -> Vec<Order> {
        for known in &mut self.targets {
            if known.target.name == *target {
                known.reported = report.outstanding_tokens;
            }
        }
        Vec::new()
    }

    fn prefix(&mut self, _now: Moment, _: &TargetName, _: PrefixHash, _: bool) -> Vec<Order> {
        Vec::new()
    }

    fn link(&mut self, _now: Moment, _host: usize, _event: LinkEvent) -> Vec<Order> {
        Vec::new()
    }

    fn tick(&mut self, now: Moment, host: usize) -> Vec<Order> {
        self.hosts[host].looked_at = now.as_micros();
        self.pump(now, host)
    }

    fn wake(&self, host: usize) -> Moment {
        Moment::from_micros(self.hosts[host].looked_at + LOOK_MICROS)
    }

    fn kill(&mut self, _host: usize, _silent: bool) -> Vec<Order> {
        Vec::new()
    }
}
