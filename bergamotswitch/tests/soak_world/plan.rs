//! Provides the fault schedule of a run, drawn from its seed.

use std::time::Duration;

use bergamotswitch_standin::gateway_target::ResponseMode;
use bergamotswitch_standin::kv_store::StoreMode;
use bergamotswitch_standin::raw_connection::ConnectionEnd;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use super::EVENTS;
use crate::relay::Flow;

/// The time in which faults start. Each ends within a few seconds.
pub const FAULT_WINDOW: Duration = Duration::from_secs(7);
/// The number of faults in a run, enough for some to overlap.
const FAULT_COUNT: std::ops::Range<usize> = 5..12;
/// One run in this many has planned maintenance only.
const PLANNED_ONE_IN: u64 = 4;

/// The first seed that stops all hosts as the platform does, with callers that ask
/// for long streams. Lower seeds must keep drawing the same faults.
const FIRST_STOP_SEED: u64 = 2_000;
/// The same as [`PLANNED_ONE_IN`], from [`FIRST_STOP_SEED`] on.
const STOP_PLANNED_ONE_IN: u64 = 2;
/// The times from SIGTERM to SIGKILL, in seconds: shorter than callers cache an
/// address, as in common deployments, and longer than any response.
const GRACE_PERIODS_S: [u64; 3] = [3, 8, 20];
/// When the first host is stopped.
const FIRST_STOP_DELAY: Duration = Duration::from_secs(1);
/// The interval between stops, in milliseconds.
const STOP_INTERVAL_MS: std::ops::Range<u64> = 500..3_000;
/// The most hosts that are stopped at once.
const MAX_CONCURRENT_STOPS: usize = 2;
/// The most times that every host is stopped.
const MAX_STOP_ROUNDS: usize = 2;

