//! Tests of the hosts returned by address queries.

use std::collections::{BTreeMap, HashSet};

use bergamotswitch_core::address::{AddressQuery, AddressSelector, CallerHash, HostHealth};
use bergamotswitch_core::client_account::AccountName;
use bergamotswitch_core::failure_domain::DomainName;
use bergamotswitch_core::host::{EntryHost, HostName, Incarnation, Standing};
use bergamotswitch_core::publication::{DomainList, Publication};
use serde_json::json;

const DOMAINS: [&str; 4] = ["north", "south", "west", "abroad"];

fn publication() -> Publication {
    let domain = |name, region| json!({"name": name, "region": region});
    let body = json!({"domains": [domain("north", "home"), domain("south", "home"),
        domain("west", "home"), domain("abroad", "far")]});
    Publication {
        domains: DomainList::try_from(&body).unwrap(),
        ..Publication::default()
    }
}

/// Make host `index`, assigned to one of the first three domains in turn.
fn host(index: usize) -> HostHealth {
    host_in(index, DOMAINS[index % 3])
}

fn host_in(index: usize, domain: &str) -> HostHealth {
    let port = 7000 + index as u16;
    HostHealth {
        host: EntryHost {
            capacity: 0,
            name: HostName::try_from(format!("h{index}")).unwrap(),
            domain: DomainName::try_from(domain).unwrap(),
            caller_address: ([127, 0, 0, 1], port).into(),
            link_address: ([127, 0, 0, 2], port).into(),
            standing: Standing::Live,
        },
        incarnation: Some(Incarnation(index as u128)),
        reachable: None,
        stopping: false,
        load_permille: 0,
    }
}

fn query(account: usize, domain: Option<&str>) -> AddressQuery {
    AddressQuery {
        account: AccountName::try_from(format!("account-{account}")).unwrap(),
        caller: CallerHash::default(),
        domain: domain.map(|name| DomainName::try_from(name).unwrap()),
    }
}

fn names(query: &AddressQuery, hosts: &[HostHealth]) -> Vec<String> {
    let publication = publication();
    let answer = AddressSelector::new(&publication).answer(query, hosts);
    answer.hosts.into_iter().map(|host| host.host).collect()
}

fn first(query: &AddressQuery, hosts: &[HostHealth]) -> String {
    names(query, hosts).swap_remove(0)
}

/// Check that there are `hosts` hosts, with `mean` callers each to within `off`.
fn assert_even(counts: &BTreeMap<String, usize>, hosts: usize, mean: usize, off: usize) {
    assert_eq!(counts.len(), hosts);
    let near = |count: &usize| count.abs_diff(mean) < off;
    assert!(counts.values().all(near), "{counts:?}");
}

fn host_named<'a>(hosts: &'a [HostHealth], name: &str) -> &'a HostHealth {
    let found = hosts.iter().find(|h| h.host.name.as_str() == name);
    found.unwrap()
}

#[test]
fn even_spread() {
    // 2800 accounts over 9 hosts are 311 each, with a standard deviation of about
    // 17 for a uniform hash; a deviation of 90 means that the hash is skewed.
    let hosts: Vec<HostHealth> = (0..9).map(host).collect();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for account in 0..2800 {
        let host = first(&query(account, None), &hosts);
        *counts.entry(host).or_default() += 1;
    }
    assert_even(&counts, 9, 311, 90);
}

#[test]
fn stable_assignment() {
    // Guards against reassigning all accounts when one host leaves: retries with
    // an idempotency key would reach hosts that do not hold the request.
    let before: Vec<HostHealth> = (0..8).map(host).collect();
    let mut after = before.clone();
    after[3].host.standing = Standing::Leaving;
    let mut moved = 0;
    for account in 0..500 {
        for domain in [None, Some("north"), Some("abroad")] {
            let query = query(account, domain);
            let old = first(&query, &before);
            if old == "h3" {
                moved += 1;
                assert_ne!(first(&query, &after), "h3");
            } else {
                assert_eq!(first(&query, &after), old);
            }
        }
    }
    assert!(moved > 0);
}

#[test]
fn answer_independent_of_host() {
    // Guards against an answer that depends on which peers the answering host
    // monitors or on the order in which it lists them.
    type Input = (u8, Option<u8>, [u8; 8], u8);
    let known: Vec<HostHealth> = (0..8).map(host).collect();
    bergamotswitch_draw::for_each::<Input>(1000, |(account, domain, keys, watched)| {
        let domain = domain.map(|index| DOMAINS[index as usize % 4]);
        let query = query(usize::from(*account), domain);
        let mut other: Vec<HostHealth> = (0..8).map(host).collect();
        for (index, health) in other.iter_mut().enumerate() {
            health.reachable = (watched & 1 << index != 0).then_some(true);
        }
        let mut order: Vec<usize> = (0..8).collect();
        order.sort_by_key(|index| keys[*index]);
        let other = order.into_iter().map(|index| other[index].clone());
        let other: Vec<HostHealth> = other.collect();
        assert_eq!(names(&query, &known), names(&query, &other));
    });
}

