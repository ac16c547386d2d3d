//! What goes wrong in a run, drawn from its seed.

use std::time::Duration;

use bergamotswitch_standin::users_store::StoreMood;
use bergamotswitch_standin::users_target::TargetMood;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use crate::relay::Flow;

/// The time in which faults begin; each ends some seconds later at the latest.
pub const FAULT_TIME: Duration = Duration::from_secs(7);
/// How many faults a run has: enough for some to overlap.
const FAULTS: std::ops::Range<usize> = 5..12;
/// One run in so many has planned work alone.
const PLANNED_PARTS: u64 = 4;

/// The first seed whose hosts are stopped as the platform does it, all of them,
/// with callers that ask for long work. Seeds below it draw what they drew.
const FIRST_STOP_SEED: u64 = 2_000;
/// As [`PLANNED_PARTS`], from that seed on.
const STOP_PLANNED_PARTS: u64 = 2;
/// The times from SIGTERM to SIGKILL: shorter than callers keep an address,
/// that of the known deployments, and longer than any answer.
const GRACES_S: [u64; 3] = [3, 8, 20];
/// When the first host is stopped, and the time to the next one.
const FIRST_STOP: Duration = Duration::from_secs(1);
const STOP_STEPS_MS: std::ops::Range<u64> = 500..3_000;
/// How many hosts are stopped at once at most, and how often all are.
const STOPS_AT_ONCE: usize = 2;
const STOP_ROUNDS: usize = 2;

/// The first seed that draws from all kinds of faults. Seeds below it draw what
/// they drew when they were kept.
const FIRST_WIDE_SEED: u64 = 1_000;
/// The kinds of faults that the seeds below it draw from.
const NARROW_KINDS: u32 = 13;
const KINDS: u32 = 17;
/// What another writer leaves under a target's key.
const FOREIGN: [&str; 3] = [
    "\u{fffd}\u{0}no registration",
    r#"{"service":"desk","address":"127.0.0.1:9"}"#,
    r#"{"service":"desk","address":"127.0.0.1:9","zone":"hall-1","version":"v1","slots":4,
        "state":"warming","coldRemainingMs":0,"sequence":1,"born":9999999999999}"#,
];

/// A `SiteFault` is one thing that goes wrong or changes.
#[derive(Clone, Debug)]
pub enum SiteFault {
    /// SIGKILL.
    Kill { host: usize },
    /// SIGSTOP, and SIGCONT later.
    Pause { host: usize, span: Duration },
    /// SIGTERM.
    Stop { host: usize },
    /// SIGHUP.
    Reload { host: usize },
    /// The store answers otherwise.
    Store { mood: StoreMood, span: Duration },
    /// The store drops its history.
    Compact,
    /// The way from one host to the store.
    StoreWay {
        host: usize,
        flow: Flow,
        span: Duration,
    },
    /// The way from all hosts to a target.
    TargetWay {
        target: usize,
        flow: Flow,
        span: Duration,
    },
    /// A target answers its next calls otherwise.
    Target {
        target: usize,
        mood: TargetMood,
        calls: usize,
    },
    /// The second key is taken away, and given again later.
    Revoke { span: Duration },
    /// The store falls silent, and the second key is taken away meanwhile.
    RevokeUnseen { span: Duration },
    /// A route more.
    Route,
    /// A target drains, leaves, and registers again.
    Drain { target: usize },
    /// A target starts again under its name.
    Restart { target: usize },
    /// Another writer writes over a target's entry.
    Foreign { target: usize, bytes: &'static str },
}

impl SiteFault {
    /// Get whether it is work that operators plan.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            SiteFault::Stop { .. }
                | SiteFault::Reload { .. }
                | SiteFault::Route
                | SiteFault::Drain { .. }
        )
    }
}

/// A `TimedFault` is a fault and when it begins.
#[derive(Clone, Debug)]
pub struct TimedFault {
    pub at: Duration,
    pub fault: SiteFault,
}

/// A `RunPlan` is what happens in a run.
pub struct RunPlan {
    pub faults: Vec<TimedFault>,
    /// Whether all of it is planned work.
    pub planned: bool,
    /// The time from SIGTERM to SIGKILL; none where a stop has no such end and
    /// all work is short.
    pub grace: Option<Duration>,
}