/// The first seed that draws from all kinds of faults. Lower seeds must keep
/// drawing the same faults.
const FIRST_ALL_KINDS_SEED: u64 = 1_000;
/// The number of fault kinds that seeds below [`FIRST_ALL_KINDS_SEED`] draw from.
const EARLY_KINDS: u32 = 13;
/// The number of fault kinds that seeds below [`FIRST_DOMAIN_SEED`] draw from.
const ALL_KINDS: u32 = 17;
/// The first seed that evacuates failure domains and turns targets cold, in every second run
/// while all hosts are stopped. Lower seeds must keep drawing the same faults.
const FIRST_DOMAIN_SEED: u64 = 6_000;
/// The number of all fault kinds.
const DOMAIN_KINDS: u32 = 21;
/// How long a domain is evacuated, in milliseconds: longer than it may still get calls.
const EVACUATION_MS: std::ops::Range<u64> = 5_500..8_000;
/// The first seed whose sound targets fall silent, around configuration changes above all.
/// Lower seeds must keep drawing the same faults.
const FIRST_SILENCE_SEED: u64 = 7_000;
/// The same as [`PLANNED_ONE_IN`], from [`FIRST_SILENCE_SEED`] on.
const SILENCE_PLANNED_ONE_IN: u64 = 2;
/// The number of silences in a run, the longest pause between two of them, and how long they
/// last, in milliseconds: about as long as a stream may stall.
const SILENCE_COUNT: std::ops::Range<usize> = 4..8;
const SILENCE_INTERVAL_MS: std::ops::Range<u64> = 300..1_500;
const SILENCE_MS: std::ops::Range<u64> = 1_000..1_900;
/// The time from SIGTERM to SIGKILL in these runs, enough for the longest stream and a silence.
const SILENCE_GRACE: Duration = Duration::from_secs(20);
/// How long before a silence the configuration changes, at most, in milliseconds.
const CHANGE_LEAD_MS: std::ops::Range<u64> = 0..800;
/// The first seed whose targets answer in ways that a host could misread. Lower seeds must
/// keep drawing the same faults.
const FIRST_ANSWER_SEED: u64 = 8_000;
/// The number of rounds of such answers in a run, and of faults in a round.
const ANSWER_ROUNDS: std::ops::Range<usize> = 3..6;
const ANSWER_FAULTS: std::ops::Range<usize> = 3..7;
/// The number of calls that a target answers in one such way.
const ANSWER_CALLS: std::ops::Range<usize> = 3..16;
/// The longest time from the start of a round to one of its faults, and from round to round,
/// in milliseconds.
const ANSWER_SPREAD_MS: u64 = 1_200;
const ANSWER_INTERVAL_MS: std::ops::Range<u64> = 1_000..2_500;
/// How long sound targets stand still in these runs, in milliseconds.
const STANDSTILL_MS: std::ops::Range<u64> = 1_000..1_300;
/// How long after an answer its second copy comes at the latest, in milliseconds.
const COPY_DELAY_MS: u64 = 300;
/// The first seed with series of stops, reloads and configurations while few calls are much
/// longer than the others. Lower seeds must keep drawing the same faults.
const FIRST_SERIES_SEED: u64 = 9_000;
/// The times from SIGTERM to SIGKILL in these runs, in seconds.
const SERIES_GRACES_S: [u64; 4] = [5, 8, 8, 10];
/// One call in this many is long.
const UNLIKE_ONE_IN: [u32; 3] = [50, 250, 1_000];
/// When the first host is stopped: after every host has seen runs of its routes.
const SERIES_FIRST_STOP: Duration = Duration::from_millis(3_500);
/// The interval between two stops of up to [`SERIES_HOSTS`] hosts, in milliseconds; with
/// more hosts it is shorter.
const SERIES_INTERVAL_MS: std::ops::Range<u64> = 300..2_600;
const SERIES_HOSTS: u32 = 5;
/// The longest time until a host that was stopped runs again.
const SERIES_RESTART_TIME: Duration = Duration::from_secs(4);
/// The number of series of reloads or configurations in a run, of changes in a series, and
/// the longest pause between two changes, in milliseconds.
const SERIES_COUNT: std::ops::Range<usize> = 4..9;
const SERIES_CHANGES: std::ops::Range<usize> = 1..5;
const SERIES_GAP_MS: std::ops::Range<u64> = 0..400;
/// How long a stopping host is suspended, in milliseconds.
const STOP_PAUSE_MS: std::ops::Range<u64> = 100..1_200;
/// The timeouts of routes in these runs, longer than any work, in seconds.
const SERIES_TIMEOUTS_S: [u64; 3] = [15, 20, 30];
/// How long before its store entry a target's answers say that it leaves, in milliseconds.
const LEAVE_LEAD_MS: std::ops::Range<u64> = 0..4_000;
/// The failures of targets whose status tells callers that a call did not run.
const FAILURE_STATUSES: [u16; 3] = [503, 429, 408];
/// The invalid entries that another writer stores under a target's key.
const FOREIGN_ENTRIES: [&str; 3] = [
    "\u{fffd}\u{0}no registration",
    r#"{"service":"desk","address":"127.0.0.1:9"}"#,
    r#"{"service":"desk","address":"127.0.0.1:9","zone":"hall-1","version":"v1","slots":4,
        "state":"warming","coldRemainingMs":0,"sequence":1,"born":9999999999999}"#,
];

/// A `SiteFault` is a fault or a planned change at the site.
#[derive(Clone, Debug)]
pub enum SiteFault {
    /// A host's process gets SIGKILL.
    Kill { host: usize },
    /// A host's process gets SIGSTOP, and SIGCONT later.
    Pause { host: usize, duration: Duration },
    /// A host's process gets SIGTERM.
    Stop { host: usize },
    /// A host's process gets SIGHUP.
    Reload { host: usize },
    /// The store fails its requests or does not answer.
    Store { mode: StoreMode, duration: Duration },
    /// The store compacts its revision history.
    Compact,
    /// The connection from one host to the store is impaired.
    StoreLink {
        host: usize,
        flow: Flow,
        duration: Duration,
    },
    /// The connections from all hosts to a target are impaired.
    TargetLink {
        target: usize,
        flow: Flow,
        duration: Duration,
    },
    /// A target misbehaves on its next calls.
    Target {
        target: usize,
        mode: ResponseMode,
        calls: usize,
    },
    /// The second key is revoked, and restored later.
    Revoke { duration: Duration },
    /// The second key is revoked while the store does not answer.
    RevokeDuringOutage { duration: Duration },
    /// A stopping host's process gets SIGSTOP, and SIGCONT later.
    PauseStopping { host: usize, duration: Duration },
    /// A host's process gets SIGHUP after a change of its settings.
    ReloadChanged { host: usize, change: SettingChange },
    /// A route is added.
    AddRoute,
    /// The oldest added route is removed.
    RemoveRoute,
    /// The timeout of all routes is changed.
    SetTimeout { timeout: Duration },
    /// A target drains, is unregistered, and registers again.
    Drain { target: usize },
    /// A target says in its answers that it leaves, `lead` before it drains, and starts
    /// again after it has left.
    Leave { target: usize, lead: Duration },
    /// A target's store entry is removed without notice, and the target serves on until it
    /// registers again.
    Remove { target: usize },
    /// A target restarts under its name.
    Restart { target: usize },
    /// A failure domain is evacuated and taken back. Its targets may be cold then.
    Evacuate {
        domain: usize,
        duration: Duration,
        cold: bool,
    },
    /// A target turns cold while it serves.
    Cold { target: usize },
    /// Sound targets of a service stand still.
    Silence {
        service: usize,
        targets: usize,
        duration: Duration,
    },
    /// Another writer overwrites a target's store entry.
    OverwriteEntry { target: usize, bytes: &'static str },
}

impl SiteFault {
    /// Get whether the change is planned maintenance.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            SiteFault::Stop { .. }
                | SiteFault::Reload { .. }
                | SiteFault::AddRoute
                | SiteFault::Drain { .. }
                | SiteFault::Evacuate { .. }
                | SiteFault::Silence { .. }
        )
    }
}

