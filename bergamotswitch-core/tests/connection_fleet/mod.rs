//! Provides a simulation in virtual time of many hosts before the targets of one shard,
//! whose hosts keep connections to targets.

// Each test file uses only some of the items.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use bergamotswitch_core::host::HostName;
use bergamotswitch_core::pool_owner::SchedulingOptions;
use bergamotswitch_core::target::TargetName;

use crate::owner_bench::*;

pub const HOSTS: u64 = 91;
pub const TARGETS: usize = 145;
const SLOTS: u32 = 5;
const TOKEN_LIMIT: u32 = 700_000;

/// How long hosts keep an idle connection, and how many to one target.
pub const KEEP: Duration = Duration::from_secs(8);
const KEPT_PER_TARGET: usize = 16;

/// The idle time of a target that closes no connection before the hosts do.
pub const NEVER_CLOSED: Duration = Duration::from_secs(60);

/// The time after which the owner has measured the targets and the hosts have their
/// connections.
const WARM_UP: Duration = Duration::from_secs(12);

/// The slowdowns of the fastest and the slowest target.
const SLOWDOWNS: (f64, f64) = (0.45, 2.25);

/// A `CallClass` is a kind of call: its share in a thousand, cost, time limits and worth
/// on time and late.
struct CallClass {
    permille: u64,
    prefill: u32,
    decode: u32,
    first_token_limit_ms: u32,
    deadline_ms: u32,
    worth: (f64, f64),
}

const CLASSES: [CallClass; 3] = [
    CallClass {
        permille: 318,
        prefill: 6_610,
        decode: 380,
        first_token_limit_ms: 800,
        deadline_ms: 12_000,
        worth: (6.1, 1.9),
    },
    CallClass {
        permille: 209,
        prefill: 628,
        decode: 290,
        first_token_limit_ms: 400,
        deadline_ms: 10_000,
        worth: (2.1, 0.62),
    },
    CallClass {
        permille: 473,
        prefill: 1_800,
        decode: 20,
        first_token_limit_ms: 400,
        deadline_ms: 2_500,
        worth: (0.27, 0.08),
    },
];

impl CallClass {
    /// Get the time to first token and of the run, in milliseconds, at a target of mean
    /// speed.
    fn run_ms(&self) -> (f64, f64) {
        let first = 3.0 + f64::from(self.prefill) / 57.0;
        (first, first + f64::from(self.decode) * 3.1)
    }
}

/// Get a number drawn by `seed`.
fn drawn(seed: u64) -> u64 {
    let mut mixed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// A `FleetPlan` is the load and the preference of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    /// The load as a fraction of the capacity.
    pub load: f64,
    pub tolerance: Option<f64>,
    pub duration: Duration,
    /// How long targets keep an idle connection.
    pub target_keep: Duration,
}

impl FleetPlan {
    pub fn new(load: f64, tolerance: Option<f64>) -> Self {
        FleetPlan {
            load,
            tolerance,
            duration: Duration::from_secs(24),
            target_keep: NEVER_CLOSED,
        }
    }
}

/// A `FleetTotals` is what callers and targets got after the warm-up.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetTotals {
    pub submitted: u64,
    pub served: u64,
    pub opened: u64,
    pub worth: f64,
    /// The run times of the served calls: measured, expected by the target's speed, and
    /// at a target of mean speed.
    pub run_ms: f64,
    pub expected_ms: f64,
    pub mean_speed_ms: f64,
}

impl FleetTotals {
    /// Get the new connections per served call.
    pub fn opened_fraction(&self) -> f64 {
        self.opened as f64 / self.served as f64
    }

    /// Get the run times measured and expected, as multiples of those at mean speed.
    pub fn slowdowns(&self) -> (f64, f64) {
        (
            self.run_ms / self.mean_speed_ms,
            self.expected_ms / self.mean_speed_ms,
        )
    }
}

struct RunningCall {
    host: u64,
    permit: Permit,
    usage: Usage,
}

/// A `ConnectionFleet` is an owner with its hosts and targets in virtual time.
pub struct ConnectionFleet {
    plan: FleetPlan,
    pub owner: ShardOwner,
    pub totals: FleetTotals,
    hosts: Vec<HostName>,
    pub slowdowns: HashMap<TargetName, f64>,
    /// Since when the connections of a host to a target are idle, newest last.
    pub idle: HashMap<(u64, TargetName), Vec<Moment>>,
    ends: BinaryHeap<Reverse<(Moment, usize)>>,
    running: Vec<RunningCall>,
    calls: Vec<(Moment, u64)>,
    next: Moment,
}

impl ConnectionFleet {
    pub fn new(plan: FleetPlan) -> Self {
        let scheduling = SchedulingOptions {
            idle_connection_tolerance: plan.tolerance,
            ..SchedulingOptions::default()
        };
        let opts = OwnerOptions::default()
            .with_scheduling(scheduling)
            .with_connection_keep(KEEP);
        let mut owner = ShardOwner::new(incarnation_of("owner", 1), shard(), opts, Moment::START);
        let targets: Vec<PoolTarget> = (0..TARGETS).map(fleet_target).collect();
        let slowdowns = targets.iter().enumerate().map(|(number, target)| {
            // Names and speeds are unrelated.
            let place = (number * 52) % TARGETS;
            let (fastest, slowest) = SLOWDOWNS;
            let exponent = place as f64 / (TARGETS - 1) as f64;
            (
                target.name.clone(),
                fastest * (slowest / fastest).powf(exponent),
            )
        });
        let slowdowns = slowdowns.collect();
        owner.handle(Moment::START, OwnerEvent::Targets(targets));
        ConnectionFleet {
            plan,
            owner,
            totals: FleetTotals::default(),
            hosts: (0..HOSTS)
                .map(|number| named(&format!("host-{number:02}")))
                .collect(),
            slowdowns,
            idle: HashMap::new(),
            ends: BinaryHeap::new(),
            running: Vec::new(),
            calls: vec![(Moment::START, 0)],
            next: Moment::START,
        }
    }

