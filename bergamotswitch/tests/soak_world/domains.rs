//! Provides evacuated failure domains and targets that turn cold, and the checks of what they
//! get.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::time::sleep;

use super::checks::{SLACK, TargetRun, is_settled};
use super::{FaultSpan, SoakWorld, overlaps};
use crate::users::COLD_ALLOWED;

/// The failure domains of the targets; each has one target of each service.
const DOMAINS: [&str; 2] = ["hall-1", "hall-2"];

/// The time after which an evacuated domain gets no new calls.
const EVACUATE_BOUND: Duration = Duration::from_secs(5);

/// How long a target stays cold, and how long after it turned cold it registers that.
const COLD_TIME: Duration = Duration::from_secs(3);
const REGISTER_DELAY: Duration = Duration::from_millis(700);

/// How long after a registration all hosts know it, while the store is in health.
const HEARD_TIME: Duration = Duration::from_millis(500);

/// The number of calls in a second that crashes a cold target.
const FATAL_CALLS: usize = 3 * COLD_ALLOWED;

const SECOND: Duration = Duration::from_secs(1);

/// A `ColdSpan` is an interval in which a target was cold and every host could know it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdSpan {
    target: usize,
    span: FaultSpan,
}

/// An `EvacuationSpan` is an interval in which a domain was evacuated.
#[derive(Clone, Copy, Debug)]
pub(super) struct EvacuationSpan {
    domain: usize,
    span: FaultSpan,
}

/// Get the domain of a target.
pub(super) fn domain_of(target: usize) -> &'static str {
    DOMAINS[target / 2 % 2]
}

impl SoakWorld {
    /// Evacuate a domain for some time. With `cold`, its targets turn cold just before it is
    /// taken back, and register it later.
    pub(super) async fn evacuate(&self, domain: usize, duration: Duration, cold: bool) {
        let is_evacuated = |span: &EvacuationSpan| span.span.until.is_none();
        if self.evacuations.borrow().iter().any(is_evacuated) {
            return;
        }
        let key = format!("op/evacuate/{}", DOMAINS[domain]);
        let index = self.evacuations.borrow().len();
        self.store.put(&key, &json!({}));
        let span = FaultSpan {
            from: Instant::now(),
            until: None,
        };
        self.evacuations
            .borrow_mut()
            .push(EvacuationSpan { domain, span });
        sleep(duration).await;
        let targets = (0..self.targets.len()).filter(|at| domain_of(*at) == DOMAINS[domain]);
        let targets: Vec<usize> = targets.filter(|at| cold && !self.is_absent(*at)).collect();
        for target in &targets {
            let target = &self.targets[*target].target;
            target.turn_cold(COLD_TIME, Some(FATAL_CALLS));
        }
        self.evacuations.borrow_mut()[index].span.until = Some(Instant::now());
        self.store.remove(&key);
        sleep(REGISTER_DELAY).await;
        for target in targets {
            self.record_cold(target, Duration::ZERO, COLD_TIME - REGISTER_DELAY);
            self.register_present(target);
        }
        sleep(COLD_TIME).await;
        for target in 0..self.targets.len() {
            self.register_present(target);
        }
    }

    /// Turn a target cold for some time.
    pub(super) async fn turn_cold(&self, index: usize) {
        if self.is_absent(index) {
            return;
        }
        let target = &self.targets[index].target;
        target.turn_cold(COLD_TIME, Some(FATAL_CALLS));
        self.register_present(index);
        self.record_cold(index, HEARD_TIME, COLD_TIME);
        sleep(COLD_TIME).await;
        self.register_present(index);
    }

    fn register_present(&self, index: usize) {
        if !self.is_absent(index) {
            self.register(&self.targets[index], "ready");
        }
    }

    fn record_cold(&self, target: usize, heard: Duration, left: Duration) {
        let now = Instant::now();
        let span = FaultSpan {
            from: now + heard,
            until: Some(now + left),
        };
        self.cold_spans.borrow_mut().push(ColdSpan { target, span });
    }
}

/// Check that an evacuated domain gets no new calls.
pub(super) fn sent_to_evacuated(world: &SoakWorld, host: usize, run: &TargetRun) -> Option<String> {
    let at = run.call.received_at;
    let evacuations = world.evacuations.borrow();
    let evacuation = evacuations.iter().find(|evacuation| {
        let until = evacuation.span.until.unwrap_or(at);
        let binds = at > evacuation.span.from + EVACUATE_BOUND + SLACK && at < until;
        binds && domain_of(run.target) == DOMAINS[evacuation.domain]
    })?;
    let undisturbed = is_settled(world, host, evacuation.span.from, at);
    let id = run.call.field("request-id");
    undisturbed.then(|| format!("EVAC: {id} at target {}", run.target))
}

/// Check that no cold target gets more calls in a second than it bears.
pub(super) fn overrun_cold(
    world: &SoakWorld,
    runs: &HashMap<String, Vec<TargetRun>>,
) -> Vec<String> {
    let mut problems = Vec::new();
    for cold in world.cold_spans.borrow().iter() {
        let (from, until) = (cold.span.from, cold.span.until.unwrap_or(cold.span.from));
        // Nobody hears the registration while the store is away.
        let unheard = from.checked_sub(HEARD_TIME * 2).unwrap_or(from);
        if overlaps(&world.store_disturbances.borrow(), unheard, from) {
            continue;
        }
        let times = runs.values().flatten();
        let times = times.filter(|run| run.target == cold.target);
        let times = times.map(|run| run.call.received_at);
        let mut times: Vec<Instant> = times.filter(|at| *at >= from && *at < until).collect();
        times.sort();
        let counts = times.iter().enumerate().map(|(first, begin)| {
            let later = times[first..].iter();
            later.take_while(|at| **at < *begin + SECOND).count()
        });
        let most = counts.max().unwrap_or(0);
        if most > COLD_ALLOWED {
            let target = cold.target;
            problems.push(format!(
                "FAILBACK: cold target {target} got {most} in a second"
            ));
        }
    }
    problems
}
