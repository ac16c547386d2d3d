//! Tests of how long targets count as cold.

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::cold_targets::{ColdCause, ColdTable, ColdTarget};
use bergamotswitch_core::host::Standing;
use bergamotswitch_core::route::{CallerLimits, ColdSpec, PoolSpec, RouteConfig, RouteTable};
use bergamotswitch_core::target::RequestRate;
use bergamotswitch_core::target_list::{TargetEntry, TargetList};

fn name<T: TryFrom<String>>(text: &str) -> T {
    T::try_from(text.to_owned()).ok().expect("a name")
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).expect("a rate")
}

fn routes(cold: ColdSpec) -> RouteTable {
    let config = RouteConfig {
        version: 1,
        routes: Vec::new(),
        accounts: Vec::new(),
        pools: vec![PoolSpec {
            name: name("pool"),
            connection_limit: 10,
            engine: None,
            cold,
        }],
        limits: CallerLimits::default(),
    };
    let body = serde_json::to_string(&config).expect("json");
    RouteTable::try_from_json(&body).expect("routes")
}

fn bears(per_second: f64) -> RouteTable {
    routes(ColdSpec {
        start_ms: 3_000,
        rate: Some(rate(per_second)),
    })
}

/// Get a registration that remains cold for this long, written at a revision.
fn entry(warming_ms: u64, revision: u64) -> TargetEntry {
    TargetEntry {
        name: name("t"),
        pool: name("pool"),
        domain: name("hall"),
        address: ([10, 0, 0, 1], 80).into(),
        slots: 4,
        standing: Standing::Live,
        warming_ms,
        warming_revision: revision,
        started_at_ms: None,
        version: Default::default(),
    }
}

fn list(entry: TargetEntry) -> TargetList {
    TargetList {
        targets: vec![entry],
        ..TargetList::default()
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn limit(table: &ColdTable, now: u64, routes: &RouteTable) -> Option<ColdTarget> {
    table.limit_of(at(now), &entry(0, 0), routes)
}

/// Guards against a time that starts anew with each list that names the target.
#[test]
fn counted_once() {
    let routes = bears(18.0);
    let mut table = ColdTable::default();
    let found = table.update(at(1_000), &list(entry(3_000, 7)), &routes);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].cause, ColdCause::Registration);
    assert_eq!(found[0].cold.until, at(4_000));
    assert!(
        table
            .update(at(3_000), &list(entry(3_000, 7)), &routes)
            .is_empty()
    );
    assert!(limit(&table, 3_999, &routes).is_some());
    assert_eq!(limit(&table, 4_000, &routes), None);
}

/// Guards against a target that turns cold again for as long as before and isn't noticed.
#[test]
fn cold_again() {
    let routes = bears(18.0);
    let mut table = ColdTable::default();
    table.update(at(0), &list(entry(3_000, 7)), &routes);
    let found = table.update(at(5_000), &list(entry(3_000, 19)), &routes);
    assert_eq!(found.len(), 1);
    assert_eq!(
        limit(&table, 7_999, &routes).expect("cold").until,
        at(8_000)
    );
    table.update(at(6_000), &list(entry(0, 0)), &routes);
    assert_eq!(limit(&table, 6_000, &routes), None);
}

/// Guards against the usual load for targets that were cold when their domain was taken back
/// and register it later.
#[test]
fn taken_back() {
    let routes = bears(18.0);
    let mut table = ColdTable::default();
    let targets = list(entry(0, 0));
    table.update(at(0), &targets, &routes);
    let found = table.take_back(at(9_000), targets.targets.iter(), &routes);
    assert_eq!(found[0].cause, ColdCause::TakenBack);
    assert_eq!(
        limit(&table, 11_999, &routes).expect("cold").until,
        at(12_000)
    );
    assert_eq!(limit(&table, 12_000, &routes), None);
}

/// Guards against a target that is bound for good by a registration that makes no sense.
#[test]
fn absurd_time() {
    let routes = bears(18.0);
    let mut table = ColdTable::default();
    table.update(at(0), &list(entry(u64::MAX, 7)), &routes);
    assert_eq!(limit(&table, 60_000, &routes), None);
}

/// Guards against targets that are held back although nothing says what they bear, and
/// against those that bear nothing and get the usual load; a new configuration counts at
/// once.
#[test]
fn changed_rate() {
    let unknown = routes(ColdSpec {
        start_ms: 3_000,
        rate: None,
    });
    let mut table = ColdTable::default();
    assert!(
        table
            .update(at(0), &list(entry(3_000, 7)), &unknown)
            .is_empty()
    );
    assert_eq!(limit(&table, 100, &unknown), None);
    let none = bears(0.0);
    table.update(at(200), &list(entry(3_000, 7)), &none);
    let cold = limit(&table, 300, &none).expect("cold");
    assert_eq!((cold.rate, cold.until), (rate(0.0), at(3_000)));
}