    /// Get the capacity in calls per second.
    fn capacity(&self) -> f64 {
        let mean_ms: f64 = CLASSES
            .iter()
            .map(|class| class.permille as f64 / 1_000.0 * class.run_ms().1)
            .sum();
        let speeds: f64 = self.slowdowns.values().map(|slowdown| 1.0 / slowdown).sum();
        speeds * f64::from(SLOTS) * 1_000.0 / mean_ms
    }

    fn class_of(sequence: u64) -> &'static CallClass {
        let mut place = drawn(sequence) % 1_000;
        for class in &CLASSES {
            if place < class.permille {
                return class;
            }
            place -= class.permille;
        }
        &CLASSES[0]
    }

    fn send(&mut self, now: Moment, host: u64, message: OwnerMessage) {
        let event = OwnerEvent::Message(self.hosts[host as usize].clone(), message);
        for permit in permits(&self.owner.handle(now, event)) {
            self.start(now, permit);
        }
    }

    /// Get whether the host has an idle connection to the target, and take it.
    fn reuse(&mut self, now: Moment, host: u64, target: &TargetName) -> bool {
        let keep = KEEP.min(self.plan.target_keep);
        let Some(idle) = self.idle.get_mut(&(host, target.clone())) else {
            return false;
        };
        idle.retain(|since| now.since(*since) < keep);
        idle.pop().is_some()
    }

    fn start(&mut self, now: Moment, permit: Permit) {
        let sequence = permit.attempt.request.sequence;
        let class = ConnectionFleet::class_of(sequence);
        let (submitted, host) = self.calls[sequence as usize];
        let slowdown = self.slowdowns[&permit.target];
        let noise = 0.8 + 0.4 * (drawn(sequence + 7) % 1_000) as f64 / 1_000.0;
        let (first, run) = class.run_ms();
        let usage = Usage {
            prefill: class.prefill,
            cached: 0,
            decode: class.decode,
            first_token_ms: (first * slowdown * noise) as u32,
            elapsed_ms: (run * slowdown * noise) as u32,
        };
        let waited = now.since(submitted).as_millis() as u32;
        let is_on_time = waited + usage.first_token_ms <= class.first_token_limit_ms;
        let is_complete = waited + usage.elapsed_ms <= class.deadline_ms;
        self.totals.worth += match (is_complete, is_on_time) {
            (true, true) => class.worth.0,
            (true, false) => class.worth.1,
            (false, _) => 0.0,
        };
        self.totals.served += 1;
        self.totals.run_ms += run * slowdown * noise;
        self.totals.expected_ms += run * slowdown;
        self.totals.mean_speed_ms += run;
        let is_reused = self.reuse(now, host, &permit.target);
        self.totals.opened += u64::from(!is_reused);
        let end = now.plus(Duration::from_millis(usage.elapsed_ms.max(1).into()));
        self.ends.push(Reverse((end, self.running.len())));
        self.running.push(RunningCall {
            host,
            permit,
            usage,
        });
    }

    fn end(&mut self, at: Moment, index: usize) {
        let call = &self.running[index];
        let (host, target) = (call.host, call.permit.target.clone());
        let release = released(&call.permit, ReleaseOutcome::Finished(call.usage));
        let idle = self.idle.entry((host, target)).or_default();
        if idle.len() < KEPT_PER_TARGET {
            idle.push(at);
        }
        self.send(at, host, release);
    }

    fn submit(&mut self, now: Moment) {
        let sequence = self.calls.len() as u64;
        let class = ConnectionFleet::class_of(sequence);
        let host = drawn(sequence + 3) % HOSTS;
        self.calls.push((now, host));
        self.totals.submitted += 1;
        let tier = CLASSES
            .iter()
            .position(|known| known.permille == class.permille);
        let account = format!("account-{}", drawn(sequence + 5) % 16);
        let mut request = permit_request(sequence, tier.unwrap_or(0) as u8, &account);
        request.cost = cost_of(class.prefill, class.decode);
        request.first_answer_ms = Some(class.first_token_limit_ms);
        request.deadline_ms = class.deadline_ms;
        self.send(now, host, OwnerMessage::PermitRequest(Box::new(request)));
    }

    /// Run until `end`.
    pub fn run_until(&mut self, end: Moment) {
        let gap = 1e6 / (self.capacity() * self.plan.load);
        while self.next < end {
            while let Some(Reverse((at, index))) = self.ends.peek().copied()
                && at <= self.next
            {
                self.ends.pop();
                self.end(at, index);
            }
            self.submit(self.next);
            let jitter = drawn(self.calls.len() as u64 + 11) % 2_000;
            let micros = (gap * jitter as f64 / 1_000.0) as u64;
            self.next = self.next.plus(Duration::from_micros(micros));
        }
    }

    /// Run the whole plan, and get the totals after the warm-up.
    pub fn run(mut self) -> FleetTotals {
        self.run_until(Moment::START.plus(WARM_UP));
        self.totals = FleetTotals::default();
        self.run_until(Moment::START.plus(self.plan.duration));
        self.totals
    }
}

fn fleet_target(number: usize) -> PoolTarget {
    let mut target = target(&format!("engine-{number:03}"), "d", TOKEN_LIMIT);
    target.slots = Some(SLOTS);
    target
}