#[test]
fn unusable_hosts() {
    // Guards against sending callers to stopping hosts that an outdated host list
    // still shows as live, which would keep a planned stop from completing.
    type Input = (u8, [(bool, Option<bool>, bool, u16); 6]);
    bergamotswitch_draw::for_each::<Input>(2000, |(account, states)| {
        let mut hosts: Vec<HostHealth> = (0..6).map(host).collect();
        let mut usable = Vec::new();
        for (health, (leaving, reachable, stopping, load)) in hosts.iter_mut().zip(states) {
            if *leaving {
                health.host.standing = Standing::Leaving;
            }
            health.reachable = *reachable;
            health.stopping = *stopping;
            health.load_permille = load % 1000;
            if !leaving && *reachable != Some(false) && !stopping {
                usable.push(health.host.name.to_string());
            }
        }
        let named = names(&query(usize::from(*account), Some("south")), &hosts);
        assert_eq!(named.len(), usable.len().min(3));
        assert!(named.iter().all(|name| usable.contains(name)));
        let distinct: HashSet<&String> = named.iter().collect();
        assert_eq!(distinct.len(), named.len());
        let load = |name: &String| host_named(&hosts, name).load_permille >= 900;
        assert!(
            named.is_sorted_by_key(load),
            "overloaded host ranked before another host"
        );
    });
}

#[test]
fn near_first() {
    let mut hosts: Vec<HostHealth> = (0..6).map(host).collect();
    hosts.push(host_in(6, "abroad"));
    let domain_of = |name: &String| host_named(&hosts, name).host.domain.to_string();
    for account in 0..50 {
        let named = names(&query(account, Some("west")), &hosts);
        let domains: Vec<String> = named.iter().map(domain_of).collect();
        assert_eq!(domains[0], "west");
        // The fallbacks are in different failure domains of the same region.
        let distinct: HashSet<&String> = domains.iter().collect();
        assert_eq!(distinct.len(), 3);
        assert!(!distinct.contains(&"abroad".to_owned()));
    }
}

#[test]
fn overloaded_host_last() {
    // Guards against sending more callers to an overloaded host while other hosts
    // have capacity.
    let mut hosts: Vec<HostHealth> = (0..6).map(host).collect();
    let query = query(1, Some("north"));
    let usual = first(&query, &hosts);
    let mut names = hosts.iter().map(|health| health.host.name.as_str());
    let index = names.position(|name| name == usual).unwrap();
    hosts[index].load_permille = 899;
    assert_eq!(first(&query, &hosts), usual);
    hosts[index].load_permille = 900;
    assert_ne!(first(&query, &hosts), usual);
    for health in &mut hosts {
        health.load_permille = 950;
    }
    assert_eq!(first(&query, &hosts), usual);
}

#[test]
fn answer_fields() {
    let mut publication = publication();
    let mut hosts = vec![host(0), host(1)];
    hosts[1].incarnation = None;
    let answer = AddressSelector::new(&publication).answer(&query(1, Some("north")), &hosts);
    assert_eq!(answer.lifetime_ms, 10_000);
    let run = format!("h0~{:032x}", 0);
    assert_eq!(answer.hosts[0].incarnation, Some(run));
    assert_eq!(answer.hosts[0].address, hosts[0].host.caller_address);
    assert_eq!(answer.hosts[1].incarnation, None);
    publication.limits.address_choices = 1;
    publication.limits.address_lifetime_ms = 5_000;
    let selector = AddressSelector::new(&publication);
    let answer = selector.answer(&query(1, None), &hosts);
    assert_eq!((answer.hosts.len(), answer.lifetime_ms), (1, 5_000));
    let empty = selector.answer(&query(1, None), &[]);
    assert_eq!((empty.hosts.len(), empty.lifetime_ms), (0, 1_000));
}

// Guards against sending all callers of one account and failure domain to the
// same host.
#[test]
fn callers_spread() {
    let hosts: Vec<HostHealth> = (0..8).map(|index| host_in(index, "north")).collect();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for caller in 0..800 {
        let mut query = query(1, Some("north"));
        query.caller = CallerHash::of(&format!("10.0.0.{caller}"));
        let host = first(&query, &hosts);
        assert_eq!(host, first(&query, &hosts), "caller moved to another host");
        *counts.entry(host).or_default() += 1;
    }
    // 100 each, with a standard deviation of about 10 for a uniform hash.
    assert_even(&counts, 8, 100, 50);
}
