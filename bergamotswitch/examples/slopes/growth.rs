//! Measures how the control traffic and CPU time of hosts grow with the fleet
//! size.

use std::time::Duration;

use bergamotswitch_net::link::counters::MessageKind;

use crate::fit::Point;
use crate::fixtures::{DESIGN_SIZE, FleetSize};
use crate::fleet::{BenchFleet, Traffic};
use crate::probe::{cpu_nanos, resident_bytes};
use crate::report::SlopeReport;

const HOSTS: [usize; 4] = [8, 95, 190, 380];
const KEYED_HOSTS: usize = 95;
const WARM_UP_TIME: Duration = Duration::from_secs(15);
const OBSERVATION_TIME: Duration = Duration::from_secs(20);

/// The time of two answers, after which the owners have estimated the targets'
/// speeds.
const RAMP_UP_TIME: Duration = Duration::from_secs(36);

/// The time between two requests of a host at peak load: 3,300 requests a second
/// over 380 hosts.
const PEAK_REQUEST_INTERVAL: Duration = Duration::from_millis(115);

/// A `FleetSample` is the traffic and resource use of a fleet of one size.
struct FleetSample {
    hosts: f64,
    mean_sent: f64,
    max_sent: f64,
    max_total: f64,
    max_links: f64,
    mean_links: f64,
    cpu_permille: f64,
    service_calls: f64,
    resident: f64,
}

fn sample(fleet: &mut BenchFleet) -> FleetSample {
    fleet.reset();
    let cpu_start = cpu_nanos();
    fleet.run_for(OBSERVATION_TIME);
    let cpu_nanos_spent = (cpu_nanos() - cpu_start) as f64;
    let seconds = OBSERVATION_TIME.as_secs_f64();
    let hosts = fleet.size.hosts as f64;
    let sent: Vec<u64> = fleet
        .nodes
        .iter()
        .flatten()
        .map(|node| node.sent.bytes)
        .collect();
    let totals = fleet.nodes.iter().flatten();
    let totals = totals.map(|node| node.sent.bytes + node.received.bytes);
    let links = fleet.link_counts();
    let calls: u64 = fleet
        .nodes
        .iter()
        .flatten()
        .map(|node| node.service_calls)
        .sum();
    FleetSample {
        hosts,
        mean_sent: sent.iter().sum::<u64>() as f64 / seconds / hosts,
        max_sent: sent.iter().max().copied().unwrap_or(0) as f64 / seconds,
        max_total: totals.max().unwrap_or(0) as f64 / seconds,
        max_links: links[0] as f64,
        mean_links: links.iter().sum::<usize>() as f64 / hosts,
        cpu_permille: cpu_nanos_spent / 1e9 / seconds / hosts * 1_000.0,
        service_calls: calls as f64 / seconds,
        resident: 0.0,
    }
}

fn print(report: &SlopeReport, title: &str, points: &[FleetSample]) {
    type Field = (&'static str, fn(&FleetSample) -> f64);
    let fields: [Field; 7] = [
        ("bytes/s sent, mean host", |p| p.mean_sent),
        ("bytes/s sent, busiest host", |p| p.max_sent),
        ("bytes/s sent and received, busiest host", |p| p.max_total),
        ("links, busiest host", |p| p.max_links),
        ("links, mean host", |p| p.mean_links),
        ("CPU time per host, per mille of a core", |p| p.cpu_permille),
        ("service calls/s, whole fleet", |p| p.service_calls),
    ];
    for (name, field) in fields {
        let points: Vec<Point> = points
            .iter()
            .map(|point| Point {
                size: point.hosts,
                value: field(point),
            })
            .collect();
        report.slope(&format!("{title}: {name}"), &points);
    }
}

fn print_kinds(report: &SlopeReport, fleet: &BenchFleet) {
    let host_seconds = OBSERVATION_TIME.as_secs_f64() * fleet.size.hosts as f64;
    for kind in MessageKind::ALL {
        let Traffic { messages, bytes } = fleet.kinds.get(kind).copied().unwrap_or_default();
        if messages > 0 {
            let text = format!(
                "  {}: messages/s per host (bytes/s {:.1})",
                kind.as_str(),
                bytes as f64 / host_seconds
            );
            report.figure(&text, messages as f64 / host_seconds);
        }
    }
}

/// Measure fleets without requests.
pub fn measure_idle(report: &SlopeReport) {
    report.section("fleet without requests, by hosts");
    let mut points = Vec::new();
    for hosts in HOSTS {
        let before = resident_bytes();
        let mut fleet = start_fleet(hosts);
        let point = sample(&mut fleet);
        let resident = resident_bytes().saturating_sub(before) as f64;
        let resident = resident / hosts as f64 / 1e6;
        points.push(FleetSample { resident, ..point });
        if hosts == DESIGN_SIZE.hosts {
            print_kinds(report, &fleet);
        }
        // Freed memory would be reused and hide the growth of later measurements.
        std::mem::forget(fleet);
    }
    print(report, "idle", &points);
    let points: Vec<Point> = points
        .iter()
        .map(|point| Point {
            size: point.hosts,
            value: point.resident,
        })
        .collect();
    report.slope("idle: resident MB per host", &points);
}

fn print_cross_region(report: &SlopeReport, fleet: &BenchFleet) {
    let share = fleet.cross_region_messages as f64 / fleet.request_path_messages.max(1) as f64;
    report.figure(
        "  fraction of asks, permits, releases across regions",
        share,
    );
    let share = fleet.cross_region_dispatches as f64 / fleet.dispatched.max(1) as f64;
    report.figure("  fraction of dispatches across regions", share);
}

/// Measure fleets at peak load.
pub fn measure_peak(report: &SlopeReport) {
    report.section("fleet with 8.7 requests/s per host, by hosts");
    let mut points = Vec::new();
    let (mut address_times, mut view_times) = (Vec::new(), Vec::new());
    for hosts in HOSTS {
        let mut fleet = start_fleet(hosts);
        fleet.set_request_interval(Some(PEAK_REQUEST_INTERVAL));
        fleet.run_for(RAMP_UP_TIME);
        let refused = fleet.refused;
        points.push(sample(&mut fleet));
        if hosts == DESIGN_SIZE.hosts {
            print_kinds(report, &fleet);
            report.figure("  requests refused during ramp-up", refused as f64);
            report.figure("  requests refused after ramp-up", fleet.refused as f64);
            print_cross_region(report, &fleet);
        }
        address_times.push(Point {
            size: hosts as f64,
            value: fleet.address_micros(0),
        });
        view_times.push(Point {
            size: hosts as f64,
            value: fleet.view_micros(0),
        });
    }
    print(report, "peak", &points);
    report.slope("peak: CPU us per address query", &address_times);
    report.slope("peak: CPU us per node view (each second)", &view_times);
    let mut fleet = start_fleet(KEYED_HOSTS);
    fleet.keyed = true;
    fleet.set_request_interval(Some(PEAK_REQUEST_INTERVAL));
    fleet.run_for(WARM_UP_TIME);
    report.section("dispatch-once requests with idempotency key, 95 hosts");
    print_cross_region(report, &fleet);
}

fn start_fleet(hosts: usize) -> BenchFleet {
    let mut fleet = BenchFleet::start(FleetSize {
        hosts,
        ..DESIGN_SIZE
    });
    fleet.run_for(WARM_UP_TIME);
    fleet
}