/// Get what happens in a run.
pub fn plan(seed: u64, hosts: usize, targets: usize) -> RunPlan {
    if seed >= FIRST_STOP_SEED {
        return plan_stops(seed, hosts, targets);
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let planned = seed.is_multiple_of(PLANNED_PARTS);
    let kinds = match seed < FIRST_WIDE_SEED {
        true => NARROW_KINDS,
        false => KINDS,
    };
    let count = rng.random_range(FAULTS);
    let mut faults = Vec::new();
    while faults.len() < count {
        let fault = draw_fault(&mut rng, hosts, targets, kinds);
        faults.extend(draw_time(&mut rng, fault, FAULT_TIME, planned));
    }
    faults.sort_by_key(|fault| fault.at);
    RunPlan {
        faults,
        planned,
        grace: None,
    }
}

/// Get a run in which every host is stopped, with further faults meanwhile.
fn plan_stops(seed: u64, hosts: usize, targets: usize) -> RunPlan {
    let mut rng = StdRng::seed_from_u64(seed);
    let planned = seed.is_multiple_of(STOP_PLANNED_PARTS);
    let grace = GRACES_S[rng.random_range(0..GRACES_S.len())];
    let mut faults = draw_stops(&mut rng, hosts);
    let last = faults.last().map_or(FAULT_TIME, |fault| fault.at);
    let count = faults.len() + rng.random_range(FAULTS);
    while faults.len() < count {
        let fault = draw_fault(&mut rng, hosts, targets, KINDS);
        faults.extend(draw_time(&mut rng, fault, last, planned));
    }
    faults.sort_by_key(|fault| fault.at);
    RunPlan {
        faults,
        planned,
        grace: Some(Duration::from_secs(grace)),
    }
}

/// Draw when a fault begins; it is left out where all are to be planned work and
/// it is none.
fn draw_time(
    rng: &mut StdRng,
    fault: SiteFault,
    last: Duration,
    planned: bool,
) -> Option<TimedFault> {
    let at = last.mul_f64(rng.random::<f64>());
    let fits = !planned || fault.is_planned();
    fits.then_some(TimedFault { at, fault })
}

/// Draw stops of all hosts, some at once, in an order of each round's own.
fn draw_stops(rng: &mut StdRng, hosts: usize) -> Vec<TimedFault> {
    let step = Duration::from_millis(rng.random_range(STOP_STEPS_MS));
    let at_once = rng.random_range(1..=STOPS_AT_ONCE);
    let mut at = FIRST_STOP;
    let mut stops = Vec::new();
    for _ in 0..rng.random_range(1..=STOP_ROUNDS) {
        let mut order: Vec<usize> = (0..hosts).collect();
        order.shuffle(rng);
        for group in order.chunks(at_once) {
            let faults = group.iter().map(|&host| SiteFault::Stop { host });
            stops.extend(faults.map(|fault| TimedFault { at, fault }));
            at += step;
        }
    }
    stops
}

fn draw_fault(rng: &mut StdRng, hosts: usize, targets: usize, kinds: u32) -> SiteFault {
    let host = rng.random_range(0..hosts);
    let target = rng.random_range(0..targets);
    let span = Duration::from_millis(rng.random_range(100..3_500));
    match rng.random_range(0..kinds) {
        0 => SiteFault::Kill { host },
        1 => SiteFault::Pause { host, span },
        2 => SiteFault::Stop { host },
        3 => SiteFault::Reload { host },
        4 => SiteFault::Store {
            mood: match rng.random_bool(0.5) {
                true => StoreMood::Busy,
                false => StoreMood::Silent,
            },
            span,
        },
        5 => SiteFault::Compact,
        6 => SiteFault::StoreWay {
            host,
            flow: draw_flow(rng),
            span,
        },
        7 => SiteFault::TargetWay {
            target,
            flow: draw_flow(rng),
            span,
        },
        8 => SiteFault::Target {
            target,
            mood: draw_mood(rng),
            calls: rng.random_range(1..6),
        },
        9 => SiteFault::Revoke { span: span * 2 },
        10 => SiteFault::Route,
        // Long enough for a host to rely on what it knew for too long.
        11 => SiteFault::RevokeUnseen {
            span: Duration::from_millis(4_000) + span / 2,
        },
        12 => SiteFault::Drain { target },
        13 | 14 => SiteFault::Restart { target },
        _ => SiteFault::Foreign {
            target,
            bytes: FOREIGN[rng.random_range(0..FOREIGN.len())],
        },
    }
}

fn draw_flow(rng: &mut StdRng) -> Flow {
    let flows = [
        Flow::ToTarget,
        Flow::FromTarget,
        Flow::Blocked,
        Flow::Slow,
        Flow::Reset,
    ];
    flows[rng.random_range(0..flows.len())]
}

fn draw_mood(rng: &mut StdRng) -> TargetMood {
    match rng.random_range(0..7) {
        0 => TargetMood::Full,
        1 => TargetMood::Failing,
        2 => TargetMood::Unsigned,
        3 => TargetMood::Crossed,
        4 => TargetMood::Closing,
        5 => TargetMood::Mute,
        _ => TargetMood::BreakAfter(rng.random_range(0..8)),
    }
}
