//! Tests of route lookup, and of the tiers of gateway calls.

use bergamotswitch_core::client_account::KeyHash;
use bergamotswitch_core::route::{
    AccountQuota, CallSemantics, CallerLimits, KeyedAccount, PoolSplit, QuotaUnit, Route,
    RouteConfig, RouteTable,
};
use bergamotswitch_core::rules::Tier;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    let split = |pool: &str, weight: u32| PoolSplit {
        pool: pool.to_owned().try_into().expect("name"),
        weight,
    };
    Route {
        name: name.to_owned().try_into().expect("name"),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        work: CallSemantics::Idempotent,
        timeout_ms: 1_000,
        first_answer_ms: 100,
        max_runs: 1,
        tier: Tier(2),
        public: false,
        splits: vec![split("old", 90), split("new", 10)],
    }
}

fn table() -> RouteTable {
    let account = KeyedAccount {
        stated_name: None,
        name: "company".to_owned().try_into().expect("name"),
        key_hashes: vec![KeyHash::of("first"), KeyHash::of("second")],
        tier: None,
        quota: AccountQuota {
            unit: QuotaUnit::Tokens,
            rate: 0,
            burst: 0,
            plain_tokens: 200,
        },
    };
    RouteTable::new(RouteConfig {
        version: 7,
        routes: vec![
            route("short", "a.example", "/draft/"),
            route("long", "a.example", "/draft/new/"),
            route("other", "b.example", "/draft/"),
        ],
        accounts: vec![account],
        pools: Vec::new(),
        limits: CallerLimits::default(),
    })
}

#[test]
fn longest_prefix() {
    let table = table();
    let name = |host: &str, path: &str| {
        let route = table.route(host, path);
        route.map_or("none", |route| route.name.as_str()).to_owned()
    };
    assert_eq!(name("a.example", "/draft/1"), "short");
    assert_eq!(name("a.example", "/draft/new/1/2"), "long");
    assert_eq!(name("a.example", "/draft/news"), "short");
    assert_eq!(name("b.example", "/draft/new/1"), "other");
    assert_eq!(name("a.example", "/draft"), "none");
    assert_eq!(name("c.example", "/draft/1"), "none");
}

#[test]
fn known_keys() {
    let table = table();
    assert!(table.account_of_key("first").is_some());
    assert!(table.account_of_key("second").is_some());
    assert!(table.account_of_key("third").is_none());
}

#[test]
fn split_weights() {
    let route = route("r", "a", "/");
    let pools = (0..1_000).filter_map(|number| route.pool_for(number));
    let new = pools.filter(|pool| pool.as_str() == "new").count();
    assert_eq!(new, 100);
}

#[test]
fn json_round_trip() {
    let table = table();
    let text = serde_json::to_string(table.config()).expect("text");
    assert_eq!(RouteTable::try_from_json(&text).expect("table"), table);
    assert!(RouteTable::try_from_json("{}").is_err());
}

// Guards against an account tier that hides the tiers of its routes: the account's tier
// orders calls of different accounts, the route's tier those of one account.
#[test]
fn account_tier_first() {
    let of = |account: Option<u8>, route: u8| Tier::of_call(account.map(Tier), Tier(route));
    assert_eq!(of(None, 2), Tier(2));
    assert!(of(Some(1), 0) < of(Some(1), 2));
    assert!(of(Some(0), 3) < of(Some(1), 0));
    assert!(of(Some(200), 0).0 < 16);
}
