//! Measures the cost of configuration changes and host failures in a fleet of
//! the design size.

use std::time::Duration;

use crate::fixtures::{DESIGN_SIZE, DOMAINS};
use crate::fleet::BenchFleet;
use crate::report::SlopeReport;

const WARM_UP_TIME: Duration = Duration::from_secs(15);
const OBSERVATION_TIME: Duration = Duration::from_secs(20);
/// The time between two requests of a host: low load, but enough for each host
/// to keep using every pool.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);
const CHANGE_COUNT: u64 = 12;
const KILLED_OWNERS: usize = 5;
/// The time between two host failures. The simulated hosts send their heartbeats
/// at the same time, every 6 s, so the failures are spread over that interval.
const KILL_INTERVAL: Duration = Duration::from_millis(1_100);

/// An `Observation` is the traffic and the request waits of one observed period.
struct Observation {
    messages: u64,
    bytes: u64,
    max_bytes: u64,
    longest_wait: Duration,
    long_waits: u64,
    refused: u64,
    waiting: usize,
}

fn observe(fleet: &mut BenchFleet, span: Duration) -> Observation {
    fleet.run_for(span);
    let sent = fleet.nodes.iter().flatten().map(|node| node.sent);
    let (mut messages, mut bytes, mut max_bytes) = (0, 0, 0);
    for traffic in sent {
        messages += traffic.messages;
        bytes += traffic.bytes;
        max_bytes = max_bytes.max(traffic.bytes);
    }
    Observation {
        messages,
        bytes,
        max_bytes,
        longest_wait: fleet.longest_wait,
        long_waits: fleet.long_waits,
        refused: fleet.refused,
        waiting: fleet.overdue_requests(),
    }
}

fn print(report: &SlopeReport, title: &str, observation: &Observation, baseline: &Observation) {
    report.line(format_args!(
        "{title:<44} {:>8} messages {:>9} bytes above baseline, {:>7} bytes by the busiest host; \
         longest wait for a permit {:.2} s, {} waited over 0.1 s, {} still waiting, {} refused",
        observation.messages as i64 - baseline.messages as i64,
        observation.bytes as i64 - baseline.bytes as i64,
        observation.max_bytes,
        observation.longest_wait.as_secs_f64(),
        observation.long_waits,
        observation.waiting,
        observation.refused,
    ));
}

/// Measure the cost of changes and failures.
pub fn measure(report: &SlopeReport) {
    report.section("changes and failures, 380 hosts, 20 s each");
    let mut fleet = BenchFleet::start(DESIGN_SIZE);
    fleet.run_for(WARM_UP_TIME);
    measure_changes(report, &mut fleet);
    fleet.set_request_interval(Some(REQUEST_INTERVAL));
    fleet.run_for(WARM_UP_TIME);
    fleet.reset();
    let baseline = observe(&mut fleet, OBSERVATION_TIME);
    print(report, "no failure", &baseline, &baseline);
    let owner = fleet.busiest_owner();
    fleet.reset();
    fleet.kill(owner, false);
    fleet.run_for(Duration::from_secs(2));
    fleet.boot(owner, 1);
    print(
        report,
        "owner process dies, restarts after 2 s",
        &observe(&mut fleet, OBSERVATION_TIME - Duration::from_secs(2)),
        &baseline,
    );
    let owners = fleet.owners();
    fleet.reset();
    for place in 0..KILLED_OWNERS {
        fleet.kill(owners[place * owners.len() / KILLED_OWNERS], true);
        fleet.run_for(KILL_INTERVAL);
    }
    let observation = observe(
        &mut fleet,
        OBSERVATION_TIME - KILL_INTERVAL * KILLED_OWNERS as u32,
    );
    print(
        report,
        "five owner hosts fail, 1.1 s apart",
        &observation,
        &baseline,
    );
    fleet.reset();
    for index in (0..12).map(|place| place * DOMAINS.len()) {
        fleet.kill(index, true);
    }
    print(
        report,
        "12 hosts of a failure domain fail",
        &observe(&mut fleet, OBSERVATION_TIME),
        &baseline,
    );
    fleet.reset();
    for index in (1..DESIGN_SIZE.hosts).step_by(DOMAINS.len()) {
        fleet.kill(index, true);
    }
    print(
        report,
        "48 hosts of a failure domain fail",
        &observe(&mut fleet, OBSERVATION_TIME),
        &baseline,
    );
    fleet.reset();
    fleet.set_partitioned(true);
    print(
        report,
        "network partition between regions",
        &observe(&mut fleet, OBSERVATION_TIME),
        &baseline,
    );
    fleet.reset();
    fleet.set_partitioned(false);
    print(
        report,
        "network partition between regions heals",
        &observe(&mut fleet, OBSERVATION_TIME),
        &baseline,
    );
}

fn measure_changes(report: &SlopeReport, fleet: &mut BenchFleet) {
    let names = ["rules", "accounts", "pools", "hosts"];
    fleet.reset();
    let baseline = observe(fleet, OBSERVATION_TIME);
    fleet.reset();
    let mut slowest = Duration::ZERO;
    for step in 1..=CHANGE_COUNT {
        let value = names[step as usize % names.len()];
        let mut size = DESIGN_SIZE;
        size.hosts -= (step as usize / names.len()) % 2;
        let values = size.values(step);
        let body = values.into_iter().find(|(name, _)| *name == value);
        let published_at = fleet.now;
        fleet.publish(value, step + 1, &body.expect("unknown value").1);
        fleet.run_for(OBSERVATION_TIME / CHANGE_COUNT as u32);
        let in_force = fleet.in_force_at.get(&crate::fixtures::name(value));
        let took = in_force.map(|at| at.since(published_at));
        slowest = slowest.max(took.unwrap_or(OBSERVATION_TIME));
    }
    let observation = observe(fleet, Duration::ZERO);
    let changes = CHANGE_COUNT as f64;
    let extra_bytes = (observation.bytes.saturating_sub(baseline.bytes)) as f64;
    let hosts = DESIGN_SIZE.hosts as f64;
    report.figure(
        "a change: frame bytes sent, mean host",
        extra_bytes / changes / hosts,
    );
    let busiest = observation.max_bytes.saturating_sub(baseline.max_bytes) as f64;
    report.figure(
        "a change: frame bytes sent, busiest host",
        busiest / changes,
    );
    let messages = observation.messages.saturating_sub(baseline.messages) as f64;
    report.figure("a change: messages, mean host", messages / changes / hosts);
    let behind = fleet.outdated_hosts();
    report.figure("hosts without the latest revisions", behind as f64);
    report.figure(
        "a change: seconds until in force on all hosts",
        slowest.as_secs_f64(),
    );
}
