//! Measures published values and address answers.

use bergamotswitch_core::address::{AddressQuery, AddressSelector, CallerHash, HostHealth};
use bergamotswitch_core::publication::{Publication, check_consistency};
use bergamotswitch_core::rules::RequestAttributes;

use crate::probe::{growth, micros_each};
use crate::sheet::{SlopeSheet, at_sizes};
use crate::world::{FleetSize, TARGET_SIZE, account, domain_of, name, published};

/// How often a value is kept for the measurement of memory.
const COPIES: [usize; 4] = [10, 20, 40, 80];

fn sized(value: &str, size: usize) -> FleetSize {
    let mut fleet = TARGET_SIZE;
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
    let values = sized(value, size).values(0);
    let found = values.into_iter().find(|(name, _)| *name == value);
    found.expect("a value").1
}

/// Measure the memory.
pub fn measure_memory(sheet: &SlopeSheet) {
    sheet.part("published values, memory in bytes");
    let mut kept = Vec::new();
    let points = growth(&COPIES, || kept.push(TARGET_SIZE.publication()));
    sheet.slope(
        "all values of the target's size in force, by copies",
        &points,
    );
    std::mem::forget(kept);
}

/// Measure the rest.
pub fn measure(sheet: &SlopeSheet) {
    sheet.part("published values: text in bytes, check in microseconds");
    for value in VALUES {
        let points = at_sizes(&sizes_of(value), |size| {
            body_of(value, size).to_string().len() as f64
        });
        sheet.slope(
            &format!("{value}: text, by {value} (pools: targets)"),
            &points,
        );
        let points = at_sizes(&sizes_of(value), |size| {
            let whole = published(value, 1, &body_of(value, size));
            let mut publication = Publication::default();
            micros_each(|| publication.apply(&whole).is_ok())
        });
        sheet.slope(&format!("{value}: check and adopt, by {value}"), &points);
    }
    sheet.part("a request's way in, processor time in microseconds");
    let points = at_sizes(&sizes_of("rules"), |size| {
        let publication = sized("rules", size).publication();
        let facts = RequestAttributes {
            pool: &name("drafting-lm-1"),
            account: &name(account(7)),
            work: Some(&name("clause-check")),
            path: "/v1/chat/completions",
            domain: &name(domain_of(0)),
            prompt_tokens: 1_000,
            streaming: true,
        };
        micros_each(|| publication.rules.decide(&facts))
    });
    sheet.slope("rules, none matches, by rules", &points);
    let points = at_sizes(&sizes_of("accounts"), |size| {
        let publication = sized("accounts", size).publication();
        micros_each(|| publication.accounts.authenticate("key-3").is_some())
    });
    sheet.slope("authentication, by accounts", &points);
    let points = at_sizes(&sizes_of("hosts"), |size| {
        let publication = sized("hosts", size).publication();
        let book = AddressSelector::new(&publication);
        let query = AddressQuery {
            account: name(account(7)),
            caller: CallerHash::default(),
            domain: Some(name(domain_of(3))),
        };
        let health = health(&publication);
        micros_each(|| book.answer(&query, &health))
    });
    sheet.slope("address answer, by hosts", &points);
    let points = at_sizes(&sizes_of("hosts"), |size| {
        let publication = sized("hosts", size).publication();
        micros_each(|| publication.clone())
    });
    sheet.slope(
        "copy of the publication for the callers' side, by hosts",
        &points,
    );
    let points = at_sizes(&sizes_of("pools"), |size| {
        let publication = sized("pools", size).publication();
        micros_each(|| check_consistency(&publication))
    });
    sheet.slope(
        "cross-check (each second, for the status page), by targets",
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