/// A `SettingChange` is a change of a host's settings file.
#[derive(Clone, Copy, Debug)]
pub enum SettingChange {
    /// Another grace period, unless the host stops.
    Grace(Duration),
    /// The address of another host as seed.
    Seed(usize),
    Unchanged,
}

/// A `TimedFault` is a fault and its start time.
#[derive(Clone, Debug)]
pub struct TimedFault {
    pub at: Duration,
    pub fault: SiteFault,
}

/// A `RunPlan` is the fault schedule of a run.
pub struct RunPlan {
    pub faults: Vec<TimedFault>,
    /// Whether all faults are planned maintenance.
    pub planned: bool,
    /// The time from SIGTERM to SIGKILL, or `None` in runs without a forced end of
    /// stops and with short calls only.
    pub grace: Option<Duration>,
    /// The priority of streams, 0 for the highest.
    pub stream_priority: u32,
    /// One call in this many is much longer than the others, if most are short.
    pub unlike_one_in: Option<u32>,
}

/// Draw the plan of a run from its seed.
pub fn plan(seed: u64, hosts: usize, targets: usize) -> RunPlan {
    if seed >= FIRST_SERIES_SEED {
        return plan_series(seed, hosts, targets);
    }
    if seed >= FIRST_ANSWER_SEED {
        return plan_answers(seed, hosts, targets);
    }
    if seed >= FIRST_SILENCE_SEED {
        return plan_silences(seed, hosts, targets);
    }
    let stops = match seed < FIRST_DOMAIN_SEED {
        true => seed >= FIRST_STOP_SEED,
        false => seed.is_multiple_of(2),
    };
    if stops {
        return plan_stops(seed, hosts, targets);
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let planned = seed.is_multiple_of(PLANNED_ONE_IN);
    let kinds = kinds(seed);
    let count = rng.random_range(FAULT_COUNT);
    let mut faults = Vec::new();
    while faults.len() < count {
        let fault = draw_fault(&mut rng, hosts, targets, kinds);
        faults.extend(draw_time(&mut rng, fault, FAULT_WINDOW, planned));
    }
    faults.sort_by_key(|fault| fault.at);
    RunPlan {
        faults,
        planned,
        grace: None,
        stream_priority: 0,
        unlike_one_in: None,
    }
}

/// Get the number of fault kinds that a seed draws from.
fn kinds(seed: u64) -> u32 {
    match seed {
        ..FIRST_ALL_KINDS_SEED => EARLY_KINDS,
        FIRST_ALL_KINDS_SEED..FIRST_DOMAIN_SEED => ALL_KINDS,
        _ => DOMAIN_KINDS,
    }
}

/// Draw the plan of a run in which every host is stopped during other faults.
fn plan_stops(seed: u64, hosts: usize, targets: usize) -> RunPlan {
    let mut rng = StdRng::seed_from_u64(seed);
    let planned = match seed < FIRST_DOMAIN_SEED {
        true => seed.is_multiple_of(STOP_PLANNED_ONE_IN),
        false => seed.is_multiple_of(PLANNED_ONE_IN),
    };
    let kinds = kinds(seed);
    let grace = GRACE_PERIODS_S[rng.random_range(0..GRACE_PERIODS_S.len())];
    let mut faults = draw_stops(&mut rng, hosts);
    let last = faults.last().map_or(FAULT_WINDOW, |fault| fault.at);
    let count = faults.len() + rng.random_range(FAULT_COUNT);
    while faults.len() < count {
        let fault = draw_fault(&mut rng, hosts, targets, kinds);
        faults.extend(draw_time(&mut rng, fault, last, planned));
    }
    faults.sort_by_key(|fault| fault.at);
    RunPlan {
        faults,
        planned,
        grace: Some(Duration::from_secs(grace)),
        stream_priority: 0,
        unlike_one_in: None,
    }
}

/// Draw the plan of a run in which sound targets fall silent while the configuration changes,
/// during other faults.
fn plan_silences(seed: u64, hosts: usize, targets: usize) -> RunPlan {
    let mut rng = StdRng::seed_from_u64(seed);
    let planned = seed.is_multiple_of(SILENCE_PLANNED_ONE_IN);
    let mut faults = Vec::new();
    let mut at = FIRST_STOP_DELAY;
    for _ in 0..rng.random_range(SILENCE_COUNT) {
        let change = SiteFault::AddRoute;
        let lead = Duration::from_millis(rng.random_range(CHANGE_LEAD_MS));
        faults.push(TimedFault { at, fault: change });
        at += lead;
        let duration = Duration::from_millis(rng.random_range(SILENCE_MS));
        let fault = SiteFault::Silence {
            service: usize::from(rng.random_bool(0.25)),
            targets: rng.random_range(1..=2),
            duration,
        };
        faults.push(TimedFault { at, fault });
        at += duration + Duration::from_millis(rng.random_range(SILENCE_INTERVAL_MS));
    }
    let count = faults.len() + rng.random_range(FAULT_COUNT);
    while faults.len() < count {
        let fault = draw_fault(&mut rng, hosts, targets, DOMAIN_KINDS);
        faults.extend(draw_time(&mut rng, fault, at, planned));
    }
    faults.sort_by_key(|fault| fault.at);
    RunPlan {
        faults,
        planned,
        grace: Some(SILENCE_GRACE),
        stream_priority: 1,
        unlike_one_in: None,
    }
}

/// Draw the plan of a run whose targets answer in ways that a host could misread, while
/// hosts get signals in series, targets stand still or leave, and other faults happen.
fn plan_answers(seed: u64, hosts: usize, targets: usize) -> RunPlan {
    let mut rng = StdRng::seed_from_u64(seed);
    let grace = GRACE_PERIODS_S[rng.random_range(0..GRACE_PERIODS_S.len())];
    let mut faults = draw_stops(&mut rng, hosts);
    let mut at = FIRST_STOP_DELAY;
    for _ in 0..rng.random_range(ANSWER_ROUNDS) {
        for _ in 0..rng.random_range(ANSWER_FAULTS) {
            let delay = Duration::from_millis(rng.random_range(0..ANSWER_SPREAD_MS));
            let fault = draw_answer_fault(&mut rng, hosts, targets);
            let at = at + delay;
            faults.push(TimedFault { at, fault });
        }
        at += Duration::from_millis(rng.random_range(ANSWER_INTERVAL_MS));
    }
    for _ in 0..rng.random_range(FAULT_COUNT) {
        let fault = draw_fault(&mut rng, hosts, targets, DOMAIN_KINDS);
        faults.extend(draw_time(&mut rng, fault, at, false));
    }
    faults.sort_by_key(|fault| fault.at);
    RunPlan {
        faults,
        planned: false,
        grace: Some(Duration::from_secs(grace)),
        stream_priority: 0,
        unlike_one_in: None,
    }
}

/// Draw the plan of a run in which hosts are stopped in turn, amid series of reloads and
/// configurations, while few calls are much longer than the others.
fn plan_series(seed: u64, hosts: usize, targets: usize) -> RunPlan {
    let mut rng = StdRng::seed_from_u64(seed);
    let grace_s = SERIES_GRACES_S[rng.random_range(0..SERIES_GRACES_S.len())];
    let grace = Duration::from_secs(grace_s);
    let mut faults = draw_series_stops(&mut rng, hosts, grace);
    let last = faults.last().map_or(SERIES_FIRST_STOP, |fault| fault.at);
    let stops = faults.clone();
    for stop in &stops {
        if let SiteFault::Stop { host } = stop.fault
            && rng.random_bool(0.5)
        {
            let at = stop.at + grace.mul_f64(rng.random());
            let duration = Duration::from_millis(rng.random_range(STOP_PAUSE_MS));
            let fault = SiteFault::PauseStopping { host, duration };
            faults.push(TimedFault { at, fault });
        }
    }
    for _ in 0..rng.random_range(SERIES_COUNT) {
        let stop = &stops[rng.random_range(0..stops.len())];
        let (mut at, host) = match stop.fault {
            SiteFault::Stop { host } if rng.random_bool(0.5) => {
                (stop.at + grace.mul_f64(rng.random()), host)
            }
            _ => (last.mul_f64(rng.random()), rng.random_range(0..hosts)),
        };
        let reloads = rng.random_bool(0.5);
        for _ in 0..rng.random_range(SERIES_CHANGES) {
            let fault = match reloads {
                true => SiteFault::ReloadChanged {
                    host,
                    change: draw_setting(&mut rng, hosts),
                },
                false => draw_config(&mut rng),
            };
            faults.push(TimedFault { at, fault });
            at += Duration::from_millis(rng.random_range(SERIES_GAP_MS));
        }
    }
    if rng.random_bool(0.5) {
        let target = rng.random_range(0..targets);
        let at = last.mul_f64(rng.random());
        let fault = SiteFault::Drain { target };
        faults.push(TimedFault { at, fault });
    }
    faults.sort_by_key(|fault| fault.at);
    RunPlan {
        faults,
        planned: true,
        grace: Some(grace),
        stream_priority: 0,
        unlike_one_in: Some(UNLIKE_ONE_IN[rng.random_range(0..UNLIKE_ONE_IN.len())]),
    }
}

/// Draw one or two rounds of stops, in which host after host is stopped.
fn draw_series_stops(rng: &mut StdRng, hosts: usize, grace: Duration) -> Vec<TimedFault> {
    let step = Duration::from_millis(rng.random_range(SERIES_INTERVAL_MS));
    let step = step * SERIES_HOSTS / SERIES_HOSTS.max(hosts as u32);
    let mut order: Vec<usize> = (0..hosts).collect();
    order.shuffle(rng);
    let mut begin = SERIES_FIRST_STOP;
    let mut stops = Vec::new();
    for _ in 0..rng.random_range(1..=MAX_STOP_ROUNDS) {
        let mut at = begin;
        for &host in &order {
            let fault = SiteFault::Stop { host };
            stops.push(TimedFault { at, fault });
            at += step;
        }
        begin = at.max(begin + grace + SERIES_RESTART_TIME);
    }
    stops
}

fn draw_setting(rng: &mut StdRng, hosts: usize) -> SettingChange {
    let grace = SERIES_GRACES_S[rng.random_range(0..SERIES_GRACES_S.len())];
    match rng.random_range(0..3) {
        0 => SettingChange::Grace(Duration::from_secs(grace)),
        1 => SettingChange::Seed(rng.random_range(0..hosts)),
        _ => SettingChange::Unchanged,
    }
}

fn draw_config(rng: &mut StdRng) -> SiteFault {
    let timeout = SERIES_TIMEOUTS_S[rng.random_range(0..SERIES_TIMEOUTS_S.len())];
    match rng.random_range(0..5) {
        0 | 1 => SiteFault::AddRoute,
        2 => SiteFault::RemoveRoute,
        3 => SiteFault::SetTimeout {
            timeout: Duration::from_secs(timeout),
        },
        _ => SiteFault::Revoke {
            duration: Duration::from_millis(rng.random_range(500..3_000)),
        },
    }
}

fn draw_answer_fault(rng: &mut StdRng, hosts: usize, targets: usize) -> SiteFault {
    let target = rng.random_range(0..targets);
    match rng.random_range(0..12) {
        0 => SiteFault::Silence {
            service: rng.random_range(0..2),
            targets: rng.random_range(1..=2),
            duration: Duration::from_millis(rng.random_range(STANDSTILL_MS)),
        },
        1 => SiteFault::Leave {
            target,
            lead: Duration::from_millis(rng.random_range(LEAVE_LEAD_MS)),
        },
        2 => SiteFault::Pause {
            host: rng.random_range(0..hosts),
            duration: Duration::from_millis(rng.random_range(STANDSTILL_MS)),
        },
        3 => SiteFault::Remove { target },
        4 => SiteFault::StoreLink {
            host: rng.random_range(0..hosts),
            flow: draw_flow(rng),
            duration: Duration::from_millis(rng.random_range(0..ANSWER_SPREAD_MS)),
        },
        _ => SiteFault::Target {
            target,
            mode: draw_answer(rng),
            calls: rng.random_range(ANSWER_CALLS),
        },
    }
}

/// Draw an answer that a host could misread.
fn draw_answer(rng: &mut StdRng) -> ResponseMode {
    let end = match rng.random_bool(0.5) {
        true => ConnectionEnd::Close,
        false => ConnectionEnd::Reset,
    };
    let delay = Duration::from_millis(rng.random_range(0..COPY_DELAY_MS));
    match rng.random_range(0..6) {
        0 | 1 => {
            let status = FAILURE_STATUSES[rng.random_range(0..FAILURE_STATUSES.len())];
            ResponseMode::RanAndFailed(status)
        }
        2 => ResponseMode::Unframed(None, end),
        3 => ResponseMode::Unframed(Some(rng.random_range(0..EVENTS)), end),
        4 => ResponseMode::Repeated(delay),
        _ => ResponseMode::FullRepeated(delay),
    }
}

/// Draw the start time of a fault, or get `None` for an unplanned fault in a run
/// of planned maintenance.
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

/// Draw one or more rounds of stops of all hosts, each in its own random order.
fn draw_stops(rng: &mut StdRng, hosts: usize) -> Vec<TimedFault> {
    let step = Duration::from_millis(rng.random_range(STOP_INTERVAL_MS));
    let at_once = rng.random_range(1..=MAX_CONCURRENT_STOPS);
    let mut at = FIRST_STOP_DELAY;
    let mut stops = Vec::new();
    for _ in 0..rng.random_range(1..=MAX_STOP_ROUNDS) {
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
    let duration = Duration::from_millis(rng.random_range(100..3_500));
    match rng.random_range(0..kinds) {
        0 => SiteFault::Kill { host },
        1 => SiteFault::Pause { host, duration },
        2 => SiteFault::Stop { host },
        3 => SiteFault::Reload { host },
        4 => SiteFault::Store {
            mode: match rng.random_bool(0.5) {
                true => StoreMode::Unavailable,
                false => StoreMode::NoResponse,
            },
            duration,
        },
        5 => SiteFault::Compact,
        6 => SiteFault::StoreLink {
            host,
            flow: draw_flow(rng),
            duration,
        },
        7 => SiteFault::TargetLink {
            target,
            flow: draw_flow(rng),
            duration,
        },
        8 => SiteFault::Target {
            target,
            mode: draw_mode(rng),
            calls: rng.random_range(1..6),
        },
        9 => SiteFault::Revoke {
            duration: duration * 2,
        },
        10 => SiteFault::AddRoute,
        // Long enough for a host's cached keys to become too stale to be trusted.
        11 => SiteFault::RevokeDuringOutage {
            duration: Duration::from_millis(4_000) + duration / 2,
        },
        12 => SiteFault::Drain { target },
        13 | 14 => SiteFault::Restart { target },
        17 | 18 => SiteFault::Evacuate {
            domain: rng.random_range(0..2),
            duration: Duration::from_millis(rng.random_range(EVACUATION_MS)),
            cold: rng.random_bool(0.5),
        },
        19 | 20 => SiteFault::Cold { target },
        _ => SiteFault::OverwriteEntry {
            target,
            bytes: FOREIGN_ENTRIES[rng.random_range(0..FOREIGN_ENTRIES.len())],
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

fn draw_mode(rng: &mut StdRng) -> ResponseMode {
    match rng.random_range(0..7) {
        0 => ResponseMode::Full,
        1 => ResponseMode::ServerError,
        2 => ResponseMode::Unsigned,
        3 => ResponseMode::WrongRequestId,
        4 => ResponseMode::Close,
        5 => ResponseMode::NoResponse,
        _ => ResponseMode::TruncateAfter(rng.random_range(0..8)),
    }
}
