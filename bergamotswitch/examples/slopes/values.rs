//! Measures published values, address queries and the admission of requests.

use bergamotswitch_core::address::{AddressQuery, AddressSelector, CallerHash, HostHealth};
use bergamotswitch_core::publication::{Publication, check_consistency};
use bergamotswitch_core::rules::RequestAttributes;

use crate::fixtures::{DESIGN_SIZE, FleetSize, account, domain_of, name, published};
use crate::probe::{cpu_micros_per_call, memory_growth};
use crate::report::{SlopeReport, measure_at_sizes};

/// The numbers of publications that are held in memory.
const COPIES: [usize; 4] = [10, 20, 40, 80];

fn size_with(value: &str, size: usize) -> FleetSize {
    let mut fleet = DESIGN_SIZE;
    match value {
        "hosts" => fleet.hosts = size,
        "pools" => fleet.targets = size,
        "accounts" => fleet.accounts = size,
        _ => fleet.rules = size,
    }
    fleet
}

fn sizes_of(value: &str) -> [usize; 4] {
    match value {
        "hosts" => [8, 95, 190, 380],
        "pools" => [18, 150, 300, 600],
        "accounts" => [5, 70, 140, 280],
        _ => [10, 100, 500, 1_000],
    }
}

const VALUES: [&str; 4] = ["hosts", "pools", "accounts", "rules"];

fn body_of(value: &str, size: usize) -> serde_json::Value {
    let values = size_with(value, size).values(0);
    let found = values.into_iter().find(|(name, _)| *name == value);
    found.expect("unknown value").1
}

/// Measure the memory of publications.
pub fn measure_memory(report: &SlopeReport) {
    report.section("published values, memory in bytes");
    let mut publications = Vec::new();
    let points = memory_growth(&COPIES, || publications.push(DESIGN_SIZE.publication()));
    report.slope("all values of the design size in force, by copies", &points);
    std::mem::forget(publications);
}

/// Measure the size of published values, and the CPU time of checks and
/// lookups.
pub fn measure(report: &SlopeReport) {
    report.section("published values: size in bytes, check in CPU microseconds");
    for value in VALUES {
        let points = measure_at_sizes(&sizes_of(value), |size| {
            body_of(value, size).to_string().len() as f64
        });
        report.slope(
            &format!("{value}: JSON size, by {value} (pools: targets)"),
            &points,
        );
        let points = measure_at_sizes(&sizes_of(value), |size| {
            let published_value = published(value, 1, &body_of(value, size));
            let mut publication = Publication::default();
            cpu_micros_per_call(|| publication.apply(&published_value).is_ok())
        });
        report.slope(&format!("{value}: check and apply, by {value}"), &points);
    }
    report.section("admission of a request, CPU time in microseconds");
    let points = measure_at_sizes(&sizes_of("rules"), |size| {
        let publication = size_with("rules", size).publication();
        let facts = RequestAttributes {
            pool: &name("drafting-lm-1"),
            account: &name(account(7)),
            work: Some(&name("clause-check")),
            path: "/v1/chat/completions",
            domain: &name(domain_of(0)),
            prompt_tokens: 1_000,
            streaming: true,
        };
        cpu_micros_per_call(|| publication.rules.decide(&facts))
    });
    report.slope("rule lookup without a match, by rules", &points);
    let points = measure_at_sizes(&sizes_of("accounts"), |size| {
        let publication = size_with("accounts", size).publication();
        cpu_micros_per_call(|| publication.accounts.authenticate("key-3").is_some())
    });
    report.slope("authentication, by accounts", &points);
    let points = measure_at_sizes(&sizes_of("hosts"), |size| {
        let publication = size_with("hosts", size).publication();
        let book = AddressSelector::new(&publication);
        let query = AddressQuery {
            account: name(account(7)),
            caller: CallerHash::default(),
            domain: Some(name(domain_of(3))),
        };
        let health = health(&publication);
        cpu_micros_per_call(|| book.answer(&query, &health))
    });
    report.slope("address query, by hosts", &points);
    let points = measure_at_sizes(&sizes_of("hosts"), |size| {
        let publication = size_with("hosts", size).publication();
        cpu_micros_per_call(|| publication.clone())
    });
    report.slope(
        "copy of the publication for the caller side, by hosts",
        &points,
    );
    let points = measure_at_sizes(&sizes_of("pools"), |size| {
        let publication = size_with("pools", size).publication();
        cpu_micros_per_call(|| check_consistency(&publication))
    });
    report.slope(
        "consistency check (each second, status page), by targets",
        &points,
    );
}

fn health(publication: &Publication) -> Vec<HostHealth> {
    let hosts = publication.hosts.hosts.iter();
    hosts
        .map(|host| HostHealth {
            host: host.clone(),
            incarnation: None,
            reachable: None,
            stopping: false,
            load_permille: 0,
        })
        .collect()
}
